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
	meanDecay, meanScale, meanOffset = 7.0 / 8, 32, 1024 // the paper's a, b and c
	minWindow, maxWindow             = 4.0, 32.0         // bounds of the window
	idleExpiry                       = 30 * time.Second  // entries idle for longer are dropped
	evictInterval                    = time.Second
	estimateLifetime                 = 24 * time.Hour // what an instance before had learnt is dropped after
	nearBest, farPastBest            = 1.5, 2.0       // latency near its best, and far past it
	sliceShare                       = 0.25           // a round of slices lasts this part of the shortest target latency
	spareLatencyShare                = 0.04           // latency that leaves room for ops beyond the reserve
	reserveLatencyShare              = 0.18           // the same for ops within the reserve
	sweepShare                       = 1.0 / 20       // how often held ops are looked at
	ewmaWeight                       = 1.0 / 8        // weight of the newest answer in a recent mean
	maxRetryCredit                   = 2 * minWindow  // further dispatches; each answer earns one
	maxFailureRate                   = 0.2            // share of errors at which new objects go elsewhere
	bestLatencyDecay                 = 1.0 / 256
	slowStartTarget                  = 7.0 / 8 // by lot: the mean of what is sent, of the part at most; chance does the rest
	slowStartDeviations              = 4.0     // and so many standard deviations of it stay below what pushes a server over
	slowStartMaxOps                  = 1.5     // mean ops by lot to a cold server within a window
	limitHeadroomShare               = 0.5     // of a limit's store, kept from an op type of no utility
	overdueFactor                    = 8.0     // times the usual answer time, for a dispatch that others overtake,
	overdueReduction                 = 0.5     // and this part of it once a share of dispatches
	highLostShare                    = 1.0 / 50
	typicalLatencyDecay              = 16 // longest target latencies in which the usual answer time of a type is forgotten
)

// holdUp is for how long the process may be held up between reading its clock and writing: what is decided at one time
// may leave so much later.
const holdUp = 150 * time.Millisecond

// Handle takes one event and returns what is to be done at once.
func (s *Scheduler) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	s.now, s.actions = now, nil
	if !s.started {
		s.started, s.startedAt = true, now
		s.setTimer(now+s.sweepInterval(), "sweep")
		if s.settings.watchOnRequest {
			s.requestWatch()
		}
	}
	switch e := event.(type) {
	case honeyplank.List:
		s.applyList(e)
	case honeyplank.Op:
		s.admit(e)
	case honeyplank.Outcome:
		s.handleOutcome(e)
	case honeyplank.ResponseStarted:
		if p := s.ops[e.Op]; p != nil {
			p.responseStarted = true
		}
	case honeyplank.Timer:
		if e.Name == "sweep" {
			s.sweep()
		}
		if e.Name == "watch" && !s.watchActive {
			s.requestWatch()
		}
	case honeyplank.SavedEstimates:
		s.restoreEstimates(e)
	case honeyplank.ClientGone:
		if p := s.ops[e.Op]; p != nil && !p.answered {
			s.finishOp(p)
		}
	}
	return s.actions
}

func (s *Scheduler) sweepInterval() time.Duration {
	return max(time.Duration(sweepShare*float64(s.settings.shortestTarget)), s.settings.step, time.Millisecond)
}

// ---- The list of disk servers ----

func (s *Scheduler) applyList(l honeyplank.List) {
	switch l.Kind {
	case honeyplank.WatchFailed: // nothing tells whether a watch still stands: watch again, ever less often
		s.watchActive = false
		most := s.settings.watchDeadline / 4
		s.backoff = min(max(2*s.backoff, most/16, s.sweepInterval()), max(most, s.sweepInterval()))
		s.setTimer(s.now+s.backoff/2+time.Duration(s.rng.Int63n(int64(s.backoff/2)+1)), "watch")
		return
	case honeyplank.Delta, honeyplank.Complete:
		s.watchActive, s.backoff = true, 0
	}
	changes := l.Kind == honeyplank.Delta || l.Kind == honeyplank.OutOfBand
	if !changes { // what a whole list leaves out is gone
		s.markAllRemoved()
	}
	touched := make([]*server, 0, len(l.Members))
	for _, m := range l.Members {
		o := s.servers[m.ID]
		if o == nil { // what was sent to it before this instance started is unknown: that counts as too much
			o = s.addServer(&server{Member: m, window: minWindow, retryCredit: maxRetryCredit, sentLog: []sentUnits{{s.startedAt, math.Inf(1)}}})
		}
		if m.Started > o.Started {
			o.answeredSinceStart = false
			s.applyHealthEvent(o, restarted)
		}
		s.updateMember(o, m)
		touched = append(touched, o)
	}
	if !changes {
		touched = s.serversByID
		for _, o := range s.serversByID {
			o.wasListedUp = false
		}
	}
	s.unassignStopped(touched)
	s.assignHeld(touched)
}

// estimateValid tells whether what an instance before learnt still does: than a time to come no start could be newer.
func (s *Scheduler) estimateValid(k honeyplank.ServerEstimate, started time.Duration) bool {
	return k.At <= s.now && s.now-k.At < estimateLifetime && started <= max(k.At, 0)
}

// ---- Health of a disk server ----

