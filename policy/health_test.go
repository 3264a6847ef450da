package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// Silence takes a server down after two spells, a trial brings it back (incident i9adade: time-outs).
func TestSilenceAndRecovery(t *testing.T) {
	fleet := fullServerFleet(t)
	server, seen := fleet.instances[0].servers["osd0"], map[honeyplank.Health]bool{}
	for fleet.now < 4*time.Second {
		fleet.now += 10 * ms
		fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
		seen[server.health] = true
	}
	fleet.instances[0].applyHealthEvent(server, responded)
	if !seen[honeyplank.HealthSuspect] || !seen[honeyplank.HealthDown] || !seen[honeyplank.HealthHalfOpen] || server.health != honeyplank.HealthUp || server.window != minWindow {
		t.Errorf("states seen: %v; after an answer %v", seen, server.health)
	}
}

// A server that rejects ops or breaks connections gets no new objects for a while, and says nothing of the others.
func TestServerThatRejectsAll(t *testing.T) {
	for _, code := range []honeyplank.Code{honeyplank.Rejected, honeyplank.Reset} {
		t.Run(fmt.Sprint("code ", code), func(t *testing.T) {
			fleet := newTestFleet(t, 1, testSettings())
			fleet.sendList(honeyplank.Cached, member(0, 0), member(1, 0))
			engine, server := fleet.instances[0], fleet.instances[0].servers["osd0"]
			engine.setTypicalLatency(0.02)
			for i := range 8 {
				fleet.admit("a", i, 1, int64(i), 0)
				if n := len(fleet.order[i].dispatched); n == 1 {
					fleet.endDispatch(fleet.order[i], code)
				}
				fleet.now += 20 * ms
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
			}
			if engine.acceptsNewObjects(server) || !engine.acceptsNewObjects(engine.servers["osd1"]) {
				t.Errorf("%v: osd0 accepts new objects: %v, the other: %v", code, engine.acceptsNewObjects(server), engine.acceptsNewObjects(engine.servers["osd1"]))
			}
			if other := engine.expectedLatency(engine.servers["osd1"], 0); other > 0.03 {
				t.Errorf("%v: expected latency of the other %v s", code, other)
			}
			server.health = honeyplank.HealthUp
			if engine.now += time.Minute; !engine.acceptsNewObjects(server) {
				t.Errorf("%v: not tried again", code)
			}
		})
	}
}

// TestSilenceToShortTimeouts: ops with less time than a usual answer takes may be dropped without a word, which says
// nothing of the server; silence to ops with time does.
func TestSilenceToShortTimeouts(t *testing.T) {
	for left, want := range map[time.Duration]honeyplank.Health{30 * ms: honeyplank.HealthUp, 400 * ms: honeyplank.HealthDown} {
		t.Run(fmt.Sprint(left, " left"), func(t *testing.T) {
			settings := testSettings()
			settings.Plans.Reserve = []float64{1e6}
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			engine, sent := fleet.instances[0], 0
			for i := range 250 {
				engine.setTypicalLatency(0.04)
				fleet.now += 10 * ms
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
				for _, tracked := range fleet.order {
					if n := len(tracked.dispatched); n > 0 && !tracked.dispatched[n-1].done && fleet.now >= tracked.Timeout {
						fleet.endDispatch(tracked, honeyplank.TimedOut)
					}
				}
				fleet.handle(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 1, Timeout: fleet.now + left, Instances: 1})
				sent += len(fleet.order[i].dispatched)
			}
			if got := engine.servers["osd0"].health; sent < 4 || (got == honeyplank.HealthUp) != (want == honeyplank.HealthUp) {
				t.Errorf("%v left: %d sent, the server counts as %v", left, sent, got)
			}
		})
	}
}
