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

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener.Addr().String(), make(chan *discoveryCall, 256)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
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

func (c *discoveryCall) sendHeader() {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendChunk sends bytes of a watch, as one chunk.
func (c *discoveryCall) sendChunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// listJSON is a message of discovery; indented, on many lines.
func listJSON(revision int, complete, indented bool, members ...fakeresp.Member) string {
	message := map[string]any{"revision": revision, "complete": complete, "members": append([]fakeresp.Member{}, members...)}
	text, _ := json.Marshal(message)
	if indented {
		text, _ = json.MarshalIndent(message, "", "  ")
	}
	return string(text) + "\n"
}
