package membership

import (
	"time"

	"honeyplank"
)

// View is the state of one server, for logs and the nodes command.
type View struct {
	Member        honeyplank.Member // as it is passed to the decision module
	State         State             // merged
	Cause         Cause             // of State
	Since         time.Duration     // time of the last change of State
	ReportedState [sourceCount]State
	ReportedAt    [sourceCount]time.Duration // the time at which each source first reported its state
	Unconfirmed   [sourceCount]bool          // the source has removed the server, which is not confirmed yet
	HeldUntil     time.Duration              // end of the hold of a server that returns too often; 0: none
}

// View returns the state of a server; ok is false if no source has reported the server.
func (l *Ledger) View(id honeyplank.ServerID) (v View, ok bool) {
	n := l.nodes[id]
	if n == nil {
		return v, false
	}
	v = View{Member: l.mergedMember(n), State: n.state, Cause: n.cause, Since: n.since, HeldUntil: n.flap.heldUntil}
	for from, r := range n.reports {
		v.ReportedState[from], v.ReportedAt[from], v.Unconfirmed[from] = r.state, r.reportedAt, r.removalUnconfirmed
	}
	return v, true
}

// Nodes returns the IDs of all servers that a source has reported, in no particular order.
func (l *Ledger) Nodes() (ids []honeyplank.ServerID) {
	for id := range l.nodes {
		ids = append(ids, id)
	}
	return ids
}

// SourceStatus returns the time at which a source last reported (0: never) and the time of its first failure since then
// (0: none).
func (l *Ledger) SourceStatus(source Source) (lastReportAt, failingSince time.Duration) {
	return l.sources[source].lastReportAt, l.sources[source].failingSince
}
