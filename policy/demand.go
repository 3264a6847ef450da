package policy

import (
	"time"

	"honeyplank"
)

// Indices of the pairs of rates that are kept apart by the reserve.
const (
	withinReserveIndex = iota
	beyondReserveIndex
	reserveIndices
)

// cellMemoryFactor is how much longer the demand on one cell is remembered than that on all, whose
// ops are more frequent.
const cellMemoryFactor = 8

// cellDemand is the demand on the servers of a cell, in units.
type cellDemand struct {
	requested [reserveIndices]decayedRate // through this instance
	fleet     decayedRate                 // through all instances, for the volumes that this one sees here
}

// windowDemand is the demand of this instance on a server within a window, in units.
type windowDemand struct {
	withinReserve, beyondReserve float64
}

func reserveIndex(withinReserve bool) int {
	if withinReserve {
		return withinReserveIndex
	}
	return beyondReserveIndex
}

// recordDemand adds an op to the demand on its cell and on all; ops for new objects have no cell
// and are left out. The demand on all is remembered for no longer than a slow-start window, where
// there is one, so that it shows a burst within it.
func (s *Engine) recordDemand(op *op, withinReserve bool) {
	if op.Cell == honeyplank.NewObject {
		return
	}
	memory := 2 * s.settings.longestTarget
	recent := memory
	if s.settings.slowStartWindow > 0 {
		recent = min(memory, s.settings.slowStartWindow)
	}
	cell := s.demandByCell[op.Cell]
	if cell == nil {
		cell = &cellDemand{}
		s.demandByCell[op.Cell] = cell
	}
	var units [reserveIndices]float64
	units[reserveIndex(withinReserve)] = op.Units
	for i := range s.demand {
		s.demand[i].add(s.now, units[i], recent)
		cell.requested[i].add(s.now, units[i], cellMemoryFactor*memory)
	}
	fleetUnits := op.Units * float64(op.volume.schedulers)
	s.cellBoundDemand.add(s.now, op.Units, cellMemoryFactor*memory)
	s.fleetDemand.add(s.now, fleetUnits, cellMemoryFactor*memory)
	cell.fleet.add(s.now, fleetUnits, cellMemoryFactor*memory)
}

// recordResample adds a held op with a new admission draw to the demand on its server: for random
// admission it counts as another op.
func (s *Engine) recordResample(op *op) {
	if op.queue != nil {
		i := reserveIndex(s.withinReserve(op))
		op.server.resampledDemand[i].add(s.now, op.Units, s.settings.shortestTarget)
	}
}

// resampleRate is the recent rate, in units a second, at which ops held for a server got new
// admission draws.
func (s *Engine) resampleRate(server *server, i int) float64 {
	if server.resampledDemand[i].time == 0 {
		return 0
	}
	server.resampledDemand[i].add(s.now, 0, s.settings.shortestTarget)
	return server.resampledDemand[i].rate()
}

// demandSplit is the demand of this instance on a server within a window: that on a mean server, or
// on the server's cell where that is more, scaled up by a current surge, and what held ops add by
// new admission draws.
func (s *Engine) demandSplit(server *server, window time.Duration) windowDemand {
	var units [reserveIndices]float64
	surge := 1.0
	if s.cellBoundDemand.time > 0 {
		current := s.demand[withinReserveIndex].rate() + s.demand[beyondReserveIndex].rate()
		surge = max(1, current/s.cellBoundDemand.rate())
	}
	cell := s.demandByCell[server.Cell]
	for i := range units {
		mean := s.demand[i].rate() / float64(max(s.serversUp, 1))
		units[i] = mean
		if cell != nil && cell.requested[i].time > 0 {
			units[i] = max(mean, cell.requested[i].rate()*surge)
		}
		units[i] = (units[i] + s.resampleRate(server, i)) * window.Seconds()
	}
	return windowDemand{units[withinReserveIndex], units[beyondReserveIndex]}
}
