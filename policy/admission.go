package policy

import (
	"math"
	"time"

	"honeyplank"
)

// Shares of the shortest target latency up to which a server's latency leaves its whole window to ops.
const (
	spareLatencyShare   = 0.04 // for ops beyond the reserve
	reserveLatencyShare = 0.18 // for ops within the reserve
)

// requestIdentity tells which ops may be tries of one client's request.
type requestIdentity struct {
	volume, key int64
	typ         int
	units       float64
}

// earlierAttempt is the last op of an identity, and how long its client's first try had.
type earlierAttempt struct {
	op       *op
	timeLeft time.Duration
	expires  time.Duration
}

func identityOf(p *op) requestIdentity { return requestIdentity{p.Volume, p.Key, p.Type, p.Units} }

func (s *Scheduler) admit(e honeyplank.Op) {
	if s.ops[e.ID] != nil {
		return
	}
	s.admissions = append(dropBefore(s.admissions, s.now-s.settings.retryBudgetWindow), s.now)
	p := &op{Op: e, admissionDraw: s.rng.Float64(), sampledAt: s.now}
	s.unitsAdmitted, s.unitsSquaredAdmitted = s.unitsAdmitted+e.Units, s.unitsSquaredAdmitted+e.Units*e.Units
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
	a := s.earlierAttempts[identityOf(p)]
	if a == nil || !a.op.answered || s.now >= a.expires {
		a = &earlierAttempt{timeLeft: left, expires: s.now + total}
		s.earlierAttempts[identityOf(p)] = a
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
		load := s.relativeLoad(p, r.server, due)
		if load < least {
			home, least = r.server, load
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
	return s.isNextOfKey(p)
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

// largestConcurrencyLimit is the most that places gives ops of any type.
func (s *Scheduler) largestConcurrencyLimit(o *server, due bool) (most float64) {
	for typ := range s.settings.targetLatency {
		if most = max(most, s.concurrencyLimit(o, typ, spareLatencyShare)); due {
			most = max(most, s.concurrencyLimit(o, typ, reserveLatencyShare))
		}
	}
	return most
}
