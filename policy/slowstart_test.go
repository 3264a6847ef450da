package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// slowStartFleet is many instances and one server among others that has just started.
type slowStartFleet struct {
	instances       int
	budget          float64       // mean ops within the window that it takes right after the start
	demand          float64       // mean ops within the window that clients want of it, in parts of that
	otherDemand     float64       // the same of each other server
	skewed          bool          // a tenth of the instances have half of the traffic
	withinReserve   bool          // ops are inside their volumes' reserves
	retries         bool          // what is not served comes again at once, up to three times
	volumeInstances int           // instances through which a volume's ops come, seven volumes a server; 0: all
	hotVolume       bool          // one volume has half of what is asked of the server in slow start
	statedInstances int           // instances that the settings state; 0: as many as run
	burst           float64       // all that is asked grows by this factor a second after the start; 0: it does not
	restarts        int           // servers that start at once, as a zone that comes back; 0: one
	secondStart     time.Duration // after the first start the servers start once more; 0: they don't
	connectDelay    time.Duration // no connection comes up for so long after a start, and what waits for it arrives at once
	connectTimeout  time.Duration // how long a connection may take
}

// overloadThreshold is the fall of a server in slow start by the terms of the platform, in mean ops: N + 2 x root of N + 2, and under 30
// N + 3 x root of N + 3.
func overloadThreshold(budgetOps float64) float64 {
	if budgetOps < 30 {
		return budgetOps + 3*math.Sqrt(budgetOps) + 3
	}
	return budgetOps + 2*math.Sqrt(budgetOps) + 2
}

// String names the scenario; cases that differ elsewhere alone are numbered by the testing package.
func (scenario slowStartFleet) String() string {
	return fmt.Sprintf("%d instances, budget %v, demand %v and %v", scenario.instances, scenario.budget, scenario.demand, scenario.otherDemand)
}

// fields prints a scenario with all its fields, not as its String.
func fields(scenario slowStartFleet) any {
	type plain slowStartFleet
	return plain(scenario)
}

// arrival is a dispatch that reaches a server in slow start.
type arrival struct {
	op       honeyplank.OpID
	dispatch int
	server   honeyplank.ServerID
	instance int
	at       time.Duration
	units    float64
	notified bool // its instance was notified of the start
}

// arrivalEvent is the event of one, and of the end of one that reaches nothing.
type arrivalEvent struct {
	honeyplank.Event
	arrival
	decided time.Duration
	timeout time.Duration
	failure honeyplank.Code
}

// Figures of every scenario: mean units of an op, servers, and the slow start.
const (
	slowStartMeanUnits  = 2.0
	slowStartServers    = 20
	slowStartTestWindow = time.Second
	slowStartWarmUp     = 5 * time.Second
	slowStartFrom       = 0.21
	firstStart          = 8 * time.Second // the first start
)

// clientTimeout is how long clients wait. What waits for a connection may wait for it to the end.
func (scenario slowStartFleet) clientTimeout() time.Duration {
	if scenario.connectDelay > 0 {
		return 5 * time.Second
	}
	return 1200 * ms
}

func (scenario slowStartFleet) settings() *honeyplank.Settings {
	settings := testSettings()
	settings.OpTypes.TargetLatency = []time.Duration{200 * ms, 200 * ms}
	settings.OpTypes.OpTimeout = []time.Duration{1200 * ms, 1200 * ms}
	settings.Instances, settings.MeanUnits, settings.LargestUnits = scenario.instances, slowStartMeanUnits, 6.0
	if scenario.statedInstances > 0 {
		settings.Instances = scenario.statedInstances
	}
	settings.Dispatches.ConnectTimeout = scenario.connectTimeout
	if scenario.connectDelay > 0 {
		clientTimeout := scenario.clientTimeout()
		settings.OpTypes.OpTimeout = []time.Duration{clientTimeout, clientTimeout}
		settings.OpTypes.TargetLatency = []time.Duration{200 * ms, 3 * time.Second}
	}
	if scenario.connectDelay > 0 && scenario.instances >= 300 { // fewer sweeps, to keep the test short
		settings.Step = 50 * ms
	}
	settings.SlowStart.Units, settings.SlowStart.Window = scenario.budget*slowStartMeanUnits, slowStartTestWindow
	settings.SlowStart.Time, settings.SlowStart.From = slowStartWarmUp, slowStartFrom
	settings.Plans.Rate, settings.Plans.Reserve = []float64{1000}, []float64{0}
	if scenario.withinReserve {
		settings.Plans.Reserve = []float64{1e6}
	}
	return settings
}

