// Package eventloop is the event loop that one instance runs on: epoll over non-blocking sockets, timers, and an
// eventfd by which other goroutines hand it work. Everything it calls runs on the goroutine of Run, so what
// hangs on one loop needs no locks. It knows bytes and connections, no protocol, and decides nothing.
package eventloop

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stats counts what a loop has done since it was made. It is safe to read from any goroutine.
type Stats struct {
	EpollWaits, Reads, Writes, OtherCalls atomic.Int64 // system calls
	BytesIn, BytesOut                     atomic.Int64
	Copied                                atomic.Int64 // bytes that protocol code copied between buffers
}

// Calls is the number of system calls.
func (s *Stats) Calls() int64 {
	return s.EpollWaits.Load() + s.Reads.Load() + s.Writes.Load() + s.OtherCalls.Load()
}

// Loop is one event loop. Only Post, Stop and Stats may be used from other goroutines.
type Loop struct {
	Stats         Stats
	sys           Syscalls
	epoll         int
	wakeFD        int
	start         time.Time
	files         map[int32]registration
	generation    int32 // numbers the uses of descriptors
	timers        timers
	pendingWrites []*Conn
	readBuffer    []byte  // where reads go first
	small         [8]byte // what is read of the eventfd, and the byte that Quiet peeks at
	mu            sync.Mutex
	posted        []func()
	open          bool // Post is still heard
	wakePending   bool // the eventfd is readable, or will be
	stopping      bool
	lastPoll      time.Duration // when events were last waited for
	eventsAfter   time.Duration // what was not heard of before has come after this
	polls         uint64
	// pauseRound tells that something which cannot be silenced would wake the loop at once.
	pauseRound bool
}

// file is what hangs on a descriptor. Each use of a descriptor has a number of its own, since an event of a
// closed one may still wait in the round in which the kernel gives the same descriptor out again.
type file interface{ ready(events uint32) }

type registration struct {
	file
	generation int32
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
	l := &Loop{sys: sys, epoll: ep, wakeFD: ev, start: time.Now().Add(-origin), files: map[int32]registration{}, readBuffer: make([]byte, readSize), open: true}
	if err := l.add(ev, unix.EPOLLIN, wakeHandler{l}); err != nil {
		sys.Close(ep)
		return nil, err
	}
	return l, nil
}

// Now is the span since the start of the loop's clock; At turns it into a wall clock time.
func (l *Loop) Now() time.Duration                    { return time.Since(l.start) }
func (l *Loop) WallTime(span time.Duration) time.Time { return l.start.Add(span) }
func (l *Loop) SinceStart(at time.Time) time.Duration { return at.Sub(l.start) }

// Post has f run on the loop, in the order of the calls. It tells whether f will run: after the loop has
// ended nothing does.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return false
	}
	l.posted = append(l.posted, f)
	l.signalWake()
	return true
}

// wakeRetryDelay is how long a write to the eventfd that failed waits for the next.
const wakeRetryDelay = time.Millisecond

// signalWake makes the eventfd readable. EAGAIN tells that its counter is full, so that it is readable. After another error
// it is tried again: a loop that waits without a timer would never run what was posted. It is called with mu held.
func (l *Loop) signalWake() {
	if l.wakePending || !l.open || len(l.posted) == 0 {
		return
	}
	if _, err := l.sys.Write(l.wakeFD, one); err == nil || errors.Is(err, unix.EAGAIN) {
		l.wakePending = true
		return
	}
	time.AfterFunc(wakeRetryDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.signalWake()
	})
}

// one is what is added to the eventfd's counter.
var one = binary.NativeEndian.AppendUint64(nil, 1)

// Stop ends Run after the present round. It must be called on the loop.
func (l *Loop) Stop() { l.stopping = true }

// CPU is the processor time that the loop has used. It must be called on the loop.
func (l *Loop) CPU() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// roundPause is how long a loop sleeps in a round in which something would wake it at once that cannot be served.
const roundPause = time.Millisecond

