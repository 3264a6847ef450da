package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestListForms: a list that comes byte by byte, on many lines, is applied while the watch stays open.
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
		t.Error("another watch has been opened")
	}
}

// TestSilentWatch: a watch that falls silent, at once or in the middle of a message, is repeated, and a call that is
// never answered is given up: what was missed is received within the time that counts.
func TestSilentWatch(t *testing.T) {
	for name, f := range map[string]func(call *discoveryCall){
		"no head": func(*discoveryCall) {},
		"silent":  func(call *discoveryCall) { call.sendHeader() },
		"trickle": func(call *discoveryCall) {
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
			discovery.nextCall(t, 5*time.Second) // hangs
			call := discovery.nextCall(t, 2*time.Second)
			call.sendHeader()
			call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
			bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
			if took := time.Since(start); took > 5500*time.Millisecond {
				t.Errorf("received after %v", took)
			}
		})
	}
}

// TestResetWithinList: a response without a length that is reset, or ends, within a list changes nothing, and the next
// call continues from the last message.
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
				t.Errorf("%s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
			}
			call.sendHeader()
			call.sendChunk(whole)
			bed.eventually("the whole list", func() bool { return !bed.hasServer("s-1") })
		})
	}
}

// TestTruncatedFetch: a complete list that was fetched and is cut changes nothing, nor does one that ends with a reset,
// which is no regular end.
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
				t.Errorf("%+v: the list is received: %v", x, got)
			}
		})
	}
}

// TestOlderList: a discovery that lags behind the one before brings back no server that was removed.
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
	call = other.nextCall(t, time.Second) // retries at once, for what is newer
	if call.path != "/discovery/hosts?stream=1&index=9" || bed.hasServer("s-1") {
		t.Errorf("%s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
	}
	call.sendHeader()
	call.sendChunk(deltaJSON(10, bed.member(0, "removed")))
	bed.eventually("the newer list", func() bool { return !bed.hasServer("s-0") })
}

// TestReloadDropsFormerWatch: a message of the former watch at the very moment of a reload is dropped, and the new
// watch asks for it.
func TestReloadDropsFormerWatch(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure)
	one.nextCall(t, time.Second).sendHeader()
	bed.onLoop(func() { // a message has been read, and reaches the loop behind the switch
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
		t.Errorf("%s, s-1 is known: %v", call.path, bed.hasServer("s-1"))
	}
	// Nor does a whole list that was asked for before something newer came.
	bed.onLoop(func() { bed.scheduler.revisionGuard.revision = 9 })
	bed.scheduler.listReceived(context.Background(), fetchCall)(&listMessage{Revision: 8, Complete: true}, nil)
	if !bed.hasServer("s-1") || !bed.hasServer("s-0") {
		t.Error("an older list is taken over")
	}
	bed.onLoop(func() {
		if bed.scheduler.revisionGuard.revision != 9 {
			t.Errorf("revision %d", bed.scheduler.revisionGuard.revision)
		}
	})
}

// TestRefusedCalls: a discovery that all instances share, and that refuses calls, is called ever less often, as the
// module says: calls that all repeat at once would keep it from answering any. Once it answers, its list is received in
// time.
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

// TestReloadWhileRefused: after SIGHUP the new address is called at once, also while a retry at the former one, which
// refused calls, is due.
func TestReloadWhileRefused(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure, withWatchOnRequest(60000))
	for range 4 { // by now the next is half a second away at least
		call := one.nextCall(t, 3*time.Second)
		call.sendUnavailable()
	}
	bed.eventuallyOnLoop("the wait", func() bool { return bed.scheduler.cancelWatch == nil })
	bed.config["discovery"] = other.address
	bed.reload()
	call := other.nextCall(t, 400*time.Millisecond)
	call.sendHeader()
	call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestCallWaitsInQueue: where all instances share one discovery a call is not given up while it may wait in the queue.
func TestCallWaitsInQueue(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, discovery.configure, func(m map[string]any) {
		section(m, "settings")["membership_mode"] = "subscribe"
	})
	call := discovery.nextCall(t, time.Second)
	select {
	case <-discovery.calls:
		t.Error("it is given up")
	case <-time.After(2 * time.Second): // as long as other sites have calls wait at most
	}
	call.sendHeader()
	call.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}
