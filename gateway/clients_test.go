package gateway_test

import (
	"net"
	"testing"
	"time"

	"honeyplank/nvme"
)

// TestClientLeaves breaks a client's connection before its data came, while its op is held, and while it is
// dispatched. Nothing is owed any more, nothing leaks, and a late answer is nobody's.
func TestClientLeaves(t *testing.T) {
	w := start(t)
	t.Run("before its data", func(t *testing.T) {
		c := rawConnect(t, w, "half")
		c.write(c.command(9, nvme.Write, 1, 0, 16, nil)) // an R2T comes, its data never does
		c.expect(nvme.TypeR2T)
		if h := w.counts().Held; h < 16*4096 {
			t.Errorf("%d bytes held, a write is under way", h)
		}
		c.conn.Close()
		w.quiet()
	})
	t.Run("held and dispatched", func(t *testing.T) {
		w.on(func() { w.disks[1].Freeze(400 * time.Millisecond) })
		a := w.dial("leaves")
		var answers []chan answer
		for i := range 40 { // more than the window: some are out, some are held
			answers = append(answers, w.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
		}
		w.eventually("some out", func() bool { c := w.counts(); return c.Out > 0 && c.Open > c.Out })
		w.on(a.Close)
		w.eventually("nothing owed", func() bool { return w.counts().Open == 0 })
		for _, c := range answers {
			if r := <-c; !r.lost {
				t.Error("an answer after the connection was closed")
			}
		}
		if c := w.counts(); c.Out == 0 {
			t.Error("the disk server has answered already; nothing was tested")
		}
		w.quiet()
	})
	if data, status := w.op(w.dial("after"), nvme.NewRW(nvme.Read, 2, 5, 1), nil); status != nvme.Success || data[8] != 5 {
		t.Errorf("afterwards: %#x", status)
	}
}

// TestNeverReads has a client send reads and never read an answer: what it may cost is bounded, and others
// keep their service.
func TestNeverReads(t *testing.T) {
	w := start(t)
	c := rawConnect(t, w, "deaf")
	c.conn.(*net.TCPConn).SetReadBuffer(4096)
	other := w.dial("other")
	go func() {
		for id := uint16(0); id < 60; id++ {
			if _, err := c.conn.Write(c.command(id, nvme.Read, 1, 0, 32, nil)); err != nil {
				return
			}
		}
	}()
	for i := range 50 {
		if _, status := w.op(other, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Errorf("another client's op %d: %#x", i, status)
		}
	}
	w.eventually("the client's ops are over", func() bool { return w.counts().Open == 0 })
	w.quiet()
}

// TestConnections opens more than are allowed: the rest are turned away, and those that stand are served.
func TestConnections(t *testing.T) {
	w := start(t)
	a := w.dial("stands")
	var open []net.Conn
	for range 30 {
		if c, err := net.Dial("tcp", w.g.Address()); err == nil {
			open = append(open, c)
		}
	}
	w.eventually("no more than allowed", func() bool { return w.counts().Connections <= w.s.Limits.Connections })
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("a client that stood: %#x", status)
	}
	// Half-open handshakes end by themselves.
	w.eventually("half-open handshakes are over", func() bool { return w.counts().Connections < 10 })
	for _, c := range open {
		c.Close()
	}
	w.dial("again")
}
