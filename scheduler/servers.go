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

// server is the connections to one disk server. An op has a connection of its own while descriptors last, since
// answers come in the order of commands; past that, connections carry several.
type server struct {
	s       *Scheduler
	id      honeyplank.ServerID
	address string
	gone    bool
	drains  bool
	rousing bool    // rouse will be called
	links   []*link // all that are open or being opened, oldest first
	idle    []*link // those that carry nothing, the one that has rested longest first
	waiting []*entry
	dialing int
	dialAt  time.Duration // no dial before
	redials int           // that could not even begin, in a row
}

// link is one connection to a disk server.
type link struct {
	server *server
	conn   *eventloop.Conn
	up     bool
	shut   bool     // takes nothing new and closes after what is out
	out    []*entry // in the order written
	in     resp.Reader
	put    uint64 // bytes ever appended
	since  time.Duration
	timer  *eventloop.Timer
}

// entry is a dispatch, or a probe, on its way.
type entry struct {
	d      *inflight.Dispatch // nil: a probe
	server *server
	link   *link // nil: it waits for a connection
	at     time.Duration
	made   time.Duration // when its bytes were made
	head   uint64        // where its bytes on the link begin,
	tail   uint64        // and end
	left   bool          // given up: its answer is nobody's
	timer  *eventloop.Timer
}

const (
	// restOfLink is how long a connection rests before it carries the next op: what comes in the meantime is no
	// answer to that. It guards against servers that answer a second time some milliseconds late (1.2 to 3.9 were met),
	// and costs connections.
	restOfLink = 8 * time.Millisecond
	// After a dial that could not begin the next follows at first after, and later after twice that each time, up to a bound.
	firstRedial = 10 * time.Millisecond
	lastRedial  = 160 * time.Millisecond
	mostRedials = 4
	// mostDialWait is how long a dispatch waits for a dial that can begin.
	mostDialWait = 200 * time.Millisecond
	// A disk server may be told 0.15 s more than a client has left. Bytes that are older than fresh are made anew; those of
	// a command of which a part has left can't be, and are kept back when they are older than mostStale: a hold-up may
	// come on top.
	fresh     = 5 * time.Millisecond
	mostStale = 100 * time.Millisecond
	// What an answer may have: the longest value of the protocol, and lines.
	mostLineBack = 4096
	mostValue    = 64 << 10
)

var answerBounds = resp.Bounds{Line: mostLineBack, Bulk: mostValue, Items: 8, Depth: 3, Total: mostValue + 2*mostLineBack}

// sender carries the dispatches of the books, each with its entry for Link.
type sender struct{ *Scheduler }

func (s sender) Send(d *inflight.Dispatch) {
	sv := s.servers[d.Server]
	if sv == nil {
		d.Finish(honeyplank.NotSent, nil, inflight.Feedback{})
		return
	}
	e := &entry{d: d, server: sv, at: s.loop.Now()}
	d.SenderState = e
	sv.carry(e)
}

func (s sender) Written(d *inflight.Dispatch) bool {
	e, _ := d.SenderState.(*entry)
	return e != nil && e.written()
}

func (s sender) Cancel(d *inflight.Dispatch) {
	if e, _ := d.SenderState.(*entry); e != nil {
		e.giveUp()
	}
}

func (e *entry) written() bool {
	l := e.link
	return l != nil && l.up && e.tail <= l.put-uint64(l.conn.UnsentBytes())
}

// giveUp ends the wait for an answer. What has not left is taken back; a connection that carries nothing else closes,
// which tells the server.
func (e *entry) giveUp() {
	written := e.written()
	e.left = true
	l := e.link
	switch {
	case l == nil:
		e.server.unqueue(e)
		return
	case l.conn == nil:
		return
	case !written:
		l.takeBack(e)
		return
	}
	l.shut = true
	l.closeLeft()
}

