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

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// party is one end of a connection of a play: it echoes, or it sends and waits for the echo.
type party struct {
	name   string
	send   []byte // nil: it echoes
	got    []byte
	opened bool
	served bool
	closed int // how often it was told
	err    error
	gone   bool // Ended was called
	inside bool // a call of the handler runs
	nested bool // it was told of the end inside a call of its own
	input  func(*Conn)
}

func (p *party) enter() func() {
	p.inside = true
	return func() { p.inside = false }
}

func (p *party) Opened(c *Conn) {
	defer p.enter()()
	p.opened = true
	c.Out = append(c.Out, p.send...)
}

func (p *party) Input(c *Conn, b []byte) int {
	defer p.enter()()
	if p.input != nil {
		p.input(c)
	}
	if p.send == nil {
		c.Out = append(c.Out, b...)
		return len(b)
	}
	p.got = append(p.got, b...)
	if len(p.got) >= len(p.send) && !p.served {
		p.served = bytes.Equal(p.got, p.send)
		c.CloseGracefully()
	}
	return len(b)
}

func (p *party) Closed(_ *Conn, err error) {
	p.closed++
	p.err, p.nested = err, p.nested || p.inside
}

// over tells that the connection is closed and its owner knows how it ended.
func (p *party) over() bool { return p.gone && (p.closed > 0 || p.served) }

// play is a loop on which some parties call a listener of the same loop, others post functions and datagrams are sent,
// while system calls fail.
type play struct {
	t       testing.TB
	k       *kernel
	l       *Loop
	parties []*party
	posts   int
	heard   bool // a datagram
	done    chan bool
	ended   chan error
}

const (
	callers = 3
	posters = 5
)

// fatal is what epoll_wait fails with if its arguments are wrong; Run gives it back.
func fatal(err error) bool { return errors.Is(err, unix.EINVAL) || errors.Is(err, unix.EBADF) }

// perform plays with the faults that the kernel has. All must be over in the end: each party is served or told once of its
// end, each function that was posted has run, no descriptor is open, and the number of calls is bounded.
func perform(t testing.TB, k *kernel) {
	t.Helper()
	defer k.check(t)
	faults := 0
	for _, list := range k.faults {
		faults += len(list)
	}
	l, err := NewWithSyscalls(0, k)
	if err != nil {
		return
	}
	p := &play{t: t, k: k, l: l, done: make(chan bool), ended: make(chan error, 1)}
	start := time.Now()
	listener, err := l.Listen("127.0.0.1:0", p.accept)
	var packets *UDPConn
	if err == nil {
		packets, err = l.ListenUDP("127.0.0.1:0", func(netip.AddrPort, []byte) { p.heard = true })
	}
	if err != nil {
		l.Stop()
		l.Run()
		return
	}
	at := bound(t, listener.fd)
	if got := listener.Address(); got != "" && got != at.String() {
		t.Errorf("listens on %s, tells %s", at, got)
	}
	to := bound(t, packets.fd)
	go func() { p.ended <- l.Run() }()
	for range posters {
		l.Post(func() { p.posts++ })
	}
	l.Post(func() {
		p.call(at.String())
		p.tick(packets, to)
	})
	select {
	case <-p.done:
	case err := <-p.ended:
		if !fatal(err) {
			t.Errorf("the loop has ended: %v", err)
		}
		return
	case <-time.After(patience):
		t.Errorf("not over in %v", patience)
	}
	// Nothing happens now, so that next to no calls may be made.
	bounded := func(what string, calls, atMost int, since time.Time) {
		if atMost += 10 * int(time.Since(since)/time.Millisecond); calls > atMost {
			t.Errorf("%d calls %s, want %d at most", calls, what, atMost)
		}
	}
	bounded("in all", k.count(""), 2000+200*faults, start)
	idle, before := time.Now(), k.count("")
	time.Sleep(5 * time.Millisecond)
	bounded("while nothing happens", k.count("")-before, 50, idle)
	l.Post(l.Stop)
	select {
	case err := <-p.ended:
		if err != nil && !fatal(err) {
			t.Errorf("the loop has ended: %v", err)
		}
	case <-time.After(patience):
		t.Fatal("Stop was not heard")
	}
	p.judge()
}

// bound is the address of a socket.
func bound(t testing.TB, fd int) netip.AddrPort {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(sa.(*unix.SockaddrInet4).Port))
}

func (p *play) join(name string, send []byte) *party {
	x := &party{name: name, send: send}
	p.parties = append(p.parties, x)
	return x
}

func (p *play) accept(c *Conn) Handler {
	x := p.join("accepted", nil)
	c.OnClosed = func() { x.gone = true }
	return x
}

// call dials; one of the callers pauses at its first input.
func (p *play) call(address string) {
	for i := range callers {
		x := p.join(fmt.Sprint("caller ", i), bytes.Repeat([]byte{byte('a' + i)}, 3000))
		if i == 0 {
			x.input = func(c *Conn) {
				x.input = nil
				c.NoInputPending()
				c.Pause()
				p.l.Schedule(p.l.Now()+time.Millisecond, c.Resume)
			}
		}
		c, err := p.l.Dial(address, x)
		if err != nil {
			if c != nil {
				p.t.Errorf("a connection beside %v", err)
			}
			x.closed, x.gone = 1, true
			continue
		}
		c.OnClosed = func() { x.gone = true }
	}
}

// tick sends datagrams until one has come, and ends the play once all is over.
func (p *play) tick(packets *UDPConn, to netip.AddrPort) {
	if !p.heard {
		packets.Send(to, []byte("hello"))
	}
	if p.heard && p.posts == posters && !slices.ContainsFunc(p.parties, func(x *party) bool { return !x.over() }) {
		close(p.done)
		return
	}
	p.l.Schedule(p.l.Now()+2*time.Millisecond, func() { p.tick(packets, to) })
}

func (p *play) judge() {
	for _, x := range p.parties {
		if !x.over() || x.closed > 1 || x.nested {
			p.t.Errorf("%s: opened %v, served %v, told of its end %d times (%v, inside a call of its own: %v), closed %v",
				x.name, x.opened, x.served, x.closed, x.err, x.nested, x.gone)
		}
	}
	if p.posts != posters {
		p.t.Errorf("%d of %d posted functions have run", p.posts, posters)
	}
	if !p.heard {
		p.t.Error("no datagram was heard")
	}
}

// TestFaults has each call fail in each way documented, at once or after some, singly and in runs.
func TestFaults(t *testing.T) {
	for _, d := range documented {
		t.Run(strings.ReplaceAll(d.call, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for _, errno := range d.errnos {
				for _, run := range []struct{ after, length int }{{0, 1}, {0, 4}, {2, 1}, {3, 3}} {
					t.Run(fmt.Sprintf("%s/%d_after_%d", unix.ErrnoName(errno), run.length, run.after), func(t *testing.T) {
						k := newKernel()
						k.faults[d.call] = append(make([]unix.Errno, run.after), slices.Repeat([]unix.Errno{errno}, run.length)...)
						perform(t, k)
					})
				}
			}
		})
	}
}
