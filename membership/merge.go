package membership

import "honeyplank"

// Cause is the reason for the merged state of a server.
type Cause int

const (
	// Unreported means that no source has reported the server.
	Unreported Cause = iota
	// Agreed means that no source reports a different state.
	Agreed
	// SourceReported means that a source reports the server as draining or removed.
	SourceReported
	// NewerStart means that the server has certainly started after the report that took it out of service.
	NewerStart
	// Unconfirmed means that the server was removed with too many others and keeps its previous state.
	Unconfirmed
	// Confirmed means that an unconfirmed removal was applied after Settings.ConfirmAfter.
	Confirmed
	// FlapHeld means that the server has returned too often and stays out of service for some time.
	FlapHeld
)

// String returns the cause as logs and the nodes command show it.
func (c Cause) String() string {
	return [...]string{
		"unheard", "agreed", "said", "newer start", "vanishing doubted", "vanishing confirmed", "held back",
	}[c]
}

// mergeRule is the merged state by the states that etcd (row) and DNS (column) report. An unconfirmed removal counts as
// the state before it. The worse state wins, so that a server gets no ops if one source has taken it out of service
// while the other still lists it. Limitation: a source that is wrong for a long time keeps working servers out of
// service.
var mergeRule = [stateCount][stateCount]State{
	//           DNS: NeverListed  Up        Draining  Removed
	NeverListed: {NeverListed, Up, Draining, Removed},
	Up:          {Up, Up, Draining, Removed},
	Draining:    {Draining, Draining, Draining, Removed},
	Removed:     {Removed, Removed, Removed, Removed},
}

// merge returns the merged state of a server and its cause. The only exception to mergeRule is a server that one source
// lists as up with a start that is certainly newer than the report by which the other source took it out of service:
// the other source has not received the new start yet.
func merge(reports *[sourceCount]sourceReport) (State, Cause) {
	etcd, dns := &reports[Etcd], &reports[DNS]
	state, cause := mergeRule[etcd.state][dns.state], Agreed
	switch {
	case !state.outOfService():
	case hasNewerStart(etcd, dns) || hasNewerStart(dns, etcd):
		state, cause = Up, NewerStart
	default:
		cause = SourceReported
	}
	if state == Up && (etcd.removalUnconfirmed || dns.removalUnconfirmed) {
		cause = Unconfirmed
	}
	return state, cause
}

// hasNewerStart reports whether the source of the report other lists the server as up, with a start that is certainly
// newer than the report out, by which the server was taken out of service.
func hasNewerStart(out, other *sourceReport) bool {
	return out.state.outOfService() && other.confirmedUp() && other.startedAfter > out.reportedAt
}

// mergedMember returns a server as it is passed to the decision module. It has the properties that etcd reports, or
// those that DNS reports if etcd does not list the server, and the latest start that either source reports. With an
// earlier start, a server would get too many ops during its slow start.
func (l *Ledger) mergedMember(n *node) honeyplank.Member {
	etcd, dns := &n.reports[Etcd], &n.reports[DNS]
	member := etcd.member
	if etcd.state == NeverListed || etcd.state == Removed && dns.state.listed() {
		member = dns.member
	}
	member.ID, member.Started = n.id, max(etcd.member.Started, dns.member.Started)
	switch n.state {
	case Up:
		member.State = honeyplank.Up
	case Draining:
		member.State = honeyplank.Draining
	default:
		member.State = honeyplank.Removed
	}
	return member
}
