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
	// wider: N + 3 root N + 3 in place of N + 2 root N + 2 (rule of the platform).
	fewBudgetOps = 30
)

// sentUnits is the end of a dispatch that may have arrived at a server in slow start.
type sentUnits struct {
	at    time.Duration
	units float64
}

// inSlowStart reports whether a server started so recently that its budget binds.
func (s *Engine) inSlowStart(server *server) bool {
	window := s.settings.slowStartWindow
	return server.Started > 0 && window > 0 && s.now < server.Started+s.settings.slowStartTime+window
}

// slowStartBudget is what a server that is warming up can take by now within a window, in units.
func (s *Engine) slowStartBudget(server *server) float64 {
	from, growth, warmUp := s.settings.slowStartFrom, 1.0, s.settings.slowStartTime
	if age := s.now - server.Started; from > 0 && from < 1 && age > 0 && warmUp > 0 {
		growth = (from + (1-from)*min(1, float64(age)/float64(warmUp))) / from
	}
	return growth * s.settings.slowStartUnits
}

// slowStartShare is the share of a server's budget that random admission may use in the mean. A
// server is overloaded at N + 2 root N + 2 mean-sized ops, where N is its budget (N + 3 root N + 3
// below fewBudgetOps); the mean and some standard deviations stay below that. What many instances
// admit independently has the variance of a Poisson count of ops of several sizes: the mean times
// the ratio of the mean square of the sizes to the square of their mean.
func (s *Engine) slowStartShare(budget float64) float64 {
	if s.settings.meanUnits <= 0 || s.unitsAdmitted <= 0 || budget <= 0 {
		return slowStartTarget
	}
	budgetOps := budget / s.settings.meanUnits
	overloadOps := budgetOps + 2*math.Sqrt(budgetOps) + 2
	if budgetOps < fewBudgetOps {
		overloadOps = budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	deviation := slowStartDeviations * math.Sqrt(s.unitsSquaredAdmitted/s.unitsAdmitted/s.settings.meanUnits)
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
func (s *Engine) slowStartAllows(server *server, units, admissionDraw float64, withinReserve bool) bool {
	window := s.settings.slowStartWindow
	server.trimSentLog(s.now - window)
	if !s.inSlowStart(server) {
		return true
	}
	budget := s.slowStartBudget(server)
	share, used := budget*s.trafficShare(server), server.sentInWindow()
	if share >= max(s.settings.meanUnits, s.settings.largestUnits) {
		return used+units <= share
	}
	if used > share+slowStartMaxOps*s.settings.meanUnits {
		return false
	}
	// Until a response shows that connections are set up, those of many instances may be late and
	// arrive together.
	delay := s.settings.maxArrivalDelay
	if !server.respondedSinceStart && s.now < server.Started+delay+window {
		window += delay
	}
	share *= s.slowStartShare(budget)
	demand := s.demandSplit(server, window)
	return withinReserve && admissionDraw*demand.withinReserve < share ||
		admissionDraw*demand.beyondReserve < share-demand.withinReserve
}

// trafficShare is this instance's share of all demand on a server, an even one at least. The demand
// through others is estimated from what this instance is asked of a mean server, and from the
// number of instances that the volumes with ops at this server come through.
func (s *Engine) trafficShare(server *server) float64 {
	// The settings may lag behind what the volumes report.
	instances := float64(max(s.settings.schedulers, s.maxSchedulersSeen, 1))
	mean := s.cellBoundDemand.rate() / float64(max(s.serversUp, 1))
	if !(mean > 0) {
		return 1 / instances
	}
	fleetMean := s.fleetDemand.rate() / float64(max(s.serversUp, 1))
	here, fleetHere := mean, fleetMean
	if cell := s.demandByCell[server.Cell]; cell != nil && cell.requested[0].time > 0 {
		here = max(here, cell.requested[0].rate()+cell.requested[1].rate())
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
