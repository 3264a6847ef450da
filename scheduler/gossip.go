package scheduler

import (
	"net/netip"
	"slices"

	"honeyplank"
)

// maxDatagram is how many bytes a message between peers may have.
const maxDatagram = 256

// sendGossip sends a message of the decision module to one peer or to all. One that is too long is dropped, as a datagram
// may be.
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

// receiveGossip hands a datagram of a configured peer to the decision module, once for each position that its address
// has among the peers. Other senders are not heard.
func (s *Scheduler) receiveGossip(from netip.AddrPort, b []byte) {
	if len(b) > maxDatagram {
		return
	}
	for _, ordinal := range s.peerOrdinals[from] {
		s.visited.peers++
		s.tracker.Deliver(honeyplank.PeerMessage{From: ordinal, Data: slices.Clone(b)})
	}
}

// ordinalsByAddress gives the positions of each address in a list of peers.
func ordinalsByAddress(peers []netip.AddrPort) map[netip.AddrPort][]int {
	ordinals := make(map[netip.AddrPort][]int, len(peers))
	for i, address := range peers {
		ordinals[address] = append(ordinals[address], i)
	}
	return ordinals
}
