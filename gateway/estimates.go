package gateway

import (
	"time"

	"honeyplank"
	"honeyplank/estimates"
)

// restoreEstimates delivers the estimates that an earlier instance saved to the module, each with its age.
//
// The record contains only wall-clock times. If one of them is in the future, the clock has been set back since the
// record was saved and the ages cannot be computed. The record is then discarded, because old estimates would otherwise
// appear recent. Limitation: if a clock is set back slightly during a restart, the instance starts without estimates.
func (g *Instance) restoreEstimates(record *estimates.Record) {
	wall, now := g.options.WallClock(), g.loop.Now()
	for _, server := range record.Servers {
		if server.At.After(wall) {
			g.log.Warn().
				Str("server", server.ID).
				Time("saved_at", server.At).
				Str("reason", "saved in the future: the clock was set back").
				Msg("saved estimates ignored")
			return
		}
	}
	unit := int64(g.settings.Volumes.Unit)
	if record.Unit != unit {
		g.log.Warn().
			Int64("saved_unit_bytes", record.Unit).
			Int64("unit_bytes", unit).
			Msg("saved best latencies ignored")
	}
	g.tracker.Deliver(record.ToEvent(unit, func(at time.Time) time.Duration { return now - wall.Sub(at) }))
}

// Estimates returns the module's estimates of the disk servers, which can be saved for a later instance. ok is false if
// the module has no SavedEstimates method or the instance has ended. Estimates blocks until the event loop has run the
// query, so it must not be called on the loop.
func (g *Instance) Estimates() (record *estimates.Record, ok bool) {
	module, ok := g.module.(interface {
		SavedEstimates() honeyplank.SavedEstimates
	})
	if !ok {
		return nil, false
	}
	return query(g, func() *estimates.Record {
		loopStart := g.options.WallClock().Add(-g.loop.Now())
		return estimates.FromEvent(module.SavedEstimates(), int64(g.settings.Volumes.Unit), loopStart.Add)
	})
}
