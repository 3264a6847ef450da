package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"honeyplank"
)

const ms = time.Millisecond

// testSettings are settings with two op types and one plan; tests change what they are about.
func testSettings() *honeyplank.Settings {
	return &honeyplank.Settings{
		OpTypes: honeyplank.OpTypeSettings{
			TargetLatency: []time.Duration{200 * ms, 1500 * ms},
			OpTimeout:     []time.Duration{1200 * ms, 5000 * ms},
			Utility:       []float64{2, 1},
			Semantics:     []honeyplank.Semantics{0, 0},
			DedupScope:    []honeyplank.DedupScope{0, 0},
			DedupWindow:   []time.Duration{time.Second, time.Second},
		},
		Plans: honeyplank.PlanSettings{Rate: []float64{20}, Reserve: []float64{10}, Weight: []float64{1},
			Limit: []float64{0}, Burst: []float64{0}, Slack: []float64{0}},
		Instances: 1, Step: 2 * ms, Dispatches: honeyplank.DispatchSettings{Max: 4}, LargestUnits: 6,
		AnswerGrace: 8 * ms, DrainGrace: 250 * ms,
	}
}

// ruleModel is a slow, plain reading of the rules. It sees what every instance receives and does.
type ruleModel struct {
	settings     *honeyplank.Settings
	now          time.Duration
	ops          map[honeyplank.OpID]*trackedOp
	order        []*trackedOp // as taken
	servers      map[honeyplank.ServerID]honeyplank.Member
	stoppedSince map[honeyplank.ServerID]time.Duration // since when an instance was notified that it drains or is gone
	slowStart    map[honeyplank.ServerID][]slowStartDispatch
	limitUsed    map[int64]float64 // out of the limit's bucket
	limitUsedAt  map[int64]time.Duration
	retries      map[int][]time.Duration
	violations   []string
}

type trackedOp struct {
	honeyplank.Op
	instance                  int
	admittedAt                time.Duration
	dispatched                []trackedDispatch
	answered, responseStarted bool
	settledAt                 time.Duration // until when its key rests after it
}

type trackedDispatch struct {
	cancelRequested  bool
	server           honeyplank.ServerID
	sentAt           time.Duration
	done, mayHaveRun bool
	notArrived       bool          // it reached no server
	endedAt          time.Duration // when it ended
}

// slowStartDispatch is a dispatch to a server, for the fourth rule.
type slowStartDispatch struct {
	op    *trackedOp
	index int
}

// mayArrive reports whether a dispatch made since a time may reach its server at another one or later.
func (sent slowStartDispatch) mayArrive(since, at time.Duration) bool {
	dispatch := sent.op.dispatched[sent.index]
	return dispatch.sentAt >= since && !dispatch.notArrived && (!dispatch.done || dispatch.endedAt >= at)
}

func (m *ruleModel) violate(rule int, format string, a ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v rule %d: ", m.now, rule)+fmt.Sprintf(format, a...))
}

// neverRan reports whether every dispatch of an op is known not to have run.
func (op *trackedOp) neverRan() bool {
	return !slices.ContainsFunc(op.dispatched, func(dispatch trackedDispatch) bool { return !dispatch.done || dispatch.mayHaveRun })
}

// mayRetry is the second rule for a retry, which is at work a time after its decision.
func (m *ruleModel) mayRetry(op *trackedOp, server honeyplank.ServerID, after time.Duration) bool {
	semantics, scope := m.semanticsOf(op)
	for _, dispatch := range op.dispatched {
		earlier, later := m.servers[dispatch.server], m.servers[server]
		drops := []bool{true, earlier.Zone == later.Zone, earlier.Cell == later.Cell}[scope] &&
			m.now+after-dispatch.sentAt < valueAt(m.settings.OpTypes.DedupWindow, op.Type)
		allowed := semantics == honeyplank.Idempotent || semantics == honeyplank.Deduplicated && drops
		if !dispatch.done && !m.settings.Dispatches.HedgingAllowed || (!dispatch.done || dispatch.mayHaveRun) && !allowed {
			return false
		}
	}
	return true
}

