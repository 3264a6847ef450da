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
	shortList = 64            // most servers kept of a volume's ranking
	fewest    = shortList / 2 // with fewer left of them the ranking is looked through anew
)

// ranked is a disk server and its rendezvous hash for a volume.
type ranked struct {
	osd  *osd
	rank uint64
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

// rank is the rendezvous hash of a volume, by its hash, and a disk server.
func rank(volume uint64, id honeyplank.ServerID) uint64 {
	x := volume
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * hashPrime
	}
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ahead is the order of a ranking: by hash, equal ones by id.
func (r ranked) ahead(than ranked) bool {
	return r.rank > than.rank || r.rank == than.rank && r.osd.ID < than.osd.ID
}

// nearest returns the first disk servers of a volume's ranking that are on, in its order. They are always exactly the
// first ones: servers that come are put in, ones that leave are taken out, and when few are left all are looked through.
func (s *Scheduler) nearest(v *volume, id int64) []ranked {
	v.best = slices.DeleteFunc(v.best, func(r ranked) bool { return !r.osd.placed })
	hash := volumeHash(id)
	if v.epoch != s.epoch || !v.whole && len(v.best) < fewest {
		v.best, v.whole = v.best[:0], true
		for _, o := range s.order {
			v.enter(o, hash)
		}
		s.visited += len(s.order)
	} else {
		for _, o := range s.joined[v.seen:] {
			v.enter(o, hash)
		}
		s.visited += len(s.joined) - v.seen
	}
	v.epoch, v.seen = s.epoch, len(s.joined)
	return v.best
}

// enter puts a disk server into the list where it belongs there.
func (v *volume) enter(o *osd, hash uint64) {
	if !o.placed {
		return
	}
	r, n := ranked{o, rank(hash, o.ID)}, len(v.best)
	if n > 0 && !v.whole && v.best[n-1].ahead(r) {
		return
	}
	i := sort.Search(n, func(i int) bool { return !v.best[i].ahead(r) })
	if i < n && v.best[i].osd == o {
		return
	}
	v.best = slices.Insert(v.best, i, r)
	if len(v.best) > shortList {
		v.best, v.whole = v.best[:shortList], false
	}
}

// join notes that a disk server has come, for lists made before.
func (s *Scheduler) join(o *osd) {
	if len(s.joined) > 2*len(s.order)+shortList { // long ago seen by most: start over
		s.joined, s.epoch = nil, s.epoch+1
	}
	s.joined = append(s.joined, o)
}

// soundOnes are the disk servers that were sound at most a sweep ago.
func (s *Scheduler) soundOnes() []*osd {
	if s.now-s.soundAt >= s.sweepEvery() || s.soundAt == 0 {
		s.soundAt, s.soundList = s.now, s.soundList[:0]
		for _, o := range s.order {
			if o.placed && s.sound(o) {
				s.soundList = append(s.soundList, o)
			}
		}
		s.visited += len(s.order)
	}
	return s.soundList
}

// touch has the sweep look at a disk server from now on.
func (s *Scheduler) touch(o *osd) {
	if !o.active {
		o.active = true
		s.active = insert(s.active, o)
	}
}

// settle takes those out of the sweep that have nothing out, nothing held and are not down.
func (s *Scheduler) settle() {
	s.active = slices.DeleteFunc(s.active, func(o *osd) bool {
		o.active = o.out > 0 || o.holding > 0 || o.health == down
		return !o.active
	})
	s.visited += len(s.active)
}
