package policy

import (
	"math"
	"time"

	"honeyplank"
)

// Latencies, as shares of the shortest target latency, up to which ops may use a server's whole
// window.
const (
	spareLatencyShare   = 0.04 // for ops beyond the reserve
	reserveLatencyShare = 0.18 // for ops within the reserve
)

// medianAdmissionDraw replaces the admission draw of an op that is not known yet.
const medianAdmissionDraw = 0.5

// requestIdentity holds the properties that all attempts of one client request have in common.
type requestIdentity struct {
	volume, key int64
	opType      int
	units       float64
}

// earlierAttempt is the last op of a request identity, with the time that its client had left at
// the first attempt.
type earlierAttempt struct {
	op       *op // nil once it is answered
	timeLeft time.Duration
	expires  time.Duration
}

func identityOf(op *op) requestIdentity {
	return requestIdentity{op.Volume, op.Key, op.Type, op.Units}
}

// admit handles a new op: it assigns the op to a server, and dispatches, queues or gives up the op
// at once.
func (e *Engine) admit(event honeyplank.Op) {
	if e.ops[event.ID] != nil {
		return
	}
	e.recordAdmission()
	op := &op{Op: event, admissionDraw: e.rng.Float64(), sampledAt: e.now}
	e.unitsAdmitted += event.Units
	e.unitsSquaredAdmitted += event.Units * event.Units
	// The target latency of a retry runs from the first attempt of its client. An op that has less
	// time left than its target latency is to be answered within the time left.
	opType := e.settings.opType(event.Type)
	op.target = min(e.now+opType.TargetLatency-e.alreadyWaited(op), event.Deadline)
	e.ops[event.ID] = op
	if event.HasKey && opType.Ordered {
		e.joinKeyQueue(op)
	}
	e.registerOp(op)
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

// recordAdmission counts an admission for the retry budget.
func (e *Engine) recordAdmission() {
	if !e.settings.RetryBudget.Limited {
		return
	}
	e.admissions = append(dropBefore(e.admissions, e.now-e.settings.RetryBudget.Window), e.now)
	e.admissions = e.admissions[max(0, len(e.admissions)-maxAdmissions):]
}

// registerOp links an op to the record of its volume and appends the op to the list of queued ops.
func (e *Engine) registerOp(op *op) {
	record := e.volumes[op.Volume]
	if record == nil {
		record = &volume{id: op.Volume, plan: op.Plan, refilledAt: e.noDispatchSince(), reserve: math.Inf(1)}
		record.recency.record = record
		e.volumes[op.Volume] = record
	}
	record.recency.remove() // it has an open op now
	record.instances, record.lastSeen = op.Instances, e.now
	if record.instances < 1 {
		record.instances = max(e.settings.Instances, 1)
	}
	e.maxInstancesSeen = max(e.maxInstancesSeen, record.instances)
	record.openOps++
	op.volume, op.dispatches = record, op.inlineDispatch[:0]
	e.appendQueued(op)
}

// alreadyWaited returns how long the client of an op has waited since its first attempt. If an
// earlier op of the same identity failed, this is the time left at the first attempt minus the time
// left now. Limitation: past maxEarlierAttempts identities, an attempt counts as the first one.
func (e *Engine) alreadyWaited(op *op) time.Duration {
	total := e.settings.opType(op.Type).OpTimeout
	if !op.HasKey || total <= 0 {
		return 0
	}
	left := op.Deadline - e.now
	attempt := e.earlierAttempts[identityOf(op)]
	if attempt == nil && len(e.earlierAttempts) >= maxEarlierAttempts {
		return 0
	}
	if attempt == nil || attempt.op != nil || e.now >= attempt.expires {
		attempt = &earlierAttempt{timeLeft: left, expires: e.now + total}
		e.earlierAttempts[identityOf(op)] = attempt
	}
	attempt.op, op.attempt = op, attempt
	return max(attempt.timeLeft-left, 0)
}

// assignServer enqueues a queued op at the server that holds its data, or for a new object at the
// server that chooseNewServer returns. If there is no such server, the op stays unassigned.
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
	e.enqueue(op, chosen)
	e.markActive(chosen)
	op.queue.lastSeen = e.now
}

// healthiestOfCell returns the healthiest server that holds a cell's data. Among equally healthy
// servers it returns the one that started first. It returns nil if no server holds the data.
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
// with a relative load below 1, or else the least loaded of them. It searches all servers only if
// none of the top-ranked ones may get new objects.
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

// leastLoadedAccepting searches all servers that accept new objects, in no order of rank. It
// returns the highest-ranked server with a relative load below 1, or else the highest-ranked of the
// least loaded servers.
func (e *Engine) leastLoadedAccepting(op *op, class demandClass) (chosen *server) {
	hash, leastLoad, highestHash := volumeHash(op.Volume), math.Inf(1), uint64(0)
	for _, server := range e.acceptingServers() {
		e.serversVisited++
		load := e.relativeLoad(op, server, class)
		if load < 1 { // all servers with free capacity are equivalent
			load = 0
		}
		candidateHash := rendezvousHash(hash, server.ID)
		if load < leastLoad || load == leastLoad && !math.IsInf(load, 1) && candidateHash > highestHash {
			chosen, leastLoad, highestHash = server, load, candidateHash
		}
	}
	return chosen
}

