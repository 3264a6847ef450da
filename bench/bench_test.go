package bench

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// shortPhase is the length of a phase in these tests, in seconds. Figures are not judged.
const shortPhase = 0.2

// TestOps measures ops in short phases: both ways complete ops, none unsuccessfully, and a report compares with
// itself.
func TestOps(t *testing.T) {
	report, err := Ops(OpsOptions{Seconds: shortPhase, InFlight: 16, Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	for name, phase := range map[string]Phase{"direct": report.Direct, "through": report.ThroughGateway} {
		if phase.Throughput <= 0 || phase.P50 <= 0 || phase.P99 < phase.P50 || phase.Unsuccessful != 0 {
			t.Errorf("%s: %+v", name, phase)
		}
	}
	if report.Op.SystemCalls <= 0 || report.Op.CPU <= 0 || report.PerCore <= 0 {
		t.Errorf("%+v", report.Op)
	}
	recorded, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Compare(recorded); err != nil {
		t.Errorf("compared with itself: %v", err)
	}
}

// TestCompare names the costs that have grown by more than a tenth, and no others.
func TestCompare(t *testing.T) {
	baseline := []byte(`{"op":{"allocations":10,"system_calls":1,"bytes_copied":100,"cpu_us":1}}`)
	for name, test := range map[string]struct {
		cost OpCost
		want []string
	}{
		"as before":      {cost: OpCost{Allocations: 10, SystemCalls: 1, Copied: 100, CPU: 1}},
		"within a tenth": {cost: OpCost{Allocations: 10.9, SystemCalls: 1.09, Copied: 109, CPU: 1}},
		"processor time": {cost: OpCost{Allocations: 10, SystemCalls: 1, Copied: 100, CPU: 5}},
		"allocations":    {cost: OpCost{Allocations: 11.1}, want: []string{"allocations"}},
		"calls and copying": {
			cost: OpCost{SystemCalls: 1.2, Copied: 120},
			want: []string{"system calls", "bytes copied"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := (&OpsReport{Op: test.cost}).Compare(baseline)
			if (err != nil) != (len(test.want) > 0) {
				t.Fatal(err)
			}
			for _, cost := range test.want {
				if !strings.Contains(err.Error(), cost+" an op") {
					t.Errorf("%q does not name %s", err, cost)
				}
			}
		})
	}
}

// TestBaseline reads the recorded baseline.
func TestBaseline(t *testing.T) {
	var recorded OpsReport
	if err := json.Unmarshal(Baseline, &recorded); err != nil {
		t.Fatal(err)
	}
	if recorded.Op.Allocations <= 0 || recorded.Op.SystemCalls <= 0 || recorded.Op.Copied <= 0 {
		t.Errorf("%+v", recorded.Op)
	}
}

// TestHostile drives honest load beside a few hostile connections.
func TestHostile(t *testing.T) {
	report, err := Abusive(2*len(hostileBehaviours), shortPhase)
	if err != nil {
		t.Fatal(err)
	}
	if report.Alone.Throughput <= 0 || report.WithAbusive.Throughput <= 0 {
		t.Errorf("%+v", report)
	}
	if report.Attempts < int64(report.Connections) || report.Rejected > report.Attempts {
		t.Errorf("%d attempts of %d connections, %d rejected", report.Attempts, report.Connections, report.Rejected)
	}
}

// TestSources follows a small list: all changes reach the module, also after a break and a compaction.
func TestSources(t *testing.T) {
	costs, err := Sources([]int{20}, []int{100}, shortPhase)
	if err != nil {
		t.Fatal(err)
	}
	if len(costs) != 1 {
		t.Fatalf("%d costs", len(costs))
	}
	c := costs[0]
	if c.Nodes != 20 || c.Changes != 20 || c.P50 <= 0 || c.P99 < c.P50 || c.AfterOutage <= 0 || c.AfterCompaction <= 0 {
		t.Errorf("%+v", c)
	}
}

// TestDNSLoad counts the queries of two schedulers.
func TestDNSLoad(t *testing.T) {
	rate, err := DNSLoad(2, 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if rate.Mean <= 0 || rate.Peak < rate.Mean {
		t.Errorf("%+v", rate)
	}
}

// TestHostileBehaviours checks that each behaviour ends with its connection, and when it is told to.
func TestHostileBehaviours(t *testing.T) {
	for i, behaviour := range hostileBehaviours {
		for name, end := range map[string]func(peer net.Conn, done chan struct{}){
			"connection ends": func(peer net.Conn, _ chan struct{}) { _ = peer.Close() },
			"told to end":     func(_ net.Conn, done chan struct{}) { close(done) },
		} {
			local, peer := net.Pipe()
			done, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				behaviour(local, done)
			}()
			buffer := make([]byte, 16<<10)
			if err := peer.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			_, _ = peer.Read(buffer) // what it sends, if anything
			end(peer, done)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Errorf("behaviour %d, %s: it goes on", i, name)
			}
			_ = peer.Close()
		}
	}
}

// TestProcessFigures reads figures of this process.
func TestProcessFigures(t *testing.T) {
	pid := os.Getpid()
	if n := openDescriptors(pid); n < 3 {
		t.Errorf("%d descriptors", n)
	}
	if mb, err := peakMemory(pid); err != nil || mb <= 0 {
		t.Errorf("peak memory %v MB, %v", mb, err)
	}
	if s, err := cpuSeconds(pid); err != nil || s < 0 {
		t.Errorf("%v s of processor time, %v", s, err)
	}
	const noProcess = 1 << 30
	if _, err := peakMemory(noProcess); err == nil {
		t.Error("a process that does not exist has a peak of memory")
	}
}
