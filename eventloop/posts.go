package eventloop

import (
	"encoding/binary"
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// wakeRetryDelay is the time between a write to the eventfd that failed and its retry.
const wakeRetryDelay = time.Millisecond

// eventfdIncrement is what a wake-up adds to the eventfd's counter, see eventfd(2).
var eventfdIncrement = binary.NativeEndian.AppendUint64(nil, 1)

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
