// Package policy decides every op of one scheduler. Call New(seed, settings) once and then
// Handle(now, event) for each event in turn; the events, the actions it returns and the outcomes are
// defined in package honeyplank, the names of the settings in internal/wire. docs/design.md says why.
package policy

import (
	"cmp"
	"math"
	"time"

	"honeyplank"
)

// Starting values of the design page; other figures are ratios to the settings.
const (
	avgA, avgB, avgC = 7.0 / 8, 32, 1024 // the paper's a, b and c
	floor, ceiling   = 4.0, 32.0         // bounds of the window
	idle             = 30 * time.Second  // entries idle for longer are dropped
	tidyEvery        = time.Second
	learntFor        = 24 * time.Hour // what an instance before had learnt is dropped after
	near, past       = 1.5, 2.0       // latency near its best, and far past it
	sliceOfTarget    = 0.25           // a round of slices lasts this part of the shortest target latency
	spareOfTarget    = 0.04           // latency that leaves room for ops beyond the reserve
	dueOfTarget      = 0.18           // the same for ops within the reserve
	sweepOfTarget    = 1.0 / 20       // how often held ops are looked at
	blending         = 1.0 / 8        // weight of the newest answer in a recent mean
	creditMost       = 2 * floor      // further dispatches; each answer earns one
	failingTooMuch   = 0.2            // share of errors at which new objects go elsewhere
	bestForgets      = 1.0 / 256
	coldSpread       = 7.0 / 8 // by lot: the mean of what is sent, of the part at most; chance does the rest
	coldDeviations   = 4.0     // and so many standard deviations of it stay below what pushes a server over
	coldMost         = 1.5     // mean ops by lot to a cold server within a window
	keptOfLimit      = 0.5     // of a limit's store, kept from an op type of no utility
	lostAfter        = 8.0     // times the usual answer time, for a dispatch that others overtake,
	lostSooner       = 0.5     // and this part of it once a share of dispatches
	lostOften        = 1.0 / 50
	usualFades       = 16 // longest target latencies in which the usual answer time of a type is forgotten
)

// holdUp is for how long the process may be held up between reading its clock and writing: what is decided at one time
// may leave so much later.
const holdUp = 150 * time.Millisecond

// Handle takes one event and returns what is to be done at once.
func (s *Scheduler) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	s.now, s.out = now, nil
	if !s.started {
		s.started, s.born = true, now
		s.timer(now+s.sweepEvery(), "sweep")
		if s.set.ask {
			s.ask()
		}
	}
	switch e := event.(type) {
	case honeyplank.List:
		s.list(e)
	case honeyplank.Op:
		s.take(e)
	case honeyplank.Outcome:
		s.outcome(e)
	case honeyplank.ResponseStarted:
		if p := s.ops[e.Op]; p != nil {
			p.begun = true
		}
	case honeyplank.Timer:
		if e.Name == "sweep" {
			s.sweep()
		}
		if e.Name == "watch" && !s.watched {
			s.ask()
		}
	case honeyplank.SavedEstimates:
		s.recall(e)
	case honeyplank.ClientGone:
		if p := s.ops[e.Op]; p != nil && !p.over {
			s.forget(p)
		}
	}
	return s.out
}

func (s *Scheduler) sweepEvery() time.Duration {
	return max(time.Duration(sweepOfTarget*float64(s.set.shortest)), s.set.step, time.Millisecond)
}

// ---- The list of disk servers ----

func (s *Scheduler) list(l honeyplank.List) {
	switch l.Kind {
	case honeyplank.WatchFailed: // nothing tells whether a watch still stands: watch again, ever less often
		s.watched = false
		most := s.set.askWithin / 4
		s.backoff = min(max(2*s.backoff, most/16, s.sweepEvery()), max(most, s.sweepEvery()))
		s.timer(s.now+s.backoff/2+time.Duration(s.rng.Int63n(int64(s.backoff/2)+1)), "watch")
		return
	case honeyplank.Delta, honeyplank.Complete:
		s.watched, s.backoff = true, 0
	}
	changes := l.Kind == honeyplank.Delta || l.Kind == honeyplank.OutOfBand
	if !changes { // what a whole list leaves out is gone
		s.allGone()
	}
	touched := make([]*osd, 0, len(l.Members))
	for _, m := range l.Members {
		o := s.osds[m.ID]
		if o == nil { // what was sent to it before this instance started is unknown: that counts as too much
			o = s.add(&osd{Member: m, window: floor, credit: creditMost, log: []sent{{s.born, math.Inf(1)}}})
		}
		if m.Started > o.Started {
			o.heard = false
			s.judge(o, inBorn)
		}
		s.place(o, m)
		touched = append(touched, o)
	}
	if !changes {
		touched = s.order
		for _, o := range s.order {
			o.was = false
		}
	}
	s.stopped(touched)
	s.move(touched)
}

