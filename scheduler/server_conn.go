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
	sv := s.servers[d.Server]
	if sv == nil {
		d.Finish(honeyplank.NotSent, nil, inflight.Feedback{})
		return
	}
	e := &attempt{dispatch: d, server: sv, started: s.loop.Now()}
	d.SenderState = e
	sv.assignConn(e)
}

func (s sender) Written(d *inflight.Dispatch) bool {
	e, _ := d.SenderState.(*attempt)
	return e != nil && e.fullyWritten()
}

func (s sender) Cancel(d *inflight.Dispatch) {
	if e, _ := d.SenderState.(*attempt); e != nil {
		e.cancel()
	}
}

func (e *attempt) fullyWritten() bool {
	l := e.conn
	return l != nil && l.connected && e.endByte <= l.appendedBytes-uint64(l.conn.UnsentBytes())
}

// cancel ends the wait for an answer. What has not left is taken back; a connection that carries nothing else closes,
// which tells the server.
func (e *attempt) cancel() {
	written := e.fullyWritten()
	e.finished = true
	l := e.conn
	switch {
	case l == nil:
		e.server.removeWaiter(e)
		return
	case l.conn == nil:
		return
	case !written:
		l.withdraw(e)
		return
	}
	l.retiring = true
	l.closeIfAbandoned()
}

// withdraw has an entry whose last byte has not left never arrive. It guards against commands that run although they
// were told as never sent, once the other end reads on.
func (l *serverConn) withdraw(e *attempt) {
	i := slices.Index(l.inFlight, e)
	behind := slices.Clone(l.inFlight[i+1:])
	gone := l.appendedBytes - uint64(l.conn.UnsentBytes())
	if n := e.endByte - e.firstByte; e.firstByte >= gone { // none of it has left
		l.conn.DiscardUnsent(int(e.firstByte-gone), int(e.endByte-gone))
		l.appendedBytes -= n
		for _, x := range behind {
			x.firstByte, x.endByte = x.firstByte-n, x.endByte-n
		}
		if l.inFlight = append(l.inFlight[:i], behind...); len(l.inFlight) > 0 {
			l.closeIfAbandoned()
		} else if l.retiring {
			l.close()
		} else {
			l.inFlight = nil
			l.markIdle()
		}
		return
	}
	// A part has: nothing more may follow, and what is behind goes elsewhere.
	l.retiring = true
	l.conn.DiscardUnsent(0, l.conn.UnsentBytes())
	l.appendedBytes, l.inFlight = gone, l.inFlight[:i]
	l.closeIfAbandoned()
	for _, x := range behind {
		if x.conn = nil; !x.finished {
			l.server.assignConn(x)
		}
	}
}

// closeIfAbandoned closes a connection that takes nothing new once nobody waits for what it carries.
func (l *serverConn) closeIfAbandoned() {
	if !l.retiring {
		return
	}
	for _, x := range l.inFlight {
		if !x.finished {
			return
		}
	}
	l.close()
}

// end tells how a dispatch or probe ended, once.
func (e *attempt) finish(code honeyplank.Code, data []byte, told inflight.Feedback) {
	if e.finished {
		return
	}
	e.finished = true
	s := e.server.scheduler
	if e.dispatch != nil {
		e.dispatch.Finish(code, data, told)
		return
	}
	s.loop.Cancel(e.timer)
	s.tracker.Deliver(honeyplank.ProbeResult{Server: e.server.id, Code: code, Elapsed: s.loop.Now() - e.started, Load: told.Load})
}

var (
	errConnectTimeout = errors.New("the connection does not come up")
	errUnexpectedData = errors.New("more has come than was asked for")
)

// markIdle puts a connection that carries nothing among the idle ones.
func (l *serverConn) markIdle() {
	l.idleSince = l.server.scheduler.loop.Now()
	l.server.idle = append(l.server.idle, l)
	l.server.scheduleWaiters()
}

func (l *serverConn) send(e *attempt) {
	l.encode(e)
	e.conn = l
	l.inFlight = append(l.inFlight, e)
	l.conn.Send()
}

// encode appends the bytes of an entry, with the time that is left to it now.
func (l *serverConn) encode(e *attempt) {
	e.encodedAt = l.server.scheduler.loop.Now()
	before := len(l.conn.Out)
	e.firstByte = l.appendedBytes
	if e.dispatch == nil {
		l.conn.Out = resp.AppendCommand(l.conn.Out, []byte("INFO"), []byte("load"))
	} else {
		l.conn.Out = e.dispatch.Client().(*request).appendCommand(l.conn.Out, e.dispatch.Deadline-e.encodedAt)
	}
	l.appendedBytes += uint64(len(l.conn.Out) - before)
	e.endByte = l.appendedBytes
}

