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

// later is a module that sends an op to its disk server a time after it came, and aborts what brings no ack.
type later struct {
	after time.Duration
	last  honeyplank.OpID
}

func (m *later) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		if m.after == 0 {
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "s-0"}}
		}
		m.last = e.ID
		return []honeyplank.Action{honeyplank.SetTimer{Name: "later", At: now + m.after}}
	case honeyplank.Timer:
		return []honeyplank.Action{honeyplank.Dispatch{Op: m.last, Server: "s-0"}}
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
	leave := map[string]func(*caller){
		"close": func(c *caller) { c.Close() },
		"reset": func(c *caller) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
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
				w := start(t, 1, slowConnect)
				var g *gate
				if x.gate {
					var m standin.Member
					g, m = w.behind(0, "up")
					w.disco.Change(m)
					w.eventually("the address", func() (ok bool) {
						w.on(func() { ok = w.s.servers["s-0"].address == g.address })
						return ok
					})
				}
				w.on(func() { w.module.DecisionModule = eager{"s-0"} })
				c := w.dial()
				c.ask("PING")
				if g == nil { // a connection that has rested is there
					w.dial().ask("BLK.READ", piece, "warm", terms("read", 9000, 0))
					time.Sleep(2 * minConnRest)
				}
				w.on(func() { w.module.DecisionModule = &later{after: x.after} })
				op := command("BLK.READ", piece, "a", terms("read", 9000, 0))
				var behind []byte
				for _, b := range x.before {
					switch b {
					case "half":
						c.Write(op[:len(op)/2])
						op = op[len(op)/2:]
					case "QUIT":
						behind = append(behind, command("QUIT")...)
					case "breach":
						behind = append(behind, "no command\r\n"...)
					case "many":
						for i := range 2 * maxPending {
							behind = append(behind, command("PING", fmt.Sprint(i))...)
						}
					}
				}
				if !x.fresh {
					c.Write(append(op, behind...))
					w.eventually("the command", func() (ok bool) { w.on(func() { ok = w.s.tracker.Unanswered() == 1 }); return ok })
				}
				w.on(func() {
					if g != nil {
						g.open()
						g.pass()
					}
					if x.fresh {
						c.Write(op)
					}
					leave(c)
					time.Sleep(maxHoldUp)
				})
				w.eventually("the leave", func() (ok bool) { w.on(func() { ok = w.s.tracker.Unanswered() == 0 }); return ok })
				if g != nil {
					w.eventually("a connection", func() bool { _, n := w.waits(0); return n > 0 })
				}
				time.Sleep(2 * x.after)
				for _, id := range got(w.disks[0]) {
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
	w := start(t, 1, slowConnect)
	g, m := w.behind(0, "up")
	w.disco.Change(m)
	w.eventually("the address", func() (ok bool) {
		w.on(func() { ok = w.s.servers["s-0"].address == g.address })
		return ok
	})
	g.open()
	w.on(func() { w.module.DecisionModule = &giveUp{} })
	body := strings.Repeat("x", maxBody)
	for i, ms := range []int{9000, 300} {
		c := w.dial()
		c.send("BLK.WRITE", piece, fmt.Sprint("w", i), terms("write", ms, 0), body)
		w.eventually("all bytes to leave", func() (ok bool) {
			w.on(func() {
				for _, l := range w.s.servers["s-0"].conns {
					ok = ok || l.connected && len(l.inFlight) == 1 && l.conn.UnsentBytes() == 0 && l.conn.UnackedBytes() > 0
				}
			})
			return ok
		})
		if ms > 300 {
			c.Close()
		}
		w.eventually("the end", func() (ok bool) {
			w.on(func() { ok = w.s.tracker.Unanswered() == 0 && w.s.tracker.Outstanding() == 0 })
			return ok
		})
	}
	g.pass()
	time.Sleep(100 * time.Millisecond)
	if ids := got(w.disks[0]); len(ids) > 0 {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// giveUp is a module that cancels what its client no longer waits for.
type giveUp struct{}

func (giveUp) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	if e, ok := e.(honeyplank.ClientGone); ok {
		return []honeyplank.Action{honeyplank.Cancel{Op: e.Op}}
	}
	return eager{"s-0"}.Handle(now, e)
}

// TestCrossesTheEnd: whatever ends a client's connection, a request that crosses the end is not read, so that its client may
// send it again, and what was answered before comes whole.
func TestCrossesTheEnd(t *testing.T) {
	value := string(standin.Value(piece, "a"))
	for name, x := range map[string]struct {
		behind string                // sent behind an op whose answer is delayed
		end    func(*world, *client) // on the loop
		want   []string
	}{
		"quit":   {behind: string(command("QUIT")), want: []string{value, "OK"}},
		"breach": {behind: "no command\r\n", want: []string{value, `-ERR Protocol error: expected '*', got 'n'`}},
		"idle": {want: []string{value}, end: func(w *world, c *client) {
			c.lastActivity -= 2 * maxIdle
			w.s.checkClients()
		}},
		"rests in a crowd": {want: []string{value}, end: func(w *world, c *client) {
			c.lastActivity -= 2 * maxIdle
			w.s.evictIdleClient()
		}},
		"no more ops": {want: []string{value}, end: func(w *world, c *client) { c.closeWhenAnswered() }},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1)
			w.on(func() { w.module.DecisionModule = eager{"s-0"} })
			w.disks[0].Apply(standin.Faults{Delay: 50 * time.Millisecond})
			c := w.dial()
			c.Write(append(command("BLK.READ", piece, "a", terms("read", 9000, 0)), x.behind...))
			if x.end != nil {
				if got := c.answer(3 * time.Second); got != value {
					t.Fatalf("%q", got)
				}
				x.want = nil
			} else {
				w.eventually("the end", func() (ok bool) {
					w.on(func() {
						for x := range w.s.clients {
							ok = x.closing
						}
					})
					return ok
				})
			}
			var before, after int64
			w.on(func() {
				for one := range w.s.clients {
					if x.end != nil {
						x.end(w, one)
					}
				}
				before = w.s.loop.Stats.BytesIn.Load()
			})
			late := command("BLK.READ", piece, "late", terms("read", 9000, 0))
			c.Write(late)
			for _, want := range x.want {
				if got := c.answer(3 * time.Second); got != want {
					t.Errorf("%q, expected %q", got, want)
				}
			}
			if x.want != nil {
				if got := c.answer(3 * time.Second); got != "closed" {
					t.Errorf("%q, expected an end", got)
				}
			}
			w.on(func() { after = w.s.loop.Stats.BytesIn.Load() })
			answer := len(value) + 32 // of the disk server, at most
			if n := int(after - before); n > answer || x.end != nil && n > 0 {
				t.Errorf("%d bytes have been read", n)
			}
			if ids := got(w.disks[0]); fmt.Sprint(ids) != "[a]" {
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
			w, g := atGate(t, 5*time.Second, grace)
			c := w.dial()
			c.send("BLK.READ", piece, "a", terms("read", 9000, 0))
			w.eventually("the wait for a connection", func() bool { n, _ := w.waits(0); return n == 1 })
			waits := make(chan int, 1)
			w.on(func() {
				w.module.heard = func(e honeyplank.Event) {
					if l, ok := e.(honeyplank.List); ok && len(l.Members) > 0 {
						w.s.loop.Schedule(w.s.loop.Now()+max(grace-maxHoldUp, 0), func() { waits <- len(w.s.servers["s-0"].waiting) })
					}
				}
			})
			m := w.member(0, "draining")
			m.Address = g.address
			w.disco.Change(m)
			if n := <-waits; n > 0 {
				t.Errorf("%d still wait", n)
			}
			if got := c.answer(time.Second); got != "-ERR failed" {
				t.Errorf("%q", got)
			}
		})
	}
}
