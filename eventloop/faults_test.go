package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout is how long a test waits for what must happen.
const testTimeout = 20 * time.Second

// endpoint is the handler of one end of a connection: it echoes, or it sends and waits for the echo.
type endpoint struct {
	name     string
	send     []byte // nil: it echoes
	received []byte
	opened   bool
	served   bool // it has received what it sent
	closed   int  // how often Closed was called
	err      error
	gone     bool        // Conn.OnClosed was called
	inside   bool        // a call of the handler runs
	nested   bool        // Closed was called inside another call
	input    func(*Conn) // where set, is called by Input
}

func (e *endpoint) enter() func() {
	e.inside = true
	return func() { e.inside = false }
}

func (e *endpoint) Opened(c *Conn) {
	defer e.enter()()
	e.opened = true
	c.Output = append(c.Output, e.send...)
}

func (e *endpoint) Input(c *Conn, b []byte) int {
	defer e.enter()()
	if e.input != nil {
		e.input(c)
	}
	if e.send == nil {
		c.Output = append(c.Output, b...)
		return len(b)
	}
	e.received = append(e.received, b...)
	if len(e.received) >= len(e.send) && !e.served {
		e.served = bytes.Equal(e.received, e.send)
		c.CloseGracefully()
	}
	return len(b)
}

func (e *endpoint) Closed(_ *Conn, err error) {
	e.closed++
	e.err, e.nested = err, e.nested || e.inside
}

// over reports whether the connection is closed and its owner knows how it ended.
func (e *endpoint) over() bool { return e.gone && (e.closed > 0 || e.served) }

// scenario is a loop that dials a listener of its own, while functions are posted, datagrams are sent and system calls
// fail.
type scenario struct {
	t         testing.TB
	loop      *Loop
	endpoints []*endpoint
	posts     int        // functions that have run
	received  bool       // a datagram
	done      chan bool  // closed once all is over
	ended     chan error // the result of Run
}

const (
	scenarioClients = 3
	scenarioPosts   = 5
)

// fatal reports whether an error says that the arguments of epoll_wait are wrong; Run returns such an error.
func fatal(err error) bool { return errors.Is(err, unix.EINVAL) || errors.Is(err, unix.EBADF) }

// runScenario runs a scenario with the faults of a kernel. In the end each endpoint must have been served or told once
// of its end, each function that was posted must have run, no descriptor may be open, and the number of calls must be
// bounded.
func runScenario(t testing.TB, k *faultyKernel) {
	t.Helper()
	defer k.check(t)
	faults := 0
	for _, list := range k.faults {
		faults += len(list)
	}
	loop, err := NewWithSyscalls(0, k)
	if err != nil {
		return
	}
	s := &scenario{t: t, loop: loop, done: make(chan bool), ended: make(chan error, 1)}
	start := time.Now()
	if !s.start() || !s.awaitDone() {
		return
	}
	expectCalls(t, "in all", k.count(""), 2000+200*faults, start)
	// Nothing happens now, so that few calls may be made.
	idle, before := time.Now(), k.count("")
	time.Sleep(5 * time.Millisecond)
	expectCalls(t, "while nothing happens", k.count("")-before, 50, idle)
	s.stop()
	s.check()
}

// expectCalls bounds the number of calls in a time; what takes long may take more of them.
func expectCalls(t testing.TB, when string, calls, atMost int, since time.Time) {
	t.Helper()
	if atMost += 10 * int(time.Since(since)/time.Millisecond); calls > atMost {
		t.Errorf("%d calls %s, want %d at most", calls, when, atMost)
	}
}

// start runs the loop. It reports false where the faults leave no listener or no UDP socket; then the loop has ended.
func (s *scenario) start() bool {
	s.t.Helper()
	listener, err := s.loop.Listen("127.0.0.1:0", s.accept)
	var udp *UDPConn
	if err == nil {
		udp, err = s.loop.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) { s.received = true })
	}
	if err != nil {
		s.loop.Stop()
		_ = s.loop.Run() // the faults that forbid a listener may fail epoll_wait too
		return false
	}
	address := localAddress(s.t, listener.fd)
	if got := listener.Address(); got != "" && got != address.String() {
		s.t.Errorf("listens on %s, Address is %s", address, got)
	}
	udpAddress := localAddress(s.t, udp.fd)
	go func() { s.ended <- s.loop.Run() }()
	for range scenarioPosts {
		s.loop.Post(func() { s.posts++ })
	}
	s.loop.Post(func() {
		s.dialAll(address.String())
		s.tick(udp, udpAddress)
	})
	return true
}

