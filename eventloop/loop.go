// Package eventloop implements the event loop of one instance: epoll over non-blocking sockets, timers, and an eventfd
// through which other goroutines post functions. The package handles bytes and connections. It implements no protocol
// and makes no scheduling decisions.
//
// All handlers, timers and posted functions run on the goroutine that called Loop.Run, so the state of one loop needs
// no locks. They must not block. Other goroutines may call only the methods that are documented for it, such as
// Loop.Post. The package starts no goroutine, except that a timer of the time package retries a failed wake-up.
//
// A round of the loop handles events, runs posted functions, runs the timers that are due, and then writes the output
// of all connections. If a round takes long, the loop polls again before it runs timers and before it writes.
//
// The package uses epoll(7), eventfd(2), socket(7) and tcp(7) of Linux.
package eventloop

import (
	"errors"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stats has totals since the loop was made. They may be read from any goroutine.
type Stats struct {
	// EpollWaits, Reads, Writes and OtherCalls count system calls.
	EpollWaits, Reads, Writes, OtherCalls atomic.Int64
	// BytesIn and BytesOut count the bytes of TCP connections.
	BytesIn, BytesOut atomic.Int64
	// Copied counts the bytes that were copied between buffers, by the loop and by protocol code.
	Copied atomic.Int64
}

// Calls returns the number of system calls.
func (s *Stats) Calls() int64 {
	return s.EpollWaits.Load() + s.Reads.Load() + s.Writes.Load() + s.OtherCalls.Load()
}

// Loop is an event loop. Only Post, Stats, and the methods that convert times may be used from other goroutines.
type Loop struct {
	Stats Stats

	sys            Syscalls
	epollFD        int
	wakeFD         int       // the eventfd
	start          time.Time // time 0 of the loop's clock
	registrations  map[int32]registration
	lastGeneration int32
	timers         timers
	pendingWrites  []*Conn // connections to write at the end of the round
	readBuffer     []byte  // used for all reads of sockets
	smallBuffer    [8]byte // used for reads of the eventfd and by Conn.peek
	stopping       bool
	pauseRound     bool // an event that cannot be handled or masked would wake the loop immediately

	lastPoll    time.Duration // the time at which epoll_wait last returned
	eventsAfter time.Duration // events first reported by the last poll happened after this time
	polls       uint64        // number of calls of epoll_wait

	mu           sync.Mutex // guards the fields below
	posted       []func()
	acceptsPosts bool // Run has not ended
	wakePending  bool // the eventfd is readable, or will be
}

const (
	// readSize is the size of the buffer of reads, in bytes.
	readSize = 256 << 10
	// keptOutputSize is the largest size, in bytes, of an empty output buffer that a connection keeps for reuse.
	keptOutputSize = 16 << 10
	// eventsPerPoll is the maximum number of events of one poll.
	eventsPerPoll = 256
	// roundPause is the time for which the loop sleeps in a round if an event that cannot be handled would wake it
	// immediately.
	roundPause = time.Millisecond
	// maxPollAge is the maximum age of the last poll when timers run and when output is written.
	maxPollAge = 20 * time.Millisecond
)

// New makes a loop. Its clock, see Now, starts at origin. The loop holds descriptors until Run has returned. An error
// is an *os.SyscallError; see Transient.
func New(origin time.Duration) (*Loop, error) { return NewWithSyscalls(origin, Linux{}) }

// NewWithSyscalls is like New, for a loop that makes its system calls through sys.
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
		sys:           sys,
		epollFD:       epollFD,
		wakeFD:        wakeFD,
		start:         time.Now().Add(-origin),
		registrations: map[int32]registration{},
		readBuffer:    make([]byte, readSize),
		acceptsPosts:  true,
	}
	if err := l.add(wakeFD, unix.EPOLLIN, wakeHandler{l}); err != nil {
		_ = sys.Close(epollFD) // unused; the error above is the one to report
		return nil, err
	}
	return l, nil
}

// Now returns the time of the loop's clock: origin plus the time since New.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// WallTime converts a time of the loop's clock to wall-clock time.
func (l *Loop) WallTime(at time.Duration) time.Time { return l.start.Add(at) }

// SinceStart converts a wall-clock time to a time of the loop's clock.
func (l *Loop) SinceStart(at time.Time) time.Duration { return at.Sub(l.start) }

// RoundAge returns the time since the loop last looked for events. If it is long, events have waited for as long.
func (l *Loop) RoundAge() time.Duration { return l.Now() - l.lastPoll }

// Stop makes Run return after the current round. It must be called on the loop, or before Run.
func (l *Loop) Stop() { l.stopping = true }

// CPU returns the user and system time that the thread of the loop has used, see getrusage(2), or 0 if the call fails.
// It must be called on the loop.
func (l *Loop) CPU() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Run runs the loop until Stop, then closes all descriptors without calling their handlers. It must be called once. It
// returns early, with the error, if epoll_wait fails with an error that is not Transient.
func (l *Loop) Run() error {
	runtime.LockOSThread() // so that CPU measures the loop alone
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

// round waits for events, handles them, runs posted functions and due timers, and writes output.
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

// closeAll closes all descriptors. Posted functions that have not run are dropped.
func (l *Loop) closeAll() {
	l.mu.Lock()
	l.acceptsPosts, l.posted = false, nil
	l.mu.Unlock()
	for fd := range l.registrations {
		_ = l.sys.Close(int(fd)) // released whatever close(2) returns
	}
	clear(l.registrations)     // a later Conn.Close must not close a descriptor number that the kernel has reused
	_ = l.sys.Close(l.epollFD) // released whatever close(2) returns
}

// minBlocked is the shortest duration of an epoll_wait call that shows that the call has waited, so that no event was
// pending when it began.
const minBlocked = time.Millisecond

// poll waits for events, up to a timeout in milliseconds (-1: none), and handles them. After a transient error it
// returns nil, so that timers and posted functions run before the next round waits again. Otherwise frequent signals
// could keep them from running.
func (l *Loop) poll(events []unix.EpollEvent, timeout int) error {
	l.Stats.EpollWaits.Add(1)
	called, previousPoll := l.Now(), l.lastPoll
	n, err := l.sys.EpollWait(l.epollFD, events, timeout)
	l.lastPoll = l.Now()
	l.polls++
	l.eventsAfter = l.lastPoll
	if l.lastPoll-called < minBlocked { // the events may have happened before the call
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
		if f, ok := l.registrations[e.Fd]; ok && f.generation == e.Pad {
			f.handleEvents(e.Events)
		}
	}
	return nil
}

// pollAgain polls once more if the round has taken long. After a process pause the loop would otherwise act on a state
// that has changed meanwhile, for example for a client that has disconnected. Limitation: in a loop that is always
// late, output is delayed until the new events are handled. It is still written in the same round.
func (l *Loop) pollAgain(events []unix.EpollEvent) {
	if l.Now()-l.lastPoll > maxPollAge && !l.stopping {
		_ = l.poll(events, 0) // the poll of the next round returns the error too
	}
}

// flush writes the output of the round, with one call for each connection.
func (l *Loop) flush() {
	for i := 0; i < len(l.pendingWrites); i++ { // write may append to it
		l.pendingWrites[i].writeQueued = false
		l.pendingWrites[i].write()
		l.pendingWrites[i] = nil
	}
	l.pendingWrites = l.pendingWrites[:0]
}
