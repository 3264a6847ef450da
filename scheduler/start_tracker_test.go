package scheduler

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestStartsAcrossClockSteps: whatever the wall clock does before and between lists, a start is never earlier than it
// can have been, one incarnation has one start, and a server that has run for long has none.
func TestStartsAcrossClockSteps(t *testing.T) {
	const hour, age = time.Hour, 300 * time.Millisecond
	for _, before := range []time.Duration{-hour, -3 * time.Second, 0, 3 * time.Second, hour} { // a step since the process began
		for _, between := range []time.Duration{-hour, -3 * time.Second, 0, 3 * time.Second, hour} {
			t.Run(fmt.Sprint(before, " ", between), func(t *testing.T) {
				bed := newTestbed(t, 2)
				received := map[honeyplank.ServerID]time.Duration{}
				lists := make(chan bool, 16)
				step := before
				var from time.Duration
				bed.onLoop(func() {
					from = bed.scheduler.loop.Now()
					bed.scheduler.wallClock = func() time.Time { return time.Now().Add(step) }
					bed.module.onEvent = func(e honeyplank.Event) {
						if l, ok := e.(honeyplank.List); ok && len(l.Members) == 1 { // one that the test tells
							for _, m := range l.Members {
								received[m.ID] = m.Started
							}
							lists <- true
						}
					}
				})
				tell := func(id string, stamp int64) (started, now time.Duration) {
					member := bed.member(1, "up")
					member.ID, member.StartedM = id, stamp
					bed.discovery.Change(member)
					<-lists
					bed.onLoop(func() { started, now = received[honeyplank.ServerID(id)], bed.scheduler.loop.Now() })
					return started, now
				}
				stamp := time.Now().Add(step - age).UnixMilli()
				if got, now := tell("s-9", stamp); got < from || got > now {
					t.Errorf("the first has started %v after the process, at %v", got-from, now-from)
				}
				if got, _ := tell("s-8", 0); got != 0 {
					t.Errorf("one that runs since long has started at %v", got)
				}
				var first, last time.Duration
				bed.onLoop(func() { first, last = received["s-9"], bed.scheduler.loop.Now() })
				bed.onLoop(func() { step += between })
				if got, _ := tell("s-9", stamp); got != first {
					t.Errorf("it has started at %v, later at %v", first, got)
				}
				time.Sleep(age)
				again := time.Now().Add(step - age/2).UnixMilli()
				got, now := tell("s-9", again)
				if got < last || got > now || between == 0 && before == 0 && got > now-age/4 {
					t.Errorf("the next one has started at %v, expected %v to %v", got, last, now)
				}
				if later, _ := tell("s-9", again); later != got {
					t.Errorf("it has started at %v, later at %v", got, later)
				}
			})
		}
	}
}

// TestStartsOfCachedList: to a process that begins, a server of the cached list that names a start has just started,
// whatever the wall clock did meanwhile, and that start stays when discovery names it again.
func TestStartsOfCachedList(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			stamp := time.Now().Add(step - 10*time.Millisecond).UnixMilli()
			bed := newTestbed(t, 2, func(m map[string]any) {
				known := section(m, "known")
				known["members"] = append([]any{}, map[string]any{"id": "s-0", "host_port": "127.0.0.1:1", "locality": "room",
					"flavor": "std", "cell": 0, "phase": "up", "size": 1, "up_since_ms": stamp})
			})
			var first, now time.Duration
			bed.eventually("the list", func() bool {
				bed.onLoop(func() {
					now = bed.scheduler.loop.Now()
					first = bed.scheduler.starts.startOf(listMember{ID: "s-0", Phase: "up", UpSinceMS: float64(stamp)})
				})
				return bed.hasServer("s-0")
			})
			if first <= 0 || first > now || now-first > 10*time.Second {
				t.Errorf("it has started %v ago", now-first)
			}
			again := make(chan time.Duration, 4)
			bed.onLoop(func() {
				bed.module.onEvent = func(e honeyplank.Event) {
					if l, ok := e.(honeyplank.List); ok && l.Kind == honeyplank.Delta && len(l.Members) > 0 {
						again <- l.Members[0].Started
					}
				}
			})
			member := bed.member(0, "up")
			member.StartedM = stamp
			bed.discovery.Change(member)
			if got := <-again; got != first {
				t.Errorf("it has started at %v, later at %v", first, got)
			}
		})
	}
}