// healthTransitions is read by judge; a pair that is missing changes nothing. It guards against servers that died or
// are silent, and should hold against any cut between this host and a server. It could harm where a server
// merely pauses for long: it then gets one op at a time until it answers.
var healthTransitions = map[health]map[healthEvent]struct {
	next   health
	effect func(*Scheduler, *server)
}{
	up:       {unresponsive: {suspect, resetWindow}, restarted: {up, resetWindow}},
	suspect:  {responded: {up, nil}, unresponsive: {down, (*Scheduler).backOff}, restarted: {up, resetWindow}},
	down:     {responded: {up, resetWindow}, backoffElapsed: {halfOpen, nil}, restarted: {up, resetWindow}},
	halfOpen: {responded: {up, resetWindow}, unresponsive: {down, (*Scheduler).backOff}, restarted: {up, resetWindow}},
}

func (s *Scheduler) applyHealthEvent(o *server, in healthEvent) {
	rule, ok := healthTransitions[o.health][in]
	if !ok {
		return
	}
	if o.health != rule.next && (o.health == down || rule.next == down) {
		s.logf("osd %s: %s, was %s", o.ID, rule.next, o.health)
	}
	o.health, o.healthSince = rule.next, s.now
	if o.health == down { // the sweep ends its rest
		s.markActive(o)
	}
	if rule.effect != nil {
		rule.effect(s, o)
	}
}

func resetWindow(_ *Scheduler, o *server) { o.window, o.backoff = minWindow, 0 }
func halveWindow(o *server)               { o.window = max(minWindow, o.window/2) }

// backOff leaves a disk server alone, longer each time, up to the longest target latency.
func (s *Scheduler) backOff(o *server) {
	o.backoff = min(max(time.Duration(farPastBest*float64(o.backoff)), s.settings.shortestTarget/2), s.settings.longestTarget)
}

// ---- Taking and placing ops ----

func (s *Scheduler) admit(e honeyplank.Op) {
	if s.ops[e.ID] != nil {
		return
	}
	s.admissions = append(dropBefore(s.admissions, s.now-s.settings.budgetWindow), s.now)
	p := &op{Op: e, admissionDraw: s.rng.Float64(), drawnAt: s.now}
	s.unitsAdmitted, s.unitsSquared = s.unitsAdmitted+e.Units, s.unitsSquared+e.Units*e.Units
	// A retry's target latency runs from its client's first try. An op with less time than its target latency
	// is wanted within the time it brings.
	p.target = min(s.now+valueAt(s.settings.targetLatency, e.Type)-s.alreadyWaited(p), e.Timeout)
	s.ops[e.ID] = p
	if e.HasKey && valueAt(s.settings.ordered, e.Type) {
		s.joinKeyQueue(p)
	}
	s.openVolume(p)
	s.recordDemand(p, s.withinReserve(p))
	if s.assignServer(p); p.queue != nil {
		p.queue.thinkTime.observe(s.now, meanDecay, meanScale)
		p.queue.demand.add(s.now, p.Units, 2*s.settings.longestTarget)
		s.runSlices(p.server)
	}
	if !p.answered && !p.isOutstanding() && s.deadlineUnreachable(p) {
		s.giveUp(p)
	}
}

// alreadyWaited is for how long the client of an op has waited since its first try: the time that the op lacks to an
// earlier one of the same identity that came to nothing.
func (s *Scheduler) alreadyWaited(p *op) time.Duration {
	total := valueAt(s.settings.opTimeout, p.Type)
	if !p.HasKey || total <= 0 {
		return 0
	}
	left := p.Timeout - s.now
	a := s.earlierTries[identityOf(p)]
	if a == nil || !a.op.answered || s.now >= a.expires {
		a = &earlierTry{timeLeft: left, expires: s.now + total}
		s.earlierTries[identityOf(p)] = a
	}
	a.op = p
	return max(a.timeLeft-left, 0)
}

// assignServer puts a held op into a queue: at the holder of its data, or for a new object where chooseNewServer says.
func (s *Scheduler) assignServer(p *op) {
	var home *server
	for _, o := range s.serversByCell[p.Cell] { // the healthiest, of those the one that has run for longest
		if home == nil || o.health < home.health || o.health == home.health && o.Started < home.Started {
			home = o
		}
	}
	if p.Cell == honeyplank.NewObject {
		home = s.chooseNewServer(p)
	}
	if home != nil {
		s.unassigned--
		home.enqueue(p)
		s.markActive(home)
		p.queue.lastSeen = s.now
	}
}

// chooseNewServer is the first disk server of the volume's ranking that has not enough already, or else the one that has least
// against its room: of the first ones in rank, and only if no new object may go to any of these, of all.
func (s *Scheduler) chooseNewServer(p *op) (home *server) {
	if !s.mayDispatchAnywhere(p) {
		return nil
	}
	due, least := s.withinReserve(p), math.Inf(1)
	for _, r := range s.topRanked(p.volume, p.Volume) {
		s.serversVisited++
		load := s.relativeLoad(p, r.osd, due)
		if load < least {
			home, least = r.osd, load
		}
		if load < 1 {
			break
		}
	}
	if home != nil || p.volume.topComplete {
		return home
	}
	hash, first := volumeHash(p.Volume), uint64(0)
	for _, o := range s.acceptingServers() { // in no order of rank: of those with room the first in rank, else of the least
		s.serversVisited++
		load := s.relativeLoad(p, o, due)
		if load < 1 { // room is room, however much
			load = 0
		}
		if at := rendezvousHash(hash, o.ID); load < least || load == least && !math.IsInf(load, 1) && at > first {
			home, least, first = o, load, at
		}
	}
	return home
}

