package policy

import (
	"math"
	"time"

	"honeyplank"
)

// Shares of the shortest target latency up to which a server's latency leaves its whole window to
// ops.
const (
	spareLatencyShare   = 0.04 // for ops beyond the reserve
	reserveLatencyShare = 0.18 // for ops within the reserve
)

// medianAdmissionDraw stands for the admission draw of an op that is not known yet.
const medianAdmissionDraw = 0.5

// requestIdentity is what the attempts of one client request have in common.
type requestIdentity struct {
	volume, key int64
	opType      int
	units       float64
}

// earlierAttempt is the last op of a request identity, with the time left to its client at the
// first attempt.
type earlierAttempt struct {
	op       *op
	timeLeft time.Duration
	expires  time.Duration
}

func identityOf(op *op) requestIdentity {
	return requestIdentity{op.Volume, op.Key, op.Type, op.Units}
}

// admit takes in a new op: it is assigned to a server, and dispatched, held or given up at once.
func (s *Engine) admit(event honeyplank.Op) {
	if s.ops[event.ID] != nil {
		return
	}
	s.admissions = append(dropBefore(s.admissions, s.now-s.settings.retryBudgetWindow), s.now)
	op := &op{Op: event, admissionDraw: s.rng.Float64(), sampledAt: s.now}
	s.unitsAdmitted += event.Units
	s.unitsSquaredAdmitted += event.Units * event.Units
	// The target latency of a retry runs from its client's first attempt. An op that brings less
	// time than its target latency is to be answered within the time it brings.
	op.target = min(s.now+valueAt(s.settings.targetLatency, event.Type)-s.alreadyWaited(op), event.Timeout)
	s.ops[event.ID] = op
	if event.HasKey && valueAt(s.settings.ordered, event.Type) {
		s.joinKeyQueue(op)
	}
	s.openVolume(op)
	s.recordDemand(op, s.withinReserve(op))
	s.assignServer(op)
	if op.queue != nil {
		op.queue.thinkTime.observe(s.now)
		op.queue.demand.add(s.now, op.Units, 2*s.settings.longestTarget)
		s.runSlices(op.server)
	}
	if !op.answered && !op.isOutstanding() && s.deadlineUnreachable(op) {
		s.giveUp(op)
	}
}

// openVolume appends an op to the held ones and links it to the record of its volume.
func (s *Engine) openVolume(op *op) {
	record := s.volumes[op.Volume]
	if record == nil {
		record = &volume{plan: op.Plan, refilledAt: s.noDispatchSince(), reserve: math.Inf(1)}
		s.volumes[op.Volume] = record
	}
	record.schedulers, record.lastSeen = op.Instances, s.now
	if record.schedulers < 1 {
		record.schedulers = max(s.settings.schedulers, 1)
	}
	s.maxSchedulersSeen = max(s.maxSchedulersSeen, record.schedulers)
	record.openOps++
	op.volume, op.dispatches = record, op.inlineDispatch[:0]
	s.appendHeld(op)
}

// alreadyWaited is how long the client of an op has waited since its first attempt: the time that
// the op has less than an earlier one of the same identity that failed.
func (s *Engine) alreadyWaited(op *op) time.Duration {
	total := valueAt(s.settings.opTimeout, op.Type)
	if !op.HasKey || total <= 0 {
		return 0
	}
	left := op.Timeout - s.now
	attempt := s.earlierAttempts[identityOf(op)]
	if attempt == nil || !attempt.op.answered || s.now >= attempt.expires {
		attempt = &earlierAttempt{timeLeft: left, expires: s.now + total}
		s.earlierAttempts[identityOf(op)] = attempt
	}
	attempt.op = op
	return max(attempt.timeLeft-left, 0)
}

// assignServer enqueues a held op at the server of its data, or for a new object at the one that
// chooseNewServer returns. Where there is none the op stays unassigned.
func (s *Engine) assignServer(op *op) {
	var home *server
	if op.Cell == honeyplank.NewObject {
		home = s.chooseNewServer(op)
	} else {
		home = s.healthiestOfCell(op.Cell)
	}
	if home == nil {
		return
	}
	s.unassigned--
	home.enqueue(op)
	s.markActive(home)
	op.queue.lastSeen = s.now
}

