package policy

import (
	"time"

	"honeyplank"
)

// Bounds of a server's concurrency window, in ops.
const (
	minWindow = 4.0
	maxWindow = 32.0
)

// maxFailureRate is the share of failed dispatches at which a server stops getting new objects.
const maxFailureRate = 0.2

// healthEvent is an event that may change the health of a server.
type healthEvent int

const (
	noEvidence     healthEvent = iota
	responded                  // any answer
	unresponsive               // no connection, a reset, or no answer for a long time
	restarted                  // the endpoint list shows a newer start
	backoffElapsed             // the backoff of a server that is down has elapsed
)

// healthTransition is the entry of healthTransitions for a state and an event.
type healthTransition struct {
	next   honeyplank.Health
	effect func(*Engine, *server) // nil: none
}

// healthTransitions is the transition table of applyHealthEvent. A missing pair changes nothing.
// The table keeps ops away from servers that have died, do not answer or are cut off from this
// instance. Limitation: a server that merely pauses for a long time gets one op at a time until it
// answers.
var healthTransitions = map[honeyplank.Health]map[healthEvent]healthTransition{
	honeyplank.HealthUp: {
		unresponsive: {honeyplank.HealthSuspect, resetWindow},
		restarted:    {honeyplank.HealthUp, resetWindow},
	},
	honeyplank.HealthSuspect: {
		responded:    {honeyplank.HealthUp, nil},
		unresponsive: {honeyplank.HealthDown, (*Engine).backOff},
		restarted:    {honeyplank.HealthUp, resetWindow},
	},
	honeyplank.HealthDown: {
		responded:      {honeyplank.HealthUp, resetWindow},
		backoffElapsed: {honeyplank.HealthHalfOpen, nil},
		restarted:      {honeyplank.HealthUp, resetWindow},
	},
	honeyplank.HealthHalfOpen: {
		responded:    {honeyplank.HealthUp, resetWindow},
		unresponsive: {honeyplank.HealthDown, (*Engine).backOff},
		restarted:    {honeyplank.HealthUp, resetWindow},
	},
}

// applyHealthEvent moves a server to its next health state, and logs a change from or to down.
func (e *Engine) applyHealthEvent(server *server, event healthEvent) {
	transition, ok := healthTransitions[server.health][event]
	if !ok {
		return
	}
	fromOrToDown := server.health == honeyplank.HealthDown || transition.next == honeyplank.HealthDown
	if server.health != transition.next && fromOrToDown {
		e.emit(honeyplank.LogHealth{Server: server.ID, Health: transition.next, Previous: server.health})
	}
	server.health, server.healthSince = transition.next, e.now
	if server.health == honeyplank.HealthDown { // sweeps check when its backoff has elapsed
		e.markActive(server)
	}
	if transition.effect != nil {
		transition.effect(e, server)
	}
}

// checkHealth updates the health of a server in a sweep: after a long time without an answer, and
// when its backoff has elapsed.
func (e *Engine) checkHealth(server *server) {
	silence := e.settings.longestTarget / 2
	if server.fullDeadlineDispatches > 0 && e.now-server.unansweredSince > silence {
		e.applyHealthEvent(server, unresponsive)
		server.unansweredSince = e.now
	}
	if server.health == honeyplank.HealthDown && e.now-server.healthSince >= server.backoff {
		e.applyHealthEvent(server, backoffElapsed)
	}
}

// halfOpenBusy reports whether the one op that a half-open server may get is outstanding, and has
// been for no longer than the backoff.
func (e *Engine) halfOpenBusy(server *server) bool {
	busy := server.health == honeyplank.HealthHalfOpen && server.outstanding > 0
	return busy && e.now-server.unansweredSince <= server.backoff
}

// resetWindow resets a server's concurrency window and its backoff to their minimum.
func resetWindow(_ *Engine, server *server) { server.window, server.backoff = minWindow, 0 }

// halveWindow halves a server's concurrency window, down to minWindow.
func halveWindow(server *server) { server.window = max(minWindow, server.window/2) }

// backOff doubles the time for which nothing is sent to a server that is down. The time is at least
// half of the shortest target latency and at most the longest target latency.
func (e *Engine) backOff(server *server) {
	doubled := time.Duration(elevatedLatencyFactor * float64(server.backoff))
	server.backoff = min(max(doubled, e.settings.shortestTarget/2), e.settings.longestTarget)
}

// recordFailure adds a failed dispatch to the failure share of a server.
func (e *Engine) recordFailure(server *server, _ *op, _ honeyplank.Outcome) {
	rate := e.failureRate(server)
	server.failureShare, server.failedAt = rate+ewmaWeight*(1-rate), e.now
}

// failureRate returns the recent share of failed dispatches to a server. It decays over time,
// because otherwise an instance whose clients only write new objects would never send to the server
// again.
func (e *Engine) failureRate(server *server) float64 {
	return server.failureShare * e.decay(server.failedAt)
}
