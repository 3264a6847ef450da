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
	// A command names the time left until its deadline, and may arrive maxHoldUp later. Unsent commands older than
	// maxEncodedAge are encoded again. One that is partly written cannot be: it is withdrawn when it is older than
	// maxPartialAge, since there may be a hold-up before the rest is written.
	maxEncodedAge = 5 * time.Millisecond
	maxPartialAge = 100 * time.Millisecond
)

// serverConn is one connection to a disk server.
type serverConn struct {
	server        *diskServer
	conn          *eventloop.Conn // nil: closed
	connected     bool
	retiring      bool       // takes no more attempts and closes once nobody waits for those in flight
	inFlight      []*attempt // in the order written, which is that of the answers
	reader        resp.Reader
	appendedBytes uint64        // bytes ever appended to the output, less the withdrawn ones
	finalWritten  uint64        // writtenBytes at the close
	idleSince     time.Duration // when inFlight became empty
	idleLinks     idleLinks
	connectTimer  *eventloop.Timer
}

var (
	errConnectTimeout = errors.New("connect timeout")
	errUnexpectedData = errors.New("unexpected data: no command is in flight")
	errServerClosed   = errors.New("closed by the disk server")
)

// writtenBytes is how many bytes the kernel has taken, as a position in the output. It stays valid after the close:
// while the outcomes of the attempts in flight are reported one by one, the tracker calls Written for others.
func (sc *serverConn) writtenBytes() uint64 {
	if sc.conn == nil {
		return sc.finalWritten
	}
	return sc.appendedBytes - uint64(sc.conn.UnsentBytes())
}

// Opened is called when the connection is open: it takes waiting attempts.
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

// takesWaiter reports whether a new connection takes one more waiting attempt: the first, and others for which no
// connection is being opened.
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

// refreshDeadlines is called before output is written. It encodes old commands again, which a disk server that does
// not read, or a hold-up, has delayed, and withdraws a partly written one if the time that it names is too
// inaccurate.
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

// reencodeUnsent encodes the commands of attempts of which nothing is written again, if they are too old.
func (sc *serverConn) reencodeUnsent(unsent []*attempt, now time.Duration) {
	if len(unsent) == 0 || now-unsent[0].encodedAt <= maxEncodedAge {
		return
	}
	if slices.ContainsFunc(unsent, (*attempt).abandoned) { // its command is released, and about to be withdrawn
		return
	}
	start := unsent[0].firstByte
	sc.conn.DiscardUnsent(int(start-sc.writtenBytes()), sc.conn.UnsentBytes())
	sc.appendedBytes = start
	for _, a := range unsent {
		sc.encode(a)
	}
}

// withdraw takes back an attempt whose last byte is not written, so that its command never arrives completely. It
// guards against commands that run although they were reported as not sent, once the disk server resumes reading.
func (sc *serverConn) withdraw(a *attempt) {
	if a.firstByte >= sc.writtenBytes() {
		sc.withdrawUnsent(a)
	} else {
		sc.withdrawPartial(a)
	}
}

// withdrawUnsent takes back an attempt of which nothing is written; the others stay.
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

// withdrawPartial takes back an attempt of which a part is written. The connection must not be written to any more,
// and the attempts behind it move to other connections.
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

// closeIfAbandoned closes a retiring connection if nobody waits for the attempts in flight.
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

// failWith closes the connection for an error and fails the attempts in flight.
func (sc *serverConn) failWith(err error) {
	sc.logClose(err)
	sc.failInFlight()
}

// failMalformed closes the connection for a malformed answer. The command that it answers may have run, and so may
// those behind it.
func (sc *serverConn) failMalformed(err error) {
	inFlight := sc.inFlight
	sc.logClose(err)
	sc.close()
	inFlight[0].fail(honeyplank.Failed)
	for _, a := range inFlight[1:] {
		a.fail(honeyplank.Reset)
	}
}

// failInFlight closes the connection and fails the attempts in flight: commands that are written may have run.
func (sc *serverConn) failInFlight() {
	inFlight, connected := sc.inFlight, sc.connected
	codes := make([]honeyplank.Code, len(inFlight)) // computed before the close, which ends the count of written bytes
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

// logClose logs why the connection closes.
func (sc *serverConn) logClose(err error) {
	sc.server.scheduler.log.Debug().
		Str("server", string(sc.server.id)).
		Err(err).
		Int("in_flight", len(sc.inFlight)).
		Msg("connection to disk server closed")
}

// close closes the connection and removes it from its server, without an outcome for the attempts in flight.
// Unacknowledged bytes are discarded by a reset: it guards against commands that arrive after their attempts have
// failed, once a disk server that hangs reads on or a broken network recovers.
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
