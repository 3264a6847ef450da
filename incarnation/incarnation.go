// Package incarnation converts the start times of disk servers, which lists give by the wall clock, to a monotonic
// clock. The start time that a list gives identifies an incarnation: two such times are only compared for equality. The
// age of an incarnation is measured on the monotonic clock. The package does no I/O, reads no clock, starts no
// goroutine and makes no scheduling decisions.
//
// A gateway has a Tracker for each of its sources and calls it on the goroutine of its event loop; a Tracker is not
// safe for concurrent use.
package incarnation

import (
	"time"

	"honeyplank"
)

const (
	// removedRetention is the time for which a removed server is kept, so that its incarnation is known when it
	// returns.
	removedRetention = time.Hour
	// defaultMaxRemoved is the default number of removed servers that are kept. Beyond it, the one removed first is
	// dropped.
	defaultMaxRemoved = 4096
)

// Tracker records the incarnations of the servers in the lists of one source. The zero value has none and is ready to
// use. Times are durations since a fixed time of the caller's monotonic clock, and must not decrease from call to call.
//
// A Tracker protects slow start against steps of the wall clock. It may place a start later than it was, which delays
// work for a while. It never places a start before the last time at which the incarnation is known not to have run.
// Limitation: in the first seconds of a process, every server whose start time is given counts as just started.
type Tracker struct {
	// MaxRemoved is the maximum number of removed servers that are kept; 0 stands for 4,096. If a larger fleet is
	// missing from one list by mistake, the servers beyond this number count as newly started when they return.
	MaxRemoved int
	servers    map[honeyplank.ServerID]*server
	removed    []removal
	currentAt  time.Duration // time of the last call of MarkCurrent
	hasCurrent bool          // currentAt is set
}

// Incarnation is one run of a server, from its start to its end.
type Incarnation struct {
	// UpSinceMS is the start time that the list gives, in Unix milliseconds. It identifies the incarnation. 0 stands
	// for long ago.
	UpSinceMS int64
	// Started is the start time on the monotonic clock. 0 stands for long ago.
	Started time.Duration
	// StartedAfter is a lower bound of the start time on the monotonic clock: the earlier of the start time by the wall
	// clock and the last call of MarkCurrent or RemoveUnlisted. 0 means that none is known.
	StartedAfter time.Duration
}

// server is the tracker's record of a server.
type server struct {
	incarnation Incarnation // the one named last
	removed     bool
	removedAt   time.Duration
}

// removal is an entry of the queue of removals. It is obsolete if the server has returned since.
type removal struct {
	id honeyplank.ServerID
	at time.Duration
}

// StartOf returns the start time of a server that a list names: 0 for long ago, otherwise a time above 0 and at most
// now. upSinceMS is the start time that the list gives, in Unix milliseconds, or 0 for long ago. wall is the time of
// the wall clock at now. The first call for an incarnation sets its start time. The wall clock may place the start
// before that call, but not before the last call of MarkCurrent or RemoveUnlisted, because at that time the previous
// incarnation was running or the server was absent. Without such a call, the server counts as started now. An
// incarnation that returns after its removal keeps its start time.
func (t *Tracker) StartOf(now time.Duration, wall time.Time, id honeyplank.ServerID, upSinceMS int64) time.Duration {
	s := t.servers[id]
	if s == nil || s.incarnation.UpSinceMS != upSinceMS {
		s = &server{incarnation: t.newIncarnation(now, wall, upSinceMS)}
		t.put(id, s)
	}
	s.removed = false
	return s.incarnation.Started
}

// newIncarnation determines the start time of an incarnation that a list names for the first time.
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

// Lookup returns the incarnation of a server that was passed to StartOf or Adopt last, also if the server has been
// removed. It returns false if the server is not known.
func (t *Tracker) Lookup(id honeyplank.ServerID) (Incarnation, bool) {
	s := t.servers[id]
	if s == nil {
		return Incarnation{}, false
	}
	return s.incarnation, true
}

// Adopt copies an incarnation from the tracker of another source, before a list of this source names it. An incarnation
// that is already known here does not change.
func (t *Tracker) Adopt(id honeyplank.ServerID, incarnation Incarnation) {
	if s := t.servers[id]; s == nil || s.incarnation.UpSinceMS != incarnation.UpSinceMS {
		t.put(id, &server{incarnation: incarnation})
	}
}

// MarkCurrent records that the state of all servers is current at this time: each listed server runs the incarnation
// that was named last, and a server that was never named, or was removed, is absent. It is called after StartOf for the
// entries of a message that is known to follow without a gap on a complete list. It must not be called for a cached
// list, which may be outdated.
func (t *Tracker) MarkCurrent(now time.Duration) {
	t.currentAt, t.hasCurrent = now, true
	t.dropRemoved(now)
}

// RemoveUnlisted removes the servers that are missing from a complete list. It is called after StartOf for the entries
// of the list, and implies MarkCurrent.
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

// MarkRemoved records that a server is no longer listed. Its incarnation is kept for an hour.
func (t *Tracker) MarkRemoved(now time.Duration, id honeyplank.ServerID) {
	s := t.servers[id]
	if s == nil || s.removed {
		return
	}
	s.removed, s.removedAt = true, now
	t.removed = append(t.removed, removal{id, now})
	t.dropRemoved(now)
}

// dropRemoved drops the servers that were removed too long ago. If there are too many removed servers, it also drops
// the ones that were removed first.
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
