package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestSilenceAndRecovery checks that a server that does not answer is down after two periods
// without an answer (incident i9adade: timeouts), and up again after an answer.
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
			t.Errorf("the server was never %v", want)
		}
	}
	if server.health != honeyplank.HealthUp || server.window != minWindow {
		t.Errorf("after an answer the server is %v, window %v, want up and minWindow", server.health, server.window)
	}
}

// TestServerThatRejectsAll checks that a server that rejects ops or resets connections gets no new
// objects for a while, and does not affect the estimates of the others.
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
				t.Errorf("code %v: %s still accepts new objects", code, server.ID)
			}
			if !engine.acceptsNewObjects(other) {
				t.Errorf("code %v: %s accepts no new objects", code, other.ID)
			}
			if latency := engine.expectedLatency(other, 0); latency > 0.03 {
				t.Errorf("code %v: expected latency of the other server is %v s, want at most 0.03 s", code, latency)
			}
			server.health = honeyplank.HealthUp
			if engine.now += time.Minute; !engine.acceptsNewObjects(server) {
				t.Errorf("code %v: no new objects after a minute", code)
			}
		})
	}
}

// simulateOpsEndedBy simulates eight ops whose first dispatch ends with the given code.
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

// TestUnansweredShortTimeouts checks that missing answers are evidence against a server if the ops
// had enough time left for a typical answer, and no evidence if they had less. A server may drop
// ops with less time left.
func TestUnansweredShortTimeouts(t *testing.T) {
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
				fleet.handle(0, honeyplank.Op{ID: id, Units: 1, Deadline: fleet.now + left, Instances: 1})
				sent += len(fleet.order[i].dispatched)
			}
			if sent < 4 {
				t.Errorf("%v left: %d ops dispatched, want at least 4", left, sent)
			}
			if got := engine.servers["osd0"].health; (got == honeyplank.HealthUp) != (want == honeyplank.HealthUp) {
				t.Errorf("%v left: the server is %v", left, got)
			}
		})
	}
}

// endTimedOut ends the dispatches of the ops that have timed out.
func (fleet *testFleet) endTimedOut() {
	for _, op := range fleet.order {
		if op.outstanding() && fleet.now >= op.Deadline {
			fleet.endDispatch(op, honeyplank.TimedOut)
		}
	}
}
