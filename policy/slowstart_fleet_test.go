package policy

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"

	"honeyplank"
)

// slowStartFleet is many instances and some servers, of which one or several have just started.
type slowStartFleet struct {
	instances           int
	budget              float64       // mean ops within the window that a server takes right after its start
	demand              float64       // mean ops within the window that clients want of it, in parts of that
	otherDemand         float64       // the same of each other server
	skewed              bool          // a tenth of the instances have half of the traffic
	withinReserve       bool          // ops are within their volumes' reserves
	retries             bool          // a rejected op comes again soon, up to three times
	volumeInstances     int           // instances through which a volume's ops come, seven volumes a server; 0: all
	hotVolume           bool          // one volume has half of the demand on the first server
	configuredInstances int           // instances that the settings state; 0: as many as run
	burst               float64       // factor of the demand a second after the start; 0: none
	restarts            int           // servers that start at once, as when a zone comes back; 0: one
	secondStart         time.Duration // after the first start the servers start once more; 0: they don't
	connectDelay        time.Duration // no connection comes up for so long after a start; what waits arrives at once
	connectTimeout      time.Duration
}

// Figures of every scenario.
const (
	slowStartMeanUnits  = 2.0 // of an op
	slowStartServers    = 20
	slowStartTestWindow = time.Second
	slowStartWarmUp     = 5 * time.Second
	slowStartFrom       = 0.21
	firstStart          = 8 * time.Second
	volumesPerServer    = 7 // where volumeInstances is set
	slowStartRunEnds    = firstStart + slowStartWarmUp
)

// String names the scenario; those that differ elsewhere alone are numbered by the testing package.
func (scenario slowStartFleet) String() string {
	return fmt.Sprintf("%d instances, budget %v, demand %v and %v",
		scenario.instances, scenario.budget, scenario.demand, scenario.otherDemand)
}

// fields prints a scenario with all its fields, not as its String.
func fields(scenario slowStartFleet) any {
	type plain slowStartFleet
	return plain(scenario)
}

// clientTimeout is how long clients wait. What waits for a connection may wait for it to the end.
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

// starts are the times at which the servers in slow start start.
func (scenario slowStartFleet) starts() []time.Duration {
	if scenario.secondStart > 0 {
		return []time.Duration{firstStart, firstStart + scenario.secondStart}
	}
	return []time.Duration{firstStart}
}

// startBefore is the latest of starts, as of a time.
func (scenario slowStartFleet) startBefore(at time.Duration) time.Duration {
	if scenario.secondStart > 0 && at >= firstStart+scenario.secondStart {
		return firstStart + scenario.secondStart
	}
	return firstStart
}

// restartedPrefix is that of the ids of servers in slow start.
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
	notified bool // its instance was notified of the start
}

// arrivalEvent is the arrival of a dispatch at its server, or its end where it arrives nowhere.
type arrivalEvent struct {
	honeyplank.Event
	arrival
	decidedAt time.Duration
	failure   honeyplank.Code // of what arrives nowhere; 0: it arrives
}

// instanceEvent is an event of one of many instances.
type instanceEvent struct {
	honeyplank.Event
	instance int
}

// retriedOp is an op of a client that may send it again when it is rejected.
type retriedOp struct {
	simulatedOp
	retries int
}

// slowStartRun is a run of a slowStartFleet, on a clock of its own.
type slowStartRun struct {
	slowStartFleet
	rng           *rand.Rand
	engines       []*Engine
	now           time.Duration
	events        eventQueue
	notifiedStart []time.Duration // by instance: the start that it knows of
	ops           map[honeyplank.OpID]*retriedOp
	arrivals      map[honeyplank.ServerID][]arrival // at servers in slow start
	sent          int                               // number of these
}

// simulate returns the most that reaches a server in slow start within any window, over its overload
// threshold then, and how much reaches all of them. What counts is when a dispatch arrives, not when it
// was decided: it waits for its connection. A window with a third or more from instances that were not
// notified of the start is left out.
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

// addLists adds the lists that an instance is sent. Each server in slow start takes the place of another,
// under an id of its own, and instances are notified of it at different times.
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

// addOps adds the ops on a cell, at a usual rate of so many a second.
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

// addOp adds an op on a cell, through an instance of its volume.
func (run *slowStartRun) addOp(at time.Duration, cell int) {
	op := honeyplank.Op{
		ID:        honeyplank.OpID(fmt.Sprint(cell, "/", run.events.added)),
		Units:     1 + float64(run.rng.Intn(3)),
		Timeout:   at + run.clientTimeout(),
		Volume:    run.rng.Int63n(50),
		Cell:      cell,
		Instances: run.instances,
	}
	if run.connectDelay > 0 { // a type with time to wait for its connection
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

// drawInstance draws the instance of an op that may come through any.
func (run *slowStartRun) drawInstance() int {
	if run.skewed && run.rng.Intn(2) == 0 {
		return run.rng.Intn(max(run.instances/10, 1))
	}
	return run.rng.Intn(run.instances)
}

// step plays one event.
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

// arrive records the arrival of a dispatch and adds its end.
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

// dispatch has a dispatch arrive once there is a connection, or end where there is none in time.
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
	if latest := run.now + run.connectTimeout; arrivesAt > latest && latest < op.Timeout {
		arrivesAt, arriving.failure = latest, honeyplank.ConnectFailed
	} else if arrivesAt > op.Timeout {
		arrivesAt, arriving.failure = op.Timeout, honeyplank.TimedOut
	}
	run.add(arrivesAt, instance, arriving)
}

// retry has the client of a rejected op send it again.
func (run *slowStartRun) retry(instance int, op *retriedOp) {
	if !run.retries || op.retries >= 3 {
		return
	}
	retried := &retriedOp{simulatedOp: simulatedOp{Op: op.Op}, retries: op.retries + 1}
	at := run.now + time.Duration(run.rng.Int63n(int64(100*ms)))
	retried.ID += "+"
	retried.Timeout = at + run.clientTimeout()
	run.ops[retried.ID] = retried
	run.add(at, instance, retried.Op)
}

// worstWindow is the most that reaches a server within any window of its log, over its overload
// threshold then.
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

// notifiedUnits are the units of an arrival from an instance that was notified of the start.
func (a arrival) notifiedUnits() float64 {
	if a.notified {
		return a.units
	}
	return 0
}

// overloadThreshold is the number of mean ops from which a server is overloaded, by the rule of the
// platform on the budget N: N + 2 root N + 2, and N + 3 root N + 3 below 30.
func overloadThreshold(budgetOps float64) float64 {
	if budgetOps < 30 {
		return budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	return budgetOps + 2*math.Sqrt(budgetOps) + 2
}
