package gateway_test

import (
	"net"
	"testing"
	"time"

	"honeyplank/nvme"
)

// TestClientGone closes a client's connection before its data came, while its op is queued, and while it is
// dispatched. No answer is owed any more, no buffer leaks, and a late answer is discarded.
func TestClientGone(t *testing.T) {
	h := newHarness(t)
	t.Run("before its data", func(t *testing.T) { clientGoneBeforeData(t, h) })
	t.Run("queued and dispatched", func(t *testing.T) { clientGoneInFlight(t, h) })
	data, status := h.do(h.connect("after"), nvme.NewRW(nvme.Read, 2, 5, 1), nil)
	if status != nvme.Success || data[8] != 5 {
		t.Errorf("afterwards: %#x", status)
	}
}

// clientGoneBeforeData closes a connection on which the data of a write is awaited.
func clientGoneBeforeData(t *testing.T, h *harness) {
	t.Helper()
	c := connectRaw(t, h, "half")
	c.write(c.command(9, nvme.Write, 1, 0, 16, nil)) // an R2T comes, its data never does
	c.expect(nvme.TypeR2T)
	if buffered := h.counts().BufferedBytes; buffered < 16*blockBytes {
		t.Errorf("%d bytes are buffered, a write is in progress", buffered)
	}
	c.conn.Close()
	h.waitIdle()
}

// clientGoneInFlight closes a connection with ops queued and dispatched.
func clientGoneInFlight(t *testing.T, h *harness) {
	t.Helper()
	h.onLoop(func() { h.disks[1].PauseFor(400 * time.Millisecond) })
	a := h.connect("leaves")
	var answers []chan answer
	for i := range 40 { // more than the window: some are dispatched, some queued
		answers = append(answers, h.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
	}
	h.eventually("some are dispatched, some queued", func() bool {
		c := h.counts()
		return c.Outstanding > 0 && c.Unanswered > c.Outstanding
	})
	h.onLoop(a.Close)
	h.eventually("no answer is owed", func() bool { return h.counts().Unanswered == 0 })
	for _, c := range answers {
		if r := <-c; !r.lost {
			t.Error("an answer after the connection was closed")
		}
	}
	if c := h.counts(); c.Outstanding == 0 {
		t.Error("the disk server has answered already; nothing was tested")
	}
	h.waitIdle()
}

// TestNeverReads has a client send reads and never read an answer: its cost is bounded, and others are served.
func TestNeverReads(t *testing.T) {
	h := newHarness(t)
	c := connectRaw(t, h, "non-reader")
	if err := c.conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	other := h.connect("other")
	go func() {
		for id := uint16(0); id < 60; id++ {
			if _, err := c.conn.Write(c.command(id, nvme.Read, 1, 0, 32, nil)); err != nil {
				return
			}
		}
	}()
	for i := range 50 {
		if _, status := h.do(other, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Errorf("another client's op %d: %#x", i, status)
		}
	}
	h.eventually("the client's ops are over", func() bool { return h.counts().Unanswered == 0 })
	h.waitIdle()
}

// TestConnectionLimit opens more connections than are allowed: the rest are rejected, and established ones are served.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t)
	a := h.connect("established")
	var open []net.Conn
	for range 30 {
		if c, err := net.Dial("tcp", h.gateway.Address()); err == nil {
			open = append(open, c)
		}
	}
	h.eventually("no more than allowed", func() bool {
		return h.counts().Connections <= h.settings.Limits.MaxConnections
	})
	if _, status := h.do(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an established client: %#x", status)
	}
	// Incomplete handshakes time out.
	h.eventually("incomplete handshakes have timed out", func() bool { return h.counts().Connections < 10 })
	for _, c := range open {
		c.Close()
	}
	h.connect("again")
}