// relativeLoad is what is out and held at a disk server against the room there for a new object, without end where it may
// not go.
func (s *Scheduler) relativeLoad(p *op, o *server, due bool) float64 {
	if !s.acceptsNewObjects(o) || !s.mayDispatchTo(p, o, due) {
		return math.Inf(1)
	}
	return float64(1+o.outstanding+o.heldCount) / s.concurrencyLimit(o, p.Type, spareLatencyShare)
}

// acceptsNewObjects tells whether a disk server may be given new objects: not where errors, resets or full queues come
// back fast, which would otherwise look like room, nor where it is cold or down. It could harm when most
// servers fail at once. Cold is one where a middle lot beyond the reserves would not do.
func (s *Scheduler) acceptsNewObjects(o *server) bool {
	live := o.health == up || o.health == halfOpen && o.outstanding == 0
	return live && s.failureRate(o) < maxFailureRate && s.slowStartAllows(o, 1, 0.5, false)
}

// ---- Slices (iShare) ----

// sliceTransitions is read by pump; a pair that is missing ends the pump.
var sliceTransitions = map[sliceState]map[sliceSignal]struct {
	next   sliceState
	effect func(*Scheduler, *server)
}{
	sliceIdle: {othersReady: {sliceServing, (*Scheduler).beginSlice}},
	sliceServing: {
		servedReady:      {sliceServing, (*Scheduler).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Scheduler).endSlice},
		sliceExpired:     {sliceIdle, (*Scheduler).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Scheduler).endSlice},
		cheaperReady:     {sliceServing, (*Scheduler).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Scheduler).idleWait},
	},
	sliceWaiting: {
		servedReady:      {sliceServing, (*Scheduler).sendFromServed},
		reserveWaiting:   {sliceIdle, (*Scheduler).endSlice},
		sliceExpired:     {sliceIdle, (*Scheduler).endSlice},
		thinkTimeTooLong: {sliceIdle, (*Scheduler).endSlice},
		cheaperReady:     {sliceServing, (*Scheduler).handOverSlice},
		worthWaiting:     {sliceWaiting, (*Scheduler).sendFromOthers},
	},
}

func (s *Scheduler) runSlices(o *server) {
	for {
		rule, ok := sliceTransitions[o.sliceState][s.nextSignal(o)]
		if !ok {
			return
		}
		o.sliceState = rule.next
		rule.effect(s, o)
	}
}

// nextSignal tells what the loop is to act on.
func (s *Scheduler) nextSignal(o *server) sliceSignal {
	var own *op
	if o.sliceState != sliceIdle {
		own = s.chooseOp(o, o.served)
	}
	other := s.nextQueue(o)
	switch {
	case own == nil && other == nil:
		return nothingReady
	case o.sliceState == sliceIdle:
		return othersReady
	case own != nil && other != nil && !s.withinReserve(own) && s.withinReserve(s.chooseOp(o, other)):
		return reserveWaiting
	case other != nil && s.now >= o.sliceEnd:
		return sliceExpired
	case own != nil:
		return servedReady
	case o.served.thinkTime.value(meanOffset) >= o.sliceEnd-s.now:
		return thinkTimeTooLong
	case s.cheaperQueue(o) != nil:
		return cheaperReady
	case o.outstanding == 0 || o.sliceState == sliceWaiting && s.now >= o.waitEnd:
		return thinkTimeTooLong
	}
	return worthWaiting
}

// cheaperQueue is the paper's await test; the node's mean await stands for the longest seek.
func (s *Scheduler) cheaperQueue(o *server) *volumeQueue {
	limit, own := o.meanAwait(meanOffset), o.served.await.value(meanOffset)
	for i, from := 0, o.ringStart(); i < len(o.nonEmpty); i++ {
		q := o.nonEmpty[(from+i)%len(o.nonEmpty)]
		a := q.await.value(meanOffset)
		if q != o.served && q.round < o.round && a <= own && a < limit && s.chooseOp(o, q) != nil {
			return q
		}
	}
	return nil
}

// nextQueue is the volume whose slice comes next: one not served this round, with ops inside its reserve first.
func (s *Scheduler) nextQueue(o *server) *volumeQueue {
	var found *volumeQueue
	least := math.MaxInt
	for i, from := 0, o.ringStart(); i < len(o.nonEmpty); i++ {
		q := o.nonEmpty[(from+i)%len(o.nonEmpty)]
		p := s.chooseOp(o, q)
		if q == o.served || p == nil {
			continue
		}
		if class := 2*boolToInt(!s.withinReserve(p)) + boolToInt(q.round >= o.round); class < least {
			found, least = q, class
		}
	}
	return found
}

func (s *Scheduler) beginSlice(o *server) {
	q := s.nextQueue(o)
	if q.round >= o.round {
		o.round++
	}
	s.startSlice(o, q)
}

// startSlice starts a slice: the volumes with held ops share a round of a part of the shortest target latency.
func (s *Scheduler) startSlice(o *server, q *volumeQueue) {
	slice := s.relativeWeight(q.volume.plan) * sliceShare * float64(s.settings.shortestTarget) / float64(max(o.busyVolumes(), 1))
	o.served, q.round, o.sliceEnd = q, o.round, s.now+max(time.Duration(slice), s.sweepInterval())
}

func (s *Scheduler) endSlice(o *server)       { o.served = nil }
func (s *Scheduler) handOverSlice(o *server)  { s.startSlice(o, s.cheaperQueue(o)) }
func (s *Scheduler) sendFromServed(o *server) { s.dispatch(s.chooseOp(o, o.served), o) }
func (s *Scheduler) sendFromOthers(o *server) { s.dispatch(s.chooseOp(o, s.nextQueue(o)), o) }

