package policy

import (
	"time"

	"honeyplank"
)

// This file counts what this host is asked, and of whom, and what a cold disk server bears. Nothing here decides.

// cellDemand is what is asked of the holders of a cell.
type cellDemand struct {
	requested [2]decayedRate // units: due, and beyond
	fleet     decayedRate    // units that all hosts are asked for the volumes known here
}

// recordDemand notes the units of an op whose data lies somewhere. What is asked of all is remembered for no longer than a
// window of the cold rule, where there is one, so that a burst is seen within it.
func (s *Scheduler) recordDemand(p *op, due bool) {
	if p.Cell == honeyplank.NewObject {
		return
	}
	memory := 2 * s.settings.longestTarget
	recent := memory
	if s.settings.slowStartWindow > 0 {
		recent = min(memory, s.settings.slowStartWindow)
	}
	here := s.demandByCell[p.Cell]
	if here == nil {
		here = &cellDemand{}
		s.demandByCell[p.Cell] = here
	}
	units := [2]float64{0, p.Units}
	if due {
		units = [2]float64{p.Units, 0}
	}
	for i := range s.demand {
		s.demand[i].add(s.now, units[i], recent)
		here.requested[i].add(s.now, units[i], 8*memory)
	}
	everywhere := p.Units * float64(p.volume.schedulers)
	s.cellBoundDemand.add(s.now, p.Units, 8*memory)
	s.fleetDemand.add(s.now, everywhere, 8*memory)
	here.fleet.add(s.now, everywhere, 8*memory)
}

// recordResample notes that a held op has drawn a new lot where it is held: for the lots it is asked there once more.
func (s *Scheduler) recordResample(p *op) {
	if p.queue != nil {
		p.server.resampledDemand[boolToInt(!s.withinReserve(p))].add(s.now, p.Units, s.settings.shortestTarget)
	}
}

// resampleRate is how many units a second draw anew at a disk server of late, due or beyond.
func (s *Scheduler) resampleRate(o *server, i int) float64 {
	if o.resampledDemand[i].time == 0 {
		return 0
	}
	o.resampledDemand[i].add(s.now, 0, s.settings.shortestTarget)
	return o.resampledDemand[i].rate()
}

// demandSplit is how many units this host is asked of a node within a window, due and beyond: of a mean one, or of what this
// one holds where that is more, by as much more as this host is asked of late, and what held ops ask by drawing anew.
func (s *Scheduler) demandSplit(o *server, window time.Duration) (first, others float64) {
	var units [2]float64
	surge := 1.0
	if s.cellBoundDemand.time > 0 {
		surge = max(1, (s.demand[0].rate()+s.demand[1].rate())/s.cellBoundDemand.rate())
	}
	for i := range units {
		usual := s.demand[i].rate() / float64(max(s.serversUp, 1))
		units[i] = usual
		if here := s.demandByCell[o.Cell]; here != nil && here.requested[i].time > 0 {
			units[i] = max(usual, here.requested[i].rate()*surge)
		}
		units[i] = (units[i] + s.resampleRate(o, i)) * window.Seconds()
	}
	return units[0], units[1]
}
