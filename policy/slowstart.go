package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartTarget is the largest share of a server's budget that instances use on average by
	// random admission. The rest covers the deviation from that mean.
	slowStartTarget = 7.0 / 8
	// slowStartDeviations is the number of standard deviations between that mean and a server's
	// overload threshold.
	slowStartDeviations = 4.0
	// slowStartMaxOps is the number of mean-sized ops that an instance may send by random admission
	// within a window, beyond its share of the budget.
	slowStartMaxOps = 1.5
	// smallBudgetOps is the budget, in mean-sized ops, below which a server's overload threshold is
	// wider: N + 3 sqrt(N) + 3 instead of N + 2 sqrt(N) + 2.
	smallBudgetOps = 30
)

// sentUnits records the end of a dispatch that may have arrived at a server in slow start.
type sentUnits struct {
	at    time.Duration
	units float64
}

// inSlowStart reports whether a server started so recently that its budget applies.
func (e *Engine) inSlowStart(server *server) bool {
	window := e.settings.SlowStart.Window
	return server.Started > 0 && window > 0 && e.now < server.Started+e.settings.SlowStart.Time+window
}

// slowStartBudget returns the number of units that a server in slow start can currently serve
// within a window.
func (e *Engine) slowStartBudget(server *server) float64 {
	from, growth, warmUp := e.settings.SlowStart.From, 1.0, e.settings.SlowStart.Time
	if age := e.now - server.Started; from > 0 && from < 1 && age > 0 && warmUp > 0 {
		growth = (from + (1-from)*min(1, float64(age)/float64(warmUp))) / from
	}
	return growth * e.settings.SlowStart.Units
}

// slowStartShare returns the share of a server's budget that random admission may use on average. A
// server is overloaded at N + 2 sqrt(N) + 2 mean-sized ops, where N is its budget (N + 3 sqrt(N) +
// 3 below smallBudgetOps). The mean plus slowStartDeviations standard deviations stays below that
// threshold. The ops that many instances admit independently have the variance of a Poisson count
// of ops of several sizes: the mean times the ratio of the mean square of the sizes to the square
// of their mean.
func (e *Engine) slowStartShare(budget float64) float64 {
	if e.settings.MeanUnits <= 0 || e.unitsAdmitted <= 0 || budget <= 0 {
		return slowStartTarget
	}
	budgetOps := budget / e.settings.MeanUnits
	overloadOps := budgetOps + 2*math.Sqrt(budgetOps) + 2
	if budgetOps < smallBudgetOps {
		overloadOps = budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	deviation := slowStartDeviations * math.Sqrt(e.unitsSquaredAdmitted/e.unitsAdmitted/e.settings.MeanUnits)
	root := (math.Sqrt(deviation*deviation+4*overloadOps) - deviation) / 2
	return min(slowStartTarget, root*root/budgetOps)
}

// slowStartAllows reports whether an op may be sent to a server within this instance's share of the
// server's budget. It counts the units that may arrive within one window: those of every
// outstanding dispatch, because a dispatch may wait for its connection and arrive together with
// others, and those of every dispatch that ended less than a window ago. If the share is below the
// largest op, ops are admitted at random by their admission draw, so that the mean over all
// instances stays below the budget. Ops within reserves are admitted first.
//
// This prevents the overload of a server that is warming up. Limitation: service suffers if
// instances with little traffic cannot use their shares, or if answers take long. The bound does
// not hold if demand for a server's data begins within the window.
func (e *Engine) slowStartAllows(server *server, units, admissionDraw float64, class demandClass) bool {
	window := e.settings.SlowStart.Window
	server.trimSentLog(e.now - window)
	if !e.inSlowStart(server) {
		return true
	}
	budget := e.slowStartBudget(server)
	share, used := budget*e.trafficShare(server), server.sentInWindow()
	if share >= max(e.settings.MeanUnits, e.settings.LargestUnits) {
		return used+units <= share
	}
	if used > share+slowStartMaxOps*e.settings.MeanUnits {
		return false
	}
	// Until a response shows that connections are established, those of many instances may be
	// late, and the dispatches that wait for them may arrive together.
	delay := e.settings.maxArrivalDelay
	if !server.respondedSinceStart && e.now < server.Started+delay+window {
		window += delay
	}
	share *= e.slowStartShare(budget)
	demand := e.demandSplit(server, window)
	return class == reserveDemand && admissionDraw*demand[reserveDemand] < share ||
		admissionDraw*demand[spareDemand] < share-demand[reserveDemand]
}

// trafficShare returns this instance's share of the total demand on a server, but at least an even
// share. The demand through other instances is estimated from the demand on a mean server through
// this instance, and from the number of instances of each volume with ops at this server.
func (e *Engine) trafficShare(server *server) float64 {
	// The volumes may report more instances than the settings, which may be out of date.
	instances := float64(max(e.settings.Instances, e.maxInstancesSeen, 1))
	mean := e.cellBoundDemand.rate() / float64(max(e.serversUp, 1))
	if !(mean > 0) {
		return 1 / instances
	}
	fleetMean := e.fleetDemand.rate() / float64(max(e.serversUp, 1))
	here, fleetHere := mean, fleetMean
	if cell := e.demandByCell[server.Cell]; cell != nil && cell.requested[reserveDemand].time > 0 {
		here = max(here, cell.requested[reserveDemand].rate()+cell.requested[spareDemand].rate())
		fleetHere = max(fleetHere, cell.fleet.rate())
	}
	return max(1/instances, here/(instances*mean+fleetHere-fleetMean))
}

// trimSentLog drops the log entries that are older than the time from.
func (server *server) trimSentLog(from time.Duration) {
	old := 0
	for old < len(server.sentLog) && server.sentLog[old].at < from {
		old++
	}
	if old > 0 { // shift the rest down, so that the array is reused
		server.sentLog = slices.Delete(server.sentLog, 0, old)
	}
}

// sentInWindow returns the number of units that may arrive within the window: the outstanding ones
// and those in the log.
func (server *server) sentInWindow() float64 {
	sum := server.unitsOutstanding
	for _, sent := range server.sentLog {
		sum += sent.units
	}
	return sum
}
