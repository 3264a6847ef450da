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

// clientTraffic records the bytes that the scheduler received from and sent to one client. It is used on the loop.
type clientTraffic struct {
	reader   resp.Reader
	commands int           // complete commands
	lastSent time.Duration // when bytes were last sent
}

// countCommands counts the complete commands in the next bytes from the client.
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

// pausedShutdown is a scheduler that shuts down while clients continue to send and its disk server does not answer.
type pausedShutdown struct {
	*testbed
	opTimeout time.Duration
	plan      shutdownPlan

	// These are used on the loop, or after it has ended.
	traffic      map[*client]*clientTraffic
	machineDelay time.Duration // how long the machine itself has delayed the loop

	ended   sync.WaitGroup // goroutines that read replies
	mu      sync.Mutex
	replies int
}

// newPausedShutdown starts the scheduler with the given op timeout.
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

// observe records the traffic of new clients and measures how late the loop calls it, every millisecond. It is called
// on the loop; due is the time for which it was scheduled.
func (s *pausedShutdown) observe(due time.Duration) {
	s.tapClients()
	loop := s.scheduler.loop
	if over := loop.Now() - due; s.scheduler.shuttingDown && over > 10*time.Millisecond {
		s.machineDelay += over
	}
	next := loop.Now() + time.Millisecond
	loop.Schedule(next, func() { s.observe(next) })
}

// tapClients records the traffic of all clients from now on.
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

// readReplies counts the replies to a client, on a goroutine, and checks that its connection ends with EOF.
func (s *pausedShutdown) readReplies(c *testClient) {
	s.ended.Go(func() {
		n, err := c.countReplies()
		if !errors.Is(err, io.EOF) {
			s.t.Errorf("a connection ends with %v after %d replies, expected EOF", err, n)
		}
		s.mu.Lock()
		s.replies += n
		s.mu.Unlock()
		c.disconnect()
	})
}

// readRepliesToPartialCommand reads the replies to a client that has sent an incomplete command, on a goroutine. The
// client gets at most an error, which is not a reply to a command.
func (s *pausedShutdown) readRepliesToPartialCommand(c *testClient) {
	s.ended.Go(func() {
		if n, err := c.countReplies(); n > 1 || !errors.Is(err, io.EOF) {
			s.t.Errorf("an incomplete command gets %d replies and error %v", n, err)
		}
		c.disconnect()
	})
}

// sendReads sends a read from a client after each gap, until its connection ends. It also starts readReplies.
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

// pauseAt pauses the loop for maxProcessPause just before a step of the shutdown.
func (s *pausedShutdown) pauseAt(step string) {
	s.onLoop(func() {
		s.plan = s.scheduler.shutdown
		at := map[string]time.Duration{
			"admission": s.plan.closeAdmission,
			"replies":   s.plan.failRemaining,
			"stop":      s.plan.failRemaining + flushMargin,
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

// connectUntil connects new clients, which send ops, until the given time. It returns earlier if admission closes
// before, as on a busy machine.
func (s *pausedShutdown) connectUntil(end time.Time) {
	for time.Now().Before(end) {
		clients, closed := 0, true
		s.onLoop(func() { clients, closed = len(s.traffic), s.scheduler.admissionClosed })
		if closed {
			return
		}
		c := s.dialClient()
		s.eventually("the connection", func() bool {
			ok := true // the result if the loop has ended
			s.onLoop(func() { ok = s.scheduler.admissionClosed || len(s.traffic) > clients })
			return ok
		})
		s.sendReads(c, 20*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
}

// check checks that each command that was read has one reply, and that the last bytes were sent in time. It is called
// after the loop has ended.
func (s *pausedShutdown) check() {
	s.t.Helper()
	commands := 0
	for _, x := range s.traffic {
		commands += x.commands
		if x.lastSent > s.plan.killTime-flushMargin/2+s.machineDelay {
			left := s.plan.killTime - x.lastSent
			s.t.Errorf("bytes were sent %v before the kill, the machine delayed the loop for %v", left, s.machineDelay)
		}
	}
	if commands != s.replies || commands == 0 {
		s.t.Errorf("%d commands were read, %d replies were received", commands, s.replies)
	}
}

// TestShutdownDuringProcessPause checks shutdowns with short and long op timeouts, while clients continue to send and
// the disk server does not answer. Each request that was read gets one complete reply some time before the kill, even
// if the process pauses at a step of the shutdown. Connections with unread requests end with EOF.
func TestShutdownDuringProcessPause(t *testing.T) {
	for _, opTimeout := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		for _, step := range []string{"none", "admission", "replies", "stop"} {
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
