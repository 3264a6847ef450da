// Package policy decides every op of one scheduler. Call New(seed, settings) once and then
// Handle(now, event) for each event in turn; the events, the actions it returns and the outcomes are
// defined in package honeyplank, the names of the settings in internal/wire. docs/design.md says why.
package policy

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"honeyplank"
)

// Starting values of the design page; other figures are ratios to the settings.
const (
	avgA, avgB, avgC  = 7.0 / 8, 32, 1024 // the paper's a, b and c
	floor, ceiling    = 4.0, 32.0         // bounds of the window
	idle              = 30 * time.Second  // entries idle for longer are dropped
	near, past        = 1.5, 2.0          // latency near its best, and far past it
	sliceOfTarget     = 0.25              // a round of slices lasts this part of the shortest target latency
	spareOfTarget     = 0.5               // latency that leaves room for ops beyond the reserve
	sweepOfTarget     = 1.0 / 20          // how often held ops are looked at
	blending          = 1.0 / 8           // weight of the newest answer in a recent mean
	creditEarned      = 0.5               // of a further dispatch, for each answer
	creditMost        = 2 * floor
	failingTooMuch    = 0.2 // share of errors at which new objects go elsewhere
	restGrows         = 2.0
	bestForgets       = 1.0 / 256
	tokenSweep        = "sweep"
	tokenWatch        = "watch"
	clientStoppedSlop = 2 // sweeps before the op timeout at which a held op is given up
)

// Scheduler is one instance. It shares nothing with others.
type Scheduler struct {
	set     map[string]any
	rng     *rand.Rand
	now     time.Duration
	born    time.Duration
	started bool
	out     []honeyplank.Action
	osds    map[honeyplank.OSDID]*osd
	order   []*osd // by id
	ops     map[honeyplank.OpID]*op
	held    []*op // in the order taken; also those with no disk server
	volumes map[int64]*volume
	keys    map[int64]*key
	taken   []time.Duration // ops taken, for the budget
	extras  []time.Duration // further dispatches, for the budget
	patient []time.Duration // by op type: the longest that a client was seen to wait
	watched bool
	asked   time.Duration
	backoff time.Duration
}

// New makes an instance that knows nothing yet.
func New(seed int64, settings map[string]any) *Scheduler {
	return &Scheduler{
		set: settings, rng: rand.New(rand.NewSource(seed)),
		osds: map[honeyplank.OSDID]*osd{}, ops: map[honeyplank.OpID]*op{},
		volumes: map[int64]*volume{}, keys: map[int64]*key{},
		patient: make([]time.Duration, len(get[[]time.Duration](settings, "optypes.op_timeout"))),
	}
}

// Handle takes one event and returns what is to be done at once.
func (s *Scheduler) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	s.now, s.out = now, nil
	if !s.started {
		s.started, s.born = true, now
		s.timer(now+s.sweepEvery(), tokenSweep)
		if get[bool](s.set, "list.ask") {
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
	case honeyplank.Began:
		if p := s.ops[e.Op]; p != nil {
			p.begun = true
		}
	case honeyplank.Timer:
		if e.Name == tokenSweep {
			s.sweep()
		}
		if e.Name == tokenWatch && !s.watched {
			s.ask()
		}
	case honeyplank.Lapsed:
		if p := s.ops[e.Op]; p != nil && !p.over {
			s.forget(p)
		}
	}
	return s.out
}

func (s *Scheduler) act(a honeyplank.Action) { s.out = append(s.out, a) }
func (s *Scheduler) timer(at time.Duration, name string) {
	s.act(honeyplank.SetTimer{At: at, Name: name})
}
func (s *Scheduler) logf(format string, arguments ...any) {
	s.act(honeyplank.Log{Text: fmt.Sprintf(format, arguments...)})
}

// shortest and longest are the extremes of the target latencies.
func (s *Scheduler) targets() (shortest, longest time.Duration) {
	for i, t := range get[[]time.Duration](s.set, "optypes.target_latency") {
		if i == 0 || t < shortest {
			shortest = t
		}
		longest = max(longest, t)
	}
	return shortest, longest
}

