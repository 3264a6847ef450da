package scheduler

import (
	"errors"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
	"honeyplank/resp"
)

const (
	// A disk server may be told 0.15 s more than a client has left. Bytes that are older than fresh are made anew; those of
	// a command of which a part has left can't be, and are kept back when they are older than maxPartialAge: a hold-up may
	// come on top.
	maxEncodedAge = 5 * time.Millisecond
	maxPartialAge = 100 * time.Millisecond
)

// serverConn is one connection to a disk server.
type serverConn struct {
	server        *diskServer
	conn          *eventloop.Conn
	connected     bool
	retiring      bool       // takes nothing new and closes after what is out
	inFlight      []*attempt // in the order written
	reader        resp.Reader
	appendedBytes uint64 // bytes ever appended
	idleSince     time.Duration
	idleLinks     idleLinks
	connectTimer  *eventloop.Timer
}

// attempt is a dispatch, or a probe, on its way.
type attempt struct {
	dispatch  *inflight.Dispatch // nil: a probe
	server    *diskServer
	conn      *serverConn // nil: it waits for a connection
	started   time.Duration
	encodedAt time.Duration // when its bytes were made
	firstByte uint64        // where its bytes on the link begin,
	endByte   uint64        // and end
	finished  bool          // given up: its answer is nobody's
	timer     *eventloop.Timer
}

// sender carries the dispatches of the books, each with its entry for Link.
type sender struct{ *Scheduler }

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

func (s sender) Written(d *inflight.Dispatch) bool {
	a, _ := d.SenderState.(*attempt)
	return a != nil && a.fullyWritten()
}

func (s sender) Cancel(d *inflight.Dispatch) {
	if a, _ := d.SenderState.(*attempt); a != nil {
		a.cancel()
	}
}

func (a *attempt) fullyWritten() bool {
	sc := a.conn
	return sc != nil && sc.connected && a.endByte <= sc.appendedBytes-uint64(sc.conn.UnsentBytes())
}

// cancel ends the wait for an answer. What has not left is taken back; a connection that carries nothing else closes,
// which tells the server.
func (a *attempt) cancel() {
	written := a.fullyWritten()
	a.finished = true
	sc := a.conn
	switch {
	case sc == nil:
		a.server.removeWaiter(a)
		return
	case sc.conn == nil:
		return
	case !written:
		sc.withdraw(a)
		return
	}
	sc.retiring = true
	sc.closeIfAbandoned()
}

// withdraw has an entry whose last byte has not left never arrive. It guards against commands that run although they
// were told as never sent, once the other end reads on.
func (sc *serverConn) withdraw(a *attempt) {
	i := slices.Index(sc.inFlight, a)
	behind := slices.Clone(sc.inFlight[i+1:])
	gone := sc.appendedBytes - uint64(sc.conn.UnsentBytes())
	if n := a.endByte - a.firstByte; a.firstByte >= gone { // none of it has left
		sc.conn.DiscardUnsent(int(a.firstByte-gone), int(a.endByte-gone))
		sc.appendedBytes -= n
		for _, a := range behind {
			a.firstByte, a.endByte = a.firstByte-n, a.endByte-n
		}
		if sc.inFlight = append(sc.inFlight[:i], behind...); len(sc.inFlight) > 0 {
			sc.closeIfAbandoned()
		} else if sc.retiring {
			sc.close()
		} else {
			sc.inFlight = nil
			sc.markIdle()
		}
		return
	}
	// A part has: nothing more may follow, and what is behind goes elsewhere.
	sc.retiring = true
	sc.conn.DiscardUnsent(0, sc.conn.UnsentBytes())
	sc.appendedBytes, sc.inFlight = gone, sc.inFlight[:i]
	sc.closeIfAbandoned()
	for _, a := range behind {
		if a.conn = nil; !a.finished {
			sc.server.assignConn(a)
		}
	}
}

// closeIfAbandoned closes a connection that takes nothing new once nobody waits for what it carries.
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

// end tells how a dispatch or probe ended, once.
func (a *attempt) finish(code honeyplank.Code, data []byte, told inflight.Feedback) {
	if a.finished {
		return
	}
	a.finished = true
	s := a.server.scheduler
	if a.dispatch != nil {
		a.dispatch.Finish(code, data, told)
		return
	}
	s.loop.Cancel(a.timer)
	s.tracker.Deliver(honeyplank.ProbeResult{Server: a.server.id, Code: code, Elapsed: s.loop.Now() - a.started, Load: told.Load})
}

var (
	errConnectTimeout = errors.New("the connection does not come up")
	errUnexpectedData = errors.New("more has come than was asked for")
)

// markIdle puts a connection that carries nothing among the idle ones.
func (sc *serverConn) markIdle() {
	sc.idleSince = sc.server.scheduler.loop.Now()
	sc.server.idle = append(sc.server.idle, sc)
	sc.server.scheduler.idleServerConns.pushBack(sc)
	sc.server.scheduleWaiters()
}

func (sc *serverConn) send(a *attempt) {
	sc.encode(a)
	a.conn = sc
	sc.inFlight = append(sc.inFlight, a)
	sc.conn.Send()
}

