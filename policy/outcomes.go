package policy

import (
	"slices"

	"honeyplank"
)

// outcomeMeaning is what an outcome means for a dispatch and its server.
type outcomeMeaning struct {
	arrived     bool // the server may have received it
	mayHaveRun  bool
	mayStillRun bool
	evidence    healthEvent
	effect      func(*Engine, *server, *op, honeyplank.Outcome)
}

// outcomeMeanings is the table of handleOutcome.
var outcomeMeanings = map[honeyplank.Code]outcomeMeaning{
	honeyplank.Succeeded: {
		arrived: true, mayHaveRun: true, evidence: responded, effect: (*Engine).recordSuccess,
	},
	honeyplank.Failed: {
		arrived: true, mayHaveRun: true, evidence: responded, effect: (*Engine).recordFailure,
	},
	honeyplank.Rejected: {
		arrived: true, evidence: responded, effect: (*Engine).recordTimeout,
	},
	honeyplank.TimedOut: {
		arrived: true, mayHaveRun: true, mayStillRun: true, effect: (*Engine).recordTimeout,
	},
	honeyplank.ConnectFailed: {
		evidence: unresponsive, effect: (*Engine).recordFailure,
	},
	honeyplank.Reset: {
		arrived: true, mayHaveRun: true, mayStillRun: true, evidence: unresponsive,
		effect: (*Engine).recordFailure,
	},
	honeyplank.Cancelled: {
		arrived: true, mayHaveRun: true, mayStillRun: true,
	},
	honeyplank.NotSent: {},
}

// dispatch sends an op to a server, and takes its units from its volume's buckets.
func (e *Engine) dispatch(op *op, server *server) {
	volume := op.volume
	if len(op.dispatches) > 0 {
		e.retries = append(e.retries, e.now)
		server.retryCredit--
	} else {
		volume.limit -= op.Units
	}
	if volume.reserve > 0 { // an empty bucket stays as it is: its debt is never more than one op
		volume.reserve -= op.Units
	}
	// A server may drop an op with little time left without an answer: its silence is no evidence.
	shortDeadline := op.Deadline-e.now < 2*e.earliestAnswer(server, op.Type)
	if !shortDeadline && server.fullDeadlineDispatches == 0 || server.health == honeyplank.HealthHalfOpen {
		server.unansweredSince = e.now
	}
	e.recordDispatch(op, opDispatch{server: server, sentAt: e.now, shortDeadline: shortDeadline})
	e.emit(honeyplank.Dispatch{Op: op.ID, Server: server.ID})
}

// recordDispatch adds a dispatch to the records of the op and the server.
func (e *Engine) recordDispatch(op *op, sent opDispatch) {
	server := sent.server
	op.dequeue()
	e.removeQueued(op)
	op.server, op.isRetry = server, false
	outstanding := outstandingDispatch{op: op, index: len(op.dispatches), sentAt: sent.sentAt}
	server.dispatches = append(server.dispatches, outstanding)
	op.dispatches = append(op.dispatches, sent)
	server.outstanding++
	if !sent.shortDeadline {
		server.fullDeadlineDispatches++
	}
	e.markActive(server)
	server.unitsOutstanding += op.Units
	if op.HasKey {
		server.lastKey = op.Key
	}
}

// handleOutcome takes in the end of a dispatch: it updates the records, answers or retries the op,
// and dispatches what may be sent now.
func (e *Engine) handleOutcome(outcome honeyplank.Outcome) {
	server, op, meaning := e.servers[outcome.Server], e.ops[outcome.Op], outcomeMeanings[outcome.Code]
	if server == nil || op == nil || !e.closeDispatch(op, outcome.Dispatch, meaning) {
		return
	}
	e.recordResponse(server, op.dispatches[outcome.Dispatch], meaning)
	e.applyHealthEvent(server, meaning.evidence)
	// Any answer may report what was served elsewhere; each amount is reported once.
	op.volume.servedElsewhere.add(e.now, outcome.ServedElsewhere, e.usageMemory())
	if meaning.effect != nil {
		meaning.effect(e, server, op, outcome)
	}
	if op.keyQueue != nil && meaning.mayStillRun {
		op.keyQueue.settledAt, op.keyQueue.settlingOp = e.now+e.settings.OrderSettle, op.ID
	}
	if outcome.Code == honeyplank.Succeeded {
		delete(e.earlierAttempts, identityOf(op))
	}
	if op.answered || outcome.Answered {
		e.finishOp(op)
	} else if !op.isOutstanding() && op.queue == nil {
		e.retry(op, server)
	}
	e.runSlicesOfNextInKey(op)
	e.runSlices(server)
}