func (s *Scheduler) sweepEvery() time.Duration {
	shortest, _ := s.targets()
	return max(time.Duration(sweepOfTarget*float64(shortest)), get[time.Duration](s.set, "step"), time.Millisecond)
}

// ---- The list of disk servers ----

func (s *Scheduler) ask() {
	s.asked = s.now
	s.act(honeyplank.Watch{On: true})
}

func (s *Scheduler) list(l honeyplank.List) {
	switch l.Kind {
	case honeyplank.Refused: // nothing tells whether a watch still stands: watch again, ever less often
		s.watched = false
		most := get[time.Duration](s.set, "list.ask_within") / 4
		s.backoff = min(max(2*s.backoff, most/16, s.sweepEvery()), max(most, s.sweepEvery()))
		s.timer(s.now+s.backoff/2+time.Duration(s.rng.Int63n(int64(s.backoff/2)+1)), tokenWatch)
		return
	case honeyplank.Changes, honeyplank.Whole:
		s.watched, s.backoff = true, 0
	}
	seen := map[honeyplank.OSDID]bool{}
	for _, m := range l.Members {
		seen[m.OSD] = true
		s.member(m)
	}
	if l.Kind != honeyplank.Changes {
		for _, o := range s.order {
			if !seen[o.OSD] {
				o.State = honeyplank.Gone
			}
		}
	}
	for _, o := range s.order {
		if o.State != honeyplank.On {
			s.unhouse(o)
		}
	}
	for _, p := range append([]*op(nil), s.held...) {
		if p.osd == nil && s.ops[p.ID] == p {
			s.house(p)
		}
	}
	for _, o := range s.order {
		s.pump(o)
	}
}

func (s *Scheduler) member(m honeyplank.Member) {
	o := s.osds[m.OSD]
	if o == nil {
		o = &osd{Member: m, window: floor, credit: creditMost, round: 1}
		o.log = []sent{{at: s.now, units: math.Inf(1)}} // what was sent before this start is unknown
		s.osds[m.OSD] = o
		s.order = append(s.order, o)
		sort.Slice(s.order, func(i, j int) bool { return s.order[i].OSD < s.order[j].OSD })
		if s.now > s.born {
			o.log = nil
		}
		return
	}
	if m.Started > o.Started {
		s.judge(o, inBorn)
	}
	o.Member = m
}

// unhouse takes the held ops from a disk server that takes nothing more.
func (s *Scheduler) unhouse(o *osd) {
	for _, q := range o.queues {
		for _, p := range q.held {
			p.osd, p.queue = nil, nil
		}
		q.held = nil
	}
	o.served, o.turn = nil, resting
}

// ---- Health of a disk server ----

type health int

const (
	up health = iota
	doubted
	down
	trial
)

func (h health) String() string { return [...]string{"up", "doubted", "down", "trial"}[h] }

type finding int

const (
	inGood finding = iota // an answer, whatever it was
	inLost                // no connection, a reset, or silence
	inBorn                // the list tells of a new start
	inTime                // its rest has passed
)

// healths is read by judge; a pair that is missing changes nothing.
var healths = map[health]map[finding]struct {
	next   health
	effect func(*Scheduler, *osd)
}{
	up:      {inLost: {doubted, (*Scheduler).shrink}, inBorn: {up, (*Scheduler).chill}},
	doubted: {inGood: {up, nil}, inLost: {down, (*Scheduler).lay}, inBorn: {up, (*Scheduler).chill}},
	down:    {inGood: {up, (*Scheduler).raise}, inTime: {trial, nil}, inBorn: {up, (*Scheduler).chill}},
	trial:   {inGood: {up, (*Scheduler).raise}, inLost: {down, (*Scheduler).lay}, inBorn: {up, (*Scheduler).chill}},
}

