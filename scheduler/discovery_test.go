package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestListForms checks that a list that is received byte by byte and on many lines, and lists that are received
// together, are applied while the watch stays open.
func TestListForms(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, discovery.configure)
	call := discovery.nextCall(t, time.Second)
	call.sendHeader()
	for _, b := range listJSON(7, false, manyLines, bed.member(1, "removed")) {
		call.sendChunk(string(b))
	}
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	call.sendChunk(deltaJSON(8, bed.member(1, "up")) + listJSON(9, false, manyLines, bed.member(0, "removed")))
	bed.eventually("both changes", func() bool { return bed.hasServer("s-1") && !bed.hasServer("s-0") })
	if len(discovery.calls) > 0 {
		t.Error("another watch was started")
	}
}

// TestSilentWatch checks that a watch without data is retried, also if the data stops within a message, and that a call
// without a response is cancelled. The changes made meanwhile are received within maxNotificationDelay.
func TestSilentWatch(t *testing.T) {
	for name, f := range map[string]func(call *discoveryCall){
		"no header": func(*discoveryCall) {},
		"no data":   func(call *discoveryCall) { call.sendHeader() },
		"incomplete message": func(call *discoveryCall) {
			call.sendHeader()
			call.sendChunk(`{"revision":7,"members":[`)
			for range 100 {
				call.sendChunk("\n")
				time.Sleep(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newScriptedDiscovery(t)
			bed := newTestbed(t, 2, discovery.configure)
			start := time.Now()
			go f(discovery.nextCall(t, time.Second))
			discovery.nextCall(t, 5*time.Second) // gets no response
			call := discovery.nextCall(t, 2*time.Second)
			call.sendHeader()
			call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
			bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
			if took := time.Since(start); took > 5500*time.Millisecond {
				t.Errorf("the change was received after %v", took)
			}
		})
	}
}

// TestResetWithinList checks that an incomplete list is not applied if a response without a length is reset or ends
// within it, and that the next call continues after the last complete message.
func TestResetWithinList(t *testing.T) {
	for name, end := range map[string]func(call *discoveryCall){
		"reset": func(call *discoveryCall) { call.closeWithLinger(0) },
		"end":   (*discoveryCall).end,
	} {
		t.Run(name, func(t *testing.T) {
			discovery := newScriptedDiscovery(t)
			bed := newTestbed(t, 2, discovery.configure)
			call := discovery.nextCall(t, time.Second)
			whole := listJSON(7, true, oneLine, bed.member(0, "up"))
			first := listJSON(6, false, manyLines, bed.member(1, "draining"))
			call.sendUnbounded(first + whole[:len(whole)-3])
			bed.eventuallyOnLoop("the first list", func() bool { return bed.scheduler.revisionGuard.revision == 6 })
			end(call)
			call = discovery.nextCall(t, time.Second)
			if call.path != "/discovery/hosts?stream=1&index=6" || !bed.hasServer("s-1") {
				t.Errorf("call to %s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
			}
			call.sendHeader()
			call.sendChunk(whole)
			bed.eventually("the complete list", func() bool { return !bed.hasServer("s-1") })
		})
	}
}

// TestTruncatedFetch checks that a fetched list is not applied if it is truncated or if its connection ends with a
// reset.
func TestTruncatedFetch(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	for _, x := range []struct {
		cut, linger int
		want        bool
	}{{3, -1, false}, {0, 0, false}, {0, -1, true}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			received := make(chan bool, 1)
			go fetchList(context.Background(), discovery.address, time.Second, listCallbacks{
				received: func(*listMessage, []string) { received <- true },
				failed:   func(error) { received <- false },
			})
			call := discovery.nextCall(t, time.Second)
			text := listJSON(7, true, manyLines)
			call.sendUnbounded(text[:len(text)-x.cut])
			call.closeWithLinger(x.linger)
			if got := <-received; got != x.want {
				t.Errorf("%+v: the list is accepted: %v", x, got)
			}
		})
	}
}

