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

// maxPendingFactor is how many times the maximum of nodes may be pending of one response or complete list, as nodes
// and skipped entries. It guards against a response without an end; it could harm where one response really has more
// changes than that, which only costs reading the complete list.
const maxPendingFactor = 2

// Why a complete list is given up.
var (
	errTooManyKeys = errors.New("more than twice as many keys as list most allows")
	errNoRevision  = errors.New("a page without its revision")
	errKeyOrder    = errors.New("a page with keys out of order")
	errEmptyPage   = errors.New("an empty page with more to come")
)

// list is what has been passed on of the list in etcd, and the state of its watch. It does no I/O: pages and responses
// go in, updates and errors come out. Whatever comes, it keeps a bounded number of nodes.
type list struct {
	prefix   string
	maxNodes int
	revision int64                     // every change up to it has been passed on
	nodes    map[string]discovery.Node // as passed on, by address; removed ones are not in it

	state        watchState
	lastRevision int64 // of the last event taken
	pendingChanges
}

// pendingChanges are the changes of a response whose last fragment has not come.
type pendingChanges struct {
	pending []discovery.Node // in order
	latest  map[string]int   // the last index of an address in pending
	growth  int              // by how much pending changes the number of nodes
	events  int
	skipped []string
}

func (l *list) dropPending() { l.pendingChanges = pendingChanges{latest: map[string]int{}} }

// collect takes the events of a response or fragment. Those that were passed on before are ignored.
func (l *list) collect(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	for _, e := range r.Events {
		if e.Kv.ModRevision <= l.revision {
			continue
		}
		l.events++
		if e.Kv.ModRevision < l.lastRevision || l.events > maxPendingFactor*l.maxNodes {
			return nil, errHistoryLost // revisions that decrease between fragments; more than a complete list has
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

// commit takes the last events of a response and passes on all that is pending: the changes of one revision belong
// together.
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

// addPut adds the change that a pair was set. A value that is not valid changes nothing. Once there are as many nodes
// as the maximum, new ones are skipped; changes of the others, for example that one drains, are not.
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
			l.skip("%s would be node %d, list most is %d", address, l.maxNodes+1, l.maxNodes)
			return
		}
		l.growth++
	}
	l.addChange(discovery.Node{Record: record, Address: address})
}

// addDeletion adds the change that a pair was deleted. It changes nothing where the node is not listed.
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

// address is the address that a pair's key has after the prefix. Without the prefix the pair is skipped: ok is false.
func (l *list) address(pair *mvccpb.KeyValue) (address string, ok bool) {
	address, ok = strings.CutPrefix(string(pair.Key), l.prefix)
	if !ok {
		l.skip("the key %.80q is not of the list", pair.Key)
	}
	return address, ok
}

// node is a node by its address, with the changes that are pending.
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

// listRead is a complete list that is read page by page, all of them at the revision of the first.
type listRead struct {
	list
	nextKey []byte // where the next page begins
}

// newRead begins to read the complete list.
func (l *list) newRead() *listRead {
	r := &listRead{list: list{prefix: l.prefix, maxNodes: l.maxNodes}, nextKey: []byte(l.prefix)}
	r.dropPending()
	return r
}

// addPage adds a page and reports whether there are more.
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

// replace puts a complete list in place of what was passed on, unless the watch has passed on a later revision.
func (l *list) replace(r *listRead) *discovery.Update {
	if r.revision < l.revision && (l.state == watching || l.state == receivingFragments) {
		return &discovery.Update{Kind: honeyplank.Delta}
	}
	l.nodes, l.revision = make(map[string]discovery.Node, len(r.pending)), r.revision
	for _, n := range r.pending {
		l.nodes[n.Address] = n
	}
	return &discovery.Update{Kind: honeyplank.Complete, Revision: r.revision, Nodes: r.pending, Skipped: r.skipped}
}
