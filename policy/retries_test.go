package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestLostAnswer checks that if ops sent later to the same server are answered, a dispatch without
// an answer is cancelled long before its op timeout, and its op is dispatched again in time for its
// target latency. A dispatch that no other has overtaken is not cancelled, nor is one of an
// at-most-once type, nor any if cancelling or hedging is not allowed.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		change     func(*honeyplank.Settings)
		overtaken  bool
		dispatches int
	}{
		{"overtaken", func(*honeyplank.Settings) {}, true, 2},
		{"not overtaken", func(*honeyplank.Settings) {}, false, 1},
		{"at most once", func(settings *honeyplank.Settings) {
			for i := range settings.OpTypes {
				settings.OpTypes[i].Semantics = honeyplank.AtMostOnce
			}
		}, true, 1},
		{"no cancelling", func(settings *honeyplank.Settings) { settings.Dispatches.CancelAllowed = false }, true, 1},
		{"no hedging", func(settings *honeyplank.Settings) { settings.Dispatches.HedgingAllowed = false }, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFastFleet(t, test.change)
			lost := fleet.admitLost()
			fleet.dispatchEnds[lost.ID] = lost.Deadline
			if test.overtaken {
				fleet.now += ms
				fleet.simulateFastOp(10)
			}
			fleet.advanceWithout(lost, 120*ms)
			if len(lost.dispatched) != test.dispatches {
				t.Errorf("%d dispatches, want %d", len(lost.dispatched), test.dispatches)
			}
		})
	}
}

// newFastFleet returns one instance that may cancel and hedge, and one server that has answered ten
// ops. change changes the settings.
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

// admitLost sends the op whose answer is lost.
func (fleet *testFleet) admitLost() *trackedOp {
	fleet.admit("lost", 0, 9, 99, 0)
	return fleet.ops["lost0"]
}

// advanceWithout advances the clock by a time in which the first dispatch of an op ends only if it
// is cancelled.
func (fleet *testFleet) advanceWithout(lost *trackedOp, length time.Duration) {
	fleet.t.Helper()
	for begun := fleet.now; fleet.now < begun+length; {
		fleet.advance([]honeyplank.Code{honeyplank.Succeeded})
		if len(lost.dispatched) == 1 && !lost.dispatched[0].cancelRequested {
			fleet.dispatchEnds[lost.ID] = lost.Deadline
		}
	}
}

// simulateFastOp simulates the i-th op that is answered after 5 ms.
func (fleet *testFleet) simulateFastOp(i int) {
	fleet.admit("quick", i, 9, int64(i), 0)
	fleet.now += 5 * ms
	fleet.endDispatch(fleet.order[len(fleet.order)-1], honeyplank.Succeeded)
}

// TestFrequentlyLostAnswers checks that if answers are lost often, an overtaken dispatch is
// cancelled after half of the time that it may take otherwise.
func TestFrequentlyLostAnswers(t *testing.T) {
	for share, want := range map[float64]int{0: 1, 0.05: 2} {
		t.Run(fmt.Sprintf("share of %v lost", share), func(t *testing.T) {
			fleet := newFastFleet(t, func(*honeyplank.Settings) {})
			fleet.instances[0].lostShare = share
			lost := fleet.admitLost()
			fleet.now += ms
			for i := range 6 { // 31 ms in all, with a typical latency of 5 ms and a sweep every 10 ms
				fleet.simulateFastOp(10 + i)
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
				if lost.dispatched[0].cancelRequested && !lost.dispatched[0].done {
					fleet.endDispatch(lost, honeyplank.Cancelled)
				}
			}
			if n := len(lost.dispatched); n != want {
				t.Errorf("%d dispatches, want %d", n, want)
			}
		})
	}
}

// TestRetryWithinDedupWindow checks that a deduplicated op is retried only while the retry can run
// before the servers forget the first dispatch, even if the process is delayed and the connection
// is established late. The first dispatch is always sent.
func TestRetryWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		dedupWindow, connectTimeout time.Duration
		failsAfter                  time.Duration
		want                        int // number of dispatches
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
			fleet.handle(0, honeyplank.Op{ID: "a", Units: 1, Deadline: 5 * time.Second, Type: 1, Instances: 1})
			fleet.now += test.failsAfter
			fleet.endDispatch(fleet.ops["a"], honeyplank.Reset)
			if n := len(fleet.ops["a"].dispatched); n != test.want || len(fleet.violations) > 0 {
				t.Errorf("%+v: %d dispatches, violations %v", test, n, fleet.violations)
			}
		})
	}
}

// TestRetryBudgetWithProcessPause checks that the retry budget holds although retries may reach
// their servers up to one process pause after they were counted.
func TestRetryBudgetWithProcessPause(t *testing.T) {
	for _, test := range []struct {
		free, share     float64
		admitted, retry time.Duration // age of the one admission and of the one retry; 0: none
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
				t.Errorf("%+v: retry allowed: %v", test, got)
			}
		})
	}
}
