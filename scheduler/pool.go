package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/inflight"
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
)

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
		if l.conn.Quiet() {
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
	l := &serverConn{server: sv, reader: resp.Reader{Bounds: replyBounds}, idleSince: s.loop.Now()}
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