func (m *ruleModel) semanticsOf(op *trackedOp) (honeyplank.Semantics, honeyplank.DedupScope) {
	return valueAt(m.settings.OpTypes.Semantics, op.Type), valueAt(m.settings.OpTypes.DedupScope, op.Type)
}

// mayReject is the second rule for an answer.
func (m *ruleModel) mayReject(op *trackedOp) bool {
	semantics, scope := m.semanticsOf(op)
	return op.neverRan() || semantics == honeyplank.Idempotent || semantics == honeyplank.Deduplicated && scope == honeyplank.ScopeAll
}

// isNextOfKey is the fifth rule.
func (m *ruleModel) isNextOfKey(op *trackedOp) bool {
	if !op.HasKey || !valueAt(m.settings.OpTypes.Ordered, op.Type) {
		return true
	}
	for _, earlier := range m.order[:slices.Index(m.order, op)] {
		same := earlier.instance == op.instance && earlier.HasKey && earlier.Key == op.Key && valueAt(m.settings.OpTypes.Ordered, earlier.Type)
		if n := len(earlier.dispatched); same && (!earlier.answered || m.now < earlier.settledAt || n > 0 && !earlier.dispatched[n-1].done) {
			return false
		}
	}
	return true
}

// longestHoldUp is for how long a process may stand still between a decision and the dispatch.
const longestHoldUp = 150 * ms

// withinRetryBudget is the sixth rule, for one more retry, when this or earlier ones are delayed.
func (m *ruleModel) withinRetryBudget(instance int) bool {
	if !m.settings.RetryBudget.Limited {
		return true
	}
	from, admitted := m.now-m.settings.RetryBudget.Window, 0.0
	for _, op := range m.order {
		if op.instance == instance && op.admittedAt >= from+longestHoldUp {
			admitted++
		}
	}
	return float64(1+len(dropBefore(m.retries[instance], from-longestHoldUp))) <= m.settings.RetryBudget.Free+m.settings.RetryBudget.Share*admitted
}

func (m *ruleModel) dispatch(instance int, action honeyplank.Dispatch) {
	op := m.ops[action.Op]
	if op.answered {
		m.violate(1, "%s dispatched after its answer", action.Op)
	}
	server := m.servers[action.Server]
	if since, stopped := m.stoppedSince[action.Server]; stopped && m.now > since+m.settings.DrainGrace {
		m.violate(3, "%s goes to %s", action.Op, action.Server)
	}
	if op.Cell != honeyplank.NewObject && op.Cell != server.Cell {
		m.violate(2, "%s goes to a server without its data", action.Op)
	}
	if !m.mayRetry(op, action.Server, m.settings.Dispatches.ConnectTimeout+longestHoldUp) || len(op.dispatched) >= max(m.settings.Dispatches.Max, 1) {
		m.violate(2, "%s repeated", action.Op)
	}
	if !m.isNextOfKey(op) {
		m.violate(5, "%s out of order", action.Op)
	}
	if len(op.dispatched) > 0 {
		if !m.withinRetryBudget(instance) {
			m.violate(6, "%s past the budget", action.Op)
		}
		m.retries[instance] = append(m.retries[instance], m.now)
	} else if limit := valueAt(m.settings.Plans.Limit, op.Plan); limit > 0 {
		used := max(0, m.limitUsed[op.Volume]-limit*(m.now-m.limitUsedAt[op.Volume]).Seconds()) + op.Units
		m.limitUsed[op.Volume], m.limitUsedAt[op.Volume] = used, m.now
		if left := valueAt(m.settings.Plans.Burst, op.Plan) - used; left < -valueAt(m.settings.Plans.Slack, op.Plan) {
			m.violate(7, "volume %d at %.1f", op.Volume, left)
		}
	}
	op.dispatched = append(op.dispatched, trackedDispatch{server: action.Server, sentAt: m.now})
	m.slowStart[server.ID] = append(m.slowStart[server.ID], slowStartDispatch{op, len(op.dispatched) - 1})
	m.checkSlowStart(server)
}

