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

// Module makes the decisions: policy.Scheduler, or a baseline to measure against.
type Module interface {
	Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action
}

// Client is who is answered: one of these is called for each op taken, once, unless it lapsed before.
type Client interface {
	Acked(data []byte)
	Throttled(after time.Duration)
	Aborted()
}

// Sender is who is sent to.
type Sender interface {
	// Send carries a dispatch to its disk server; it must come to its End.
	Send(d *Dispatch)
	// Written tells whether the last byte has left, so that the op may run.
	Written(d *Dispatch) bool
	// Stop gives a dispatch up; its answer, should one come, is nobody's.
	Stop(d *Dispatch)
}

// Counts are what an instance has done so far.
type Counts struct {
	Taken, Acked, Throttled, Aborted, Lapsed int
	Dispatches                               int
	Events                                   int // told to the module
}

// Book is the books of one instance. All of it runs on the loop.
type Book struct {
	Counts Counts
	// Rest does what the module says beside what concerns ops and timers.
	Rest func(honeyplank.Action)
	// Settled, where set, is called after an event that leaves no op owed an answer.
	Settled func()

	loop    *eventloop.Loop
	module  Module
	to      Sender
	queue   []honeyplank.Event
	telling bool
	ops     map[honeyplank.OpID]*op
	owed    int
	serial  uint64
}

// op is one that the module has been told of. It stays while a dispatch has no outcome.
type op struct {
	id      honeyplank.OpID
	serial  uint64
	client  Client
	timeout time.Duration // clock time by which it must have its answer
	sends   []*Dispatch
	first   Dispatch // the first of sends, which most ops need no more than
	room    [1]*Dispatch
	live    int  // dispatches without an outcome
	over    bool // answered, or its client has gone
}

// Dispatch is one sending of an op to a disk server.
type Dispatch struct {
	OSD   honeyplank.ServerID
	At    time.Duration
	Until time.Duration // clock time at which the wait for it ends
	// Link and Tag are the sender's own.
	Link any
	Tag  uint64

	book  *Book
	op    *op
	n     int
	timer eventloop.Timer
	done  bool
}

// Told is what came with an outcome.
type Told struct {
	Used      int
	Elsewhere float64
	Load      map[string]float64
}

// New makes empty books.
func New(l *eventloop.Loop, module Module, to Sender) *Book {
	return &Book{loop: l, module: module, to: to, Rest: func(honeyplank.Action) {}, ops: map[honeyplank.OpID]*op{}}
}

// Take tells the module of an op. It reports false, and does nothing, where the id is that of an op still known.
func (b *Book) Take(e honeyplank.Op, c Client) bool {
	if b.ops[e.ID] != nil {
		return false
	}
	b.serial++
	b.ops[e.ID] = &op{id: e.ID, serial: b.serial, client: c, timeout: e.Timeout}
	b.owed++
	b.Counts.Taken++
	b.Tell(e)
	return true
}

// Lapse tells the module that the client of an op has gone.
func (b *Book) Lapse(id honeyplank.OpID) {
	if p := b.owe(id); p != nil {
		b.Counts.Lapsed++
		b.close(p)
		b.Tell(honeyplank.ClientGone{Op: id})
		b.recall(p)
	}
}

// AbortAll answers every op that is owed an answer, in the order taken.
func (b *Book) AbortAll() {
	var open []*op
	for _, p := range b.ops {
		if !p.over {
			open = append(open, p)
		}
	}
	slices.SortFunc(open, func(x, y *op) int { return cmp.Compare(x.serial, y.serial) })
	for _, p := range open {
		if p.over { // the module has answered it meanwhile
			continue
		}
		b.Counts.Aborted++
		b.close(p)
		p.client.Aborted()
		b.Tell(honeyplank.ClientGone{Op: p.id})
		b.recall(p)
	}
}

// Owed is how many ops are owed an answer, Out how many dispatches have no outcome.
func (b *Book) Owed() int { return b.owed }
func (b *Book) Out() (n int) {
	for _, p := range b.ops {
		n += p.live
	}
	return n
}

// Tell hands an event to the module and does what it says. What happens meanwhile waits its turn.
func (b *Book) Tell(e honeyplank.Event) {
	b.queue = append(b.queue, e)
	if b.telling {
		return
	}
	b.telling = true
	for i := 0; i < len(b.queue); i++ { // it may grow meanwhile
		b.Counts.Events++
		for _, a := range b.module.Handle(b.loop.Now(), b.queue[i]) {
			b.act(a)
		}
		b.queue[i] = nil
	}
	b.queue, b.telling = b.queue[:0], false
	if b.owed == 0 && b.Settled != nil {
		b.Settled()
	}
}

