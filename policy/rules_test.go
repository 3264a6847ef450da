package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

// randomSettings draws settings, including some that no deployment has.
func randomSettings(rng *rand.Rand) *honeyplank.Settings {
	settings := testSettings()
	first, second := &settings.OpTypes[0], &settings.OpTypes[1]
	first.Semantics, second.Semantics = honeyplank.Semantics(rng.Intn(3)), honeyplank.Semantics(rng.Intn(3))
	first.DedupScope, second.DedupScope = honeyplank.DedupScope(rng.Intn(3)), honeyplank.DedupScope(rng.Intn(3))
	first.Ordered, second.Ordered = rng.Intn(2) == 0, rng.Intn(2) == 0
	first.DedupWindow = time.Duration(rng.Intn(600)) * ms
	settings.Dispatches.HedgingAllowed, settings.Dispatches.Max = rng.Intn(2) == 0, rng.Intn(5)
	settings.Dispatches.CancelAllowed = rng.Intn(4) > 0
	settings.Instances, settings.OrderSettle = 1+rng.Intn(3), time.Duration(rng.Intn(150))*ms
	if rng.Intn(2) == 0 {
		free := float64(rng.Intn(3))
		settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: free, Share: 0.1, Window: 500 * ms}
	}
	settings.Plans[0].Limit, settings.Plans[0].Burst = float64(30*rng.Intn(2)), 36
	settings.Dispatches.ConnectTimeout = time.Duration(rng.Intn(2)*rng.Intn(300)) * ms
	settings.SlowStart = honeyplank.SlowStartSettings{From: 0.2, Units: 20, Time: 2 * time.Second, Window: 300 * ms}
	settings.Watch.OnRequest, settings.Watch.Within = rng.Intn(2) == 0, time.Second
	settings.RetryAfter.Allowed, settings.RetryAfter.Max = rng.Intn(2) == 0, 500*ms
	settings.Usage.Period = time.Duration(rng.Intn(2)) * time.Second
	settings.Usage.Elsewhere = settings.RetryAfter.Allowed
	dropSettings(rng, settings)
	if rng.Intn(4) == 0 {
		changeOpTypes(settings, func(opType *honeyplank.OpType) { opType.TargetLatency = 0 })
		changePlans(settings, func(plan *honeyplank.Plan) { plan.Weight = 0 })
	}
	return settings
}

// dropSettings drops up to three settings, whose absence the module must tolerate.
func dropSettings(rng *rand.Rand, settings *honeyplank.Settings) {
	drop := []func(){
		func() { settings.OpTypes = nil },
		func() { changeOpTypes(settings, func(opType *honeyplank.OpType) { opType.Utility = 0 }) },
		func() { settings.Plans = nil },
		func() { changePlans(settings, func(plan *honeyplank.Plan) { plan.Reserve = 0 }) },
		func() { changePlans(settings, func(plan *honeyplank.Plan) { plan.Rate = 0 }) },
		func() { settings.LargestUnits = 0 },
		func() { changeOpTypes(settings, func(opType *honeyplank.OpType) { opType.Semantics = 0 }) },
		func() { settings.Instances = 0 },
	}
	for i := range rng.Intn(2) * rng.Intn(4) {
		drop[(i+rng.Intn(len(drop)))%len(drop)]()
	}
}

// changeOpTypes changes each op type of settings.
func changeOpTypes(settings *honeyplank.Settings, change func(*honeyplank.OpType)) {
	for i := range settings.OpTypes {
		change(&settings.OpTypes[i])
	}
}

// changePlans changes each plan of settings.
func changePlans(settings *honeyplank.Settings, change func(*honeyplank.Plan)) {
	for i := range settings.Plans {
		change(&settings.Plans[i])
	}
}

// fuzzedCodes are the codes with which dispatches of FuzzRules end. Succeeded is the most frequent.
var fuzzedCodes = []honeyplank.Code{
	honeyplank.Succeeded, honeyplank.Succeeded, honeyplank.Succeeded, honeyplank.Succeeded,
	honeyplank.Failed, honeyplank.Rejected, honeyplank.TimedOut, honeyplank.ConnectFailed,
	honeyplank.Reset, honeyplank.Cancelled, honeyplank.NotSent,
}

// FuzzRules simulates random events for several instances and checks every action against the
// model. At each step the module and the model must also agree on what each queued op may do.
func FuzzRules(f *testing.F) {
	for seed := range int64(16) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		fleet := newFuzzedFleet(t, seed)
		for step := range 1500 {
			fleet.admitRandomOps(step)
			fleet.sendRandomEvent()
			fleet.advance(fuzzedCodes)
			fleet.compareRules()
		}
		if fleet.succeeded == 0 {
			t.Error("no op succeeded")
		}
	})
}

// fuzzedFleet is a fleet with random events.
type fuzzedFleet struct {
	*testFleet
	events *rand.Rand // random source of the events, apart from that of the fleet
}

func newFuzzedFleet(t *testing.T, seed int64) *fuzzedFleet {
	t.Helper()
	events := rand.New(rand.NewSource(seed))
	fleet := &fuzzedFleet{testFleet: newTestFleet(t, seed, randomSettings(events)), events: events}
	fleet.now = time.Second
	saved := rand.New(rand.NewSource(seed + 1))
	for instance := range saved.Intn(2) * len(fleet.instances) {
		fleet.handle(instance, randomEstimates(saved))
	}
	fleet.sendList(honeyplank.Cached, membersUpTo(4)...)
	return fleet
}

