package policy

import (
	"slices"

	"honeyplank"
)

// rejectIsSafe tells whether a throttling answer may be given: trying again must do no harm.
func (s *Scheduler) rejectIsSafe(p *op) bool {
	kind := valueAt(s.settings.semantics, p.Type)
	anywhere := valueAt(s.settings.dedupScope, p.Type) == honeyplank.ScopeAll
	return kind == honeyplank.Idempotent || kind == honeyplank.Deduplicated && anywhere || p.neverRan()
}

func (s *Scheduler) dispatch(p *op, o *server) {
	v := p.volume
	if len(p.dispatches) > 0 {
		s.retries = append(s.retries, s.now)
		o.retryCredit--
	} else {
		v.limit -= p.Units
	}
	if v.reserve > 0 { // from an empty store nothing is taken: no debt but that of one op
		v.reserve -= p.Units
	}
	// A server may drop an op with little time left, and say nothing: its silence tells nothing.
	hurried := p.Timeout-s.now < 2*s.earliestAnswer(o, p.Type)
	if !hurried && o.fullDeadlineDispatches == 0 || o.health == halfOpen {
		o.unansweredSince = s.now
	}
	s.recordDispatch(p, o, hurried)
	s.emit(honeyplank.Dispatch{Op: p.ID, Server: o.ID})
}

// outcomeMeanings tells what each end of a dispatch means: whether it may have run, whether it may be running
// still, and what it says of the disk server.
var outcomeMeanings = map[honeyplank.Code]outcomeMeaning{
	honeyplank.Succeeded:     {arrived: true, mayHaveRun: true, evidence: responded, effect: (*Scheduler).recordSuccess},
	honeyplank.Failed:        {arrived: true, mayHaveRun: true, evidence: responded, effect: (*Scheduler).recordFailure},
	honeyplank.Rejected:      {arrived: true, evidence: responded, effect: (*Scheduler).recordTimeout},
	honeyplank.TimedOut:      {arrived: true, mayHaveRun: true, mayStillRun: true, effect: (*Scheduler).recordTimeout},
	honeyplank.ConnectFailed: {evidence: unresponsive, effect: (*Scheduler).recordFailure},
	honeyplank.Reset:         {arrived: true, mayHaveRun: true, mayStillRun: true, evidence: unresponsive, effect: (*Scheduler).recordFailure},
	honeyplank.Cancelled:     {arrived: true, mayHaveRun: true, mayStillRun: true},
	honeyplank.NotSent:       {},
}

// outcomeMeaning is an entry of outcomes; arrived: the disk server may have got it.
type outcomeMeaning struct {
	arrived, mayHaveRun, mayStillRun bool
	evidence                         healthEvent
	effect                           func(*Scheduler, *server, *op, honeyplank.Outcome)
}

func (s *Scheduler) handleOutcome(e honeyplank.Outcome) {
	o, p, way := s.servers[e.Server], s.ops[e.Op], outcomeMeanings[e.Code]
	if o == nil || p == nil || !s.closeDispatch(p, e.Dispatch, way) {
		return
	}
	o.outstanding--
	o.fullDeadlineDispatches -= boolToInt(!p.dispatches[e.Dispatch].shortDeadline)
	if way.evidence == responded {
		o.unansweredSince = s.now
		o.respondedSinceStart = o.respondedSinceStart || p.dispatches[e.Dispatch].sentAt >= o.Started
		o.markOvertaken(p.dispatches[e.Dispatch].sentAt, s.now)
	}
	s.applyHealthEvent(o, way.evidence)
	p.volume.servedElsewhere.add(s.now, e.ServedElsewhere, s.usageMemory()) // told with any answer, and once
	if way.effect != nil {
		way.effect(s, o, p, e)
	}
	if k := p.keyQueue; k != nil && way.mayStillRun {
		k.settledAt, k.settlingOp = s.now+s.settings.orderSettle, p.ID
	}
	if e.Code == honeyplank.Succeeded {
		delete(s.earlierAttempts, identityOf(p))
	}
	if p.answered || e.Answered {
		s.finishOp(p)
	} else if !p.isOutstanding() && p.queue == nil {
		s.retry(p, o)
	}
	if k := p.keyQueue; k != nil && len(k.ops) > 0 && k.ops[0].server != nil { // the next of the key may leave now
		s.runSlices(k.ops[0].server)
	}
	s.runSlices(o)
}

