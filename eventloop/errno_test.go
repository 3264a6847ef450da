package eventloop

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stage is a loop with a listener, for a test of one call.
type stage struct {
	*testing.T
	k        *kernel
	l        *Loop
	listener *Listener
	address  string
	accepted []*Conn
	servers  []*party
	onAccept func(*Conn) Handler
}

// onStage has set called before the loop runs. The loop ends when until is true, which is asked each millisecond.
func onStage(t *testing.T, set func(*stage), until func() bool) *stage {
	t.Helper()
	s := &stage{T: t, k: newKernel()}
	var err error
	if s.l, err = NewWithSyscalls(0, s.k); err != nil {
		t.Fatal(err)
	}
	if s.listener, err = s.l.Listen("127.0.0.1:0", s.accept); err != nil {
		t.Fatal(err)
	}
	s.address = s.listener.Address()
	set(s)
	s.l.Schedule(s.l.Now()+patience, func() {
		t.Error("what is waited for did not come")
		s.l.Stop()
	})
	var ask func()
	ask = func() {
		if until() {
			s.l.Stop()
		}
		s.l.Schedule(s.l.Now()+time.Millisecond, ask)
	}
	ask()
	if err := s.l.Run(); err != nil {
		t.Error(err)
	}
	s.k.check(t)
	return s
}

func (s *stage) accept(c *Conn) Handler {
	s.accepted = append(s.accepted, c)
	if s.onAccept != nil {
		return s.onAccept(c)
	}
	x := &party{}
	s.servers = append(s.servers, x)
	return x
}

func (s *stage) dial(x *party) *Conn {
	s.Helper()
	c, err := s.l.Dial(s.address, x)
	if err != nil {
		s.Fatal(err)
	}
	return c
}

// elapsed is a condition that is true once a time has passed.
func elapsed(span time.Duration) func() bool {
	start := time.Now()
	return func() bool { return time.Since(start) >= span }
}

// TestAcceptGoesOn has accept fail in ways that concern one connection: the next is accepted in the same round.
func TestAcceptGoesOn(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EPROTO, unix.EINTR, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			x := &party{}
			s := onStage(t, func(s *stage) {
				s.dial(x)
				s.k.faults["accept"] = slices.Repeat([]unix.Errno{errno}, 3)
				s.listener.ready(unix.EPOLLIN)
				if len(s.accepted) != 1 {
					t.Errorf("%d connections accepted in the round", len(s.accepted))
				}
			}, func() bool { return x.opened })
			if len(s.servers) != 1 {
				t.Errorf("%d connections accepted", len(s.servers))
			}
		})
	}
}

