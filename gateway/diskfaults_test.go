package gateway_test

import (
	"testing"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// TestSilence has a disk server accept connections and answer nothing, from the handshake on or in service.
// Every op has exactly one answer before its client gives up, and the other server's answers keep coming.
func TestSilence(t *testing.T) {
	for name, fault := range map[string]disk.Faults{
		"in service":            {Silent: true},
		"from the handshake on": {NoHandshake: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a := h.connect("client")
			h.onLoop(func() { h.disks[1].SetFaults(fault) })
			checkOneServerSilent(t, h, a)
			// It comes back; its late answers must not be taken for others'.
			h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{}) })
			h.eventually("served again", func() bool {
				data, status := h.do(a, nvme.NewRW(nvme.Read, 2, 77, 1), nil)
				if status == nvme.Success && data[8] != 77 {
					t.Fatal("another op's data")
				}
				return status == nvme.Success
			})
		})
	}
}

// checkOneServerSilent sends ops to both disk servers, of which the second answers nothing, and checks the answers.
func checkOneServerSilent(t *testing.T, h *harness, a *initiator.Association) {
	t.Helper()
	var silent, healthy []chan answer
	for i := range 30 {
		silent = append(silent, h.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
		healthy = append(healthy, h.submit(a, nvme.NewRW(nvme.Read, 1, uint64(i), 1), nil))
		time.Sleep(10 * time.Millisecond)
	}
	for i := range silent {
		checkRejectedInTime(t, <-silent[i], h.opTimeout())
		if r := <-healthy[i]; r.status != nvme.Success {
			t.Errorf("op %d on the healthy server: %#x", i, r.status)
		}
	}
	h.eventually("no answer is owed", func() bool { return h.counts().Unanswered == 0 })
}

// checkRejectedInTime checks that an answer is a rejection with a retry delay, and came in less than a time.
func checkRejectedInTime(t *testing.T, r answer, limit time.Duration) {
	t.Helper()
	if r.lost || r.took >= limit || r.status.Code() != nvme.CommandInterrupted {
		t.Errorf("an op on the silent server: %#x after %v, lost %v", r.status, r.took, r.lost)
	}
	if r.dw0 == 0 || r.status.Delay() == 0 {
		t.Errorf("an op on the silent server is rejected without a retry delay: %#x after %v", r.status, r.took)
	}
}

// TestOnceOnly loses the answers of at-most-once writes: they fail, since a rejection would promise that they did
// not run.
func TestOnceOnly(t *testing.T) {
	h := newHarness(t)
	a := h.connect("client")
	h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{DropShare: 1}) })
	r := <-h.submit(a, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
	if r.status != nvme.InternalError|nvme.DoNotRetry || r.took >= h.opTimeout() {
		t.Errorf("at most once, answer lost: %#x after %v", r.status, r.took)
	}
	h.register(h.disks[1].Address(), 1, "draining") // never sent: a rejection is harmless
	h.eventually("rejected unsent", func() bool {
		r := <-h.submit(a, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
		return r.status.Code() == nvme.CommandInterrupted
	})
}

// TestTornAnswer has a disk server close the connection in the middle of a PDU: the op is retried, and its client
// gets one complete answer.
func TestTornAnswer(t *testing.T) {
	h := newHarness(t)
	a := h.connect("client")
	for i := range 5 {
		h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{Truncate: true}) })
		data, status := h.do(a, nvme.NewRW(nvme.Read, 2, uint64(100*i), 8), nil)
		if status != nvme.Success || data[8] != byte(100*i) {
			t.Fatalf("read %d: %#x", i, status)
		}
	}
	if c := h.counts(); c.Dispatches < c.Admitted+5 {
		t.Errorf("%d dispatches of %d ops: nothing was torn", c.Dispatches, c.Admitted)
	}
}
