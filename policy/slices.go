package policy

import (
	"math"
	"time"
)

// sliceShare is the length of a round of slices, as a share of the shortest target latency.
const sliceShare = 0.25

// sliceTransitions is read by pump; a pair that is missing ends the pump.
var sliceTransitions = map[sliceState]map[sliceSignal]struct {
	next   sliceState
	effect func(*Scheduler, *server)
}{
	sliceIdle: {othersReady: {sliceServing, (*Scheduler).beginSlice}},
	sliceServing: {
		servedReady:      {sliceServing, (*Scheduler).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Scheduler).endSlice},
		sliceExpired:     {sliceIdle, (*Scheduler).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Scheduler).endSlice},
		cheaperReady:     {sliceServing, (*Scheduler).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Scheduler).idleWait},
	},
	sliceWaiting: {
		servedReady:      {sliceServing, (*Scheduler).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Scheduler).endSlice},
		sliceExpired:     {sliceIdle, (*Scheduler).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Scheduler).endSlice},
		cheaperReady:     {sliceServing, (*Scheduler).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Scheduler).sendFromOthers},
	},
}

func (s *Scheduler) runSlices(o *server) {
	for {
		rule, ok := sliceTransitions[o.sliceState][s.nextSignal(o)]
		if !ok {
			return
		}
		o.sliceState = rule.next
		rule.effect(s, o)
	}
}

// nextSignal tells what the loop is to act on.
func (s *Scheduler) nextSignal(o *server) sliceSignal {
	var own *op
	if o.sliceState != sliceIdle {
		own = s.chooseOp(o, o.servedQueue)
	}
	other := s.nextQueue(o)
	switch {
	case own == nil && other == nil:
		return nothingReady
	case o.sliceState == sliceIdle:
		return othersReady
	case own != nil && other != nil && !s.withinReserve(own) && s.withinReserve(s.chooseOp(o, other)):
		return reserveWaiting
	case other != nil && s.now >= o.sliceEnd:
		return sliceExpired
	case own != nil:
		return servedReady
	case o.servedQueue.thinkTime.value(meanOffset) >= o.sliceEnd-s.now:
		return thinkTimeTooLong
	case s.cheaperQueue(o) != nil:
		return cheaperReady
	case o.outstanding == 0 || o.sliceState == sliceWaiting && s.now >= o.waitEnd:
		return thinkTimeTooLong
	}
	return worthWaiting
}

// cheaperQueue is the paper's await test; the node's mean await stands for the longest seek.
func (s *Scheduler) cheaperQueue(o *server) *volumeQueue {
	limit, own := o.meanAwait(meanOffset), o.servedQueue.await.value(meanOffset)
	for i, from := 0, o.ringStart(); i < len(o.nonEmpty); i++ {
		q := o.nonEmpty[(from+i)%len(o.nonEmpty)]
		a := q.await.value(meanOffset)
		if q != o.servedQueue && q.round < o.round && a <= own && a < limit && s.chooseOp(o, q) != nil {
			return q
		}
	}
	return nil
}

// nextQueue is the volume whose slice comes next: one not served this round, with ops inside its reserve first.
func (s *Scheduler) nextQueue(o *server) *volumeQueue {
	var found *volumeQueue
	least := math.MaxInt
	for i, from := 0, o.ringStart(); i < len(o.nonEmpty); i++ {
		q := o.nonEmpty[(from+i)%len(o.nonEmpty)]
		p := s.chooseOp(o, q)
		if q == o.servedQueue || p == nil {
			continue
		}
		if class := 2*boolToInt(!s.withinReserve(p)) + boolToInt(q.round >= o.round); class < least {
			found, least = q, class
		}
	}
	return found
}

func (s *Scheduler) beginSlice(o *server) {
	q := s.nextQueue(o)
	if q.round >= o.round {
		o.round++
	}
	s.startSlice(o, q)
}

