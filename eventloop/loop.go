// Package eventloop is the event loop of one instance: epoll over sockets that do not block, timers, and an eventfd by
// which other goroutines hand it work. The package knows bytes and connections, no protocol, and makes no decisions.
//
// All handlers, timers and posted functions run on the goroutine that called Loop.Run, so what one loop serves needs no
// locks; they must not block. Other goroutines may call only what is said to allow it, such as Loop.Post. The package
// starts no goroutine, except that a timer of the time package repeats a wake-up that failed.
//
// A round of the loop takes up events, runs what was posted, runs the timers that are due, and then writes the output
// of all connections. Where a round takes long, it looks for events again before it runs timers and before it writes.
//
// The package rests on epoll(7), eventfd(2), socket(7) and tcp(7) of Linux.
package eventloop

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stats are totals since a loop was made. They may be read from any goroutine.
type Stats struct {
	// EpollWaits, Reads, Writes and OtherCalls count system calls.
	EpollWaits, Reads, Writes, OtherCalls atomic.Int64
	// BytesIn and BytesOut count the bytes of TCP connections.
	BytesIn, BytesOut atomic.Int64
	// Copied counts the bytes that were copied between buffers, by the loop and by protocol code.
	Copied atomic.Int64
}

// Calls is the number of system calls.
func (s *Stats) Calls() int64 {
	return s.EpollWaits.Load() + s.Reads.Load() + s.Writes.Load() + s.OtherCalls.Load()
}

// Loop is an event loop. Only Post, Stats, and the methods that convert times may be used from other goroutines.
type Loop struct {
	Stats Stats

	sys            Syscalls
	epollFD        int
	wakeFD         int       // the eventfd
	start          time.Time // of the clock
	files          map[int32]registration
	lastGeneration int32
	timers         timers
	pendingWrites  []*Conn // connections to write at the end of the round
	readBuffer     []byte  // of all reads of sockets
	smallBuffer    [8]byte // of reads of the eventfd, and of Conn.peek
	stopping       bool
	pauseRound     bool // something that cannot be silenced would wake the loop at once

	lastPoll    time.Duration // when epoll_wait returned last
	eventsAfter time.Duration // events that were not reported before the last poll have happened after this
	polls       uint64        // number of calls of epoll_wait

	mu           sync.Mutex // guards what follows
	posted       []func()
	acceptsPosts bool // Run has not ended
	wakePending  bool // the eventfd is readable, or will be
}

const (
	// readSize is the size of the buffer of reads, in bytes.
	readSize = 256 << 10
	// eventsPerPoll is how many events one poll takes at most.
	eventsPerPoll = 256
	// wakeRetryDelay is the time between a write to the eventfd that failed and its retry.
	wakeRetryDelay = time.Millisecond
	// roundPause is how long a loop sleeps in a round in which something that cannot be served would wake it at once.
	roundPause = time.Millisecond
	// maxPollAge is how long ago the last poll may be when timers run and when output is written.
	maxPollAge = 20 * time.Millisecond
)

// eventfdIncrement is what a wake-up adds to the eventfd's counter, see eventfd(2).
var eventfdIncrement = binary.NativeEndian.AppendUint64(nil, 1)

// file serves the events of a descriptor.
type file interface {
	ready(events uint32)
}

// registration is a use of a descriptor. Each has a generation of its own: it guards against events of a descriptor
// that was closed, and given out again by the kernel, in the round in which they are served.
type registration struct {
	file
	generation int32
}

// New makes a loop. Now is origin plus the time since New. The loop holds descriptors until Run has ended.
func New(origin time.Duration) (*Loop, error) { return NewWithSyscalls(origin, Linux{}) }

