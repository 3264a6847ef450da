package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// sentTimeout returns the timeout in a command that a disk server has received.
func sentTimeout(t *testing.T, command fakeresp.Command) time.Duration {
	t.Helper()
	var ms int64
	if _, err := fmt.Sscanf(command.Attributes[strings.Index(command.Attributes, ",d="):], ",d=%d", &ms); err != nil {
		t.Error(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// stuckCommands records the commands that have been partly written for some time. It is used on the loop.
type stuckCommands struct {
	ids         map[string]bool
	lastWritten uint64        // position of the last byte written
	since       time.Duration // time at which that byte was written
}

// observe updates the record for the bytes that a connection has written.
func (s *stuckCommands) observe(now time.Duration, sc *serverConn) {
	written := sc.writtenBytes()
	if written != s.lastWritten {
		s.lastWritten, s.since = written, now
	}
	for _, a := range sc.inFlight {
		id := string(a.dispatch.Op())
		if a.firstByte < written && a.endByte > written && now-s.since > maxPartialAge/2 {
			s.ids[id] = true
		}
		restInTime := a.endByte <= written && now-a.encodedAt <= maxPartialAge
		if s.ids[id] && restInTime {
			delete(s.ids, id)
		}
	}
}

// TestDeadlineOfDelayedCommand checks commands for a disk server that does not read for some time. The timeout in a
// command is the time left when the command is written. A command that was only partly written before never arrives
// completely.
func TestDeadlineOfDelayedCommand(t *testing.T) {
	const n, waits = 100, 400 * time.Millisecond
	bed := newTestbed(t, 1, withSlowConnect, withStreamsPerConn(n))
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.config.Sockets = 1024
		bed.leaveOneServerConn()
	})
	stuck := stuckCommands{ids: map[string]bool{}}
	bed.onLoop(func() {
		bed.everyMillisecond(func(now time.Duration) {
			for _, sc := range bed.scheduler.servers["s-0"].conns {
				stuck.observe(now, sc)
			}
		})
	})
	sent := bed.sendLargeWrites(n, 9*time.Second)
	time.Sleep(waits)
	var unsent map[string]bool
	bed.onLoop(func() {
		unsent = bed.unsentOps()
		gate.forwardBytes()
	})
	if len(stuck.ids) == 0 {
		t.Fatal("no command is partly written")
	}
	bed.eventuallyOnLoop("the answers to all ops", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
	for _, command := range bed.disks[0].Commands() {
		if stuck.ids[command.ID] {
			t.Errorf("partly written command %s has arrived", command.ID)
		}
		named, left := sentTimeout(t, command), 9*time.Second-command.At.Sub(sent[command.ID])
		if unsent[command.ID] && named > left+150*time.Millisecond {
			t.Errorf("the timeout in command %s is %v, but %v are left", command.ID, named, left)
		}
	}
}

// unsentOps returns the ops in flight whose commands are not written at all. It is called on the loop.
func (bed *testbed) unsentOps() map[string]bool {
	unsent := map[string]bool{}
	for _, sc := range bed.scheduler.servers["s-0"].conns {
		for _, a := range sc.inFlight {
			unsent[string(a.dispatch.Op())] = a.firstByte >= sc.writtenBytes()
		}
	}
	return unsent
}

// sendLargeWrites sends n writes from several clients and waits until they are admitted. It returns the time at which
// each was sent.
func (bed *testbed) sendLargeWrites(n int, timeout time.Duration) map[string]time.Time {
	bed.t.Helper()
	body := strings.Repeat("x", maxBody)
	sent := map[string]time.Time{}
	var c *testClient
	for i := range n {
		if i%(maxPending-1) == 0 {
			c = bed.dialClient()
		}
		id := fmt.Sprint("w", i)
		sent[id] = time.Now()
		c.sendWrite(id, int(timeout.Milliseconds()), body)
	}
	bed.eventuallyOnLoop("all admissions", func() bool { return bed.scheduler.tracker.Counts.Admitted == n })
	return sent
}

// TestTimeoutOfLateRead checks a command that is read late, because the process was paused or because earlier commands
// of its connection were read first. Its timeout starts at the earliest time at which it can have been received. The
// timeout of a command that is received later on the same connection starts later.
func TestTimeoutOfLateRead(t *testing.T) {
	const held = 120 * time.Millisecond
	for name, x := range map[string]lateReadCase{
		"no delay": {send: func(_ *testbed, send func()) { send() }},
		"process pause": {late: held, send: func(bed *testbed, send func()) {
			bed.onLoop(func() { send(); time.Sleep(held) })
		}},
		"after others": {first: maxPending, delay: held, late: held, send: func(_ *testbed, send func()) { send() }},
		"long after others": {first: maxPending, delay: held, send: func(bed *testbed, send func()) {
			bed.eventuallyOnLoop("all earlier answers", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
			time.Sleep(2 * held)
			send()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout = 2 * time.Second
			left := x.run(t, timeout)
			if left > timeout-x.late*3/4 || x.late == 0 && left < timeout-held/2 {
				t.Errorf("%v of the timeout of %v are left", left, timeout)
			}
		})
	}
}

// lateReadCase is a command that is read late.
type lateReadCase struct {
	first int                    // number of earlier commands on the connection
	delay time.Duration          // delay of the answers to these
	send  func(*testbed, func()) // sends the command by calling its argument
	late  time.Duration          // delay until the command is read
}

// run sends the command with a timeout and returns the time left until its deadline when the op is admitted.
func (x lateReadCase) run(t *testing.T, timeout time.Duration) time.Duration {
	t.Helper()
	bed := newTestbed(t, 1)
	var left []time.Duration // for each op
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.module.onEvent = func(event honeyplank.Event) {
			if op, ok := event.(honeyplank.Op); ok {
				left = append(left, op.Deadline-bed.scheduler.loop.Now())
			}
		}
	})
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: x.delay})
	c := bed.dialClient()
	c.do("PING")
	for i := range x.first {
		c.sendRead(fmt.Sprint("a", i), 9000)
	}
	if x.first > 0 {
		bed.eventuallyOnLoop("the admission of the others", func() bool { return len(left) == x.first })
	}
	x.send(bed, func() { c.sendRead("late", int(timeout.Milliseconds())) })
	bed.eventuallyOnLoop("the admission of the op", func() bool { return len(left) == x.first+1 })
	var last time.Duration
	bed.onLoop(func() { last = left[len(left)-1] })
	return last
}

