package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/incarnation"
)

// startTracker converts the start of each disk server to the loop's clock, even if the wall clock is stepped.
type startTracker struct {
	tracker    incarnation.Tracker
	wall       time.Time     // the wall clock when the list that is being applied was received
	now        time.Duration // the loop's clock at that time
	wallOffset time.Duration // the difference of the two
	stepped    bool          // the wall clock has been stepped since the previous list
}

const (
	// minClockStep is how far the wall clock may drift from the loop's between two lists without counting as stepped.
	minClockStep = 100 * time.Millisecond
	// maxStartMS bounds the start that an entry may name, in milliseconds of Unix time: up to here float64 is exact.
	maxStartMS = 1 << 53
)

// observeClocks records the time of both clocks for the list that is about to be applied.
func (st *startTracker) observeClocks(wall time.Time, now time.Duration) {
	offset := time.Duration(wall.UnixNano()) - now
	st.stepped = (offset - st.wallOffset).Abs() > minClockStep
	st.wall, st.now, st.wallOffset = wall, now, offset
}

// startOf returns the start of the disk server of an entry, as a time of the loop; 0: it is unknown or the server
// removed. If the wall clock has been stepped since the previous list, the age of a new incarnation is unknown, and it
// counts as started now.
func (st *startTracker) startOf(m listMember) time.Duration {
	id := honeyplank.ServerID(m.ID)
	if memberStates[m.Phase] == honeyplank.Removed {
		st.tracker.MarkRemoved(st.now, id)
		return 0
	}
	upSinceMS := int64(min(max(m.UpSinceMS, 0), maxStartMS))
	wall := st.wall
	if st.stepped {
		wall = time.UnixMilli(upSinceMS)
	}
	return st.tracker.StartOf(st.now, wall, id, upSinceMS)
}

// listApplied records that all entries of a list have been applied.
func (st *startTracker) listApplied(list *listMessage, kind honeyplank.ListKind) {
	if !list.isCurrent {
		return
	}
	if kind != honeyplank.Complete {
		st.tracker.MarkCurrent(st.now)
		return
	}
	ids := make([]honeyplank.ServerID, 0, len(list.Members))
	for _, m := range list.Members {
		ids = append(ids, honeyplank.ServerID(m.ID))
	}
	st.tracker.RemoveUnlisted(st.now, ids)
}
