package policy

import (
	"time"

	"honeyplank"
)

const (
	// maxRetryCredit is how many retries a server's answers can earn in advance; each answer earns one.
	maxRetryCredit = 2 * minWindow
	// overdueFactor is how many times the usual latency an overtaken dispatch may take before it is cancelled;
	// overdueReduction multiplies it while more than highLostShare of the recent dispatches were cancelled so.
	overdueFactor    = 8.0
	overdueReduction = 0.5
	highLostShare    = 1.0 / 50
)

// retryAllowed tells whether the kind of an op allows another dispatch at this disk server. Repeats are dropped for a time
// that runs from the first dispatch's decision at the earliest, and this one has to be at work within it: it may be held
// up, wait for its connection and stand in the server's queue. It could harm where the settings tell less time than that:
// such ops are never repeated.
func (s *Scheduler) retryAllowed(p *op, o *server) bool {
	kind, scope := valueAt(s.settings.semantics, p.Type), valueAt(s.settings.dedupScope, p.Type)
	works := s.now + s.settings.maxArrivalDelay + 2*s.earliestAnswer(o, p.Type)
	for _, d := range p.dispatches {
		far := scope == honeyplank.ScopeZone && d.server.Zone != o.Zone ||
			scope == honeyplank.ScopeCell && d.server.Cell != o.Cell
		late := works >= d.sentAt+valueAt(s.settings.dedupWindow, p.Type)
		switch {
		case !d.done && !s.settings.hedgingAllowed:
			return false
		case d.done && !d.mayHaveRun:
		case kind == honeyplank.AtMostOnce || kind == honeyplank.Deduplicated && (far || late):
			return false
		}
	}
	return true
}

// retryBudgetAllows tells whether one more further dispatch fits into the sliding window, also where it or those before it leave
// held up: an earlier one may be seen later than it was counted, and by then some ops taken lie outside of the window.
func (s *Scheduler) retryBudgetAllows() bool {
	if !s.settings.retryBudgetLimited {
		return true
	}
	from := s.now - s.settings.retryBudgetWindow
	s.admissions, s.retries = dropBefore(s.admissions, from+holdUp), dropBefore(s.retries, from-holdUp)
	return float64(len(s.retries)+1) <= s.settings.retryBudgetFree+s.settings.retryBudgetShare*float64(len(s.admissions))
}

// retry holds an op once more after a dispatch that brought no answer, or gives it up. Credit bounds what
// follows: it guards against retries on a server that answers little, whatever ails it, and could harm where
// a healthy server's first answers are still due.
func (s *Scheduler) retry(p *op, o *server) {
	if len(p.dispatches) < s.settings.maxDispatches && s.retryAllowed(p, o) && s.now < p.target {
		p.isRetry, p.server = true, nil
		s.appendHeld(p)
		if s.assignServer(p); !s.deadlineUnreachable(p) {
			return
		}
	}
	s.giveUp(p)
}

// cancelOverdue withdraws dispatches whose answers seem lost: later ones to the server were answered a while ago,
// and they are out for far longer than usual there. It guards against answers that never come, which hold
// places until the op timeout; it could harm where a server leaves some ops for long while it serves others.
func (s *Scheduler) cancelOverdue(o *server) {
	times := time.Duration(overdueFactor)
	if s.lostShare > highLostShare {
		times = overdueFactor * overdueReduction
	}
	for i := range o.dispatches {
		f := &o.dispatches[i]
		usual := time.Duration(max(s.expectedLatency(o, f.op.Type), o.perUnit*f.op.Units) * float64(time.Second))
		late := s.now-f.sentAt > times*usual && s.now-f.overtakenAt > usual
		if late && f.overtakenAt > 0 && !f.cancelRequested && !f.op.responseStarted && valueAt(s.settings.semantics, f.op.Type) != honeyplank.AtMostOnce {
			f.cancelRequested = true
			s.lostShare += ewmaWeight / 8 * (1 - s.lostShare)
			s.emit(honeyplank.Cancel{Op: f.op.ID, Dispatch: f.index})
		}
	}
}

// outstandingDispatch is a dispatch that is out.
type outstandingDispatch struct {
	op              *op
	index           int
	sentAt          time.Duration
	overtakenAt     time.Duration // when a later one was first answered; 0: none was
	cancelRequested bool          // it was withdrawn, the outcome is to come
}

// markOvertaken notes that a dispatch of a time was answered.
func (o *server) markOvertaken(at, now time.Duration) {
	for i := range o.dispatches {
		if f := &o.dispatches[i]; f.sentAt < at && f.overtakenAt == 0 {
			f.overtakenAt = now
		}
	}
}
