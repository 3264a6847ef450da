package gateway_test

import (
	"net"
	"testing"
	"time"

	"honeyplank/nvme"
)

// TestClientGone closes a client's connection before the data of a write has arrived, while ops are queued and while
// ops are dispatched. Afterwards no op is awaiting an answer, no buffer is leaked and late answers are discarded.
func TestClientGone(t *testing.T) {
	h := newHarness(t)
	t.Run("before write data", func(t *testing.T) { clientGoneBeforeData(t, h) })
	t.Run("queued and dispatched", func(t *testing.T) { clientGoneInFlight(t, h) })
	data, status := h.do(h.connect("after"), nvme.NewRW(nvme.Read, 2, 5, 1), nil)
	if status != nvme.Success || data[8] != 5 {
		t.Errorf("read after the clients have gone: status %#x, want success and the data of block 5", status)
	}
}

// clientGoneBeforeData closes a connection on which the gateway waits for the data of a write.
func clientGoneBeforeData(t *testing.T, h *harness) {
	t.Helper()
	client := connectRaw(t, h, "partial-write")
	client.write(client.command(9, nvme.Write, 1, 0, 16, nil)) // the gateway answers with an R2T, but gets no data
	client.expect(nvme.TypeR2T)
	if buffered := h.counts().BufferedBytes; buffered < 16*blockBytes {
		t.Errorf("%d bytes buffered while a write is in progress, want at least its size", buffered)
	}
	client.conn.Close()
	h.waitIdle()
}

// clientGoneInFlight closes a connection with ops queued and dispatched.
func clientGoneInFlight(t *testing.T, h *harness) {
	t.Helper()
	h.onLoop(func() { h.disks[1].PauseFor(400 * time.Millisecond) })
	client := h.connect("leaving")
	var answers []chan answer
	for i := range 40 { // more than the window, so that some are dispatched and some queued
		answers = append(answers, h.submit(client, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
	}
	h.eventually("some are dispatched, some queued", func() bool {
		c := h.counts()
		return c.Outstanding > 0 && c.Unanswered > c.Outstanding
	})
	h.onLoop(client.Close)
	h.eventually("no op is awaiting an answer", func() bool { return h.counts().Unanswered == 0 })
	for _, c := range answers {
		if r := <-c; !r.lost {
			t.Error("an answer arrived after the connection was closed")
		}
	}
	if c := h.counts(); c.Outstanding == 0 {
		t.Error("no dispatch is outstanding: the disk server has answered too early for the test to be valid")
	}
	h.waitIdle()
}

// TestClientNeverReads has a client send Reads without reading the answers: its ops end, its buffers are released, and
// other clients are served.
func TestClientNeverReads(t *testing.T) {
	h := newHarness(t)
	client := connectRaw(t, h, "non-reader")
	if err := client.conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	other := h.connect("other")
	go func() {
		for id := uint16(0); id < 60; id++ {
			if _, err := client.conn.Write(client.command(id, nvme.Read, 1, 0, 32, nil)); err != nil {
				return
			}
		}
	}()
	for i := range 50 {
		if _, status := h.do(other, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Errorf("op %d of another client: status %#x, want success", i, status)
		}
	}
	h.eventually("the client's ops have ended", func() bool { return h.counts().Unanswered == 0 })
	h.waitIdle()
}

// TestConnectionLimit opens more connections than allowed: the excess ones are rejected, and established ones are
// served.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t)
	client := h.connect("established")
	var open []net.Conn
	for range 30 {
		if c, err := net.Dial("tcp", h.gateway.Address()); err == nil {
			open = append(open, c)
		}
	}
	h.eventually("the number of connections is within the limit", func() bool {
		return h.counts().Connections <= h.settings.Limits.MaxConnections
	})
	if _, status := h.do(client, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("established client: status %#x, want success", status)
	}
	h.eventually("incomplete handshakes have timed out", func() bool { return h.counts().Connections < 10 })
	for _, c := range open {
		c.Close()
	}
	h.connect("again")
}