func (s *Scheduler) judge(o *osd, in finding) {
	rule, ok := healths[o.health][in]
	if !ok {
		return
	}
	if o.health != rule.next {
		s.logf("osd %s %s -> %s", o.OSD, o.health, rule.next)
	}
	o.health, o.since = rule.next, s.now
	if rule.effect != nil {
		rule.effect(s, o)
	}
}

func (s *Scheduler) shrink(o *osd) { o.window = floor }

func (s *Scheduler) chill(o *osd) { o.window, o.rest = floor, 0 }

func (s *Scheduler) raise(o *osd) { o.window, o.rest = floor, 0 }

// lay leaves a disk server alone, longer each time, up to the longest target latency.
func (s *Scheduler) lay(o *osd) {
	shortest, longest := s.targets()
	o.rest = min(max(time.Duration(restGrows*float64(o.rest)), shortest/2), longest)
}

// ---- Taking and placing ops ----

func (s *Scheduler) take(e honeyplank.Op) {
	if s.ops[e.ID] != nil {
		return
	}
	s.taken = append(s.taken, s.now)
	p := &op{Op: e}
	// A client's next try brings less time than a first one; its target latency runs from the first.
	left := e.Timeout - s.now
	waited := time.Duration(0)
	if e.Type >= 0 && e.Type < len(s.patient) {
		s.patient[e.Type] = max(s.patient[e.Type], left)
		waited = s.patient[e.Type] - left
	}
	p.aim = s.now + pick[time.Duration](s.set, "optypes.target_latency", e.Type) - waited
	s.ops[e.ID] = p
	if e.Keyed && pick[bool](s.set, "optypes.ordered", e.Type) {
		k := s.keys[e.Key]
		if k == nil {
			k = &key{}
			s.keys[e.Key] = k
		}
		k.ops = append(k.ops, p)
		p.key = k
	}
	v := s.volume(e)
	v.lastSeen = s.now
	s.held = append(s.held, p)
	s.house(p)
	if p.queue != nil {
		if p.queue.arrived >= 0 {
			p.queue.thinkt.add(s.now-p.queue.arrived, avgA, avgB)
		}
		p.queue.arrived = s.now
		s.pump(p.osd)
	}
	if s.ops[e.ID] == p && !p.busy() && s.useless(p) {
		s.answer(p)
	}
}

func (s *Scheduler) volume(e honeyplank.Op) *volume {
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{id: e.Volume, plan: e.Plan, filled: s.now, ownAt: s.now}
		v.reserve = math.Inf(1)
		s.volumes[e.Volume] = v
	}
	v.hosts = e.Hosts
	if v.hosts < 1 {
		v.hosts = max(get[int](s.set, "hosts"), 1)
	}
	return v
}

// house puts a held op into a queue: at the holder of its data, or for a new object at the first disk
// server of the volume's ranking that has not enough already.
func (s *Scheduler) house(p *op) {
	var home *osd
	if p.Cell != honeyplank.NewObject {
		for _, o := range s.order {
			if o.Cell == p.Cell && o.State == honeyplank.On && (home == nil || o.Started > home.Started) {
				home = o
			}
		}
	} else {
		least := math.Inf(1)
		for _, o := range ranked(s.order, p.Volume) {
			if o.State != honeyplank.On || !s.sound(o) || !s.mayDispatch(p, o) {
				continue
			}
			load := float64(o.out+o.holding()) / o.window
			if load < 1 {
				home = o
				break
			}
			if load < least {
				home, least = o, load
			}
		}
	}
	if home == nil {
		return
	}
	p.osd, p.queue = home, home.queueOf(s.volumes[p.Volume])
	p.queue.held = append(p.queue.held, p)
	p.queue.lastSeen = s.now
}

// sound tells whether a disk server may be given new objects.
func (s *Scheduler) sound(o *osd) bool {
	return o.failing < failingTooMuch && (o.health == up || o.health == trial && o.out == 0) && s.coldRoom(o, 1)
}

// ---- Slices (iShare) ----

type turn int

const (
	resting turn = iota // no volume is served
	serving
	waiting // for the next op of the served volume
)

