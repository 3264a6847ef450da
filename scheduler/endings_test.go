package scheduler

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"honeyplank"
	standin "honeyplank/fake/resp"
	"honeyplank/resp"
)

// The tests of this file force the crossing of something that ends with something that is still owed.

// slowConnect has connections a long time to come up.
func slowConnect(m map[string]any) {
	m["settings"].(map[string]any)["caps"].(map[string]any)["connect_timeout_ms"] = 5000
}

// waits is how many dispatches wait for a connection to the server of a cell, ready how many connections are up.
func (w *world) waits(n int) (waits, ready int) {
	w.on(func() {
		sv := w.s.servers[honeyplank.ServerID(fmt.Sprintf("s-%d", n))]
		if sv == nil {
			return
		}
		waits = len(sv.waiting)
		for _, l := range sv.conns {
			if l.connected {
				ready++
			}
		}
	})
	return waits, ready
}

func got(d *standin.Disk) (ids []string) {
	for _, c := range d.Got() {
		ids = append(ids, c.ID)
	}
	return ids
}

// TestLeavesWhileConnecting: an op whose client leaves while its connection comes up is not sent once it is up.
func TestLeavesWhileConnecting(t *testing.T) {
	w := start(t, 1, slowConnect)
	g, m := w.behind(0, "up")
	w.disco.Change(m)
	w.eventually("the address", func() (ok bool) {
		w.on(func() { ok = w.s.servers["s-0"].address == g.address })
		return ok
	})
	leaves, stays := w.dial(), w.dial()
	leaves.send("BLK.READ", piece, "leaves", terms("read", 4000, 0))
	w.eventually("the wait for a connection", func() bool { n, _ := w.waits(0); return n == 1 })
	leaves.Close()
	w.eventually("the leave", func() (ok bool) { w.on(func() { ok = w.s.tracker.Counts.ClientsGone == 1 }); return ok })
	g.open()
	g.pass()
	w.eventually("a connection", func() bool { _, n := w.waits(0); return n > 0 })
	if got := stays.ask("BLK.READ", piece, "stays", terms("read", 4000, 0)); got != string(standin.Value(piece, "stays")) {
		t.Errorf("%q", got)
	}
	if ids := got(w.disks[0]); fmt.Sprint(ids) != "[stays]" {
		t.Errorf("%v have reached the disk server", ids)
	}
	w.on(func() {
		if n := w.s.tracker.Outstanding(); n != 0 {
			t.Errorf("%d dispatches are out", n)
		}
	})
}

// TestLeavesBehindOthers: on a connection that several share, and whose other end does not read, an op whose client
// leaves never arrives, whether nothing or a part of it has left; those before and behind it are served.
func TestLeavesBehindOthers(t *testing.T) {
	const n = 100                                       // more bytes than the system takes for one connection
	for _, leaver := range []int{n - 1, n / 2, 0, -1} { // -1: the one of which a part has left
		t.Run(fmt.Sprint(leaver), func(t *testing.T) {
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
			var link *serverConn
			w.on(func() {
				w.module.DecisionModule = eager{"s-0"}
				w.s.config.Sockets = 1024
				w.s.serverConnCount = w.s.descriptorQuota(serverDescriptorShare) - 1 // descriptors for one connection are left
			})
			body := strings.Repeat("x", maxBody)
			callers := make([]*caller, n)
			for i := range callers {
				callers[i] = w.dial()
				callers[i].send("BLK.WRITE", piece, fmt.Sprint("w", i), terms("write", 9000, 0), body)
				w.eventually("the command", func() (ok bool) {
					w.on(func() {
						if sv := w.s.servers["s-0"]; len(sv.conns) == 1 && sv.conns[0].connected && len(sv.conns[0].inFlight) == i+1 {
							link, ok = sv.conns[0], true
							link.conn.BeforeWrite = nil // the one of which a part has left is not taken back for its age
						}
					})
					return ok
				})
			}
			written := 0
			w.on(func() {
				for i, e := range link.inFlight {
					if e.fullyWritten() {
						written++
					}
					if gone := link.appendedBytes - uint64(link.conn.UnsentBytes()); leaver < 0 && e.firstByte < gone && gone < e.endByte {
						leaver = i
					}
				}
			})
			if leaver < 0 || written == 0 || written > n-2 {
				t.Fatalf("%d of %d have left whole, %d in part", written, n, leaver)
			}
			w.on(func() { w.s.serverConnCount = 1 })
			callers[leaver].Close()
			w.eventually("the leave", func() (ok bool) { w.on(func() { ok = w.s.tracker.Counts.ClientsGone == 1 }); return ok })
			g.pass()
			served := 0
			for i, c := range callers {
				if i == leaver {
					continue
				}
				if got := c.answer(3 * time.Second); got == string(standin.Value(piece, fmt.Sprint("w", i))) {
					served++
				} else {
					t.Errorf("w%d: %q", i, got)
				}
			}
			for _, id := range got(w.disks[0]) {
				if id == fmt.Sprint("w", leaver) && leaver >= written {
					t.Error("the op whose client had left has arrived")
				}
			}
		})
	}
}

