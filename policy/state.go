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
func New(seed int64, settings *honeyplank.Settings) *Scheduler {
	return &Scheduler{
		settings: readSettings(settings), rng: rand.New(rand.NewSource(seed)),
		servers: map[honeyplank.ServerID]*server{}, ops: map[honeyplank.OpID]*op{},
		savedEstimates: map[honeyplank.ServerID]honeyplank.ServerEstimate{}, volumes: map[int64]*volume{},
		keyQueues: map[int64]*keyQueue{}, serversByCell: map[int][]*server{}, demandByCell: map[int]*cellDemand{},
		earlierTries: map[requestIdentity]*earlierTry{}, rankingEpoch: 1,
		latencyByType: make([]typeLatency, len(settings.OpTypes.TargetLatency)),
	}
}

// SavedEstimates is what means the same to an instance that comes after: how fast servers are, seen yet or not.
func (s *Scheduler) SavedEstimates() honeyplank.SavedEstimates {
	usual := s.meanLatency()
	l := honeyplank.SavedEstimates{TypicalLatency: usual}
	for _, id := range slices.Sorted(maps.Keys(s.savedEstimates)) {
		l.Servers = append(l.Servers, s.savedEstimates[id])
	}
	for _, o := range s.serversByID {
		if o.slowness > 0 && o.Started <= max(o.slownessAt, 0) {
			l.Servers = append(l.Servers, honeyplank.ServerEstimate{Server: o.ID, At: o.slownessAt, BestPerUnit: o.bestPerUnit, Latency: o.slowness * usual})
		}
	}
	return l
}

// server is the one record of a disk server.
type server struct {
	honeyplank.Member
	listedUp           bool // counted among those that run
	wasListedUp        bool // so before the whole list that is being read
	active             bool // the sweep looks at it
	health             health
	healthSince        time.Duration         // start of the present health state
	backoff            time.Duration         // how long it is left alone once down
	window             float64               // ops of this host that may be out here
	outstanding        int                   // ops of this host that are out here
	dispatches         []outstandingDispatch // those, in the order sent
	patientDispatches  int                   // those that had time for a usual answer
	unansweredSince    time.Duration         // since when one of these has been out without any answer
	slowness           float64               // recent answer times, against the usual ones of the types answered; 0: not known
	slownessAt         time.Duration         // when slowness last took something in
	perUnit            float64               // recent answer time for each unit of size, in seconds
	bestPerUnit        float64               // the best of perUnit, slowly forgotten
	answersSinceGrowth float64               // answers since the window last grew
	latencyElevated    bool                  // latency stays past twice its best
	retryCredit        float64               // further dispatches earned by answers
	failureShare       float64               // recent share of dispatches that brought nothing, when last blamed
	failedAt           time.Duration
	sentLog            []sentUnits    // units of dispatches that ended within the window of the cold rule and may have arrived
	unitsOutstanding   float64        // units of those that are out, which may arrive at any time
	answeredSinceStart bool           // an answer came since its last start
	redrawn            [2]decayedRate // units of held ops that drew their lots anew: due, and beyond
	heldCount          int            // ops held here
	queues             []*volumeQueue // in ring order
	nonEmpty           []*volumeQueue // those with held ops, in ring order
	queueByVolume      map[*volume]*volumeQueue
	queueSerial        int // of the queue made last
	served             *volumeQueue
	sliceState         sliceState
	sliceEnd           time.Duration // end of the served volume's slice
	waitEnd            time.Duration // end of the wait for its next op
	round              int
	lastKey            int64 // key of the last op sent, to keep runs together
}

type sentUnits struct {
	at    time.Duration
	units float64
}

// outstandingDispatch is a dispatch that is out.
type outstandingDispatch struct {
	op              *op
	index           int
	sentAt          time.Duration
	overtakenAt     time.Duration // when a later one was first answered; 0: none was
	cancelRequested bool          // it was withdrawn, the outcome is to come
}

// markOvertaken notes that a dispatch of a time was answered.
func (o *server) markOvertaken(at, now time.Duration) {
	for i := range o.dispatches {
		if f := &o.dispatches[i]; f.sentAt < at && f.overtakenAt == 0 {
			f.overtakenAt = now
		}
	}
}

