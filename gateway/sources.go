package gateway

import (
	"time"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/membership"
)

// handleUpdate records a source's update in the ledger and delivers what the ledger makes of it to the module.
func (g *Instance) handleUpdate(source membership.Source, update discovery.Update) {
	for _, reason := range update.Skipped {
		g.log.Warn().Stringer("source", source).Str("why", reason).Msg("a list entry is passed over")
	}
	wall, now := g.options.Wall(), g.loop.Now() // in this order: a hold-up between them places starts later, not earlier
	var reports []membership.Report
	for _, node := range update.Nodes {
		reports = append(reports, g.report(now, wall, source, node))
	}
	g.recordCurrent(now, source, update)
	var lists []honeyplank.List
	switch update.Kind {
	case honeyplank.WatchFailed:
		g.handleSourceFailure(now, source, update.Err)
		return
	case honeyplank.Complete:
		lists = g.ledger.Complete(now, source, reports)
	default:
		lists = g.ledger.Delta(now, source, reports)
	}
	if source == membership.Etcd && len(lists) == 0 { // no change, but the module learns that the watch works
		lists = []honeyplank.List{{Kind: honeyplank.Delta}}
	}
	g.deliverLists(lists, source == membership.Etcd || g.etcd == nil)
}

// handleSourceFailure records that a source can't be followed. The module is told of etcd's failures only: it retries
// the watch, and DNS has none.
func (g *Instance) handleSourceFailure(now time.Duration, source membership.Source, err error) {
	g.log.Warn().Stringer("source", source).Err(err).Msg("the list can't be followed")
	g.ledger.SourceFailed(now, source)
	if source == membership.Etcd {
		g.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	}
}

// report converts a node of an update to a report for the ledger, and records its incarnation.
func (g *Instance) report(now time.Duration, wall time.Time, source membership.Source, node discovery.Node) membership.Report {
	id := honeyplank.ServerID(node.Address)
	report := membership.Report{
		State:  membership.Up,
		Member: honeyplank.Member{ID: id, Size: node.Size, Model: node.Model, Zone: node.Zone, Cell: node.Cell},
	}
	switch {
	case node.Removed:
		report.State = membership.Removed
		g.incarnations[source].Removed(now, id)
		return report
	case node.State == "draining":
		report.State = membership.Draining
	}
	report.Member.Started, report.StartedAfter = g.startTime(now, wall, source, id, node.StartedMS)
	return report
}

// startTime returns when a node has started, on the loop's clock, and a time that the start surely came after; 0 stands
// for long ago and for no such time. upSinceMS is the start that the source gives, in Unix milliseconds. DNS gives starts
// in whole seconds: where the other source has given one within the same second before, it is the same incarnation.
func (g *Instance) startTime(now time.Duration, wall time.Time, source membership.Source, id honeyplank.ServerID, upSinceMS int64) (started, startedAfter time.Duration) {
	const msPerSecond = 1000
	own, other := &g.incarnations[source], &g.incarnations[1-source]
	known, ok := other.Known(id)
	if ok && upSinceMS > 0 && known.UpSinceMS/msPerSecond == upSinceMS/msPerSecond {
		known.UpSinceMS = upSinceMS
		own.Adopt(id, known)
	}
	started = own.Start(now, wall, id, upSinceMS)
	known, _ = own.Known(id) // known since Start
	return started, known.StartedAfter
}

// recordCurrent records what an update implies for the nodes that it doesn't mention: a start that is reported later
// came after this update.
func (g *Instance) recordCurrent(now time.Duration, source membership.Source, update discovery.Update) {
	switch {
	case update.Kind == honeyplank.Complete:
		ids := make([]honeyplank.ServerID, len(update.Nodes))
		for i, node := range update.Nodes {
			ids[i] = honeyplank.ServerID(node.Address)
		}
		g.incarnations[source].Complete(now, ids)
	case update.Current:
		g.incarnations[source].Current(now)
	}
}

// deliverLists delivers changes of the ledger to the module and schedules the ledger's next tick. fromWatch tells that
// the lists also show that the watch works; the module takes others as out of band.
func (g *Instance) deliverLists(lists []honeyplank.List, fromWatch bool) {
	for _, list := range lists {
		if !fromWatch {
			list.Kind = honeyplank.OutOfBand
		}
		for _, member := range list.Members {
			g.logMember(member)
		}
		g.tracker.Deliver(list)
	}
	g.loop.Cancel(g.ledgerTimer)
	if at := g.ledger.NextTick(); at > 0 {
		g.ledgerTimer = g.loop.Schedule(at, func() { g.deliverLists(g.ledger.Tick(g.loop.Now()), false) })
	}
}

// logMember logs a changed member, unless it is up and the sources agree.
func (g *Instance) logMember(member honeyplank.Member) {
	view, _ := g.ledger.View(member.ID)
	if member.State == honeyplank.Up && view.Cause == membership.Agreed {
		return
	}
	g.log.Info().
		Str("osd", string(member.ID)).
		Stringer("believed", view.State).
		Stringer("cause", view.Cause).
		Stringer("etcd", view.ReportedState[membership.Etcd]).
		Stringer("dns", view.ReportedState[membership.DNS]).
		Msg("the list of disk servers")
}
