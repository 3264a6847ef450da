package gateway_test

import (
	"testing"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// TestSilentDiskServer has a disk server accept connections but send no answers, from the handshake on or later. Every
// op must get exactly one answer before its client gives up, and the other disk server's ops must succeed.
func TestSilentDiskServer(t *testing.T) {
	for name, fault := range map[string]disk.Faults{
		"in service":            {Silent: true},
		"from the handshake on": {NoHandshake: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			client := h.connect("client")
			h.onLoop(func() { h.disks[1].SetFaults(fault) })
			checkOneServerSilent(t, h, client)
			// The server recovers. Its late answers must not be delivered to other ops.
			h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{}) })
			h.eventually("served again", func() bool {
				data, status := h.do(client, nvme.NewRW(nvme.Read, 2, 77, 1), nil)
				if status == nvme.Success && data[8] != 77 {
					t.Fatal("a read returns the data of another op")
				}
				return status == nvme.Success
			})
		})
	}
}

// checkOneServerSilent sends ops to both disk servers, of which the second sends no answers, and checks the results.
func checkOneServerSilent(t *testing.T, h *harness, client *initiator.Association) {
	t.Helper()
	var silent, healthy []chan answer
	for i := range 30 {
		silent = append(silent, h.submit(client, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
		healthy = append(healthy, h.submit(client, nvme.NewRW(nvme.Read, 1, uint64(i), 1), nil))
		time.Sleep(10 * time.Millisecond)
	}
	for i := range silent {
		checkRejectedInTime(t, <-silent[i], h.opTimeout())
		if r := <-healthy[i]; r.status != nvme.Success {
			t.Errorf("op %d on the healthy server: status %#x, want success", i, r.status)
		}
	}
	h.eventually("no op is awaiting an answer", func() bool { return h.counts().Unanswered == 0 })
}

// checkRejectedInTime checks that an answer is a rejection with a retry delay and took less than limit.
func checkRejectedInTime(t *testing.T, r answer, limit time.Duration) {
	t.Helper()
	if r.lost || r.took >= limit || r.status.Code() != nvme.CommandInterrupted {
		t.Errorf("op on the silent server: status %#x after %v, lost %v; want a rejection in time",
			r.status, r.took, r.lost)
	}
	if r.dw0 == 0 || r.status.RetryDelay() == 0 {
		t.Errorf("op on the silent server is rejected without a retry delay: status %#x after %v", r.status, r.took)
	}
}

// TestAtMostOnceWrite drops the answers to at-most-once writes: the writes must fail, because a rejection would state
// that they did not run. A write that was not sent must be rejected.
func TestAtMostOnceWrite(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{DropShare: 1}) })
	r := <-h.submit(client, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
	if r.status != nvme.InternalError|nvme.DoNotRetry || r.took >= h.opTimeout() {
		t.Errorf("at-most-once write whose answer is dropped: status %#x after %v, want a failure in time",
			r.status, r.took)
	}
	h.register(h.disks[1].Address(), 1, "draining") // the next write is not sent, so a rejection is safe
	h.eventually("a write that was not sent is rejected", func() bool {
		r := <-h.submit(client, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
		return r.status.Code() == nvme.CommandInterrupted
	})
}

// TestTruncatedAnswer has a disk server close the connection in the middle of a PDU: the op is retried, and its client
// gets one complete answer.
func TestTruncatedAnswer(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	for i := range 5 {
		h.onLoop(func() { h.disks[1].SetFaults(disk.Faults{Truncate: true}) })
		data, status := h.do(client, nvme.NewRW(nvme.Read, 2, uint64(100*i), 8), nil)
		if status != nvme.Success || data[8] != byte(100*i) {
			t.Fatalf("read %d: status %#x, want success and the block's data", i, status)
		}
	}
	if c := h.counts(); c.Dispatches < c.Admitted+5 {
		t.Errorf("%d dispatches of %d ops: not every truncated answer led to a retry", c.Dispatches, c.Admitted)
	}
}
