package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestLatencyEstimate checks that an old latency of one server decays towards the latency of all
// servers. Timeouts count up to the shortest target latency, and rejections as the longest
// (incident i65239e: servers whose ops all timed out appeared healthy).
func TestLatencyEstimate(t *testing.T) {
	engine := fullServerFleet(t).instances[0]
	server := engine.servers["osd0"]
	engine.setTypicalLatency(0.05)
	engine.setServerLatency(server, 1)
	engine.now = 10 * time.Second
	for _, test := range []struct {
		code    honeyplank.Code
		elapsed time.Duration
		least   float64 // expected latency, in seconds; the maximum is twice that
	}{
		{honeyplank.TimedOut, 10 * ms, 0.04},
		{honeyplank.TimedOut, 5 * time.Second, 0.15},
		{honeyplank.Rejected, 0, 0.3},
	} {
		t.Run(fmt.Sprintf("code %d after %v", test.code, test.elapsed), func(t *testing.T) {
			engine.recordTimeout(server, &op{}, honeyplank.Outcome{Code: test.code, Elapsed: test.elapsed})
			if got := engine.expectedLatency(server, 0); got < test.least || got > 2*test.least {
				t.Errorf("expected latency %v s, want between the field least and twice that of %+v", got, test)
			}
		})
	}
}

// TestSavedEstimates checks that the saved estimate of a slow server applies from the first op,
// decays with its age, and is ignored if the server has started since. An estimate is not saved
// again if the server has not answered since its start. The estimate of osd1, which is never
// listed, is saved again.
func TestSavedEstimates(t *testing.T) {
	for _, test := range []struct {
		at, started       time.Duration
		dispatched, saved int // number of eight ops dispatched at once, and of servers saved afterwards
	}{
		{10 * time.Second, 0, 1, 2},
		{10 * time.Second, 5 * time.Second, 1, 2},
		{10 * time.Second, 10*time.Second + 1, 4, 1},
		{-20 * time.Second, 0, 4, 2},
		{11 * time.Second, 0, 4, 1},
		{-24 * time.Hour, 0, 4, 1},
	} {
		t.Run(fmt.Sprintf("estimate of %v, server started at %v", test.at, test.started), func(t *testing.T) {
			settings := testSettings()
			settings.MeanUnits = 1.0
			fleet := newTestFleet(t, 1, settings)
			fleet.now = 10 * time.Second
			fleet.handle(0, honeyplank.SavedEstimates{TypicalLatency: 0.02, Servers: []honeyplank.ServerEstimate{
				{Server: "osd0", At: test.at, BestPerUnit: 0.02, Latency: 0.4},
				{Server: "osd1", At: time.Second, Latency: 0.1},
			}})
			fleet.sendList(honeyplank.Cached, member(0, test.started))
			dispatched := 0
			for i := range 8 {
				fleet.admit("a", i, 1, int64(i), 0)
				dispatched += len(fleet.order[i].dispatched)
			}
			if dispatched != test.dispatched {
				t.Errorf("%d ops dispatched at once, want %d", dispatched, test.dispatched)
			}
			saved := fleet.instances[0].SavedEstimates()
			if len(saved.Servers) != test.saved || saved.TypicalLatency != 0.02 {
				t.Errorf("saved %+v, want %d servers and a typical latency of 0.02 s", saved, test.saved)
			}
		})
	}
}
