package scheduler

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"honeyplank"
	standin "honeyplank/fake/resp"
)

// delayedModule is a module that sends an op to its disk server a time after it came, and aborts what brings no ack.
type delayedModule struct {
	delay  time.Duration
	lastOp honeyplank.OpID
}

func (m *delayedModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		if m.delay == 0 {
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "s-0"}}
		}
		m.lastOp = e.ID
		return []honeyplank.Action{honeyplank.SetTimer{Name: "later", At: now + m.delay}}
	case honeyplank.Timer:
		return []honeyplank.Action{honeyplank.Dispatch{Op: m.lastOp, Server: "s-0"}}
	case honeyplank.Outcome:
		if !e.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: e.Op}}
		}
	}
	return nil
}

// TestLeavesHeldUp: a client goes while the scheduler is held up for 0.15 s, in the middle of a round: whatever that would
// send for it once it goes on, first or again, does not leave any more.
func TestLeavesHeldUp(t *testing.T) {
	leave := map[string]func(*testClient){
		"close": func(c *testClient) { c.Close() },
		"reset": func(c *testClient) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	}
	for how, leave := range leave {
		for name, x := range map[string]struct {
			before []string      // what its connection has brought before: 'half', 'QUIT', 'breach', 'many'
			after  time.Duration // the module's wait
			fresh  bool          // its command comes during the hold-up
			gate   bool          // the connection to the disk server comes up then
		}{
			"fresh command":      {fresh: true},
			"behind half a line": {before: []string{"half"}, fresh: true},
			"a timer":            {after: 100 * time.Millisecond},
			"a timer, QUIT":      {after: 100 * time.Millisecond, before: []string{"QUIT"}},
			"a timer, breach":    {after: 100 * time.Millisecond, before: []string{"breach"}},
			"a timer, many":      {after: 100 * time.Millisecond, before: []string{"many"}},
			"a connect":          {gate: true},
			"a connect, QUIT":    {gate: true, before: []string{"QUIT"}},
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				bed := newTestbed(t, 1, withSlowConnect)
				var g *connGate
				if x.gate {
					var m standin.Member
					g, m = bed.gateServer(0, "up")
					bed.discovery.Change(m)
					bed.eventually("the address", func() (ok bool) {
						bed.onLoop(func() { ok = bed.scheduler.servers["s-0"].address == g.address })
						return ok
					})
				}
				bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
				c := bed.dialClient()
				c.do("PING")
				if g == nil { // a connection that has rested is there
					bed.dialClient().do("BLK.READ", objectKey, "warm", opOptions("read", 9000, 0))
					time.Sleep(2 * minConnRest)
				}
				bed.onLoop(func() { bed.module.DecisionModule = &delayedModule{delay: x.after} })
				op := encodeCommand("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
				var behind []byte
				for _, b := range x.before {
					switch b {
					case "half":
						c.Write(op[:len(op)/2])
						op = op[len(op)/2:]
					case "QUIT":
						behind = append(behind, encodeCommand("QUIT")...)
					case "breach":
						behind = append(behind, "no command\r\n"...)
					case "many":
						for i := range 2 * maxPending {
							behind = append(behind, encodeCommand("PING", fmt.Sprint(i))...)
						}
					}
				}
				if !x.fresh {
					c.Write(append(op, behind...))
					bed.eventually("the command", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.tracker.Unanswered() == 1 }); return ok })
				}
				bed.onLoop(func() {
					if g != nil {
						g.acceptConns()
						g.forwardBytes()
					}
					if x.fresh {
						c.Write(op)
					}
					leave(c)
					time.Sleep(maxHoldUp)
				})
				bed.eventually("the leave", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.tracker.Unanswered() == 0 }); return ok })
				if g != nil {
					bed.eventually("a connection", func() bool { _, n := bed.connCounts(0); return n > 0 })
				}
				time.Sleep(2 * x.after)
				for _, id := range receivedIDs(bed.disks[0]) {
					if id != "warm" {
						t.Errorf("%s has reached the disk server", id)
					}
				}
			})
		}
	}
}

