package policy

import (
	"slices"
	"sort"
	"time"
)

// This file holds the held ops: one queue a volume and node, and the list of all. Nothing here decides.

// queue is a volume at a node.
type queue struct {
	volume   *volume
	await    average       // completion gaps
	thinkt   average       // arrival gaps
	demand   flow          // units taken
	held     []*op         // by rank: early ones first, then by target, then as they came
	serial   int           // place in the ring
	keys     map[int64]int // how many of held have a key
	least    float64       // no op of held is smaller
	again    int           // how many of held have been sent before
	round    int           // the round in which it was last served
	lastSeen time.Duration
}

// queueOf returns the volume's queue at a node, made when it is missing.
func (o *osd) queueOf(v *volume) *queue {
	q := o.of[v]
	if q == nil {
		if o.of == nil {
			o.of = map[*volume]*queue{}
		}
		o.serial++
		q = &queue{volume: v, round: -1, serial: o.serial, keys: map[int64]int{}}
		o.of[v], o.queues = q, append(o.queues, q)
	}
	return q
}

// keep holds an op in its volume's queue at a node; leave takes it out again.
func (o *osd) keep(p *op) {
	p.osd, p.queue = o, o.queueOf(p.volume)
	if len(p.queue.held) == 0 {
		o.live = slices.Insert(o.live, o.place(p.queue.serial), p.queue)
	}
	p.queue.insert(p)
	o.holding++
}

func (p *op) leave() {
	if p.queue != nil {
		if p.queue.remove(p); len(p.queue.held) == 0 {
			i := p.osd.place(p.queue.serial - 1)
			p.osd.live = slices.Delete(p.osd.live, i, i+1)
		}
		p.osd.holding--
		p.queue = nil
	}
}

func (q *queue) insert(p *op) {
	if len(q.held) == 0 || p.Units < q.least {
		q.least = p.Units
	}
	i := sort.Search(len(q.held), func(i int) bool { return sooner(p, q.held[i]) })
	q.held = slices.Insert(q.held, i, p)
	if q.again += count(len(p.sends) > 0); p.HasKey {
		q.keys[p.Key]++
	}
}

func (q *queue) remove(p *op) {
	i := sort.Search(len(q.held), func(i int) bool { return !sooner(q.held[i], p) })
	q.held = slices.Delete(q.held, i, i+1)
	if q.again -= count(len(p.sends) > 0); p.HasKey {
		if q.keys[p.Key]--; q.keys[p.Key] == 0 {
			delete(q.keys, p.Key)
		}
	}
}

// hold puts an op at the end of the held ones; release takes it out. Ops that lie nowhere are counted.
func (s *Scheduler) hold(p *op) {
	s.serial++
	p.seq, p.before, p.after = s.serial, s.last, nil
	if s.last != nil {
		s.last.after = p
	} else {
		s.first = p
	}
	s.last = p
	s.nowhere += count(p.osd == nil)
}

func (s *Scheduler) release(p *op) {
	if p.seq == 0 {
		return
	}
	if p.before != nil {
		p.before.after = p.after
	} else {
		s.first = p.after
	}
	if p.after != nil {
		p.after.before = p.before
	} else {
		s.last = p.before
	}
	s.nowhere -= count(p.osd == nil)
	p.seq, p.before, p.after = 0, nil, nil
}

// unhouse takes the held ops from a disk server that takes nothing more.
func (s *Scheduler) unhouse(o *osd) {
	for _, q := range o.queues {
		for _, p := range q.held {
			p.osd, p.queue = nil, nil
		}
		s.nowhere += len(q.held)
		q.held, q.again = nil, 0
		clear(q.keys)
	}
	o.served, o.turn, o.holding, o.live = nil, resting, 0, nil
}

// place is where in live the queues made later than one begin.
func (o *osd) place(serial int) int {
	return sort.Search(len(o.live), func(i int) bool { return o.live[i].serial > serial })
}

// after is where in live the ring goes on after the served queue.
func (o *osd) after() int {
	if o.served == nil {
		return 0
	}
	return o.place(o.served.serial)
}

// busy counts the volumes with held ops.
func (o *osd) busy() int { return len(o.live) }

// moveHeld finds a place for ops that have none and sends what may leave, from all servers.
func (s *Scheduler) moveHeld() {
	for p := s.first; p != nil && s.nowhere > 0; p = p.after {
		if p.osd == nil {
			s.house(p)
		}
	}
	for _, o := range s.active {
		if o.holding > 0 {
			s.pump(o)
		}
	}
}

// move finds a place for ops that have none and sends what may leave, from some servers and from where it
// found one: after a change only there, since the rest is looked at with the next sweep.
func (s *Scheduler) move(from []*osd) {
	for p := s.first; p != nil && s.nowhere > 0; p = p.after {
		if p.osd == nil {
			if s.house(p); p.osd != nil && len(from) < len(s.order) {
				from = append(from, p.osd)
			}
		}
	}
	for _, o := range from {
		if o.holding > 0 {
			s.pump(o)
		}
	}
}

// full tells, without a look at each, that none of a volume's held ops can leave a node: it is left alone,
// their clients would be gone, or room and limit are used up for all. choose would find the same.
func (s *Scheduler) full(o *osd, q *queue) bool {
	trying := o.health == trial && o.out > 0 && s.now-o.oldest <= o.rest
	if len(q.held) == 0 || o.health == down || trying {
		return true
	}
	soon, last := s.now+s.soonestOfAll(o), len(q.held)-1
	for last >= 0 && soon >= q.held[last].Timeout {
		last--
	}
	if last < 0 {
		return true
	}
	s.fillUp(q.volume)
	if o.out > 0 {
		if float64(o.out) >= s.mostPlaces(o, q.volume.reserve >= q.least) {
			return true
		}
	}
	return at(s.set.limit, q.volume.plan) > 0 && q.again == 0 && q.volume.limit < q.least
}
