package policy

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"

	"honeyplank"
)

// This file holds the records of an instance: disk servers, volumes, ops, keys. Nothing here decides.

// New makes an instance that knows nothing yet.
func New(seed int64, settings map[string]any) *Scheduler {
	return &Scheduler{
		set: read(settings), rng: rand.New(rand.NewSource(seed)),
		osds: map[honeyplank.ServerID]*osd{}, ops: map[honeyplank.OpID]*op{},
		known: map[honeyplank.ServerID]honeyplank.ServerEstimate{}, volumes: map[int64]*volume{},
		keys: map[int64]*key{}, holders: map[int][]*osd{}, byCell: map[int]*cellDemand{},
		unserved: map[identity]*attempt{}, epoch: 1,
		times: make([]typeTime, len(get[[]time.Duration](settings, "optypes.target_latency"))),
	}
}

// Learnt is what means the same to an instance that comes after: how fast servers are, seen yet or not.
func (s *Scheduler) Learnt() honeyplank.SavedEstimates {
	usual := s.meanTime()
	l := honeyplank.SavedEstimates{TypicalLatency: usual}
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		l.Servers = append(l.Servers, s.known[id])
	}
	for _, o := range s.order {
		if o.slowness > 0 && o.Started <= max(o.told, 0) {
			l.Servers = append(l.Servers, honeyplank.ServerEstimate{Server: o.ID, At: o.told, BestPerUnit: o.best, Latency: o.slowness * usual})
		}
	}
	return l
}

// osd is the one record of a disk server.
type osd struct {
	honeyplank.Member
	placed   bool // counted among those that run
	was      bool // so before the whole list that is being read
	active   bool // the sweep looks at it
	health   health
	since    time.Duration // start of the present health state
	rest     time.Duration // how long it is left alone once down
	window   float64       // ops of this host that may be out here
	out      int           // ops of this host that are out here
	flying   []flight      // those, in the order sent
	patient  int           // those that had time for a usual answer
	oldest   time.Duration // since when one of these has been out without any answer
	slowness float64       // recent answer times, against the usual ones of the types answered; 0: not known
	told     time.Duration // when slowness last took something in
	perUnit  float64       // recent answer time for each unit of size, in seconds
	best     float64       // the best of perUnit, slowly forgotten
	answers  float64       // answers since the window last grew
	spell    bool          // latency stays past twice its best
	credit   float64       // further dispatches earned by answers
	failing  float64       // recent share of dispatches that brought nothing, when last blamed
	blamed   time.Duration
	log      []sent   // units of dispatches that ended within the window of the cold rule and may have arrived
	flight   float64  // units of those that are out, which may arrive at any time
	heard    bool     // an answer came since its last start
	redrawn  [2]flow  // units of held ops that drew their lots anew: due, and beyond
	holding  int      // ops held here
	queues   []*queue // in ring order
	live     []*queue // those with held ops, in ring order
	of       map[*volume]*queue
	serial   int // of the queue made last
	served   *queue
	turn     turn
	until    time.Duration // end of the served volume's slice
	waits    time.Duration // end of the wait for its next op
	round    int
	lastKey  int64 // key of the last op sent, to keep runs together
}

type sent struct {
	at    time.Duration
	units float64
}

// flight is a dispatch that is out.
type flight struct {
	op     *op
	n      int
	at     time.Duration
	passed time.Duration // when a later one was first answered; 0: none was
	asked  bool          // it was withdrawn, the outcome is to come
}

// overtake notes that a dispatch of a time was answered.
func (o *osd) overtake(at, now time.Duration) {
	for i := range o.flying {
		if f := &o.flying[i]; f.at < at && f.passed == 0 {
			f.passed = now
		}
	}
}

// volume counts what is due to a volume through this host.
type volume struct {
	plan     int
	hosts    int
	reserve  float64 // units of the reserve left
	limit    float64 // units of this host's part of the limit left
	filled   time.Duration
	served   flow     // units this host was served
	others   flow     // units others were served, as answers tell
	total    float64  // units a second served everywhere, by the late meter
	best     []ranked // the first of its ranking
	whole    bool     // best holds all that are on
	epoch    int      // those that best was made from
	seen     int
	open     int // ops taken and not over
	lastSeen time.Duration
}

// op is an op that this scheduler owes an answer.
type op struct {
	honeyplank.Op
	target time.Duration // clock time at which its target latency is over
	drawn  time.Duration // when its lot was drawn
	lot    float64       // its own draw from [0, 1), for shares smaller than an op
	sends  []send
	one    [1]send // room for the first, which is mostly the only one
	begun  bool
	over   bool // answered or gone, kept while a dispatch has no outcome
	volume *volume
	osd    *osd   // where it is held or was last sent
	queue  *queue // where it is held; nil while it is out
	key    *key
	seq    int // place in the order held
	before *op // neighbours in the list of held ops
	after  *op
	early  bool // it comes before others of its volume: a further dispatch
}

type send struct {
	osd   *osd
	at    time.Duration
	done  bool
	maybe bool // it may have run

	hurried bool // it had less time than a usual answer takes
}