// holds tells whether what an instance before learnt still does: than a time to come no start could be newer.
func (s *Scheduler) holds(k honeyplank.ServerEstimate, started time.Duration) bool {
	return k.At <= s.now && s.now-k.At < learntFor && started <= max(k.At, 0)
}

// ---- Health of a disk server ----

// healths is read by judge; a pair that is missing changes nothing. It guards against servers that died or
// are silent, and should hold against any cut between this host and a server. It could harm where a server
// merely pauses for long: it then gets one op at a time until it answers.
var healths = map[health]map[finding]struct {
	next   health
	effect func(*Scheduler, *osd)
}{
	up:      {inLost: {doubted, narrow}, inBorn: {up, narrow}},
	doubted: {inGood: {up, nil}, inLost: {down, (*Scheduler).lay}, inBorn: {up, narrow}},
	down:    {inGood: {up, narrow}, inTime: {trial, nil}, inBorn: {up, narrow}},
	trial:   {inGood: {up, narrow}, inLost: {down, (*Scheduler).lay}, inBorn: {up, narrow}},
}

func (s *Scheduler) judge(o *osd, in finding) {
	rule, ok := healths[o.health][in]
	if !ok {
		return
	}
	if o.health != rule.next && (o.health == down || rule.next == down) {
		s.logf("osd %s: %s, was %s", o.ID, rule.next, o.health)
	}
	o.health, o.since = rule.next, s.now
	if o.health == down { // the sweep ends its rest
		s.touch(o)
	}
	if rule.effect != nil {
		rule.effect(s, o)
	}
}

func narrow(_ *Scheduler, o *osd) { o.window, o.rest = floor, 0 }
func halve(o *osd)                { o.window = max(floor, o.window/2) }

// lay leaves a disk server alone, longer each time, up to the longest target latency.
func (s *Scheduler) lay(o *osd) {
	o.rest = min(max(time.Duration(past*float64(o.rest)), s.set.shortest/2), s.set.longest)
}

// ---- Taking and placing ops ----

func (s *Scheduler) take(e honeyplank.Op) {
	if s.ops[e.ID] != nil {
		return
	}
	s.taken = append(recent(s.taken, s.now-s.set.budgetWindow), s.now)
	p := &op{Op: e, lot: s.rng.Float64(), drawn: s.now}
	s.units, s.squares = s.units+e.Units, s.squares+e.Units*e.Units
	// A retry's target latency runs from its client's first try. An op with less time than its target latency
	// is wanted within the time it brings.
	p.target = min(s.now+at(s.set.target, e.Type)-s.waited(p), e.Timeout)
	s.ops[e.ID] = p
	if e.HasKey && at(s.set.ordered, e.Type) {
		s.line(p)
	}
	s.open(p)
	s.tally(p, s.due(p))
	if s.house(p); p.queue != nil {
		p.queue.thinkt.gap(s.now, avgA, avgB)
		p.queue.demand.add(s.now, p.Units, 2*s.set.longest)
		s.pump(p.osd)
	}
	if !p.over && !p.busy() && s.useless(p) {
		s.answer(p)
	}
}

// waited is for how long the client of an op has waited since its first try: the time that the op lacks to an
// earlier one of the same identity that came to nothing.
func (s *Scheduler) waited(p *op) time.Duration {
	total := at(s.set.timeout, p.Type)
	if !p.HasKey || total <= 0 {
		return 0
	}
	left := p.Timeout - s.now
	a := s.unserved[identify(p)]
	if a == nil || !a.op.over || s.now >= a.until {
		a = &attempt{left: left, until: s.now + total}
		s.unserved[identify(p)] = a
	}
	a.op = p
	return max(a.left-left, 0)
}

// house puts a held op into a queue: at the holder of its data, or for a new object where newHome says.
func (s *Scheduler) house(p *op) {
	var home *osd
	for _, o := range s.holders[p.Cell] { // the healthiest, of those the one that has run for longest
		if home == nil || o.health < home.health || o.health == home.health && o.Started < home.Started {
			home = o
		}
	}
	if p.Cell == honeyplank.NewObject {
		home = s.newHome(p)
	}
	if home != nil {
		s.nowhere--
		home.keep(p)
		s.touch(home)
		p.queue.lastSeen = s.now
	}
}

// newHome is the first disk server of the volume's ranking that has not enough already, or else the one that has least
// against its room: of the first ones in rank, and only if no new object may go to any of these, of all.
func (s *Scheduler) newHome(p *op) (home *osd) {
	if !s.mayLeave(p) {
		return nil
	}
	due, least := s.due(p), math.Inf(1)
	for _, r := range s.nearest(p.volume, p.Volume) {
		s.visited++
		load := s.loadFor(p, r.osd, due)
		if load < least {
			home, least = r.osd, load
		}
		if load < 1 {
			break
		}
	}
	if home != nil || p.volume.whole {
		return home
	}
	hash, first := volumeHash(p.Volume), uint64(0)
	for _, o := range s.soundOnes() { // in no order of rank: of those with room the first in rank, else of the least
		s.visited++
		load := s.loadFor(p, o, due)
		if load < 1 { // room is room, however much
			load = 0
		}
		if at := rank(hash, o.ID); load < least || load == least && !math.IsInf(load, 1) && at > first {
			home, least, first = o, load, at
		}
	}
	return home
}