// play counts the most that reaches a server in slow start within any window, over its overload threshold then: the
// budget and what is put down to chance beyond it. What counts is when a dispatch arrives, not when it was decided:
// it waits for its connection. A window with a third or more from instances that were not notified of the start is
// none of theirs. All is simulated.
func (scenario slowStartFleet) play(seed int64) (worst float64, sent int) {
	settings, clientTimeout := scenario.settings(), scenario.clientTimeout()
	rng := rand.New(rand.NewSource(seed))
	var events eventQueue
	sequence := 0
	add := func(at time.Duration, instance int, event honeyplank.Event) {
		sequence++
		heap.Push(&events, scheduledEvent{at, sequence, instanceEvent{event, instance}})
	}
	schedulers := make([]*Engine, scenario.instances)
	var members []honeyplank.Member
	for i := range slowStartServers {
		members = append(members, member(i, 0))
	}
	now := time.Second
	end := firstStart + slowStartWarmUp
	for i := range schedulers {
		schedulers[i] = New(seed+int64(i), settings)
		at := now + time.Duration(rng.Int63n(int64(100*ms)))
		add(at, i, honeyplank.List{Kind: honeyplank.Complete, Members: members})
		// Each cold one comes in the place of another, under an id of its own, told within a part of a second.
		starts := []time.Duration{firstStart}
		if scenario.secondStart > 0 {
			starts = append(starts, firstStart+scenario.secondStart)
		}
		for _, start := range starts {
			at = start + time.Duration(rng.Int63n(int64(300*ms)))
			var news []honeyplank.Member
			for k := range max(scenario.restarts, 1) {
				gone, fresh := member(k, 0), member(k, start)
				gone.State, fresh.ID = honeyplank.Removed, restartedServer(k)
				news = append(news, gone, fresh)
			}
			add(at, i, honeyplank.List{Kind: honeyplank.Delta, Members: news})
		}
	}
	notifiedOf := make([]time.Duration, scenario.instances) // the start that each instance knows of
	pick := func() int {
		if scenario.skewed && rng.Intn(2) == 0 {
			return rng.Intn(max(scenario.instances/10, 1))
		}
		return rng.Intn(scenario.instances)
	}
	arrive := func(cell int, usual float64) {
		for at := now; at < end; {
			rate := usual
			if scenario.burst > 0 && at > firstStart+time.Second {
				rate *= scenario.burst
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(cell, "/", sequence)), Instances: scenario.instances, Cell: cell,
				Units: 1 + float64(rng.Intn(3)), Timeout: at + clientTimeout, Volume: rng.Int63n(50)}
			if scenario.connectDelay > 0 { // a class with time to wait for its connection
				op.Type = 1
			}
			if scenario.volumeInstances == 0 {
				add(at, pick(), op)
				continue
			}
			volume := rng.Intn(7)
			if scenario.hotVolume && cell == 0 && rng.Intn(2) == 0 {
				volume = 0
			}
			op.Instances, op.Volume = scenario.volumeInstances, int64(7*cell+volume)
			add(at, (7*cell+volume+rng.Intn(scenario.volumeInstances)*101)%scenario.instances, op)
		}
	}
	for cell := range slowStartServers {
		rate := scenario.otherDemand
		if cell < max(scenario.restarts, 1) {
			rate = scenario.demand
		}
		arrive(cell, rate*scenario.budget/slowStartTestWindow.Seconds())
	}
	type openOp struct {
		honeyplank.Op
		dispatches, attempts int
	}
	ops := map[honeyplank.OpID]*openOp{}
	logs := map[honeyplank.ServerID][]arrival{}
	for len(events) > 0 {
		upcoming := heap.Pop(&events).(scheduledEvent)
		now = upcoming.at
		if now >= end {
			break
		}
		received := upcoming.event.(instanceEvent)
		switch event := received.Event.(type) {
		case honeyplank.Op:
			if ops[event.ID] == nil {
				ops[event.ID] = &openOp{Op: event}
			}
		case honeyplank.List:
			if event.Kind == honeyplank.Delta {
				notifiedOf[received.instance] = scenario.startBefore(now)
			}
		case arrivalEvent:
			ended := honeyplank.Outcome{Op: event.op, Dispatch: event.dispatch, Server: event.server, Code: honeyplank.Succeeded, Answered: true}
			took := 20*ms + time.Duration(rng.Int63n(int64(30*ms)))
			if event.failure != 0 {
				ended.Code, ended.Answered, took = event.failure, false, 0
			} else if strings.HasPrefix(string(event.server), "cold") {
				sent++
				event.at, event.notified = now, notifiedOf[received.instance] == scenario.startBefore(now)
				logs[event.server] = append(logs[event.server], event.arrival)
			}
			ended.Elapsed = now + took - event.decided
			add(now+took, received.instance, ended)
			continue
		}
		for _, action := range schedulers[received.instance].Handle(now, received.Event) {
			switch item := action.(type) {
			case honeyplank.Dispatch:
				op := ops[item.Op]
				arriving := arrivalEvent{arrival: arrival{op: item.Op, dispatch: op.dispatches, server: item.Server, instance: received.instance, units: op.Units},
					decided: now, timeout: op.Timeout}
				op.dispatches++
				connectedAt := now
				if strings.HasPrefix(string(item.Server), "cold") {
					connectedAt = max(now, scenario.startBefore(now)+scenario.connectDelay)
				}
				if within := now + scenario.connectTimeout; connectedAt > within && within < op.Timeout {
					connectedAt, arriving.failure = within, honeyplank.ConnectFailed
				} else if connectedAt > op.Timeout {
					connectedAt, arriving.failure = op.Timeout, honeyplank.TimedOut
				}
				add(connectedAt, received.instance, arriving)
			case honeyplank.Reject:
				if op := ops[item.Op]; scenario.retries && op.attempts < 3 {
					retried := openOp{op.Op, 0, op.attempts + 1}
					retried.ID = honeyplank.OpID(fmt.Sprint(item.Op, "+"))
					at := now + time.Duration(rng.Int63n(int64(100*ms)))
					retried.Timeout = at + clientTimeout
					ops[retried.ID] = &retried
					add(at, received.instance, retried.Op)
				}
			case honeyplank.SetTimer:
				add(item.At, received.instance, honeyplank.Timer{ID: item.ID})
			}
		}
	}
	for _, log := range logs {
		worst = max(worst, scenario.worstWindow(log))
	}
	return worst, sent
}

