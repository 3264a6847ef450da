// Package loop is the event loop that one instance runs on: epoll over non-blocking sockets, timers, and an
// eventfd by which other goroutines hand it work. Everything it calls runs on the goroutine of Run, so what
// hangs on one loop needs no locks. It knows bytes and connections, no protocol, and decides nothing.
package loop

import (
	"container/heap"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stats counts what a loop has done since it was made. It is safe to read from any goroutine.
type Stats struct {
	Waits, Reads, Writes, Others atomic.Int64 // system calls
	BytesIn, BytesOut            atomic.Int64
	Copied                       atomic.Int64 // bytes that protocol code copied between buffers
}

// Calls is the number of system calls.
func (s *Stats) Calls() int64 {
	return s.Waits.Load() + s.Reads.Load() + s.Writes.Load() + s.Others.Load()
}

// Loop is one event loop. Only Post, Stop and Stats may be used from other goroutines.
type Loop struct {
	Stats  Stats
	epoll  int
	wake   int
	start  time.Time
	files  map[int32]entry
	uses   int32 // numbers the uses of descriptors
	timers timers
	dirty  []*Conn
	in     []byte // where reads go first
	mu     sync.Mutex
	posted []func()
	open   bool // Post is still heard
	woken  bool
	ending bool
	looked time.Duration // when events were last waited for
	since  time.Duration // what was not heard of before has come after this
	looks  uint64
}

// file is what hangs on a descriptor. Each use of a descriptor has a number of its own, since an event of a
// closed one may still wait in the round in which the kernel gives the same descriptor out again.
type file interface{ ready(events uint32) }

type entry struct {
	file
	use int32
}

// readSize is how much one read takes at most.
const readSize = 256 << 10

// New makes a loop. Its clock starts at origin: Now is origin plus the time since New.
func New(origin time.Duration) (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	ev, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(ep)
		return nil, err
	}
	l := &Loop{epoll: ep, wake: ev, start: time.Now().Add(-origin), files: map[int32]entry{}, in: make([]byte, readSize), open: true}
	if err := l.add(ev, unix.EPOLLIN, wakeFile{l}); err != nil {
		unix.Close(ep)
		unix.Close(ev)
		return nil, err
	}
	return l, nil
}

// Now is the span since the start of the loop's clock; At turns it into a wall clock time.
func (l *Loop) Now() time.Duration              { return time.Since(l.start) }
func (l *Loop) At(span time.Duration) time.Time { return l.start.Add(span) }
func (l *Loop) Span(at time.Time) time.Duration { return at.Sub(l.start) }

// Post has f run on the loop, in the order of the calls. It tells whether f will run: after the loop has
// ended nothing does.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return false
	}
	l.posted = append(l.posted, f)
	if !l.woken {
		l.woken = true
		var one [8]byte
		binary.NativeEndian.PutUint64(one[:], 1)
		unix.Write(l.wake, one[:])
	}
	return true
}

// Stop ends Run after the present round. It must be called on the loop.
func (l *Loop) Stop() { l.ending = true }

// CPU is the processor time that the loop has used. It must be called on the loop.
func (l *Loop) CPU() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Run serves until Stop, then closes all that is open, without telling its owners.
func (l *Loop) Run() error {
	runtime.LockOSThread() // so that CPU counts the loop alone
	defer runtime.UnlockOSThread()
	events := make([]unix.EpollEvent, 256)
	var err error
	l.looked = l.Now()
	for !l.ending {
		if err = l.look(events, l.timers.wait(l.Now())); err != nil {
			break
		}
		l.lookAgain(events)
		l.timers.fire(l.Now)
		l.lookAgain(events)
		l.flush()
	}
	l.mu.Lock()
	l.open, l.posted = false, nil
	l.mu.Unlock()
	for fd := range l.files {
		unix.Close(int(fd))
	}
	unix.Close(l.epoll)
	return err
}

