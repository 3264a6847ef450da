package etcd

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"honeyplank/discovery"
)

const testMaxNodes = 5 // of the fuzzed list

// change is one event as the model remembers it.
type change struct {
	revision int64
	key      string
	node     *discovery.Node // nil: deleted
}

// model is the slow plain rule of a watch: it keeps all that was ever taken and works out each time, from the
// beginning, what must be known by now. It knows no fragments, tables or bounds but the rule itself.
type model struct {
	base    map[string]discovery.Node
	baseAt  int64
	taken   []change // of responses that are complete
	pending []change // of fragments
	upTo    int64    // by a progress notice
	open    bool     // more fragments are to come
	created bool
	over    bool
}

func (m *model) revision() int64 {
	r := max(m.baseAt, m.upTo)
	for _, c := range m.taken {
		r = max(r, c.revision)
	}
	return r
}

func (m *model) known() map[string]discovery.Node {
	out := maps.Clone(m.base)
	for _, c := range m.taken {
		if _, there := out[c.key]; c.node == nil {
			delete(out, c.key)
		} else if there || len(out) < testMaxNodes {
			out[c.key] = *c.node
		}
	}
	return out
}

// handle reports whether the watch goes on after a response.
func (m *model) handle(r *etcdserverpb.WatchResponse) bool {
	order := slices.IsSortedFunc(r.Events, func(a, b *mvccpb.Event) int { return int(a.GetKv().GetModRevision() - b.GetKv().GetModRevision()) })
	whole := !slices.ContainsFunc(r.Events, func(e *mvccpb.Event) bool { return e.Kv == nil })
	progress := len(r.Events) == 0 && !r.Fragment && (!m.open || r.WatchId < 0) && !r.Created
	switch {
	case m.over:
		return false
	case r.Header == nil || r.Canceled || !order || !whole,
		r.Created == m.created && !progress,
		r.Created && r.Header.Revision < m.revision():
		m.over = true
		return false
	case r.Created:
		m.created = true
		return true
	case progress:
		if m.created && !m.open {
			m.upTo = max(m.upTo, r.Header.Revision)
		}
		return true
	}
	revision := m.revision()
	for _, e := range r.Events {
		c := change{revision: e.Kv.ModRevision, key: string(e.Kv.Key)}
		if c.revision <= revision {
			continue
		}
		for _, p := range m.pending {
			if m.over = m.over || p.revision > c.revision; m.over {
				return false
			}
		}
		if len(c.key) <= len(prefix) || c.key[:len(prefix)] != prefix {
			c.key = ""
		} else if c.key = c.key[len(prefix):]; e.Type == mvccpb.PUT {
			v, err := discovery.ParseRecord(c.key, e.Kv.Value)
			if c.node = (&discovery.Node{Record: v, Address: c.key}); err != nil {
				c.key = ""
			}
		}
		if m.pending = append(m.pending, c); len(m.pending) > 2*testMaxNodes {
			m.over = true
			return false
		}
	}
	if r.Fragment {
		m.open = true
		return true
	}
	for _, c := range m.pending {
		if c.key != "" {
			m.taken = append(m.taken, c)
		} else if c.revision > 0 { // passed on as skipped
			m.taken = append(m.taken, change{revision: c.revision, key: "-"})
		}
	}
	m.pending, m.open = nil, false
	return true
}

// scriptedResponse is a response of one kind; n has its revision, key and value.
func scriptedResponse(kind, n byte) *etcdserverpb.WatchResponse {
	revision := int64(n >> 4)
	head := &etcdserverpb.ResponseHeader{Revision: max(revision, 9)}
	event := &mvccpb.Event{Kv: &mvccpb.KeyValue{Key: []byte(fmt.Sprintf("%s127.0.0.1:%d", prefix, n&7)), ModRevision: revision, Value: []byte(`{"state":"draining"}`)}}
	if n&8 != 0 {
		event.Kv.Value = []byte(`{"state":"on","cell":3}`)
	}
	out := &etcdserverpb.WatchResponse{Header: head, Events: []*mvccpb.Event{event}, Fragment: kind&0x80 != 0}
	switch kind % 12 {
	case 0:
		head.Revision, out.Created, out.Events = int64(n), true, nil
	case 1:
	case 2:
		event.Type, event.Kv.Value = mvccpb.DELETE, nil
	case 3:
		head.Revision, out.Events = int64(n&15), nil
	case 4:
		out.Canceled, out.Events = true, nil
		out.CompactRevision = int64(n)
	case 5:
		event.Kv.Key = []byte("/other/" + string(event.Kv.Key))
	case 6:
		event.Kv = nil
	case 7: // two of one response, the second before or after the first
		out.Events = append(out.Events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: event.Kv.Key, ModRevision: int64(n & 15)}})
	case 8:
		event.Kv.Value = []byte("not a record")
	case 9:
		out.Header = nil
	case 10:
		out.WatchId, out.Events, out.Fragment = -1, nil, false
	case 11:
		event.Kv.Key = []byte(prefix + "no address")
		event.Type = mvccpb.Event_EventType(n & 1)
	}
	return out
}

