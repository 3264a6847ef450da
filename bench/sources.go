package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/fake/etcd"
	"honeyplank/gateway"
	"honeyplank/policy"
	"honeyplank/settings"
)

const (
	listTimeout    = 30 * time.Second // for a list to be complete in the module
	listPoll       = time.Millisecond // between two looks at it
	maxNotice      = time.Minute      // that a histogram can hold
	watchWithin    = 2 * time.Second  // of the gateway's settings
	changedNodes   = 10               // while etcd is away one node in so many changes
	changeStride   = 7919             // between the numbers of nodes that change one after another, a prime
	nodeStateUp    = "on"
	nodeStateDrain = "draining"
)

// WatchCost is what following the endpoint list costs at one size of the fleet and one rate of changes.
type WatchCost struct {
	Nodes      int     `json:"nodes"`
	Rate       int     `json:"changes_a_second"`
	Changes    int     `json:"changes"`
	P50        float64 `json:"p50_ms"` // from the change at etcd until the module is notified
	P99        float64 `json:"p99_ms"`
	IdleCPU    float64 `json:"idle_ms_a_second"`    // of the gateway's loop when nothing changes
	LoopCPU    float64 `json:"loop_us_a_change"`    // of the loop beyond that: merging of sources and module
	ProcessCPU float64 `json:"process_us_a_change"` // of the whole process: gRPC and the fake too
	Memory     float64 `json:"bytes_a_node"`
	// From etcd's return until the list is complete, where a tenth of the nodes has changed meanwhile, and with the
	// history compacted too.
	AfterOutage     float64 `json:"right_after_break_ms"`
	AfterCompaction float64 `json:"right_after_compaction_ms"`
}

// Sources measures the cost at each size of the fleet and each rate in changes a second, for some seconds each.
func Sources(sizes, rates []int, length float64) ([]WatchCost, error) {
	var costs []WatchCost
	for _, nodes := range sizes {
		for _, rate := range rates {
			cost, err := watchCost(nodes, rate, seconds(length))
			if err != nil {
				return nil, err
			}
			costs = append(costs, cost)
		}
	}
	return costs, nil
}

func watchCost(nodes, rate int, duration time.Duration) (WatchCost, error) {
	bench, err := newWatchBench(nodes)
	if err != nil {
		return WatchCost{}, err
	}
	defer bench.registry.Close()
	heapBefore := heapBytes()
	if err := bench.startGateway(); err != nil {
		return WatchCost{}, err
	}
	defer bench.gateway.Kill()
	if err := bench.awaitList(); err != nil {
		return WatchCost{}, err
	}
	cost := WatchCost{Nodes: nodes, Rate: rate, Memory: (heapBytes() - heapBefore) / float64(nodes)}
	idle := bench.measureIdle(&cost, duration)
	if err := bench.measureChanges(&cost, duration, idle); err != nil {
		return WatchCost{}, err
	}
	if cost.AfterOutage, err = bench.measureReturn(0, func() {}); err != nil {
		return WatchCost{}, err
	}
	cost.AfterCompaction, err = bench.measureReturn(1, bench.registry.CompactHistory)
	return cost, err
}

// watchBench is a gateway that follows a fake etcd.
type watchBench struct {
	settings *settings.Gateway
	registry *etcd.Server
	gateway  *gateway.Instance
	nodes    int
	draining map[int]bool // nodes that are listed as draining
	module   *observedModule
}

// newWatchBench starts etcd with all nodes listed as up.
func newWatchBench(nodes int) (*watchBench, error) {
	s, err := readSettings()
	if err != nil {
		return nil, err
	}
	registry, err := etcd.New(anyPort)
	if err != nil {
		return nil, err
	}
	s.FaultTest = nil
	s.EndpointList.Etcd[0].Endpoint = registry.Address()
	s.EndpointList.WatchWithin = settings.Span(watchWithin)
	bench := &watchBench{settings: s, registry: registry, nodes: nodes, draining: map[int]bool{}}
	listed := map[string][]byte{}
	for i := range nodes {
		maps.Copy(listed, bench.record(i, nodeStateUp))
	}
	registry.PutAll(listed)
	return bench, nil
}

// nodeID returns the id of a node by its number.
func nodeID(i int) honeyplank.ServerID {
	return honeyplank.ServerID(fmt.Sprintf("127.%d.%d.%d:7000", 1+i>>16, i>>8&255, i&255))
}

// record returns the key of a node in etcd with its value.
func (b *watchBench) record(i int, state string) map[string][]byte {
	value, err := json.Marshal(discovery.Record{State: state, Size: 1, Cell: i})
	if err != nil {
		panic(err) // a record of plain values always has a JSON form
	}
	return map[string][]byte{b.settings.EndpointList.Prefix + string(nodeID(i)): value}
}

func (b *watchBench) startGateway() error {
	b.module = newObservedModule()
	g, err := gateway.New(gateway.Options{
		Settings: b.settings,
		Seed:     1,
		Log:      zerolog.Nop(),
		Module: func(seed int64, s *honeyplank.Settings) honeyplank.DecisionModule {
			b.module.Engine = policy.New(seed, s)
			return b.module
		},
	})
	if err != nil {
		return err
	}
	b.gateway = g
	go func() { _ = g.Serve(context.Background()) }() // ends with Kill; a list that does not arrive tells of its errors
	return nil
}

// awaitList waits until the module has all nodes in their states.
func (b *watchBench) awaitList() error {
	for end := time.Now().Add(listTimeout); ; time.Sleep(listPoll) {
		wrong := b.module.countWrong(b.nodes, b.draining)
		if wrong == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("bench: %d of %d nodes are wrong in the list", wrong, b.nodes)
		}
	}
}

