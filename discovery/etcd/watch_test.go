package etcd

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"honeyplank/discovery"
)

const testMaxNodes = 5 // of the fuzzed list

// change is one event in the model.
type change struct {
	revision int64
	key      string
	node     *discovery.Node // nil: deleted
}

// model is a simple and slow model of a watch. It keeps all accepted events and computes the list from the beginning
// each time. It has no state table and shares no code with list.
type model struct {
	base              map[string]discovery.Node
	baseAt            int64
	taken             []change // events of complete responses
	pending           []change // events of fragments of an incomplete response
	progressRevision  int64    // of the last progress notification
	awaitingFragments bool     // more fragments of the response follow
	created           bool
	ended             bool
}

func (m *model) revision() int64 {
	r := max(m.baseAt, m.progressRevision)
	for _, c := range m.taken {
		r = max(r, c.revision)
	}
	return r
}

func (m *model) known() map[string]discovery.Node {
	out := maps.Clone(m.base)
	for _, c := range m.taken {
		if _, listed := out[c.key]; c.node == nil {
			delete(out, c.key)
		} else if listed || len(out) < testMaxNodes {
			out[c.key] = *c.node
		}
	}
	return out
}

// handle applies a response and reports whether the watch continues.
func (m *model) handle(r *etcdserverpb.WatchResponse) bool {
	progress := len(r.Events) == 0 && !r.Fragment && (!m.awaitingFragments || r.WatchId < 0) && !r.Created
	switch {
	case m.ended:
	case r.Header == nil || r.Canceled || !wellFormed(r.Events),
		r.Created == m.created && !progress,
		r.Created && r.Header.Revision < m.revision():
		m.ended = true
	case r.Created:
		m.created = true
	case progress:
		if m.created && !m.awaitingFragments {
			m.progressRevision = max(m.progressRevision, r.Header.Revision)
		}
	case !m.collect(r.Events):
		m.ended = true
	case r.Fragment:
		m.awaitingFragments = true
	default:
		m.commit()
	}
	return !m.ended
}

// wellFormed reports whether each event has a pair and the revisions do not decrease.
func wellFormed(events []*mvccpb.Event) bool {
	withoutPair := func(e *mvccpb.Event) bool { return e.Kv == nil }
	byRevision := func(a, b *mvccpb.Event) int { return cmp.Compare(a.Kv.ModRevision, b.Kv.ModRevision) }
	return !slices.ContainsFunc(events, withoutPair) && slices.IsSortedFunc(events, byRevision)
}

// collect adds the events of a response or fragment to the pending changes. It returns false if they end the watch: a
// revision is lower than that of a pending change, or there are too many changes.
func (m *model) collect(events []*mvccpb.Event) bool {
	revision := m.revision()
	for _, e := range events {
		if e.Kv.ModRevision <= revision {
			continue
		}
		c := parseChange(e)
		if slices.ContainsFunc(m.pending, func(p change) bool { return p.revision > c.revision }) {
			return false
		}
		m.pending = append(m.pending, c)
		if len(m.pending) > 2*testMaxNodes {
			return false
		}
	}
	return true
}

// parseChange returns the change by an event. A skipped event has no key.
func parseChange(e *mvccpb.Event) change {
	c := change{revision: e.Kv.ModRevision}
	address, ok := strings.CutPrefix(string(e.Kv.Key), prefix)
	if !ok {
		return c
	}
	if e.Type == mvccpb.PUT {
		record, err := discovery.ParseRecord(address, e.Kv.Value)
		if err != nil {
			return c
		}
		c.node = &discovery.Node{Record: record, Address: address}
	}
	c.key = address
	return c
}

// commit moves the pending changes to taken, since the response is complete.
func (m *model) commit() {
	for _, c := range m.pending {
		if c.key == "" { // a skipped event: only its revision counts
			c = change{revision: c.revision, key: "-"}
		}
		m.taken = append(m.taken, c)
	}
	m.pending, m.awaitingFragments = nil, false
}

// scriptedResponse returns a response of one kind; n encodes its revision, key and value.
func scriptedResponse(kind, n byte) *etcdserverpb.WatchResponse {
	revision := int64(n >> 4)
	head := &etcdserverpb.ResponseHeader{Revision: max(revision, 9)}
	event := &mvccpb.Event{Kv: &mvccpb.KeyValue{
		Key:         fmt.Appendf(nil, "%s127.0.0.1:%d", prefix, n&7),
		ModRevision: revision,
		Value:       []byte(`{"state":"draining"}`),
	}}
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
	case 7: // two events in one response, with the second revision lower or higher than the first
		deleted := &mvccpb.KeyValue{Key: event.Kv.Key, ModRevision: int64(n & 15)}
		out.Events = append(out.Events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: deleted})
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

// FuzzWatch applies arbitrary responses of etcd, in any order: decreasing revisions, events for unknown keys and for
// keys outside the list, events without pairs, fragments, progress notifications, cancellations and the responses after
// them. The watch and the model must have the same nodes and end at the same response. The updates, applied in order,
// must result in the same nodes.
func FuzzWatch(f *testing.F) {
	f.Add([]byte{0, 5, 1, 0x61, 1, 0x72, 2, 0x83, 1, 0x91, 3, 0, 1, 0xA1})
	f.Add([]byte{0, 5, 1, 0x61, 1, 0x51, 7, 0x81, 4, 0, 1, 0x90})
	f.Add([]byte{0, 2, 8, 0x61, 8, 0x71, 1, 0x81, 5, 0x91, 6, 0xA1, 9, 0})
	f.Add([]byte{0, 9, 1, 0xA1, 1, 0xA2, 1, 0xB3, 1, 0xB4, 1, 0xB5, 1, 0xC6, 2, 0xD1, 1, 0xE6})
	f.Fuzz(func(t *testing.T, script []byte) {
		w := newFuzzedWatch(t)
		for len(script) >= 2 {
			w.handle(scriptedResponse(script[0], script[1]))
			script = script[2:]
		}
	})
}

