package policy

import "time"

const (
	idleExpiry    = 30 * time.Second // records idle for longer are dropped (design page)
	evictInterval = time.Second      // between two searches for idle records, whose work grows with their number
)

// evictIdle drops the records that have been idle for a time, or have expired.
func (s *Engine) evictIdle(idle time.Duration) {
	for _, server := range s.serversByID {
		s.evictIdleQueues(server, idle)
	}
	for id, volume := range s.volumes {
		if volume.openOps == 0 && s.now-volume.lastSeen >= idle {
			delete(s.volumes, id)
		}
	}
	for cell, demand := range s.demandByCell {
		if s.now-demand.requested[withinReserveIndex].last >= idle {
			delete(s.demandByCell, cell)
		}
	}
	for identity, attempt := range s.earlierAttempts {
		if s.now >= attempt.expires {
			delete(s.earlierAttempts, identity)
		}
	}
	for key, queue := range s.keyQueues {
		if len(queue.ops) == 0 && s.now >= queue.settledAt {
			delete(s.keyQueues, key)
		}
	}
}

func (s *Engine) evictIdleQueues(server *server, idle time.Duration) {
	kept := server.queues[:0]
	for _, queue := range server.queues {
		if len(queue.held) > 0 || queue == server.servedQueue || s.now-queue.lastSeen < idle {
			kept = append(kept, queue)
		} else {
			delete(server.queueByVolume, queue.volume)
		}
	}
	server.queues = kept
}
