package policy

import (
	"slices"
	"sort"
	"time"
)

// This file holds the held ops: one queue a volume and node, and the list of all. Nothing here decides.

// volumeQueue is a volume at a node.
type volumeQueue struct {
	volume        *volume
	await         decayedMean   // completion gaps
	thinkTime     decayedMean   // arrival gaps
	demand        decayedRate   // units taken
	held          []*op         // by rank: early ones first, then by target, then as they came
	serial        int           // place in the ring
	opsByKey      map[int64]int // how many of held have a key
	smallestUnits float64       // no op of held is smaller
	retryCount    int           // how many of held have been sent before
	round         int           // the round in which it was last served
	lastSeen      time.Duration
}

// queueOf returns the volume's queue at a node, made when it is missing.
func (o *server) queueOf(v *volume) *volumeQueue {
	q := o.queueByVolume[v]
	if q == nil {
		if o.queueByVolume == nil {
			o.queueByVolume = map[*volume]*volumeQueue{}
		}
		o.queueSerial++
		q = &volumeQueue{volume: v, round: -1, serial: o.queueSerial, opsByKey: map[int64]int{}}
		o.queueByVolume[v], o.queues = q, append(o.queues, q)
	}
	return q
}

// enqueue holds an op in its volume's queue at a node; leave takes it out again.
func (o *server) enqueue(p *op) {
	p.server, p.queue = o, o.queueOf(p.volume)
	if len(p.queue.held) == 0 {
		o.nonEmpty = slices.Insert(o.nonEmpty, o.indexAfterSerial(p.queue.serial), p.queue)
	}
	p.queue.insert(p)
	o.heldCount++
}

func (p *op) dequeue() {
	if p.queue != nil {
		if p.queue.remove(p); len(p.queue.held) == 0 {
			i := p.server.indexAfterSerial(p.queue.serial - 1)
			p.server.nonEmpty = slices.Delete(p.server.nonEmpty, i, i+1)
		}
		p.server.heldCount--
		p.queue = nil
	}
}

func (q *volumeQueue) insert(p *op) {
	if len(q.held) == 0 || p.Units < q.smallestUnits {
		q.smallestUnits = p.Units
	}
	i := sort.Search(len(q.held), func(i int) bool { return orderedBefore(p, q.held[i]) })
	q.held = slices.Insert(q.held, i, p)
	if q.retryCount += boolToInt(len(p.dispatches) > 0); p.HasKey {
		q.opsByKey[p.Key]++
	}
}

func (q *volumeQueue) remove(p *op) {
	i := sort.Search(len(q.held), func(i int) bool { return !orderedBefore(q.held[i], p) })
	q.held = slices.Delete(q.held, i, i+1)
	if q.retryCount -= boolToInt(len(p.dispatches) > 0); p.HasKey {
		if q.opsByKey[p.Key]--; q.opsByKey[p.Key] == 0 {
			delete(q.opsByKey, p.Key)
		}
	}
}

// appendHeld puts an op at the end of the held ones; release takes it out. Ops that lie nowhere are counted.
func (s *Scheduler) appendHeld(p *op) {
	s.serial++
	p.heldSerial, p.previousHeld, p.nextHeld = s.serial, s.lastHeld, nil
	if s.lastHeld != nil {
		s.lastHeld.nextHeld = p
	} else {
		s.firstHeld = p
	}
	s.lastHeld = p
	s.unassigned += boolToInt(p.server == nil)
}

func (s *Scheduler) removeHeld(p *op) {
	if p.heldSerial == 0 {
		return
	}
	if p.previousHeld != nil {
		p.previousHeld.nextHeld = p.nextHeld
	} else {
		s.firstHeld = p.nextHeld
	}
	if p.nextHeld != nil {
		p.nextHeld.previousHeld = p.previousHeld
	} else {
		s.lastHeld = p.previousHeld
	}
	s.unassigned -= boolToInt(p.server == nil)
	p.heldSerial, p.previousHeld, p.nextHeld = 0, nil, nil
}

// unassignAll takes the held ops from a disk server that takes nothing more.
func (s *Scheduler) unassignAll(o *server) {
	for _, q := range o.queues {
		for _, p := range q.held {
			p.server, p.queue = nil, nil
		}
		s.unassigned += len(q.held)
		q.held, q.retryCount = nil, 0
		clear(q.opsByKey)
	}
	o.servedQueue, o.sliceState, o.heldCount, o.nonEmpty = nil, sliceIdle, 0, nil
}

// indexAfterSerial is where in live the queues made later than one begin.
func (o *server) indexAfterSerial(serial int) int {
	return sort.Search(len(o.nonEmpty), func(i int) bool { return o.nonEmpty[i].serial > serial })
}

// ringStart is where in live the ring goes on after the served queue.
func (o *server) ringStart() int {
	if o.servedQueue == nil {
		return 0
	}
	return o.indexAfterSerial(o.servedQueue.serial)
}

// busyVolumes counts the volumes with held ops.
func (o *server) busyVolumes() int { return len(o.nonEmpty) }

// assignAllHeld finds a place for ops that have none and sends what may leave, from all servers.
func (s *Scheduler) assignAllHeld() {
	for p := s.firstHeld; p != nil && s.unassigned > 0; p = p.nextHeld {
		if p.server == nil {
			s.assignServer(p)
		}
	}
	for _, o := range s.activeServers {
		if o.heldCount > 0 {
			s.runSlices(o)
		}
	}
}

// assignHeld finds a place for ops that have none and sends what may leave, from some servers and from where it
// found one: after a change only there, since the rest is looked at with the next sweep.
func (s *Scheduler) assignHeld(from []*server) {
	for p := s.firstHeld; p != nil && s.unassigned > 0; p = p.nextHeld {
		if p.server == nil {
			if s.assignServer(p); p.server != nil && len(from) < len(s.serversByID) {
				from = append(from, p.server)
			}
		}
	}
	for _, o := range from {
		if o.heldCount > 0 {
			s.runSlices(o)
		}
	}
}

// orderedBefore is the order that a queue is kept in: that of before but for the run, then as they came to be held.
func orderedBefore(p, than *op) bool {
	if p.isRetry != than.isRetry {
		return p.isRetry
	}
	return p.target < than.target || p.target == than.target && p.heldSerial < than.heldSerial
}
