package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// fullServerFleet is one instance and one server whose window of four is full; ops of several volumes are held behind it.
func fullServerFleet(t *testing.T) *testFleet {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0))
	for i := range 4 {
		fleet.admit("full", i, 9, 1, 0)
	}
	return fleet
}

func (fleet *testFleet) admit(name string, i int, volume, key int64, opType int) {
	fleet.handle(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(name, i)), Units: 1, Timeout: fleet.now + time.Second, Type: opType,
		HasKey: true, Key: key, Instances: 1, Volume: volume})
}

// The window bounds what is outstanding, the served volume goes first when the window has capacity again, and a slice that is
// over is followed by the next. Slices follow the weights of the plans.
func TestSlices(t *testing.T) {
	fleet := fullServerFleet(t)
	fleet.admit("other", 0, 8, 2, 0)
	fleet.admit("own", 0, 9, 3, 0)
	engine := fleet.instances[0]
	server := engine.servers["osd0"]
	out := server.outstanding
	server.sliceEnd = time.Second
	fleet.endDispatch(fleet.ops["full0"], honeyplank.Succeeded)
	if out != 4 || len(fleet.ops["own0"].dispatched) != 1 || len(fleet.ops["other0"].dispatched) != 0 {
		t.Errorf("%d ops outstanding in a window of 4, or the served volume did not go first", out)
	}
	fleet.admit("own", 1, 9, 4, 0)
	server.sliceEnd = 0
	if fleet.endDispatch(fleet.ops["full1"], honeyplank.Succeeded); len(fleet.ops["other0"].dispatched) != 1 {
		t.Error("the slice did not end")
	}
	fleet.settings.Plans.Weight = []float64{1, 3}
	engine.settings = readSettings(fleet.settings)
	engine.startSlice(server, &volumeQueue{volume: &volume{plan: 0}})
	light := server.sliceEnd - engine.now
	engine.startSlice(server, &volumeQueue{volume: &volume{plan: 1}})
	if heavy := server.sliceEnd - engine.now; heavy < 2*light {
		t.Errorf("slices of %v and %v for weights 1 and 3", light, heavy)
	}
}

// With nothing held the slice ends when think time reaches past it or another volume completes faster; else the
// instance waits, and others fill the window meanwhile.
func TestThinkTimeAndAwait(t *testing.T) {
	for _, test := range []struct {
		thinkt, own, other time.Duration
		want               sliceSignal
	}{
		{80 * ms, 10 * ms, 20 * ms, thinkTimeTooLong},
		{5 * ms, 30 * ms, 10 * ms, cheaperReady},
		{5 * ms, 10 * ms, 30 * ms, worthWaiting},
	} {
		t.Run(fmt.Sprintf("think time %v, await %v and %v", test.thinkt, test.own, test.other), func(t *testing.T) {
			fleet := fullServerFleet(t)
			fleet.admit("other", 0, 8, 2, 0)
			engine := fleet.instances[0]
			server := engine.servers["osd0"]
			gap := func(d time.Duration) decayedMean { return decayedMean{total: 1e6 * float64(d/ms), sum: 1e6} }
			for _, queue := range server.queues {
				queue.await, queue.round = gap(test.other), server.round-1
			}
			server.servedQueue.thinkTime, server.servedQueue.await, server.servedQueue.round = gap(test.thinkt), gap(test.own), server.round
			server.queues = append(server.queues, &volumeQueue{volume: &volume{}, await: decayedMean{total: 1e8, sum: 1e6}})
			server.sliceEnd, server.outstanding = engine.now+50*ms, 3
			if got := engine.nextSignal(server); got != test.want {
				t.Errorf("thinkt %v, await %v and %v: signal %d, want %d", test.thinkt, test.own, test.other, got, test.want)
			}
		})
	}
}

// Ops of one run reach the server together (incident i6f4fcd): inside the reserve they may pass the window.
// An op that cannot be in time any more is answered at once.
func TestKeyRunsAndUnreachableDeadlines(t *testing.T) {
	fleet := fullServerFleet(t)
	fleet.admit("other", 0, 9, 2, 0)
	fleet.admit("run", 0, 9, 1, 0)
	fleet.endDispatch(fleet.order[0], honeyplank.Succeeded)
	if len(fleet.ops["run0"].dispatched) != 1 || len(fleet.ops["other0"].dispatched) != 0 {
		t.Error("the run under way does not go on first")
	}
	fleet.instances[0].setServerLatency(fleet.instances[0].servers["osd0"], 1)
	fleet.admit("late", 0, 8, 2, 0)
	if !fleet.ops["late0"].answered {
		t.Error("an op that is past use is held")
	}
}
