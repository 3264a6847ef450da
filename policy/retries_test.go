package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestLostAnswer: a dispatch without an answer, while ops sent later to the same server are answered, is
// cancelled long before its op timeout, and its op is dispatched again in time for its target latency.
// One that nothing has overtaken, one of an at-most-once type, and any where cancelling is not allowed
// are waited for.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		change     func(*honeyplank.Settings)
		overtaken  bool
		dispatches int
	}{
		{"overtaken", func(*honeyplank.Settings) {}, true, 2},
		{"alone", func(*honeyplank.Settings) {}, false, 1},
		{"once-only", func(settings *honeyplank.Settings) {
			for i := range settings.OpTypes {
				settings.OpTypes[i].Semantics = honeyplank.AtMostOnce
			}
		}, true, 1},
		{"not allowed", func(settings *honeyplank.Settings) { settings.Dispatches.CancelAllowed = false }, true, 1},
		{"one at a time", func(settings *honeyplank.Settings) { settings.Dispatches.HedgingAllowed = false }, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFastFleet(t, test.change)
			lost := fleet.admitLost()
			fleet.dispatchEnds[lost.ID] = lost.Timeout
			if test.overtaken {
				fleet.now += ms
				fleet.simulateFastOp(10)
			}
			fleet.advanceWithout(lost, 120*ms)
			if len(lost.dispatched) != test.dispatches {
				t.Errorf("%d dispatches, expected %d", len(lost.dispatched), test.dispatches)
			}
		})
	}
}

// newFastFleet is one instance that may cancel and hedge, and one server that has answered ten ops.
// change changes the settings.
func newFastFleet(t *testing.T, change func(*honeyplank.Settings)) *testFleet {
	t.Helper()
	settings := testSettings()
	settings.Dispatches.CancelAllowed, settings.Dispatches.HedgingAllowed = true, true
	change(settings)
	fleet := newTestFleet(t, 1, settings)
	fleet.sendList(honeyplank.Cached, member(0, 0))
	for i := range 10 {
		fleet.simulateFastOp(i)
	}
	return fleet
}

// admitLost sends the op whose answer does not come.
func (fleet *testFleet) admitLost() *trackedOp {
	fleet.admit("lost", 0, 9, 99, 0)
	return fleet.ops["lost0"]
}

// advanceWithout lets a time pass in which the first dispatch of an op ends only if it is cancelled.
func (fleet *testFleet) advanceWithout(lost *trackedOp, length time.Duration) {
	fleet.t.Helper()
	for begun := fleet.now; fleet.now < begun+length; {
		fleet.advance([]honeyplank.Code{honeyplank.Succeeded})
		if len(lost.dispatched) == 1 && !lost.dispatched[0].cancelRequested {
			fleet.dispatchEnds[lost.ID] = lost.Timeout
		}
	}
}

// simulateFastOp plays the i-th op of those that are answered after 5 ms.
func (fleet *testFleet) simulateFastOp(i int) {
	fleet.admit("quick", i, 9, int64(i), 0)
	fleet.now += 5 * ms
	fleet.endDispatch(fleet.order[len(fleet.order)-1], honeyplank.Succeeded)
}

// TestFrequentlyLostAnswers: where answers are lost often, a dispatch that others overtake is cancelled
// after half of the time.
func TestFrequentlyLostAnswers(t *testing.T) {
	for share, want := range map[float64]int{0: 1, 0.05: 2} {
		t.Run(fmt.Sprintf("share of %v lost", share), func(t *testing.T) {
			fleet := newFastFleet(t, func(*honeyplank.Settings) {})
			fleet.instances[0].lostShare = share
			lost := fleet.admitLost()
			fleet.now += ms
			for i := range 6 { // 31 ms, where 5 ms are usual and a sweep comes every 10 ms
				fleet.simulateFastOp(10 + i)
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
				if lost.dispatched[0].cancelRequested && !lost.dispatched[0].done {
					fleet.endDispatch(lost, honeyplank.Cancelled)
				}
			}
			if n := len(lost.dispatched); n != want {
				t.Errorf("%d dispatches, expected %d", n, want)
			}
		})
	}
}

// TestRetryWithinDedupWindow: a deduplicated op is retried only while the retry can run before the
// servers forget the first dispatch, though the process is delayed and the connection comes up late.
// The first dispatch always goes.
func TestRetryWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		dedupWindow, connectTimeout time.Duration
		failsAfter                  time.Duration
		want                        int // dispatches
	}{
		{time.Second, 0, 500 * ms, 2},
		{time.Second, 0, 840 * ms, 2},
		{time.Second, 0, 852 * ms, 1},
		{time.Second, 400 * ms, 400 * ms, 2},
		{time.Second, 400 * ms, 500 * ms, 1},
		{100 * ms, 0, 5 * ms, 1},
		{0, 0, 5 * ms, 1},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			for i := range settings.OpTypes {
				settings.OpTypes[i].Semantics = honeyplank.Deduplicated
				settings.OpTypes[i].DedupWindow = test.dedupWindow
			}
			settings.Dispatches.ConnectTimeout = test.connectTimeout
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			fleet.instances[0].setTypicalLatency(0.001)
			fleet.handle(0, honeyplank.Op{ID: "a", Units: 1, Timeout: 5 * time.Second, Type: 1, Instances: 1})
			fleet.now += test.failsAfter
			fleet.endDispatch(fleet.ops["a"], honeyplank.Reset)
			if n := len(fleet.ops["a"].dispatched); n != test.want || len(fleet.violations) > 0 {
				t.Errorf("%+v: %d dispatches, %v", test, n, fleet.violations)
			}
		})
	}
}

// TestRetryBudgetWithProcessPause: retries are seen at their servers up to a hold-up after they were counted.
func TestRetryBudgetWithProcessPause(t *testing.T) {
	for _, test := range []struct {
		free, share     float64
		admitted, retry time.Duration // how long ago one was; 0: none
		want            bool
	}{
		{1, 0, 0, 1100 * ms, false},
		{1, 0, 0, 1160 * ms, true},
		{1, 0, 0, 0, true},
		{2, 0, 0, 900 * ms, true},
		{0, 1, 840 * ms, 0, true},
		{0, 1, 900 * ms, 0, false},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			settings.RetryBudget = honeyplank.RetryBudget{
				Limited: true, Free: test.free, Share: test.share, Window: time.Second,
			}
			engine := New(1, settings)
			engine.now = time.Minute
			if test.admitted > 0 {
				engine.admissions = []time.Duration{engine.now - test.admitted}
			}
			if test.retry > 0 {
				engine.retries = []time.Duration{engine.now - test.retry}
			}
			if got := engine.retryBudgetAllows(); got != test.want {
				t.Errorf("%+v: allowed: %v", test, got)
			}
		})
	}
}
