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

// admit takes in a new op: it is assigned to a server, and dispatched, queued or given up at once.
func (e *Engine) admit(event honeyplank.Op) {
	if e.ops[event.ID] != nil {
		return
	}
	e.admissions = append(dropBefore(e.admissions, e.now-e.settings.RetryBudget.Window), e.now)
	op := &op{Op: event, admissionDraw: e.rng.Float64(), sampledAt: e.now}
	e.unitsAdmitted += event.Units
	e.unitsSquaredAdmitted += event.Units * event.Units
	// The target latency of a retry runs from its client's first attempt. An op that brings less
	// time than its target latency is to be answered within the time it brings.
	opType := e.settings.opType(event.Type)
	op.target = min(e.now+opType.TargetLatency-e.alreadyWaited(op), event.Deadline)
	e.ops[event.ID] = op
	if event.HasKey && opType.Ordered {
		e.joinKeyQueue(op)
	}
	e.openVolume(op)
	e.recordDemand(op, e.demandClass(op))
	e.assignServer(op)
	if op.queue != nil {
		op.queue.thinkTime.observe(e.now)
		op.queue.demand.add(e.now, op.Units, 2*e.settings.longestTarget)
		e.runSlices(op.server)
	}
	if !op.answered && !op.isOutstanding() && e.deadlineUnreachable(op) {
		e.giveUp(op)
	}
}

// openVolume appends an op to the queued ones and links it to the record of its volume.
func (e *Engine) openVolume(op *op) {
	record := e.volumes[op.Volume]
	if record == nil {
		record = &volume{plan: op.Plan, refilledAt: e.noDispatchSince(), reserve: math.Inf(1)}
		e.volumes[op.Volume] = record
	}
	record.instances, record.lastSeen = op.Instances, e.now
	if record.instances < 1 {
		record.instances = max(e.settings.Instances, 1)
	}
	e.maxInstancesSeen = max(e.maxInstancesSeen, record.instances)
	record.openOps++
	op.volume, op.dispatches = record, op.inlineDispatch[:0]
	e.appendQueued(op)
}

// alreadyWaited is how long the client of an op has waited since its first attempt: the time that
// the op has less than an earlier one of the same identity that failed.
func (e *Engine) alreadyWaited(op *op) time.Duration {
	total := e.settings.opType(op.Type).OpTimeout
	if !op.HasKey || total <= 0 {
		return 0
	}
	left := op.Deadline - e.now
	attempt := e.earlierAttempts[identityOf(op)]
	if attempt == nil || !attempt.op.answered || e.now >= attempt.expires {
		attempt = &earlierAttempt{timeLeft: left, expires: e.now + total}
		e.earlierAttempts[identityOf(op)] = attempt
	}
	attempt.op = op
	return max(attempt.timeLeft-left, 0)
}

// assignServer enqueues a queued op at the server of its data, or for a new object at the one that
// chooseNewServer returns. Where there is none the op stays unassigned.
func (e *Engine) assignServer(op *op) {
	var chosen *server
	if op.Cell == honeyplank.AnyCell {
		chosen = e.chooseNewServer(op)
	} else {
		chosen = e.healthiestOfCell(op.Cell)
	}
	if chosen == nil {
		return
	}
	e.unassigned--
	chosen.enqueue(op)
	e.markActive(chosen)
	op.queue.lastSeen = e.now
}