type sight int

const (
	seeNothing sight = iota // nothing can leave now
	seeOthers               // only volumes that are not served have an op that can leave
	seeOwn                  // the served volume has one
	seeDue                  // only beyond its reserve, while another's is within
	seeSpent                // the slice is over, another has one
	seeLong                 // it has none, and thinkt reaches past its slice
	seeCheap                // it has none, and another that completes faster has one
	seeLull                 // it has none, and waiting is worth while
)

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
	if o.State != honeyplank.On {
		return seeNothing
	}
	other := s.next(o, true)
	if o.turn == resting {
		if other == nil {
			return seeNothing
		}
		return seeOthers
	}
	own := s.choose(o, o.served)
	switch {
	case own == nil && other == nil:
		return seeNothing
	case own != nil && other != nil && !s.due(own) && s.due(s.choose(o, other)):
		return seeDue
	case other != nil && s.now >= o.until:
		return seeSpent
	case own != nil:
		return seeOwn
	case o.served.thinkt.sum == 0 || s.thinkt(o.served) >= o.until-s.now:
		return seeLong
	case s.cheaper(o) != nil:
		return seeCheap
	case o.out == 0 || o.turn == waiting && s.now >= o.waits:
		return seeLong
	}
	return seeLull
}

func (s *Scheduler) thinkt(q *queue) time.Duration {
	return time.Duration((q.thinkt.total + avgC) / q.thinkt.sum * float64(time.Millisecond))
}

func await(q *queue) float64 {
	if q.await.sum == 0 {
		return math.Inf(1)
	}
	return (q.await.total + avgC) / q.await.sum
}

// cheaper is the paper's await test; the node's mean await stands for the longest seek.
func (s *Scheduler) cheaper(o *osd) *queue {
	sum, n := 0.0, 0.0
	for _, q := range o.queues {
		if a := await(q); !math.IsInf(a, 1) {
			sum, n = sum+a, n+1
		}
	}
	for _, q := range s.ring(o) {
		a := await(q)
		if q != o.served && q.round < o.round && a <= await(o.served) && a*n < sum && s.choose(o, q) != nil {
			return q
		}
	}
	return nil
}

// ring lists the queues from the one after the served on.
func (s *Scheduler) ring(o *osd) []*queue {
	for i, q := range o.queues {
		if q == o.served {
			return append(append([]*queue(nil), o.queues[i+1:]...), o.queues[:i+1]...)
		}
	}
	return o.queues
}

// next is the volume whose slice comes next: one not served this round, with ops inside its reserve first.
func (s *Scheduler) next(o *osd, others bool) *queue {
	var found *queue
	least := 4
	for _, q := range s.ring(o) {
		if others && q == o.served {
			continue
		}
		p := s.choose(o, q)
		if p == nil {
			continue
		}
		class := 0
		if !s.due(p) {
			class += 2
		}
		if q.round >= o.round {
			class++
		}
		if class < least {
			found, least = q, class
		}
	}
	return found
}

func (s *Scheduler) begin(o *osd) {
	q := s.next(o, true)
	if q.round >= o.round {
		o.round++
	}
	s.serve(o, q)
}

func (s *Scheduler) handOver(o *osd) { s.serve(o, s.cheaper(o)) }

// serve starts a slice: the volumes with held ops share a round of a part of the shortest target latency.
func (s *Scheduler) serve(o *osd, q *queue) {
	weights, busy := get[[]float64](s.set, "plans.weight"), 0
	mean := 0.0
	for _, w := range weights {
		mean += w / float64(len(weights))
	}
	share := 1.0
	if w := pick[float64](s.set, "plans.weight", q.volume.plan); mean > 0 && w > 0 {
		share = w / mean
	}
	for _, other := range o.queues {
		if len(other.held) > 0 {
			busy++
		}
	}
	shortest, _ := s.targets()
	slice := share * sliceOfTarget * float64(shortest) / float64(max(busy, 1))
	o.served, q.round = q, o.round
	o.until = s.now + time.Duration(slice)
}

