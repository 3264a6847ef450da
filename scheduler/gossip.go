package scheduler

import (
	"net/netip"
	"slices"

	"honeyplank"
)

// maxDatagram is the maximum size of a message between peers, in bytes.
const maxDatagram = 256

// sendGossip sends a message of the decision module to one peer or to all. It drops a message that is too long, since
// gossip may be lost like any datagram.
func (s *Scheduler) sendGossip(message honeyplank.Gossip) {
	if s.peers == nil || len(message.Data) > maxDatagram {
		return
	}
	switch {
	case message.To >= 0 && message.To < len(s.config.Peers):
		s.peers.Send(s.config.Peers[message.To], message.Data)
	case message.To == honeyplank.AllPeers && s.config.PeerBroadcast.IsValid():
		s.peers.Send(s.config.PeerBroadcast, message.Data)
	}
}

// receiveGossip passes a datagram of a configured peer to the decision module, once for each position of its address
// among the peers. Datagrams of other senders are ignored.
func (s *Scheduler) receiveGossip(from netip.AddrPort, b []byte) {
	if len(b) > maxDatagram {
		return
	}
	for _, ordinal := range s.peerOrdinals[from] {
		s.visited.peers++
		s.tracker.Deliver(honeyplank.PeerMessage{From: ordinal, Data: slices.Clone(b)})
	}
}

// ordinalsByAddress maps each address to its positions in a list of peers.
func ordinalsByAddress(peers []netip.AddrPort) map[netip.AddrPort][]int {
	ordinals := make(map[netip.AddrPort][]int, len(peers))
	for i, address := range peers {
		ordinals[address] = append(ordinals[address], i)
	}
	return ordinals
}