// measureIdle measures the loop of a gateway to which nothing happens, and returns its processor time.
func (b *watchBench) measureIdle(cost *WatchCost, duration time.Duration) time.Duration {
	before, _ := b.gateway.Counts() // the gateway runs
	time.Sleep(duration)
	after, _ := b.gateway.Counts()
	idle := after.CPU - before.CPU
	cost.IdleCPU = milliseconds(idle) / duration.Seconds()
	return idle
}

// measureChanges has nodes drain and return at the rate. idle is the processor time of the loop for the duration.
func (b *watchBench) measureChanges(cost *WatchCost, duration, idle time.Duration) error {
	countsBefore, _ := b.gateway.Counts()
	processBefore := processTime()
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(cost.Rate))
	defer tick.Stop()
	for range int(float64(cost.Rate)*duration.Seconds()) / 2 {
		node := cost.Changes / 2 * changeStride % b.nodes
		<-tick.C
		b.change(node, nodeStateDrain, honeyplank.Draining)
		<-tick.C
		b.change(node, nodeStateUp, honeyplank.Up)
		cost.Changes += 2
	}
	if err := b.awaitList(); err != nil {
		return err
	}
	countsAfter, _ := b.gateway.Counts()
	idle = time.Duration(float64(idle) * time.Since(began).Seconds() / duration.Seconds())
	loop := max(countsAfter.CPU-countsBefore.CPU-idle, 0)
	cost.LoopCPU = microseconds(loop) / float64(cost.Changes)
	cost.ProcessCPU = microseconds(processTime()-processBefore) / float64(cost.Changes)
	latency := b.module.noticeLatency
	cost.P50 = float64(latency.ValueAtQuantile(50)) / 1000
	cost.P99 = float64(latency.ValueAtQuantile(99)) / 1000
	return nil
}

// change changes the state of a node in etcd, and has the time measured until the module is notified.
func (b *watchBench) change(node int, listed string, state honeyplank.MemberState) {
	b.module.expect(nodeID(node), state)
	for key, value := range b.record(node, listed) {
		b.registry.Set(key, value)
	}
}

// measureReturn has etcd be away while one node in changedNodes begins to drain, from number first on, and returns
// the time in milliseconds from its return until the list is complete. beforeReturn is called while it is away.
func (b *watchBench) measureReturn(first int, beforeReturn func()) (float64, error) {
	b.registry.SetUnavailable(true)
	changes := map[string][]byte{}
	for i := first; i < b.nodes; i += changedNodes {
		b.draining[i] = true
		maps.Copy(changes, b.record(i, nodeStateDrain))
	}
	b.registry.PutAll(changes)
	beforeReturn()
	b.registry.SetUnavailable(false)
	began := time.Now()
	err := b.awaitList()
	return milliseconds(time.Since(began)), err
}

// observedModule is the decision module, with what it is notified of about the endpoint list.
type observedModule struct {
	*policy.Engine

	mu            sync.Mutex
	states        map[honeyplank.ServerID]honeyplank.MemberState
	expected      map[honeyplank.ServerID]expectedState
	noticeLatency *hdrhistogram.Histogram // in microseconds
}

// expectedState is a state that is on its way to the module.
type expectedState struct {
	state honeyplank.MemberState
	since time.Time
}

func newObservedModule() *observedModule {
	return &observedModule{
		states:        map[honeyplank.ServerID]honeyplank.MemberState{},
		expected:      map[honeyplank.ServerID]expectedState{},
		noticeLatency: hdrhistogram.New(1, maxNotice.Microseconds(), histogramDigits),
	}
}

// Handle implements honeyplank.DecisionModule.
func (m *observedModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	actions := m.Engine.Handle(now, event)
	if list, ok := event.(honeyplank.List); ok {
		m.record(list.Members)
	}
	return actions
}

func (m *observedModule) record(members []honeyplank.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.states[member.ID] = member.State
		if expected, ok := m.expected[member.ID]; ok && expected.state == member.State {
			// The error says that the latency is beyond the histogram; the list counts as incomplete long before.
			_ = m.noticeLatency.RecordValue(time.Since(expected.since).Microseconds())
			delete(m.expected, member.ID)
		}
	}
}

// expect begins to measure the time until the module is notified of a state.
func (m *observedModule) expect(id honeyplank.ServerID, state honeyplank.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected[id] = expectedState{state: state, since: time.Now()}
}

// countWrong counts the nodes that the module does not know, or not in their state.
func (m *observedModule) countWrong(nodes int, draining map[int]bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	wrong := 0
	for i := range nodes {
		state, known := m.states[nodeID(i)]
		if !known || (state == honeyplank.Draining) != draining[i] {
			wrong++
		}
	}
	return wrong
}

// WatchCostTable is the costs as a table.
func WatchCostTable(costs []WatchCost) string {
	var b strings.Builder
	b.WriteString("one gateway follows a fake etcd; figures are of fakes on loopback\n\n")
	fmt.Fprintf(&b, "%8s %10s %9s %9s %9s %10s %12s %15s %10s %12s %16s\n", "nodes", "changes/s", "changes", "p50 ms",
		"p99 ms", "idle ms/s", "loop us/chg", "process us/chg", "bytes/node", "break ms", "compaction ms")
	for _, c := range costs {
		fmt.Fprintf(&b, "%8d %10d %9d %9.2f %9.2f %10.1f %12.1f %15.1f %10.0f %12.0f %16.0f\n", c.Nodes, c.Rate,
			c.Changes, c.P50, c.P99, c.IdleCPU, c.LoopCPU, c.ProcessCPU, c.Memory, c.AfterOutage, c.AfterCompaction)
	}
	return b.String()
}