func (s *Scheduler) end(o *osd) { o.served = nil }

func (s *Scheduler) sendOwn(o *osd) { s.send(s.choose(o, o.served), o) }

// lull begins the wait; what it leaves of the window goes to others at once.
func (s *Scheduler) lull(o *osd) {
	o.waits = min(s.now+s.thinkt(o.served), o.until)
	s.fill(o)
}

func (s *Scheduler) fill(o *osd) { s.send(s.choose(o, s.next(o, true)), o) }

// choose picks the op of a volume that leaves next: a further dispatch, then the run under way, then the
// one whose target latency is over first. It returns nil where none may leave now.
func (s *Scheduler) choose(o *osd, q *queue) *op {
	var found *op
	for _, p := range q.held {
		if !s.before(o, p, found) || !s.room(o, p) || !s.mayDispatch(p, o) {
			continue
		}
		found = p
	}
	return found
}

func (s *Scheduler) before(o *osd, p, than *op) bool {
	if than == nil {
		return true
	}
	if p.early != than.early {
		return p.early
	}
	if a, b := p.Keyed && p.Key == o.lastKey, than.Keyed && than.Key == o.lastKey; a != b {
		return a
	}
	return p.aim < than.aim
}

// room tells whether the window has room for an op. Ops beyond the reserve get only the part of it that
// the node's latency leaves, since windows of many hosts add up past what a node serves in time.
func (s *Scheduler) room(o *osd, p *op) bool {
	switch o.health {
	case down:
		return false
	case trial:
		return o.out == 0 || s.now-o.oldest > o.rest
	}
	window := o.window
	if !s.due(p) && o.latency > 0 {
		shortest, _ := s.targets()
		window *= min(1, spareOfTarget*shortest.Seconds()/o.latency)
	}
	return o.out == 0 || float64(o.out) < window
}

// ---- What is due to a volume ----

// fillUp brings the volume's stores up to now. Of the reserve this host counts what others leave, and at
// least an even part; of the limit an even part.
func (s *Scheduler) fillUp(v *volume) {
	gap := (s.now - v.filled).Seconds()
	v.filled = s.now
	reserve, limit := pick[float64](s.set, "plans.reserve", v.plan), pick[float64](s.set, "plans.limit", v.plan)
	hosts := float64(v.hosts)
	v.reserve = min(v.reserve+gap*max(reserve/hosts, reserve-v.others), reserve+get[float64](s.set, "units.largest"))
	v.limit = min(v.limit+gap*limit/hosts, pick[float64](s.set, "plans.burst", v.plan)/hosts)
}

func (s *Scheduler) due(p *op) bool {
	v := s.volumes[p.Volume]
	s.fillUp(v)
	return v.reserve >= p.Units && p.aim > s.now
}

// ---- Rules ----

// mayDispatch holds an op to the rules: attempts, kind, drains, cold starts, order, budget and limit.
func (s *Scheduler) mayDispatch(p *op, o *osd) bool {
	if p.begun || o.State != honeyplank.On || p.Timeout <= s.now || p.Cell != honeyplank.NewObject && p.Cell != o.Cell {
		return false
	}
	n := len(p.sends)
	if n > 0 && (n >= get[int](s.set, "dispatches.max") || !s.repeats(p, o) || !s.budget() || o.credit < 1) {
		return false
	}
	v := s.volumes[p.Volume]
	s.fillUp(v)
	if n == 0 && pick[float64](s.set, "plans.limit", v.plan) > 0 && v.limit < p.Units {
		return false
	}
	return s.turnOf(p) && s.coldRoom(o, p.Units)
}

