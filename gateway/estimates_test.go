package gateway_test

import (
	"path/filepath"
	"testing"
	"time"

	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/gateway"
	"honeyplank/nvme"
)

// TestEstimateAges restores estimates in an instance whose wall clock has stepped since they were saved: each is
// delivered with its age, or not at all where the age can't be computed.
func TestEstimateAges(t *testing.T) {
	for name, x := range map[string]struct {
		step time.Duration
		ages []time.Duration // of the estimates, before the restart
		want []time.Duration // the ages that the module is notified of
	}{
		"steady":           {0, []time.Duration{time.Second, 20 * time.Hour}, []time.Duration{time.Second, 20 * time.Hour}},
		"an hour ahead":    {time.Hour, []time.Duration{time.Second, 20 * time.Hour}, []time.Duration{time.Hour + time.Second, 21 * time.Hour}},
		"an hour back":     {-time.Hour, []time.Duration{time.Second, 20 * time.Hour}, nil},
		"5 s back":         {-5 * time.Second, []time.Duration{2 * time.Second, 25 * time.Hour}, nil},
		"back, an old one": {-time.Hour, []time.Duration{24*time.Hour + time.Minute, time.Second}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &estimates.Record{Unit: 16 << 10, TypicalLatency: 0.01}
			for i, age := range x.ages { // as read from a file: without a monotonic reading
				r.Servers = append(r.Servers, estimates.Server{ID: []string{"a:1", "b:1"}[i], At: time.Now().Add(-age).Round(0), BestPerUnit: 0.01, Latency: 0.01})
			}
			c := newClockHarness(newHarness(t), x.step, r)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.estimates) != len(x.want) {
				t.Fatalf("delivered: %+v", c.estimates)
			}
			now := c.notified[0].now
			for i, k := range c.estimates {
				if off := now - k.At - x.want[i]; off < -100*time.Millisecond || off > time.Minute {
					t.Errorf("%s: age %v, want %v", k.Server, now-k.At, x.want[i])
				}
			}
		})
	}
}

// TestEstimatesAcrossRestart restores one instance's estimates in the next, as a planned restart does: they are there
// before the first op, ops of the first second are served, and the estimate of a server that has started since is gone.
func TestEstimatesAcrossRestart(t *testing.T) {
	h := newHarness(t)
	a := h.connect("client")
	for i := range 20 {
		for cell := range 2 {
			if _, status := h.do(a, nvme.NewRW(nvme.Read, 1, uint64(256*cell+i), 1), nil); status != nvme.Success {
				t.Fatalf("before the restart: %#x", status)
			}
		}
	}
	before, ok := h.gateway.Estimates()
	if !ok || len(before.Servers) != 2 || before.TypicalLatency <= 0 || before.Servers[0].BestPerUnit <= 0 || before.Servers[1].Latency <= 0 {
		t.Fatalf("estimates: %+v, %v", before, ok)
	}
	saved := writeAndRead(t, before)
	h.gateway.Kill()
	// The second disk server has restarted since.
	h.registerRecord(h.disks[1].Address(), discovery.Record{State: "on", Size: 1, Cell: 1, StartedMS: time.Now().UnixMilli()})
	h.serve(gateway.Options{Seed: 2, Estimates: saved})
	h.eventually("only the estimate that still holds is restored, before any op", func() bool {
		now, ok := h.gateway.Estimates()
		if !ok || len(now.Servers) != 1 {
			return false
		}
		was := before.Servers[0]
		if was.ID != h.disks[0].Address() {
			was = before.Servers[1]
		}
		is := now.Servers[0]
		return h.counts().Admitted == 0 && is.ID == was.ID && is.BestPerUnit == was.BestPerUnit && is.Latency == was.Latency && is.At.Sub(was.At).Abs() < time.Second
	})
	a = h.connect("client")
	began := time.Now()
	for i := range 40 {
		if _, status := h.do(a, nvme.NewRW(nvme.Read, 1, uint64(256*(i%2)+i/2), 1), nil); status != nvme.Success {
			t.Errorf("op %d, %v after the restart: %#x", i, time.Since(began), status)
		}
	}
	if after, _ := h.gateway.Estimates(); len(after.Servers) != 2 {
		t.Errorf("the restarted server has no new estimate: %+v", after)
	}
}

// writeAndRead writes a record to a file and reads it back.
func writeAndRead(t *testing.T, record *estimates.Record) *estimates.Record {
	t.Helper()
	file := filepath.Join(t.TempDir(), "estimates")
	if err := record.Write(file); err != nil {
		t.Fatal(err)
	}
	saved, err := estimates.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return saved
}