// volume counts what is due to a volume through this host.
type volume struct {
	plan             int
	schedulers       int
	reserve          float64 // units of the reserve left
	limit            float64 // units of this host's part of the limit left
	refilledAt       time.Duration
	servedHere       decayedRate    // units this host was served
	servedElsewhere  decayedRate    // units others were served, as answers tell
	servedEverywhere float64        // units a second served everywhere, by the late meter
	topServers       []rankedServer // the first of its ranking
	topComplete      bool           // best holds all that are on
	rankingEpoch     int            // those that best was made from
	joinedSeen       int
	openOps          int // ops taken and not over
	lastSeen         time.Duration
}

// op is an op that this scheduler owes an answer.
type op struct {
	honeyplank.Op
	target          time.Duration // clock time at which its target latency is over
	drawnAt         time.Duration // when its lot was drawn
	admissionDraw   float64       // its own draw from [0, 1), for shares smaller than an op
	dispatches      []opDispatch
	inlineDispatch  [1]opDispatch // room for the first, which is mostly the only one
	responseStarted bool
	answered        bool // answered or gone, kept while a dispatch has no outcome
	volume          *volume
	server          *server      // where it is held or was last sent
	queue           *volumeQueue // where it is held; nil while it is out
	keyQueue        *keyQueue
	heldSerial      int // place in the order held
	previousHeld    *op // neighbours in the list of held ops
	nextHeld        *op
	isRetry         bool // it comes before others of its volume: a further dispatch
}

type opDispatch struct {
	server     *server
	sentAt     time.Duration
	done       bool
	mayHaveRun bool // it may have run

	shortDeadline bool // it had less time than a usual answer takes
}

// keyQueue keeps ops of ordered types apart.
type keyQueue struct {
	ops        []*op // in the order taken
	settledAt  time.Duration
	settlingOp honeyplank.OpID
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
	settings          *schedulerSettings
	rng               *rand.Rand
	now               time.Duration
	startedAt         time.Duration
	started           bool
	actions           []honeyplank.Action
	servers           map[honeyplank.ServerID]*server
	savedEstimates    map[honeyplank.ServerID]honeyplank.ServerEstimate // from before this instance
	serversByID       []*server                                         // by id
	activeServers     []*server                                         // those that the sweep looks at, by id
	joinedServers     []*server                                         // those that came, in that order
	rankingEpoch      int                                               // counts the starts of joined
	accepting         []*server                                         // sound ones, as seen at a time
	acceptingAt       time.Duration
	serversVisited    int // disk servers looked at for new objects and in sweeps
	evictedAt         time.Duration
	running           int                 // how many are listed as on
	maxSchedulersSeen int                 // the most that volumes were seen to come through
	demand            [2]decayedRate      // units taken: due, and beyond
	boundDemand       decayedRate         // units asked of those that hold data, over a longer time
	fleetDemand       decayedRate         // units asked of all hosts for the volumes known here
	demandByCell      map[int]*cellDemand // by where the data lies
	serversByCell     map[int][]*server   // disk servers by the data they hold
	latencyByType     []typeLatency       // by op type
	earlierTries      map[requestIdentity]*earlierTry
	lostShare         float64 // recent share of dispatches whose answers seemed lost
	unitsAdmitted     float64 // of all ops taken, and their squares
	unitsSquared      float64
	ops               map[honeyplank.OpID]*op
	firstHeld         *op // of the held ones, in the order taken; also those with no disk server
	lastHeld          *op
	serial            int
	unassigned        int // held ops with no disk server
	volumes           map[int64]*volume
	keyQueues         map[int64]*keyQueue
	admissions        []time.Duration // ops taken, for the budget
	retries           []time.Duration // further dispatches, for the budget
	watchActive       bool
	watchRequested    time.Duration
	backoff           time.Duration
}

func (s *Scheduler) emit(a honeyplank.Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) setTimer(at time.Duration, name string) {
	s.emit(honeyplank.SetTimer{At: at, Name: name})
}

func (s *Scheduler) logf(format string, arguments ...any) {
	s.emit(honeyplank.Log{Text: fmt.Sprintf(format, arguments...)})
}

type health int

const (
	up health = iota
	suspect
	down
	halfOpen
)

func (h health) String() string { return [...]string{"up", "doubted", "down", "trial"}[h] }

type healthEvent int

const (
	noHealthEvent  healthEvent = iota
	responded                  // an answer, whatever it was
	unresponsive               // no connection, a reset, or silence
	restarted                  // the list tells of a new start
	backoffElapsed             // its rest has passed
)

type sliceState int

const (
	sliceIdle sliceState = iota // no volume is served
	sliceServing
	sliceWaiting // for the next op of the served volume
)

type sliceSignal int

