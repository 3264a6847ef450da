package scheduler

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// clientTraffic is what has crossed the socket of one client, as its scheduler saw it. It is touched on the loop.
type clientTraffic struct {
	reader   resp.Reader
	commands int           // whole commands
	lastSent time.Duration // when bytes were last sent
}

// tapClients counts what crosses the sockets of all clients from now on, by their addresses.
func (bed *testbed) tapClients(all map[*client]*clientTraffic) {
	for c := range bed.scheduler.clients {
		if all[c] != nil {
			continue
		}
		x := &clientTraffic{reader: resp.Reader{Limits: commandLimits}}
		all[c] = x
		c.conn.Tap = func(sent bool, b []byte) {
			if sent {
				x.lastSent = bed.scheduler.loop.Now()
			}
			for !sent && len(b) > 0 {
				frame, err := x.reader.Next(b)
				if b = b[frame.Used:]; frame.Complete {
					x.commands++
				} else if frame.Used == 0 || err != nil {
					return
				}
			}
		}
	}
}

// TestShutdownHeldUp: whatever the longest op timeout, while clients send on and a disk server hangs, each request that
// was read has one whole reply some time before the kill, also where the scheduler is held up at a step of its
// shutdown; what was not read gets a regular end of the connection.
func TestShutdownHeldUp(t *testing.T) {
	for _, longest := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		for _, step := range []string{"none", "ops", "answers", "leave"} {
			t.Run(fmt.Sprint(longest, " ", step), func(t *testing.T) {
				t.Parallel()
				bed := newTestbed(t, 1, withOpTimeout(longest))
				all := map[*client]*clientTraffic{}
				var late time.Duration // how much the machine has held the loop up on its own
				bed.onLoop(func() {
					bed.module.DecisionModule = singleServerModule{"s-0"}
					var look func()
					next := bed.scheduler.loop.Now()
					look = func() {
						bed.tapClients(all)
						if over := bed.scheduler.loop.Now() - next; bed.scheduler.shuttingDown && over > 10*time.Millisecond {
							late += over
						}
						next = bed.scheduler.loop.Now() + time.Millisecond
						bed.scheduler.loop.Schedule(next, look)
					}
					look()
				})
				bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
				ms := int(longest.Milliseconds())
				var ended sync.WaitGroup
				var mu sync.Mutex
				total := 0
				follow := func(c *testClient) {
					ended.Go(func() {
						n, err := c.countReplies()
						if err != io.EOF {
							t.Errorf("a connection ends with %v after %d answers", err, n)
						}
						mu.Lock()
						total += n
						mu.Unlock()
						c.Close()
					})
				}
				flood := func(c *testClient, gap time.Duration) {
					follow(c)
					go func() {
						for i := 0; ; i++ {
							if _, err := c.Write(encodeCommand("BLK.READ", objectKey, fmt.Sprintf("%s-%d", c.LocalAddr(), i), opOptions("read", ms, 0))); err != nil {
								return
							}
							time.Sleep(gap)
						}
					}()
				}
				first, second, half, idle := bed.dialClient(), bed.dialClient(), bed.dialClient(), bed.dialClient()
				bed.eventuallyOnLoop("the clients", func() bool { return len(all) == 4 })
				flood(first, time.Millisecond)
				flood(second, 5*time.Millisecond)
				half.Write([]byte("*4\r\n$8\r\nBLK.RE"))
				ended.Go(func() { // the error that it may get is no answer to a command
					if n, err := half.countReplies(); n > 1 || err != io.EOF {
						t.Errorf("half a command gets %d answers and %v", n, err)
					}
					half.Close()
				})
				follow(idle)
				notified := time.Now()
				bed.scheduler.Shutdown()
				var plan shutdownPlan
				bed.onLoop(func() {
					plan = bed.scheduler.shutdown
					at := map[string]time.Duration{"ops": plan.closeIntake, "answers": plan.failRemaining, "leave": plan.failRemaining + flushMargin}[step]
					if at > 0 {
						bed.scheduler.loop.Schedule(at-1, func() { time.Sleep(maxHoldUp); late -= maxHoldUp })
					}
				})
				for time.Since(notified) < 390*time.Millisecond {
					n, shut := 0, true
					bed.onLoop(func() { n, shut = len(all), bed.scheduler.intakeClosed })
					if shut { // the machine is too busy
						break
					}
					c := bed.dialClient()
					bed.eventually("the connection", func() bool {
						ok := true // also where the loop has ended
						bed.onLoop(func() { ok = bed.scheduler.intakeClosed || len(all) > n })
						return ok
					})
					flood(c, 20*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
				select {
				case <-bed.served:
				case <-time.After(10 * time.Second):
					t.Fatal("it does not end")
				}
				ended.Wait()
				read := 0
				for _, x := range all { // the loop has ended
					read += x.commands
					if x.lastSent > plan.killTime-flushMargin/2+late {
						t.Errorf("something is sent %v before the kill, the machine was busy for %v", plan.killTime-x.lastSent, late)
					}
				}
				if read != total || read == 0 {
					t.Errorf("%d commands have been read, %d answers have come", read, total)
				}
			})
		}
	}
}

// TestShutdownPlan: each step of the shutdown has more time than a hold-up, and so has SIGTERM on its way to the loop.
func TestShutdownPlan(t *testing.T) {
	const notified = time.Minute
	for longest := 50 * time.Millisecond; longest <= 4*time.Second; longest += 10 * time.Millisecond {
		x := planShutdown(notified, longest)
		if x.killTime != notified+min(longest, maxKillWait)+killGrace || x.closeIntake < notified+minIntakeTime || x.failRemaining < x.closeIntake || x.killTime-x.failRemaining < 2*maxHoldUp+flushMargin {
			t.Fatalf("%v: no more ops after %v, the last answers after %v, the kill after %v", longest, x.closeIntake-notified, x.failRemaining-notified, x.killTime-notified)
		}
	}
}

// TestFailRemaining: with a server that hangs, ops without an answer fail in time, and the connection ends regularly
// although its client goes on sending.
func TestFailRemaining(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c, idle := bed.dialClient(), bed.dialClient()
	idle.do("PING")
	bed.scheduler.Shutdown()
	bed.scheduler.Shutdown() // a second time changes nothing
	c.sendRead("a", 9000)
	bed.eventuallyOnLoop("the last part", func() bool { return bed.scheduler.intakeClosed })
	for i := range 3 * maxPending { // more than is read at a time, none of which is taken any more
		c.sendRead(fmt.Sprint("b", i), 9000)
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
	for _, client := range []*testClient{c, idle} {
		client.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection ends with %v", err)
		}
		client.Close()
	}
	if n := atomic.LoadInt64(&last) - before; n > 0 {
		t.Errorf("%d bytes have been read past the last op that is taken", n)
	}
	bed.checkReceived("[a]")
}

// TestConnectsWhileStopping: a client whose connection the system has accepted at the moment at which no client seemed
// to be left is served.
func TestConnectsWhileStopping(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.scheduler.Shutdown()
	var c *testClient
	bed.onLoop(func() { // in one round of the loop
		c = bed.dialClient()
		c.sendRead("a", 390)
		bed.scheduler.graceElapsed = true
		bed.scheduler.stopIfIdle()
	})
	if got := c.readReply(time.Second); got != valueOf("a") {
		t.Errorf("%q", got)
	}
}

// TestShutdown: a scheduler that shuts down serves on, on connections old and new, then ends by itself before it would
// be killed, with every op answered.
func TestShutdown(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.do("PING")
	begun := time.Now()
	bed.scheduler.Shutdown()
	time.Sleep(300 * time.Millisecond)
	for i, client := range []*testClient{c, bed.dialClient()} {
		id := fmt.Sprint("a", i)
		if got := client.doRead(id, 390); got != valueOf(id) {
			t.Errorf("connection %d: %q", i, got)
		}
	}
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	time.Sleep(time.Until(begun.Add(650 * time.Millisecond))) // of 1300: ops are taken up to 780
	late := c.doRead("late", 390)
	if !strings.HasPrefix(late, "-") {
		t.Errorf("%q", late)
	}
	select {
	case err := <-bed.served:
		if took := time.Since(begun); err != nil || took < killGrace || took > killGrace+600*time.Millisecond {
			t.Errorf("%v after %v", err, took)
		}
	case <-time.After(3 * time.Second):
		t.Error("it does not end")
	}
}

// TestShutdownAlone: without clients nothing is waited for past the grace.
func TestShutdownAlone(t *testing.T) {
	bed := newTestbed(t, 1)
	begun := time.Now()
	bed.scheduler.Shutdown()
	<-bed.served
	if took := time.Since(begun); took > killGrace+200*time.Millisecond {
		t.Errorf("%v", took)
	}
}
