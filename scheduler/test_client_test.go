package scheduler

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// objectKey is the key of all ops in these tests.
const objectKey = "7f3a9c21e0b4d655"

// opOptions returns the options of an op of a class with a timeout, whose data is on the disk server of a cell.
func opOptions(class string, timeoutMS, cell int) string {
	return fmt.Sprintf("c=%s,t=gold,d=%d,volume=00000003b4d60021,units=2,shard=%d,hosts=1", class, timeoutMS, cell)
}

// testClient is one client connection.
type testClient struct {
	t *testing.T
	net.Conn
	reader   resp.Reader
	buffered []byte
}

// dialClient connects a client. The optional argument is the size of its receive buffer in bytes; with a small one,
// unread replies stay in the scheduler.
func (bed *testbed) dialClient(receiveBuffer ...int) *testClient {
	bed.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var errs []error
		err := raw.Control(func(fd uintptr) {
			for _, n := range receiveBuffer {
				errs = append(errs, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n))
			}
		})
		return errors.Join(append(errs, err)...)
	}}
	conn, err := dialer.Dial("tcp", bed.scheduler.Address())
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	limits := resp.Limits{Line: 512, BulkString: 64 << 10, Items: 8, Depth: 2, Total: 80 << 10}
	return &testClient{t: bed.t, Conn: conn, reader: resp.Reader{Limits: limits}}
}

// readValue waits for one value. It returns false if the connection ends or no value is received in time.
func (c *testClient) readValue(within time.Duration) (resp.Value, bool) {
	c.t.Helper()
	c.setReadTimeout(within)
	b := make([]byte, 4096)
	for {
		frame, err := c.reader.Next(c.buffered)
		c.buffered = c.buffered[frame.Used:]
		if err != nil {
			c.t.Fatalf("the scheduler has sent malformed RESP: %v", err)
		}
		if frame.Complete {
			return frame.Value, true
		}
		n, err := c.Read(b)
		if err != nil {
			return resp.Value{}, false
		}
		c.buffered = append(c.buffered, b[:n]...)
	}
}

// readCommand returns the command to read the data on the first disk server.
func readCommand(id string, timeoutMS int) []string {
	return []string{"BLK.READ", objectKey, id, opOptions("read", timeoutMS, 0)}
}

// valueOf returns the value that a fake disk server returns for an op.
func valueOf(id string) string { return string(fakeresp.Value(objectKey, id)) }

// sendRead sends a read of the data on the first disk server.
func (c *testClient) sendRead(id string, timeoutMS int) {
	c.t.Helper()
	c.send(readCommand(id, timeoutMS)...)
}

// doRead reads the data on the first disk server and returns the reply as readReply does.
func (c *testClient) doRead(id string, timeoutMS int) string {
	c.t.Helper()
	return c.do(readCommand(id, timeoutMS)...)
}

// sendWrite sends a write of the data on the first disk server.
func (c *testClient) sendWrite(id string, timeoutMS int, body string) {
	c.t.Helper()
	c.send("BLK.WRITE", objectKey, id, opOptions("write", timeoutMS, 0), body)
}

func (c *testClient) send(args ...string) {
	c.t.Helper()
	c.sendBytes(encodeCommand(args...))
}

// sendBytes sends bytes without encoding them.
func (c *testClient) sendBytes(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) disconnect() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Error(err)
	}
}

// reset closes the connection with a reset.
func (c *testClient) reset() {
	c.t.Helper()
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		c.t.Error(err)
	}
	c.disconnect()
}

// setReadTimeout limits the time until the next bytes.
func (c *testClient) setReadTimeout(timeout time.Duration) {
	c.t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		c.t.Error(err)
	}
}

// encodeCommand returns the RESP encoding of a command.
func encodeCommand(args ...string) []byte {
	var list [][]byte
	for _, a := range args {
		list = append(list, []byte(a))
	}
	return resp.AppendCommand(nil, list...)
}

// hasUnreadInput reports whether a client has sent bytes that the scheduler has not read. It is called on the loop.
func (bed *testbed) hasUnreadInput() bool {
	for x := range bed.scheduler.clients {
		if !x.conn.NoInputPending() {
			return true
		}
	}
	return false
}

// do sends a command and returns its reply as readReply does.
func (c *testClient) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.readReply(3 * time.Second)
}

// readReply returns the next reply: the text of a value, the text of an error after '-', or "closed" if the connection
// ends or no reply is received in time.
func (c *testClient) readReply(within time.Duration) string {
	c.t.Helper()
	v, ok := c.readValue(within)
	switch {
	case !ok:
		return "closed"
	case v.Kind == resp.Error:
		return "-" + string(v.Text)
	}
	return string(v.Text)
}

// countServed sends n ops of a class one after another and returns the number of those that succeed.
func (c *testClient) countServed(class, name string, n, timeoutMS int) (succeeded int) {
	c.t.Helper()
	for i := range n {
		args := []string{"BLK.READ", objectKey, fmt.Sprint(name, i), opOptions(class, timeoutMS, 0)}
		if class == "write" {
			args = append(args, "body")
			args[0] = "BLK.WRITE"
		}
		if got := c.do(args...); got != "closed" && !strings.HasPrefix(got, "-") {
			succeeded++
		}
	}
	return succeeded
}

// countReplies counts the complete replies until the connection ends, and returns the error with which it ends.
func (c *testClient) countReplies() (n int, err error) {
	c.setReadTimeout(10 * time.Second)
	for b := make([]byte, 4096); err == nil; {
		var got int
		got, err = c.Read(b)
		c.buffered = append(c.buffered, b[:got]...)
		for {
			frame, malformed := c.reader.Next(c.buffered)
			c.buffered = c.buffered[frame.Used:]
			if malformed != nil {
				return n, malformed
			}
			if !frame.Complete {
				break
			}
			n++
		}
	}
	return n, err
}
