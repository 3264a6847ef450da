package membership

import (
	"time"

	"honeyplank"
)

// View is what is known of one server, for logs and the nodes command.
type View struct {
	Member        honeyplank.Member // as the decision module is notified of it
	State         State             // merged
	Cause         Cause             // of State
	Since         time.Duration     // of State
	ReportedState [sourceCount]State
	ReportedAt    [sourceCount]time.Duration // when each source first reported its state
	Unconfirmed   [sourceCount]bool          // the source has removed the server, which is not confirmed yet
	HeldUntil     time.Duration              // end of the hold of a server that returns too often; 0: none
}

// View is what is known of a server; ok is false for one that no source has reported.
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

// Nodes is the ids of all servers that a source has reported, in no order.
func (l *Ledger) Nodes() (ids []honeyplank.ServerID) {
	for id := range l.nodes {
		ids = append(ids, id)
	}
	return ids
}

// SourceStatus is when a source last reported (0: never) and since when it fails (0: it does not).
func (l *Ledger) SourceStatus(source Source) (heardAt, failingSince time.Duration) {
	return l.sources[source].heardAt, l.sources[source].failingSince
}