// idleWait begins the wait; what it leaves of the window goes to others at once.
func (s *Scheduler) idleWait(o *server) {
	o.waitEnd = min(s.now+o.served.thinkTime.value(meanOffset), o.sliceEnd)
	s.sendFromOthers(o)
}

// chooseOp picks the op of a volume that leaves next: a further dispatch, then the run under way, then the
// one whose target latency is over first. It returns nil where none may leave now.
func (s *Scheduler) chooseOp(o *server, q *volumeQueue) *op {
	if s.nothingCanLeave(o, q) {
		return nil
	}
	var found *op
	run := q.opsByKey[o.lastKey] > 0
	for _, p := range q.held {
		if found != nil && !run { // none that comes later goes before it
			break
		}
		if goesBefore(o, p, found) && s.hasCapacity(o, p) && s.mayDispatch(p, o) {
			found = p
		}
	}
	return found
}

func goesBefore(o *server, p, than *op) bool {
	if than == nil || p.isRetry != than.isRetry {
		return than == nil || p.isRetry
	}
	if run := p.HasKey && p.Key == o.lastKey; run != (than.HasKey && than.Key == o.lastKey) {
		return run
	}
	return p.target < than.target
}

// orderedBefore is the order that a queue is kept in: that of before but for the run, then as they came to be held.
func orderedBefore(p, than *op) bool {
	if p.isRetry != than.isRetry {
		return p.isRetry
	}
	return p.target < than.target || p.target == than.target && p.heldSerial < than.heldSerial
}

// hasCapacity tells whether the window has room for an op. It gives only the part that the node's latency leaves,
// less to ops beyond the reserve. It guards against windows of many hosts adding up past what a node serves
// in time, and should hold against slow and crowded nodes too. It could harm where long ops are the rule.
func (s *Scheduler) hasCapacity(o *server, p *op) bool {
	trying := o.health == halfOpen && o.outstanding > 0 && s.now-o.unansweredSince <= o.backoff
	if o.health == down || trying || s.now+s.earliestAnswer(o, p.Type) >= p.Timeout { // or the client would be gone
		return false
	}
	window, excess := s.concurrencyLimit(o, p.Type, reserveLatencyShare), 1.0
	if !s.withinReserve(p) {
		window, excess = s.concurrencyLimit(o, p.Type, spareLatencyShare), s.demandExcess(p)
	}
	if o.outstanding > 0 || window >= 1 {
		return float64(o.outstanding) < window
	}
	return p.admissionDraw*excess < s.successProbability(o, p)*window/(1-window)
}

// successProbability is how likely an op with little time left is to be answered in it, roughly. It guards crowded nodes
// against tries that clients in a hurry give up. It could harm where the latency seen is long past.
func (s *Scheduler) successProbability(o *server, p *op) float64 {
	left := max(min(p.Timeout, p.target)-s.now, 0)
	part := min(1, left.Seconds()/max(s.expectedLatency(o, p.Type), 1e-9))
	return part * part
}

// demandExcess is how far a volume asks for more at a node than others do by its weight, as seen by this host: with
// few ops a host, lots stand for the slices that queues too short would need.
func (s *Scheduler) demandExcess(p *op) float64 {
	usual := s.relativeWeight(p.Plan) * s.settings.meanRate / float64(p.volume.schedulers)
	if usual <= 0 || p.queue == nil {
		return 1
	}
	return p.queue.demand.rateWithPrior(usual, 2*s.settings.longestTarget) / usual
}

// concurrencyLimit is what the node's latency leaves of the window for ops that may take a part of the target latency.
// Below one it falls steeply, but not below the hosts' even parts of what the node serves within the target
// latency, two at a time: while hosts are few, one op of each always fits.
func (s *Scheduler) concurrencyLimit(o *server, typ int, part float64) float64 {
	latency, hosts, target := s.expectedLatency(o, typ), float64(max(s.settings.schedulers, 1)), s.settings.shortestTarget.Seconds()
	if latency <= 0 || target <= 0 {
		return o.window
	}
	places := o.window * min(1, part*target/latency)
	if places >= 1 {
		return places
	}
	even := farPastBest * s.settings.shortestTarget.Seconds() / (hosts * o.bestPerUnit * s.settings.meanUnits)
	return min(1, max(places*math.Sqrt(places), even))
}

// ---- What is due to a volume ----

// noDispatchSince is since when nothing has left for a volume without a record, as far as is sure.
func (s *Scheduler) noDispatchSince() time.Duration { return max(s.startedAt, s.now-idleExpiry) }

// refillBuckets brings the volume's stores up to now. Of the limit this host counts an even part; of the reserve its
// part of what the volume is served, at least an even one: by the late total, or without a meter by what
// nodes say they served it through others.
func (s *Scheduler) refillBuckets(v *volume) {
	gap, hosts := (s.now - v.refilledAt).Seconds(), float64(v.schedulers)
	v.refilledAt = s.now
	reserve, limit := valueAt(s.settings.reserve, v.plan), valueAt(s.settings.limit, v.plan)
	part := reserve / hosts
	if v.servedEverywhere > 0 {
		v.servedHere.add(s.now, 0, s.usageMemory())
		part = max(part, reserve*min(1, v.servedHere.rate()/v.servedEverywhere))
	} else if s.settings.reportsServedElsewhere && s.settings.meterPeriod == 0 && v.servedHere.units > 0 {
		v.servedHere.add(s.now, 0, s.usageMemory())
		v.servedElsewhere.add(s.now, 0, s.usageMemory())
		part = max(part, reserve*v.servedHere.units/(v.servedHere.units+v.servedElsewhere.units))
	}
	v.reserve = min(v.reserve+gap*part, reserve+s.settings.largestUnits)
	v.limit = min(v.limit+gap*limit/hosts, s.bucketCapacity(v.plan, v.schedulers))
}

