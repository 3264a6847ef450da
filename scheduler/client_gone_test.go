package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// TestClientGoneWhileConnecting: an op whose client goes while its connection is being opened is not sent once that is
// up.
func TestClientGoneWhileConnecting(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	gate := bed.moveBehindGate(0)
	leaves, stays := bed.dialClient(), bed.dialClient()
	leaves.sendRead("leaves", 4000)
	bed.awaitWaiter()
	leaves.disconnect()
	bed.awaitClientGone()
	gate.open()
	bed.awaitServerConn()
	if got := stays.doRead("stays", 4000); got != valueOf("stays") {
		t.Errorf("%q", got)
	}
	bed.checkReceived("[stays]")
	bed.onLoop(func() {
		if n := bed.scheduler.tracker.Outstanding(); n != 0 {
			t.Errorf("%d dispatches are out", n)
		}
	})
}

// sharedConn is a connection to a disk server behind a gate, on which each of several clients has one write in flight.
type sharedConn struct {
	bed     *testbed
	gate    *connGate
	conn    *serverConn
	clients []*testClient
	written int // commands that are written whole
	partial int // the one of which a part is written; -1: none
}

// newSharedConn starts a scheduler that has written some of n commands to a disk server that does not read.
func newSharedConn(t *testing.T, n int) *sharedConn {
	t.Helper()
	bed := newTestbed(t, 1, withSlowConnect, withStreamsPerConn(n))
	shared := &sharedConn{bed: bed, gate: bed.moveBehindGate(0), partial: -1}
	shared.gate.acceptConns()
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.config.Sockets = 1024
		bed.leaveOneServerConn()
	})
	for i := range n {
		c := bed.dialClient()
		shared.clients = append(shared.clients, c)
		c.sendWrite(fmt.Sprint("w", i), 9000, strings.Repeat("x", maxBody))
		bed.eventuallyOnLoop("the command", func() bool { return shared.hasInFlight(i + 1) })
	}
	bed.onLoop(shared.countWritten)
	if shared.written == 0 || shared.written > n-2 {
		t.Fatalf("%d of %d are written whole", shared.written, n)
	}
	return shared
}

// hasInFlight reports, on the loop, whether the connection hasInFlight n commands.
func (s *sharedConn) hasInFlight(n int) bool {
	conns := s.bed.scheduler.servers["s-0"].conns
	if len(conns) != 1 || !conns[0].connected || len(conns[0].inFlight) != n {
		return false
	}
	s.conn = conns[0]
	s.conn.conn.BeforeWrite = nil // the one of which a part is written is not withdrawn for its age
	return true
}

// countWritten determines, on the loop, which commands are written.
func (s *sharedConn) countWritten() {
	position := s.conn.writtenBytes()
	for i, a := range s.conn.inFlight {
		if a.fullyWritten() {
			s.written++
		} else if a.firstByte < position && position < a.endByte {
			s.partial = i
		}
	}
}

// TestClientGoneOnSharedConn: on a connection that several ops share, and that the disk server does not read, an op
// whose client goes never arrives, whether nothing or a part of it is written; those before and behind it are served.
func TestClientGoneOnSharedConn(t *testing.T) {
	const n = 100 // more bytes than the system takes for one connection
	const partial = -1
	for _, goneClient := range []int{n - 1, n / 2, 0, partial} {
		t.Run(fmt.Sprint(goneClient), func(t *testing.T) {
			shared := newSharedConn(t, n)
			if goneClient == partial {
				goneClient = shared.partial
			}
			if goneClient < 0 {
				t.Fatalf("%d of %d are written whole, none in part", shared.written, n)
			}
			bed := shared.bed
			bed.onLoop(func() { bed.scheduler.serverConnCount = 1 })
			shared.clients[goneClient].disconnect()
			bed.awaitClientGone()
			shared.gate.forwardBytes()
			shared.checkServed(goneClient)
			arrived := slices.Contains(receivedIDs(bed.disks[0]), fmt.Sprint("w", goneClient))
			if arrived && goneClient >= shared.written {
				t.Error("the op whose client is gone has arrived")
			}
		})
	}
}

// checkServed checks that every client but the one that is gone gets its value.
func (s *sharedConn) checkServed(goneClient int) {
	s.bed.t.Helper()
	for i, c := range s.clients {
		if i == goneClient {
			continue
		}
		if got := c.readReply(3 * time.Second); got != valueOf(fmt.Sprint("w", i)) {
			s.bed.t.Errorf("w%d: %q", i, got)
		}
	}
}

