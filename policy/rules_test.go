package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

// randomSettings draws settings, also such as no site has today.
func randomSettings(rng *rand.Rand) *honeyplank.Settings {
	settings := testSettings()
	settings.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.Semantics(rng.Intn(3)), honeyplank.Semantics(rng.Intn(3))}
	settings.OpTypes.DedupScope = []honeyplank.DedupScope{honeyplank.DedupScope(rng.Intn(3)), honeyplank.DedupScope(rng.Intn(3))}
	settings.OpTypes.Ordered = []bool{rng.Intn(2) == 0, rng.Intn(2) == 0}
	settings.OpTypes.DedupWindow = []time.Duration{time.Duration(rng.Intn(600)) * ms, time.Second}
	settings.Dispatches.HedgingAllowed, settings.Dispatches.Max = rng.Intn(2) == 0, rng.Intn(5)
	settings.Dispatches.CancelAllowed = rng.Intn(4) > 0
	settings.Instances, settings.OrderSettle = 1+rng.Intn(3), time.Duration(rng.Intn(150))*ms
	if rng.Intn(2) == 0 {
		settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: float64(rng.Intn(3)), Share: 0.1, Window: 500 * ms}
	}
	settings.Plans.Limit, settings.Plans.Burst = []float64{float64(30 * rng.Intn(2))}, []float64{36}
	settings.Dispatches.ConnectTimeout = time.Duration(rng.Intn(2)*rng.Intn(300)) * ms
	settings.SlowStart.From, settings.SlowStart.Units, settings.SlowStart.Time, settings.SlowStart.Window = 0.2, 20.0, 2*time.Second, 300*ms
	settings.Watch.OnRequest, settings.Watch.Within = rng.Intn(2) == 0, time.Second
	settings.RetryAfter.Allowed, settings.RetryAfter.Max = rng.Intn(2) == 0, 500*ms
	settings.Usage.Period = time.Duration(rng.Intn(2)) * time.Second
	settings.Usage.Elsewhere = settings.RetryAfter.Allowed
	odd := []func(){
		func() { settings.OpTypes.TargetLatency = nil }, func() { settings.OpTypes.Utility = nil }, func() { settings.Plans.Weight = nil },
		func() { settings.Plans.Reserve = nil }, func() { settings.Plans.Rate = nil }, func() { settings.LargestUnits = 0 },
		func() { settings.OpTypes.Semantics = nil }, func() { settings.Instances = 0 },
	}
	for i := range rng.Intn(2) * rng.Intn(4) { // odd but legal: absent
		odd[(i+rng.Intn(8))%8]()
	}
	if rng.Intn(4) == 0 {
		settings.Plans.Weight, settings.OpTypes.TargetLatency = []float64{0}, []time.Duration{0, 0}
	}
	return settings
}

