package incarnation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"honeyplank"
)

// origin is the wall clock time at which the monotonic clock of the tables is 0, if the wall clock has not stepped.
var origin = time.UnixMilli(1_700_000_000_000)

// step is one call or message.
type step struct {
	at       time.Duration // on the monotonic clock
	wallStep time.Duration // offset of the wall clock from the monotonic clock
	kind     stepKind
	up       time.Duration // the start time in the list, on the wall clock from origin; or longAgo, or absent
	want     time.Duration // the result of StartOf
}

// stepKind is the kind of a step.
type stepKind int

const (
	completeList stepKind = iota
	watchMessage          // a message of a watch, which follows without a gap
	cachedList            // a list that may be outdated
	serverRemoved
	markedCurrent // MarkCurrent without a list
)

const (
	longAgo = time.Duration(math.MinInt64) // the list gives 0 as the start time
	absent  = longAgo + 1                  // the server is not listed
)

// upSince returns a start time as a list gives it, in Unix milliseconds.
func upSince(up time.Duration) int64 {
	if up == longAgo {
		return 0
	}
	return origin.Add(up).UnixMilli()
}

const sec, hour = time.Second, time.Hour

// startCases has lists, messages and steps of the wall clock in many orders.
var startCases = map[string][]step{
	"started before the process": {
		{100 * sec, 0, completeList, -10 * sec, 100 * sec},
		{200 * sec, 0, completeList, -10 * sec, 100 * sec},
	},
	"long ago": {
		{100 * sec, 0, completeList, longAgo, 0},
		{200 * sec, hour, completeList, longAgo, 0},
		{300 * sec, -hour, watchMessage, longAgo, 0},
	},
	"long ago, then a start": {
		{100 * sec, 0, completeList, longAgo, 0},
		{110 * sec, 0, watchMessage, 104 * sec, 104 * sec},
	},
	"a start, then long ago": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{110 * sec, 0, watchMessage, longAgo, 0},
	},
	"a restart between lists": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{110 * sec, 0, completeList, 104 * sec, 104 * sec},
		{120 * sec, 0, watchMessage, 104 * sec, 104 * sec},
	},
	"a new server": {
		{100 * sec, 0, completeList, absent, 0},
		{110 * sec, 0, watchMessage, 104 * sec, 104 * sec},
	},
	"a start before a complete list without the server": {
		{100 * sec, 0, completeList, absent, 0},
		{110 * sec, 0, watchMessage, 50 * sec, 100 * sec},
	},
	"no complete list yet": {
		{100 * sec, 0, cachedList, absent, 0},
		{110 * sec, 0, watchMessage, 104 * sec, 110 * sec},
	},
	"a start in the future": {
		{100 * sec, 0, completeList, absent, 0},
		{110 * sec, 0, completeList, 150 * sec, 110 * sec},
		{200 * sec, 0, completeList, 150 * sec, 110 * sec},
	},
	"a start that goes backwards": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{110 * sec, 0, completeList, 80 * sec, 100 * sec},
		{120 * sec, 0, completeList, 90 * sec, 110 * sec},
	},
	"at the origin of the monotonic clock": {
		{0, 0, completeList, -sec, 1},
	},
	"wall clock 5 s back before the first list": {
		{100 * sec, -5 * sec, completeList, 90 * sec, 100 * sec},
		{110 * sec, -5 * sec, completeList, 90 * sec, 100 * sec},
	},
	"wall clock 5 s forward before the first list": {
		{100 * sec, 5 * sec, completeList, 90 * sec, 100 * sec},
		{110 * sec, 5 * sec, completeList, 90 * sec, 100 * sec},
	},
	"wall clock an hour back before the first list": {
		{100 * sec, -hour, completeList, 90 * sec, 100 * sec},
		{110 * sec, -hour, completeList, 90 * sec, 100 * sec},
	},
	"wall clock an hour forward before the first list": {
		{100 * sec, hour, completeList, 90 * sec, 100 * sec},
		{110 * sec, hour, completeList, 90 * sec, 100 * sec},
	},
	"wall clock 5 s back between lists, then a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, -5 * sec, completeList, 110*sec - 5*sec, 110 * sec},
	},
	"wall clock 5 s back after a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, -5 * sec, completeList, 110 * sec, 115 * sec},
	},
	"wall clock 5 s forward after a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, 5 * sec, completeList, 110 * sec, 105 * sec},
	},
	"wall clock an hour back between lists, then a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, -hour, completeList, 110*sec - hour, 110 * sec},
	},
	"wall clock an hour back after a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, -hour, completeList, 110 * sec, 120 * sec},
	},
	"wall clock an hour forward after a restart": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, hour, completeList, 110 * sec, 100 * sec},
	},
	"wall clock an hour forward, the previous start was current": {
		{100 * sec, 0, completeList, longAgo, 0},
		{115 * sec, 0, markedCurrent, 0, 0},
		{120 * sec, hour, watchMessage, 110 * sec, 115 * sec},
	},
	"wall clock steps after the first listing": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, 0, completeList, 110 * sec, 110 * sec},
		{130 * sec, hour, completeList, 110 * sec, 110 * sec},
		{140 * sec, -hour, watchMessage, 110 * sec, 110 * sec},
		{150 * sec, 5 * sec, completeList, 110 * sec, 110 * sec},
	},
	"a new process after the wall clock went an hour back": {
		{100 * sec, -hour, completeList, 50 * sec, 100 * sec},
	},
	"a new process after the wall clock went an hour forward": {
		{100 * sec, hour, completeList, 50 * sec, 100 * sec},
	},
	"cached, then the same": {
		{100 * sec, 0, cachedList, 50 * sec, 100 * sec},
		{102 * sec, hour, completeList, 50 * sec, 100 * sec},
	},
	"cached, then another start": {
		{100 * sec, 0, cachedList, 50 * sec, 100 * sec},
		{102 * sec, hour, completeList, 90 * sec, 102 * sec},
	},
	"cached as long ago, then a start": {
		{100 * sec, 0, cachedList, longAgo, 0},
		{102 * sec, -hour, completeList, 90 * sec, 102 * sec},
	},
	"cached, confirmed by a watch, then another start": {
		{100 * sec, 0, cachedList, 50 * sec, 100 * sec},
		{105 * sec, 0, markedCurrent, 0, 0},
		{110 * sec, hour, watchMessage, 108 * sec, 105 * sec},
	},
	"back with the same start": {
		{100 * sec, 0, completeList, longAgo, 0},
		{120 * sec, 0, completeList, 110 * sec, 110 * sec},
		{130 * sec, 0, serverRemoved, 0, 0},
		{140 * sec, hour, watchMessage, 110 * sec, 110 * sec},
	},
	"back with another start": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{130 * sec, 0, serverRemoved, 0, 0},
		{135 * sec, 0, markedCurrent, 0, 0},
		{140 * sec, hour, watchMessage, 139 * sec, 135 * sec},
	},
	"missing from a complete list, back with the same start": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{130 * sec, 0, completeList, absent, 0},
		{140 * sec, -hour, completeList, 90 * sec, 100 * sec},
	},
	"back after it was dropped": {
		{100 * sec, 0, completeList, 90 * sec, 100 * sec},
		{130 * sec, 0, serverRemoved, 0, 0},
		{130*sec + hour, 0, markedCurrent, 0, 0},
		{140*sec + hour, 0, watchMessage, 90 * sec, 130*sec + hour},
	},
	"long ago, back as long ago": {
		{100 * sec, 0, completeList, longAgo, 0},
		{130 * sec, 0, serverRemoved, 0, 0},
		{140 * sec, hour, watchMessage, longAgo, 0},
	},
}

