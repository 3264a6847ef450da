package eventloop

import (
	"errors"
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
	servers  []*endpoint // the handlers of accepted, where onAccept is not set
	onAccept func(*Conn) Handler
}

// runFixture calls prepare, then runs the loop until a condition holds, which it evaluates each millisecond.
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
		t.Error("the condition has not become true")
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

// elapsed is a condition that is true once a time has passed.
func elapsed(span time.Duration) func() bool {
	start := time.Now()
	return func() bool { return time.Since(start) >= span }
}

// TestAcceptContinuesAfterConnectionErrors has accept fail in ways that concern one connection: the next is accepted in
// the same round.
func TestAcceptContinuesAfterConnectionErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EPROTO, unix.EINTR, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			client := &endpoint{}
			f := runFixture(t, func(f *fixture) {
				f.dial(client)
				f.kernel.faults["accept"] = slices.Repeat([]unix.Errno{errno}, 3)
				f.listener.ready(unix.EPOLLIN)
				if len(f.accepted) != 1 {
					t.Errorf("%d connections accepted in the round", len(f.accepted))
				}
			}, func() bool { return client.opened })
			if len(f.servers) != 1 {
				t.Errorf("%d connections accepted", len(f.servers))
			}
		})
	}
}

// TestAcceptDoesNotSpin has accept fail for good while a connection waits: few calls are made, and once it works again
// the connection is accepted. Where epoll cannot be told to ignore the listener, the loop pauses in each round.
func TestAcceptDoesNotSpin(t *testing.T) {
	for _, d := range documentedErrors {
		if d.call != "accept" {
			continue
		}
		for _, errno := range append(d.errnos, unix.EIO) {
			if errno == unix.EAGAIN {
				continue
			}
			for _, ignored := range []bool{true, false} {
				t.Run(unix.ErrnoName(errno), func(t *testing.T) {
					t.Parallel()
					var f *fixture
					calls, span := 0, 100*time.Millisecond
					runFixture(t, func(fixture *fixture) {
						f = fixture
						f.dial(&endpoint{})
						f.kernel.failAll("accept", errno)
						if !ignored {
							f.kernel.failAll("epoll_ctl mod", unix.ENOMEM)
						}
						f.loop.Schedule(f.loop.Now()+span, func() {
							calls = f.kernel.count("accept")
							f.kernel.failAll("accept", 0)
							f.kernel.failAll("epoll_ctl mod", 0)
						})
					}, func() bool { return len(f.accepted) > 0 })
					atMost := 10 * maxAcceptErrors
					if calls > atMost {
						t.Errorf("accept was called %d times in %v, want %d at most", calls, span, atMost)
					}
				})
			}
		}
	}
}

// TestDialInterrupted has connect interrupted by a signal: the attempt goes on.
func TestDialInterrupted(t *testing.T) {
	client := &endpoint{}
	runFixture(t, func(f *fixture) {
		f.kernel.faults["connect"] = []unix.Errno{unix.EINTR}
		if _, err := f.loop.Dial(f.address, client); err != nil {
			t.Error(err)
		}
	}, func() bool { return client.opened || t.Failed() })
}

// TestEpollAddFails has epoll refuse a new descriptor: it is closed, and the loop does not know it any more.
func TestEpollAddFails(t *testing.T) {
	constructors := map[string]func(*fixture) (any, error){
		"Dial":   func(f *fixture) (any, error) { c, err := f.loop.Dial(f.address, &endpoint{}); return c, err },
		"Listen": func(f *fixture) (any, error) { ln, err := f.loop.Listen("127.0.0.1:0", f.accept); return ln, err },
		"ListenUDP": func(f *fixture) (any, error) {
			u, err := f.loop.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) {})
			return u, err
		},
	}
	for name, construct := range constructors {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(f *fixture) {
				open, known := len(f.kernel.open), len(f.loop.files)
				f.kernel.faults["epoll_ctl add"] = []unix.Errno{unix.ENOSPC}
				if _, err := construct(f); !errors.Is(err, unix.ENOSPC) {
					t.Errorf("error %v", err)
				}
				if len(f.kernel.open) != open || len(f.loop.files) != known {
					t.Errorf("%d descriptors and %d entries more than before", len(f.kernel.open)-open, len(f.loop.files)-known)
				}
			}, elapsed(0))
		})
	}
	t.Run("accept", func(t *testing.T) {
		server, client := &endpoint{}, &endpoint{}
		f := runFixture(t, func(f *fixture) {
			f.onAccept = func(*Conn) Handler { return server }
			f.dial(client)
			f.kernel.faults["epoll_ctl add"] = []unix.Errno{unix.ENOMEM}
		}, func() bool { return client.closed > 0 })
		if server.closed != 1 || !errors.Is(server.err, unix.ENOMEM) || len(f.accepted) != 1 {
			t.Errorf("the handler was told of the end %d times, %v", server.closed, server.err)
		}
	})
}

