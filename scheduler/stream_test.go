package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestStream: messages come out whole, however they come in; what is none ends the watch.
func TestStream(t *testing.T) {
	first, second := listJSON(41, true, true), `{"revision":42,"members":[{"id":"a}]\"{\\"}]}`
	text := "\n\n" + first + "\r\n" + second + second + "\n"
	for size := 1; size <= len(text); size++ {
		var r messageReader
		var got []string
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			list, err := r.feed(0, []byte(rest[:n]))
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range list {
				got = append(got, string(m))
			}
			rest = rest[n:]
		}
		if want := []string{strings.TrimSpace(first), second, second}; fmt.Sprint(got) != fmt.Sprint(want) || r.depth != 0 {
			t.Fatalf("in pieces of %d: %q", size, got)
		}
	}
	for text, want := range map[string]error{"no list": errNotJSON, "{}]": errNotJSON, "[]": errNotJSON,
		`{"` + strings.Repeat("x", maxMessageBytes): errMessageTooLong} {
		var r messageReader
		if _, err := r.feed(0, []byte(text)); !errors.Is(err, want) {
			t.Errorf("%.20q: %v, expected %v", text, err, want)
		}
	}
}

// TestStreamSilence: what puts the end of a watch off, and what does not.
func TestStreamSilence(t *testing.T) {
	const s = time.Second
	for name, x := range map[string]struct {
		pieces []string // one a second, the first at 1 s
		want   time.Duration
	}{
		"nothing":              {nil, watchSilence},
		"empty lines":          {[]string{"\n", "\n", "\n"}, 3*s + watchSilence},
		"messages":             {[]string{"{}\n", "\n", `{"a":[]}`}, 3*s + watchSilence},
		"half a message":       {[]string{"\n", `{"a`, "b", "c", "d"}, 2*s + watchSilence},
		"lines inside one":     {[]string{"\n", "{\n", "\n", "\n"}, 2*s + watchSilence},
		"a message in pieces":  {[]string{`{"a`, `":1}`}, 2*s + watchSilence},
		"another half at once": {[]string{`{"a`, `":1}{"b`, "b", "b"}, 2*s + watchSilence},
		"no bytes":             {[]string{"\n", "", ""}, s + watchSilence},
	} {
		var r messageReader
		r.callStarted(0, headTimeout)
		if r.deadline != headTimeout {
			t.Errorf("%v for an answer", r.deadline)
		}
		r.headReceived(0)
		for i, p := range x.pieces {
			r.feed(time.Duration(i+1)*s, []byte(p))
		}
		if r.deadline != x.want {
			t.Errorf("%s: until %v, expected %v", name, r.deadline, x.want)
		}
	}
	// One silence, one call that hangs and one more that answers fit into the 6 s.
	if watchSilence+watchRetryDelay+headTimeout+watchRetryDelay > 5*time.Second {
		t.Error("a change is heard too late after a silence")
	}
	// So do, where the module says when, a call that hangs, the longest it waits then, and the next call's turn.
	text := "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"limits\":{\"memory_mb\":64,\"sockets\":256},\"settings\":" +
		strings.Replace(testSettings, `"rules":{`, `"rules":{"ask_within_ms":60000,`, 1) + "}"
	config, err := parseConfig("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if within := config.Site.Settings.Watch.Within; sharedHeadTimeout+within/4+sharedHeadTimeout*3/4 > notifiedWithin {
		t.Errorf("lists are asked for within %v", within)
	}
}

// TestHeld: an older list is not believed, unless nothing else comes for long.
func TestHeld(t *testing.T) {
	h := revisionGuard{revision: 40}
	for i, x := range []struct {
		at       time.Duration
		revision int64
		want     bool
	}{
		{1, 40, true}, {2, 42, true}, {3, 41, false}, {3 + oldListTimeout - 1, 41, false}, {4 + oldListTimeout, 43, true},
		{5 + oldListTimeout, 7, false}, {6 + 2*oldListTimeout, 8, true}, {7 + 2*oldListTimeout, 9, true},
	} {
		if got := h.accept(x.at, &listMessage{Revision: x.revision}); got != x.want {
			t.Errorf("%d: revision %d is believed: %v", i, x.revision, got)
		}
	}
}

