package gateway

import (
	"time"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/membership"
)

// news carries what a source heard to the book, and what the book makes of it to the module.
func (g *Instance) news(from membership.Source, n discovery.Update) {
	for _, text := range n.Skipped {
		g.log.Warn().Stringer("source", from).Str("why", text).Msg("a list entry is passed over")
	}
	wall, now := g.o.Wall(), g.loop.Now() // in this order: a halt between them makes starts later, not earlier
	var all []membership.Report
	for _, node := range n.Nodes {
		all = append(all, g.statement(now, wall, from, node))
	}
	g.date(now, from, n)
	var lists []honeyplank.List
	switch n.Kind {
	case honeyplank.WatchFailed:
		g.log.Warn().Stringer("source", from).Err(n.Err).Msg("the list can't be followed")
		g.book.SourceFailed(now, from)
		if from == membership.Etcd {
			g.ops.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
		}
		return
	case honeyplank.Complete:
		lists = g.book.Complete(now, from, all)
	default:
		lists = g.book.Delta(now, from, all)
	}
	if from == membership.Etcd && len(lists) == 0 { // nothing new, but the watch stands
		lists = []honeyplank.List{{Kind: honeyplank.Delta}}
	}
	g.believe(lists, from == membership.Etcd || g.etcd == nil)
}

// statement is what a node's entry says.
func (g *Instance) statement(now time.Duration, wall time.Time, from membership.Source, node discovery.Node) membership.Report {
	s := membership.Report{State: membership.Up, Member: honeyplank.Member{ID: honeyplank.ServerID(node.Address), Size: node.Size, Model: node.Model, Zone: node.Zone, Cell: node.Cell}}
	switch {
	case node.Removed:
		s.State = membership.Removed
		g.starts[from].Removed(now, s.Member.ID)
		return s
	case node.State == "draining":
		s.State = membership.Draining
	}
	s.Member.Started, s.StartedAfter = g.started(now, wall, from, s.Member.ID, node.StartedMS)
	return s
}

// started tells when a node that a source names has started, and what that surely came after. DNS names starts in whole
// seconds: where the other source has named one of the same second before, it is the same.
func (g *Instance) started(now time.Duration, wall time.Time, from membership.Source, id honeyplank.ServerID, upSinceMS int64) (started, after time.Duration) {
	here, there := &g.starts[from], &g.starts[1-from]
	if other, at, since, ok := there.Known(id); ok && upSinceMS > 0 && other/1000 == upSinceMS/1000 {
		here.Adopt(id, upSinceMS, at, since)
	}
	started = here.Start(now, wall, id, upSinceMS)
	_, _, after, _ = here.Known(id)
	return started, after
}

// date tells what news says of the nodes that it doesn't name: starts that are named later came after it.
func (g *Instance) date(now time.Duration, from membership.Source, n discovery.Update) {
	switch {
	case n.Kind == honeyplank.Complete:
		ids := make([]honeyplank.ServerID, len(n.Nodes))
		for i, node := range n.Nodes {
			ids[i] = honeyplank.ServerID(node.Address)
		}
		g.starts[from].Complete(now, ids)
	case n.Current:
		g.starts[from].Current(now)
	}
}

// believe tells the module of what has changed in the book; watch tells whether that speaks of the watch too.
func (g *Instance) believe(lists []honeyplank.List, watch bool) {
	for _, l := range lists {
		if !watch {
			l.Kind = honeyplank.OutOfBand
		}
		for _, m := range l.Members {
			if v, _ := g.book.View(m.ID); m.State != honeyplank.Up || v.Cause != membership.Agreed {
				g.log.Info().Str("osd", string(m.ID)).Stringer("believed", v.State).Stringer("cause", v.Cause).
					Stringer("etcd", v.ReportedState[membership.Etcd]).Stringer("dns", v.ReportedState[membership.DNS]).Msg("the list of disk servers")
			}
		}
		g.ops.Deliver(l)
	}
	g.loop.Cancel(g.ticker)
	if at := g.book.NextTick(); at > 0 {
		g.ticker = g.loop.Schedule(at, func() { g.believe(g.book.Tick(g.loop.Now()), false) })
	}
}
