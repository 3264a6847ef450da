package policy

import (
	"slices"
	"sort"
	"time"
)

// volumeQueue holds the ops of a volume that wait for dispatch to a server.
type volumeQueue struct {
	volume        *volume
	server        *server
	await         decayedMean   // times between completions (the paper's await)
	thinkTime     decayedMean   // times between arrivals (the paper's thinkt)
	demand        decayedRate   // units that arrived
	ops           []*op         // in the order of orderedBefore
	serial        int           // position in the server's ring of queues
	opsByKey      map[int64]int // number of queued ops for each key
	manyKeys      bool          // opsByKey has had more than keptQueueCapacity keys
	smallestUnits float64       // lower bound of the queued ops' units
	retryCount    int           // queued ops that have been dispatched before
	round         int           // round in which it was last served
	lastSeen      time.Duration
	recency       recencyNode[volumeQueue] // listed while it is empty
}

// queueOf returns a volume's queue for a server. It creates the queue if there is none.
func (server *server) queueOf(owner *volume) *volumeQueue {
	queue := server.queueByVolume[owner]
	if queue == nil {
		if server.queueByVolume == nil {
			server.queueByVolume = map[*volume]*volumeQueue{}
		}
		server.queueSerial++
		queue = &volumeQueue{volume: owner, server: server, round: -1, serial: server.queueSerial}
		queue.recency.record = queue
		server.queueByVolume[owner] = queue
		owner.queues = append(owner.queues, queue)
	}
	return queue
}

// enqueue puts an op into its volume's queue for a server.
func (e *Engine) enqueue(op *op, server *server) {
	op.server, op.queue = server, server.queueOf(op.volume)
	op.queue.recency.remove()
	if len(op.queue.ops) == 0 {
		server.nonEmpty = slices.Insert(server.nonEmpty, server.indexAfterSerial(op.queue.serial), op.queue)
	}
	op.queue.insert(op)
	server.queuedCount++
}

// dequeue takes an op out of its queue, if it is in one.
func (e *Engine) dequeue(op *op) {
	if op.queue == nil {
		return
	}
	op.queue.remove(op)
	if len(op.queue.ops) == 0 {
		i := op.server.indexAfterSerial(op.queue.serial - 1)
		op.server.nonEmpty = slices.Delete(op.server.nonEmpty, i, i+1)
		op.queue.release()
		e.markQueueIdle(op.queue)
	}
	op.server.queuedCount--
	op.queue = nil
}

// keptQueueCapacity is the number of ops, and of their keys, for which an empty queue keeps memory.
const keptQueueCapacity = 16

// release releases the memory of an empty queue that depends on the number of its ops.
func (queue *volumeQueue) release() {
	if queue.manyKeys {
		queue.opsByKey, queue.manyKeys = nil, false
	}
	if cap(queue.ops) > keptQueueCapacity {
		queue.ops = nil
	}
}

func (queue *volumeQueue) insert(op *op) {
	if len(queue.ops) == 0 || op.Units < queue.smallestUnits {
		queue.smallestUnits = op.Units
	}
	i := sort.Search(len(queue.ops), func(i int) bool { return orderedBefore(op, queue.ops[i]) })
	queue.ops = slices.Insert(queue.ops, i, op)
	if len(op.dispatches) > 0 {
		queue.retryCount++
	}
	if !op.HasKey {
		return
	}
	if queue.opsByKey == nil {
		queue.opsByKey = map[int64]int{}
	}
	queue.opsByKey[op.Key]++
	queue.manyKeys = queue.manyKeys || len(queue.opsByKey) > keptQueueCapacity
}

func (queue *volumeQueue) remove(op *op) {
	i := sort.Search(len(queue.ops), func(i int) bool { return !orderedBefore(queue.ops[i], op) })
	queue.ops = slices.Delete(queue.ops, i, i+1)
	if len(op.dispatches) > 0 {
		queue.retryCount--
	}
	if !op.HasKey {
		return
	}
	queue.opsByKey[op.Key]--
	if queue.opsByKey[op.Key] == 0 {
		delete(queue.opsByKey, op.Key)
	}
}