// fuzzedWatch applies the same responses to a list and its model.
type fuzzedWatch struct {
	t        *testing.T
	list     list
	model    *model
	received map[string]discovery.Node // the nodes that result from the updates, by address
}

// newFuzzedWatch starts a watch of a list of three nodes at revision 5.
func newFuzzedWatch(t *testing.T) *fuzzedWatch {
	t.Helper()
	w := &fuzzedWatch{
		t:        t,
		list:     list{prefix: prefix, maxNodes: testMaxNodes, nodes: map[string]discovery.Node{}},
		model:    &model{base: map[string]discovery.Node{}, baseAt: 5},
		received: map[string]discovery.Node{},
	}
	page := &etcdserverpb.RangeResponse{Header: &etcdserverpb.ResponseHeader{Revision: 5}}
	for i := range 3 {
		page.Kvs = append(page.Kvs, &mvccpb.KeyValue{
			Key:         fmt.Appendf(nil, "%s127.0.0.1:%d", prefix, i+1),
			Value:       []byte(`{"state":"on"}`),
			ModRevision: 5,
		})
	}
	reader := w.list.newListReader()
	if _, err := reader.addPage(page); err != nil {
		t.Fatal(err)
	}
	for _, n := range w.list.replace(reader).Nodes {
		w.received[n.Address], w.model.base[n.Address] = n, n
	}
	w.list.beginWatch()
	return w
}

// handle applies a response to the list and to the model, and compares them.
func (w *fuzzedWatch) handle(response *etcdserverpb.WatchResponse) {
	w.t.Helper()
	revisionBefore := w.list.revision
	update, err := w.list.handle(response)
	if continues := w.model.handle(response); continues != (err == nil) {
		w.t.Fatalf("%v: the watch returned %v, the model continues: %v", response, err, continues)
	}
	if err != nil {
		if update != nil || errors.Is(err, errTooManyKeys) {
			w.t.Fatalf("update %+v with the error %v", update, err)
		}
		return // further responses change nothing
	}
	if update != nil {
		w.receive(update)
	}
	if update != nil && update.Current && (w.model.awaitingFragments || w.model.revision() < response.Header.Revision) {
		w.t.Fatalf("%v: update is marked as current, the model is at revision %d", response, w.model.revision())
	}
	if w.list.revision < revisionBefore || w.list.revision != w.model.revision() {
		w.t.Fatalf("revision %d, previously %d, model %d", w.list.revision, revisionBefore, w.model.revision())
	}
	w.checkNodes()
}

// receive applies an update.
func (w *fuzzedWatch) receive(update *discovery.Update) {
	for _, n := range update.Nodes {
		if w.received[n.Address] = n; n.Removed {
			delete(w.received, n.Address)
		}
	}
}

// checkNodes compares the nodes of list, updates and model, and checks that their number is within its limit.
func (w *fuzzedWatch) checkNodes() {
	w.t.Helper()
	l := &w.list
	if want := w.model.known(); !maps.Equal(l.nodes, want) || !maps.Equal(w.received, want) {
		w.t.Fatalf("nodes %v\nreceived %v\nmodel %v", l.nodes, w.received, want)
	}
	if len(l.nodes) > testMaxNodes || len(l.pending)+len(l.skipped) > 2*testMaxNodes {
		w.t.Fatalf("%d nodes, %d pending, %d skipped", len(l.nodes), len(l.pending), len(l.skipped))
	}
}

// TestMalformedPages reads faulty pages: without a revision, with keys out of order, or in an endless list. They must
// be rejected, and the number of nodes kept must be within its limit.
func TestMalformedPages(t *testing.T) {
	pair := func(i int) *mvccpb.KeyValue {
		return &mvccpb.KeyValue{Key: fmt.Appendf(nil, "%s127.0.0.1:%05d", prefix, i), Value: []byte(`{"state":"on"}`)}
	}
	l := list{prefix: prefix, maxNodes: testMaxNodes, nodes: map[string]discovery.Node{}}
	head := &etcdserverpb.ResponseHeader{Revision: 7}
	for name, p := range map[string]*etcdserverpb.RangeResponse{
		"without a revision":          {Kvs: []*mvccpb.KeyValue{pair(1)}},
		"out of order":                {Header: head, Kvs: []*mvccpb.KeyValue{pair(2), pair(1)}},
		"the same key twice":          {Header: head, Kvs: []*mvccpb.KeyValue{pair(2), pair(2)}},
		"before the list":             {Header: head, Kvs: []*mvccpb.KeyValue{{Key: []byte("/")}}},
		"empty, although more follow": {Header: head, More: true},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := l.newListReader().addPage(p); err == nil {
				t.Error("the faulty page was accepted")
			}
		})
	}
	r := l.newListReader()
	var err error
	n := 0
	for ; err == nil && n < 100; n++ {
		page := &etcdserverpb.RangeResponse{Header: head, Kvs: []*mvccpb.KeyValue{pair(n + 1)}, More: true}
		_, err = r.addPage(page)
	}
	if !errors.Is(err, errTooManyKeys) || n > 2*testMaxNodes+1 || len(r.pending) != testMaxNodes {
		t.Errorf("endless list: error %v after %d pages, %d nodes pending", err, n, len(r.pending))
	}
}
