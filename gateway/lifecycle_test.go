package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/fake/disk"
	"honeyplank/gateway"
	"honeyplank/nvme"
)

// TestShutdown stops a gateway with ops held, out and half received: all that were taken are settled, and
// the answers arrive.
func TestShutdown(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	half := rawConnect(t, w, "half")
	half.write(half.command(9, nvme.Write, 1, 0, 16, nil))
	half.expect(nvme.TypeR2T)
	w.on(func() { w.disks[1].Freeze(300 * time.Millisecond) })
	var answers []chan answer
	for i := range 40 {
		answers = append(answers, w.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
	}
	w.eventually("held and out", func() bool { c := w.counts(); return c.Open == 40 && c.Out > 0 && c.Out < 40 })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := w.g.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	acked := 0
	for i, c := range answers {
		r := <-c
		if r.lost || r.status != nvme.Success && r.status.Code() != nvme.CommandInterrupted {
			t.Errorf("op %d: lost %v, %#x", i, r.lost, r.status)
		}
		if r.status == nvme.Success {
			acked++
		}
	}
	if acked == 0 {
		t.Error("nothing that was out was acked")
	}
}

// TestShutdownCut gives a stop no time: what is left is aborted at once, not dropped.
func TestShutdownCut(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	w.on(func() { w.disks[1].Apply(disk.Faults{Silent: true}) })
	answers := []chan answer{w.submit(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil), w.submit(a, nvme.NewRW(nvme.Read, 2, 2, 1), nil)}
	w.eventually("taken", func() bool { return w.counts().Open == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.g.Shutdown(ctx); err == nil {
		t.Error("a stop without time reports none")
	}
	for _, c := range answers {
		if r := <-c; r.lost || r.status != nvme.InternalError|nvme.DoNotRetry {
			t.Errorf("%#x, lost %v", r.status, r.lost)
		}
	}
}

// TestInstancesShareNothing runs several gateways in one process against the same stand-ins.
func TestInstancesShareNothing(t *testing.T) {
	w := start(t)
	var group sync.WaitGroup
	for n := range 3 {
		s := *w.s
		s.Listen.Host = fmt.Sprint(strings.TrimSuffix(s.Listen.Host, "0"), n+1)
		g, err := gateway.New(gateway.Options{Settings: &s, Seed: int64(n), Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		group.Add(1)
		go func() { defer group.Done(); g.Serve(context.Background()) }()
		if c, ok := g.Counts(); !ok || c.Admitted != 0 {
			t.Errorf("a fresh instance has taken %d ops", c.Admitted)
		}
		if n == 0 {
			g.Kill()
		} else if err := g.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}
	group.Wait()
	if _, status := w.op(w.dial("client"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("the first instance after the others' end: %#x", status)
	}
}
