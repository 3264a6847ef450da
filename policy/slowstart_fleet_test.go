package policy

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"

	"honeyplank"
)

// slowStartFleet is a scenario with many instances and several servers, of which at least one has
// just started.
type slowStartFleet struct {
	instances           int
	budget              float64       // mean-sized ops that a server can take within the window right after its start
	demand              float64       // demand on it within the window, as a multiple of the budget
	otherDemand         float64       // the same for each other server
	skewed              bool          // a tenth of the instances have half of the traffic
	withinReserve       bool          // ops are within their volumes' reserves
	retries             bool          // clients send a rejected op again soon, up to three times
	volumeInstances     int           // instances of a volume, with seven volumes for each server; 0: all
	hotVolume           bool          // one volume has half of the demand on the first server
	configuredInstances int           // number of instances in the settings; 0: the actual one
	burst               float64       // factor of the demand from one second after the start; 0: none
	restarts            int           // servers that start together, as after the loss of a zone; 0: one
	secondStart         time.Duration // time after the first start until the second one; 0: none
	connectDelay        time.Duration // time from a start to the first connection; waiting ops then arrive at once
	connectTimeout      time.Duration
}

// Parameters of every scenario.
const (
	slowStartMeanUnits  = 2.0 // per op
	slowStartServers    = 20
	slowStartTestWindow = time.Second
	slowStartWarmUp     = 5 * time.Second
	slowStartFrom       = 0.21
	firstStart          = 8 * time.Second
	volumesPerServer    = 7 // if volumeInstances is set
	slowStartRunEnds    = firstStart + slowStartWarmUp
)

// String names the scenario. The testing package numbers scenarios that differ only in other
// fields.
func (scenario slowStartFleet) String() string {
	return fmt.Sprintf("%d instances, budget %v, demand %v and %v",
		scenario.instances, scenario.budget, scenario.demand, scenario.otherDemand)
}

// fields returns a scenario that is printed with all its fields instead of its String.
func fields(scenario slowStartFleet) any {
	type plain slowStartFleet
	return plain(scenario)
}

// clientTimeout returns the timeout of clients. It is long if ops wait for their connection.
func (scenario slowStartFleet) clientTimeout() time.Duration {
	if scenario.connectDelay > 0 {
		return 5 * time.Second
	}
	return 1200 * ms
}

func (scenario slowStartFleet) settings() *honeyplank.Settings {
	settings := testSettings()
	clientTimeout := scenario.clientTimeout()
	for i := range settings.OpTypes {
		settings.OpTypes[i].TargetLatency, settings.OpTypes[i].OpTimeout = 200*ms, clientTimeout
	}
	settings.Instances, settings.MeanUnits, settings.LargestUnits = scenario.instances, slowStartMeanUnits, 6
	if scenario.configuredInstances > 0 {
		settings.Instances = scenario.configuredInstances
	}
	settings.Dispatches.ConnectTimeout = scenario.connectTimeout
	if scenario.connectDelay > 0 {
		settings.OpTypes[1].TargetLatency = 3 * time.Second
	}
	if scenario.connectDelay > 0 && scenario.instances >= 300 { // fewer sweeps, to keep the test short
		settings.Step = 50 * ms
	}
	settings.SlowStart = honeyplank.SlowStartSettings{
		Window: slowStartTestWindow,
		Time:   slowStartWarmUp,
		From:   slowStartFrom,
		Units:  scenario.budget * slowStartMeanUnits,
	}
	settings.Plans[0].Rate, settings.Plans[0].Reserve = 1000, 0
	if scenario.withinReserve {
		settings.Plans[0].Reserve = 1e6
	}
	return settings
}

// starts returns the times at which servers start and enter slow start.
func (scenario slowStartFleet) starts() []time.Duration {
	if scenario.secondStart > 0 {
		return []time.Duration{firstStart, firstStart + scenario.secondStart}
	}
	return []time.Duration{firstStart}
}

// startBefore returns the latest start at or before a time, or the first start if there is none.
func (scenario slowStartFleet) startBefore(at time.Duration) time.Duration {
	if scenario.secondStart > 0 && at >= firstStart+scenario.secondStart {
		return firstStart + scenario.secondStart
	}
	return firstStart
}

// restartedPrefix is the prefix of the ids of servers in slow start.
const restartedPrefix = "restarted"

func restartedServer(i int) honeyplank.ServerID {
	return honeyplank.ServerID(fmt.Sprint(restartedPrefix, i))
}

func isRestarted(id honeyplank.ServerID) bool { return strings.HasPrefix(string(id), restartedPrefix) }

// arrival is a dispatch that reaches a server.
type arrival struct {
	op       honeyplank.OpID
	dispatch int
	server   honeyplank.ServerID
	at       time.Duration
	units    float64
	notified bool // its instance had been notified of the start
}

// arrivalEvent is the arrival of a dispatch at its server, or its end if it does not arrive.
type arrivalEvent struct {
	honeyplank.Event
	arrival
	decidedAt time.Duration
	failure   honeyplank.Code // code of a dispatch that does not arrive; 0: it arrives
}

