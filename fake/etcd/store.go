package etcd

import (
	"bytes"
	"maps"
	"slices"
	"sort"

	"go.etcd.io/etcd/api/v3/mvccpb"
)

// store is the keys with their history.
type store struct {
	revision int64
	pairs    map[string]*mvccpb.KeyValue // the present state
	events   []*mvccpb.Event             // since the compaction, in order of revision

	compactRevision int64                       // revisions before are compacted away
	compacted       map[string]*mvccpb.KeyValue // the state before events
}

func newStore() *store {
	return &store{
		revision:  1,
		pairs:     map[string]*mvccpb.KeyValue{},
		compacted: map[string]*mvccpb.KeyValue{},
	}
}

// put sets the value of a key in a revision of its own.
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

// remove removes a key in a revision of its own. It reports false, and does nothing, where there is no such key.
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

// putAll puts (or, without a value, removes) many keys in one revision.
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

// compact drops the history before a revision.
func (s *store) compact(revision int64) {
	s.compactRevision = revision
	first := s.firstEvent(revision)
	for _, e := range s.events[:first] {
		apply(s.compacted, e)
	}
	s.events = slices.Clone(s.events[first:])
}

// firstEvent is the index of the first event of a revision or a later one.
func (s *store) firstEvent(revision int64) int {
	return sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= revision })
}

// at is the state at a revision that is not compacted away; 0: the present state. It must not be changed.
func (s *store) at(revision int64) map[string]*mvccpb.KeyValue {
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

// keyRange is a range of keys as etcd's API gives it: without an end it is one key, with the end "\x00" all keys from
// its start on.
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

// keysIn are the keys of a state in a range, in order.
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
