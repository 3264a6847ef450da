// Package inflight keeps the books of one instance: the ops that it owes an answer and the dispatches that are out.
// What happens goes to the decision module as events, what the module says is done at once. Each op has one final
// answer, each dispatch one timer and one outcome. It knows no protocol and decides nothing.
package inflight

import (
	"cmp"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// DecisionModule makes the decisions: policy.Scheduler, or a baseline to measure against.
type DecisionModule interface {
	Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action
}

// Client is who is answered: one of these is called for each op taken, once, unless it lapsed before.
type Client interface {
	Succeeded(data []byte)
	Rejected(after time.Duration)
	Failed()
}

// Sender is who is sent to.
type Sender interface {
	// Send carries a dispatch to its disk server; it must come to its End.
	Send(d *Dispatch)
	// Written tells whether the last byte has left, so that the op may run.
	Written(d *Dispatch) bool
	// Cancel gives a dispatch up; its answer, should one come, is nobody's.
	Cancel(d *Dispatch)
}

// Counts are what an instance has done so far.
type Counts struct {
	Admitted, Succeeded, Rejected, Failed, ClientsGone int
	Dispatches                                         int
	Events                                             int // told to the module
}

// Tracker is the books of one instance. All of it runs on the loop.
type Tracker struct {
	Counts Counts
	// OnAction does what the module says beside what concerns ops and timers.
	OnAction func(honeyplank.Action)
	// OnIdle, where set, is called after an event that leaves no op owed an answer.
	OnIdle func()

	loop            *eventloop.Loop
	module          DecisionModule
	sender          Sender
	queue           []honeyplank.Event
	delivering      bool
	ops             map[honeyplank.OpID]*op
	unansweredCount int
	serial          uint64
}

// op is one that the module has been told of. It stays while a dispatch has no outcome.
type op struct {
	id               honeyplank.OpID
	serial           uint64
	client           Client
	timeout          time.Duration // clock time by which it must have its answer
	dispatches       []*Dispatch
	first            Dispatch // the first of sends, which most ops need no more than
	inlineDispatches [1]*Dispatch
	outstanding      int  // dispatches without an outcome
	answered         bool // answered, or its client has gone
}

// Dispatch is one sending of an op to a disk server.
type Dispatch struct {
	Server   honeyplank.ServerID
	Started  time.Duration
	Deadline time.Duration // clock time at which the wait for it ends
	// SenderState and Tag are the sender's own.
	SenderState any
	SenderTag   uint64

	tracker *Tracker
	op      *op
	index   int
	timer   eventloop.Timer
	done    bool
}

// Feedback is what came with an outcome.
type Feedback struct {
	QuotaUsed       int
	ServedElsewhere float64
	Load            map[string]float64
}

// New makes empty books.
func New(l *eventloop.Loop, module DecisionModule, to Sender) *Tracker {
	return &Tracker{loop: l, module: module, sender: to, OnAction: func(honeyplank.Action) {}, ops: map[honeyplank.OpID]*op{}}
}

// Admit tells the module of an op. It reports false, and does nothing, where the id is that of an op still known.
func (b *Tracker) Admit(e honeyplank.Op, c Client) bool {
	if b.ops[e.ID] != nil {
		return false
	}
	b.serial++
	b.ops[e.ID] = &op{id: e.ID, serial: b.serial, client: c, timeout: e.Timeout}
	b.unansweredCount++
	b.Counts.Admitted++
	b.Deliver(e)
	return true
}

// ClientGone tells the module that the client of an op has gone.
func (b *Tracker) ClientGone(id honeyplank.OpID) {
	if p := b.unanswered(id); p != nil {
		b.Counts.ClientsGone++
		b.markAnswered(p)
		b.Deliver(honeyplank.ClientGone{Op: id})
		b.withdrawUnsent(p)
	}
}

// FailAll answers every op that is owed an answer, in the order taken.
func (b *Tracker) FailAll() {
	var open []*op
	for _, p := range b.ops {
		if !p.answered {
			open = append(open, p)
		}
	}
	slices.SortFunc(open, func(x, y *op) int { return cmp.Compare(x.serial, y.serial) })
	for _, p := range open {
		if p.answered { // the module has answered it meanwhile
			continue
		}
		b.Counts.Failed++
		b.markAnswered(p)
		p.client.Failed()
		b.Deliver(honeyplank.ClientGone{Op: p.id})
		b.withdrawUnsent(p)
	}
}

// Unanswered is how many ops are owed an answer, Out how many dispatches have no outcome.
func (b *Tracker) Unanswered() int { return b.unansweredCount }
func (b *Tracker) Outstanding() (n int) {
	for _, p := range b.ops {
		n += p.outstanding
	}
	return n
}

// Deliver hands an event to the module and does what it says. What happens meanwhile waits its turn.
func (b *Tracker) Deliver(e honeyplank.Event) {
	b.queue = append(b.queue, e)
	if b.delivering {
		return
	}
	b.delivering = true
	for i := 0; i < len(b.queue); i++ { // it may grow meanwhile
		b.Counts.Events++
		for _, a := range b.module.Handle(b.loop.Now(), b.queue[i]) {
			b.execute(a)
		}
		b.queue[i] = nil
	}
	b.queue, b.delivering = b.queue[:0], false
	if b.unansweredCount == 0 && b.OnIdle != nil {
		b.OnIdle()
	}
}

func (b *Tracker) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Dispatch:
		b.dispatch(a)
	case honeyplank.Reject:
		if p := b.unanswered(a.Op); p != nil {
			b.Counts.Rejected++
			b.markAnswered(p)
			p.client.Rejected(a.RetryAfter)
			b.withdrawUnsent(p)
		}
	case honeyplank.Fail:
		if p := b.unanswered(a.Op); p != nil {
			b.Counts.Failed++
			b.markAnswered(p)
			p.client.Failed()
			b.withdrawUnsent(p)
		}
	case honeyplank.Cancel:
		if p := b.ops[a.Op]; p != nil && a.Dispatch >= 0 && a.Dispatch < len(p.dispatches) {
			p.dispatches[a.Dispatch].cancel(honeyplank.Cancelled)
		}
	case honeyplank.SetTimer:
		b.loop.Schedule(a.At, func() { b.Deliver(honeyplank.Timer{Name: a.Name}) })
	default:
		b.OnAction(action)
	}
}

