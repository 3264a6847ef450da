package policy

import (
	"time"

	"honeyplank"
)

// op is the record of an op that this instance must answer.
type op struct {
	honeyplank.Op
	target          time.Duration // clock time at which its target latency is over
	admissionDraw   float64       // random, from [0, 1): compared with the probability of admission
	sampledAt       time.Duration // when admissionDraw was drawn
	dispatches      []opDispatch
	inlineDispatch  [1]opDispatch // holds the first dispatch, mostly the only one, without an allocation
	responseStarted bool
	answered        bool // answered, or its client has gone; the record is kept while a dispatch has no outcome
	volume          *volume
	attempt         *earlierAttempt // of its identity; nil: none
	server          *server         // at which it is queued, or to which it was last dispatched
	queue           *volumeQueue    // that holds it; nil while it is dispatched or unassigned
	keyQueue        *keyQueue       // of an ordered type; else nil
	queuedSerial    int             // position in the list of queued ops; 0: not in the list
	previousQueued  *op             // neighbours in the list of queued ops
	nextQueued      *op
	isRetry         bool // queued for another dispatch: it precedes the other ops of its volume
}

// opDispatch is one dispatch of an op.
type opDispatch struct {
	server        *server
	sentAt        time.Duration
	done          bool // its outcome is known
	mayHaveRun    bool
	shortDeadline bool // the op had less time left than a typical answer takes
}

// keyQueue keeps the ops of ordered types with one key in order. Only the first op may be
// dispatched, and not before settledAt, unless it is settlingOp, whose own dispatch may still be
// running.
type keyQueue struct {
	ops        []*op // in the order of admission
	settledAt  time.Duration
	settlingOp honeyplank.OpID
}

// isOutstanding reports whether a dispatch of an op has no outcome yet.
func (op *op) isOutstanding() bool {
	for _, dispatch := range op.dispatches {
		if !dispatch.done {
			return true
		}
	}
	return false
}

// neverRan reports whether every dispatch of an op is known not to have run.
func (op *op) neverRan() bool {
	for _, dispatch := range op.dispatches {
		if !dispatch.done || dispatch.mayHaveRun {
			return false
		}
	}
	return true
}

// finishOp ends an op. Its record stays while a dispatch has no outcome, because the next op of its
// key waits for that outcome.
func (e *Engine) finishOp(op *op) {
	e.dequeue(op)
	e.removeQueued(op)
	op.answered = true
	if op.attempt != nil && op.attempt.op == op {
		op.attempt.op = nil
	}
	if op.isOutstanding() {
		return
	}
	delete(e.ops, op.ID)
	if op.volume.openOps--; op.volume.openOps == 0 {
		e.markIdle(op.volume)
	}
	if op.keyQueue != nil {
		e.leaveKeyQueue(op)
	}
}

// leaveKeyQueue removes an op from its key's queue, and drops the queue if it keeps nothing.
func (e *Engine) leaveKeyQueue(op *op) {
	queue := op.keyQueue
	queue.ops = without(queue.ops, op)
	if len(queue.ops) == 0 && e.now >= queue.settledAt && e.keyQueues[op.Key] == queue {
		delete(e.keyQueues, op.Key)
	}
}

// joinKeyQueue appends an op to its key's queue.
func (e *Engine) joinKeyQueue(op *op) {
	queue := e.keyQueues[op.Key]
	if queue == nil {
		queue = &keyQueue{}
		e.keyQueues[op.Key] = queue
	}
	queue.ops = append(queue.ops, op)
	op.keyQueue = queue
}

// isNextOfKey reports whether the order of the ops of a key allows the dispatch of an op.
func (e *Engine) isNextOfKey(op *op) bool {
	queue := op.keyQueue
	if queue == nil {
		return true
	}
	return queue.ops[0] == op && (e.now >= queue.settledAt || queue.settlingOp == op.ID)
}
