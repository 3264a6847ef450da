package scheduler

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// TestDrainWhileConnecting checks that an attempt that waits for a connection to a draining server is sent within the
// grace period, and never after it. To a removed server nothing is sent.
func TestDrainWhileConnecting(t *testing.T) {
	for name, x := range map[string]struct {
		phase  string
		grace  time.Duration // above 1 s if within is set, since the kernel retries a connect after 1 s
		within bool
		want   string
	}{
		"within the grace period": {"draining", 2500 * time.Millisecond, true, valueOf("a")},
		"after the grace period":  {"draining", 400 * time.Millisecond, false, "-ERR failed"},
		"removed":                 {"removed", 400 * time.Millisecond, false, "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, x.grace)
			c := bed.dialClient()
			c.sendRead("a", 9000)
			bed.awaitWaiter()
			begun := time.Now()
			member := bed.member(0, x.phase)
			member.Address = gate.address
			bed.discovery.Change(member)
			if x.within {
				bed.eventuallyOnLoop("the drain", func() bool { return bed.scheduler.servers["s-0"].draining })
				gate.open()
			}
			got, took := c.readReply(3*time.Second), time.Since(begun)
			if got != x.want || !x.within && took > x.grace+100*time.Millisecond {
				t.Errorf("reply %q after %v", got, took)
			}
			gate.open()
			if x.phase == "draining" { // a connection that opens now must carry nothing
				bed.awaitServerConn()
			}
			commands := bed.disks[0].Commands()
			if len(commands) > 0 && !x.within {
				t.Errorf("%d commands have reached the disk server", len(commands))
			}
			for _, command := range commands {
				checkSentTimeout(t, command, begun.Add(9*time.Second))
			}
		})
	}
}

// checkSentTimeout checks that a command carries about the timeout that was left when it was sent.
func checkSentTimeout(t *testing.T, command fakeresp.Command, deadline time.Time) {
	t.Helper()
	sent, left := sentTimeout(t, command), deadline.Sub(command.At)
	if sent > left+50*time.Millisecond || sent < left-500*time.Millisecond {
		t.Errorf("the command carries a timeout of %v, %v are left", sent, left)
	}
}

// TestAddressChangeWhileConnecting checks that an attempt that waits for a connection to a server is sent to the
// server's new address after the address has changed.
func TestAddressChangeWhileConnecting(t *testing.T) {
	bed, _ := newGatedTestbed(t, 5*time.Second, time.Second)
	c := bed.dialClient()
	c.sendRead("a", 9000)
	bed.awaitWaiter()
	bed.discovery.Change(bed.member(0, "up"))
	if got := c.readReply(time.Second); got != valueOf("a") {
		t.Errorf("reply %q", got)
	}
}

// TestDrainGraceDuringProcessPause checks that attempts that wait to be sent to a draining server are withdrawn one
// process pause before the grace period ends. The grace period counts from the time at which the list arrived, not from
// the time at which the loop handled it.
func TestDrainGraceDuringProcessPause(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, maxProcessPause, 500 * time.Millisecond} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, grace)
			c := bed.dialClient()
			c.sendRead("a", 9000)
			bed.awaitWaiter()
			waits := bed.waitersAfterList(max(grace-maxProcessPause, 0))
			member := bed.member(0, "draining")
			member.Address = gate.address
			bed.discovery.Change(member)
			if n := <-waits; n > 0 {
				t.Errorf("%d attempts still wait", n)
			}
			if got := c.readReply(time.Second); got != "-ERR failed" {
				t.Errorf("reply %q", got)
			}
		})
	}
}

// waitersAfterList returns a channel that receives the number of attempts that wait for the first disk server, a delay
// after each list.
func (bed *testbed) waitersAfterList(delay time.Duration) <-chan int {
	bed.t.Helper()
	waiters := make(chan int, 1)
	bed.onLoop(func() {
		bed.module.onEvent = func(event honeyplank.Event) {
			list, ok := event.(honeyplank.List)
			if !ok || len(list.Members) == 0 {
				return
			}
			bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+delay, func() {
				waiters <- len(bed.scheduler.servers["s-0"].waiting)
			})
		}
	})
	return waiters
}
