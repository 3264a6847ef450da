package policy

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"honeyplank"
)

// scheduledEvent is an event to come.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	event    honeyplank.Event
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// loadScenario is a fleet under a load of so many times what it serves: servers that serve 1,000 units a second each, one
// op after another, and volumes whose ops come at random, to one scheduler. All is simulated.
type loadScenario struct {
	servers, volumes int
	load             float64
	metered          bool // answers report what a volume is served everywhere
	keyRuns          bool // ops have keys, and come as runs of them
}

// overload settings: one op type, one plan.
func (scenario loadScenario) settings() *honeyplank.Settings {
	settings := testSettings()
	settings.OpTypes.TargetLatency, settings.OpTypes.OpTimeout = []time.Duration{200 * ms}, []time.Duration{1200 * ms}
	settings.OpTypes.Semantics, settings.OpTypes.DedupScope, settings.OpTypes.DedupWindow = []honeyplank.Semantics{0}, []honeyplank.DedupScope{0}, []time.Duration{0}
	rate := 1000 * float64(scenario.servers) / float64(scenario.volumes)
	settings.Plans.Rate, settings.Plans.Reserve, settings.MeanUnits, settings.LargestUnits = []float64{rate}, []float64{rate / 2}, 1.0, 4.0
	settings.Usage.Period = time.Second
	return settings
}

// play runs it for a span and hands each event to handle, which returns the actions.
func (scenario loadScenario) play(seed int64, length time.Duration, handle func(time.Duration, honeyplank.Event) []honeyplank.Action) (ops int) {
	rng := rand.New(rand.NewSource(seed))
	var events eventQueue
	sequence := 0
	add := func(at time.Duration, event honeyplank.Event) {
		sequence++
		heap.Push(&events, scheduledEvent{at, sequence, event})
	}
	now, free := time.Second, make([]time.Duration, scenario.servers)
	var members []honeyplank.Member
	for i := range scenario.servers {
		members = append(members, member(i, 0))
	}
	add(now, honeyplank.List{Kind: honeyplank.Complete, Members: members})
	each := time.Duration(float64(time.Second) / (1000 * float64(scenario.servers) * scenario.load))
	next, key := now, int64(0)
	type taken struct {
		honeyplank.Op
		sends int
	}
	open := map[honeyplank.OpID]*taken{}
	for now < time.Second+length {
		var event honeyplank.Event
		if len(events) == 0 || next < events[0].at {
			now = next
			next += time.Duration(rng.ExpFloat64() * float64(each))
			if rng.Intn(4) == 0 {
				key = rng.Int63n(1000)
			}
			ops++
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(ops)), Units: 1, Timeout: now + 1200*ms, Volume: int64(rng.Intn(scenario.volumes)), Cell: rng.Intn(scenario.servers), Instances: 1}
			if scenario.keyRuns {
				op.HasKey, op.Key, op.Units = true, key, float64(1+rng.Intn(3))
			}
			open[op.ID] = &taken{Op: op}
			event = op
		} else {
			upcoming := heap.Pop(&events).(scheduledEvent)
			now, event = upcoming.at, upcoming.event
			if outcome, ok := event.(honeyplank.Outcome); ok {
				delete(open, outcome.Op)
			}
		}
		for _, action := range handle(now, event) {
			switch action := action.(type) {
			case honeyplank.Dispatch:
				op := open[action.Op]
				at := -1
				fmt.Sscanf(string(action.Server), "osd%d", &at)
				free[at] = max(free[at], now) + time.Duration(op.Units*float64(ms))
				outcome := honeyplank.Outcome{Op: action.Op, Dispatch: op.sends, Server: action.Server, Code: honeyplank.Succeeded, Answered: true, Elapsed: free[at] - now}
				if scenario.metered {
					outcome.QuotaUsed = 1 + rng.Intn(150)
				}
				op.sends++
				add(free[at], outcome)
			case honeyplank.Reject:
				delete(open, action.Op)
			case honeyplank.SetTimer:
				add(action.At, honeyplank.Timer{ID: action.ID})
			}
		}
	}
	return ops
}

// loadScenarios are those that the table of docs/cost.md shows.
var loadScenarios = map[string]loadScenario{
	"half of 10":     {servers: 10, volumes: 100, load: 0.5},
	"twice 10":       {servers: 10, volumes: 100, load: 2},
	"five of 10":     {servers: 10, volumes: 100, load: 5},
	"twice 100":      {servers: 100, volumes: 100, load: 2},
	"one volume":     {servers: 10, volumes: 1, load: 2},
	"runs":           {servers: 10, volumes: 100, load: 2, keyRuns: true},
	"ten of 10":      {servers: 10, volumes: 100, load: 10},
	"10,000 volumes": {servers: 10, volumes: 10000, load: 2},
	"late meters":    {servers: 10, volumes: 100, load: 2, metered: true},
}

// BenchmarkLoadScenarios is the cost of an op in the module, handled events only, over half a second of each scenario.
func BenchmarkLoadScenarios(b *testing.B) {
	for name, scenario := range loadScenarios {
		b.Run(name, func(b *testing.B) {
			var spent time.Duration
			ops, held, events := 0, 0, 0
			for b.Loop() {
				engine := New(5, scenario.settings())
				ops += scenario.play(5, 500*ms, func(now time.Duration, e honeyplank.Event) []honeyplank.Action {
					began := time.Now()
					out := engine.Handle(now, e)
					spent += time.Since(began)
					if events++; events%1000 == 0 {
						held = max(held, engine.queuedOps())
					}
					return out
				})
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(ops), "us/op")
			b.ReportMetric(float64(held), "held")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// queuedOps is how many ops are held.
func (e *Engine) queuedOps() (n int) {
	for p := e.firstQueued; p != nil; p = p.nextQueued {
		n++
	}
	return n
}
