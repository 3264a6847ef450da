// Package loop is the event loop that one instance runs on: epoll over non-blocking sockets, timers, and an
// eventfd by which other goroutines hand it work. Everything it calls runs on the goroutine of Run, so what
// hangs on one loop needs no locks. It knows bytes and connections, no protocol, and decides nothing.
package loop

import (
	"cmp"
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
	sys    Syscalls
	epoll  int
	wake   int
	start  time.Time
	files  map[int32]entry
	uses   int32 // numbers the uses of descriptors
	timers timers
	dirty  []*Conn
	in     []byte  // where reads go first
	small  [8]byte // what is read of the eventfd, and the byte that Quiet peeks at
	mu     sync.Mutex
	posted []func()
	open   bool // Post is still heard
	woken  bool // the eventfd is readable, or will be
	ending bool
	looked time.Duration // when events were last waited for
	since  time.Duration // what was not heard of before has come after this
	looks  uint64
	// strained tells that something which cannot be silenced would wake the loop at once.
	strained bool
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
func New(origin time.Duration) (*Loop, error) { return NewWithSyscalls(origin, Linux{}) }

// NewWithSyscalls makes a loop that makes its system calls through sys.
func NewWithSyscalls(origin time.Duration, sys Syscalls) (*Loop, error) {
	ep, err := sys.EpollCreate()
	if err != nil {
		return nil, err
	}
	ev, err := sys.Eventfd()
	if err != nil {
		sys.Close(ep)
		return nil, err
	}
	l := &Loop{sys: sys, epoll: ep, wake: ev, start: time.Now().Add(-origin), files: map[int32]entry{}, in: make([]byte, readSize), open: true}
	if err := l.add(ev, unix.EPOLLIN, wakeFile{l}); err != nil {
		sys.Close(ep)
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
	l.rouse()
	return true
}

// retryWake is how long a write to the eventfd that failed waits for the next.
const retryWake = time.Millisecond

// rouse makes the eventfd readable. EAGAIN tells that its counter is full, so that it is readable. After another error
// it is tried again: a loop that waits without a timer would never run what was posted. It is called with mu held.
func (l *Loop) rouse() {
	if l.woken || !l.open || len(l.posted) == 0 {
		return
	}
	if _, err := l.sys.Write(l.wake, one); err == nil || errors.Is(err, unix.EAGAIN) {
		l.woken = true
		return
	}
	time.AfterFunc(retryWake, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rouse()
	})
}

// one is what is added to the eventfd's counter.
var one = binary.NativeEndian.AppendUint64(nil, 1)

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

// pause is how long a loop sleeps in a round in which something would wake it at once that cannot be served.
const pause = time.Millisecond

// Run serves until Stop, then closes all that is open, without telling its owners. It ends earlier, with the error, if
// epoll_wait fails with one that does not pass.
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
		l.takePosted(false)
		l.timers.fire(l.Now)
		l.lookAgain(events)
		l.flush()
		if l.strained {
			l.strained = false
			time.Sleep(pause)
		}
	}
	l.mu.Lock()
	l.open, l.posted = false, nil
	l.mu.Unlock()
	for fd := range l.files {
		l.sys.Close(int(fd))
	}
	clear(l.files) // so that a Close after this leaves the descriptor to who has it then
	l.sys.Close(l.epoll)
	return err
}

// look waits for events, for so many milliseconds at most, and hands them out. An error that may pass is no event: timers
// and what was posted have their turn, and the next round waits again. Without that, a signal that comes all the time
// would keep timers from running.
func (l *Loop) look(events []unix.EpollEvent, wait int) error {
	l.Stats.Waits.Add(1)
	begun, before := l.Now(), l.looked
	n, err := l.sys.EpollWait(l.epoll, events, wait)
	l.looked, l.looks = l.Now(), l.looks+1
	if l.since = l.looked; l.looked-begun < time.Millisecond { // it may have come before the wait began
		l.since = before
	}
	switch {
	case err == nil:
	case errors.Is(err, unix.EINTR):
		return nil
	case Transient(err):
		l.strained = true
		return nil
	default:
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
// work before it has written what is done, by one round at most. An error comes again with the round's own wait.
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
	w.l.Stats.Others.Add(1)
	if _, err := w.l.sys.Read(w.l.wake, w.l.small[:]); err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
		w.l.strained = true // it stays readable
	}
	w.l.takePosted(true)
}