// FuzzWatch has responses of etcd in any order, with revisions that go back, events for unknown keys and keys
// outside the list, events without pairs, fragments, progress, cancels and what follows them. The watch and the plain
// model must have the same nodes and end together; the updates, applied in order, come to what is known.
func FuzzWatch(f *testing.F) {
	f.Add([]byte{0, 5, 1, 0x61, 1, 0x72, 2, 0x83, 1, 0x91, 3, 0, 1, 0xA1})
	f.Add([]byte{0, 5, 1, 0x61, 1, 0x51, 7, 0x81, 4, 0, 1, 0x90})
	f.Add([]byte{0, 2, 8, 0x61, 8, 0x71, 1, 0x81, 5, 0x91, 6, 0xA1, 9, 0})
	f.Add([]byte{0, 9, 1, 0xA1, 1, 0xA2, 1, 0xB3, 1, 0xB4, 1, 0xB5, 1, 0xC6, 2, 0xD1, 1, 0xE6})
	f.Fuzz(func(t *testing.T, script []byte) {
		base := map[string]discovery.Node{}
		l := list{prefix: prefix, maxNodes: testMaxNodes, nodes: map[string]discovery.Node{}}
		r := l.newRead()
		page := &etcdserverpb.RangeResponse{Header: &etcdserverpb.ResponseHeader{Revision: 5}}
		for i := range 3 {
			page.Kvs = append(page.Kvs, &mvccpb.KeyValue{Key: []byte(fmt.Sprintf("%s127.0.0.1:%d", prefix, i+1)), Value: []byte(`{"state":"on"}`), ModRevision: 5})
		}
		if _, err := r.addPage(page); err != nil {
			t.Fatal(err)
		}
		received := map[string]discovery.Node{}
		for _, n := range l.replace(r).Nodes {
			received[n.Address], base[n.Address] = n, n
		}
		l.beginWatch()
		m := &model{base: base, baseAt: 5}
		for len(script) >= 2 {
			kind, n := script[0], script[1]
			script = script[2:]
			out := scriptedResponse(kind, n)
			revisionBefore := l.revision
			update, err := l.handle(out)
			if goesOn := m.handle(out); goesOn != (err == nil) {
				t.Fatalf("%v: the watch returns %v, the model goes on: %v", out, err, goesOn)
			}
			if err != nil {
				if update != nil || errors.Is(err, errTooManyKeys) {
					t.Fatalf("%+v with %v", update, err)
				}
				continue // further responses change nothing
			}
			if update != nil {
				for _, n := range update.Nodes {
					if received[n.Address] = n; n.Removed {
						delete(received, n.Address)
					}
				}
			}
			if update != nil && update.Current && (m.open || m.revision() < out.Header.Revision) {
				t.Fatalf("%v: passed on as current, the model is at %d", out, m.revision())
			}
			if l.revision < revisionBefore || l.revision != m.revision() {
				t.Fatalf("revision %d, was %d, the model's is %d", l.revision, revisionBefore, m.revision())
			}
			if want := m.known(); !maps.Equal(l.nodes, want) || !maps.Equal(received, want) {
				t.Fatalf("nodes %v\nreceived %v\nmodel %v", l.nodes, received, want)
			}
			if len(l.nodes) > testMaxNodes || len(l.pending)+len(l.skipped) > 2*testMaxNodes {
				t.Fatalf("%d nodes, %d pending, %d skipped", len(l.nodes), len(l.pending), len(l.skipped))
			}
		}
	})
}

// TestPages has lists that lie: without a revision, out of order, without an end. What is kept stays bounded.
func TestPages(t *testing.T) {
	pair := func(i int) *mvccpb.KeyValue {
		return &mvccpb.KeyValue{Key: fmt.Appendf(nil, "%s127.0.0.1:%05d", prefix, i), Value: []byte(`{"state":"on"}`)}
	}
	l := list{prefix: prefix, maxNodes: testMaxNodes, nodes: map[string]discovery.Node{}}
	head := &etcdserverpb.ResponseHeader{Revision: 7}
	for name, p := range map[string]*etcdserverpb.RangeResponse{
		"without a revision":       {Kvs: []*mvccpb.KeyValue{pair(1)}},
		"out of order":             {Header: head, Kvs: []*mvccpb.KeyValue{pair(2), pair(1)}},
		"the same key twice":       {Header: head, Kvs: []*mvccpb.KeyValue{pair(2), pair(2)}},
		"before the list":          {Header: head, Kvs: []*mvccpb.KeyValue{{Key: []byte("/")}}},
		"empty, with more to come": {Header: head, More: true},
	} {
		if _, err := l.newRead().addPage(p); err == nil {
			t.Error(name, "is taken")
		}
	}
	r := l.newRead()
	var err error
	n := 0
	for ; err == nil && n < 100; n++ {
		_, err = r.addPage(&etcdserverpb.RangeResponse{Header: head, Kvs: []*mvccpb.KeyValue{pair(n + 1)}, More: true})
	}
	if !errors.Is(err, errTooManyKeys) || n > 2*testMaxNodes+1 || len(r.pending) != testMaxNodes {
		t.Errorf("a list without an end: %v after %d pages, %d pending", err, n, len(r.pending))
	}
}
