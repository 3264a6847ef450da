package scheduler

import (
	"slices"
	"time"

	"honeyplank"
)

// applyMember applies an entry of the endpoint list to its disk server, and adds the server if it is new.
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

// retireConns closes the connections with nothing in flight, including those that are being opened. The others close
// once none of their attempts in flight awaits an answer.
func (ds *diskServer) retireConns() {
	for _, sc := range slices.Clone(ds.conns) {
		if sc.retiring = true; len(sc.inFlight) == 0 {
			sc.close()
		}
	}
}

// enforceDrainGrace ensures that no attempt starts at a disk server that is removed, or after the grace period at one
// that is draining. Earlier dispatches may still wait for a connection or for their write: a connection may take longer
// to open than the grace period. The grace period counts from the time at which the process was notified. It ends
// maxProcessPause early, since a write may be that late. Limitation: attempts fail needlessly at a disk server whose
// grace period is longer than that of the settings.
func (ds *diskServer) enforceDrainGrace(notified time.Duration) {
	if ds.removed {
		ds.cancelUnsent()
		return
	}
	if !ds.draining {
		return
	}
	grace := ds.scheduler.site().Settings.DrainGrace
	ds.scheduler.loop.Schedule(notified+max(grace-maxProcessPause, 0), func() {
		if ds.draining {
			ds.cancelUnsent()
		}
	})
}

// cancelUnsent withdraws the attempts of which nothing has been written, and reports them as not sent.
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

// closeIdleServerConns closes connections that have been idle for more than half of the disk servers' keepalive time.
// It also closes the longest idle connections while there are more connections than a new configuration allows.
func (s *Scheduler) closeIdleServerConns() {
	for s.serverConnCount > s.descriptorQuota(serverDescriptorShare) && s.closeLongestIdle(0) {
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
