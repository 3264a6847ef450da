package resp

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Zone     string  `json:"locality"`
	Model    string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	StartedM int64   `json:"up_since_ms"`
}

// Discovery is the platform's list of disk servers, over HTTP.
type Discovery struct {
	server  *http.Server
	address string

	mu      sync.Mutex
	news    *sync.Cond
	changes []message // the n-th has revision n+1
	raw     []string  // lines to be sent as they are, after the change of that many
	down    bool
	watches int
}

type message struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// NewDiscovery starts one on loopback with a first list.
func NewDiscovery(members ...Member) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: listener.Addr().String()}
	d.news = sync.NewCond(&d.mu)
	d.changes = append(d.changes, message{1, true, members})
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.address }

// Stop closes it and all watches.
func (d *Discovery) Stop() {
	d.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
	d.news.Broadcast()
}

// Change tells of entries that have changed.
func (d *Discovery) Change(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, message{int64(len(d.changes) + 1), false, members})
	d.news.Broadcast()
}

// SendLine sends a line to every watch as it is.
func (d *Discovery) SendLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = append(d.raw, line)
	d.news.Broadcast()
}

// Watches is how many watches were ever begun.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	d.watches++
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	sent := int(index)
	said := len(d.raw)
	if err != nil || index < 1 || sent > len(d.changes) { // what came before is not kept
		json.NewEncoder(w).Encode(d.whole())
		sent = len(d.changes)
	}
	beat := time.AfterFunc(0, func() {})
	defer func() { beat.Stop() }()
	for !d.down && r.Context().Err() == nil {
		for ; sent < len(d.changes); sent++ {
			json.NewEncoder(w).Encode(d.changes[sent])
		}
		for ; said < len(d.raw); said++ {
			w.Write([]byte(d.raw[said] + "\n"))
		}
		w.Write([]byte("\n"))
		w.(http.Flusher).Flush()
		beat.Stop()
		beat = time.AfterFunc(2*time.Second, d.news.Broadcast)
		d.news.Wait()
	}
}

func (d *Discovery) whole() message {
	now := map[string]int{}
	m := message{Revision: int64(len(d.changes)), Complete: true}
	for _, c := range d.changes {
		for _, e := range c.Members {
			i, ok := now[e.ID]
			if !ok {
				i = len(m.Members)
				now[e.ID] = i
				m.Members = append(m.Members, e)
			}
			m.Members[i] = e
		}
	}
	return m
}