// loadFor is what is out and held at a disk server against the room there for a new object, without end where it may
// not go.
func (s *Scheduler) loadFor(p *op, o *osd, due bool) float64 {
	if !s.sound(o) || !s.mayGo(p, o, due) {
		return math.Inf(1)
	}
	return float64(1+o.out+o.holding) / s.places(o, p.Type, spareOfTarget)
}

// sound tells whether a disk server may be given new objects: not where errors, resets or full queues come
// back fast, which would otherwise look like room, nor where it is cold or down. It could harm when most
// servers fail at once. Cold is one where a middle lot beyond the reserves would not do.
func (s *Scheduler) sound(o *osd) bool {
	live := o.health == up || o.health == trial && o.out == 0
	return live && s.failing(o) < failingTooMuch && s.coldRoom(o, 1, 0.5, false)
}

// ---- Slices (iShare) ----

// turns is read by pump; a pair that is missing ends the pump.
var turns = map[turn]map[sight]struct {
	next   turn
	effect func(*Scheduler, *osd)
}{
	resting: {seeOthers: {serving, (*Scheduler).begin}},
	serving: {
		seeOwn:   {serving, (*Scheduler).sendOwn},
		seeDue:   {resting, (*Scheduler).end},
		seeSpent: {resting, (*Scheduler).end},
		seeLong:  {resting, (*Scheduler).end},
		seeCheap: {serving, (*Scheduler).handOver},
		seeLull:  {waiting, (*Scheduler).lull},
	},
	waiting: {
		seeOwn:   {serving, (*Scheduler).sendOwn},
		seeDue:   {resting, (*Scheduler).end},
		seeSpent: {resting, (*Scheduler).end},
		seeLong:  {resting, (*Scheduler).end},
		seeCheap: {serving, (*Scheduler).handOver},
		seeLull:  {waiting, (*Scheduler).fill},
	},
}

func (s *Scheduler) pump(o *osd) {
	for {
		rule, ok := turns[o.turn][s.look(o)]
		if !ok {
			return
		}
		o.turn = rule.next
		rule.effect(s, o)
	}
}

// look tells what the loop is to act on.
func (s *Scheduler) look(o *osd) sight {
	var own *op
	if o.turn != resting {
		own = s.choose(o, o.served)
	}
	other := s.next(o)
	switch {
	case own == nil && other == nil:
		return seeNothing
	case o.turn == resting:
		return seeOthers
	case own != nil && other != nil && !s.due(own) && s.due(s.choose(o, other)):
		return seeDue
	case other != nil && s.now >= o.until:
		return seeSpent
	case own != nil:
		return seeOwn
	case o.served.thinkt.value(avgC) >= o.until-s.now:
		return seeLong
	case s.cheaper(o) != nil:
		return seeCheap
	case o.out == 0 || o.turn == waiting && s.now >= o.waits:
		return seeLong
	}
	return seeLull
}

// cheaper is the paper's await test; the node's mean await stands for the longest seek.
func (s *Scheduler) cheaper(o *osd) *queue {
	limit, own := o.meanAwait(avgC), o.served.await.value(avgC)
	for i, from := 0, o.after(); i < len(o.live); i++ {
		q := o.live[(from+i)%len(o.live)]
		a := q.await.value(avgC)
		if q != o.served && q.round < o.round && a <= own && a < limit && s.choose(o, q) != nil {
			return q
		}
	}
	return nil
}

// next is the volume whose slice comes next: one not served this round, with ops inside its reserve first.
func (s *Scheduler) next(o *osd) *queue {
	var found *queue
	least := math.MaxInt
	for i, from := 0, o.after(); i < len(o.live); i++ {
		q := o.live[(from+i)%len(o.live)]
		p := s.choose(o, q)
		if q == o.served || p == nil {
			continue
		}
		if class := 2*count(!s.due(p)) + count(q.round >= o.round); class < least {
			found, least = q, class
		}
	}
	return found
}

func (s *Scheduler) begin(o *osd) {
	q := s.next(o)
	if q.round >= o.round {
		o.round++
	}
	s.serve(o, q)
}

// serve starts a slice: the volumes with held ops share a round of a part of the shortest target latency.
func (s *Scheduler) serve(o *osd, q *queue) {
	slice := s.weight(q.volume.plan) * sliceOfTarget * float64(s.set.shortest) / float64(max(o.busy(), 1))
	o.served, q.round, o.until = q, o.round, s.now+max(time.Duration(slice), s.sweepEvery())
}