// TestStartOf checks the start times that StartOf returns in startCases.
func TestStartOf(t *testing.T) {
	for name, steps := range startCases {
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
	var ids []honeyplank.ServerID
	if x.kind != serverRemoved && x.kind != markedCurrent && x.up != absent {
		ids = append(ids, id)
		if got := tracker.StartOf(x.at, origin.Add(x.at+x.wallStep), id, upSince(x.up)); got != x.want {
			t.Errorf("step %d: start %v, want %v", i, got, x.want)
		}
	}
	switch x.kind {
	case completeList:
		tracker.RemoveUnlisted(x.at, ids)
	case watchMessage, markedCurrent:
		tracker.MarkCurrent(x.at)
	case serverRemoved:
		tracker.MarkRemoved(x.at, id)
	}
}

// TestStartWithinBounds checks that, for any start time in a list and any wall clock, a start is neither before the
// last complete list without the server nor in the future.
func TestStartWithinBounds(t *testing.T) {
	for _, up := range []int64{math.MinInt64, -1, 1, origin.UnixMilli(), math.MaxInt64} {
		for _, wall := range []time.Time{{}, origin, time.UnixMilli(0), time.UnixMilli(math.MaxInt64)} {
			var tracker Tracker
			tracker.RemoveUnlisted(100*sec, nil)
			if got := tracker.StartOf(110*sec, wall, id, up); got < 100*sec || got > 110*sec {
				t.Errorf("start time %d, wall clock %v: start %v", up, wall, got)
			}
		}
	}
}

// TestTrackerSizeBounded checks that a Tracker does not grow without bound. It has fleets whose servers are replaced
// repeatedly, by complete lists or by messages, and one fleet that flaps.
func TestTrackerSizeBounded(t *testing.T) {
	const size = 3200
	fleets := map[string]fleet{
		"replaced by complete lists": {size: size, name: newID, changesByList: true},
		"replaced by messages":       {size: size, name: newID},
		"flapping":                   {size: size, name: sameID},
	}
	for name, f := range fleets {
		t.Run(name+"/default bound", func(t *testing.T) {
			f.checkBounded(t, &Tracker{}, defaultMaxRemoved)
		})
		t.Run(name+"/bound set", func(t *testing.T) {
			f.checkBounded(t, &Tracker{MaxRemoved: 2 * size}, 2*size)
		})
	}
}

// fleet is a fleet in which all servers are removed and replaced in each round.
type fleet struct {
	size          int
	name          func(round, i int) honeyplank.ServerID
	changesByList bool // by complete lists; else by messages of a watch
}

func newID(round, i int) honeyplank.ServerID {
	return honeyplank.ServerID(fmt.Sprint(round, "/", i))
}

func sameID(_, i int) honeyplank.ServerID { return newID(0, i) }

// checkBounded replaces a fleet many times and checks the size of the tracker after each time.
func (f fleet) checkBounded(t *testing.T, tracker *Tracker, maxRemoved int) {
	t.Helper()
	const rounds = 40
	now := sec
	for round := range rounds {
		now += sec
		ids := f.replace(tracker, now, round)
		servers, removals, capacity := len(tracker.servers), len(tracker.removed), cap(tracker.removed)
		if servers > f.size+maxRemoved || removals > maxRemoved || capacity > 4*maxRemoved {
			t.Fatalf("round %d: %d servers and %d removals (capacity %d)", round, servers, removals, capacity)
		}
		for _, id := range ids {
			if x := tracker.servers[id]; x == nil || x.removed {
				t.Fatalf("round %d: %s is listed but not known", round, id)
			}
		}
	}
	tracker.MarkCurrent(now + removedRetention)
	if servers, removals := len(tracker.servers), len(tracker.removed); servers != f.size || removals != 0 {
		t.Errorf("after an hour %d servers and %d removals, want %d and none", servers, removals, f.size)
	}
}

// replace replaces the servers of the previous round and returns the new ones.
func (f fleet) replace(tracker *Tracker, now time.Duration, round int) []honeyplank.ServerID {
	var ids []honeyplank.ServerID
	for i := range f.size {
		if round > 0 && !f.changesByList {
			tracker.MarkRemoved(now, f.name(round-1, i))
		}
		id := f.name(round, i)
		ids = append(ids, id)
		tracker.StartOf(now, origin.Add(now), id, origin.UnixMilli())
	}
	if f.changesByList {
		tracker.RemoveUnlisted(now, ids)
	} else {
		tracker.MarkCurrent(now)
	}
	return ids
}

// lookupCase is the expected result of Lookup after some calls.
type lookupCase struct {
	setUp func(*Tracker)
	want  Incarnation
	again time.Duration // the result of a later StartOf with another wall clock
}

// listServer calls StartOf for the server at 100 s, with a step of the wall clock.
func listServer(tracker *Tracker, wallStep, up time.Duration) {
	const now = 100 * sec
	tracker.StartOf(now, origin.Add(now+wallStep), id, upSince(up))
}

// listServerAfterList calls listServer after a complete list without the server at 90 s.
func listServerAfterList(tracker *Tracker, wallStep, up time.Duration) {
	tracker.RemoveUnlisted(90*sec, nil)
	listServer(tracker, wallStep, up)
}

var adoptedIncarnation = Incarnation{UpSinceMS: upSince(50 * sec), Started: 70 * sec, StartedAfter: 60 * sec}

var lookupCases = map[string]lookupCase{
	"first listing": {
		setUp: func(tracker *Tracker) { listServer(tracker, 0, 50*sec) },
		want:  Incarnation{upSince(50 * sec), 100 * sec, 0}, again: 100 * sec,
	},
	"long ago": {
		setUp: func(tracker *Tracker) { listServerAfterList(tracker, 0, longAgo) },
	},
	"by the wall clock": {
		setUp: func(tracker *Tracker) { listServerAfterList(tracker, 0, 95*sec) },
		want:  Incarnation{upSince(95 * sec), 95 * sec, 90 * sec}, again: 95 * sec,
	},
	"by the wall clock, before the last list": {
		setUp: func(tracker *Tracker) { listServerAfterList(tracker, 0, 50*sec) },
		want:  Incarnation{upSince(50 * sec), 90 * sec, 50 * sec}, again: 90 * sec,
	},
	"wall clock an hour back": {
		setUp: func(tracker *Tracker) { listServerAfterList(tracker, -hour, 95*sec) },
		want:  Incarnation{upSince(95 * sec), 100 * sec, 90 * sec}, again: 100 * sec,
	},
	"wall clock an hour forward": {
		setUp: func(tracker *Tracker) { listServerAfterList(tracker, hour, 95*sec) },
		want:  Incarnation{upSince(95 * sec), 90 * sec, 0}, again: 90 * sec,
	},
	"removed": {
		setUp: func(tracker *Tracker) {
			listServer(tracker, 0, 50*sec)
			tracker.MarkRemoved(110*sec, id)
		},
		want: Incarnation{upSince(50 * sec), 100 * sec, 0}, again: 100 * sec,
	},
	"adopted": {
		setUp: func(tracker *Tracker) { tracker.Adopt(id, adoptedIncarnation) },
		want:  adoptedIncarnation, again: 70 * sec,
	},
	"adopted after its listing": {
		setUp: func(tracker *Tracker) {
			listServer(tracker, 0, 50*sec)
			tracker.Adopt(id, adoptedIncarnation)
		},
		want: Incarnation{upSince(50 * sec), 100 * sec, 0}, again: 100 * sec,
	},
}

// TestLookup checks the incarnation that Lookup returns: its identity, its start time and the lower bound of that time.
func TestLookup(t *testing.T) {
	for name, c := range lookupCases {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			if _, ok := tracker.Lookup(id); ok {
				t.Errorf("known before any call")
			}
			c.setUp(&tracker)
			if got, ok := tracker.Lookup(id); !ok || got != c.want {
				t.Errorf("got %+v, %v; want %+v", got, ok, c.want)
			}
			if got := tracker.StartOf(200*sec, origin.Add(200*sec-hour), id, c.want.UpSinceMS); got != c.again {
				t.Errorf("started %v when listed again, want %v", got, c.again)
			}
		})
	}
}
