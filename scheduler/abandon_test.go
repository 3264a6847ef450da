package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// writeBehindGate sends a write, from a client of its own, to a disk server whose gate lets no bytes pass. It returns
// once the kernel holds the end of the command, which the kernel of the disk server has not acknowledged.
func (bed *testbed) writeBehindGate(id string) *testClient {
	bed.t.Helper()
	c := bed.dialClient()
	c.sendWrite(id, 9000, strings.Repeat("x", maxBody))
	bed.eventuallyOnLoop("a written command that is not acknowledged", func() bool {
		return slices.ContainsFunc(bed.scheduler.servers["s-0"].conns, (*serverConn).holdsUnacked)
	})
	return c
}

// checkNotReceived lets the gate forward bytes and checks that an op never reaches the first disk server.
func (bed *testbed) checkNotReceived(gate *connGate, id string) {
	bed.t.Helper()
	gate.forwardBytes()
	time.Sleep(100 * time.Millisecond)
	if slices.Contains(receivedIDs(bed.disks[0]), id) {
		bed.t.Errorf("op %s has reached the disk server", id)
	}
}

// TestClientGoneDuringServerStall guards against a write that begins, and may overwrite a newer one, after its client
// has gone: this machine's kernel still held its last bytes for a disk server that did not read.
func TestClientGoneDuringServerStall(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.writeBehindGate("w").disconnect()
	bed.awaitClientGone()
	bed.onLoop(func() {
		if n := bed.scheduler.tracker.Outstanding(); n != 0 {
			t.Errorf("%d dispatches are outstanding", n)
		}
	})
	bed.checkNotReceived(gate, "w")
}

// TestSecondDispatchDuringServerStall guards against an attempt that begins after another attempt of its op has
// succeeded, when the client may have gone.
func TestSecondDispatchDuringServerStall(t *testing.T) {
	bed := newTestbed(t, 2, withSlowConnect)
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.useModule(twoServersModule{"s-0", "s-1"})
	c := bed.dialClient()
	c.sendWrite("w", 9000, strings.Repeat("x", maxBody))
	if got := c.readReply(3 * time.Second); got != valueOf("w") {
		t.Fatalf("reply is %q", got)
	}
	bed.checkNotReceived(gate, "w")
}

// lastUnacked returns the index of the last command that is completely written and that the kernel of the disk server
// has not acknowledged.
func (s *sharedConn) lastUnacked() (index int) {
	s.bed.t.Helper()
	index = -1
	s.bed.onLoop(func() {
		for i, a := range s.conn.inFlight {
			if a.fullyWritten() && !a.acknowledged() {
				index = i
			}
		}
	})
	if index < 0 {
		s.bed.t.Fatalf("all %d written commands are acknowledged", s.written)
	}
	return index
}

// TestClientGoneDuringStallOfSharedConn guards against an op that begins after its client has gone because its command
// was on a connection with commands of others. Each of these gets one reply.
func TestClientGoneDuringStallOfSharedConn(t *testing.T) {
	const n = 100 // together larger than the socket buffers of one connection
	shared := newSharedConn(t, n)
	gone := shared.lastUnacked()
	shared.clients[gone].disconnect()
	shared.bed.awaitClientGone()
	time.Sleep(2 * abandonGrace)
	shared.bed.checkNotReceived(shared.gate, fmt.Sprint("w", gone))
	for i, c := range shared.clients {
		if i == gone {
			continue
		}
		if got := c.readReply(3 * time.Second); got != valueOf(fmt.Sprint("w", i)) && got != "-ERR failed" {
			t.Errorf("reply to w%d is %q", i, got)
		}
	}
}

// TestTimeoutDuringStallOfSharedConn guards against an op that begins long after its time because its command was on a
// connection with commands of others.
func TestTimeoutDuringStallOfSharedConn(t *testing.T) {
	const n = 100 // together larger than the socket buffers of one connection
	shared := newSharedConn(t, n)
	late := shared.lastUnacked()
	shared.bed.onLoop(func() { shared.conn.inFlight[late].dispatch.Expire() })
	time.Sleep(2 * abandonGrace)
	shared.bed.checkNotReceived(shared.gate, fmt.Sprint("w", late))
}

// TestStopDuringServerStall guards against an op that begins after the process has ended, since the kernel sends on
// what it holds when a socket is closed.
func TestStopDuringServerStall(t *testing.T) {
	const n = 100 // together larger than the socket buffers of one connection
	shared := newSharedConn(t, n)
	shared.bed.disks[0].SetFaults(fakeresp.Faults{Silent: true}) // an answer would end the connection
	gone := shared.lastUnacked()
	shared.clients[gone].disconnect()
	shared.bed.awaitClientGone()
	shared.bed.onLoop(shared.bed.scheduler.stop)
	shared.bed.checkNotReceived(shared.gate, fmt.Sprint("w", gone))
}
