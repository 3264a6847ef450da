package scheduler

import (
	"fmt"
	"net"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// TestReloadShrinks checks that idle connections of clients and to disk servers are closed after a reload with fewer
// descriptors, and that connections in use stay open.
func TestReloadShrinks(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 100 * time.Millisecond})
	var clients []*testClient
	for i := range 40 {
		c := bed.dialClient()
		c.sendRead(fmt.Sprint("a", i), 9000)
		clients = append(clients, c)
	}
	for _, c := range clients {
		c.readReply(time.Second)
	}
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: time.Second})
	clients[7].sendRead("b", 9000)
	bed.eventually("the arrival of the command", func() bool { return len(bed.disks[0].Commands()) == 41 })
	section(bed.config, "limits")["sockets"] = minSockets
	bed.reload()
	bed.eventuallyOnLoop("connection counts within the lower limits", func() bool {
		s := bed.scheduler
		return s.clientConnCount <= s.descriptorQuota(clientDescriptorShare) &&
			s.serverConnCount <= s.descriptorQuota(serverDescriptorShare)
	})
	if got := clients[7].readReply(2 * time.Second); got != valueOf("b") {
		t.Errorf("reply is %q", got)
	}
}

// TestReadyWithoutDiscovery checks that a scheduler that starts while discovery is down is ready immediately and uses
// the cached list. Idle clients that take all descriptors meanwhile must not prevent calls to discovery, connections to
// disk servers or the service of clients that send ops.
func TestReadyWithoutDiscovery(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	bed := newTestbed(t, 2, discovery.configure)
	c := bed.dialClient()
	start := time.Now()
	if got := c.do("PING"); got != "PONG" || time.Since(start) > 500*time.Millisecond {
		t.Errorf("reply is %q after %v", got, time.Since(start))
	}
	for range 400 {
		if x, err := net.Dial("tcp", bed.scheduler.Address()); err == nil {
			t.Cleanup(func() { _ = x.Close() }) // the scheduler may have closed it
		}
	}
	if got := bed.dialClient().doRead("a", 390); got != valueOf("a") {
		t.Errorf("reply is %q", got)
	}
	bed.onLoop(func() {
		s := bed.scheduler
		if s.clientConnCount+s.serverConnCount+reservedDescriptors > s.config.Sockets {
			t.Errorf("%d client and %d server connections exceed the limit", s.clientConnCount, s.serverConnCount)
		}
	})
	discovery.nextCall(t, time.Second) // made while discovery is down, gets no response
	answer := discovery.nextCall(t, 3*time.Second)
	answer.sendHeader()
	answer.sendChunk(deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
}

// TestListChanges checks that changes of the list are applied: a disk server drains, its successor is added with a new
// id and address, and the old server is removed with all its connections. A malformed message ends the watch, which is
// then retried.
func TestListChanges(t *testing.T) {
	bed := newTestbed(t, 2)
	c := bed.dialClient()
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	c.doRead("a", 390)
	next := bed.member(1, "up") // the second server takes over the first one's cell
	next.ID, next.Cell = "s-9", 0
	bed.discovery.Change(bed.member(0, "draining"), next)
	bed.discovery.SendLine(`{"revision":2,"members":[{"id":"","phase":"up"},` +
		`{"id":"x","phase":"odd","host_port":"127.0.0.1:1"},{"id":"y","phase":"up","host_port":"nowhere"}]}`)
	bed.discovery.SendLine("no list")
	bed.eventually("another watch", func() bool { return bed.discovery.Watches() >= 2 })
	removed := bed.member(0, "removed")
	removed.Address = ""
	bed.discovery.Change(removed)
	bed.eventuallyOnLoop("the removal of the old server", func() bool {
		return len(bed.scheduler.servers) == 2 && bed.scheduler.servers["s-0"] == nil
	})
	bed.eventually("the op at the new server", func() bool {
		c.doRead(fmt.Sprint("b", time.Now().UnixNano()), 390)
		return len(bed.disks[1].Commands()) > 0
	})
	if now, _ := bed.disks[0].Connections(); now != 0 {
		t.Errorf("%d connections to a removed server are open", now)
	}
}

// TestListsOnRequest checks that, if the module decides when to watch, the watch that it starts delivers changes of the
// list, and the module is notified when the watch has failed.
func TestListsOnRequest(t *testing.T) {
	bed := newTestbed(t, 2, withWatchOnRequest(2000))
	received := make(chan honeyplank.List, 64)
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if l, ok := e.(honeyplank.List); ok {
				received <- l
			}
		}
	})
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	bed.discovery.Change(bed.member(1, "removed"))
	for l := range received {
		if l.Kind == honeyplank.Delta && len(l.Members) == 1 {
			break
		}
	}
	bed.discovery.Stop()
	for l := range received {
		if l.Kind == honeyplank.WatchFailed {
			break
		}
	}
}

// TestReload checks that after a reload with another address of discovery the lists from there are applied.
func TestReload(t *testing.T) {
	bed := newTestbed(t, 2)
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	other, err := fakeresp.NewDiscovery(bed.member(0, "up"), bed.member(1, "up"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	bed.config["discovery"] = other.Address()
	bed.reload()
	bed.eventually("the watch at the new address", func() bool { return other.Watches() == 1 })
	bed.discovery.Stop()
	other.Change(bed.member(1, "removed"))
	bed.eventuallyOnLoop("the change", func() bool { return len(bed.scheduler.servers) == 1 })
	if got := bed.dialClient().doRead("a", 390); got != valueOf("a") {
		t.Error(got)
	}
}

// TestConsecutiveReloads checks that only the last of several reloads in quick succession takes effect. The scheduler
// then watches the discovery of the last one and applies no message of the others.
func TestConsecutiveReloads(t *testing.T) {
	bed := newTestbed(t, 2)
	bed.eventually("the watch", func() bool { return bed.discovery.Watches() == 1 })
	first, last := newScriptedDiscovery(t), newScriptedDiscovery(t)
	for i := range 9 {
		if bed.config["discovery"] = first.address; i%2 == 0 {
			bed.config["discovery"] = last.address
		}
		bed.reload()
	}
	answer := func(discovery *scriptedDiscovery, text string) {
		for call := range discovery.calls { // some watches are cancelled before they call discovery
			call.sendHeader()
			call.sendChunk(text)
		}
	}
	go answer(first, deltaJSON(9, bed.member(0, "removed")))
	go answer(last, deltaJSON(7, bed.member(1, "removed")))
	bed.eventually("the change", func() bool { return !bed.hasServer("s-1") })
	time.Sleep(50 * time.Millisecond)
	if !bed.hasServer("s-0") {
		t.Error("a message of a watch that has ended is applied")
	}
	if got := bed.dialClient().doRead("a", 390); got != valueOf("a") {
		t.Error(got)
	}
}