// checkSlowStart is the fourth rule: all instances' units that may reach a server in slow start within one window.
func (m *ruleModel) checkSlowStart(server honeyplank.Member) {
	window, warmUp := m.settings.SlowStart.Window, m.settings.SlowStart.Time
	age := m.now - server.Started
	if window <= 0 || server.Started == 0 || age >= warmUp {
		return
	}
	sum, from := 0.0, m.settings.SlowStart.From
	for _, sent := range m.slowStart[server.ID] {
		if sent.mayArrive(server.Started, m.now-window) {
			sum += sent.op.Units
		}
	}
	budget := (from + (1-from)*float64(age)/float64(warmUp)) / from * m.settings.SlowStart.Units
	if sum > budget+1e-9 {
		m.violate(4, "%s gets %.1f of %.1f", server.ID, sum, budget)
	}
}

func (m *ruleModel) recordAnswer(id honeyplank.OpID, rejected bool) {
	op := m.ops[id]
	if op.answered || op.responseStarted || m.now > op.Timeout+m.settings.AnswerGrace {
		m.violate(1, "%s answered twice or late", id)
	}
	if rejected && !m.mayReject(op) {
		m.violate(2, "%s rejected", id)
	}
	op.answered = true
}

// testFleet feeds generated events to instances that share a fleet, and their actions to the model.
type testFleet struct {
	*ruleModel
	t               *testing.T
	rng             *rand.Rand
	instances       []*Engine
	timers          []map[honeyplank.TimerID]time.Duration
	dispatchEnds    map[honeyplank.OpID]time.Duration // when a dispatch that is outstanding ends
	succeeded       int
	longestDispatch time.Duration      // the most that a dispatch takes
	onWatch         func(instance int) // an instance asks for the watch
}

func newTestFleet(t *testing.T, seed int64, settings *honeyplank.Settings) *testFleet {
	fleet := &testFleet{t: t, longestDispatch: 400 * ms, onWatch: func(int) {}, rng: rand.New(rand.NewSource(seed)), dispatchEnds: map[honeyplank.OpID]time.Duration{}, ruleModel: &ruleModel{
		settings: settings, ops: map[honeyplank.OpID]*trackedOp{}, servers: map[honeyplank.ServerID]honeyplank.Member{},
		stoppedSince: map[honeyplank.ServerID]time.Duration{}, slowStart: map[honeyplank.ServerID][]slowStartDispatch{},
		limitUsed: map[int64]float64{}, limitUsedAt: map[int64]time.Duration{}, retries: map[int][]time.Duration{}}}
	for i := range max(settings.Instances, 1) {
		fleet.instances = append(fleet.instances, New(seed+int64(i), settings))
		fleet.timers = append(fleet.timers, map[honeyplank.TimerID]time.Duration{})
	}
	return fleet
}

// sendList sends a list to every instance.
func (fleet *testFleet) sendList(kind honeyplank.ListKind, members ...honeyplank.Member) {
	for _, member := range members {
		if _, stopped := fleet.stoppedSince[member.ID]; member.State == honeyplank.Up {
			delete(fleet.stoppedSince, member.ID)
		} else if !stopped {
			fleet.stoppedSince[member.ID] = fleet.now
		}
		fleet.servers[member.ID] = member
	}
	for i := range fleet.instances {
		fleet.handle(i, honeyplank.List{Kind: kind, Members: members})
	}
}