// look waits for events, for so many milliseconds at most, and hands them out.
func (l *Loop) look(events []unix.EpollEvent, wait int) error {
	l.Stats.Waits.Add(1)
	begun, before := l.Now(), l.looked
	n, err := unix.EpollWait(l.epoll, events, wait)
	l.looked, l.looks = l.Now(), l.looks+1
	if l.since = l.looked; l.looked-begun < time.Millisecond { // it may have come before the wait began
		l.since = before
	}
	if err != nil {
		if errors.Is(err, unix.EINTR) {
			return nil
		}
		return err
	}
	for _, e := range events[:n] {
		if f, ok := l.files[e.Fd]; ok && f.use == e.Pad {
			f.ready(e.Events)
		}
	}
	return nil
}

// stale is how old the last look at what has come may be before timers fire and before bytes are written.
const stale = 20 * time.Millisecond

// lookAgain looks once more where the round has taken long. It guards a loop that was held up against acting on what is
// no longer so, as for a client that has gone meanwhile; it would harm one that is always late, which then takes up new
// work before it has written what is done, by one round at most.
func (l *Loop) lookAgain(events []unix.EpollEvent) {
	if l.Now()-l.looked > stale && !l.ending {
		l.look(events, 0)
	}
}

// flush writes what the round has produced, once for each connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.dirty); i++ { // it may grow meanwhile
		l.dirty[i].queued = false
		l.dirty[i].write()
		l.dirty[i] = nil
	}
	l.dirty = l.dirty[:0]
}

type wakeFile struct{ l *Loop }

func (w wakeFile) ready(uint32) {
	var b [8]byte
	w.l.Stats.Others.Add(1)
	unix.Read(w.l.wake, b[:])
	w.l.mu.Lock()
	posted := w.l.posted
	w.l.posted, w.l.woken = nil, false
	w.l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

func (l *Loop) add(fd int, events uint32, f file) error {
	l.uses++
	l.files[int32(fd)] = entry{f, l.uses}
	return l.control(unix.EPOLL_CTL_ADD, fd, events)
}

func (l *Loop) control(how, fd int, events uint32) error {
	l.Stats.Others.Add(1)
	return unix.EpollCtl(l.epoll, how, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.files[int32(fd)].use})
}

func (l *Loop) drop(fd int) {
	delete(l.files, int32(fd))
	l.Stats.Others.Add(1)
	unix.Close(fd)
}

// ---- Timers ----

// Timer is a call due at a time of the loop's clock. The zero value may be armed.
type Timer struct {
	at    time.Duration
	run   func()
	due   Due
	index int // in the heap, from 1; 0: not armed
}

// Due is what a Timer inside a record of its owner's calls, so that arming it allocates nothing.
type Due interface{ Due() }

// Arm has d.Due called at a time of the loop's clock; an armed timer is armed anew.
func (l *Loop) Arm(t *Timer, at time.Duration, d Due) {
	l.Cancel(t)
	t.at, t.due = at, d
	heap.Push(&l.timers, t)
}

// AtTime has run called at a time of the loop's clock, or in the next round if that has passed.
func (l *Loop) AtTime(at time.Duration, run func()) *Timer {
	t := &Timer{at: at, run: run}
	heap.Push(&l.timers, t)
	return t
}

// Cancel takes a timer back; one that is nil or has run is left alone.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.index > 0 {
		heap.Remove(&l.timers, t.index-1)
	}
}

type timers []*Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}
func (h *timers) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.index = len(*h)
}
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	t.index = 0
	return t
}

// wait is how long epoll may wait, in milliseconds, rounded up.
func (h timers) wait(now time.Duration) int {
	if len(h) == 0 {
		return -1
	}
	return int(max(0, min(h[0].at-now+time.Millisecond-1, time.Hour)) / time.Millisecond)
}

func (h *timers) fire(now func() time.Duration) {
	for at := now(); len(*h) > 0 && (*h)[0].at <= at; {
		t := heap.Pop(h).(*Timer)
		if t.due != nil {
			t.due.Due()
		} else {
			t.run()
		}
	}
}

