package inflight

import (
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// Dispatch is one sending of an op to a disk server.
type Dispatch struct {
	Server   honeyplank.ServerID
	Started  time.Duration // clock time at which the module ordered it
	Deadline time.Duration // clock time at which the wait for its outcome ends
	// SenderState and SenderTag belong to the Sender; the Tracker does not use them.
	SenderState any
	SenderTag   uint64

	tracker *Tracker
	op      *op
	index   int // among the op's dispatches, from 0
	timer   eventloop.Timer
	ended   bool
}

// Feedback is what a disk server reports beside an outcome. The fields are those of honeyplank.Outcome.
type Feedback struct {
	QuotaUsed       int
	ServedElsewhere float64
	Load            map[string]float64
}

// dispatch sends an op, or ends the dispatch as not sent where the op is over.
func (t *Tracker) dispatch(action honeyplank.Dispatch) {
	o := t.ops[action.Op]
	if o == nil {
		return
	}
	d := o.newDispatch()
	*d = Dispatch{Server: action.Server, Started: t.loop.Now(), tracker: t, op: o, index: len(o.dispatches)}
	o.dispatches = append(o.dispatches, d)
	o.outstanding++
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

// newDispatch returns room for the op's next dispatch: the first needs no allocation.
func (o *op) newDispatch() *Dispatch {
	if len(o.dispatches) > 0 {
		return &Dispatch{}
	}
	o.dispatches = o.inlineDispatches[:0]
	return &o.firstDispatch
}

// cancelUnsent cancels the dispatches of an op that is over which are not written completely: one that waits for a
// connection, or whose last byte waits to be sent, never ran and is not needed any more. It guards against ops that
// begin at a disk server after their client has gone. It would harm with a sender that reports a dispatch as not
// written although it has left: an op that runs would count as not sent.
func (t *Tracker) cancelUnsent(o *op) {
	for i := 0; i < len(o.dispatches); i++ { // it may grow meanwhile
		if d := o.dispatches[i]; !d.ended && !t.sender.Written(d) {
			d.cancel(honeyplank.NotSent)
		}
	}
}

// Op is the id of the dispatch's op.
func (d *Dispatch) Op() honeyplank.OpID { return d.op.id }

// Client is the client of the dispatch's op.
func (d *Dispatch) Client() Client { return d.op.client }

// Abandoned reports whether the op has its final answer or its client has gone, so that nobody waits for the outcome.
func (d *Dispatch) Abandoned() bool { return d.op.answered }

// Ended reports whether the dispatch has its outcome.
func (d *Dispatch) Ended() bool { return d.ended }

// Expire ends a dispatch at its deadline. The event loop calls it.
func (d *Dispatch) Expire() {
	if d.tracker.sender.Written(d) {
		d.cancel(honeyplank.TimedOut)
	} else {
		d.cancel(honeyplank.ConnectFailed)
	}
}

// cancel has the sender give the dispatch up and ends it.
func (d *Dispatch) cancel(code honeyplank.Code) {
	if !d.ended {
		d.tracker.sender.Cancel(d)
		d.Finish(code, nil, Feedback{})
	}
}

// Finish gives the dispatch its outcome; calls after the first do nothing. The first outcome of an op that is
// honeyplank.Succeeded answers the op, with data. The module is notified of each outcome.
func (d *Dispatch) Finish(code honeyplank.Code, data []byte, feedback Feedback) {
	if d.ended {
		return
	}
	d.ended = true
	t, o := d.tracker, d.op
	t.loop.Cancel(&d.timer)
	o.outstanding--
	if code == honeyplank.Succeeded && !o.answered {
		t.Counts.Succeeded++
		t.markAnswered(o)
		o.client.Succeeded(data)
	}
	t.removeIfDone(o)
	t.Deliver(d.outcome(code, feedback))
	if o.answered {
		t.cancelUnsent(o)
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
