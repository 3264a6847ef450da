package scheduler

import (
	"errors"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/resp"
)

const (
	// A command contains the time that is left until its deadline when it is encoded. It may arrive maxProcessPause
	// later. Unsent commands older than maxEncodedAge are encoded again. A partly written command cannot be encoded
	// again. It is withdrawn when it is older than maxPartialAge, since the process may pause before it writes the
	// rest.
	maxEncodedAge = 5 * time.Millisecond
	maxPartialAge = 100 * time.Millisecond
	// abandonGrace is the time for which a connection that several attempts share waits for the acknowledgement of a
	// command that is no longer needed. An op counts as lost if it begins over 100 ms after its client has gone.
	abandonGrace = 50 * time.Millisecond
)

// serverConn is one connection to a disk server.
type serverConn struct {
	server        *diskServer
	conn          *eventloop.Conn // nil after the close
	connected     bool
	retiring      bool       // takes no more attempts, and closes once none in flight awaits an answer
	inFlight      []*attempt // in the order of their commands, in which the answers arrive
	reader        resp.Reader
	appendedBytes uint64        // total bytes appended to the output, without the withdrawn ones
	finalWritten  uint64        // writtenBytes at the close
	idleSince     time.Duration // time at which inFlight became empty
	idleLinks     idleLinks
	connectTimer  *eventloop.Timer
}

var (
	errConnectTimeout = errors.New("connect timeout")
	errUnexpectedData = errors.New("unexpected data: no command is in flight")
	errServerClosed   = errors.New("closed by the disk server")
	errAbandonedData  = errors.New("a command that is no longer needed is not acknowledged")
)

// writtenBytes returns the number of bytes that the kernel has accepted, as a position in the output. The value stays
// valid after the close: while the outcomes of the attempts in flight are reported one by one, the tracker calls
// Written for others.
func (sc *serverConn) writtenBytes() uint64 {
	if sc.conn == nil {
		return sc.finalWritten
	}
	return sc.appendedBytes - uint64(sc.conn.UnsentBytes())
}

// Opened is called when the connection is open. It sends waiting attempts on the connection.
func (sc *serverConn) Opened(*eventloop.Conn) {
	ds := sc.server
	ds.scheduler.loop.Cancel(sc.connectTimer)
	sc.connected = true
	ds.dialing--
	for len(ds.waiting) > 0 && sc.takesWaiter() {
		sc.send(ds.nextWaiter())
	}
	ds.scheduleWaiters()
	if len(sc.inFlight) == 0 {
		sc.markIdle()
	}
}

// takesWaiter reports whether a new connection takes one more waiting attempt. It takes the first one, and others for
// which no connection is being opened.
func (sc *serverConn) takesWaiter() bool {
	ds := sc.server
	mayShare := len(ds.waiting) > ds.dialing && len(sc.inFlight) < ds.scheduler.site().StreamsPerConn
	return len(sc.inFlight) == 0 || mayShare
}

// send writes the command of an attempt.
func (sc *serverConn) send(a *attempt) {
	sc.encode(a)
	a.conn = sc
	sc.inFlight = append(sc.inFlight, a)
	sc.conn.Send()
}

// encode appends the command of an attempt to the output, with the time that is left until its deadline.
func (sc *serverConn) encode(a *attempt) {
	a.encodedAt = sc.server.scheduler.loop.Now()
	before := len(sc.conn.Output)
	a.firstByte = sc.appendedBytes
	if a.dispatch == nil {
		sc.conn.Output = resp.AppendCommand(sc.conn.Output, []byte("INFO"), []byte("load"))
	} else {
		sc.conn.Output = a.dispatch.Client().(*request).appendCommand(sc.conn.Output, a.dispatch.Deadline-a.encodedAt)
	}
	sc.appendedBytes += uint64(len(sc.conn.Output) - before)
	a.endByte = sc.appendedBytes
}

