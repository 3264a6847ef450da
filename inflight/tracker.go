// Package inflight tracks the ops and dispatches in flight of one instance. It is the layer between a decision module
// and the code that communicates with clients and disk servers: it delivers events to the module and executes the
// module's actions. It is independent of protocols and makes no decisions.
//
// A Tracker guarantees that
//   - each admitted op has one final answer, unless its client goes first,
//   - each dispatch has one timer and one outcome, and
//   - the module handles one event at a time, in the order in which they happened.
//
// A Tracker and all that it calls run on the goroutine of its event loop.
package inflight

import (
	"cmp"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// Client receives the final answer of an op. For each admitted op, exactly one of its methods is called, and it is
// called once. After Tracker.ClientGone no method is called. The calls are made on the event loop.
type Client interface {
	// Succeeded delivers the data of the first dispatch that succeeded.
	Succeeded(data []byte)
	// Rejected reports that the op may safely be retried, after retryAfter if that is not 0.
	Rejected(retryAfter time.Duration)
	// Failed reports an error. The op may have run.
	Failed()
}

// Sender sends dispatches to disk servers.
type Sender interface {
	// Send sends a dispatch to its disk server. The Sender must call Dispatch.Finish with the outcome, unless the
	// dispatch is cancelled first.
	Send(dispatch *Dispatch)
	// Written reports whether the last byte has been sent, so that the op may run.
	Written(dispatch *Dispatch) bool
	// Abandon is called when the op of a written dispatch has its final answer or its client has gone. The Sender keeps
	// the command from arriving, if it still can. In that case it must call Dispatch.Cancel or Dispatch.Finish.
	Abandon(dispatch *Dispatch)
	// Cancel cancels a dispatch; the Sender discards an answer that arrives later.
	Cancel(dispatch *Dispatch)
}

// Counts are totals since the Tracker was created.
type Counts struct {
	// Admitted is the number of ops; the other four are the numbers of ops by the way in which they ended.
	Admitted, Succeeded, Rejected, Failed, ClientsGone int
	// Dispatches is the number of the module's Dispatch actions, including those that were not sent.
	Dispatches int
	// Events is the number of events that the module has handled.
	Events int
}

// Tracker holds the ops and dispatches in flight of one instance. Its methods must be called on the event loop.
type Tracker struct {
	Counts Counts
	// OnAction executes the module's actions that concern neither ops nor timers.
	OnAction func(honeyplank.Action)
	// OnIdle, if set, is called after events have been handled, if no op is awaiting an answer then.
	OnIdle func()

	loop            *eventloop.Loop
	module          honeyplank.DecisionModule
	sender          Sender
	events          []honeyplank.Event // events that are not handled yet
	delivering      bool               // whether Deliver is running
	ops             map[honeyplank.OpID]*op
	departed        departedIDs
	unansweredCount int
	outstanding     int // number of dispatches without an outcome
	lastSequence    uint64
}

// op is an op in flight. It is kept until it is answered and each of its dispatches has an outcome.
type op struct {
	id               honeyplank.OpID
	sequence         uint64 // number in the order of admission
	client           Client
	deadline         time.Duration // clock time by which it must be answered
	dispatches       []*Dispatch
	firstDispatch    Dispatch // stored inline, since most ops have only one dispatch
	inlineDispatches [1]*Dispatch
	outstanding      int  // number of dispatches without an outcome
	answered         bool // whether it is answered or its client has gone
}

// New returns a Tracker without ops.
func New(loop *eventloop.Loop, module honeyplank.DecisionModule, sender Sender) *Tracker {
	return &Tracker{
		loop:     loop,
		module:   module,
		sender:   sender,
		OnAction: func(honeyplank.Action) {},
		ops:      map[honeyplank.OpID]*op{},
	}
}

// Admit admits an op and delivers it to the module. It returns false and does nothing if an op with the same id is
// still in flight, or may have run for a client that has left.
func (t *Tracker) Admit(event honeyplank.Op, client Client) bool {
	if t.ops[event.ID] != nil || t.Departed(event.ID) {
		return false
	}
	t.lastSequence++
	t.ops[event.ID] = &op{id: event.ID, sequence: t.lastSequence, client: client, deadline: event.Deadline}
	t.unansweredCount++
	t.Counts.Admitted++
	t.Deliver(event)
	return true
}

// ClientGone ends an op whose client has closed its connection or cancelled the op, and notifies the module.
func (t *Tracker) ClientGone(id honeyplank.OpID) {
	if o := t.unansweredOp(id); o != nil {
		t.Counts.ClientsGone++
		if t.mayHaveRun(o) {
			t.departed.add(id)
		}
		t.markAnswered(o)
		t.Deliver(honeyplank.ClientGone{Op: id})
		t.abandon(o)
	}
}

// Departed reports whether an id is that of an op that may have run for a client that has left. Only the ids of the
// last such ops are remembered.
func (t *Tracker) Departed(id honeyplank.OpID) bool { return t.departed.known[id] }

// mayHaveRun reports whether a dispatch of an op has been sent. Of those that have ended this is assumed.
func (t *Tracker) mayHaveRun(o *op) bool {
	return slices.ContainsFunc(o.dispatches, func(d *Dispatch) bool { return d.ended || t.sender.Written(d) })
}

// FailAll answers each op that has no answer yet with Failed, in the order of admission.
func (t *Tracker) FailAll() {
	var unanswered []*op
	for _, o := range t.ops {
		if !o.answered {
			unanswered = append(unanswered, o)
		}
	}
	slices.SortFunc(unanswered, func(a, b *op) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, o := range unanswered {
		if o.answered { // the module answered it while handling an earlier ClientGone
			continue
		}
		t.Counts.Failed++
		t.markAnswered(o)
		o.client.Failed()
		t.Deliver(honeyplank.ClientGone{Op: o.id})
		t.abandon(o)
	}
}

// Unanswered returns the number of ops without a final answer.
func (t *Tracker) Unanswered() int { return t.unansweredCount }

// Outstanding returns the number of dispatches without an outcome.
func (t *Tracker) Outstanding() int { return t.outstanding }

// Deliver passes an event to the module and executes the resulting actions. Events that these actions cause are handled
// afterwards, in the order in which they occur.
func (t *Tracker) Deliver(event honeyplank.Event) {
	t.events = append(t.events, event)
	if t.delivering {
		return
	}
	t.delivering = true
	for i := 0; i < len(t.events); i++ { // the slice may grow during the loop
		t.Counts.Events++
		for _, action := range t.module.Handle(t.loop.Now(), t.events[i]) {
			t.execute(action)
		}
		t.events[i] = nil
	}
	t.events, t.delivering = t.events[:0], false
	if t.unansweredCount == 0 && t.OnIdle != nil {
		t.OnIdle()
	}
}

// execute executes an action. Actions on ops that are no longer in flight have no effect.
func (t *Tracker) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Dispatch:
		t.dispatch(a)
	case honeyplank.Reject:
		t.reject(a)
	case honeyplank.Fail:
		t.fail(a)
	case honeyplank.Cancel:
		if o := t.ops[a.Op]; o != nil && a.Dispatch >= 0 && a.Dispatch < len(o.dispatches) {
			o.dispatches[a.Dispatch].Cancel()
		}
	case honeyplank.SetTimer:
		t.loop.Schedule(a.At, func() { t.Deliver(honeyplank.Timer{ID: a.ID}) })
	default:
		t.OnAction(action)
	}
}

func (t *Tracker) reject(action honeyplank.Reject) {
	if o := t.unansweredOp(action.Op); o != nil {
		t.Counts.Rejected++
		t.markAnswered(o)
		o.client.Rejected(action.RetryAfter)
		t.abandon(o)
	}
}

func (t *Tracker) fail(action honeyplank.Fail) {
	if o := t.unansweredOp(action.Op); o != nil {
		t.Counts.Failed++
		t.markAnswered(o)
		o.client.Failed()
		t.abandon(o)
	}
}

// unansweredOp returns the op with an id, or nil if there is none or it has its answer.
func (t *Tracker) unansweredOp(id honeyplank.OpID) *op {
	if o := t.ops[id]; o != nil && !o.answered {
		return o
	}
	return nil
}

// markAnswered records that an op gets no further answer.
func (t *Tracker) markAnswered(o *op) {
	o.answered = true
	t.unansweredCount--
	t.removeIfDone(o)
}

func (t *Tracker) removeIfDone(o *op) {
	if o.answered && o.outstanding == 0 {
		delete(t.ops, o.id)
	}
}
