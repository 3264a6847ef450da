// Package incarnation tells when disk servers have started, on a monotonic clock, from lists that name their starts by
// the wall clock. The start that a list names is an identity, which is only compared; the age of a start is a span of
// real time. The package does no I/O, reads no clock and decides nothing.
package incarnation

import (
	"time"

	"honeyplank"
)

const (
	// removedFor is how long a server that was removed is remembered, so that it is known when it comes back.
	removedFor = time.Hour
	// removedMost bounds how many are remembered by default; the one removed first is forgotten first.
	removedMost = 4096
)

// Tracker knows the incarnations of one source of lists. The zero value knows nothing and may be used. Times are of the
// caller's monotonic clock and don't decrease.
//
// It guards slow start against steps of the wall clock: a start may be taken for later than it was, which holds work
// back for a while, never for earlier than this process can tell. It could harm for the first seconds of a process, to
// which every server that names a start has just started.
type Tracker struct {
	// Most bounds the removed servers that are remembered; 0: 4,096. A fleet that is larger and is left out of one list
	// by mistake would count as started anew where it exceeds this.
	MaxRemoved int
	servers    map[honeyplank.ServerID]*server
	removed    []removal
	current    time.Duration // when all that was told held last
	bounded    bool          // current is set
}

type server struct {
	upSinceMS int64
	started   time.Duration
	after     time.Duration
	gone      bool
	goneAt    time.Duration
}

// removal is an entry in the order of removals. It is out of date where the server has come back since.
type removal struct {
	id honeyplank.ServerID
	at time.Duration
}

// Start tells when the server that a list mentions has started: 0 long ago, else above 0 and never in the time to come.
// wall is the wall clock at now. The first mention of an incarnation sets its start. The wall clock may place it before
// that mention, but not before the last moment of Current or Complete, when the former one held or the server was not
// there; without such a moment it has started now. An incarnation that comes back after its removal keeps its start.
func (t *Tracker) Start(now time.Duration, wall time.Time, id honeyplank.ServerID, upSinceMS int64) time.Duration {
	s := t.servers[id]
	if s == nil || s.upSinceMS != upSinceMS {
		s = &server{upSinceMS: upSinceMS}
		s.started, s.after = t.place(now, wall, upSinceMS)
		t.keep(id, s)
	}
	s.gone = false
	return s.started
}

// place turns the start of a new incarnation into a time of the monotonic clock, and tells what it was surely after.
func (t *Tracker) place(now time.Duration, wall time.Time, upSinceMS int64) (started, after time.Duration) {
	if upSinceMS == 0 {
		return 0, 0
	}
	named := max(wall.Sub(time.UnixMilli(upSinceMS)), 0)
	longest := time.Duration(0) // the greatest age that it can have
	if t.bounded {
		longest = max(now-t.current, 0)
		after = max(now-max(named, longest), 0)
	}
	return max(now-min(named, longest), 1), after
}

func (t *Tracker) keep(id honeyplank.ServerID, s *server) {
	if t.servers == nil {
		t.servers = map[honeyplank.ServerID]*server{}
	}
	t.servers[id] = s
}

// Known tells which start of a server was mentioned last, removed or not, and when it was. after is a time that the
// start came after both by the wall clock and by what held before it; 0: that can't be told.
func (t *Tracker) Known(id honeyplank.ServerID) (upSinceMS int64, started, after time.Duration, ok bool) {
	s := t.servers[id]
	if s == nil {
		return 0, 0, 0, false
	}
	return s.upSinceMS, s.started, s.after, true
}

// Adopt takes over when an incarnation has started from what another source has told of it, before its first mention
// here; one that is known here stays as it is.
func (t *Tracker) Adopt(id honeyplank.ServerID, upSinceMS int64, started, after time.Duration) {
	if s := t.servers[id]; s == nil || s.upSinceMS != upSinceMS {
		t.keep(id, &server{upSinceMS: upSinceMS, started: started, after: after})
	}
}

// Current tells that all that was told holds at this moment: each server runs as it was mentioned last, and one that
// was not mentioned, or was removed, is not there. It is called after the mentions of a message that is known to follow
// on a whole list, and never for a list that is remembered from before, which may be old.
func (t *Tracker) Current(now time.Duration) {
	t.current, t.bounded = now, true
	t.forget(now)
}

// Complete tells that a whole list has just been heard, after its mentions: servers that it does not name are removed.
// Current is implied.
func (t *Tracker) Complete(now time.Duration, ids []honeyplank.ServerID) {
	named := make(map[honeyplank.ServerID]bool, len(ids))
	for _, id := range ids {
		named[id] = true
	}
	for id := range t.servers {
		if !named[id] {
			t.Removed(now, id)
		}
	}
	t.Current(now)
}

// Removed tells that a server is not listed any more. It is remembered for a while.
func (t *Tracker) Removed(now time.Duration, id honeyplank.ServerID) {
	s := t.servers[id]
	if s == nil || s.gone {
		return
	}
	s.gone, s.goneAt = true, now
	t.removed = append(t.removed, removal{id, now})
	t.forget(now)
}

// forget drops what was removed too long ago, and the oldest of too many.
func (t *Tracker) forget(now time.Duration) {
	most := t.MaxRemoved
	if most == 0 {
		most = removedMost
	}
	for len(t.removed) > 0 && (len(t.removed) > most || now-t.removed[0].at >= removedFor) {
		r := t.removed[0]
		t.removed = t.removed[1:]
		if s := t.servers[r.id]; s != nil && s.gone && s.goneAt == r.at {
			delete(t.servers, r.id)
		}
	}
}
