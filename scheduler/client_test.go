package scheduler

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// TestUnreadAnswers checks that a client that sends many commands before it reads any reply receives all replies
// completely and in order. Until it reads, the scheduler reads no more of its input than the limits allow.
func TestUnreadAnswers(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	large := strings.Repeat("v", maxBody-8)
	bed.disks[0].SetFaults(fakeresp.Faults{Value: large})
	c := bed.dialClient()
	const n = 4 * maxPending // replies of 64 KB each, more than the socket buffers hold
	go func() {
		for i := range n {
			if _, err := c.Write(encodeCommand(readCommand(fmt.Sprint("a", i), 9000)...)); err != nil {
				return // missing replies fail the test
			}
		}
	}()
	bed.eventuallyOnLoop("a paused connection with unsent replies", func() bool {
		serverSide := bed.client()
		if serverSide == nil {
			return false
		}
		if backlog := serverSide.replyBacklog(); backlog > maxReplyBacklog+2*maxBody {
			t.Errorf("the reply backlog of %d bytes exceeds its limit", backlog)
		}
		return serverSide.conn.UnsentBytes() > 0 && len(serverSide.pending) == 0 && serverSide.paused
	})
	c.expectValues(n, large, 3*time.Second)
}

// TestEvictionSparesUnread checks that a connection with an unread request is neither evicted nor closed as idle.
func TestEvictionSparesUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c, other := bed.dialClient(), bed.dialClient()
	for i, client := range []*testClient{c, other} {
		id := fmt.Sprint("first", i)
		if got := client.doRead(id, 390); got != valueOf(id) {
			t.Fatal(got)
		}
	}
	bed.onLoop(func() { // the loop reads no input before this function returns
		for x := range bed.scheduler.clients {
			x.lastActivity = bed.scheduler.loop.Now() - 2*maxIdle
		}
		c.sendRead("second", 390)
		for !bed.hasUnreadInput() {
		}
		bed.scheduler.checkClients()
		for bed.scheduler.evictIdleClient() {
		}
	})
	if got := c.readReply(time.Second); got != valueOf("second") {
		t.Errorf("reply is %q", got)
	}
	if got := other.readReply(time.Second); got != "closed" {
		t.Errorf("reply is %q", got)
	}
}

// TestIdleWithPartialCommand checks that the connection of a client that has sent ops is not closed as idle while the
// client slowly sends its next command.
func TestIdleWithPartialCommand(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.doRead("first", 390)
	text := encodeCommand(readCommand("second", 390)...)
	c.sendBytes(text[:20])
	bed.eventually("an incomplete command", func() (ok bool) {
		bed.onLoop(func() {
			for x := range bed.scheduler.clients {
				ok = x.commandStarted > 0
				x.lastActivity = bed.scheduler.loop.Now() - maxIdle + time.Second // longer than reducedIdle
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
	c.sendBytes(text[20:])
	if got := c.readReply(time.Second); got != valueOf("second") {
		t.Errorf("reply is %q", got)
	}
}

// expectValues reads n replies, each within the given time, and checks that each is the value.
func (c *testClient) expectValues(n int, value string, within time.Duration) {
	c.t.Helper()
	for i := range n {
		if got := c.readReply(within); got != value {
			c.t.Fatalf("reply %d of %d bytes is not the value: %.20q", i, len(got), got)
		}
	}
}

// appendValues appends a value to the output of a connection n times.
func (c *client) appendValues(n int, value string) {
	for range n {
		c.conn.Output = resp.AppendBulk(c.conn.Output, []byte(value))
	}
}

// TestProtocolErrorBehindUnread checks that a client that violates the protocol receives all earlier replies completely
// before the error, even if it has not read them yet and they are larger than the socket buffers.
func TestProtocolErrorBehindUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient(4096)
	c.do("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	bed.onLoop(func() {
		for x := range bed.scheduler.clients {
			x.appendValues(n, large)
			x.protocolError(&resp.ProtocolError{Reason: "forced"})
			if x.conn.UnsentBytes() == 0 {
				t.Error("the socket buffers hold all replies")
			}
		}
	})
	c.expectValues(n, large, time.Second)
	for _, want := range []string{"-ERR Protocol error: forced", "closed"} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Errorf("reply is %q, expected %q", got, want)
		}
	}
}

// sendUnreadPings sends large PINGs without reading a reply, until the connection fails.
func (c *testClient) sendUnreadPings() {
	command := encodeCommand("PING", strings.Repeat("v", maxBody))
	for {
		if _, err := c.Write(command); err != nil {
			return
		}
	}
}

// pausedClients returns the number of clients whose input is no longer read because they do not read their replies.
// Clients that are only throttled do not count, since reading from them resumes after a time. It is called on the loop.
func (bed *testbed) pausedClients() (n int) {
	for c := range bed.scheduler.clients {
		unread := c.reachesBacklog(maxReplyBacklog/2) && !c.throttled
		if c.paused && unread && !c.conn.NoInputPending() {
			n++
		}
	}
	return n
}

// ageClients makes all clients appear to have been idle for the given time. It is called on the loop.
func (bed *testbed) ageClients(idle time.Duration) {
	for c := range bed.scheduler.clients {
		c.lastActivity = bed.scheduler.loop.Now() - idle
	}
}

// TestNonReadingClientsEvicted checks that clients that send commands but no op and read no replies cannot hold
// descriptors: one of them is evicted immediately for another client, and the others are closed after a timeout.
func TestNonReadingClientsEvicted(t *testing.T) {
	bed := newTestbed(t, 1)
	for i := range 2 {
		go bed.dialClient(4096).sendUnreadPings()
		bed.eventuallyOnLoop("a paused connection", func() bool { return bed.pausedClients() == i+1 })
	}
	bed.onLoop(func() {
		bed.ageClients(commandTimeout + time.Millisecond)
		if !bed.scheduler.evictIdleClient() || len(bed.scheduler.clients) != 1 {
			t.Errorf("%d clients left after an eviction, expected 1", len(bed.scheduler.clients))
		}
		bed.ageClients(commandTimeout + time.Millisecond)
		bed.scheduler.checkClients()
		if len(bed.scheduler.clients) != 0 {
			t.Errorf("%d clients left after the timeout, expected none", len(bed.scheduler.clients))
		}
	})
}

// TestQuitBehindUnread checks that a client that sends QUIT and reads nothing for more than a second receives all
// replies.
func TestQuitBehindUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient(4096)
	c.do("PING")
	large := strings.Repeat("v", maxBody)
	const n = 200
	closing := make(chan bool)
	bed.onLoop(func() {
		for x := range bed.scheduler.clients {
			x.appendValues(n, large)
			x.closing = true // as after QUIT: the timeouts of an idle connection no longer apply
			x.conn.CloseGracefully()
			if x.conn.UnsentBytes() == 0 {
				t.Error("the socket buffers hold all replies")
			}
		}
		bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+1200*time.Millisecond, func() { close(closing) })
	})
	<-closing
	c.expectValues(n, large, time.Second)
	if got := c.readReply(time.Second); got != "closed" {
		t.Errorf("reply is %q", got)
	}
}

