package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"honeyplank"
)

// loadScenario is one instance and a fleet under a load that is given as a multiple of the fleet's
// capacity. Each server serves 1,000 units a second, one op after another, and the ops of the
// volumes arrive at random. Everything is simulated.
type loadScenario struct {
	servers, volumes int
	load             float64
	metered          bool // answers report the units served to a volume through all instances
	keyRuns          bool // ops have keys, and arrive in runs of ops with one key
}

// unitsPerSecond is the capacity of a server in a loadScenario, in units a second.
const unitsPerSecond = 1000

// settings returns settings with one op type and one plan.
func (scenario loadScenario) settings() *honeyplank.Settings {
	settings := testSettings()
	settings.OpTypes = []honeyplank.OpType{{
		TargetLatency: 200 * ms,
		OpTimeout:     1200 * ms,
		Utility:       2,
		Semantics:     honeyplank.Idempotent,
		DedupScope:    honeyplank.ScopeAll,
	}}
	rate := unitsPerSecond * float64(scenario.servers) / float64(scenario.volumes)
	settings.Plans[0].Rate, settings.Plans[0].Reserve = rate, rate/2
	settings.MeanUnits, settings.LargestUnits = 1, 4
	settings.Usage.Period = time.Second
	return settings
}

// eventHandler handles an event at a time and returns the actions.
type eventHandler func(now time.Duration, event honeyplank.Event) []honeyplank.Action

// loadRun is a run of a loadScenario with its own clock.
type loadRun struct {
	loadScenario
	rng    *rand.Rand
	handle eventHandler
	now    time.Duration
	events eventQueue
	freeAt []time.Duration // by server: the time at which it has served all ops dispatched to it
	open   map[honeyplank.OpID]*simulatedOp
	ops    int // sent so far
	nextOp time.Duration
	key    int64 // of the current run of keys
}

// simulatedOp is an op and the number of its dispatches.
type simulatedOp struct {
	honeyplank.Op
	dispatches int
}

// simulate runs the scenario for a time and returns the number of ops.
func (scenario loadScenario) simulate(seed int64, length time.Duration, handle eventHandler) int {
	run := &loadRun{
		loadScenario: scenario,
		rng:          rand.New(rand.NewSource(seed)),
		handle:       handle,
		now:          time.Second,
		freeAt:       make([]time.Duration, scenario.servers),
		open:         map[honeyplank.OpID]*simulatedOp{},
		nextOp:       time.Second,
	}
	run.events.add(run.now, honeyplank.List{Kind: honeyplank.Complete, Members: membersUpTo(scenario.servers)})
	for end := run.now + length; run.now < end; {
		for _, action := range run.handleNext() {
			run.carryOut(action)
		}
	}
	return run.ops
}

// handleNext sends the next event or op to the module and returns the actions.
func (run *loadRun) handleNext() []honeyplank.Action {
	if run.events.empty() || run.nextOp < run.events.nextAt() {
		run.now = run.nextOp
		return run.handle(run.now, run.newOp())
	}
	next := run.events.next()
	run.now = next.at
	if outcome, ok := next.event.(honeyplank.Outcome); ok {
		delete(run.open, outcome.Op)
	}
	return run.handle(run.now, next.event)
}

// newOp returns the op that arrives now, and sets the arrival time of the next one.
func (run *loadRun) newOp() honeyplank.Op {
	interval := time.Duration(float64(time.Second) / (unitsPerSecond * float64(run.servers) * run.load))
	run.nextOp += time.Duration(run.rng.ExpFloat64() * float64(interval))
	if run.rng.Intn(4) == 0 {
		run.key = run.rng.Int63n(1000)
	}
	run.ops++
	op := honeyplank.Op{
		ID:        honeyplank.OpID(fmt.Sprint(run.ops)),
		Units:     1,
		Deadline:  run.now + 1200*ms,
		Volume:    int64(run.rng.Intn(run.volumes)),
		Cell:      run.rng.Intn(run.servers),
		Instances: 1,
	}
	if run.keyRuns {
		op.HasKey, op.Key, op.Units = true, run.key, float64(1+run.rng.Intn(3))
	}
	run.open[op.ID] = &simulatedOp{Op: op}
	return op
}

// carryOut carries out an action of the module.
func (run *loadRun) carryOut(action honeyplank.Action) {
	switch action := action.(type) {
	case honeyplank.Dispatch:
		run.dispatch(action)
	case honeyplank.Reject:
		delete(run.open, action.Op)
	case honeyplank.SetTimer:
		run.events.add(action.At, honeyplank.Timer{ID: action.ID})
	}
}

// dispatch lets a server answer an op once it has served all ops dispatched to it before.
func (run *loadRun) dispatch(action honeyplank.Dispatch) {
	op, server := run.open[action.Op], memberNumber(action.Server)
	run.freeAt[server] = max(run.freeAt[server], run.now) + time.Duration(op.Units*float64(time.Second/unitsPerSecond))
	outcome := honeyplank.Outcome{
		Op:       action.Op,
		Dispatch: op.dispatches,
		Server:   action.Server,
		Code:     honeyplank.Succeeded,
		Answered: true,
		Elapsed:  run.freeAt[server] - run.now,
	}
	if run.metered {
		outcome.QuotaUsed = 1 + run.rng.Intn(150)
	}
	op.dispatches++
	run.events.add(run.freeAt[server], outcome)
}

// loadScenarios are the scenarios in the table of docs/cost.md.
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

// BenchmarkLoadScenarios measures the cost of an op in the module, which is the time in Handle
// alone, over half a second of each scenario.
func BenchmarkLoadScenarios(b *testing.B) {
	for name, scenario := range loadScenarios {
		b.Run(name, func(b *testing.B) {
			var spent time.Duration
			ops, queued, events := 0, 0, 0
			for b.Loop() {
				engine := New(5, scenario.settings())
				ops += scenario.simulate(5, 500*ms,
					func(now time.Duration, event honeyplank.Event) []honeyplank.Action {
						began := time.Now()
						actions := engine.Handle(now, event)
						spent += time.Since(began)
						if events++; events%1000 == 0 {
							queued = max(queued, engine.queuedOps())
						}
						return actions
					})
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(ops), "us/op")
			b.ReportMetric(float64(queued), "queued")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// queuedOps returns the number of queued ops.
func (e *Engine) queuedOps() (count int) {
	for op := e.firstQueued; op != nil; op = op.nextQueued {
		count++
	}
	return count
}
