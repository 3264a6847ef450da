package inflight

import (
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// Dispatch is one transmission of an op to a disk server.
type Dispatch struct {
	Server   honeyplank.ServerID
	Started  time.Duration // clock time of the module's Dispatch action
	Deadline time.Duration // clock time at which the dispatch times out
	// SenderState and SenderTag are for the Sender's use; the Tracker does not use them.
	SenderState any
	SenderTag   uint64

	tracker *Tracker
	op      *op
	index   int // index among the op's dispatches
	timer   eventloop.Timer
	ended   bool
}

// Feedback is what a disk server reports in addition to an outcome. The fields have the same meaning as in
// honeyplank.Outcome.
type Feedback struct {
	QuotaUsed       int
	ServedElsewhere float64
	Load            map[string]float64
}

// dispatch sends an op. If the op already has its answer or its deadline has passed, the dispatch ends as not sent.
func (t *Tracker) dispatch(action honeyplank.Dispatch) {
	o := t.ops[action.Op]
	if o == nil {
		return
	}
	d := o.newDispatch()
	*d = Dispatch{Server: action.Server, Started: t.loop.Now(), tracker: t, op: o, index: len(o.dispatches)}
	o.dispatches = append(o.dispatches, d)
	o.outstanding++
	t.outstanding++
	t.Counts.Dispatches++
	d.Deadline = o.deadline
	if action.Timeout > 0 {
		d.Deadline = min(d.Deadline, d.Started+action.Timeout)
	}
	if o.answered || d.Started >= o.deadline {
		d.Finish(honeyplank.NotSent, nil, Feedback{})
		return
	}
	t.loop.Arm(&d.timer, d.Deadline, d)
	t.sender.Send(d)
}

// newDispatch returns storage for the op's next dispatch. The first dispatch is stored in the op itself and needs no
// allocation.
func (o *op) newDispatch() *Dispatch {
	if len(o.dispatches) > 0 {
		return &Dispatch{}
	}
	o.dispatches = o.inlineDispatches[:0]
	return &o.firstDispatch
}

// abandon abandons the dispatches of a finished op, so that the op does not start on a disk server after its client has
// gone. A dispatch that waits for a connection, or whose last byte waits to be sent, has not run and is cancelled. Only
// the sender knows whether it can still stop a written one. Limitation: if a sender reports a dispatch as not written
// although it has been sent, an op that runs counts as not sent.
func (t *Tracker) abandon(o *op) {
	for i := 0; i < len(o.dispatches); i++ { // the slice may grow during the loop
		switch d := o.dispatches[i]; {
		case d.ended:
		case t.sender.Written(d):
			t.sender.Abandon(d)
		default:
			d.cancelWith(honeyplank.NotSent)
		}
	}
}

// Op returns the id of the dispatch's op.
func (d *Dispatch) Op() honeyplank.OpID { return d.op.id }

// Client returns the client of the dispatch's op.
func (d *Dispatch) Client() Client { return d.op.client }

// Abandoned reports whether the op has its final answer or its client has gone, so that the outcome is not needed.
func (d *Dispatch) Abandoned() bool { return d.op.answered }

// Ended reports whether the dispatch has its outcome.
func (d *Dispatch) Ended() bool { return d.ended }

// Expire ends a dispatch at its deadline. Only the event loop calls it.
func (d *Dispatch) Expire() {
	if d.tracker.sender.Written(d) {
		d.cancelWith(honeyplank.TimedOut)
	} else {
		d.cancelWith(honeyplank.ConnectFailed)
	}
}

// Cancel cancels the dispatch, which may have run, unless it has ended.
func (d *Dispatch) Cancel() { d.cancelWith(honeyplank.Cancelled) }

// cancelWith cancels the dispatch at the sender and finishes it with the code, unless it has ended.
func (d *Dispatch) cancelWith(code honeyplank.Code) {
	if !d.ended {
		d.tracker.sender.Cancel(d)
		d.Finish(code, nil, Feedback{})
	}
}

// Finish sets the dispatch's outcome and delivers it to the module; calls after the first do nothing. The first outcome
// honeyplank.Succeeded of an op answers the op with data.
func (d *Dispatch) Finish(code honeyplank.Code, data []byte, feedback Feedback) {
	if d.ended {
		return
	}
	d.ended = true
	t, o := d.tracker, d.op
	t.loop.Cancel(&d.timer)
	o.outstanding--
	t.outstanding--
	answers := code == honeyplank.Succeeded && !o.answered
	if answers {
		t.Counts.Succeeded++
		t.markAnswered(o)
		o.client.Succeeded(data)
	}
	t.removeIfDone(o)
	t.Deliver(d.outcome(code, feedback))
	if answers {
		t.abandon(o)
	}
}

func (d *Dispatch) outcome(code honeyplank.Code, feedback Feedback) honeyplank.Outcome {
	return honeyplank.Outcome{
		Op:              d.op.id,
		Dispatch:        d.index,
		Server:          d.Server,
		Code:            code,
		Elapsed:         d.tracker.loop.Now() - d.Started,
		Answered:        d.op.answered,
		QuotaUsed:       feedback.QuotaUsed,
		ServedElsewhere: feedback.ServedElsewhere,
		Load:            feedback.Load,
	}
}