// TestOlderList checks that a discovery with an older list than the previous one does not add a removed server again.
func TestOlderList(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure)
	call := one.nextCall(t, time.Second)
	call.sendHeader()
	call.sendChunk(deltaJSON(9, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	bed.config["discovery"] = other.address
	bed.reload()
	call = other.nextCall(t, time.Second)
	call.sendHeader()
	call.sendChunk(listJSON(8, true, oneLine, bed.member(0, "up"), bed.member(1, "up")))
	call = other.nextCall(t, time.Second) // retries immediately, for newer revisions
	if call.path != "/discovery/hosts?stream=1&index=9" || bed.hasServer("s-1") {
		t.Errorf("call to %s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
	}
	call.sendHeader()
	call.sendChunk(deltaJSON(10, bed.member(0, "removed")))
	bed.eventually("the newer list", func() bool { return !bed.hasServer("s-0") })
}

// TestReloadDropsFormerWatch checks that a message that the previous watch receives during a reload is dropped, and
// that the new watch requests it.
func TestReloadDropsFormerWatch(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure)
	one.nextCall(t, time.Second).sendHeader()
	bed.onLoop(func() { // a message was received before the reload, and reaches the loop after it
		ctx, cancel := context.WithCancel(context.Background())
		late := bed.scheduler.listReceived(ctx, watchCall)
		bed.scheduler.config.Discovery = other.address
		bed.scheduler.stopWatch()
		bed.scheduler.startWatch()
		cancel()
		late(&listMessage{Revision: 5, Members: []listMember{{ID: "s-1", Phase: "removed"}}}, nil)
	})
	call := other.nextCall(t, time.Second)
	if call.path != "/discovery/hosts?stream=1&index=1" || !bed.hasServer("s-1") {
		t.Errorf("call to %s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
	}
	// A complete list that was requested before a newer one was received is dropped too.
	bed.onLoop(func() { bed.scheduler.revisionGuard.revision = 9 })
	bed.scheduler.listReceived(context.Background(), fetchCall)(&listMessage{Revision: 8, Complete: true}, nil)
	if !bed.hasServer("s-1") || !bed.hasServer("s-0") {
		t.Error("an older list is applied")
	}
	bed.onLoop(func() {
		if bed.scheduler.revisionGuard.revision != 9 {
			t.Errorf("revision is %d, expected 9", bed.scheduler.revisionGuard.revision)
		}
	})
}

// TestRefusedCalls checks that a discovery that all instances share and that refuses calls is retried with a growing
// delay, which the module determines. If all instances retried immediately, discovery could answer none of them. After
// it answers again, its list is received in time.
func TestRefusedCalls(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, discovery.configure, withWatchOnRequest(10000))
	var at []time.Time
	for start := time.Now(); time.Since(start) < 4*time.Second; {
		call := discovery.nextCall(t, 3*time.Second)
		at = append(at, time.Now())
		call.sendUnavailable()
	}
	if n := len(at); n < 4 || n > 9 || at[n-1].Sub(at[n-2]) < at[2].Sub(at[1]) {
		t.Errorf("%d calls, the last after %v, the third after %v", n, at[n-1].Sub(at[n-2]), at[2].Sub(at[1]))
	}
	call := discovery.nextCall(t, 3*time.Second)
	call.sendHeader()
	call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestReloadWhileRefused checks that after SIGHUP the new address is called immediately, also if a retry is scheduled
// because the previous address refused calls.
func TestReloadWhileRefused(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure, withWatchOnRequest(60000))
	for range 4 { // the next retry is then at least half a second away
		call := one.nextCall(t, 3*time.Second)
		call.sendUnavailable()
	}
	bed.eventuallyOnLoop("the end of the watch", func() bool { return bed.scheduler.cancelWatch == nil })
	bed.config["discovery"] = other.address
	bed.reload()
	call := other.nextCall(t, 400*time.Millisecond)
	call.sendHeader()
	call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestCallWaitsInQueue checks that a call to a discovery that all instances share is not cancelled while it may still
// wait in the queue there.
func TestCallWaitsInQueue(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, discovery.configure, func(m map[string]any) {
		section(m, "settings")["membership_mode"] = "subscribe"
	})
	call := discovery.nextCall(t, time.Second)
	select {
	case <-discovery.calls:
		t.Error("the call was cancelled")
	case <-time.After(2 * time.Second): // the longest time that a call waits in the queue of a shared discovery
	}
	call.sendHeader()
	call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}
