package scheduler

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
	"honeyplank/internal/simwire"
	"honeyplank/resp"
)

// diskServer is the connections to one disk server. An op has a connection of its own while descriptors last, since
// answers come in the order of commands; past that, connections carry several.
type diskServer struct {
	scheduler     *Scheduler
	id            honeyplank.ServerID
	address       string
	removed       bool
	draining      bool
	wakeScheduled bool          // rouse will be called
	conns         []*serverConn // all that are open or being opened, oldest first
	idle          []*serverConn // those that carry nothing, the one that has rested longest first
	waiting       []*attempt
	dialing       int
	redialAfter   time.Duration // no dial before
	redials       int           // that could not even begin, in a row
}

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

const (
	// minConnRest is how long a connection rests before it carries the next op: what comes in the meantime is no
	// answer to that. It guards against servers that answer a second time some milliseconds late (1.2 to 3.9 were met),
	// and costs connections.
	minConnRest = 8 * time.Millisecond
	// After a dial that could not begin the next follows at first after, and later after twice that each time, up to a bound.
	minRedialDelay = 10 * time.Millisecond
	maxRedialDelay = 160 * time.Millisecond
	maxRedialShift = 4
	// maxDialWait is how long a dispatch waits for a dial that can begin.
	maxDialWait = 200 * time.Millisecond
	// A disk server may be told 0.15 s more than a client has left. Bytes that are older than fresh are made anew; those of
	// a command of which a part has left can't be, and are kept back when they are older than maxPartialAge: a hold-up may
	// come on top.
	maxEncodedAge = 5 * time.Millisecond
	maxPartialAge = 100 * time.Millisecond
	// What an answer may have: the longest value of the protocol, and lines.
	maxReplyLine = 4096
	maxValue     = 64 << 10
)

var replyBounds = resp.Limits{Line: maxReplyLine, Bulk: maxValue, Items: 8, Depth: 3, Total: maxValue + 2*maxReplyLine}

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

// ---- Which connection ----

