package membership

import "time"

// remove records that a source has removed nodes; listedBefore is the number of servers that it listed before. If the
// share of the servers that it has removed within ConfirmAfter is small, the removal is applied immediately. Otherwise
// the servers that were up stay listed, and their removal is unconfirmed, since the source may have lost its list by
// mistake, at once or key by key as leases expire. Limitation: if a large part of a fleet is really removed, dispatches
// to it fail until the removal is confirmed. A draining server gets no new ops anyway, so its removal is always
// applied.
func (l *Ledger) remove(from Source, nodes []*node, listedBefore int) {
	source := &l.sources[from]
	source.expireRemovals(l.now - l.settings.ConfirmAfter)
	removedUp := len(source.recentRemovals)
	for _, n := range nodes {
		if n.reports[from].state == Up {
			removedUp++
		}
	}
	all := listedBefore + len(source.recentRemovals)
	tooMany := all > 1 && float64(removedUp) > l.settings.MaxRemovedShare*float64(all)
	for _, n := range nodes {
		r := &n.reports[from]
		switch {
		case !tooMany || r.state == Draining:
			l.applyRemoval(from, n)
		case !r.removalUnconfirmed:
			r.removalUnconfirmed, r.removedAt = true, l.now
		}
	}
}

// expireRemovals removes the times of recent removals up to a time.
func (s *sourceStatus) expireRemovals(upTo time.Duration) {
	old := 0
	for old < len(s.recentRemovals) && s.recentRemovals[old] <= upTo {
		old++
	}
	s.recentRemovals = s.recentRemovals[old:]
}

// applyRemoval sets a source's report about a server to Removed.
func (l *Ledger) applyRemoval(from Source, n *node) {
	r, source := &n.reports[from], &l.sources[from]
	if r.state.listed() {
		source.listed--
	}
	if r.confirmedUp() {
		source.recentRemovals = append(source.recentRemovals, l.now)
	}
	r.state, r.reportedAt, r.removalUnconfirmed = Removed, l.now, false
}

// confirmRemovals applies the unconfirmed removals of a node that are older than ConfirmAfter, unless the other source
// lists the server as up. It reports whether it has applied one.
func (l *Ledger) confirmRemovals(n *node) (confirmed bool) {
	for from := range sourceCount {
		r, other := &n.reports[from], &n.reports[from.other()]
		if r.removalUnconfirmed && l.now >= r.confirmAt(l.settings) && !other.confirmedUp() {
			l.applyRemoval(from, n)
			confirmed = true
		}
	}
	return confirmed
}
