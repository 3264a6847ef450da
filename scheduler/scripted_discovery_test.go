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

// scriptedDiscovery is a discovery that does nothing by itself: the test answers each call, or does not.
type scriptedDiscovery struct {
	address string
	calls   chan *discoveryCall
}

// discoveryCall is a call that waits for its response.
type discoveryCall struct {
	net.Conn
	t    *testing.T
	path string
}

// newScriptedDiscovery starts a discovery that ends with the test.
func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener.Addr().String(), make(chan *discoveryCall, 256)}
	t.Cleanup(func() { _ = listener.Close() }) // nothing can be done about it at the end of the test
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

// configure has the scheduler call this discovery.
func (d *scriptedDiscovery) configure(config map[string]any) { config["discovery"] = d.address }

// nextCall waits for the next call.
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

// sendText sends bytes as they are. An error is ignored: the scheduler may have cancelled the call.
func (c *discoveryCall) sendText(text string) { _, _ = io.WriteString(c, text) }

// sendHeader begins the response of a watch.
func (c *discoveryCall) sendHeader() {
	c.sendText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendUnbounded sends a response without a length, which the end of the connection ends.
func (c *discoveryCall) sendUnbounded(text string) {
	c.sendText("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text)
}

// sendChunk sends bytes of a watch, as one chunk.
func (c *discoveryCall) sendChunk(text string) {
	c.sendText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// sendUnavailable answers that discovery is unavailable.
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

// closeWithLinger closes the connection with a linger time; 0 resets it, -1 is the default.
func (c *discoveryCall) closeWithLinger(linger int) {
	if err := c.Conn.(*net.TCPConn).SetLinger(linger); err != nil {
		c.t.Error(err)
	}
	c.end()
}

// listForm is how a message of discovery is laid out.
type listForm int

const (
	oneLine listForm = iota
	manyLines
)

// deltaJSON is a message of discovery with the members that have changed.
func deltaJSON(revision int, members ...fakeresp.Member) string {
	return listJSON(revision, false, oneLine, members...)
}

// listJSON is a message of discovery.
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
		panic(err) // all of it can be encoded
	}
	return string(text) + "\n"
}