// appendQueued appends an op to the list of queued ops, and counts it as unassigned if it has no
// server.
func (e *Engine) appendQueued(op *op) {
	e.serial++
	op.queuedSerial, op.previousQueued, op.nextQueued = e.serial, e.lastQueued, nil
	if e.lastQueued != nil {
		e.lastQueued.nextQueued = op
	} else {
		e.firstQueued = op
	}
	e.lastQueued = op
	if op.server == nil {
		e.unassigned++
	}
}

// removeQueued takes an op out of the list of queued ops, if it is in it.
func (e *Engine) removeQueued(op *op) {
	if op.queuedSerial == 0 {
		return
	}
	if op.previousQueued != nil {
		op.previousQueued.nextQueued = op.nextQueued
	} else {
		e.firstQueued = op.nextQueued
	}
	if op.nextQueued != nil {
		op.nextQueued.previousQueued = op.previousQueued
	} else {
		e.lastQueued = op.previousQueued
	}
	if op.server == nil {
		e.unassigned--
	}
	op.queuedSerial, op.previousQueued, op.nextQueued = 0, nil, nil
}

// unassignAll empties the queues of a server. Their ops stay queued without a server.
func (e *Engine) unassignAll(server *server) {
	for _, queue := range server.nonEmpty {
		for _, op := range queue.ops {
			op.server, op.queue = nil, nil
		}
		e.unassigned += len(queue.ops)
		queue.ops, queue.retryCount = nil, 0
		queue.opsByKey, queue.manyKeys = nil, false
		e.markQueueIdle(queue)
	}
	server.servedQueue, server.sliceState, server.queuedCount, server.nonEmpty = nil, sliceIdle, 0, nil
}

// indexAfterSerial returns the index in nonEmpty of the first queue with a greater serial.
func (server *server) indexAfterSerial(serial int) int {
	return sort.Search(len(server.nonEmpty), func(i int) bool { return server.nonEmpty[i].serial > serial })
}

// ringStart returns the index in nonEmpty after the served queue, at which a pass over the ring
// starts.
func (server *server) ringStart() int {
	if server.servedQueue == nil {
		return 0
	}
	return server.indexAfterSerial(server.servedQueue.serial)
}

// busyVolumes returns the number of volumes with queued ops.
func (server *server) busyVolumes() int { return len(server.nonEmpty) }

// assignAllQueued assigns queued ops without a server, and dispatches the ops that may be sent to
// any active server.
func (e *Engine) assignAllQueued() {
	for op := e.firstQueued; op != nil && e.unassigned > 0; op = op.nextQueued {
		if op.server == nil {
			e.assignServer(op)
		}
	}
	for _, server := range e.activeServers {
		if server.queuedCount > 0 {
			e.runSlices(server)
		}
	}
}

// assignQueued assigns queued ops without a server, and dispatches the ops that may be sent to the
// changed servers and to those that got an op here. Only these servers can have changed; the next
// sweep visits the others.
func (e *Engine) assignQueued(changed []*server) {
	for op := e.firstQueued; op != nil && e.unassigned > 0; op = op.nextQueued {
		if op.server == nil {
			e.assignServer(op)
			if op.server != nil && len(changed) < len(e.serversByID) {
				changed = append(changed, op.server)
			}
		}
	}
	for _, server := range changed {
		if server.queuedCount > 0 {
			e.runSlices(server)
		}
	}
}

// orderedBefore reports whether op comes before other in a queue: retries first, then by target,
// then in the order queued.
func orderedBefore(op, other *op) bool {
	if op.isRetry != other.isRetry {
		return op.isRetry
	}
	if op.target != other.target {
		return op.target < other.target
	}
	return op.queuedSerial < other.queuedSerial
}