// refreshDeadlines is called before output is written. It encodes commands again that were delayed by a process pause
// or by a disk server that does not read. If the remaining time in a partly written command is too inaccurate, it
// withdraws the command.
func (sc *serverConn) refreshDeadlines() {
	now := sc.server.scheduler.loop.Now()
	written := sc.writtenBytes()
	firstUnsent := 0
	for firstUnsent < len(sc.inFlight) && sc.inFlight[firstUnsent].firstByte < written {
		firstUnsent++
	}
	if firstUnsent > 0 {
		a := sc.inFlight[firstUnsent-1]
		if a.endByte > written && now-a.encodedAt > maxPartialAge && !a.finished {
			sc.withdraw(a)
			a.fail(honeyplank.ConnectFailed)
			return
		}
	}
	sc.reencodeUnsent(sc.inFlight[firstUnsent:], now)
}

// reencodeUnsent encodes the commands of attempts again if they are too old. No byte of them has been written.
func (sc *serverConn) reencodeUnsent(unsent []*attempt, now time.Duration) {
	if len(unsent) == 0 || now-unsent[0].encodedAt <= maxEncodedAge {
		return
	}
	if slices.ContainsFunc(unsent, (*attempt).abandoned) { // its request has released its args; it is withdrawn next
		return
	}
	start := unsent[0].firstByte
	sc.conn.DiscardUnsent(int(start-sc.writtenBytes()), sc.conn.UnsentBytes())
	sc.appendedBytes = start
	for _, a := range unsent {
		sc.encode(a)
	}
}

// withdraw removes an attempt whose last byte has not been written, so that its command never arrives completely.
// Without this, a command that was reported as not sent could run once the disk server resumes reading.
func (sc *serverConn) withdraw(a *attempt) {
	if a.firstByte >= sc.writtenBytes() {
		sc.withdrawUnsent(a)
	} else {
		sc.withdrawPartial(a)
	}
}

// withdrawUnsent removes an attempt of which nothing has been written. The other attempts stay.
func (sc *serverConn) withdrawUnsent(a *attempt) {
	written, size := sc.writtenBytes(), a.endByte-a.firstByte
	sc.conn.DiscardUnsent(int(a.firstByte-written), int(a.endByte-written))
	sc.appendedBytes -= size
	i := slices.Index(sc.inFlight, a)
	sc.inFlight = slices.Delete(sc.inFlight, i, i+1)
	for _, behind := range sc.inFlight[i:] {
		behind.firstByte -= size
		behind.endByte -= size
	}
	if len(sc.inFlight) > 0 {
		sc.closeIfAbandoned()
	} else {
		sc.release()
	}
}

// withdrawPartial removes an attempt of which a part has been written. The connection must not be written to any more,
// so the attempts after it move to other connections.
func (sc *serverConn) withdrawPartial(a *attempt) {
	i := slices.Index(sc.inFlight, a)
	behind := slices.Clone(sc.inFlight[i+1:])
	sc.retiring = true
	written := sc.writtenBytes()
	sc.conn.DiscardUnsent(0, sc.conn.UnsentBytes())
	sc.appendedBytes, sc.inFlight = written, sc.inFlight[:i]
	sc.closeIfAbandoned()
	for _, next := range behind {
		if next.conn = nil; !next.finished {
			sc.server.assignConn(next)
		}
	}
}

// release is called when nothing is in flight any more.
func (sc *serverConn) release() {
	sc.inFlight = nil
	if sc.retiring {
		sc.close()
	} else {
		sc.markIdle()
	}
}

// markIdle adds the connection to the idle ones.
func (sc *serverConn) markIdle() {
	ds := sc.server
	sc.idleSince = ds.scheduler.loop.Now()
	ds.idle = append(ds.idle, sc)
	ds.scheduler.idleServerConns.pushBack(sc)
	ds.scheduleWaiters()
}

// closeIfAbandoned closes a retiring connection if no attempt in flight awaits an answer.
func (sc *serverConn) closeIfAbandoned() {
	if !sc.retiring {
		return
	}
	for _, a := range sc.inFlight {
		if !a.finished {
			return
		}
	}
	sc.close()
}

