package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartTarget bounds the mean of what instances send by random admission, as a share of a
	// server's budget; the rest is left for the deviation from that mean.
	slowStartTarget = 7.0 / 8
	// slowStartDeviations is how many standard deviations above that mean stay below a server's
	// overload threshold.
	slowStartDeviations = 4.0
	// slowStartMaxOps is how many mean-sized ops an instance may send by random admission within a
	// window, beyond its share of the budget.
	slowStartMaxOps = 1.5
	// fewBudgetOps is the budget, in mean-sized ops, below which a server's overload threshold is
	// wider: N + 3 root N + 3 in place of N + 2 root N + 2.
	fewBudgetOps = 30
)

// sentUnits is the end of a dispatch that may have arrived at a server in slow start.
type sentUnits struct {
	at    time.Duration
	units float64
}

// inSlowStart reports whether a server started so recently that its budget binds.
func (e *Engine) inSlowStart(server *server) bool {
	window := e.settings.SlowStart.Window
	return server.Started > 0 && window > 0 && e.now < server.Started+e.settings.SlowStart.Time+window
}

// slowStartBudget is what a server that is warming up can take by now within a window, in units.
func (e *Engine) slowStartBudget(server *server) float64 {
	from, growth, warmUp := e.settings.SlowStart.From, 1.0, e.settings.SlowStart.Time
	if age := e.now - server.Started; from > 0 && from < 1 && age > 0 && warmUp > 0 {
		growth = (from + (1-from)*min(1, float64(age)/float64(warmUp))) / from
	}
	return growth * e.settings.SlowStart.Units
}

// slowStartShare is the share of a server's budget that random admission may use in the mean. A
// server is overloaded at N + 2 root N + 2 mean-sized ops, where N is its budget (N + 3 root N + 3
// below fewBudgetOps); the mean and some standard deviations stay below that. What many instances
// admit independently has the variance of a Poisson count of ops of several sizes: the mean times
// the ratio of the mean square of the sizes to the square of their mean.
func (e *Engine) slowStartShare(budget float64) float64 {
	if e.settings.MeanUnits <= 0 || e.unitsAdmitted <= 0 || budget <= 0 {
		return slowStartTarget
	}
	budgetOps := budget / e.settings.MeanUnits
	overloadOps := budgetOps + 2*math.Sqrt(budgetOps) + 2
	if budgetOps < fewBudgetOps {
		overloadOps = budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	deviation := slowStartDeviations * math.Sqrt(e.unitsSquaredAdmitted/e.unitsAdmitted/e.settings.MeanUnits)
	root := (math.Sqrt(deviation*deviation+4*overloadOps) - deviation) / 2
	return min(slowStartTarget, root*root/budgetOps)
}

// slowStartAllows reports whether an op may be sent to a server within this instance's share of the
// server's budget. What counts is what may arrive within one window: every outstanding dispatch,
// since it may wait for its connection and arrive with others at once, and every one that ended
// less than a window ago. Where the share is below the largest op, ops are admitted at random by
// their admission draw, such that the mean over all instances stays below the budget, those within
// reserves first. It guards against overloading a server that is warming up. It could harm service
// where instances with little traffic can't use their shares or answers take long, and would not
// hold where a server's data comes into demand within that window.
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
	// Until a response shows that connections are set up, those of many instances may be late and
	// arrive together.
	delay := e.settings.maxArrivalDelay
	if !server.respondedSinceStart && e.now < server.Started+delay+window {
		window += delay
	}
	share *= e.slowStartShare(budget)
	demand := e.demandSplit(server, window)
	return class == reserveDemand && admissionDraw*demand[reserveDemand] < share ||
		admissionDraw*demand[spareDemand] < share-demand[reserveDemand]
}

// trafficShare is this instance's share of all demand on a server, an even one at least. The demand
// through others is estimated from what this instance is asked of a mean server, and from the
// number of instances that the volumes with ops at this server come through.
func (e *Engine) trafficShare(server *server) float64 {
	// The settings may lag behind what the volumes report.
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

// trimSentLog drops the entries before a time.
func (server *server) trimSentLog(from time.Duration) {
	old := 0
	for old < len(server.sentLog) && server.sentLog[old].at < from {
		old++
	}
	if old > 0 { // moved down, so that the array is used again
		server.sentLog = slices.Delete(server.sentLog, 0, old)
	}
}

// sentInWindow is how many units may arrive within the window: outstanding ones and those in the
// log.
func (server *server) sentInWindow() float64 {
	sum := server.unitsOutstanding
	for _, sent := range server.sentLog {
		sum += sent.units
	}
	return sum
}