func (b *Book) act(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Dispatch:
		b.dispatch(a)
	case honeyplank.Reject:
		if p := b.owe(a.Op); p != nil {
			b.Counts.Throttled++
			b.close(p)
			p.client.Throttled(a.RetryAfter)
			b.recall(p)
		}
	case honeyplank.Fail:
		if p := b.owe(a.Op); p != nil {
			b.Counts.Aborted++
			b.close(p)
			p.client.Aborted()
			b.recall(p)
		}
	case honeyplank.Cancel:
		if p := b.ops[a.Op]; p != nil && a.Dispatch >= 0 && a.Dispatch < len(p.sends) {
			p.sends[a.Dispatch].stop(honeyplank.Cancelled)
		}
	case honeyplank.SetTimer:
		b.loop.AtTime(a.At, func() { b.Tell(honeyplank.Timer{Name: a.Name}) })
	default:
		b.Rest(action)
	}
}

// owe is an op that is owed an answer, or nil.
func (b *Book) owe(id honeyplank.OpID) *op {
	if p := b.ops[id]; p != nil && !p.over {
		return p
	}
	return nil
}

// close ends what is owed for an op.
func (b *Book) close(p *op) {
	p.over = true
	b.owed--
	b.forget(p)
}

// recall takes back what has not left for an op that is over: a dispatch that waits for a connection, or whose last
// byte waits to be sent, never ran and is of no use to anybody. It guards against ops that begin at a disk server
// after their client has gone; it could harm a sender that calls written what has not left, which would lose sight
// of an op that runs.
func (b *Book) recall(p *op) {
	for i := 0; i < len(p.sends); i++ {
		if d := p.sends[i]; !d.done && !b.to.Written(d) {
			d.stop(honeyplank.NotSent)
		}
	}
}

func (b *Book) forget(p *op) {
	if p.over && p.live == 0 {
		delete(b.ops, p.id)
	}
}

// ---- Dispatches ----

func (b *Book) dispatch(a honeyplank.Dispatch) {
	p := b.ops[a.Op]
	if p == nil {
		return
	}
	d := &p.first
	if len(p.sends) > 0 {
		d = &Dispatch{}
	} else {
		p.sends = p.room[:0]
	}
	*d = Dispatch{OSD: a.Server, At: b.loop.Now(), book: b, op: p, n: len(p.sends)}
	p.sends = append(p.sends, d)
	p.live++
	b.Counts.Dispatches++
	if d.Until = p.timeout; a.Timeout > 0 {
		d.Until = min(d.Until, d.At+a.Timeout)
	}
	if p.over || d.At >= p.timeout {
		d.End(honeyplank.NotSent, nil, Told{})
		return
	}
	b.loop.Arm(&d.timer, d.Until, d)
	b.to.Send(d)
}

// Op is the id of the dispatch's op, Client who is owed its answer.
func (d *Dispatch) Op() honeyplank.OpID { return d.op.id }
func (d *Dispatch) Client() Client      { return d.op.client }

// Over tells that nobody waits for the answer any more.
func (d *Dispatch) Over() bool { return d.op.over }

// Ended tells that the dispatch has its outcome.
func (d *Dispatch) Ended() bool { return d.done }

// Due ends a dispatch that has had no answer in time.
func (d *Dispatch) Due() {
	if d.book.to.Written(d) {
		d.stop(honeyplank.TimedOut)
	} else {
		d.stop(honeyplank.ConnectFailed)
	}
}

// stop ends the wait for a dispatch.
func (d *Dispatch) stop(code honeyplank.Code) {
	if !d.done {
		d.book.to.Stop(d)
		d.End(code, nil, Told{})
	}
}

// End tells how a dispatch ended; only the first call counts. The first ack answers the op.
func (d *Dispatch) End(code honeyplank.Code, data []byte, told Told) {
	if d.done {
		return
	}
	d.done = true
	b, p := d.book, d.op
	b.loop.Cancel(&d.timer)
	p.live--
	if code == honeyplank.Succeeded && !p.over {
		b.Counts.Acked++
		b.close(p)
		p.client.Acked(data)
	}
	b.forget(p)
	b.Tell(honeyplank.Outcome{Op: p.id, Dispatch: d.n, Server: d.OSD, Code: code, Elapsed: b.loop.Now() - d.At, Answered: p.over,
		QuotaUsed: told.Used, ServedElsewhere: told.Elsewhere, Load: told.Load})
	if p.over {
		b.recall(p)
	}
}
