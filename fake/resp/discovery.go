package resp

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// discoveryPath is the path of the endpoint list.
	discoveryPath = "/discovery/hosts"
	// heartbeatInterval is the time between the empty lines that a watch sends when it has nothing else to send.
	heartbeatInterval = 2 * time.Second
)

// Member is an entry in the endpoint list.
type Member struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Model     string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// message is the complete endpoint list, or the members that have changed.
type message struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery is a fake of the platform's discovery service. It serves the endpoint list of disk servers over HTTP.
type Discovery struct {
	server  *http.Server
	address string

	mu       sync.Mutex // guards the fields below
	changed  *sync.Cond // wakes the watches
	messages []message  // messages[n] has revision n+1
	rawLines []string   // sent as they are, after the messages
	stopped  bool
	watches  int // number of watches ever started
}

// NewDiscovery starts a discovery service on a free loopback port. Members are the initial list.
func NewDiscovery(members ...Member) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake discovery: %w", err)
	}
	d := &Discovery{
		address:  listener.Addr().String(),
		messages: []message{{Revision: 1, Complete: true, Members: members}},
	}
	d.changed = sync.NewCond(&d.mu)
	d.server = &http.Server{Handler: d}
	go func() {
		_ = d.server.Serve(listener) // until Stop; if it fails, calls of the clients fail too
	}()
	return d, nil
}

// Address returns the address on which the service listens.
func (d *Discovery) Address() string { return d.address }

// Stop stops the service and ends all watches.
func (d *Discovery) Stop() {
	_ = d.server.Close() // the listener is closed either way
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.changed.Broadcast()
}

// Change adds members to the list, or replaces those with the same ID, and sends them to every watch.
func (d *Discovery) Change(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messages = append(d.messages, message{Revision: int64(len(d.messages) + 1), Members: members})
	d.changed.Broadcast()
}

// SendLine sends a line, unchanged, to every watch.
func (d *Discovery) SendLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rawLines = append(d.rawLines, line)
	d.changed.Broadcast()
}

// Watches returns the number of watches ever started.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// ServeHTTP answers a request with the complete list. With stream=1, it serves a watch that starts after the revision
// in the parameter index.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != discoveryPath {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.URL.Query().Get("stream") != "1" {
		writeMessage(w, d.completeList())
		return
	}
	d.watches++
	d.watch(w, r)
}

// watch sends messages and lines until the client disconnects or the service stops. It starts with the complete list if
// the client's index is unknown. The caller holds mu.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	sentLines := len(d.rawLines)
	sentMessages, ok := d.knownRevision(r.URL.Query().Get("index"))
	if !ok {
		writeMessage(w, d.completeList())
		sentMessages = len(d.messages)
	}
	heartbeat := time.AfterFunc(heartbeatInterval, d.changed.Broadcast)
	defer heartbeat.Stop()
	for !d.stopped && r.Context().Err() == nil {
		for ; sentMessages < len(d.messages); sentMessages++ {
			writeMessage(w, d.messages[sentMessages])
		}
		for ; sentLines < len(d.rawLines); sentLines++ {
			writeLine(w, d.rawLines[sentLines])
		}
		writeLine(w, "")
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		heartbeat.Reset(heartbeatInterval)
		d.changed.Wait()
	}
}

// knownRevision returns the revision that a client gives as its index, and reports whether the service has reached it.
// The caller holds mu.
func (d *Discovery) knownRevision(index string) (int, bool) {
	revision, err := strconv.ParseInt(index, 10, 64)
	if err != nil || revision < 1 || revision > int64(len(d.messages)) {
		return 0, false
	}
	return int(revision), true
}

// writeMessage writes a message. Errors are ignored because they mean that the client has disconnected.
func writeMessage(w io.Writer, m message) { _ = json.NewEncoder(w).Encode(m) }

// writeLine writes a line. Errors are ignored because they mean that the client has disconnected.
func writeLine(w io.Writer, line string) { _, _ = io.WriteString(w, line+"\n") }

// completeList returns the current list. The caller holds mu.
func (d *Discovery) completeList() message {
	list := message{Revision: int64(len(d.messages)), Complete: true}
	index := map[string]int{} // in list.Members, by id
	for _, m := range d.messages {
		for _, member := range m.Members {
			i, ok := index[member.ID]
			if !ok {
				i = len(list.Members)
				index[member.ID] = i
				list.Members = append(list.Members, member)
			}
			list.Members[i] = member
		}
	}
	return list
}
