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

// withSlowConnect has connections a long time to come up.
func withSlowConnect(m map[string]any) {
	m["settings"].(map[string]any)["caps"].(map[string]any)["connect_timeout_ms"] = 5000
}

// connCounts is how many dispatches wait for a connection to the server of a cell, ready how many connections are up.
func (bed *testbed) connCounts(n int) (waits, ready int) {
	bed.onLoop(func() {
		ds := bed.scheduler.servers[honeyplank.ServerID(fmt.Sprintf("s-%d", n))]
		if ds == nil {
			return
		}
		waits = len(ds.waiting)
		for _, sc := range ds.conns {
			if sc.connected {
				ready++
			}
		}
	})
	return waits, ready
}

func receivedIDs(d *standin.Disk) (ids []string) {
	for _, c := range d.Got() {
		ids = append(ids, c.ID)
	}
	return ids
}

// TestLeavesWhileConnecting: an op whose client leaves while its connection comes up is not sent once it is up.
func TestLeavesWhileConnecting(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	g, m := bed.gateServer(0, "up")
	bed.discovery.Change(m)
	bed.eventually("the address", func() (ok bool) {
		bed.onLoop(func() { ok = bed.scheduler.servers["s-0"].address == g.address })
		return ok
	})
	leaves, stays := bed.dialClient(), bed.dialClient()
	leaves.send("BLK.READ", objectKey, "leaves", opOptions("read", 4000, 0))
	bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
	leaves.Close()
	bed.eventually("the leave", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.tracker.Counts.ClientsGone == 1 }); return ok })
	g.acceptConns()
	g.forwardBytes()
	bed.eventually("a connection", func() bool { _, n := bed.connCounts(0); return n > 0 })
	if got := stays.do("BLK.READ", objectKey, "stays", opOptions("read", 4000, 0)); got != string(standin.Value(objectKey, "stays")) {
		t.Errorf("%q", got)
	}
	if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != "[stays]" {
		t.Errorf("%v have reached the disk server", ids)
	}
	bed.onLoop(func() {
		if n := bed.scheduler.tracker.Outstanding(); n != 0 {
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
			bed := newTestbed(t, 1, withSlowConnect, func(m map[string]any) {
				m["settings"].(map[string]any)["caps"].(map[string]any)["streams_per_conn"] = n
			})
			g, m := bed.gateServer(0, "up")
			bed.discovery.Change(m)
			bed.eventually("the address", func() (ok bool) {
				bed.onLoop(func() { ok = bed.scheduler.servers["s-0"].address == g.address })
				return ok
			})
			g.acceptConns()
			var link *serverConn
			bed.onLoop(func() {
				bed.module.DecisionModule = singleServerModule{"s-0"}
				bed.scheduler.config.Sockets = 1024
				bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1 // descriptors for one connection are left
			})
			body := strings.Repeat("x", maxBody)
			callers := make([]*testClient, n)
			for i := range callers {
				callers[i] = bed.dialClient()
				callers[i].send("BLK.WRITE", objectKey, fmt.Sprint("w", i), opOptions("write", 9000, 0), body)
				bed.eventually("the command", func() (ok bool) {
					bed.onLoop(func() {
						if ds := bed.scheduler.servers["s-0"]; len(ds.conns) == 1 && ds.conns[0].connected && len(ds.conns[0].inFlight) == i+1 {
							link, ok = ds.conns[0], true
							link.conn.BeforeWrite = nil // the one of which a part has left is not taken back for its age
						}
					})
					return ok
				})
			}
			written := 0
			bed.onLoop(func() {
				for i, a := range link.inFlight {
					if a.fullyWritten() {
						written++
					}
					if gone := link.writtenBytes(); leaver < 0 && a.firstByte < gone && gone < a.endByte {
						leaver = i
					}
				}
			})
			if leaver < 0 || written == 0 || written > n-2 {
				t.Fatalf("%d of %d have left whole, %d in part", written, n, leaver)
			}
			bed.onLoop(func() { bed.scheduler.serverConnCount = 1 })
			callers[leaver].Close()
			bed.eventually("the leave", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.tracker.Counts.ClientsGone == 1 }); return ok })
			g.forwardBytes()
			served := 0
			for i, c := range callers {
				if i == leaver {
					continue
				}
				if got := c.readReply(3 * time.Second); got == string(standin.Value(objectKey, fmt.Sprint("w", i))) {
					served++
				} else {
					t.Errorf("w%d: %q", i, got)
				}
			}
			for _, id := range receivedIDs(bed.disks[0]) {
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
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Delay: 50 * time.Millisecond})
	c := bed.dialClient()
	var all []byte
	for _, args := range [][]string{{"BLK.READ", objectKey, "a", opOptions("read", 390, 0)}, {"QUIT"}, {"BLK.READ", objectKey, "b", opOptions("read", 390, 0)}} {
		all = append(all, encodeCommand(args...)...)
	}
	c.Write(all)
	for _, want := range []string{string(standin.Value(objectKey, "a")), "OK", "closed"} {
		if got := c.readReply(time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
	if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != "[a]" {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// TestLeavesWhilePaused: a client that has asked more than is read at a time, and leaves, is seen to leave: what waits
// for it is not sent on.
func TestLeavesWhilePaused(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Silent: true})
	c := bed.dialClient()
	var all []byte
	for i := range 2 * maxPending {
		all = append(all, encodeCommand("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 390000, 0))...)
	}
	c.Write(all)
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
		return sent > 0 && len(bed.disks[0].Got()) == sent
	})
	c.Close()
	bed.eventually("the leave", func() (ok bool) {
		bed.onLoop(func() { ok = len(bed.scheduler.clients) == 0 && bed.scheduler.tracker.Unanswered() == 0 })
		return ok
	})
	if n := len(bed.disks[0].Got()); n != sent {
		t.Errorf("%d have reached the disk server, %d before the leave", n, sent)
	}
}

// TestUnreadAnswers: a client that asks for all it may and reads nothing meanwhile gets every answer, whole and in
// order, once it reads; while it does not, no more is taken from it than stands in the bounds.
func TestUnreadAnswers(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
	large := strings.Repeat("v", maxBody-8)
	bed.disks[0].Apply(standin.Faults{Large: large})
	c := bed.dialClient()
	const n = 4 * maxPending // of 64 KB each: more than the system holds on its way
	go func() {
		for i := range n {
			c.Write(encodeCommand("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 9000, 0)))
		}
	}()
	bed.eventually("a full connection", func() (ok bool) {
		bed.onLoop(func() {
			for x := range bed.scheduler.clients {
				ok = x.conn.UnsentBytes() > 0 && len(x.pending) == 0 && x.paused
				if x.replyBacklog() > maxReplyBacklog+2*maxBody {
					t.Errorf("%d bytes are owed", x.replyBacklog())
				}
			}
		})
		return ok
	})
	for i := range n {
		if got := c.readReply(3 * time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
}

// TestEvictsOverUnread: a connection on which a request has come that is not read yet does not give way to another,
// nor is it closed as idle.
func TestEvictsOverUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c, other := bed.dialClient(), bed.dialClient()
	for i, x := range []*testClient{c, other} {
		id := fmt.Sprint("first", i)
		if got := x.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
			t.Fatal(got)
		}
	}
	bed.onLoop(func() { // the loop reads nothing before this ends
		for x := range bed.scheduler.clients {
			x.lastActivity = bed.scheduler.loop.Now() - 2*maxIdle
		}
		c.send("BLK.READ", objectKey, "second", opOptions("read", 390, 0))
		for !bed.hasUnreadInput() {
		}
		bed.scheduler.checkClients()
		for bed.scheduler.evictIdleClient() {
		}
	})
	if got := c.readReply(time.Second); got != string(standin.Value(objectKey, "second")) {
		t.Errorf("%q", got)
	}
	if got := other.readReply(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestIdleOverHalf: a client of old that writes its next command slowly is not closed as idle in the middle of it.
func TestIdleOverHalf(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.do("BLK.READ", objectKey, "first", opOptions("read", 390, 0))
	text := encodeCommand("BLK.READ", objectKey, "second", opOptions("read", 390, 0))
	c.Write(text[:20])
	bed.eventually("a half command", func() (ok bool) {
		bed.onLoop(func() {
			for x := range bed.scheduler.clients {
				ok = x.commandStarted > 0
				x.lastActivity = bed.scheduler.loop.Now() - maxIdle + time.Second // idle for longer than a crowd lets one be
			}
			if ok {
				bed.scheduler.activeClients += bed.scheduler.config.Sockets
				bed.scheduler.checkClients()
				for bed.scheduler.evictIdleClient() {
				}
				bed.scheduler.activeClients -= bed.scheduler.config.Sockets
			}
		})
		return ok
	})
	c.Write(text[20:])
	if got := c.readReply(time.Second); got != string(standin.Value(objectKey, "second")) {
		t.Errorf("%q", got)
	}
}

// newGatedTestbed starts a scheduler whose first disk server stands behind a shut gate, with its own module taken out.
func newGatedTestbed(t *testing.T, connect, grace time.Duration) (*testbed, *connGate) {
	bed := newTestbed(t, 1, func(m map[string]any) {
		site := m["settings"].(map[string]any)
		site["caps"].(map[string]any)["connect_timeout_ms"] = connect.Milliseconds()
		site["rules"].(map[string]any)["stop_sending_within_ms"] = grace.Milliseconds()
	})
	g, m := bed.gateServer(0, "up")
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.applyMember(listMember{ID: m.ID, Address: m.Address, Phase: "up"})
	})
	return bed, g
}

// TestWaitersOfOneDial: where no descriptor is left several wait for one connection; if that does not come up, all of
// them are told so then, not at their op timeouts.
func TestWaitersOfOneDial(t *testing.T) {
	bed, _ := newGatedTestbed(t, 300*time.Millisecond, time.Second)
	bed.onLoop(func() { bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1 })
	var callers []*testClient
	begun := time.Now()
	for i := range 3 {
		c := bed.dialClient()
		c.send("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 9000, 0))
		callers = append(callers, c)
	}
	for i, c := range callers {
		if got := c.readReply(3 * time.Second); got != "-ERR failed" || time.Since(begun) > time.Second {
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
		"within":  {"draining", 2500 * time.Millisecond, true, string(standin.Value(objectKey, "a"))},
		"past":    {"draining", 400 * time.Millisecond, false, "-ERR failed"},
		"removed": {"removed", 400 * time.Millisecond, false, "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			bed, g := newGatedTestbed(t, 5*time.Second, x.grace)
			c := bed.dialClient()
			c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
			bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
			begun := time.Now()
			m := bed.member(0, x.phase)
			m.Address = g.address
			bed.discovery.Change(m)
			if x.within {
				bed.eventually("the drain", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.servers["s-0"].draining }); return ok })
				g.acceptConns()
				g.forwardBytes()
			}
			if got := c.readReply(3 * time.Second); got != x.want || !x.within && time.Since(begun) > x.grace+100*time.Millisecond {
				t.Errorf("%q after %v", got, time.Since(begun))
			}
			g.acceptConns()
			g.forwardBytes()
			if x.phase == "draining" { // a connection that comes up now carries nothing
				bed.eventually("a connection", func() bool { _, n := bed.connCounts(0); return n > 0 })
			}
			all := bed.disks[0].Got()
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
	bed, _ := newGatedTestbed(t, 5*time.Second, time.Second)
	c := bed.dialClient()
	c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
	bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
	bed.discovery.Change(bed.member(0, "up"))
	if got := c.readReply(time.Second); got != string(standin.Value(objectKey, "a")) {
		t.Errorf("%q", got)
	}
}

// TestTakesWhatComesFree: an op that waits for a connection which does not come up takes one that comes free meanwhile.
func TestTakesWhatComesFree(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	g := newConnGate(t, bed.disks[0].Address())
	bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
	bed.disks[0].Apply(standin.Faults{Delay: 100 * time.Millisecond})
	one, other := bed.dialClient(), bed.dialClient()
	one.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
	bed.eventually("the command", func() bool { return len(bed.disks[0].Got()) == 1 })
	bed.onLoop(func() { bed.scheduler.servers["s-0"].address = g.address })
	other.send("BLK.READ", objectKey, "b", opOptions("read", 9000, 0))
	bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
	for id, c := range map[string]*testClient{"a": one, "b": other} {
		if got := c.readReply(time.Second); got != string(standin.Value(objectKey, id)) {
			t.Errorf("%s: %q", id, got)
		}
	}
}

// TestRestsWithoutRoom: also where no descriptor is left for another connection, one that has just brought an answer
// rests before it carries the next op: a second answer, a moment late, is nobody's.
func TestRestsWithoutRoom(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
	second := string(resp.AppendBulk(resp.AppendArray(nil, 1), []byte("not yours")))
	bed.disks[0].Apply(standin.Faults{Late: second})
	c := bed.dialClient()
	bed.onLoop(func() { bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1 })
	for i := range 30 {
		id := fmt.Sprint("a", i)
		if got := c.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
			t.Fatalf("op %d: %q", i, got)
		}
	}
	bed.disks[0].Apply(standin.Faults{})
	for i := range 30 {
		id := fmt.Sprint("b", i)
		if got := c.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
			t.Fatalf("op %d: %q", i, got)
		}
	}
	if _, ever := bed.disks[0].Connections(); ever > 32 {
		t.Errorf("%d connections", ever)
	}
}

// TestLastAnswers: with a server that hangs, what is owed when the time has come is answered, and the connection ends
// in order although its client goes on sending.
func TestLastAnswers(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
	bed.disks[0].Apply(standin.Faults{Silent: true})
	c, rests := bed.dialClient(), bed.dialClient()
	rests.do("PING")
	bed.scheduler.Shutdown()
	bed.scheduler.Shutdown() // a second time changes nothing
	c.send("BLK.READ", objectKey, "a", opOptions("read", 9000, 0))
	bed.eventually("the last part", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.intakeClosed }); return ok })
	for i := range 3 * maxPending { // more than is read at a time, none of which is taken any more
		c.send("BLK.READ", objectKey, fmt.Sprint("b", i), opOptions("read", 9000, 0))
	}
	var last int64 // bytes read before the end of the loop
	bed.onLoop(func() {
		var look func()
		look = func() {
			atomic.StoreInt64(&last, bed.scheduler.loop.Stats.BytesIn.Load())
			bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+time.Millisecond, look)
		}
		look()
	})
	before := atomic.LoadInt64(&last)
	// The client reads only after the process has ended over what it sent on.
	select {
	case err := <-bed.served:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("it does not end")
	}
	if got := c.readReply(time.Second); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	for _, x := range []*testClient{c, rests} {
		x.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := x.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection ends with %v", err)
		}
		x.Close()
	}
	if n := atomic.LoadInt64(&last) - before; n > 0 {
		t.Errorf("%d bytes have been read past the last op that is taken", n)
	}
	if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != "[a]" {
		t.Errorf("%v have reached the disk server", ids)
	}
}