// TestClientGoneWhilePaused: a client that sends more commands than are read at a time, and goes, is noticed to be
// gone: what waits for it is not sent on.
func TestClientGoneWhilePaused(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c := bed.dialClient()
	var all []byte
	for i := range 2 * maxPending {
		all = append(all, encodeCommand(readCommand(fmt.Sprint("a", i), 390000)...)...)
	}
	c.sendBytes(all)
	bed.eventually("the pause", func() (ok bool) {
		bed.onLoop(func() {
			for x := range bed.scheduler.clients {
				ok = x.paused && x.conn.BufferedBytes() > 0
			}
		})
		return ok
	})
	sent := 0
	bed.eventually("what may leave", func() bool {
		bed.onLoop(func() { sent = bed.scheduler.tracker.Counts.Dispatches })
		return sent > 0 && len(bed.disks[0].Commands()) == sent
	})
	c.disconnect()
	bed.eventuallyOnLoop("the client to be gone", func() bool {
		return len(bed.scheduler.clients) == 0 && bed.scheduler.tracker.Unanswered() == 0
	})
	if n := len(bed.disks[0].Commands()); n != sent {
		t.Errorf("%d have reached the disk server, %d before the leave", n, sent)
	}
}

// processPauseCase is a client that goes during a hold-up.
type processPauseCase struct {
	split  bool          // half of its command comes before the hold-up
	behind string        // what it sends behind its command
	delay  time.Duration // of the module's dispatch
	fresh  bool          // its command, or the rest of it, comes during the hold-up
	gate   bool          // the connection to the disk server opens then
}

// TestClientGoneDuringProcessPause: a client goes while the scheduler is held up for 0.15 s, in the middle of a round of the
// loop: nothing is sent for it after that, be it a first attempt or a retry.
func TestClientGoneDuringProcessPause(t *testing.T) {
	var pings []byte
	for i := range 2 * maxPending {
		pings = append(pings, encodeCommand("PING", fmt.Sprint(i))...)
	}
	quit := string(encodeCommand("QUIT"))
	const delay = 100 * time.Millisecond
	cases := map[string]processPauseCase{
		"fresh command":           {fresh: true},
		"behind half a line":      {split: true, fresh: true},
		"a timer":                 {delay: delay},
		"a timer, QUIT":           {delay: delay, behind: quit},
		"a timer, protocol error": {delay: delay, behind: "no command\r\n"},
		"a timer, many":           {delay: delay, behind: string(pings)},
		"a connect":               {gate: true},
		"a connect, QUIT":         {gate: true, behind: quit},
	}
	for name, x := range cases {
		t.Run(name+" close", func(t *testing.T) { x.run(t, (*testClient).disconnect) })
		t.Run(name+" reset", func(t *testing.T) { x.run(t, (*testClient).reset) })
	}
}

