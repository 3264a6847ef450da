package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
	standin "honeyplank/fake/resp"
)

// told is the time that a command tells its disk server.
func told(c standin.Command) (d time.Duration) {
	var ms int64
	fmt.Sscanf(c.Terms[strings.Index(c.Terms, ",d="):], ",d=%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

// TestToldLate: what waits behind a server that does not read tells the time that is left when it goes, and one of which a
// part had left by then never arrives whole.
func TestToldLate(t *testing.T) {
	const n, waits = 100, 400 * time.Millisecond
	w := start(t, 1, slowConnect, func(m map[string]any) {
		m["settings"].(map[string]any)["caps"].(map[string]any)["streams_per_conn"] = n
	})
	g, m := w.behind(0, "up")
	w.disco.Change(m)
	w.eventually("the address", func() (ok bool) {
		w.on(func() { ok = w.s.servers["s-0"].address == g.address })
		return ok
	})
	g.open()
	w.on(func() {
		w.module.DecisionModule = eager{"s-0"}
		w.s.config.Sockets = 1024
		w.s.serverConnCount = w.s.descriptorQuota(serverDescriptorShare) - 1 // descriptors for one connection are left
	})
	stuck := map[string]bool{} // those that have stood with a part sent
	w.on(func() {
		var was uint64
		var since time.Duration
		var look func()
		look = func() {
			now := w.s.loop.Now()
			for _, l := range w.s.servers["s-0"].conns {
				gone := l.appendedBytes - uint64(l.conn.UnsentBytes())
				if gone != was {
					was, since = gone, now
				}
				for _, e := range l.inFlight {
					if e.firstByte < gone && e.endByte > gone && now-since > maxPartialAge/2 {
						stuck[string(e.dispatch.Op())] = true
					}
				}
			}
			w.s.loop.Schedule(now+time.Millisecond, look)
		}
		look()
	})
	body := strings.Repeat("x", maxBody)
	sent := map[string]time.Time{}
	var c *caller
	for i := range n {
		if i%(maxPending-1) == 0 {
			c = w.dial()
		}
		id := fmt.Sprint("w", i)
		sent[id] = time.Now()
		c.send("BLK.WRITE", piece, id, terms("write", 9000, 0), body)
	}
	w.eventually("the commands", func() (ok bool) { w.on(func() { ok = w.s.tracker.Counts.Admitted == n }); return ok })
	time.Sleep(waits)
	unsent := map[string]bool{}
	w.on(func() {
		for _, l := range w.s.servers["s-0"].conns {
			for _, e := range l.inFlight {
				unsent[string(e.dispatch.Op())] = e.firstByte >= l.appendedBytes-uint64(l.conn.UnsentBytes())
			}
		}
		g.pass()
	})
	if len(stuck) == 0 {
		t.Fatal("none has left in part")
	}
	w.eventually("the end", func() (ok bool) { w.on(func() { ok = w.s.tracker.Unanswered() == 0 }); return ok })
	for _, c := range w.disks[0].Got() {
		if stuck[c.ID] {
			t.Errorf("%s, of which a part had left, has arrived", c.ID)
		}
		if left := 9*time.Second - c.At.Sub(sent[c.ID]); unsent[c.ID] && told(c) > left+150*time.Millisecond {
			t.Errorf("%s tells %v, %v are left", c.ID, told(c), left)
		}
	}
}

// TestReadLate: the time of a command that waited to be read, for a loop that was held up or behind others on its
// connection, counts from when it may have come; that of one that comes later on the same connection does not.
func TestReadLate(t *testing.T) {
	const held, left = 120 * time.Millisecond, 2 * time.Second
	for name, x := range map[string]struct {
		first int                  // commands before it on its connection
		delay time.Duration        // of their answers
		send  func(*world, func()) // sends it
		late  time.Duration        // how late it is read
	}{
		"at once": {send: func(_ *world, send func()) { send() }},
		"held up": {late: held, send: func(w *world, send func()) {
			w.on(func() { send(); time.Sleep(held) })
		}},
		"behind others": {first: maxPending, delay: held, late: held, send: func(_ *world, send func()) { send() }},
		"long after others": {first: maxPending, delay: held, send: func(w *world, send func()) {
			w.eventually("their answers", func() (ok bool) { w.on(func() { ok = w.s.tracker.Unanswered() == 0 }); return ok })
			time.Sleep(2 * held)
			send()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1)
			var ops []honeyplank.Op
			var at []time.Duration
			w.on(func() {
				w.module.DecisionModule = eager{"s-0"}
				w.module.heard = func(e honeyplank.Event) {
					if o, ok := e.(honeyplank.Op); ok {
						ops, at = append(ops, o), append(at, w.s.loop.Now())
					}
				}
			})
			w.disks[0].Apply(standin.Faults{Delay: x.delay})
			c := w.dial()
			c.ask("PING")
			for i := range x.first {
				c.send("BLK.READ", piece, fmt.Sprint("a", i), terms("read", 9000, 0))
			}
			if x.first > 0 {
				w.eventually("the others", func() (ok bool) { w.on(func() { ok = len(ops) == x.first }); return ok })
			}
			x.send(w, func() { c.send("BLK.READ", piece, "late", terms("read", int(left.Milliseconds()), 0)) })
			w.eventually("it", func() (ok bool) { w.on(func() { ok = len(ops) == x.first+1 }); return ok })
			w.on(func() {
				last := len(ops) - 1
				if got := ops[last].Timeout - at[last]; got > left-x.late*3/4 || x.late == 0 && got < left-held/2 {
					t.Errorf("%v are left of %v", got, left)
				}
			})
		})
	}
}

// TestTimeOverHeldUp: an op whose time is over when a hold-up ends is answered and not sent, where its connection has come
// up meanwhile or a connection is there for its retry.
func TestTimeOverHeldUp(t *testing.T) {
	for _, waits := range []string{"for a connection", "for a timer"} {
		t.Run(waits, func(t *testing.T) {
			w, g := atGate(t, 5*time.Second, time.Second)
			if waits == "for a timer" {
				g.open()
				g.pass()
				w.dial().ask("BLK.READ", piece, "warm", terms("read", 9000, 0))
				time.Sleep(2 * minConnRest)
				w.on(func() { w.module.DecisionModule = &later{after: 40 * time.Millisecond} })
			}
			c := w.dial()
			c.send("BLK.READ", piece, "a", terms("read", 60, 0))
			w.eventually("the command", func() (ok bool) {
				w.on(func() { ok = w.s.tracker.Unanswered() > 0 || w.s.tracker.Counts.Failed > 0 })
				return ok
			})
			w.on(func() {
				g.open()
				g.pass()
				time.Sleep(maxHoldUp)
			})
			if got := c.answer(time.Second); got != "-ERR failed" {
				t.Errorf("%q", got)
			}
			time.Sleep(50 * time.Millisecond)
			for _, id := range got(w.disks[0]) {
				if id != "warm" {
					t.Errorf("%s has reached the disk server", id)
				}
			}
		})
	}
}
