package scheduler

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"honeyplank"
	standin "honeyplank/fake/resp"
	"honeyplank/resp"
)

// TestServes: a command reaches the holder of its data as it came, but for the time that is left, and the value
// that was made for it comes back.
func TestServes(t *testing.T) {
	bed := newTestbed(t, 2)
	c := bed.dialClient()
	if got := c.do("PING"); got != "PONG" {
		t.Fatal(got)
	}
	for i, cell := range []int{0, 1, 1, 0} {
		id := fmt.Sprintf("read%d", i)
		if got, want := c.do("BLK.READ", objectKey, id, opOptions("read", 390, cell)), string(standin.Value(objectKey, id)); got != want {
			t.Fatalf("%q, expected %q", got, want)
		}
	}
	body := strings.Repeat("\r\n*\x00", 16<<10)
	if got := c.do("BLK.WRITE", objectKey, "write", opOptions("write", 600, -1), body); got != string(standin.Value(objectKey, "write")) {
		t.Fatal(got)
	}
	all := append(bed.disks[0].Got(), bed.disks[1].Got()...)
	if len(all) != 5 || len(bed.disks[0].Got()) < 2 || len(bed.disks[1].Got()) < 2 {
		t.Fatalf("%d commands", len(all))
	}
	d := regexp.MustCompile(`,d=(\d+),`)
	for _, g := range all {
		most, class := 390, "read"
		if g.Name == "BLK.WRITE" {
			most, class = 600, "write"
			if string(g.Body) != body {
				t.Error("the body has changed")
			}
		}
		ms, _ := strconv.Atoi(d.FindStringSubmatch(g.Terms)[1])
		if ms > most || ms < most-200 || g.Piece != objectKey {
			t.Errorf("%+v", g)
		}
		if cell := g.Terms[strings.Index(g.Terms, "shard="):]; !strings.HasPrefix(d.ReplaceAllString(g.Terms, ",d=9,"), "c="+class+",t=gold,d=9,volume=00000003b4d60021,units=2,"+cell) {
			t.Errorf("%s", g.Terms)
		}
	}
}

// TestOtherCommands are answered as the protocol says.
func TestOtherCommands(t *testing.T) {
	c := newTestbed(t, 1).dialClient()
	for _, x := range []struct{ command, want string }{
		{"CLIENT SETINFO LIB-NAME x", "OK"}, {"SELECT 0", "OK"}, {"HELLO 3", "-ERR unknown command \"HELLO\""},
		{"INFO load", "-ERR unknown command \"INFO\""}, {"ping", "PONG"}, {"PING x", "x"}, {"blk.read a b c", "-ERR unknown command \"blk.read\""},
		{"QUIT", "OK"}, {"PING", "closed"},
	} {
		if got := c.do(strings.Fields(x.command)...); got != x.want {
			t.Errorf("%s: %q, expected %q", x.command, got, x.want)
		}
	}
}

