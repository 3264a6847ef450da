package policy

import (
	"math"
	"testing"
	"time"

	"honeyplank"
)

// slowStartScenarios cover few and many instances, even and skewed traffic, a hot cell, retries of
// all clients, different demand on the other servers, connections that are established late,
// servers that start twice or several at once, and more or fewer instances than the settings state.
// At most a tenth more run than stated, because an instance cannot find out how many others run.
var slowStartScenarios = []slowStartFleet{
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
	{
		instances: 300, budget: 12, demand: 6, otherDemand: 2,
		volumeInstances: 1, hotVolume: true, retries: true,
	},
	{
		instances: 1, budget: 2, demand: 6, otherDemand: 1,
		burst: 1.5, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 1, budget: 500, demand: 3, otherDemand: 0.2,
		connectDelay: 1500 * ms, connectTimeout: time.Second,
	},
	{
		instances: 2, budget: 30, demand: 4, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2500 * ms,
	},
	{
		instances: 5, budget: 2, demand: 6, otherDemand: 6,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, restarts: 4,
	},
	{
		instances: 5, budget: 120, demand: 3, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true, restarts: 4,
	},
	{
		instances: 5, budget: 120, demand: 3, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: time.Second, secondStart: 2 * time.Second, burst: 2,
	},
	{
		instances: 20, budget: 29, demand: 3, otherDemand: 3,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5,
	},
	{
		instances: 20, budget: 30, demand: 3, otherDemand: 1,
		connectDelay: 900 * ms, connectTimeout: time.Second, retries: true,
	},
	{
		instances: 20, budget: 500, demand: 2, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, skewed: true,
	},
	{
		instances: 300, budget: 2, demand: 6, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 300, budget: 30, demand: 3, otherDemand: 3,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2 * time.Second,
	},
	{
		instances: 300, budget: 60, demand: 3, otherDemand: 3,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5, restarts: 4,
	},
	{
		instances: 300, budget: 500, demand: 1.5, otherDemand: 0.5,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 900, budget: 12, demand: 6, otherDemand: 2,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true,
	},
	{
		instances: 900, budget: 200, demand: 2, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 30, configuredInstances: 60, budget: 60, demand: 3, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 33, configuredInstances: 30, budget: 60, demand: 3, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
	{
		instances: 330, configuredInstances: 300, budget: 60, demand: 3, otherDemand: 1,
		connectDelay: 1500 * ms, connectTimeout: 2 * time.Second,
	},
}

// TestSlowStartFleet checks that whatever the demand on a fleet is, all instances together send a
// server that has just started no more than its budget and the deviation that chance explains. Ops
// count when they arrive.
func TestSlowStartFleet(t *testing.T) {
	for _, scenario := range slowStartScenarios {
		t.Run(scenario.String(), func(t *testing.T) {
			t.Parallel()
			seeds := int64(2)
			if scenario.connectDelay > 0 && scenario.instances >= 300 {
				seeds = 1
			}
			for seed := int64(1); seed <= seeds; seed++ {
				worst, sent := scenario.simulate(seed)
				t.Logf("%+v: %.2f times the overload threshold, %d ops sent", fields(scenario), worst, sent)
				if worst > 1 {
					t.Errorf("%+v: %.2f times the overload threshold, want at most 1", fields(scenario), worst)
				}
			}
		})
	}
}

// TestSlowStartBudgetIsUsed checks that a server that has just started is sent a large part of its
// budget, even if its volumes come through a few of many instances. Ops on data that it holds
// cannot go elsewhere.
func TestSlowStartBudgetIsUsed(t *testing.T) {
	const least = 0.4
	for _, scenario := range []slowStartFleet{
		{instances: 25, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 12, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 1},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 3, withinReserve: true},
	} {
		t.Run(scenario.String(), func(t *testing.T) {
			budget := 0.0 // in mean-sized ops, over the five seconds of its slow start
			for second := range 5 {
				budget += scenario.budget * (0.21 + 0.79*(float64(second)+0.5)/5) / 0.21
			}
			_, sent := scenario.simulate(1)
			if part := float64(sent) / budget; part < least {
				t.Errorf("%+v: sent %.2f of the budget, want at least 0.4", fields(scenario), part)
			}
		})
	}
}

// TestSlowStartRandomAdmission checks that a restarted server is sent the intended share of its
// budget on average, even if the shares of a hundred instances are smaller than one op. Ops within
// their reserves are admitted first.
func TestSlowStartRandomAdmission(t *testing.T) {
	engine, server := slowStartEngine()
	sent := unitsByClass{}
	for draw := 0.0005; draw < 1; draw += 0.001 {
		for class := range demandClasses {
			if engine.slowStartAllows(server, 2, draw, class) {
				sent[class] += engine.demand[class].units / 20 / 1000
			}
		}
	}
	total := sent[reserveDemand] + sent[spareDemand]
	if total < 0.17 || total > 0.18 || sent[spareDemand] > 0.01 {
		t.Errorf("%v units a second on average, want seven eighths of a share of 0.2", sent)
	}
}

// TestSlowStartBeforeFirstAnswer checks that fewer ops are admitted before the first answer. Until
// then, connections may be established late, and all dispatches sent may arrive together.
func TestSlowStartBeforeFirstAnswer(t *testing.T) {
	engine, server := slowStartEngine()
	server.respondedSinceStart = false
	admitted := 0.0
	for draw := 0.0005; draw < 1; draw += 0.001 {
		if engine.slowStartAllows(server, 2, draw, reserveDemand) {
			admitted += 1.0 / 1000
		}
	}
	if want := 0.175 / (0.5 * (1 + processPause.Seconds())); math.Abs(admitted-want) > 0.002 {
		t.Errorf("share of ops that may be dispatched before the first answer: %v, want %v", admitted, want)
	}
}

// TestSlowStartMaxOps checks that an instance sends at most two mean-sized ops within a window,
// whatever their admission draws are.
func TestSlowStartMaxOps(t *testing.T) {
	engine, server := slowStartEngine()
	for n := range 4 {
		if got := engine.slowStartAllows(server, 2, 0, reserveDemand); got != (n < 2) {
			t.Errorf("op %d of a window may be dispatched: %v, want true for two ops only", n+1, got)
		}
		server.sentLog = append(server.sentLog, sentUnits{engine.now, 2})
	}
}

// slowStartEngine returns one of a hundred instances, with a demand of 10 units a second within
// reserves and of 30 beyond them on 20 servers, and one of these servers that has just started,
// with a budget of 20 units a second.
func slowStartEngine() (*Engine, *server) {
	settings := testSettings()
	settings.SlowStart = honeyplank.SlowStartSettings{From: 0.2, Units: 20, Time: time.Minute, Window: time.Second}
	settings.Instances, settings.MeanUnits = 100, 2
	engine := New(1, settings)
	engine.now, engine.serversUp = time.Minute, 20
	engine.demand = ratesByClass{{units: 10, time: 1}, {units: 30, time: 1}}
	return engine, &server{Member: member(0, engine.now), respondedSinceStart: true}
}