// bucketCapacity is what this host's part of a limit's store holds. What left a full one may be held up and arrive with what it
// was filled with since, so that much less is kept, unless the slack covers it. A largest op always fits if it did.
func (s *Scheduler) bucketCapacity(plan, hosts int) float64 {
	whole := valueAt(s.settings.burst, plan)
	less := max(0, holdUp.Seconds()*valueAt(s.settings.limit, plan)-valueAt(s.settings.slack, plan))
	whole, less = whole/float64(hosts), less/float64(hosts)
	return max(whole-less, min(whole, s.settings.largestUnits))
}

// usageMemory is how far back a host looks at what a volume is served.
func (s *Scheduler) usageMemory() time.Duration {
	return 2 * cmp.Or(s.settings.meterPeriod, s.settings.longestTarget)
}

// withinReserve tells whether an op is inside its volume's reserve, as far as this host's store of it lasts.
func (s *Scheduler) withinReserve(p *op) bool {
	s.refillBuckets(p.volume)
	return p.target > s.now && p.volume.reserve >= p.Units
}

// ---- Rules ----

// mayDispatch holds an op to the rules: attempts, kind, drains, cold starts, order, budget and limit.
func (s *Scheduler) mayDispatch(p *op, o *server) bool {
	return s.mayDispatchAnywhere(p) && s.mayDispatchTo(p, o, s.withinReserve(p))
}

// mayDispatchAnywhere holds an op to those rules that are the same wherever it goes.
func (s *Scheduler) mayDispatchAnywhere(p *op) bool {
	if p.responseStarted || p.Timeout <= s.now || len(p.dispatches) > 0 && !s.retryBudgetAllows() {
		return false
	}
	s.refillBuckets(p.volume)
	if valueAt(s.settings.limit, p.volume.plan) > 0 && len(p.dispatches) == 0 && p.volume.limit < s.limitHeadroom(p) {
		return false
	}
	return s.hasKeyTurn(p)
}

// mayDispatchTo holds an op to the rules of a disk server.
func (s *Scheduler) mayDispatchTo(p *op, o *server, due bool) bool {
	home := p.Cell == honeyplank.NewObject || p.Cell == o.Cell
	if !home || o.State != honeyplank.Up {
		return false
	}
	if len(p.dispatches) > 0 && (!s.retryAllowed(p, o) || o.retryCredit < 1) {
		return false
	}
	return s.slowStartAllows(o, p.Units, p.admissionDraw, due)
}

// limitHeadroom is what the limit's store must hold for an op to leave: a part stays for op types of more utility,
// though a full store lets any op go. It guards against surges of cheap large ops that use up a limit which
// dearer ones then lack; it could harm where the dearer never come.
func (s *Scheduler) limitHeadroom(p *op) float64 {
	store := s.bucketCapacity(p.Plan, p.volume.schedulers)
	return max(p.Units, min(p.Units+limitHeadroomShare*valueAt(s.settings.utilityDeficit, p.Type)*store, store))
}

// retryAllowed tells whether the kind of an op allows another dispatch at this disk server. Repeats are dropped for a time
// that runs from the first dispatch's decision at the earliest, and this one has to be at work within it: it may be held
// up, wait for its connection and stand in the server's queue. It could harm where the settings tell less time than that:
// such ops are never repeated.
func (s *Scheduler) retryAllowed(p *op, o *server) bool {
	kind, scope := valueAt(s.settings.semantics, p.Type), valueAt(s.settings.dedupScope, p.Type)
	works := s.now + s.settings.maxArrivalDelay + 2*s.earliestAnswer(o, p.Type)
	for _, d := range p.dispatches {
		far := scope == honeyplank.ScopeZone && d.server.Zone != o.Zone ||
			scope == honeyplank.ScopeCell && d.server.Cell != o.Cell
		late := works >= d.sentAt+valueAt(s.settings.dedupWindow, p.Type)
		switch {
		case !d.done && !s.settings.hedgingAllowed:
			return false
		case d.done && !d.mayHaveRun:
		case kind == honeyplank.AtMostOnce || kind == honeyplank.Deduplicated && (far || late):
			return false
		}
	}
	return true
}

// rejectIsSafe tells whether a throttling answer may be given: trying again must do no harm.
func (s *Scheduler) rejectIsSafe(p *op) bool {
	kind := valueAt(s.settings.semantics, p.Type)
	anywhere := valueAt(s.settings.dedupScope, p.Type) == honeyplank.ScopeAll
	return kind == honeyplank.Idempotent || kind == honeyplank.Deduplicated && anywhere || p.neverRan()
}

// retryBudgetAllows tells whether one more further dispatch fits into the sliding window, also where it or those before it leave
// held up: an earlier one may be seen later than it was counted, and by then some ops taken lie outside of the window.
func (s *Scheduler) retryBudgetAllows() bool {
	if !s.settings.budgeted {
		return true
	}
	from := s.now - s.settings.budgetWindow
	s.admissions, s.retries = dropBefore(s.admissions, from+holdUp), dropBefore(s.retries, from-holdUp)
	return float64(len(s.retries)+1) <= s.settings.budgetFree+s.settings.budgetShare*float64(len(s.admissions))
}

