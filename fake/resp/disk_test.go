package resp

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"honeyplank/resp"
)

const (
	// testTimeout limits the wait for an expected event.
	testTimeout = 5 * time.Second
	// silence is the time for which a test checks that no data arrives.
	silence = 100 * time.Millisecond
)

// client is a client of a Disk.
type client struct {
	*testing.T
	net.Conn
}

func startDisk(t *testing.T) *Disk {
	t.Helper()
	d, err := NewDisk("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

func dial(t *testing.T, d *Disk) *client {
	t.Helper()
	c, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // a test may have closed it already
	return &client{t, c}
}

func (c *client) send(arguments ...string) {
	c.Helper()
	var list [][]byte
	for _, a := range arguments {
		list = append(list, []byte(a))
	}
	if _, err := c.Write(resp.AppendCommand(nil, list...)); err != nil {
		c.Fatal(err)
	}
}

// expect reads len(want) bytes and expects them to equal want.
func (c *client) expect(want string) {
	c.Helper()
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		c.Fatal(err)
	}
	got := make([]byte, len(want))
	n, err := io.ReadFull(c, got)
	if err != nil || string(got) != want {
		c.Fatalf("received %q, error %v; want %q", got[:n], err, want)
	}
}

// expectEnd expects the connection to end, with EOF or a reset, before any more data arrives.
func (c *client) expectEnd() {
	c.Helper()
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		c.Fatal(err)
	}
	n, err := c.Read(make([]byte, 1))
	if n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.Errorf("received %d bytes, error %v; want the end of the connection", n, err)
	}
}

// expectSilence expects that no data arrives for the time silence.
func (c *client) expectSilence() {
	c.Helper()
	if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
		c.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.Errorf("received %d bytes, error %v; want no data before the read deadline", n, err)
	}
}

// answerOf returns the answer to a read without faults.
func answerOf(piece, id string) string {
	b := resp.AppendBulk(resp.AppendArray(nil, 3), Value(piece, id))
	return string(resp.AppendNull(resp.AppendNull(b)))
}

// TestCommands checks that commands are answered in order, and that reads and writes are recorded.
func TestCommands(t *testing.T) {
	d := startDisk(t)
	c := dial(t, d)
	c.send("PING")
	c.send("SELECT", "1")
	c.send("BLK.READ", "p1", "id1", "c=a,")
	c.send("BLK.WRITE", "p2", "id2", "c=b,", "body")
	c.send("OTHER")
	c.expect("+PONG\r\n+OK\r\n" + answerOf("p1", "id1") + answerOf("p2", "id2") + "-ERR unknown command\r\n")
	got := d.Commands()
	if len(got) != 2 {
		t.Fatalf("%d commands are recorded, want 2", len(got))
	}
	if got[0].Name != "BLK.READ" || got[0].Piece != "p1" || got[0].ID != "id1" || got[0].Attributes != "c=a," {
		t.Errorf("the first recorded command is %+v, want the read", got[0])
	}
	if got[1].Name != "BLK.WRITE" || string(got[1].Body) != "body" || got[1].Conn != 0 {
		t.Errorf("the second recorded command is %+v, want the write", got[1])
	}
}

// TestAnswerFaults checks the faults that change the answer to a read.
func TestAnswerFaults(t *testing.T) {
	answer := answerOf("p", "id")
	for name, c := range map[string]struct {
		faults Faults
		want   string
	}{
		"fail":          {Faults{Fail: true}, "-ERR failed\r\n"},
		"busy":          {Faults{Busy: true}, "-BUSY\r\n"},
		"malformed":     {Faults{Malformed: "?\r\n"}, "?\r\n"},
		"trailing data": {Faults{TrailingData: "+OK\r\n"}, answer + "+OK\r\n"},
		"late data":     {Faults{LateData: "+OK\r\n"}, answer + "+OK\r\n"},
		"value":         {Faults{Value: "v"}, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"},
		"usage":         {Faults{Value: "v", Usage: "u"}, "*3\r\n$1\r\nv\r\n$1\r\nu\r\n$-1\r\n"},
		"load report":   {Faults{Value: "v", LoadReport: "l"}, "*3\r\n$1\r\nv\r\n$-1\r\n$1\r\nl\r\n"},
		"its class":     {Faults{Busy: true, Class: "gold"}, "-BUSY\r\n"},
		"another class": {Faults{Busy: true, Class: "basic"}, answer},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDisk(t)
			d.SetFaults(c.faults)
			client := dial(t, d)
			client.send("BLK.READ", "p", "id", "c=gold,t=1")
			client.expect(c.want)
			client.expectSilence()
		})
	}
}

