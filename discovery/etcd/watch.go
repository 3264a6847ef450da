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

// errHistory tells that a watch can't go on from where it was: the whole list is needed.
var errHistory = errors.New("members: the history since the last revision is gone or makes no sense")

// errMost tells that etcd lists far more than the settings allow for.
var errMost = errors.New("more than twice as many keys as the list's most")

// state is where a watch stands.
type state int

const (
	request state = iota // created is awaited
	stands               // events come
	pieces               // part of a response is held, the rest is awaited
	stopped              // nothing more is taken
)

// watchInput is what a response says, by kind.
type watchInput int

const (
	saysCreated watchInput = iota
	saysCompacted
	saysCancelled
	saysPart // events, and more of the same response to come
	saysAll  // events, the last of their response or all of it
	saysProgress
	saysNonsense // no header, an event without its pair, or revisions that fall within a response
)

// step is what a watch does about a response.
type step struct {
	next state
	do   func(*list, *etcdserverpb.WatchResponse) (*discovery.Update, error)
}

// steps is read by hear; a pair that is missing is out of order, and the watch is begun anew from the whole list.
var steps = map[state]map[watchInput]step{
	request: {
		saysCreated:   {stands, (*list).begin},
		saysCompacted: {stopped, (*list).anew},
		saysCancelled: {stopped, (*list).cancelled},
		saysProgress:  {request, nothing}, // of another watch on the stream
	},
	stands: {
		saysPart:      {pieces, (*list).hold},
		saysAll:       {stands, (*list).tell},
		saysProgress:  {stands, (*list).progress},
		saysCompacted: {stopped, (*list).anew},
		saysCancelled: {stopped, (*list).cancelled},
	},
	pieces: {
		saysPart:      {pieces, (*list).hold},
		saysAll:       {stands, (*list).tell},
		saysProgress:  {pieces, nothing}, // says nothing of what is still in pieces
		saysCompacted: {stopped, (*list).anew},
		saysCancelled: {stopped, (*list).cancelled},
	},
}

// list is what etcd has told of the nodes, and where its watch stands. It does no I/O: pages and responses go in,
// news and errors come out. What it keeps is bounded by most nodes, whatever comes.
type list struct {
	prefix   string
	most     int
	revision int64                     // up to which all has been told
	known    map[string]discovery.Node // what was told last, without those that are gone

	state   state
	last    int64            // revision of the event taken last
	held    []discovery.Node // of the pieces of one response
	at      map[string]int   // the last place of an address in held
	growth  int              // by which known changes with what is held
	events  int              // that a response in pieces has brought
	skipped []string
}

// watch forgets what a watch before held and awaits a new one, from after the revision told.
func (l *list) watch() {
	l.state, l.last = request, l.revision
	l.drop()
}

func (l *list) drop() { l.held, l.skipped, l.at, l.growth, l.events = nil, nil, map[string]int{}, 0, 0 }

// hear takes in a response. News is nil where there is none; after an error the watch is over, and errHistory asks
// for the whole list.
func (l *list) hear(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	s, ok := steps[l.state][l.sort(r)]
	if !ok {
		l.state = stopped
		l.drop()
		return l.anew(r)
	}
	l.state = s.next
	news, err := s.do(l, r)
	if err != nil {
		l.state = stopped
		l.drop()
	}
	return news, err
}

func (l *list) sort(r *etcdserverpb.WatchResponse) watchInput {
	switch {
	case r.GetHeader() == nil:
		return saysNonsense
	case r.Canceled && r.CompactRevision > 0:
		return saysCompacted
	case r.Canceled:
		return saysCancelled
	case r.Created:
		return saysCreated
	case len(r.Events) == 0 && !r.Fragment:
		if l.state == pieces && r.WatchId >= 0 {
			return saysAll
		}
		return saysProgress
	}
	before := int64(0)
	for _, e := range r.Events {
		if e.GetKv() == nil || e.Kv.ModRevision < before {
			return saysNonsense
		}
		before = e.Kv.ModRevision
	}
	if r.Fragment {
		return saysPart
	}
	return saysAll
}

func nothing(*list, *etcdserverpb.WatchResponse) (*discovery.Update, error) { return nil, nil }

// begin has the watch stand, unless etcd is behind what was told: then it has another history.
func (l *list) begin(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if r.Header.Revision < l.revision {
		return nil, errHistory
	}
	// Nothing may come for long: the watch stands.
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}

// anew gives up the history told: the whole list is needed.
func (l *list) anew(*etcdserverpb.WatchResponse) (*discovery.Update, error) { return nil, errHistory }

