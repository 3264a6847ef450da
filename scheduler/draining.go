package scheduler

import (
	"slices"
	"time"

	"honeyplank"
	"honeyplank/inflight"
)

// applyMember takes over what the list says of a disk server.
func (s *Scheduler) applyMember(m listMember) *diskServer {
	id := honeyplank.ServerID(m.ID)
	ds := s.servers[id]
	if ds == nil {
		ds = &diskServer{scheduler: s, id: id, address: m.Address}
		s.servers[id] = ds
	}
	ds.removed, ds.draining = memberStates[m.Phase] == honeyplank.Removed, memberStates[m.Phase] == honeyplank.Draining
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

// retireConns has connections close once they carry nothing; those that are not up yet at once.
func (ds *diskServer) retireConns() {
	for _, sc := range slices.Clone(ds.conns) {
		if sc.retiring = true; len(sc.inFlight) == 0 {
			sc.close()
		}
	}
}

// enforceDrainGrace sees to it that nothing begins at a server that is gone, or past the grace at one that drains: what has been
// decided before may still wait for a connection, or to be written. It guards against connections that come up for
// longer than the grace, and could harm where a server's grace is longer than what the settings say. The grace counts from
// when the list came; what begins may leave a hold-up later.
func (ds *diskServer) enforceDrainGrace(told time.Duration) {
	if ds.removed {
		ds.cancelUnsent()
	} else if grace := ds.scheduler.site().Settings.DrainGrace; ds.draining {
		ds.scheduler.loop.Schedule(told+max(grace-maxHoldUp, 0), func() {
			if ds.draining {
				ds.cancelUnsent()
			}
		})
	}
}

// cancelUnsent takes back all of which nothing has left.
func (ds *diskServer) cancelUnsent() {
	waiting := ds.waiting
	ds.waiting = nil
	for _, a := range waiting {
		a.finish(honeyplank.NotSent, nil, inflight.Feedback{})
	}
	for _, sc := range slices.Clone(ds.conns) {
		for _, a := range slices.Clone(sc.inFlight) {
			if sc.conn != nil && !a.finished && a.firstByte >= sc.appendedBytes-uint64(sc.conn.UnsentBytes()) && !a.fullyWritten() {
				sc.withdraw(a)
				a.finish(honeyplank.NotSent, nil, inflight.Feedback{})
			}
		}
	}
}

// closeIdleServerConns closes connections that have been idle for half of what the other end keeps them.
func (s *Scheduler) closeIdleServerConns() {
	now := s.loop.Now()
	for s.serverConnCount > s.descriptorQuota(serverDescriptorShare) && s.closeLongestIdle(0) { // a new configuration may leave less room
	}
	keepalive := s.site().Idle
	for keepalive > 0 {
		sc := s.longestIdleConn()
		if sc == nil || now-sc.idleSince <= keepalive/2 {
			return
		}
		sc.close()
	}
}
