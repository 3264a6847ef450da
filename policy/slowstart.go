package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartTarget bounds the mean of what instances send by random admission, as a share of a server's budget;
	// the rest is left for the deviation from that mean.
	slowStartTarget = 7.0 / 8
	// slowStartDeviations is how many standard deviations above that mean stay below a server's overload threshold.
	slowStartDeviations = 4.0
	// slowStartMaxOps is how many mean-sized ops an instance may send by random admission within a window, beyond its
	// share of the budget.
	slowStartMaxOps = 1.5
)

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
	deviation := slowStartDeviations * math.Sqrt(s.unitsSquaredAdmitted/s.unitsAdmitted/s.settings.meanUnits)
	root := (math.Sqrt(deviation*deviation+4*falls) - deviation) / 2
	return min(slowStartTarget, root*root/bears)
}

// slowStartAllows keeps a disk server that has just started below this host's part of what it always bears. The part
// grows no faster than the slowest warm-up. What counts is what may arrive within one window: every dispatch that is
// out, since it may wait for its connection and arrive with others at once, and every one that ended less than a window
// ago. Where the part is below the largest op, lots keep the mean of what hosts send below it, reserves first: against
// what this host is asked of that server, or of a mean one if that is more, since a hot place would take most of a
// fleet's ops. It guards against pushing the server over; it could harm service where hosts with little traffic can't
// use their parts or answers take long, and would not hold where a place grows hot in that moment.
func (s *Scheduler) slowStartAllows(o *server, units, lot float64, due bool) bool {
	window := s.settings.slowStartWindow
	o.trimSentLog(s.now - window)
	if !s.inSlowStart(o) {
		return true
	}
	bears := s.slowStartBudget(o)
	part, used := bears*s.trafficShare(o), o.sentInWindow()
	if part >= max(s.settings.meanUnits, s.settings.largestUnits) {
		return used+units <= part
	}
	if used > part+slowStartMaxOps*s.settings.meanUnits {
		return false
	}
	// Until an answer tells that connections come up, those of many hosts may come up late and together.
	if late := s.settings.maxArrivalDelay; !o.respondedSinceStart && s.now < o.Started+late+window {
		window += late
	}
	part *= s.slowStartShare(bears)
	first, others := s.demandSplit(o, window)
	return due && lot*first < part || lot*others < part-first
}

// trafficShare is this host's part of what all hosts ask of a node, at least an even one. What others ask is told by
// what this host is asked of a mean node, and by how many hosts the volumes come through that it knows there.
func (s *Scheduler) trafficShare(o *server) float64 {
	hosts := float64(max(s.settings.schedulers, s.maxSchedulersSeen, 1)) // settings may lag behind what volumes tell
	usual := s.cellBoundDemand.rate() / float64(max(s.serversUp, 1))
	if !(usual > 0) {
		return 1 / hosts
	}
	through := s.fleetDemand.rate() / float64(max(s.serversUp, 1))
	here, known := usual, through
	if f := s.demandByCell[o.Cell]; f != nil && f.requested[0].time > 0 {
		here, known = max(here, f.requested[0].rate()+f.requested[1].rate()), max(known, f.fleet.rate())
	}
	return max(1/hosts, here/(hosts*usual+known-through))
}

type sentUnits struct {
	at    time.Duration
	units float64
}

// trimSentLog drops what ended before a time from the log; logged adds up the rest and what is out.
func (o *server) trimSentLog(from time.Duration) {
	old := 0
	for old < len(o.sentLog) && o.sentLog[old].at < from {
		old++
	}
	if old > 0 { // moved down, so that the room is used again
		o.sentLog = slices.Delete(o.sentLog, 0, old)
	}
}

func (o *server) sentInWindow() float64 {
	sum := o.unitsOutstanding
	for _, x := range o.sentLog {
		sum += x.units
	}
	return sum
}
