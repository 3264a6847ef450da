package policy

import (
	"slices"
	"time"

	"honeyplank"
)

const (
	idleExpiry    = 30 * time.Second // records idle for longer are dropped
	evictInterval = time.Second      // between searches for idle records, whose work grows with the number of records

	droppedLogInterval = 5 * time.Second // between two log lines on records that were dropped early
)

// The largest numbers of records that clients make grow by new names. Past them the record that was
// used longest ago is dropped at once. Records with open ops count towards the ops.
const (
	maxIdleVolumes     = 2048  // volumes without open ops that were sent something
	maxUnusedVolumes   = 1024  // volumes without open ops that were sent nothing, so that little is lost with them
	maxIdleQueues      = 16384 // empty queues, of all servers
	maxIdleKeyMaps     = 1024  // empty queues beyond which those that become empty keep no map of keys
	maxEarlierAttempts = 8192  // requests whose time is counted from their first attempt
	maxUnknownCells    = 1024  // cells with demand, but without a server
	maxAdmissions      = 65536 // admissions that count for the retry budget
)

// markIdle is called when a volume has no open op any more.
func (e *Engine) markIdle(volume *volume) {
	if volume.lastDispatch == 0 {
		e.unusedVolumes.touch(&volume.recency)
	} else {
		e.idleVolumes.touch(&volume.recency)
	}
	for e.unusedVolumes.count > maxUnusedVolumes {
		e.dropVolume(e.unusedVolumes.oldest.record)
	}
	for e.idleVolumes.count > maxIdleVolumes {
		e.dropVolume(e.idleVolumes.oldest.record)
	}
}

// dropVolume drops the record of a volume without open ops, and its queues, which are empty. If the
// volume comes again, its limit's bucket holds only what was refilled since the last dispatch for
// any dropped volume.
func (e *Engine) dropVolume(volume *volume) {
	volume.recency.remove()
	delete(e.volumes, volume.id)
	e.droppedDispatch = max(e.droppedDispatch, volume.lastDispatch)
	e.dropped.Volumes++
	for _, queue := range slices.Clone(volume.queues) { // dropQueue changes the list
		if queue != queue.server.servedQueue {
			e.dropQueue(queue)
		}
	}
}

// markQueueIdle is called when a queue is empty, or is used while it is empty.
func (e *Engine) markQueueIdle(queue *volumeQueue) {
	e.idleQueues.touch(&queue.recency)
	if e.idleQueues.count > maxIdleKeyMaps && len(queue.ops) == 0 {
		queue.opsByKey = nil
	}
	for checked := 0; e.idleQueues.count > maxIdleQueues && checked <= len(e.serversByID); checked++ {
		oldest := e.idleQueues.oldest.record
		if oldest == oldest.server.servedQueue { // at most one for each server
			e.idleQueues.touch(&oldest.recency)
			continue
		}
		e.dropQueue(oldest)
		e.dropped.Queues++
	}
}

// logDropped logs the records that were dropped early, at most once in droppedLogInterval.
func (e *Engine) logDropped() {
	if e.dropped == (honeyplank.LogRecordsDropped{}) || e.now-e.droppedLoggedAt < droppedLogInterval {
		return
	}
	e.emit(e.dropped)
	e.dropped, e.droppedLoggedAt = honeyplank.LogRecordsDropped{}, e.now
}

// dropQueue drops an empty queue with its estimates.
func (e *Engine) dropQueue(queue *volumeQueue) {
	queue.recency.remove()
	delete(queue.server.queueByVolume, queue.volume)
	queue.volume.queues = without(queue.volume.queues, queue)
	if queue.await.sum > 0 {
		queue.server.awaited = without(queue.server.awaited, queue)
	}
}

// evictIdle drops the records that have been idle for the given time, or have expired.
func (e *Engine) evictIdle(idle time.Duration) {
	for _, server := range e.serversByID {
		e.evictIdleQueues(server, idle)
	}
	for id, volume := range e.volumes {
		if volume.openOps == 0 && e.now-volume.lastSeen >= idle {
			volume.recency.remove()
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
	for _, queue := range server.queueByVolume {
		if len(queue.ops) == 0 && queue != server.servedQueue && e.now-queue.lastSeen >= idle {
			e.dropQueue(queue)
		}
	}
}
