package scheduler

import (
	"net/netip"

	"honeyplank"
)

const maxDatagram = 256

func (s *Scheduler) sendGossip(a honeyplank.Gossip) {
	if s.peers == nil || len(a.Data) > maxDatagram {
		return
	}
	switch {
	case a.To >= 0 && a.To < len(s.config.Peers):
		s.peers.Send(s.config.Peers[a.To], a.Data)
	case a.To == honeyplank.AllPeers && s.config.PeersAll.IsValid():
		s.peers.Send(s.config.PeersAll, a.Data)
	}
}

func (s *Scheduler) receiveGossip(from netip.AddrPort, b []byte) {
	for i, p := range s.config.Peers {
		if p == from && len(b) <= maxDatagram {
			s.tracker.Deliver(honeyplank.PeerMessage{From: i, Data: append([]byte(nil), b...)})
		}
	}
}
