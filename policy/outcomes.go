package policy

import (
	"slices"

	"honeyplank"
)

// outcomeMeaning describes what an outcome implies for a dispatch and its server.
type outcomeMeaning struct {
	arrived     bool // the server may have received the dispatch
	mayHaveRun  bool
	mayStillRun bool
	evidence    healthEvent
	effect      func(*Engine, *server, *op, honeyplank.Outcome)
}

// outcomeMeanings maps codes to their meanings, for handleOutcome.
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

// dispatch sends an op to a server, and takes the op's units from the buckets of its volume.
func (e *Engine) dispatch(op *op, server *server) {
	volume := op.volume
	volume.lastDispatch = e.now
	if len(op.dispatches) > 0 {
		e.retries = append(e.retries, e.now)
		server.retryCredit--
	} else {
		volume.limit -= op.Units
	}
	if volume.reserve > 0 { // an empty bucket is not charged, so that its debt never exceeds one op
		volume.reserve -= op.Units
	}
	// A server may drop an op that has little time left, without an answer. A missing answer is
	// then no evidence against the server.
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
	e.dequeue(op)
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

// handleOutcome handles the end of a dispatch: it updates the records, answers or retries the op,
// and dispatches the ops that may be sent now.
func (e *Engine) handleOutcome(outcome honeyplank.Outcome) {
	server, op, meaning := e.servers[outcome.Server], e.ops[outcome.Op], outcomeMeanings[outcome.Code]
	if server == nil || op == nil || !e.closeDispatch(op, outcome.Dispatch, meaning) {
		return
	}
	e.recordDispatchEnd(server, op.dispatches[outcome.Dispatch], meaning)
	e.applyHealthEvent(server, meaning.evidence)
	// Any answer may report units that were served through other instances. Each amount is reported
	// once.
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

// closeDispatch records the end of an op's dispatch. It returns false if the end was known already
// or there is no such dispatch.
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
	if len(server.dispatches) == 0 { // discard rounding errors
		server.unitsOutstanding = 0
	}
	if meaning.arrived && e.inSlowStart(server) {
		server.sentLog = append(server.sentLog, sentUnits{e.now, op.Units})
	}
	return true
}

// recordDispatchEnd updates a server's record of its outstanding dispatches after one of them ended.
func (e *Engine) recordDispatchEnd(server *server, dispatch opDispatch, meaning outcomeMeaning) {
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

// runSlicesOfNextInKey runs the slices of the server at which the next op with the key of op is
// queued.
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
	e.recordAwait(server.queueOf(op.volume))
	op.volume.servedHere.add(e.now, op.Units, e.usageMemory())
	if outcome.QuotaUsed > 0 {
		share := float64(outcome.QuotaUsed-1) / 100
		op.volume.totalServedRate = share * e.settings.plan(op.Plan).Rate
	}
}

// recordAwait records the completion of an op of a queue.
func (e *Engine) recordAwait(queue *volumeQueue) {
	known := queue.await.sum > 0
	queue.await.observe(e.now)
	if queue.await.sum > 0 && !known {
		queue.server.awaited = append(queue.server.awaited, queue)
	}
	queue.lastSeen = e.now
	if len(queue.ops) == 0 {
		e.markQueueIdle(queue)
	}
}

// recordLatencyPerUnit records the latency per unit of an answer, in seconds, and adapts the window
// to it. The window grows by one op if the latency is near its best and, since the last growth, as
// many answers have arrived as the window has ops. The window is halved once when the latency rises
// above a multiple of the best.
func (server *server) recordLatencyPerUnit(perUnit float64) {
	server.perUnit = ewma(server.perUnit, perUnit, ewmaWeight)
	if server.bestPerUnit == 0 || server.perUnit < server.bestPerUnit {
		server.bestPerUnit = server.perUnit
	}
	server.bestPerUnit += bestLatencyDecay * (server.perUnit - server.bestPerUnit)
	server.answersSinceGrowth++
	elevated := server.perUnit > elevatedLatencyFactor*server.bestPerUnit
	nearBestLatency := server.perUnit < nearBestLatencyFactor*server.bestPerUnit
	if elevated && !server.latencyElevated {
		halveWindow(server)
	} else if nearBestLatency && server.answersSinceGrowth >= server.window {
		server.window, server.answersSinceGrowth = min(maxWindow, server.window+1), 0
	}
	server.latencyElevated = elevated
}

// recordTimeout treats a time-out as an answer with the latency so far, up to the shortest target
// latency, beyond which the answer may be lost rather than late. It treats a rejection as an answer
// with the longest target latency, for that server alone. A server that rejects everything
// therefore does not affect the estimates of other servers. Limitation: this does harm if all
// servers are full at once.
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

// rejectIsSafe reports whether an op may be answered with a rejection, which requires that another
// attempt of the client does no harm.
func (e *Engine) rejectIsSafe(op *op) bool {
	opType := e.settings.opType(op.Type)
	return opType.Semantics == honeyplank.Idempotent ||
		opType.Semantics == honeyplank.Deduplicated && opType.DedupScope == honeyplank.ScopeAll ||
		op.neverRan()
}

// giveUp answers an op without success: with a rejection if that is safe, or else with a failure.
func (e *Engine) giveUp(op *op) {
	if e.rejectIsSafe(op) {
		retryAfter := min(e.settings.opType(op.Type).TargetLatency, e.settings.maxRetryAfter)
		e.emit(honeyplank.Reject{Op: op.ID, RetryAfter: retryAfter})
	} else {
		e.emit(honeyplank.Fail{Op: op.ID})
	}
	e.finishOp(op)
}