// refreshDeadlines tells anew the time that is left, before bytes are written that were made some time ago: a server that does not
// read, or a hold-up, may have kept them. One of which a part has left already, and whose time is wrong by too much, never
// arrives whole.
func (l *serverConn) refreshDeadlines() {
	now := l.server.scheduler.loop.Now()
	gone := l.appendedBytes - uint64(l.conn.UnsentBytes())
	i := 0
	for i < len(l.inFlight) && l.inFlight[i].firstByte < gone {
		i++
	}
	if i > 0 {
		if e := l.inFlight[i-1]; e.endByte > gone && now-e.encodedAt > maxPartialAge && !e.finished {
			l.withdraw(e)
			e.finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
			return
		}
	}
	if i == len(l.inFlight) || now-l.inFlight[i].encodedAt <= maxEncodedAge {
		return
	}
	for _, e := range l.inFlight[i:] {
		if e.finished || e.dispatch != nil && e.dispatch.Abandoned() { // it is about to be taken back, and its command is no longer held
			return
		}
	}
	l.conn.DiscardUnsent(int(l.inFlight[i].firstByte-gone), l.conn.UnsentBytes())
	l.appendedBytes = l.inFlight[i].firstByte
	for _, e := range l.inFlight[i:] {
		l.encode(e)
	}
}

func (l *serverConn) Opened(*eventloop.Conn) {
	l.server.scheduler.loop.Cancel(l.connectTimer)
	l.connected = true
	sv := l.server
	sv.dialing--
	for len(sv.waiting) > 0 && (len(l.inFlight) == 0 || len(sv.waiting) > sv.dialing && len(l.inFlight) < sv.scheduler.settings().Streams) {
		e := sv.waiting[0]
		sv.waiting = sv.waiting[1:]
		l.send(e)
	}
	sv.scheduleWaiters()
	if len(l.inFlight) == 0 {
		l.markIdle()
	}
}

// failMalformed ends a connection on which what came can't be read: the answer that was due may have run.
func (l *serverConn) failMalformed(err error) {
	e := l.inFlight[0]
	rest := l.inFlight[1:]
	l.logEnd(err)
	l.close()
	e.finish(honeyplank.Failed, nil, inflight.Feedback{})
	for _, x := range rest {
		x.finish(honeyplank.Reset, nil, inflight.Feedback{})
	}
}

// failWith ends a connection and what it carries.
func (l *serverConn) failWith(err error) {
	l.logEnd(err)
	l.failInFlight()
}

func (l *serverConn) logEnd(err error) {
	l.server.scheduler.log.Debug().Str("osd", string(l.server.id)).Err(err).Int("out", len(l.inFlight)).Msg("connection ended")
}

// Closed is told that the connection broke, ended or never came up.
func (l *serverConn) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errors.New("the disk server ended it")
	}
	if len(l.inFlight) > 0 || !l.connected {
		l.logEnd(err)
	}
	l.failInFlight()
}

func (l *serverConn) failInFlight() {
	sv, out, up := l.server, l.inFlight, l.connected
	codes := make([]honeyplank.Code, len(out))
	for i, e := range out {
		if codes[i] = honeyplank.ConnectFailed; e.fullyWritten() {
			codes[i] = honeyplank.Reset
		}
	}
	l.close()
	for i, e := range out {
		e.finish(codes[i], nil, inflight.Feedback{})
	}
	// Each waits for a connection of its own while descriptors last. Past that several wait for one, and with the last
	// one that is being opened all of them have failed: they would wait for their op timeouts else.
	for n := 0; !up && len(sv.waiting) > sv.dialing && (n == 0 || sv.dialing == 0 && len(sv.idle) == 0); n++ {
		e := sv.waiting[0]
		sv.waiting = sv.waiting[1:]
		e.finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
	}
}

// close ends the connection and takes it off the books; what it carries is not told. Bytes that the disk server's system
// has not taken yet go with it: it guards against commands that arrive after they were given up, once a server that hangs
// reads on, or a network that was cut is back.
func (l *serverConn) close() {
	sv := l.server
	if l.conn == nil {
		return
	}
	sv.scheduler.loop.Cancel(l.connectTimer)
	if l.conn.UnackedBytes() > 0 {
		l.conn.Abort()
	} else {
		l.conn.Close()
	}
	if !l.connected {
		sv.dialing--
	}
	l.conn, l.inFlight = nil, nil
	sv.conns = without(sv.conns, l)
	sv.idle = without(sv.idle, l)
	sv.scheduleWaiters()
	if sv.removed && len(sv.conns) == 0 && sv.scheduler.servers[sv.id] == sv {
		delete(sv.scheduler.servers, sv.id)
	}
}

func without(list []*serverConn, l *serverConn) []*serverConn {
	for i, x := range list {
		if x == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
