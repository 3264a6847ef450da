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

// withPeerLimits sets limits per peer.
func withPeerLimits(s *settings.Gateway) {
	s.Limits.MaxConnections = 2000
	s.Limits.Client = &settings.ClientLimits{
		MaxConnections:   40,
		MaxHandshakes:    8,
		MaxBufferedBytes: 64 << 10,
		PDUTimeout:       settings.Span(200 * time.Millisecond),
		BanThreshold:     3,
		ViolationWindow:  settings.Span(2 * time.Second),
		InitialBan:       settings.Span(400 * time.Millisecond),
		MaxBan:           settings.Span(time.Second),
	}
}

// TestPeerBan has a peer violate the protocol until it is banned, return after the ban and violate it again: it must be
// banned again, and another peer must be served throughout.
func TestPeerBan(t *testing.T) {
	h := newHarness(t, withPeerLimits)
	other := h.connect("other")
	violate := func() bool { // opens a connection that sends data other than a PDU; false: it was rejected
		c := dialRawFrom(t, "127.0.0.2", h.gateway.Address())
		if c == nil {
			return false
		}
		c.write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.expect(nvme.TypeC2HTermReq)
		c.conn.Close()
		return true
	}
	for i := range 3 {
		if !violate() {
			t.Fatalf("banned before violation %d, want a ban after three", i)
		}
	}
	if violate() {
		t.Error("not banned after three violations")
	}
	if _, status := h.do(other, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("op of another peer: status %#x, want success", status)
	}
	h.eventually("the ban ends", violate)
	if violate() {
		t.Error("not banned at once after a violation that follows a ban")
	}
	h.eventually("the second ban ends", func() bool { return dialRawFrom(t, "127.0.0.2", h.gateway.Address()) != nil })
}

// TestHandshakeLimit has a peer start a thousand handshakes and complete none: the number of its connections must be
// limited, and other peers must be able to connect.
func TestHandshakeLimit(t *testing.T) {
	h := newHarness(t, withPeerLimits)
	var open []net.Conn
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.3")}}
	for range 1000 {
		if c, err := d.Dial("tcp", h.gateway.Address()); err == nil {
			open = append(open, c)
		}
	}
	if n := h.counts().Connections; n > 8+4 {
		t.Errorf("%d connections are open, want no more than the limit of handshakes allows", n)
	}
	if _, status := h.do(h.connect("other"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("op of another peer: status %#x, want success", status)
	}
	for _, c := range open {
		c.Close()
	}
}

// TestPDUTimeout has a peer send a byte at long intervals: its incomplete PDU must time out, during the handshake and
// after it.
func TestPDUTimeout(t *testing.T) {
	h := newHarness(t, withPeerLimits)
	for name, c := range map[string]*rawClient{
		"during the handshake": dialRaw(t, h.gateway.Address()),
		"after the handshake":  connectRaw(t, h, "slow"),
	} {
		for began := time.Now(); c.sendOneByte(); {
			if time.Since(began) > 3*time.Second {
				t.Fatalf("%s: an incomplete PDU has not timed out within 3 s", name)
			}
		}
	}
}

// sendOneByte sends a byte, waits 50 ms for the connection to be closed and reports whether it is still open.
func (c *rawClient) sendOneByte() bool {
	c.t.Helper()
	if _, err := c.conn.Write([]byte{nvme.TypeCapsuleCmd}); err != nil {
		return false
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		c.t.Fatal(err)
	}
	_, err := c.conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// TestBufferLimitPerPeer has a peer request many Writes without sending their data: the bytes of the buffers that are
// reserved for it must be limited, and every Write must end when its data has timed out.
func TestBufferLimitPerPeer(t *testing.T) {
	h := newHarness(t, withPeerLimits)
	abusive := connectRaw(t, h, "abusive")
	for id := range uint16(20) {
		abusive.write(abusive.command(id, nvme.Write, 1, 0, 16, nil))
	}
	h.eventually("data is requested", func() bool { return h.counts().BufferedBytes > 0 })
	if buffered := h.counts().BufferedBytes; buffered > 64<<10 {
		t.Errorf("%d bytes are reserved for one peer, want at most 64 KiB", buffered)
	}
	for range 20 { // each is answered when its data has timed out
		if p := abusive.expectAny(nvme.TypeCapsuleResp); abusive.status(p) != nvme.DataTransferError {
			t.Errorf("Write without data: status %#x, want a data transfer error", abusive.status(p))
		}
	}
}

// TestCommandLimitPerPeer has a peer keep more commands in flight than allowed: those beyond the limit must be rejected
// at once, the others must end when their data has timed out, and another peer must not be affected.
func TestCommandLimitPerPeer(t *testing.T) {
	h := newHarness(t, withPeerLimits, func(s *settings.Gateway) { s.Limits.Client.MaxCommands = 4 })
	abusive := connectRawFrom(t, h, "abusive", "127.0.0.2")
	for id := range uint16(12) { // Writes whose data is not sent
		abusive.write(abusive.command(id, nvme.Write, 1, 0, 2, nil))
	}
	for range 8 {
		if p := abusive.expectAny(nvme.TypeCapsuleResp); abusive.status(p).Code() != nvme.CommandInterrupted {
			t.Errorf("command beyond the limit: status %#x, want a rejection", abusive.status(p))
		}
	}
	if _, status := h.do(h.connect("other"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("op of another peer: status %#x, want success", status)
	}
	for range 4 {
		if p := abusive.expectAny(nvme.TypeCapsuleResp); abusive.status(p) != nvme.DataTransferError {
			t.Errorf("Write without data: status %#x, want a data transfer error", abusive.status(p))
		}
	}
}
