package policy

import (
	"math"
	"time"

	"honeyplank"
)

// sliceShare is the length of a round of slices, as a share of the shortest target latency.
const sliceShare = 0.25

// sliceState is the state of a server's time slices.
type sliceState int

const (
	sliceIdle    sliceState = iota // no queue is served
	sliceServing                   // a queue is served
	sliceWaiting                   // the served queue is empty, and its slice is held for its next op
)

// sliceSignal is the input of the state machine that runSlices runs.
type sliceSignal int

const (
	nothingReady      sliceSignal = iota // no op may be dispatched now
	othersReady                          // no queue is served, and a queue has an op that may be dispatched
	servedReady                          // the served queue has an op that may be dispatched
	reserveWaiting                       // the served queue's next op is beyond its reserve, another queue's is within
	sliceExpired                         // the slice is over, and another queue has an op that may be dispatched
	thinkTimeTooLong                     // the served queue has none, and its next op is not due soon enough to wait
	shorterAwaitReady                    // the served queue has none, and a queue with a shorter await has one
	worthWaiting                         // the served queue has none, and its next op is due soon enough to wait for it
)

// sliceTransition is the entry of sliceTransitions for a state and a signal.
type sliceTransition struct {
	next   sliceState
	effect func(*Engine, *server)
}

// sliceTransitions is the transition table of runSlices. A missing pair ends the loop of runSlices.
var sliceTransitions = map[sliceState]map[sliceSignal]sliceTransition{
	sliceIdle: {othersReady: {sliceServing, (*Engine).startNextSlice}},
	sliceServing: {
		servedReady:       {sliceServing, (*Engine).dispatchFromServed},
		reserveWaiting:    {sliceIdle, (*Engine).endSlice},
		sliceExpired:      {sliceIdle, (*Engine).endSlice},
		thinkTimeTooLong:  {sliceIdle, (*Engine).endSlice},
		shorterAwaitReady: {sliceServing, (*Engine).handOverSlice},
		worthWaiting:      {sliceWaiting, (*Engine).idleWait},
	},
	sliceWaiting: {
		servedReady:       {sliceServing, (*Engine).dispatchFromServed},
		reserveWaiting:    {sliceIdle, (*Engine).endSlice},
		sliceExpired:      {sliceIdle, (*Engine).endSlice},
		thinkTimeTooLong:  {sliceIdle, (*Engine).endSlice},
		shorterAwaitReady: {sliceServing, (*Engine).handOverSlice},
		worthWaiting:      {sliceWaiting, (*Engine).dispatchFromOthers},
	},
}

// runSlices dispatches the queued ops of a server that may be sent now, in the order of the slices.
func (e *Engine) runSlices(server *server) {
	for {
		transition, ok := sliceTransitions[server.sliceState][e.nextSignal(server)]
		if !ok {
			return
		}
		server.sliceState = transition.next
		transition.effect(e, server)
	}
}

// nextSignal returns the signal for the current state of a server's slices. It is algorithm 1 of
// the paper, extended so that ops within their reserve go first.
func (e *Engine) nextSignal(server *server) sliceSignal {
	var served *op
	if server.sliceState != sliceIdle {
		served = e.chooseOp(server, server.servedQueue)
	}
	other := e.nextQueue(server)
	switch {
	case served == nil && other == nil:
		return nothingReady
	case server.sliceState == sliceIdle:
		return othersReady
	case served != nil && other != nil && !e.withinReserve(served) && e.withinReserve(e.chooseOp(server, other)):
		return reserveWaiting
	case other != nil && e.now >= server.sliceEnd:
		return sliceExpired
	case served != nil:
		return servedReady
	case server.servedQueue.thinkTime.value() >= server.sliceEnd-e.now:
		return thinkTimeTooLong
	case e.shorterAwaitQueue(server) != nil:
		return shorterAwaitReady
	case server.outstanding == 0 || server.sliceState == sliceWaiting && e.now >= server.waitEnd:
		return thinkTimeTooLong
	}
	return worthWaiting
}

// shorterAwaitQueue implements the await test of the paper. It returns the first queue not served
// this round whose await is no longer than that of the served queue, or nil. The mean await of the
// server replaces the longest seek as an upper bound.
func (e *Engine) shorterAwaitQueue(server *server) *volumeQueue {
	upperBound, servedAwait := server.meanAwait(), server.servedQueue.await.value()
	limits := e.serverLimits(server)
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		await := queue.await.value()
		eligible := queue != server.servedQueue && queue.round < server.round
		if eligible && await <= servedAwait && await < upperBound && e.chooseOpWithin(server, queue, limits) != nil {
			return queue
		}
	}
	return nil
}

// nextQueue returns the queue whose slice comes next, in ring order, or nil. Queues with an op
// within their reserve go first, then queues not served this round.
func (e *Engine) nextQueue(server *server) (next *volumeQueue) {
	if len(server.nonEmpty) == 0 {
		return nil
	}
	lowestRank, limits := math.MaxInt, e.serverLimits(server)
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		op := e.chooseOpWithin(server, queue, limits)
		if queue == server.servedQueue || op == nil {
			continue
		}
		if rank := e.sliceRank(server, queue, op); rank < lowestRank {
			next, lowestRank = queue, rank
		}
	}
	return next
}

// sliceRank returns the rank of a queue for the next slice, the lowest first. The rank depends on
// the next op of the queue and on whether the queue has been served this round.
func (e *Engine) sliceRank(server *server, queue *volumeQueue, next *op) int {
	const servedThisRound, beyondReserve = 1, 2
	rank := 0
	if queue.round >= server.round {
		rank += servedThisRound
	}
	if !e.withinReserve(next) {
		rank += beyondReserve
	}
	return rank
}

