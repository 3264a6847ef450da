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

// ofLargeFleet has a scheduler be one of many, with few descriptors and little memory.
func ofLargeFleet(conf map[string]any) {
	conf["settings"].(map[string]any)["peers_total"] = largeFleet
	conf["limits"] = map[string]any{"cores": 0.1, "memory_mb": 48, "sockets": 128}
}

// servedOf sends commands of a class one after another and counts those that are served.
func (c *caller) servedOf(class, name string, n, ms int) (served int) {
	for i := range n {
		args := []string{"BLK.READ", piece, fmt.Sprint(name, i), terms(class, ms, 0)}
		if class == "write" {
			args = append(args, "body")
			args[0] = "BLK.WRITE"
		}
		if got := c.ask(args...); got != "closed" && !strings.HasPrefix(got, "-") {
			served++
		}
	}
	return served
}

// TestUnusualTimeout: a client that waits for far longer than others changes nothing for them, and holds nothing for
// longer than the settings let a client wait.
func TestUnusualTimeout(t *testing.T) {
	w := start(t, 1, ofLargeFleet)
	w.disks[0].Apply(standin.Faults{Delay: 60 * time.Millisecond})
	c := w.dial()
	c.servedOf("read", "before", 8, 400)
	longest := make(chan time.Duration, 1)
	w.on(func() {
		w.module.heard = func(e honeyplank.Event) {
			if op, ok := e.(honeyplank.Op); ok && op.ID == "unusual" {
				longest <- op.Timeout - w.s.loop.Now()
			}
		}
	})
	c.ask("BLK.READ", piece, "unusual", terms("read", 1_000_000_000, 0))
	if left := <-longest; left > maxDeadlineFactor*400*time.Millisecond {
		t.Errorf("an op of an unusual timeout may wait for %v", left)
	}
	if served := c.servedOf("read", "after", 10, 400); served < 8 {
		t.Errorf("%d of 10 ops served after one with an unusual timeout", served)
	}
}

// TestOneClassSlow: a class whose answers come late does not keep another from being served.
func TestOneClassSlow(t *testing.T) {
	w := start(t, 1, ofLargeFleet)
	slow, quick := w.dial(), w.dial()
	if served := quick.servedOf("read", "before", 5, 400); served < 5 {
		t.Fatalf("%d of 5 ops served before", served)
	}
	w.disks[0].Apply(standin.Faults{Delay: 550 * time.Millisecond, Class: "write"})
	slow.servedOf("write", "slow", 6, 600)
	if served := quick.servedOf("read", "after", 20, 400); served < 18 {
		t.Errorf("%d of 20 ops of the other class served", served)
	}
}