// TestComesAtTheEnd: a client whose connection has been accepted by the system in the moment in which nobody seemed left
// is served.
func TestComesAtTheEnd(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.scheduler.Shutdown()
	var c *testClient
	bed.onLoop(func() { // in one round of the loop
		c = bed.dialClient()
		c.send("BLK.READ", objectKey, "a", opOptions("read", 390, 0))
		bed.scheduler.graceElapsed = true
		bed.scheduler.stopIfIdle()
	})
	if got := c.readReply(time.Second); got != string(standin.Value(objectKey, "a")) {
		t.Errorf("%q", got)
	}
}

// TestReloadShrinks: a configuration with fewer descriptors has idle connections closed, of clients and to disk servers,
// and leaves those that are owed something.
func TestReloadShrinks(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
	bed.disks[0].Apply(standin.Faults{Delay: 100 * time.Millisecond})
	var callers []*testClient
	for i := range 40 {
		c := bed.dialClient()
		c.send("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 9000, 0))
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.readReply(time.Second)
	}
	bed.disks[0].Apply(standin.Faults{Delay: time.Second})
	callers[7].send("BLK.READ", objectKey, "b", opOptions("read", 9000, 0))
	bed.eventually("the command", func() bool { return len(bed.disks[0].Got()) == 41 })
	bed.config["limits"].(map[string]any)["sockets"] = minSockets
	bed.reload()
	bed.eventually("the lower limit", func() (ok bool) {
		bed.onLoop(func() {
			ok = bed.scheduler.clientConnCount <= bed.scheduler.descriptorQuota(clientDescriptorShare) && bed.scheduler.serverConnCount <= bed.scheduler.descriptorQuota(serverDescriptorShare)
		})
		return ok
	})
	if got := callers[7].readReply(2 * time.Second); got != string(standin.Value(objectKey, "b")) {
		t.Errorf("%q", got)
	}
}

// TestBreachBehindUnread: where something that can't be read comes behind answers that the client has not read yet, more
// than the system holds on their way, these arrive whole before the error.
func TestBreachBehindUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient(4096)
	c.do("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	bed.onLoop(func() {
		for x := range bed.scheduler.clients {
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
		if got := c.readReply(time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
	for _, want := range []string{"-ERR Protocol error: forced", "closed"} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
}

// TestUnreadCrowd: clients that never brought an op, ask for more than they read and go on sending hold no room: one gives
// way to another at once, and the rest are closed in time.
func TestUnreadCrowd(t *testing.T) {
	bed := newTestbed(t, 1)
	large := strings.Repeat("v", maxBody)
	for i := range 2 {
		c := bed.dialClient(4096)
		go func() {
			for {
				if _, err := c.Write(encodeCommand("PING", large)); err != nil {
					return
				}
			}
		}()
		bed.eventually("a connection of which no more is read", func() (ok bool) {
			n := 0
			bed.onLoop(func() {
				for x := range bed.scheduler.clients {
					if x.paused && x.conn.UnsentBytes() > 0 && !x.conn.NoInputPending() {
						n++
					}
				}
			})
			return n == i+1
		})
	}
	bed.onLoop(func() {
		for x := range bed.scheduler.clients {
			x.lastActivity = bed.scheduler.loop.Now() - commandTimeout - time.Millisecond
		}
		if !bed.scheduler.evictIdleClient() || len(bed.scheduler.clients) != 1 {
			t.Errorf("none gives way: %d are left", len(bed.scheduler.clients))
		}
		for x := range bed.scheduler.clients {
			x.lastActivity = bed.scheduler.loop.Now() - commandTimeout - time.Millisecond
		}
		bed.scheduler.checkClients()
		if len(bed.scheduler.clients) != 0 {
			t.Errorf("%d are left", len(bed.scheduler.clients))
		}
	})
}

// TestQuitBehindUnread: a client that quits and takes more than a second to begin reading gets all that was owed.
func TestQuitBehindUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient(4096)
	c.do("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	closing := make(chan bool)
	bed.onLoop(func() {
		for x := range bed.scheduler.clients {
			for range n {
				x.conn.Out = resp.AppendBulk(x.conn.Out, []byte(large))
			}
			x.conn.CloseGracefully()
			if x.conn.UnsentBytes() == 0 {
				t.Error("the system holds all of it")
			}
		}
		bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+1200*time.Millisecond, func() { close(closing) })
	})
	<-closing
	for i := range n {
		if got := c.readReply(time.Second); got != large {
			t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
	if got := c.readReply(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestReadyWithoutDiscovery: a scheduler that starts while discovery is down is ready at once and serves by the list as
// it last had it; idle clients that fill the descriptors meanwhile leave discovery, the disk servers and those who bring
// ops what they need.
func TestReadyWithoutDiscovery(t *testing.T) {
	d := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, d.configure)
	c := bed.dialClient()
	begun := time.Now()
	if got := c.do("PING"); got != "PONG" || time.Since(begun) > 500*time.Millisecond {
		t.Errorf("%q after %v", got, time.Since(begun))
	}
	for range 400 {
		if x, err := net.Dial("tcp", bed.scheduler.Address()); err == nil {
			t.Cleanup(func() { x.Close() })
		}
	}
	if got := bed.dialClient().do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "a")) {
		t.Errorf("%q", got)
	}
	bed.onLoop(func() {
		if bed.scheduler.clientConnCount+bed.scheduler.serverConnCount+reservedDescriptors > bed.scheduler.config.Sockets {
			t.Errorf("%d and %d connections", bed.scheduler.clientConnCount, bed.scheduler.serverConnCount)
		}
	})
	d.nextCall(t, time.Second) // was made before discovery came back, and is never answered
	answer := d.nextCall(t, 3*time.Second)
	answer.sendHeader()
	answer.sendChunk(listJSON(7, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestHalfAnswer: an answer that is cut is none, and may have run; the next op goes on another connection.
func TestHalfAnswer(t *testing.T) {
	bed := newTestbed(t, 1)
	var codes []honeyplank.Code
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.module.onEvent = func(e honeyplank.Event) {
			if o, ok := e.(honeyplank.Outcome); ok {
				codes = append(codes, o.Code)
			}
		}
	})
	bed.disks[0].Apply(standin.Faults{Half: true})
	c := bed.dialClient()
	if got := c.do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	bed.disks[0].Apply(standin.Faults{})
	if got := c.do("BLK.READ", objectKey, "b", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "b")) {
		t.Errorf("%q", got)
	}
	bed.onLoop(func() {
		if fmt.Sprint(codes) != fmt.Sprint([]honeyplank.Code{honeyplank.Reset, honeyplank.Succeeded}) {
			t.Errorf("outcomes %v", codes)
		}
	})
}

// TestNoDescriptors: a client that comes while the process has no descriptor left is served once there is one.
func TestNoDescriptors(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 3})
	to := netip.MustParseAddrPort(bed.scheduler.Address())
	var taken []int
	bed.onLoop(func() { // the listener is looked at once this ends
		for {
			x, err := unix.Dup(fd)
			if err != nil {
				break
			}
			taken = append(taken, x)
		}
		err = unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
	})
	rounds := bed.scheduler.loop.Stats.EpollWaits.Load()
	bed.eventually("another round", func() bool { return bed.scheduler.loop.Stats.EpollWaits.Load() > rounds+1 })
	bed.onLoop(func() {
		if len(bed.scheduler.clients) > 0 {
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
	unix.Write(fd, encodeCommand("PING"))
	if n, err := unix.Read(fd, b); string(b[:max(n, 0)]) != "+PONG\r\n" {
		t.Errorf("%q, %v", b[:max(n, 0)], err)
	}
}
