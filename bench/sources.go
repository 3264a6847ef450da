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
	listTimeout            = 30 * time.Second // for the decision module to have the complete list
	listPollInterval       = time.Millisecond // between two checks of the module's list
	maxNotificationLatency = time.Minute      // largest latency that a histogram records
	watchWithin            = 2 * time.Second  // WatchWithin of the gateway's settings
	changedNodeInterval    = 10               // one node in this number changes while etcd is unavailable
	changeStride           = 7919             // prime stride between the nodes that change one after another
	nodeStateUp            = "on"
	nodeStateDrain         = "draining"
)

// WatchCost is the cost of following the endpoint list at one size of the fleet and one rate of changes.
type WatchCost struct {
	Nodes      int     `json:"nodes"`
	Rate       int     `json:"changes_a_second"`
	Changes    int     `json:"changes"`
	P50        float64 `json:"p50_ms"` // from the change at etcd until the module is notified
	P99        float64 `json:"p99_ms"`
	IdleCPU    float64 `json:"idle_ms_a_second"`    // of the gateway's loop while nothing changes
	LoopCPU    float64 `json:"loop_us_a_change"`    // of the loop, without IdleCPU: merging of sources, module
	ProcessCPU float64 `json:"process_us_a_change"` // of the whole process, with gRPC and the fake etcd
	Memory     float64 `json:"bytes_a_node"`
	// AfterOutage and AfterCompaction are the times from the end of an outage of etcd until the list is complete. A
	// tenth of the nodes changes during the outage. For AfterCompaction, etcd also compacts its history during it.
	AfterOutage     float64 `json:"right_after_break_ms"`
	AfterCompaction float64 `json:"right_after_compaction_ms"`
}

// Sources measures the cost at each size of the fleet and each rate, in changes per second. Each measurement takes
// length seconds with no changes and about length seconds with changes.
func Sources(sizes, rates []int, length float64) ([]WatchCost, error) {
	var costs []WatchCost
	for _, nodes := range sizes {
		for _, rate := range rates {
			cost, err := measureWatchCost(nodes, rate, seconds(length))
			if err != nil {
				return nil, err
			}
			costs = append(costs, cost)
		}
	}
	return costs, nil
}

func measureWatchCost(nodes, rate int, duration time.Duration) (WatchCost, error) {
	bed, err := newWatchTestbed(nodes)
	if err != nil {
		return WatchCost{}, err
	}
	defer bed.registry.Close()
	heapBefore := heapBytes()
	if err := bed.startGateway(); err != nil {
		return WatchCost{}, err
	}
	defer bed.gateway.Kill()
	if err := bed.awaitList(); err != nil {
		return WatchCost{}, err
	}
	cost := WatchCost{Nodes: nodes, Rate: rate, Memory: (heapBytes() - heapBefore) / float64(nodes)}
	idle := bed.measureIdle(&cost, duration)
	if err := bed.measureChanges(&cost, duration, idle); err != nil {
		return WatchCost{}, err
	}
	if cost.AfterOutage, err = bed.measureResync(0, func() {}); err != nil {
		return WatchCost{}, err
	}
	cost.AfterCompaction, err = bed.measureResync(1, bed.registry.CompactHistory)
	return cost, err
}

// watchTestbed is a gateway that follows the endpoint list of a fake etcd.
type watchTestbed struct {
	settings *settings.Gateway
	registry *etcd.Server
	gateway  *gateway.Instance
	nodes    int
	draining map[int]bool // nodes that measureResync has listed as draining
	module   *observedModule
}

// newWatchTestbed starts etcd and lists all nodes as up.
func newWatchTestbed(nodes int) (*watchTestbed, error) {
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
	bed := &watchTestbed{settings: s, registry: registry, nodes: nodes, draining: map[int]bool{}}
	listed := map[string][]byte{}
	for i := range nodes {
		maps.Copy(listed, bed.nodeRecord(i, nodeStateUp))
	}
	registry.PutAll(listed)
	return bed, nil
}

// nodeID returns the id of the i-th node.
func nodeID(i int) honeyplank.ServerID {
	return honeyplank.ServerID(fmt.Sprintf("127.%d.%d.%d:7000", 1+i>>16, i>>8&255, i&255))
}

// nodeRecord returns the key and value of the i-th node in etcd.
func (b *watchTestbed) nodeRecord(i int, state string) map[string][]byte {
	value, err := json.Marshal(discovery.Record{State: state, Size: 1, Cell: i})
	if err != nil {
		panic(err) // marshalling a record of strings and numbers does not fail
	}
	return map[string][]byte{b.settings.EndpointList.Prefix + string(nodeID(i)): value}
}

func (b *watchTestbed) startGateway() error {
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
	go func() { _ = g.Serve(context.Background()) }() // ends with Kill; awaitList fails if Serve fails earlier
	return nil
}

