package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// TestClientGoneWhileConnecting checks that an op is not sent if its client disconnects while the connection to the
// disk server is being opened.
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
		t.Errorf("reply is %q", got)
	}
	bed.checkReceived("[stays]")
	bed.onLoop(func() {
		if n := bed.scheduler.tracker.Outstanding(); n != 0 {
			t.Errorf("%d dispatches are outstanding", n)
		}
	})
}

// sharedConn is a connection to a disk server behind a gate. Each of several clients has one write in flight on it.
type sharedConn struct {
	bed     *testbed
	gate    *connGate
	conn    *serverConn
	clients []*testClient
	written int // number of commands that are completely written
	partial int // index of the partly written command; -1 if there is none
}

// newSharedConn starts a scheduler with n commands for a disk server that does not read. Some of them are written.
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
		bed.eventuallyOnLoop("the command in flight", func() bool { return shared.hasInFlight(i + 1) })
	}
	bed.onLoop(shared.countWritten)
	if shared.written == 0 || shared.written > n-2 {
		t.Fatalf("%d of %d commands are completely written", shared.written, n)
	}
	return shared
}

// hasInFlight reports whether the server has one connection, with n commands in flight. It is called on the loop.
func (s *sharedConn) hasInFlight(n int) bool {
	conns := s.bed.scheduler.servers["s-0"].conns
	if len(conns) != 1 || !conns[0].connected || len(conns[0].inFlight) != n {
		return false
	}
	s.conn = conns[0]
	s.conn.conn.BeforeWrite = nil // otherwise the partly written command would be withdrawn because of its age
	return true
}

// countWritten determines which commands are written. It is called on the loop.
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

// TestClientGoneOnSharedConn checks a connection that several ops share and that the disk server does not read. An op
// whose client disconnects never arrives if its command is unwritten or partly written. The ops before and after it are
// served.
func TestClientGoneOnSharedConn(t *testing.T) {
	const n = 100 // together larger than the socket buffers of one connection
	const partial = -1
	for _, goneClient := range []int{n - 1, n / 2, 0, partial} {
		t.Run(fmt.Sprint(goneClient), func(t *testing.T) {
			shared := newSharedConn(t, n)
			if goneClient == partial {
				goneClient = shared.partial
			}
			if goneClient < 0 {
				t.Fatalf("%d of %d commands are completely written, none partly", shared.written, n)
			}
			bed := shared.bed
			bed.onLoop(func() { bed.scheduler.serverConnCount = 1 })
			shared.clients[goneClient].disconnect()
			bed.awaitClientGone()
			shared.gate.forwardBytes()
			shared.checkServed(goneClient)
			arrived := slices.Contains(receivedIDs(bed.disks[0]), fmt.Sprint("w", goneClient))
			if arrived && goneClient >= shared.written {
				t.Error("the op whose client is gone has reached the disk server")
			}
		})
	}
}

// checkServed checks that every client except the one that is gone gets its value.
func (s *sharedConn) checkServed(goneClient int) {
	s.bed.t.Helper()
	for i, c := range s.clients {
		if i == goneClient {
			continue
		}
		if got := c.readReply(3 * time.Second); got != valueOf(fmt.Sprint("w", i)) {
			s.bed.t.Errorf("reply to w%d is %q", i, got)
		}
	}
}

// TestClientGoneWhilePaused checks that a disconnect is detected while reading from the client is paused, because it
// has sent more commands than are read at a time. Its waiting commands are not sent to the disk server.
func TestClientGoneWhilePaused(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c := bed.dialClient()
	var all []byte
	for i := range 2 * maxPending {
		all = append(all, encodeCommand(readCommand(fmt.Sprint("a", i), 390000)...)...)
	}
	c.sendBytes(all)
	bed.eventually("a paused client with buffered commands", func() (ok bool) {
		bed.onLoop(func() {
			for x := range bed.scheduler.clients {
				ok = x.paused && x.conn.BufferedBytes() > 0
			}
		})
		return ok
	})
	sent := 0
	bed.eventually("the arrival of all dispatches", func() bool {
		bed.onLoop(func() { sent = bed.scheduler.tracker.Counts.Dispatches })
		return sent > 0 && len(bed.disks[0].Commands()) == sent
	})
	c.disconnect()
	bed.eventuallyOnLoop("the end of the client and its ops", func() bool {
		return len(bed.scheduler.clients) == 0 && bed.scheduler.tracker.Unanswered() == 0
	})
	if n := len(bed.disks[0].Commands()); n != sent {
		t.Errorf("%d commands have reached the disk server, %d of them before the disconnect", n, sent)
	}
}

// processPauseCase is a client that disconnects during a process pause.
type processPauseCase struct {
	split    bool          // half of the command is received before the pause
	trailing string        // sent after the command
	delay    time.Duration // delay of the dispatch by the module
	fresh    bool          // the command, or the rest of it, is sent during the pause
	gate     bool          // the connection to the disk server opens during the pause
}

// TestClientGoneDuringProcessPause checks that no attempt is sent for a client that disconnects while the process is
// paused for 0.15 s within an iteration of the loop. This applies to a first attempt as well as to a retry.
func TestClientGoneDuringProcessPause(t *testing.T) {
	var pings []byte
	for i := range 2 * maxPending {
		pings = append(pings, encodeCommand("PING", fmt.Sprint(i))...)
	}
	quit := string(encodeCommand("QUIT"))
	const delay = 100 * time.Millisecond
	cases := map[string]processPauseCase{
		"command":                     {fresh: true},
		"rest of command":             {split: true, fresh: true},
		"timer":                       {delay: delay},
		"timer and QUIT":              {delay: delay, trailing: quit},
		"timer and protocol error":    {delay: delay, trailing: "no command\r\n"},
		"timer and many PINGs":        {delay: delay, trailing: string(pings)},
		"connection opens":            {gate: true},
		"connection opens after QUIT": {gate: true, trailing: quit},
	}
	for name, x := range cases {
		t.Run(name+" close", func(t *testing.T) { x.run(t, (*testClient).disconnect) })
		t.Run(name+" reset", func(t *testing.T) { x.run(t, (*testClient).reset) })
	}
}

