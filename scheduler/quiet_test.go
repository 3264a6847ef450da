package scheduler

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
	standin "honeyplank/fake/resp"
)

// TestReloadsInARow: of several new configurations within a moment the last holds: one watch, at its discovery, none of
// what the others still had on their way, and no watch is left behind.
func TestReloadsInARow(t *testing.T) {
	w := start(t, 2)
	w.eventually("the watch", func() bool { return w.disco.Watches() == 1 })
	first, last := tells(t), tells(t)
	for i := range 9 {
		if w.conf["discovery"] = first.address; i%2 == 0 {
			w.conf["discovery"] = last.address
		}
		w.reload()
	}
	answer := func(x *teller, text string) {
		for c := range x.calls { // some are given up before they are made
			c.head()
			c.say(text)
		}
	}
	go answer(first, message(9, false, false, w.member(0, "removed")))
	go answer(last, message(7, false, false, w.member(1, "removed")))
	w.eventually("the change", func() bool { return !w.knows("s-1") })
	time.Sleep(50 * time.Millisecond)
	if !w.knows("s-0") {
		t.Error("a watch that has ended is heard")
	}
	if got := w.dial().ask("BLK.READ", piece, "a", terms("read", 390, 0)); got != string(standin.Value(piece, "a")) {
		t.Error(got)
	}
}

// TestIdleReset: after a quiet time, whatever disk servers have done with the idle connections, in that very round too, the
// next write is served, or told as one that may have run, and never reaches a server twice.
func TestIdleReset(t *testing.T) {
	for name, x := range map[string]struct {
		idle   func(*standin.Disk)
		fails  bool
		before bool // the loop has heard of it
	}{
		"closed":                   {idle: (*standin.Disk).CutIdle, before: true},
		"closed in the same round": {idle: (*standin.Disk).CutIdle},
		"reset":                    {idle: (*standin.Disk).ResetIdle, before: true},
		"reset in the same round":  {idle: (*standin.Disk).ResetIdle},
		"forgotten":                {idle: func(d *standin.Disk) { d.Apply(standin.Faults{Break: true}) }, fails: true}, // a reset is all that comes back
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1)
			var codes []honeyplank.Code
			w.on(func() {
				w.module.DecisionModule = eager{"s-0"}
				w.module.heard = func(e honeyplank.Event) {
					if o, ok := e.(honeyplank.Outcome); ok {
						codes = append(codes, o.Code)
					}
				}
			})
			c := w.dial()
			c.ask("BLK.WRITE", piece, "first", terms("write", 9000, 0), "x")
			time.Sleep(2 * minConnRest)
			act := func() {
				x.idle(w.disks[0])
				for deadline := time.Now().Add(2 * time.Second); !x.fails && time.Now().Before(deadline); {
					if now, _ := w.disks[0].Connections(); now == 0 {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			if x.before {
				act()
				w.eventually("the end", func() (ok bool) { w.on(func() { ok = len(w.s.servers["s-0"].conns) == 0 }); return ok })
				c.send("BLK.WRITE", piece, "second", terms("write", 9000, 0), "x")
			} else {
				w.on(func() {
					c.send("BLK.WRITE", piece, "second", terms("write", 9000, 0), "x")
					act()
				})
			}
			want := string(standin.Value(piece, "second"))
			if x.fails {
				want = "-ERR failed"
			}
			if got := c.answer(3 * time.Second); got != want {
				t.Errorf("%q, expected %q", got, want)
			}
			if ids := got(w.disks[0]); fmt.Sprint(ids) != "[first second]" {
				t.Errorf("%v have reached the disk server", ids)
			}
			w.on(func() {
				if x.fails && codes[len(codes)-1] != honeyplank.Reset {
					t.Errorf("outcomes %v", codes)
				}
			})
		})
	}
}
