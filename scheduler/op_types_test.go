package scheduler

import (
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

const largeFleet = 300

// withLargeFleet configures a scheduler as one of many, with few descriptors and little memory.
func withLargeFleet(config map[string]any) {
	section(config, "settings")["peers_total"] = largeFleet
	config["limits"] = map[string]any{"cores": 0.1, "memory_mb": 48, "sockets": 128}
}

// TestUnusualTimeout checks that an op with a far longer timeout than the others does not affect them, and that it does
// not wait for longer than the settings allow.
func TestUnusualTimeout(t *testing.T) {
	bed := newTestbed(t, 1, withLargeFleet)
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 60 * time.Millisecond})
	c := bed.dialClient()
	c.countServed("read", "before", 8, 400)
	longest := make(chan time.Duration, 1)
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if op, ok := e.(honeyplank.Op); ok && op.ID == "unusual" {
				longest <- op.Deadline - bed.scheduler.loop.Now()
			}
		}
	})
	c.doRead("unusual", 1_000_000_000)
	if left := <-longest; left > maxTimeoutFactor*400*time.Millisecond {
		t.Errorf("op with an unusual timeout may wait for %v", left)
	}
	if served := c.countServed("read", "after", 10, 400); served < 8 {
		t.Errorf("%d of 10 ops served after one with an unusual timeout", served)
	}
}

// TestSlowOpType checks that late answers to ops of one type do not keep ops of another type from being served.
func TestSlowOpType(t *testing.T) {
	bed := newTestbed(t, 1, withLargeFleet)
	slow, quick := bed.dialClient(), bed.dialClient()
	if served := quick.countServed("read", "before", 5, 400); served < 5 {
		t.Fatalf("%d of 5 ops served before", served)
	}
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 550 * time.Millisecond, Class: "write"})
	slow.countServed("write", "slow", 6, 600)
	if served := quick.countServed("read", "after", 20, 400); served < 18 {
		t.Errorf("%d of 20 ops of the other type served", served)
	}
}
