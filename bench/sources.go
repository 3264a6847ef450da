package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery"
	discoverydns "honeyplank/discovery/dns"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/gateway"
	"honeyplank/policy"
	"honeyplank/settings"
)

// Membership is what following the list costs, at one size and rate.
type Membership struct {
	Nodes   int     `json:"nodes"`
	Rate    int     `json:"changes_a_second"`
	Changes int     `json:"changes"`
	P50     float64 `json:"p50_ms"` // from the change at etcd to the module's hearing it: nothing is sent after
	P99     float64 `json:"p99_ms"`
	Idle    float64 `json:"idle_ms_a_second"`    // of the gateway's loop when nothing happens
	Loop    float64 `json:"loop_us_a_change"`    // of the loop beyond that: source rule and module
	Process float64 `json:"process_us_a_change"` // of all: gRPC and the stand-in too
	Memory  float64 `json:"bytes_a_node"`
	Broken  float64 `json:"right_after_break_ms"`      // etcd away, a tenth changed meanwhile, back: until the list is right
	Compact float64 `json:"right_after_compaction_ms"` // the same, with the history gone
}

// ear is the module with an ear for the list.
type ear struct {
	*policy.Engine
	mu    sync.Mutex
	heard map[honeyplank.ServerID]honeyplank.MemberState
	wait  map[honeyplank.ServerID]waited
	hist  *hdrhistogram.Histogram
}

type waited struct {
	since time.Time
	state honeyplank.MemberState
}

func (e *ear) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	out := e.Engine.Handle(now, event)
	if l, ok := event.(honeyplank.List); ok {
		e.mu.Lock()
		for _, m := range l.Members {
			e.heard[m.ID] = m.State
			if w, ok := e.wait[m.ID]; ok && w.state == m.State {
				e.hist.RecordValue(int64(time.Since(w.since) / time.Microsecond))
				delete(e.wait, m.ID)
			}
		}
		e.mu.Unlock()
	}
	return out
}

// Sources measures membership at sizes and rates, each for some seconds.
func Sources(sizes, rates []int, seconds float64) (out []Membership, err error) {
	for _, n := range sizes {
		for _, rate := range rates {
			m, err := membership(n, rate, seconds)
			if err != nil {
				return nil, err
			}
			out = append(out, *m)
		}
	}
	return out, nil
}