// awaitDone waits until all is over. It reports false where the loop has ended instead.
func (s *scenario) awaitDone() bool {
	s.t.Helper()
	select {
	case <-s.done:
	case err := <-s.ended:
		if !fatal(err) {
			s.t.Errorf("the loop has ended: %v", err)
		}
		return false
	case <-time.After(testTimeout):
		s.t.Errorf("not over in %v", testTimeout)
	}
	return true
}

func (s *scenario) stop() {
	s.t.Helper()
	s.loop.Post(s.loop.Stop)
	select {
	case err := <-s.ended:
		if err != nil && !fatal(err) {
			s.t.Errorf("the loop has ended: %v", err)
		}
	case <-time.After(testTimeout):
		s.t.Fatal("Run has not returned after Stop")
	}
}

// localAddress is the address of a socket.
func localAddress(t testing.TB, fd int) netip.AddrPort {
	t.Helper()
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name.(*unix.SockaddrInet4).Port))
}

func (s *scenario) newEndpoint(name string, send []byte) *endpoint {
	e := &endpoint{name: name, send: send}
	s.endpoints = append(s.endpoints, e)
	return e
}

func (s *scenario) accept(c *Conn) Handler {
	server := s.newEndpoint("accepted", nil)
	c.OnClosed = func() { server.gone = true }
	return server
}

// dialAll dials for all clients; the first pauses at its first input.
func (s *scenario) dialAll(address string) {
	for i := range scenarioClients {
		client := s.newEndpoint(fmt.Sprint("client ", i), bytes.Repeat([]byte{byte('a' + i)}, 3000))
		if i == 0 {
			client.input = s.pauseOnce(client)
		}
		c, err := s.loop.Dial(address, client)
		if err != nil {
			if c != nil {
				s.t.Errorf("Dial returns a connection and %v", err)
			}
			client.closed, client.gone = 1, true
			continue
		}
		c.OnClosed = func() { client.gone = true }
	}
}

// pauseOnce pauses a connection for a moment at its first input.
func (s *scenario) pauseOnce(client *endpoint) func(*Conn) {
	return func(c *Conn) {
		client.input = nil
		c.NoInputPending()
		c.Pause()
		s.loop.Schedule(s.loop.Now()+time.Millisecond, c.Resume)
	}
}

// tick sends datagrams until one is received, and ends the scenario once all is over.
func (s *scenario) tick(udp *UDPConn, to netip.AddrPort) {
	if !s.received {
		udp.Send(to, []byte("hello"))
	}
	open := slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !e.over() })
	if s.received && s.posts == scenarioPosts && !open {
		close(s.done)
		return
	}
	s.loop.Schedule(s.loop.Now()+2*time.Millisecond, func() { s.tick(udp, to) })
}

func (s *scenario) check() {
	s.t.Helper()
	for _, e := range s.endpoints {
		if !e.over() || e.closed > 1 || e.nested {
			s.t.Errorf("%s: opened %v, served %v, Closed called %d times (%v, inside another call: %v), closed %v",
				e.name, e.opened, e.served, e.closed, e.err, e.nested, e.gone)
		}
	}
	if s.posts != scenarioPosts {
		s.t.Errorf("%d of %d posted functions have run", s.posts, scenarioPosts)
	}
	if !s.received {
		s.t.Error("no datagram was received")
	}
}

// TestFaults has each call fail in each way documented, at once or after some, singly and in runs.
func TestFaults(t *testing.T) {
	for _, d := range documentedErrors {
		t.Run(strings.ReplaceAll(d.call, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for _, errno := range d.errnos {
				for _, run := range []struct{ after, length int }{{0, 1}, {0, 4}, {2, 1}, {3, 3}} {
					name := fmt.Sprintf("%s/%d_after_%d", unix.ErrnoName(errno), run.length, run.after)
					t.Run(name, func(t *testing.T) {
						k := newFaultyKernel()
						failing := slices.Repeat([]unix.Errno{errno}, run.length)
						k.faults[d.call] = append(make([]unix.Errno, run.after), failing...)
						runScenario(t, k)
					})
				}
			}
		})
	}
}
