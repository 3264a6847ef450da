// Package membership merges the reports of two sources, etcd and DNS, about the disk servers into one endpoint list.
// It receives reports with the times of their arrival and returns the changes of the list for the decision module. The
// package does no I/O, reads no clock and starts no goroutine. docs/sources.md has the merge rule as a table.
//
// A gateway has one Ledger and calls it on the goroutine of its event loop; a Ledger is not safe for concurrent use.
// All times are durations since a fixed moment of the caller's monotonic clock. They must not decrease from call to
// call.
package membership

import (
	"time"

	"honeyplank"
)

// Source is a source of reports about disk servers.
type Source int

const (
	// Etcd is the watch on the keys of etcd (docs/etcd.md).
	Etcd Source = iota
	// DNS is the polling of SRV records (docs/dns.md).
	DNS
	sourceCount
)

// String returns the name of the source in logs.
func (s Source) String() string { return [...]string{"etcd", "dns"}[s] }

// other returns the other one of the two sources.
func (s Source) other() Source { return 1 - s }

// State is the state of a server that a source reports, or the merged state of both sources. A greater value is a worse
// state.
type State int

const (
	// NeverListed means that the source has not reported the server yet.
	NeverListed State = iota
	// Up means that the server accepts ops.
	Up
	// Draining means that the server finishes its current ops and gets no new ones.
	Draining
	// Removed means that the server was listed and is no longer listed.
	Removed
	stateCount
)

// String returns the state as logs and the nodes command show it.
func (s State) String() string { return [...]string{"never", "on", "draining", "gone"}[s] }

// listed reports whether a source that reports this state lists the server.
func (s State) listed() bool { return s == Up || s == Draining }

// outOfService reports whether a report of this state, Draining or Removed, takes a server out of service.
func (s State) outOfService() bool { return s == Draining || s == Removed }

// Report is the report of a source about one server.
type Report struct {
	Member honeyplank.Member // its State is ignored
	State  State             // Up, Draining or Removed
	// StartedAfter is a time that is certainly before the server's start; 0: none is known. Member.Started may be later
	// than the true start, so it does not show by itself that a start is newer than another event.
	StartedAfter time.Duration
}

// Settings has the limits of the merge rule, as the settings file has them.
type Settings struct {
	// MaxRemovedShare is the share, 0 to 1, of a source's servers up to which removals within ConfirmAfter are applied
	// immediately. If a source removes more, the removal is unconfirmed: the source itself may be faulty.
	MaxRemovedShare float64
	// ConfirmAfter is the time after which an unconfirmed removal is applied, if the other source does not list the
	// server as up.
	ConfirmAfter time.Duration
	// FlapWindow is the time within which returns of a server are counted, and the maximum length of a hold.
	FlapWindow time.Duration
	// FlapThreshold is the number of returns within FlapWindow at which a return is held; 0: returns are never held.
	// Taking a server out of service is never held.
	FlapThreshold int
	// FlapHold is the length of the first hold. Each further hold is twice as long as the previous one.
	FlapHold time.Duration
}

// sourceReport is the latest report of a source about a server.
type sourceReport struct {
	state        State
	reportedAt   time.Duration // the time at which the source first reported this state with this start
	member       honeyplank.Member
	startedAfter time.Duration
	// removalUnconfirmed means that the source has removed the server together with too many others. state and
	// reportedAt are those from before the removal, which was received at removedAt.
	removalUnconfirmed bool
	removedAt          time.Duration
}

// confirmedUp reports whether the source lists the server as up, without an unconfirmed removal.
func (r *sourceReport) confirmedUp() bool { return r.state == Up && !r.removalUnconfirmed }

// confirmAt returns the earliest time at which an unconfirmed removal may be applied; 0: there is none.
func (r *sourceReport) confirmAt(settings Settings) time.Duration {
	if !r.removalUnconfirmed {
		return 0
	}
	return r.removedAt + settings.ConfirmAfter
}

// node has the reports and the merged state of one disk server.
type node struct {
	id       honeyplank.ServerID
	reports  [sourceCount]sourceReport
	state    State // merged
	cause    Cause
	since    time.Duration // the time of the last change of state
	flap     flapHold
	notified bool              // the decision module was notified of the server
	member   honeyplank.Member // as last passed to the decision module
	waiting  bool              // the node is in Ledger.waiting
}

