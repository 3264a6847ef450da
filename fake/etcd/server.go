// Package etcd is a fake etcd: KV Range, Put, DeleteRange and Compact and the Watch service, over the published gRPC
// API, in memory. It can refuse calls, break, silence and delay watches on command. It has no leases, transactions or
// authentication, keeps nothing on disk, and must not be used but by tests.
//
// The methods of a Server may be called from any goroutine. gRPC runs each call on a goroutine of its own; Close ends
// all of them.
package etcd

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

var errUnavailable = status.Error(codes.Unavailable, "fake etcd: out of service")

// Server is one fake etcd.
type Server struct {
	// OnNotify, where set before the first call, is called with each key and value that a client is about to be sent;
	// agent is the client's user agent. A key that was deleted has no value.
	OnNotify func(agent, key string, value []byte)

	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer
	server  *grpc.Server
	address string

	mu      sync.Mutex // guards what follows
	store   *store
	changed chan struct{} // closed at the next change
	breaks  chan struct{} // closed when watches break
	faults  faults
}

// faults is what is wrong with a server now.
type faults struct {
	unavailable     bool // calls are refused
	silent          bool // watches stay open and send nothing
	watchesWithheld bool // new watches are not created
	watchDelay      time.Duration
}

// New serves at a loopback address, port 0 for any.
func New(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		server:  grpc.NewServer(),
		address: listener.Addr().String(),
		store:   newStore(),
		changed: make(chan struct{}),
		breaks:  make(chan struct{}),
	}
	etcdserverpb.RegisterKVServer(s.server, s)
	etcdserverpb.RegisterWatchServer(s.server, s)
	go func() {
		_ = s.server.Serve(listener) // until Close; clients see a listener that fails
	}()
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
	s.store.put(key, value)
	s.signalChange()
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.remove(key) {
		s.signalChange()
	}
}

// PutAll puts (or, without a value, deletes) many keys in one revision, as a transaction does.
func (s *Server) PutAll(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.putAll(values)
	s.signalChange()
}

// signalChange has watches look for events. The caller holds mu.
func (s *Server) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetUnavailable refuses every call and breaks all watches, until it is set to false.
func (s *Server) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unavailable = unavailable
	if unavailable {
		s.endWatches()
	}
}

// BreakWatches ends all watches once.
func (s *Server) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches()
}

// endWatches ends all watches. The caller holds mu.
func (s *Server) endWatches() {
	close(s.breaks)
	s.breaks = make(chan struct{})
}

// CompactHistory drops the history before the present revision; watches from before it are cancelled.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.compact(s.store.revision)
}

// SetSilent has watches stay open and send nothing, until it is set to false.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.silent = silent
	s.signalChange()
}

// SetWithholdWatches has watches that are asked for from now on not created; their streams stay open, and answer
// progress requests.
func (s *Server) SetWithholdWatches(withhold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesWithheld = withhold
}

// SetWatchDelay has watches send each event so much later.
func (s *Server) SetWatchDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelay = delay
}

// notify calls OnNotify for the client of a call.
func (s *Server) notify(ctx context.Context, key, value []byte) {
	if s.OnNotify == nil {
		return
	}
	md, _ := metadata.FromIncomingContext(ctx) // none: it has no user agent
	if agents := md.Get("user-agent"); len(agents) > 0 {
		agent, _, _ := strings.Cut(agents[0], " ")
		s.OnNotify(agent, string(key), value)
	}
}

// header is the header of responses. The caller holds mu.
func (s *Server) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: s.store.revision, RaftTerm: 1}
}

// presentHeader is header for callers that don't hold mu.
func (s *Server) presentHeader() *etcdserverpb.ResponseHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header()
}

// isSilent reports whether watches send nothing.
func (s *Server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.silent
}