// ---- Connections ----

// Handler is told what becomes of a connection.
type Handler interface {
	// Opened tells that a dialled connection stands.
	Opened(*Conn)
	// Input hands over bytes and returns how many were used; the rest comes again with more behind it.
	Input(c *Conn, b []byte) int
	// Closed tells, once, that the connection is gone; err is nil if the other end closed it in order. It is
	// not called for Close.
	Closed(c *Conn, err error)
}

// Bend changes bytes on their way; what it keeps back it gives at a later call, see Conn.Stir.
type Bend interface {
	In(b []byte) []byte
	Out(b []byte) []byte
}

// Conn is a TCP connection on a loop.
type Conn struct {
	// Out is what is to be sent; append to it and call Send.
	Out []byte
	// Tap, where set, sees the bytes that cross the socket, in order; sent tells which way. No bytes: the end.
	Tap func(sent bool, b []byte)
	// Bend, where set, stands between socket and handler and changes what crosses: the faults of a stand-in's wire.
	Bend Bend
	// Peer is who connected; not set for a connection that was dialled.
	Peer netip.Addr
	// MostRead, where set, is how much one read takes at most.
	MostRead int
	// Before, where set, is called before bytes of Out are written, and may change what is unsent.
	Before func()
	// Ended, where set, is called once the socket is closed, by whichever end.
	Ended func()
	// HearEnd has Closed told at once when the other end has ended its sending, also while the connection is paused;
	// what came before that and was not read is lost. It must be set before the connection is on the loop.
	HearEnd bool

	l       *Loop
	fd      int
	h       Handler
	left    []byte // read and not yet used
	sent    int    // bytes of Out that are gone already
	bent    int    // bytes of Out that Bend has passed
	events  uint32
	dialing bool
	paused  bool
	queued  bool
	closed  bool
	ending  bool          // close once Out is sent
	halved  bool          // it is, and the other end has been told so
	last    time.Duration // from then until the close, after Drop
	came    time.Duration // what was read last has come after this,
	looked  time.Duration // and before this
	held    bool          // it was not all, or reading has stopped since
	resumed uint64        // the look before reading went on
}

func (c *Conn) Loop() *Loop { return c.l }

// Unsent is how many bytes of Out wait for the other end to read.
func (c *Conn) Unsent() int { return len(c.Out) - c.sent }

// Cut takes back bytes of what is unsent: those from one place in it up to another. It must not be used with Bend.
func (c *Conn) Cut(from, to int) { c.Out = slices.Delete(c.Out, c.sent+from, c.sent+to) }

// Send has Out written at the end of the round.
func (c *Conn) Send() {
	if !c.queued && !c.closed && !c.dialing && len(c.Out) > c.sent {
		c.queued = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// Left is how many bytes have come and were not used: a part of what the handler waits for.
func (c *Conn) Left() int { return len(c.left) }

// Came is a time after which what was read last has come: what waits to be read while the loop is held up, or the
// connection paused, has come earlier than it is read.
func (c *Conn) Came() time.Duration { return c.came }

// arrived notes when what is being read may have come at the earliest.
func (c *Conn) arrived(full bool) {
	c.came = c.l.since
	if c.held && c.l.looks <= c.resumed+1 { // it waited already when reading went on
		c.came = min(c.came, c.looked)
	}
	c.looked, c.held, c.resumed = c.l.looked, full, c.l.looks
}

// Pause stops reading until Resume.
func (c *Conn) Pause() { c.paused, c.held = true, true; c.watch() }

// Resume reads again. What came before and was not used is offered once more.
func (c *Conn) Resume() {
	if !c.paused || c.closed {
		return
	}
	c.paused = false
	c.resumed = c.l.looks
	c.watch()
	if len(c.left) > 0 {
		c.l.AtTime(0, func() { c.input(nil) })
	}
}

// Close ends the connection at once, with a reset if data was left unread; Closed is not called, Ended is.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.l.drop(c.fd)
		if c.Tap != nil {
			c.Tap(false, nil)
		}
		if c.Ended != nil {
			c.Ended()
		}
	}
}