const (
	nothingReady     sliceSignal = iota // nothing can leave now
	othersReady                         // only volumes that are not served have an op that can leave
	servedReady                         // the served volume has one
	reserveWaiting                      // only beyond its reserve, while another's is within
	sliceExpired                        // the slice is over, another has one
	thinkTimeTooLong                    // it has none, and thinkt reaches past its slice
	cheaperReady                        // it has none, and another that completes faster has one
	worthWaiting                        // it has none, and waiting is worth while
)

func (p *op) isOutstanding() bool {
	for _, d := range p.dispatches {
		if !d.done {
			return true
		}
	}
	return false
}

// finishOp ends an op; its record stays while a dispatch has no outcome, since its key must wait for that.
func (s *Scheduler) finishOp(p *op) {
	p.dequeue()
	s.removeHeld(p)
	p.answered = true
	if p.isOutstanding() {
		return
	}
	delete(s.ops, p.ID)
	p.volume.openOps--
	if p.keyQueue != nil {
		p.keyQueue.ops = without(p.keyQueue.ops, p)
	}
}

// evictIdle drops entries that have been idle for long.
func (s *Scheduler) evictIdle(idle time.Duration) {
	for _, o := range s.serversByID {
		kept := o.queues[:0]
		for _, q := range o.queues {
			if len(q.held) > 0 || q == o.served || s.now-q.lastSeen < idle {
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
		if s.now-f.asked[0].last >= idle {
			delete(s.demandByCell, cell)
		}
	}
	for id, a := range s.earlierTries {
		if s.now >= a.expires {
			delete(s.earlierTries, id)
		}
	}
	for id, k := range s.keyQueues {
		if len(k.ops) == 0 && s.now >= k.settledAt {
			delete(s.keyQueues, id)
		}
	}
}

// meanAwait is the mean over the volumes whose await is known.
func (o *server) meanAwait(c float64) time.Duration {
	var sum, n time.Duration
	for _, q := range o.queues {
		if q.await.sum > 0 {
			sum, n = sum+q.await.value(c), n+1
		}
	}
	return sum / max(n, 1)
}

// addServer takes up the record of a disk server.
func (s *Scheduler) addServer(o *server) *server {
	s.servers[o.ID] = o
	s.serversByID = insertByID(s.serversByID, o)
	// What an instance before this one had learnt holds unless the server has started since. It guards
	// the first seconds after a switch; it could harm where a machine was replaced under one address.
	if k, ok := s.savedEstimates[o.ID]; ok && s.estimateValid(k, o.Started) {
		o.bestPerUnit, o.slowness, o.slownessAt = k.BestPerUnit, k.Latency/max(s.meanLatency(), 1e-9), k.At
	}
	delete(s.savedEstimates, o.ID)
	return o
}

// restoreEstimates takes in what an instance before this one had learnt, unless it is too old, or of a time to come: by that no
// start could be told to be newer.
func (s *Scheduler) restoreEstimates(e honeyplank.SavedEstimates) {
	for i := range s.latencyByType {
		s.latencyByType[i] = typeLatency{mean: e.TypicalLatency, fastest: e.TypicalLatency, updatedAt: s.now}
	}
	for _, k := range e.Servers {
		if s.estimateValid(k, 0) {
			s.savedEstimates[k.Server] = k
		} else {
			s.logf("osd %s: what was learnt of it is too old, or of a time to come: passed over", k.Server)
		}
	}
}

// insertByID puts a disk server into a list kept by id.
func insertByID(list []*server, o *server) []*server {
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= o.ID })
	return slices.Insert(list, i, o)
}

// updateMember notes what the list says of a disk server, and with it who holds what and how many run. The work does
// not grow with the fleet.
func (s *Scheduler) updateMember(o *server, m honeyplank.Member) {
	stayed := o.listedUp || o.wasListedUp
	if o.listedUp {
		s.running--
		s.serversByCell[o.Cell] = without(s.serversByCell[o.Cell], o)
	}
	o.Member, o.listedUp = m, m.State == honeyplank.Up
	if o.listedUp {
		s.running++
		s.serversByCell[o.Cell] = insertByID(s.serversByCell[o.Cell], o)
		if !stayed {
			s.joinRankings(o)
		}
	}
}

// unassignStopped takes from disk servers that do not run what is held for them.
func (s *Scheduler) unassignStopped(list []*server) {
	for _, o := range list {
		if !o.listedUp {
			s.unassignAll(o)
		}
	}
}