// startBefore is the latest start of the servers in slow start, as of a time.
func (scenario slowStartFleet) startBefore(at time.Duration) time.Duration {
	if scenario.secondStart > 0 && at >= firstStart+scenario.secondStart {
		return firstStart + scenario.secondStart
	}
	return firstStart
}

// worstWindow is the most that reaches a server within any window of its log, over its overload threshold.
func (scenario slowStartFleet) worstWindow(log []arrival) (worst float64) {
	first, sum, known := 0, 0.0, 0.0
	for _, item := range log {
		sum += item.units
		if item.notified {
			known += item.units
		}
		start := scenario.startBefore(item.at)
		for log[first].at < max(item.at-slowStartTestWindow, start) {
			sum -= log[first].units
			if log[first].notified {
				known -= log[first].units
			}
			first++
		}
		budget := scenario.budget * min(1, slowStartFrom+(1-slowStartFrom)*float64(item.at-start)/float64(slowStartWarmUp)) / slowStartFrom
		if known > sum*2/3 {
			worst = max(worst, sum/slowStartMeanUnits/overloadThreshold(budget))
		}
	}
	return worst
}

func restartedServer(k int) honeyplank.ServerID { return honeyplank.ServerID(fmt.Sprint("cold", k)) }

// instanceEvent is an event of one of many instances.
type instanceEvent struct {
	honeyplank.Event
	instance int
}