// Abort ends the connection at once with a reset: what the other end's system has not taken yet never arrives.
func (c *Conn) Abort() {
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}

// linger is how long Finish waits for an end that does not close once all is sent, unread for one that does not read.
const (
	linger = time.Second
	unread = 10 * time.Second
)

// Finish ends the connection in order: what is in Out is sent, then no more, and the socket is closed once the
// other end has closed too, or a second has passed. Closing at once would have the kernel answer what still
// comes with a reset, which can take from the other end what it has not read yet. Nothing more is read: a request
// that crosses the end stays unread, so that its sender may send it again.
func (c *Conn) Finish() {
	if c.ending || c.closed {
		return
	}
	if c.dialing {
		c.Close()
		return
	}
	c.ending, c.left, c.last = true, nil, linger
	c.Pause()
	c.write()
	c.l.AtTime(c.l.Now()+unread, c.Close)
}

// Drop ends a connection whose bytes are of no use: what is in Out is sent, nothing more is read, and the socket is
// closed after a time in which the other end can read that, or a second later where it does not. Closed is not called.
func (c *Conn) Drop(after time.Duration) {
	if c.ending || c.closed {
		return
	}
	c.ending, c.left, c.last = true, nil, after
	c.Pause()
	c.write()
	c.l.AtTime(c.l.Now()+linger+after, c.Close)
}

// ackWait is how long after one look at what the other end has acknowledged the next follows.
const ackWait = 10 * time.Millisecond

// release closes a connection that has ended its sending, once that takes nothing from the other end: a close over unread
// bytes resets the connection, and what the other end has not acknowledged yet is lost with it.
func (c *Conn) release() {
	if c.closed {
		return
	}
	if c.Unacked() == 0 || c.ended() {
		c.Close()
		return
	}
	// The end of both directions would be told in every round.
	c.l.control(unix.EPOLL_CTL_DEL, c.fd, 0)
	c.l.AtTime(c.l.Now()+ackWait, c.release)
}

// ended tells that the other end has ended its sending and all of it has been read.
func (c *Conn) ended() bool {
	c.l.Stats.Others.Add(1)
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil
}

// Unacked is how many bytes the other end's system has not acknowledged, unsent ones included; 0 where the system does
// not tell.
func (c *Conn) Unacked() int {
	if c.closed || c.dialing {
		return 0
	}
	c.l.Stats.Others.Add(1)
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		n = 0
	}
	return n + c.Unsent()
}

// Quiet tells that nothing has come that was not read, the end of the connection included: what is sent now has
// the next byte that comes for an answer.
func (c *Conn) Quiet() bool {
	if c.closed || c.dialing || len(c.left) > 0 {
		return false
	}
	c.l.Stats.Others.Add(1)
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

func (c *Conn) half() {
	c.halved = true
	c.l.Stats.Others.Add(1)
	unix.Shutdown(c.fd, unix.SHUT_WR)
}

func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if !c.ending {
		c.h.Closed(c, err)
	}
}

func (c *Conn) watch() {
	var want uint32
	if !c.paused && !c.dialing {
		want |= unix.EPOLLIN
	}
	if c.HearEnd && !c.ending || c.halved {
		want |= unix.EPOLLRDHUP
	}
	if c.dialing || c.sent < len(c.Out) && !c.queued {
		want |= unix.EPOLLOUT
	}
	if want != c.events && !c.closed {
		c.events = want
		c.l.control(unix.EPOLL_CTL_MOD, c.fd, want)
	}
}

