package scheduler

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// clientTraffic is what has crossed the socket of one client, as its scheduler saw it. It is used on the loop.
type clientTraffic struct {
	reader   resp.Reader
	commands int           // complete commands
	lastSent time.Duration // when bytes were last sent
}

// countCommands counts the complete commands in bytes of the client.
func (x *clientTraffic) countCommands(b []byte) {
	for len(b) > 0 {
		frame, err := x.reader.Next(b)
		if b = b[frame.Used:]; frame.Complete {
			x.commands++
		} else if frame.Used == 0 || err != nil {
			return
		}
	}
}

// pausedShutdown is a scheduler that shuts down while clients send on and its disk server hangs.
type pausedShutdown struct {
	*testbed
	opTimeout time.Duration
	plan      shutdownPlan

	// Used on the loop, or after its end.
	traffic      map[*client]*clientTraffic
	machineDelay time.Duration // how long the machine has held the loop up on its own

	ended   sync.WaitGroup // the readers of replies
	mu      sync.Mutex
	replies int
}

// newPausedShutdown starts the scheduler.
func newPausedShutdown(t *testing.T, opTimeout time.Duration) *pausedShutdown {
	t.Helper()
	s := &pausedShutdown{
		testbed:   newTestbed(t, 1, withOpTimeout(opTimeout)),
		opTimeout: opTimeout,
		traffic:   map[*client]*clientTraffic{},
	}
	s.onLoop(func() {
		s.module.DecisionModule = singleServerModule{"s-0"}
		s.observe(s.scheduler.loop.Now())
	})
	s.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	return s
}

// observe taps new clients and measures how late it is called on the loop, each millisecond.
func (s *pausedShutdown) observe(due time.Duration) {
	s.tapClients()
	loop := s.scheduler.loop
	if over := loop.Now() - due; s.scheduler.shuttingDown && over > 10*time.Millisecond {
		s.machineDelay += over
	}
	next := loop.Now() + time.Millisecond
	loop.Schedule(next, func() { s.observe(next) })
}

// tapClients counts what crosses the sockets of all clients from now on.
func (s *pausedShutdown) tapClients() {
	for c := range s.scheduler.clients {
		if s.traffic[c] != nil {
			continue
		}
		x := &clientTraffic{reader: resp.Reader{Limits: commandLimits}}
		s.traffic[c] = x
		c.conn.Tap = func(sent bool, b []byte) {
			if sent {
				x.lastSent = s.scheduler.loop.Now()
			} else {
				x.countCommands(b)
			}
		}
	}
}

// readReplies counts the replies of a client, on a goroutine, until its connection ends in order.
func (s *pausedShutdown) readReplies(c *testClient) {
	s.ended.Go(func() {
		n, err := c.countReplies()
		if !errors.Is(err, io.EOF) {
			s.t.Errorf("a connection ends with %v after %d answers", err, n)
		}
		s.mu.Lock()
		s.replies += n
		s.mu.Unlock()
		c.disconnect()
	})
}

// readRepliesToPartialCommand reads what a client of half a command gets: an error at most, which is no answer to a command.
func (s *pausedShutdown) readRepliesToPartialCommand(c *testClient) {
	s.ended.Go(func() {
		if n, err := c.countReplies(); n > 1 || !errors.Is(err, io.EOF) {
			s.t.Errorf("half a command gets %d answers and %v", n, err)
		}
		c.disconnect()
	})
}

// sendReads has a client send a read after each gap, until its connection ends.
func (s *pausedShutdown) sendReads(c *testClient, gap time.Duration) {
	s.readReplies(c)
	go func() {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%s-%d", c.LocalAddr(), i)
			if _, err := c.Write(encodeCommand(readCommand(id, int(s.opTimeout.Milliseconds()))...)); err != nil {
				return
			}
			time.Sleep(gap)
		}
	}()
}

// pauseAt has the loop held up just before a step of the shutdown.
func (s *pausedShutdown) pauseAt(step string) {
	s.onLoop(func() {
		s.plan = s.scheduler.shutdown
		at := map[string]time.Duration{
			"ops":     s.plan.closeAdmission,
			"answers": s.plan.failRemaining,
			"leave":   s.plan.failRemaining + flushMargin,
		}[step]
		if at == 0 {
			return
		}
		s.scheduler.loop.Schedule(at-1, func() {
			time.Sleep(maxProcessPause)
			s.machineDelay -= maxProcessPause
		})
	})
}

// connectUntil has new clients connect and send until a time, or until the intake closes on a busy machine.
func (s *pausedShutdown) connectUntil(end time.Time) {
	for time.Now().Before(end) {
		clients, closed := 0, true
		s.onLoop(func() { clients, closed = len(s.traffic), s.scheduler.admissionClosed })
		if closed {
			return
		}
		c := s.dialClient()
		s.eventually("the connection", func() bool {
			ok := true // also after the end of the loop
			s.onLoop(func() { ok = s.scheduler.admissionClosed || len(s.traffic) > clients })
			return ok
		})
		s.sendReads(c, 20*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
}

// check checks, after the end of the loop, that each command that was read has one reply, sent in time.
func (s *pausedShutdown) check() {
	s.t.Helper()
	commands := 0
	for _, x := range s.traffic {
		commands += x.commands
		if x.lastSent > s.plan.killTime-flushMargin/2+s.machineDelay {
			left := s.plan.killTime - x.lastSent
			s.t.Errorf("something is sent %v before the kill, the machine was busy for %v", left, s.machineDelay)
		}
	}
	if commands != s.replies || commands == 0 {
		s.t.Errorf("%d commands have been read, %d answers have come", commands, s.replies)
	}
}

// TestShutdownDuringProcessPause: whatever the longest op timeout, while clients send on and a disk server hangs, each request that
// was read has one whole reply some time before the kill, also where the scheduler is held up at a step of its
// shutdown; what was not read gets a regular end of the connection.
func TestShutdownDuringProcessPause(t *testing.T) {
	for _, opTimeout := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		for _, step := range []string{"none", "ops", "answers", "leave"} {
			t.Run(fmt.Sprint(opTimeout, " ", step), func(t *testing.T) {
				t.Parallel()
				s := newPausedShutdown(t, opTimeout)
				first, second, half, idle := s.dialClient(), s.dialClient(), s.dialClient(), s.dialClient()
				s.eventuallyOnLoop("the clients", func() bool { return len(s.traffic) == 4 })
				s.sendReads(first, time.Millisecond)
				s.sendReads(second, 5*time.Millisecond)
				half.sendBytes([]byte("*4\r\n$8\r\nBLK.RE"))
				s.readRepliesToPartialCommand(half)
				s.readReplies(idle)
				notified := time.Now()
				s.scheduler.Shutdown()
				s.pauseAt(step)
				s.connectUntil(notified.Add(390 * time.Millisecond))
				if err := s.awaitEnd(10 * time.Second); err != nil {
					t.Fatal(err)
				}
				s.ended.Wait()
				s.check()
			})
		}
	}
}
