// Package etcd is a stand-in for etcd: KV Range, Put and DeleteRange and the Watch service, over its published
// gRPC API, in memory. It can refuse calls, break watches and tell late on command.
package etcd

import (
	"bytes"
	"context"
	"maps"
	"net"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Server is one stand-in. Its methods may be called from any goroutine.
type Server struct {
	// OnNotify, where set before the first call, hears what a client, by its user agent, was told of a key: before
	// it is sent. No value: deleted.
	OnNotify func(agent, key string, value []byte)

	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer
	server  *grpc.Server
	address string

	mu       sync.Mutex
	revision int64
	pairs    map[string]*mvccpb.KeyValue
	events   []*mvccpb.Event // all there were, in order of revision
	changed  chan struct{}   // closed at the next change
	breaks   chan struct{}   // closed when watches break
	down     bool
	mute     bool // watches stay open and say nothing
	withheld bool // watches asked for are not created
	late     time.Duration
	kept     int64                       // revisions before are compacted away
	old      map[string]*mvccpb.KeyValue // the state before the events that are kept
}

// New serves at a loopback address, port 0 for any.
func New(address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{server: grpc.NewServer(), address: l.Addr().String(), revision: 1, pairs: map[string]*mvccpb.KeyValue{}, old: map[string]*mvccpb.KeyValue{},
		changed: make(chan struct{}), breaks: make(chan struct{})}
	etcdserverpb.RegisterKVServer(s.server, s)
	etcdserverpb.RegisterWatchServer(s.server, s)
	go s.server.Serve(l)
	return s, nil
}

// Address is where it serves.
func (s *Server) Address() string { return s.address }

// Close ends it with all its connections.
func (s *Server) Close() { s.server.Stop() }

// Set puts a value.
func (s *Server) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value)
}

func (s *Server) set(key string, value []byte) {
	s.revision++
	pair := &mvccpb.KeyValue{Key: []byte(key), Value: value, ModRevision: s.revision, CreateRevision: s.revision, Version: 1}
	if old := s.pairs[key]; old != nil {
		pair.CreateRevision, pair.Version = old.CreateRevision, old.Version+1
	}
	s.pairs[key] = pair
	s.note(&mvccpb.Event{Type: mvccpb.PUT, Kv: pair})
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Server) remove(key string) bool {
	if s.pairs[key] == nil {
		return false
	}
	s.revision++
	delete(s.pairs, key)
	s.note(&mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision}})
	return true
}

func (s *Server) note(e *mvccpb.Event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetUnavailable refuses every call and breaks all watches, until told otherwise.
func (s *Server) SetUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.cut()
	}
}

// BreakWatches ends all watches once.
func (s *Server) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
}

func (s *Server) cut() {
	close(s.breaks)
	s.breaks = make(chan struct{})
}

// CompactHistory drops the history before the present revision; watches that want it are cancelled.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
}

func (s *Server) compact(to int64) {
	s.kept = to
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= to })
	for _, e := range s.events[:i] {
		if e.Type == mvccpb.DELETE {
			delete(s.old, string(e.Kv.Key))
		} else {
			s.old[string(e.Kv.Key)] = e.Kv
		}
	}
	s.events = append([]*mvccpb.Event(nil), s.events[i:]...)
}

// SetSilent has watches stay open and say nothing.
func (s *Server) SetSilent(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetWithholdWatches has watches that are asked for from now on not created; their streams stand, and answer for progress.
func (s *Server) SetWithholdWatches(withheld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withheld = withheld
}

// PutAll puts (or, without a value, deletes) many keys in one revision, as a transaction does.
func (s *Server) PutAll(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	for key, value := range values {
		s.revision = before
		if len(value) == 0 {
			s.remove(key)
		} else {
			s.set(key, value)
		}
	}
	s.revision = before + 1
}

func (s *Server) compaction(r int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return errDown
	case r <= s.kept:
		return status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	case r > s.revision:
		return status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	}
	s.compact(r)
	return nil
}

// SetWatchDelay has watches tell each change so much later.
func (s *Server) SetWatchDelay(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = by
}

var errDown = status.Error(codes.Unavailable, "etcd stand-in: out of service")

// in tells whether a key is in a range, by etcd's convention: no end: the key alone; "\0": all from it on.
func in(key string, from, end []byte) bool {
	k := []byte(key)
	switch {
	case len(end) == 0:
		return bytes.Equal(k, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, from) >= 0
	}
	return bytes.Compare(k, from) >= 0 && bytes.Compare(k, end) < 0
}

func (s *Server) told(ctx context.Context, key, value []byte) {
	if md, _ := metadata.FromIncomingContext(ctx); s.OnNotify != nil && len(md.Get("user-agent")) > 0 {
		agent, _, _ := strings.Cut(md.Get("user-agent")[0], " ")
		s.OnNotify(agent, string(key), value)
	}
}

func (s *Server) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

// Range reads the present state, or an earlier one.
func (s *Server) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	if r.Revision > 0 && r.Revision < s.kept {
		return nil, status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	}
	pairs := s.pairs
	if r.Revision > 0 && r.Revision < s.revision {
		pairs = maps.Clone(s.old)
		for _, e := range s.events {
			if key := string(e.Kv.Key); e.Kv.ModRevision > r.Revision {
				break
			} else if e.Type == mvccpb.DELETE {
				delete(pairs, key)
			} else {
				pairs[key] = e.Kv
			}
		}
	}
	var keys []string
	for key := range pairs {
		if in(key, r.Key, r.RangeEnd) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := &etcdserverpb.RangeResponse{Header: s.header(), Count: int64(len(keys))}
	for _, key := range keys {
		if r.Limit > 0 && int64(len(out.Kvs)) == r.Limit {
			out.More = true
			break
		}
		out.Kvs = append(out.Kvs, pairs[key])
		s.told(ctx, pairs[key].Key, pairs[key].Value)
	}
	return out, nil
}