func (c *Conn) ready(events uint32) {
	if c.dialing {
		c.dialing = false
		if n, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || n != 0 {
			c.fail(errors.Join(err, unix.Errno(n)))
			return
		}
		c.h.Opened(c)
		c.watch()
		c.Send()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.write()
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR|unix.EPOLLRDHUP) != 0 && !c.closed {
		switch {
		case c.HearEnd && !c.ending && events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.fail(unix.ECONNRESET)
		case c.HearEnd && !c.ending && events&unix.EPOLLRDHUP != 0:
			c.fail(nil)
		case !c.paused:
			c.read()
		case c.halved && events&unix.EPOLLERR == 0:
			c.release()
		case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.fail(unix.ECONNRESET)
		}
	}
}

func (c *Conn) read() {
	c.l.Stats.Reads.Add(1)
	room := c.l.in
	if c.MostRead > 0 {
		room = room[:min(c.MostRead, len(room))]
	}
	n, err := unix.Read(c.fd, room)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
	case err != nil:
		c.fail(err)
	case n == 0:
		c.fail(nil)
	default:
		c.l.Stats.BytesIn.Add(int64(n))
		c.arrived(n == len(room))
		if c.Tap != nil {
			c.Tap(false, c.l.in[:n])
		}
		b := c.l.in[:n]
		if c.Bend != nil {
			b = c.Bend.In(b)
		}
		c.input(b)
	}
}

// Stir has Bend give what it kept back.
func (c *Conn) Stir() {
	if c.Bend != nil && !c.closed && !c.dialing {
		c.input(c.Bend.In(nil))
		c.write()
	}
}

// Break ends the connection as a reset by the other end does.
func (c *Conn) Break() { c.fail(unix.ECONNRESET) }

// input offers b behind what was left.
func (c *Conn) input(b []byte) {
	if c.closed || c.ending {
		return
	}
	if len(c.left) > 0 {
		c.left = append(c.left, b...)
		c.l.Stats.Copied.Add(int64(len(b)))
		b = c.left
	}
	used := 0
	if !c.paused {
		used = c.h.Input(c, b)
	}
	if c.closed {
		return
	}
	rest := b[used:]
	c.l.Stats.Copied.Add(int64(len(rest)))
	c.left = append(c.left[:0], rest...)
	if len(c.left) == 0 && cap(c.left) > readSize {
		c.left = nil
	}
	c.Send()
}

func (c *Conn) write() {
	if c.Bend != nil && !c.closed {
		c.bent = min(c.bent, len(c.Out))
		fresh := append([]byte(nil), c.Out[c.bent:]...)
		c.Out = append(c.Out[:c.bent], c.Bend.Out(fresh)...)
		c.bent = len(c.Out)
	}
	if c.Before != nil && !c.closed && c.sent < len(c.Out) {
		c.Before()
	}
	for !c.closed && c.sent < len(c.Out) {
		c.l.Stats.Writes.Add(1)
		n, err := unix.Write(c.fd, c.Out[c.sent:])
		if errors.Is(err, unix.EAGAIN) {
			break
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			c.fail(err)
			return
		}
		if c.Tap != nil {
			c.Tap(true, c.Out[c.sent:c.sent+n])
		}
		c.l.Stats.BytesOut.Add(int64(n))
		c.sent += n
	}
	switch {
	case c.sent == len(c.Out):
		c.Out, c.sent, c.bent = c.Out[:0], 0, 0
		if cap(c.Out) > readSize {
			c.Out = nil
		}
		if c.ending {
			c.half()
		}
		if c.last > 0 {
			c.l.AtTime(c.l.Now()+c.last, c.release)
			c.last = 0
		}
	case c.sent > readSize:
		c.Out = append(c.Out[:0], c.Out[c.sent:]...)
		c.bent, c.sent = max(0, c.bent-c.sent), 0
	}
	c.watch()
}

// Dial starts a connection to an address and port; the handler hears Opened or Closed later.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := socket(to.Addr())
	if err != nil {
		return nil, err
	}
	l.Stats.Others.Add(2)
	err = unix.Connect(fd, sockaddr(to))
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		return nil, err
	}
	c := &Conn{l: l, fd: fd, h: h, dialing: true, events: unix.EPOLLOUT}
	return c, l.add(fd, c.events, c)
}

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	accept func(*Conn) Handler
	closed bool
}

