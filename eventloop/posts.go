package eventloop

import (
	"encoding/binary"
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// wakeRetryDelay is the time between a failed write to the eventfd and its retry.
const wakeRetryDelay = time.Millisecond

// eventfdIncrement is the value 1 that a wake-up adds to the counter of the eventfd, see eventfd(2).
var eventfdIncrement = binary.NativeEndian.AppendUint64(nil, 1)

// Post schedules f to run on the loop. Posted functions run in the order of the calls of Post. Post may be called from
// any goroutine. After Run has ended, Post returns false and f does not run. If Run ends after Post has returned true
// and before f runs, f does not run either.
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

// signalWake makes the eventfd readable. EAGAIN means that its counter is full, so that it is already readable, see
// eventfd(2). After another error the write is retried: otherwise a loop that waits without a timer would never run the
// posted functions. The caller holds mu.
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

// wakeHandler handles the events of the eventfd.
type wakeHandler struct{ loop *Loop }

func (w wakeHandler) handleEvents(uint32) {
	l := w.loop
	l.Stats.OtherCalls.Add(1)
	_, err := l.sys.Read(l.wakeFD, l.smallBuffer[:])
	if err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
		l.pauseRound = true // the eventfd stays readable
	}
	l.runPosts()
}

// runPosts runs the posted functions after epoll has reported the eventfd.
func (l *Loop) runPosts() {
	l.mu.Lock()
	posted := l.takePosts()
	l.mu.Unlock()
	runAll(posted)
}

// runUnsignalledPosts runs the posted functions if the write to the eventfd has failed. Otherwise they run when epoll
// reports the eventfd.
func (l *Loop) runUnsignalledPosts() {
	l.mu.Lock()
	var posted []func()
	if !l.wakePending {
		posted = l.takePosts()
	}
	l.mu.Unlock()
	runAll(posted)
}

// takePosts removes and returns the posted functions that have not run. The caller holds mu.
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
