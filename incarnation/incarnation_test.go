package incarnation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"honeyplank"
)

// origin is the wall clock in the tables when the monotonic clock is at 0 and the wall clock has not stepped.
var origin = time.UnixMilli(1_700_000_000_000)

// step is one call or message. at is on the monotonic clock; the wall clock is off from it by wall.
type step struct {
	at, wall time.Duration
	kind     string        // list, partial (a message of a watch), mention (a cached list), removed, current
	up       time.Duration // the start given, on the wall clock from origin; long: 0 is given; absent: not listed
	want     time.Duration // of the mention
}

const (
	long   = time.Duration(math.MinInt64)
	absent = long + 1
)

func upSince(up time.Duration) int64 {
	if up == long {
		return 0
	}
	return origin.Add(up).UnixMilli()
}

const s, h = time.Second, time.Hour

// TestStart has lists, messages and steps of the wall clock in many orders.
func TestStart(t *testing.T) {
	for name, steps := range map[string][]step{
		"started before the process": {{100 * s, 0, "list", -10 * s, 100 * s}, {200 * s, 0, "list", -10 * s, 100 * s}},
		"long ago":                   {{100 * s, 0, "list", long, 0}, {200 * s, h, "list", long, 0}, {300 * s, -h, "partial", long, 0}},
		"long ago, then a start":     {{100 * s, 0, "list", long, 0}, {110 * s, 0, "partial", 104 * s, 104 * s}},
		"a start, then long ago":     {{100 * s, 0, "list", 90 * s, 100 * s}, {110 * s, 0, "partial", long, 0}},
		"a restart between lists":    {{100 * s, 0, "list", 90 * s, 100 * s}, {110 * s, 0, "list", 104 * s, 104 * s}, {120 * s, 0, "partial", 104 * s, 104 * s}},
		"a new server":               {{100 * s, 0, "list", absent, 0}, {110 * s, 0, "partial", 104 * s, 104 * s}},
		"older than its absence from a complete list": {
			{100 * s, 0, "list", absent, 0}, {110 * s, 0, "partial", 50 * s, 100 * s}},
		"no complete list yet": {{100 * s, 0, "mention", absent, 0}, {110 * s, 0, "partial", 104 * s, 110 * s}},
		"in the future":        {{100 * s, 0, "list", absent, 0}, {110 * s, 0, "list", 150 * s, 110 * s}, {200 * s, 0, "list", 150 * s, 110 * s}},
		"a start that goes backwards": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {110 * s, 0, "list", 80 * s, 100 * s}, {120 * s, 0, "list", 90 * s, 110 * s}},
		"at the origin of the clock": {{0, 0, "list", -s, 1}},

		"5 s back before the first list":    {{100 * s, -5 * s, "list", 90 * s, 100 * s}, {110 * s, -5 * s, "list", 90 * s, 100 * s}},
		"5 s forward before the first list": {{100 * s, 5 * s, "list", 90 * s, 100 * s}, {110 * s, 5 * s, "list", 90 * s, 100 * s}},
		"an hour back before the first list": {
			{100 * s, -h, "list", 90 * s, 100 * s}, {110 * s, -h, "list", 90 * s, 100 * s}},
		"an hour forward before the first list": {
			{100 * s, h, "list", 90 * s, 100 * s}, {110 * s, h, "list", 90 * s, 100 * s}},

		"5 s back between lists, then a restart":      {{100 * s, 0, "list", long, 0}, {120 * s, -5 * s, "list", 110*s - 5*s, 110 * s}},
		"5 s back after a restart":                    {{100 * s, 0, "list", long, 0}, {120 * s, -5 * s, "list", 110 * s, 115 * s}},
		"5 s forward after a restart":                 {{100 * s, 0, "list", long, 0}, {120 * s, 5 * s, "list", 110 * s, 105 * s}},
		"an hour back between lists, then a restart":  {{100 * s, 0, "list", long, 0}, {120 * s, -h, "list", 110*s - h, 110 * s}},
		"an hour back after a restart":                {{100 * s, 0, "list", long, 0}, {120 * s, -h, "list", 110 * s, 120 * s}},
		"an hour forward after a restart":             {{100 * s, 0, "list", long, 0}, {120 * s, h, "list", 110 * s, 100 * s}},
		"an hour forward, the start before held last": {{100 * s, 0, "list", long, 0}, {115 * s, 0, "current", 0, 0}, {120 * s, h, "partial", 110 * s, 115 * s}},
		"steps after the first mention": {
			{100 * s, 0, "list", long, 0}, {120 * s, 0, "list", 110 * s, 110 * s}, {130 * s, h, "list", 110 * s, 110 * s},
			{140 * s, -h, "partial", 110 * s, 110 * s}, {150 * s, 5 * s, "list", 110 * s, 110 * s}},

		"a new process after an hour back":    {{100 * s, -h, "list", 50 * s, 100 * s}},
		"a new process after an hour forward": {{100 * s, h, "list", 50 * s, 100 * s}},
		"cached, then the same":               {{100 * s, 0, "mention", 50 * s, 100 * s}, {102 * s, h, "list", 50 * s, 100 * s}},
		"cached, then another start": {
			{100 * s, 0, "mention", 50 * s, 100 * s}, {102 * s, h, "list", 90 * s, 102 * s}},
		"cached as long ago, then a start": {
			{100 * s, 0, "mention", long, 0}, {102 * s, -h, "list", 90 * s, 102 * s}},
		"cached, confirmed by a watch, then another start": {
			{100 * s, 0, "mention", 50 * s, 100 * s}, {105 * s, 0, "current", 0, 0}, {110 * s, h, "partial", 108 * s, 105 * s}},

		"back with the same start": {
			{100 * s, 0, "list", long, 0}, {120 * s, 0, "list", 110 * s, 110 * s}, {130 * s, 0, "removed", 0, 0}, {140 * s, h, "partial", 110 * s, 110 * s}},
		"back with another start": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "removed", 0, 0}, {135 * s, 0, "current", 0, 0}, {140 * s, h, "partial", 139 * s, 135 * s}},
		"missing from a complete list, back with the same start": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "list", absent, 0}, {140 * s, -h, "list", 90 * s, 100 * s}},
		"back after it was dropped": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "removed", 0, 0}, {130*s + h, 0, "current", 0, 0}, {140*s + h, 0, "partial", 90 * s, 130*s + h}},
		"long ago, back as long ago": {
			{100 * s, 0, "list", long, 0}, {130 * s, 0, "removed", 0, 0}, {140 * s, h, "partial", long, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			for i, x := range steps {
				x.apply(t, &tracker, i)
			}
		})
	}
}

