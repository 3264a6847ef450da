package scheduler

import (
	"fmt"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
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

// TestPausedClientResumesAfterWrite guards against the failure that commands stay unanswered for ever: reading was
// paused at the backlog of replies, these were written at once after a stall, and the connection, by then idle for too
// long, was neither resumed nor closed.
func TestPausedClientResumesAfterWrite(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.doRead("first", 400)
	bed.onLoop(func() { // as after a stall behind the last reply of a full backlog
		client := bed.client()
		client.paused = true
		client.conn.Pause()
		client.conn.Output = resp.AppendSimpleString(client.conn.Output, "PONG")
		client.conn.Send()
		c.sendRead("second", 400)
		client.lastActivity -= minIdle + time.Millisecond
		bed.scheduler.activeClients += bed.scheduler.config.Sockets // the idle timeout is minIdle
	})
	for _, want := range []string{"PONG", valueOf("second")} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Fatalf("reply %q, want %q", got, want)
		}
	}
}
