package membership

import "honeyplank"

// Cause is why a server has its merged state.
type Cause int

const (
	// Unreported means that no source has reported the server.
	Unreported Cause = iota
	// Agreed means that no source reports anything else.
	Agreed
	// SourceReported means that a source reports the server as draining or removed.
	SourceReported
	// NewerStart means that the server has surely started after the report that took it out.
	NewerStart
	// Unconfirmed means that the server was removed with too many others; the state from before stays.
	Unconfirmed
	// Confirmed means that such a removal has lasted.
	Confirmed
	// FlapHeld means that the server has returned too often and is held out for some time.
	FlapHeld
)

// String is the cause as logs and the nodes command show it.
func (c Cause) String() string {
	return [...]string{
		"unheard", "agreed", "said", "newer start", "vanishing doubted", "vanishing confirmed", "held back",
	}[c]
}

// mergeRule is the merged state by what etcd (row) and DNS (column) report; an unconfirmed removal counts as the
// state from before. The worse report holds, whichever source it comes from. This guards against work for a server
// that one source has taken out while the other still lists it; it could harm where one source is wrong for long.
var mergeRule = [stateCount][stateCount]State{
	//           DNS: NeverListed  Up        Draining  Removed
	NeverListed: {NeverListed, Up, Draining, Removed},
	Up:          {Up, Up, Draining, Removed},
	Draining:    {Draining, Draining, Draining, Removed},
	Removed:     {Removed, Removed, Removed, Removed},
}

// merge is the merged state of a server and its cause. The one way past the rule is a start that is surely newer than
// the report that took the server out, shown by a source that lists it as up: the first source has not received the
// new start yet.
func merge(reports *[sourceCount]sourceReport) (State, Cause) {
	etcd, dns := &reports[Etcd], &reports[DNS]
	state, cause := mergeRule[etcd.state][dns.state], Agreed
	switch {
	case !state.takenOut():
	case putBack(etcd, dns) || putBack(dns, etcd):
		state, cause = Up, NewerStart
	default:
		cause = SourceReported
	}
	if state == Up && (etcd.removalUnconfirmed || dns.removalUnconfirmed) {
		cause = Unconfirmed
	}
	return state, cause
}

// putBack reports whether a source shows a start that is surely newer than the report by which the other one has
// taken the server out.
func putBack(out, other *sourceReport) bool {
	return out.state.takenOut() && other.confirmedUp() && other.startedAfter > out.reportedAt
}

// mergedMember is a server as the decision module is notified of it: the properties that etcd reports, or DNS where
// etcd does not list the server, and the latest start that either reports. That guards against a server that is taken
// for older than it is and overloaded while it warms up.
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