func (fleet *testFleet) handle(i int, event honeyplank.Event) []honeyplank.Action {
	if op, ok := event.(honeyplank.Op); ok {
		tracked := &trackedOp{Op: op, instance: i, admittedAt: fleet.now}
		fleet.ops[op.ID], fleet.order = tracked, append(fleet.order, tracked)
	}
	actions := fleet.instances[i].Handle(fleet.now, event)
	for _, action := range actions {
		switch action := action.(type) {
		case honeyplank.Dispatch:
			fleet.dispatch(i, action)
			fleet.dispatchEnds[action.Op] = min(fleet.now+time.Duration(fleet.rng.Int63n(int64(fleet.longestDispatch))), fleet.ops[action.Op].Timeout)
		case honeyplank.Reject:
			fleet.recordAnswer(action.Op, true)
		case honeyplank.Fail:
			fleet.recordAnswer(action.Op, false)
		case honeyplank.Cancel:
			op := fleet.ops[action.Op]
			if op == nil || action.Dispatch < 0 || action.Dispatch >= len(op.dispatched) || !fleet.settings.Dispatches.CancelAllowed {
				fleet.violate(0, "%s: dispatch %d is cancelled, which was never made or may not be", action.Op, action.Dispatch)
			} else if action.Dispatch == len(op.dispatched)-1 {
				op.dispatched[action.Dispatch].cancelRequested, fleet.dispatchEnds[action.Op] = true, fleet.now
			}
		case honeyplank.SetTimer:
			fleet.timers[i][action.ID] = action.At
		case honeyplank.Watch:
			fleet.onWatch(i)
		}
	}
	return actions
}

// endDispatch ends the dispatch of an op that is outstanding, and sends the outcome to its instance.
func (fleet *testFleet) endDispatch(op *trackedOp, code honeyplank.Code) {
	index := len(op.dispatched) - 1
	dispatch := &op.dispatched[index]
	dispatch.notArrived, dispatch.endedAt = code == honeyplank.ConnectFailed || code == honeyplank.NotSent, fleet.now
	dispatch.done, dispatch.mayHaveRun = true, code != honeyplank.Rejected && code != honeyplank.ConnectFailed && code != honeyplank.NotSent
	if code == honeyplank.TimedOut || code == honeyplank.Reset || code == honeyplank.Cancelled {
		op.settledAt = fleet.now + fleet.settings.OrderSettle
	}
	if code == honeyplank.Succeeded || op.responseStarted {
		if !op.answered {
			fleet.succeeded++
		}
		op.answered = true
	}
	fleet.handle(op.instance, honeyplank.Outcome{Op: op.ID, Dispatch: index, Server: dispatch.server, Code: code, Answered: op.answered,
		Elapsed: fleet.now - dispatch.sentAt, QuotaUsed: fleet.rng.Intn(200), ServedElsewhere: float64(len(fleet.order) % 4), Load: map[string]float64{"latency": 30}})
}

// advance moves the clock, fires timers, ends dispatches and looks for ops past their time.
func (fleet *testFleet) advance(codes []honeyplank.Code) {
	fleet.now += fleet.settings.Step
	for i := range fleet.instances {
		for _, name := range []honeyplank.TimerID{sweepTimer, watchTimer} {
			if at, set := fleet.timers[i][name]; set && at <= fleet.now {
				delete(fleet.timers[i], name)
				fleet.handle(i, honeyplank.Timer{ID: name})
			}
		}
	}
	for _, op := range fleet.order {
		index := len(op.dispatched)
		if index > 0 && !op.dispatched[index-1].done && fleet.dispatchEnds[op.ID] <= fleet.now {
			code := codes[fleet.rng.Intn(len(codes))]
			if op.dispatched[index-1].cancelRequested {
				code = honeyplank.Cancelled
			}
			if fleet.now < op.Timeout {
				fleet.endDispatch(op, code)
			} else if !op.responseStarted {
				fleet.endDispatch(op, honeyplank.TimedOut)
			}
		}
		if !op.answered && !op.responseStarted && fleet.now > op.Timeout+fleet.settings.AnswerGrace {
			fleet.violate(1, "%s has no answer", op.ID)
			op.answered = true
		}
	}
	if len(fleet.violations) > 0 {
		fleet.t.Fatal(fleet.violations[0])
	}
}
