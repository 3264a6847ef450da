// Package incarnation places the starts of disk servers on a monotonic clock, from lists that give them by the wall
// clock. The start that a list gives identifies an incarnation and is only compared for equality; the age of a start is
// a span of the monotonic clock. The package does no I/O, reads no clock, starts no goroutine and decides nothing.
//
// A gateway has a Tracker for each of its sources and calls it on the goroutine of its event loop; a Tracker is not
// safe for concurrent use.
package incarnation

import (
	"time"

	"honeyplank"
)

const (
	// removedRetention is how long a removed server is kept, so that its incarnation is known when it returns.
	removedRetention = time.Hour
	// defaultMaxRemoved is how many removed servers are kept by default; the one removed first is dropped first.
	defaultMaxRemoved = 4096
)

// Tracker has the incarnations of the servers of one source of lists. The zero value has none and is ready to use.
// Times are spans since a fixed moment of the caller's monotonic clock, and don't decrease from call to call.
//
// It guards slow start against steps of the wall clock: a start may be placed later than it was, which delays work for
// a while, but never earlier than this process can know. It could harm in the first seconds of a process, for which
// every server with a given start has only just started.
type Tracker struct {
	// MaxRemoved bounds the removed servers that are kept; 0: 4,096. Of a larger fleet that is missing from one list by
	// mistake, the servers past this number count as newly started when they return.
	MaxRemoved int
	servers    map[honeyplank.ServerID]*server
	removed    []removal
	currentAt  time.Duration // the last moment at which all mentions held
	hasCurrent bool          // current is set
}

// Incarnation is one life of a server.
type Incarnation struct {
	// UpSinceMS is the start as the list gives it, in Unix milliseconds, and identifies the incarnation; 0: long ago.
	UpSinceMS int64
	// Started is the start on the monotonic clock; 0: long ago.
	Started time.Duration
	// StartedAfter is a time that the start came after, both by the wall clock and by what held before; 0: not known.
	StartedAfter time.Duration
}

// server is what the tracker keeps of a server.
type server struct {
	incarnation Incarnation // the one mentioned last
	removed     bool
	removedAt   time.Duration
}

// removal is an entry in the order of removals. It is out of date where the server has come back since.
type removal struct {
	id honeyplank.ServerID
	at time.Duration
}

// StartOf is when a server that a list mentions has started: 0 for long ago, else above 0 and at most now. upSinceMS is
// the start that the list gives, in Unix milliseconds, 0 for long ago; wall is the wall clock at now. The first mention
// of an incarnation sets its start. The wall clock may place it before that mention, but not before the last moment of
// Current or Complete, at which the incarnation before was running or the server was not there; without such a moment
// the server has started now. An incarnation that returns after its removal keeps its start.
func (t *Tracker) StartOf(now time.Duration, wall time.Time, id honeyplank.ServerID, upSinceMS int64) time.Duration {
	s := t.servers[id]
	if s == nil || s.incarnation.UpSinceMS != upSinceMS {
		s = &server{incarnation: t.newIncarnation(now, wall, upSinceMS)}
		t.put(id, s)
	}
	s.removed = false
	return s.incarnation.Started
}

// newIncarnation places the start of an incarnation that is mentioned for the first time.
func (t *Tracker) newIncarnation(now time.Duration, wall time.Time, upSinceMS int64) Incarnation {
	if upSinceMS == 0 {
		return Incarnation{}
	}
	wallAge := max(wall.Sub(time.UnixMilli(upSinceMS)), 0)
	var maxAge, startedAfter time.Duration
	if t.hasCurrent {
		maxAge = max(now-t.currentAt, 0)
		startedAfter = max(now-max(wallAge, maxAge), 0)
	}
	return Incarnation{
		UpSinceMS:    upSinceMS,
		Started:      max(now-min(wallAge, maxAge), 1),
		StartedAfter: startedAfter,
	}
}

func (t *Tracker) put(id honeyplank.ServerID, s *server) {
	if t.servers == nil {
		t.servers = map[honeyplank.ServerID]*server{}
	}
	t.servers[id] = s
}

// Lookup returns the incarnation of a server that was mentioned last, also of a removed server; false: it is not known.
func (t *Tracker) Lookup(id honeyplank.ServerID) (Incarnation, bool) {
	s := t.servers[id]
	if s == nil {
		return Incarnation{}, false
	}
	return s.incarnation, true
}

// Adopt takes over an incarnation from the tracker of another source, before its first mention here. One that is known
// here stays as it is.
func (t *Tracker) Adopt(id honeyplank.ServerID, incarnation Incarnation) {
	if s := t.servers[id]; s == nil || s.incarnation.UpSinceMS != incarnation.UpSinceMS {
		t.put(id, &server{incarnation: incarnation})
	}
}

// MarkCurrent notes that all mentions hold at this moment: each server runs the incarnation that was mentioned last, and
// one that was not mentioned, or was removed, is not there. It is called after the mentions of a message that is known
// to follow without a gap on a complete list, and never for a cached list, which may be old.
func (t *Tracker) MarkCurrent(now time.Duration) {
	t.currentAt, t.hasCurrent = now, true
	t.dropRemoved(now)
}

// RemoveUnlisted notes that a complete list was received, after its mentions: servers that it does not list are removed.
// It implies Current.
func (t *Tracker) RemoveUnlisted(now time.Duration, ids []honeyplank.ServerID) {
	listed := make(map[honeyplank.ServerID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	for id := range t.servers {
		if !listed[id] {
			t.MarkRemoved(now, id)
		}
	}
	t.MarkCurrent(now)
}

// MarkRemoved notes that a server is not listed any more. Its incarnation is kept for an hour.
func (t *Tracker) MarkRemoved(now time.Duration, id honeyplank.ServerID) {
	s := t.servers[id]
	if s == nil || s.removed {
		return
	}
	s.removed, s.removedAt = true, now
	t.removed = append(t.removed, removal{id, now})
	t.dropRemoved(now)
}

// dropRemoved drops the servers removed too long ago, and the ones removed first of too many.
func (t *Tracker) dropRemoved(now time.Duration) {
	maxRemoved := t.MaxRemoved
	if maxRemoved == 0 {
		maxRemoved = defaultMaxRemoved
	}
	for len(t.removed) > 0 && (len(t.removed) > maxRemoved || now-t.removed[0].at >= removedRetention) {
		r := t.removed[0]
		t.removed = t.removed[1:]
		if s := t.servers[r.id]; s != nil && s.removed && s.removedAt == r.at { // else it has returned since
			delete(t.servers, r.id)
		}
	}
}