// healthiestOfCell is the healthiest server that holds a cell's data, of equal ones the one that
// started first.
func (e *Engine) healthiestOfCell(cell int) (healthiest *server) {
	for _, server := range e.serversByCell[cell] {
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
func (e *Engine) chooseNewServer(op *op) (chosen *server) {
	if !e.mayDispatchAnywhere(op) {
		return nil
	}
	class, leastLoad := e.demandClass(op), math.Inf(1)
	for _, candidate := range e.topRanked(op.volume, op.Volume) {
		e.serversVisited++
		load := e.relativeLoad(op, candidate.server, class)
		if load < leastLoad {
			chosen, leastLoad = candidate.server, load
		}
		if load < 1 {
			break
		}
	}
	if chosen != nil || op.volume.topComplete {
		return chosen
	}
	return e.leastLoadedAccepting(op, class)
}

// leastLoadedAccepting searches all servers that accept new objects, in no order of rank: it
// returns the first in rank of those with a relative load below 1, else of the least loaded ones.
func (e *Engine) leastLoadedAccepting(op *op, class demandClass) (chosen *server) {
	hash, leastLoad, firstRank := volumeHash(op.Volume), math.Inf(1), uint64(0)
	for _, server := range e.acceptingServers() {
		e.serversVisited++
		load := e.relativeLoad(op, server, class)
		if load < 1 { // any free capacity counts alike
			load = 0
		}
		rank := rendezvousHash(hash, server.ID)
		if load < leastLoad || load == leastLoad && !math.IsInf(load, 1) && rank > firstRank {
			chosen, leastLoad, firstRank = server, load, rank
		}
	}
	return chosen
}

// relativeLoad is the number of ops outstanding and queued at a server, with a new object added,
// over its concurrency limit for new objects; infinite where the op may not go.
func (e *Engine) relativeLoad(op *op, server *server, class demandClass) float64 {
	if !e.acceptsNewObjects(server) || !e.mayDispatchTo(op, server, class) {
		return math.Inf(1)
	}
	limit := e.concurrencyLimit(server, op.Type, spareLatencyShare)
	return float64(1+server.outstanding+server.queuedCount) / limit
}

// acceptsNewObjects reports whether a server may get new objects: it is up, its failure rate is
// low, and its slow start would allow an op beyond the reserve with a median admission draw. It
// guards against servers whose errors, resets or rejections come back fast, which would look like
// free capacity. It could harm when most servers fail at once.
func (e *Engine) acceptsNewObjects(server *server) bool {
	halfOpenIdle := server.health == honeyplank.HealthHalfOpen && server.outstanding == 0
	usable := server.health == honeyplank.HealthUp || halfOpenIdle
	return usable && e.failureRate(server) < maxFailureRate &&
		e.slowStartAllows(server, 1, medianAdmissionDraw, spareDemand)
}

// hasCapacity reports whether a server's window has capacity for an op: only the part that the
// server's latency leaves, less for ops beyond the reserve. It guards against windows of many
// instances that add up to more than a server serves in time, whatever slows it. It could harm
// where ops that take long are the rule.
func (e *Engine) hasCapacity(server *server, op *op) bool {
	clientGone := e.now+e.earliestAnswer(server, op.Type) >= op.Deadline
	if server.health == honeyplank.HealthDown || e.halfOpenBusy(server) || clientGone {
		return false
	}
	limit, excess := e.concurrencyLimit(server, op.Type, reserveLatencyShare), 1.0
	if !e.withinReserve(op) {
		limit, excess = e.concurrencyLimit(server, op.Type, spareLatencyShare), e.demandExcess(op)
	}
	if server.outstanding > 0 || limit >= 1 {
		return float64(server.outstanding) < limit
	}
	return op.admissionDraw*excess < e.successProbability(server, op)*limit/(1-limit)
}

// successProbability estimates how likely an op with little time left is answered in time. It
// guards crowded servers against attempts that their clients are about to give up. It could harm
// where the latency estimate is out of date.
func (e *Engine) successProbability(server *server, op *op) float64 {
	left := max(min(op.Deadline, op.target)-e.now, 0)
	part := min(1, left.Seconds()/max(e.expectedLatency(server, op.Type), 1e-9))
	return part * part
}

// demandExcess is a volume's demand at a server over its share by weight, as seen by this instance.
// It takes the place of the slices where an instance has so few ops at a server that no queue
// forms.
func (e *Engine) demandExcess(op *op) float64 {
	usual := e.relativeWeight(op.Plan) * e.settings.meanRate / float64(op.volume.instances)
	if usual <= 0 || op.queue == nil {
		return 1
	}
	return op.queue.demand.rateWithPrior(usual, 2*e.settings.longestTarget) / usual
}

// concurrencyLimit is the part of a server's window, in ops, that its latency leaves to ops of a
// type, where latencyShare is the latency, as a share of the target latency, up to which that is
// the whole window. Below one op it falls with the power 1.5, but not below an even share among the
// instances of what the server serves within twice the shortest target latency, two at a time: with
// few instances, one op of each always fits.
func (e *Engine) concurrencyLimit(server *server, opType int, latencyShare float64) float64 {
	latency, target := e.expectedLatency(server, opType), e.settings.shortestTarget.Seconds()
	if latency <= 0 || target <= 0 {
		return server.window
	}
	limit := server.window * min(1, latencyShare*target/latency)
	if limit >= 1 {
		return limit
	}
	instances := float64(max(e.settings.Instances, 1))
	evenShare := farPastBest * target / (instances * server.bestPerUnit * e.settings.MeanUnits)
	return min(1, max(limit*math.Sqrt(limit), evenShare))
}

// largestConcurrencyLimit is the largest concurrency limit of a server over all op types.
func (e *Engine) largestConcurrencyLimit(server *server, class demandClass) (largest float64) {
	for opType := range e.settings.OpTypes {
		largest = max(largest, e.concurrencyLimit(server, opType, spareLatencyShare))
		if class == reserveDemand {
			largest = max(largest, e.concurrencyLimit(server, opType, reserveLatencyShare))
		}
	}
	return largest
}

// mayDispatch reports whether the rules allow a dispatch to a server: attempts, semantics,
// draining, slow start, order, retry budget and limit.
func (e *Engine) mayDispatch(op *op, server *server) bool {
	return e.mayDispatchAnywhere(op) && e.mayDispatchTo(op, server, e.demandClass(op))
}

// mayDispatchAnywhere checks the rules that do not depend on the server.
func (e *Engine) mayDispatchAnywhere(op *op) bool {
	isRetry := len(op.dispatches) > 0
	if op.responseStarted || op.Deadline <= e.now || isRetry && !e.retryBudgetAllows() {
		return false
	}
	e.refillBuckets(op.volume)
	limited := e.settings.plan(op.volume.plan).Limit > 0
	if limited && !isRetry && op.volume.limit < e.limitHeadroom(op) {
		return false
	}
	return e.isNextOfKey(op)
}

// mayDispatchTo checks the rules that depend on the server.
func (e *Engine) mayDispatchTo(op *op, server *server, class demandClass) bool {
	holdsData := op.Cell == honeyplank.AnyCell || op.Cell == server.Cell
	if !holdsData || server.State != honeyplank.Up {
		return false
	}
	if len(op.dispatches) > 0 && (!e.retryAllowed(op, server) || server.retryCredit < 1) {
		return false
	}
	return e.slowStartAllows(server, op.Units, op.admissionDraw, class)
}

// deadlineUnreachable reports whether a queued op can no longer earn its utility: its target
// latency would be over before an early answer, or the client is about to give up. It guards
// against late answers, which cost a server as much as timely ones. It could harm after a short pause of a
// server: some ops are given up too early.
func (e *Engine) deadlineUnreachable(op *op) bool {
	earliest := e.now
	if op.server != nil {
		earliest += e.earliestAnswer(op.server, op.Type)
	}
	return earliest >= op.target || e.now+e.sweepInterval() >= op.Deadline
}