func (l *list) cancelled(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	return nil, fmt.Errorf("cancelled: %.200s", r.CancelReason)
}

// progress tells that nothing up to a revision is missing. A response with events tells no such thing: etcd sends
// a long history in several, each with the present revision in its header.
func (l *list) progress(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	l.revision = max(l.revision, r.Header.Revision)
	l.last = max(l.last, l.revision)
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}

// hold takes the events of a response, or of a piece of one. What was told already is passed over.
func (l *list) hold(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	for _, e := range r.Events {
		if e.Kv.ModRevision <= l.revision {
			continue
		}
		if l.events++; e.Kv.ModRevision < l.last || l.events > 2*l.most {
			return nil, errHistory // pieces that go back; more than the whole list holds
		}
		l.last = e.Kv.ModRevision
		l.take(e.Kv, e.Type == mvccpb.DELETE)
	}
	return nil, nil
}

// tell takes the last events of a response and tells all: the changes of one revision are told together.
func (l *list) tell(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if _, err := l.hold(r); err != nil {
		return nil, err
	}
	news := &discovery.Update{Kind: honeyplank.Delta, Nodes: l.held, Skipped: l.skipped}
	l.drop()
	l.revision = max(l.revision, l.last)
	if len(news.Nodes)+len(news.Skipped) == 0 {
		return nil, nil
	}
	news.Revision, news.Current = l.revision, l.revision >= r.Header.Revision
	for _, n := range news.Nodes {
		if l.known[n.Address] = n; n.Removed {
			delete(l.known, n.Address)
		}
	}
	return news, nil
}

// take reads a pair into what is held. A node is gone by its deletion alone; a value that makes no sense changes
// nothing, and so does the deletion of what is not there. Past most nodes no new one is taken: what is told of the
// others, such as that they drain, still counts.
func (l *list) take(pair *mvccpb.KeyValue, deleted bool) {
	skip := func(format string, a ...any) { l.skipped = append(l.skipped, fmt.Sprintf("members: "+format, a...)) }
	address, ok := strings.CutPrefix(string(pair.Key), l.prefix)
	if !ok {
		skip("the key %.80q is not of the list", pair.Key)
		return
	}
	n, there := l.known[address]
	if i, ok := l.at[address]; ok {
		n, there = l.held[i], !l.held[i].Removed
	}
	if !there && deleted {
		return
	}
	if !deleted {
		r, err := discovery.ParseRecord(address, pair.Value)
		if err != nil {
			l.skipped = append(l.skipped, err.Error())
			return
		}
		n.Record = r
	}
	switch {
	case deleted:
		l.growth--
	case !there && len(l.known)+l.growth >= l.most:
		skip("%s would be node %d, list most is %d", address, l.most+1, l.most)
		return
	case !there:
		l.growth++
	}
	n.Address, n.Removed = address, deleted
	l.at[address] = len(l.held)
	l.held = append(l.held, n)
}

// reading is a whole list that comes in pages, all at the revision of the first.
type reading struct {
	list
	from []byte // where the next page begins
}

func (l *list) read() *reading {
	r := &reading{list: list{prefix: l.prefix, most: l.most}, from: []byte(l.prefix)}
	r.drop()
	return r
}

// page takes in a page and tells whether there are more.
func (r *reading) page(p *etcdserverpb.RangeResponse) (more bool, err error) {
	if p.GetHeader() == nil || p.Header.Revision < 1 {
		return false, errors.New("a page without its revision")
	}
	if r.revision == 0 {
		r.revision = p.Header.Revision
	}
	for _, pair := range p.Kvs {
		if pair == nil || string(pair.Key) < string(r.from) {
			return false, errors.New("a page with keys out of order")
		}
		r.from = append(append(r.from[:0], pair.Key...), 0)
		if len(r.held)+len(r.skipped) >= 2*r.most {
			return false, errMost
		}
		r.take(pair, false)
	}
	if p.More && len(p.Kvs) == 0 {
		return false, errors.New("an empty page with more to come")
	}
	return p.More, nil
}

// whole puts what was read in the place of what was told, unless a watch that stands has told of later revisions.
func (l *list) whole(r *reading) *discovery.Update {
	if r.revision < l.revision && (l.state == stands || l.state == pieces) {
		return &discovery.Update{Kind: honeyplank.Delta}
	}
	l.known, l.revision = make(map[string]discovery.Node, len(r.held)), r.revision
	for _, n := range r.held {
		l.known[n.Address] = n
	}
	return &discovery.Update{Kind: honeyplank.Complete, Revision: r.revision, Nodes: r.held, Skipped: r.skipped}
}
