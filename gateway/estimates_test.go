package gateway_test

import (
	"context"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/gateway"
	"honeyplank/nvme"
)

// TestLearntAges has a switch to an instance whose wall clock has stepped since: what was learnt is told with its age,
// or not at all where that can't be told.
func TestLearntAges(t *testing.T) {
	for name, x := range map[string]struct {
		step time.Duration
		ages []time.Duration // when it was learnt, before the switch
		want []time.Duration // with what age it is told
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
			c := clock(start(t), x.step, r)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.learnt) != len(x.want) {
				t.Fatalf("told: %+v", c.learnt)
			}
			now := c.told[0].now
			for i, k := range c.learnt {
				if off := now - k.At - x.want[i]; off < -100*time.Millisecond || off > time.Minute {
					t.Errorf("%s is told as %v old, not %v", k.Server, now-k.At, x.want[i])
				}
			}
		})
	}
}

// TestSwitch hands what one instance has learnt to the next, as a planned stop and start does: it is known before the
// first op, ops of the first second are served, and what was learnt of a server that has started since is not.
func TestSwitch(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	for i := range 20 {
		for cell := range 2 {
			if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, uint64(256*cell+i), 1), nil); status != nvme.Success {
				t.Fatalf("before the switch: %#x", status)
			}
		}
	}
	before, ok := w.g.Learnt()
	if !ok || len(before.Servers) != 2 || before.TypicalLatency <= 0 || before.Servers[0].BestPerUnit <= 0 || before.Servers[1].Latency <= 0 {
		t.Fatalf("learnt: %+v, %v", before, ok)
	}
	file := filepath.Join(t.TempDir(), "learnt")
	if err := before.Write(file); err != nil {
		t.Fatal(err)
	}
	kept, err := estimates.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	w.g.Kill()
	// The second one has started anew since.
	value, _ := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: 1, StartedMS: time.Now().UnixMilli()})
	w.etcd.Set("/honeyplank/nodes/"+w.disks[1].Address(), value)
	if w.g, err = gateway.New(gateway.Options{Settings: w.s, Seed: 2, Learnt: kept, Log: zerolog.Nop()}); err != nil {
		t.Fatal(err)
	}
	go w.g.Serve(context.Background())
	w.eventually("what still holds is known before any op, and no more", func() bool {
		now, ok := w.g.Learnt()
		if !ok || len(now.Servers) != 1 {
			return false
		}
		was := before.Servers[0]
		if was.ID != w.disks[0].Address() {
			was = before.Servers[1]
		}
		is := now.Servers[0]
		return w.counts().Admitted == 0 && is.ID == was.ID && is.BestPerUnit == was.BestPerUnit && is.Latency == was.Latency && is.At.Sub(was.At).Abs() < time.Second
	})
	a = w.dial("client")
	began := time.Now()
	for i := range 40 {
		if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, uint64(256*(i%2)+i/2), 1), nil); status != nvme.Success {
			t.Errorf("op %d, %v after the switch: %#x", i, time.Since(began), status)
		}
	}
	if after, _ := w.g.Learnt(); len(after.Servers) != 2 {
		t.Errorf("the server that started anew is not learnt afresh: %+v", after)
	}
}