// takePosted runs what was posted, at the end of a round only what the eventfd does not tell of.
func (l *Loop) takePosted(told bool) {
	l.mu.Lock()
	if l.woken && !told {
		l.mu.Unlock()
		return
	}
	posted := l.posted
	l.posted, l.woken = nil, false
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// enter notes what hangs on a descriptor.
func (l *Loop) enter(fd int, f file) {
	l.uses++
	l.files[int32(fd)] = entry{f, l.uses}
}

// add enters a descriptor and has epoll watch it; if that fails, the descriptor is closed.
func (l *Loop) add(fd int, events uint32, f file) error {
	l.enter(fd, f)
	err := l.control(unix.EPOLL_CTL_ADD, fd, events)
	if err != nil {
		l.drop(fd)
	}
	return err
}

func (l *Loop) control(how, fd int, events uint32) error {
	l.Stats.Others.Add(1)
	return l.sys.EpollCtl(l.epoll, how, fd, unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.files[int32(fd)].use})
}

// drop closes a descriptor. It is released whatever close returns, so that is not tried again, see close(2).
func (l *Loop) drop(fd int) {
	if _, ok := l.files[int32(fd)]; !ok { // Run has ended
		return
	}
	delete(l.files, int32(fd))
	l.Stats.Others.Add(1)
	l.sys.Close(fd)
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
	events  uint32 // what epoll watches
	watched bool   // epoll does
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
		c.l.sys.SetsockoptLinger(c.fd, unix.Linger{Onoff: 1})
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
	if c.watched {
		c.watched = false
		c.l.control(unix.EPOLL_CTL_DEL, c.fd, 0)
	}
	c.l.AtTime(c.l.Now()+ackWait, c.release)
}

