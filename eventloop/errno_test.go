package eventloop

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fixture is a loop with a listener, for a test of one call.
type fixture struct {
	*testing.T
	kernel   *faultyKernel
	loop     *Loop
	listener *Listener
	address  string // of listener
	accepted []*Conn
	servers  []*endpoint // the handlers of accepted, if onAccept is not set
	onAccept func(*Conn) Handler
}

// runFixture calls prepare, then runs the loop until a condition holds. It evaluates the condition every millisecond.
func runFixture(t *testing.T, prepare func(*fixture), until func() bool) *fixture {
	t.Helper()
	f := &fixture{T: t, kernel: newFaultyKernel()}
	var err error
	if f.loop, err = NewWithSyscalls(0, f.kernel); err != nil {
		t.Fatal(err)
	}
	if f.listener, err = f.loop.Listen("127.0.0.1:0", f.accept); err != nil {
		t.Fatal(err)
	}
	f.address = f.listener.Address()
	prepare(f)
	f.loop.Schedule(f.loop.Now()+testTimeout, func() {
		t.Error("the condition did not become true within 20 s")
		f.loop.Stop()
	})
	var evaluate func()
	evaluate = func() {
		if until() {
			f.loop.Stop()
		}
		f.loop.Schedule(f.loop.Now()+time.Millisecond, evaluate)
	}
	evaluate()
	if err := f.loop.Run(); err != nil {
		t.Error(err)
	}
	f.kernel.check(t)
	return f
}

func (f *fixture) accept(c *Conn) Handler {
	f.accepted = append(f.accepted, c)
	if f.onAccept != nil {
		return f.onAccept(c)
	}
	server := &endpoint{}
	f.servers = append(f.servers, server)
	return server
}

func (f *fixture) dial(client *endpoint) *Conn {
	f.Helper()
	c, err := f.loop.Dial(f.address, client)
	if err != nil {
		f.Fatal(err)
	}
	return c
}

// elapsed returns a condition that becomes true after a time.
func elapsed(span time.Duration) func() bool {
	start := time.Now()
	return func() bool { return time.Since(start) >= span }
}

// TestAcceptContinuesAfterConnectionErrors injects errors of accept that concern one connection. The next connection
// must be accepted in the same round.
func TestAcceptContinuesAfterConnectionErrors(t *testing.T) {
	for _, errno := range []unix.Errno{
		unix.ECONNABORTED, unix.EPROTO, unix.EINTR, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
	} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			client := &endpoint{}
			f := runFixture(t, func(f *fixture) {
				f.dial(client)
				f.kernel.faults["accept"] = slices.Repeat([]unix.Errno{errno}, 3)
				f.listener.handleEvents(unix.EPOLLIN)
				if len(f.accepted) != 1 {
					t.Errorf("%d connections accepted in the round, want 1", len(f.accepted))
				}
			}, func() bool { return client.opened })
			if len(f.servers) != 1 {
				t.Errorf("%d connections accepted, want 1", len(f.servers))
			}
		})
	}
}

// TestAcceptDoesNotSpin guards against a busy loop: every call of accept fails while a connection waits, and epoll is
// level-triggered. The loop must make few calls, and accept the connection after the fault has ended. If epoll_ctl
// fails too, so that the listener cannot be masked, the loop must pause in each round.
func TestAcceptDoesNotSpin(t *testing.T) {
	for _, errno := range append(documentedErrnos("accept"), unix.EIO) {
		if errno == unix.EAGAIN {
			continue
		}
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			expectFewAccepts(t, errno, 0)
		})
		t.Run(unix.ErrnoName(errno)+" and epoll_ctl fails", func(t *testing.T) {
			t.Parallel()
			expectFewAccepts(t, errno, unix.ENOMEM)
		})
	}
}