// takeBack has an entry whose last byte has not left never arrive. It guards against commands that run although they
// were told as never sent, once the other end reads on.
func (l *link) takeBack(e *entry) {
	i := slices.Index(l.out, e)
	behind := slices.Clone(l.out[i+1:])
	gone := l.put - uint64(l.conn.UnsentBytes())
	if n := e.tail - e.head; e.head >= gone { // none of it has left
		l.conn.DiscardUnsent(int(e.head-gone), int(e.tail-gone))
		l.put -= n
		for _, x := range behind {
			x.head, x.tail = x.head-n, x.tail-n
		}
		if l.out = append(l.out[:i], behind...); len(l.out) > 0 {
			l.closeLeft()
		} else if l.shut {
			l.close()
		} else {
			l.out = nil
			l.rest()
		}
		return
	}
	// A part has: nothing more may follow, and what is behind goes elsewhere.
	l.shut = true
	l.conn.DiscardUnsent(0, l.conn.UnsentBytes())
	l.put, l.out = gone, l.out[:i]
	l.closeLeft()
	for _, x := range behind {
		if x.link = nil; !x.left {
			l.server.carry(x)
		}
	}
}

// closeLeft closes a connection that takes nothing new once nobody waits for what it carries.
func (l *link) closeLeft() {
	if !l.shut {
		return
	}
	for _, x := range l.out {
		if !x.left {
			return
		}
	}
	l.close()
}

// end tells how a dispatch or probe ended, once.
func (e *entry) finish(code honeyplank.Code, data []byte, told inflight.Feedback) {
	if e.left {
		return
	}
	e.left = true
	s := e.server.s
	if e.d != nil {
		e.d.Finish(code, data, told)
		return
	}
	s.loop.Cancel(e.timer)
	s.book.Deliver(honeyplank.ProbeResult{Server: e.server.id, Code: code, Elapsed: s.loop.Now() - e.at, Load: told.Load})
}

// ---- Which connection ----

