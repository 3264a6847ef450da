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
	sliceWaiting                   // the served queue is empty, its next op is waited for
)

// sliceSignal is what runSlices acts on.
type sliceSignal int

const (
	nothingReady     sliceSignal = iota // no op may be dispatched now
	othersReady                         // no queue is served, and one has an op that may be dispatched
	servedReady                         // the served queue has one
	reserveWaiting                      // the served queue has none within its reserve, another has
	sliceExpired                        // the slice is over, and another queue has an op
	thinkTimeTooLong                    // the served queue has none, nor is its next due within the slice
	cheaperReady                        // the served queue has none, and one with a shorter await has one
	worthWaiting                        // the served queue has none, and its next is worth the wait
)

// sliceTransition is a row of sliceTransitions.
type sliceTransition struct {
	next   sliceState
	effect func(*Engine, *server)
}

// sliceTransitions is the table of runSlices; a pair that is missing ends its loop.
var sliceTransitions = map[sliceState]map[sliceSignal]sliceTransition{
	sliceIdle: {othersReady: {sliceServing, (*Engine).beginSlice}},
	sliceServing: {
		servedReady:      {sliceServing, (*Engine).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Engine).endSlice},
		sliceExpired:     {sliceIdle, (*Engine).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Engine).endSlice},
		cheaperReady:     {sliceServing, (*Engine).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Engine).idleWait},
	},
	sliceWaiting: {
		servedReady:      {sliceServing, (*Engine).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Engine).endSlice},
		sliceExpired:     {sliceIdle, (*Engine).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Engine).endSlice},
		cheaperReady:     {sliceServing, (*Engine).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Engine).sendFromOthers},
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

// nextSignal is the paper's algorithm 1, with the reserve before it.
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
	case e.cheaperQueue(server) != nil:
		return cheaperReady
	case server.outstanding == 0 || server.sliceState == sliceWaiting && e.now >= server.waitEnd:
		return thinkTimeTooLong
	}
	return worthWaiting
}

// cheaperQueue is the paper's await test: the first queue not served this round whose await is no
// longer than the served queue's. The mean await of the server takes the place of the longest seek
// as an upper bound.
func (e *Engine) cheaperQueue(server *server) *volumeQueue {
	longest, servedAwait := server.meanAwait(), server.servedQueue.await.value()
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		await := queue.await.value()
		eligible := queue != server.servedQueue && queue.round < server.round
		if eligible && await <= servedAwait && await < longest && e.chooseOp(server, queue) != nil {
			return queue
		}
	}
	return nil
}

// nextQueue is the queue whose slice comes next, in ring order: one with an op within its reserve
// goes first, then one not served this round.
func (e *Engine) nextQueue(server *server) (next *volumeQueue) {
	lowestRank := math.MaxInt
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		op := e.chooseOp(server, queue)
		if queue == server.servedQueue || op == nil {
			continue
		}
		if rank := e.sliceRank(server, queue, op); rank < lowestRank {
			next, lowestRank = queue, rank
		}
	}
	return next
}

// sliceRank orders the queues for the next slice, the lowest first, by their next op and by whether
// they have been served this round.
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

// beginSlice starts the slice of the next queue, and a new round where all have been served in this
// one.
func (e *Engine) beginSlice(server *server) {
	queue := e.nextQueue(server)
	if queue.round >= server.round {
		server.round++
	}
	e.startSlice(server, queue)
}

// startSlice starts a queue's slice: the queues that are not empty share a round by the weights of
// their volumes.
func (e *Engine) startSlice(server *server, queue *volumeQueue) {
	weight := e.relativeWeight(queue.volume.plan)
	length := weight * sliceShare * float64(e.settings.shortestTarget) / float64(max(server.busyVolumes(), 1))
	server.servedQueue, queue.round = queue, server.round
	server.sliceEnd = e.now + max(time.Duration(length), e.sweepInterval())
}

func (e *Engine) endSlice(server *server) { server.servedQueue = nil }

func (e *Engine) handOverSlice(server *server) { e.startSlice(server, e.cheaperQueue(server)) }

func (e *Engine) sendFromServed(server *server) {
	e.dispatch(e.chooseOp(server, server.servedQueue), server)
}

func (e *Engine) sendFromOthers(server *server) {
	e.dispatch(e.chooseOp(server, e.nextQueue(server)), server)
}

// idleWait starts the wait for the served queue's next op. Other queues use the window meanwhile.
func (e *Engine) idleWait(server *server) {
	server.waitEnd = min(e.now+server.servedQueue.thinkTime.value(), server.sliceEnd)
	e.sendFromOthers(server)
}

// chooseOp is the op of a queue to dispatch next: a retry, then one with the key of the last op
// sent, then the one whose target latency is over first. It is nil where none may be dispatched
// now.
func (e *Engine) chooseOp(server *server, queue *volumeQueue) (chosen *op) {
	if e.nothingCanLeave(server, queue) {
		return nil
	}
	continuesRun := queue.opsByKey[server.lastKey] > 0
	for _, op := range queue.ops {
		if chosen != nil && !continuesRun { // without a run the queue is sorted already
			break
		}
		if goesBefore(server, op, chosen) && e.hasCapacity(server, op) && e.mayDispatch(op, server) {
			chosen = op
		}
	}
	return chosen
}

// goesBefore reports whether an op is to be dispatched to a server before another, which may be
// nil.
func goesBefore(server *server, op, other *op) bool {
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

// nothingCanLeave reports, without a check of each op, that chooseOp would find none in a queue:
// the server gets nothing, the clients would be gone, or the window or the limit is used up for
// all.
func (e *Engine) nothingCanLeave(server *server, queue *volumeQueue) bool {
	if len(queue.ops) == 0 || server.health == honeyplank.HealthDown || e.halfOpenBusy(server) {
		return true
	}
	if e.allClientsGone(server, queue) {
		return true
	}
	e.refillBuckets(queue.volume)
	volume := queue.volume
	if server.outstanding > 0 {
		class := spareDemand
		if volume.reserve >= queue.smallestUnits {
			class = reserveDemand
		}
		if float64(server.outstanding) >= e.largestConcurrencyLimit(server, class) {
			return true
		}
	}
	limited := e.settings.plan(volume.plan).Limit > 0
	return limited && queue.retryCount == 0 && volume.limit < queue.smallestUnits
}

// allClientsGone reports whether no client of a queue's ops would wait for the earliest answer of a
// server. The op queued last mostly has the most time left.
func (e *Engine) allClientsGone(server *server, queue *volumeQueue) bool {
	earliest := e.now + e.earliestAnswerOfAnyType(server)
	for i := len(queue.ops) - 1; i >= 0; i-- {
		if earliest < queue.ops[i].Deadline {
			return false
		}
	}
	return true
}

// meanAwait is the mean await of a server's queues that have one.
func (server *server) meanAwait() time.Duration {
	var sum, known time.Duration
	for _, queue := range server.queues {
		if queue.await.sum > 0 {
			sum += queue.await.value()
			known++
		}
	}
	return sum / max(known, 1)
}