// relativeLoad returns the number of ops outstanding and queued at a server, with a new object
// added, divided by the server's concurrency limit for new objects. It is infinite if the op may
// not go to the server.
func (e *Engine) relativeLoad(op *op, server *server, class demandClass) float64 {
	if !e.acceptsNewObjects(server) || !e.mayDispatchTo(op, server, class) {
		return math.Inf(1)
	}
	limit := e.concurrencyLimit(server, op.Type, spareLatencyShare)
	return float64(1+server.outstanding+server.queuedCount) / limit
}

// acceptsNewObjects reports whether a server may get new objects: it is up, or half-open without an
// outstanding op; its failure rate is low; and its slow start would allow an op beyond the reserve
// with a median admission draw. This keeps new objects away from servers whose errors, resets or
// rejections come back fast, because such servers appear to have free capacity. Limitation: the
// check does harm if most servers fail at once.
func (e *Engine) acceptsNewObjects(server *server) bool {
	halfOpenIdle := server.health == honeyplank.HealthHalfOpen && server.outstanding == 0
	usable := server.health == honeyplank.HealthUp || halfOpenIdle
	return usable && e.failureRate(server) < maxFailureRate &&
		e.slowStartAllows(server, 1, medianAdmissionDraw, spareDemand)
}

// hasCapacity reports whether a server's window has capacity for an op. Ops may use only the part
// of the window that the server's latency leaves, and ops beyond the reserve a smaller part. This
// prevents the windows of many instances from adding up to more than a server serves in time, for
// whatever reason it is slow. Limitation: service suffers if most ops normally take long.
func (e *Engine) hasCapacity(server *server, op *op) bool {
	answerTooLate := e.now+e.earliestAnswer(server, op.Type) >= op.Deadline
	if server.health == honeyplank.HealthDown || e.halfOpenBusy(server) || answerTooLate {
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

// successProbability estimates the probability that an op with little time left is answered in
// time. This keeps attempts that clients are about to give up away from heavily loaded servers.
// Limitation: the estimate is wrong if the latency estimate is out of date.
func (e *Engine) successProbability(server *server, op *op) float64 {
	left := max(min(op.Deadline, op.target)-e.now, 0)
	part := min(1, left.Seconds()/max(e.expectedLatency(server, op.Type), 1e-9))
	return part * part
}

// demandExcess returns a volume's demand at a server, as measured by this instance, divided by the
// volume's share by weight. It replaces the slices if an instance has so few ops at a server that
// no queue forms.
func (e *Engine) demandExcess(op *op) float64 {
	expectedRate := e.relativeWeight(op.Plan) * e.settings.meanRate / float64(op.volume.instances)
	if expectedRate <= 0 || op.queue == nil {
		return 1
	}
	return op.queue.demand.rateWithPrior(expectedRate, 2*e.settings.longestTarget) / expectedRate
}

// concurrencyLimit returns the part of a server's window, in ops, that its latency leaves to ops of
// a type. This is the whole window up to a latency of latencyShare times the shortest target
// latency. Below one op, the limit falls with the power 1.5, but not below a lower bound: the number
// of mean-sized ops that the server serves within twice the shortest target latency (or within that
// target latency, two at a time), divided by the number of instances. With few instances, each of
// them can therefore always send one op.
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
	evenShare := elevatedLatencyFactor * target / (instances * server.bestPerUnit * e.settings.MeanUnits)
	return min(1, max(limit*math.Sqrt(limit), evenShare))
}

// largestConcurrencyLimit returns the largest concurrency limit of a server over all op types.
func (e *Engine) largestConcurrencyLimit(server *server, class demandClass) (largest float64) {
	for opType := range e.settings.OpTypes {
		largest = max(largest, e.concurrencyLimit(server, opType, spareLatencyShare))
		if class == reserveDemand {
			largest = max(largest, e.concurrencyLimit(server, opType, reserveLatencyShare))
		}
	}
	return largest
}

// mayDispatch reports whether the rules allow the dispatch of an op to a server: deadline, started
// response, retry budget, limit, order, cell, draining, semantics, retry credit and slow start.
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
// latency would be over before the earliest answer, or its client gives up before the next sweep.
// This avoids late answers, which cost a server as much as timely ones. Limitation: after a short
// pause of a server, some ops are given up too early.
func (e *Engine) deadlineUnreachable(op *op) bool {
	earliest := e.now
	if op.server != nil {
		earliest += e.earliestAnswer(op.server, op.Type)
	}
	return earliest >= op.target || e.now+e.sweepInterval() >= op.Deadline
}
