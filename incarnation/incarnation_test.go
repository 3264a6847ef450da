package incarnation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"honeyplank"
)

// born is the wall clock in the tables when the monotonic clock stands at 0 and nothing has stepped.
var born = time.UnixMilli(1_700_000_000_000)

// step is one thing told to a Tracker. at is on the monotonic clock; the wall clock is off from it by wall.
type step struct {
	at, wall time.Duration
	what     string        // list, partial (a message of a standing watch), mention (a list remembered), removed, current
	up       time.Duration // the start named, on the wall clock from born; long: 0 is named; absent: not listed
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
	return born.Add(up).UnixMilli()
}

const s, h = time.Second, time.Hour

func TestStart(t *testing.T) {
	for name, steps := range map[string][]step{
		"started before the process": {{100 * s, 0, "list", -10 * s, 100 * s}, {200 * s, 0, "list", -10 * s, 100 * s}},
		"long ago":                   {{100 * s, 0, "list", long, 0}, {200 * s, h, "list", long, 0}, {300 * s, -h, "partial", long, 0}},
		"long ago, then a start":     {{100 * s, 0, "list", long, 0}, {110 * s, 0, "partial", 104 * s, 104 * s}},
		"a start, then long ago":     {{100 * s, 0, "list", 90 * s, 100 * s}, {110 * s, 0, "partial", long, 0}},
		"a restart between lists":    {{100 * s, 0, "list", 90 * s, 100 * s}, {110 * s, 0, "list", 104 * s, 104 * s}, {120 * s, 0, "partial", 104 * s, 104 * s}},
		"a new server":               {{100 * s, 0, "list", absent, 0}, {110 * s, 0, "partial", 104 * s, 104 * s}},
		"named older than its absence from a whole list": {
			{100 * s, 0, "list", absent, 0}, {110 * s, 0, "partial", 50 * s, 100 * s}},
		"no whole list yet":   {{100 * s, 0, "mention", absent, 0}, {110 * s, 0, "partial", 104 * s, 110 * s}},
		"in the time to come": {{100 * s, 0, "list", absent, 0}, {110 * s, 0, "list", 150 * s, 110 * s}, {200 * s, 0, "list", 150 * s, 110 * s}},
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
		"an hour forward, the former start held last": {{100 * s, 0, "list", long, 0}, {115 * s, 0, "current", 0, 0}, {120 * s, h, "partial", 110 * s, 115 * s}},
		"steps after the first mention": {
			{100 * s, 0, "list", long, 0}, {120 * s, 0, "list", 110 * s, 110 * s}, {130 * s, h, "list", 110 * s, 110 * s},
			{140 * s, -h, "partial", 110 * s, 110 * s}, {150 * s, 5 * s, "list", 110 * s, 110 * s}},

		"a new process after an hour back":    {{100 * s, -h, "list", 50 * s, 100 * s}},
		"a new process after an hour forward": {{100 * s, h, "list", 50 * s, 100 * s}},
		"remembered, then the same":           {{100 * s, 0, "mention", 50 * s, 100 * s}, {102 * s, h, "list", 50 * s, 100 * s}},
		"remembered, then another start": {
			{100 * s, 0, "mention", 50 * s, 100 * s}, {102 * s, h, "list", 90 * s, 102 * s}},
		"remembered as long ago, then a start": {
			{100 * s, 0, "mention", long, 0}, {102 * s, -h, "list", 90 * s, 102 * s}},
		"remembered, confirmed by a watch, then another start": {
			{100 * s, 0, "mention", 50 * s, 100 * s}, {105 * s, 0, "current", 0, 0}, {110 * s, h, "partial", 108 * s, 105 * s}},

		"back with the same start": {
			{100 * s, 0, "list", long, 0}, {120 * s, 0, "list", 110 * s, 110 * s}, {130 * s, 0, "removed", 0, 0}, {140 * s, h, "partial", 110 * s, 110 * s}},
		"back with another start": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "removed", 0, 0}, {135 * s, 0, "current", 0, 0}, {140 * s, h, "partial", 139 * s, 135 * s}},
		"left out of a whole list, back with the same start": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "list", absent, 0}, {140 * s, -h, "list", 90 * s, 100 * s}},
		"back after it was forgotten": {
			{100 * s, 0, "list", 90 * s, 100 * s}, {130 * s, 0, "removed", 0, 0}, {130*s + h, 0, "current", 0, 0}, {140*s + h, 0, "partial", 90 * s, 130*s + h}},
		"long ago, back as long ago": {
			{100 * s, 0, "list", long, 0}, {130 * s, 0, "removed", 0, 0}, {140 * s, h, "partial", long, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var k Tracker
			for i, x := range steps {
				k.run(t, i, x)
			}
		})
	}
}

const id = honeyplank.ServerID("osd")

func (k *Tracker) run(t *testing.T, i int, x step) {
	t.Helper()
	wall := born.Add(x.at + x.wall)
	var ids []honeyplank.ServerID
	if x.what != "removed" && x.what != "current" && x.up != absent {
		ids = append(ids, id)
		if got := k.Start(x.at, wall, id, upSince(x.up)); got != x.want {
			t.Errorf("step %d: %v, want %v", i, got, x.want)
		}
	}
	switch x.what {
	case "list":
		k.Complete(x.at, ids)
	case "partial", "current":
		k.Current(x.at)
	case "removed":
		k.Removed(x.at, id)
	}
}

