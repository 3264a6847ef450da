package policy

import (
	"time"

	"honeyplank"
)

// Bounds of a server's concurrency window, in ops (design page).
const (
	minWindow = 4.0
	maxWindow = 32.0
)

// maxFailureRate is the share of failed dispatches from which a server gets no new objects.
const maxFailureRate = 0.2

// healthTransitions is read by judge; a pair that is missing changes nothing. It guards against servers that died or
// are silent, and should hold against any cut between this host and a server. It could harm where a server
// merely pauses for long: it then gets one op at a time until it answers.
var healthTransitions = map[health]map[healthEvent]struct {
	next   health
	effect func(*Scheduler, *server)
}{
	up:       {unresponsive: {suspect, resetWindow}, restarted: {up, resetWindow}},
	suspect:  {responded: {up, nil}, unresponsive: {down, (*Scheduler).backOff}, restarted: {up, resetWindow}},
	down:     {responded: {up, resetWindow}, backoffElapsed: {halfOpen, nil}, restarted: {up, resetWindow}},
	halfOpen: {responded: {up, resetWindow}, unresponsive: {down, (*Scheduler).backOff}, restarted: {up, resetWindow}},
}

func (s *Scheduler) applyHealthEvent(o *server, in healthEvent) {
	rule, ok := healthTransitions[o.health][in]
	if !ok {
		return
	}
	if o.health != rule.next && (o.health == down || rule.next == down) {
		s.logf("osd %s: %s, was %s", o.ID, rule.next, o.health)
	}
	o.health, o.healthSince = rule.next, s.now
	if o.health == down { // the sweep ends its rest
		s.markActive(o)
	}
	if rule.effect != nil {
		rule.effect(s, o)
	}
}

func resetWindow(_ *Scheduler, o *server) { o.window, o.backoff = minWindow, 0 }

func halveWindow(o *server) { o.window = max(minWindow, o.window/2) }

// backOff leaves a disk server alone, longer each time, up to the longest target latency.
func (s *Scheduler) backOff(o *server) {
	o.backoff = min(max(time.Duration(farPastBest*float64(o.backoff)), s.settings.shortestTarget/2), s.settings.longestTarget)
}

// recordFailure counts ends that brought nothing; failing is their recent share. It is forgotten over time, since a
// host that only writes would never hear of a server again.
func (s *Scheduler) recordFailure(o *server, _ *op, _ honeyplank.Outcome) {
	f := s.failureRate(o)
	o.failureShare, o.failedAt = f+ewmaWeight*(1-f), s.now
}

func (s *Scheduler) failureRate(o *server) float64 { return o.failureShare * s.decay(o.failedAt) }

type health int

const (
	up health = iota
	suspect
	down
	halfOpen
)

func (h health) String() string { return [...]string{"up", "doubted", "down", "trial"}[h] }

type healthEvent int

const (
	noEvidence     healthEvent = iota
	responded                  // an answer, whatever it was
	unresponsive               // no connection, a reset, or silence
	restarted                  // the list tells of a new start
	backoffElapsed             // its rest has passed
)
