package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
)

// attempt is one sending of a command to a disk server: that of a dispatch or of a health check.
type attempt struct {
	dispatch  *inflight.Dispatch // nil: a health check
	server    *diskServer
	conn      *serverConn // nil: it waits for a connection
	started   time.Duration
	encodedAt time.Duration    // when its command was encoded
	firstByte uint64           // position of its first byte in the output of the connection
	endByte   uint64           // position behind its last byte
	finished  bool             // its outcome is reported, or nobody waits for it
	timer     *eventloop.Timer // the timeout of a health check
}

// sender sends the dispatches of the tracker, as its inflight.Sender. SenderState of each holds its attempt.
type sender struct{ *Scheduler }

// Send begins the attempt of a dispatch.
func (s sender) Send(d *inflight.Dispatch) {
	ds := s.servers[d.Server]
	if ds == nil {
		d.Finish(honeyplank.NotSent, nil, inflight.Feedback{})
		return
	}
	a := &attempt{dispatch: d, server: ds, started: s.loop.Now()}
	d.SenderState = a
	ds.assignConn(a)
}

// Written reports whether the kernel has taken all bytes of a dispatch.
func (s sender) Written(d *inflight.Dispatch) bool {
	a, _ := d.SenderState.(*attempt)
	return a != nil && a.fullyWritten()
}

// Cancel ends the attempt of a dispatch without an outcome.
func (s sender) Cancel(d *inflight.Dispatch) {
	if a, _ := d.SenderState.(*attempt); a != nil {
		a.cancel()
	}
}

// fullyWritten reports whether the kernel has taken all bytes of the command.
func (a *attempt) fullyWritten() bool {
	sc := a.conn
	return sc != nil && sc.connected && a.endByte <= sc.writtenBytes()
}

// abandoned reports whether nobody waits for the answer any more.
func (a *attempt) abandoned() bool {
	return a.finished || a.dispatch != nil && a.dispatch.Abandoned()
}

// cancel ends the wait for an answer. An unwritten command is withdrawn. A connection with nothing else in flight
// closes, which lets the disk server drop the command.
func (a *attempt) cancel() {
	written := a.fullyWritten()
	a.finished = true
	sc := a.conn
	switch {
	case sc == nil:
		a.server.removeWaiter(a)
	case sc.conn == nil: // closed
	case !written:
		sc.withdraw(a)
	default:
		sc.retiring = true
		sc.closeIfAbandoned()
	}
}

// finish reports the outcome of the dispatch or health check, once.
func (a *attempt) finish(code honeyplank.Code, data []byte, feedback inflight.Feedback) {
	if a.finished {
		return
	}
	a.finished = true
	if a.dispatch != nil {
		a.dispatch.Finish(code, data, feedback)
		return
	}
	s := a.server.scheduler
	s.loop.Cancel(a.timer)
	s.tracker.Deliver(honeyplank.HealthCheckResult{
		Server:  a.server.id,
		Code:    code,
		Elapsed: s.loop.Now() - a.started,
		Load:    feedback.Load,
	})
}

// fail reports an outcome without an answer.
func (a *attempt) fail(code honeyplank.Code) { a.finish(code, nil, inflight.Feedback{}) }