// TestSlowStartFleet: whatever a fleet is asked, all instances together send a server that has just started no more
// than its budget and what is put down to chance: with few and with many instances, alike and skewed traffic, a hot
// cell, retries of all clients, and whatever the others are asked. It holds for what arrives, also where the first
// connections come up late, for servers that start twice or several at once, and where more or fewer instances run than the
// settings state: by a tenth more, since nothing shows an instance how many others run.
func TestSlowStartFleet(t *testing.T) {
	for _, scenario := range []slowStartFleet{
		{instances: 4, budget: 60, demand: 3, otherDemand: 0.2},
		{instances: 25, budget: 60, demand: 3, otherDemand: 0.2, withinReserve: true},
		{instances: 25, budget: 12, demand: 2, otherDemand: 1},
		{instances: 25, budget: 12, demand: 6, otherDemand: 0.2},
		{instances: 25, budget: 12, demand: 6, otherDemand: 1, skewed: true},
		{instances: 300, budget: 12, demand: 3, otherDemand: 0.2},
		{instances: 300, budget: 60, demand: 1, otherDemand: 0.2},
		{instances: 300, budget: 60, demand: 2, otherDemand: 1},
		{instances: 300, budget: 60, demand: 6, otherDemand: 0.2, withinReserve: true},
		{instances: 300, budget: 60, demand: 6, otherDemand: 1, skewed: true},
		{instances: 300, budget: 200, demand: 2, otherDemand: 0.5, retries: true},
		{instances: 300, budget: 200, demand: 6, otherDemand: 0.2, skewed: true, retries: true},
		{instances: 300, budget: 200, demand: 6, otherDemand: 0.2, withinReserve: true},
		{instances: 300, budget: 60, demand: 1.2, otherDemand: 1.2},
		{instances: 300, budget: 200, demand: 0.6, otherDemand: 0.6, skewed: true},
		{instances: 300, budget: 12, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 2, retries: true},
		{instances: 300, budget: 60, demand: 6, otherDemand: 1, volumeInstances: 2, hotVolume: true},
		{instances: 300, budget: 12, demand: 6, otherDemand: 2, volumeInstances: 1, hotVolume: true, retries: true},
		{instances: 1, budget: 2, demand: 6, otherDemand: 1, burst: 1.5, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 1, budget: 500, demand: 3, otherDemand: 0.2, connectDelay: 1500 * ms, connectTimeout: time.Second},
		{instances: 2, budget: 30, demand: 4, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2500 * ms},
		{instances: 5, budget: 2, demand: 6, otherDemand: 6, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, restarts: 4},
		{instances: 5, budget: 120, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true, restarts: 4},
		{instances: 5, budget: 120, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: time.Second, secondStart: 2 * time.Second, burst: 2},
		{instances: 20, budget: 29, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5},
		{instances: 20, budget: 30, demand: 3, otherDemand: 1, connectDelay: 900 * ms, connectTimeout: time.Second, retries: true},
		{instances: 20, budget: 500, demand: 2, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, skewed: true},
		{instances: 300, budget: 2, demand: 6, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 300, budget: 30, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2 * time.Second},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5, restarts: 4},
		{instances: 300, budget: 500, demand: 1.5, otherDemand: 0.5, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 900, budget: 12, demand: 6, otherDemand: 2, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true},
		{instances: 900, budget: 200, demand: 2, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 30, statedInstances: 60, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 33, statedInstances: 30, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 330, statedInstances: 300, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
	} {
		t.Run(scenario.String(), func(t *testing.T) {
			t.Parallel()
			seeds := int64(2)
			if scenario.connectDelay > 0 && scenario.instances >= 300 {
				seeds = 1
			}
			for seed := range seeds {
				worst, sent := scenario.play(seed + 1)
				t.Logf("%+v: %.2f, %d sent", fields(scenario), worst, sent)
				if worst > 1 {
					t.Errorf("%+v: %.2f times its overload threshold", fields(scenario), worst)
				}
			}
		})
	}
}