const id = honeyplank.ServerID("osd")

// apply applies one step, the i-th, to a tracker.
func (x step) apply(t *testing.T, tracker *Tracker, i int) {
	t.Helper()
	wall := origin.Add(x.at + x.wall)
	var ids []honeyplank.ServerID
	if x.kind != "removed" && x.kind != "current" && x.up != absent {
		ids = append(ids, id)
		if got := tracker.Start(x.at, wall, id, upSince(x.up)); got != x.want {
			t.Errorf("step %d: %v, want %v", i, got, x.want)
		}
	}
	switch x.kind {
	case "list":
		tracker.Complete(x.at, ids)
	case "partial", "current":
		tracker.Current(x.at)
	case "removed":
		tracker.Removed(x.at, id)
	}
}

// TestAnyStart has any start and any wall clock: a start is not before what is known, nor in the future.
func TestAnyStart(t *testing.T) {
	for _, up := range []int64{math.MinInt64, -1, 1, origin.UnixMilli(), math.MaxInt64} {
		for _, wall := range []time.Time{{}, origin, time.UnixMilli(0), time.UnixMilli(math.MaxInt64)} {
			var tracker Tracker
			tracker.Complete(100*s, nil)
			if got := tracker.Start(110*s, wall, id, up); got < 100*s || got > 110*s {
				t.Errorf("%d at %v: %v", up, wall, got)
			}
		}
	}
}

// TestBounded has fleets whose servers are replaced again and again, by complete lists or changes, and one that flaps: a
// Tracker does not grow.
func TestBounded(t *testing.T) {
	const fleet, rounds = 3200, 40
	for _, maxRemoved := range []int{0, 2 * fleet} {
		checkBounded(t, fleet, rounds, maxRemoved)
	}
}

