package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a call due at a time of the loop's clock. The zero value may be armed.
type Timer struct {
	at      time.Duration
	run     func()
	expirer Expirer
	index   int // in the heap, from 1; 0: not armed
}

// Expirer is what a Timer inside a record of its owner's calls, so that arming it allocates nothing.
type Expirer interface{ Expire() }

// Arm has d.Due called at a time of the loop's clock; an armed timer is armed anew.
func (l *Loop) Arm(t *Timer, at time.Duration, d Expirer) {
	l.Cancel(t)
	t.at, t.expirer = at, d
	heap.Push(&l.timers, t)
}

// Schedule has run called at a time of the loop's clock, or in the next round if that has passed.
func (l *Loop) Schedule(at time.Duration, run func()) *Timer {
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

func (h timers) Len() int { return len(h) }

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
		if t.expirer != nil {
			t.expirer.Expire()
		} else {
			t.run()
		}
	}
}