// assignConn writes to a connection that is idle, else opens one, else writes behind others, else waits for one.
func (sv *diskServer) assignConn(e *attempt) {
	if l := sv.takeIdleConn(); l != nil {
		l.send(e)
		return
	}
	if sv.scheduler.loop.Now() >= sv.redialAfter && sv.scheduler.reserveDescriptor() && sv.dial() == nil {
		sv.waiting = append(sv.waiting, e)
		return
	}
	var least *serverConn
	for _, l := range sv.conns {
		if l.connected && !l.retiring && len(l.inFlight) > 0 && len(l.inFlight) < max(sv.scheduler.settings().Streams, 1) && (least == nil || len(l.inFlight) < len(least.inFlight)) {
			least = l
		}
	}
	switch {
	case least != nil:
		least.send(e)
	case sv.dialing > 0 || len(sv.idle) > 0:
		sv.waiting = append(sv.waiting, e)
		sv.scheduleWaiters()
	case e.dispatch != nil && sv.scheduler.loop.Now() < sv.redialAfter && sv.redialAfter <= min(e.started+maxDialWait, e.dispatch.Deadline):
		sv.waiting = append(sv.waiting, e)
	default: // no descriptor is to be had, which tells nothing of the server
		e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
}

// takeIdleConn takes the idle connection that has rested longest, where it has for long enough and nothing has come
// on it since.
func (sv *diskServer) takeIdleConn() *serverConn {
	for len(sv.idle) > 0 {
		l := sv.idle[0]
		if sv.scheduler.loop.Now()-l.idleSince < minConnRest {
			return nil
		}
		sv.idle = sv.idle[1:]
		if l.conn.NoInputPending() {
			return l
		}
		l.close()
	}
	return nil
}

// scheduleWaiters has those that wait for a connection looked at again: once the idle one that has rested longest has rested for
// long enough, or where none is idle and none being opened at once.
func (sv *diskServer) scheduleWaiters() {
	if sv.wakeScheduled || len(sv.waiting) == 0 || sv.dialing > 0 && len(sv.idle) == 0 {
		return
	}
	at := sv.scheduler.loop.Now()
	if len(sv.idle) == 0 && at < sv.redialAfter { // redial comes
		return
	}
	if len(sv.idle) > 0 {
		at = sv.idle[0].idleSince + minConnRest
	}
	sv.wakeScheduled = true
	sv.scheduler.loop.Schedule(at, func() {
		sv.wakeScheduled = false
		for len(sv.waiting) > 0 { // one that has come free is as good as one that is still to come up
			l := sv.takeIdleConn()
			if l == nil {
				break
			}
			e := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			l.send(e)
		}
		if sv.dialing == 0 && len(sv.idle) == 0 {
			sv.reassignWaiters()
		}
		sv.scheduleWaiters()
	})
}

// reassignWaiters has those that wait choose again.
func (sv *diskServer) reassignWaiters() {
	waiting := sv.waiting
	sv.waiting = nil
	for _, e := range waiting {
		if !e.finished {
			sv.assignConn(e)
		}
	}
}

func (sv *diskServer) removeWaiter(e *attempt) {
	for i, x := range sv.waiting {
		if x == e {
			sv.waiting = append(sv.waiting[:i], sv.waiting[i+1:]...)
			return
		}
	}
}

// dial opens a connection for whoever waits.
func (sv *diskServer) dial() error {
	s := sv.scheduler
	l := &serverConn{server: sv, reader: resp.Reader{Limits: replyBounds}, idleSince: s.loop.Now()}
	conn, err := s.loop.Dial(sv.address, l)
	if err != nil {
		sv.postponeDial(err)
		return err
	}
	if sv.redials = 0; s.failedDials > 0 {
		s.log.Info().Str("osd", string(sv.id)).Int("tries", s.failedDials).Msg("connections can be opened again")
		s.failedDials = 0
	}
	l.conn = conn
	conn.OnClosed = func() { s.serverConnCount-- }
	conn.BeforeWrite = l.refreshDeadlines
	s.serverConnCount++
	sv.conns = append(sv.conns, l)
	sv.dialing++
	l.connectTimer = s.loop.Schedule(s.loop.Now()+s.settings().ConnectWithin, func() { l.Closed(conn, errConnectTimeout) })
	return nil
}

// postponeDial puts off the next dial, where this machine could not even begin one: no descriptor, port, memory or way is to
// be had. It tells nothing of the disk server, and is logged once until one is opened again.
func (sv *diskServer) postponeDial(err error) {
	s := sv.scheduler
	if s.failedDials++; s.failedDials == 1 {
		s.log.Warn().Str("osd", string(sv.id)).Err(err).Msg("no connection can be opened")
	}
	sv.redialAfter = s.loop.Now() + min(minRedialDelay<<sv.redials, maxRedialDelay)
	sv.redials = min(sv.redials+1, maxRedialShift)
	s.loop.Schedule(sv.redialAfter, sv.redial)
}

// redial tries once more for those that wait. Where that fails too, those that have waited for long are told, which lets
// the module choose again.
func (sv *diskServer) redial() {
	if len(sv.waiting) == 0 || sv.dialing > 0 || len(sv.idle) > 0 || sv.scheduler.loop.Now() < sv.redialAfter {
		sv.scheduleWaiters()
		return
	}
	if !sv.scheduler.reserveDescriptor() || sv.dial() != nil {
		waiting := sv.waiting
		sv.waiting = nil
		for _, e := range waiting {
			if sv.redialAfter <= min(e.started+maxDialWait, e.dispatch.Deadline) {
				sv.waiting = append(sv.waiting, e)
			} else {
				e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
			}
		}
		return
	}
	behind := sv.waiting[1:]
	sv.waiting = sv.waiting[:1:1]
	for _, e := range behind {
		if !e.finished {
			sv.assignConn(e)
		}
	}
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

// ---- What comes back ----

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

func (l *serverConn) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		if len(l.inFlight) == 0 { // nothing is asked: it is no answer
			l.failWith(errUnexpectedData)
			return len(b)
		}
		n, v, whole, err := l.reader.Next(b[used:])
		used += n
		if err != nil {
			l.failMalformed(err)
			return len(b)
		}
		if !whole {
			continue
		}
		e := l.inFlight[0]
		l.inFlight = l.inFlight[1:]
		code, data, told, err := e.parseReply(&v)
		if err != nil {
			l.inFlight = append([]*attempt{e}, l.inFlight...)
			l.failMalformed(err)
			return len(b)
		}
		if len(l.inFlight) == 0 && used < len(b) {
			// A good answer with more behind it: the connection is of no further use.
			l.close()
			e.finish(code, data, told)
			return len(b)
		}
		if len(l.inFlight) > 0 {
			l.closeIfAbandoned()
		} else if l.inFlight = nil; l.retiring {
			l.close()
		} else {
			l.markIdle()
		}
		e.finish(code, data, told)
		if l.conn == nil {
			return len(b)
		}
	}
	return used
}

// parseReply tells what an answer means.
func (e *attempt) parseReply(v *resp.Value) (code honeyplank.Code, data []byte, told inflight.Feedback, err error) {
	fields := e.server.scheduler.settings().Fields
	if v.Kind == resp.Error {
		text := string(v.Text)
		told.Load = parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:], fields)
		if text == "BUSY" || strings.HasPrefix(text, "BUSY ") {
			return honeyplank.Rejected, nil, told, nil
		}
		if !strings.HasPrefix(text, "ERR") {
			e.server.scheduler.log.Warn().Str("osd", string(e.server.id)).Str("answer", text).Msg("turned down")
		}
		return honeyplank.Failed, nil, told, nil
	}
	if e.dispatch == nil {
		if v.Kind != resp.Bulk || v.Null {
			return 0, nil, told, errMalformedReply
		}
		told.Load = parseLoadReport(string(v.Text), fields)
		return honeyplank.Succeeded, nil, told, nil
	}
	if v.Kind != resp.Array || len(v.List) == 0 || v.List[0].Kind != resp.Bulk || v.List[0].Null {
		return 0, nil, told, errMalformedReply
	}
	if len(v.List) > 1 && v.List[1].Kind == resp.Bulk {
		told.QuotaUsed, told.ServedElsewhere = parseUsage(string(v.List[1].Text))
	}
	if len(v.List) > 2 && v.List[2].Kind == resp.Bulk {
		told.Load = parseLoadReport(string(v.List[2].Text), fields)
	}
	return honeyplank.Succeeded, v.List[0].Text, told, nil
}