// TestSlowStartBudgetIsUsed: a server that has just started is given a good part of its budget, also where its
// volumes come through a few of many instances: ops whose data lies there can't go elsewhere.
func TestSlowStartBudgetIsUsed(t *testing.T) {
	const least = 0.4
	for _, scenario := range []slowStartFleet{
		{instances: 25, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 12, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 1},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 3, withinReserve: true},
	} {
		t.Run(scenario.String(), func(t *testing.T) {
			budget := 0.0 // in mean ops, over the five seconds until it is warm
			for second := range 5 {
				budget += scenario.budget * (0.21 + 0.79*(float64(second)+0.5)/5) / 0.21
			}
			_, sent := scenario.play(1)
			if part := float64(sent) / budget; part < least {
				t.Errorf("%+v: sent %.2f of its budget", fields(scenario), part)
			}
		})
	}
}

// A restarted server gets the mean share of its budget, not nothing, also
// where a hundred instances' parts are smaller than one op; those inside their reserves come first.
func TestSlowStartRandomAdmission(t *testing.T) {
	settings := testSettings()
	settings.SlowStart.From, settings.SlowStart.Units, settings.SlowStart.Time, settings.SlowStart.Window = 0.2, 20.0, time.Minute, time.Second
	settings.Instances, settings.MeanUnits = 100, 2.0
	engine := New(1, settings)
	engine.now, engine.serversUp = time.Minute, 20
	engine.demand = ratesByClass{{units: 10, time: 1}, {units: 30, time: 1}} // units a second for 20 servers
	server, sent := &server{Member: member(0, engine.now), respondedSinceStart: true}, [2]float64{}
	for draw := 0.0005; draw < 1; draw += 0.001 {
		for i := range sent {
			if engine.slowStartAllows(server, 2, draw, demandClass(i)) {
				sent[i] += engine.demand[i].units / 20 / 1000
			}
		}
	}
	if total := sent[0] + sent[1]; total < 0.17 || total > 0.18 || sent[1] > 0.01 {
		t.Errorf("%v units a second on average, of seven eighths of a part of 0.2", sent)
	}
	server.respondedSinceStart = false // connections that come up late bring together what was sent until then
	admitted := 0.0
	for draw := 0.0005; draw < 1; draw += 0.001 {
		if engine.slowStartAllows(server, 2, draw, reserveDemand) {
			admitted += 1.0 / 1000
		}
	}
	if want := 0.175 / (0.5 * (1 + holdUp.Seconds())); math.Abs(admitted-want) > 0.002 {
		t.Errorf("%v of the ops may leave before an answer, want %v", admitted, want)
	}
	server.respondedSinceStart = true
	for n := range 4 { // two mean ops a window, whatever their draws
		if got := engine.slowStartAllows(server, 2, 0, reserveDemand); got != (n < 2) {
			t.Errorf("op %d of a window may leave: %v", n+1, got)
		}
		server.sentLog = append(server.sentLog, struct {
			at    time.Duration
			units float64
		}{engine.now, 2})
	}
}