// carry writes to a connection that is idle, else opens one, else writes behind others, else waits for one.
func (sv *server) carry(e *entry) {
	if l := sv.rested(); l != nil {
		l.write(e)
		return
	}
	if sv.s.loop.Now() >= sv.dialAt && sv.s.room() && sv.dial() == nil {
		sv.waiting = append(sv.waiting, e)
		return
	}
	var least *link
	for _, l := range sv.links {
		if l.up && !l.shut && len(l.out) > 0 && len(l.out) < max(sv.s.site().Streams, 1) && (least == nil || len(l.out) < len(least.out)) {
			least = l
		}
	}
	switch {
	case least != nil:
		least.write(e)
	case sv.dialing > 0 || len(sv.idle) > 0:
		sv.waiting = append(sv.waiting, e)
		sv.wake()
	case e.d != nil && sv.s.loop.Now() < sv.dialAt && sv.dialAt <= min(e.at+mostDialWait, e.d.Deadline):
		sv.waiting = append(sv.waiting, e)
	default: // no descriptor is to be had, which tells nothing of the server
		e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
}

// rested takes the idle connection that has rested longest, where it has for long enough and nothing has come
// on it since.
func (sv *server) rested() *link {
	for len(sv.idle) > 0 {
		l := sv.idle[0]
		if sv.s.loop.Now()-l.since < restOfLink {
			return nil
		}
		sv.idle = sv.idle[1:]
		if l.conn.Quiet() {
			return l
		}
		l.close()
	}
	return nil
}

// wake has those that wait for a connection looked at again: once the idle one that has rested longest has rested for
// long enough, or where none is idle and none being opened at once.
func (sv *server) wake() {
	if sv.rousing || len(sv.waiting) == 0 || sv.dialing > 0 && len(sv.idle) == 0 {
		return
	}
	at := sv.s.loop.Now()
	if len(sv.idle) == 0 && at < sv.dialAt { // redial comes
		return
	}
	if len(sv.idle) > 0 {
		at = sv.idle[0].since + restOfLink
	}
	sv.rousing = true
	sv.s.loop.Schedule(at, func() {
		sv.rousing = false
		for len(sv.waiting) > 0 { // one that has come free is as good as one that is still to come up
			l := sv.rested()
			if l == nil {
				break
			}
			e := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			l.write(e)
		}
		if sv.dialing == 0 && len(sv.idle) == 0 {
			sv.anew()
		}
		sv.wake()
	})
}

// anew has those that wait choose again.
func (sv *server) anew() {
	waiting := sv.waiting
	sv.waiting = nil
	for _, e := range waiting {
		if !e.left {
			sv.carry(e)
		}
	}
}

func (sv *server) unqueue(e *entry) {
	for i, x := range sv.waiting {
		if x == e {
			sv.waiting = append(sv.waiting[:i], sv.waiting[i+1:]...)
			return
		}
	}
}

// dial opens a connection for whoever waits.
func (sv *server) dial() error {
	s := sv.s
	l := &link{server: sv, in: resp.Reader{Bounds: answerBounds}, since: s.loop.Now()}
	conn, err := s.loop.Dial(sv.address, l)
	if err != nil {
		sv.postpone(err)
		return err
	}
	if sv.redials = 0; s.undialled > 0 {
		s.log.Info().Str("osd", string(sv.id)).Int("tries", s.undialled).Msg("connections can be opened again")
		s.undialled = 0
	}
	l.conn = conn
	conn.OnClosed = func() { s.files-- }
	conn.BeforeWrite = l.renew
	s.files++
	sv.links = append(sv.links, l)
	sv.dialing++
	l.timer = s.loop.Schedule(s.loop.Now()+s.site().ConnectWithin, func() { l.Closed(conn, errConnect) })
	return nil
}

// postpone puts off the next dial, where this machine could not even begin one: no descriptor, port, memory or way is to
// be had. It tells nothing of the disk server, and is logged once until one is opened again.
func (sv *server) postpone(err error) {
	s := sv.s
	if s.undialled++; s.undialled == 1 {
		s.log.Warn().Str("osd", string(sv.id)).Err(err).Msg("no connection can be opened")
	}
	sv.dialAt = s.loop.Now() + min(firstRedial<<sv.redials, lastRedial)
	sv.redials = min(sv.redials+1, mostRedials)
	s.loop.Schedule(sv.dialAt, sv.redial)
}

// redial tries once more for those that wait. Where that fails too, those that have waited for long are told, which lets
// the module choose again.
func (sv *server) redial() {
	if len(sv.waiting) == 0 || sv.dialing > 0 || len(sv.idle) > 0 || sv.s.loop.Now() < sv.dialAt {
		sv.wake()
		return
	}
	if !sv.s.room() || sv.dial() != nil {
		waiting := sv.waiting
		sv.waiting = nil
		for _, e := range waiting {
			if sv.dialAt <= min(e.at+mostDialWait, e.d.Deadline) {
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
		if !e.left {
			sv.carry(e)
		}
	}
}

var (
	errConnect = errors.New("the connection does not come up")
	errMore    = errors.New("more has come than was asked for")
)

// rest puts a connection that carries nothing among the idle ones.
func (l *link) rest() {
	l.since = l.server.s.loop.Now()
	l.server.idle = append(l.server.idle, l)
	l.server.wake()
}

func (l *link) write(e *entry) {
	l.encode(e)
	e.link = l
	l.out = append(l.out, e)
	l.conn.Send()
}

// encode appends the bytes of an entry, with the time that is left to it now.
func (l *link) encode(e *entry) {
	e.made = l.server.s.loop.Now()
	before := len(l.conn.Out)
	e.head = l.put
	if e.d == nil {
		l.conn.Out = resp.AppendCommand(l.conn.Out, []byte("INFO"), []byte("load"))
	} else {
		l.conn.Out = e.d.Client().(*request).append(l.conn.Out, e.d.Deadline-e.made)
	}
	l.put += uint64(len(l.conn.Out) - before)
	e.tail = l.put
}

// renew tells anew the time that is left, before bytes are written that were made some time ago: a server that does not
// read, or a hold-up, may have kept them. One of which a part has left already, and whose time is wrong by too much, never
// arrives whole.
func (l *link) renew() {
	now := l.server.s.loop.Now()
	gone := l.put - uint64(l.conn.UnsentBytes())
	i := 0
	for i < len(l.out) && l.out[i].head < gone {
		i++
	}
	if i > 0 {
		if e := l.out[i-1]; e.tail > gone && now-e.made > mostStale && !e.left {
			l.takeBack(e)
			e.finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
			return
		}
	}
	if i == len(l.out) || now-l.out[i].made <= fresh {
		return
	}
	for _, e := range l.out[i:] {
		if e.left || e.d != nil && e.d.Abandoned() { // it is about to be taken back, and its command is no longer held
			return
		}
	}
	l.conn.DiscardUnsent(int(l.out[i].head-gone), l.conn.UnsentBytes())
	l.put = l.out[i].head
	for _, e := range l.out[i:] {
		l.encode(e)
	}
}

// ---- What comes back ----

func (l *link) Opened(*eventloop.Conn) {
	l.server.s.loop.Cancel(l.timer)
	l.up = true
	sv := l.server
	sv.dialing--
	for len(sv.waiting) > 0 && (len(l.out) == 0 || len(sv.waiting) > sv.dialing && len(l.out) < sv.s.site().Streams) {
		e := sv.waiting[0]
		sv.waiting = sv.waiting[1:]
		l.write(e)
	}
	sv.wake()
	if len(l.out) == 0 {
		l.rest()
	}
}

func (l *link) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		if len(l.out) == 0 { // nothing is asked: it is no answer
			l.fail(errMore)
			return len(b)
		}
		n, v, whole, err := l.in.Next(b[used:])
		used += n
		if err != nil {
			l.spoilt(err)
			return len(b)
		}
		if !whole {
			continue
		}
		e := l.out[0]
		l.out = l.out[1:]
		code, data, told, err := e.read(&v)
		if err != nil {
			l.out = append([]*entry{e}, l.out...)
			l.spoilt(err)
			return len(b)
		}
		if len(l.out) == 0 && used < len(b) {
			// A good answer with more behind it: the connection is of no further use.
			l.close()
			e.finish(code, data, told)
			return len(b)
		}
		if len(l.out) > 0 {
			l.closeLeft()
		} else if l.out = nil; l.shut {
			l.close()
		} else {
			l.rest()
		}
		e.finish(code, data, told)
		if l.conn == nil {
			return len(b)
		}
	}
	return used
}

// read tells what an answer means.
func (e *entry) read(v *resp.Value) (code honeyplank.Code, data []byte, told inflight.Feedback, err error) {
	fields := e.server.s.site().Fields
	if v.Kind == resp.Error {
		text := string(v.Text)
		told.Load = load(text[strings.LastIndexByte(text, ' ')+1:], fields)
		if text == "BUSY" || strings.HasPrefix(text, "BUSY ") {
			return honeyplank.Rejected, nil, told, nil
		}
		if !strings.HasPrefix(text, "ERR") {
			e.server.s.log.Warn().Str("osd", string(e.server.id)).Str("answer", text).Msg("turned down")
		}
		return honeyplank.Failed, nil, told, nil
	}
	if e.d == nil {
		if v.Kind != resp.Bulk || v.Null {
			return 0, nil, told, errAnswer
		}
		told.Load = load(string(v.Text), fields)
		return honeyplank.Succeeded, nil, told, nil
	}
	if v.Kind != resp.Array || len(v.List) == 0 || v.List[0].Kind != resp.Bulk || v.List[0].Null {
		return 0, nil, told, errAnswer
	}
	if len(v.List) > 1 && v.List[1].Kind == resp.Bulk {
		told.QuotaUsed, told.ServedElsewhere = use(string(v.List[1].Text))
	}
	if len(v.List) > 2 && v.List[2].Kind == resp.Bulk {
		told.Load = load(string(v.List[2].Text), fields)
	}
	return honeyplank.Succeeded, v.List[0].Text, told, nil
}

var errAnswer = errors.New("it is no answer to what was asked")

// pairs reads names and values, as util=0.61,latency_ms=12; what can't be read is left out.
func pairs(text string) map[string]float64 {
	found := map[string]float64{}
	for _, p := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(p, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x < 1e12 {
			found[strings.TrimSpace(name)] = x
		}
	}
	return found
}

// load reads a load report; one that lacks what the settings name is none.
func load(text string, fields []string) map[string]float64 {
	found, named := pairs(text), map[string]float64{}
	for _, f := range fields {
		x, ok := found[f]
		if !ok {
			return nil
		}
		named[simwire.FieldName(f)] = x
	}
	return named
}

// use reads the figures on use.
func use(text string) (used int, elsewhere float64) {
	found := pairs(text)
	return int(min(found["used"], 1e9)), found["cost"]
}

// spoilt ends a connection on which what came can't be read: the answer that was due may have run.
func (l *link) spoilt(err error) {
	e := l.out[0]
	rest := l.out[1:]
	l.note(err)
	l.close()
	e.finish(honeyplank.Failed, nil, inflight.Feedback{})
	for _, x := range rest {
		x.finish(honeyplank.Reset, nil, inflight.Feedback{})
	}
}

// fail ends a connection and what it carries.
func (l *link) fail(err error) {
	l.note(err)
	l.lose()
}

func (l *link) note(err error) {
	l.server.s.log.Debug().Str("osd", string(l.server.id)).Err(err).Int("out", len(l.out)).Msg("connection ended")
}

// Closed is told that the connection broke, ended or never came up.
func (l *link) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errors.New("the disk server ended it")
	}
	if len(l.out) > 0 || !l.up {
		l.note(err)
	}
	l.lose()
}

