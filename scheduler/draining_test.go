package scheduler

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// TestDrainWhileConnecting: what waits for a connection to a server that is draining is sent within the grace, and
// never past it; to one that is removed nothing is sent.
func TestDrainWhileConnecting(t *testing.T) {
	for name, x := range map[string]struct {
		phase  string
		grace  time.Duration // the system tries a connection again after a second
		within bool
		want   string
	}{
		"within":  {"draining", 2500 * time.Millisecond, true, string(fakeresp.Value(objectKey, "a"))},
		"past":    {"draining", 400 * time.Millisecond, false, "-ERR failed"},
		"removed": {"removed", 400 * time.Millisecond, false, "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, x.grace)
			c := bed.dialClient()
			c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
			bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
			begun := time.Now()
			member := bed.member(0, x.phase)
			member.Address = gate.address
			bed.discovery.Change(member)
			if x.within {
				bed.eventuallyOnLoop("the drain", func() bool { return bed.scheduler.servers["s-0"].draining })
				gate.acceptConns()
				gate.forwardBytes()
			}
			if got := c.readReply(3 * time.Second); got != x.want || !x.within && time.Since(begun) > x.grace+100*time.Millisecond {
				t.Errorf("%q after %v", got, time.Since(begun))
			}
			gate.acceptConns()
			gate.forwardBytes()
			if x.phase == "draining" { // a connection that comes up now carries nothing
				bed.eventually("a connection", func() bool { _, n := bed.connCounts(0); return n > 0 })
			}
			all := bed.disks[0].Commands()
			if len(all) > 0 && !x.within {
				t.Errorf("%d have reached the disk server", len(all))
			}
			for _, g := range all { // what is told of the time left is what is left when it goes, not when it was meant to
				var d int64
				fmt.Sscanf(g.Attributes, "c=read,t=gold,d=%d", &d)
				if left := 9000 - g.At.Sub(begun).Milliseconds(); d > left+50 || d < left-500 {
					t.Errorf("%d ms are told, %d are left", d, left)
				}
			}
		})
	}
}

// TestAddressChangeWhileConnecting: what waits for a connection to a server whose address changes goes to the new one.
func TestAddressChangeWhileConnecting(t *testing.T) {
	bed, _ := newGatedTestbed(t, 5*time.Second, time.Second)
	c := bed.dialClient()
	c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
	bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
	bed.discovery.Change(bed.member(0, "up"))
	if got := c.readReply(time.Second); got != string(fakeresp.Value(objectKey, "a")) {
		t.Errorf("%q", got)
	}
}

// TestDrainGraceDuringHoldUp: what waits to be sent to a server that is draining is taken back a hold-up before the
// grace ends, which counts from when the list came, not from when the loop handled it.
func TestDrainGraceDuringHoldUp(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, maxHoldUp, 500 * time.Millisecond} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, grace)
			c := bed.dialClient()
			c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
			bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
			waits := make(chan int, 1)
			bed.onLoop(func() {
				bed.module.onEvent = func(e honeyplank.Event) {
					if l, ok := e.(honeyplank.List); ok && len(l.Members) > 0 {
						bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+max(grace-maxHoldUp, 0), func() { waits <- len(bed.scheduler.servers["s-0"].waiting) })
					}
				}
			})
			member := bed.member(0, "draining")
			member.Address = gate.address
			bed.discovery.Change(member)
			if n := <-waits; n > 0 {
				t.Errorf("%d still wait", n)
			}
			if got := c.readReply(time.Second); got != "-ERR failed" {
				t.Errorf("%q", got)
			}
		})
	}
}
