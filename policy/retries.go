package policy

import (
	"time"

	"honeyplank"
)

const (
	// maxRetryCredit is how many retries a server's answers can earn in advance; each answer earns
	// one.
	maxRetryCredit = 2 * minWindow
	// overdueFactor is how many times the usual latency an overtaken dispatch may take before it is
	// cancelled; overdueReduction multiplies it while more than highLostShare of the recent
	// dispatches were cancelled so.
	overdueFactor    = 8.0
	overdueReduction = 0.5
	highLostShare    = 1.0 / 50
	// lostShareWeight is the weight of the newest dispatch in the share of lost ones.
	lostShareWeight = ewmaWeight / 8
)

// outstandingDispatch is a dispatch without an outcome, as its server's record keeps it.
type outstandingDispatch struct {
	op              *op
	index           int // of the op's dispatches
	sentAt          time.Duration
	overtakenAt     time.Duration // when a later dispatch was first answered; 0: none was
	cancelRequested bool
}

// retryAllowed reports whether the semantics of an op allow another dispatch, to a server. Servers
// drop repeats for a time that runs from the first dispatch at the earliest, and the new one has to
// run within it, though it may be delayed, wait for its connection and be queued at the server. It
// could harm where the settings state less time than that: such ops are never sent twice.
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
// Each dispatch may be delayed by holdUp: an earlier retry may be seen later than it was counted,
// and by then some admissions lie outside of the window.
func (e *Engine) retryBudgetAllows() bool {
	if !e.settings.RetryBudget.Limited {
		return true
	}
	from := e.now - e.settings.RetryBudget.Window
	e.admissions = dropBefore(e.admissions, from+holdUp)
	e.retries = dropBefore(e.retries, from-holdUp)
	budget := e.settings.RetryBudget.Free + e.settings.RetryBudget.Share*float64(len(e.admissions))
	return float64(len(e.retries)+1) <= budget
}

// retry queues an op again after a dispatch without an answer, or gives it up. The servers' credit
// bounds retries: it guards against retries to a server that answers few ops. It could harm where a
// healthy server has not answered yet.
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

// cancelOverdue cancels dispatches whose answers seem lost: later ones to the server were answered
// a while ago, and they take far longer than usual there. It guards against answers that never
// come, which use up the window until the op timeout. It could harm where a server delays some ops
// for long while it serves others.
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

// overdue reports whether a dispatch was overtaken longer ago than the usual latency, and takes
// longer than a factor of that.
func (e *Engine) overdue(server *server, dispatch *outstandingDispatch, factor time.Duration) bool {
	expected := e.expectedLatency(server, dispatch.op.Type)
	usual := time.Duration(max(expected, server.perUnit*dispatch.op.Units) * float64(time.Second))
	overtaken := dispatch.overtakenAt > 0 && e.now-dispatch.overtakenAt > usual
	return overtaken && e.now-dispatch.sentAt > factor*usual
}

func (e *Engine) mayCancel(dispatch *outstandingDispatch) bool {
	atMostOnce := e.settings.opType(dispatch.op.Type).Semantics == honeyplank.AtMostOnce
	return !dispatch.cancelRequested && !dispatch.op.responseStarted && !atMostOnce
}

// markOvertaken records that a dispatch sent at a time was answered, for those sent before it.
func (server *server) markOvertaken(sentAt, now time.Duration) {
	for i := range server.dispatches {
		dispatch := &server.dispatches[i]
		if dispatch.sentAt < sentAt && dispatch.overtakenAt == 0 {
			dispatch.overtakenAt = now
		}
	}
}
