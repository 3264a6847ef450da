package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// What was seen of a server long ago gives way to what is seen everywhere; time-outs count up to the shortest
// target latency and rejections past the longest (incident i65239e: servers whose ops all ran out looked well).
func TestLatencyEstimate(t *testing.T) {
	engine := fullServerFleet(t).instances[0]
	server := engine.servers["osd0"]
	engine.setTypicalLatency(0.05)
	engine.setServerLatency(server, 1)
	engine.now = 10 * time.Second
	for _, test := range []struct {
		code    honeyplank.Code
		elapsed time.Duration
		least   float64
	}{{honeyplank.TimedOut, 10 * ms, 0.04}, {honeyplank.TimedOut, 5 * time.Second, 0.15}, {honeyplank.Rejected, 0, 0.3}} {
		t.Run(fmt.Sprintf("code %d after %v", test.code, test.elapsed), func(t *testing.T) {
			engine.recordTimeout(server, &op{}, honeyplank.Outcome{Code: test.code, Elapsed: test.elapsed})
			if got := engine.expectedLatency(server, 0); got < test.least || got > 2*test.least {
				t.Errorf("%v s after %+v", got, test)
			}
		})
	}
}

// What an instance before this one knew of a slow server holds from the first op, fades with its age, and is void
// where the server has started since; what a server has not answered since its start is not handed on.
func TestSavedEstimates(t *testing.T) {
	for _, test := range []struct {
		at, started time.Duration
		out, known  int // how many of eight ops leave at once, and servers handed on after
	}{{10 * time.Second, 0, 1, 2}, {10 * time.Second, 5 * time.Second, 1, 2}, {10 * time.Second, 10*time.Second + 1, 4, 1},
		{-20 * time.Second, 0, 4, 2}, {11 * time.Second, 0, 4, 1}, {-24 * time.Hour, 0, 4, 1}} { // osd1 is never seen, and is handed on
		t.Run(fmt.Sprintf("estimate of %v, server started at %v", test.at, test.started), func(t *testing.T) {
			settings := testSettings()
			settings.MeanUnits = 1.0
			fleet := newTestFleet(t, 1, settings)
			fleet.now = 10 * time.Second
			fleet.handle(0, honeyplank.SavedEstimates{TypicalLatency: 0.02, Servers: []honeyplank.ServerEstimate{{Server: "osd0", At: test.at, BestPerUnit: 0.02, Latency: 0.4}, {Server: "osd1", At: time.Second, Latency: 0.1}}})
			fleet.sendList(honeyplank.Cached, member(0, test.started))
			out := 0
			for i := range 8 {
				fleet.admit("a", i, 1, int64(i), 0)
				out += len(fleet.order[i].dispatched)
			}
			if got := fleet.instances[0].SavedEstimates(); out != test.out || len(got.Servers) != test.known || got.TypicalLatency != 0.02 {
				t.Errorf("estimate of %v, started at %v: %d ops leave at once, want %d; saved %+v", test.at, test.started, out, test.out, got)
			}
		})
	}
}

// setTypicalLatency has all types answered in a time as recently, in seconds.
func (e *Engine) setTypicalLatency(seconds float64) {
	for i := range e.latencyByType {
		e.latencyByType[i] = typeLatency{mean: seconds, fastest: seconds, updatedAt: e.now}
	}
}

// setServerLatency has a server take a time for an op of the first type, in seconds.
func (e *Engine) setServerLatency(server *server, seconds float64) {
	server.slowness, server.slownessAt = seconds/e.typicalLatency(0), e.now
}