// checkBounded replaces a fleet so many rounds.
func checkBounded(t *testing.T, fleet, rounds, maxRemoved int) {
	t.Helper()
	maxKept := maxRemoved
	if maxRemoved == 0 {
		maxKept = defaultMaxRemoved
	}
	for _, kind := range []string{"list", "partial", "flapping"} {
		tracker := Tracker{MaxRemoved: maxRemoved}
		now := s
		name := func(round, i int) honeyplank.ServerID {
			if kind == "flapping" {
				round = 0
			}
			return honeyplank.ServerID(fmt.Sprint(round, "/", i))
		}
		for round := range rounds {
			now += s
			var ids []honeyplank.ServerID
			for i := range fleet {
				if round > 0 && kind != "list" {
					tracker.Removed(now, name(round-1, i))
				}
				ids = append(ids, name(round, i))
				tracker.Start(now, origin.Add(now), name(round, i), origin.UnixMilli())
			}
			if kind == "list" {
				tracker.Complete(now, ids)
			} else {
				tracker.Current(now)
			}
			if len(tracker.servers) > fleet+maxKept || len(tracker.removed) > maxKept || cap(tracker.removed) > 4*maxKept {
				t.Fatalf("%s, round %d: %d servers and %d removals (room for %d)", kind, round, len(tracker.servers), len(tracker.removed), cap(tracker.removed))
			}
			for _, id := range ids {
				if x := tracker.servers[id]; x == nil || x.removed {
					t.Fatalf("%s, round %d: %s is listed and not known", kind, round, id)
				}
			}
		}
		if tracker.Current(now + removedRetention); len(tracker.servers) != fleet || len(tracker.removed) != 0 {
			t.Errorf("%s: after an hour %d servers and %d removals, want %d and none", kind, len(tracker.servers), len(tracker.removed), fleet)
		}
	}
}

// TestKnown checks what is known of a start beside its time: which one it is, and after what it surely came.
func TestKnown(t *testing.T) {
	at := func(up time.Duration) int64 { return upSince(up) }
	for name, c := range map[string]struct {
		setUp                func(tracker *Tracker)
		up                   int64
		started, after, back time.Duration // back: its start when it is mentioned by another wall clock later
	}{
		"first sight": {func(tracker *Tracker) { tracker.Start(100*s, origin.Add(100*s), id, at(50*s)) }, at(50 * s), 100 * s, 0, 100 * s},
		"long ago":    {func(tracker *Tracker) { tracker.Complete(90*s, nil); tracker.Start(100*s, origin.Add(100*s), id, 0) }, 0, 0, 0, 0},
		"by the wall clock": {func(tracker *Tracker) {
			tracker.Complete(90*s, nil)
			tracker.Start(100*s, origin.Add(100*s), id, at(95*s))
		},
			at(95 * s), 95 * s, 90 * s, 95 * s},
		"by the wall clock before what is known": {func(tracker *Tracker) {
			tracker.Complete(90*s, nil)
			tracker.Start(100*s, origin.Add(100*s), id, at(50*s))
		},
			at(50 * s), 90 * s, 50 * s, 90 * s},
		"an hour back": {func(tracker *Tracker) {
			tracker.Complete(90*s, nil)
			tracker.Start(100*s, origin.Add(100*s-h), id, at(95*s))
		}, at(95 * s), 100 * s, 90 * s, 100 * s},
		"an hour forward": {func(tracker *Tracker) {
			tracker.Complete(90*s, nil)
			tracker.Start(100*s, origin.Add(100*s+h), id, at(95*s))
		}, at(95 * s), 90 * s, 0, 90 * s},
		"removed": {func(tracker *Tracker) {
			tracker.Start(100*s, origin.Add(100*s), id, at(50*s))
			tracker.Removed(110*s, id)
		}, at(50 * s), 100 * s, 0, 100 * s},
		"adopted": {func(tracker *Tracker) { tracker.Adopt(id, Incarnation{at(50 * s), 70 * s, 60 * s}) }, at(50 * s), 70 * s, 60 * s, 70 * s},
		"adopted after its mention": {func(tracker *Tracker) {
			tracker.Start(100*s, origin.Add(100*s), id, at(50*s))
			tracker.Adopt(id, Incarnation{at(50 * s), 70 * s, 60 * s})
		},
			at(50 * s), 100 * s, 0, 100 * s},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			if _, ok := tracker.Known(id); ok {
				t.Errorf("known before")
			}
			c.setUp(&tracker)
			want := Incarnation{UpSinceMS: c.up, Started: c.started, StartedAfter: c.after}
			if got, ok := tracker.Known(id); !ok || got != want {
				t.Errorf("%+v, %v; want %+v", got, ok, want)
			}
			if got := tracker.Start(200*s, origin.Add(200*s-h), id, c.up); got != c.back {
				t.Errorf("started %v when mentioned again, want %v", got, c.back)
			}
		})
	}
}