// encode appends the bytes of an entry, with the time that is left to it now.
func (sc *serverConn) encode(a *attempt) {
	a.encodedAt = sc.server.scheduler.loop.Now()
	before := len(sc.conn.Out)
	a.firstByte = sc.appendedBytes
	if a.dispatch == nil {
		sc.conn.Out = resp.AppendCommand(sc.conn.Out, []byte("INFO"), []byte("load"))
	} else {
		sc.conn.Out = a.dispatch.Client().(*request).appendCommand(sc.conn.Out, a.dispatch.Deadline-a.encodedAt)
	}
	sc.appendedBytes += uint64(len(sc.conn.Out) - before)
	a.endByte = sc.appendedBytes
}

// refreshDeadlines tells anew the time that is left, before bytes are written that were made some time ago: a server that does not
// read, or a hold-up, may have kept them. One of which a part has left already, and whose time is wrong by too much, never
// arrives whole.
func (sc *serverConn) refreshDeadlines() {
	now := sc.server.scheduler.loop.Now()
	gone := sc.appendedBytes - uint64(sc.conn.UnsentBytes())
	i := 0
	for i < len(sc.inFlight) && sc.inFlight[i].firstByte < gone {
		i++
	}
	if i > 0 {
		if a := sc.inFlight[i-1]; a.endByte > gone && now-a.encodedAt > maxPartialAge && !a.finished {
			sc.withdraw(a)
			a.finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
			return
		}
	}
	if i == len(sc.inFlight) || now-sc.inFlight[i].encodedAt <= maxEncodedAge {
		return
	}
	for _, a := range sc.inFlight[i:] {
		if a.finished || a.dispatch != nil && a.dispatch.Abandoned() { // it is about to be taken back, and its command is no longer held
			return
		}
	}
	sc.conn.DiscardUnsent(int(sc.inFlight[i].firstByte-gone), sc.conn.UnsentBytes())
	sc.appendedBytes = sc.inFlight[i].firstByte
	for _, a := range sc.inFlight[i:] {
		sc.encode(a)
	}
}

func (sc *serverConn) Opened(*eventloop.Conn) {
	sc.server.scheduler.loop.Cancel(sc.connectTimer)
	sc.connected = true
	ds := sc.server
	ds.dialing--
	for len(ds.waiting) > 0 && (len(sc.inFlight) == 0 || len(ds.waiting) > ds.dialing && len(sc.inFlight) < ds.scheduler.site().Streams) {
		a := ds.waiting[0]
		ds.waiting = ds.waiting[1:]
		sc.send(a)
	}
	ds.scheduleWaiters()
	if len(sc.inFlight) == 0 {
		sc.markIdle()
	}
}

// failMalformed ends a connection on which what came can't be read: the answer that was due may have run.
func (sc *serverConn) failMalformed(err error) {
	a := sc.inFlight[0]
	rest := sc.inFlight[1:]
	sc.logEnd(err)
	sc.close()
	a.finish(honeyplank.Failed, nil, inflight.Feedback{})
	for _, a := range rest {
		a.finish(honeyplank.Reset, nil, inflight.Feedback{})
	}
}

// failWith ends a connection and what it carries.
func (sc *serverConn) failWith(err error) {
	sc.logEnd(err)
	sc.failInFlight()
}

func (sc *serverConn) logEnd(err error) {
	sc.server.scheduler.log.Debug().Str("osd", string(sc.server.id)).Err(err).Int("out", len(sc.inFlight)).Msg("connection ended")
}

// Closed is told that the connection broke, ended or never came up.
func (sc *serverConn) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errors.New("the disk server ended it")
	}
	if len(sc.inFlight) > 0 || !sc.connected {
		sc.logEnd(err)
	}
	sc.failInFlight()
}

func (sc *serverConn) failInFlight() {
	ds, out, up := sc.server, sc.inFlight, sc.connected
	codes := make([]honeyplank.Code, len(out))
	for i, a := range out {
		if codes[i] = honeyplank.ConnectFailed; a.fullyWritten() {
			codes[i] = honeyplank.Reset
		}
	}
	sc.close()
	for i, a := range out {
		a.finish(codes[i], nil, inflight.Feedback{})
	}
	// Each waits for a connection of its own while descriptors last. Past that several wait for one, and with the last
	// one that is being opened all of them have failed: they would wait for their op timeouts else.
	for n := 0; !up && len(ds.waiting) > ds.dialing && (n == 0 || ds.dialing == 0 && len(ds.idle) == 0); n++ {
		a := ds.waiting[0]
		ds.waiting = ds.waiting[1:]
		a.finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
	}
}

// close ends the connection and takes it off the books; what it carries is not told. Bytes that the disk server's system
// has not taken yet go with it: it guards against commands that arrive after they were given up, once a server that hangs
// reads on, or a network that was cut is back.
func (sc *serverConn) close() {
	ds := sc.server
	if sc.conn == nil {
		return
	}
	ds.scheduler.loop.Cancel(sc.connectTimer)
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
	ds.scheduler.idleServerConns.remove(sc)
	ds.scheduleWaiters()
	if ds.removed && len(ds.conns) == 0 && ds.scheduler.servers[ds.id] == ds {
		delete(ds.scheduler.servers, ds.id)
	}
}

func without(conns []*serverConn, sc *serverConn) []*serverConn {
	if i := slices.Index(conns, sc); i >= 0 {
		return slices.Delete(conns, i, i+1)
	}
	return conns
}
