package scheduler

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"honeyplank"
)

// TestPeers: datagrams reach peers by their number and carry their sender's; other senders are ignored.
func TestPeers(t *testing.T) {
	free := func() string {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		return p.LocalAddr().String()
	}
	addresses := []string{free(), free()}
	var worlds []*testbed
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
		worlds = append(worlds, bed)
	}
	worlds[0].onLoop(func() {
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: make([]byte, 257)})
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 9, Data: []byte("nobody")})
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: []byte("one")})
	})
	if got := <-received; got != "1 from 0: one" {
		t.Error(got)
	}
	if c, err := net.Dial("udp", addresses[0]); err == nil {
		c.Write([]byte("stranger"))
		c.Close()
	}
	worlds[1].onLoop(func() { worlds[1].scheduler.execute(honeyplank.Gossip{To: honeyplank.AllPeers, Data: []byte("all")}) })
	if got := <-received; got != "0 from 1: all" {
		t.Error(got)
	}
	if _, err := netip.ParseAddrPort(addresses[0]); err != nil {
		t.Error(err)
	}
}