// cancel gives an op up at once.
func (s *Scheduler) giveUp(p *op) {
	if s.rejectIsSafe(p) {
		s.emit(honeyplank.Reject{Op: p.ID, RetryAfter: min(valueAt(s.settings.targetLatency, p.Type), s.settings.maxRetryAfter)})
	} else {
		s.emit(honeyplank.Fail{Op: p.ID})
	}
	s.finishOp(p)
}

func (s *Scheduler) recordSuccess(o *server, p *op, e honeyplank.Outcome) {
	o.retryCredit = min(o.retryCredit+1, maxRetryCredit)
	o.failureShare -= ewmaWeight * o.failureShare
	s.lostShare -= ewmaWeight / 8 * s.lostShare
	s.recordLatency(o, p.Type, e.Elapsed.Seconds(), true)
	o.perUnit = ewma(o.perUnit, e.Elapsed.Seconds()/max(p.Units, 1), ewmaWeight)
	if o.bestPerUnit == 0 || o.perUnit < o.bestPerUnit {
		o.bestPerUnit = o.perUnit
	}
	o.bestPerUnit += bestLatencyDecay * (o.perUnit - o.bestPerUnit)
	o.answersSinceGrowth++
	spell := o.perUnit > farPastBest*o.bestPerUnit
	if spell && !o.latencyElevated {
		halveWindow(o)
	} else if o.perUnit < nearBest*o.bestPerUnit && o.answersSinceGrowth >= o.window {
		o.window, o.answersSinceGrowth = min(maxWindow, o.window+1), 0
	}
	o.latencyElevated = spell
	q := o.queueOf(p.volume)
	q.await.observe(s.now, meanDecay, meanScale)
	q.lastSeen = s.now
	p.volume.servedHere.add(s.now, p.Units, s.usageMemory())
	if e.QuotaUsed > 0 {
		p.volume.servedEverywhere = float64(e.QuotaUsed-1) / 100 * valueAt(s.settings.rate, p.Plan)
	}
}

// recordTimeout takes a time-out for an answer that takes at least as long, up to the shortest target latency (past
// that it may be lost rather than late), and a full queue for one past the longest, but only of that node.
// This guards the rest against a node that turns all away, and could harm where all are full at once.
func (s *Scheduler) recordTimeout(o *server, p *op, e honeyplank.Outcome) {
	least := min(e.Elapsed, s.settings.shortestTarget)
	if e.Code == honeyplank.Rejected {
		least = s.settings.longestTarget
		halveWindow(o)
		s.recordFailure(o, p, e)
	}
	if least.Seconds() > s.expectedLatency(o, p.Type) {
		s.recordLatency(o, p.Type, least.Seconds(), e.Code != honeyplank.Rejected)
	}
}

// recordDispatch notes that an op goes out to a disk server.
func (s *Scheduler) recordDispatch(p *op, o *server, hurried bool) {
	p.dequeue()
	s.removeHeld(p)
	p.server, p.isRetry = o, false
	o.dispatches = append(o.dispatches, outstandingDispatch{op: p, index: len(p.dispatches), sentAt: s.now})
	p.dispatches = append(p.dispatches, opDispatch{server: o, sentAt: s.now, shortDeadline: hurried})
	o.outstanding++
	o.fullDeadlineDispatches += boolToInt(!hurried)
	s.markActive(o)
	o.unitsOutstanding += p.Units
	if p.HasKey {
		o.lastKey = p.Key
	}
}

// closeDispatch notes how a dispatch ended, and for the cold rule when it arrived at the latest; it tells whether that was news.
func (s *Scheduler) closeDispatch(p *op, n int, way outcomeMeaning) bool {
	if n < 0 || n >= len(p.dispatches) || p.dispatches[n].done {
		return false
	}
	p.dispatches[n].done, p.dispatches[n].mayHaveRun = true, way.mayHaveRun
	o := p.dispatches[n].server
	o.dispatches = slices.DeleteFunc(o.dispatches, func(f outstandingDispatch) bool { return f.op == p && f.index == n })
	if o.unitsOutstanding -= p.Units; len(o.dispatches) == 0 { // no rest of rounding
		o.unitsOutstanding = 0
	}
	if way.arrived && s.inSlowStart(o) {
		o.sentLog = append(o.sentLog, sentUnits{s.now, p.Units})
	}
	return true
}
