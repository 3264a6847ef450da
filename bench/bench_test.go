package bench

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// shortPhase is the duration of a measurement in these tests, in seconds. The tests do not check performance.
const shortPhase = 0.2

// TestOps measures ops in short phases. Both phases complete ops, all successfully, and Compare accepts the report as
// its own baseline.
func TestOps(t *testing.T) {
	report, err := Ops(OpsOptions{Seconds: shortPhase, InFlight: 16, Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	for name, phase := range map[string]Phase{"direct": report.Direct, "through": report.ThroughGateway} {
		if phase.Throughput <= 0 || phase.P50 <= 0 || phase.P99 < phase.P50 || phase.Unsuccessful != 0 {
			t.Errorf("phase %s: no throughput, wrong latencies or unsuccessful ops: %+v", name, phase)
		}
	}
	if report.Op.SystemCalls <= 0 || report.Op.CPU <= 0 || report.PerCore <= 0 {
		t.Errorf("system calls, processor time or ops per second of one core are not positive: %+v", report.Op)
	}
	recorded, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Compare(recorded); err != nil {
		t.Errorf("a report compared with itself: %v", err)
	}
}

// TestCompareNamesGrownCosts checks that the error of Compare names the costs that exceed the baseline by more than a
// tenth, and that there is no error if none does.
func TestCompareNamesGrownCosts(t *testing.T) {
	baseline := []byte(`{"op":{"allocations":10,"system_calls":1,"bytes_copied":100,"cpu_us":1}}`)
	for name, test := range map[string]struct {
		cost OpCost
		want []string
	}{
		"unchanged":      {cost: OpCost{Allocations: 10, SystemCalls: 1, Copied: 100, CPU: 1}},
		"within a tenth": {cost: OpCost{Allocations: 10.9, SystemCalls: 1.09, Copied: 109, CPU: 1}},
		"processor time": {cost: OpCost{Allocations: 10, SystemCalls: 1, Copied: 100, CPU: 5}},
		"allocations":    {cost: OpCost{Allocations: 11.1}, want: []string{"allocations"}},
		"system calls and bytes copied": {
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
				if !strings.Contains(err.Error(), cost+" per op") {
					t.Errorf("error %q does not name the cost %q", err, cost)
				}
			}
		})
	}
}

// TestBaseline checks that the recorded baseline has the costs that Compare reads.
func TestBaseline(t *testing.T) {
	var recorded OpsReport
	if err := json.Unmarshal(Baseline, &recorded); err != nil {
		t.Fatal(err)
	}
	if recorded.Op.Allocations <= 0 || recorded.Op.SystemCalls <= 0 || recorded.Op.Copied <= 0 {
		t.Errorf("a cost in the baseline is not positive: %+v", recorded.Op)
	}
}

// TestAbusiveClients measures regular load without and with a few abusive connections.
func TestAbusiveClients(t *testing.T) {
	report, err := Abusive(2*len(abusiveBehaviours), shortPhase)
	if err != nil {
		t.Fatal(err)
	}
	if report.WithoutAbusive.Throughput <= 0 || report.WithAbusive.Throughput <= 0 {
		t.Errorf("no throughput in a phase: %+v", report)
	}
	if report.Attempts < int64(report.Connections) || report.Rejected > report.Attempts {
		t.Errorf("%d attempts of %d abusive connections, %d rejected",
			report.Attempts, report.Connections, report.Rejected)
	}
}

// TestSourcesFollowsAllChanges follows a list of 20 nodes. All changes reach the module, also those during an outage of
// etcd and before a compaction of its history.
func TestSourcesFollowsAllChanges(t *testing.T) {
	costs, err := Sources([]int{20}, []int{100}, shortPhase)
	if err != nil {
		t.Fatal(err)
	}
	if len(costs) != 1 {
		t.Fatalf("%d costs, expected 1", len(costs))
	}
	c := costs[0]
	if c.Nodes != 20 || c.Changes != 20 || c.P50 <= 0 || c.P99 < c.P50 || c.AfterOutage <= 0 || c.AfterCompaction <= 0 {
		t.Errorf("expected 20 nodes, 20 changes and positive latencies: %+v", c)
	}
}

// TestDNSLoad measures the query rate of the DNS clients of two schedulers.
func TestDNSLoad(t *testing.T) {
	rate, err := DNSLoad(2, 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if rate.Mean <= 0 || rate.Peak < rate.Mean {
		t.Errorf("no queries, or a peak rate below the mean: %+v", rate)
	}
}

// TestAbusiveBehavioursEnd checks that each behaviour returns when its connection ends and when done is closed.
func TestAbusiveBehavioursEnd(t *testing.T) {
	for i, behaviour := range abusiveBehaviours {
		for name, end := range map[string]func(peer net.Conn, done chan struct{}){
			"connection ends": func(peer net.Conn, _ chan struct{}) { _ = peer.Close() },
			"done is closed":  func(_ net.Conn, done chan struct{}) { close(done) },
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
			_, _ = peer.Read(buffer) // discards the bytes that the behaviour sends, if any
			end(peer, done)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Errorf("behaviour %d did not return within 5 s after: %s", i, name)
			}
			_ = peer.Close()
		}
	}
}

// TestAbusiveBehavioursEndWithoutReader guards against the failure that a behaviour whose peer never reads does not
// return after done is closed, so that the measurement does not end.
func TestAbusiveBehavioursEndWithoutReader(t *testing.T) {
	for i, behaviour := range abusiveBehaviours {
		local, peer := net.Pipe()
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			behaviour(local, done)
		}()
		close(done)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Errorf("behaviour %d did not return within 5 s", i)
		}
		_ = peer.Close()
	}
}

// TestProcessFigures reads the descriptors, memory and processor time of this process.
func TestProcessFigures(t *testing.T) {
	pid := os.Getpid()
	if n := openDescriptors(pid); n < 3 {
		t.Errorf("%d open descriptors, expected at least 3", n)
	}
	if mb, err := peakMemory(pid); err != nil || mb <= 0 {
		t.Errorf("peak memory %v MB, error %v", mb, err)
	}
	if s, err := cpuSeconds(pid); err != nil || s < 0 {
		t.Errorf("%v s of processor time, error %v", s, err)
	}
	const noProcess = 1 << 30
	if _, err := peakMemory(noProcess); err == nil {
		t.Error("peakMemory returned no error for a process that does not exist")
	}
}