var errMalformedReply = errors.New("it is no answer to what was asked")

// parsePairs reads names and values, as util=0.61,latency_ms=12; what can't be read is left out.
func parsePairs(text string) map[string]float64 {
	found := map[string]float64{}
	for _, p := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(p, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x < 1e12 {
			found[strings.TrimSpace(name)] = x
		}
	}
	return found
}

// parseLoadReport reads a load report; one that lacks what the settings name is none.
func parseLoadReport(text string, fields []string) map[string]float64 {
	found, named := parsePairs(text), map[string]float64{}
	for _, f := range fields {
		x, ok := found[f]
		if !ok {
			return nil
		}
		named[simwire.FieldName(f)] = x
	}
	return named
}

// parseUsage reads the figures on use.
func parseUsage(text string) (used int, elsewhere float64) {
	found := parsePairs(text)
	return int(min(found["used"], 1e9)), found["cost"]
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

// ---- The list, idle connections and descriptors ----

// applyMember takes over what the list says of a disk server.
func (s *Scheduler) applyMember(m listMember) *diskServer {
	id := honeyplank.ServerID(m.ID)
	sv := s.servers[id]
	if sv == nil {
		sv = &diskServer{scheduler: s, id: id, address: m.Address}
		s.servers[id] = sv
	}
	sv.removed, sv.draining = phases[m.Phase] == honeyplank.Removed, phases[m.Phase] == honeyplank.Draining
	if m.Address != "" && m.Address != sv.address {
		sv.address, sv.redialAfter, sv.redials = m.Address, 0, 0
		sv.retireConns()
		sv.reassignWaiters()
	}
	if sv.removed {
		sv.retireConns()
		if len(sv.conns) == 0 {
			delete(s.servers, id)
		}
	}
	return sv
}

// retireConns has connections close once they carry nothing; those that are not up yet at once.
func (sv *diskServer) retireConns() {
	for _, l := range slices.Clone(sv.conns) {
		if l.retiring = true; len(l.inFlight) == 0 {
			l.close()
		}
	}
}

// enforceDrainGrace sees to it that nothing begins at a server that is gone, or past the grace at one that drains: what has been
// decided before may still wait for a connection, or to be written. It guards against connections that come up for
// longer than the grace, and could harm where a server's grace is longer than what the settings say. The grace counts from
// when the list came; what begins may leave a hold-up later.
func (sv *diskServer) enforceDrainGrace(told time.Duration) {
	if sv.removed {
		sv.cancelUnsent()
	} else if grace := sv.scheduler.settings().Settings.DrainGrace; sv.draining {
		sv.scheduler.loop.Schedule(told+max(grace-maxHoldUp, 0), func() {
			if sv.draining {
				sv.cancelUnsent()
			}
		})
	}
}

// cancelUnsent takes back all of which nothing has left.
func (sv *diskServer) cancelUnsent() {
	waiting := sv.waiting
	sv.waiting = nil
	for _, e := range waiting {
		e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
	for _, l := range slices.Clone(sv.conns) {
		for _, e := range slices.Clone(l.inFlight) {
			if l.conn != nil && !e.finished && e.firstByte >= l.appendedBytes-uint64(l.conn.UnsentBytes()) && !e.fullyWritten() {
				l.withdraw(e)
				e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
			}
		}
	}
}

// closeIdleServerConns closes connections that have been idle for half of what the other end keeps them.
func (s *Scheduler) closeIdleServerConns() {
	now := s.loop.Now()
	for s.serverConnCount > s.descriptorQuota(serverDescriptorShare) && s.closeLongestIdle(0) { // a new configuration may leave less room
	}
	for _, sv := range s.servers {
		for len(sv.idle) > 0 && s.settings().Idle > 0 && now-sv.idle[0].idleSince > s.settings().Idle/2 {
			sv.idle[0].close()
		}
	}
}

// reserveDescriptor tells whether a descriptor is left for one more connection to a disk server; the one that has been idle
// longest anywhere gives way.
func (s *Scheduler) reserveDescriptor() bool {
	return s.serverConnCount < s.descriptorQuota(serverDescriptorShare) || s.closeLongestIdle(time.Second)
}

// closeLongestIdle closes the connection that has been idle longest anywhere, if for long enough.
func (s *Scheduler) closeLongestIdle(least time.Duration) bool {
	var oldest *serverConn
	for _, sv := range s.servers {
		if len(sv.idle) > 0 && (oldest == nil || sv.idle[0].idleSince < oldest.idleSince) {
			oldest = sv.idle[0]
		}
	}
	if oldest == nil || s.loop.Now()-oldest.idleSince < least {
		return false
	}
	oldest.close()
	return true
}