// Put and DeleteRange change the state.
func (s *Server) Put(_ context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	s.set(string(r.Key), r.Value)
	return &etcdserverpb.PutResponse{Header: s.header()}, nil
}

// DeleteRange is the call of etcd's API.
func (s *Server) DeleteRange(_ context.Context, r *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	out := &etcdserverpb.DeleteRangeResponse{}
	for key := range s.pairs {
		if in(key, r.Key, r.RangeEnd) && s.remove(key) {
			out.Deleted++
		}
	}
	out.Header = s.header()
	return out, nil
}

// Compact drops the history before a revision.
func (s *Server) Compact(_ context.Context, r *etcdserverpb.CompactionRequest) (*etcdserverpb.CompactionResponse, error) {
	if err := s.compaction(r.Revision); err != nil {
		return nil, err
	}
	return &etcdserverpb.CompactionResponse{Header: s.head()}, nil
}

// Watch serves one stream. Each watch on it has a goroutine of its own.
func (s *Server) Watch(stream etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var sending sync.Mutex
	send := func(r *etcdserverpb.WatchResponse) error {
		sending.Lock()
		defer sending.Unlock()
		return stream.Send(r)
	}
	ended := make(chan error, 1)
	end := func(err error) {
		select {
		case ended <- err:
		default:
		}
	}
	stops := map[int64]context.CancelFunc{}
	reached := map[int64]*atomic.Int64{}
	go func() {
		for id := int64(0); ; {
			r, err := stream.Recv()
			if err != nil {
				end(nil)
				return
			}
			switch {
			case r.GetCreateRequest() != nil:
				one, stop := context.WithCancel(ctx)
				stops[id], reached[id] = stop, &atomic.Int64{}
				reached[id].Store(max(0, r.GetCreateRequest().StartRevision-1))
				go s.follow(one, id, r.GetCreateRequest(), send, end, reached[id])
				id++
			case r.GetCancelRequest() != nil:
				if stop := stops[r.GetCancelRequest().WatchId]; stop != nil {
					stop()
					delete(reached, r.GetCancelRequest().WatchId)
					send(&etcdserverpb.WatchResponse{Header: s.head(), WatchId: r.GetCancelRequest().WatchId, Canceled: true})
				}
			case r.GetProgressRequest() != nil && !s.silent():
				// As etcd promises, nothing up to the revision that it names is still to be sent on this stream.
				head := s.head()
				for _, r := range reached {
					head.Revision = min(head.Revision, r.Load())
				}
				send(&etcdserverpb.WatchResponse{Header: head, WatchId: -1})
			}
		}
	}()
	return <-ended
}

func (s *Server) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute
}

func (s *Server) head() *etcdserverpb.ResponseHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header()
}

// batch is how many revisions one response tells of at most.
const batch = 1000

func (s *Server) follow(ctx context.Context, id int64, r *etcdserverpb.WatchCreateRequest, send func(*etcdserverpb.WatchResponse) error, end func(error), reached *atomic.Int64) {
	s.mu.Lock()
	next, breaks, down, withheld := r.StartRevision, s.breaks, s.down, s.withheld
	compacted := int64(0)
	if next > 0 && next < s.kept {
		compacted = s.kept
	}
	if next == 0 {
		next = s.revision + 1
	}
	head := s.header()
	s.mu.Unlock()
	if down {
		end(errDown)
		return
	}
	if withheld {
		return
	}
	if send(&etcdserverpb.WatchResponse{Header: head, WatchId: id, Created: true}) != nil {
		return
	}
	if compacted > 0 {
		send(&etcdserverpb.WatchResponse{Header: head, WatchId: id, Canceled: true, CompactRevision: compacted, CancelReason: "etcdserver: mvcc: required revision has been compacted"})
		return
	}
	for {
		s.mu.Lock()
		changed, late, mute := s.changed, s.late, s.mute
		out := &etcdserverpb.WatchResponse{Header: s.header(), WatchId: id}
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= next })
		sent, more := next, false
		for _, e := range s.events[from:] {
			// A long history is sent in pieces of so many revisions, each with the present revision in its header.
			if more = e.Kv.ModRevision >= sent+batch; more {
				next = e.Kv.ModRevision
				break
			}
			if in(string(e.Kv.Key), r.Key, r.RangeEnd) {
				out.Events = append(out.Events, e)
			}
		}
		switch {
		case mute:
			out.Events, next, more = nil, sent, false
		case !more:
			next = s.revision + 1
		}
		s.mu.Unlock()
		if late > 0 && len(out.Events) > 0 {
			select {
			case <-time.After(late):
			case <-breaks:
			case <-ctx.Done():
			}
		}
		for _, e := range out.Events {
			s.told(ctx, e.Kv.Key, e.Kv.Value)
		}
		if len(out.Events) > 0 && send(out) != nil {
			return
		}
		reached.Store(next - 1)
		if more {
			continue
		}
		select {
		case <-changed:
		case <-breaks:
			end(errDown)
			return
		case <-ctx.Done():
			return
		}
	}
}
