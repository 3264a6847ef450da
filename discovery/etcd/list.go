package etcd

import (
	"errors"
	"fmt"
	"strings"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"honeyplank"
	"honeyplank/discovery"
)

// maxPendingFactor limits the nodes and skipped entries that are pending for one response or complete list, as a
// multiple of the maximum number of nodes. It bounds the memory for an endless response. Limitation: a valid response
// with more changes makes the watch fail, so that the complete list must be read.
const maxPendingFactor = 2

// The reasons why a complete list is rejected.
var (
	errTooManyKeys = errors.New("more keys than twice the maximum number of nodes (attribute most of list)")
	errNoRevision  = errors.New("page without a revision")
	errKeyOrder    = errors.New("page with keys out of order")
	errEmptyPage   = errors.New("empty page although more keys follow")
)

// list has the nodes of the list in etcd that were passed on, and the state of the watch. It does no I/O: it receives
// pages and responses, and returns updates and errors. It keeps a limited number of nodes for any input.
type list struct {
	prefix   string
	maxNodes int
	revision int64                     // every change up to it has been passed on
	nodes    map[string]discovery.Node // as passed on, by address, without removed ones

	state        watchState
	lastRevision int64 // of the last event collected
	pendingChanges
}

// pendingChanges has the changes of a response whose last fragment has not arrived.
type pendingChanges struct {
	pending []discovery.Node // in order
	latest  map[string]int   // the last index of an address in pending
	growth  int              // number of nodes that pending adds, minus the number that it removes
	events  int
	skipped []string
}

func (l *list) dropPending() { l.pendingChanges = pendingChanges{latest: map[string]int{}} }

// collect adds the events of a response or fragment to the pending changes. It ignores events that were already passed
// on.
func (l *list) collect(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	for _, e := range r.Events {
		if e.Kv.ModRevision <= l.revision {
			continue
		}
		l.events++
		if e.Kv.ModRevision < l.lastRevision || l.events > maxPendingFactor*l.maxNodes {
			return nil, errHistoryLost // revisions decrease between fragments, or there are too many events
		}
		l.lastRevision = e.Kv.ModRevision
		if e.Type == mvccpb.DELETE {
			l.addDeletion(e.Kv)
		} else {
			l.addPut(e.Kv)
		}
	}
	return nil, nil
}

// commit collects the last events of a response and passes on all pending changes in one update: the changes of one
// revision belong together.
func (l *list) commit(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if _, err := l.collect(r); err != nil {
		return nil, err
	}
	update := &discovery.Update{Kind: honeyplank.Delta, Nodes: l.pending, Skipped: l.skipped}
	l.dropPending()
	l.revision = max(l.revision, l.lastRevision)
	if len(update.Nodes)+len(update.Skipped) == 0 {
		return nil, nil
	}
	update.Revision, update.Current = l.revision, l.revision >= r.Header.Revision
	for _, n := range update.Nodes {
		if l.nodes[n.Address] = n; n.Removed {
			delete(l.nodes, n.Address)
		}
	}
	return update, nil
}

// addPut adds the change for a key that was set. An invalid value changes nothing. If the maximum number of nodes is
// reached, new nodes are skipped; changes of listed nodes, for example to draining, are still applied.
func (l *list) addPut(pair *mvccpb.KeyValue) {
	address, ok := l.address(pair)
	if !ok {
		return
	}
	record, err := discovery.ParseRecord(address, pair.Value)
	if err != nil {
		l.skipped = append(l.skipped, err.Error())
		return
	}
	if _, listed := l.node(address); !listed {
		if len(l.nodes)+l.growth >= l.maxNodes {
			l.skip("%s would be node %d, the maximum (attribute most of list) is %d", address, l.maxNodes+1, l.maxNodes)
			return
		}
		l.growth++
	}
	l.addChange(discovery.Node{Record: record, Address: address})
}

// addDeletion adds the change for a key that was deleted. It does nothing if the node is not listed.
func (l *list) addDeletion(pair *mvccpb.KeyValue) {
	address, ok := l.address(pair)
	if !ok {
		return
	}
	if n, listed := l.node(address); listed {
		n.Removed = true
		l.growth--
		l.addChange(n)
	}
}

func (l *list) addChange(n discovery.Node) {
	l.latest[n.Address] = len(l.pending)
	l.pending = append(l.pending, n)
}

// address returns the address that follows the prefix in the key of a pair. If the key does not have the prefix, the
// pair is skipped and ok is false.
func (l *list) address(pair *mvccpb.KeyValue) (address string, ok bool) {
	address, ok = strings.CutPrefix(string(pair.Key), l.prefix)
	if !ok {
		l.skip("key %.80q does not have the prefix of the list", pair.Key)
	}
	return address, ok
}

// node returns the node with an address, including pending changes, and whether it is listed.
func (l *list) node(address string) (n discovery.Node, listed bool) {
	if i, ok := l.latest[address]; ok {
		return l.pending[i], !l.pending[i].Removed
	}
	n, listed = l.nodes[address]
	return n, listed
}

func (l *list) skip(format string, a ...any) {
	l.skipped = append(l.skipped, fmt.Sprintf("discovery: "+format, a...))
}

// listReader is a complete list while it is read page by page. All pages are read at the revision of the first one.
type listReader struct {
	list
	nextKey []byte // the key at which the next page begins
}

// newListReader returns an empty listReader with the prefix and limit of the list.
func (l *list) newListReader() *listReader {
	r := &listReader{list: list{prefix: l.prefix, maxNodes: l.maxNodes}, nextKey: []byte(l.prefix)}
	r.dropPending()
	return r
}

// addPage adds a page and reports whether more pages follow.
func (r *listReader) addPage(p *etcdserverpb.RangeResponse) (more bool, err error) {
	if p.GetHeader() == nil || p.Header.Revision < 1 {
		return false, errNoRevision
	}
	if r.revision == 0 {
		r.revision = p.Header.Revision
	}
	for _, pair := range p.Kvs {
		if pair == nil || string(pair.Key) < string(r.nextKey) {
			return false, errKeyOrder
		}
		r.nextKey = append(append(r.nextKey[:0], pair.Key...), 0)
		if len(r.pending)+len(r.skipped) >= maxPendingFactor*r.maxNodes {
			return false, errTooManyKeys
		}
		r.addPut(pair)
	}
	if p.More && len(p.Kvs) == 0 {
		return false, errEmptyPage
	}
	return p.More, nil
}

// replace sets the nodes to those of a complete list and returns the update to be passed on. If the watch has passed on
// a later revision, it changes nothing and returns an update without nodes.
func (l *list) replace(r *listReader) *discovery.Update {
	if r.revision < l.revision && (l.state == watching || l.state == receivingFragments) {
		return &discovery.Update{Kind: honeyplank.Delta}
	}
	l.nodes, l.revision = make(map[string]discovery.Node, len(r.pending)), r.revision
	for _, n := range r.pending {
		l.nodes[n.Address] = n
	}
	return &discovery.Update{Kind: honeyplank.Complete, Revision: r.revision, Nodes: r.pending, Skipped: r.skipped}
}