func (s *Scheduler) end(o *osd)      { o.served = nil }
func (s *Scheduler) handOver(o *osd) { s.serve(o, s.cheaper(o)) }
func (s *Scheduler) sendOwn(o *osd)  { s.send(s.choose(o, o.served), o) }
func (s *Scheduler) fill(o *osd)     { s.send(s.choose(o, s.next(o)), o) }

// lull begins the wait; what it leaves of the window goes to others at once.
func (s *Scheduler) lull(o *osd) {
	o.waits = min(s.now+o.served.thinkt.value(avgC), o.until)
	s.fill(o)
}

// choose picks the op of a volume that leaves next: a further dispatch, then the run under way, then the
// one whose target latency is over first. It returns nil where none may leave now.
func (s *Scheduler) choose(o *osd, q *queue) *op {
	if s.full(o, q) {
		return nil
	}
	var found *op
	run := q.keys[o.lastKey] > 0
	for _, p := range q.held {
		if found != nil && !run { // none that comes later goes before it
			break
		}
		if before(o, p, found) && s.room(o, p) && s.mayDispatch(p, o) {
			found = p
		}
	}
	return found
}

func before(o *osd, p, than *op) bool {
	if than == nil || p.early != than.early {
		return than == nil || p.early
	}
	if run := p.HasKey && p.Key == o.lastKey; run != (than.HasKey && than.Key == o.lastKey) {
		return run
	}
	return p.target < than.target
}

// sooner is the order that a queue is kept in: that of before but for the run, then as they came to be held.
func sooner(p, than *op) bool {
	if p.early != than.early {
		return p.early
	}
	return p.target < than.target || p.target == than.target && p.seq < than.seq
}

// room tells whether the window has room for an op. It gives only the part that the node's latency leaves,
// less to ops beyond the reserve. It guards against windows of many hosts adding up past what a node serves
// in time, and should hold against slow and crowded nodes too. It could harm where long ops are the rule.
func (s *Scheduler) room(o *osd, p *op) bool {
	trying := o.health == trial && o.out > 0 && s.now-o.oldest <= o.rest
	if o.health == down || trying || s.now+s.soonest(o, p.Type) >= p.Timeout { // or the client would be gone
		return false
	}
	window, excess := s.places(o, p.Type, dueOfTarget), 1.0
	if !s.due(p) {
		window, excess = s.places(o, p.Type, spareOfTarget), s.excess(p)
	}
	if o.out > 0 || window >= 1 {
		return float64(o.out) < window
	}
	return p.lot*excess < s.hope(o, p)*window/(1-window)
}

// hope is how likely an op with little time left is to be answered in it, roughly. It guards crowded nodes
// against tries that clients in a hurry give up. It could harm where the latency seen is long past.
func (s *Scheduler) hope(o *osd, p *op) float64 {
	left := max(min(p.Timeout, p.target)-s.now, 0)
	part := min(1, left.Seconds()/max(s.latency(o, p.Type), 1e-9))
	return part * part
}

// excess is how far a volume asks for more at a node than others do by its weight, as seen by this host: with
// few ops a host, lots stand for the slices that queues too short would need.
func (s *Scheduler) excess(p *op) float64 {
	usual := s.weight(p.Plan) * s.set.meanRate / float64(p.volume.hosts)
	if usual <= 0 || p.queue == nil {
		return 1
	}
	return p.queue.demand.near(usual, 2*s.set.longest) / usual
}

// places is what the node's latency leaves of the window for ops that may take a part of the target latency.
// Below one it falls steeply, but not below the hosts' even parts of what the node serves within the target
// latency, two at a time: while hosts are few, one op of each always fits.
func (s *Scheduler) places(o *osd, typ int, part float64) float64 {
	latency, hosts, target := s.latency(o, typ), float64(max(s.set.hosts, 1)), s.set.shortest.Seconds()
	if latency <= 0 || target <= 0 {
		return o.window
	}
	places := o.window * min(1, part*target/latency)
	if places >= 1 {
		return places
	}
	even := past * s.set.shortest.Seconds() / (hosts * o.best * s.set.unitsMean)
	return min(1, max(places*math.Sqrt(places), even))
}

// ---- What is due to a volume ----

// unsent is since when nothing has left for a volume without a record, as far as is sure.
func (s *Scheduler) unsent() time.Duration { return max(s.born, s.now-idle) }