// healthiestOfCell is the healthiest server that holds a cell's data, of equal ones the one that
// started first.
func (s *Engine) healthiestOfCell(cell int) (healthiest *server) {
	for _, server := range s.serversByCell[cell] {
		if healthiest == nil || server.health < healthiest.health ||
			server.health == healthiest.health && server.Started < healthiest.Started {
			healthiest = server
		}
	}
	return healthiest
}

// chooseNewServer returns the server for a new object: the first of the volume's top-ranked servers
// with a relative load below 1, else the least loaded of them. All servers are searched only where
// none of those may get new objects.
func (s *Engine) chooseNewServer(op *op) (home *server) {
	if !s.mayDispatchAnywhere(op) {
		return nil
	}
	withinReserve, leastLoad := s.withinReserve(op), math.Inf(1)
	for _, candidate := range s.topRanked(op.volume, op.Volume) {
		s.serversVisited++
		load := s.relativeLoad(op, candidate.server, withinReserve)
		if load < leastLoad {
			home, leastLoad = candidate.server, load
		}
		if load < 1 {
			break
		}
	}
	if home != nil || op.volume.topComplete {
		return home
	}
	return s.leastLoadedAccepting(op, withinReserve)
}

// leastLoadedAccepting searches all servers that accept new objects, in no order of rank: it
// returns the first in rank of those with a relative load below 1, else of the least loaded ones.
func (s *Engine) leastLoadedAccepting(op *op, withinReserve bool) (home *server) {
	hash, leastLoad, firstRank := volumeHash(op.Volume), math.Inf(1), uint64(0)
	for _, server := range s.acceptingServers() {
		s.serversVisited++
		load := s.relativeLoad(op, server, withinReserve)
		if load < 1 { // any free capacity counts alike
			load = 0
		}
		rank := rendezvousHash(hash, server.ID)
		if load < leastLoad || load == leastLoad && !math.IsInf(load, 1) && rank > firstRank {
			home, leastLoad, firstRank = server, load, rank
		}
	}
	return home
}

// relativeLoad is the number of ops outstanding and held at a server, with a new object added, over
// its concurrency limit for new objects; infinite where the op may not go.
func (s *Engine) relativeLoad(op *op, server *server, withinReserve bool) float64 {
	if !s.acceptsNewObjects(server) || !s.mayDispatchTo(op, server, withinReserve) {
		return math.Inf(1)
	}
	limit := s.concurrencyLimit(server, op.Type, spareLatencyShare)
	return float64(1+server.outstanding+server.heldCount) / limit
}

// acceptsNewObjects reports whether a server may get new objects: it is up, its failure rate is
// low, and its slow start would allow an op beyond the reserve with a median admission draw. It
// guards against servers whose errors, resets or rejections come back fast, which would look like
// free capacity. It could harm when most servers fail at once.
func (s *Engine) acceptsNewObjects(server *server) bool {
	live := server.health == honeyplank.HealthUp || server.health == honeyplank.HealthHalfOpen && server.outstanding == 0
	return live && s.failureRate(server) < maxFailureRate &&
		s.slowStartAllows(server, 1, medianAdmissionDraw, false)
}

// hasCapacity reports whether a server's window has capacity for an op: only the part that the
// server's latency leaves, less for ops beyond the reserve. It guards against windows of many
// instances that add up to more than a server serves in time, whatever slows it. It could harm
// where ops that take long are the rule.
func (s *Engine) hasCapacity(server *server, op *op) bool {
	clientGone := s.now+s.earliestAnswer(server, op.Type) >= op.Timeout
	if server.health == honeyplank.HealthDown || s.halfOpenBusy(server) || clientGone {
		return false
	}
	limit, excess := s.concurrencyLimit(server, op.Type, reserveLatencyShare), 1.0
	if !s.withinReserve(op) {
		limit, excess = s.concurrencyLimit(server, op.Type, spareLatencyShare), s.demandExcess(op)
	}
	if server.outstanding > 0 || limit >= 1 {
		return float64(server.outstanding) < limit
	}
	return op.admissionDraw*excess < s.successProbability(server, op)*limit/(1-limit)
}

