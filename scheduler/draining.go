package scheduler

import (
	"slices"
	"time"

	"honeyplank"
)

// applyMember applies an entry of the list to its disk server, which is made if it is new.
func (s *Scheduler) applyMember(m listMember) *diskServer {
	id := honeyplank.ServerID(m.ID)
	ds := s.servers[id]
	if ds == nil {
		ds = &diskServer{scheduler: s, id: id, address: m.Address}
		s.servers[id] = ds
	}
	state := memberStates[m.Phase]
	ds.removed, ds.draining = state == honeyplank.Removed, state == honeyplank.Draining
	if m.Address != "" && m.Address != ds.address {
		ds.address, ds.redialAfter, ds.dialFailures = m.Address, 0, 0
		ds.retireConns()
		ds.reassignWaiters()
	}
	if ds.removed {
		ds.retireConns()
		if len(ds.conns) == 0 {
			delete(s.servers, id)
		}
	}
	return ds
}

// retireConns closes the connections that carry nothing, those that are not up yet too, and has the others close once
// nobody waits for what they carry.
func (ds *diskServer) retireConns() {
	for _, sc := range slices.Clone(ds.conns) {
		if sc.retiring = true; len(sc.inFlight) == 0 {
			sc.close()
		}
	}
}

// enforceDrainGrace ensures that nothing begins at a disk server that is removed, or past the grace at one that is draining:
// attempts decided before may still wait for a connection, or to be written. It guards against connections that take longer
// than the grace to come up, and could harm where a disk server's grace is longer than the settings say. The grace counts
// from when the process was notified, and ends a hold-up early, since what begins may leave that much later.
func (ds *diskServer) enforceDrainGrace(notified time.Duration) {
	if ds.removed {
		ds.cancelUnsent()
		return
	}
	if !ds.draining {
		return
	}
	grace := ds.scheduler.site().Settings.DrainGrace
	ds.scheduler.loop.Schedule(notified+max(grace-maxHoldUp, 0), func() {
		if ds.draining {
			ds.cancelUnsent()
		}
	})
}

// cancelUnsent takes back the attempts of which nothing is written.
func (ds *diskServer) cancelUnsent() {
	waiting := ds.waiting
	ds.waiting = nil
	for _, a := range waiting {
		a.fail(honeyplank.NotSent)
	}
	for _, sc := range slices.Clone(ds.conns) {
		for _, a := range slices.Clone(sc.inFlight) {
			if sc.conn != nil && !a.finished && a.firstByte >= sc.writtenBytes() && !a.fullyWritten() {
				sc.withdraw(a)
				a.fail(honeyplank.NotSent)
			}
		}
	}
}

// closeIdleServerConns closes connections that have been idle for half of the time for which the disk servers keep them,
// and the longest idle ones while there are too many.
func (s *Scheduler) closeIdleServerConns() {
	for s.serverConnCount > s.descriptorQuota(serverDescriptorShare) && s.closeLongestIdle(0) { // a new configuration may allow for fewer
	}
	now, keepalive := s.loop.Now(), s.site().IdleTimeout
	for keepalive > 0 {
		sc := s.longestIdleConn()
		if sc == nil || now-sc.idleSince <= keepalive/2 {
			return
		}
		sc.close()
	}
}