// fillUp brings the volume's stores up to now. Of the limit this host counts an even part; of the reserve its
// part of what the volume is served, at least an even one: by the late total, or without a meter by what
// nodes say they served it through others.
func (s *Scheduler) fillUp(v *volume) {
	gap, hosts := (s.now - v.filled).Seconds(), float64(v.hosts)
	v.filled = s.now
	reserve, limit := at(s.set.reserve, v.plan), at(s.set.limit, v.plan)
	part := reserve / hosts
	if v.total > 0 {
		v.served.add(s.now, 0, s.memory())
		part = max(part, reserve*min(1, v.served.rate()/v.total))
	} else if s.set.elsewhere && s.set.meterPeriod == 0 && v.served.units > 0 {
		v.served.add(s.now, 0, s.memory())
		v.others.add(s.now, 0, s.memory())
		part = max(part, reserve*v.served.units/(v.served.units+v.others.units))
	}
	v.reserve = min(v.reserve+gap*part, reserve+s.set.unitsLargest)
	v.limit = min(v.limit+gap*limit/hosts, s.store(v.plan, v.hosts))
}

// store is what this host's part of a limit's store holds. What left a full one may be held up and arrive with what it
// was filled with since, so that much less is kept, unless the slack covers it. A largest op always fits if it did.
func (s *Scheduler) store(plan, hosts int) float64 {
	whole := at(s.set.burst, plan)
	less := max(0, holdUp.Seconds()*at(s.set.limit, plan)-at(s.set.slack, plan))
	whole, less = whole/float64(hosts), less/float64(hosts)
	return max(whole-less, min(whole, s.set.unitsLargest))
}

// memory is how far back a host looks at what a volume is served.
func (s *Scheduler) memory() time.Duration { return 2 * cmp.Or(s.set.meterPeriod, s.set.longest) }

// due tells whether an op is inside its volume's reserve, as far as this host's store of it lasts.
func (s *Scheduler) due(p *op) bool {
	s.fillUp(p.volume)
	return p.target > s.now && p.volume.reserve >= p.Units
}

// ---- Rules ----

// mayDispatch holds an op to the rules: attempts, kind, drains, cold starts, order, budget and limit.
func (s *Scheduler) mayDispatch(p *op, o *osd) bool {
	return s.mayLeave(p) && s.mayGo(p, o, s.due(p))
}

// mayLeave holds an op to those rules that are the same wherever it goes.
func (s *Scheduler) mayLeave(p *op) bool {
	if p.begun || p.Timeout <= s.now || len(p.sends) > 0 && !s.budget() {
		return false
	}
	s.fillUp(p.volume)
	if at(s.set.limit, p.volume.plan) > 0 && len(p.sends) == 0 && p.volume.limit < s.keeps(p) {
		return false
	}
	return s.turnOf(p)
}

// mayGo holds an op to the rules of a disk server.
func (s *Scheduler) mayGo(p *op, o *osd, due bool) bool {
	home := p.Cell == honeyplank.NewObject || p.Cell == o.Cell
	if !home || o.State != honeyplank.Up {
		return false
	}
	if len(p.sends) > 0 && (!s.repeats(p, o) || o.credit < 1) {
		return false
	}
	return s.coldRoom(o, p.Units, p.lot, due)
}

// keeps is what the limit's store must hold for an op to leave: a part stays for op types of more utility,
// though a full store lets any op go. It guards against surges of cheap large ops that use up a limit which
// dearer ones then lack; it could harm where the dearer never come.
func (s *Scheduler) keeps(p *op) float64 {
	store := s.store(p.Plan, p.volume.hosts)
	return max(p.Units, min(p.Units+keptOfLimit*at(s.set.cheap, p.Type)*store, store))
}

// repeats tells whether the kind of an op allows another dispatch at this disk server. Repeats are dropped for a time
// that runs from the first dispatch's decision at the earliest, and this one has to be at work within it: it may be held
// up, wait for its connection and stand in the server's queue. It could harm where the settings tell less time than that:
// such ops are never repeated.
func (s *Scheduler) repeats(p *op, o *osd) bool {
	kind, scope := at(s.set.kind, p.Type), at(s.set.scope, p.Type)
	works := s.now + s.set.late + 2*s.soonest(o, p.Type)
	for _, d := range p.sends {
		far := scope == honeyplank.ScopeZone && d.osd.Zone != o.Zone ||
			scope == honeyplank.ScopeCell && d.osd.Cell != o.Cell
		late := works >= d.at+at(s.set.remember, p.Type)
		switch {
		case !d.done && !s.set.parallel:
			return false
		case d.done && !d.maybe:
		case kind == honeyplank.AtMostOnce || kind == honeyplank.Deduplicated && (far || late):
			return false
		}
	}
	return true
}

// harmless tells whether a throttling answer may be given: trying again must do no harm.
func (s *Scheduler) harmless(p *op) bool {
	kind := at(s.set.kind, p.Type)
	anywhere := at(s.set.scope, p.Type) == honeyplank.ScopeAll
	return kind == honeyplank.Idempotent || kind == honeyplank.Deduplicated && anywhere || p.neverRan()
}