// Run serves until Stop, then closes all that is open, without telling its owners. It ends earlier, with the error, if
// epoll_wait fails with one that does not pass.
func (l *Loop) Run() error {
	runtime.LockOSThread() // so that CPU counts the loop alone
	defer runtime.UnlockOSThread()
	events := make([]unix.EpollEvent, 256)
	var err error
	l.lastPoll = l.Now()
	for !l.stopping {
		if err = l.poll(events, l.timers.wait(l.Now())); err != nil {
			break
		}
		l.pollAgain(events)
		l.runPosted(false)
		l.timers.fire(l.Now)
		l.pollAgain(events)
		l.flush()
		if l.pauseRound {
			l.pauseRound = false
			time.Sleep(roundPause)
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

// poll waits for events, for so many milliseconds at most, and hands them out. An error that may pass is no event: timers
// and what was posted have their turn, and the next round waits again. Without that, a signal that comes all the time
// would keep timers from running.
func (l *Loop) poll(events []unix.EpollEvent, wait int) error {
	l.Stats.EpollWaits.Add(1)
	begun, before := l.Now(), l.lastPoll
	n, err := l.sys.EpollWait(l.epoll, events, wait)
	l.lastPoll, l.polls = l.Now(), l.polls+1
	if l.eventsAfter = l.lastPoll; l.lastPoll-begun < time.Millisecond { // it may have come before the wait began
		l.eventsAfter = before
	}
	switch {
	case err == nil:
	case errors.Is(err, unix.EINTR):
		return nil
	case Transient(err):
		l.pauseRound = true
		return nil
	default:
		return err
	}
	for _, e := range events[:n] {
		if f, ok := l.files[e.Fd]; ok && f.generation == e.Pad {
			f.ready(e.Events)
		}
	}
	return nil
}

// maxPollAge is how old the last look at what has come may be before timers fire and before bytes are written.
const maxPollAge = 20 * time.Millisecond

// pollAgain looks once more where the round has taken long. It guards a loop that was held up against acting on what is
// no longer so, as for a client that has gone meanwhile; it would harm one that is always late, which then takes up new
// work before it has written what is done, by one round at most. An error comes again with the round's own wait.
func (l *Loop) pollAgain(events []unix.EpollEvent) {
	if l.Now()-l.lastPoll > maxPollAge && !l.stopping {
		l.poll(events, 0)
	}
}

// flush writes what the round has produced, once for each connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.pendingWrites); i++ { // it may grow meanwhile
		l.pendingWrites[i].queued = false
		l.pendingWrites[i].write()
		l.pendingWrites[i] = nil
	}
	l.pendingWrites = l.pendingWrites[:0]
}

type wakeHandler struct{ l *Loop }

func (w wakeHandler) ready(uint32) {
	w.l.Stats.OtherCalls.Add(1)
	if _, err := w.l.sys.Read(w.l.wakeFD, w.l.small[:]); err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
		w.l.pauseRound = true // it stays readable
	}
	w.l.runPosted(true)
}

// runPosted runs what was posted, at the end of a round only what the eventfd does not tell of.
func (l *Loop) runPosted(told bool) {
	l.mu.Lock()
	if l.wakePending && !told {
		l.mu.Unlock()
		return
	}
	posted := l.posted
	l.posted, l.wakePending = nil, false
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// register notes what hangs on a descriptor.
func (l *Loop) register(fd int, f file) {
	l.generation++
	l.files[int32(fd)] = registration{f, l.generation}
}

// add enters a descriptor and has epoll watch it; if that fails, the descriptor is closed.
func (l *Loop) add(fd int, events uint32, f file) error {
	l.register(fd, f)
	err := l.control(unix.EPOLL_CTL_ADD, fd, events)
	if err != nil {
		l.closeFile(fd)
	}
	return err
}

func (l *Loop) control(how, fd int, events uint32) error {
	l.Stats.OtherCalls.Add(1)
	return l.sys.EpollCtl(l.epoll, how, fd, unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.files[int32(fd)].generation})
}

// closeFile closes a descriptor. It is released whatever close returns, so that is not tried again, see close(2).
func (l *Loop) closeFile(fd int) {
	if _, ok := l.files[int32(fd)]; !ok { // Run has ended
		return
	}
	delete(l.files, int32(fd))
	l.Stats.OtherCalls.Add(1)
	l.sys.Close(fd)
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
