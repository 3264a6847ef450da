package membership

import "time"

// remove records that a source, which listed so many servers before, has removed some. A small part is followed at
// once; of a large part within ConfirmAfter the servers that were up stay, as an unconfirmed removal. This guards
// against a source that empties by mistake, at once or key by key as leases run out. It could harm where a large part
// of a fleet really goes: dispatches to it then fail until the removal is confirmed. A server that was draining gets no
// new work anyway, so its removal is always followed.
func (l *Ledger) remove(from Source, nodes []*node, listedBefore int) {
	source := &l.sources[from]
	source.forgetRemovals(l.now - l.settings.ConfirmAfter)
	lost := len(source.recentRemovals)
	for _, n := range nodes {
		if n.reports[from].state == Up {
			lost++
		}
	}
	all := listedBefore + len(source.recentRemovals)
	tooMany := all > 1 && float64(lost) > l.settings.MaxRemovedShare*float64(all)
	for _, n := range nodes {
		r := &n.reports[from]
		switch {
		case !tooMany || r.state == Draining:
			l.followRemoval(from, n)
		case !r.removalUnconfirmed:
			r.removalUnconfirmed, r.removedAt = true, l.now
		}
	}
}

// forgetRemovals drops the removals up to a time.
func (s *sourceStatus) forgetRemovals(upTo time.Duration) {
	old := 0
	for old < len(s.recentRemovals) && s.recentRemovals[old] <= upTo {
		old++
	}
	s.recentRemovals = s.recentRemovals[old:]
}

// followRemoval sets a source's report of a server to Removed.
func (l *Ledger) followRemoval(from Source, n *node) {
	r, source := &n.reports[from], &l.sources[from]
	if r.state.listed() {
		source.listed--
	}
	if r.confirmedUp() {
		source.recentRemovals = append(source.recentRemovals, l.now)
	}
	r.state, r.reportedAt, r.removalUnconfirmed = Removed, l.now, false
}

// confirmRemovals follows the unconfirmed removals of a node that have lasted, unless the other source lists the server
// as up. It reports whether there was one.
func (l *Ledger) confirmRemovals(n *node) (confirmed bool) {
	for from := range sourceCount {
		r, other := &n.reports[from], &n.reports[from.other()]
		if r.removalUnconfirmed && l.now >= r.confirmAt(l.settings) && !other.confirmedUp() {
			l.followRemoval(from, n)
			confirmed = true
		}
	}
	return confirmed
}