// TestLeavesUnread: what a disk server's system has not taken when a client goes, or its time is over, never arrives, also
// once the server reads on.
func TestLeavesUnread(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	g, m := bed.gateServer(0, "up")
	bed.discovery.Change(m)
	bed.eventually("the address", func() (ok bool) {
		bed.onLoop(func() { ok = bed.scheduler.servers["s-0"].address == g.address })
		return ok
	})
	g.acceptConns()
	bed.onLoop(func() { bed.module.DecisionModule = &cancellingModule{} })
	body := strings.Repeat("x", maxBody)
	for i, ms := range []int{9000, 300} {
		c := bed.dialClient()
		c.send("BLK.WRITE", objectKey, fmt.Sprint("w", i), opOptions("write", ms, 0), body)
		bed.eventually("all bytes to leave", func() (ok bool) {
			bed.onLoop(func() {
				for _, sc := range bed.scheduler.servers["s-0"].conns {
					ok = ok || sc.connected && len(sc.inFlight) == 1 && sc.conn.UnsentBytes() == 0 && sc.conn.UnackedBytes() > 0
				}
			})
			return ok
		})
		if ms > 300 {
			c.Close()
		}
		bed.eventually("the end", func() (ok bool) {
			bed.onLoop(func() { ok = bed.scheduler.tracker.Unanswered() == 0 && bed.scheduler.tracker.Outstanding() == 0 })
			return ok
		})
	}
	g.forwardBytes()
	time.Sleep(100 * time.Millisecond)
	if ids := receivedIDs(bed.disks[0]); len(ids) > 0 {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// cancellingModule is a module that cancels what its client no longer waits for.
type cancellingModule struct{}

func (cancellingModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	if e, ok := e.(honeyplank.ClientGone); ok {
		return []honeyplank.Action{honeyplank.Cancel{Op: e.Op}}
	}
	return singleServerModule{"s-0"}.Handle(now, e)
}

// TestCrossesTheEnd: whatever ends a client's connection, a request that crosses the end is not read, so that its client may
// send it again, and what was answered before comes whole.
func TestCrossesTheEnd(t *testing.T) {
	value := string(standin.Value(objectKey, "a"))
	for name, x := range map[string]struct {
		behind string                  // sent behind an op whose answer is delayed
		end    func(*testbed, *client) // on the loop
		want   []string
	}{
		"quit":   {behind: string(encodeCommand("QUIT")), want: []string{value, "OK"}},
		"breach": {behind: "no command\r\n", want: []string{value, `-ERR Protocol error: expected '*', got 'n'`}},
		"idle": {want: []string{value}, end: func(bed *testbed, c *client) {
			c.lastActivity -= 2 * maxIdle
			bed.scheduler.checkClients()
		}},
		"rests in a crowd": {want: []string{value}, end: func(bed *testbed, c *client) {
			c.lastActivity -= 2 * maxIdle
			bed.scheduler.evictIdleClient()
		}},
		"no more ops": {want: []string{value}, end: func(bed *testbed, c *client) { c.closeWhenAnswered() }},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
			bed.disks[0].Apply(standin.Faults{Delay: 50 * time.Millisecond})
			c := bed.dialClient()
			c.Write(append(encodeCommand("BLK.READ", objectKey, "a", opOptions("read", 9000, 0)), x.behind...))
			if x.end != nil {
				if got := c.readReply(3 * time.Second); got != value {
					t.Fatalf("%q", got)
				}
				x.want = nil
			} else {
				bed.eventually("the end", func() (ok bool) {
					bed.onLoop(func() {
						for x := range bed.scheduler.clients {
							ok = x.closing
						}
					})
					return ok
				})
			}
			var before, after int64
			bed.onLoop(func() {
				for one := range bed.scheduler.clients {
					if x.end != nil {
						x.end(bed, one)
					}
				}
				before = bed.scheduler.loop.Stats.BytesIn.Load()
			})
			late := encodeCommand("BLK.READ", objectKey, "late", opOptions("read", 9000, 0))
			c.Write(late)
			for _, want := range x.want {
				if got := c.readReply(3 * time.Second); got != want {
					t.Errorf("%q, expected %q", got, want)
				}
			}
			if x.want != nil {
				if got := c.readReply(3 * time.Second); got != "closed" {
					t.Errorf("%q, expected an end", got)
				}
			}
			bed.onLoop(func() { after = bed.scheduler.loop.Stats.BytesIn.Load() })
			answer := len(value) + 32 // of the disk server, at most
			if n := int(after - before); n > answer || x.end != nil && n > 0 {
				t.Errorf("%d bytes have been read", n)
			}
			if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != "[a]" {
				t.Errorf("%v have reached the disk server", ids)
			}
		})
	}
}

// TestDrainHeldUp: what waits to be sent to a server that drains is taken back a hold-up before the grace ends, which is
// counted from when the list came, not from when the loop heard of it.
func TestDrainHeldUp(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, maxHoldUp, 500 * time.Millisecond} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			bed, g := newGatedTestbed(t, 5*time.Second, grace)
			c := bed.dialClient()
			c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
			bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
			waits := make(chan int, 1)
			bed.onLoop(func() {
				bed.module.onEvent = func(e honeyplank.Event) {
					if l, ok := e.(honeyplank.List); ok && len(l.Members) > 0 {
						bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+max(grace-maxHoldUp, 0), func() { waits <- len(bed.scheduler.servers["s-0"].waiting) })
					}
				}
			})
			m := bed.member(0, "draining")
			m.Address = g.address
			bed.discovery.Change(m)
			if n := <-waits; n > 0 {
				t.Errorf("%d still wait", n)
			}
			if got := c.readReply(time.Second); got != "-ERR failed" {
				t.Errorf("%q", got)
			}
		})
	}
}