// key keeps ops of ordered types apart.
type key struct {
	ops    []*op // in the order taken
	rest   time.Duration
	restBy honeyplank.OpID
}

func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Scheduler is one instance. It shares nothing with others.
type Scheduler struct {
	set        *terms
	rng        *rand.Rand
	now        time.Duration
	born       time.Duration
	started    bool
	out        []honeyplank.Action
	osds       map[honeyplank.ServerID]*osd
	known      map[honeyplank.ServerID]honeyplank.ServerEstimate // from before this instance
	order      []*osd                                            // by id
	active     []*osd                                            // those that the sweep looks at, by id
	joined     []*osd                                            // those that came, in that order
	epoch      int                                               // counts the starts of joined
	soundList  []*osd                                            // sound ones, as seen at a time
	soundAt    time.Duration
	visited    int // disk servers looked at for new objects and in sweeps
	tidied     time.Duration
	running    int                 // how many are listed as on
	hosts      int                 // the most that volumes were seen to come through
	demand     [2]flow             // units taken: due, and beyond
	bound      flow                // units asked of those that hold data, over a longer time
	everywhere flow                // units asked of all hosts for the volumes known here
	byCell     map[int]*cellDemand // by where the data lies
	holders    map[int][]*osd      // disk servers by the data they hold
	times      []typeTime          // by op type
	unserved   map[identity]*attempt
	lost       float64 // recent share of dispatches whose answers seemed lost
	units      float64 // of all ops taken, and their squares
	squares    float64
	ops        map[honeyplank.OpID]*op
	first      *op // of the held ones, in the order taken; also those with no disk server
	last       *op
	serial     int
	nowhere    int // held ops with no disk server
	volumes    map[int64]*volume
	keys       map[int64]*key
	taken      []time.Duration // ops taken, for the budget
	extras     []time.Duration // further dispatches, for the budget
	watched    bool
	asked      time.Duration
	backoff    time.Duration
}

func (s *Scheduler) act(a honeyplank.Action) { s.out = append(s.out, a) }

func (s *Scheduler) timer(at time.Duration, name string) {
	s.act(honeyplank.SetTimer{At: at, Name: name})
}

func (s *Scheduler) logf(format string, arguments ...any) {
	s.act(honeyplank.Log{Text: fmt.Sprintf(format, arguments...)})
}

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
	inNothing finding = iota
	inGood            // an answer, whatever it was
	inLost            // no connection, a reset, or silence
	inBorn            // the list tells of a new start
	inTime            // its rest has passed
)

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

func (p *op) busy() bool {
	for _, d := range p.sends {
		if !d.done {
			return true
		}
	}
	return false
}

// forget ends an op; its record stays while a dispatch has no outcome, since its key must wait for that.
func (s *Scheduler) forget(p *op) {
	p.leave()
	s.release(p)
	p.over = true
	if p.busy() {
		return
	}
	delete(s.ops, p.ID)
	p.volume.open--
	if p.key != nil {
		p.key.ops = without(p.key.ops, p)
	}
}

// tidy drops entries that have been idle for long.
func (s *Scheduler) tidy(idle time.Duration) {
	for _, o := range s.order {
		kept := o.queues[:0]
		for _, q := range o.queues {
			if len(q.held) > 0 || q == o.served || s.now-q.lastSeen < idle {
				kept = append(kept, q)
			} else {
				delete(o.of, q.volume)
			}
		}
		o.queues = kept
	}
	for id, v := range s.volumes {
		if v.open == 0 && s.now-v.lastSeen >= idle {
			delete(s.volumes, id)
		}
	}
	for cell, f := range s.byCell {
		if s.now-f.asked[0].last >= idle {
			delete(s.byCell, cell)
		}
	}
	for id, a := range s.unserved {
		if s.now >= a.until {
			delete(s.unserved, id)
		}
	}
	for id, k := range s.keys {
		if len(k.ops) == 0 && s.now >= k.rest {
			delete(s.keys, id)
		}
	}
}

// meanAwait is the mean over the volumes whose await is known.
func (o *osd) meanAwait(c float64) time.Duration {
	var sum, n time.Duration
	for _, q := range o.queues {
		if q.await.sum > 0 {
			sum, n = sum+q.await.value(c), n+1
		}
	}
	return sum / max(n, 1)
}

// add takes up the record of a disk server.
func (s *Scheduler) add(o *osd) *osd {
	s.osds[o.ID] = o
	s.order = insert(s.order, o)
	// What an instance before this one had learnt holds unless the server has started since. It guards
	// the first seconds after a switch; it could harm where a machine was replaced under one address.
	if k, ok := s.known[o.ID]; ok && s.holds(k, o.Started) {
		o.best, o.slowness, o.told = k.BestPerUnit, k.Latency/max(s.meanTime(), 1e-9), k.At
	}
	delete(s.known, o.ID)
	return o
}

