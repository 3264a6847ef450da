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

// maxHeldFactor is how many times the maximum of nodes may be held of one response or complete list, as nodes and
// skipped entries. It guards against a response without an end; it could harm where one response really has more changes
// than that, which only costs reading the complete list.
const maxHeldFactor = 2

// Why a complete list is given up.
var (
	errTooManyKeys = errors.New("more than twice as many keys as list most allows")
	errNoRevision  = errors.New("a page without its revision")
	errKeyOrder    = errors.New("a page with keys out of order")
	errEmptyPage   = errors.New("an empty page with more to come")
)

// list is what has been passed on of the list in etcd, and the state of its watch. It does no I/O: pages and responses
// go in, updates and errors come out. Whatever comes, it holds a bounded number of nodes.
type list struct {
	prefix   string
	maxNodes int
	revision int64                     // every change up to it has been passed on
	nodes    map[string]discovery.Node // as passed on, by address; removed ones are not in it

	state        watchState
	lastRevision int64 // of the last event taken
	heldChanges
}

// heldChanges are the changes of a response whose last fragment has not come.
type heldChanges struct {
	held    []discovery.Node // in order
	latest  map[string]int   // the last index of an address in held
	growth  int              // by how much held changes the number of nodes
	events  int
	skipped []string
}

func (l *list) dropHeld() { l.heldChanges = heldChanges{latest: map[string]int{}} }

// hold takes the events of a response or fragment. Those that were passed on before are ignored.
func (l *list) hold(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	for _, e := range r.Events {
		if e.Kv.ModRevision <= l.revision {
			continue
		}
		l.events++
		if e.Kv.ModRevision < l.lastRevision || l.events > maxHeldFactor*l.maxNodes {
			return nil, errHistoryLost // revisions that decrease between fragments; more than a complete list holds
		}
		l.lastRevision = e.Kv.ModRevision
		l.holdPair(e.Kv, e.Type == mvccpb.DELETE)
	}
	return nil, nil
}

// release takes the last events of a response and passes on all that is held: the changes of one revision belong
// together.
func (l *list) release(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if _, err := l.hold(r); err != nil {
		return nil, err
	}
	update := &discovery.Update{Kind: honeyplank.Delta, Nodes: l.held, Skipped: l.skipped}
	l.dropHeld()
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

// holdPair holds the change that a pair is. Only its deletion removes a node: a value that is not valid changes nothing,
// and neither does the deletion of a node that is not there. Once there are as many nodes as the maximum no new one is
// taken, while changes of the others, such as that they drain, are.
func (l *list) holdPair(pair *mvccpb.KeyValue, deleted bool) {
	address, ok := strings.CutPrefix(string(pair.Key), l.prefix)
	if !ok {
		l.skip("the key %.80q is not of the list", pair.Key)
		return
	}
	n, listed := l.node(address)
	if !listed && deleted {
		return
	}
	if !deleted {
		record, err := discovery.ParseRecord(address, pair.Value)
		if err != nil {
			l.skipped = append(l.skipped, err.Error())
			return
		}
		n.Record = record
	}
	switch {
	case deleted:
		l.growth--
	case !listed && len(l.nodes)+l.growth >= l.maxNodes:
		l.skip("%s would be node %d, list most is %d", address, l.maxNodes+1, l.maxNodes)
		return
	case !listed:
		l.growth++
	}
	n.Address, n.Removed = address, deleted
	l.latest[address] = len(l.held)
	l.held = append(l.held, n)
}

// node is a node by its address, with the changes that are held.
func (l *list) node(address string) (n discovery.Node, listed bool) {
	if i, ok := l.latest[address]; ok {
		return l.held[i], !l.held[i].Removed
	}
	n, listed = l.nodes[address]
	return n, listed
}

func (l *list) skip(format string, a ...any) {
	l.skipped = append(l.skipped, fmt.Sprintf("discovery: "+format, a...))
}

// listRead is a complete list that is read page by page, all at the revision of the first.
type listRead struct {
	list
	nextKey []byte // where the next page begins
}

// newRead begins to read the complete list.
func (l *list) newRead() *listRead {
	r := &listRead{list: list{prefix: l.prefix, maxNodes: l.maxNodes}, nextKey: []byte(l.prefix)}
	r.dropHeld()
	return r
}

// addPage takes in a page and reports whether there are more.
func (r *listRead) addPage(p *etcdserverpb.RangeResponse) (more bool, err error) {
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
		if len(r.held)+len(r.skipped) >= maxHeldFactor*r.maxNodes {
			return false, errTooManyKeys
		}
		r.holdPair(pair, false)
	}
	if p.More && len(p.Kvs) == 0 {
		return false, errEmptyPage
	}
	return p.More, nil
}

// replace puts a complete list in place of what was passed on, unless the watch has passed on a later revision.
func (l *list) replace(r *listRead) *discovery.Update {
	if r.revision < l.revision && (l.state == watching || l.state == receivingFragments) {
		return &discovery.Update{Kind: honeyplank.Delta}
	}
	l.nodes, l.revision = make(map[string]discovery.Node, len(r.held)), r.revision
	for _, n := range r.held {
		l.nodes[n.Address] = n
	}
	return &discovery.Update{Kind: honeyplank.Complete, Revision: r.revision, Nodes: r.held, Skipped: r.skipped}
}