// TestAcceptDoesNotSpin has accept fail for good while a connection waits: few calls are made, and once it works again
// the connection is accepted. Where the listener cannot be silenced, the loop slows down.
func TestAcceptDoesNotSpin(t *testing.T) {
	for _, d := range documented {
		if d.call != "accept" {
			continue
		}
		for _, errno := range append(d.errnos, unix.EIO) {
			if errno == unix.EAGAIN {
				continue
			}
			for _, silenced := range []bool{true, false} {
				t.Run(unix.ErrnoName(errno), func(t *testing.T) {
					t.Parallel()
					var s *stage
					calls, span := 0, 100*time.Millisecond
					onStage(t, func(on *stage) {
						s = on
						s.dial(&party{})
						s.k.will("accept", errno)
						if !silenced {
							s.k.will("epoll_ctl mod", unix.ENOMEM)
						}
						s.l.Schedule(s.l.Now()+span, func() {
							calls = s.k.count("accept")
							s.k.will("accept", 0)
							s.k.will("epoll_ctl mod", 0)
						})
					}, func() bool { return len(s.accepted) > 0 })
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
	x := &party{}
	onStage(t, func(s *stage) {
		s.k.faults["connect"] = []unix.Errno{unix.EINTR}
		if _, err := s.l.Dial(s.address, x); err != nil {
			t.Error(err)
		}
	}, func() bool { return x.opened || t.Failed() })
}

// TestAddFails has a descriptor not be taken up by epoll: it is closed, and the loop does not know it any more.
func TestAddFails(t *testing.T) {
	makes := map[string]func(*stage) (any, error){
		"Dial":   func(s *stage) (any, error) { c, err := s.l.Dial(s.address, &party{}); return c, err },
		"Listen": func(s *stage) (any, error) { n, err := s.l.Listen("127.0.0.1:0", s.accept); return n, err },
		"Packets": func(s *stage) (any, error) {
			p, err := s.l.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) {})
			return p, err
		},
	}
	for name, makeOne := range makes {
		t.Run(name, func(t *testing.T) {
			onStage(t, func(s *stage) {
				open, known := len(s.k.open), len(s.l.files)
				s.k.faults["epoll_ctl add"] = []unix.Errno{unix.ENOSPC}
				if _, err := makeOne(s); !errors.Is(err, unix.ENOSPC) {
					t.Errorf("error %v", err)
				}
				if len(s.k.open) != open || len(s.l.files) != known {
					t.Errorf("%d descriptors and %d entries more than before", len(s.k.open)-open, len(s.l.files)-known)
				}
			}, elapsed(0))
		})
	}
	t.Run("accept", func(t *testing.T) {
		server, client := &party{}, &party{}
		s := onStage(t, func(s *stage) {
			s.onAccept = func(*Conn) Handler { return server }
			s.dial(client)
			s.k.faults["epoll_ctl add"] = []unix.Errno{unix.ENOMEM}
		}, func() bool { return client.closed > 0 })
		if server.closed != 1 || !errors.Is(server.err, unix.ENOMEM) || len(s.accepted) != 1 {
			t.Errorf("the handler heard of the end %d times, %v", server.closed, server.err)
		}
	})
}

// TestWatchFails has epoll not take what a connection waits for: its handler is told once, and not inside its own call.
func TestWatchFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.ENOENT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			client := &party{send: []byte("hello")}
			server := &party{}
			s := onStage(t, func(s *stage) {
				server.input = func(c *Conn) {
					server.input = nil
					s.k.will("epoll_ctl mod", errno)
					c.Pause()
					s.k.will("epoll_ctl mod", 0)
				}
				s.onAccept = func(*Conn) Handler { return server }
				s.dial(client)
			}, func() bool { return server.closed > 0 && (client.closed > 0 || client.served) })
			if server.closed != 1 || server.nested || !errors.Is(server.err, errno) {
				t.Errorf("told of the end %d times, inside a call of its own: %v, with %v", server.closed, server.nested, server.err)
			}
			if !s.accepted[0].closed {
				t.Error("the connection is open")
			}
		})
	}
}

// TestPostWithoutWake has the write to the eventfd fail while the loop sleeps without a timer.
func TestPostWithoutWake(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.EIO} {
		for _, length := range []int{1, 5, 40} {
			k := newKernel()
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
			case <-time.After(patience):
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

// TestQuiet has the look at what has come fail: an interrupted one says nothing of data.
func TestQuiet(t *testing.T) {
	for _, c := range []struct {
		errno unix.Errno
		quiet bool
	}{{0, true}, {unix.EINTR, true}, {unix.EAGAIN, true}, {unix.ECONNRESET, false}, {unix.ETIMEDOUT, false}, {unix.ENOMEM, false}} {
		x := &party{}
		onStage(t, func(s *stage) {
			conn := s.dial(x)
			s.l.Schedule(0, func() {})
			x.input = nil
			s.l.Schedule(s.l.Now()+2*time.Millisecond, func() { s.quiet(conn, x, c.errno, c.quiet) })
		}, func() bool { return x.gone })
	}
}

// quiet asks once the connection stands.
func (s *stage) quiet(c *Conn, x *party, errno unix.Errno, want bool) {
	if !x.opened {
		s.l.Schedule(s.l.Now()+time.Millisecond, func() { s.quiet(c, x, errno, want) })
		return
	}
	s.k.faults["recvfrom"] = []unix.Errno{errno, errno, errno}[:min(3, 3*int(errno))]
	if got := c.NoInputPending(); got != want {
		s.Errorf("Quiet is %v at %v", got, errno)
	}
	s.k.faults["recvfrom"] = nil
	x.gone = true
}

// TestWaitFails has epoll_wait fail: short of memory it goes on, slowly; timers are served meanwhile.
func TestWaitFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			x := &party{}
			fired, calls := false, 0
			onStage(t, func(s *stage) {
				s.dial(x)
				s.k.will("epoll_wait", errno)
				s.l.Schedule(s.l.Now()+30*time.Millisecond, func() {
					fired, calls = true, s.k.count("epoll_wait")
					s.k.will("epoll_wait", 0)
				})
			}, func() bool { return fired && x.opened })
			if errno != unix.EINTR && calls > 100 {
				t.Errorf("epoll_wait was called %d times in 30 ms", calls)
			}
		})
	}
	t.Run("EINVAL", func(t *testing.T) {
		k := newKernel()
		l, err := NewWithSyscalls(0, k)
		if err != nil {
			t.Fatal(err)
		}
		k.will("epoll_wait", unix.EINVAL)
		if err := l.Run(); !errors.Is(err, unix.EINVAL) {
			t.Errorf("Run gives %v", err)
		}
		k.check(t)
	})
}