// randomEstimates returns saved estimates of any age, including future ones.
func randomEstimates(rng *rand.Rand) honeyplank.SavedEstimates {
	return honeyplank.SavedEstimates{
		TypicalLatency: rng.Float64(),
		Servers: []honeyplank.ServerEstimate{
			{
				Server:      "osd0",
				At:          time.Duration(rng.Intn(4000)-2000) * ms,
				BestPerUnit: rng.Float64() * 0.1,
				Latency:     rng.Float64(),
			},
			{Server: "osd9", Latency: 3},
		},
	}
}

// admitRandomOps sends up to two ops to random instances. Their timeouts are those of testSettings,
// even if the settings of the fleet have no op types.
func (fleet *fuzzedFleet) admitRandomOps(step int) {
	rng := fleet.events
	for range rng.Intn(3) {
		opType := rng.Intn(2)
		left := testSettings().OpTypes[opType].OpTimeout / time.Duration(1+rng.Intn(20))
		instance := rng.Intn(len(fleet.instances))
		fleet.handle(instance, honeyplank.Op{
			ID:        honeyplank.OpID(fmt.Sprint(step, fleet.rng.Int63())),
			Units:     float64(1 + rng.Intn(6)),
			Deadline:  fleet.now + left,
			Type:      opType,
			HasKey:    true,
			Key:       int64(rng.Intn(6)),
			Instances: len(fleet.instances),
			Volume:    int64(rng.Intn(5)),
			Cell:      rng.Intn(5) - 1,
		})
	}
}

// sendRandomEvent sends an event other than a new op or the end of a dispatch, or none.
func (fleet *fuzzedFleet) sendRandomEvent() {
	rng := fleet.events
	kind := rng.Intn(150)
	server := rng.Intn(4)
	if len(fleet.order) == 0 {
		return
	}
	switch kind {
	case 0: // a restart
		fleet.sendList(honeyplank.Delta, member(server, fleet.now))
	case 1:
		fleet.sendList(honeyplank.Delta, memberInState(server, honeyplank.MemberState(1+rng.Intn(2))))
	case 2:
		fleet.sendList(honeyplank.WatchFailed)
	case 3:
		fleet.closeClient(fleet.order[rng.Intn(len(fleet.order))])
	case 4:
		fleet.sendUnknown()
	case 5:
		fleet.startResponse(fleet.order[rng.Intn(len(fleet.order))])
	}
}

// closeClient closes the client of an op that has no answer.
func (fleet *fuzzedFleet) closeClient(op *trackedOp) {
	if !op.answered {
		op.answered = true
		fleet.handle(op.instance, honeyplank.ClientGone{Op: op.ID})
	}
}

// sendUnknown sends events of an unknown op, server, timer and peer, which must do no harm.
func (fleet *fuzzedFleet) sendUnknown() {
	fleet.handle(0, honeyplank.Outcome{Op: "none", Server: "osd1", Code: honeyplank.Succeeded})
	fleet.handle(0, honeyplank.Outcome{Server: "none", Code: honeyplank.Reset})
	fleet.handle(0, honeyplank.Timer{ID: "none"})
	fleet.handle(0, honeyplank.PeerMessage{From: -1})
}

// startResponse starts the streamed answer to the outstanding dispatch of an op, if the dispatch
// ends before the op times out.
func (fleet *fuzzedFleet) startResponse(op *trackedOp) {
	if op.answered || !op.outstanding() || fleet.dispatchEnds[op.ID] >= op.Deadline-10*ms {
		return
	}
	op.responseStarted = true
	fleet.handle(op.instance, honeyplank.ResponseStarted{Op: op.ID, Dispatch: len(op.dispatched) - 1})
}

// compareRules compares what the module and the model allow for each queued op.
func (fleet *fuzzedFleet) compareRules() {
	fleet.t.Helper()
	for _, tracked := range fleet.order {
		engine := fleet.instances[tracked.instance]
		queued := engine.ops[tracked.ID]
		if tracked.answered || tracked.responseStarted || queued == nil {
			continue
		}
		engine.now = fleet.now
		module := []bool{engine.rejectIsSafe(queued), engine.isNextOfKey(queued), engine.retryBudgetAllows()}
		model := []bool{
			fleet.mayReject(tracked), fleet.isNextOfKey(tracked), fleet.withinRetryBudget(tracked.instance),
		}
		for _, server := range engine.serversByID {
			latency := time.Duration(engine.expectedLatency(server, queued.Type) * float64(time.Second))
			after := fleet.settings.Dispatches.ConnectTimeout + maxProcessPause + latency
			module = append(module, engine.retryAllowed(queued, server))
			model = append(model, fleet.mayRetry(tracked, server.ID, after))
		}
		if !reflect.DeepEqual(module, model) {
			fleet.t.Fatalf("%s: rejection, order, retry budget, retry at each server: module %v, model %v",
				tracked.ID, module, model)
		}
	}
}

// TestSameEventsSameActions checks that two instances with the same seed return the same actions
// for the same events.
func TestSameEventsSameActions(t *testing.T) {
	first, second := New(7, testSettings()), New(7, testSettings())
	for i := range 300 {
		now := time.Duration(i) * ms
		op := honeyplank.Op{
			ID: honeyplank.OpID(fmt.Sprint(i)), Units: 2, Deadline: 2 * time.Second,
			Volume: int64(i % 9), Cell: i%4 - 1,
		}
		events := []honeyplank.Event{honeyplank.List{Members: membersUpTo(3)}, op, honeyplank.Timer{ID: sweepTimer}}
		for _, event := range events {
			if !reflect.DeepEqual(first.Handle(now, event), second.Handle(now, event)) {
				t.Fatalf("two instances differ at %v on %+v", now, event)
			}
		}
	}
}
