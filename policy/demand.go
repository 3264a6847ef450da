package policy

import (
	"math"
	"time"

	"honeyplank"
)

// This file counts what this host is asked, and of whom, and what a cold disk server bears. Nothing here decides.

// cellDemand is what is asked of the holders of a cell.
type cellDemand struct {
	asked      [2]flow // units: due, and beyond
	everywhere flow    // units that all hosts are asked for the volumes known here
}

// identity tells which ops may be tries of one client's request.
type identity struct {
	volume, key int64
	typ         int
	units       float64
}

// attempt is the last op of an identity, and how long its client's first try had.
type attempt struct {
	op    *op
	left  time.Duration
	until time.Duration
}

func identify(p *op) identity { return identity{p.Volume, p.Key, p.Type, p.Units} }

// tally notes the units of an op whose data lies somewhere. What is asked of all is remembered for no longer than a
// window of the cold rule, where there is one, so that a burst is seen within it.
func (s *Scheduler) tally(p *op, due bool) {
	if p.Cell == honeyplank.NewObject {
		return
	}
	memory := 2 * s.set.longest
	recent := memory
	if s.set.coldWindow > 0 {
		recent = min(memory, s.set.coldWindow)
	}
	here := s.byCell[p.Cell]
	if here == nil {
		here = &cellDemand{}
		s.byCell[p.Cell] = here
	}
	units := [2]float64{0, p.Units}
	if due {
		units = [2]float64{p.Units, 0}
	}
	for i := range s.demand {
		s.demand[i].add(s.now, units[i], recent)
		here.asked[i].add(s.now, units[i], 8*memory)
	}
	everywhere := p.Units * float64(p.volume.hosts)
	s.bound.add(s.now, p.Units, 8*memory)
	s.everywhere.add(s.now, everywhere, 8*memory)
	here.everywhere.add(s.now, everywhere, 8*memory)
}

// redraw notes that a held op has drawn a new lot where it is held: for the lots it is asked there once more.
func (s *Scheduler) redraw(p *op) {
	if p.queue != nil {
		p.osd.redrawn[count(!s.due(p))].add(s.now, p.Units, s.set.shortest)
	}
}

// drawing is how many units a second draw anew at a disk server of late, due or beyond.
func (s *Scheduler) drawing(o *osd, i int) float64 {
	if o.redrawn[i].time == 0 {
		return 0
	}
	o.redrawn[i].add(s.now, 0, s.set.shortest)
	return o.redrawn[i].rate()
}

// wanted is how many units this host is asked of a node within a window, due and beyond: of a mean one, or of what this
// one holds where that is more, by as much more as this host is asked of late, and what held ops ask by drawing anew.
func (s *Scheduler) wanted(o *osd, window time.Duration) (first, others float64) {
	var units [2]float64
	surge := 1.0
	if s.bound.time > 0 {
		surge = max(1, (s.demand[0].rate()+s.demand[1].rate())/s.bound.rate())
	}
	for i := range units {
		usual := s.demand[i].rate() / float64(max(s.running, 1))
		units[i] = usual
		if here := s.byCell[o.Cell]; here != nil && here.asked[i].time > 0 {
			units[i] = max(usual, here.asked[i].rate()*surge)
		}
		units[i] = (units[i] + s.drawing(o, i)) * window.Seconds()
	}
	return units[0], units[1]
}

// cold tells whether the rule of cold starts binds at a disk server.
func (s *Scheduler) cold(o *osd) bool {
	window := s.set.coldWindow
	return o.Started > 0 && window > 0 && s.now < o.Started+s.set.coldTime+window
}

// bears is what a disk server that has just started surely bears by now within a window, in units.
func (s *Scheduler) bears(o *osd) float64 {
	from, grown, warm := s.set.coldFrom, 1.0, s.set.coldTime
	if age := s.now - o.Started; from > 0 && from < 1 && age > 0 && warm > 0 {
		grown = (from + (1-from)*min(1, float64(age)/float64(warm))) / from
	}
	return grown * s.set.coldUnits
}

// spread is which part of what a server bears may come by lots in the mean, m. A server falls at N + 2 x root of N + 2
// mean ops, under 30 at N + 3 x root of N + 3; m and some standard deviations stay below. What comes by many lots is
// spread as a Poisson count of ops of unlike sizes: its variance is m times the mean size by units over the mean one.
func (s *Scheduler) spread(units float64) float64 {
	if s.set.unitsMean <= 0 || s.units <= 0 || units <= 0 {
		return coldSpread
	}
	bears := units / s.set.unitsMean
	falls := bears + 2*math.Sqrt(bears) + 2
	if bears < 30 {
		falls = bears + 3*math.Sqrt(bears) + 3
	}
	deviation := coldDeviations * math.Sqrt(s.squares/s.units/s.set.unitsMean)
	root := (math.Sqrt(deviation*deviation+4*falls) - deviation) / 2
	return min(coldSpread, root*root/bears)
}