// budget tells whether one more further dispatch fits into the sliding window, also where it or those before it leave
// held up: an earlier one may be seen later than it was counted, and by then some ops taken lie outside of the window.
func (s *Scheduler) budget() bool {
	if !s.set.budgeted {
		return true
	}
	from := s.now - s.set.budgetWindow
	s.taken, s.extras = recent(s.taken, from+holdUp), recent(s.extras, from-holdUp)
	return float64(len(s.extras)+1) <= s.set.budgetFree+s.set.budgetShare*float64(len(s.taken))
}

// turnOf tells whether an op of an ordered type has its key's turn.
func (s *Scheduler) turnOf(p *op) bool {
	k := p.key
	return k == nil || k.ops[0] == p && (s.now >= k.rest || k.restBy == p.ID)
}

// coldRoom keeps a disk server that has just started below this host's part of what it always bears. The part
// grows no faster than the slowest warm-up. What counts is what may arrive within one window: every dispatch that is
// out, since it may wait for its connection and arrive with others at once, and every one that ended less than a window
// ago. Where the part is below the largest op, lots keep the mean of what hosts send below it, reserves first: against
// what this host is asked of that server, or of a mean one if that is more, since a hot place would take most of a
// fleet's ops. It guards against pushing the server over; it could harm service where hosts with little traffic can't
// use their parts or answers take long, and would not hold where a place grows hot in that moment.
func (s *Scheduler) coldRoom(o *osd, units, lot float64, due bool) bool {
	window := s.set.coldWindow
	o.trim(s.now - window)
	if !s.cold(o) {
		return true
	}
	bears := s.bears(o)
	part, used := bears*s.share(o), o.logged()
	if part >= max(s.set.unitsMean, s.set.unitsLargest) {
		return used+units <= part
	}
	if used > part+coldMost*s.set.unitsMean {
		return false
	}
	// Until an answer tells that connections come up, those of many hosts may come up late and together.
	if late := s.set.late; !o.heard && s.now < o.Started+late+window {
		window += late
	}
	part *= s.spread(bears)
	first, others := s.wanted(o, window)
	return due && lot*first < part || lot*others < part-first
}

// share is this host's part of what all hosts ask of a node, at least an even one. What others ask is told by
// what this host is asked of a mean node, and by how many hosts the volumes come through that it knows there.
func (s *Scheduler) share(o *osd) float64 {
	hosts := float64(max(s.set.hosts, s.hosts, 1)) // settings may lag behind what volumes tell
	usual := s.bound.rate() / float64(max(s.running, 1))
	if !(usual > 0) {
		return 1 / hosts
	}
	through := s.everywhere.rate() / float64(max(s.running, 1))
	here, known := usual, through
	if f := s.byCell[o.Cell]; f != nil && f.asked[0].time > 0 {
		here, known = max(here, f.asked[0].rate()+f.asked[1].rate()), max(known, f.everywhere.rate())
	}
	return max(1/hosts, here/(hosts*usual+known-through))
}

// ---- Sending and answering ----

func (s *Scheduler) send(p *op, o *osd) {
	v := p.volume
	if len(p.sends) > 0 {
		s.extras = append(s.extras, s.now)
		o.credit--
	} else {
		v.limit -= p.Units
	}
	if v.reserve > 0 { // from an empty store nothing is taken: no debt but that of one op
		v.reserve -= p.Units
	}
	// A server may drop an op with little time left, and say nothing: its silence tells nothing.
	hurried := p.Timeout-s.now < 2*s.soonest(o, p.Type)
	if !hurried && o.patient == 0 || o.health == trial {
		o.oldest = s.now
	}
	s.book(p, o, hurried)
	s.act(honeyplank.Dispatch{Op: p.ID, Server: o.ID})
}

// outcomes tells what each end of a dispatch means: whether it may have run, whether it may be running
// still, and what it says of the disk server.
var outcomes = map[honeyplank.Code]end{
	honeyplank.Succeeded:     {arrived: true, maybe: true, says: inGood, effect: (*Scheduler).measure},
	honeyplank.Failed:        {arrived: true, maybe: true, says: inGood, effect: (*Scheduler).blame},
	honeyplank.Rejected:      {arrived: true, says: inGood, effect: (*Scheduler).ranOut},
	honeyplank.TimedOut:      {arrived: true, maybe: true, runs: true, effect: (*Scheduler).ranOut},
	honeyplank.ConnectFailed: {says: inLost, effect: (*Scheduler).blame},
	honeyplank.Reset:         {arrived: true, maybe: true, runs: true, says: inLost, effect: (*Scheduler).blame},
	honeyplank.Cancelled:     {arrived: true, maybe: true, runs: true},
	honeyplank.NotSent:       {},
}

// end is an entry of outcomes; arrived: the disk server may have got it.
type end struct {
	arrived, maybe, runs bool
	says                 finding
	effect               func(*Scheduler, *osd, *op, honeyplank.Outcome)
}