// TestNoDescriptors checks that a client that connects while the process has no free descriptor is served once there is
// one.
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
	bed.onLoop(func() { // the loop polls the listener after this function returns
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
	bed.eventually("a loop iteration", func() bool { return bed.scheduler.loop.Stats.EpollWaits.Load() > rounds+1 })
	bed.onLoop(func() {
		if len(bed.scheduler.clients) > 0 {
			t.Error("the connection was accepted without a free descriptor")
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

// openIdleConns tries to open n connections and ignores those that fail. Every second one sends PING, the others send
// nothing.
func (bed *testbed) openIdleConns(n int) {
	bed.t.Helper()
	for i := range n {
		conn, err := net.Dial("tcp", bed.scheduler.Address())
		if err != nil {
			continue
		}
		bed.t.Cleanup(func() { _ = conn.Close() }) // the scheduler may have closed it
		if i%2 == 0 {
			_, _ = conn.Write(encodeCommand("PING")) // the scheduler may have closed it
		}
	}
}

// TestManyIdleConns checks clients that send no ops and open more connections than there are descriptors. They neither
// prevent other clients from being served nor displace clients that send ops, also during a shutdown. Hundreds of
// commands sent at once all get their replies, in order.
func TestManyIdleConns(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	if got := c.doRead("first", 390); got != valueOf("first") {
		t.Fatal(got)
	}
	bed.openIdleConns(300)
	if got := bed.dialClient().doRead("new", 390); got != valueOf("new") {
		t.Fatal(got)
	}
	time.Sleep(700 * time.Millisecond)
	bed.scheduler.Shutdown()
	bed.openIdleConns(300)
	if got := c.doRead("a", 390); got != valueOf("a") {
		t.Fatal(got)
	}
	var open int
	bed.onLoop(func() { open = bed.scheduler.clientConnCount })
	if open > bed.scheduler.descriptorQuota(clientDescriptorShare) {
		t.Errorf("%d client connections are open, more than their share of the descriptors", open)
	}
	go func() {
		for i := range 500 {
			if _, err := c.Write(encodeCommand("PING", strconv.Itoa(i))); err != nil {
				return // missing replies fail the test
			}
		}
	}()
	for i := range 500 {
		if got := c.readReply(2 * time.Second); got != strconv.Itoa(i) {
			t.Fatalf("reply %d is %q", i, got)
		}
	}
}

// TestNoLeaks checks that the state and goroutines of many short-lived clients and disk servers are released.
func TestNoLeaks(t *testing.T) {
	bed := newTestbed(t, 1)
	before := runtime.NumGoroutine()
	for i := range 200 {
		c := bed.dialClient()
		c.doRead(fmt.Sprint("a", i), 390)
		c.disconnect()
		member := bed.member(0, "up")
		member.ID, member.Cell = fmt.Sprint("t-", i), 7
		bed.discovery.Change(member)
		member.Phase = "removed"
		bed.discovery.Change(member)
	}
	bed.eventuallyOnLoop("the release of all clients and servers", func() bool {
		s := bed.scheduler
		return len(s.servers) == 1 && len(s.clients) == 0 && s.clientConnCount == 0 && s.tracker.Outstanding() == 0
	})
	if n := runtime.NumGoroutine(); n > before+20 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}
