// Package membership decides which disk servers are believed to be there. What two sources say, and when, goes in;
// the list for the decision module comes out. It does no I/O, reads no clock and starts no goroutine.
// docs/sources.md is its table to read aloud.
package membership

import (
	"time"

	"honeyplank"
)

// Source is one of the two that speak of the disk servers.
type Source int

const (
	Etcd Source = iota
	DNS
	sources
)

func (s Source) String() string { return [...]string{"etcd", "dns"}[s] }

// State is what a source says of a node, and what is believed of it.
type State int

const (
	NeverListed State = iota // it has not spoken of the node
	Up                       // it takes work
	Draining                 // no new work
	Removed                  // it is not there any more
)

func (s State) String() string { return [...]string{"never", "on", "draining", "gone"}[s] }

// Statement is what a source says of one node.
type Report struct {
	Member honeyplank.Member // its State is not read
	State  State             // On, Draining or Gone
	// StartedAfter is a time that the member's start surely came after; 0: that can't be told. Started may be later than the
	// true start, so that alone shows nothing.
	StartedAfter time.Duration
}

// Settings are the figures that the rule goes by; all are settings.
type Settings struct {
	// MaxRemovedShare is the part of what a source holds on or draining that may vanish at once and be believed. More
	// than that at once is doubted: it may be the source that is ill.
	MaxRemovedShare float64
	// ConfirmAfter is how long a vanishing that is doubted must last to be believed where the other source does not
	// hold the node on.
	ConfirmAfter time.Duration
	// FlapWindow is within how long a node's coming back is counted; the Flaps-th within it and each after is held
	// back for Hold, twice as long each time, up to Calm. Losing work is never held back.
	FlapWindow    time.Duration
	FlapThreshold int
	FlapHold      time.Duration
}

// sourceReport is what a source last said of a node.
type sourceReport struct {
	state  State
	at     time.Duration
	member honeyplank.Member
	after  time.Duration
	// doubted: it vanished with too many others at once. state and at are of before; since tells when.
	doubted bool
	since   time.Duration
}

// node is the one record of a disk server.
type node struct {
	id       honeyplank.ServerID
	reports  [sources]sourceReport
	believed State
	cause    Cause
	since    time.Duration
	backs    []time.Duration // when it came back, within Calm
	hold     time.Duration   // how long the last coming back was held
	until    time.Duration   // held back until
	listed   honeyplank.Member
	notified bool // the module has been told of it
	waiting  bool // in the book's list of nodes that time alone may change
}

// Cause is why a state is believed.
type Cause int

const (
	SourceSilent   Cause = iota
	Agreed               // no source says otherwise
	SourceReported       // a source says draining or gone
	NewerStart           // a start newer than the word that took it out
	Unconfirmed          // it vanished with too many others; believed as before
	Confirmed            // such a vanishing lasted
	FlapHeld             // it came back too often; held out for a while
)

func (c Cause) String() string {
	return [...]string{"unheard", "agreed", "said", "newer start", "vanishing doubted", "vanishing confirmed", "held back"}[c]
}

// Ledger holds what is believed. The zero value is of no use: call New.
type Ledger struct {
	settings Settings
	now      time.Duration
	nodes    map[honeyplank.ServerID]*node
	held     [sources]int             // nodes that a source holds on or draining, doubted ones included
	recent   [sources][]time.Duration // vanishings believed within Confirm
	heard    [sources]time.Duration   // when it last spoke; 0: never
	failing  [sources]time.Duration   // since when it fails; 0: it does not
	waits    []*node                  // those that time alone may change
	next     time.Duration
	version  int64
	first    bool
}

// New makes a book that has heard nothing.
func New(t Settings) *Ledger {
	return &Ledger{settings: t, nodes: map[honeyplank.ServerID]*node{}}
}

// ---- Inputs ----

// Complete tells all that a source holds: what it leaves out of what it held has vanished. It returns what is to
// be told to the module, as Changes, or as the Whole list the first time.
func (b *Ledger) Complete(now time.Duration, from Source, all []Report) (out []honeyplank.List) {
	b.sourceHeard(now, from)
	before := b.held[from]
	stated := make(map[honeyplank.ServerID]bool, len(all))
	var touched []*node
	for _, s := range all {
		stated[s.Member.ID] = true
		touched = append(touched, b.record(from, s))
	}
	var vanished []*node
	for id, n := range b.nodes {
		if w := &n.reports[from]; (w.state == Up || w.state == Draining) && !stated[id] {
			vanished = append(vanished, n)
		}
	}
	return b.changed(append(touched, b.vanish(from, vanished, before)...))
}

