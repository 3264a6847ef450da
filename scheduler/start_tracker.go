package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/incarnation"
)

// startTracker gives the start of each disk server on the loop's clock, whatever the wall clock does.
type startTracker struct {
	tracker    incarnation.Tracker
	wall       time.Time     // both clocks when the list that is being applied was received
	now        time.Duration //
	wallOffset time.Duration // wall clock less the loop's clock, at that time
	stepped    bool          // the wall clock has been set since the list before
}

const (
	// minClockStep is how far the wall clock may drift from the loop's between two lists without having been set.
	minClockStep = 100 * time.Millisecond
	// latestStart bounds the start that an entry may name, in milliseconds of Unix time: up to here float64 is exact.
	latestStart = 1 << 53
)

// observeClocks notes the time of both clocks for the list that is about to be applied.
func (st *startTracker) observeClocks(wall time.Time, now time.Duration) {
	offset := time.Duration(wall.UnixNano()) - now
	st.stepped = (offset - st.wallOffset).Abs() > minClockStep
	st.wall, st.now, st.wallOffset = wall, now, offset
}

// startOf gives the start of the disk server of an entry, as a time of the loop; 0: it is not known, or removed. Where the wall
// clock has been set since the list before, the age of an incarnation that is new cannot be computed; it counts as
// started now.
func (st *startTracker) startOf(m listMember) time.Duration {
	id := honeyplank.ServerID(m.ID)
	if memberStates[m.Phase] == honeyplank.Removed {
		st.tracker.Removed(st.now, id)
		return 0
	}
	upSinceMS := int64(min(max(m.UpSinceMS, 0), latestStart))
	wall := st.wall
	if st.stepped {
		wall = time.UnixMilli(upSinceMS)
	}
	return st.tracker.Start(st.now, wall, id, upSinceMS)
}

// listApplied notes that all entries of a list have been handled.
func (st *startTracker) listApplied(list *listMessage, kind honeyplank.ListKind) {
	if !list.isCurrent {
		return
	}
	if kind != honeyplank.Complete {
		st.tracker.Current(st.now)
		return
	}
	ids := make([]honeyplank.ServerID, 0, len(list.Members))
	for _, m := range list.Members {
		ids = append(ids, honeyplank.ServerID(m.ID))
	}
	st.tracker.Complete(st.now, ids)
}