// ended tells that the other end has ended its sending and all of it has been read.
func (c *Conn) ended() bool {
	c.l.Stats.Others.Add(1)
	n, _, err := c.l.sys.Recvfrom(c.fd, c.l.small[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil
}

// Unacked is how many bytes the other end's system has not acknowledged, unsent ones included; 0 where the system does
// not tell.
func (c *Conn) Unacked() int {
	if c.closed || c.dialing {
		return 0
	}
	c.l.Stats.Others.Add(1)
	n, err := c.l.sys.UnackedBytes(c.fd)
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
	for range interruptions {
		c.l.Stats.Others.Add(1)
		_, _, err := c.l.sys.Recvfrom(c.fd, c.l.small[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
	return false
}

// interruptions is how often a call that does not wait is made anew in one round after a signal has interrupted it.
const interruptions = 16

func (c *Conn) half() {
	c.halved = true
	c.l.Stats.Others.Add(1)
	c.l.sys.Shutdown(c.fd, unix.SHUT_WR)
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
	if want == c.events || c.closed {
		return
	}
	if c.watched {
		if err := c.l.control(unix.EPOLL_CTL_MOD, c.fd, want); err != nil {
			c.failLater(err)
			return
		}
	}
	c.events = want
}

// failLater fails the connection once the call that runs now, which may be one of its handler, has returned.
func (c *Conn) failLater(err error) {
	c.l.AtTime(0, func() { c.fail(err) })
}

// socketError is what the socket has failed with; nil: nothing that is known.
func (c *Conn) socketError() error {
	c.l.Stats.Others.Add(1)
	n, err := c.l.sys.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && n != 0 {
		err = unix.Errno(n)
	}
	return err
}

func (c *Conn) ready(events uint32) {
	if c.dialing {
		c.dialing = false
		if err := c.socketError(); err != nil {
			c.fail(err)
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
			c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
		case c.HearEnd && !c.ending && events&unix.EPOLLRDHUP != 0:
			c.fail(nil)
		case !c.paused:
			c.read()
		case c.halved && events&unix.EPOLLERR == 0:
			c.release()
		case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
		}
	}
}

func (c *Conn) read() {
	c.l.Stats.Reads.Add(1)
	room := c.l.in
	if c.MostRead > 0 {
		room = room[:min(c.MostRead, len(room))]
	}
	n, err := c.l.sys.Read(c.fd, room)
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
	if c.closed { // its descriptor may be another's
		return
	}
	if c.Bend != nil {
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
		n, err := c.l.sys.Write(c.fd, c.Out[c.sent:])
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) { // epoll tells when to go on
			break
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
	if c.closed { // by Tap
		return
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
	fd, err := l.socket(to.Addr())
	if err != nil {
		return nil, err
	}
	l.Stats.Others.Add(2)
	err = l.sys.Connect(fd, sockaddr(to))
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) { // both: it goes on, see connect(2)
		l.sys.Close(fd)
		return nil, err
	}
	c := &Conn{l: l, fd: fd, h: h, dialing: true, events: unix.EPOLLOUT, watched: true}
	if err := l.add(fd, c.events, c); err != nil {
		return nil, err
	}
	return c, nil
}

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	accept func(*Conn) Handler
	closed bool
	rests  bool // until a timer runs
}

// Listen accepts on an address and port, 0 for any; accept gives each connection its handler, or nil to
// turn it away.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.socket(at.Addr())
	if err != nil {
		return nil, err
	}
	l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = l.sys.Bind(fd, sockaddr(at)); err == nil {
		err = l.sys.Listen(fd, 1024)
	}
	if err != nil {
		l.sys.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n := &Listener{l: l, fd: fd, accept: accept}
	if err := l.add(fd, unix.EPOLLIN, n); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	return n, nil
}

func (l *Loop) socket(to netip.Addr) (int, error) {
	family := unix.AF_INET
	if to.Unmap().Is6() {
		family = unix.AF_INET6
	}
	fd, err := l.sys.Socket(family, unix.SOCK_STREAM)
	if err == nil {
		l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
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
	if sa, err := n.l.sys.Getsockname(n.fd); err == nil {
		switch in := sa.(type) {
		case *unix.SockaddrInet4:
			return netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
		case *unix.SockaddrInet6:
			return netip.AddrPortFrom(netip.AddrFrom16(in.Addr), uint16(in.Port)).String()
		}
	}
	return ""
}

const (
	// shortOfFiles is how long a listener, or a socket of datagrams, waits for descriptors or memory to come free.
	shortOfFiles = 50 * time.Millisecond
	// errorsOfAccept is how many errors of single connections a listener passes over in one round.
	errorsOfAccept = 64
)

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
	if n.rests { // epoll was not told
		n.rest()
		return
	}
	for accepted, failed := 0, 0; accepted < mostAccepts && !n.closed; {
		n.l.Stats.Others.Add(1)
		fd, from, err := n.l.sys.Accept(n.fd)
		switch {
		case err == nil:
			accepted++
			n.take(fd, from)
		case errors.Is(err, unix.EAGAIN):
			return
		case failed < errorsOfAccept && ofOneConnection(err):
			failed++
		default:
			n.rest()
			return
		}
	}
}

// ofOneConnection tells of an error of accept that the next call need not meet: a signal, or an error that waited on the
// new socket, see accept(2).
func ofOneConnection(err error) bool {
	return anyOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// take serves a new connection, or turns it away.
func (n *Listener) take(fd int, from unix.Sockaddr) {
	n.l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{l: n.l, fd: fd, events: unix.EPOLLIN}
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		c.Peer = netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		c.Peer = netip.AddrFrom16(a.Addr)
	}
	n.l.enter(fd, c)
	c.h = n.accept(c)
	switch {
	case c.closed:
	case c.h == nil:
		c.closed = true
		n.l.drop(fd)
	default:
		if c.HearEnd {
			c.events |= unix.EPOLLRDHUP
		}
		c.watched = true
		if err := n.l.control(unix.EPOLL_CTL_ADD, fd, c.events); err != nil {
			c.fail(err)
		}
	}
}

// rest stops accepting for a time: connections that wait and cannot be accepted would wake the loop all the time.
func (n *Listener) rest() {
	if n.l.control(unix.EPOLL_CTL_MOD, n.fd, 0) != nil {
		n.l.strained = true
	}
	if !n.rests {
		n.rests = true
		n.l.AtTime(n.l.Now()+shortOfFiles, n.resume)
	}
}

func (n *Listener) resume() {
	if n.closed {
		return
	}
	if n.l.control(unix.EPOLL_CTL_MOD, n.fd, unix.EPOLLIN) != nil {
		n.l.AtTime(n.l.Now()+shortOfFiles, n.resume)
		return
	}
	n.rests = false
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
	fd, err := l.sys.Socket(unix.AF_INET, unix.SOCK_DGRAM)
	if err != nil {
		return nil, err
	}
	if err := l.sys.Bind(fd, sockaddr(at)); err != nil {
		l.sys.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	p := &Packets{l, fd, got}
	if err := l.add(fd, unix.EPOLLIN, p); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	return p, nil
}

// Send sends one datagram; one that finds no room is lost, as on the way.
func (p *Packets) Send(to netip.AddrPort, b []byte) {
	at := sockaddr(to)
	for range interruptions {
		p.l.Stats.Writes.Add(1)
		if err := p.l.sys.Sendto(p.fd, b, unix.MSG_DONTWAIT, at); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// datagrams is how many are read in one round, then others have their turn.
const datagrams = 64

func (p *Packets) ready(uint32) {
	failed := 0
	for range datagrams {
		p.l.Stats.Reads.Add(1)
		n, from, err := p.l.sys.Recvfrom(p.fd, p.l.in, unix.MSG_DONTWAIT)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return
		case anyOf(err, unix.ENOMEM, unix.ENOBUFS): // the datagram stays and would wake the loop at once
			p.l.strained = true
			return
		default: // a signal, or what became of a datagram that was sent
			if failed++; failed == datagrams {
				p.l.strained = true
			}
			continue
		}
		if a, ok := from.(*unix.SockaddrInet4); ok {
			p.got(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), p.l.in[:n])
		}
	}
}
