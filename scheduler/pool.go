package scheduler

import (
	"slices"
	"time"

	"honeyplank"
	"honeyplank/resp"
)

// diskServer holds the connections to one disk server. Each attempt has a connection of its own while descriptors last,
// since answers come in the order of commands; beyond that, attempts share connections.
type diskServer struct {
	scheduler     *Scheduler
	id            honeyplank.ServerID
	address       string
	removed       bool
	draining      bool
	wakeScheduled bool          // wakeWaiters is scheduled
	conns         []*serverConn // open or being opened, oldest first
	idle          []*serverConn // with nothing in flight, longest idle first
	waiting       []*attempt    // waiting for a connection, oldest first
	dialing       int           // connections that are being opened
	redialAfter   time.Duration // no dial begins before
	dialFailures  int           // consecutive dials that could not begin, up to maxRedialShift
}

const (
	// reuseDelay is how long a connection has been idle at least before the next command: data that comes in between is
	// no answer to that. It guards against disk servers that send a second answer some milliseconds late, and costs
	// connections.
	reuseDelay = 8 * time.Millisecond
	// A dial that could not begin is retried with a backoff from minRedialDelay to maxRedialDelay, which maxRedialShift
	// doublings give.
	minRedialDelay = 10 * time.Millisecond
	maxRedialDelay = 160 * time.Millisecond
	maxRedialShift = 4
	// maxDialWait is how long a dispatch waits until a dial can begin.
	maxDialWait = 200 * time.Millisecond
	// minEvictableIdle is how long a connection has been idle at least before it is evicted for another.
	minEvictableIdle = time.Second
)

// assignConn sends an attempt on an idle connection, else on a new one, else behind others. If there is none, the
// attempt waits for one or fails.
func (ds *diskServer) assignConn(a *attempt) {
	if sc := ds.takeIdleConn(); sc != nil {
		sc.send(a)
		return
	}
	if ds.scheduler.loop.Now() >= ds.redialAfter && ds.dialIfAllowed() {
		ds.waiting = append(ds.waiting, a)
		return
	}
	sc := ds.leastLoadedConn()
	switch {
	case sc != nil:
		sc.send(a)
	case ds.dialing > 0 || len(ds.idle) > 0:
		ds.waiting = append(ds.waiting, a)
		ds.scheduleWaiters()
	case ds.scheduler.loop.Now() < ds.redialAfter && a.mayWaitForDial(ds.redialAfter):
		ds.waiting = append(ds.waiting, a)
	default: // no descriptor is left, which is not the disk server's fault
		a.fail(honeyplank.NotSent)
	}
}

// mayWaitForDial reports whether an attempt may wait until a time for a dial to begin. Health checks do not wait.
func (a *attempt) mayWaitForDial(until time.Duration) bool {
	return a.dispatch != nil && until <= min(a.started+maxDialWait, a.dispatch.Deadline)
}