// TestEpollModFails has epoll refuse a change of the events of a connection: its handler is told once, and not inside a
// call of its own.
func TestEpollModFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.ENOENT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
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
			}, func() bool { return server.closed > 0 && (client.closed > 0 || client.served) })
			if server.closed != 1 || server.nested || !errors.Is(server.err, errno) {
				t.Errorf("told of the end %d times, inside a call of its own: %v, with %v", server.closed, server.nested, server.err)
			}
			if !f.accepted[0].closed {
				t.Error("the connection is open")
			}
		})
	}
}

// TestPostRetriesWake has the write to the eventfd fail while the loop sleeps without a timer.
func TestPostRetriesWake(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.EIO} {
		for _, length := range []int{1, 5, 40} {
			k := newFaultyKernel()
			l, err := NewWithSyscalls(0, k)
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- l.Run() }()
			k.mu.Lock()
			k.faults["write eventfd"] = slices.Repeat([]unix.Errno{errno}, length)
			k.mu.Unlock()
			ran := make(chan bool)
			l.Post(func() { close(ran) })
			select {
			case <-ran:
			case <-time.After(testTimeout):
				t.Errorf("%v, %d times: what was posted did not run", errno, length)
				k.mu.Lock()
				k.faults["write eventfd"] = nil
				k.mu.Unlock()
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
	}
}

// TestNoInputPending has recvfrom fail: an interrupted call tells nothing of input.
func TestNoInputPending(t *testing.T) {
	for _, c := range []struct {
		errno unix.Errno
		want  bool
	}{{0, true}, {unix.EINTR, true}, {unix.EAGAIN, true}, {unix.ECONNRESET, false}, {unix.ETIMEDOUT, false}, {unix.ENOMEM, false}} {
		client := &endpoint{}
		runFixture(t, func(f *fixture) {
			conn := f.dial(client)
			f.loop.Schedule(0, func() {})
			client.input = nil
			f.loop.Schedule(f.loop.Now()+2*time.Millisecond, func() { f.expectNoInputPending(conn, client, c.errno, c.want) })
		}, func() bool { return client.gone })
	}
}

// expectNoInputPending compares NoInputPending while recvfrom fails, once the connection is established.
func (f *fixture) expectNoInputPending(c *Conn, client *endpoint, errno unix.Errno, want bool) {
	if !client.opened {
		f.loop.Schedule(f.loop.Now()+time.Millisecond, func() { f.expectNoInputPending(c, client, errno, want) })
		return
	}
	f.kernel.faults["recvfrom"] = []unix.Errno{errno, errno, errno}[:min(3, 3*int(errno))]
	if got := c.NoInputPending(); got != want {
		f.Errorf("NoInputPending is %v after %v, want %v", got, errno, want)
	}
	f.kernel.faults["recvfrom"] = nil
	client.gone = true
}

// TestEpollWaitFails has epoll_wait fail: without memory the loop goes on, with a pause in each round; timers run
// meanwhile.
func TestEpollWaitFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
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
			if errno != unix.EINTR && calls > 100 {
				t.Errorf("epoll_wait was called %d times in 30 ms", calls)
			}
		})
	}
	t.Run("EINVAL", func(t *testing.T) {
		k := newFaultyKernel()
		l, err := NewWithSyscalls(0, k)
		if err != nil {
			t.Fatal(err)
		}
		k.failAll("epoll_wait", unix.EINVAL)
		if err := l.Run(); !errors.Is(err, unix.EINVAL) {
			t.Errorf("Run returns %v", err)
		}
		k.check(t)
	})
}

