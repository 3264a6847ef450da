package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// TestMemoryBudget checks what clients may keep, by the memory in use and by what the client already holds.
func TestMemoryBudget(t *testing.T) {
	for _, x := range []struct {
		used, held, size int
		body, reply      bool
	}{
		{used: 0, held: 0, size: 500, body: true, reply: true},
		{used: 0, held: 400, size: 500, body: true, reply: true},
		{used: 401, held: 400, size: 100, body: false, reply: true},
		{used: 401, held: 0, size: 100, body: true, reply: true},
		{used: 700, held: 400, size: 51, body: false, reply: false},
		{used: 700, held: 0, size: 50, body: true, reply: true},
		{used: 700, held: 0, size: 51, body: false, reply: true},
		{used: 700, held: 0, size: 301, body: false, reply: false},
	} {
		b := memoryBudget{limit: 1000, used: x.used}
		if got := b.acceptsBody(x.held, x.size); got != x.body {
			t.Errorf("%+v: body accepted: %v", x, got)
		}
		if got := b.acceptsReply(x.held, x.size); got != x.reply {
			t.Errorf("%+v: reply accepted: %v", x, got)
		}
	}
}

// checkMemory checks that the counted memory is that of the clients' data and within its limit. It is called on the
// loop.
func (bed *testbed) checkMemory() {
	bed.t.Helper()
	s := bed.scheduler
	sum := 0
	for c := range s.clients {
		requests, replies := 0, 0
		for _, r := range c.pending {
			replies += len(r.reply)
			for _, arg := range r.args {
				requests += len(arg)
			}
			if !r.done {
				requests += requestOverhead
			}
		}
		if c.memory.requests != requests || c.memory.replies != replies {
			bed.t.Errorf("%d bytes of requests and %d of replies, counted as %+v", requests, replies, c.memory)
		}
		sum += c.memory.total()
	}
	if s.memory.used != sum || sum > s.memory.limit {
		bed.t.Errorf("counted %d bytes for all clients, the sum is %d, limit %d", s.memory.used, sum, s.memory.limit)
	}
}

// checkNoMemory waits until no memory is counted.
func (bed *testbed) checkNoMemory() {
	bed.t.Helper()
	bed.eventuallyOnLoop("the release of all memory", func() bool { return bed.scheduler.memory.used == 0 })
}

// TestFloodLeavesMemory guards against clients that send many large writes at once and use the memory that others need:
// a client that sends one at a time is served, and the rest of the flood is rejected.
func TestFloodLeavesMemory(t *testing.T) {
	const floodClients, writes = 10, maxPending
	bed := newTestbed(t, 2, func(config map[string]any) { section(config, "limits")["sockets"] = 1024 })
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	bed.useModule(singleServerModule{"s-0"})
	bed.onLoop(func() { bed.everyMillisecond(func(time.Duration) { bed.checkMemory() }) })
	body := strings.Repeat("x", maxBody)
	var flood []*testClient
	for i := range floodClients {
		c := bed.dialClient()
		flood = append(flood, c)
		go func() {
			for n := range writes {
				id := fmt.Sprint("f", i, "-", n)
				command := encodeCommand("BLK.WRITE", objectKey, id, opOptions("write", 9000, 0), body)
				if _, err := c.Write(command); err != nil {
					return // the memory stays below what the test waits for
				}
			}
		}()
	}
	bed.eventuallyOnLoop("rejected writes", func() bool { return bed.scheduler.memoryRejections > floodClients })
	bed.useModule(singleServerModule{"s-1"})
	usual := bed.dialClient()
	for i := range 3 {
		id := fmt.Sprint("usual", i)
		usual.sendWrite(id, 9000, body)
		if got := usual.readReply(3 * time.Second); got != valueOf(id) {
			t.Errorf("reply to %s is %.20q", id, got)
		}
	}
	for _, c := range append(flood, usual) {
		c.disconnect()
	}
	bed.checkNoMemory()
}

