package scheduler

import (
	"slices"
	"time"

	"honeyplank"
	"honeyplank/resp"
)

// diskServer has the connections to one disk server. An op has a connection of its own while descriptors last, since
// answers come in the order of commands; past that, connections carry several.
type diskServer struct {
	scheduler     *Scheduler
	id            honeyplank.ServerID
	address       string
	removed       bool
	draining      bool
	wakeScheduled bool          // wakeWaiters is scheduled
	conns         []*serverConn // all that are open or being opened, oldest first
	idle          []*serverConn // those that carry nothing, the one that has been idle longest first
	waiting       []*attempt    // for a connection, in the order in which they came
	dialing       int           // connections that are being opened
	redialAfter   time.Duration // no dial begins before
	dialFailures  int           // dials in a row that could not begin, up to maxRedialShift
}

const (
	// reuseDelay is how long a connection has been idle before it carries the next op: what comes in the meantime is no answer to
	// that. It guards against disk servers that answer a second time some milliseconds late (1.2 to 3.9 were met), and
	// costs connections.
	reuseDelay = 8 * time.Millisecond
	// A dial that could not begin is repeated after minRedialDelay, then after twice the delay before, up to maxRedialDelay,
	// which maxRedialShift doublings give.
	minRedialDelay = 10 * time.Millisecond
	maxRedialDelay = 160 * time.Millisecond
	maxRedialShift = 4
	// maxDialWait is how long a dispatch waits for a dial that can begin.
	maxDialWait = 200 * time.Millisecond
	// minEvictableIdle is how long a connection has been idle at least before it is closed for another.
	minEvictableIdle = time.Second
)

// assignConn sends an attempt on an idle connection, else on a new one, else behind others, else when there is one.
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
	default: // there is no descriptor, which says nothing of the disk server
		a.fail(honeyplank.NotSent)
	}
}

// mayWaitForDial reports whether an attempt waits until a time for a dial that can begin. Probes do not.
func (a *attempt) mayWaitForDial(until time.Duration) bool {
	return a.dispatch != nil && until <= min(a.started+maxDialWait, a.dispatch.Deadline)
}

// takeIdleConn takes the connection that has been idle longest, if that is long enough and nothing has come on it since.
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

// leastLoadedConn is the connection that carries the fewest attempts, of those that may carry one more; nil: there is none.
func (ds *diskServer) leastLoadedConn() *serverConn {
	most := max(ds.scheduler.site().StreamsPerConn, 1)
	var least *serverConn
	for _, sc := range ds.conns {
		load := len(sc.inFlight)
		if !sc.connected || sc.retiring || load == 0 || load >= most {
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

// scheduleWaiters has the waiting attempts looked at again: when the connection that has been idle longest may carry one,
// or at once where none is idle and none is being opened.
func (ds *diskServer) scheduleWaiters() {
	if ds.wakeScheduled || len(ds.waiting) == 0 || ds.dialing > 0 && len(ds.idle) == 0 {
		return
	}
	at := ds.scheduler.loop.Now()
	if len(ds.idle) == 0 && at < ds.redialAfter { // redial looks at them
		return
	}
	if len(ds.idle) > 0 {
		at = ds.idle[0].idleSince + reuseDelay
	}
	ds.wakeScheduled = true
	ds.scheduler.loop.Schedule(at, ds.wakeWaiters)
}

// wakeWaiters sends waiting attempts on idle connections, and where none is left nor being opened has the rest choose again.
func (ds *diskServer) wakeWaiters() {
	ds.wakeScheduled = false
	for len(ds.waiting) > 0 { // an idle connection will do for those that wait for one that is being opened
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

// reassignWaiters has all waiting attempts choose again.
func (ds *diskServer) reassignWaiters() {
	waiting := ds.waiting
	ds.waiting = nil
	ds.assignAll(waiting)
}

// assignAll assigns connections to attempts, but for those that finish meanwhile.
func (ds *diskServer) assignAll(attempts []*attempt) {
	for _, a := range attempts {
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

// failWaiters is called when a connection did not come up. Each attempt waits for a connection of its own while descriptors
// last, and one fails with each. Past that several wait for one, and all of them fail with the last that was being opened:
// they would wait for their op timeouts else.
func (ds *diskServer) failWaiters() {
	for first := true; len(ds.waiting) > ds.dialing; first = false {
		if !first && (ds.dialing > 0 || len(ds.idle) > 0) {
			return
		}
		ds.nextWaiter().fail(honeyplank.ConnectFailed)
	}
}

// dialIfAllowed opens a connection if there is a descriptor for it, and reports whether it could.
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
		s.log.Info().Str("osd", string(ds.id)).Int("attempts", s.failedDials).Msg("connections can be opened again")
		s.failedDials = 0
	}
	sc.conn = conn
	conn.OnClosed = func() { s.serverConnCount-- }
	conn.BeforeWrite = sc.refreshDeadlines
	s.serverConnCount++
	ds.conns = append(ds.conns, sc)
	ds.dialing++
	sc.connectTimer = s.loop.Schedule(s.loop.Now()+s.site().ConnectTimeout, func() { sc.Closed(conn, errConnectTimeout) })
	return nil
}

// postponeDial schedules the next dial where this machine could not begin one: it lacks a descriptor, a port, memory or a
// route. That says nothing of the disk server, and is logged once until a dial begins again.
func (ds *diskServer) postponeDial(err error) {
	s := ds.scheduler
	if s.failedDials++; s.failedDials == 1 {
		s.log.Warn().Str("osd", string(ds.id)).Err(err).Msg("no connection can be opened")
	}
	ds.redialAfter = s.loop.Now() + min(minRedialDelay<<ds.dialFailures, maxRedialDelay)
	ds.dialFailures = min(ds.dialFailures+1, maxRedialShift)
	s.loop.Schedule(ds.redialAfter, ds.redial)
}

// redial dials again for the attempts that wait. Where that fails too, those that have waited for long are reported as not
// sent, so that the module can choose again.
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

// reserveDescriptor reports whether there is a descriptor for one more connection to a disk server; the one that has been
// idle longest anywhere gives way.
func (s *Scheduler) reserveDescriptor() bool {
	return s.serverConnCount < s.descriptorQuota(serverDescriptorShare) || s.closeLongestIdle(minEvictableIdle)
}

// longestIdleConn is the connection that has been idle longest, of those to all disk servers; nil: none is idle.
func (s *Scheduler) longestIdleConn() *serverConn {
	if s.idleServerConns.first != nil {
		s.visited.idleConns++
	}
	return s.idleServerConns.first
}

// closeLongestIdle closes the connection that has been idle longest anywhere, if it has been for a time at least, and
// reports whether it did.
func (s *Scheduler) closeLongestIdle(least time.Duration) bool {
	sc := s.longestIdleConn()
	if sc == nil || s.loop.Now()-sc.idleSince < least {
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
