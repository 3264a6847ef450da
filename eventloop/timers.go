package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a call at a time of the loop's clock. The zero value is not armed; it is ready for Loop.Arm.
type Timer struct {
	at       time.Duration
	run      func()  // of Schedule
	expirer  Expirer // of Arm
	position int     // in the heap, from 1; 0: not armed
}

// Expirer is called by a Timer that was armed with it. A struct that has a Timer as a field can be its Expirer, so that
// arming allocates nothing.
type Expirer interface {
	// Expire is called on the loop at the time that Loop.Arm was given, or later.
	Expire()
}

// Arm has expirer.Expire called at a time of the loop's clock; a timer that is armed already is armed again.
func (l *Loop) Arm(t *Timer, at time.Duration, expirer Expirer) {
	l.Cancel(t)
	t.at, t.expirer = at, expirer
	heap.Push(&l.timers, t)
}

// Schedule has run called at a time of the loop's clock, or as soon as timers run if that has passed.
func (l *Loop) Schedule(at time.Duration, run func()) *Timer {
	t := &Timer{at: at, run: run}
	heap.Push(&l.timers, t)
	return t
}

// Cancel keeps a timer from running. It does nothing where t is nil, not armed, or has run.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.position > 0 {
		heap.Remove(&l.timers, t.position-1)
	}
}

// timers is a heap by time, see container/heap.
type timers []*Timer

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

func (h *timers) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.position = len(*h)
}

func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	t.position = 0
	return t
}

// maxPoll bounds how long epoll_wait is asked to wait, so that the time fits its int.
const maxPoll = time.Hour

// timeout is how long epoll_wait(2) may wait for the next timer, in milliseconds, rounded up; -1: there is none.
func (h timers) timeout(now time.Duration) int {
	if len(h) == 0 {
		return -1
	}
	left := h[0].at - now + time.Millisecond - 1
	return int(max(0, min(left, maxPoll)) / time.Millisecond)
}

// fire runs the timers that are due at the time of the call, also those that are set meanwhile.
func (h *timers) fire(now func() time.Duration) {
	for due := now(); len(*h) > 0 && (*h)[0].at <= due; {
		t := heap.Pop(h).(*Timer)
		if t.expirer != nil {
			t.expirer.Expire()
		} else {
			t.run()
		}
	}
}
