package policy

import (
	"time"

	"honeyplank"
)

// demandClass tells ops within the reserve of their volume from those beyond it. It is the index of
// rates that are kept for each.
type demandClass int

const (
	reserveDemand demandClass = iota
	spareDemand
	demandClasses // number of classes
)

// unitsByClass is an amount of work of each demandClass, in units.
type unitsByClass [demandClasses]float64

// ratesByClass is a rate of each demandClass.
type ratesByClass [demandClasses]decayedRate

// cellMemoryFactor is how much longer the demand on one cell is remembered than that on all, whose
// ops are more frequent.
const cellMemoryFactor = 8

// cellDemand is the demand on the servers of a cell, in units.
type cellDemand struct {
	requested ratesByClass // through this instance
	fleet     decayedRate  // through all instances, for the volumes that this one sees here
}

// demandClass is the class of an op now.
func (e *Engine) demandClass(op *op) demandClass {
	if e.withinReserve(op) {
		return reserveDemand
	}
	return spareDemand
}

// recordDemand adds an op to the demand on its cell and on all; ops for new objects have no cell
// and are left out. The demand on all is remembered for no longer than a slow-start window, where
// there is one, so that it shows a burst within it.
func (e *Engine) recordDemand(op *op, class demandClass) {
	if op.Cell == honeyplank.AnyCell {
		return
	}
	memory := 2 * e.settings.longestTarget
	recent := memory
	if e.settings.SlowStart.Window > 0 {
		recent = min(memory, e.settings.SlowStart.Window)
	}
	cell := e.demandByCell[op.Cell]
	if cell == nil {
		cell = &cellDemand{}
		e.demandByCell[op.Cell] = cell
	}
	var units unitsByClass
	units[class] = op.Units
	for i := range e.demand {
		e.demand[i].add(e.now, units[i], recent)
		cell.requested[i].add(e.now, units[i], cellMemoryFactor*memory)
	}
	fleetUnits := op.Units * float64(op.volume.instances)
	e.cellBoundDemand.add(e.now, op.Units, cellMemoryFactor*memory)
	e.fleetDemand.add(e.now, fleetUnits, cellMemoryFactor*memory)
	cell.fleet.add(e.now, fleetUnits, cellMemoryFactor*memory)
}

// recordResample adds a queued op with a new admission draw to the demand on its server: for random
// admission it counts as another op.
func (e *Engine) recordResample(op *op) {
	if op.queue != nil {
		class := e.demandClass(op)
		op.server.resampledDemand[class].add(e.now, op.Units, e.settings.shortestTarget)
	}
}

// resampleRate is the recent rate, in units a second, at which ops queued for a server got new
// admission draws.
func (e *Engine) resampleRate(server *server, class demandClass) float64 {
	resampled := &server.resampledDemand[class]
	if resampled.time == 0 {
		return 0
	}
	resampled.add(e.now, 0, e.settings.shortestTarget)
	return resampled.rate()
}

// demandSplit is the demand of this instance on a server within a window: that on a mean server, or
// on the server's cell where that is more, scaled up by a current surge, and what queued ops add by
// new admission draws.
func (e *Engine) demandSplit(server *server, window time.Duration) unitsByClass {
	var units unitsByClass
	surge := 1.0
	if e.cellBoundDemand.time > 0 {
		current := e.demand[reserveDemand].rate() + e.demand[spareDemand].rate()
		surge = max(1, current/e.cellBoundDemand.rate())
	}
	cell := e.demandByCell[server.Cell]
	for i := range units {
		mean := e.demand[i].rate() / float64(max(e.serversUp, 1))
		units[i] = mean
		if cell != nil && cell.requested[i].time > 0 {
			units[i] = max(mean, cell.requested[i].rate()*surge)
		}
		units[i] = (units[i] + e.resampleRate(server, demandClass(i))) * window.Seconds()
	}
	return units
}
