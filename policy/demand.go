package policy

import (
	"time"

	"honeyplank"
)

// demandClass distinguishes ops within the reserve of their volume from ops beyond it. It is the
// index of the rates that are kept for each class.
type demandClass int

const (
	reserveDemand demandClass = iota
	spareDemand
	demandClasses // number of classes
)

// unitsByClass is an amount of work for each demandClass, in units.
type unitsByClass [demandClasses]float64

// ratesByClass is a rate for each demandClass.
type ratesByClass [demandClasses]decayedRate

// cellMemoryFactor is the ratio between the time constant of the demand on one cell and that of the
// demand on all cells, whose ops are more frequent.
const cellMemoryFactor = 8

// cellDemand is the demand on the servers of a cell, in units.
type cellDemand struct {
	requested ratesByClass // through this instance
	fleet     decayedRate  // through all instances, for the volumes with ops at this instance and cell
}

// demandClass returns the current class of an op.
func (e *Engine) demandClass(op *op) demandClass {
	if e.withinReserve(op) {
		return reserveDemand
	}
	return spareDemand
}

// recordDemand adds an op to the demand on its cell and to the demand on all cells. Ops for new
// objects have no cell and are left out. If there is slow start, the time constant of the demand on
// all cells is at most one slow-start window, so that the demand includes a burst within it.
func (e *Engine) recordDemand(op *op, class demandClass) {
	if op.Cell == honeyplank.AnyCell {
		return
	}
	memory := 2 * e.settings.longestTarget
	recent := memory
	if e.settings.SlowStart.Window > 0 {
		recent = min(memory, e.settings.SlowStart.Window)
	}
	var units unitsByClass
	units[class] = op.Units
	for i := range e.demand {
		e.demand[i].add(e.now, units[i], recent)
	}
	fleetUnits := op.Units * float64(op.volume.instances)
	e.cellBoundDemand.add(e.now, op.Units, cellMemoryFactor*memory)
	e.fleetDemand.add(e.now, fleetUnits, cellMemoryFactor*memory)
	cell := e.demandOfCell(op.Cell)
	if cell == nil {
		return
	}
	for i := range e.demand {
		cell.requested[i].add(e.now, units[i], cellMemoryFactor*memory)
	}
	cell.fleet.add(e.now, fleetUnits, cellMemoryFactor*memory)
}

// demandOfCell returns the record of the demand on a cell. It creates the record if there is none.
// It returns nil if there are too many records of cells without a server.
func (e *Engine) demandOfCell(number int) *cellDemand {
	cell := e.demandByCell[number]
	if cell != nil {
		return cell
	}
	if len(e.serversByCell[number]) == 0 && len(e.demandByCell) >= maxUnknownCells+len(e.serversByCell) {
		return nil
	}
	cell = &cellDemand{}
	e.demandByCell[number] = cell
	return cell
}

// recordResample adds a queued op with a new admission draw to the demand on its server, because
// random admission treats it as another op.
func (e *Engine) recordResample(op *op) {
	if op.queue != nil {
		class := e.demandClass(op)
		op.server.resampledDemand[class].add(e.now, op.Units, e.settings.shortestTarget)
	}
}

// resampleRate returns the recent rate, in units a second, at which ops queued for a server got new
// admission draws.
func (e *Engine) resampleRate(server *server, class demandClass) float64 {
	resampled := &server.resampledDemand[class]
	if resampled.time == 0 {
		return 0
	}
	resampled.add(e.now, 0, e.settings.shortestTarget)
	return resampled.rate()
}

// demandSplit returns the demand of this instance on a server within a window, in units by class.
// It is the higher of two values: the demand on a mean server, and the demand on the server's cell.
// The latter is scaled up while the demand on all cells exceeds its longer-term mean. The units of
// queued ops that get new admission draws are added.
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
