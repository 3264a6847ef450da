// Package members learns of the disk servers: from etcd over its published gRPC API (docs/etcd.md) and from DNS
// SRV records (docs/dns.md). The sources ask, tell what they heard and report what failed. Whom to believe is
// decided in package belief, when to ask etcd again by the module.
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
	quiet     time.Duration
	revision  int64           // up to which everything has been told
	known     map[string]Node // what was told last
}

// New makes a source that asks the endpoints in turn, under the name agent. A watch that has said nothing for
// quiet, not even that it has nothing to say, counts as broken.
func New(endpoints []string, prefix, agent string, quiet time.Duration, tell func(News)) *Etcd {
	return &Etcd{endpoints: endpoints, prefix: prefix, agent: agent, quiet: quiet, tell: tell, known: map[string]Node{}}
}

// Watch follows the list, or stops: from the revision last told where there is one and its history is still
// kept, else from the whole list.
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
		if err := e.run(ctx, endpoint, watch, serial); err != nil {
			e.deliver(serial, News{Kind: honeyplank.Refused, Err: err}, nil)
		}
	}()
}

// deliver tells news made of pairs, unless the watch it is of has been replaced; it tells whether it has not.
func (e *Etcd) deliver(serial int, n News, events []*mvccpb.Event) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if serial != e.serial || e.closed {
		return false
	}
	if n.Kind == honeyplank.Whole {
		clear(e.known)
	}
	for _, event := range events {
		e.note(&n, event.Kv, event.Type == mvccpb.DELETE)
	}
	if n.Revision > 0 {
		e.revision = n.Revision
	}
	e.tell(n)
	return true
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

// errHistory tells that a watch can't go on from where it was: the whole list is needed.
var errHistory = errors.New("members: the history since the last revision is gone")

func (e *Etcd) run(ctx context.Context, endpoint string, watch bool, serial int) error {
	c, err := grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithUserAgent(e.agent),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 2 * patience, Timeout: patience}))
	if err != nil {
		return err
	}
	defer c.Close()
	e.mu.Lock()
	from := e.revision
	e.mu.Unlock()
	for watch && from > 0 {
		if err := e.follow(ctx, c, endpoint, serial, from); !errors.Is(err, errHistory) {
			return err
		}
		from = 0
	}
	if from, err = e.whole(ctx, c, endpoint, serial); err != nil || !watch {
		return err
	}
	return e.follow(ctx, c, endpoint, serial, from)
}

// whole reads the list, in pages, all at the revision of the first, which it returns.
func (e *Etcd) whole(ctx context.Context, c *grpc.ClientConn, endpoint string, serial int) (int64, error) {
	kv, from, end := etcdserverpb.NewKVClient(c), []byte(e.prefix), prefixEnd(e.prefix)
	news := News{Kind: honeyplank.Whole}
	var events []*mvccpb.Event
	for more := true; more; {
		call, cancel := context.WithTimeout(ctx, patience)
		r, err := kv.Range(call, &etcdserverpb.RangeRequest{Key: from, RangeEnd: end, Limit: pageSize, Revision: news.Revision})
		cancel()
		if err != nil {
			return 0, fmt.Errorf("members: range at %s: %w", endpoint, err)
		}
		if news.Revision == 0 {
			news.Revision = r.GetHeader().GetRevision()
		}
		for _, pair := range r.Kvs {
			events = append(events, &mvccpb.Event{Kv: pair})
		}
		if more = r.More && len(r.Kvs) > 0; more {
			from = append(append([]byte(nil), r.Kvs[len(r.Kvs)-1].Key...), 0)
		}
	}
	if !e.deliver(serial, news, events) {
		return 0, context.Canceled
	}
	return news.Revision, nil
}

// follow watches from after a revision until the watch breaks. The changes of one revision are told together.
func (e *Etcd) follow(ctx context.Context, c *grpc.ClientConn, endpoint string, serial int, from int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wrap := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return fmt.Errorf("members: watch at %s: %w", endpoint, err)
	}
	stream, err := etcdserverpb.NewWatchClient(c).Watch(ctx)
	if err != nil {
		return wrap(err)
	}
	err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(e.prefix), RangeEnd: prefixEnd(e.prefix), StartRevision: from + 1, ProgressNotify: true, Fragment: true}}})
	if err != nil {
		return wrap(err)
	}
	heard := make(chan struct{}, 1)
	go e.nudge(ctx, cancel, stream, heard)
	var held []*mvccpb.Event // fragments of a response
	for {
		r, err := stream.Recv()
		if err != nil {
			return wrap(err)
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		revision := r.GetHeader().GetRevision()
		switch {
		case r.Canceled && r.CompactRevision > 0, r.Created && revision < from: // compacted, or another history
			return errHistory
		case r.Canceled:
			return wrap(fmt.Errorf("cancelled: %s", r.CancelReason))
		case r.Created: // nothing may come for long: the watch stands
			e.deliver(serial, News{Kind: honeyplank.Changes}, nil)
			continue
		}
		for _, event := range r.Events { // what was told already, or goes back, is passed over
			if event.Kv.ModRevision > from {
				held = append(held, event)
			}
		}
		if r.Fragment {
			continue
		}
		if revision > from {
			from = revision
		}
		if len(held) > 0 && !e.deliver(serial, News{Kind: honeyplank.Changes, Revision: from}, held) {
			return context.Canceled
		}
		held = nil
	}
}

// nudge asks a quiet watch for its progress, and ends one that does not answer. It guards against a watch that
// stays open and delivers nothing; it could harm where quiet is shorter than a slow etcd takes.
func (e *Etcd) nudge(ctx context.Context, cancel context.CancelCauseFunc, stream etcdserverpb.Watch_WatchClient, heard chan struct{}) {
	if e.quiet <= 0 {
		return
	}
	for asked := false; ; {
		wait := time.NewTimer(e.quiet / 2)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-heard:
			wait.Stop()
			asked = false
		case <-wait.C:
			if asked {
				cancel(fmt.Errorf("nothing came for %v", e.quiet))
				return
			}
			asked = true
			stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{ProgressRequest: &etcdserverpb.WatchProgressRequest{}}})
		}
	}
}

// note adds a pair to news. A node is gone by its deletion alone; a value that makes no sense changes nothing.
func (e *Etcd) note(news *News, pair *mvccpb.KeyValue, deleted bool) {
	address := strings.TrimPrefix(string(pair.Key), e.prefix)
	n := e.known[address]
	n.Address, n.Gone = address, deleted
	if !deleted {
		r, err := ParseRecord(address, pair.Value)
		if err != nil {
			news.Skipped = append(news.Skipped, err.Error())
			return
		}
		n.Record = r
	}
	e.known[address] = n
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
