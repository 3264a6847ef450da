// Package membership merges what two sources, etcd and DNS, report of the disk servers into one endpoint list.
// Reports go in with the time at which they were received; the changes of the list for the decision module come out.
// The package does no I/O, reads no clock and starts no goroutine. docs/sources.md has the merge rule as a table.
//
// A gateway has one Ledger and calls it on the goroutine of its event loop; a Ledger is not safe for concurrent use.
// All times are spans since a fixed moment of the caller's monotonic clock and do not decrease from call to call.
package membership

import (
	"time"

	"honeyplank"
)

// Source is one of the two that report disk servers.
type Source int

const (
	// Etcd is the watch on the keys of etcd (docs/etcd.md).
	Etcd Source = iota
	// DNS is the polling of SRV records (docs/dns.md).
	DNS
	sourceCount
)

// String is the name of the source in logs.
func (s Source) String() string { return [...]string{"etcd", "dns"}[s] }

// other is the source beside this one.
func (s Source) other() Source { return 1 - s }

// State is what a source reports of a server, and what the merge of both comes to. A greater state is a worse one.
type State int

const (
	// NeverListed means that the source has not reported the server yet.
	NeverListed State = iota
	// Up means that the server takes work.
	Up
	// Draining means that the server finishes what it has and gets no new work.
	Draining
	// Removed means that the server was listed and is not any more.
	Removed
	stateCount
)

// String is the state as logs and the nodes command show it.
func (s State) String() string { return [...]string{"never", "on", "draining", "gone"}[s] }

// listed reports whether a source that reports this state lists the server.
func (s State) listed() bool { return s == Up || s == Draining }

// takenOut reports whether a source that reports this state has taken the server out of service.
func (s State) takenOut() bool { return s == Draining || s == Removed }

// Report is what a source reports of one server.
type Report struct {
	Member honeyplank.Member // its State is not read
	State  State             // Up, Draining or Removed
	// StartedAfter is a time that the server's start surely came after; 0: none is known. Member.Started may be later
	// than the true start, so it does not show by itself that a start is newer than something else.
	StartedAfter time.Duration
}

// Settings are the limits of the merge rule. All come from the settings file.
type Settings struct {
	// MaxRemovedShare is the share, 0 to 1, of the servers that a source lists which it may remove within ConfirmAfter
	// and be followed at once. A removal of more is left unconfirmed: the source itself may be at fault.
	MaxRemovedShare float64
	// ConfirmAfter is how long an unconfirmed removal must last to be followed, where the other source does not list
	// the server as up.
	ConfirmAfter time.Duration
	// FlapWindow is the time within which returns of a server are counted, and the longest hold of one.
	FlapWindow time.Duration
	// FlapThreshold is the number of the return within FlapWindow from which on returns are held; 0: none is. Taking a
	// server out of service is never held.
	FlapThreshold int
	// FlapHold is how long the first held return is held. Each one after is held twice as long as the one before.
	FlapHold time.Duration
}

// sourceReport is what a source reported last of a server.
type sourceReport struct {
	state        State
	reportedAt   time.Duration // when the source first reported this state with this start
	member       honeyplank.Member
	startedAfter time.Duration
	// removalUnconfirmed: the source has removed the server with too many others at once. state and reportedAt are
	// those from before the removal, which came at removedAt.
	removalUnconfirmed bool
	removedAt          time.Duration
}

// confirmedUp reports whether the source lists the server as up, without an unconfirmed removal.
func (r *sourceReport) confirmedUp() bool { return r.state == Up && !r.removalUnconfirmed }

// confirmAt is when an unconfirmed removal has lasted long enough; 0: there is none.
func (r *sourceReport) confirmAt(settings Settings) time.Duration {
	if !r.removalUnconfirmed {
		return 0
	}
	return r.removedAt + settings.ConfirmAfter
}

// node is the one record of a disk server.
type node struct {
	id       honeyplank.ServerID
	reports  [sourceCount]sourceReport
	state    State // merged
	cause    Cause
	since    time.Duration // of state
	flap     flapHold
	notified bool              // the decision module knows of the server
	member   honeyplank.Member // as the decision module knows it
	waiting  bool              // the node is in Ledger.waiting
}

// Ledger is the merged list. The zero value is not usable: call New.
type Ledger struct {
	settings Settings
	now      time.Duration
	nodes    map[honeyplank.ServerID]*node
	sources  [sourceCount]sourceStatus
	waiting  []*node       // nodes that the passing of time alone may change
	nextTick time.Duration // the earliest of their times; 0: none
	version  int64         // of the list, as the decision module is notified of it
}

// sourceStatus is what is known of a source as a whole.
type sourceStatus struct {
	listed         int             // servers that it lists, those with an unconfirmed removal included
	recentRemovals []time.Duration // removals of servers that were up, followed within Settings.ConfirmAfter
	heardAt        time.Duration   // last report; 0: never
	failingSince   time.Duration   // 0: it does not fail
}

// New makes a ledger without any report.
func New(settings Settings) *Ledger {
	return &Ledger{settings: settings, nodes: map[honeyplank.ServerID]*node{}}
}

