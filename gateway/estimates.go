package gateway

import (
	"time"

	"honeyplank"
	"honeyplank/estimates"
)

// recall tells the module what an instance before had learnt, each figure with its age. The file has the wall clock's
// time alone. Where it names a time to come, the clock has been set back since: no age in it can be told, and none of it
// is believed. It guards against old figures that look fresh; it could harm where a clock is set back by a moment just
// at a switch, which then begins as without the file.
func (g *Instance) recall(r *estimates.Record) {
	wall, now := g.o.Wall(), g.loop.Now()
	for _, s := range r.Servers {
		if s.At.After(wall) {
			g.log.Warn().Str("osd", s.ID).Time("at", s.At).Msg("what was learnt is passed over: it is of a time to come, the clock was set back")
			return
		}
	}
	if unit := int64(g.s.Volumes.Unit); r.Unit != unit {
		g.log.Warn().Int64("bytes", r.Unit).Int64("now", unit).Msg("best times are passed over: a unit was of another size")
	}
	g.ops.Deliver(r.ToEvent(int64(g.s.Volumes.Unit), func(at time.Time) time.Duration { return now - wall.Sub(at) }))
}

// Learnt asks the loop what the module knows of the disk servers; a module that doesn't tell, and an instance that has
// ended, answer nothing.
func (g *Instance) Learnt() (r *estimates.Record, ok bool) {
	module, tells := g.module.(interface {
		SavedEstimates() honeyplank.SavedEstimates
	})
	answer := make(chan *estimates.Record, 1)
	if !tells || !g.loop.Post(func() {
		start := g.o.Wall().Add(-g.loop.Now())
		answer <- estimates.FromEvent(module.SavedEstimates(), int64(g.s.Volumes.Unit), start.Add)
	}) {
		return nil, false
	}
	select {
	case r = <-answer:
		return r, true
	case <-g.done:
		return nil, false
	}
}
