package etcd

import (
	"bytes"
	"maps"
	"slices"
	"sort"

	"go.etcd.io/etcd/api/v3/mvccpb"
)

// store holds the key-value pairs and their history.
type store struct {
	revision int64
	pairs    map[string]*mvccpb.KeyValue // the current state
	events   []*mvccpb.Event             // all events since the last compaction, in order of revision

	compactRevision int64                       // earlier revisions are compacted
	compacted       map[string]*mvccpb.KeyValue // the state before the first of events
}

func newStore() *store {
	return &store{
		revision:  1,
		pairs:     map[string]*mvccpb.KeyValue{},
		compacted: map[string]*mvccpb.KeyValue{},
	}
}

// put sets the value of a key in a new revision.
func (s *store) put(key string, value []byte) {
	s.revision++
	pair := &mvccpb.KeyValue{
		Key:            []byte(key),
		Value:          value,
		ModRevision:    s.revision,
		CreateRevision: s.revision,
		Version:        1,
	}
	if former := s.pairs[key]; former != nil {
		pair.CreateRevision, pair.Version = former.CreateRevision, former.Version+1
	}
	s.pairs[key] = pair
	s.events = append(s.events, &mvccpb.Event{Type: mvccpb.PUT, Kv: pair})
}

// remove removes a key in a new revision. If the key does not exist, it does nothing and reports false.
func (s *store) remove(key string) bool {
	if s.pairs[key] == nil {
		return false
	}
	s.revision++
	delete(s.pairs, key)
	pair := &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision}
	s.events = append(s.events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: pair})
	return true
}

// putAll changes many keys in one new revision. Keys with an empty value are removed.
func (s *store) putAll(values map[string][]byte) {
	before := s.revision
	for key, value := range values {
		s.revision = before
		if len(value) == 0 {
			s.remove(key)
		} else {
			s.put(key, value)
		}
	}
	s.revision = before + 1
}

// compact discards the history before a revision.
func (s *store) compact(revision int64) {
	s.compactRevision = revision
	first := s.firstEvent(revision)
	for _, e := range s.events[:first] {
		apply(s.compacted, e)
	}
	s.events = slices.Clone(s.events[first:])
}

// firstEvent returns the index of the first event at or after a revision.
func (s *store) firstEvent(revision int64) int {
	return sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= revision })
}

// stateAt returns the state at a revision that has not been compacted; 0 means the current state. The caller must not
// change the result.
func (s *store) stateAt(revision int64) map[string]*mvccpb.KeyValue {
	if revision <= 0 || revision >= s.revision {
		return s.pairs
	}
	pairs := maps.Clone(s.compacted)
	for _, e := range s.events[:s.firstEvent(revision+1)] {
		apply(pairs, e)
	}
	return pairs
}

// apply applies an event to a state.
func apply(pairs map[string]*mvccpb.KeyValue, e *mvccpb.Event) {
	if e.Type == mvccpb.DELETE {
		delete(pairs, string(e.Kv.Key))
	} else {
		pairs[string(e.Kv.Key)] = e.Kv
	}
}

// keyRange is a range of keys as in etcd's API. Without an end it contains only the start key. With the end "\x00" it
// contains all keys from the start on.
type keyRange struct{ start, end []byte }

func (r keyRange) contains(key []byte) bool {
	switch {
	case len(r.end) == 0:
		return bytes.Equal(key, r.start)
	case len(r.end) == 1 && r.end[0] == 0:
		return bytes.Compare(key, r.start) >= 0
	}
	return bytes.Compare(key, r.start) >= 0 && bytes.Compare(key, r.end) < 0
}

// keysIn returns the keys of a state that are in a range, in ascending order.
func keysIn(pairs map[string]*mvccpb.KeyValue, r keyRange) []string {
	var keys []string
	for key := range pairs {
		if r.contains([]byte(key)) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