// TestEstablishedConnectionFails has an established connection end by an error of the network: the handler is told
// which, also while the connection is paused.
func TestEstablishedConnectionFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		for _, paused := range []bool{false, true} {
			server := &endpoint{}
			runFixture(t, func(f *fixture) {
				f.onAccept = func(c *Conn) Handler {
					f.loop.Schedule(0, func() {
						if c.paused = paused; paused {
							f.kernel.faults["SO_ERROR"] = []unix.Errno{errno}
							c.ready(unix.EPOLLERR | unix.EPOLLHUP)
						} else {
							f.kernel.faults["read"] = []unix.Errno{errno}
							c.ready(unix.EPOLLERR | unix.EPOLLIN)
						}
					})
					return server
				}
				f.dial(&endpoint{})
			}, func() bool { return server.closed > 0 })
			if !errors.Is(server.err, errno) || server.closed != 1 {
				t.Errorf("%v, paused %v: told %v, %d times", errno, paused, server.err, server.closed)
			}
		}
	}
}

// TestClosedDescriptorIsLeftAlone uses connections after their end: the kernel may have given their descriptor to
// another.
func TestClosedDescriptorIsLeftAlone(t *testing.T) {
	cases := map[string]func(*fixture, *Conn) Handler{
		"refused with output": func(f *fixture, c *Conn) Handler {
			c.Output = append(c.Output, "busy"...)
			c.Send()
			return nil
		},
		"closed, then refused": func(f *fixture, c *Conn) Handler {
			c.Close()
			return nil
		},
		"closed, then accepted": func(f *fixture, c *Conn) Handler {
			c.Close()
			return &endpoint{}
		},
		"paused, then accepted": func(f *fixture, c *Conn) Handler {
			c.Pause()
			f.loop.Schedule(f.loop.Now()+time.Millisecond, c.Close)
			return &endpoint{}
		},
		"closed between CloseGracefully and the end of the round": func(f *fixture, c *Conn) Handler {
			f.loop.Schedule(0, func() {
				c.Output = append(c.Output, "bye"...)
				c.Send()
				c.CloseGracefully()
				c.Close()
			})
			return &endpoint{}
		},
	}
	for name, onAccept := range cases {
		t.Run(name, func(t *testing.T) {
			client := &endpoint{}
			known := 0
			var f *fixture
			runFixture(t, func(fixture *fixture) {
				f = fixture
				f.onAccept = func(c *Conn) Handler { return onAccept(f, c) }
				known = len(f.loop.files)
				f.dial(client)
			}, func() bool { return client.closed > 0 && len(f.loop.files) <= known })
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

// TestTransient checks Transient with errors as the system returns them and as Listen wraps them.
func TestTransient(t *testing.T) {
	runFixture(t, func(f *fixture) {
		for _, errno := range []unix.Errno{unix.EMFILE, unix.EADDRINUSE} {
			f.kernel.faults["socket"] = []unix.Errno{errno}
			_, err := f.loop.Listen("127.0.0.1:0", f.accept)
			if !errors.Is(err, errno) || Transient(err) != (errno == unix.EMFILE) {
				t.Errorf("%v: transient %v", err, Transient(err))
			}
		}
		f.kernel.faults["bind"] = []unix.Errno{unix.ENOMEM}
		if _, err := f.loop.Listen("127.0.0.1:0", f.accept); !Transient(err) {
			t.Errorf("%v is not transient", err)
		}
	}, elapsed(0))
	for err, want := range map[error]bool{
		unix.EMFILE: true, unix.ENFILE: true, unix.ENOBUFS: true, unix.ENOMEM: true, unix.ENOSPC: true, unix.EAGAIN: true, unix.EINTR: true,
		unix.EADDRNOTAVAIL: true, unix.ENETUNREACH: true, unix.ENETDOWN: true,
		unix.ECONNREFUSED: false, unix.ETIMEDOUT: false, unix.EHOSTUNREACH: false, unix.ECONNRESET: false, unix.EADDRINUSE: false, unix.EACCES: false,
		unix.EINVAL: false, errors.New("other"): false, nil: false,
	} {
		if Transient(err) != want {
			t.Errorf("%v: transient %v", err, !want)
		}
	}
}

// TestReadsDoNotSpin has a descriptor that epoll reports be unreadable for a time: few calls are made, then it is read.
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
		call := c.call
		for _, errno := range c.errnos {
			t.Run(call+"/"+unix.ErrnoName(errno), func(t *testing.T) {
				t.Parallel()
				received, posted, calls, span := false, false, 0, 100*time.Millisecond
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
				if atMost := (int(span/roundPause) + 10) * c.perRound; calls > atMost {
					t.Errorf("%s was made %d times in %v, want %d at most", call, calls, span, atMost)
				}
			})
		}
	}
}