// TestErrors: a command that can't be used gets an error, reaches no disk server, and the connection goes on.
func TestErrors(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	good := opOptions("read", 300, 0)
	for _, x := range []struct {
		args []string
		want string
	}{
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "c=read", "c=scan", 1)}, `class "scan" is unknown`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "t=gold", "t=lead", 1)}, `plan "lead" is unknown`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "d=300", "d=soon", 1)}, `d is "soon"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "d=300", "d=-1", 1)}, `d is "-1"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "d=300", "d=1e3", 1)}, `d is "1e3"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "d=300", "d=NaN", 1)}, `d is "NaN"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "d=300", "d=99999999999", 1)}, `d is "99999999999"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, ",d=300", "", 1)}, "d is missing"},
		{[]string{"BLK.READ", objectKey, "a", good + ",d=5"}, "stands twice"},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "units=2", "units=0", 1)}, `units is "0"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "shard=0", "shard=-2", 1)}, `shard is "-2"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "hosts=1", "hosts=x", 1)}, `hosts is "x"`},
		{[]string{"BLK.READ", objectKey, "a", strings.Replace(good, "volume=0", "volume=", 1)}, "volume is"},
		{[]string{"BLK.READ", objectKey, "a", ""}, "no name and value"},
		{[]string{"BLK.READ", objectKey, "", good}, "no id"},
		{[]string{"BLK.READ", "xyz", "a", good}, "the piece of data"},
		{[]string{"BLK.READ", objectKey, "a"}, "wrong number of arguments"},
		{[]string{"BLK.READ", objectKey, "a", good, "body"}, "wrong number of arguments"},
		{[]string{"BLK.WRITE", objectKey, "a", opOptions("write", 300, 0)}, "wrong number of arguments"},
	} {
		if got := c.do(x.args...); !strings.HasPrefix(got, "-ERR ") || !strings.Contains(got, x.want) {
			t.Errorf("%q: %q, expected %q", x.args, got, x.want)
		}
	}
	if got := c.do("BLK.READ", objectKey, "a", good); got != string(standin.Value(objectKey, "a")) {
		t.Error(got)
	}
	if n := len(bed.disks[0].Got()); n != 1 {
		t.Errorf("%d commands have reached the disk server", n)
	}
}

// TestSameID: the id of an open request is refused, whoever brings it, and the open one is served.
func TestSameID(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Delay: 50 * time.Millisecond})
	one, other := bed.dialClient(), bed.dialClient()
	one.send("BLK.READ", objectKey, "same", opOptions("read", 390, 0))
	bed.eventually("the command", func() bool { return len(bed.disks[0].Got()) == 1 })
	if got := other.do("BLK.READ", objectKey, "same", opOptions("read", 390, 0)); got != "-ERR the id is that of an open request" {
		t.Error(got)
	}
	if got := one.readReply(time.Second); got != string(standin.Value(objectKey, "same")) {
		t.Error(got)
	}
}

// TestUnreadable: what can't be read gets an error and a close, at once; half a command, and saying nothing, get a
// close in time.
func TestUnreadable(t *testing.T) {
	bed := newTestbed(t, 1)
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 100000), "*" + strings.Repeat("9", 100000), "*4\r\n$-5\r\n", "*99999999\r\n",
		"*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n" + objectKey + "\r\n$1\r\na\r\n$1\r\nx\r\n$60000000\r\n" + strings.Repeat("x", 1<<20),
		"*1\r\n$4\r\nPINGPONG\r\n", "\x00\x01\x02",
	} {
		c := bed.dialClient()
		begun := time.Now()
		c.Write([]byte(text))
		got := c.readReply(3 * time.Second)
		if got != "closed" && !strings.HasPrefix(got, "-ERR Protocol error") {
			t.Errorf("%.40q: %q", text, got)
		}
		if got != "closed" && c.readReply(3*time.Second) != "closed" || time.Since(begun) > time.Second {
			t.Errorf("%.40q: the connection goes on for %v", text, time.Since(begun))
		}
	}
	for _, text := range []string{"", "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a"} {
		c := bed.dialClient()
		begun := time.Now()
		c.Write([]byte(text))
		for c.readReply(4*time.Second) != "closed" {
		}
		if took := time.Since(begun); took > 2800*time.Millisecond {
			t.Errorf("%q: closed after %v", text, took)
		}
	}
	if len(bed.disks[0].Got()) != 0 {
		t.Error("something has reached the disk server")
	}
}

// TestAnsweredBefore: what was asked before something that can't be read is answered, in order, then comes the error.
func TestAnsweredBefore(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Delay: 40 * time.Millisecond})
	c := bed.dialClient()
	c.send("BLK.READ", objectKey, "a", opOptions("read", 390, 0))
	c.send("PING")
	c.Write([]byte("rubbish\r\n"))
	for _, want := range []string{string(standin.Value(objectKey, "a")), "PONG", "-ERR Protocol error: expected '*', got 'r'", "closed"} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
}

// TestCrowd: connections that say nothing, or nothing but PING, more than there is room for, keep nobody else from
// being served, take no connection from those who bring ops, also once the scheduler is told to end, and hundreds of
// commands at once are all answered, in order.
func TestCrowd(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	if got := c.do("BLK.READ", objectKey, "first", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "first")) {
		t.Fatal(got)
	}
	crowd := func() {
		for i := range 300 {
			if x, err := net.Dial("tcp", bed.scheduler.Address()); err == nil {
				t.Cleanup(func() { x.Close() })
				if i%2 == 0 {
					x.Write([]byte("*1\r\n$4\r\nPING\r\n"))
				}
			}
		}
	}
	crowd()
	if got := bed.dialClient().do("BLK.READ", objectKey, "new", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "new")) {
		t.Fatal(got)
	}
	time.Sleep(700 * time.Millisecond)
	bed.scheduler.Shutdown()
	crowd()
	if got := c.do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "a")) {
		t.Fatal(got)
	}
	var open int
	bed.onLoop(func() { open = bed.scheduler.clientConnCount })
	if open > bed.scheduler.descriptorQuota(clientDescriptorShare) {
		t.Errorf("%d connections of clients", open)
	}
	go func() {
		for i := range 500 {
			c.Write(resp.AppendCommand(nil, []byte("PING"), []byte(strconv.Itoa(i))))
		}
	}()
	for i := range 500 {
		if got := c.readReply(2 * time.Second); got != strconv.Itoa(i) {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
}

// TestSpoilt: an answer that can't be read, or is no value, is an error for its client; no client is ever given
// what was not made for its request, and the connection is used no more.
func TestSpoilt(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"noise":        {Spoilt: "\x00\xff\x13noise\r\n\r\n"},
		"endless line": {Spoilt: "+" + strings.Repeat("x", 100000)},
		"length":       {Spoilt: "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n"},
		"huge":         {Spoilt: "*3\r\n$3000000000\r\n" + strings.Repeat("x", 1<<20)},
		"negative":     {Spoilt: "*3\r\n$-7\r\n"},
		"null":         {Spoilt: "*3\r\n$-1\r\n$-1\r\n$-1\r\n"},
		"empty":        {Spoilt: "*0\r\n"},
		"number":       {Spoilt: ":1\r\n"},
		"line":         {Spoilt: "+OK\r\n"},
		"deep":         {Spoilt: strings.Repeat("*1\r\n", 20)},
		"1xx":          {Spoilt: "HTTP/1.1 100 Continue\r\n\r\n"},
		"break":        {Break: true},
		"failed":       {Fail: true},
		"turned away":  {Busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			bed.disks[0].Apply(f)
			c := bed.dialClient()
			begun := time.Now()
			if got := c.do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); !strings.HasPrefix(got, "-") {
				t.Errorf("%q", got)
			}
			if took := time.Since(begun); took > 300*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			bed.disks[0].Apply(standin.Faults{})
			good := 0
			for i := range 20 {
				id := fmt.Sprintf("b%d", i)
				if got := c.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got == string(standin.Value(objectKey, id)) {
					good++
				} else if !strings.HasPrefix(got, "-") {
					t.Errorf("%q", got)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if good < 15 {
				t.Errorf("%d of 20 are served once the server is sound", good)
			}
		})
	}
}

// TestMoreThanIsTheirs: what comes behind a good answer, at once or a moment later, is nobody's.
func TestMoreThanIsTheirs(t *testing.T) {
	second := string(resp.AppendBulk(resp.AppendArray(nil, 1), []byte("not yours")))
	for name, f := range map[string]standin.Faults{
		"copy": {Behind: second}, "noise": {Behind: "\x01\x02"}, "late copy": {Late: second}, "late noise": {Late: "noise\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			bed.disks[0].Apply(f)
			c := bed.dialClient()
			for i := range 30 {
				id := fmt.Sprintf("a%d", i)
				if got := c.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
					t.Fatalf("op %d: %q", i, got)
				}
			}
		})
	}
}

// TestReports: a load report is told by the module's names, and one that can't be read is none.
func TestReports(t *testing.T) {
	fields := []string{"util", "latency_ms"}
	if got := parseLoadReport("util=0.61,latency_ms=12.5", fields); len(got) != 2 || got["util"] != 0.61 || got["latency"] != 12.5 {
		t.Error(got)
	}
	for _, text := range []string{"", "util=0.61", "util=x,latency_ms=1", "util=NaN,latency_ms=1", "util=-1,latency_ms=1", "\xff=,=,,="} {
		if got := parseLoadReport(text, fields); got != nil {
			t.Errorf("%q: %v", text, got)
		}
	}
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Report: "\x00=\xff,util", Use: "used=x,,"})
	if got := bed.dialClient().do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "a")) {
		t.Error(got)
	}
}

// TestSilent: a server that says nothing: the client has its answer in time, and the connection closes, which tells
// the server that nobody waits.
func TestSilent(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].Apply(standin.Faults{Silent: true})
	c := bed.dialClient()
	begun := time.Now()
	if got := c.do("BLK.READ", objectKey, "a", opOptions("read", 200, 0)); !strings.HasPrefix(got, "-") {
		t.Error(got)
	}
	if took := time.Since(begun); took > 255*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	bed.eventually("the end of the connection", func() bool { n, _ := bed.disks[0].Connections(); return n == 0 })
}

// TestDead: a server that refuses connections is an answer at once, not at the op timeout.
func TestDead(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].Stop()
	time.Sleep(20 * time.Millisecond)
	begun := time.Now()
	if got := bed.dialClient().do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); !strings.HasPrefix(got, "-") || time.Since(begun) > 250*time.Millisecond {
		t.Errorf("%q after %v", got, time.Since(begun))
	}
}

// TestIdleClosed: a connection that the server has closed while it was idle is not written to.
func TestIdleClosed(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	for i := range 5 {
		id := fmt.Sprintf("a%d", i)
		if got := c.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
			t.Fatalf("op %d: %q", i, got)
		}
		bed.disks[0].CutIdle()
		time.Sleep(10 * time.Millisecond)
	}
}

// TestOwnConnections: ops out together have a connection each, so that a short one does not wait for a long one's
// answer; where descriptors are short they share, and all are still answered.
func TestOwnConnections(t *testing.T) {
	for sockets, most := range map[int]int{256: 24, minSockets: 9} {
		bed := newTestbed(t, 1, func(m map[string]any) { m["limits"].(map[string]any)["sockets"] = sockets })
		bed.disks[0].Apply(standin.Faults{Delay: 20 * time.Millisecond})
		c := bed.dialClient()
		for i := range 24 {
			c.send("BLK.READ", objectKey, fmt.Sprint(sockets, "-", i), opOptions("read", 390, 0))
		}
		for i := range 24 {
			if got, ok := c.readValue(time.Second); !ok {
				t.Fatalf("no answer to %d: %v", i, got)
			}
		}
		if _, ever := bed.disks[0].Connections(); ever < 2 || ever > most {
			t.Errorf("%d descriptors: %d connections", sockets, ever)
		}
		bed.onLoop(func() {
			if bed.scheduler.serverConnCount > bed.scheduler.descriptorQuota(serverDescriptorShare) {
				t.Errorf("%d connections of %d", bed.scheduler.serverConnCount, bed.scheduler.descriptorQuota(serverDescriptorShare))
			}
		})
	}
}

// TestLists: what discovery tells is followed: a server drains, its successor comes under a new id and address, the
// old one goes and leaves nothing behind. Lines that can't be read end a watch, which starts anew.
func TestLists(t *testing.T) {
	bed := newTestbed(t, 2)
	c := bed.dialClient()
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	c.do("BLK.READ", objectKey, "a", opOptions("read", 390, 0))
	next := bed.member(1, "up") // the second server takes over the first one's cell
	next.ID, next.Cell = "s-9", 0
	bed.discovery.Change(bed.member(0, "draining"), next)
	bed.discovery.Say(`{"revision":2,"members":[{"id":"","phase":"up"},{"id":"x","phase":"odd","host_port":"127.0.0.1:1"},{"id":"y","phase":"up","host_port":"nowhere"}]}`)
	bed.discovery.Say("no list")
	bed.eventually("another watch", func() bool { return bed.discovery.Watches() >= 2 })
	gone := bed.member(0, "removed")
	gone.Address = ""
	bed.discovery.Change(gone)
	bed.eventually("the end of the old server", func() bool {
		n := 0
		bed.onLoop(func() {
			n = len(bed.scheduler.servers)
			if bed.scheduler.servers["s-0"] != nil {
				n = -1
			}
		})
		return n == 2
	})
	bed.eventually("the op at the new server", func() bool {
		c.do("BLK.READ", objectKey, fmt.Sprint("b", time.Now().UnixNano()), opOptions("read", 390, 0))
		return len(bed.disks[1].Got()) > 0
	})
	if now, _ := bed.disks[0].Connections(); now != 0 {
		t.Errorf("%d connections to a server that is gone", now)
	}
}

// TestAsked: where lists come only to who asks, the module's own watch brings them, and it hears that its watch stands,
// or has failed.
func TestAsked(t *testing.T) {
	bed := newTestbed(t, 2, func(m map[string]any) {
		site := m["settings"].(map[string]any)
		site["membership_mode"] = "subscribe"
		site["rules"].(map[string]any)["ask_within_ms"] = 2000
	})
	heard := make(chan honeyplank.List, 64)
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if l, ok := e.(honeyplank.List); ok {
				heard <- l
			}
		}
	})
	bed.eventually("a watch", func() bool { return bed.discovery.Watches() == 1 })
	bed.discovery.Change(bed.member(1, "removed"))
	for l := range heard {
		if l.Kind == honeyplank.Delta && len(l.Members) == 1 {
			break
		}
	}
	bed.discovery.Stop()
	for l := range heard {
		if l.Kind == honeyplank.WatchFailed {
			break
		}
	}
}

// TestReload: discovery moves to another address, and what it tells there is heard; a file that can't be used
// changes nothing.
func TestReload(t *testing.T) {
	bed := newTestbed(t, 2)
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	other, err := standin.NewDiscovery(bed.member(0, "up"), bed.member(1, "up"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	bed.config["discovery"] = other.Address()
	bed.writeConfig()
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		t.Fatal(err)
	}
	bed.scheduler.Reload(config)
	bed.eventually("the watch there", func() bool { return other.Watches() == 1 })
	bed.discovery.Stop()
	other.Change(bed.member(1, "removed"))
	bed.eventually("the change", func() bool { n := 0; bed.onLoop(func() { n = len(bed.scheduler.servers) }); return n == 1 })
	if got := bed.dialClient().do("BLK.READ", objectKey, "a", opOptions("read", 390, 0)); got != string(standin.Value(objectKey, "a")) {
		t.Error(got)
	}
}

// TestShutdown: a scheduler that is told to end serves on, on connections old and new, then ends by itself before
// it would be killed, with every op answered.
func TestShutdown(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	c.do("PING")
	begun := time.Now()
	bed.scheduler.Shutdown()
	time.Sleep(300 * time.Millisecond)
	for i, x := range []*testClient{c, bed.dialClient()} {
		id := fmt.Sprint("a", i)
		if got := x.do("BLK.READ", objectKey, id, opOptions("read", 390, 0)); got != string(standin.Value(objectKey, id)) {
			t.Errorf("connection %d: %q", i, got)
		}
	}
	bed.disks[0].Apply(standin.Faults{Silent: true})
	time.Sleep(time.Until(begun.Add(650 * time.Millisecond))) // of 1300: ops are taken up to 780
	late := c.do("BLK.READ", objectKey, "late", opOptions("read", 390, 0))
	if !strings.HasPrefix(late, "-") {
		t.Errorf("%q", late)
	}
	select {
	case err := <-bed.served:
		if took := time.Since(begun); err != nil || took < killGrace || took > killGrace+600*time.Millisecond {
			t.Errorf("%v after %v", err, took)
		}
	case <-time.After(3 * time.Second):
		t.Error("it does not end")
	}
}

// TestShutdownAlone: without clients nothing is waited for past the notice.
func TestShutdownAlone(t *testing.T) {
	bed := newTestbed(t, 1)
	begun := time.Now()
	bed.scheduler.Shutdown()
	<-bed.served
	if took := time.Since(begun); took > killGrace+200*time.Millisecond {
		t.Errorf("%v", took)
	}
}

// TestGrowth: after many short-lived clients and servers nothing is left of them.
func TestGrowth(t *testing.T) {
	bed := newTestbed(t, 1)
	before := runtime.NumGoroutine()
	for i := range 200 {
		c := bed.dialClient()
		c.do("BLK.READ", objectKey, fmt.Sprint("a", i), opOptions("read", 390, 0))
		c.Close()
		m := bed.member(0, "up")
		m.ID, m.Cell = fmt.Sprint("t-", i), 7
		bed.discovery.Change(m)
		m.Phase = "removed"
		bed.discovery.Change(m)
	}
	bed.eventually("the end of all", func() bool {
		ok := false
		bed.onLoop(func() {
			ok = len(bed.scheduler.servers) == 1 && len(bed.scheduler.clients) == 0 && bed.scheduler.clientConnCount == 0 && bed.scheduler.tracker.Outstanding() == 0
		})
		return ok
	})
	if n := runtime.NumGoroutine(); n > before+20 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}

// TestPeers: datagrams reach peers by their number and carry their sender's; other senders are not heard.
func TestPeers(t *testing.T) {
	free := func() string {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		return p.LocalAddr().String()
	}
	addresses := []string{free(), free()}
	var worlds []*testbed
	heard := make(chan string, 8)
	for i := range 2 {
		bed := newTestbed(t, 1, func(m map[string]any) {
			m["peer_listen"], m["peers"], m["peers_all"] = addresses[i], addresses, addresses[1-i]
		})
		bed.onLoop(func() {
			bed.module.onEvent = func(e honeyplank.Event) {
				if p, ok := e.(honeyplank.PeerMessage); ok {
					heard <- fmt.Sprint(i, " from ", p.From, ": ", string(p.Data))
				}
			}
		})
		worlds = append(worlds, bed)
	}
	worlds[0].onLoop(func() {
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: make([]byte, 257)})
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 9, Data: []byte("nobody")})
		worlds[0].scheduler.execute(honeyplank.Gossip{To: 1, Data: []byte("one")})
	})
	if got := <-heard; got != "1 from 0: one" {
		t.Error(got)
	}
	if c, err := net.Dial("udp", addresses[0]); err == nil {
		c.Write([]byte("stranger"))
		c.Close()
	}
	worlds[1].onLoop(func() { worlds[1].scheduler.execute(honeyplank.Gossip{To: honeyplank.AllPeers, Data: []byte("all")}) })
	if got := <-heard; got != "0 from 1: all" {
		t.Error(got)
	}
	if _, err := netip.ParseAddrPort(addresses[0]); err != nil {
		t.Error(err)
	}
}

// TestProbe: a probe brings the load report, and a dead server's says so.
func TestProbe(t *testing.T) {
	bed := newTestbed(t, 1)
	told := make(chan honeyplank.ProbeResult, 1)
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if p, ok := e.(honeyplank.ProbeResult); ok {
				told <- p
			}
		}
	})
	bed.disks[0].Apply(standin.Faults{Report: "util=0.5,latency_ms=3"})
	bed.onLoop(func() { bed.scheduler.execute(honeyplank.Probe{Server: "s-0"}) })
	if p := <-told; p.Code != honeyplank.Succeeded || p.Load["latency"] != 3 {
		t.Errorf("%+v", p)
	}
	bed.disks[0].Stop()
	time.Sleep(20 * time.Millisecond)
	bed.onLoop(func() { bed.scheduler.execute(honeyplank.Probe{Server: "s-0"}) })
	if p := <-told; p.Code != honeyplank.ConnectFailed {
		t.Errorf("%+v", p)
	}
}

// TestFaults: a configuration that can't be used is told with file, line, what is wrong and what would be right.
func TestFaults(t *testing.T) {
	good := "{\"name\":\"n0\",\n\"listen\":\"127.0.0.1:0\",\n\"discovery\":\"127.0.0.1:1\",\n\"limits\":{\"memory_mb\":64,\n\"sockets\":256},\n\"peers\":[],\n\"settings\":" + testSettings + "}"
	if _, err := parseConfig("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		old, new string
		line     int
		wrong    string
	}{
		{`127.0.0.1:0`, `localhost`, 2, `listen is "localhost"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`, 3, `discovery is ""`},
		{`"memory_mb":64`, `"memory_mb":0`, 4, "memory_mb is 0"},
		{`"sockets":256`, `"sockets":5`, 5, "sockets is 5"},
		{`"peers":[]`, `"peers":["x"]`, 6, `an address of peers is "x"`},
		{`"semantics":"pure"`, `"semantics":"odd"`, 7, `semantics "odd" is unknown`},
		{`"sockets":256}`, `"sockets":256;`, 5, "invalid character"},
		{`"sockets":256`, `"sockets":"256"`, 5, "cannot unmarshal"},
		{`"peers":[]`, `"known":{"members":5},"peers":[]`, 6, "known"},
	} {
		_, err := parseConfig("f", []byte(strings.Replace(good, x.old, x.new, 1)))
		var f *ConfigError
		if !errors.As(err, &f) || f.Line != x.line || !strings.Contains(f.Wrong, x.wrong) || f.Want == "" {
			t.Errorf("%s: %v, expected line %d: %s", x.new, err, x.line, x.wrong)
		}
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that is not there is read")
	}
	if err := os.WriteFile(filepath.Join(t.TempDir(), "x"), nil, 0o600); err != nil {
		t.Error(err)
	}
}
