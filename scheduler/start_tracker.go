package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/incarnation"
)

// startTracker tells when disk servers have started, whatever the wall clock does.
type startTracker struct {
	tracker    incarnation.Tracker
	wall       time.Time
	now        time.Duration
	wallOffset time.Duration // how far the wall clock was ahead of its own pace when all that was told held last
	stepped    bool          // it has stepped since then
}

const (
	// minClockStep is how far the wall clock may drift between two lists without having been set.
	minClockStep = 100 * time.Millisecond
	// latestStart bounds what an entry may name as its start, in milliseconds of Unix time.
	latestStart = 1 << 53
)

// observeClocks notes the clocks for the list that is taken up.
func (st *startTracker) observeClocks(wall time.Time, now time.Duration) {
	ahead := time.Duration(wall.UnixNano()) - now
	st.stepped = (ahead - st.wallOffset).Abs() > minClockStep
	st.wall, st.now, st.wallOffset = wall, now, ahead
}

// startOf is the start of the server of an entry. Where the wall clock has stepped since all that was told held last, it
// tells nothing of the age of a start that is new.
func (st *startTracker) startOf(m listMember) time.Duration {
	id := honeyplank.ServerID(m.ID)
	if memberStates[m.Phase] == honeyplank.Removed {
		st.tracker.Removed(st.now, id)
		return 0
	}
	ms := int64(min(max(m.UpSinceMS, 0), latestStart))
	wall := st.wall
	if st.stepped {
		wall = time.UnixMilli(ms)
	}
	return st.tracker.Start(st.now, wall, id, ms)
}

// listApplied tells that all entries of a list have been taken up.
func (st *startTracker) listApplied(l *listMessage, kind honeyplank.ListKind) {
	if !l.isCurrent {
		return
	}
	if kind != honeyplank.Complete {
		st.tracker.Current(st.now)
		return
	}
	ids := make([]honeyplank.ServerID, 0, len(l.Members))
	for _, m := range l.Members {
		ids = append(ids, honeyplank.ServerID(m.ID))
	}
	st.tracker.Complete(st.now, ids)
}