// successProbability estimates how likely an op with little time left is answered in time. It
// guards crowded servers against attempts that their clients are about to give up. It could harm
// where the latency estimate is out of date.
func (s *Engine) successProbability(server *server, op *op) float64 {
	left := max(min(op.Timeout, op.target)-s.now, 0)
	part := min(1, left.Seconds()/max(s.expectedLatency(server, op.Type), 1e-9))
	return part * part
}

// demandExcess is a volume's demand at a server over its share by weight, as seen by this instance.
// It takes the place of the slices where an instance has so few ops at a server that no queue
// forms.
func (s *Engine) demandExcess(op *op) float64 {
	usual := s.relativeWeight(op.Plan) * s.settings.meanRate / float64(op.volume.schedulers)
	if usual <= 0 || op.queue == nil {
		return 1
	}
	return op.queue.demand.rateWithPrior(usual, 2*s.settings.longestTarget) / usual
}

// concurrencyLimit is the part of a server's window, in ops, that its latency leaves to ops of a
// type, where latencyShare is the latency, as a share of the target latency, up to which that is
// the whole window. Below one op it falls with the power 1.5, but not below an even share among the
// instances of what the server serves within twice the shortest target latency, two at a time: with
// few instances, one op of each always fits.
func (s *Engine) concurrencyLimit(server *server, opType int, latencyShare float64) float64 {
	latency, target := s.expectedLatency(server, opType), s.settings.shortestTarget.Seconds()
	if latency <= 0 || target <= 0 {
		return server.window
	}
	limit := server.window * min(1, latencyShare*target/latency)
	if limit >= 1 {
		return limit
	}
	instances := float64(max(s.settings.schedulers, 1))
	evenShare := farPastBest * target / (instances * server.bestPerUnit * s.settings.meanUnits)
	return min(1, max(limit*math.Sqrt(limit), evenShare))
}

// largestConcurrencyLimit is the largest concurrency limit of a server over all op types.
func (s *Engine) largestConcurrencyLimit(server *server, withinReserve bool) (largest float64) {
	for opType := range s.settings.targetLatency {
		largest = max(largest, s.concurrencyLimit(server, opType, spareLatencyShare))
		if withinReserve {
			largest = max(largest, s.concurrencyLimit(server, opType, reserveLatencyShare))
		}
	}
	return largest
}

// mayDispatch reports whether the rules allow a dispatch to a server: attempts, semantics,
// draining, slow start, order, retry budget and limit.
func (s *Engine) mayDispatch(op *op, server *server) bool {
	return s.mayDispatchAnywhere(op) && s.mayDispatchTo(op, server, s.withinReserve(op))
}

// mayDispatchAnywhere checks the rules that do not depend on the server.
func (s *Engine) mayDispatchAnywhere(op *op) bool {
	isRetry := len(op.dispatches) > 0
	if op.responseStarted || op.Timeout <= s.now || isRetry && !s.retryBudgetAllows() {
		return false
	}
	s.refillBuckets(op.volume)
	limited := valueAt(s.settings.limit, op.volume.plan) > 0
	if limited && !isRetry && op.volume.limit < s.limitHeadroom(op) {
		return false
	}
	return s.isNextOfKey(op)
}

// mayDispatchTo checks the rules that depend on the server.
func (s *Engine) mayDispatchTo(op *op, server *server, withinReserve bool) bool {
	holdsData := op.Cell == honeyplank.NewObject || op.Cell == server.Cell
	if !holdsData || server.State != honeyplank.Up {
		return false
	}
	if len(op.dispatches) > 0 && (!s.retryAllowed(op, server) || server.retryCredit < 1) {
		return false
	}
	return s.slowStartAllows(server, op.Units, op.admissionDraw, withinReserve)
}

// deadlineUnreachable reports whether a held op can no longer earn its utility: its target latency
// would be over before an early answer, or the client is about to give up. It guards against late
// answers, which cost a server as much as timely ones. It could harm after a short pause of a
// server: some ops are given up too early.
func (s *Engine) deadlineUnreachable(op *op) bool {
	earliest := s.now
	if op.server != nil {
		earliest += s.earliestAnswer(op.server, op.Type)
	}
	return earliest >= op.target || s.now+s.sweepInterval() >= op.Timeout
}