// NewWithSyscalls makes a loop that makes its system calls through sys.
func NewWithSyscalls(origin time.Duration, sys Syscalls) (*Loop, error) {
	epollFD, err := sys.EpollCreate()
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	wakeFD, err := sys.Eventfd()
	if err != nil {
		_ = sys.Close(epollFD) // unused; the error above is the one to report
		return nil, os.NewSyscallError("eventfd", err)
	}
	l := &Loop{
		sys:          sys,
		epollFD:      epollFD,
		wakeFD:       wakeFD,
		start:        time.Now().Add(-origin),
		files:        map[int32]registration{},
		readBuffer:   make([]byte, readSize),
		acceptsPosts: true,
	}
	if err := l.add(wakeFD, unix.EPOLLIN, wakeHandler{l}); err != nil {
		_ = sys.Close(epollFD) // unused; the error above is the one to report
		return nil, err
	}
	return l, nil
}

// Now is the time of the loop's clock: the time since its start.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// WallTime converts a time of the loop's clock.
func (l *Loop) WallTime(at time.Duration) time.Time { return l.start.Add(at) }

// SinceStart converts a time to one of the loop's clock.
func (l *Loop) SinceStart(at time.Time) time.Duration { return at.Sub(l.start) }

// Post has f run on the loop, in the order of the calls. It may be called from any goroutine. It reports false, and f
// does not run, once Run has ended; f does not run either where Run ends before its turn.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acceptsPosts {
		return false
	}
	l.posted = append(l.posted, f)
	l.signalWake()
	return true
}

// signalWake makes the eventfd readable. EAGAIN tells that its counter is full, so that it is readable already, see
// eventfd(2). After another error it is retried: a loop that waits without a timer would never run what was posted.
// The caller holds mu.
func (l *Loop) signalWake() {
	if l.wakePending || !l.acceptsPosts || len(l.posted) == 0 {
		return
	}
	if _, err := l.sys.Write(l.wakeFD, eventfdIncrement); err == nil || errors.Is(err, unix.EAGAIN) {
		l.wakePending = true
		return
	}
	time.AfterFunc(wakeRetryDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.signalWake()
	})
}

// Stop has Run return after the present round. It must be called on the loop, or before Run.
func (l *Loop) Stop() { l.stopping = true }

// CPU is the processor time, of user and system, that the thread of the loop has used, see getrusage(2); 0 where the
// call fails. It must be called on the loop.
func (l *Loop) CPU() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Run serves until Stop, then closes all descriptors without telling their owners. It must be called once. It ends
// earlier, and returns the error, if epoll_wait fails in a way that is not Transient.
func (l *Loop) Run() error {
	runtime.LockOSThread() // so that CPU counts the loop alone
	defer runtime.UnlockOSThread()
	events := make([]unix.EpollEvent, eventsPerPoll)
	l.lastPoll = l.Now()
	var err error
	for err == nil && !l.stopping {
		err = l.round(events)
	}
	l.closeAll()
	return os.NewSyscallError("epoll_wait", err)
}

// round waits for events and serves them, and all that is due.
func (l *Loop) round(events []unix.EpollEvent) error {
	if err := l.poll(events, l.timers.timeout(l.Now())); err != nil {
		return err
	}
	l.pollAgain(events)
	l.runUnsignalledPosts()
	l.timers.fire(l.Now)
	l.pollAgain(events)
	l.flush()
	if l.pauseRound {
		l.pauseRound = false
		time.Sleep(roundPause)
	}
	return nil
}

// closeAll closes all descriptors. Nothing that was posted and has not run will run.
func (l *Loop) closeAll() {
	l.mu.Lock()
	l.acceptsPosts, l.posted = false, nil
	l.mu.Unlock()
	for fd := range l.files {
		_ = l.sys.Close(int(fd)) // released whatever close(2) returns
	}
	clear(l.files)             // a later Conn.Close must not close a descriptor that the kernel has given out again
	_ = l.sys.Close(l.epollFD) // released whatever close(2) returns
}

// minBlocked is how long epoll_wait takes at least if it has waited: then there was no event when it was called.
const minBlocked = time.Millisecond