// closeDispatch records the end of an op's dispatch; it returns false where that was known or there
// is none.
func (e *Engine) closeDispatch(op *op, index int, meaning outcomeMeaning) bool {
	if index < 0 || index >= len(op.dispatches) || op.dispatches[index].done {
		return false
	}
	op.dispatches[index].done, op.dispatches[index].mayHaveRun = true, meaning.mayHaveRun
	server := op.dispatches[index].server
	server.dispatches = slices.DeleteFunc(server.dispatches, func(dispatch outstandingDispatch) bool {
		return dispatch.op == op && dispatch.index == index
	})
	server.unitsOutstanding -= op.Units
	if len(server.dispatches) == 0 { // no rounding error is kept
		server.unitsOutstanding = 0
	}
	if meaning.arrived && e.inSlowStart(server) {
		server.sentLog = append(server.sentLog, sentUnits{e.now, op.Units})
	}
	return true
}

// recordResponse updates what a server's record knows of outstanding dispatches after the end of
// one.
func (e *Engine) recordResponse(server *server, dispatch opDispatch, meaning outcomeMeaning) {
	server.outstanding--
	if !dispatch.shortDeadline {
		server.fullDeadlineDispatches--
	}
	if meaning.evidence == responded {
		server.unansweredSince = e.now
		server.respondedSinceStart = server.respondedSinceStart || dispatch.sentAt >= server.Started
		server.markOvertaken(dispatch.sentAt, e.now)
	}
}

// runSlicesOfNextInKey dispatches what may be sent where the next op of an op's key is queued.
func (e *Engine) runSlicesOfNextInKey(op *op) {
	queue := op.keyQueue
	if queue != nil && len(queue.ops) > 0 && queue.ops[0].server != nil {
		e.runSlices(queue.ops[0].server)
	}
}

// recordSuccess updates the records with a successful answer.
func (e *Engine) recordSuccess(server *server, op *op, outcome honeyplank.Outcome) {
	server.retryCredit = min(server.retryCredit+1, maxRetryCredit)
	server.failureShare -= ewmaWeight * server.failureShare
	e.lostShare -= lostShareWeight * e.lostShare
	e.recordLatency(server, op.Type, outcome.Elapsed.Seconds())
	server.recordLatencyPerUnit(outcome.Elapsed.Seconds() / max(op.Units, 1))
	queue := server.queueOf(op.volume)
	queue.await.observe(e.now)
	queue.lastSeen = e.now
	op.volume.servedHere.add(e.now, op.Units, e.usageMemory())
	if outcome.QuotaUsed > 0 {
		share := float64(outcome.QuotaUsed-1) / 100
		op.volume.servedEverywhere = share * e.settings.plan(op.Plan).Rate
	}
}

// recordLatencyPerUnit takes in the latency per unit of an answer, in seconds, and adapts the
// window to it: it grows by one op per window of answers near the best latency, and halves once
// when latency passes a multiple of the best.
func (server *server) recordLatencyPerUnit(perUnit float64) {
	server.perUnit = ewma(server.perUnit, perUnit, ewmaWeight)
	if server.bestPerUnit == 0 || server.perUnit < server.bestPerUnit {
		server.bestPerUnit = server.perUnit
	}
	server.bestPerUnit += bestLatencyDecay * (server.perUnit - server.bestPerUnit)
	server.answersSinceGrowth++
	elevated := server.perUnit > farPastBest*server.bestPerUnit
	nearBestLatency := server.perUnit < nearBest*server.bestPerUnit
	if elevated && !server.latencyElevated {
		halveWindow(server)
	} else if nearBestLatency && server.answersSinceGrowth >= server.window {
		server.window, server.answersSinceGrowth = min(maxWindow, server.window+1), 0
	}
	server.latencyElevated = elevated
}

// recordTimeout takes a time-out for an answer with the latency so far, up to the shortest target
// latency (past that it may be lost rather than late), and a rejection for one with the longest
// target latency, for that server alone. It guards the other servers against one that rejects
// everything. It could harm where all are full at once.
func (e *Engine) recordTimeout(server *server, op *op, outcome honeyplank.Outcome) {
	rejected := outcome.Code == honeyplank.Rejected
	latency := min(outcome.Elapsed, e.settings.shortestTarget)
	if rejected {
		latency = e.settings.longestTarget
		halveWindow(server)
		e.recordFailure(server, op, outcome)
	}
	if latency.Seconds() <= e.expectedLatency(server, op.Type) {
		return
	}
	if rejected {
		e.recordServerLatency(server, op.Type, latency.Seconds())
	} else {
		e.recordLatency(server, op.Type, latency.Seconds())
	}
}

// rejectIsSafe reports whether an op may be answered as rejected: another attempt of the client
// must do no harm.
func (e *Engine) rejectIsSafe(op *op) bool {
	opType := e.settings.opType(op.Type)
	return opType.Semantics == honeyplank.Idempotent ||
		opType.Semantics == honeyplank.Deduplicated && opType.DedupScope == honeyplank.ScopeAll ||
		op.neverRan()
}

// giveUp answers an op without success: as rejected where that is safe, else as failed.
func (e *Engine) giveUp(op *op) {
	if e.rejectIsSafe(op) {
		retryAfter := min(e.settings.opType(op.Type).TargetLatency, e.settings.maxRetryAfter)
		e.emit(honeyplank.Reject{Op: op.ID, RetryAfter: retryAfter})
	} else {
		e.emit(honeyplank.Fail{Op: op.ID})
	}
	e.finishOp(op)
}