// run disconnects a client during a process pause and checks that its op does not arrive.
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
	if !x.gate { // opens a connection that is idle for long enough to be reused
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
		c.sendBytes(append(op, x.trailing...))
		bed.eventuallyOnLoop("the admission of the op", func() bool { return bed.scheduler.tracker.Unanswered() == 1 })
	}
	bed.onLoop(func() {
		openGate()
		if x.fresh {
			c.sendBytes(op)
		}
		leave(c)
		time.Sleep(maxProcessPause)
	})
	bed.eventuallyOnLoop("the end of the op", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
	if x.gate {
		bed.awaitServerConn()
	}
	time.Sleep(2 * x.delay)
	for _, id := range receivedIDs(bed.disks[0]) {
		if id != "warm" {
			t.Errorf("op %s has reached the disk server", id)
		}
	}
}

// holdsUnacked reports whether the kernel has taken all bytes of the only command in flight, and the kernel of the disk
// server has not acknowledged all of them.
func (sc *serverConn) holdsUnacked() bool {
	return sc.connected && len(sc.inFlight) == 1 && sc.conn.UnsentBytes() == 0 && sc.conn.UnackedBytes() > 0
}

// TestClientGoneBeforeServerReads checks that a command never arrives if the kernel of the disk server has not taken it
// by the time at which the client disconnects or the op times out, even if the server reads again later.
func TestClientGoneBeforeServerReads(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.useModule(&cancellingModule{})
	body := strings.Repeat("x", maxBody)
	for i, ms := range []int{9000, 300} {
		c := bed.dialClient()
		c.sendWrite(fmt.Sprint("w", i), ms, body)
		bed.eventuallyOnLoop("a written command that is not acknowledged", func() bool {
			return slices.ContainsFunc(bed.scheduler.servers["s-0"].conns, (*serverConn).holdsUnacked)
		})
		if ms > 300 {
			c.disconnect()
		}
		bed.eventuallyOnLoop("the end of the op", func() bool {
			return bed.scheduler.tracker.Unanswered() == 0 && bed.scheduler.tracker.Outstanding() == 0
		})
	}
	gate.forwardBytes()
	time.Sleep(100 * time.Millisecond)
	if ids := receivedIDs(bed.disks[0]); len(ids) > 0 {
		t.Errorf("ops %v have reached the disk server", ids)
	}
}

// TestRequestCrossesClose checks that a request that is sent while the scheduler closes the connection is not read, so
// that the client may send it again, and that the replies to earlier requests are complete.
func TestRequestCrossesClose(t *testing.T) {
	value := valueOf("a")
	for name, x := range map[string]struct {
		trailing string // sent after an op whose answer is delayed
		want     []string
	}{
		"quit":           {string(encodeCommand("QUIT")), []string{value, "OK"}},
		"protocol error": {"no command\r\n", []string{value, `-ERR Protocol error: expected '*', got 'n'`}},
	} {
		t.Run(name, func(t *testing.T) { checkCloseByClientInput(t, x.trailing, x.want) })
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
		"admission closed": func(_ *Scheduler, c *client) { c.closeWhenAnswered() },
	} {
		t.Run(name, func(t *testing.T) { checkCloseByScheduler(t, end) })
	}
}

// checkCloseByClientInput checks a request that is sent while the connection closes because of earlier input. That
// input is an op followed by trailing, and gets the given replies.
func checkCloseByClientInput(t *testing.T, trailing string, replies []string) {
	bed, c := newCrossingTestbed(t, trailing)
	bed.eventuallyOnLoop("the start of the close", func() bool {
		serverSide := bed.client()
		return serverSide != nil && serverSide.closing
	})
	bytesIn := bed.bytesIn()
	c.sendRead("late", 9000)
	for _, want := range append(replies, "closed") {
		if got := c.readReply(3 * time.Second); got != want {
			t.Errorf("reply is %q, expected %q", got, want)
		}
	}
	answer := int64(len(valueOf("a")) + 32) // upper bound of the disk server's answer
	if n := bed.bytesIn() - bytesIn; n > answer {
		t.Errorf("%d bytes were read after the close, more than an answer of the disk server", n)
	}
	bed.checkReceived("[a]")
}

// checkCloseByScheduler checks a request that is sent while the scheduler closes the connection with end, which is
// called on the loop after the op is answered.
func checkCloseByScheduler(t *testing.T, end func(*Scheduler, *client)) {
	bed, c := newCrossingTestbed(t, "")
	if got := c.readReply(3 * time.Second); got != valueOf("a") {
		t.Fatalf("reply is %q", got)
	}
	bed.onLoop(func() { end(bed.scheduler, bed.client()) })
	bytesIn := bed.bytesIn()
	c.sendRead("late", 9000)
	if n := bed.bytesIn() - bytesIn; n > 0 {
		t.Errorf("%d bytes were read after the close, expected none", n)
	}
	bed.checkReceived("[a]")
}

// newCrossingTestbed starts a scheduler with one client, which has sent an op whose answer is delayed, followed by the
// trailing bytes.
func newCrossingTestbed(t *testing.T, trailing string) (*testbed, *testClient) {
	t.Helper()
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 50 * time.Millisecond})
	c := bed.dialClient()
	c.sendBytes(append(encodeCommand(readCommand("a", 9000)...), trailing...))
	return bed, c
}