// Complete applies the complete list of a source: a server that the source listed before and that is missing now is
// removed. It returns what the decision module is to be notified of: nothing, or one list, which is a delta or, the
// first time, the complete list.
func (l *Ledger) Complete(now time.Duration, from Source, reports []Report) []honeyplank.List {
	l.received(now, from)
	listedBefore := l.sources[from].listed
	named := make(map[honeyplank.ServerID]bool, len(reports))
	var touched []*node
	for _, report := range reports {
		named[report.Member.ID] = true
		touched = append(touched, l.record(from, report))
	}
	var removed []*node
	for id, n := range l.nodes {
		if n.reports[from].state.listed() && !named[id] {
			removed = append(removed, n)
		}
	}
	l.remove(from, removed, listedBefore)
	return l.update(append(touched, removed...))
}

// Delta applies changes of the list of a source, in order, and returns what Complete returns. Of several reports of
// one server the last decides: a watch that was held up delivers several revisions of etcd at once, and a server that
// is removed and put back within them has not been removed.
func (l *Ledger) Delta(now time.Duration, from Source, reports []Report) []honeyplank.List {
	l.received(now, from)
	listedBefore := l.sources[from].listed
	last := make(map[honeyplank.ServerID]int, len(reports))
	for i, report := range reports {
		last[report.Member.ID] = i
	}
	var touched, removed []*node
	for i, report := range reports {
		switch n := l.nodes[report.Member.ID]; {
		case report.State != Removed:
			touched = append(touched, l.record(from, report))
		case last[report.Member.ID] == i && n != nil && n.reports[from].state.listed():
			removed = append(removed, n)
		}
	}
	l.remove(from, removed, listedBefore)
	return l.update(append(touched, removed...))
}

// SourceFailed records that a source could not be queried, or that its watch failed. Its reports stay in force.
func (l *Ledger) SourceFailed(now time.Duration, from Source) {
	l.now = now
	if l.sources[from].failingSince == 0 {
		l.sources[from].failingSince = now
	}
}

// Tick applies the passing of time, and returns what Complete returns.
func (l *Ledger) Tick(now time.Duration) []honeyplank.List {
	l.now = now
	waiting := l.waiting
	l.waiting, l.nextTick = nil, 0
	for _, n := range waiting {
		n.waiting = false
	}
	return l.update(waiting)
}

// NextTick is when a Tick may change something; 0: no time is awaited. A Tick before that does no harm.
func (l *Ledger) NextTick() time.Duration { return l.nextTick }

// received records that a source has reported.
func (l *Ledger) received(now time.Duration, from Source) {
	l.now = now
	l.sources[from].heardAt, l.sources[from].failingSince = max(now, 1), 0
}

// record records that a source lists a server.
func (l *Ledger) record(from Source, report Report) *node {
	n := l.nodes[report.Member.ID]
	if n == nil {
		n = &node{id: report.Member.ID}
		l.nodes[n.id] = n
	}
	r := &n.reports[from]
	if !r.state.listed() {
		l.sources[from].listed++
	}
	if r.state != report.State || r.member.Started != report.Member.Started || r.removalUnconfirmed {
		r.reportedAt = l.now // a repeated report keeps its time: it is nothing new
	}
	r.state, r.member, r.startedAfter, r.removalUnconfirmed = report.State, report.Member, report.StartedAfter, false
	return n
}

// update merges the reports of the nodes touched, and makes the list of what has changed.
func (l *Ledger) update(touched []*node) []honeyplank.List {
	var members []honeyplank.Member
	for _, n := range touched {
		l.updateState(n)
		l.await(n)
		member := l.mergedMember(n)
		if n.notified && member == n.member || !n.notified && !n.state.listed() {
			continue
		}
		n.notified, n.member = true, member
		members = append(members, member)
	}
	first := l.version == 0
	if len(members) == 0 && !first {
		return nil
	}
	l.version++
	kind := honeyplank.Delta
	if first {
		kind = honeyplank.Complete
	}
	return []honeyplank.List{{Kind: kind, Version: l.version, Members: members}}
}

// updateState sets a node's merged state, its cause and since when it holds.
func (l *Ledger) updateState(n *node) {
	before := n.state
	confirmed := l.confirmRemovals(n)
	state, cause := merge(&n.reports)
	if confirmed {
		cause = Confirmed
	}
	if state == Up && before.takenOut() && n.flap.holdReturn(l.now, l.settings) {
		state, cause = before, FlapHeld
	}
	if state != before {
		n.since = l.now
	}
	n.state, n.cause = state, cause
}

// await has the next Tick look at a node that the passing of time alone may change.
func (l *Ledger) await(n *node) {
	at := l.dueAt(n)
	if at == 0 {
		return
	}
	if !n.waiting {
		n.waiting = true
		l.waiting = append(l.waiting, n)
	}
	if l.nextTick == 0 || at < l.nextTick {
		l.nextTick = at
	}
}

// dueAt is when time alone may next change the merged state of a node; 0: never.
func (l *Ledger) dueAt(n *node) (due time.Duration) {
	for _, at := range [...]time.Duration{
		n.reports[Etcd].confirmAt(l.settings),
		n.reports[DNS].confirmAt(l.settings),
		n.flap.heldUntil,
	} {
		if at > l.now && (due == 0 || at < due) {
			due = at
		}
	}
	return due
}
