package gateway

import (
	"time"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/membership"
)

// receipt holds the source of an update, and the times on the loop's clock and on the wall clock at which it was
// received.
type receipt struct {
	source membership.Source
	now    time.Duration
	wall   time.Time
}

// handleUpdate records a source's update in the ledger and delivers the resulting changes to the module.
func (g *Instance) handleUpdate(source membership.Source, update discovery.Update) {
	for _, reason := range update.Skipped {
		g.log.Warn().Stringer("source", source).Str("reason", reason).Msg("endpoint list entry skipped")
	}
	// The wall clock is read first. A process pause between the two reads then makes the computed start times of nodes
	// later, not earlier.
	received := receipt{source: source, wall: g.options.WallClock(), now: g.loop.Now()}
	reports := g.makeReports(received, update)
	var lists []honeyplank.List
	switch update.Kind {
	case honeyplank.WatchFailed:
		g.handleSourceFailure(received, update.Err)
		return
	case honeyplank.Complete:
		lists = g.ledger.Complete(received.now, source, reports)
	default:
		lists = g.ledger.Delta(received.now, source, reports)
	}
	switch {
	case source == membership.Etcd && len(lists) == 0: // no change, but it shows that the watch works
		lists = []honeyplank.List{{Kind: honeyplank.Delta}}
	case source == membership.DNS && g.etcd != nil:
		lists = outOfBand(lists)
	}
	g.deliverLists(lists)
}

// handleSourceFailure records that a source is unavailable. The module is notified of etcd failures only: it retries
// the watch, and DNS has no watch.
func (g *Instance) handleSourceFailure(received receipt, err error) {
	g.log.Warn().Stringer("source", received.source).Err(err).Msg("endpoint list watch failed")
	g.ledger.SourceFailed(received.now, received.source)
	if received.source == membership.Etcd {
		g.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	}
}

// makeReports converts an update to reports for the ledger, and records the incarnations that it states or implies.
func (g *Instance) makeReports(received receipt, update discovery.Update) []membership.Report {
	var reports []membership.Report
	for _, node := range update.Nodes {
		reports = append(reports, g.makeReport(received, node))
	}
	g.recordCurrent(received, update)
	return reports
}

// makeReport converts a node of an update to a report for the ledger, and records its incarnation.
func (g *Instance) makeReport(received receipt, node discovery.Node) membership.Report {
	id := honeyplank.ServerID(node.Address)
	report := membership.Report{
		State:  membership.Up,
		Member: honeyplank.Member{ID: id, Size: node.Size, Model: node.Model, Zone: node.Zone, Cell: node.Cell},
	}
	switch {
	case node.Removed:
		report.State = membership.Removed
		g.incarnations[received.source].MarkRemoved(received.now, id)
		return report
	case node.State == discovery.StateDraining:
		report.State = membership.Draining
	}
	report.Member.Started, report.StartedAfter = g.startTime(received, id, node.StartedMS)
	return report
}

// startTime returns the start time of a node on the loop's clock, or 0 if it was long ago, and a lower bound of that
// time, or 0 if none is known. upSinceMS is the start time that the source reports, in Unix milliseconds. DNS reports
// start times in whole seconds: if the other source has already reported one within the same second, both belong to the
// same incarnation.
func (g *Instance) startTime(
	received receipt, id honeyplank.ServerID, upSinceMS int64,
) (started, startedAfter time.Duration) {
	const msPerSecond = 1000
	own, other := &g.incarnations[received.source], &g.incarnations[1-received.source]
	known, ok := other.Lookup(id)
	if ok && upSinceMS > 0 && known.UpSinceMS/msPerSecond == upSinceMS/msPerSecond {
		known.UpSinceMS = upSinceMS
		own.Adopt(id, known)
	}
	started = own.StartOf(received.now, received.wall, id, upSinceMS)
	known, _ = own.Lookup(id) // always found, because StartOf records it
	return started, known.StartedAfter
}

// recordCurrent records that an update is complete or current, if it is. The nodes that such an update doesn't mention
// have not restarted until then: if a start of such a node is reported later, it happened after this update.
func (g *Instance) recordCurrent(received receipt, update discovery.Update) {
	switch {
	case update.Kind == honeyplank.Complete:
		ids := make([]honeyplank.ServerID, len(update.Nodes))
		for i, node := range update.Nodes {
			ids[i] = honeyplank.ServerID(node.Address)
		}
		g.incarnations[received.source].RemoveUnlisted(received.now, ids)
	case update.Current:
		g.incarnations[received.source].MarkCurrent(received.now)
	}
}

// outOfBand marks lists as changes that do not show that the watch works.
func outOfBand(lists []honeyplank.List) []honeyplank.List {
	for i := range lists {
		lists[i].Kind = honeyplank.OutOfBand
	}
	return lists
}

// deliverLists delivers changes of the ledger to the module and schedules the ledger's next tick.
func (g *Instance) deliverLists(lists []honeyplank.List) {
	for _, list := range lists {
		for _, member := range list.Members {
			g.logMember(member)
		}
		g.tracker.Deliver(list)
	}
	g.loop.Cancel(g.ledgerTimer)
	if at := g.ledger.NextTick(); at > 0 {
		g.ledgerTimer = g.loop.Schedule(at, func() { g.deliverLists(outOfBand(g.ledger.Tick(g.loop.Now()))) })
	}
}

// logMember logs a changed member, unless it is up and the sources agree.
func (g *Instance) logMember(member honeyplank.Member) {
	view, _ := g.ledger.View(member.ID) // always found, because the ledger has listed it
	if member.State == honeyplank.Up && view.Cause == membership.Agreed {
		return
	}
	g.log.Info().
		Str("server", string(member.ID)).
		Stringer("state", view.State).
		Stringer("cause", view.Cause).
		Stringer("etcd", view.ReportedState[membership.Etcd]).
		Stringer("dns", view.ReportedState[membership.DNS]).
		Msg("membership changed")
}
