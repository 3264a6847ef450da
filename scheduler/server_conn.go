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
	// A command names the time that its client has left, and may be 0.15 s late with it. Unsent bytes older than
	// maxEncodedAge are encoded anew. Those of a command of which a part is written cannot be: it is withdrawn when they
	// are older than maxPartialAge, since there may be a hold-up before the rest is written.
	maxEncodedAge = 5 * time.Millisecond
	maxPartialAge = 100 * time.Millisecond
)

// serverConn is one connection to a disk server.
type serverConn struct {
	server        *diskServer
	conn          *eventloop.Conn // nil: closed
	connected     bool
	retiring      bool       // takes no more attempts and closes once nobody waits for what it carries
	inFlight      []*attempt // in the order written, which is that of the answers
	reader        resp.Reader
	appendedBytes uint64        // bytes ever appended to the output, less those that were withdrawn
	finalWritten  uint64        // writtenBytes at the close
	idleSince     time.Duration // when inFlight became empty
	idleLinks     idleLinks
	connectTimer  *eventloop.Timer
}

var (
	errConnectTimeout = errors.New("the connection does not come up")
	errUnexpectedData = errors.New("more has come than was asked for")
	errServerClosed   = errors.New("the disk server ended it")
)

// writtenBytes is how many bytes the system has taken, as a position in all that was appended. It stays after the close:
// while the outcomes of what the connection carried are reported one by one, the tracker asks for that of others.
func (sc *serverConn) writtenBytes() uint64 {
	if sc.conn == nil {
		return sc.finalWritten
	}
	return sc.appendedBytes - uint64(sc.conn.UnsentBytes())
}

// Opened is called when the connection is up: it takes attempts that wait for one.
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

// takesWaiter reports whether a new connection is to take one more attempt: the first, and others for which no connection
// is being opened.
func (sc *serverConn) takesWaiter() bool {
	ds := sc.server
	return len(sc.inFlight) == 0 || len(ds.waiting) > ds.dialing && len(sc.inFlight) < ds.scheduler.site().StreamsPerConn
}

// send writes the command of an attempt.
func (sc *serverConn) send(a *attempt) {
	sc.encode(a)
	a.conn = sc
	sc.inFlight = append(sc.inFlight, a)
	sc.conn.Send()
}

// encode appends the command of an attempt to the output, with the time that is left to it now.
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

// refreshDeadlines is called before output is written. It encodes commands anew that were encoded some time ago, since a
// disk server that does not read, or a hold-up, may have kept them, and withdraws one that is partly written if the time that
// it names is off by too much.
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
	sc.encodeAgain(sc.inFlight[firstUnsent:], now)
}

// encodeAgain replaces the bytes of attempts of which nothing is written, if they are too old.
func (sc *serverConn) encodeAgain(unsent []*attempt, now time.Duration) {
	if len(unsent) == 0 || now-unsent[0].encodedAt <= maxEncodedAge {
		return
	}
	if slices.ContainsFunc(unsent, (*attempt).abandoned) { // it is about to be withdrawn, and its command is not held any more
		return
	}
	start := unsent[0].firstByte
	sc.conn.DiscardUnsent(int(start-sc.writtenBytes()), sc.conn.UnsentBytes())
	sc.appendedBytes = start
	for _, a := range unsent {
		sc.encode(a)
	}
}

// withdraw takes back an attempt whose last byte is not written, so that its command never arrives whole. It guards against
// commands that run although they were reported as never sent, once the disk server reads on.
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

// withdrawPartial takes back an attempt of which a part is written. Nothing more may be written then, and the attempts
// behind it go to other connections.
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

// release is called when the connection carries nothing any more.
func (sc *serverConn) release() {
	sc.inFlight = nil
	if sc.retiring {
		sc.close()
	} else {
		sc.markIdle()
	}
}

// markIdle puts the connection among the idle ones.
func (sc *serverConn) markIdle() {
	ds := sc.server
	sc.idleSince = ds.scheduler.loop.Now()
	ds.idle = append(ds.idle, sc)
	ds.scheduler.idleServerConns.pushBack(sc)
	ds.scheduleWaiters()
}

// closeIfAbandoned closes a connection that takes no more attempts once nobody waits for those that it carries.
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

// Closed is called when the connection broke, was ended by the disk server or never came up.
func (sc *serverConn) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errServerClosed
	}
	if len(sc.inFlight) > 0 || !sc.connected {
		sc.logEnd(err)
	}
	sc.failInFlight()
}

// failWith closes the connection for an error and fails what it carries.
func (sc *serverConn) failWith(err error) {
	sc.logEnd(err)
	sc.failInFlight()
}

// failMalformed closes the connection for an answer that cannot be read. The command that it is for may have run, and so may
// those behind it.
func (sc *serverConn) failMalformed(err error) {
	inFlight := sc.inFlight
	sc.logEnd(err)
	sc.close()
	inFlight[0].fail(honeyplank.Failed)
	for _, a := range inFlight[1:] {
		a.fail(honeyplank.Reset)
	}
}

// failInFlight closes the connection and fails what it carries: commands that are written may have run.
func (sc *serverConn) failInFlight() {
	inFlight, connected := sc.inFlight, sc.connected
	codes := make([]honeyplank.Code, len(inFlight)) // before the close, which ends the count of written bytes
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

func (sc *serverConn) logEnd(err error) {
	sc.server.scheduler.log.Debug().Str("osd", string(sc.server.id)).Err(err).Int("in_flight", len(sc.inFlight)).Msg("connection ended")
}

// close closes the connection and forgets it, without an outcome for what it carries. Bytes that the disk server's system has
// not taken are dropped by a reset: it guards against commands that arrive after they were given up, once a disk server
// that hangs reads on or a network that was cut is back.
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
	ds.conns = without(ds.conns, sc)
	ds.idle = without(ds.idle, sc)
	s.idleServerConns.remove(sc)
	ds.scheduleWaiters()
	if ds.removed && len(ds.conns) == 0 && s.servers[ds.id] == ds {
		delete(s.servers, ds.id)
	}
}

// without takes a connection out of a list.
func without(conns []*serverConn, sc *serverConn) []*serverConn {
	if i := slices.Index(conns, sc); i >= 0 {
		return slices.Delete(conns, i, i+1)
	}
	return conns
}
