package policy

import "time"

const (
	idleExpiry    = 30 * time.Second // records idle for longer are dropped (design page)
	evictInterval = time.Second      // between two searches for idle records, whose work grows with their number
)

// evictIdle drops entries that have been idle for long.
func (s *Scheduler) evictIdle(idle time.Duration) {
	for _, o := range s.serversByID {
		kept := o.queues[:0]
		for _, q := range o.queues {
			if len(q.held) > 0 || q == o.servedQueue || s.now-q.lastSeen < idle {
				kept = append(kept, q)
			} else {
				delete(o.queueByVolume, q.volume)
			}
		}
		o.queues = kept
	}
	for id, v := range s.volumes {
		if v.openOps == 0 && s.now-v.lastSeen >= idle {
			delete(s.volumes, id)
		}
	}
	for cell, f := range s.demandByCell {
		if s.now-f.requested[0].last >= idle {
			delete(s.demandByCell, cell)
		}
	}
	for id, a := range s.earlierAttempts {
		if s.now >= a.expires {
			delete(s.earlierAttempts, id)
		}
	}
	for id, k := range s.keyQueues {
		if len(k.ops) == 0 && s.now >= k.settledAt {
			delete(s.keyQueues, id)
		}
	}
}