// startNextSlice starts the slice of the next queue. It starts a new round if all queues have been
// served in the current one.
func (e *Engine) startNextSlice(server *server) {
	queue := e.nextQueue(server)
	if queue.round >= server.round {
		server.round++
	}
	e.startSlice(server, queue)
}

// startSlice starts a queue's slice. The queues that are not empty share a round by the weights of
// their volumes.
func (e *Engine) startSlice(server *server, queue *volumeQueue) {
	weight := e.relativeWeight(queue.volume.plan)
	length := weight * sliceShare * float64(e.settings.shortestTarget) / float64(max(server.busyVolumes(), 1))
	server.servedQueue, queue.round = queue, server.round
	server.sliceEnd = e.now + max(time.Duration(length), e.sweepInterval())
}

func (e *Engine) endSlice(server *server) { server.servedQueue = nil }

func (e *Engine) handOverSlice(server *server) { e.startSlice(server, e.shorterAwaitQueue(server)) }

func (e *Engine) dispatchFromServed(server *server) {
	e.dispatch(e.chooseOp(server, server.servedQueue), server)
}

func (e *Engine) dispatchFromOthers(server *server) {
	e.dispatch(e.chooseOp(server, e.nextQueue(server)), server)
}

// idleWait starts the wait for the next op of the served queue. Other queues use the window in the
// meantime.
func (e *Engine) idleWait(server *server) {
	server.waitEnd = min(e.now+server.servedQueue.thinkTime.value(), server.sliceEnd)
	e.dispatchFromOthers(server)
}

// chooseOp returns the op of a queue to dispatch next: a retry, then an op with the key of the last
// op sent, then the op whose target latency is over first. It returns nil if no op may be
// dispatched now.
func (e *Engine) chooseOp(server *server, queue *volumeQueue) *op {
	if len(queue.ops) == 0 {
		return nil
	}
	return e.chooseOpWithin(server, queue, e.serverLimits(server))
}

// chooseOpWithin is chooseOp with the limits of the server, which are the same for all its queues.
func (e *Engine) chooseOpWithin(server *server, queue *volumeQueue, limits serverLimits) (chosen *op) {
	if e.nothingDispatchable(server, queue, limits) {
		return nil
	}
	continuesRun := queue.opsByKey[server.lastKey] > 0
	for _, op := range queue.ops {
		if chosen != nil && !continuesRun { // without a run of one key, the queue is in dispatch order
			break
		}
		if dispatchesBefore(server, op, chosen) && e.hasCapacity(server, op) && e.mayDispatch(op, server) {
			chosen = op
		}
	}
	return chosen
}

// dispatchesBefore reports whether op is to be dispatched to a server before other, which may be
// nil.
func dispatchesBefore(server *server, op, other *op) bool {
	if other == nil {
		return true
	}
	if op.isRetry != other.isRetry {
		return op.isRetry
	}
	inRun := op.HasKey && op.Key == server.lastKey
	otherInRun := other.HasKey && other.Key == server.lastKey
	if inRun != otherInRun {
		return inRun
	}
	return op.target < other.target
}

// serverLimits are limits of a server that hold for all its queues until it is sent something or
// answers.
type serverLimits struct {
	earliestAnswer time.Duration          // clock time, for ops of any type
	concurrency    [demandClasses]float64 // the largest ones over all op types
}

// serverLimits returns the current limits of a server.
func (e *Engine) serverLimits(server *server) serverLimits {
	limits := serverLimits{earliestAnswer: e.now + e.earliestAnswerOfAnyType(server)}
	if server.outstanding > 0 {
		for class := range limits.concurrency {
			limits.concurrency[class] = e.largestConcurrencyLimit(server, demandClass(class))
		}
	}
	return limits
}

// nothingDispatchable reports whether chooseOp certainly returns nil for a queue: the server may get
// no op, all answers would be too late, or the window or the limit is used up for all ops. It is
// cheaper than chooseOp, which checks all rules for each op.
func (e *Engine) nothingDispatchable(server *server, queue *volumeQueue, limits serverLimits) bool {
	if len(queue.ops) == 0 || server.health == honeyplank.HealthDown || e.halfOpenBusy(server) {
		return true
	}
	if allAnswersTooLate(queue, limits.earliestAnswer) {
		return true
	}
	e.refillBuckets(queue.volume)
	volume := queue.volume
	if server.outstanding > 0 {
		class := spareDemand
		if volume.reserve >= queue.smallestUnits {
			class = reserveDemand
		}
		if float64(server.outstanding) >= limits.concurrency[class] {
			return true
		}
	}
	limited := e.settings.plan(volume.plan).Limit > 0
	return limited && queue.retryCount == 0 && volume.limit < queue.smallestUnits
}

// allAnswersTooLate reports whether the earliest answer would come after the deadline of each op of
// a queue. It checks the last op first, because that op usually has the most time left.
func allAnswersTooLate(queue *volumeQueue, earliest time.Duration) bool {
	for i := len(queue.ops) - 1; i >= 0; i-- {
		if earliest < queue.ops[i].Deadline {
			return false
		}
	}
	return true
}

// meanAwait returns the mean await over the queues of a server for which an await is known, or 0 if
// there are none.
func (server *server) meanAwait() time.Duration {
	var sum, known time.Duration
	for _, queue := range server.awaited {
		sum += queue.await.value()
		known++
	}
	return sum / max(known, 1)
}
