package scheduler

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// clockSteps are steps of the wall clock.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// steppedClock is a scheduler whose wall clock is stepped, with the start times that its decision module receives.
type steppedClock struct {
	*testbed
	began   time.Duration // loop time at the creation
	step    time.Duration // offset from the real wall clock; used on the loop
	starts  map[honeyplank.ServerID]time.Duration
	applied chan bool // one for each list
}

// newSteppedClock starts a scheduler whose wall clock is off by a step.
func newSteppedClock(t *testing.T, step time.Duration) *steppedClock {
	t.Helper()
	clock := &steppedClock{
		testbed: newTestbed(t, 2),
		step:    step,
		starts:  map[honeyplank.ServerID]time.Duration{},
		applied: make(chan bool, 16),
	}
	clock.onLoop(func() {
		clock.began = clock.scheduler.loop.Now()
		clock.scheduler.wallClock = func() time.Time { return time.Now().Add(clock.step) }
		clock.module.onEvent = func(event honeyplank.Event) {
			if list, ok := event.(honeyplank.List); ok && len(list.Members) == 1 { // a list sent by announce
				clock.starts[list.Members[0].ID] = list.Members[0].Started
				clock.applied <- true
			}
		}
	})
	return clock
}

// announce makes discovery list a disk server with a start time in Unix milliseconds. It returns the start time that
// the decision module receives, and the current time, both on the loop's clock.
func (c *steppedClock) announce(id string, startMS int64) (started, now time.Duration) {
	member := c.member(1, "up")
	member.ID, member.UpSinceMS = id, startMS
	c.discovery.Change(member)
	<-c.applied
	c.onLoop(func() { started, now = c.starts[honeyplank.ServerID(id)], c.scheduler.loop.Now() })
	return started, now
}

// TestStartsAcrossClockSteps checks start times with steps of the wall clock before and between lists: a start time is
// never earlier than possible, an incarnation keeps its start time, and a server that has run for long has none.
func TestStartsAcrossClockSteps(t *testing.T) {
	for _, before := range clockSteps { // since the start of the process
		for _, between := range clockSteps {
			t.Run(fmt.Sprint(before, " ", between), func(t *testing.T) { checkStarts(t, before, between) })
		}
	}
}

// checkStarts checks the start times of disk servers with one step of the wall clock before the lists and one between
// them.
func checkStarts(t *testing.T, before, between time.Duration) {
	const age = 300 * time.Millisecond
	clock := newSteppedClock(t, before)
	startMS := time.Now().Add(before - age).UnixMilli()
	if got, now := clock.announce("s-9", startMS); got < clock.began || got > now {
		t.Errorf("first incarnation: started %v after the process, now %v after it", got-clock.began, now-clock.began)
	}
	if got, _ := clock.announce("s-8", 0); got != 0 {
		t.Errorf("server that has run for long: started at %v, expected 0", got)
	}
	var first, last time.Duration
	clock.onLoop(func() {
		first, last = clock.starts["s-9"], clock.scheduler.loop.Now()
		clock.step += between
	})
	if got, _ := clock.announce("s-9", startMS); got != first {
		t.Errorf("started at %v on the first list, at %v on the second", first, got)
	}
	time.Sleep(age)
	again := time.Now().Add(before + between - age/2).UnixMilli()
	got, now := clock.announce("s-9", again)
	if got < last || got > now || between == 0 && before == 0 && got > now-age/4 {
		t.Errorf("next incarnation: started at %v, expected %v to %v", got, last, now)
	}
	if later, _ := clock.announce("s-9", again); later != got {
		t.Errorf("next incarnation: started at %v on its first list, at %v on its second", got, later)
	}
}

// TestStartsOfCachedList checks that, for any step of the wall clock, a new process treats a server as just started if
// the cached list gives its start time. The server keeps that start when discovery lists it again.
func TestStartsOfCachedList(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			startMS := time.Now().Add(step - 10*time.Millisecond).UnixMilli()
			bed := newTestbed(t, 2, withCachedStart(startMS))
			var first, now time.Duration
			bed.eventuallyOnLoop("the list", func() bool {
				now = bed.scheduler.loop.Now()
				first = bed.scheduler.starts.startOf(listMember{ID: "s-0", Phase: "up", UpSinceMS: float64(startMS)})
				return bed.scheduler.servers["s-0"] != nil
			})
			if first <= 0 || first > now || now-first > 10*time.Second {
				t.Errorf("the server started %v ago", now-first)
			}
			again := bed.deltaStarts()
			member := bed.member(0, "up")
			member.UpSinceMS = startMS
			bed.discovery.Change(member)
			if got := <-again; got != first {
				t.Errorf("started at %v in the cached list, at %v in the delta", first, got)
			}
		})
	}
}

// withCachedStart makes the cached list name one disk server with a start time in Unix milliseconds.
func withCachedStart(startMS int64) func(map[string]any) {
	return func(config map[string]any) {
		section(config, "known")["members"] = []any{map[string]any{
			"id":          "s-0",
			"host_port":   "127.0.0.1:1",
			"locality":    "room",
			"flavor":      "std",
			"cell":        0,
			"phase":       "up",
			"size":        1,
			"up_since_ms": startMS,
		}}
	}
}

// deltaStarts returns a channel that receives the start time of the first disk server in each later delta.
func (bed *testbed) deltaStarts() <-chan time.Duration {
	bed.t.Helper()
	starts := make(chan time.Duration, 4)
	bed.onLoop(func() {
		bed.module.onEvent = func(event honeyplank.Event) {
			list, ok := event.(honeyplank.List)
			if ok && list.Kind == honeyplank.Delta && len(list.Members) > 0 {
				starts <- list.Members[0].Started
			}
		}
	})
	return starts
}
