package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"honeyplank"
)

// TestSliceOrder checks that the window bounds the outstanding ops, the served volume goes first
// when the window has capacity again, and the next slice starts when a slice is over.
func TestSliceOrder(t *testing.T) {
	fleet := fullServerFleet(t)
	fleet.admit("other", 0, 8, 2, 0)
	fleet.admit("own", 0, 9, 3, 0)
	server := fleet.instances[0].servers["osd0"]
	if server.outstanding != 4 {
		t.Errorf("%d ops outstanding, want 4 in a window of 4", server.outstanding)
	}
	server.sliceEnd = time.Second
	fleet.endDispatch(fleet.ops["full0"], honeyplank.Succeeded)
	if len(fleet.ops["own0"].dispatched) != 1 || len(fleet.ops["other0"].dispatched) != 0 {
		t.Error("the op of the served volume was not dispatched first")
	}
	fleet.admit("own", 1, 9, 4, 0)
	server.sliceEnd = 0
	if fleet.endDispatch(fleet.ops["full1"], honeyplank.Succeeded); len(fleet.ops["other0"].dispatched) != 1 {
		t.Error("no op of another volume was dispatched after the end of the slice")
	}
}

// TestSliceLengths checks that the lengths of slices follow the weights of the plans.
func TestSliceLengths(t *testing.T) {
	fleet := fullServerFleet(t)
	engine := fleet.instances[0]
	server := engine.servers["osd0"]
	fleet.settings.Plans = []honeyplank.Plan{{Rate: 20, Reserve: 10, Weight: 1}, {Rate: 20, Weight: 3}}
	engine.settings = readSettings(fleet.settings)
	engine.startSlice(server, &volumeQueue{volume: &volume{plan: 0}})
	light := server.sliceEnd - engine.now
	engine.startSlice(server, &volumeQueue{volume: &volume{plan: 1}})
	if heavy := server.sliceEnd - engine.now; heavy < 2*light {
		t.Errorf("slices of %v and %v for weights 1 and 3, want the second at least twice the first", light, heavy)
	}
}

// TestThinkTimeAndAwait checks that if no op of the served volume is queued, its slice ends when
// the think time exceeds the rest of the slice or another volume has a shorter await. Otherwise the
// instance waits, and the other volumes use the window in the meantime.
func TestThinkTimeAndAwait(t *testing.T) {
	for _, test := range []struct {
		thinkTime, ownAwait, otherAwait time.Duration
		want                            sliceSignal
	}{
		{80 * ms, 10 * ms, 20 * ms, thinkTimeTooLong},
		{5 * ms, 30 * ms, 10 * ms, shorterAwaitReady},
		{5 * ms, 10 * ms, 30 * ms, worthWaiting},
	} {
		name := fmt.Sprintf("think time %v, await %v and %v", test.thinkTime, test.ownAwait, test.otherAwait)
		t.Run(name, func(t *testing.T) {
			fleet := fullServerFleet(t)
			fleet.admit("other", 0, 8, 2, 0)
			engine := fleet.instances[0]
			server := engine.servers["osd0"]
			for _, queue := range server.queueByVolume {
				queue.await, queue.round = meanOf(test.otherAwait), server.round-1
			}
			served := server.servedQueue
			served.thinkTime, served.await, served.round = meanOf(test.thinkTime), meanOf(test.ownAwait), server.round
			slow := &volumeQueue{volume: &volume{}, await: meanOf(100 * ms)}
			server.awaited = append(slices.Collect(maps.Values(server.queueByVolume)), slow)
			server.sliceEnd, server.outstanding = engine.now+50*ms, 3
			if got := engine.nextSignal(server); got != test.want {
				t.Errorf("signal %d, want %d", got, test.want)
			}
		})
	}
}

// meanOf returns a decayed mean with a value that new observations hardly change.
func meanOf(value time.Duration) decayedMean {
	return decayedMean{total: 1e6 * float64(value/ms), sum: 1e6}
}

// TestKeyRunsAndUnreachableDeadlines checks that ops of one run of a key are dispatched to the
// server one after another (incident i6f4fcd), and an op that can no longer be answered in time is
// given up at once.
func TestKeyRunsAndUnreachableDeadlines(t *testing.T) {
	fleet := fullServerFleet(t)
	fleet.admit("other", 0, 9, 2, 0)
	fleet.admit("run", 0, 9, 1, 0)
	fleet.endDispatch(fleet.order[0], honeyplank.Succeeded)
	if len(fleet.ops["run0"].dispatched) != 1 || len(fleet.ops["other0"].dispatched) != 0 {
		t.Error("the op with the key of the last op sent was not dispatched first")
	}
	fleet.instances[0].setServerLatency(fleet.instances[0].servers["osd0"], 1)
	fleet.admit("late", 0, 8, 2, 0)
	if !fleet.ops["late0"].answered {
		t.Error("an op that cannot be answered in time was not given up")
	}
}