func (l *link) lose() {
	sv, out, up := l.server, l.out, l.up
	codes := make([]honeyplank.Code, len(out))
	for i, e := range out {
		if codes[i] = honeyplank.ConnectFailed; e.written() {
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
func (l *link) close() {
	sv := l.server
	if l.conn == nil {
		return
	}
	sv.s.loop.Cancel(l.timer)
	if l.conn.UnackedBytes() > 0 {
		l.conn.Abort()
	} else {
		l.conn.Close()
	}
	if !l.up {
		sv.dialing--
	}
	l.conn, l.out = nil, nil
	sv.links = without(sv.links, l)
	sv.idle = without(sv.idle, l)
	sv.wake()
	if sv.gone && len(sv.links) == 0 && sv.s.servers[sv.id] == sv {
		delete(sv.s.servers, sv.id)
	}
}

func without(list []*link, l *link) []*link {
	for i, x := range list {
		if x == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// ---- The list, idle connections and descriptors ----

// place takes over what the list says of a disk server.
func (s *Scheduler) place(m member) *server {
	id := honeyplank.ServerID(m.ID)
	sv := s.servers[id]
	if sv == nil {
		sv = &server{s: s, id: id, address: m.Address}
		s.servers[id] = sv
	}
	sv.gone, sv.drains = phases[m.Phase] == honeyplank.Removed, phases[m.Phase] == honeyplank.Draining
	if m.Address != "" && m.Address != sv.address {
		sv.address, sv.dialAt, sv.redials = m.Address, 0, 0
		sv.retire()
		sv.anew()
	}
	if sv.gone {
		sv.retire()
		if len(sv.links) == 0 {
			delete(s.servers, id)
		}
	}
	return sv
}

// retire has connections close once they carry nothing; those that are not up yet at once.
func (sv *server) retire() {
	for _, l := range slices.Clone(sv.links) {
		if l.shut = true; len(l.out) == 0 {
			l.close()
		}
	}
}

// ends sees to it that nothing begins at a server that is gone, or past the grace at one that drains: what has been
// decided before may still wait for a connection, or to be written. It guards against connections that come up for
// longer than the grace, and could harm where a server's grace is longer than what the settings say. The grace counts from
// when the list came; what begins may leave a hold-up later.
func (sv *server) ends(told time.Duration) {
	if sv.gone {
		sv.halt()
	} else if grace, ok := sv.s.site().Values["drain.grace"].(time.Duration); ok && sv.drains {
		sv.s.loop.Schedule(told+max(grace-heldUp, 0), func() {
			if sv.drains {
				sv.halt()
			}
		})
	}
}

// halt takes back all of which nothing has left.
func (sv *server) halt() {
	waiting := sv.waiting
	sv.waiting = nil
	for _, e := range waiting {
		e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
	for _, l := range slices.Clone(sv.links) {
		for _, e := range slices.Clone(l.out) {
			if l.conn != nil && !e.left && e.head >= l.put-uint64(l.conn.UnsentBytes()) && !e.written() {
				l.takeBack(e)
				e.finish(honeyplank.NotSent, nil, inflight.Feedback{})
			}
		}
	}
}

// tend closes connections that have been idle for half of what the other end keeps them.
func (s *Scheduler) tend() {
	now := s.loop.Now()
	for s.files > s.share(ofServers) && s.shed(0) { // a new configuration may leave less room
	}
	for _, sv := range s.servers {
		for len(sv.idle) > 0 && s.site().Idle > 0 && now-sv.idle[0].since > s.site().Idle/2 {
			sv.idle[0].close()
		}
	}
}

// room tells whether a descriptor is left for one more connection to a disk server; the one that has been idle
// longest anywhere gives way.
func (s *Scheduler) room() bool { return s.files < s.share(ofServers) || s.shed(time.Second) }

// shed closes the connection that has been idle longest anywhere, if for long enough.
func (s *Scheduler) shed(least time.Duration) bool {
	var oldest *link
	for _, sv := range s.servers {
		if len(sv.idle) > 0 && (oldest == nil || sv.idle[0].since < oldest.since) {
			oldest = sv.idle[0]
		}
	}
	if oldest == nil || s.loop.Now()-oldest.since < least {
		return false
	}
	oldest.close()
	return true
}