// expectFewAccepts makes accept fail for 100 ms, and EPOLL_CTL_MOD too if modErrno is not 0. It checks that accept is
// called at most maxCalls times in that time.
func expectFewAccepts(t *testing.T, errno, modErrno unix.Errno) {
	t.Helper()
	const span, maxCalls = 100 * time.Millisecond, 10 * maxAcceptErrors
	var f *fixture
	calls := 0
	runFixture(t, func(fixture *fixture) {
		f = fixture
		f.dial(&endpoint{})
		f.kernel.failAll("accept", errno)
		f.kernel.failAll("epoll_ctl mod", modErrno)
		f.loop.Schedule(f.loop.Now()+span, func() {
			calls = f.kernel.count("accept")
			f.kernel.failAll("accept", 0)
			f.kernel.failAll("epoll_ctl mod", 0)
		})
	}, func() bool { return len(f.accepted) > 0 })
	if calls > maxCalls {
		t.Errorf("accept was called %d times in %v, want at most %d", calls, span, maxCalls)
	}
}

// TestDialInterrupted injects EINTR, a signal, into connect. The attempt to connect must continue.
func TestDialInterrupted(t *testing.T) {
	client := &endpoint{}
	runFixture(t, func(f *fixture) {
		f.kernel.faults["connect"] = []unix.Errno{unix.EINTR}
		if _, err := f.loop.Dial(f.address, client); err != nil {
			t.Error(err)
		}
	}, func() bool { return client.opened || t.Failed() })
}

// TestEpollAddFails makes epoll_ctl fail for a new descriptor. The descriptor must be closed and its registration
// removed.
func TestEpollAddFails(t *testing.T) {
	constructors := map[string]func(*fixture) error{
		"Dial": func(f *fixture) error {
			_, err := f.loop.Dial(f.address, &endpoint{})
			return err
		},
		"Listen": func(f *fixture) error {
			_, err := f.loop.Listen("127.0.0.1:0", f.accept)
			return err
		},
		"ListenUDP": func(f *fixture) error {
			_, err := f.loop.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) {})
			return err
		},
	}
	for name, construct := range constructors {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(f *fixture) { f.expectAddFailure(construct) }, elapsed(0))
		})
	}
	t.Run("accept", expectAcceptedAddFailure)
}

// expectAddFailure makes epoll_ctl fail for the descriptor that a constructor makes.
func (f *fixture) expectAddFailure(construct func(*fixture) error) {
	f.Helper()
	open, known := len(f.kernel.open), len(f.loop.registrations)
	f.kernel.faults["epoll_ctl add"] = []unix.Errno{unix.ENOSPC}
	if err := construct(f); !errors.Is(err, unix.ENOSPC) {
		f.Errorf("error %v, want ENOSPC", err)
	}
	if len(f.kernel.open) != open || len(f.loop.registrations) != known {
		f.Errorf("%d descriptors and %d registrations more than before, want 0 and 0",
			len(f.kernel.open)-open, len(f.loop.registrations)-known)
	}
}

// expectAcceptedAddFailure makes epoll_ctl fail for the descriptor of an accepted connection, which must be closed.
func expectAcceptedAddFailure(t *testing.T) {
	server, client := &endpoint{}, &endpoint{}
	f := runFixture(t, func(f *fixture) {
		f.onAccept = func(*Conn) Handler { return server }
		f.dial(client)
		f.kernel.faults["epoll_ctl add"] = []unix.Errno{unix.ENOMEM}
	}, func() bool { return client.closed > 0 })
	if server.closed != 1 || !errors.Is(server.err, unix.ENOMEM) || len(f.accepted) != 1 {
		t.Errorf("Closed was called %d times, with error %v; want 1 call with ENOMEM", server.closed, server.err)
	}
}

// TestEpollModFails makes epoll_ctl fail when a handler pauses its connection. Closed must be called once, and not
// while another method of the handler runs.
func TestEpollModFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.ENOENT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) { expectModFailure(t, errno) })
	}
}

