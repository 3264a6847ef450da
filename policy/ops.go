package policy

import (
	"time"

	"honeyplank"
)

// isNextOfKey tells whether an op of an ordered type has its key's turn.
func (s *Scheduler) isNextOfKey(p *op) bool {
	k := p.keyQueue
	return k == nil || k.ops[0] == p && (s.now >= k.settledAt || k.settlingOp == p.ID)
}

// op is an op that this scheduler owes an answer.
type op struct {
	honeyplank.Op
	target          time.Duration // clock time at which its target latency is over
	sampledAt       time.Duration // when its lot was drawn
	admissionDraw   float64       // its own draw from [0, 1), for shares smaller than an op
	dispatches      []opDispatch
	inlineDispatch  [1]opDispatch // room for the first, which is mostly the only one
	responseStarted bool
	answered        bool // answered or gone, kept while a dispatch has no outcome
	volume          *volume
	server          *server      // where it is held or was last sent
	queue           *volumeQueue // where it is held; nil while it is out
	keyQueue        *keyQueue
	heldSerial      int // place in the order held
	previousHeld    *op // neighbours in the list of held ops
	nextHeld        *op
	isRetry         bool // it comes before others of its volume: a further dispatch
}

type opDispatch struct {
	server     *server
	sentAt     time.Duration
	done       bool
	mayHaveRun bool // it may have run

	shortDeadline bool // it had less time than a usual answer takes
}

// keyQueue keeps ops of ordered types apart.
type keyQueue struct {
	ops        []*op // in the order taken
	settledAt  time.Duration
	settlingOp honeyplank.OpID
}

func (p *op) isOutstanding() bool {
	for _, d := range p.dispatches {
		if !d.done {
			return true
		}
	}
	return false
}

// finishOp ends an op; its record stays while a dispatch has no outcome, since its key must wait for that.
func (s *Scheduler) finishOp(p *op) {
	p.dequeue()
	s.removeHeld(p)
	p.answered = true
	if p.isOutstanding() {
		return
	}
	delete(s.ops, p.ID)
	p.volume.openOps--
	if p.keyQueue != nil {
		p.keyQueue.ops = without(p.keyQueue.ops, p)
	}
}

// joinKeyQueue puts an op at the end of its key's line.
func (s *Scheduler) joinKeyQueue(p *op) {
	k := s.keyQueues[p.Key]
	if k == nil {
		k = &keyQueue{}
		s.keyQueues[p.Key] = k
	}
	k.ops = append(k.ops, p)
	p.keyQueue = k
}

// neverRan tells whether every dispatch of an op is known not to have run.
func (p *op) neverRan() bool {
	for _, d := range p.dispatches {
		if !d.done || d.mayHaveRun {
			return false
		}
	}
	return true
}