// TestQuitBehindOthers: what was asked before QUIT is answered before it, then the connection ends; what comes behind
// it is not taken.
func TestQuitBehindOthers(t *testing.T) {
	w := start(t, 1)
	w.disks[0].Apply(standin.Faults{Delay: 50 * time.Millisecond})
	c := w.dial()
	var all []byte
	for _, args := range [][]string{{"BLK.READ", piece, "a", terms("read", 390, 0)}, {"QUIT"}, {"BLK.READ", piece, "b", terms("read", 390, 0)}} {
		all = append(all, command(args...)...)
	}
	c.Write(all)
	for _, want := range []string{string(standin.Value(piece, "a")), "OK", "closed"} {
		if got := c.answer(time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
	if ids := got(w.disks[0]); fmt.Sprint(ids) != "[a]" {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// TestLeavesWhilePaused: a client that has asked more than is read at a time, and leaves, is seen to leave: what waits
// for it is not sent on.
func TestLeavesWhilePaused(t *testing.T) {
	w := start(t, 1)
	w.disks[0].Apply(standin.Faults{Silent: true})
	c := w.dial()
	var all []byte
	for i := range 2 * maxPending {
		all = append(all, command("BLK.READ", piece, fmt.Sprint("a", i), terms("read", 390000, 0))...)
	}
	c.Write(all)
	w.eventually("the pause", func() (ok bool) {
		w.on(func() {
			for x := range w.s.clients {
				ok = x.paused && x.conn.BufferedBytes() > 0
			}
		})
		return ok
	})
	sent := 0
	w.eventually("what may leave", func() bool {
		w.on(func() { sent = w.s.tracker.Counts.Dispatches })
		return sent > 0 && len(w.disks[0].Got()) == sent
	})
	c.Close()
	w.eventually("the leave", func() (ok bool) {
		w.on(func() { ok = len(w.s.clients) == 0 && w.s.tracker.Unanswered() == 0 })
		return ok
	})
	if n := len(w.disks[0].Got()); n != sent {
		t.Errorf("%d have reached the disk server, %d before the leave", n, sent)
	}
}

// TestUnreadAnswers: a client that asks for all it may and reads nothing meanwhile gets every answer, whole and in
// order, once it reads; while it does not, no more is taken from it than stands in the bounds.
func TestUnreadAnswers(t *testing.T) {
	w := start(t, 1)
	w.on(func() { w.module.DecisionModule = eager{"s-0"} })
	large := strings.Repeat("v", maxBody-8)
	w.disks[0].Apply(standin.Faults{Large: large})
	c := w.dial()
	const n = 4 * maxPending // of 64 KB each: more than the system holds on its way
	go func() {
		for i := range n {
			c.Write(command("BLK.READ", piece, fmt.Sprint("a", i), terms("read", 9000, 0)))
		}
	}()
	w.eventually("a full connection", func() (ok bool) {
		w.on(func() {
			for x := range w.s.clients {
				ok = x.conn.UnsentBytes() > 0 && len(x.pending) == 0 && x.paused
				if x.owedBytes() > maxOwedBytes+2*maxBody {
					t.Errorf("%d bytes are owed", x.owedBytes())
				}
			}
		})
		return ok
	})
	for i := range n {
		if got := c.answer(3 * time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
}

// TestEvictsOverUnread: a connection on which a request has come that is not read yet does not give way to another,
// nor is it closed as idle.
func TestEvictsOverUnread(t *testing.T) {
	w := start(t, 1)
	c, other := w.dial(), w.dial()
	for i, x := range []*caller{c, other} {
		id := fmt.Sprint("first", i)
		if got := x.ask("BLK.READ", piece, id, terms("read", 390, 0)); got != string(standin.Value(piece, id)) {
			t.Fatal(got)
		}
	}
	w.on(func() { // the loop reads nothing before this ends
		for x := range w.s.clients {
			x.lastActivity = w.s.loop.Now() - 2*maxIdle
		}
		c.send("BLK.READ", piece, "second", terms("read", 390, 0))
		for !w.arrived() {
		}
		w.s.checkClients()
		for w.s.evictIdleClient() {
		}
	})
	if got := c.answer(time.Second); got != string(standin.Value(piece, "second")) {
		t.Errorf("%q", got)
	}
	if got := other.answer(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestIdleOverHalf: a client of old that writes its next command slowly is not closed as idle in the middle of it.
func TestIdleOverHalf(t *testing.T) {
	w := start(t, 1)
	c := w.dial()
	c.ask("BLK.READ", piece, "first", terms("read", 390, 0))
	text := command("BLK.READ", piece, "second", terms("read", 390, 0))
	c.Write(text[:20])
	w.eventually("a half command", func() (ok bool) {
		w.on(func() {
			for x := range w.s.clients {
				ok = x.commandStarted > 0
				x.lastActivity = w.s.loop.Now() - maxIdle + time.Second // idle for longer than a crowd lets one be
			}
			if ok {
				w.s.activeClients += w.s.config.Sockets
				w.s.checkClients()
				for w.s.evictIdleClient() {
				}
				w.s.activeClients -= w.s.config.Sockets
			}
		})
		return ok
	})
	c.Write(text[20:])
	if got := c.answer(time.Second); got != string(standin.Value(piece, "second")) {
		t.Errorf("%q", got)
	}
}

// atGate starts a scheduler whose first disk server stands behind a shut gate, with its own module taken out.
func atGate(t *testing.T, connect, grace time.Duration) (*world, *gate) {
	w := start(t, 1, func(m map[string]any) {
		site := m["settings"].(map[string]any)
		site["caps"].(map[string]any)["connect_timeout_ms"] = connect.Milliseconds()
		site["rules"].(map[string]any)["stop_sending_within_ms"] = grace.Milliseconds()
	})
	g, m := w.behind(0, "up")
	w.on(func() {
		w.module.DecisionModule = eager{"s-0"}
		w.s.applyMember(listMember{ID: m.ID, Address: m.Address, Phase: "up"})
	})
	return w, g
}

// TestWaitersOfOneDial: where no descriptor is left several wait for one connection; if that does not come up, all of
// them are told so then, not at their op timeouts.
func TestWaitersOfOneDial(t *testing.T) {
	w, _ := atGate(t, 300*time.Millisecond, time.Second)
	w.on(func() { w.s.serverConnCount = w.s.descriptorQuota(serverDescriptorShare) - 1 })
	var callers []*caller
	begun := time.Now()
	for i := range 3 {
		c := w.dial()
		c.send("BLK.READ", piece, fmt.Sprint("a", i), terms("read", 9000, 0))
		callers = append(callers, c)
	}
	for i, c := range callers {
		if got := c.answer(3 * time.Second); got != "-ERR failed" || time.Since(begun) > time.Second {
			t.Errorf("op %d: %q after %v", i, got, time.Since(begun))
		}
	}
}

// TestDrainsWhileConnecting: what waits for a connection to a server that drains still goes within the grace, and never
// past it; to one that is gone nothing goes.
func TestDrainsWhileConnecting(t *testing.T) {
	for name, x := range map[string]struct {
		phase  string
		grace  time.Duration // the system tries a connection again after a second
		within bool
		want   string
	}{
		"within":  {"draining", 2500 * time.Millisecond, true, string(standin.Value(piece, "a"))},
		"past":    {"draining", 400 * time.Millisecond, false, "-ERR failed"},
		"removed": {"removed", 400 * time.Millisecond, false, "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			w, g := atGate(t, 5*time.Second, x.grace)
			c := w.dial()
			c.send("BLK.READ", piece, "a", terms("read", 9000, 0))
			w.eventually("the wait for a connection", func() bool { n, _ := w.waits(0); return n == 1 })
			begun := time.Now()
			m := w.member(0, x.phase)
			m.Address = g.address
			w.disco.Change(m)
			if x.within {
				w.eventually("the drain", func() (ok bool) { w.on(func() { ok = w.s.servers["s-0"].draining }); return ok })
				g.open()
				g.pass()
			}
			if got := c.answer(3 * time.Second); got != x.want || !x.within && time.Since(begun) > x.grace+100*time.Millisecond {
				t.Errorf("%q after %v", got, time.Since(begun))
			}
			g.open()
			g.pass()
			if x.phase == "draining" { // a connection that comes up now carries nothing
				w.eventually("a connection", func() bool { _, n := w.waits(0); return n > 0 })
			}
			all := w.disks[0].Got()
			if len(all) > 0 && !x.within {
				t.Errorf("%d have reached the disk server", len(all))
			}
			for _, g := range all { // what is told of the time left is what is left when it goes, not when it was meant to
				var d int64
				fmt.Sscanf(g.Terms, "c=read,t=gold,d=%d", &d)
				if left := 9000 - g.At.Sub(begun).Milliseconds(); d > left+50 || d < left-500 {
					t.Errorf("%d ms are told, %d are left", d, left)
				}
			}
		})
	}
}

// TestMovesWhileConnecting: what waits for a connection to a server whose address changes goes to the new one.
func TestMovesWhileConnecting(t *testing.T) {
	w, _ := atGate(t, 5*time.Second, time.Second)
	c := w.dial()
	c.send("BLK.READ", piece, "a", terms("read", 9000, 0))
	w.eventually("the wait for a connection", func() bool { n, _ := w.waits(0); return n == 1 })
	w.disco.Change(w.member(0, "up"))
	if got := c.answer(time.Second); got != string(standin.Value(piece, "a")) {
		t.Errorf("%q", got)
	}
}

// TestTakesWhatComesFree: an op that waits for a connection which does not come up takes one that comes free meanwhile.
func TestTakesWhatComesFree(t *testing.T) {
	w := start(t, 1, slowConnect)
	g := shut(t, w.disks[0].Address())
	w.on(func() { w.module.DecisionModule = eager{"s-0"} })
	w.disks[0].Apply(standin.Faults{Delay: 100 * time.Millisecond})
	one, other := w.dial(), w.dial()
	one.send("BLK.READ", piece, "a", terms("read", 9000, 0))
	w.eventually("the command", func() bool { return len(w.disks[0].Got()) == 1 })
	w.on(func() { w.s.servers["s-0"].address = g.address })
	other.send("BLK.READ", piece, "b", terms("read", 9000, 0))
	w.eventually("the wait for a connection", func() bool { n, _ := w.waits(0); return n == 1 })
	for id, c := range map[string]*caller{"a": one, "b": other} {
		if got := c.answer(time.Second); got != string(standin.Value(piece, id)) {
			t.Errorf("%s: %q", id, got)
		}
	}
}

// TestRestsWithoutRoom: also where no descriptor is left for another connection, one that has just brought an answer
// rests before it carries the next op: a second answer, a moment late, is nobody's.
func TestRestsWithoutRoom(t *testing.T) {
	w := start(t, 1)
	w.on(func() { w.module.DecisionModule = eager{"s-0"} })
	second := string(resp.AppendBulk(resp.AppendArray(nil, 1), []byte("not yours")))
	w.disks[0].Apply(standin.Faults{Late: second})
	c := w.dial()
	w.on(func() { w.s.serverConnCount = w.s.descriptorQuota(serverDescriptorShare) - 1 })
	for i := range 30 {
		id := fmt.Sprint("a", i)
		if got := c.ask("BLK.READ", piece, id, terms("read", 390, 0)); got != string(standin.Value(piece, id)) {
			t.Fatalf("op %d: %q", i, got)
		}
	}
	w.disks[0].Apply(standin.Faults{})
	for i := range 30 {
		id := fmt.Sprint("b", i)
		if got := c.ask("BLK.READ", piece, id, terms("read", 390, 0)); got != string(standin.Value(piece, id)) {
			t.Fatalf("op %d: %q", i, got)
		}
	}
	if _, ever := w.disks[0].Connections(); ever > 32 {
		t.Errorf("%d connections", ever)
	}
}

// TestLastAnswers: with a server that hangs, what is owed when the time has come is answered, and the connection ends
// in order although its client goes on sending.
func TestLastAnswers(t *testing.T) {
	w := start(t, 1)
	w.on(func() { w.module.DecisionModule = eager{"s-0"} })
	w.disks[0].Apply(standin.Faults{Silent: true})
	c, rests := w.dial(), w.dial()
	rests.ask("PING")
	w.s.Shutdown()
	w.s.Shutdown() // a second time changes nothing
	c.send("BLK.READ", piece, "a", terms("read", 9000, 0))
	w.eventually("the last part", func() (ok bool) { w.on(func() { ok = w.s.intakeClosed }); return ok })
	for i := range 3 * maxPending { // more than is read at a time, none of which is taken any more
		c.send("BLK.READ", piece, fmt.Sprint("b", i), terms("read", 9000, 0))
	}
	var last int64 // bytes read before the end of the loop
	w.on(func() {
		var look func()
		look = func() {
			atomic.StoreInt64(&last, w.s.loop.Stats.BytesIn.Load())
			w.s.loop.Schedule(w.s.loop.Now()+time.Millisecond, look)
		}
		look()
	})
	before := atomic.LoadInt64(&last)
	// The client reads only after the process has ended over what it sent on.
	select {
	case err := <-w.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("it does not end")
	}
	if got := c.answer(time.Second); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	for _, x := range []*caller{c, rests} {
		x.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := x.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection ends with %v", err)
		}
		x.Close()
	}
	if n := atomic.LoadInt64(&last) - before; n > 0 {
		t.Errorf("%d bytes have been read past the last op that is taken", n)
	}
	if ids := got(w.disks[0]); fmt.Sprint(ids) != "[a]" {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// TestComesAtTheEnd: a client whose connection has been accepted by the system in the moment in which nobody seemed left
// is served.
func TestComesAtTheEnd(t *testing.T) {
	w := start(t, 1)
	w.s.Shutdown()
	var c *caller
	w.on(func() { // in one round of the loop
		c = w.dial()
		c.send("BLK.READ", piece, "a", terms("read", 390, 0))
		w.s.graceElapsed = true
		w.s.stopIfIdle()
	})
	if got := c.answer(time.Second); got != string(standin.Value(piece, "a")) {
		t.Errorf("%q", got)
	}
}

// TestReloadShrinks: a configuration with fewer descriptors has idle connections closed, of clients and to disk servers,
// and leaves those that are owed something.
func TestReloadShrinks(t *testing.T) {
	w := start(t, 1)
	w.on(func() { w.module.DecisionModule = eager{"s-0"} })
	w.disks[0].Apply(standin.Faults{Delay: 100 * time.Millisecond})
	var callers []*caller
	for i := range 40 {
		c := w.dial()
		c.send("BLK.READ", piece, fmt.Sprint("a", i), terms("read", 9000, 0))
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.answer(time.Second)
	}
	w.disks[0].Apply(standin.Faults{Delay: time.Second})
	callers[7].send("BLK.READ", piece, "b", terms("read", 9000, 0))
	w.eventually("the command", func() bool { return len(w.disks[0].Got()) == 41 })
	w.conf["limits"].(map[string]any)["sockets"] = minSockets
	w.reload()
	w.eventually("the lower limit", func() (ok bool) {
		w.on(func() {
			ok = w.s.clientConnCount <= w.s.descriptorQuota(clientDescriptorShare) && w.s.serverConnCount <= w.s.descriptorQuota(serverDescriptorShare)
		})
		return ok
	})
	if got := callers[7].answer(2 * time.Second); got != string(standin.Value(piece, "b")) {
		t.Errorf("%q", got)
	}
}

// TestBreachBehindUnread: where something that can't be read comes behind answers that the client has not read yet, more
// than the system holds on their way, these arrive whole before the error.
func TestBreachBehindUnread(t *testing.T) {
	w := start(t, 1)
	c := w.dial(4096)
	c.ask("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	w.on(func() {
		for x := range w.s.clients {
			for range n {
				x.conn.Out = resp.AppendBulk(x.conn.Out, []byte(large))
			}
			x.protocolError(&resp.ProtocolError{Reason: "forced"})
			if x.conn.UnsentBytes() == 0 {
				t.Error("the system holds all of it")
			}
		}
	})
	for i := range n {
		if got := c.answer(time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
	for _, want := range []string{"-ERR Protocol error: forced", "closed"} {
		if got := c.answer(2 * time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
}

// TestUnreadCrowd: clients that never brought an op, ask for more than they read and go on sending hold no room: one gives
// way to another at once, and the rest are closed in time.
func TestUnreadCrowd(t *testing.T) {
	w := start(t, 1)
	large := strings.Repeat("v", maxBody)
	for i := range 2 {
		c := w.dial(4096)
		go func() {
			for {
				if _, err := c.Write(command("PING", large)); err != nil {
					return
				}
			}
		}()
		w.eventually("a connection of which no more is read", func() (ok bool) {
			n := 0
			w.on(func() {
				for x := range w.s.clients {
					if x.paused && x.conn.UnsentBytes() > 0 && !x.conn.NoInputPending() {
						n++
					}
				}
			})
			return n == i+1
		})
	}
	w.on(func() {
		for x := range w.s.clients {
			x.lastActivity = w.s.loop.Now() - commandTimeout - time.Millisecond
		}
		if !w.s.evictIdleClient() || len(w.s.clients) != 1 {
			t.Errorf("none gives way: %d are left", len(w.s.clients))
		}
		for x := range w.s.clients {
			x.lastActivity = w.s.loop.Now() - commandTimeout - time.Millisecond
		}
		w.s.checkClients()
		if len(w.s.clients) != 0 {
			t.Errorf("%d are left", len(w.s.clients))
		}
	})
}

// TestQuitBehindUnread: a client that quits and takes more than a second to begin reading gets all that was owed.
func TestQuitBehindUnread(t *testing.T) {
	w := start(t, 1)
	c := w.dial(4096)
	c.ask("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	closing := make(chan bool)
	w.on(func() {
		for x := range w.s.clients {
			for range n {
				x.conn.Out = resp.AppendBulk(x.conn.Out, []byte(large))
			}
			x.conn.CloseGracefully()
			if x.conn.UnsentBytes() == 0 {
				t.Error("the system holds all of it")
			}
		}
		w.s.loop.Schedule(w.s.loop.Now()+1200*time.Millisecond, func() { close(closing) })
	})
	<-closing
	for i := range n {
		if got := c.answer(time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
	if got := c.answer(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestReadyWithoutDiscovery: a scheduler that starts while discovery is down is ready at once and serves by the list as
// it last had it; idle clients that fill the descriptors meanwhile leave discovery, the disk servers and those who bring
// ops what they need.
func TestReadyWithoutDiscovery(t *testing.T) {
	d := tells(t)
	w := start(t, 2, d.discovery)
	c := w.dial()
	begun := time.Now()
	if got := c.ask("PING"); got != "PONG" || time.Since(begun) > 500*time.Millisecond {
		t.Errorf("%q after %v", got, time.Since(begun))
	}
	for range 400 {
		if x, err := net.Dial("tcp", w.s.Address()); err == nil {
			t.Cleanup(func() { x.Close() })
		}
	}
	if got := w.dial().ask("BLK.READ", piece, "a", terms("read", 390, 0)); got != string(standin.Value(piece, "a")) {
		t.Errorf("%q", got)
	}
	w.on(func() {
		if w.s.clientConnCount+w.s.serverConnCount+reservedDescriptors > w.s.config.Sockets {
			t.Errorf("%d and %d connections", w.s.clientConnCount, w.s.serverConnCount)
		}
	})
	d.call(t, time.Second) // was made before discovery came back, and is never answered
	answer := d.call(t, 3*time.Second)
	answer.head()
	answer.say(message(7, false, false, w.member(1, "removed")))
	w.eventually("the change", func() bool { return !w.knows("s-1") })
}

// TestHalfAnswer: an answer that is cut is none, and may have run; the next op goes on another connection.
func TestHalfAnswer(t *testing.T) {
	w := start(t, 1)
	var codes []honeyplank.Code
	w.on(func() {
		w.module.DecisionModule = eager{"s-0"}
		w.module.heard = func(e honeyplank.Event) {
			if o, ok := e.(honeyplank.Outcome); ok {
				codes = append(codes, o.Code)
			}
		}
	})
	w.disks[0].Apply(standin.Faults{Half: true})
	c := w.dial()
	if got := c.ask("BLK.READ", piece, "a", terms("read", 390, 0)); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	w.disks[0].Apply(standin.Faults{})
	if got := c.ask("BLK.READ", piece, "b", terms("read", 390, 0)); got != string(standin.Value(piece, "b")) {
		t.Errorf("%q", got)
	}
	w.on(func() {
		if fmt.Sprint(codes) != fmt.Sprint([]honeyplank.Code{honeyplank.Reset, honeyplank.Succeeded}) {
			t.Errorf("outcomes %v", codes)
		}
	})
}

// TestNoDescriptors: a client that comes while the process has no descriptor left is served once there is one.
func TestNoDescriptors(t *testing.T) {
	w := start(t, 1)
	w.eventually("the watch", func() bool { return w.disco.Watches() == 1 })
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 3})
	to := netip.MustParseAddrPort(w.s.Address())
	var taken []int
	w.on(func() { // the listener is looked at once this ends
		for {
			x, err := unix.Dup(fd)
			if err != nil {
				break
			}
			taken = append(taken, x)
		}
		err = unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
	})
	rounds := w.s.loop.Stats.EpollWaits.Load()
	w.eventually("another round", func() bool { return w.s.loop.Stats.EpollWaits.Load() > rounds+1 })
	w.on(func() {
		if len(w.s.clients) > 0 {
			t.Error("it has been accepted")
		}
		for _, x := range taken {
			unix.Close(x)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 16)
	unix.Write(fd, command("PING"))
	if n, err := unix.Read(fd, b); string(b[:max(n, 0)]) != "+PONG\r\n" {
		t.Errorf("%q, %v", b[:max(n, 0)], err)
	}
}