// hasKeyTurn tells whether an op of an ordered type has its key's turn.
func (s *Scheduler) hasKeyTurn(p *op) bool {
	k := p.keyQueue
	return k == nil || k.ops[0] == p && (s.now >= k.settledAt || k.settlingOp == p.ID)
}

// slowStartAllows keeps a disk server that has just started below this host's part of what it always bears. The part
// grows no faster than the slowest warm-up. What counts is what may arrive within one window: every dispatch that is
// out, since it may wait for its connection and arrive with others at once, and every one that ended less than a window
// ago. Where the part is below the largest op, lots keep the mean of what hosts send below it, reserves first: against
// what this host is asked of that server, or of a mean one if that is more, since a hot place would take most of a
// fleet's ops. It guards against pushing the server over; it could harm service where hosts with little traffic can't
// use their parts or answers take long, and would not hold where a place grows hot in that moment.
func (s *Scheduler) slowStartAllows(o *server, units, lot float64, due bool) bool {
	window := s.settings.slowStartWindow
	o.trimSentLog(s.now - window)
	if !s.inSlowStart(o) {
		return true
	}
	bears := s.slowStartBudget(o)
	part, used := bears*s.trafficShare(o), o.sentInWindow()
	if part >= max(s.settings.meanUnits, s.settings.largestUnits) {
		return used+units <= part
	}
	if used > part+slowStartMaxOps*s.settings.meanUnits {
		return false
	}
	// Until an answer tells that connections come up, those of many hosts may come up late and together.
	if late := s.settings.maxArrivalDelay; !o.answeredSinceStart && s.now < o.Started+late+window {
		window += late
	}
	part *= s.slowStartShare(bears)
	first, others := s.demandSplit(o, window)
	return due && lot*first < part || lot*others < part-first
}

// trafficShare is this host's part of what all hosts ask of a node, at least an even one. What others ask is told by
// what this host is asked of a mean node, and by how many hosts the volumes come through that it knows there.
func (s *Scheduler) trafficShare(o *server) float64 {
	hosts := float64(max(s.settings.schedulers, s.maxSchedulersSeen, 1)) // settings may lag behind what volumes tell
	usual := s.boundDemand.rate() / float64(max(s.running, 1))
	if !(usual > 0) {
		return 1 / hosts
	}
	through := s.fleetDemand.rate() / float64(max(s.running, 1))
	here, known := usual, through
	if f := s.demandByCell[o.Cell]; f != nil && f.asked[0].time > 0 {
		here, known = max(here, f.asked[0].rate()+f.asked[1].rate()), max(known, f.fleet.rate())
	}
	return max(1/hosts, here/(hosts*usual+known-through))
}

// ---- Sending and answering ----

func (s *Scheduler) dispatch(p *op, o *server) {
	v := p.volume
	if len(p.dispatches) > 0 {
		s.retries = append(s.retries, s.now)
		o.retryCredit--
	} else {
		v.limit -= p.Units
	}
	if v.reserve > 0 { // from an empty store nothing is taken: no debt but that of one op
		v.reserve -= p.Units
	}
	// A server may drop an op with little time left, and say nothing: its silence tells nothing.
	hurried := p.Timeout-s.now < 2*s.earliestAnswer(o, p.Type)
	if !hurried && o.patientDispatches == 0 || o.health == halfOpen {
		o.unansweredSince = s.now
	}
	s.recordDispatch(p, o, hurried)
	s.emit(honeyplank.Dispatch{Op: p.ID, Server: o.ID})
}

// outcomeMeanings tells what each end of a dispatch means: whether it may have run, whether it may be running
// still, and what it says of the disk server.
var outcomeMeanings = map[honeyplank.Code]outcomeMeaning{
	honeyplank.Succeeded:     {arrived: true, mayHaveRun: true, evidence: responded, effect: (*Scheduler).recordSuccess},
	honeyplank.Failed:        {arrived: true, mayHaveRun: true, evidence: responded, effect: (*Scheduler).recordFailure},
	honeyplank.Rejected:      {arrived: true, evidence: responded, effect: (*Scheduler).recordTimeout},
	honeyplank.TimedOut:      {arrived: true, mayHaveRun: true, mayStillRun: true, effect: (*Scheduler).recordTimeout},
	honeyplank.ConnectFailed: {evidence: unresponsive, effect: (*Scheduler).recordFailure},
	honeyplank.Reset:         {arrived: true, mayHaveRun: true, mayStillRun: true, evidence: unresponsive, effect: (*Scheduler).recordFailure},
	honeyplank.Cancelled:     {arrived: true, mayHaveRun: true, mayStillRun: true},
	honeyplank.NotSent:       {},
}

// outcomeMeaning is an entry of outcomes; arrived: the disk server may have got it.
type outcomeMeaning struct {
	arrived, mayHaveRun, mayStillRun bool
	evidence                         healthEvent
	effect                           func(*Scheduler, *server, *op, honeyplank.Outcome)
}

