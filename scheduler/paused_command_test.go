package scheduler

import (
	"fmt"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// TestPausedCommandIsNotTimedOut guards against the loss of a request that the client has sent completely, while the
// scheduler had paused reading within it: the rest was counted as missing, and the connection was closed.
func TestPausedCommandIsNotTimedOut(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: commandTimeout + time.Second})
	bed.useModule(singleServerModule{"s-0"})
	c := bed.dialClient()
	const ops = maxPending - 4 // enough to keep reading paused once it is
	for i := range ops {
		c.sendRead(fmt.Sprint("a", i), 9000)
	}
	bed.eventuallyOnLoop("the admission of the ops", func() bool { return bed.scheduler.tracker.Unanswered() == ops })
	last := encodeCommand(readCommand("last", 9000)...)
	c.sendBytes(last[:len(last)/2])
	bed.eventuallyOnLoop("an incomplete command", func() bool { return bed.client().commandStarted > 0 })
	bed.onLoop(func() { // as after many PINGs
		bed.client().loopTime = time.Millisecond
		bed.client().throttleAfter(0)
	})
	c.sendBytes(last[len(last)/2:])
	for i := range ops {
		if got := c.readReply(9 * time.Second); got != valueOf(fmt.Sprint("a", i)) {
			t.Fatalf("reply %d is %q", i, got)
		}
	}
	if got := c.readReply(9 * time.Second); got != valueOf("last") {
		t.Errorf("reply to the last op is %q", got)
	}
}