func (s *Scheduler) markAllRemoved() {
	for _, o := range s.serversByID {
		o.wasListedUp = o.listedUp
		m := o.Member
		m.State = honeyplank.Removed
		s.updateMember(o, m)
	}
}

// joinKeyQueue puts an op at the end of its key's line.
func (s *Scheduler) joinKeyQueue(p *op) {
	k := s.keyQueues[p.Key]
	if k == nil {
		k = &keyQueue{}
		s.keyQueues[p.Key] = k
	}
	k.ops = append(k.ops, p)
	p.keyQueue = k
}

// recordDispatch notes that an op goes out to a disk server.
func (s *Scheduler) recordDispatch(p *op, o *server, hurried bool) {
	p.dequeue()
	s.removeHeld(p)
	p.server, p.isRetry = o, false
	o.dispatches = append(o.dispatches, outstandingDispatch{op: p, index: len(p.dispatches), sentAt: s.now})
	p.dispatches = append(p.dispatches, opDispatch{server: o, sentAt: s.now, shortDeadline: hurried})
	o.outstanding++
	o.patientDispatches += boolToInt(!hurried)
	s.markActive(o)
	o.unitsOutstanding += p.Units
	if p.HasKey {
		o.lastKey = p.Key
	}
}

// closeDispatch notes how a dispatch ended, and for the cold rule when it arrived at the latest; it tells whether that was news.
func (s *Scheduler) closeDispatch(p *op, n int, way outcomeMeaning) bool {
	if n < 0 || n >= len(p.dispatches) || p.dispatches[n].done {
		return false
	}
	p.dispatches[n].done, p.dispatches[n].mayHaveRun = true, way.mayHaveRun
	o := p.dispatches[n].server
	o.dispatches = slices.DeleteFunc(o.dispatches, func(f outstandingDispatch) bool { return f.op == p && f.index == n })
	if o.unitsOutstanding -= p.Units; len(o.dispatches) == 0 { // no rest of rounding
		o.unitsOutstanding = 0
	}
	if way.arrived && s.inSlowStart(o) {
		o.sentLog = append(o.sentLog, sentUnits{s.now, p.Units})
	}
	return true
}

// openVolume takes an op up as held, with the record of its volume.
func (s *Scheduler) openVolume(p *op) {
	v := s.volumes[p.Volume]
	if v == nil {
		v = &volume{plan: p.Plan, refilledAt: s.noDispatchSince(), reserve: math.Inf(1)}
		s.volumes[p.Volume] = v
	}
	v.schedulers, v.lastSeen = p.Schedulers, s.now
	if v.schedulers < 1 {
		v.schedulers = max(s.settings.schedulers, 1)
	}
	s.maxSchedulersSeen = max(s.maxSchedulersSeen, v.schedulers)
	v.openOps++
	p.volume, p.dispatches = v, p.inlineDispatch[:0]
	s.appendHeld(p)
}

// neverRan tells whether every dispatch of an op is known not to have run.
func (p *op) neverRan() bool {
	for _, d := range p.dispatches {
		if !d.done || d.mayHaveRun {
			return false
		}
	}
	return true
}

// trimSentLog drops what ended before a time from the log; logged adds up the rest and what is out.
func (o *server) trimSentLog(from time.Duration) {
	old := 0
	for old < len(o.sentLog) && o.sentLog[old].at < from {
		old++
	}
	if old > 0 { // moved down, so that the room is used again
		o.sentLog = slices.Delete(o.sentLog, 0, old)
	}
}

func (o *server) sentInWindow() float64 {
	sum := o.unitsOutstanding
	for _, x := range o.sentLog {
		sum += x.units
	}
	return sum
}

// largestConcurrencyLimit is the most that places gives ops of any type.
func (s *Scheduler) largestConcurrencyLimit(o *server, due bool) (most float64) {
	for typ := range s.settings.targetLatency {
		if most = max(most, s.concurrencyLimit(o, typ, spareLatencyShare)); due {
			most = max(most, s.concurrencyLimit(o, typ, reserveLatencyShare))
		}
	}
	return most
}

// earliestAnswerOfAnyType is the least that soonest gives for any type.
func (s *Scheduler) earliestAnswerOfAnyType(o *server) time.Duration {
	least := time.Duration(math.MaxInt64)
	for typ := range s.settings.targetLatency {
		least = min(least, s.earliestAnswer(o, typ))
	}
	return least
}

// requestWatch asks discovery for changes from now on.
func (s *Scheduler) requestWatch() {
	s.watchRequested = s.now
	s.emit(honeyplank.Watch{Enabled: true})
}
