package policy

import (
	"slices"
	"sort"
	"time"
)

// volumeQueue holds the ops of a volume that wait for dispatch to a server.
type volumeQueue struct {
	volume        *volume
	await         decayedMean   // times between completions (the paper's await)
	thinkTime     decayedMean   // times between arrivals (the paper's thinkt)
	demand        decayedRate   // units that arrived
	held          []*op         // in the order of orderedBefore
	serial        int           // position in the server's ring of queues
	opsByKey      map[int64]int // number of held ops for each key
	smallestUnits float64       // lower bound of the held ops' units
	retryCount    int           // held ops that have been dispatched before
	round         int           // in which it was last served
	lastSeen      time.Duration
}

// queueOf returns a volume's queue for a server; it is made if there is none.
func (server *server) queueOf(owner *volume) *volumeQueue {
	queue := server.queueByVolume[owner]
	if queue == nil {
		if server.queueByVolume == nil {
			server.queueByVolume = map[*volume]*volumeQueue{}
		}
		server.queueSerial++
		queue = &volumeQueue{volume: owner, round: -1, serial: server.queueSerial, opsByKey: map[int64]int{}}
		server.queueByVolume[owner], server.queues = queue, append(server.queues, queue)
	}
	return queue
}

// enqueue puts an op into its volume's queue for a server.
func (server *server) enqueue(op *op) {
	op.server, op.queue = server, server.queueOf(op.volume)
	if len(op.queue.held) == 0 {
		server.nonEmpty = slices.Insert(server.nonEmpty, server.indexAfterSerial(op.queue.serial), op.queue)
	}
	op.queue.insert(op)
	server.heldCount++
}

// dequeue takes an op out of its queue, if it is in one.
func (op *op) dequeue() {
	if op.queue == nil {
		return
	}
	op.queue.remove(op)
	if len(op.queue.held) == 0 {
		i := op.server.indexAfterSerial(op.queue.serial - 1)
		op.server.nonEmpty = slices.Delete(op.server.nonEmpty, i, i+1)
	}
	op.server.heldCount--
	op.queue = nil
}

func (queue *volumeQueue) insert(op *op) {
	if len(queue.held) == 0 || op.Units < queue.smallestUnits {
		queue.smallestUnits = op.Units
	}
	i := sort.Search(len(queue.held), func(i int) bool { return orderedBefore(op, queue.held[i]) })
	queue.held = slices.Insert(queue.held, i, op)
	queue.retryCount += boolToInt(len(op.dispatches) > 0)
	if op.HasKey {
		queue.opsByKey[op.Key]++
	}
}

func (queue *volumeQueue) remove(op *op) {
	i := sort.Search(len(queue.held), func(i int) bool { return !orderedBefore(queue.held[i], op) })
	queue.held = slices.Delete(queue.held, i, i+1)
	queue.retryCount -= boolToInt(len(op.dispatches) > 0)
	if !op.HasKey {
		return
	}
	queue.opsByKey[op.Key]--
	if queue.opsByKey[op.Key] == 0 {
		delete(queue.opsByKey, op.Key)
	}
}

// appendHeld appends an op to the list of held ops; those without a server are counted.
func (s *Engine) appendHeld(op *op) {
	s.serial++
	op.heldSerial, op.previousHeld, op.nextHeld = s.serial, s.lastHeld, nil
	if s.lastHeld != nil {
		s.lastHeld.nextHeld = op
	} else {
		s.firstHeld = op
	}
	s.lastHeld = op
	s.unassigned += boolToInt(op.server == nil)
}

// removeHeld takes an op out of the list of held ops, if it is in it.
func (s *Engine) removeHeld(op *op) {
	if op.heldSerial == 0 {
		return
	}
	if op.previousHeld != nil {
		op.previousHeld.nextHeld = op.nextHeld
	} else {
		s.firstHeld = op.nextHeld
	}
	if op.nextHeld != nil {
		op.nextHeld.previousHeld = op.previousHeld
	} else {
		s.lastHeld = op.previousHeld
	}
	s.unassigned -= boolToInt(op.server == nil)
	op.heldSerial, op.previousHeld, op.nextHeld = 0, nil, nil
}

// unassignAll empties the queues of a server; their ops stay held, without a server.
func (s *Engine) unassignAll(server *server) {
	for _, queue := range server.queues {
		for _, op := range queue.held {
			op.server, op.queue = nil, nil
		}
		s.unassigned += len(queue.held)
		queue.held, queue.retryCount = nil, 0
		clear(queue.opsByKey)
	}
	server.servedQueue, server.sliceState, server.heldCount, server.nonEmpty = nil, sliceIdle, 0, nil
}

// indexAfterSerial is the index in nonEmpty of the first queue with a greater serial.
func (server *server) indexAfterSerial(serial int) int {
	return sort.Search(len(server.nonEmpty), func(i int) bool { return server.nonEmpty[i].serial > serial })
}

// ringStart is the index in nonEmpty after the served queue, where a pass over the ring starts.
func (server *server) ringStart() int {
	if server.servedQueue == nil {
		return 0
	}
	return server.indexAfterSerial(server.servedQueue.serial)
}

// busyVolumes is the number of volumes with held ops.
func (server *server) busyVolumes() int { return len(server.nonEmpty) }

// assignAllHeld assigns held ops without a server, and dispatches what may be sent to any active
// server.
func (s *Engine) assignAllHeld() {
	for op := s.firstHeld; op != nil && s.unassigned > 0; op = op.nextHeld {
		if op.server == nil {
			s.assignServer(op)
		}
	}
	for _, server := range s.activeServers {
		if server.heldCount > 0 {
			s.runSlices(server)
		}
	}
}

// assignHeld assigns held ops without a server, and dispatches what may be sent to the changed
// servers and to those that got an op here. Only these can have changed; the others are visited by
// the next sweep.
func (s *Engine) assignHeld(changed []*server) {
	for op := s.firstHeld; op != nil && s.unassigned > 0; op = op.nextHeld {
		if op.server == nil {
			s.assignServer(op)
			if op.server != nil && len(changed) < len(s.serversByID) {
				changed = append(changed, op.server)
			}
		}
	}
	for _, server := range changed {
		if server.heldCount > 0 {
			s.runSlices(server)
		}
	}
}

// orderedBefore is the order of a queue: retries first, then by target, then in the order held.
func orderedBefore(op, other *op) bool {
	if op.isRetry != other.isRetry {
		return op.isRetry
	}
	if op.target != other.target {
		return op.target < other.target
	}
	return op.heldSerial < other.heldSerial
}
