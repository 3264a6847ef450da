package policy

import (
	"container/heap"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

const ms = time.Millisecond

// testSettings returns settings with two op types and one plan. Tests change the settings that they
// are about.
func testSettings() *honeyplank.Settings {
	return &honeyplank.Settings{
		OpTypes: []honeyplank.OpType{
			{TargetLatency: 200 * ms, OpTimeout: 1200 * ms, Utility: 2, DedupWindow: time.Second},
			{TargetLatency: 1500 * ms, OpTimeout: 5000 * ms, Utility: 1, DedupWindow: time.Second},
		},
		Plans:        []honeyplank.Plan{{Rate: 20, Reserve: 10, Weight: 1}},
		Instances:    1,
		Step:         2 * ms,
		Dispatches:   honeyplank.DispatchSettings{Max: 4},
		LargestUnits: 6,
		AnswerGrace:  8 * ms,
		DrainGrace:   250 * ms,
	}
}

// member returns the i-th disk server of a list. It holds the data of the cell with the same
// number.
func member(i int, started time.Duration) honeyplank.Member {
	return honeyplank.Member{
		ID: honeyplank.ServerID(fmt.Sprint("osd", i)), Started: started, Cell: i, Zone: i % 2, Size: 1,
	}
}

// memberInState returns the i-th disk server in a state other than up.
func memberInState(i int, state honeyplank.MemberState) honeyplank.Member {
	stopped := member(i, 0)
	stopped.State = state
	return stopped
}

// membersUpTo returns the first n disk servers, which started long ago.
func membersUpTo(n int) []honeyplank.Member {
	var members []honeyplank.Member
	for i := range n {
		members = append(members, member(i, 0))
	}
	return members
}

// memberNumber returns the number of a disk server from its id.
func memberNumber(id honeyplank.ServerID) int {
	number, err := strconv.Atoi(strings.TrimPrefix(string(id), "osd"))
	if err != nil {
		panic(fmt.Sprintf("server id %q without a number: %v", id, err))
	}
	return number
}

// scheduledEvent is an event of a simulation that has not happened yet.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	event    honeyplank.Event
}

// eventHeap is a heap of scheduled events. The earliest event is first; among events at the same
// time, the one that was added first.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(item any) { *h = append(*h, item.(scheduledEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventQueue holds the scheduled events of a simulation.
type eventQueue struct {
	heap  eventHeap
	added int // number of events added so far
}

func (q *eventQueue) add(at time.Duration, event honeyplank.Event) {
	q.added++
	heap.Push(&q.heap, scheduledEvent{at, q.added, event})
}

func (q *eventQueue) empty() bool { return len(q.heap) == 0 }

// nextAt returns the time of the next event. The queue must not be empty.
func (q *eventQueue) nextAt() time.Duration { return q.heap[0].at }

// next removes the next event from the queue, which must not be empty, and returns it.
func (q *eventQueue) next() scheduledEvent { return heap.Pop(&q.heap).(scheduledEvent) }

// testFleet sends events to instances that share disk servers, and checks their actions against the
// model of the rules.
type testFleet struct {
	*ruleModel
	t               *testing.T
	rng             *rand.Rand
	instances       []*Engine
	timers          []map[honeyplank.TimerID]time.Duration
	dispatchEnds    map[honeyplank.OpID]time.Duration // when an outstanding dispatch ends
	succeeded       int                               // number of ops that succeeded
	longestDispatch time.Duration                     // upper bound of the time that a dispatch takes
	onWatch         func(instance int)                // called when an instance requests the watch
}

func newTestFleet(t *testing.T, seed int64, settings *honeyplank.Settings) *testFleet {
	t.Helper()
	fleet := &testFleet{
		ruleModel:       newRuleModel(settings),
		t:               t,
		rng:             rand.New(rand.NewSource(seed)),
		dispatchEnds:    map[honeyplank.OpID]time.Duration{},
		longestDispatch: 400 * ms,
		onWatch:         func(int) {},
	}
	for i := range max(settings.Instances, 1) {
		fleet.instances = append(fleet.instances, New(seed+int64(i), settings))
		fleet.timers = append(fleet.timers, map[honeyplank.TimerID]time.Duration{})
	}
	return fleet
}

// fullServerFleet returns one instance and one server whose window of four is full, so that ops of
// several volumes are queued.
func fullServerFleet(t *testing.T) *testFleet {
	t.Helper()
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0))
	for i := range 4 {
		fleet.admit("full", i, 9, 1, 0)
	}
	return fleet
}