// expectModFailure makes Conn.Pause fail inside the Input of the connection's handler.
func expectModFailure(t *testing.T, errno unix.Errno) {
	t.Helper()
	client := &endpoint{send: []byte("hello")}
	server := &endpoint{}
	f := runFixture(t, func(f *fixture) {
		server.input = func(c *Conn) {
			server.input = nil
			f.kernel.failAll("epoll_ctl mod", errno)
			c.Pause()
			f.kernel.failAll("epoll_ctl mod", 0)
		}
		f.onAccept = func(*Conn) Handler { return server }
		f.dial(client)
	}, func() bool { return server.closed > 0 && (client.closed > 0 || client.echoReceived) })
	if server.closed != 1 || server.nested || !errors.Is(server.err, errno) {
		t.Errorf("Closed was called %d times, nested %v, error %v; want 1 call, not nested, with the injected error",
			server.closed, server.nested, server.err)
	}
	if !f.accepted[0].closed {
		t.Error("the connection is still open")
	}
}

// TestPostRetriesWake makes the write to the eventfd fail while the loop sleeps without a timer. Without a retry, the
// posted function would never run.
func TestPostRetriesWake(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.EIO} {
		for _, length := range []int{1, 5, 40} {
			t.Run(fmt.Sprintf("%s/%d times", unix.ErrnoName(errno), length), func(t *testing.T) {
				expectPostRuns(t, slices.Repeat([]unix.Errno{errno}, length))
			})
		}
	}
}

// expectPostRuns makes writes to the eventfd fail with these errors, and expects a posted function to run.
func expectPostRuns(t *testing.T, errnos []unix.Errno) {
	t.Helper()
	k := newFaultyKernel()
	l, err := NewWithSyscalls(0, k)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	k.setFaults("write eventfd", errnos)
	ran := make(chan bool)
	l.Post(func() { close(ran) })
	select {
	case <-ran:
	case <-time.After(testTimeout):
		t.Error("the posted function did not run within 20 s")
		k.setFaults("write eventfd", nil)
		l.mu.Lock()
		l.wakePending = false
		l.mu.Unlock()
	}
	l.Post(l.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	k.check(t)
}

// TestNoInputPendingErrors makes recvfrom fail. NoInputPending must repeat an interrupted call, and must return false
// after errors other than EAGAIN and EINTR.
func TestNoInputPendingErrors(t *testing.T) {
	for errno, want := range map[unix.Errno]bool{
		0:               true,
		unix.EINTR:      true,
		unix.EAGAIN:     true,
		unix.ECONNRESET: false,
		unix.ETIMEDOUT:  false,
		unix.ENOMEM:     false,
	} {
		t.Run(cmp.Or(unix.ErrnoName(errno), "no error"), func(t *testing.T) {
			if got := noInputPendingAfter(t, errno); got != want {
				t.Errorf("NoInputPending is %v, want %v", got, want)
			}
		})
	}
}

// noInputPendingAfter returns the result of NoInputPending on an established connection while recvfrom fails; errno 0
// means that it does not fail.
func noInputPendingAfter(t *testing.T, errno unix.Errno) bool {
	t.Helper()
	const calls = 3
	client := &endpoint{}
	got, done := false, false
	runFixture(t, func(f *fixture) {
		conn := f.dial(client)
		var ask func()
		ask = func() {
			if !client.opened {
				f.loop.Schedule(f.loop.Now()+time.Millisecond, ask)
				return
			}
			if errno != 0 {
				f.kernel.faults["recvfrom"] = slices.Repeat([]unix.Errno{errno}, calls)
			}
			got, done = conn.NoInputPending(), true
			f.kernel.faults["recvfrom"] = nil
		}
		f.loop.Schedule(f.loop.Now()+2*time.Millisecond, ask)
	}, func() bool { return done })
	return got
}

// TestEpollWaitErrors makes epoll_wait fail. After ENOMEM the loop must continue, pause in each round and run its
// timers. An error that is not transient must end Run.
func TestEpollWaitErrors(t *testing.T) {
	t.Run("EINTR", func(t *testing.T) { epollWaitCalls(t, unix.EINTR) })
	t.Run("ENOMEM", func(t *testing.T) {
		if calls := epollWaitCalls(t, unix.ENOMEM); calls > 100 {
			t.Errorf("epoll_wait was called %d times in 30 ms, want at most 100", calls)
		}
	})
	t.Run("EINVAL", func(t *testing.T) {
		k := newFaultyKernel()
		l, err := NewWithSyscalls(0, k)
		if err != nil {
			t.Fatal(err)
		}
		k.failAll("epoll_wait", unix.EINVAL)
		if err := l.Run(); !errors.Is(err, unix.EINVAL) {
			t.Errorf("Run returned %v, want EINVAL", err)
		}
		k.check(t)
	})
}

// epollWaitCalls returns the number of times that a loop calls epoll_wait while all calls fail for 30 ms. A timer must
// fire during that time, and a connection must be established afterwards.
func epollWaitCalls(t *testing.T, errno unix.Errno) int {
	t.Helper()
	client := &endpoint{}
	fired, calls := false, 0
	runFixture(t, func(f *fixture) {
		f.dial(client)
		f.kernel.failAll("epoll_wait", errno)
		f.loop.Schedule(f.loop.Now()+30*time.Millisecond, func() {
			fired, calls = true, f.kernel.count("epoll_wait")
			f.kernel.failAll("epoll_wait", 0)
		})
	}, func() bool { return fired && client.opened })
	return calls
}

// TestEstablishedConnectionFails ends an established connection by a network error. The handler must receive the error,
// even if the connection is paused.
func TestEstablishedConnectionFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		t.Run(unix.ErrnoName(errno)+"/reading", func(t *testing.T) {
			expectClosedWith(t, errno, func(f *fixture, c *Conn) {
				f.kernel.faults["read"] = []unix.Errno{errno}
				c.handleEvents(unix.EPOLLERR | unix.EPOLLIN)
			})
		})
		t.Run(unix.ErrnoName(errno)+"/paused", func(t *testing.T) {
			expectClosedWith(t, errno, func(f *fixture, c *Conn) {
				c.paused = true
				f.kernel.faults["SO_ERROR"] = []unix.Errno{errno}
				c.handleEvents(unix.EPOLLERR | unix.EPOLLHUP)
			})
		})
	}
}