// unanswered is an op that is owed an answer, or nil.
func (b *Tracker) unanswered(id honeyplank.OpID) *op {
	if p := b.ops[id]; p != nil && !p.answered {
		return p
	}
	return nil
}

// markAnswered ends what is owed for an op.
func (b *Tracker) markAnswered(p *op) {
	p.answered = true
	b.unansweredCount--
	b.removeIfDone(p)
}

// withdrawUnsent takes back what has not left for an op that is over: a dispatch that waits for a connection, or whose last
// byte waits to be sent, never ran and is of no use to anybody. It guards against ops that begin at a disk server
// after their client has gone; it could harm a sender that calls written what has not left, which would lose sight
// of an op that runs.
func (b *Tracker) withdrawUnsent(p *op) {
	for i := 0; i < len(p.dispatches); i++ {
		if d := p.dispatches[i]; !d.done && !b.sender.Written(d) {
			d.cancel(honeyplank.NotSent)
		}
	}
}

func (b *Tracker) removeIfDone(p *op) {
	if p.answered && p.outstanding == 0 {
		delete(b.ops, p.id)
	}
}

// ---- Dispatches ----

func (b *Tracker) dispatch(a honeyplank.Dispatch) {
	p := b.ops[a.Op]
	if p == nil {
		return
	}
	d := &p.first
	if len(p.dispatches) > 0 {
		d = &Dispatch{}
	} else {
		p.dispatches = p.inlineDispatches[:0]
	}
	*d = Dispatch{Server: a.Server, Started: b.loop.Now(), tracker: b, op: p, index: len(p.dispatches)}
	p.dispatches = append(p.dispatches, d)
	p.outstanding++
	b.Counts.Dispatches++
	if d.Deadline = p.timeout; a.Timeout > 0 {
		d.Deadline = min(d.Deadline, d.Started+a.Timeout)
	}
	if p.answered || d.Started >= p.timeout {
		d.Finish(honeyplank.NotSent, nil, Feedback{})
		return
	}
	b.loop.Arm(&d.timer, d.Deadline, d)
	b.sender.Send(d)
}

// Op is the id of the dispatch's op, Client who is owed its answer.
func (d *Dispatch) Op() honeyplank.OpID { return d.op.id }
func (d *Dispatch) Client() Client      { return d.op.client }

// Abandoned tells that nobody waits for the answer any more.
func (d *Dispatch) Abandoned() bool { return d.op.answered }

// Ended tells that the dispatch has its outcome.
func (d *Dispatch) Ended() bool { return d.done }

// Expire ends a dispatch that has had no answer in time.
func (d *Dispatch) Expire() {
	if d.tracker.sender.Written(d) {
		d.cancel(honeyplank.TimedOut)
	} else {
		d.cancel(honeyplank.ConnectFailed)
	}
}

// cancel ends the wait for a dispatch.
func (d *Dispatch) cancel(code honeyplank.Code) {
	if !d.done {
		d.tracker.sender.Cancel(d)
		d.Finish(code, nil, Feedback{})
	}
}

// Finish tells how a dispatch ended; only the first call counts. The first ack answers the op.
func (d *Dispatch) Finish(code honeyplank.Code, data []byte, told Feedback) {
	if d.done {
		return
	}
	d.done = true
	b, p := d.tracker, d.op
	b.loop.Cancel(&d.timer)
	p.outstanding--
	if code == honeyplank.Succeeded && !p.answered {
		b.Counts.Succeeded++
		b.markAnswered(p)
		p.client.Succeeded(data)
	}
	b.removeIfDone(p)
	b.Deliver(honeyplank.Outcome{Op: p.id, Dispatch: d.index, Server: d.Server, Code: code, Elapsed: b.loop.Now() - d.Started, Answered: p.answered,
		QuotaUsed: told.QuotaUsed, ServedElsewhere: told.ServedElsewhere, Load: told.Load})
	if p.answered {
		b.withdrawUnsent(p)
	}
}
