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

// testTimeout is the time within which an expected event must happen in a test.
const testTimeout = 20 * time.Second

// endpoint is the handler of one end of a connection. It echoes its input, or it sends and waits for the echo.
type endpoint struct {
	name         string
	send         []byte // sent when the connection is established; nil: the endpoint echoes its input
	received     []byte
	opened       bool
	echoReceived bool // the whole echo of send was received
	closed       int  // number of calls of Closed
	err          error
	socketClosed bool        // Conn.OnClosed was called
	inside       bool        // a method of the handler is running
	nested       bool        // Closed was called inside another method
	input        func(*Conn) // if set, called by Input
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
	if len(e.received) >= len(e.send) && !e.echoReceived {
		e.echoReceived = bytes.Equal(e.received, e.send)
		c.CloseGracefully()
	}
	return len(b)
}

func (e *endpoint) Closed(_ *Conn, err error) {
	e.closed++
	e.err, e.nested = err, e.nested || e.inside
}

// finished reports whether the connection is closed after the whole echo was received or Closed was called.
func (e *endpoint) finished() bool { return e.socketClosed && (e.closed > 0 || e.echoReceived) }

// scenario is a loop that dials its own listener, while functions are posted, datagrams are sent and system calls fail.
type scenario struct {
	t         testing.TB
	loop      *Loop
	endpoints []*endpoint
	posts     int        // number of posted functions that have run
	received  bool       // a datagram was received
	done      chan bool  // closed when all parts of the scenario are finished
	ended     chan error // the result of Run
}

const (
	scenarioClients = 3
	scenarioPosts   = 5
)

// fatal reports whether an error means that the arguments of epoll_wait are invalid. Run returns such an error.
func fatal(err error) bool { return errors.Is(err, unix.EINVAL) || errors.Is(err, unix.EBADF) }

// runScenario runs a scenario with the faults of a kernel. At the end each endpoint must have received its echo or one
// call of Closed, each posted function must have run, no descriptor may be open, and the number of calls must be within
// its limit.
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
	expectCalls(t, "in total", k.count(""), 2000+200*faults, start)
	// The scenario is finished, so that few calls may be made.
	idle, before := time.Now(), k.count("")
	time.Sleep(5 * time.Millisecond)
	expectCalls(t, "while idle", k.count("")-before, 50, idle)
	s.stop()
	s.check()
}

// expectCalls checks that at most atMost calls were made since a time, and 10 more for each millisecond since then.
func expectCalls(t testing.TB, when string, calls, atMost int, since time.Time) {
	t.Helper()
	if atMost += 10 * int(time.Since(since)/time.Millisecond); calls > atMost {
		t.Errorf("%d calls %s, want at most %d", calls, when, atMost)
	}
}

// start runs the loop. It returns false if the faults prevent the listener or the UDP socket; then the loop has ended.
func (s *scenario) start() bool {
	s.t.Helper()
	listener, err := s.loop.Listen("127.0.0.1:0", s.accept)
	var udp *UDPConn
	if err == nil {
		udp, err = s.loop.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) { s.received = true })
	}
	if err != nil {
		s.loop.Stop()
		_ = s.loop.Run() // the faults may make epoll_wait fail too
		return false
	}
	address := localAddress(s.t, listener.fd)
	if got := listener.Address(); got != "" && got != address.String() {
		s.t.Errorf("the listener is bound to %s, Address returned %s", address, got)
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

// awaitDone waits until the scenario is finished. It returns false if the loop has ended instead.
func (s *scenario) awaitDone() bool {
	s.t.Helper()
	select {
	case <-s.done:
	case err := <-s.ended:
		if !fatal(err) {
			s.t.Errorf("the loop ended with %v", err)
		}
		return false
	case <-time.After(testTimeout):
		s.t.Errorf("the scenario did not finish within %v", testTimeout)
	}
	return true
}

func (s *scenario) stop() {
	s.t.Helper()
	s.loop.Post(s.loop.Stop)
	select {
	case err := <-s.ended:
		if err != nil && !fatal(err) {
			s.t.Errorf("the loop ended with %v", err)
		}
	case <-time.After(testTimeout):
		s.t.Fatal("Run did not return after Stop")
	}
}

// localAddress returns the address to which a socket is bound.
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
	c.OnClosed = func() { server.socketClosed = true }
	return server
}

// dialAll dials for all clients; the first pauses its connection at its first input.
func (s *scenario) dialAll(address string) {
	for i := range scenarioClients {
		client := s.newEndpoint(fmt.Sprint("client ", i), bytes.Repeat([]byte{byte('a' + i)}, 3000))
		if i == 0 {
			client.input = s.pauseOnce(client)
		}
		c, err := s.loop.Dial(address, client)
		if err != nil {
			if c != nil {
				s.t.Errorf("Dial returned a connection and the error %v", err)
			}
			client.closed, client.socketClosed = 1, true
			continue
		}
		c.OnClosed = func() { client.socketClosed = true }
	}
}

// pauseOnce returns a function that pauses a connection for 1 ms at its first input.
func (s *scenario) pauseOnce(client *endpoint) func(*Conn) {
	return func(c *Conn) {
		client.input = nil
		c.NoInputPending()
		c.Pause()
		s.loop.Schedule(s.loop.Now()+time.Millisecond, c.Resume)
	}
}

// tick sends datagrams until one is received, and ends the scenario when all its parts are finished.
func (s *scenario) tick(udp *UDPConn, to netip.AddrPort) {
	if !s.received {
		udp.Send(to, []byte("hello"))
	}
	open := slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !e.finished() })
	if s.received && s.posts == scenarioPosts && !open {
		close(s.done)
		return
	}
	s.loop.Schedule(s.loop.Now()+2*time.Millisecond, func() { s.tick(udp, to) })
}

func (s *scenario) check() {
	s.t.Helper()
	for _, e := range s.endpoints {
		if !e.finished() || e.closed > 1 || e.nested {
			s.t.Errorf("%s: opened %v, echo received %v, Closed called %d times (%v, nested %v), socket closed %v",
				e.name, e.opened, e.echoReceived, e.closed, e.err, e.nested, e.socketClosed)
		}
	}
	if s.posts != scenarioPosts {
		s.t.Errorf("%d of %d posted functions have run", s.posts, scenarioPosts)
	}
	if !s.received {
		s.t.Error("no datagram received")
	}
}

// TestDocumentedErrors injects each documented error into each system call, one or several times in a row, from the
// first call on or later. It guards against leaked descriptors, busy loops, and handlers or posted functions that are
// never called.
func TestDocumentedErrors(t *testing.T) {
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