// expectClosedWith breaks an accepted connection and expects one call of Closed, with the error.
func expectClosedWith(t *testing.T, errno unix.Errno, breakConn func(*fixture, *Conn)) {
	t.Helper()
	server := &endpoint{}
	runFixture(t, func(f *fixture) {
		f.onAccept = func(c *Conn) Handler {
			f.loop.Schedule(0, func() { breakConn(f, c) })
			return server
		}
		f.dial(&endpoint{})
	}, func() bool { return server.closed > 0 })
	if !errors.Is(server.err, errno) || server.closed != 1 {
		t.Errorf("Closed was called %d times, with error %v; want 1 call with the injected error",
			server.closed, server.err)
	}
}

// TestClosedDescriptorNotUsed uses connections after they are closed. No system call may use their descriptors, since
// the kernel may have reused the numbers.
func TestClosedDescriptorNotUsed(t *testing.T) {
	for name, onAccept := range map[string]func(*fixture, *Conn) Handler{
		"rejected with output":  rejectWithOutput,
		"closed, then rejected": func(_ *fixture, c *Conn) Handler { c.Close(); return nil },
		"closed, then accepted": func(_ *fixture, c *Conn) Handler { c.Close(); return &endpoint{} },
		"paused, then accepted": pauseAndCloseLater,
		"closed between CloseGracefully and the end of the round": closeTwiceInOneRound,
	} {
		t.Run(name, func(t *testing.T) {
			client := &endpoint{}
			known := 0
			var f *fixture
			runFixture(t, func(fixture *fixture) {
				f = fixture
				f.onAccept = func(c *Conn) Handler { return onAccept(f, c) }
				known = len(f.loop.registrations)
				f.dial(client)
			}, func() bool { return client.closed > 0 && len(f.loop.registrations) <= known })
		})
	}
	t.Run("closed after Run", func(t *testing.T) {
		client := &endpoint{}
		var c *Conn
		f := runFixture(t, func(f *fixture) { c = f.dial(client) }, func() bool { return client.opened })
		c.Close()
		f.listener.Close()
		f.kernel.check(t)
	})
}

