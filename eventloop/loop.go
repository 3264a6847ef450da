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
	"errors"
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
	// roundPause is how long a loop sleeps in a round in which something that cannot be served would wake it at once.
	roundPause = time.Millisecond
	// maxPollAge is how long ago the last poll may be when timers run and when output is written.
	maxPollAge = 20 * time.Millisecond
)

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
