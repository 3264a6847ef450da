package scheduler

import (
	"time"

	"honeyplank"
	"honeyplank/incarnation"
)

// startTracker converts the start time of each disk server from the wall clock to the loop's clock, even if the wall
// clock is stepped.
type startTracker struct {
	tracker    incarnation.Tracker
	wall       time.Time     // the wall clock when the list that is being applied was received
	now        time.Duration // the loop's clock at that time
	wallOffset time.Duration // wall minus now
	stepped    bool          // the wall clock has been stepped since the previous list
}

const (
	// minClockStep is the largest drift of the wall clock against the loop's clock between two lists that does not
	// count as a step.
	minClockStep = 100 * time.Millisecond
	// maxStartMS is the largest start time that an entry may have, in Unix milliseconds. float64 is exact up to this
	// value.
	maxStartMS = 1 << 53
)

// observeClocks records the time of both clocks for the list that is about to be applied.
func (st *startTracker) observeClocks(wall time.Time, now time.Duration) {
	offset := time.Duration(wall.UnixNano()) - now
	st.stepped = (offset - st.wallOffset).Abs() > minClockStep
	st.wall, st.now, st.wallOffset = wall, now, offset
}

// startOf returns the start time of an entry's disk server on the loop's clock. It returns 0 if the start time is
// unknown or the server is removed. If the wall clock has been stepped since the previous list, the age of a new
// incarnation is unknown, and the incarnation counts as started now.
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