func rejectWithOutput(_ *fixture, c *Conn) Handler {
	c.Output = append(c.Output, "busy"...)
	c.Send()
	return nil
}

func pauseAndCloseLater(f *fixture, c *Conn) Handler {
	c.Pause()
	f.loop.Schedule(f.loop.Now()+time.Millisecond, c.Close)
	return &endpoint{}
}

func closeTwiceInOneRound(f *fixture, c *Conn) Handler {
	f.loop.Schedule(0, func() {
		c.Output = append(c.Output, "bye"...)
		c.Send()
		c.CloseGracefully()
		c.Close()
	})
	return &endpoint{}
}

// TestTransient checks Transient for errors of system calls and for errors wrapped by Listen.
func TestTransient(t *testing.T) {
	runFixture(t, func(f *fixture) {
		for _, errno := range []unix.Errno{unix.EMFILE, unix.EADDRINUSE} {
			f.kernel.faults["socket"] = []unix.Errno{errno}
			_, err := f.loop.Listen("127.0.0.1:0", f.accept)
			if !errors.Is(err, errno) || Transient(err) != (errno == unix.EMFILE) {
				t.Errorf("Listen returned %v, for which Transient is %v", err, Transient(err))
			}
		}
		f.kernel.faults["bind"] = []unix.Errno{unix.ENOMEM}
		if _, err := f.loop.Listen("127.0.0.1:0", f.accept); !Transient(err) {
			t.Errorf("%v is not transient", err)
		}
	}, elapsed(0))
	for _, err := range []error{
		unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR, unix.EADDRNOTAVAIL,
		unix.ENETUNREACH, unix.ENETDOWN,
	} {
		if !Transient(err) {
			t.Errorf("%v is not transient", err)
		}
	}
	for _, err := range []error{
		unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EADDRINUSE, unix.EACCES,
		unix.EINVAL, errors.New("other"), nil,
	} {
		if Transient(err) {
			t.Errorf("%v is transient", err)
		}
	}
}

// TestReadsDoNotSpin guards against a busy loop: reads of a descriptor fail for a time while epoll reports it as
// readable. The loop must make few calls, and read the descriptor after the fault has ended.
func TestReadsDoNotSpin(t *testing.T) {
	for _, c := range []struct {
		call     string
		errnos   []unix.Errno
		perRound int
	}{
		{"recvfrom", []unix.Errno{unix.ENOMEM, unix.ENOBUFS}, 1},
		{"recvfrom", []unix.Errno{unix.EINTR, unix.ECONNREFUSED, unix.EIO}, maxDatagrams},
		{"read eventfd", []unix.Errno{unix.ENOMEM, unix.EIO}, 1},
	} {
		for _, errno := range c.errnos {
			t.Run(c.call+"/"+unix.ErrnoName(errno), func(t *testing.T) {
				t.Parallel()
				expectFewReads(t, c.call, errno, c.perRound)
			})
		}
	}
}

// expectFewReads makes a call fail for 100 ms while a datagram and a posted function wait. It checks that the call is
// made at most about perRound times in each round.
func expectFewReads(t *testing.T, call string, errno unix.Errno, perRound int) {
	t.Helper()
	const span = 100 * time.Millisecond
	received, posted, calls := false, false, 0
	runFixture(t, func(f *fixture) {
		u, err := f.loop.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) { received = true })
		if err != nil {
			t.Fatal(err)
		}
		u.Send(localAddress(t, u.fd), []byte("hello"))
		f.loop.Post(func() { posted = true })
		f.kernel.failAll(call, errno)
		f.loop.Schedule(f.loop.Now()+span, func() {
			calls = f.kernel.count(call)
			f.kernel.failAll(call, 0)
		})
	}, func() bool { return received && posted && calls > 0 })
	if maxCalls := (int(span/roundPause) + 10) * perRound; calls > maxCalls {
		t.Errorf("%s was called %d times in %v, want at most %d", call, calls, span, maxCalls)
	}
}
