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
	bed := newTestbed(t, 2)
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	first, last := newScriptedDiscovery(t), newScriptedDiscovery(t)
	for i := range 9 {
		if bed.config["discovery"] = first.address; i%2 == 0 {
			bed.config["discovery"] = last.address
		}
		bed.reload()
	}
	answer := func(x *scriptedDiscovery, text string) {
		for c := range x.calls { // some are given up before they are made
			c.sendHeader()
			c.sendChunk(text)
		}
	}
	go answer(first, listJSON(9, false, false, bed.member(0, "removed")))
	go answer(last, listJSON(7, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	time.Sleep(50 * time.Millisecond)
	if !bed.hasServer("s-0") {
		t.Error("a watch that has ended is heard")
	}
	if got := bed.dialClient().do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "a")) {
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
			bed := newTestbed(t, 1)
			var codes []honeyplank.Code
			bed.onLoop(func() {
				bed.module.DecisionModule = singleServerModule{"s-0"}
				bed.module.onEvent = func(e honeyplank.Event) {
					if o, ok := e.(honeyplank.Outcome); ok {
						codes = append(codes, o.Code)
					}
				}
			})
			c := bed.dialClient()
			c.do("BLK.WRITE", objectKey, "first", opOptions("write", 9000, 0), "x")
			time.Sleep(2 * minConnRest)
			act := func() {
				x.idle(bed.disks[0])
				for deadline := time.Now().Add(2 * time.Second); !x.fails && time.Now().Before(deadline); {
					if now, _ := bed.disks[0].Connections(); now == 0 {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			if x.before {
				act()
				bed.eventually("the end", func() (ok bool) { bed.onLoop(func() { ok = len(bed.scheduler.servers["s-0"].conns) == 0 }); return ok })
				c.send("BLK.WRITE", objectKey, "second", opOptions("write", 9000, 0), "x")
			} else {
				bed.onLoop(func() {
					c.send("BLK.WRITE", objectKey, "second", opOptions("write", 9000, 0), "x")
					act()
				})
			}
			want := string(standin.Value(objectKey, "second"))
			if x.fails {
				want = "-ERR failed"
			}
			if got := c.readReply(3 * time.Second); got != want {
				t.Errorf("%q, expected %q", got, want)
			}
			if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != "[first second]" {
				t.Errorf("%v have reached the disk server", ids)
			}
			bed.onLoop(func() {
				if x.fails && codes[len(codes)-1] != honeyplank.Reset {
					t.Errorf("outcomes %v", codes)
				}
			})
		})
	}
}