// startSlice starts a slice: the volumes with held ops share a round of a part of the shortest target latency.
func (s *Scheduler) startSlice(o *server, q *volumeQueue) {
	slice := s.relativeWeight(q.volume.plan) * sliceShare * float64(s.settings.shortestTarget) / float64(max(o.busyVolumes(), 1))
	o.servedQueue, q.round, o.sliceEnd = q, o.round, s.now+max(time.Duration(slice), s.sweepInterval())
}

func (s *Scheduler) endSlice(o *server) { o.servedQueue = nil }

func (s *Scheduler) handOverSlice(o *server) { s.startSlice(o, s.cheaperQueue(o)) }

func (s *Scheduler) sendFromServed(o *server) { s.dispatch(s.chooseOp(o, o.servedQueue), o) }

func (s *Scheduler) sendFromOthers(o *server) { s.dispatch(s.chooseOp(o, s.nextQueue(o)), o) }

// idleWait begins the wait; what it leaves of the window goes to others at once.
func (s *Scheduler) idleWait(o *server) {
	o.waitEnd = min(s.now+o.servedQueue.thinkTime.value(meanOffset), o.sliceEnd)
	s.sendFromOthers(o)
}

// chooseOp picks the op of a volume that leaves next: a further dispatch, then the run under way, then the
// one whose target latency is over first. It returns nil where none may leave now.
func (s *Scheduler) chooseOp(o *server, q *volumeQueue) *op {
	if s.nothingCanLeave(o, q) {
		return nil
	}
	var found *op
	run := q.opsByKey[o.lastKey] > 0
	for _, p := range q.held {
		if found != nil && !run { // none that comes later goes before it
			break
		}
		if goesBefore(o, p, found) && s.hasCapacity(o, p) && s.mayDispatch(p, o) {
			found = p
		}
	}
	return found
}

func goesBefore(o *server, p, than *op) bool {
	if than == nil || p.isRetry != than.isRetry {
		return than == nil || p.isRetry
	}
	if run := p.HasKey && p.Key == o.lastKey; run != (than.HasKey && than.Key == o.lastKey) {
		return run
	}
	return p.target < than.target
}

// nothingCanLeave tells, without a look at each, that none of a volume's held ops can leave a node: it is left alone,
// their clients would be gone, or room and limit are used up for all. choose would find the same.
func (s *Scheduler) nothingCanLeave(o *server, q *volumeQueue) bool {
	trying := o.health == halfOpen && o.outstanding > 0 && s.now-o.unansweredSince <= o.backoff
	if len(q.held) == 0 || o.health == down || trying {
		return true
	}
	soon, last := s.now+s.earliestAnswerOfAnyType(o), len(q.held)-1
	for last >= 0 && soon >= q.held[last].Timeout {
		last--
	}
	if last < 0 {
		return true
	}
	s.refillBuckets(q.volume)
	if o.outstanding > 0 {
		if float64(o.outstanding) >= s.largestConcurrencyLimit(o, q.volume.reserve >= q.smallestUnits) {
			return true
		}
	}
	return valueAt(s.settings.limit, q.volume.plan) > 0 && q.retryCount == 0 && q.volume.limit < q.smallestUnits
}

type sliceState int

const (
	sliceIdle sliceState = iota // no volume is served
	sliceServing
	sliceWaiting // for the next op of the served volume
)

type sliceSignal int

const (
	nothingReady     sliceSignal = iota // nothing can leave now
	othersReady                         // only volumes that are not served have an op that can leave
	servedReady                         // the served volume has one
	reserveWaiting                      // only beyond its reserve, while another's is within
	sliceExpired                        // the slice is over, another has one
	thinkTimeTooLong                    // it has none, and thinkt reaches past its slice
	cheaperReady                        // it has none, and another that completes faster has one
	worthWaiting                        // it has none, and waiting is worth while
)

// meanAwait is the mean over the volumes whose await is known.
func (o *server) meanAwait(c float64) time.Duration {
	var sum, n time.Duration
	for _, q := range o.queues {
		if q.await.sum > 0 {
			sum, n = sum+q.await.value(c), n+1
		}
	}
	return sum / max(n, 1)
}
