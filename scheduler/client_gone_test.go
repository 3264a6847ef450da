package scheduler

import (
	"fmt"
	"net"
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
	leaves.send("BLK.READ", objectKey, "leaves", opOptions("read", 4000, 0))
	bed.eventually("the wait for a connection", func() bool { n, _ := bed.connCounts(0); return n == 1 })
	leaves.Close()
	bed.eventuallyOnLoop("the client to be gone", func() bool { return bed.scheduler.tracker.Counts.ClientsGone == 1 })
	gate.acceptConns()
	gate.forwardBytes()
	bed.eventually("a connection", func() bool { _, n := bed.connCounts(0); return n > 0 })
	if got := stays.do("BLK.READ", objectKey, "stays", opOptions("read", 4000, 0)); got != string(fakeresp.Value(objectKey, "stays")) {
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

// TestClientGoneOnSharedConn: on a connection that several ops share, and that the disk server does not read, an op
// whose client goes never arrives, whether nothing or a part of it is written; those before and behind it are served.
func TestClientGoneOnSharedConn(t *testing.T) {
	const n = 100                                           // more bytes than the system takes for one connection
	for _, goneClient := range []int{n - 1, n / 2, 0, -1} { // -1: the one of which a part has left
		t.Run(fmt.Sprint(goneClient), func(t *testing.T) {
			bed := newTestbed(t, 1, withSlowConnect, func(m map[string]any) {
				m["settings"].(map[string]any)["caps"].(map[string]any)["streams_per_conn"] = n
			})
			gate := bed.moveBehindGate(0)
			gate.acceptConns()
			var shared *serverConn
			bed.onLoop(func() {
				bed.module.DecisionModule = singleServerModule{"s-0"}
				bed.scheduler.config.Sockets = 1024
				bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1 // descriptors for one connection are left
			})
			body := strings.Repeat("x", maxBody)
			clients := make([]*testClient, n)
			for i := range clients {
				clients[i] = bed.dialClient()
				clients[i].send("BLK.WRITE", objectKey, fmt.Sprint("w", i), opOptions("write", 9000, 0), body)
				bed.eventually("the command", func() (ok bool) {
					bed.onLoop(func() {
						if ds := bed.scheduler.servers["s-0"]; len(ds.conns) == 1 && ds.conns[0].connected && len(ds.conns[0].inFlight) == i+1 {
							shared, ok = ds.conns[0], true
							shared.conn.BeforeWrite = nil // the one of which a part is written is not withdrawn for its age
						}
					})
					return ok
				})
			}
			written := 0
			bed.onLoop(func() {
				for i, a := range shared.inFlight {
					if a.fullyWritten() {
						written++
					}
					if position := shared.writtenBytes(); goneClient < 0 && a.firstByte < position && position < a.endByte {
						goneClient = i
					}
				}
			})
			if goneClient < 0 || written == 0 || written > n-2 {
				t.Fatalf("%d of %d are written whole, %d in part", written, n, goneClient)
			}
			bed.onLoop(func() { bed.scheduler.serverConnCount = 1 })
			clients[goneClient].Close()
			bed.eventuallyOnLoop("the client to be gone", func() bool { return bed.scheduler.tracker.Counts.ClientsGone == 1 })
			gate.forwardBytes()
			served := 0
			for i, c := range clients {
				if i == goneClient {
					continue
				}
				if got := c.readReply(3 * time.Second); got == string(fakeresp.Value(objectKey, fmt.Sprint("w", i))) {
					served++
				} else {
					t.Errorf("w%d: %q", i, got)
				}
			}
			for _, id := range receivedIDs(bed.disks[0]) {
				if id == fmt.Sprint("w", goneClient) && goneClient >= written {
					t.Error("the op whose client is gone has arrived")
				}
			}
		})
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
		return sent > 0 && len(bed.disks[0].Commands()) == sent
	})
	c.Close()
	bed.eventuallyOnLoop("the client to be gone", func() bool { return len(bed.scheduler.clients) == 0 && bed.scheduler.tracker.Unanswered() == 0 })
	if n := len(bed.disks[0].Commands()); n != sent {
		t.Errorf("%d have reached the disk server, %d before the leave", n, sent)
	}
}

// TestClientGoneDuringHoldUp: a client goes while the scheduler is held up for 0.15 s, in the middle of a round of the
// loop: nothing is sent for it after that, be it a first attempt or a retry.
func TestClientGoneDuringHoldUp(t *testing.T) {
	leave := map[string]func(*testClient){
		"close": func(c *testClient) { c.Close() },
		"reset": func(c *testClient) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	}
	for how, leave := range leave {
		for name, x := range map[string]struct {
			before []string      // what its connection has sent before: 'half', 'QUIT', 'protocol error', 'many'
			after  time.Duration // the delay of the module
			fresh  bool          // its command comes during the hold-up
			gate   bool          // the connection to the disk server comes up then
		}{
			"fresh command":           {fresh: true},
			"behind half a line":      {before: []string{"half"}, fresh: true},
			"a timer":                 {after: 100 * time.Millisecond},
			"a timer, QUIT":           {after: 100 * time.Millisecond, before: []string{"QUIT"}},
			"a timer, protocol error": {after: 100 * time.Millisecond, before: []string{"protocol error"}},
			"a timer, many":           {after: 100 * time.Millisecond, before: []string{"many"}},
			"a connect":               {gate: true},
			"a connect, QUIT":         {gate: true, before: []string{"QUIT"}},
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				bed := newTestbed(t, 1, withSlowConnect)
				var gate *connGate
				if x.gate {
					gate = bed.moveBehindGate(0)
				}
				bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
				c := bed.dialClient()
				c.do("PING")
				if gate == nil { // there is a connection that has been idle for long enough
					bed.dialClient().do("BLK.READ", objectKey, "warm", opOptions("read", 9000, 0))
					time.Sleep(2 * reuseDelay)
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
					case "protocol error":
						behind = append(behind, "no command\r\n"...)
					case "many":
						for i := range 2 * maxPending {
							behind = append(behind, encodeCommand("PING", fmt.Sprint(i))...)
						}
					}
				}
				if !x.fresh {
					c.Write(append(op, behind...))
					bed.eventuallyOnLoop("the command", func() bool { return bed.scheduler.tracker.Unanswered() == 1 })
				}
				bed.onLoop(func() {
					if gate != nil {
						gate.acceptConns()
						gate.forwardBytes()
					}
					if x.fresh {
						c.Write(op)
					}
					leave(c)
					time.Sleep(maxHoldUp)
				})
				bed.eventuallyOnLoop("the client to be gone", func() bool { return bed.scheduler.tracker.Unanswered() == 0 })
				if gate != nil {
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

// TestClientGoneBeforeServerReads: what a disk server's system has not taken when a client goes, or its time is over,
// never arrives, also once the server reads on.
func TestClientGoneBeforeServerReads(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect)
	gate := bed.moveBehindGate(0)
	gate.acceptConns()
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
	value := string(fakeresp.Value(objectKey, "a"))
	for name, x := range map[string]struct {
		behind string                  // sent behind an op whose answer is delayed
		end    func(*testbed, *client) // on the loop
		want   []string
	}{
		"quit":           {behind: string(encodeCommand("QUIT")), want: []string{value, "OK"}},
		"protocol error": {behind: "no command\r\n", want: []string{value, `-ERR Protocol error: expected '*', got 'n'`}},
		"idle": {want: []string{value}, end: func(bed *testbed, c *client) {
			c.lastActivity -= 2 * maxIdle
			bed.scheduler.checkClients()
		}},
		"evicted": {want: []string{value}, end: func(bed *testbed, c *client) {
			c.lastActivity -= 2 * maxIdle
			bed.scheduler.evictIdleClient()
		}},
		"intake closed": {want: []string{value}, end: func(bed *testbed, c *client) { c.closeWhenAnswered() }},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			bed.onLoop(func() { bed.module.DecisionModule = singleServerModule{"s-0"} })
			bed.disks[0].SetFaults(fakeresp.Faults{Delay: 50 * time.Millisecond})
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