// TestListForms: a list that comes byte by byte, on many lines, is heard while the watch stays open.
func TestListForms(t *testing.T) {
	d := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, d.configure)
	c := d.nextCall(t, time.Second)
	c.sendHeader()
	for _, b := range listJSON(7, false, true, bed.member(1, "removed")) {
		c.sendChunk(string(b))
	}
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	c.sendChunk(listJSON(8, false, false, bed.member(1, "up")) + listJSON(9, false, true, bed.member(0, "removed")))
	bed.eventually("both changes", func() bool { return bed.hasServer("s-1") && !bed.hasServer("s-0") })
	if len(d.calls) > 0 {
		t.Error("another watch has been opened")
	}
}

// TestSilentWatch: a watch that falls silent, at once or in the middle of a message, is opened anew, and a call that is
// never answered is given up: what was missed is heard within the time that counts.
func TestSilentWatch(t *testing.T) {
	for name, f := range map[string]func(c *discoveryCall){
		"no head": func(c *discoveryCall) {},
		"silent":  func(c *discoveryCall) { c.sendHeader() },
		"trickle": func(c *discoveryCall) {
			c.sendHeader()
			c.sendChunk(`{"revision":7,"members":[`)
			for range 100 {
				c.sendChunk("\n")
				time.Sleep(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newScriptedDiscovery(t)
			bed := newTestbed(t, 2, d.configure)
			begun := time.Now()
			go f(d.nextCall(t, time.Second))
			d.nextCall(t, 5*time.Second) // hangs
			c := d.nextCall(t, 2*time.Second)
			c.sendHeader()
			c.sendChunk(listJSON(7, false, false, bed.member(1, "removed")))
			bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
			if took := time.Since(begun); took > 5500*time.Millisecond {
				t.Errorf("heard after %v", took)
			}
		})
	}
}

// TestResetIsNoEnd: an answer without a length that is reset, or ends, within a list tells nothing, and the next call
// asks behind what was heard.
func TestResetIsNoEnd(t *testing.T) {
	for name, end := range map[string]func(c *discoveryCall){
		"reset": func(c *discoveryCall) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"end":   func(c *discoveryCall) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newScriptedDiscovery(t)
			bed := newTestbed(t, 2, d.configure)
			c := d.nextCall(t, time.Second)
			whole := listJSON(7, true, false, bed.member(0, "up"))
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", listJSON(6, false, true, bed.member(1, "draining")), whole[:len(whole)-3])
			bed.eventually("the first list", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.revisionGuard.revision == 6 }); return ok })
			end(c)
			c = d.nextCall(t, time.Second)
			if c.path != "/discovery/hosts?stream=1&index=6" || !bed.hasServer("s-1") {
				t.Errorf("%s, s-1 is known: %v", c.path, bed.hasServer("s-1"))
			}
			c.sendHeader()
			c.sendChunk(whole)
			bed.eventually("the whole list", func() bool { return !bed.hasServer("s-1") })
		})
	}
}

// TestFetchCut: a whole list that was asked for and is cut tells nothing, nor does one that ends with a reset: that is no end.
func TestFetchCut(t *testing.T) {
	d := newScriptedDiscovery(t)
	for _, x := range []struct {
		cut, linger int
		want        bool
	}{{3, -1, false}, {0, 0, false}, {0, -1, true}} {
		heard := make(chan bool, 1)
		go fetchList(context.Background(), d.address, time.Second, listCallbacks{
			received: func(*listMessage, []string) { heard <- true },
			failed:   func(error) { heard <- false },
		})
		c := d.nextCall(t, time.Second)
		text := listJSON(7, true, true)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", text[:len(text)-x.cut])
		c.Conn.(*net.TCPConn).SetLinger(x.linger)
		c.Close()
		if got := <-heard; got != x.want {
			t.Errorf("%+v: the list is heard: %v", x, got)
		}
	}
}