// recall takes in what an instance before this one had learnt, unless it is too old, or of a time to come: by that no
// start could be told to be newer.
func (s *Scheduler) recall(e honeyplank.SavedEstimates) {
	for i := range s.times {
		s.times[i] = typeTime{mean: e.TypicalLatency, least: e.TypicalLatency, told: s.now}
	}
	for _, k := range e.Servers {
		if s.holds(k, 0) {
			s.known[k.Server] = k
		} else {
			s.logf("osd %s: what was learnt of it is too old, or of a time to come: passed over", k.Server)
		}
	}
}

// insert puts a disk server into a list kept by id.
func insert(list []*osd, o *osd) []*osd {
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= o.ID })
	return slices.Insert(list, i, o)
}

// place notes what the list says of a disk server, and with it who holds what and how many run. The work does
// not grow with the fleet.
func (s *Scheduler) place(o *osd, m honeyplank.Member) {
	stayed := o.placed || o.was
	if o.placed {
		s.running--
		s.holders[o.Cell] = without(s.holders[o.Cell], o)
	}
	o.Member, o.placed = m, m.State == honeyplank.Up
	if o.placed {
		s.running++
		s.holders[o.Cell] = insert(s.holders[o.Cell], o)
		if !stayed {
			s.join(o)
		}
	}
}

// stopped takes from disk servers that do not run what is held for them.
func (s *Scheduler) stopped(list []*osd) {
	for _, o := range list {
		if !o.placed {
			s.unhouse(o)
		}
	}
}

func (s *Scheduler) allGone() {
	for _, o := range s.order {
		o.was = o.placed
		m := o.Member
		m.State = honeyplank.Removed
		s.place(o, m)
	}
}

// line puts an op at the end of its key's line.
func (s *Scheduler) line(p *op) {
	k := s.keys[p.Key]
	if k == nil {
		k = &key{}
		s.keys[p.Key] = k
	}
	k.ops = append(k.ops, p)
	p.key = k
}

// book notes that an op goes out to a disk server.
func (s *Scheduler) book(p *op, o *osd, hurried bool) {
	p.leave()
	s.release(p)
	p.osd, p.early = o, false
	o.flying = append(o.flying, flight{op: p, n: len(p.sends), at: s.now})
	p.sends = append(p.sends, send{osd: o, at: s.now, hurried: hurried})
	o.out++
	o.patient += count(!hurried)
	s.touch(o)
	o.flight += p.Units
	if p.HasKey {
		o.lastKey = p.Key
	}
}

// close notes how a dispatch ended, and for the cold rule when it arrived at the latest; it tells whether that was news.
func (s *Scheduler) close(p *op, n int, way end) bool {
	if n < 0 || n >= len(p.sends) || p.sends[n].done {
		return false
	}
	p.sends[n].done, p.sends[n].maybe = true, way.maybe
	o := p.sends[n].osd
	o.flying = slices.DeleteFunc(o.flying, func(f flight) bool { return f.op == p && f.n == n })
	if o.flight -= p.Units; len(o.flying) == 0 { // no rest of rounding
		o.flight = 0
	}
	if way.arrived && s.cold(o) {
		o.log = append(o.log, sent{s.now, p.Units})
	}
	return true
}

// open takes an op up as held, with the record of its volume.
func (s *Scheduler) open(p *op) {
	v := s.volumes[p.Volume]
	if v == nil {
		v = &volume{plan: p.Plan, filled: s.unsent(), reserve: math.Inf(1)}
		s.volumes[p.Volume] = v
	}
	v.hosts, v.lastSeen = p.Schedulers, s.now
	if v.hosts < 1 {
		v.hosts = max(s.set.hosts, 1)
	}
	s.hosts = max(s.hosts, v.hosts)
	v.open++
	p.volume, p.sends = v, p.one[:0]
	s.hold(p)
}

// neverRan tells whether every dispatch of an op is known not to have run.
func (p *op) neverRan() bool {
	for _, d := range p.sends {
		if !d.done || d.maybe {
			return false
		}
	}
	return true
}

// trim drops what ended before a time from the log; logged adds up the rest and what is out.
func (o *osd) trim(from time.Duration) {
	old := 0
	for old < len(o.log) && o.log[old].at < from {
		old++
	}
	if old > 0 { // moved down, so that the room is used again
		o.log = slices.Delete(o.log, 0, old)
	}
}

func (o *osd) logged() float64 {
	sum := o.flight
	for _, x := range o.log {
		sum += x.units
	}
	return sum
}

// mostPlaces is the most that places gives ops of any type.
func (s *Scheduler) mostPlaces(o *osd, due bool) (most float64) {
	for typ := range s.set.target {
		if most = max(most, s.places(o, typ, spareOfTarget)); due {
			most = max(most, s.places(o, typ, dueOfTarget))
		}
	}
	return most
}

// soonestOfAll is the least that soonest gives for any type.
func (s *Scheduler) soonestOfAll(o *osd) time.Duration {
	least := time.Duration(math.MaxInt64)
	for typ := range s.set.target {
		least = min(least, s.soonest(o, typ))
	}
	return least
}

// ask asks discovery for changes from now on.
func (s *Scheduler) ask() {
	s.asked = s.now
	s.act(honeyplank.Watch{Enabled: true})
}
