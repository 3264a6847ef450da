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

// sliceTransitions is the table of runSlices; a pair that is missing ends its loop.
var sliceTransitions = map[sliceState]map[sliceSignal]struct {
	next   sliceState
	effect func(*Engine, *server)
}{
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

// runSlices dispatches the held ops of a server that may be sent now, in the order of the slices.
func (s *Engine) runSlices(server *server) {
	for {
		transition, ok := sliceTransitions[server.sliceState][s.nextSignal(server)]
		if !ok {
			return
		}
		server.sliceState = transition.next
		transition.effect(s, server)
	}
}

// nextSignal is the paper's algorithm 1, with the reserve before it.
func (s *Engine) nextSignal(server *server) sliceSignal {
	var served *op
	if server.sliceState != sliceIdle {
		served = s.chooseOp(server, server.servedQueue)
	}
	other := s.nextQueue(server)
	switch {
	case served == nil && other == nil:
		return nothingReady
	case server.sliceState == sliceIdle:
		return othersReady
	case served != nil && other != nil && !s.withinReserve(served) && s.withinReserve(s.chooseOp(server, other)):
		return reserveWaiting
	case other != nil && s.now >= server.sliceEnd:
		return sliceExpired
	case served != nil:
		return servedReady
	case server.servedQueue.thinkTime.value() >= server.sliceEnd-s.now:
		return thinkTimeTooLong
	case s.cheaperQueue(server) != nil:
		return cheaperReady
	case server.outstanding == 0 || server.sliceState == sliceWaiting && s.now >= server.waitEnd:
		return thinkTimeTooLong
	}
	return worthWaiting
}

// cheaperQueue is the paper's await test: the first queue not served this round whose await is no
// longer than the served queue's. The mean await of the server takes the place of the longest seek
// as an upper bound.
func (s *Engine) cheaperQueue(server *server) *volumeQueue {
	longest, servedAwait := server.meanAwait(), server.servedQueue.await.value()
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		await := queue.await.value()
		eligible := queue != server.servedQueue && queue.round < server.round
		if eligible && await <= servedAwait && await < longest && s.chooseOp(server, queue) != nil {
			return queue
		}
	}
	return nil
}

// nextQueue is the queue whose slice comes next, in ring order: one with an op within its reserve
// goes first, then one not served this round.
func (s *Engine) nextQueue(server *server) (next *volumeQueue) {
	lowestClass := math.MaxInt
	for i, from := 0, server.ringStart(); i < len(server.nonEmpty); i++ {
		queue := server.nonEmpty[(from+i)%len(server.nonEmpty)]
		op := s.chooseOp(server, queue)
		if queue == server.servedQueue || op == nil {
			continue
		}
		class := 2*boolToInt(!s.withinReserve(op)) + boolToInt(queue.round >= server.round)
		if class < lowestClass {
			next, lowestClass = queue, class
		}
	}
	return next
}

// beginSlice starts the slice of the next queue, and a new round where all have been served in this
// one.
func (s *Engine) beginSlice(server *server) {
	queue := s.nextQueue(server)
	if queue.round >= server.round {
		server.round++
	}
	s.startSlice(server, queue)
}

// startSlice starts a queue's slice: the queues with held ops share a round by the weights of their
// volumes.
func (s *Engine) startSlice(server *server, queue *volumeQueue) {
	weight := s.relativeWeight(queue.volume.plan)
	length := weight * sliceShare * float64(s.settings.shortestTarget) / float64(max(server.busyVolumes(), 1))
	server.servedQueue, queue.round = queue, server.round
	server.sliceEnd = s.now + max(time.Duration(length), s.sweepInterval())
}

func (s *Engine) endSlice(server *server) { server.servedQueue = nil }

func (s *Engine) handOverSlice(server *server) { s.startSlice(server, s.cheaperQueue(server)) }

func (s *Engine) sendFromServed(server *server) {
	s.dispatch(s.chooseOp(server, server.servedQueue), server)
}

func (s *Engine) sendFromOthers(server *server) {
	s.dispatch(s.chooseOp(server, s.nextQueue(server)), server)
}

// idleWait starts the wait for the served queue's next op. Other queues use the window meanwhile.
func (s *Engine) idleWait(server *server) {
	server.waitEnd = min(s.now+server.servedQueue.thinkTime.value(), server.sliceEnd)
	s.sendFromOthers(server)
}

// chooseOp is the op of a queue to dispatch next: a retry, then one with the key of the last op
// sent, then the one whose target latency is over first. It is nil where none may be dispatched
// now.
func (s *Engine) chooseOp(server *server, queue *volumeQueue) (chosen *op) {
	if s.nothingCanLeave(server, queue) {
		return nil
	}
	continuesRun := queue.opsByKey[server.lastKey] > 0
	for _, op := range queue.held {
		if chosen != nil && !continuesRun { // without a run the queue is sorted already
			break
		}
		if goesBefore(server, op, chosen) && s.hasCapacity(server, op) && s.mayDispatch(op, server) {
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
func (s *Engine) nothingCanLeave(server *server, queue *volumeQueue) bool {
	if len(queue.held) == 0 || server.health == honeyplank.HealthDown || s.halfOpenBusy(server) {
		return true
	}
	if s.allClientsGone(server, queue) {
		return true
	}
	s.refillBuckets(queue.volume)
	volume := queue.volume
	if server.outstanding > 0 {
		withinReserve := volume.reserve >= queue.smallestUnits
		if float64(server.outstanding) >= s.largestConcurrencyLimit(server, withinReserve) {
			return true
		}
	}
	limited := valueAt(s.settings.limit, volume.plan) > 0
	return limited && queue.retryCount == 0 && volume.limit < queue.smallestUnits
}

// allClientsGone reports whether no client of a queue's ops would wait for the earliest answer of a
// server. The op held last mostly has the most time left.
func (s *Engine) allClientsGone(server *server, queue *volumeQueue) bool {
	earliest := s.now + s.earliestAnswerOfAnyType(server)
	for i := len(queue.held) - 1; i >= 0; i-- {
		if earliest < queue.held[i].Timeout {
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