// TestTimeoutDuringProcessPause checks that an op that times out during a process pause is answered and not sent, even
// if its connection opens during the pause or a connection for its retry is idle.
func TestTimeoutDuringProcessPause(t *testing.T) {
	for _, waits := range []string{"for a connection", "for a timer"} {
		t.Run(waits, func(t *testing.T) {
			bed, gate := newGatedTestbed(t, 5*time.Second, time.Second)
			if waits == "for a timer" {
				gate.open()
				bed.dialClient().doRead("warm", 9000)
				time.Sleep(2 * reuseDelay)
				bed.useModule(&delayedModule{delay: 40 * time.Millisecond})
			}
			c := bed.dialClient()
			c.sendRead("a", 60)
			bed.eventuallyOnLoop("the admission or failure of the op", func() bool {
				return bed.scheduler.tracker.Unanswered() > 0 || bed.scheduler.tracker.Counts.Failed > 0
			})
			bed.onLoop(func() {
				gate.open()
				time.Sleep(maxProcessPause)
			})
			if got := c.readReply(time.Second); got != "-ERR failed" {
				t.Errorf("reply is %q, expected an error", got)
			}
			time.Sleep(50 * time.Millisecond)
			for _, id := range receivedIDs(bed.disks[0]) {
				if id != "warm" {
					t.Errorf("op %s has reached the disk server", id)
				}
			}
		})
	}
}