// instanceEvent is an event for one of many instances.
type instanceEvent struct {
	honeyplank.Event
	instance int
}

// retriedOp is an op that its client may send again after a rejection.
type retriedOp struct {
	simulatedOp
	retries int
}

// slowStartRun is a run of a slowStartFleet with its own clock.
type slowStartRun struct {
	slowStartFleet
	rng           *rand.Rand
	engines       []*Engine
	now           time.Duration
	events        eventQueue
	notifiedStart []time.Duration // by instance: the last start of which it was notified
	ops           map[honeyplank.OpID]*retriedOp
	arrivals      map[honeyplank.ServerID][]arrival // at servers in slow start
	sent          int                               // number of these arrivals
}

// simulate returns the largest number of mean-sized ops that reach a server in slow start within
// any window, divided by the server's overload threshold at that time, and the number of dispatches
// that reach all servers in slow start. A dispatch counts when it arrives, not when it was decided,
// because it waits for its connection. A window is left out if a third or more of its units come
// from instances that had not been notified of the start.
func (scenario slowStartFleet) simulate(seed int64) (worst float64, sent int) {
	run := newSlowStartRun(scenario, seed)
	for !run.events.empty() {
		next := run.events.next()
		if run.now = next.at; run.now >= slowStartRunEnds {
			break
		}
		run.step(next.event.(instanceEvent))
	}
	for _, log := range run.arrivals {
		worst = max(worst, scenario.worstWindow(log))
	}
	return worst, run.sent
}

func newSlowStartRun(scenario slowStartFleet, seed int64) *slowStartRun {
	run := &slowStartRun{
		slowStartFleet: scenario,
		rng:            rand.New(rand.NewSource(seed)),
		now:            time.Second,
		notifiedStart:  make([]time.Duration, scenario.instances),
		ops:            map[honeyplank.OpID]*retriedOp{},
		arrivals:       map[honeyplank.ServerID][]arrival{},
	}
	settings := scenario.settings()
	for i := range scenario.instances {
		run.engines = append(run.engines, New(seed+int64(i), settings))
		run.addLists(i)
	}
	for cell := range slowStartServers {
		demand := scenario.otherDemand
		if cell < max(scenario.restarts, 1) {
			demand = scenario.demand
		}
		run.addOps(cell, demand*scenario.budget/slowStartTestWindow.Seconds())
	}
	return run
}

func (run *slowStartRun) add(at time.Duration, instance int, event honeyplank.Event) {
	run.events.add(at, instanceEvent{event, instance})
}

// addLists schedules the lists that an instance is sent. Each server in slow start replaces another
// one, under its own id. The instances are notified at different times.
func (run *slowStartRun) addLists(instance int) {
	at := run.now + time.Duration(run.rng.Int63n(int64(100*ms)))
	run.add(at, instance, honeyplank.List{Kind: honeyplank.Complete, Members: membersUpTo(slowStartServers)})
	for _, start := range run.starts() {
		at = start + time.Duration(run.rng.Int63n(int64(300*ms)))
		var changed []honeyplank.Member
		for i := range max(run.restarts, 1) {
			fresh := member(i, start)
			fresh.ID = restartedServer(i)
			changed = append(changed, memberInState(i, honeyplank.Removed), fresh)
		}
		run.add(at, instance, honeyplank.List{Kind: honeyplank.Delta, Members: changed})
	}
}

// addOps schedules the ops on a cell, at the given rate per second outside of a burst.
func (run *slowStartRun) addOps(cell int, usual float64) {
	for at := run.now; at < slowStartRunEnds; {
		rate := usual
		if run.burst > 0 && at > firstStart+time.Second {
			rate *= run.burst
		}
		at += time.Duration(run.rng.ExpFloat64() / rate * float64(time.Second))
		run.addOp(at, cell)
	}
}

// addOp schedules an op on a cell, through an instance of its volume.
func (run *slowStartRun) addOp(at time.Duration, cell int) {
	op := honeyplank.Op{
		ID:        honeyplank.OpID(fmt.Sprint(cell, "/", run.events.added)),
		Units:     1 + float64(run.rng.Intn(3)),
		Deadline:  at + run.clientTimeout(),
		Volume:    run.rng.Int63n(50),
		Cell:      cell,
		Instances: run.instances,
	}
	if run.connectDelay > 0 { // an op type whose target latency leaves time to wait for a connection
		op.Type = 1
	}
	if run.volumeInstances == 0 {
		run.add(at, run.drawInstance(), op)
		return
	}
	volume := run.rng.Intn(volumesPerServer)
	if run.hotVolume && cell == 0 && run.rng.Intn(2) == 0 {
		volume = 0
	}
	number := volumesPerServer*cell + volume
	op.Instances, op.Volume = run.volumeInstances, int64(number)
	run.add(at, (number+run.rng.Intn(run.volumeInstances)*101)%run.instances, op)
}

