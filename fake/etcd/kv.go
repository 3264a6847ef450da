package etcd

import (
	"context"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const compactedText = "etcdserver: mvcc: required revision has been compacted"

var (
	errCompacted      = status.Error(codes.OutOfRange, compactedText)
	errFutureRevision = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
)

// Range returns key-value pairs of the current state or of an earlier one.
func (s *Server) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.unavailable {
		return nil, errUnavailable
	}
	if r.Revision > 0 && r.Revision < s.store.compactRevision {
		return nil, errCompacted
	}
	pairs := s.store.stateAt(r.Revision)
	keys := keysIn(pairs, keyRange{r.Key, r.RangeEnd})
	out := &etcdserverpb.RangeResponse{Header: s.header(), Count: int64(len(keys))}
	if r.Limit > 0 && int64(len(keys)) > r.Limit {
		out.More = true
		keys = keys[:r.Limit]
	}
	for _, key := range keys {
		pair := pairs[key]
		out.Kvs = append(out.Kvs, pair)
		s.notify(ctx, pair.Key, pair.Value)
	}
	return out, nil
}

// Put sets the value of a key.
func (s *Server) Put(_ context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.unavailable {
		return nil, errUnavailable
	}
	s.store.put(string(r.Key), r.Value)
	s.signalChange()
	return &etcdserverpb.PutResponse{Header: s.header()}, nil
}

// DeleteRange removes the keys in a range.
func (s *Server) DeleteRange(
	_ context.Context, r *etcdserverpb.DeleteRangeRequest,
) (*etcdserverpb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.unavailable {
		return nil, errUnavailable
	}
	out := &etcdserverpb.DeleteRangeResponse{}
	for _, key := range keysIn(s.store.pairs, keyRange{r.Key, r.RangeEnd}) {
		s.store.remove(key)
		out.Deleted++
	}
	if out.Deleted > 0 {
		s.signalChange()
	}
	out.Header = s.header()
	return out, nil
}

// Compact discards the history before a revision.
func (s *Server) Compact(
	_ context.Context, r *etcdserverpb.CompactionRequest,
) (*etcdserverpb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.unavailable:
		return nil, errUnavailable
	case r.Revision <= s.store.compactRevision:
		return nil, errCompacted
	case r.Revision > s.store.revision:
		return nil, errFutureRevision
	}
	s.store.compact(r.Revision)
	return &etcdserverpb.CompactionResponse{Header: s.header()}, nil
}
