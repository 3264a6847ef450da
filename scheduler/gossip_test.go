package scheduler

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"honeyplank"
)

// TestGossipDatagrams checks that datagrams reach the peer with the given ordinal, that they are delivered with the
// ordinal of their sender, and that other senders are ignored.
func TestGossipDatagrams(t *testing.T) {
	addresses := []string{freeUDPAddress(t), freeUDPAddress(t)}
	var beds []*testbed
	received := make(chan string, 8)
	for i := range 2 {
		bed := newTestbed(t, 1, func(m map[string]any) {
			m["peer_listen"], m["peers"], m["peers_all"] = addresses[i], addresses, addresses[1-i]
		})
		bed.onLoop(func() {
			bed.module.onEvent = func(e honeyplank.Event) {
				if p, ok := e.(honeyplank.PeerMessage); ok {
					received <- fmt.Sprint(i, " from ", p.From, ": ", string(p.Data))
				}
			}
		})
		beds = append(beds, bed)
	}
	beds[0].onLoop(func() {
		beds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: make([]byte, 257)})
		beds[0].scheduler.execute(honeyplank.Gossip{To: 9, Data: []byte("nobody")})
		beds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: []byte("one")})
	})
	if got := <-received; got != "1 from 0: one" {
		t.Error(got)
	}
	sendDatagram(t, addresses[0], "not a peer")
	beds[1].onLoop(func() {
		beds[1].scheduler.execute(honeyplank.Gossip{To: honeyplank.AllPeers, Data: []byte("all")})
	})
	if got := <-received; got != "0 from 1: all" {
		t.Error(got)
	}
	if _, err := netip.ParseAddrPort(addresses[0]); err != nil {
		t.Error(err)
	}
}

// freeUDPAddress returns an unused UDP address on loopback.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return conn.LocalAddr().String()
}

// sendDatagram sends a datagram from an address that is not that of a peer.
func sendDatagram(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Error(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}
