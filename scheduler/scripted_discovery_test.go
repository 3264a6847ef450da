package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// scriptedDiscovery is a fake discovery whose responses the test writes.
type scriptedDiscovery struct {
	address string
	calls   chan *discoveryCall
}

// discoveryCall is a call that awaits its response.
type discoveryCall struct {
	net.Conn
	t    *testing.T
	path string
}

// newScriptedDiscovery starts a discovery that stops at the end of the test.
func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener.Addr().String(), make(chan *discoveryCall, 256)}
	t.Cleanup(func() { _ = listener.Close() }) // an error has no effect at the end of the test
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					discovery.calls <- &discoveryCall{c, t, r.URL.String()}
				}
			}()
		}
	}()
	return discovery
}

// configure sets this discovery in a scheduler's configuration.
func (d *scriptedDiscovery) configure(config map[string]any) { config["discovery"] = d.address }

// nextCall returns the next call. The test fails if none is received within the given time.
func (d *scriptedDiscovery) nextCall(t *testing.T, within time.Duration) *discoveryCall {
	t.Helper()
	select {
	case call := <-d.calls:
		return call
	case <-time.After(within):
		t.Fatalf("no call within %v", within)
	}
	return nil
}

// sendText sends text without any framing. It ignores errors, since the scheduler may have cancelled the call.
func (c *discoveryCall) sendText(text string) { _, _ = io.WriteString(c, text) }

// sendHeader sends the header of a response with chunked encoding.
func (c *discoveryCall) sendHeader() {
	c.sendText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendUnbounded sends a response without a length, which ends with the connection.
func (c *discoveryCall) sendUnbounded(text string) {
	c.sendText("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text)
}

// sendChunk sends text as one chunk of the response.
func (c *discoveryCall) sendChunk(text string) {
	c.sendText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// sendUnavailable responds with status 503 and closes the connection.
func (c *discoveryCall) sendUnavailable() {
	c.sendText("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	c.end()
}

// end closes the connection.
func (c *discoveryCall) end() {
	if err := c.Close(); err != nil {
		c.t.Error(err)
	}
}

// closeWithLinger closes the connection with a linger time. 0 resets the connection, -1 is the default.
func (c *discoveryCall) closeWithLinger(linger int) {
	if err := c.Conn.(*net.TCPConn).SetLinger(linger); err != nil {
		c.t.Error(err)
	}
	c.end()
}

// listForm is the layout of a message of discovery.
type listForm int

const (
	oneLine listForm = iota
	manyLines
)

// deltaJSON returns a message of discovery with the members that have changed.
func deltaJSON(revision int, members ...fakeresp.Member) string {
	return listJSON(revision, false, oneLine, members...)
}

// listJSON returns a message of discovery.
func listJSON(revision int, complete bool, form listForm, members ...fakeresp.Member) string {
	message := map[string]any{
		"revision": revision,
		"complete": complete,
		"members":  append([]fakeresp.Member{}, members...),
	}
	encode := json.Marshal
	if form == manyLines {
		encode = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	}
	text, err := encode(message)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return string(text) + "\n"
}
