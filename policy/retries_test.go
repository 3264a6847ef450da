package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestLostAnswer: an op whose answer does not come, while ops sent later to the same server are answered, is
// cancelled long before its op timeout and goes out again in time for its target latency. One that nothing has
// overtaken, one of a at-most-once type, and any where cancelling is not allowed are waited for.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		change     func(*honeyplank.Settings)
		passed     bool
		dispatches int
	}{
		{"overtaken", func(*honeyplank.Settings) {}, true, 2},
		{"alone", func(*honeyplank.Settings) {}, false, 1},
		{"once-only", func(settings *honeyplank.Settings) {
			settings.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.AtMostOnce, honeyplank.AtMostOnce}
		}, true, 1},
		{"not allowed", func(settings *honeyplank.Settings) { settings.Dispatches.CancelAllowed = false }, true, 1},
		{"one at a time", func(settings *honeyplank.Settings) { settings.Dispatches.HedgingAllowed = false }, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.Dispatches.CancelAllowed, settings.Dispatches.HedgingAllowed = true, true
			test.change(settings)
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			answer := func(i int) { // one op that is answered after 5 ms
				fleet.admit("quick", i, 9, int64(i), 0)
				fleet.now += 5 * ms
				fleet.endDispatch(fleet.ops[honeyplank.OpID(fmt.Sprint("quick", i))], honeyplank.Succeeded)
			}
			for i := range 10 {
				answer(i)
			}
			fleet.admit("lost", 0, 9, 99, 0)
			lost := fleet.ops["lost0"]
			fleet.dispatchEnds["lost0"] = lost.Timeout
			if test.passed {
				fleet.now += ms
				answer(10)
			}
			for begun := fleet.now; fleet.now < begun+120*ms; {
				fleet.advance([]honeyplank.Code{honeyplank.Succeeded})
				if len(lost.dispatched) == 1 && !lost.dispatched[0].cancelRequested {
					fleet.dispatchEnds["lost0"] = lost.Timeout
				}
			}
			if len(lost.dispatched) != test.dispatches {
				t.Errorf("%d dispatches, expected %d", len(lost.dispatched), test.dispatches)
			}
		})
	}
}

// TestFrequentlyLostAnswers: where answers are lost often, one that others overtake is given up after half of the time.
func TestFrequentlyLostAnswers(t *testing.T) {
	for lost, want := range map[float64]int{0: 1, 0.05: 2} {
		t.Run(fmt.Sprintf("share of %v lost", lost), func(t *testing.T) {
			settings := testSettings()
			settings.Dispatches.CancelAllowed, settings.Dispatches.HedgingAllowed = true, true
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			quick := 0
			answer := func() {
				fleet.admit("quick", quick, 9, int64(quick), 0)
				fleet.now += 5 * ms
				fleet.endDispatch(fleet.ops[honeyplank.OpID(fmt.Sprint("quick", quick))], honeyplank.Succeeded)
				quick++
			}
			for range 10 {
				answer()
			}
			fleet.instances[0].lostShare = lost
			fleet.admit("lost", 0, 9, 99, 0)
			fleet.now += ms
			for range 6 { // 31 ms, where 5 ms are usual and a sweep comes every 10 ms
				answer()
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
				if lost := fleet.ops["lost0"]; lost.dispatched[0].cancelRequested && !lost.dispatched[0].done {
					fleet.endDispatch(lost, honeyplank.Cancelled)
				}
			}
			if n := len(fleet.ops["lost0"].dispatched); n != want {
				t.Errorf("a share of %v lost: %d dispatches, expected %d", lost, n, want)
			}
		})
	}
}

// TestRetryWithinDedupWindow: a repeat of a deduplicated op goes out only while it can be at work before the servers forget
// the first one, though the process is delayed and the connection comes up late. The first dispatch always goes.
func TestRetryWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		remember, connect, after time.Duration
		want                     int
	}{
		{time.Second, 0, 500 * ms, 2}, {time.Second, 0, 840 * ms, 2}, {time.Second, 0, 852 * ms, 1},
		{time.Second, 400 * ms, 400 * ms, 2}, {time.Second, 400 * ms, 500 * ms, 1},
		{100 * ms, 0, 5 * ms, 1}, {0, 0, 5 * ms, 1},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			settings.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.Deduplicated, honeyplank.Deduplicated}
			settings.OpTypes.DedupWindow, settings.Dispatches.ConnectTimeout = []time.Duration{test.remember, test.remember}, test.connect
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			fleet.instances[0].setTypicalLatency(0.001)
			fleet.handle(0, honeyplank.Op{ID: "a", Units: 1, Timeout: 5 * time.Second, Type: 1, Instances: 1})
			fleet.now += test.after
			fleet.endDispatch(fleet.ops["a"], honeyplank.Reset)
			if n := len(fleet.ops["a"].dispatched); n != test.want || len(fleet.violations) > 0 {
				t.Errorf("%+v: %d dispatches, %v", test, n, fleet.violations)
			}
		})
	}
}

// TestRetryBudgetWithHoldUp: retries are seen at their servers up to a hold-up after they were counted.
func TestRetryBudgetWithHoldUp(t *testing.T) {
	for _, test := range []struct {
		free, share  float64
		taken, extra time.Duration // how long ago; 0: none was
		want         bool
	}{
		{1, 0, 0, 1100 * ms, false}, {1, 0, 0, 1160 * ms, true}, {1, 0, 0, 0, true}, {2, 0, 0, 900 * ms, true},
		{0, 1, 840 * ms, 0, true}, {0, 1, 900 * ms, 0, false},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: test.free, Share: test.share, Window: time.Second}
			engine := New(1, settings)
			engine.now = time.Minute
			if test.taken > 0 {
				engine.admissions = []time.Duration{engine.now - test.taken}
			}
			if test.extra > 0 {
				engine.retries = []time.Duration{engine.now - test.extra}
			}
			if got := engine.retryBudgetAllows(); got != test.want {
				t.Errorf("%+v: allowed: %v", test, got)
			}
		})
	}
}
