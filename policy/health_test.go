package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestSilenceAndRecovery: a server that does not answer is down after two times of silence, and an
// answer brings it back (incident i9adade: timeouts).
func TestSilenceAndRecovery(t *testing.T) {
	fleet := fullServerFleet(t)
	server, seen := fleet.instances[0].servers["osd0"], map[honeyplank.Health]bool{}
	for fleet.now < 4*time.Second {
		fleet.now += 10 * ms
		fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
		seen[server.health] = true
	}
	fleet.instances[0].applyHealthEvent(server, responded)
	states := []honeyplank.Health{honeyplank.HealthSuspect, honeyplank.HealthDown, honeyplank.HealthHalfOpen}
	for _, want := range states {
		if !seen[want] {
			t.Errorf("never %v", want)
		}
	}
	if server.health != honeyplank.HealthUp || server.window != minWindow {
		t.Errorf("after an answer %v, window %v", server.health, server.window)
	}
}

// TestServerThatRejectsAll: a server that rejects ops or breaks connections gets no new objects for a
// while, and is no evidence against the others.
func TestServerThatRejectsAll(t *testing.T) {
	for _, code := range []honeyplank.Code{honeyplank.Rejected, honeyplank.Reset} {
		t.Run(fmt.Sprint("code ", code), func(t *testing.T) {
			fleet := newTestFleet(t, 1, testSettings())
			fleet.sendList(honeyplank.Cached, member(0, 0), member(1, 0))
			engine := fleet.instances[0]
			server, other := engine.servers["osd0"], engine.servers["osd1"]
			engine.setTypicalLatency(0.02)
			fleet.simulateOpsEndedBy(code)
			if engine.acceptsNewObjects(server) {
				t.Errorf("%v: %s still accepts new objects", code, server.ID)
			}
			if !engine.acceptsNewObjects(other) {
				t.Errorf("%v: %s accepts no new objects", code, other.ID)
			}
			if latency := engine.expectedLatency(other, 0); latency > 0.03 {
				t.Errorf("%v: expected latency of the other %v s", code, latency)
			}
			server.health = honeyplank.HealthUp
			if engine.now += time.Minute; !engine.acceptsNewObjects(server) {
				t.Errorf("%v: not tried again", code)
			}
		})
	}
}

// simulateOpsEndedBy plays eight ops whose first dispatch ends by a code.
func (fleet *testFleet) simulateOpsEndedBy(code honeyplank.Code) {
	for i := range 8 {
		fleet.admit("a", i, 1, int64(i), 0)
		if len(fleet.order[i].dispatched) == 1 {
			fleet.endDispatch(fleet.order[i], code)
		}
		fleet.now += 20 * ms
		fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
	}
}

// TestSilenceToShortTimeouts: ops with less time than a usual answer takes may be dropped without an
// answer, which is no evidence against the server; no answer to ops with time is.
func TestSilenceToShortTimeouts(t *testing.T) {
	for left, want := range map[time.Duration]honeyplank.Health{
		30 * ms: honeyplank.HealthUp, 400 * ms: honeyplank.HealthDown,
	} {
		t.Run(fmt.Sprint(left, " left"), func(t *testing.T) {
			settings := testSettings()
			settings.Plans[0].Reserve = 1e6
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0))
			engine, sent := fleet.instances[0], 0
			for i := range 250 {
				engine.setTypicalLatency(0.04)
				fleet.now += 10 * ms
				fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
				fleet.endTimedOut()
				id := honeyplank.OpID(fmt.Sprint(i))
				fleet.handle(0, honeyplank.Op{ID: id, Units: 1, Timeout: fleet.now + left, Instances: 1})
				sent += len(fleet.order[i].dispatched)
			}
			if sent < 4 {
				t.Errorf("%v left: %d sent", left, sent)
			}
			if got := engine.servers["osd0"].health; (got == honeyplank.HealthUp) != (want == honeyplank.HealthUp) {
				t.Errorf("%v left: the server counts as %v", left, got)
			}
		})
	}
}

// endTimedOut ends the dispatches of the ops that have timed out.
func (fleet *testFleet) endTimedOut() {
	for _, op := range fleet.order {
		if op.outstanding() && fleet.now >= op.Timeout {
			fleet.endDispatch(op, honeyplank.TimedOut)
		}
	}
}