// poll waits for events, up to a timeout in milliseconds (-1: none), and serves them. After a transient error it
// returns nil, so that timers and posted functions have their turn before the next round waits again: a signal that
// comes all the time would keep them from running otherwise.
func (l *Loop) poll(events []unix.EpollEvent, timeout int) error {
	l.Stats.EpollWaits.Add(1)
	called, previousPoll := l.Now(), l.lastPoll
	n, err := l.sys.EpollWait(l.epollFD, events, timeout)
	l.lastPoll = l.Now()
	l.polls++
	l.eventsAfter = l.lastPoll
	if l.lastPoll-called < minBlocked { // they may have happened before the call
		l.eventsAfter = previousPoll
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

// pollAgain polls once more where the round has taken long. It guards a loop that was held up against acting on a state
// that has changed meanwhile, as for a client that has gone. It harms a loop that is always late: that takes up new
// work before it has written its output, one round at most.
func (l *Loop) pollAgain(events []unix.EpollEvent) {
	if l.Now()-l.lastPoll > maxPollAge && !l.stopping {
		_ = l.poll(events, 0) // the next round meets the error too
	}
}

// flush writes the output of the round, once for each connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.pendingWrites); i++ { // it may grow meanwhile
		l.pendingWrites[i].writeQueued = false
		l.pendingWrites[i].write()
		l.pendingWrites[i] = nil
	}
	l.pendingWrites = l.pendingWrites[:0]
}

// wakeHandler serves the eventfd.
type wakeHandler struct{ loop *Loop }

func (w wakeHandler) ready(uint32) {
	l := w.loop
	l.Stats.OtherCalls.Add(1)
	_, err := l.sys.Read(l.wakeFD, l.smallBuffer[:])
	if err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
		l.pauseRound = true // it stays readable
	}
	l.runPosts()
}

// runPosts runs what was posted, once epoll has reported the eventfd.
func (l *Loop) runPosts() {
	l.mu.Lock()
	posted := l.takePosts()
	l.mu.Unlock()
	runAll(posted)
}

// runUnsignalledPosts runs what was posted while the eventfd could not be written. Other posts are left to the event
// that epoll will report.
func (l *Loop) runUnsignalledPosts() {
	l.mu.Lock()
	var posted []func()
	if !l.wakePending {
		posted = l.takePosts()
	}
	l.mu.Unlock()
	runAll(posted)
}

// takePosts returns what was posted and has not run. The caller holds mu.
func (l *Loop) takePosts() []func() {
	posted := l.posted
	l.posted, l.wakePending = nil, false
	return posted
}

func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// register notes who serves the events of a descriptor.
func (l *Loop) register(fd int, f file) {
	l.lastGeneration++
	l.files[int32(fd)] = registration{f, l.lastGeneration}
}

// add registers a descriptor and has epoll watch it; if that fails, the descriptor is closed.
func (l *Loop) add(fd int, events uint32, f file) error {
	l.register(fd, f)
	if err := l.control(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		l.closeFile(fd)
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

// control changes what epoll watches of a descriptor, see epoll_ctl(2). The 64 bits that epoll returns with an event
// are the descriptor and its generation.
func (l *Loop) control(operation, fd int, events uint32) error {
	l.Stats.OtherCalls.Add(1)
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.files[int32(fd)].generation}
	return l.sys.EpollCtl(l.epollFD, operation, fd, event)
}

// closeFile closes a descriptor. Linux releases it whatever close returns, so the call is not repeated, see close(2).
func (l *Loop) closeFile(fd int) {
	if _, ok := l.files[int32(fd)]; !ok { // Run has ended
		return
	}
	delete(l.files, int32(fd))
	l.Stats.OtherCalls.Add(1)
	_ = l.sys.Close(fd)
}

// newSocket makes a TCP socket for an address.
func (l *Loop) newSocket(address netip.Addr) (int, error) {
	family := unix.AF_INET
	if address.Unmap().Is6() {
		family = unix.AF_INET6
	}
	fd, err := l.sys.Socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	l.setNoDelay(fd)
	return fd, nil
}

// setNoDelay sets TCP_NODELAY, see tcp(7): output is written once a round, so Nagle's algorithm would only delay it.
func (l *Loop) setNoDelay(fd int) {
	_ = l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the socket works without it, only slower
}

func sockaddr(address netip.AddrPort) unix.Sockaddr {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}
