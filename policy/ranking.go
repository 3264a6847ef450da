package policy

import (
	"slices"
	"sort"
	"strconv"

	"honeyplank"
)

// This file ranks disk servers for new objects and keeps those that a sweep has to look at, so that the work of an event
// does not grow with the fleet. Nothing here decides.

const (
	shortList    = 64            // most servers kept of a volume's ranking
	minShortList = shortList / 2 // with fewer left of them the ranking is looked through anew
)

// rankedServer is a disk server and its rendezvous hash for a volume.
type rankedServer struct {
	server *server
	rank   uint64
}

// FNV-1a, 64 bits.
const (
	hashStart = 14695981039346656037
	hashPrime = 1099511628211
)

// volumeHash is the part of a rank that a volume has in common for all disk servers.
func volumeHash(volume int64) uint64 {
	var digits [20]byte
	h := uint64(hashStart)
	for _, c := range strconv.AppendInt(digits[:0], volume, 10) {
		h = (h ^ uint64(c)) * hashPrime
	}
	return h
}

// rendezvousHash is the rendezvous hash of a volume, by its hash, and a disk server.
func rendezvousHash(volume uint64, id honeyplank.ServerID) uint64 {
	x := volume
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * hashPrime
	}
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ranksBefore is the order of a ranking: by hash, equal ones by id.
func (r rankedServer) ranksBefore(than rankedServer) bool {
	return r.rank > than.rank || r.rank == than.rank && r.server.ID < than.server.ID
}

// topRanked returns the first disk servers of a volume's ranking that are on, in its order. They are always exactly the
// first ones: servers that come are put in, ones that leave are taken out, and when few are left all are looked through.
func (s *Scheduler) topRanked(v *volume, id int64) []rankedServer {
	v.topServers = slices.DeleteFunc(v.topServers, func(r rankedServer) bool { return !r.server.listedUp })
	hash := volumeHash(id)
	if v.rankingEpoch != s.rankingEpoch || !v.topComplete && len(v.topServers) < minShortList {
		v.topServers, v.topComplete = v.topServers[:0], true
		for _, o := range s.serversByID {
			v.insertRanked(o, hash)
		}
		s.serversVisited += len(s.serversByID)
	} else {
		for _, o := range s.joinedServers[v.joinedSeen:] {
			v.insertRanked(o, hash)
		}
		s.serversVisited += len(s.joinedServers) - v.joinedSeen
	}
	v.rankingEpoch, v.joinedSeen = s.rankingEpoch, len(s.joinedServers)
	return v.topServers
}

// insertRanked puts a disk server into the list where it belongs there.
func (v *volume) insertRanked(o *server, hash uint64) {
	if !o.listedUp {
		return
	}
	r, n := rankedServer{o, rendezvousHash(hash, o.ID)}, len(v.topServers)
	if n > 0 && !v.topComplete && v.topServers[n-1].ranksBefore(r) {
		return
	}
	i := sort.Search(n, func(i int) bool { return !v.topServers[i].ranksBefore(r) })
	if i < n && v.topServers[i].server == o {
		return
	}
	v.topServers = slices.Insert(v.topServers, i, r)
	if len(v.topServers) > shortList {
		v.topServers, v.topComplete = v.topServers[:shortList], false
	}
}

// joinRankings notes that a disk server has come, for lists made before.
func (s *Scheduler) joinRankings(o *server) {
	if len(s.joinedServers) > 2*len(s.serversByID)+shortList { // long ago seen by most: start over
		s.joinedServers, s.rankingEpoch = nil, s.rankingEpoch+1
	}
	s.joinedServers = append(s.joinedServers, o)
}

// acceptingServers are the disk servers that were sound at most a sweep ago.
func (s *Scheduler) acceptingServers() []*server {
	if s.now-s.acceptingAt >= s.sweepInterval() || s.acceptingAt == 0 {
		s.acceptingAt, s.acceptingCache = s.now, s.acceptingCache[:0]
		for _, o := range s.serversByID {
			if o.listedUp && s.acceptsNewObjects(o) {
				s.acceptingCache = append(s.acceptingCache, o)
			}
		}
		s.serversVisited += len(s.serversByID)
	}
	return s.acceptingCache
}

// markActive has the sweep look at a disk server from now on.
func (s *Scheduler) markActive(o *server) {
	if !o.active {
		o.active = true
		s.activeServers = insertByID(s.activeServers, o)
	}
}

// deactivateIdle takes those out of the sweep that have nothing out, nothing held and are not down.
func (s *Scheduler) deactivateIdle() {
	s.activeServers = slices.DeleteFunc(s.activeServers, func(o *server) bool {
		o.active = o.outstanding > 0 || o.heldCount > 0 || o.health == down
		return !o.active
	})
	s.serversVisited += len(s.activeServers)
}