// Ledger keeps the reports of both sources and the endpoint list merged from them. The zero value is not usable: call
// New.
type Ledger struct {
	settings Settings
	now      time.Duration
	nodes    map[honeyplank.ServerID]*node
	sources  [sourceCount]sourceStatus
	waiting  []*node       // nodes whose merged state may change at a later time without a report
	nextTick time.Duration // the earliest of these times; 0: none
	version  int64         // of the list last passed to the decision module
}

// sourceStatus is the state of a source as a whole.
type sourceStatus struct {
	listed         int             // number of servers that it lists, including those with an unconfirmed removal
	recentRemovals []time.Duration // times of applied removals of servers that were up, within Settings.ConfirmAfter
	lastReportAt   time.Duration   // time of the last report; 0: none yet
	failingSince   time.Duration   // time of the first failure since the last report; 0: no failure
}

// New makes a Ledger without reports.
func New(settings Settings) *Ledger {
	return &Ledger{settings: settings, nodes: map[honeyplank.ServerID]*node{}}
}

// Complete applies the complete list of a source: a server that the source listed before and that is now missing is
// removed. It returns the list that the caller must pass to the decision module, or none if nothing has changed. The
// first list returned is complete, all further ones are deltas.
func (l *Ledger) Complete(now time.Duration, from Source, reports []Report) []honeyplank.List {
	l.received(now, from)
	listedBefore := l.sources[from].listed
	reported := make(map[honeyplank.ServerID]bool, len(reports))
	var touched []*node
	for _, report := range reports {
		reported[report.Member.ID] = true
		touched = append(touched, l.record(from, report))
	}
	var removed []*node
	for id, n := range l.nodes {
		if n.reports[from].state.listed() && !reported[id] {
			removed = append(removed, n)
		}
	}
	l.remove(from, removed, listedBefore)
	return l.update(append(touched, removed...))
}

// Delta applies changes of the list of a source, in order. Its results are as those of Complete. If there are several
// reports about one server, the last one counts: a delayed watch delivers several revisions of etcd together, and a
// server that is removed and added again within them is not removed.
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

// SourceFailed records that a source could not be queried, or that its watch failed. Its reports stay valid.
func (l *Ledger) SourceFailed(now time.Duration, from Source) {
	l.now = now
	if l.sources[from].failingSince == 0 {
		l.sources[from].failingSince = now
	}
}

// Tick applies changes that depend on time alone, such as the end of a hold. Its results are as those of Complete.
func (l *Ledger) Tick(now time.Duration) []honeyplank.List {
	l.now = now
	waiting := l.waiting
	l.waiting, l.nextTick = nil, 0
	for _, n := range waiting {
		n.waiting = false
	}
	return l.update(waiting)
}

// NextTick returns the earliest time at which a Tick may change the list; 0: no Tick is needed. An earlier Tick has no
// effect.
func (l *Ledger) NextTick() time.Duration { return l.nextTick }

// received records that a source has reported.
func (l *Ledger) received(now time.Duration, from Source) {
	l.now = now
	l.sources[from].lastReportAt, l.sources[from].failingSince = max(now, 1), 0
}

// record stores the report of a source that lists a server, and returns the node.
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
		r.reportedAt = l.now // a repeated report keeps its time, since it contains nothing new
	}
	r.state, r.member, r.startedAfter, r.removalUnconfirmed = report.State, report.Member, report.StartedAfter, false
	return n
}

// update merges the reports of the touched nodes, and returns the list of the members that have changed.
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

// updateState sets a node's merged state, its cause and the time of its last change.
func (l *Ledger) updateState(n *node) {
	before := n.state
	confirmed := l.confirmRemovals(n)
	state, cause := merge(&n.reports)
	if confirmed {
		cause = Confirmed
	}
	if state == Up && before.outOfService() && n.flap.holdReturn(l.now, l.settings) {
		state, cause = before, FlapHeld
	}
	if state != before {
		n.since = l.now
	}
	n.state, n.cause = state, cause
}

// await makes the next Tick update a node whose merged state may change without a report.
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

// dueAt returns the next time at which the merged state of a node may change without a report; 0: none.
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