// drawInstance draws the instance of an op that may come through any instance.
func (run *slowStartRun) drawInstance() int {
	if run.skewed && run.rng.Intn(2) == 0 {
		return run.rng.Intn(max(run.instances/10, 1))
	}
	return run.rng.Intn(run.instances)
}

// step simulates one event.
func (run *slowStartRun) step(received instanceEvent) {
	switch event := received.Event.(type) {
	case honeyplank.Op:
		if run.ops[event.ID] == nil {
			run.ops[event.ID] = &retriedOp{simulatedOp: simulatedOp{Op: event}}
		}
	case honeyplank.List:
		if event.Kind == honeyplank.Delta {
			run.notifiedStart[received.instance] = run.startBefore(run.now)
		}
	case arrivalEvent:
		run.arrive(received.instance, event)
		return
	}
	for _, action := range run.engines[received.instance].Handle(run.now, received.Event) {
		run.carryOut(received.instance, action)
	}
}

// arrive records the arrival of a dispatch and schedules its end.
func (run *slowStartRun) arrive(instance int, event arrivalEvent) {
	outcome := honeyplank.Outcome{
		Op: event.op, Dispatch: event.dispatch, Server: event.server, Code: honeyplank.Succeeded, Answered: true,
	}
	took := 20*ms + time.Duration(run.rng.Int63n(int64(30*ms)))
	if event.failure != 0 {
		outcome.Code, outcome.Answered, took = event.failure, false, 0
	} else if isRestarted(event.server) {
		run.sent++
		event.at, event.notified = run.now, run.notifiedStart[instance] == run.startBefore(run.now)
		run.arrivals[event.server] = append(run.arrivals[event.server], event.arrival)
	}
	outcome.Elapsed = run.now + took - event.decidedAt
	run.add(run.now+took, instance, outcome)
}

func (run *slowStartRun) carryOut(instance int, action honeyplank.Action) {
	switch action := action.(type) {
	case honeyplank.Dispatch:
		run.dispatch(instance, action)
	case honeyplank.Reject:
		run.retry(instance, run.ops[action.Op])
	case honeyplank.SetTimer:
		run.add(action.At, instance, honeyplank.Timer{ID: action.ID})
	}
}

// dispatch schedules the arrival of a dispatch once there is a connection, or its end if there is
// no connection in time.
func (run *slowStartRun) dispatch(instance int, action honeyplank.Dispatch) {
	op := run.ops[action.Op]
	arriving := arrivalEvent{
		arrival:   arrival{op: action.Op, dispatch: op.dispatches, server: action.Server, units: op.Units},
		decidedAt: run.now,
	}
	op.dispatches++
	arrivesAt := run.now
	if isRestarted(action.Server) {
		arrivesAt = max(run.now, run.startBefore(run.now)+run.connectDelay)
	}
	if latest := run.now + run.connectTimeout; arrivesAt > latest && latest < op.Deadline {
		arrivesAt, arriving.failure = latest, honeyplank.ConnectFailed
	} else if arrivesAt > op.Deadline {
		arrivesAt, arriving.failure = op.Deadline, honeyplank.TimedOut
	}
	run.add(arrivesAt, instance, arriving)
}

// retry schedules the next attempt of the client of a rejected op.
func (run *slowStartRun) retry(instance int, op *retriedOp) {
	if !run.retries || op.retries >= 3 {
		return
	}
	retried := &retriedOp{simulatedOp: simulatedOp{Op: op.Op}, retries: op.retries + 1}
	at := run.now + time.Duration(run.rng.Int63n(int64(100*ms)))
	retried.ID += "+"
	retried.Deadline = at + run.clientTimeout()
	run.ops[retried.ID] = retried
	run.add(at, instance, retried.Op)
}

// worstWindow returns the largest number of mean-sized ops that reach a server within any window of
// its log, divided by the server's overload threshold at that time.
func (scenario slowStartFleet) worstWindow(log []arrival) (worst float64) {
	first, sum, notified := 0, 0.0, 0.0
	for _, item := range log {
		sum += item.units
		notified += item.notifiedUnits()
		start := scenario.startBefore(item.at)
		for log[first].at < max(item.at-slowStartTestWindow, start) {
			sum -= log[first].units
			notified -= log[first].notifiedUnits()
			first++
		}
		age := float64(item.at-start) / float64(slowStartWarmUp)
		budget := scenario.budget * min(1, slowStartFrom+(1-slowStartFrom)*age) / slowStartFrom
		if notified > sum*2/3 {
			worst = max(worst, sum/slowStartMeanUnits/overloadThreshold(budget))
		}
	}
	return worst
}

// notifiedUnits returns the units of an arrival if its instance had been notified of the start, or
// else 0.
func (a arrival) notifiedUnits() float64 {
	if a.notified {
		return a.units
	}
	return 0
}

// overloadThreshold returns the number of mean-sized ops at which a server is overloaded, by the
// rule of the platform for a budget of N: N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 if N is below 30.
func overloadThreshold(budgetOps float64) float64 {
	if budgetOps < 30 {
		return budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	return budgetOps + 2*math.Sqrt(budgetOps) + 2
}