// Delta tells what of a source has changed, in order. A watch that was held up tells several revisions of etcd at
// once: a node that is removed and put back within them has not vanished.
func (b *Ledger) Delta(now time.Duration, from Source, some []Report) []honeyplank.List {
	b.sourceHeard(now, from)
	var touched, vanished []*node
	before := b.held[from]
	last := make(map[honeyplank.ServerID]int, len(some))
	for i, s := range some {
		last[s.Member.ID] = i
	}
	for i, s := range some {
		if s.State == Removed {
			if last[s.Member.ID] != i {
				continue
			}
			if n := b.nodes[s.Member.ID]; n != nil && (n.reports[from].state == Up || n.reports[from].state == Draining) {
				vanished = append(vanished, n)
			}
			continue
		}
		touched = append(touched, b.record(from, s))
	}
	return b.changed(append(touched, b.vanish(from, vanished, before)...))
}

// SourceFailed tells that a source could not be asked, or broke off. What it said before stays.
func (b *Ledger) SourceFailed(now time.Duration, from Source) {
	b.now = now
	if b.failing[from] == 0 {
		b.failing[from] = now
	}
}

// Tick tells that time has passed.
func (b *Ledger) Tick(now time.Duration) []honeyplank.List {
	b.now = now
	due := b.waits
	b.waits, b.next = nil, 0
	for _, n := range due {
		n.waiting = false
	}
	return b.changed(due)
}

// NextTick is when a Tick may change something; 0: nothing waits. A Tick too early does no harm.
func (b *Ledger) NextTick() time.Duration { return b.next }

