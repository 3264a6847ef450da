package policy

import (
	"slices"
	"sort"
	"strconv"

	"honeyplank"
)

// Each volume keeps only the first servers of its ranking, and sweeps visit only active servers.
// The work of an event therefore does not grow with the fleet.
const (
	maxTopServers = 64                // number of servers that a volume keeps of its ranking
	minTopServers = maxTopServers / 2 // with fewer servers left, the ranking is rebuilt from all servers
)

// rankedServer is a server with its rendezvous hash for a volume.
type rankedServer struct {
	server *server
	hash   uint64
}

// Parameters of FNV-1a with 64 bits.
const (
	hashStart = 14695981039346656037
	hashPrime = 1099511628211
)

// volumeHash returns the FNV-1a hash of a volume's number in decimal. All rendezvous hashes of the
// volume start from it.
func volumeHash(volume int64) uint64 {
	var digits [20]byte
	hash := uint64(hashStart)
	for _, digit := range strconv.AppendInt(digits[:0], volume, 10) {
		hash = (hash ^ uint64(digit)) * hashPrime
	}
	return hash
}

// rendezvousHash returns the rendezvous hash of a server for a volume. hash is the volumeHash of
// the volume.
func rendezvousHash(hash uint64, id honeyplank.ServerID) uint64 {
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * hashPrime
	}
	hash ^= hash >> 33 // first round of the MurmurHash3 finalizer
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// ranksBefore reports whether candidate comes before other in a ranking: by descending hash, then
// by ascending id.
func (candidate rankedServer) ranksBefore(other rankedServer) bool {
	return candidate.hash > other.hash || candidate.hash == other.hash && candidate.server.ID < other.server.ID
}

// topRanked returns the first servers of a volume's ranking that are listed as up, in order. They
// are exactly the first ones of a ranking of all servers: servers that came up are inserted, and
// servers that left are deleted. The ranking is rebuilt when few servers are left.
func (e *Engine) topRanked(volume *volume, id int64) []rankedServer {
	volume.topServers = slices.DeleteFunc(volume.topServers, func(candidate rankedServer) bool {
		return !candidate.server.listedUp
	})
	hash := volumeHash(id)
	if volume.rankingEpoch != e.rankingEpoch || !volume.topComplete && len(volume.topServers) < minTopServers {
		volume.topServers, volume.topComplete = volume.topServers[:0], true
		for _, server := range e.serversByID {
			volume.insertRanked(server, hash)
		}
		e.serversVisited += len(e.serversByID)
	} else {
		for _, server := range e.joinedServers[volume.joinedSeen:] {
			volume.insertRanked(server, hash)
		}
		e.serversVisited += len(e.joinedServers) - volume.joinedSeen
	}
	volume.rankingEpoch, volume.joinedSeen = e.rankingEpoch, len(e.joinedServers)
	return volume.topServers
}

// insertRanked inserts a server into topServers if it is listed as up and ranks among them.
func (volume *volume) insertRanked(server *server, hash uint64) {
	if !server.listedUp {
		return
	}
	candidate, n := rankedServer{server, rendezvousHash(hash, server.ID)}, len(volume.topServers)
	if n > 0 && !volume.topComplete && volume.topServers[n-1].ranksBefore(candidate) {
		return
	}
	i := sort.Search(n, func(i int) bool { return !volume.topServers[i].ranksBefore(candidate) })
	if i < n && volume.topServers[i].server == server {
		return
	}
	volume.topServers = slices.Insert(volume.topServers, i, candidate)
	if len(volume.topServers) > maxTopServers {
		volume.topServers, volume.topComplete = volume.topServers[:maxTopServers], false
	}
}

// joinRankings records that a server came up, so that the existing rankings can insert it.
func (e *Engine) joinRankings(server *server) {
	if len(e.joinedServers) > 2*len(e.serversByID)+maxTopServers { // most rankings have inserted most of them
		e.joinedServers, e.rankingEpoch = nil, e.rankingEpoch+1
	}
	e.joinedServers = append(e.joinedServers, server)
}

// acceptingServers returns the servers that accepted new objects at most one sweep interval ago.
func (e *Engine) acceptingServers() []*server {
	if e.now-e.acceptingAt >= e.sweepInterval() || e.acceptingAt == 0 {
		e.acceptingAt, e.acceptingCache = e.now, e.acceptingCache[:0]
		for _, server := range e.serversByID {
			if server.listedUp && e.acceptsNewObjects(server) {
				e.acceptingCache = append(e.acceptingCache, server)
			}
		}
		e.serversVisited += len(e.serversByID)
	}
	return e.acceptingCache
}

// markActive adds a server to those that sweeps visit.
func (e *Engine) markActive(server *server) {
	if !server.active {
		server.active = true
		e.activeServers = insertByID(e.activeServers, server)
	}
}

// deactivateIdle removes servers without outstanding or queued ops from those that sweeps visit.
// Servers that are down stay.
func (e *Engine) deactivateIdle() {
	e.activeServers = slices.DeleteFunc(e.activeServers, func(server *server) bool {
		server.active = server.outstanding > 0 || server.queuedCount > 0 || server.health == honeyplank.HealthDown
		return !server.active
	})
	e.serversVisited += len(e.activeServers)
}
