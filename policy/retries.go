package policy

import (
	"time"

	"honeyplank"
)

const (
	// maxRetryCredit is the number of retries that a server's answers can earn in advance. Each
	// successful answer earns one.
	maxRetryCredit = 2 * minWindow
	// overdueFactor is the multiple of the typical latency that an overtaken dispatch may take
	// before it is cancelled. It is multiplied by overdueReduction while more than highLostShare of
	// the recent dispatches were cancelled for this reason.
	overdueFactor    = 8.0
	overdueReduction = 0.5
	highLostShare    = 1.0 / 50
	// lostShareWeight is the weight of the newest dispatch in the share of lost dispatches.
	lostShareWeight = ewmaWeight / 8
)

// outstandingDispatch is a dispatch without an outcome, in the record of its server.
type outstandingDispatch struct {
	op              *op
	index           int // number of the dispatch among those of the op, from 0
	sentAt          time.Duration
	overtakenAt     time.Duration // when a later dispatch was first answered; 0: none has been
	cancelRequested bool
}

// retryAllowed reports whether the semantics of an op allow another dispatch, to the given server.
// Servers drop repeats for a time that starts no earlier than the first dispatch. The new dispatch
// has to run within that time, although it may be delayed, wait for its connection and be queued at
// the server. Limitation: if the settings state less time than that, such ops are never sent twice.
func (e *Engine) retryAllowed(op *op, server *server) bool {
	opType := e.settings.opType(op.Type)
	runsAt := e.now + e.settings.maxArrivalDelay + 2*e.earliestAnswer(server, op.Type)
	for _, dispatch := range op.dispatches {
		outOfScope := opType.DedupScope == honeyplank.ScopeZone && dispatch.server.Zone != server.Zone ||
			opType.DedupScope == honeyplank.ScopeCell && dispatch.server.Cell != server.Cell
		tooLate := runsAt >= dispatch.sentAt+opType.DedupWindow
		switch {
		case !dispatch.done && !e.settings.Dispatches.HedgingAllowed:
			return false
		case dispatch.done && !dispatch.mayHaveRun:
		case opType.Semantics == honeyplank.AtMostOnce:
			return false
		case opType.Semantics == honeyplank.Deduplicated && (outOfScope || tooLate):
			return false
		}
	}
	return true
}

// retryBudgetAllows reports whether the sliding window of the retry budget allows one more retry.
// Each dispatch may be delayed by processPause, so an earlier retry may reach its server after it
// was counted. By then, some admissions may already lie outside of the window.
func (e *Engine) retryBudgetAllows() bool {
	if !e.settings.RetryBudget.Limited {
		return true
	}
	from := e.now - e.settings.RetryBudget.Window
	e.admissions = dropBefore(e.admissions, from+processPause)
	e.retries = dropBefore(e.retries, from-processPause)
	budget := e.settings.RetryBudget.Free + e.settings.RetryBudget.Share*float64(len(e.admissions))
	return float64(len(e.retries)+1) <= budget
}

// retry queues an op again after a dispatch without an answer, or gives the op up. The retry credit
// of the servers limits retries, so that a server that answers few ops gets few retries.
// Limitation: it also limits the retries to a healthy server that has not answered yet.
func (e *Engine) retry(op *op, server *server) {
	if len(op.dispatches) < e.settings.Dispatches.Max && e.retryAllowed(op, server) && e.now < op.target {
		op.isRetry, op.server = true, nil
		e.appendQueued(op)
		if e.assignServer(op); !e.deadlineUnreachable(op) {
			return
		}
	}
	e.giveUp(op)
}

// cancelOverdue cancels dispatches whose answers are probably lost: later dispatches to the server
// were answered some time ago, and these ones take far longer than is typical there. This prevents
// answers that never come from using up the window until the op timeout. Limitation: it cancels too
// early if a server delays some ops for long while it serves others.
func (e *Engine) cancelOverdue(server *server) {
	factor := time.Duration(overdueFactor)
	if e.lostShare > highLostShare {
		factor = overdueFactor * overdueReduction
	}
	for i := range server.dispatches {
		dispatch := &server.dispatches[i]
		if !e.overdue(server, dispatch, factor) || !e.mayCancel(dispatch) {
			continue
		}
		dispatch.cancelRequested = true
		e.lostShare += lostShareWeight * (1 - e.lostShare)
		e.emit(honeyplank.Cancel{Op: dispatch.op.ID, Dispatch: dispatch.index})
	}
}

// overdue reports whether a dispatch was overtaken longer ago than the typical latency and has
// taken longer than factor times that latency.
func (e *Engine) overdue(server *server, dispatch *outstandingDispatch, factor time.Duration) bool {
	expected := e.expectedLatency(server, dispatch.op.Type)
	typical := time.Duration(max(expected, server.perUnit*dispatch.op.Units) * float64(time.Second))
	overtaken := dispatch.overtakenAt > 0 && e.now-dispatch.overtakenAt > typical
	return overtaken && e.now-dispatch.sentAt > factor*typical
}

func (e *Engine) mayCancel(dispatch *outstandingDispatch) bool {
	atMostOnce := e.settings.opType(dispatch.op.Type).Semantics == honeyplank.AtMostOnce
	return !dispatch.cancelRequested && !dispatch.op.responseStarted && !atMostOnce
}

// markOvertaken marks the dispatches that were sent before sentAt as overtaken at the time now,
// because a dispatch sent at sentAt was answered.
func (server *server) markOvertaken(sentAt, now time.Duration) {
	for i := range server.dispatches {
		dispatch := &server.dispatches[i]
		if dispatch.sentAt < sentAt && dispatch.overtakenAt == 0 {
			dispatch.overtakenAt = now
		}
	}
}
