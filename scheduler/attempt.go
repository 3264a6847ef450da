package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
)

// attempt is one transmission of a command to a disk server, for a dispatch or for a health check.
type attempt struct {
	dispatch  *inflight.Dispatch // nil for a health check
	server    *diskServer
	conn      *serverConn // nil while it waits for a connection
	started   time.Duration
	encodedAt time.Duration    // time at which its command was encoded
	firstByte uint64           // position of its first byte in the output of the connection
	endByte   uint64           // position after its last byte
	finished  bool             // its outcome has been reported, or is no longer awaited
	timer     *eventloop.Timer // the timeout of a health check
}

// sender implements inflight.Sender: it sends the dispatches of the tracker. The SenderState of a dispatch holds its
// attempt.
type sender struct{ *Scheduler }

// Send starts the attempt of a dispatch.
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

// Written reports whether the kernel has accepted all bytes of a dispatch's command.
func (s sender) Written(d *inflight.Dispatch) bool {
	a, _ := d.SenderState.(*attempt)
	return a != nil && a.fullyWritten()
}

// Abandon keeps a written command from arriving if the kernel of the disk server has not acknowledged it: the local
// kernel would send it when the server reads again, however late. The connection is reset. If other attempts on it
// await an answer, it is reset only if the command is not acknowledged within abandonGrace.
func (s sender) Abandon(d *inflight.Dispatch) {
	a, _ := d.SenderState.(*attempt)
	if a == nil || a.acknowledged() {
		return
	}
	s.abandonedUnacked++
	if a.conn.awaitsOthers(a) {
		a.conn.resetUnlessAcknowledged(a)
	} else {
		d.Cancel()
	}
}

// Cancel ends the attempt of a dispatch without reporting an outcome.
func (s sender) Cancel(d *inflight.Dispatch) {
	if a, _ := d.SenderState.(*attempt); a != nil {
		a.cancel()
	}
}

// fullyWritten reports whether the kernel has accepted all bytes of the command.
func (a *attempt) fullyWritten() bool {
	sc := a.conn
	return sc != nil && sc.connected && a.endByte <= sc.writtenBytes()
}

// acknowledged reports whether the command can no longer be kept from arriving: the kernel of the disk server has
// acknowledged all its bytes, or the connection is closed. A command that is not acknowledged may have arrived too.
func (a *attempt) acknowledged() bool {
	sc := a.conn
	if sc == nil || sc.conn == nil {
		return true
	}
	return a.endByte <= sc.appendedBytes-uint64(sc.conn.UnackedBytes())
}

// abandoned reports whether the answer is no longer awaited.
func (a *attempt) abandoned() bool {
	return a.finished || a.dispatch != nil && a.dispatch.Abandoned()
}

// cancel ends the wait for an answer. If the command has not been fully written, it is withdrawn. If it has been, the
// connection takes no more attempts, and closes once no attempt on it awaits an answer. The close allows the disk
// server to drop the command. Until then the command is kept from arriving as in Abandon.
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
		if sc.closeIfAbandoned(); !a.acknowledged() {
			sc.resetUnlessAcknowledged(a)
		}
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