// TestUnreadRepliesLeaveMemory guards against clients that request large values and do not read them: each request has
// one reply, and the replies stay within the limit.
func TestUnreadRepliesLeaveMemory(t *testing.T) {
	const reads = 4 * maxPending // replies of 64 KB each, more than the socket buffers hold
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	large := strings.Repeat("v", maxBody)
	bed.disks[0].SetFaults(fakeresp.Faults{Value: large})
	bed.onLoop(func() {
		bed.scheduler.memory.limit = 16 * maxBody
		bed.everyMillisecond(func(time.Duration) { bed.checkMemory() })
	})
	c := bed.dialClient(4096)
	go func() {
		for n := range reads {
			if _, err := c.Write(encodeCommand(readCommand(fmt.Sprint("a", n), 9000)...)); err != nil {
				return // missing replies fail the test
			}
		}
	}()
	bed.eventuallyOnLoop("replies that do not fit", func() bool {
		return bed.scheduler.memoryFailures+bed.scheduler.memoryRejections > 0
	})
	other := bed.dialClient()
	if got := other.doRead("other", 9000); got != large {
		t.Errorf("reply to another client is %.20q", got)
	}
	for n := range reads {
		if got := c.readReply(3 * time.Second); got != large && got != "-ERR failed" && got != "-BUSY" {
			t.Fatalf("reply %d is %.20q", n, got)
		}
	}
	c.disconnect()
	other.disconnect()
	bed.checkNoMemory()
}

// countIncomplete returns the number of clients within a command, and of those whose body is kept. It is called on the
// loop.
func (bed *testbed) countIncomplete() (incomplete, kept int) {
	for c := range bed.scheduler.clients {
		if c.commandStarted > 0 {
			incomplete++
		}
		if c.memory.incoming > maxBody {
			kept++
		}
	}
	return incomplete, kept
}

// TestRejectedClientIsKept guards against the loss of an answer: a client of which every op was rejected for lack of
// memory counts as one that has sent ops, so its connection is not closed as that of an abusive client.
func TestRejectedClientIsKept(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.onLoop(func() { bed.scheduler.memory.limit = 0 })
	c := bed.dialClient()
	if got := c.doRead("a", 9000); got != "-BUSY" {
		t.Errorf("reply is %q", got)
	}
	bed.onLoop(func() {
		bed.ageClients(commandTimeout + time.Millisecond)
		bed.scheduler.checkClients()
		if len(bed.scheduler.clients) != 1 || bed.scheduler.activeClients != 1 {
			t.Errorf("%d clients are connected, %d have sent ops, want 1", len(bed.scheduler.clients),
				bed.scheduler.activeClients)
		}
	})
}

// TestIncompleteCommandsLeaveMemory guards against clients that send a part of a large command and use the memory that
// others need.
func TestIncompleteCommandsLeaveMemory(t *testing.T) {
	const clients = 100
	bed := newTestbed(t, 1)
	bed.useModule(singleServerModule{"s-0"})
	bed.onLoop(func() {
		bed.scheduler.memory.limit = clients * maxBody / 2
		bed.everyMillisecond(func(time.Duration) { bed.checkMemory() })
	})
	body := strings.Repeat("x", maxBody)
	var all []*testClient
	for n := range clients {
		c := bed.dialClient()
		all = append(all, c)
		command := encodeCommand("BLK.WRITE", objectKey, fmt.Sprint("a", n), opOptions("write", 9000, 0), body)
		c.sendBytes(command[:len(command)-1])
	}
	bed.eventuallyOnLoop("commands that are not kept", func() bool {
		incomplete, kept := bed.countIncomplete()
		return incomplete == clients && kept < clients
	})
	other := bed.dialClient()
	if got := other.doRead("other", 9000); got != valueOf("other") {
		t.Errorf("reply to another client is %.20q", got)
	}
	for i, c := range all { // each gets its final answer
		c.sendBytes([]byte("\n"))
		if got := c.readReply(3 * time.Second); got != valueOf(fmt.Sprint("a", i)) && got != "-BUSY" {
			t.Errorf("reply %d is %.20q", i, got)
		}
		c.disconnect()
	}
	other.disconnect()
	bed.checkNoMemory()
}