// TestEstablishedFails has an established connection end by an error of the network: the handler is told which, also
// while the connection is paused.
func TestEstablishedFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		for _, paused := range []bool{false, true} {
			x := &party{}
			onStage(t, func(s *stage) {
				s.onAccept = func(c *Conn) Handler {
					s.l.Schedule(0, func() {
						if c.paused = paused; paused {
							s.k.faults["SO_ERROR"] = []unix.Errno{errno}
							c.ready(unix.EPOLLERR | unix.EPOLLHUP)
						} else {
							s.k.faults["read"] = []unix.Errno{errno}
							c.ready(unix.EPOLLERR | unix.EPOLLIN)
						}
					})
					return x
				}
				s.dial(&party{})
			}, func() bool { return x.closed > 0 })
			if !errors.Is(x.err, errno) || x.closed != 1 {
				t.Errorf("%v, paused %v: told %v, %d times", errno, paused, x.err, x.closed)
			}
		}
	}
}

// TestClosedDescriptorIsLeftAlone uses connections after their end: the kernel may have given their descriptor to another.
func TestClosedDescriptorIsLeftAlone(t *testing.T) {
	cases := map[string]func(*stage, *Conn) Handler{
		"turned away with bytes to send": func(s *stage, c *Conn) Handler {
			c.Out = append(c.Out, "busy"...)
			c.Send()
			return nil
		},
		"closed, then turned away": func(s *stage, c *Conn) Handler {
			c.Close()
			return nil
		},
		"closed, then taken": func(s *stage, c *Conn) Handler {
			c.Close()
			return &party{}
		},
		"paused, then taken": func(s *stage, c *Conn) Handler {
			c.Pause()
			s.l.Schedule(s.l.Now()+time.Millisecond, c.Close)
			return &party{}
		},
		"closed between Finish and the end of the round": func(s *stage, c *Conn) Handler {
			s.l.Schedule(0, func() {
				c.Out = append(c.Out, "bye"...)
				c.Send()
				c.CloseGracefully()
				c.Close()
			})
			return &party{}
		},
	}
	for name, onAccept := range cases {
		t.Run(name, func(t *testing.T) {
			x := &party{}
			known := 0
			var s *stage
			onStage(t, func(on *stage) {
				s = on
				s.onAccept = func(c *Conn) Handler { return onAccept(s, c) }
				known = len(s.l.files)
				s.dial(x)
			}, func() bool { return x.closed > 0 && len(s.l.files) <= known })
		})
	}
	t.Run("closed after Run", func(t *testing.T) {
		x := &party{}
		var c *Conn
		s := onStage(t, func(s *stage) { c = s.dial(x) }, func() bool { return x.opened })
		c.Close()
		s.listener.Close()
		s.k.check(t)
	})
}

// TestTransient sorts errors with and without what is round them.
func TestTransient(t *testing.T) {
	onStage(t, func(s *stage) {
		for _, errno := range []unix.Errno{unix.EMFILE, unix.EADDRINUSE} {
			s.k.faults["socket"] = []unix.Errno{errno}
			_, err := s.l.Listen("127.0.0.1:0", s.accept)
			if !errors.Is(err, errno) || Transient(err) != (errno == unix.EMFILE) {
				t.Errorf("%v: transient %v", err, Transient(err))
			}
		}
		s.k.faults["bind"] = []unix.Errno{unix.ENOMEM}
		if _, err := s.l.Listen("127.0.0.1:0", s.accept); !Transient(err) {
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

// TestReadsDoNotSpin has what epoll tells of be unreadable for a time: few calls are made, then it is read.
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
				heard, posted, calls, span := false, false, 0, 100*time.Millisecond
				onStage(t, func(s *stage) {
					p, err := s.l.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) { heard = true })
					if err != nil {
						t.Fatal(err)
					}
					p.Send(bound(t, p.fd), []byte("hello"))
					s.l.Post(func() { posted = true })
					s.k.will(call, errno)
					s.l.Schedule(s.l.Now()+span, func() {
						calls = s.k.count(call)
						s.k.will(call, 0)
					})
				}, func() bool { return heard && posted && calls > 0 })
				if atMost := (int(span/roundPause) + 10) * c.perRound; calls > atMost {
					t.Errorf("%s was made %d times in %v, want %d at most", call, calls, span, atMost)
				}
			})
		}
	}
}
