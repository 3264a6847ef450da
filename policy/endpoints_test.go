package policy

import (
	"testing"
	"time"

	"honeyplank"
)

// TestWatchIsRenewed checks that the watch of the endpoint list is requested, and requested again
// after a failure, within the time that the settings state.
func TestWatchIsRenewed(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.settings.Watch.OnRequest, fleet.settings.Watch.Within = true, time.Second
	fleet.instances[0].settings = readSettings(fleet.settings)
	requests, last, due := 0, time.Duration(0), time.Duration(0)
	for ; fleet.now < 10*time.Second; fleet.now += 10 * ms {
		timer := honeyplank.Timer{ID: sweepTimer}
		if fleet.now >= due {
			timer.ID = watchTimer
		}
		for _, action := range fleet.handle(0, timer) {
			if _, ok := action.(honeyplank.Watch); ok {
				requests, last = requests+1, fleet.now
				fleet.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
				due = fleet.timers[0][watchTimer]
			}
		}
		if fleet.now-last > time.Second || requests > 1000 {
			t.Fatalf("%d watch requests until %v, the last at %v, want one a second and at most 1000",
				requests, fleet.now, last)
		}
	}
}
