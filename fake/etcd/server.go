// Package etcd is a fake etcd server, for use in tests, fault tests and benchmarks only. It implements Range, Put,
// DeleteRange and Compact of the KV service and the Watch service of etcd's gRPC API. On request it rejects calls and
// breaks, silences or delays watches. It keeps its data in memory and has no leases, transactions or authentication.
//
// The methods of a Server may be called from any goroutine. gRPC runs each call on its own goroutine; Close ends all of
// them.
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

// Server is a fake etcd server.
type Server struct {
	// OnNotify, if set, is called before a key and its value are sent to a client; agent is the client's user agent.
	// The value of a deleted key is empty. OnNotify must be set before the first call.
	OnNotify func(agent, key string, value []byte)

	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer
	server  *grpc.Server
	address string

	mu      sync.Mutex // guards the fields below
	store   *store
	changed chan struct{} // closed at the next change
	broken  chan struct{} // closed to end all watches with an error
	faults  faults
}

// faults are the faults that a server injects.
type faults struct {
	unavailable     bool // calls are rejected
	silent          bool // watches stay open and send nothing
	watchesWithheld bool // new watches are not created
	watchDelay      time.Duration
}

// New starts a server on a loopback address; port 0 selects a free port.
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
		broken:  make(chan struct{}),
	}
	etcdserverpb.RegisterKVServer(s.server, s)
	etcdserverpb.RegisterWatchServer(s.server, s)
	go func() {
		_ = s.server.Serve(listener) // until Close; if it fails, calls of the clients fail too
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// Close stops the server and closes all connections.
func (s *Server) Close() { s.server.Stop() }

// Set sets the value of a key.
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

// PutAll changes many keys in one revision, as a transaction does. Keys with an empty value are deleted.
func (s *Server) PutAll(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.putAll(values)
	s.signalChange()
}

// signalChange wakes all watches, which then check for new events. The caller holds mu.
func (s *Server) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetUnavailable sets whether the server rejects every call. Setting it to true also ends all watches.
func (s *Server) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unavailable = unavailable
	if unavailable {
		s.endWatches()
	}
}

// BreakWatches ends all current watches with an error; clients may create new ones.
func (s *Server) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches()
}

// endWatches ends all watches with an error. The caller holds mu.
func (s *Server) endWatches() {
	close(s.broken)
	s.broken = make(chan struct{})
}

// CompactHistory discards the history before the current revision. Watches that are created with an earlier start
// revision are cancelled.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.compact(s.store.revision)
}

// SetSilent sets whether watches send nothing. They stay open, and send the missing events when it is set to false.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.silent = silent
	s.signalChange()
}

// SetWithholdWatches sets whether the server ignores requests to create a watch. The streams stay open and answer
// progress requests.
func (s *Server) SetWithholdWatches(withhold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesWithheld = withhold
}

// SetWatchDelay sets the time by which watches delay each event.
func (s *Server) SetWatchDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelay = delay
}

// notify calls OnNotify, if set, with the user agent from the context of a call.
func (s *Server) notify(ctx context.Context, key, value []byte) {
	if s.OnNotify == nil {
		return
	}
	md, _ := metadata.FromIncomingContext(ctx) // without metadata there is no user agent
	if agents := md.Get("user-agent"); len(agents) > 0 {
		agent, _, _ := strings.Cut(agents[0], " ")
		s.OnNotify(agent, string(key), value)
	}
}

// header returns the header of a response. The caller holds mu.
func (s *Server) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: s.store.revision, RaftTerm: 1}
}

// currentHeader is like header, for callers that do not hold mu.
func (s *Server) currentHeader() *etcdserverpb.ResponseHeader {
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