// FuzzRules plays generated days to several instances and holds every action to the model. At each step the
// module and the model must also agree on what each held op may do.
func FuzzRules(f *testing.F) {
	for seed := range int64(16) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		rng := rand.New(rand.NewSource(seed))
		fleet := newTestFleet(t, seed, randomSettings(rng))
		codes := []honeyplank.Code{1, 1, 1, 1, 2, 3, 4, 5, 6, 7, 8}
		fleet.now = time.Second
		before := rand.New(rand.NewSource(seed + 1))
		for i := range before.Intn(2) * len(fleet.instances) { // some have knew before, also nonsense
			fleet.handle(i, honeyplank.SavedEstimates{TypicalLatency: before.Float64(), Servers: []honeyplank.ServerEstimate{{Server: "osd0",
				At: time.Duration(before.Intn(4000)-2000) * ms, BestPerUnit: before.Float64() * 0.1, Latency: before.Float64()}, {Server: "osd9", Latency: 3}}})
		}
		fleet.sendList(honeyplank.Cached, member(0, 0), member(1, 0), member(2, 0), member(3, 0))
		for n := 0; n < 1500; n++ {
			for range rng.Intn(3) {
				opType := rng.Intn(2)
				left := valueAt(fleet.settings.OpTypes.OpTimeout, opType) / time.Duration(1+rng.Intn(20))
				fleet.handle(rng.Intn(len(fleet.instances)), honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(n, fleet.rng.Int63())),
					Units: float64(1 + rng.Intn(6)), Timeout: fleet.now + left, Type: opType, HasKey: true,
					Key: int64(rng.Intn(6)), Instances: len(fleet.instances), Volume: int64(rng.Intn(5)), Cell: rng.Intn(5) - 1})
			}
			kind := rng.Intn(150)
			if len(fleet.order) == 0 {
				kind = -1
			}
			switch server := rng.Intn(4); kind {
			case 0: // a restart
				fleet.sendList(honeyplank.Delta, member(server, fleet.now))
			case 1:
				gone := member(server, 0)
				gone.State = honeyplank.MemberState(1 + rng.Intn(2))
				fleet.sendList(honeyplank.Delta, gone)
			case 2:
				fleet.sendList(honeyplank.WatchFailed)
			case 3: // the client leaves
				if tracked := fleet.order[rng.Intn(len(fleet.order))]; !tracked.answered {
					tracked.answered = true
					fleet.handle(tracked.instance, honeyplank.ClientGone{Op: tracked.ID})
				}
			case 4: // nothing of an unknown op, server or timer may do harm, nor a garbled message
				fleet.handle(0, honeyplank.Outcome{Op: "none", Server: "osd1", Code: 1})
				fleet.handle(0, honeyplank.Outcome{Server: "none", Code: 6})
				fleet.handle(0, honeyplank.Timer{ID: "none"})
				fleet.handle(0, honeyplank.PeerMessage{From: -1})
			case 5: // a stream begins
				tracked := fleet.order[rng.Intn(len(fleet.order))]
				if k := len(tracked.dispatched); !tracked.answered && k > 0 && !tracked.dispatched[k-1].done && fleet.dispatchEnds[tracked.ID] < tracked.Timeout-10*ms {
					tracked.responseStarted = true
					fleet.handle(tracked.instance, honeyplank.ResponseStarted{Op: tracked.ID, Dispatch: k - 1})
				}
			}
			fleet.advance(codes)
			fleet.compareRules()
		}
		if fleet.succeeded == 0 {
			t.Error("no op succeeded")
		}
	})
}

func (fleet *testFleet) compareRules() {
	for _, tracked := range fleet.order {
		engine, held := fleet.instances[tracked.instance], fleet.instances[tracked.instance].ops[tracked.ID]
		if tracked.answered || tracked.responseStarted || held == nil {
			continue
		}
		engine.now = fleet.now
		module, model := []bool{engine.rejectIsSafe(held), engine.isNextOfKey(held), engine.retryBudgetAllows()}, []bool{fleet.mayReject(tracked), fleet.isNextOfKey(tracked), fleet.withinRetryBudget(tracked.instance)}
		for _, server := range engine.serversByID {
			after := fleet.settings.Dispatches.ConnectTimeout + longestHoldUp + time.Duration(engine.expectedLatency(server, held.Type)*float64(time.Second))
			module, model = append(module, engine.retryAllowed(held, server)), append(model, fleet.mayRetry(tracked, server.ID, after))
		}
		if !reflect.DeepEqual(module, model) {
			fleet.t.Fatalf("%s: rejection, order, budget, retry at each: module %v, model %v", tracked.ID, module, model)
		}
	}
}

// Same events, same actions: two instances with one seed act alike.
func TestSameEventsSameActions(t *testing.T) {
	a, b := New(7, testSettings()), New(7, testSettings())
	for i := range 300 {
		for _, tracked := range []honeyplank.Event{honeyplank.List{Members: []honeyplank.Member{member(0, 0), member(1, 0), member(2, 0)}},
			honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 2, Timeout: 2 * time.Second, Volume: int64(i % 9), Cell: i%4 - 1},
			honeyplank.Timer{ID: sweepTimer}} {
			if now := time.Duration(i) * ms; !reflect.DeepEqual(a.Handle(now, tracked), b.Handle(now, tracked)) {
				t.Fatalf("two instances differ at %v on %+v", now, tracked)
			}
		}
	}
}