func (s *Scheduler) outcome(e honeyplank.Outcome) {
	o, p, way := s.osds[e.Server], s.ops[e.Op], outcomes[e.Code]
	if o == nil || p == nil || !s.close(p, e.Dispatch, way) {
		return
	}
	o.out--
	o.patient -= count(!p.sends[e.Dispatch].hurried)
	if way.says == inGood {
		o.oldest = s.now
		o.heard = o.heard || p.sends[e.Dispatch].at >= o.Started
		o.overtake(p.sends[e.Dispatch].at, s.now)
	}
	s.judge(o, way.says)
	p.volume.others.add(s.now, e.ServedElsewhere, s.memory()) // told with any answer, and once
	if way.effect != nil {
		way.effect(s, o, p, e)
	}
	if k := p.key; k != nil && way.runs {
		k.rest, k.restBy = s.now+s.set.orderSettle, p.ID
	}
	if e.Code == honeyplank.Succeeded {
		delete(s.unserved, identify(p))
	}
	if p.over || e.Answered {
		s.forget(p)
	} else if !p.busy() && p.queue == nil {
		s.again(p, o)
	}
	if k := p.key; k != nil && len(k.ops) > 0 && k.ops[0].osd != nil { // the next of the key may leave now
		s.pump(k.ops[0].osd)
	}
	s.pump(o)
}

// again holds an op once more after a dispatch that brought no answer, or gives it up. Credit bounds what
// follows: it guards against retries on a server that answers little, whatever ails it, and could harm where
// a healthy server's first answers are still due.
func (s *Scheduler) again(p *op, o *osd) {
	if len(p.sends) < s.set.dispatches && s.repeats(p, o) && s.now < p.target {
		p.early, p.osd = true, nil
		s.hold(p)
		if s.house(p); !s.useless(p) {
			return
		}
	}
	s.answer(p)
}

// missing withdraws dispatches whose answers seem lost: later ones to the server were answered a while ago,
// and they are out for far longer than usual there. It guards against answers that never come, which hold
// places until the op timeout; it could harm where a server leaves some ops for long while it serves others.
func (s *Scheduler) missing(o *osd) {
	times := time.Duration(lostAfter)
	if s.lost > lostOften {
		times = lostAfter * lostSooner
	}
	for i := range o.flying {
		f := &o.flying[i]
		usual := time.Duration(max(s.latency(o, f.op.Type), o.perUnit*f.op.Units) * float64(time.Second))
		late := s.now-f.at > times*usual && s.now-f.passed > usual
		if late && f.passed > 0 && !f.asked && !f.op.begun && at(s.set.kind, f.op.Type) != honeyplank.AtMostOnce {
			f.asked = true
			s.lost += blending / 8 * (1 - s.lost)
			s.act(honeyplank.Cancel{Op: f.op.ID, Dispatch: f.n})
		}
	}
}

// useless tells whether a held op can no longer earn its utility: its target latency would be over before
// an answer of the usual time there, or the client is about to give up. It guards against late answers that
// cost a node as much as good ones, whatever fills it; after a short stall it gives up some ops too early.
func (s *Scheduler) useless(p *op) bool {
	soon := s.now
	if p.osd != nil {
		soon += s.soonest(p.osd, p.Type)
	}
	return soon >= p.target || s.now+s.sweepEvery() >= p.Timeout
}

// answer gives an op up at once.
func (s *Scheduler) answer(p *op) {
	if s.harmless(p) {
		s.act(honeyplank.Reject{Op: p.ID, RetryAfter: min(at(s.set.target, p.Type), s.set.adviceMost)})
	} else {
		s.act(honeyplank.Fail{Op: p.ID})
	}
	s.forget(p)
}

// ---- What answers tell ----

func (s *Scheduler) measure(o *osd, p *op, e honeyplank.Outcome) {
	o.credit = min(o.credit+1, creditMost)
	o.failing -= blending * o.failing
	s.lost -= blending / 8 * s.lost
	s.learn(o, p.Type, e.Elapsed.Seconds(), true)
	o.perUnit = blend(o.perUnit, e.Elapsed.Seconds()/max(p.Units, 1), blending)
	if o.best == 0 || o.perUnit < o.best {
		o.best = o.perUnit
	}
	o.best += bestForgets * (o.perUnit - o.best)
	o.answers++
	spell := o.perUnit > past*o.best
	if spell && !o.spell {
		halve(o)
	} else if o.perUnit < near*o.best && o.answers >= o.window {
		o.window, o.answers = min(ceiling, o.window+1), 0
	}
	o.spell = spell
	q := o.queueOf(p.volume)
	q.await.gap(s.now, avgA, avgB)
	q.lastSeen = s.now
	p.volume.served.add(s.now, p.Units, s.memory())
	if e.QuotaUsed > 0 {
		p.volume.total = float64(e.QuotaUsed-1) / 100 * at(s.set.rate, p.Plan)
	}
}

