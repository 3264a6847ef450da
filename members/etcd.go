// Package members learns of the disk servers from etcd, over its published gRPC API: the list under a prefix,
// then a watch from the revision that was read. It asks when it is told to, tells what it heard, and reports
// a watch that broke; when to ask again is not decided here. docs/etcd.md gives the layout of the keys.
package members

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"honeyplank"
)

// Record is the value of a node's key; the key is the prefix and the node's address.
type Record struct {
	State     string  `json:"state"`                // "on" or "draining"
	StartedMS int64   `json:"started_ms,omitempty"` // unix time of its last start; 0: long ago
	Size      float64 `json:"size,omitempty"`
	Model     int     `json:"model,omitempty"`
	Zone      int     `json:"zone,omitempty"`
	Cell      int     `json:"cell"`
}

// Node is a record with its address.
type Node struct {
	Record
	Address string
	Gone    bool
}

// News is what the source heard. Err tells why a watch or fetch failed; then there are no nodes.
type News struct {
	Kind     honeyplank.ListKind
	Revision int64
	Nodes    []Node
	Skipped  []string // keys whose values made no sense, with the reason
	Err      error
}

// Etcd is the list in etcd. Watch and Fetch may be called from one goroutine; news comes on another, in
// order, and none after Close.
type Etcd struct {
	endpoints []string
	prefix    string
	agent     string
	tell      func(News)
	mu        sync.Mutex
	cancel    context.CancelFunc
	next      int
	running   sync.WaitGroup
	closed    bool
	serial    int
}

// New makes a source that asks the endpoints in turn, under the name agent.
func New(endpoints []string, prefix, agent string, tell func(News)) *Etcd {
	return &Etcd{endpoints: endpoints, prefix: prefix, agent: agent, tell: tell}
}

// Watch begins anew with the whole list and then its changes, or stops.
func (e *Etcd) Watch(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
	e.serial++
	if on && !e.closed {
		e.start(true)
	}
}

// Fetch reads the whole list once.
func (e *Etcd) Fetch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.start(false)
	}
}

func (e *Etcd) start(watch bool) {
	ctx, cancel := context.WithCancel(context.Background())
	if watch {
		e.cancel = cancel
	}
	endpoint, serial := e.endpoints[e.next%len(e.endpoints)], e.serial
	e.next++
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer cancel()
		err := e.run(ctx, endpoint, watch, func(n News) { e.deliver(serial, n) })
		if err != nil {
			e.deliver(serial, News{Kind: honeyplank.Refused, Err: err})
		}
	}()
}

// deliver tells news, unless the watch it is of has been replaced.
func (e *Etcd) deliver(serial int, n News) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if serial == e.serial && !e.closed {
		e.tell(n)
	}
}

// Close ends the watch and waits for what runs.
func (e *Etcd) Close() {
	e.mu.Lock()
	e.closed = true
	if e.cancel != nil {
		e.cancel()
	}
	e.mu.Unlock()
	e.running.Wait()
}

// pageSize bounds one answer to a range.
const pageSize = 1000

// patience bounds one call, and the silence of a connection.
const patience = 5 * time.Second

func (e *Etcd) run(ctx context.Context, endpoint string, watch bool, tell func(News)) error {
	c, err := grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithUserAgent(e.agent),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 2 * patience, Timeout: patience}))
	if err != nil {
		return err
	}
	defer c.Close()
	kv := etcdserverpb.NewKVClient(c)
	from, end := []byte(e.prefix), prefixEnd(e.prefix)
	whole := News{Kind: honeyplank.Whole}
	known := map[string]Node{}
	for more := true; more; { // all pages at the revision of the first
		call, cancel := context.WithTimeout(ctx, patience)
		r, err := kv.Range(call, &etcdserverpb.RangeRequest{Key: from, RangeEnd: end, Limit: pageSize, Revision: whole.Revision})
		cancel()
		if err != nil {
			return fmt.Errorf("members: range at %s: %w", endpoint, err)
		}
		if whole.Revision == 0 {
			whole.Revision = r.GetHeader().GetRevision()
		}
		for _, pair := range r.Kvs {
			e.note(&whole, known, pair, false)
		}
		if more = r.More && len(r.Kvs) > 0; more {
			from = append(append([]byte(nil), r.Kvs[len(r.Kvs)-1].Key...), 0)
		}
	}
	tell(whole)
	if !watch {
		return nil
	}
	stream, err := etcdserverpb.NewWatchClient(c).Watch(ctx)
	if err != nil {
		return fmt.Errorf("members: watch at %s: %w", endpoint, err)
	}
	err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(e.prefix), RangeEnd: end, StartRevision: whole.Revision + 1}}})
	if err != nil {
		return fmt.Errorf("members: watch at %s: %w", endpoint, err)
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("members: watch at %s: %w", endpoint, err)
		}
		if r.Canceled {
			return fmt.Errorf("members: watch at %s was cancelled: %s (compacted at %d)", endpoint, r.CancelReason, r.CompactRevision)
		}
		news := News{Kind: honeyplank.Changes, Revision: r.GetHeader().GetRevision()}
		for _, event := range r.Events {
			e.note(&news, known, event.Kv, event.Type == mvccpb.DELETE)
		}
		if len(news.Nodes)+len(news.Skipped) > 0 {
			tell(news)
		}
	}
}

// note adds a pair to news. A node is gone by its deletion alone; a value that makes no sense changes nothing.
func (e *Etcd) note(news *News, known map[string]Node, pair *mvccpb.KeyValue, deleted bool) {
	address := strings.TrimPrefix(string(pair.Key), e.prefix)
	n := known[address]
	n.Address, n.Gone = address, deleted
	if !deleted {
		r, err := ParseRecord(address, pair.Value)
		if err != nil {
			news.Skipped = append(news.Skipped, err.Error())
			return
		}
		n.Record = r
	}
	known[address] = n
	news.Nodes = append(news.Nodes, n)
}

// ParseRecord reads the value of a node's key.
func ParseRecord(address string, value []byte) (r Record, err error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return r, fmt.Errorf("members: %.80q is no address", address)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("members: %s: %w", address, err)
	}
	if r.State != "on" && r.State != "draining" {
		return r, fmt.Errorf("members: %s: state %.20q is neither on nor draining", address, r.State)
	}
	if r.Size < 0 || r.StartedMS < 0 || r.Cell < 0 || r.Zone < 0 {
		return r, errors.New("members: " + address + ": a negative figure")
	}
	return r, nil
}

// prefixEnd is the key after all that begin with the prefix (etcd's range convention).
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return []byte{0}
}