// TestConnectionFaults checks the faults that leave a read without a complete answer.
func TestConnectionFaults(t *testing.T) {
	answer := answerOf("p", "id")
	for name, c := range map[string]struct {
		faults Faults
		want   string // data before the connection ends or becomes silent
		then   func(*client)
	}{
		"silent":      {Faults{Silent: true}, "", (*client).expectSilence},
		"reset":       {Faults{ResetOnCommand: true}, "", (*client).expectEnd},
		"half answer": {Faults{HalfAnswer: true}, answer[:len(answer)/2], (*client).expectEnd},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDisk(t)
			d.SetFaults(c.faults)
			client := dial(t, d)
			client.send("BLK.READ", "p", "id", "c=gold,")
			client.expect(c.want)
			c.then(client)
			if n := len(d.Commands()); n != 1 {
				t.Errorf("%d commands are recorded, want 1", n)
			}
		})
	}
}

// TestDelay checks that an answer is delayed, and that the answer to a later command without a delay is sent after it.
func TestDelay(t *testing.T) {
	d := startDisk(t)
	c := dial(t, d)
	d.SetFaults(Faults{Delay: silence})
	start := time.Now()
	c.send("BLK.READ", "p", "id1", "")
	for len(d.Commands()) == 0 {
		time.Sleep(time.Millisecond)
	}
	d.SetFaults(Faults{})
	c.send("BLK.READ", "p", "id2", "")
	c.expect(answerOf("p", "id1") + answerOf("p", "id2"))
	if took := time.Since(start); took < silence {
		t.Errorf("the answers arrived after %v, want at least the delay of %v", took, silence)
	}
}

// TestMalformedCommand checks that a malformed command closes the connection.
func TestMalformedCommand(t *testing.T) {
	d := startDisk(t)
	c := dial(t, d)
	if _, err := c.Write([]byte("+no command\r\n")); err != nil {
		t.Fatal(err)
	}
	c.expectEnd()
}

// TestConnections checks that connections are counted, and that each way of ending them reaches the clients.
func TestConnections(t *testing.T) {
	for name, end := range map[string]func(*Disk){
		"close": (*Disk).CloseConnections,
		"reset": (*Disk).ResetConnections,
		"stop":  (*Disk).Stop,
	} {
		t.Run(name, func(t *testing.T) {
			d := startDisk(t)
			for range 2 {
				c := dial(t, d)
				c.send("PING")
				c.expect("+PONG\r\n")
				defer c.expectEnd()
			}
			if open, opened := d.Connections(); open != 2 || opened != 2 {
				t.Errorf("%d connections are open and %d were opened, want 2 and 2", open, opened)
			}
			end(d)
		})
	}
}

// TestValue checks that different pairs of piece and ID have different values, and that values contain line ends.
func TestValue(t *testing.T) {
	seen := map[string]bool{}
	for _, piece := range []string{"a", "b"} {
		for _, id := range []string{"1", "2"} {
			seen[string(Value(piece, id))] = true
		}
	}
	if len(seen) != 4 {
		t.Errorf("%d different values, want 4", len(seen))
	}
	if value := string(Value("a", "1")); !strings.Contains(value, "\r\n") {
		t.Errorf("value %q contains no line end", value)
	}
}