// awaitsOthers reports whether an attempt other than a awaits its outcome on the connection.
func (sc *serverConn) awaitsOthers(a *attempt) bool {
	return slices.ContainsFunc(sc.inFlight, func(other *attempt) bool { return other != a && !other.finished })
}

// resetUnlessAcknowledged resets the connection after abandonGrace if the kernel of the disk server has not
// acknowledged the command of an attempt by then. The other attempts in flight fail; those that may have run are
// reported as reset.
func (sc *serverConn) resetUnlessAcknowledged(a *attempt) {
	loop := sc.server.scheduler.loop
	loop.Schedule(loop.Now()+abandonGrace, func() {
		if a.conn != sc || a.acknowledged() {
			return
		}
		sc.retiring = true
		a.fail(honeyplank.Cancelled)
		if sc.conn != nil {
			sc.failWith(errAbandonedData)
		}
	})
}

// Closed is called when the connection broke, was closed by the disk server or could not be opened.
func (sc *serverConn) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errServerClosed
	}
	if len(sc.inFlight) > 0 || !sc.connected {
		sc.logClose(err)
	}
	sc.failInFlight()
}

// failWith closes the connection because of an error and fails the attempts in flight.
func (sc *serverConn) failWith(err error) {
	sc.logClose(err)
	sc.failInFlight()
}

// failMalformed closes the connection because of a malformed answer. The command of that answer may have run, and so
// may the commands after it.
func (sc *serverConn) failMalformed(err error) {
	inFlight := sc.inFlight
	sc.logClose(err)
	sc.close()
	inFlight[0].fail(honeyplank.Failed)
	for _, a := range inFlight[1:] {
		a.fail(honeyplank.Reset)
	}
}

// failInFlight closes the connection and fails the attempts in flight. Fully written commands may have run.
func (sc *serverConn) failInFlight() {
	inFlight, connected := sc.inFlight, sc.connected
	codes := make([]honeyplank.Code, len(inFlight)) // by the bytes that are written before the close
	for i, a := range inFlight {
		if codes[i] = honeyplank.ConnectFailed; a.fullyWritten() {
			codes[i] = honeyplank.Reset
		}
	}
	sc.close()
	for i, a := range inFlight {
		a.fail(codes[i])
	}
	if !connected {
		sc.server.failWaiters()
	}
}

// logClose logs the reason for which the connection closes.
func (sc *serverConn) logClose(err error) {
	sc.server.scheduler.log.Debug().
		Str("server", string(sc.server.id)).
		Err(err).
		Int("in_flight", len(sc.inFlight)).
		Msg("connection to disk server closed")
}

// close closes the connection and removes it from its server, without reporting an outcome for the attempts in flight.
// If some bytes are unacknowledged, it resets the connection to discard them. Without the reset, commands could arrive
// after their attempts have failed, when a hanging disk server reads again or a broken network recovers.
func (sc *serverConn) close() {
	if sc.conn == nil {
		return
	}
	ds, s := sc.server, sc.server.scheduler
	s.loop.Cancel(sc.connectTimer)
	sc.finalWritten = sc.writtenBytes()
	if sc.conn.UnackedBytes() > 0 {
		sc.conn.Abort()
	} else {
		sc.conn.Close()
	}
	if !sc.connected {
		ds.dialing--
	}
	sc.conn, sc.inFlight = nil, nil
	ds.conns = removeConn(ds.conns, sc)
	ds.idle = removeConn(ds.idle, sc)
	s.idleServerConns.remove(sc)
	ds.scheduleWaiters()
	if ds.removed && len(ds.conns) == 0 && s.servers[ds.id] == ds {
		delete(s.servers, ds.id)
	}
}

// removeConn removes a connection from a list.
func removeConn(conns []*serverConn, sc *serverConn) []*serverConn {
	if i := slices.Index(conns, sc); i >= 0 {
		return slices.Delete(conns, i, i+1)
	}
	return conns
}