// repeats tells whether the kind of an op allows another dispatch at this disk server.
func (s *Scheduler) repeats(p *op, o *osd) bool {
	for _, d := range p.sends {
		if !d.done && !get[bool](s.set, "dispatches.parallel") {
			return false
		}
		if d.done && !d.maybe {
			continue
		}
		switch pick[honeyplank.Kind](s.set, "optypes.kind", p.Type) {
		case honeyplank.OnceOnly:
			return false
		case honeyplank.Deduplicated:
			if s.now >= d.at+pick[time.Duration](s.set, "optypes.remember", p.Type) {
				return false
			}
			scope := pick[honeyplank.Scope](s.set, "optypes.scope", p.Type)
			if scope == honeyplank.ScopeZone && d.osd.Zone != o.Zone || scope == honeyplank.ScopeCell && d.osd.Cell != o.Cell {
				return false
			}
		}
	}
	return true
}

// harmless tells whether a throttling answer may be given: trying again must do no harm.
func (s *Scheduler) harmless(p *op) bool {
	kind := pick[honeyplank.Kind](s.set, "optypes.kind", p.Type)
	anywhere := pick[honeyplank.Scope](s.set, "optypes.scope", p.Type) == honeyplank.ScopeAll
	if kind == honeyplank.Replayable || kind == honeyplank.Deduplicated && anywhere {
		return true
	}
	for _, d := range p.sends {
		if !d.done || d.maybe {
			return false
		}
	}
	return true
}

// budget tells whether one more further dispatch fits into the sliding window.
func (s *Scheduler) budget() bool {
	free, stated := s.set["budget.free"].(float64)
	if !stated {
		return true
	}
	from := s.now - get[time.Duration](s.set, "budget.window")
	s.taken, s.extras = recent(s.taken, from), recent(s.extras, from)
	return float64(len(s.extras)+1) <= free+get[float64](s.set, "budget.share")*float64(len(s.taken))
}

// turnOf tells whether an op of an ordered type has its key's turn.
func (s *Scheduler) turnOf(p *op) bool {
	k := p.key
	if k == nil {
		return true
	}
	return k.ops[0] == p && (s.now >= k.rest || k.restBy == p.ID)
}

// coldRoom keeps a disk server that has just started below this host's part of what it always bears. The
// part grows no faster than the slowest warm-up. Every dispatch of the last window counts.
func (s *Scheduler) coldRoom(o *osd, units float64) bool {
	window, warm := get[time.Duration](s.set, "cold.window"), get[time.Duration](s.set, "cold.time")
	for len(o.log) > 0 && o.log[0].at < s.now-window {
		o.log = o.log[1:]
	}
	if o.Started <= 0 || window <= 0 || s.now >= o.Started+warm+window {
		return true
	}
	sum := units
	for _, x := range o.log {
		sum += x.units
	}
	from := get[float64](s.set, "cold.from")
	grown := 1.0
	if age := s.now - window - o.Started; from > 0 && from < 1 && age > 0 && warm > 0 {
		grown = (from + (1-from)*min(1, float64(age)/float64(warm))) / from
	}
	return sum <= grown*get[float64](s.set, "cold.units")/float64(max(get[int](s.set, "hosts"), 1))
}

// ---- Sending and answering ----

func (s *Scheduler) send(p *op, o *osd) {
	v := s.volumes[p.Volume]
	if len(p.sends) > 0 {
		s.extras = append(s.extras, s.now)
		o.credit--
	} else {
		v.limit -= p.Units
	}
	v.reserve = max(v.reserve-p.Units, 0)
	if p.queue != nil {
		p.queue.drop(p)
	}
	s.held = without(s.held, p)
	p.queue, p.osd, p.early = nil, o, false
	p.sends = append(p.sends, send{osd: o, at: s.now})
	if o.out == 0 || o.health == trial {
		o.oldest = s.now
	}
	o.out++
	o.log = append(o.log, sent{s.now, p.Units})
	if p.Keyed {
		o.lastKey = p.Key
	}
	s.act(honeyplank.Dispatch{Op: p.ID, OSD: o.OSD})
}

func (p *op) busy() bool {
	for _, d := range p.sends {
		if !d.done {
			return true
		}
	}
	return false
}

