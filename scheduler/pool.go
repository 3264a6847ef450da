package scheduler

import (
	"slices"
	"time"

	"honeyplank"
	"honeyplank/resp"
)

// diskServer manages the connections to one disk server. A disk server answers the commands of a connection in order.
// So each attempt has a connection of its own while descriptors are available; after that, attempts share connections.
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
	redialAfter   time.Duration // no dial starts before this time
	dialFailures  int           // consecutive dials that could not start; counted up to maxRedialShift
}

const (
	// reuseDelay is the minimum idle time of a connection before it carries the next command. Data that arrives within
	// that time cannot be an answer to the next command. The delay guards against disk servers that send a second
	// answer some milliseconds late. It costs additional connections.
	reuseDelay = 8 * time.Millisecond
	// A dial that could not start is retried with a backoff from minRedialDelay to maxRedialDelay, which is reached
	// after maxRedialShift doublings.
	minRedialDelay = 10 * time.Millisecond
	maxRedialDelay = 160 * time.Millisecond
	maxRedialShift = 4
	// maxDialWait is the longest time that a dispatch waits for a dial to start.
	maxDialWait = 200 * time.Millisecond
	// minEvictableIdle is the minimum idle time of a connection before it is evicted for another.
	minEvictableIdle = time.Second
)

// assignConn sends an attempt on an idle connection. If none is idle, the attempt waits for a new connection. If no new
// one can be opened, the attempt shares a busy connection. If none can be shared, the attempt waits for a connection or
// fails.
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
	default: // this machine has no descriptor left: the disk server is not at fault
		a.fail(honeyplank.NotSent)
	}
}

// mayWaitForDial reports whether an attempt may wait until the given time for a dial to start. Health checks do not
// wait.
func (a *attempt) mayWaitForDial(until time.Duration) bool {
	return a.dispatch != nil && until <= min(a.started+maxDialWait, a.dispatch.Deadline)
}

// takeIdleConn removes the longest idle connection from the idle ones and returns it, if it has been idle for
// reuseDelay. It closes connections on which data has arrived since they became idle. It returns nil if there is none
// to take.
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

// leastLoadedConn returns the connection with the fewest attempts in flight among the busy ones that may carry another,
// or nil if there is none.
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

// nextWaiter removes and returns the attempt that has waited longest.
func (ds *diskServer) nextWaiter() *attempt {
	a := ds.waiting[0]
	ds.waiting = ds.waiting[1:]
	return a
}

// scheduleWaiters schedules wakeWaiters for the time at which the longest idle connection may be reused. If no
// connection is idle or being opened, it schedules wakeWaiters for the current time.
func (ds *diskServer) scheduleWaiters() {
	if ds.wakeScheduled || len(ds.waiting) == 0 || ds.dialing > 0 && len(ds.idle) == 0 {
		return
	}
	at := ds.scheduler.loop.Now()
	if len(ds.idle) == 0 && at < ds.redialAfter { // redial handles the waiting attempts
		return
	}
	if len(ds.idle) > 0 {
		at = ds.idle[0].idleSince + reuseDelay
	}
	ds.wakeScheduled = true
	ds.scheduler.loop.Schedule(at, ds.wakeWaiters)
}

// wakeWaiters sends waiting attempts on idle connections. If no connection is left that is idle or being opened, it
// assigns the other attempts again.
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

// assignAll assigns connections to attempts, except to those that finish in the meantime.
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

// failWaiters is called when a connection could not be opened. While descriptors are available, each attempt waits for
// a connection of its own, and one attempt fails with each connection. Without free descriptors, several attempts wait
// for one connection. They all fail with the last connection that was being opened, instead of waiting for their op
// timeouts.
func (ds *diskServer) failWaiters() {
	for first := true; len(ds.waiting) > ds.dialing; first = false {
		if !first && (ds.dialing > 0 || len(ds.idle) > 0) {
			return
		}
		ds.nextWaiter().fail(honeyplank.ConnectFailed)
	}
}

// dialIfAllowed starts to open a connection if a descriptor is available, and reports whether it did.
func (ds *diskServer) dialIfAllowed() bool {
	return ds.scheduler.reserveDescriptor() && ds.dial() == nil
}

// dial starts to open a connection. An error means that this machine could not start the dial.
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
	conn.SetReceiveBuffer(serverReceiveBuffer)
	s.serverConnCount++
	ds.conns = append(ds.conns, sc)
	ds.dialing++
	sc.connectTimer = s.loop.Schedule(s.loop.Now()+s.site().ConnectTimeout, func() {
		sc.Closed(conn, errConnectTimeout)
	})
	return nil
}

// postponeDial schedules the next dial after one that this machine could not start, for lack of a descriptor, a port,
// memory or a route. The disk server is not at fault. The failure is logged once until a dial starts again.
func (ds *diskServer) postponeDial(err error) {
	s := ds.scheduler
	if s.failedDials++; s.failedDials == 1 {
		s.log.Warn().Str("server", string(ds.id)).Err(err).Msg("cannot open connections to disk servers")
	}
	ds.redialAfter = s.loop.Now() + min(minRedialDelay<<ds.dialFailures, maxRedialDelay)
	ds.dialFailures = min(ds.dialFailures+1, maxRedialShift)
	s.loop.Schedule(ds.redialAfter, ds.redial)
}

// redial dials again for the waiting attempts. If that fails too, it reports the attempts that have waited too long as
// not sent, so that the decision module can choose another server.
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

// reserveDescriptor reports whether a descriptor is available for one more connection to a disk server. To free one, it
// may close the longest idle connection to any disk server.
func (s *Scheduler) reserveDescriptor() bool {
	return s.serverConnCount < s.descriptorQuota(serverDescriptorShare) || s.closeLongestIdle(minEvictableIdle)
}

// longestIdleConn returns the longest idle connection to any disk server, or nil if none is idle.
func (s *Scheduler) longestIdleConn() *serverConn {
	if s.idleServerConns.first != nil {
		s.visited.idleConns++
	}
	return s.idleServerConns.first
}

// closeLongestIdle closes the longest idle connection to any disk server, if it has been idle for at least idleTime,
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