// run has a client leave during a hold-up and checks that its op does not arrive.
func (x processPauseCase) run(t *testing.T, leave func(*testClient)) {
	bed := newTestbed(t, 1, withSlowConnect)
	openGate := func() {}
	if x.gate {
		gate := bed.moveBehindGate(0)
		openGate = gate.open
	}
	bed.useModule(singleServerModule{"s-0"})
	c := bed.dialClient()
	c.do("PING")
	if !x.gate { // there is a connection that has been idle for long enough
		bed.dialClient().doRead("warm", 9000)
		time.Sleep(2 * reuseDelay)
	}
	bed.useModule(&delayedModule{delay: x.delay})
	op := encodeCommand(readCommand("a", 9000)...)
	if x.split {
		c.sendBytes(op[:len(op)/2])
		op = op[len(op)/2:]
	}
	if !x.fresh {
		c.sendBytes(append(op, x.behind...))
		bed.eventuallyOnLoop("the command", func() bool { return bed.scheduler.tracker.Unanswered() == 1 })
	}
	bed.onLoop(func() {
		openGate()
		if x.fresh {
			c.sendBytes(op)
		}
		leave(c)
		time.Sleep(maxProcessPause)
	})
	bed.eventuallyOnLoop("the client to be gone", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
	if x.gate {
		bed.awaitServerConn()
	}
	time.Sleep(2 * x.delay)
	for _, id := range receivedIDs(bed.disks[0]) {
		if id != "warm" {
			t.Errorf("%s has reached the disk server", id)
		}
	}
}

// holdsUnacked reports whether the system has all bytes of the only command in flight, and the disk server's has not.
func (sc *serverConn) holdsUnacked() bool {
	return sc.connected && len(sc.inFlight) == 1 && sc.conn.UnsentBytes() == 0 && sc.conn.UnackedBytes() > 0
}

// TestClientGoneBeforeServerReads: what a disk server's system has not taken when a client goes, or its time is over,
// never arrives, also once the server reads on.
func TestClientGoneBeforeServerReads(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.useModule(&cancellingModule{})
	body := strings.Repeat("x", maxBody)
	for i, ms := range []int{9000, 300} {
		c := bed.dialClient()
		c.sendWrite(fmt.Sprint("w", i), ms, body)
		bed.eventuallyOnLoop("all bytes to leave", func() bool {
			return slices.ContainsFunc(bed.scheduler.servers["s-0"].conns, (*serverConn).holdsUnacked)
		})
		if ms > 300 {
			c.disconnect()
		}
		bed.eventuallyOnLoop("the end", func() bool {
			return bed.scheduler.tracker.Unanswered() == 0 && bed.scheduler.tracker.Outstanding() == 0
		})
	}
	gate.forwardBytes()
	time.Sleep(100 * time.Millisecond)
	if ids := receivedIDs(bed.disks[0]); len(ids) > 0 {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// TestRequestCrossesClose: whatever closes a client's connection, a request that crosses the close is not read, so that
// its client may send it again, and the replies before come whole.
func TestRequestCrossesClose(t *testing.T) {
	value := valueOf("a")
	for name, x := range map[string]struct {
		behind string // sent behind an op whose answer is delayed
		want   []string
	}{
		"quit":           {string(encodeCommand("QUIT")), []string{value, "OK"}},
		"protocol error": {"no command\r\n", []string{value, `-ERR Protocol error: expected '*', got 'n'`}},
	} {
		t.Run(name, func(t *testing.T) { checkCloseByClientInput(t, x.behind, x.want) })
	}
	for name, end := range map[string]func(*Scheduler, *client){
		"idle": func(s *Scheduler, c *client) {
			c.lastActivity -= 2 * maxIdle
			s.checkClients()
		},
		"evicted": func(s *Scheduler, c *client) {
			c.lastActivity -= 2 * maxIdle
			s.evictIdleClient()
		},
		"intake closed": func(_ *Scheduler, c *client) { c.closeWhenAnswered() },
	} {
		t.Run(name, func(t *testing.T) { checkCloseByScheduler(t, end) })
	}
}

// checkCloseByClientInput checks a request that crosses a close which the client's own input causes, with the replies
// expected before.
func checkCloseByClientInput(t *testing.T, behind string, replies []string) {
	bed, c := newCrossingTestbed(t, behind)
	bed.eventuallyOnLoop("the end", func() bool {
		serverSide := bed.client()
		return serverSide != nil && serverSide.closing
	})
	bytesIn := bed.bytesIn()
	c.sendRead("late", 9000)
	for _, want := range append(replies, "closed") {
		if got := c.readReply(3 * time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
	answer := int64(len(valueOf("a")) + 32) // of the disk server, at most
	if n := bed.bytesIn() - bytesIn; n > answer {
		t.Errorf("%d bytes have been read", n)
	}
	bed.checkReceived("[a]")
}

// checkCloseByScheduler checks a request that crosses a close by the scheduler, on the loop, once the op is answered.
func checkCloseByScheduler(t *testing.T, end func(*Scheduler, *client)) {
	bed, c := newCrossingTestbed(t, "")
	if got := c.readReply(3 * time.Second); got != valueOf("a") {
		t.Fatalf("%q", got)
	}
	bed.onLoop(func() { end(bed.scheduler, bed.client()) })
	bytesIn := bed.bytesIn()
	c.sendRead("late", 9000)
	if n := bed.bytesIn() - bytesIn; n > 0 {
		t.Errorf("%d bytes have been read", n)
	}
	bed.checkReceived("[a]")
}

// newCrossingTestbed starts a scheduler with one client, which has sent an op whose answer is delayed, and bytes behind
// it.
func newCrossingTestbed(t *testing.T, behind string) (*testbed, *testClient) {
	t.Helper()
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 50 * time.Millisecond})
	c := bed.dialClient()
	c.sendBytes(append(encodeCommand(readCommand("a", 9000)...), behind...))
	return bed, c
}