// Whatever a list names and wherever the wall clock stands: a start is not before what is known, nor in the time to come.
func TestAnyStart(t *testing.T) {
	for _, up := range []int64{math.MinInt64, -1, 1, born.UnixMilli(), math.MaxInt64} {
		for _, wall := range []time.Time{{}, born, time.UnixMilli(0), time.UnixMilli(math.MaxInt64)} {
			var k Tracker
			k.Complete(100*s, nil)
			if got := k.Start(110*s, wall, id, up); got < 100*s || got > 110*s {
				t.Errorf("%d at %v: %v", up, wall, got)
			}
		}
	}
}

// A fleet whose servers are replaced without end, told in either way, and one that flaps, don't grow a Tracker.
func TestBounded(t *testing.T) {
	const fleet, rounds = 3200, 40
	for _, most := range []int{0, 2 * fleet} {
		bounded(t, fleet, rounds, most)
	}
}

func bounded(t *testing.T, fleet, rounds, most int) {
	remembered := most
	if most == 0 {
		remembered = removedMost
	}
	for _, way := range []string{"list", "partial", "flapping"} {
		k := Tracker{MaxRemoved: most}
		now := s
		name := func(round, i int) honeyplank.ServerID {
			if way == "flapping" {
				round = 0
			}
			return honeyplank.ServerID(fmt.Sprint(round, "/", i))
		}
		for round := range rounds {
			now += s
			var ids []honeyplank.ServerID
			for i := range fleet {
				if round > 0 && way != "list" {
					k.Removed(now, name(round-1, i))
				}
				ids = append(ids, name(round, i))
				k.Start(now, born.Add(now), name(round, i), born.UnixMilli())
			}
			if way == "list" {
				k.Complete(now, ids)
			} else {
				k.Current(now)
			}
			if len(k.servers) > fleet+remembered || len(k.removed) > remembered || cap(k.removed) > 4*remembered {
				t.Fatalf("%s, round %d: %d servers and %d removals (room for %d)", way, round, len(k.servers), len(k.removed), cap(k.removed))
			}
			for _, id := range ids {
				if x := k.servers[id]; x == nil || x.gone {
					t.Fatalf("%s, round %d: %s is listed and not known", way, round, id)
				}
			}
		}
		if k.Current(now + removedFor); len(k.servers) != fleet || len(k.removed) != 0 {
			t.Errorf("%s: after an hour %d servers and %d removals, want %d and none", way, len(k.servers), len(k.removed), fleet)
		}
	}
}

// What is told of a start beside it: which one it is, and after what it surely came.
func TestKnown(t *testing.T) {
	at := func(up time.Duration) int64 { return upSince(up) }
	for name, c := range map[string]struct {
		tell                 func(k *Tracker)
		up                   int64
		started, after, back time.Duration // back: its start when it is mentioned by another wall clock later
	}{
		"first sight": {func(k *Tracker) { k.Start(100*s, born.Add(100*s), id, at(50*s)) }, at(50 * s), 100 * s, 0, 100 * s},
		"long ago":    {func(k *Tracker) { k.Complete(90*s, nil); k.Start(100*s, born.Add(100*s), id, 0) }, 0, 0, 0, 0},
		"by the wall clock": {func(k *Tracker) { k.Complete(90*s, nil); k.Start(100*s, born.Add(100*s), id, at(95*s)) },
			at(95 * s), 95 * s, 90 * s, 95 * s},
		"by the wall clock before what is known": {func(k *Tracker) { k.Complete(90*s, nil); k.Start(100*s, born.Add(100*s), id, at(50*s)) },
			at(50 * s), 90 * s, 50 * s, 90 * s},
		"an hour back":    {func(k *Tracker) { k.Complete(90*s, nil); k.Start(100*s, born.Add(100*s-h), id, at(95*s)) }, at(95 * s), 100 * s, 90 * s, 100 * s},
		"an hour forward": {func(k *Tracker) { k.Complete(90*s, nil); k.Start(100*s, born.Add(100*s+h), id, at(95*s)) }, at(95 * s), 90 * s, 0, 90 * s},
		"removed":         {func(k *Tracker) { k.Start(100*s, born.Add(100*s), id, at(50*s)); k.Removed(110*s, id) }, at(50 * s), 100 * s, 0, 100 * s},
		"adopted":         {func(k *Tracker) { k.Adopt(id, at(50*s), 70*s, 60*s) }, at(50 * s), 70 * s, 60 * s, 70 * s},
		"adopted after its mention": {func(k *Tracker) { k.Start(100*s, born.Add(100*s), id, at(50*s)); k.Adopt(id, at(50*s), 70*s, 60*s) },
			at(50 * s), 100 * s, 0, 100 * s},
	} {
		var k Tracker
		if _, _, _, ok := k.Known(id); ok {
			t.Errorf("%s: known before", name)
		}
		c.tell(&k)
		up, started, after, ok := k.Known(id)
		if !ok || up != c.up || started != c.started || after != c.after {
			t.Errorf("%s: %d, %v after %v, %v; want %d, %v after %v", name, up, started, after, ok, c.up, c.started, c.after)
		}
		if got := k.Start(200*s, born.Add(200*s-h), id, c.up); got != c.back {
			t.Errorf("%s: started %v when mentioned again, want %v", name, got, c.back)
		}
	}
}