func (s *Scheduler) handleOutcome(e honeyplank.Outcome) {
	o, p, way := s.servers[e.Server], s.ops[e.Op], outcomeMeanings[e.Code]
	if o == nil || p == nil || !s.closeDispatch(p, e.Dispatch, way) {
		return
	}
	o.outstanding--
	o.patientDispatches -= boolToInt(!p.dispatches[e.Dispatch].shortDeadline)
	if way.evidence == responded {
		o.unansweredSince = s.now
		o.answeredSinceStart = o.answeredSinceStart || p.dispatches[e.Dispatch].sentAt >= o.Started
		o.markOvertaken(p.dispatches[e.Dispatch].sentAt, s.now)
	}
	s.applyHealthEvent(o, way.evidence)
	p.volume.servedElsewhere.add(s.now, e.ServedElsewhere, s.usageMemory()) // told with any answer, and once
	if way.effect != nil {
		way.effect(s, o, p, e)
	}
	if k := p.keyQueue; k != nil && way.mayStillRun {
		k.settledAt, k.settlingOp = s.now+s.settings.orderSettle, p.ID
	}
	if e.Code == honeyplank.Succeeded {
		delete(s.earlierTries, identityOf(p))
	}
	if p.answered || e.Answered {
		s.finishOp(p)
	} else if !p.isOutstanding() && p.queue == nil {
		s.retry(p, o)
	}
	if k := p.keyQueue; k != nil && len(k.ops) > 0 && k.ops[0].server != nil { // the next of the key may leave now
		s.runSlices(k.ops[0].server)
	}
	s.runSlices(o)
}

// retry holds an op once more after a dispatch that brought no answer, or gives it up. Credit bounds what
// follows: it guards against retries on a server that answers little, whatever ails it, and could harm where
// a healthy server's first answers are still due.
func (s *Scheduler) retry(p *op, o *server) {
	if len(p.dispatches) < s.settings.maxDispatches && s.retryAllowed(p, o) && s.now < p.target {
		p.isRetry, p.server = true, nil
		s.appendHeld(p)
		if s.assignServer(p); !s.deadlineUnreachable(p) {
			return
		}
	}
	s.giveUp(p)
}

// cancelOverdue withdraws dispatches whose answers seem lost: later ones to the server were answered a while ago,
// and they are out for far longer than usual there. It guards against answers that never come, which hold
// places until the op timeout; it could harm where a server leaves some ops for long while it serves others.
func (s *Scheduler) cancelOverdue(o *server) {
	times := time.Duration(overdueFactor)
	if s.lostShare > highLostShare {
		times = overdueFactor * overdueReduction
	}
	for i := range o.dispatches {
		f := &o.dispatches[i]
		usual := time.Duration(max(s.expectedLatency(o, f.op.Type), o.perUnit*f.op.Units) * float64(time.Second))
		late := s.now-f.sentAt > times*usual && s.now-f.overtakenAt > usual
		if late && f.overtakenAt > 0 && !f.cancelRequested && !f.op.responseStarted && valueAt(s.settings.semantics, f.op.Type) != honeyplank.AtMostOnce {
			f.cancelRequested = true
			s.lostShare += ewmaWeight / 8 * (1 - s.lostShare)
			s.emit(honeyplank.Cancel{Op: f.op.ID, Dispatch: f.index})
		}
	}
}

// deadlineUnreachable tells whether a held op can no longer earn its utility: its target latency would be over before
// an answer of the usual time there, or the client is about to give up. It guards against late answers that
// cost a node as much as good ones, whatever fills it; after a short stall it gives up some ops too early.
func (s *Scheduler) deadlineUnreachable(p *op) bool {
	soon := s.now
	if p.server != nil {
		soon += s.earliestAnswer(p.server, p.Type)
	}
	return soon >= p.target || s.now+s.sweepInterval() >= p.Timeout
}

// cancel gives an op up at once.
func (s *Scheduler) giveUp(p *op) {
	if s.rejectIsSafe(p) {
		s.emit(honeyplank.Reject{Op: p.ID, RetryAfter: min(valueAt(s.settings.targetLatency, p.Type), s.settings.maxRetryAfter)})
	} else {
		s.emit(honeyplank.Fail{Op: p.ID})
	}
	s.finishOp(p)
}

// ---- What answers tell ----

func (s *Scheduler) recordSuccess(o *server, p *op, e honeyplank.Outcome) {
	o.retryCredit = min(o.retryCredit+1, maxRetryCredit)
	o.failureShare -= ewmaWeight * o.failureShare
	s.lostShare -= ewmaWeight / 8 * s.lostShare
	s.recordLatency(o, p.Type, e.Elapsed.Seconds(), true)
	o.perUnit = ewma(o.perUnit, e.Elapsed.Seconds()/max(p.Units, 1), ewmaWeight)
	if o.bestPerUnit == 0 || o.perUnit < o.bestPerUnit {
		o.bestPerUnit = o.perUnit
	}
	o.bestPerUnit += bestLatencyDecay * (o.perUnit - o.bestPerUnit)
	o.answersSinceGrowth++
	spell := o.perUnit > farPastBest*o.bestPerUnit
	if spell && !o.latencyElevated {
		halveWindow(o)
	} else if o.perUnit < nearBest*o.bestPerUnit && o.answersSinceGrowth >= o.window {
		o.window, o.answersSinceGrowth = min(maxWindow, o.window+1), 0
	}
	o.latencyElevated = spell
	q := o.queueOf(p.volume)
	q.await.observe(s.now, meanDecay, meanScale)
	q.lastSeen = s.now
	p.volume.servedHere.add(s.now, p.Units, s.usageMemory())
	if e.QuotaUsed > 0 {
		p.volume.servedEverywhere = float64(e.QuotaUsed-1) / 100 * valueAt(s.settings.rate, p.Plan)
	}
}