// Listen accepts on an address and port, 0 for any; accept gives each connection its handler, or nil to
// turn it away.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := socket(at.Addr())
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sockaddr(at)); err == nil {
		err = unix.Listen(fd, 1024)
	}
	if err != nil {
		unix.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n := &Listener{l: l, fd: fd, accept: accept}
	return n, l.add(fd, unix.EPOLLIN, n)
}

func socket(to netip.Addr) (int, error) {
	family := unix.AF_INET
	if to.Unmap().Is6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return fd, err
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// Address is where the listener listens.
func (n *Listener) Address() string {
	if sa, err := unix.Getsockname(n.fd); err == nil {
		switch in := sa.(type) {
		case *unix.SockaddrInet4:
			return netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
		case *unix.SockaddrInet6:
			return netip.AddrPortFrom(netip.AddrFrom16(in.Addr), uint16(in.Port)).String()
		}
	}
	return ""
}

// shortOfFiles is how long a listener waits for descriptors to be closed.
const shortOfFiles = 50 * time.Millisecond

// Close stops accepting.
func (n *Listener) Close() {
	if !n.closed {
		n.closed = true
		n.l.drop(n.fd)
	}
}

// mostAccepts is how many connections are accepted at a time; then others have their turn.
const mostAccepts = 32

func (n *Listener) ready(uint32) {
	for i := 0; i < mostAccepts && !n.closed; i++ {
		n.l.Stats.Others.Add(1)
		fd, from, err := unix.Accept4(n.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) { // who waits would wake the loop all the time
			n.l.control(unix.EPOLL_CTL_MOD, n.fd, 0)
			n.l.AtTime(n.l.Now()+shortOfFiles, func() {
				if !n.closed {
					n.l.control(unix.EPOLL_CTL_MOD, n.fd, unix.EPOLLIN)
				}
			})
			return
		}
		if err != nil {
			return
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := &Conn{l: n.l, fd: fd, events: unix.EPOLLIN}
		switch a := from.(type) {
		case *unix.SockaddrInet4:
			c.Peer = netip.AddrFrom4(a.Addr)
		case *unix.SockaddrInet6:
			c.Peer = netip.AddrFrom16(a.Addr)
		}
		if c.h = n.accept(c); c.h == nil {
			unix.Close(fd)
			continue
		}
		if c.HearEnd {
			c.events |= unix.EPOLLRDHUP
		}
		if err := n.l.add(fd, c.events, c); err != nil {
			c.fail(err)
		}
	}
}

// Packets is a UDP socket.
type Packets struct {
	l   *Loop
	fd  int
	got func(from netip.AddrPort, b []byte)
}

// Packets listens for datagrams on an IPv4 address and port; got must not keep b.
func (l *Loop) Packets(address string, got func(from netip.AddrPort, b []byte)) (*Packets, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := unix.Bind(fd, sockaddr(at)); err != nil {
		unix.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	p := &Packets{l, fd, got}
	return p, l.add(fd, unix.EPOLLIN, p)
}

// Send sends one datagram; one that finds no room is lost, as on the way.
func (p *Packets) Send(to netip.AddrPort, b []byte) {
	p.l.Stats.Writes.Add(1)
	unix.Sendto(p.fd, b, unix.MSG_DONTWAIT, sockaddr(to))
}

func (p *Packets) ready(uint32) {
	for range 64 { // then others have their turn
		p.l.Stats.Reads.Add(1)
		n, from, err := unix.Recvfrom(p.fd, p.l.in, unix.MSG_DONTWAIT)
		if err != nil {
			return
		}
		if a, ok := from.(*unix.SockaddrInet4); ok {
			p.got(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), p.l.in[:n])
		}
	}
}
