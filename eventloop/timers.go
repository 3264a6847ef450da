package eventloop

import (
	"container/heap"
	"time"
)

// Timer calls a function or an Expirer at a time of the loop's clock. The zero value is not armed; it is ready for
// Loop.Arm.
type Timer struct {
	at       time.Duration
	run      func()  // set by Schedule
	expirer  Expirer // set by Arm
	position int     // index in the heap plus 1; 0: not armed
}

// Expirer is called when a Timer that was armed with it expires. A struct that has a Timer as a field can be its
// Expirer, so that arming allocates no memory.
type Expirer interface {
	// Expire is called on the loop, at the time passed to Loop.Arm or later.
	Expire()
}

// Arm makes the loop call expirer.Expire at a time of its clock. If the timer is already armed, the new time and
// expirer replace the previous ones.
func (l *Loop) Arm(t *Timer, at time.Duration, expirer Expirer) {
	l.Cancel(t)
	t.at, t.expirer = at, expirer
	heap.Push(&l.timers, t)
}

// Schedule schedules a call of run at a time of the loop's clock. If that time has passed, run is called when timers
// next run.
func (l *Loop) Schedule(at time.Duration, run func()) *Timer {
	t := &Timer{at: at, run: run}
	heap.Push(&l.timers, t)
	return t
}

// Cancel disarms a timer. It does nothing if t is nil, is not armed or has run.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.position > 0 {
		heap.Remove(&l.timers, t.position-1)
	}
}

// timers is a min-heap ordered by time, see container/heap.
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

// maxPoll limits the timeout of epoll_wait, so that the milliseconds fit in an int.
const maxPoll = time.Hour

// timeout returns the time until the next timer, rounded up to milliseconds, as a timeout for epoll_wait(2); -1: there
// is no timer.
func (h timers) timeout(now time.Duration) int {
	if len(h) == 0 {
		return -1
	}
	left := h[0].at - now + time.Millisecond - 1
	return int(max(0, min(left, maxPoll)) / time.Millisecond)
}

// fire runs the timers that are due at the time of the call, including those that are set while it runs.
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