// outcomes tells what each way to end means: whether it may have run, and what it says of the disk server.
var outcomes = map[honeyplank.Code]struct {
	maybe, answered, lost bool
	effect                func(*Scheduler, *osd, honeyplank.Outcome)
}{
	honeyplank.Acked:       {true, true, false, (*Scheduler).measure},
	honeyplank.Errored:     {true, true, false, (*Scheduler).blame},
	honeyplank.Full:        {false, true, false, (*Scheduler).crowded},
	honeyplank.TimedOut:    {true, false, false, nil},
	honeyplank.Unconnected: {false, false, true, nil},
	honeyplank.Reset:       {true, false, true, nil},
	honeyplank.Cancelled:   {true, false, false, nil},
	honeyplank.Moot:        {false, false, false, nil},
}

func (s *Scheduler) outcome(e honeyplank.Outcome) {
	o, p := s.osds[e.OSD], s.ops[e.Op]
	if o == nil {
		return
	}
	way := outcomes[e.Code]
	o.out = max(o.out-1, 0)
	if way.answered {
		o.oldest = s.now
		s.judge(o, inGood)
	}
	if way.lost {
		s.judge(o, inLost)
	}
	if way.effect != nil {
		way.effect(s, o, e)
	}
	if p != nil {
		s.closing(p, e, way.maybe)
		if !p.over && e.Done {
			s.forget(p)
		} else if !p.over && !p.busy() && p.queue == nil {
			s.again(p, o)
		}
		if p.key != nil && len(p.key.ops) > 0 && p.key.ops[0].queue != nil {
			s.pump(p.key.ops[0].osd)
		}
	}
	s.pump(o)
}

// closing books the end of a dispatch, also one whose op is over.
func (s *Scheduler) closing(p *op, e honeyplank.Outcome, maybe bool) {
	if e.Dispatch < 0 || e.Dispatch >= len(p.sends) || p.sends[e.Dispatch].done {
		return
	}
	p.sends[e.Dispatch].done, p.sends[e.Dispatch].maybe = true, maybe
	if k := p.key; k != nil && (e.Code == honeyplank.TimedOut || e.Code == honeyplank.Reset || e.Code == honeyplank.Cancelled) {
		k.rest, k.restBy = s.now+get[time.Duration](s.set, "order.settle"), p.ID
	}
	if p.over {
		s.finish(p)
	}
}

// again holds an op once more after a dispatch that brought no answer, or gives it up.
func (s *Scheduler) again(p *op, o *osd) {
	if len(p.sends) >= get[int](s.set, "dispatches.max") || !s.repeats(p, o) || s.now >= p.aim {
		s.answer(p)
		return
	}
	p.early, p.osd = true, nil
	s.held = append(s.held, p)
	s.house(p)
	if s.useless(p) {
		s.answer(p)
	}
}

// useless tells whether a held op can no longer earn its utility: its target latency would be over before
// an answer of the usual time there, or the client is about to give up.
func (s *Scheduler) useless(p *op) bool {
	if s.now+clientStoppedSlop*s.sweepEvery() >= p.Timeout {
		return true
	}
	if p.osd == nil {
		return s.now >= p.aim
	}
	return s.now+time.Duration(p.osd.latency*float64(time.Second)) >= p.aim
}

// answer gives an op up at once.
func (s *Scheduler) answer(p *op) {
	if s.harmless(p) {
		advice := time.Duration(0)
		if get[bool](s.set, "throttle.advice") {
			advice = min(pick[time.Duration](s.set, "optypes.target_latency", p.Type),
				get[time.Duration](s.set, "throttle.advice.max"))
		}
		s.act(honeyplank.Throttle{Op: p.ID, RetryAfter: advice})
	} else {
		s.act(honeyplank.Abort{Op: p.ID})
	}
	s.forget(p)
}

// forget ends an op; its record stays while a dispatch has no outcome, since its key must wait for that.
func (s *Scheduler) forget(p *op) {
	if p.queue != nil {
		p.queue.drop(p)
		p.queue = nil
	}
	s.held = without(s.held, p)
	p.over = true
	s.finish(p)
}

