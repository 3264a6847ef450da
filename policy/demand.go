package policy

import (
	"math"
	"time"

	"honeyplank"
)

// This file counts what this host is asked, and of whom, and what a cold disk server bears. Nothing here decides.

// cellDemand is what is asked of the holders of a cell.
type cellDemand struct {
	asked [2]decayedRate // units: due, and beyond
	fleet decayedRate    // units that all hosts are asked for the volumes known here
}

// requestIdentity tells which ops may be tries of one client's request.
type requestIdentity struct {
	volume, key int64
	typ         int
	units       float64
}

// earlierTry is the last op of an identity, and how long its client's first try had.
type earlierTry struct {
	op       *op
	timeLeft time.Duration
	expires  time.Duration
}

func identityOf(p *op) requestIdentity { return requestIdentity{p.Volume, p.Key, p.Type, p.Units} }

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
		here.asked[i].add(s.now, units[i], 8*memory)
	}
	everywhere := p.Units * float64(p.volume.schedulers)
	s.boundDemand.add(s.now, p.Units, 8*memory)
	s.fleetDemand.add(s.now, everywhere, 8*memory)
	here.fleet.add(s.now, everywhere, 8*memory)
}

// recordRedraw notes that a held op has drawn a new lot where it is held: for the lots it is asked there once more.
func (s *Scheduler) recordRedraw(p *op) {
	if p.queue != nil {
		p.server.redrawn[boolToInt(!s.withinReserve(p))].add(s.now, p.Units, s.settings.shortestTarget)
	}
}

// redrawRate is how many units a second draw anew at a disk server of late, due or beyond.
func (s *Scheduler) redrawRate(o *server, i int) float64 {
	if o.redrawn[i].time == 0 {
		return 0
	}
	o.redrawn[i].add(s.now, 0, s.settings.shortestTarget)
	return o.redrawn[i].rate()
}

// demandSplit is how many units this host is asked of a node within a window, due and beyond: of a mean one, or of what this
// one holds where that is more, by as much more as this host is asked of late, and what held ops ask by drawing anew.
func (s *Scheduler) demandSplit(o *server, window time.Duration) (first, others float64) {
	var units [2]float64
	surge := 1.0
	if s.boundDemand.time > 0 {
		surge = max(1, (s.demand[0].rate()+s.demand[1].rate())/s.boundDemand.rate())
	}
	for i := range units {
		usual := s.demand[i].rate() / float64(max(s.running, 1))
		units[i] = usual
		if here := s.demandByCell[o.Cell]; here != nil && here.asked[i].time > 0 {
			units[i] = max(usual, here.asked[i].rate()*surge)
		}
		units[i] = (units[i] + s.redrawRate(o, i)) * window.Seconds()
	}
	return units[0], units[1]
}

// inSlowStart tells whether the rule of cold starts binds at a disk server.
func (s *Scheduler) inSlowStart(o *server) bool {
	window := s.settings.slowStartWindow
	return o.Started > 0 && window > 0 && s.now < o.Started+s.settings.slowStartTime+window
}

// slowStartBudget is what a disk server that has just started surely bears by now within a window, in units.
func (s *Scheduler) slowStartBudget(o *server) float64 {
	from, grown, warm := s.settings.slowStartFrom, 1.0, s.settings.slowStartTime
	if age := s.now - o.Started; from > 0 && from < 1 && age > 0 && warm > 0 {
		grown = (from + (1-from)*min(1, float64(age)/float64(warm))) / from
	}
	return grown * s.settings.slowStartUnits
}

// slowStartShare is which part of what a server bears may come by lots in the mean, m. A server falls at N + 2 x root of N + 2
// mean ops, under 30 at N + 3 x root of N + 3; m and some standard deviations stay below. What comes by many lots is
// spread as a Poisson count of ops of unlike sizes: its variance is m times the mean size by units over the mean one.
func (s *Scheduler) slowStartShare(units float64) float64 {
	if s.settings.meanUnits <= 0 || s.unitsAdmitted <= 0 || units <= 0 {
		return slowStartTarget
	}
	bears := units / s.settings.meanUnits
	falls := bears + 2*math.Sqrt(bears) + 2
	if bears < 30 {
		falls = bears + 3*math.Sqrt(bears) + 3
	}
	deviation := slowStartDeviations * math.Sqrt(s.unitsSquared/s.unitsAdmitted/s.settings.meanUnits)
	root := (math.Sqrt(deviation*deviation+4*falls) - deviation) / 2
	return min(slowStartTarget, root*root/bears)
}
