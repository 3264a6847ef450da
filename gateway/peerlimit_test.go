package gateway_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

// guarded bounds what one peer may cost.
func guarded(s *settings.Gateway) {
	s.Limits.Connections = 2000
	s.Limits.Peer = &settings.Peer{Connections: 40, Handshakes: 8, Bytes: 64 << 10, PDU: settings.Span(200 * time.Millisecond), Breaches: 3,
		Window: settings.Span(2 * time.Second), Shut: settings.Span(400 * time.Millisecond), Most: settings.Span(time.Second)}
}

// TestShutOut has a peer break the protocol until it is shut out, come back on trial, and break it again; another
// peer keeps its service.
func TestShutOut(t *testing.T) {
	w := start(t, guarded)
	honest := w.dial("honest")
	bad := func() bool { // one connection that says nonsense; false: it was turned away
		c := rawFrom(t, "127.0.0.2", w.g.Address())
		if c == nil {
			return false
		}
		c.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.expect(nvme.TypeC2HTermReq)
		c.conn.Close()
		return true
	}
	for i := range 3 {
		if !bad() {
			t.Fatalf("turned away at breach %d", i)
		}
	}
	if bad() {
		t.Error("not shut out after three breaches")
	}
	if _, status := w.op(honest, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client of another peer: %#x", status)
	}
	w.eventually("it comes back on trial", bad)
	if bad() {
		t.Error("a breach on trial was let pass")
	}
	w.eventually("it comes back once more", func() bool { return rawFrom(t, "127.0.0.2", w.g.Address()) != nil })
}

// TestHalfOpen has a peer open a thousand handshakes and complete none: they are bound, and others connect.
func TestHalfOpen(t *testing.T) {
	w := start(t, guarded)
	var open []net.Conn
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.3")}}
	for range 1000 {
		if c, err := d.Dial("tcp", w.g.Address()); err == nil {
			open = append(open, c)
		}
	}
	if n := w.counts().Connections; n > 8+4 {
		t.Errorf("%d connections stand", n)
	}
	if _, status := w.op(w.dial("honest"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client: %#x", status)
	}
	for _, c := range open {
		c.Close()
	}
}

// TestSlowPeer has a peer send a byte now and then: its PDU is not waited for, in the handshake or in service.
func TestSlowPeer(t *testing.T) {
	w := start(t, guarded)
	for name, c := range map[string]*raw{"in the handshake": rawDial(t, w.g.Address()), "in service": rawConnect(t, w, "slow")} {
		began := time.Now()
		for {
			if _, err := c.conn.Write([]byte{nvme.TypeCapsuleCmd}[:1]); err != nil {
				break
			}
			c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := c.conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if time.Since(began) > 3*time.Second {
				t.Fatalf("%s: a byte now and then is waited for", name)
			}
		}
	}
}

// TestBytesOfOnePeer has a peer ask for many Writes and send the data of none: what is held for it is bound, and
// another peer's Writes go on.
func TestBytesOfOnePeer(t *testing.T) {
	w := start(t, guarded)
	greedy := rawConnect(t, w, "greedy")
	for id := range uint16(20) {
		greedy.write(greedy.command(id, nvme.Write, 1, 0, 16, nil))
	}
	w.eventually("asked", func() bool { return w.counts().Held > 0 })
	if held := w.counts().Held; held > 64<<10 {
		t.Errorf("%d bytes are held for one peer", held)
	}
	for range 20 { // each is answered all the same, when its data has not come in time
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p) != nvme.DataTransferError {
			t.Errorf("%#x", greedy.status(p))
		}
	}
}

// TestCommandsOfOnePeer has a peer keep more commands out than it may: those beyond are answered at once, the others
// are served, and another peer notices nothing.
func TestCommandsOfOnePeer(t *testing.T) {
	w := start(t, guarded, func(s *settings.Gateway) { s.Limits.Peer.Commands = 4 })
	greedy := rawConnectFrom(t, w, "greedy", "127.0.0.2")
	for id := range uint16(12) { // Writes whose data does not come
		greedy.write(greedy.command(id, nvme.Write, 1, 0, 2, nil))
	}
	for range 8 {
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p).Code() != nvme.CommandInterrupted {
			t.Errorf("%#x", greedy.status(p))
		}
	}
	if _, status := w.op(w.dial("honest"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client of another peer: %#x", status)
	}
	for range 4 {
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p) != nvme.DataTransferError {
			t.Errorf("%#x", greedy.status(p))
		}
	}
}
