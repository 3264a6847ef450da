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

// TestEstimateAges restores estimates in an instance whose wall clock has stepped since they were saved: each must be
// delivered with its age, or not at all if the ages can't be computed.
func TestEstimateAges(t *testing.T) {
	const hour = time.Hour
	type ages []time.Duration
	for name, test := range map[string]struct {
		step  time.Duration
		saved ages // ages of the saved estimates
		want  ages // ages of the estimates that the module gets
	}{
		"steady":           {0, ages{time.Second, 20 * hour}, ages{time.Second, 20 * hour}},
		"an hour ahead":    {hour, ages{time.Second, 20 * hour}, ages{hour + time.Second, 21 * hour}},
		"an hour back":     {-hour, ages{time.Second, 20 * hour}, nil},
		"5 s back":         {-5 * time.Second, ages{2 * time.Second, 25 * hour}, nil},
		"back, an old one": {-hour, ages{24*hour + time.Minute, time.Second}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClockHarness(newHarness(t), test.step, recordOfAges(test.saved))
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.estimates) != len(test.want) {
				t.Fatalf("wrong number of estimates delivered: %+v", c.estimates)
			}
			now := c.notified[0].now
			for i, estimate := range c.estimates {
				age := now - estimate.At
				if off := age - test.want[i]; off < -100*time.Millisecond || off > time.Minute {
					t.Errorf("%s: age %v, want %v", estimate.Server, age, test.want[i])
				}
			}
		})
	}
}

// recordOfAges returns a record, as if read from a file, with estimates of up to two servers that have the given ages.
func recordOfAges(ages []time.Duration) *estimates.Record {
	record := &estimates.Record{Unit: 16 << 10, TypicalLatency: 0.01}
	for i, age := range ages {
		record.Servers = append(record.Servers, estimates.Server{
			ID:          []string{"a:1", "b:1"}[i],
			At:          time.Now().Add(-age).Round(0), // without the monotonic clock reading, as in a file
			BestPerUnit: 0.01,
			Latency:     0.01,
		})
	}
	return record
}

// TestEstimatesAcrossRestart restores the estimates of one instance in the next, as a planned restart does. They must
// be restored before the first op, ops of the first second must be served, and the estimate of a disk server that has
// restarted in between must be dropped.
func TestEstimatesAcrossRestart(t *testing.T) {
	h := newHarness(t)
	before := estimatesAfterReads(t, h)
	saved := writeAndRead(t, before)
	h.gateway.Kill()
	// The second disk server restarts in between.
	restarted := discovery.Record{State: "on", Size: 1, Cell: 1, StartedMS: time.Now().UnixMilli()}
	h.registerRecord(h.disks[1].Address(), restarted)
	h.serve(gateway.Options{Seed: 2, Estimates: saved})
	h.eventually("only the estimate of the server without a restart is restored, before any op", func() bool {
		now, ok := h.gateway.Estimates()
		if !ok || len(now.Servers) != 1 {
			return false
		}
		was := before.Servers[0]
		if was.ID != h.disks[0].Address() {
			was = before.Servers[1]
		}
		return h.counts().Admitted == 0 && sameEstimate(now.Servers[0], was)
	})
	client := h.connect("client")
	began := time.Now()
	for i := range 40 {
		if _, status := h.do(client, nvme.NewRW(nvme.Read, 1, uint64(256*(i%2)+i/2), 1), nil); status != nvme.Success {
			t.Errorf("op %d, %v after the restart: status %#x, want success", i, time.Since(began), status)
		}
	}
	if after, _ := h.gateway.Estimates(); len(after.Servers) != 2 {
		t.Errorf("estimates %+v, want one also of the restarted server", after)
	}
}

// estimatesAfterReads reads from both disk servers and returns the resulting estimates of the instance.
func estimatesAfterReads(t *testing.T, h *harness) *estimates.Record {
	t.Helper()
	client := h.connect("client")
	for i := range 20 {
		for cell := range 2 {
			if _, status := h.do(client, nvme.NewRW(nvme.Read, 1, uint64(256*cell+i), 1), nil); status != nvme.Success {
				t.Fatalf("read before the restart: status %#x, want success", status)
			}
		}
	}
	record, ok := h.gateway.Estimates()
	if !ok || len(record.Servers) != 2 || record.TypicalLatency <= 0 ||
		record.Servers[0].BestPerUnit <= 0 || record.Servers[1].Latency <= 0 {
		t.Fatalf("estimates: %+v, %v; want two with latencies", record, ok)
	}
	return record
}

// sameEstimate reports whether two estimates of a server agree, except for the rounding of their times in a restart.
func sameEstimate(a, b estimates.Server) bool {
	return a.ID == b.ID && a.BestPerUnit == b.BestPerUnit && a.Latency == b.Latency &&
		a.At.Sub(b.At).Abs() < time.Second
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
