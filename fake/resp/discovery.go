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
	// heartbeatInterval is the time between empty lines of a watch on which nothing else is sent.
	heartbeatInterval = 2 * time.Second
)

// Member is an entry of the endpoint list.
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

// message is the complete list, or the members that have changed.
type message struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery is the platform's discovery: the endpoint list of disk servers, over HTTP.
type Discovery struct {
	server  *http.Server
	address string

	mu       sync.Mutex // guards what follows
	changed  *sync.Cond // of all that watches send
	messages []message  // the n-th has revision n+1
	rawLines []string   // sent as they are, after the messages
	stopped  bool
	watches  int // begun
}

// NewDiscovery starts one on loopback with a first list.
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
		_ = d.server.Serve(listener) // until Stop; clients see a listener that fails
	}()
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.address }

// Stop closes it and ends all watches.
func (d *Discovery) Stop() {
	_ = d.server.Close() // the listener is closed either way
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.changed.Broadcast()
}

// Change sends members that have changed to every watch.
func (d *Discovery) Change(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messages = append(d.messages, message{Revision: int64(len(d.messages) + 1), Members: members})
	d.changed.Broadcast()
}

// SendLine sends a line to every watch as it is.
func (d *Discovery) SendLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rawLines = append(d.rawLines, line)
	d.changed.Broadcast()
}

// Watches is how many watches were ever begun.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// ServeHTTP answers a call: with the complete list, or, with stream=1, as a watch from a revision on.
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

// watch sends messages and lines until the client has gone or discovery stops. The caller holds mu.
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

// knownRevision is the revision of an index that a client names, if its messages are kept. The caller holds mu.
func (d *Discovery) knownRevision(index string) (int, bool) {
	revision, err := strconv.ParseInt(index, 10, 64)
	if err != nil || revision < 1 || revision > int64(len(d.messages)) {
		return 0, false
	}
	return int(revision), true
}

// writeMessage writes a message. One that can't be written is dropped: its client has gone.
func writeMessage(w io.Writer, m message) { _ = json.NewEncoder(w).Encode(m) }

// writeLine writes a line. One that can't be written is dropped: its client has gone.
func writeLine(w io.Writer, line string) { _, _ = io.WriteString(w, line+"\n") }

// completeList is the present list. The caller holds mu.
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