// latency is how long a node's answers to ops of a type take, as far as this host can tell by now: the usual
// time of the type times how slow the node was seen to be, which is forgotten over time, since with many
// hosts answers of one node are rare. It guards against beliefs that outlive what they tell of, and against
// long ops that are taken for slow nodes; where one node alone stays slow, it is tried again too soon.
func (s *Scheduler) latency(o *osd, typ int) float64 {
	usual := s.usualOf(typ)
	if o.slowness <= 0 {
		return usual
	}
	return usual * (1 + (o.slowness-1)*s.fade(o.told))
}

// usualOf is the recent answer time of a type anywhere. Without answers it gives way to the fastest ones: it
// guards against a type that is refused for the time of answers long past, and would never hear of better.
func (s *Scheduler) usualOf(typ int) float64 {
	t := at(s.times, typ)
	if t.mean == 0 {
		return cmp.Or(s.meanTime(), spareOfTarget*s.set.shortest.Seconds())
	}
	fades := float64(max(usualFades*s.set.longest, s.sweepEvery()))
	return t.least + (t.mean-t.least)*math.Exp(-float64(s.now-t.told)/fades)
}

// fade is what is left of the weight of what was learnt at a time.
func (s *Scheduler) fade(at time.Duration) float64 {
	return math.Exp(-float64(s.now-at) / float64(max(s.set.longest, s.sweepEvery())))
}

// learn takes in an answer time of a node, and of all where it tells of more than that one.
func (s *Scheduler) learn(o *osd, typ int, took float64, ofAll bool) {
	latency := took
	if o.slowness > 0 {
		latency = blend(s.latency(o, typ), took, max(blending, 1-s.fade(o.told)))
	}
	if ofAll && typ >= 0 && typ < len(s.times) {
		t := &s.times[typ]
		if t.mean > 0 {
			t.mean = s.usualOf(typ)
		}
		t.mean, t.told = blend(t.mean, took, blending), s.now
		if t.least == 0 || took < t.least {
			t.least = took
		}
		t.least += bestForgets * (took - t.least)
	}
	o.slowness, o.told = latency/max(s.usualOf(typ), 1e-9), s.now
}

// soonest is when an answer of a node is worth hoping for: many come in half of their mean time.
func (s *Scheduler) soonest(o *osd, typ int) time.Duration {
	return time.Duration(s.latency(o, typ) / 2 * float64(time.Second))
}

// ranOut takes a time-out for an answer that takes at least as long, up to the shortest target latency (past
// that it may be lost rather than late), and a full queue for one past the longest, but only of that node.
// This guards the rest against a node that turns all away, and could harm where all are full at once.
func (s *Scheduler) ranOut(o *osd, p *op, e honeyplank.Outcome) {
	least := min(e.Elapsed, s.set.shortest)
	if e.Code == honeyplank.Rejected {
		least = s.set.longest
		halve(o)
		s.blame(o, p, e)
	}
	if least.Seconds() > s.latency(o, p.Type) {
		s.learn(o, p.Type, least.Seconds(), e.Code != honeyplank.Rejected)
	}
}

// blame counts ends that brought nothing; failing is their recent share. It is forgotten over time, since a
// host that only writes would never hear of a server again.
func (s *Scheduler) blame(o *osd, _ *op, _ honeyplank.Outcome) {
	f := s.failing(o)
	o.failing, o.blamed = f+blending*(1-f), s.now
}

func (s *Scheduler) failing(o *osd) float64 { return o.failing * s.fade(o.blamed) }

// ---- The sweep ----

func (s *Scheduler) sweep() {
	s.timer(s.now+s.sweepEvery(), "sweep")
	s.settle()
	for _, o := range s.active {
		if o.patient > 0 && s.now-o.oldest > s.set.longest/2 {
			s.judge(o, inLost)
			o.oldest = s.now
		}
		if o.health == down && s.now-o.since >= o.rest {
			s.judge(o, inTime)
		}
		if s.set.cancel && s.set.parallel { // what is withdrawn may run on
			s.missing(o)
		}
	}
	// A held op draws anew, as if its client had come again: one that lost its only lot would be held in vain.
	for p := s.first; p != nil; p = p.after {
		if s.now-p.drawn >= s.set.shortest {
			p.drawn, p.lot = s.now, s.rng.Float64()
			s.redraw(p)
		}
	}
	s.moveHeld()
	for p := s.first; p != nil; {
		next := p.after
		if s.useless(p) {
			s.answer(p)
		}
		p = next
	}
	if s.set.ask && !s.watched && s.now-s.asked > s.set.askWithin/2 {
		s.ask()
	}
	if s.now-s.tidied >= tidyEvery {
		s.tidied = s.now
		s.tidy(idle)
	}
}
