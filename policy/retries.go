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
func (s *Engine) retryAllowed(op *op, server *server) bool {
	semantics, scope := valueAt(s.settings.semantics, op.Type), valueAt(s.settings.dedupScope, op.Type)
	runsAt := s.now + s.settings.maxArrivalDelay + 2*s.earliestAnswer(server, op.Type)
	for _, dispatch := range op.dispatches {
		outOfScope := scope == honeyplank.ScopeZone && dispatch.server.Zone != server.Zone ||
			scope == honeyplank.ScopeCell && dispatch.server.Cell != server.Cell
		tooLate := runsAt >= dispatch.sentAt+valueAt(s.settings.dedupWindow, op.Type)
		switch {
		case !dispatch.done && !s.settings.hedgingAllowed:
			return false
		case dispatch.done && !dispatch.mayHaveRun:
		case semantics == honeyplank.AtMostOnce:
			return false
		case semantics == honeyplank.Deduplicated && (outOfScope || tooLate):
			return false
		}
	}
	return true
}

// retryBudgetAllows reports whether the sliding window of the retry budget allows one more retry.
// Each dispatch may be delayed by holdUp: an earlier retry may be seen later than it was counted,
// and by then some admissions lie outside of the window.
func (s *Engine) retryBudgetAllows() bool {
	if !s.settings.retryBudgetLimited {
		return true
	}
	from := s.now - s.settings.retryBudgetWindow
	s.admissions = dropBefore(s.admissions, from+holdUp)
	s.retries = dropBefore(s.retries, from-holdUp)
	budget := s.settings.retryBudgetFree + s.settings.retryBudgetShare*float64(len(s.admissions))
	return float64(len(s.retries)+1) <= budget
}

// retry holds an op again after a dispatch without an answer, or gives it up. The servers' credit
// bounds retries: it guards against retries to a server that answers few ops. It could harm where a
// healthy server has not answered yet.
func (s *Engine) retry(op *op, server *server) {
	if len(op.dispatches) < s.settings.maxDispatches && s.retryAllowed(op, server) && s.now < op.target {
		op.isRetry, op.server = true, nil
		s.appendHeld(op)
		if s.assignServer(op); !s.deadlineUnreachable(op) {
			return
		}
	}
	s.giveUp(op)
}

// cancelOverdue cancels dispatches whose answers seem lost: later ones to the server were answered
// a while ago, and they take far longer than usual there. It guards against answers that never
// come, which use up the window until the op timeout. It could harm where a server delays some ops
// for long while it serves others.
func (s *Engine) cancelOverdue(server *server) {
	factor := time.Duration(overdueFactor)
	if s.lostShare > highLostShare {
		factor = overdueFactor * overdueReduction
	}
	for i := range server.dispatches {
		dispatch := &server.dispatches[i]
		if !s.overdue(server, dispatch, factor) || !s.mayCancel(dispatch) {
			continue
		}
		dispatch.cancelRequested = true
		s.lostShare += lostShareWeight * (1 - s.lostShare)
		s.emit(honeyplank.Cancel{Op: dispatch.op.ID, Dispatch: dispatch.index})
	}
}

// overdue reports whether a dispatch was overtaken longer ago than the usual latency, and takes
// longer than a factor of that.
func (s *Engine) overdue(server *server, dispatch *outstandingDispatch, factor time.Duration) bool {
	expected := s.expectedLatency(server, dispatch.op.Type)
	usual := time.Duration(max(expected, server.perUnit*dispatch.op.Units) * float64(time.Second))
	overtaken := dispatch.overtakenAt > 0 && s.now-dispatch.overtakenAt > usual
	return overtaken && s.now-dispatch.sentAt > factor*usual
}

func (s *Engine) mayCancel(dispatch *outstandingDispatch) bool {
	atMostOnce := valueAt(s.settings.semantics, dispatch.op.Type) == honeyplank.AtMostOnce
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
