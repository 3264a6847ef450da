package scheduler

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

var errNotEnded = errors.New("the scheduler did not stop in time")

// awaitEnd waits until Serve returns and returns its error, or errNotEnded after the given time.
func (bed *testbed) awaitEnd(within time.Duration) error {
	select {
	case err := <-bed.served:
		return err
	case <-time.After(within):
		return errNotEnded
	}
}

// TestShutdownPlan checks, for many op timeouts, that admission stays open for minAdmissionTime and that ops fail no
// earlier than it closes. The time from that failure to the kill is enough for two process pauses and flushMargin.
func TestShutdownPlan(t *testing.T) {
	const notified = time.Minute
	for longest := 50 * time.Millisecond; longest <= 4*time.Second; longest += 10 * time.Millisecond {
		plan := planShutdown(notified, longest)
		if plan.killTime != notified+min(longest, maxKillWait)+killGrace ||
			plan.closeAdmission < notified+minAdmissionTime ||
			plan.failRemaining < plan.closeAdmission ||
			plan.killTime-plan.failRemaining < 2*maxProcessPause+flushMargin {
			t.Fatalf("op timeout %v: admission closes after %v, ops fail after %v, the kill is after %v", longest,
				plan.closeAdmission-notified, plan.failRemaining-notified, plan.killTime-notified)
		}
	}
}

// TestFailRemaining checks that ops on a disk server that does not answer fail before the end of a shutdown. The
// connection ends with EOF, not with a reset, although its client continues to send.
func TestFailRemaining(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c, idle := bed.dialClient(), bed.dialClient()
	idle.do("PING")
	bed.scheduler.Shutdown()
	bed.scheduler.Shutdown() // a second time changes nothing
	c.sendRead("a", 9000)
	bed.eventuallyOnLoop("the close of admission", func() bool { return bed.scheduler.admissionClosed })
	for i := range 3 * maxPending { // more than is read at a time; none of them is admitted
		c.sendRead(fmt.Sprint("b", i), 9000)
	}
	var last atomic.Int64 // bytes read before the end of the loop
	bed.onLoop(func() {
		bed.everyMillisecond(func(time.Duration) { last.Store(bed.scheduler.loop.Stats.BytesIn.Load()) })
	})
	before := last.Load()
	// The client reads only after the scheduler has stopped, with the rest of the input unread.
	if err := bed.awaitEnd(2 * time.Second); err != nil {
		t.Error(err)
	}
	if got := c.readReply(time.Second); got != "-ERR failed" {
		t.Errorf("reply is %q", got)
	}
	for _, client := range []*testClient{c, idle} {
		client.setReadTimeout(time.Second)
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v, expected EOF", err)
		}
		client.disconnect()
	}
	if n := last.Load() - before; n > 0 {
		t.Errorf("%d bytes were read after admission was closed", n)
	}
	bed.checkReceived("[a]")
}

// TestConnectsWhileStopping checks that a client is served if the kernel accepts its connection just before the
// scheduler finds that no client is left.
func TestConnectsWhileStopping(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.scheduler.Shutdown()
	var c *testClient
	bed.onLoop(func() { // in one iteration of the loop
		c = bed.dialClient()
		c.sendRead("a", 390)
		bed.scheduler.graceElapsed = true
		bed.scheduler.stopIfIdle()
	})
	if got := c.readReply(time.Second); got != valueOf("a") {
		t.Errorf("reply is %q", got)
	}
}

// TestShutdown checks that a scheduler that shuts down continues to serve existing and new connections, and then stops
// before it would be killed, with every op answered.
func TestShutdown(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.do("PING")
	start := time.Now()
	bed.scheduler.Shutdown()
	time.Sleep(300 * time.Millisecond)
	for i, client := range []*testClient{c, bed.dialClient()} {
		id := fmt.Sprint("a", i)
		if got := client.doRead(id, 390); got != valueOf(id) {
			t.Errorf("connection %d: reply is %q", i, got)
		}
	}
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	time.Sleep(time.Until(start.Add(650 * time.Millisecond))) // ops are admitted up to 780 ms of 1300 ms
	late := c.doRead("late", 390)
	if !strings.HasPrefix(late, "-") {
		t.Errorf("reply is %q, expected an error", late)
	}
	err := bed.awaitEnd(3 * time.Second)
	if took := time.Since(start); err != nil || took < killGrace || took > killGrace+600*time.Millisecond {
		t.Errorf("the scheduler stopped with error %v after %v", err, took)
	}
}

// TestShutdownAlone checks that a scheduler without clients stops at the end of killGrace.
func TestShutdownAlone(t *testing.T) {
	bed := newTestbed(t, 1)
	start := time.Now()
	bed.scheduler.Shutdown()
	<-bed.served
	if took := time.Since(start); took > killGrace+200*time.Millisecond {
		t.Errorf("the scheduler stopped after %v", took)
	}
}
