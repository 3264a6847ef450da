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

// TestUnreadAnswers: a client that sends all commands it may and reads nothing meanwhile gets every reply, whole and
// in order, once it reads; until then no more is taken from it than the bounds allow.
func TestUnreadAnswers(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	large := strings.Repeat("v", maxBody-8)
	bed.disks[0].SetFaults(fakeresp.Faults{Value: large})
	c := bed.dialClient()
	const n = 4 * maxPending // of 64 KB each: more than the system holds on its way
	go func() {
		for i := range n {
			if _, err := c.Write(encodeCommand(readCommand(fmt.Sprint("a", i), 9000)...)); err != nil {
				return // the replies that are missing fail the test
			}
		}
	}()
	bed.eventuallyOnLoop("a full connection", func() bool {
		serverSide := bed.client()
		if serverSide == nil {
			return false
		}
		if backlog := serverSide.replyBacklog(); backlog > maxReplyBacklog+2*maxBody {
			t.Errorf("%d bytes of replies are due", backlog)
		}
		return serverSide.conn.UnsentBytes() > 0 && len(serverSide.pending) == 0 && serverSide.paused
	})
	c.expectValues(n, large, 3*time.Second)
}

// TestEvictionSparesUnread: a connection with a request that is not read yet is not closed for another, nor as idle.
func TestEvictionSparesUnread(t *testing.T) {
	bed := newTestbed(t, 1)
	c, other := bed.dialClient(), bed.dialClient()
	for i, client := range []*testClient{c, other} {
		id := fmt.Sprint("first", i)
		if got := client.doRead(id, 390); got != valueOf(id) {
			t.Fatal(got)
		}
	}
	bed.onLoop(func() { // the loop reads nothing before this ends
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
		t.Errorf("%q", got)
	}
	if got := other.readReply(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestIdleWithPartialCommand: a client that has sent ops and writes its next command slowly is not closed as idle in
// the middle of it.
func TestIdleWithPartialCommand(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.doRead("first", 390)
	text := encodeCommand(readCommand("second", 390)...)
	c.sendBytes(text[:20])
	bed.eventually("a half command", func() (ok bool) {
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
		t.Errorf("%q", got)
	}
}

// expectValues reads n replies, each within a time, and checks that each is the value.
func (c *testClient) expectValues(n int, value string, within time.Duration) {
	c.t.Helper()
	for i := range n {
		if got := c.readReply(within); got != value {
			c.t.Fatalf("answer %d has %d bytes: %.20q", i, len(got), got)
		}
	}
}

// appendValues appends a value to the output of a connection n times.
func (c *client) appendValues(n int, value string) {
	for range n {
		c.conn.Output = resp.AppendBulk(c.conn.Output, []byte(value))
	}
}

// TestProtocolErrorBehindUnread: where input that does not follow the protocol comes behind replies that the client
// has not read yet, more than the system buffers, these arrive whole before the error.
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
				t.Error("the system holds all of it")
			}
		}
	})
	c.expectValues(n, large, time.Second)
	for _, want := range []string{"-ERR Protocol error: forced", "closed"} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
}

// sendUnreadPings sends large PINGs and reads no reply, until the connection ends.
func (c *testClient) sendUnreadPings() {
	command := encodeCommand("PING", strings.Repeat("v", maxBody))
	for {
		if _, err := c.Write(command); err != nil {
			return
		}
	}
}

// pausedClients counts, on the loop, the clients that do not read their replies and whose input is not read any more
// for that reason: one that is only throttled is read again by itself.
func (bed *testbed) pausedClients() (n int) {
	for c := range bed.scheduler.clients {
		unread := c.replyBacklog() >= maxReplyBacklog/2 && !c.throttled
		if c.paused && unread && !c.conn.NoInputPending() {
			n++
		}
	}
	return n
}

// ageClients makes all clients appear idle for a time. It is called on the loop.
func (bed *testbed) ageClients(idle time.Duration) {
	for c := range bed.scheduler.clients {
		c.lastActivity = bed.scheduler.loop.Now() - idle
	}
}

// TestNonReadingClientsEvicted: clients that never sent an op, send commands and read no replies hold no descriptors: one is
// evicted for another at once, and the rest are closed in time.
func TestNonReadingClientsEvicted(t *testing.T) {
	bed := newTestbed(t, 1)
	for i := range 2 {
		go bed.dialClient(4096).sendUnreadPings()
		bed.eventuallyOnLoop("a connection of which no more is read", func() bool { return bed.pausedClients() == i+1 })
	}
	bed.onLoop(func() {
		bed.ageClients(commandTimeout + time.Millisecond)
		if !bed.scheduler.evictIdleClient() || len(bed.scheduler.clients) != 1 {
			t.Errorf("none is evicted: %d are left", len(bed.scheduler.clients))
		}
		bed.ageClients(commandTimeout + time.Millisecond)
		bed.scheduler.checkClients()
		if len(bed.scheduler.clients) != 0 {
			t.Errorf("%d are left", len(bed.scheduler.clients))
		}
	})
}

// TestQuitBehindUnread: a client that quits and takes more than a second to begin reading gets all replies.
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
			x.closing = true // as after QUIT: no timeout of an idle connection applies any more
			x.conn.CloseGracefully()
			if x.conn.UnsentBytes() == 0 {
				t.Error("the system holds all of it")
			}
		}
		bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+1200*time.Millisecond, func() { close(closing) })
	})
	<-closing
	c.expectValues(n, large, time.Second)
	if got := c.readReply(time.Second); got != "closed" {
		t.Errorf("%q", got)
	}
}

// TestNoDescriptors: a client that connects while the process has no descriptor left is served once there is one.
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

// openIdleConns opens n connections, as far as the scheduler accepts them. Every other one sends PING, others
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
			_, _ = conn.Write(encodeCommand("PING")) // likewise
		}
	}
}

// TestManyIdleConns: connections that send nothing, or nothing but PING, more than there are descriptors for, keep nobody
// else from being served and take no connection from clients that send ops, also during the shutdown; hundreds of
// commands at once all get their replies, in order.
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
		t.Errorf("%d connections of clients", open)
	}
	go func() {
		for i := range 500 {
			if _, err := c.Write(encodeCommand("PING", strconv.Itoa(i))); err != nil {
				return // the replies that are missing fail the test
			}
		}
	}()
	for i := range 500 {
		if got := c.readReply(2 * time.Second); got != strconv.Itoa(i) {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
}

// TestNoLeaks: after many short-lived clients and servers nothing is left of them.
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
	bed.eventuallyOnLoop("the end of all", func() bool {
		s := bed.scheduler
		return len(s.servers) == 1 && len(s.clients) == 0 && s.clientConnCount == 0 && s.tracker.Outstanding() == 0
	})
	if n := runtime.NumGoroutine(); n > before+20 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}