func membership(n, rate int, seconds float64) (*Membership, error) {
	s, err := settings.Parse("bench.xml", script)
	if err != nil {
		return nil, err
	}
	registry, err := etcd.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer registry.Close()
	key := func(i int) (string, honeyplank.ServerID) {
		id := fmt.Sprintf("127.%d.%d.%d:7000", 1+i>>16, i>>8&255, i&255)
		return s.EndpointList.Prefix + id, honeyplank.ServerID(id)
	}
	value := func(i int, state string) []byte {
		b, _ := json.Marshal(discovery.Record{State: state, Size: 1, Cell: i})
		return b
	}
	all := map[string][]byte{}
	for i := range n {
		k, _ := key(i)
		all[k] = value(i, "on")
	}
	registry.PutAll(all)
	s.FaultTest = nil
	s.EndpointList.Etcd[0].Endpoint = registry.Address()
	s.EndpointList.WatchWithin = settings.Span(2 * time.Second)
	e := &ear{heard: map[honeyplank.ServerID]honeyplank.MemberState{}, wait: map[honeyplank.ServerID]waited{}, hist: hdrhistogram.New(1, 60_000_000, 3)}
	before := heap()
	g, err := gateway.New(gateway.Options{Settings: s, Seed: 1, Log: zerolog.Nop(), Module: func(seed int64, v *honeyplank.Settings) honeyplank.DecisionModule {
		e.Engine = policy.New(seed, v)
		return e
	}})
	if err != nil {
		return nil, err
	}
	go g.Serve(context.Background())
	defer g.Kill()
	right := func(draining func(i int) bool) error {
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
			wrong := 0
			e.mu.Lock()
			for i := range n {
				_, id := key(i)
				if st, ok := e.heard[id]; !ok || (st == honeyplank.Draining) != draining(i) {
					wrong++
				}
			}
			e.mu.Unlock()
			if wrong == 0 {
				return nil
			}
			if time.Now().After(end) {
				return fmt.Errorf("bench: %d of %d nodes are wrong in the list", wrong, n)
			}
		}
	}
	if err := right(func(int) bool { return false }); err != nil {
		return nil, err
	}
	m := &Membership{Nodes: n, Rate: rate, Memory: (heap() - before) / float64(n)}
	idle0, _ := g.Counts()
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	c0, _ := g.Counts()
	idle := c0.CPU - idle0.CPU // sweeps and timers of a gateway to which nothing happens
	m.Idle = float64(idle/time.Microsecond) / 1000 / seconds
	p0 := processor()
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	states := [2]string{"draining", "on"}
	for i := range int(float64(rate)*seconds) / 2 * 2 {
		<-tick.C
		k, id := key(i / 2 * 7919 % n)
		e.mu.Lock()
		e.wait[id] = waited{time.Now(), []honeyplank.MemberState{honeyplank.Draining, honeyplank.Up}[i%2]}
		e.mu.Unlock()
		registry.Set(k, value(i/2*7919%n, states[i%2]))
		m.Changes++
	}
	tick.Stop()
	if err := right(func(int) bool { return false }); err != nil {
		return nil, err
	}
	c1, _ := g.Counts()
	spent := c1.CPU - c0.CPU - time.Duration(float64(idle)*time.Since(began).Seconds()/seconds)
	m.Loop = max(float64(spent/time.Microsecond)/float64(m.Changes), 0)
	m.Process = float64((processor()-p0)/time.Microsecond) / float64(m.Changes)
	m.P50, m.P99 = float64(e.hist.ValueAtQuantile(50))/1000, float64(e.hist.ValueAtQuantile(99))/1000
	drained := map[int]bool{}
	for k, into := range []*float64{&m.Broken, &m.Compact} {
		registry.SetUnavailable(true)
		changes := map[string][]byte{}
		for i := k; i < n; i += 10 {
			key, _ := key(i)
			changes[key], drained[i] = value(i, "draining"), true
		}
		registry.PutAll(changes)
		if k == 1 {
			registry.CompactHistory()
		}
		registry.SetUnavailable(false)
		back := time.Now()
		if err := right(func(i int) bool { return drained[i] }); err != nil {
			return nil, err
		}
		*into = float64(time.Since(back).Microseconds()) / 1000
	}
	return m, nil
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processor is the time that all of this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Crowd has many schedulers ask one name server for records of a lifetime in seconds; it returns queries a second
// in the mean, and the most within any tenth of a second, times ten.
func Crowd(schedulers int, life uint32, seconds float64) (mean, peak float64, err error) {
	s, err := dns.New("_honeyplank._tcp.storage.example.")
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	s.SetRecords(life, []dns.Record{{Target: "a--c0.storage.example.", IP: "127.0.0.1", Port: 7000, Weight: 1}})
	var group []*discoverydns.Client
	for i := range schedulers {
		group = append(group, discoverydns.New(discoverydns.Settings{Servers: []string{s.Address()}, Name: "_honeyplank._tcp.storage.example.",
			MinInterval: 100 * time.Millisecond, MaxInterval: time.Minute, Timeout: time.Second, Seed: int64(i)}, func(discovery.Update) {}))
	}
	time.Sleep(time.Duration(2*life) * time.Second) // all began at once; two lifetimes spread them
	from, last := s.Queries(), s.Queries()
	for began := time.Now(); time.Since(began).Seconds() < seconds; {
		time.Sleep(100 * time.Millisecond)
		now := s.Queries()
		peak = max(peak, 10*float64(now-last))
		last = now
	}
	mean = float64(s.Queries()-from) / seconds
	for _, d := range group {
		d.Close()
	}
	return mean, peak, nil
}

// SourcesTable is the figures for people.
func SourcesTable(list []Membership) string {
	var b strings.Builder
	fmt.Fprintf(&b, "one gateway follows a stand-in etcd; figures are of stand-ins on loopback\n\n%8s %10s %9s %9s %9s %10s %12s %15s %10s %12s %16s\n", "nodes", "changes/s", "changes", "p50 ms", "p99 ms", "idle ms/s", "loop us/chg", "process us/chg", "bytes/node", "break ms", "compaction ms")
	for _, m := range list {
		fmt.Fprintf(&b, "%8d %10d %9d %9.2f %9.2f %10.1f %12.1f %15.1f %10.0f %12.0f %16.0f\n", m.Nodes, m.Rate, m.Changes, m.P50, m.P99, m.Idle, m.Loop, m.Process, m.Memory, m.Broken, m.Compact)
	}
	return b.String()
}