func (s *Scheduler) finish(p *op) {
	if p.busy() {
		return
	}
	delete(s.ops, p.ID)
	if p.key != nil {
		p.key.ops = without(p.key.ops, p)
	}
}

// ---- What answers tell ----

func (s *Scheduler) measure(o *osd, e honeyplank.Outcome) {
	o.credit = min(o.credit+creditEarned, creditMost)
	o.failing -= blending * o.failing
	p := s.ops[e.Op]
	if p == nil {
		return
	}
	blend := func(mean *float64, x float64) {
		if *mean == 0 {
			*mean = x
		}
		*mean += blending * (x - *mean)
	}
	blend(&o.latency, e.Elapsed.Seconds())
	blend(&o.perUnit, e.Elapsed.Seconds()/max(p.Units, 1))
	if o.best == 0 || o.perUnit < o.best {
		o.best = o.perUnit
	}
	o.best += bestForgets * (o.perUnit - o.best)
	o.answers++
	switch {
	case o.perUnit > past*o.best:
		if !o.spell {
			o.window = max(floor, o.window/2)
		}
		o.spell, o.answers = true, 0
	case o.perUnit < near*o.best && o.answers >= o.window:
		o.window, o.answers = min(ceiling, o.window+1), 0
		o.spell = false
	default:
		o.spell = false
	}
	q := o.queueOf(s.volumes[p.Volume])
	if q.ended >= 0 {
		q.await.add(s.now-q.ended, avgA, avgB)
	}
	q.ended, q.lastSeen = s.now, s.now
	s.used(s.volumes[p.Volume], p, e)
}

// used keeps what others serve for a volume: all that was served less what went through this host.
func (s *Scheduler) used(v *volume, p *op, e honeyplank.Outcome) {
	period := get[time.Duration](s.set, "meter.period").Seconds()
	if period <= 0 {
		return
	}
	v.own = v.own*math.Exp(-(s.now-v.ownAt).Seconds()/period) + p.Units/period
	v.ownAt = s.now
	if e.Used > 0 {
		total := float64(e.Used-1) / 100 * pick[float64](s.set, "plans.rate", v.plan)
		v.others = max(0, total-v.own)
	}
}

func (s *Scheduler) blame(o *osd, _ honeyplank.Outcome) { o.failing += blending * (1 - o.failing) }

func (s *Scheduler) crowded(o *osd, _ honeyplank.Outcome) { o.window = max(floor, o.window/2) }

// ---- The sweep ----

func (s *Scheduler) sweep() {
	s.timer(s.now+s.sweepEvery(), tokenSweep)
	_, longest := s.targets()
	for _, o := range s.order {
		if o.out > 0 && s.now-o.oldest > longest/2 {
			s.judge(o, inLost)
			o.oldest = s.now
		}
		if o.health == down && s.now-o.since >= o.rest {
			s.judge(o, inTime)
		}
	}
	for _, p := range append([]*op(nil), s.held...) {
		if p.osd == nil {
			s.house(p)
		}
	}
	for _, o := range s.order {
		s.pump(o)
	}
	for _, p := range append([]*op(nil), s.held...) {
		if s.useless(p) {
			s.answer(p)
		}
	}
	if get[bool](s.set, "list.ask") && !s.watched && s.now-s.asked > get[time.Duration](s.set, "list.ask_within")/2 {
		s.ask()
	}
	s.tidy()
}

// tidy drops entries that have been idle for long.
func (s *Scheduler) tidy() {
	for _, o := range s.order {
		kept := o.queues[:0]
		for _, q := range o.queues {
			if len(q.held) > 0 || q == o.served || s.now-q.lastSeen < idle {
				kept = append(kept, q)
			}
		}
		o.queues = kept
	}
	for id, v := range s.volumes {
		if s.now-v.lastSeen >= idle {
			delete(s.volumes, id)
		}
	}
	for id, k := range s.keys {
		if len(k.ops) == 0 && s.now >= k.rest {
			delete(s.keys, id)
		}
	}
}
