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

// errNotEnded says that a scheduler did not end in time.
var errNotEnded = errors.New("the scheduler does not end")

// awaitEnd waits until Serve returns and gives its error.
func (bed *testbed) awaitEnd(within time.Duration) error {
	select {
	case err := <-bed.served:
		return err
	case <-time.After(within):
		return errNotEnded
	}
}

// TestShutdownPlan: each step of the shutdown has more time than a hold-up, and so has SIGTERM on its way to the loop.
func TestShutdownPlan(t *testing.T) {
	const notified = time.Minute
	for longest := 50 * time.Millisecond; longest <= 4*time.Second; longest += 10 * time.Millisecond {
		plan := planShutdown(notified, longest)
		if plan.killTime != notified+min(longest, maxKillWait)+killGrace ||
			plan.closeAdmission < notified+minAdmissionTime ||
			plan.failRemaining < plan.closeAdmission ||
			plan.killTime-plan.failRemaining < 2*maxProcessPause+flushMargin {
			t.Fatalf("%v: no more ops after %v, the last answers after %v, the kill after %v", longest,
				plan.closeAdmission-notified, plan.failRemaining-notified, plan.killTime-notified)
		}
	}
}

// TestFailRemaining: with a server that hangs, ops without an answer fail in time, and the connection ends regularly
// although its client goes on sending.
func TestFailRemaining(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c, idle := bed.dialClient(), bed.dialClient()
	idle.do("PING")
	bed.scheduler.Shutdown()
	bed.scheduler.Shutdown() // a second time changes nothing
	c.sendRead("a", 9000)
	bed.eventuallyOnLoop("the last part", func() bool { return bed.scheduler.admissionClosed })
	for i := range 3 * maxPending { // more than is read at a time, none of which is admitted any more
		c.sendRead(fmt.Sprint("b", i), 9000)
	}
	var last atomic.Int64 // bytes read before the end of the loop
	bed.onLoop(func() {
		bed.everyMillisecond(func(time.Duration) { last.Store(bed.scheduler.loop.Stats.BytesIn.Load()) })
	})
	before := last.Load()
	// The client reads only after the scheduler has ended with the rest of its input unread.
	if err := bed.awaitEnd(2 * time.Second); err != nil {
		t.Error(err)
	}
	if got := c.readReply(time.Second); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	for _, client := range []*testClient{c, idle} {
		client.setReadTimeout(time.Second)
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v", err)
		}
		client.disconnect()
	}
	if n := last.Load() - before; n > 0 {
		t.Errorf("%d bytes have been read past the last op that is admitted", n)
	}
	bed.checkReceived("[a]")
}

// TestConnectsWhileStopping: a client whose connection the system has accepted at the moment at which no client seemed
// to be left is served.
func TestConnectsWhileStopping(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.scheduler.Shutdown()
	var c *testClient
	bed.onLoop(func() { // in one round of the loop
		c = bed.dialClient()
		c.sendRead("a", 390)
		bed.scheduler.graceElapsed = true
		bed.scheduler.stopIfIdle()
	})
	if got := c.readReply(time.Second); got != valueOf("a") {
		t.Errorf("%q", got)
	}
}

// TestShutdown: a scheduler that shuts down serves on, on connections old and new, then ends by itself before it would
// be killed, with every op answered.
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
			t.Errorf("connection %d: %q", i, got)
		}
	}
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	time.Sleep(time.Until(start.Add(650 * time.Millisecond))) // of 1300: ops are taken up to 780
	late := c.doRead("late", 390)
	if !strings.HasPrefix(late, "-") {
		t.Errorf("%q", late)
	}
	err := bed.awaitEnd(3 * time.Second)
	if took := time.Since(start); err != nil || took < killGrace || took > killGrace+600*time.Millisecond {
		t.Errorf("%v after %v", err, took)
	}
}

// TestShutdownAlone: without clients nothing is waited for past the grace.
func TestShutdownAlone(t *testing.T) {
	bed := newTestbed(t, 1)
	start := time.Now()
	bed.scheduler.Shutdown()
	<-bed.served
	if took := time.Since(start); took > killGrace+200*time.Millisecond {
		t.Errorf("%v", took)
	}
}