// TestOlderList: a discovery that lags behind the one before brings no server back that was told gone.
func TestOlderList(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure)
	c := one.nextCall(t, time.Second)
	c.sendHeader()
	c.sendChunk(listJSON(9, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	bed.config["discovery"] = other.address
	bed.reload()
	c = other.nextCall(t, time.Second)
	c.sendHeader()
	c.sendChunk(listJSON(8, true, false, bed.member(0, "up"), bed.member(1, "up")))
	c = other.nextCall(t, time.Second) // asks anew at once, for what is newer
	if c.path != "/discovery/hosts?stream=1&index=9" || bed.hasServer("s-1") {
		t.Errorf("%s, s-1 is known: %v", c.path, bed.hasServer("s-1"))
	}
	c.sendHeader()
	c.sendChunk(listJSON(10, false, false, bed.member(0, "removed")))
	bed.eventually("the newer list", func() bool { return !bed.hasServer("s-0") })
}

// TestSwitchedAway: what an old watch tells in the very moment of the switch is not taken for heard: the new watch asks
// for it.
func TestSwitchedAway(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure)
	one.nextCall(t, time.Second).sendHeader()
	bed.onLoop(func() { // a message has been read, and reaches the loop behind the switch
		ctx, cancel := context.WithCancel(context.Background())
		late := bed.scheduler.listReceived(ctx, watchCall)
		bed.scheduler.config.Discovery = other.address
		bed.scheduler.setWatch(false)
		bed.scheduler.setWatch(true)
		cancel()
		late(&listMessage{Revision: 5, Members: []listMember{{ID: "s-1", Phase: "removed"}}}, nil)
	})
	c := other.nextCall(t, time.Second)
	if c.path != "/discovery/hosts?stream=1&index=1" || !bed.hasServer("s-1") {
		t.Errorf("%s, s-1 is known: %v", c.path, bed.hasServer("s-1"))
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

// TestRefusedCalls: a discovery that all ask, and that turns calls away, is asked ever less often, as the module says:
// calls that come again at once would keep it from answering any. Once it answers it is heard in time.
func TestRefusedCalls(t *testing.T) {
	d := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, d.configure, func(m map[string]any) {
		site := m["settings"].(map[string]any)
		site["membership_mode"] = "subscribe"
		site["rules"].(map[string]any)["ask_within_ms"] = 10000
	})
	var at []time.Time
	for begun := time.Now(); time.Since(begun) < 4*time.Second; {
		c := d.nextCall(t, 3*time.Second)
		at = append(at, time.Now())
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	}
	if n := len(at); n < 4 || n > 9 || at[n-1].Sub(at[n-2]) < at[2].Sub(at[1]) {
		t.Errorf("%d calls, the last after %v, the third after %v", n, at[n-1].Sub(at[n-2]), at[2].Sub(at[1]))
	}
	c := d.nextCall(t, 3*time.Second)
	c.sendHeader()
	c.sendChunk(listJSON(7, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestMovesWhileRefused: after SIGHUP the new address is called at once, also while the next call to the old one, which
// had turned calls away, is still to come.
func TestMovesWhileRefused(t *testing.T) {
	one, other := newScriptedDiscovery(t), newScriptedDiscovery(t)
	bed := newTestbed(t, 2, one.configure, func(m map[string]any) {
		site := m["settings"].(map[string]any)
		site["membership_mode"] = "subscribe"
		site["rules"].(map[string]any)["ask_within_ms"] = 60000
	})
	for range 4 { // by now the next is half a second away at least
		c := one.nextCall(t, 3*time.Second)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	}
	bed.eventually("the wait", func() (ok bool) { bed.onLoop(func() { ok = bed.scheduler.stopWatch == nil }); return ok })
	bed.config["discovery"] = other.address
	bed.reload()
	c := other.nextCall(t, 400*time.Millisecond)
	c.sendHeader()
	c.sendChunk(listJSON(7, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestWaitsItsTurn: where all ask one discovery a call is not given up while it may wait for its turn.
func TestWaitsItsTurn(t *testing.T) {
	d := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, d.configure, func(m map[string]any) {
		m["settings"].(map[string]any)["membership_mode"] = "subscribe"
	})
	c := d.nextCall(t, time.Second)
	select {
	case <-d.calls:
		t.Error("it is given up")
	case <-time.After(2 * time.Second): // as long as other sites have calls wait at most
	}
	c.sendHeader()
	c.sendChunk(listJSON(7, false, false, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}
