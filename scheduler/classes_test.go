package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
	standin "honeyplank/fake/resp"
)

const largeFleet = 300

// withLargeFleet has a scheduler be one of many, with few descriptors and little memory.
func withLargeFleet(conf map[string]any) {
	conf["settings"].(map[string]any)["peers_total"] = largeFleet
	conf["limits"] = map[string]any{"cores": 0.1, "memory_mb": 48, "sockets": 128}
}

// countServed sends commands of a class one after another and counts those that are served.
func (c *testClient) countServed(class, name string, n, ms int) (served int) {
	for i := range n {
		args := []string{"BLK.READ", objectKey, fmt.Sprint(name, i), opOptions(class, ms, 0)}
		if class == "write" {
			args = append(args, "body")
			args[0] = "BLK.WRITE"
		}
		if got := c.do(args...); got != "closed" && !strings.HasPrefix(got, "-") {
			served++
		}
	}
	return served
}

// TestUnusualTimeout: a client that waits for far longer than others changes nothing for them, and holds nothing for
// longer than the settings let a client wait.
func TestUnusualTimeout(t *testing.T) {
	bed := newTestbed(t, 1, withLargeFleet)
	bed.disks[0].Apply(standin.Faults{Delay: 60 * time.Millisecond})
	c := bed.dialClient()
	c.countServed("read", "before", 8, 400)
	longest := make(chan time.Duration, 1)
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if op, ok := e.(honeyplank.Op); ok && op.ID == "unusual" {
				longest <- op.Timeout - bed.scheduler.loop.Now()
			}
		}
	})
	c.do("BLK.READ", objectKey, "unusual", opOptions("read", 1_000_000_000, 0))
	if left := <-longest; left > maxDeadlineFactor*400*time.Millisecond {
		t.Errorf("an op of an unusual timeout may wait for %v", left)
	}
	if served := c.countServed("read", "after", 10, 400); served < 8 {
		t.Errorf("%d of 10 ops served after one with an unusual timeout", served)
	}
}

// TestOneClassSlow: a class whose answers come late does not keep another from being served.
func TestOneClassSlow(t *testing.T) {
	bed := newTestbed(t, 1, withLargeFleet)
	slow, quick := bed.dialClient(), bed.dialClient()
	if served := quick.countServed("read", "before", 5, 400); served < 5 {
		t.Fatalf("%d of 5 ops served before", served)
	}
	bed.disks[0].Apply(standin.Faults{Delay: 550 * time.Millisecond, Class: "write"})
	slow.countServed("write", "slow", 6, 600)
	if served := quick.countServed("read", "after", 20, 400); served < 18 {
		t.Errorf("%d of 20 ops of the other class served", served)
	}
}
