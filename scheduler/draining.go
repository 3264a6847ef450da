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
