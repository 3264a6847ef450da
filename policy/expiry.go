package policy

import "time"

const (
	idleExpiry    = 30 * time.Second // records idle for longer are dropped
	evictInterval = time.Second      // between searches for idle records, whose work grows with the number of records
)

// evictIdle drops the records that have been idle for the given time, or have expired.
func (e *Engine) evictIdle(idle time.Duration) {
	for _, server := range e.serversByID {
		e.evictIdleQueues(server, idle)
	}
	for id, volume := range e.volumes {
		if volume.openOps == 0 && e.now-volume.lastSeen >= idle {
			delete(e.volumes, id)
		}
	}
	for cell, demand := range e.demandByCell {
		if e.now-demand.requested[reserveDemand].last >= idle {
			delete(e.demandByCell, cell)
		}
	}
	for identity, attempt := range e.earlierAttempts {
		if e.now >= attempt.expires {
			delete(e.earlierAttempts, identity)
		}
	}
	for key, queue := range e.keyQueues {
		if len(queue.ops) == 0 && e.now >= queue.settledAt {
			delete(e.keyQueues, key)
		}
	}
}

func (e *Engine) evictIdleQueues(server *server, idle time.Duration) {
	kept := server.queues[:0]
	for _, queue := range server.queues {
		if len(queue.ops) > 0 || queue == server.servedQueue || e.now-queue.lastSeen < idle {
			kept = append(kept, queue)
		} else {
			delete(server.queueByVolume, queue.volume)
		}
	}
	server.queues = kept
}