// due is when time alone may next change what is believed of a node; 0: never.
func (b *Ledger) due(n *node) (at time.Duration) {
	for _, t := range [...]time.Duration{n.reports[Etcd].confirm(b.settings), n.reports[DNS].confirm(b.settings), n.until} {
		if t > b.now && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// confirm is when a doubted vanishing has lasted; 0: it is not doubted.
func (w *sourceReport) confirm(t Settings) time.Duration {
	if !w.doubted {
		return 0
	}
	return w.since + t.ConfirmAfter
}

func (b *Ledger) sourceHeard(now time.Duration, from Source) {
	b.now = now
	b.heard[from], b.failing[from] = max(now, 1), 0
}

// record takes in that a source holds a node on or draining.
func (b *Ledger) record(from Source, s Report) *node {
	n := b.nodes[s.Member.ID]
	if n == nil {
		n = &node{id: s.Member.ID}
		b.nodes[n.id] = n
	}
	w := &n.reports[from]
	if w.state != Up && w.state != Draining {
		b.held[from]++
	}
	if w.state != s.State || w.member.Started != s.Member.Started || w.doubted {
		w.at = b.now // a repeated word keeps its time: it is no fresher than when it was first said
	}
	w.state, w.member, w.after, w.doubted = s.State, s.Member, s.StartedAfter, false
	return n
}

// vanish takes in that nodes are no longer held by a source that held before so many. A few are believed; a large
// part within Confirm is doubted. It guards against a source that empties by mistake, at once or key by key as
// leases run out; it delays the news where a large part of a fleet really goes, which outcomes then tell. A node
// that was draining is no loss and is always believed to be gone.
func (b *Ledger) vanish(from Source, nodes []*node, before int) []*node {
	old := 0
	for old < len(b.recent[from]) && b.recent[from][old] <= b.now-b.settings.ConfirmAfter {
		old++
	}
	b.recent[from] = b.recent[from][old:]
	lost := len(b.recent[from])
	for _, n := range nodes {
		if n.reports[from].state == Up {
			lost++
		}
	}
	all := before + len(b.recent[from])
	doubt := all > 1 && float64(lost) > b.settings.MaxRemovedShare*float64(all)
	for _, n := range nodes {
		if w := &n.reports[from]; !doubt || w.state == Draining {
			b.release(from, n)
		} else if !w.doubted {
			w.doubted, w.since = true, b.now
		}
	}
	return nodes
}

// release has a source say that a node is gone.
func (b *Ledger) release(from Source, n *node) {
	w := &n.reports[from]
	if w.state == Up || w.state == Draining {
		b.held[from]--
	}
	if w.state == Up && !w.doubted {
		b.recent[from] = append(b.recent[from], b.now)
	}
	w.state, w.at, w.doubted = Removed, b.now, false
}

// ---- The rule ----

// mergeRule is what is believed by what etcd and DNS say; a doubted word counts as what it was. The worse word holds,
// whoever says it: no source can put a node back that the other has taken out, except by showing a start that is
// surely newer than the word that took it out.
var mergeRule = [4][4]State{
	//            DNS: never     on        draining  gone
	NeverListed: {NeverListed, Up, Draining, Removed},
	Up:          {Up, Up, Draining, Removed},
	Draining:    {Draining, Draining, Draining, Removed},
	Removed:     {Removed, Removed, Removed, Removed},
}

// decide is what is believed of a node now, and why.
func (b *Ledger) decide(n *node) (State, Cause) {
	for from := range n.reports {
		w, other := &n.reports[from], &n.reports[1-from]
		if w.doubted && b.now >= w.confirm(b.settings) && !(other.state == Up && !other.doubted) {
			b.release(Source(from), n)
			n.cause = Confirmed
		}
	}
	e, d := n.reports[Etcd], n.reports[DNS]
	state, cause := mergeRule[e.state][d.state], Agreed
	if state == Draining || state == Removed {
		cause = SourceReported
		for from := range n.reports {
			out, other := &n.reports[from], &n.reports[1-from]
			if (out.state == Draining || out.state == Removed) && other.state == Up && !other.doubted && other.after > out.at {
				state, cause = Up, NewerStart
			}
		}
	}
	if state == Up && (e.doubted || d.doubted) {
		cause = Unconfirmed
	}
	return state, cause
}

// cameBack counts a node's coming back and tells whether it is held out for now. It guards against nodes that sources
// put in and out again and again, each time moving ops; it could harm where one restarts often and soundly.
func (b *Ledger) cameBack(n *node) bool {
	if n.until > b.now {
		return true
	}
	if n.until > 0 { // the hold is over
		n.until = 0
		return false
	}
	for len(n.backs) > 0 && n.backs[0] <= b.now-b.settings.FlapWindow-n.hold { // calm counts from the end of a hold
		n.backs = n.backs[1:]
	}
	if len(n.backs) == 0 {
		n.hold = 0
	}
	n.backs = append(n.backs, b.now)
	if b.settings.FlapThreshold <= 0 || len(n.backs) < b.settings.FlapThreshold {
		return false
	}
	n.hold = min(max(2*n.hold, b.settings.FlapHold), b.settings.FlapWindow)
	n.until = b.now + n.hold
	return n.until > b.now
}

// changed judges the nodes touched and makes the list of what has changed.
func (b *Ledger) changed(touched []*node) []honeyplank.List {
	var members []honeyplank.Member
	for _, n := range touched {
		was := n.believed
		n.cause = SourceSilent
		state, cause := b.decide(n)
		if n.cause == Confirmed {
			cause = Confirmed
		}
		if state == Up && (was == Draining || was == Removed) && b.cameBack(n) {
			state, cause = was, FlapHeld
		}
		if state != was {
			n.since = b.now
		}
		n.believed, n.cause = state, cause
		if due := b.due(n); due > 0 {
			if !n.waiting {
				n.waiting = true
				b.waits = append(b.waits, n)
			}
			if b.next == 0 || due < b.next {
				b.next = due
			}
		}
		m := b.member(n)
		if n.notified && m == n.listed || !n.notified && state != Up && state != Draining {
			continue
		}
		n.notified, n.listed = true, m
		members = append(members, m)
	}
	if len(members) == 0 && b.first {
		return nil
	}
	b.version++
	kind := honeyplank.Delta
	if !b.first {
		kind, b.first = honeyplank.Complete, true
	}
	return []honeyplank.List{{Kind: kind, Version: b.version, Members: members}}
}

// member is a node as the module is told of it: the figures of the fresher source, the latest start that either
// knows, since a server taken for older than it is could be pushed over.
func (b *Ledger) member(n *node) honeyplank.Member {
	e, d := &n.reports[Etcd], &n.reports[DNS]
	m := e.member
	if e.state == NeverListed || e.state == Removed && (d.state == Up || d.state == Draining) {
		m = d.member
	}
	m.ID, m.Started = n.id, max(e.member.Started, d.member.Started)
	switch n.believed {
	case Up:
		m.State = honeyplank.Up
	case Draining:
		m.State = honeyplank.Draining
	default:
		m.State = honeyplank.Removed
	}
	return m
}

// View is what is believed of a node, for people.
type View struct {
	Member        honeyplank.Member
	State         State
	Cause         Cause
	Since         time.Duration
	ReportedState [sources]State
	ReportedAt    [sources]time.Duration // when each source came to say so
	Unconfirmed   [sources]bool
	HeldUntil     time.Duration // held back until; 0: not
}

// View tells of a node; ok is false for one that nobody spoke of.
func (b *Ledger) View(id honeyplank.ServerID) (v View, ok bool) {
	n := b.nodes[id]
	if n == nil {
		return v, false
	}
	v = View{Member: b.member(n), State: n.believed, Cause: n.cause, Since: n.since, HeldUntil: n.until}
	for from, w := range n.reports {
		v.ReportedState[from], v.ReportedAt[from], v.Unconfirmed[from] = w.state, w.at, w.doubted
	}
	return v, true
}

// Nodes lists the ids of all nodes that were spoken of, in no order.
func (b *Ledger) Nodes() (ids []honeyplank.ServerID) {
	for id := range b.nodes {
		ids = append(ids, id)
	}
	return ids
}

// SourceStatus tells when a source last spoke (0: never) and since when it fails (0: it does not).
func (b *Ledger) SourceStatus(s Source) (heard, failing time.Duration) {
	return b.heard[s], b.failing[s]
}