// admit sends the i-th op with a name to the first instance.
func (fleet *testFleet) admit(name string, i int, volume, key int64, opType int) {
	fleet.handle(0, honeyplank.Op{
		ID:        honeyplank.OpID(fmt.Sprint(name, i)),
		Units:     1,
		Deadline:  fleet.now + time.Second,
		Type:      opType,
		HasKey:    true,
		Key:       key,
		Instances: 1,
		Volume:    volume,
	})
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

// handle sends an event to an instance, and the resulting actions to the model.
func (fleet *testFleet) handle(instance int, event honeyplank.Event) []honeyplank.Action {
	if op, ok := event.(honeyplank.Op); ok {
		tracked := &trackedOp{Op: op, instance: instance, admittedAt: fleet.now}
		fleet.ops[op.ID], fleet.order = tracked, append(fleet.order, tracked)
	}
	actions := fleet.instances[instance].Handle(fleet.now, event)
	for _, action := range actions {
		fleet.carryOut(instance, action)
	}
	return actions
}

// carryOut carries out an action of an instance.
func (fleet *testFleet) carryOut(instance int, action honeyplank.Action) {
	switch action := action.(type) {
	case honeyplank.Dispatch:
		fleet.dispatch(instance, action)
		took := time.Duration(fleet.rng.Int63n(int64(fleet.longestDispatch)))
		fleet.dispatchEnds[action.Op] = min(fleet.now+took, fleet.ops[action.Op].Deadline)
	case honeyplank.Reject:
		fleet.recordReject(action)
	case honeyplank.Fail:
		fleet.recordAnswer(fleet.ops[action.Op])
	case honeyplank.Cancel:
		if fleet.recordCancel(action) {
			fleet.dispatchEnds[action.Op] = fleet.now
		}
	case honeyplank.SetTimer:
		fleet.timers[instance][action.ID] = action.At
	case honeyplank.Watch:
		fleet.onWatch(instance)
	}
}

// endDispatch ends the last dispatch of an op, and sends the outcome to its instance.
func (fleet *testFleet) endDispatch(op *trackedOp, code honeyplank.Code) {
	fleet.recordOutcome(op, code)
	if code == honeyplank.Succeeded || op.responseStarted {
		if !op.answered {
			fleet.succeeded++
		}
		op.answered = true
	}
	index := len(op.dispatched) - 1
	fleet.handle(op.instance, honeyplank.Outcome{
		Op:              op.ID,
		Dispatch:        index,
		Server:          op.dispatched[index].server,
		Code:            code,
		Answered:        op.answered,
		Elapsed:         fleet.now - op.dispatched[index].sentAt,
		QuotaUsed:       fleet.rng.Intn(200),
		ServedElsewhere: float64(len(fleet.order) % 4),
		Load:            map[string]float64{"latency": 30},
	})
}

// advance moves the clock by one step: due timers fire, due dispatches end with one of the codes at
// random, and ops that were not answered in time are reported.
func (fleet *testFleet) advance(codes []honeyplank.Code) {
	fleet.t.Helper()
	fleet.now += fleet.settings.Step
	for i := range fleet.instances {
		fleet.fireTimers(i)
	}
	for _, op := range fleet.order {
		if op.outstanding() && fleet.dispatchEnds[op.ID] <= fleet.now {
			fleet.endDue(op, codes[fleet.rng.Intn(len(codes))])
		}
		fleet.checkAnswered(op)
	}
	if len(fleet.violations) > 0 {
		fleet.t.Fatal(fleet.violations[0])
	}
}

// fireTimers sends the due timers to an instance.
func (fleet *testFleet) fireTimers(instance int) {
	for _, id := range []honeyplank.TimerID{sweepTimer, watchTimer} {
		if at, set := fleet.timers[instance][id]; set && at <= fleet.now {
			delete(fleet.timers[instance], id)
			fleet.handle(instance, honeyplank.Timer{ID: id})
		}
	}
}

// endDue ends the due dispatch of an op, with the given code unless it was cancelled or the op has
// timed out.
func (fleet *testFleet) endDue(op *trackedOp, code honeyplank.Code) {
	if op.dispatched[len(op.dispatched)-1].cancelRequested {
		code = honeyplank.Cancelled
	}
	if fleet.now < op.Deadline {
		fleet.endDispatch(op, code)
	} else if !op.responseStarted {
		fleet.endDispatch(op, honeyplank.TimedOut)
	}
}

// setTypicalLatency sets the current latency of all op types, in seconds.
func (e *Engine) setTypicalLatency(seconds float64) {
	for i := range e.latencyByType {
		e.latencyByType[i] = typeLatency{mean: seconds, fastest: seconds, updatedAt: e.now}
	}
}

// setServerLatency sets the current latency of a server for ops of the first type, in seconds.
func (e *Engine) setServerLatency(server *server, seconds float64) {
	server.slowness, server.slownessAt = seconds/e.typicalLatency(0), e.now
}