// expectedLatency is how long a node's answers to ops of a type take, as far as this host can tell by now: the usual
// time of the type times how slow the node was seen to be, which is forgotten over time, since with many
// hosts answers of one node are rare. It guards against beliefs that outlive what they tell of, and against
// long ops that are taken for slow nodes; where one node alone stays slow, it is tried again too soon.
func (s *Scheduler) expectedLatency(o *server, typ int) float64 {
	usual := s.typicalLatency(typ)
	if o.slowness <= 0 {
		return usual
	}
	return usual * (1 + (o.slowness-1)*s.decay(o.slownessAt))
}

// typicalLatency is the recent answer time of a type anywhere. Without answers it gives way to the fastest ones: it
// guards against a type that is refused for the time of answers long past, and would never hear of better.
func (s *Scheduler) typicalLatency(typ int) float64 {
	t := valueAt(s.latencyByType, typ)
	if t.mean == 0 {
		return cmp.Or(s.meanLatency(), spareLatencyShare*s.settings.shortestTarget.Seconds())
	}
	fades := float64(max(typicalLatencyDecay*s.settings.longestTarget, s.sweepInterval()))
	return t.fastest + (t.mean-t.fastest)*math.Exp(-float64(s.now-t.updatedAt)/fades)
}

// decay is what is left of the weight of what was learnt at a time.
func (s *Scheduler) decay(at time.Duration) float64 {
	return math.Exp(-float64(s.now-at) / float64(max(s.settings.longestTarget, s.sweepInterval())))
}

// recordLatency takes in an answer time of a node, and of all where it tells of more than that one.
func (s *Scheduler) recordLatency(o *server, typ int, took float64, ofAll bool) {
	latency := took
	if o.slowness > 0 {
		latency = ewma(s.expectedLatency(o, typ), took, max(ewmaWeight, 1-s.decay(o.slownessAt)))
	}
	if ofAll && typ >= 0 && typ < len(s.latencyByType) {
		t := &s.latencyByType[typ]
		if t.mean > 0 {
			t.mean = s.typicalLatency(typ)
		}
		t.mean, t.updatedAt = ewma(t.mean, took, ewmaWeight), s.now
		if t.fastest == 0 || took < t.fastest {
			t.fastest = took
		}
		t.fastest += bestLatencyDecay * (took - t.fastest)
	}
	o.slowness, o.slownessAt = latency/max(s.typicalLatency(typ), 1e-9), s.now
}

// earliestAnswer is when an answer of a node is worth hoping for: many come in half of their mean time.
func (s *Scheduler) earliestAnswer(o *server, typ int) time.Duration {
	return time.Duration(s.expectedLatency(o, typ) / 2 * float64(time.Second))
}

// recordTimeout takes a time-out for an answer that takes at least as long, up to the shortest target latency (past
// that it may be lost rather than late), and a full queue for one past the longest, but only of that node.
// This guards the rest against a node that turns all away, and could harm where all are full at once.
func (s *Scheduler) recordTimeout(o *server, p *op, e honeyplank.Outcome) {
	least := min(e.Elapsed, s.settings.shortestTarget)
	if e.Code == honeyplank.Rejected {
		least = s.settings.longestTarget
		halveWindow(o)
		s.recordFailure(o, p, e)
	}
	if least.Seconds() > s.expectedLatency(o, p.Type) {
		s.recordLatency(o, p.Type, least.Seconds(), e.Code != honeyplank.Rejected)
	}
}

// recordFailure counts ends that brought nothing; failing is their recent share. It is forgotten over time, since a
// host that only writes would never hear of a server again.
func (s *Scheduler) recordFailure(o *server, _ *op, _ honeyplank.Outcome) {
	f := s.failureRate(o)
	o.failureShare, o.failedAt = f+ewmaWeight*(1-f), s.now
}

func (s *Scheduler) failureRate(o *server) float64 { return o.failureShare * s.decay(o.failedAt) }

// ---- The sweep ----

func (s *Scheduler) sweep() {
	s.setTimer(s.now+s.sweepInterval(), "sweep")
	s.settle()
	for _, o := range s.activeServers {
		if o.patientDispatches > 0 && s.now-o.unansweredSince > s.settings.longestTarget/2 {
			s.applyHealthEvent(o, unresponsive)
			o.unansweredSince = s.now
		}
		if o.health == down && s.now-o.healthSince >= o.backoff {
			s.applyHealthEvent(o, backoffElapsed)
		}
		if s.settings.cancelAllowed && s.settings.hedgingAllowed { // what is withdrawn may run on
			s.cancelOverdue(o)
		}
	}
	// A held op draws anew, as if its client had come again: one that lost its only lot would be held in vain.
	for p := s.firstHeld; p != nil; p = p.nextHeld {
		if s.now-p.drawnAt >= s.settings.shortestTarget {
			p.drawnAt, p.admissionDraw = s.now, s.rng.Float64()
			s.recordRedraw(p)
		}
	}
	s.assignAllHeld()
	for p := s.firstHeld; p != nil; {
		next := p.nextHeld
		if s.deadlineUnreachable(p) {
			s.giveUp(p)
		}
		p = next
	}
	if s.settings.watchOnRequest && !s.watchActive && s.now-s.watchRequested > s.settings.watchDeadline/2 {
		s.requestWatch()
	}
	if s.now-s.evictedAt >= evictInterval {
		s.evictedAt = s.now
		s.evictIdle(idleExpiry)
	}
}
