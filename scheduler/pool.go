package scheduler

import (
	"slices"
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
	dialFailures  int           // that could not even begin, in a row
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
func (ds *diskServer) assignConn(a *attempt) {
	if sc := ds.takeIdleConn(); sc != nil {
		sc.send(a)
		return
	}
	if ds.scheduler.loop.Now() >= ds.redialAfter && ds.scheduler.reserveDescriptor() && ds.dial() == nil {
		ds.waiting = append(ds.waiting, a)
		return
	}
	var leastLoaded *serverConn
	for _, sc := range ds.conns {
		if sc.connected && !sc.retiring && len(sc.inFlight) > 0 && len(sc.inFlight) < max(ds.scheduler.site().Streams, 1) && (leastLoaded == nil || len(sc.inFlight) < len(leastLoaded.inFlight)) {
			leastLoaded = sc
		}
	}
	switch {
	case leastLoaded != nil:
		leastLoaded.send(a)
	case ds.dialing > 0 || len(ds.idle) > 0:
		ds.waiting = append(ds.waiting, a)
		ds.scheduleWaiters()
	case a.dispatch != nil && ds.scheduler.loop.Now() < ds.redialAfter && ds.redialAfter <= min(a.started+maxDialWait, a.dispatch.Deadline):
		ds.waiting = append(ds.waiting, a)
	default: // no descriptor is to be had, which tells nothing of the server
		a.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
}

// takeIdleConn takes the idle connection that has rested longest, where it has for long enough and nothing has come
// on it since.
func (ds *diskServer) takeIdleConn() *serverConn {
	for len(ds.idle) > 0 {
		sc := ds.idle[0]
		if ds.scheduler.loop.Now()-sc.idleSince < minConnRest {
			return nil
		}
		ds.idle = ds.idle[1:]
		ds.scheduler.idleServerConns.remove(sc)
		if sc.conn.NoInputPending() {
			return sc
		}
		sc.close()
	}
	return nil
}

// scheduleWaiters has those that wait for a connection looked at again: once the idle one that has rested longest has rested for
// long enough, or where none is idle and none being opened at once.
func (ds *diskServer) scheduleWaiters() {
	if ds.wakeScheduled || len(ds.waiting) == 0 || ds.dialing > 0 && len(ds.idle) == 0 {
		return
	}
	at := ds.scheduler.loop.Now()
	if len(ds.idle) == 0 && at < ds.redialAfter { // redial comes
		return
	}
	if len(ds.idle) > 0 {
		at = ds.idle[0].idleSince + minConnRest
	}
	ds.wakeScheduled = true
	ds.scheduler.loop.Schedule(at, func() {
		ds.wakeScheduled = false
		for len(ds.waiting) > 0 { // one that has come free is as good as one that is still to come up
			sc := ds.takeIdleConn()
			if sc == nil {
				break
			}
			a := ds.waiting[0]
			ds.waiting = ds.waiting[1:]
			sc.send(a)
		}
		if ds.dialing == 0 && len(ds.idle) == 0 {
			ds.reassignWaiters()
		}
		ds.scheduleWaiters()
	})
}

// reassignWaiters has those that wait choose again.
func (ds *diskServer) reassignWaiters() {
	waiting := ds.waiting
	ds.waiting = nil
	for _, a := range waiting {
		if !a.finished {
			ds.assignConn(a)
		}
	}
}

func (ds *diskServer) removeWaiter(a *attempt) {
	if i := slices.Index(ds.waiting, a); i >= 0 {
		ds.waiting = slices.Delete(ds.waiting, i, i+1)
	}
}

// dial opens a connection for whoever waits.
func (ds *diskServer) dial() error {
	s := ds.scheduler
	sc := &serverConn{server: ds, reader: resp.Reader{Limits: replyBounds}, idleSince: s.loop.Now()}
	conn, err := s.loop.Dial(ds.address, sc)
	if err != nil {
		ds.postponeDial(err)
		return err
	}
	if ds.dialFailures = 0; s.failedDials > 0 {
		s.log.Info().Str("osd", string(ds.id)).Int("tries", s.failedDials).Msg("connections can be opened again")
		s.failedDials = 0
	}
	sc.conn = conn
	conn.OnClosed = func() { s.serverConnCount-- }
	conn.BeforeWrite = sc.refreshDeadlines
	s.serverConnCount++
	ds.conns = append(ds.conns, sc)
	ds.dialing++
	sc.connectTimer = s.loop.Schedule(s.loop.Now()+s.site().ConnectWithin, func() { sc.Closed(conn, errConnectTimeout) })
	return nil
}

// postponeDial puts off the next dial, where this machine could not even begin one: no descriptor, port, memory or way is to
// be had. It tells nothing of the disk server, and is logged once until one is opened again.
func (ds *diskServer) postponeDial(err error) {
	s := ds.scheduler
	if s.failedDials++; s.failedDials == 1 {
		s.log.Warn().Str("osd", string(ds.id)).Err(err).Msg("no connection can be opened")
	}
	ds.redialAfter = s.loop.Now() + min(minRedialDelay<<ds.dialFailures, maxRedialDelay)
	ds.dialFailures = min(ds.dialFailures+1, maxRedialShift)
	s.loop.Schedule(ds.redialAfter, ds.redial)
}

// redial tries once more for those that wait. Where that fails too, those that have waited for long are told, which lets
// the module choose again.
func (ds *diskServer) redial() {
	if len(ds.waiting) == 0 || ds.dialing > 0 || len(ds.idle) > 0 || ds.scheduler.loop.Now() < ds.redialAfter {
		ds.scheduleWaiters()
		return
	}
	if !ds.scheduler.reserveDescriptor() || ds.dial() != nil {
		waiting := ds.waiting
		ds.waiting = nil
		for _, a := range waiting {
			if ds.redialAfter <= min(a.started+maxDialWait, a.dispatch.Deadline) {
				ds.waiting = append(ds.waiting, a)
			} else {
				a.finish(honeyplank.NotSent, nil, inflight.Feedback{})
			}
		}
		return
	}
	behind := ds.waiting[1:]
	ds.waiting = ds.waiting[:1:1]
	for _, a := range behind {
		if !a.finished {
			ds.assignConn(a)
		}
	}
}

// reserveDescriptor tells whether a descriptor is left for one more connection to a disk server; the one that has been idle
// longest anywhere gives way.
func (s *Scheduler) reserveDescriptor() bool {
	return s.serverConnCount < s.descriptorQuota(serverDescriptorShare) || s.closeLongestIdle(time.Second)
}

// longestIdleConn is the connection that has been idle longest, of those to all disk servers; nil: none is idle.
func (s *Scheduler) longestIdleConn() *serverConn {
	if s.idleServerConns.first != nil {
		s.visited.idleConns++
	}
	return s.idleServerConns.first
}

// closeLongestIdle closes the connection that has been idle longest anywhere, if for long enough.
func (s *Scheduler) closeLongestIdle(least time.Duration) bool {
	sc := s.longestIdleConn()
	if sc == nil || s.loop.Now()-sc.idleSince < least {
		return false
	}
	sc.close()
	return true
}
