package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// sentTimeout is the timeout that a command names to its disk server.
func sentTimeout(c fakeresp.Command) time.Duration {
	var ms int64
	fmt.Sscanf(c.Attributes[strings.Index(c.Attributes, ",d="):], ",d=%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

// TestDeadlineOfDelayedCommand: a command that waits behind a disk server that does not read names the time that is
// left when it is written, and one of which a part was written by then never arrives whole.
func TestDeadlineOfDelayedCommand(t *testing.T) {
	const n, waits = 100, 400 * time.Millisecond
	bed := newTestbed(t, 1, withSlowConnect, func(m map[string]any) {
		m["settings"].(map[string]any)["caps"].(map[string]any)["streams_per_conn"] = n
	})
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.config.Sockets = 1024
		bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1 // descriptors for one connection are left
	})
	stuck := map[string]bool{} // those of which a part has been written for some time
	bed.onLoop(func() {
		var lastWritten uint64
		var since time.Duration
		var look func()
		look = func() {
			now := bed.scheduler.loop.Now()
			for _, sc := range bed.scheduler.servers["s-0"].conns {
				written := sc.writtenBytes()
				if written != lastWritten {
					lastWritten, since = written, now
				}
				for _, a := range sc.inFlight {
					id := string(a.dispatch.Op())
					if a.firstByte < written && a.endByte > written && now-since > maxPartialAge/2 {
						stuck[id] = true
					}
					if stuck[id] && a.endByte <= written && now-a.encodedAt <= maxPartialAge { // the rest was written in time
						delete(stuck, id)
					}
				}
			}
			bed.scheduler.loop.Schedule(now+time.Millisecond, look)
		}
		look()
	})
	body := strings.Repeat("x", maxBody)
	sent := map[string]time.Time{}
	var c *testClient
	for i := range n {
		if i%(maxPending-1) == 0 {
			c = bed.dialClient()
		}
		id := fmt.Sprint("w", i)
		sent[id] = time.Now()
		c.send("BLK.WRITE", objectKey, id, opOptions("write", 9000, 0), body)
	}
	bed.eventuallyOnLoop("the commands", func() bool { return bed.scheduler.tracker.Counts.Admitted == n })
	time.Sleep(waits)
	unsent := map[string]bool{}
	bed.onLoop(func() {
		for _, sc := range bed.scheduler.servers["s-0"].conns {
			for _, a := range sc.inFlight {
				unsent[string(a.dispatch.Op())] = a.firstByte >= sc.writtenBytes()
			}
		}
		gate.forwardBytes()
	})
	if len(stuck) == 0 {
		t.Fatal("none is written in part")
	}
	bed.eventuallyOnLoop("the end", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
	for _, c := range bed.disks[0].Commands() {
		if stuck[c.ID] {
			t.Errorf("%s, of which a part was written, has arrived", c.ID)
		}
		if left := 9*time.Second - c.At.Sub(sent[c.ID]); unsent[c.ID] && sentTimeout(c) > left+150*time.Millisecond {
			t.Errorf("%s names %v, %v are left", c.ID, sentTimeout(c), left)
		}
	}
}

// TestTimeoutOfLateRead: the timeout of a command that waited to be read, for a loop that was held up or behind others
// on its connection, counts from when it may have come; that of one that comes later on the same connection does not.
func TestTimeoutOfLateRead(t *testing.T) {
	const held, left = 120 * time.Millisecond, 2 * time.Second
	for name, x := range map[string]struct {
		first int                    // commands before it on its connection
		delay time.Duration          // of their answers
		send  func(*testbed, func()) // sends it
		late  time.Duration          // how late it is read
	}{
		"at once": {send: func(_ *testbed, send func()) { send() }},
		"held up": {late: held, send: func(bed *testbed, send func()) {
			bed.onLoop(func() { send(); time.Sleep(held) })
		}},
		"behind others": {first: maxPending, delay: held, late: held, send: func(_ *testbed, send func()) { send() }},
		"long after others": {first: maxPending, delay: held, send: func(bed *testbed, send func()) {
			bed.eventuallyOnLoop("their answers", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
			time.Sleep(2 * held)
			send()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			var ops []honeyplank.Op
			var at []time.Duration
			bed.onLoop(func() {
				bed.module.DecisionModule = singleServerModule{"s-0"}
				bed.module.onEvent = func(e honeyplank.Event) {
					if o, ok := e.(honeyplank.Op); ok {
						ops, at = append(ops, o), append(at, bed.scheduler.loop.Now())
					}
				}
			})
			bed.disks[0].SetFaults(fakeresp.Faults{Delay: x.delay})
			c := bed.dialClient()
			c.do("PING")
			for i := range x.first {
				c.send("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 9000, 0))
			}
			if x.first > 0 {
				bed.eventuallyOnLoop("the others", func() bool { return len(ops) == x.first })
			}
			x.send(bed, func() { c.send("BLK.READ", objectKey, "late", opOptions("read", int(left.Milliseconds()), 0)) })
			bed.eventuallyOnLoop("it", func() bool { return len(ops) == x.first+1 })
			bed.onLoop(func() {
				last := len(ops) - 1
				if got := ops[last].Timeout - at[last]; got > left-x.late*3/4 || x.late == 0 && got < left-held/2 {
					t.Errorf("%v are left of %v", got, left)
				}
			})
		})
	}
}

// TestTimeoutDuringHoldUp: an op whose time is over when a hold-up ends is answered and not sent, where its connection
// has come up meanwhile or there is a connection for its retry.
func TestTimeoutDuringHoldUp(t *testing.T) {
	for _, waits := range []string{"for a connection", "for a timer"} {
		t.Run(waits, func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, time.Second)
			if waits == "for a timer" {
				gate.acceptConns()
				gate.forwardBytes()
				bed.dialClient().do("BLK.READ", objectKey, "warm", opOptions("read", 9000, 0))
				time.Sleep(2 * reuseDelay)
				bed.onLoop(func() { bed.module.DecisionModule = &delayedModule{delay: 40 * time.Millisecond} })
			}
			c := bed.dialClient()
			c.send("BLK.READ", objectKey, "a", opOptions("read", 60, 0))
			bed.eventuallyOnLoop("the command", func() bool { return bed.scheduler.tracker.Unanswered() > 0 || bed.scheduler.tracker.Counts.Failed > 0 })
			bed.onLoop(func() {
				gate.acceptConns()
				gate.forwardBytes()
				time.Sleep(maxHoldUp)
			})
			if got := c.readReply(time.Second); got != "-ERR failed" {
				t.Errorf("%q", got)
			}
			time.Sleep(50 * time.Millisecond)
			for _, id := range receivedIDs(bed.disks[0]) {
				if id != "warm" {
					t.Errorf("%s has reached the disk server", id)
				}
			}
		})
	}
}