// takeIdleConn takes the longest idle connection, if it has been idle for reuseDelay. Those on which data has come
// since are closed.
func (ds *diskServer) takeIdleConn() *serverConn {
	for len(ds.idle) > 0 {
		sc := ds.idle[0]
		if ds.scheduler.loop.Now()-sc.idleSince < reuseDelay {
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

// leastLoadedConn returns the connection with the fewest attempts in flight, of the busy ones that may take one more;
// nil: there is none.
func (ds *diskServer) leastLoadedConn() *serverConn {
	maxLoad := max(ds.scheduler.site().StreamsPerConn, 1)
	var least *serverConn
	for _, sc := range ds.conns {
		load := len(sc.inFlight)
		if !sc.connected || sc.retiring || load == 0 || load >= maxLoad {
			continue
		}
		if least == nil || load < len(least.inFlight) {
			least = sc
		}
	}
	return least
}

// nextWaiter takes the attempt that has waited longest.
func (ds *diskServer) nextWaiter() *attempt {
	a := ds.waiting[0]
	ds.waiting = ds.waiting[1:]
	return a
}

// scheduleWaiters schedules wakeWaiters: when the longest idle connection may be reused, or at once if none is idle or
// being opened.
func (ds *diskServer) scheduleWaiters() {
	if ds.wakeScheduled || len(ds.waiting) == 0 || ds.dialing > 0 && len(ds.idle) == 0 {
		return
	}
	at := ds.scheduler.loop.Now()
	if len(ds.idle) == 0 && at < ds.redialAfter { // redial serves them
		return
	}
	if len(ds.idle) > 0 {
		at = ds.idle[0].idleSince + reuseDelay
	}
	ds.wakeScheduled = true
	ds.scheduler.loop.Schedule(at, ds.wakeWaiters)
}

// wakeWaiters sends waiting attempts on idle connections. If none is left or being opened, the rest are assigned again.
func (ds *diskServer) wakeWaiters() {
	ds.wakeScheduled = false
	for len(ds.waiting) > 0 { // also attempts that wait for a connection that is being opened
		sc := ds.takeIdleConn()
		if sc == nil {
			break
		}
		sc.send(ds.nextWaiter())
	}
	if ds.dialing == 0 && len(ds.idle) == 0 {
		ds.reassignWaiters()
	}
	ds.scheduleWaiters()
}

// reassignWaiters assigns connections to all waiting attempts again.
func (ds *diskServer) reassignWaiters() {
	waiting := ds.waiting
	ds.waiting = nil
	ds.assignAll(waiting)
}

// assignAll assigns connections to attempts, except those that finish meanwhile.
func (ds *diskServer) assignAll(attempts []*attempt) {
	for _, a := range attempts {
		if !a.finished {
			ds.assignConn(a)
		}
	}
}

// removeWaiter removes an attempt from the waiting ones.
func (ds *diskServer) removeWaiter(a *attempt) {
	if i := slices.Index(ds.waiting, a); i >= 0 {
		ds.waiting = slices.Delete(ds.waiting, i, i+1)
	}
}

// failWaiters is called when a connection could not be opened. While descriptors last, each attempt waits for a
// connection of its own, and one fails with each. Beyond that several wait for one, and all of them fail with the last
// that was being opened, instead of waiting for their op timeouts.
func (ds *diskServer) failWaiters() {
	for first := true; len(ds.waiting) > ds.dialing; first = false {
		if !first && (ds.dialing > 0 || len(ds.idle) > 0) {
			return
		}
		ds.nextWaiter().fail(honeyplank.ConnectFailed)
	}
}

// dialIfAllowed begins to open a connection if there is a descriptor for it, and reports whether it has.
func (ds *diskServer) dialIfAllowed() bool {
	return ds.scheduler.reserveDescriptor() && ds.dial() == nil
}

// dial begins to open a connection. An error says that this machine could not begin.
func (ds *diskServer) dial() error {
	s := ds.scheduler
	sc := &serverConn{server: ds, reader: resp.Reader{Limits: replyLimits}, idleSince: s.loop.Now()}
	conn, err := s.loop.Dial(ds.address, sc)
	if err != nil {
		ds.postponeDial(err)
		return err
	}
	if ds.dialFailures = 0; s.failedDials > 0 {
		s.log.Info().
			Str("server", string(ds.id)).
			Int("attempts", s.failedDials).
			Msg("connections to disk servers work again")
		s.failedDials = 0
	}
	sc.conn = conn
	conn.OnClosed = func() { s.serverConnCount-- }
	conn.BeforeWrite = sc.refreshDeadlines
	s.serverConnCount++
	ds.conns = append(ds.conns, sc)
	ds.dialing++
	sc.connectTimer = s.loop.Schedule(s.loop.Now()+s.site().ConnectTimeout, func() {
		sc.Closed(conn, errConnectTimeout)
	})
	return nil
}

// postponeDial schedules the next dial after one that this machine could not begin, for lack of a descriptor, a port,
// memory or a route. That is not the disk server's fault, and is logged once until a dial begins again.
func (ds *diskServer) postponeDial(err error) {
	s := ds.scheduler
	if s.failedDials++; s.failedDials == 1 {
		s.log.Warn().Str("server", string(ds.id)).Err(err).Msg("cannot open connections to disk servers")
	}
	ds.redialAfter = s.loop.Now() + min(minRedialDelay<<ds.dialFailures, maxRedialDelay)
	ds.dialFailures = min(ds.dialFailures+1, maxRedialShift)
	s.loop.Schedule(ds.redialAfter, ds.redial)
}

// redial dials again for the waiting attempts. If that fails too, those that have waited too long are reported as not
// sent, so that the module can choose another server.
func (ds *diskServer) redial() {
	if len(ds.waiting) == 0 || ds.dialing > 0 || len(ds.idle) > 0 || ds.scheduler.loop.Now() < ds.redialAfter {
		ds.scheduleWaiters()
		return
	}
	if !ds.dialIfAllowed() {
		ds.failLongWaiters()
		return
	}
	others := ds.waiting[1:]
	ds.waiting = ds.waiting[:1:1] // the first waits for the new connection
	ds.assignAll(others)
}

// failLongWaiters reports the attempts that cannot wait for the next dial as not sent.
func (ds *diskServer) failLongWaiters() {
	waiting := ds.waiting
	ds.waiting = nil
	for _, a := range waiting {
		if a.mayWaitForDial(ds.redialAfter) {
			ds.waiting = append(ds.waiting, a)
		} else {
			a.fail(honeyplank.NotSent)
		}
	}
}

// reserveDescriptor reports whether there is a descriptor for one more connection to a disk server. It may close the
// longest idle connection to any disk server for that.
func (s *Scheduler) reserveDescriptor() bool {
	return s.serverConnCount < s.descriptorQuota(serverDescriptorShare) || s.closeLongestIdle(minEvictableIdle)
}

// longestIdleConn returns the longest idle connection to any disk server; nil: none is idle.
func (s *Scheduler) longestIdleConn() *serverConn {
	if s.idleServerConns.first != nil {
		s.visited.idleConns++
	}
	return s.idleServerConns.first
}

// closeLongestIdle closes the longest idle connection to any disk server, if it has been idle for idleTime at least,
// and reports whether it did.
func (s *Scheduler) closeLongestIdle(idleTime time.Duration) bool {
	sc := s.longestIdleConn()
	if sc == nil || s.loop.Now()-sc.idleSince < idleTime {
		return false
	}
	sc.close()
	return true
}

// closeIdleConns closes the idle connections to one disk server.
func (ds *diskServer) closeIdleConns() {
	for len(ds.idle) > 0 {
		ds.idle[0].close()
	}
}