// awaitList waits until the module has all nodes in their expected states, for at most listTimeout.
func (b *watchTestbed) awaitList() error {
	for end := time.Now().Add(listTimeout); ; time.Sleep(listPollInterval) {
		mismatches := b.module.countMismatches(b.nodes, b.draining)
		if mismatches == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("bench: %d of %d nodes are missing from the module's list or have another state",
				mismatches, b.nodes)
		}
	}
}

// measureIdle measures the processor time of the gateway's loop while nothing changes, and returns it.
func (b *watchTestbed) measureIdle(cost *WatchCost, duration time.Duration) time.Duration {
	before, _ := b.gateway.Counts() // succeeds while the gateway runs
	time.Sleep(duration)
	after, _ := b.gateway.Counts()
	idle := after.CPU - before.CPU
	cost.IdleCPU = milliseconds(idle) / duration.Seconds()
	return idle
}

// measureChanges lists nodes as draining and then as up again, at cost.Rate. idle is the processor time that the idle
// loop uses in the given duration. It is subtracted from the processor time with changes.
func (b *watchTestbed) measureChanges(cost *WatchCost, duration, idle time.Duration) error {
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
	latency := b.module.notificationLatency
	cost.P50 = float64(latency.ValueAtQuantile(50)) / 1000
	cost.P99 = float64(latency.ValueAtQuantile(99)) / 1000
	return nil
}

// change changes the state of a node in etcd and starts to measure the time until the module is notified.
func (b *watchTestbed) change(node int, listed string, state honeyplank.MemberState) {
	b.module.expect(nodeID(node), state)
	for key, value := range b.nodeRecord(node, listed) {
		b.registry.Set(key, value)
	}
}

// measureResync makes etcd unavailable, lists one node in changedNodeInterval as draining, from node first on, calls
// duringOutage and makes etcd available again. It returns the time from then until the list is complete, in
// milliseconds.
func (b *watchTestbed) measureResync(first int, duringOutage func()) (float64, error) {
	b.registry.SetUnavailable(true)
	changes := map[string][]byte{}
	for i := first; i < b.nodes; i += changedNodeInterval {
		b.draining[i] = true
		maps.Copy(changes, b.nodeRecord(i, nodeStateDrain))
	}
	b.registry.PutAll(changes)
	duringOutage()
	b.registry.SetUnavailable(false)
	began := time.Now()
	err := b.awaitList()
	return milliseconds(time.Since(began)), err
}

// observedModule is the decision module. It also records the state of each server in the lists that it receives.
type observedModule struct {
	*policy.Engine

	mu                  sync.Mutex
	states              map[honeyplank.ServerID]honeyplank.MemberState
	expected            map[honeyplank.ServerID]expectedState
	notificationLatency *hdrhistogram.Histogram // in microseconds
}

// expectedState is a state that is set in etcd and of which the module has not been notified.
type expectedState struct {
	state honeyplank.MemberState
	since time.Time
}

func newObservedModule() *observedModule {
	return &observedModule{
		states:              map[honeyplank.ServerID]honeyplank.MemberState{},
		expected:            map[honeyplank.ServerID]expectedState{},
		notificationLatency: hdrhistogram.New(1, maxNotificationLatency.Microseconds(), histogramDigits),
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
			// An error would mean that the latency exceeds maxNotificationLatency. listTimeout, which is shorter,
			// has failed the measurement by then.
			_ = m.notificationLatency.RecordValue(time.Since(expected.since).Microseconds())
			delete(m.expected, member.ID)
		}
	}
}

// expect starts to measure the time until the module is notified of a state.
func (m *observedModule) expect(id honeyplank.ServerID, state honeyplank.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected[id] = expectedState{state: state, since: time.Now()}
}

// countMismatches counts the nodes that are missing from the module's list or have another state there than expected.
func (m *observedModule) countMismatches(nodes int, draining map[int]bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	mismatches := 0
	for i := range nodes {
		state, known := m.states[nodeID(i)]
		if !known || (state == honeyplank.Draining) != draining[i] {
			mismatches++
		}
	}
	return mismatches
}

// WatchCostTable returns the costs as a table.
func WatchCostTable(costs []WatchCost) string {
	var b strings.Builder
	b.WriteString("one gateway follows a fake etcd; measured with fakes on loopback\n\n")
	fmt.Fprintf(&b, "%8s %10s %9s %9s %9s %10s %12s %15s %10s %12s %16s\n", "nodes", "changes/s", "changes", "p50 ms",
		"p99 ms", "idle ms/s", "loop us/chg", "process us/chg", "bytes/node", "outage ms", "compaction ms")
	for _, c := range costs {
		fmt.Fprintf(&b, "%8d %10d %9d %9.2f %9.2f %10.1f %12.1f %15.1f %10.0f %12.0f %16.0f\n", c.Nodes, c.Rate,
			c.Changes, c.P50, c.P99, c.IdleCPU, c.LoopCPU, c.ProcessCPU, c.Memory, c.AfterOutage, c.AfterCompaction)
	}
	return b.String()
}
