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

// TestShutdown shuts down a gateway with queued, dispatched and partly received ops: all admitted ops must be answered,
// and the answers must reach the client.
func TestShutdown(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	partialWrite := connectRaw(t, h, "partial-write")
	partialWrite.write(partialWrite.command(9, nvme.Write, 1, 0, 16, nil))
	partialWrite.expect(nvme.TypeR2T)
	h.onLoop(func() { h.disks[1].PauseFor(300 * time.Millisecond) })
	var answers []chan answer
	for i := range 40 {
		answers = append(answers, h.submit(client, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
	}
	h.eventually("some ops are dispatched, some queued", func() bool {
		c := h.counts()
		return c.Unanswered == 40 && c.Outstanding > 0 && c.Outstanding < 40
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := h.gateway.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	succeeded := 0
	for i, c := range answers {
		r := <-c
		if r.lost || r.status != nvme.Success && r.status.Code() != nvme.CommandInterrupted {
			t.Errorf("op %d: lost %v, status %#x; want success or a rejection", i, r.lost, r.status)
		}
		if r.status == nvme.Success {
			succeeded++
		}
	}
	if succeeded == 0 {
		t.Error("no dispatched op succeeded")
	}
}

// TestShutdownDeadline shuts down with a context that is done: remaining ops must fail at once and not be dropped.
func TestShutdownDeadline(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{Silent: true}) })
	answers := []chan answer{
		h.submit(client, nvme.NewRW(nvme.Read, 2, 1, 1), nil),
		h.submit(client, nvme.NewRW(nvme.Read, 2, 2, 1), nil),
	}
	h.eventually("both ops are admitted", func() bool { return h.counts().Unanswered == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.gateway.Shutdown(ctx); err == nil {
		t.Error("Shutdown returns no error though its context was done")
	}
	for _, c := range answers {
		if r := <-c; r.lost || r.status != nvme.InternalError|nvme.DoNotRetry {
			t.Errorf("op at the deadline of the shutdown: status %#x, lost %v; want a failure", r.status, r.lost)
		}
	}
}

// TestInstancesAreIndependent runs several gateways in one process with the same fakes and ends them: the first gateway
// must still serve.
func TestInstancesAreIndependent(t *testing.T) {
	h := newHarness(t)
	var group sync.WaitGroup
	for n := range 3 {
		s := *h.settings
		s.Listen.Host = fmt.Sprint(strings.TrimSuffix(s.Listen.Host, "0"), n+1)
		g, err := gateway.New(gateway.Options{Settings: &s, Seed: int64(n), Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			if err := g.Serve(context.Background()); err != nil {
				t.Errorf("Serve: %v", err)
			}
		})
		if c, ok := g.Counts(); !ok || c.Admitted != 0 {
			t.Errorf("a new instance has admitted %d ops, want 0", c.Admitted)
		}
		if n == 0 {
			g.Kill()
		} else if err := g.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}
	group.Wait()
	if _, status := h.do(h.connect("client"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("op on the first instance after the others have ended: status %#x, want success", status)
	}
}
