package loadgen

import (
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/nvme"
	"honeyplank/settings"
	"honeyplank/target"
)

// testbed is an event loop with a Generator and a fake disk server as its target.
type testbed struct {
	*testing.T
	loop     *eventloop.Loop
	settings *settings.Gateway
	server   *disk.Server
	options  Options
	// timeoutFactor is the value of Generator.TimeoutFactor from the start of the load.
	timeoutFactor float64
	load          *Generator
}

const (
	// warmUp is the time from the start of the load until ops count. The clients connect in this time.
	warmUp = 100 * time.Millisecond
	// loadTime is the time for which ops arrive after warmUp.
	loadTime = 400 * time.Millisecond
	// testTimeout bounds the time from the start of a load until its last op ends.
	testTimeout = 10 * time.Second
	blockSize   = 4096
)

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	s, err := settings.Read("../settings/examples/gateway.xml")
	if err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return &testbed{T: t, loop: loop, settings: s, options: Options{
		Settings: s,
		Clients:  2,
		Seed:     1,
		Traffic:  []settings.Traffic{{OpType: "read", Rate: 200, OpBytes: blockSize, ExtentRun: 4}},
		Expect:   disk.Fill,
	}}
}

// serve starts a disk server with the given number of cores and service time of a unit, and makes it the target.
func (b *testbed) serve(cores int, serviceTime time.Duration) {
	b.Helper()
	v := &b.settings.Volumes
	model := disk.Model{
		FakeServers: settings.FakeServers{
			Cores: cores, QueueLimit: 1000, UnitServiceTime: settings.Span(serviceTime),
		},
		Block:  int(v.Block),
		Unit:   int(v.Unit),
		Extent: int64(v.Extent),
		Target: b.targetSettings(),
	}
	var err error
	if b.server, err = disk.New(b.loop, "127.0.0.1:0", model, 1); err != nil {
		b.Fatal(err)
	}
	b.options.Targets = []Target{{Address: b.server.Address(), Subsystem: b.settings.Listen.Subsystem}}
}

// targetSettings returns the settings of a target with the volumes of the gateway's settings.
func (b *testbed) targetSettings() target.Settings {
	const blockShift = 12 // 4 KiB
	var namespaces []target.Namespace
	for _, v := range b.settings.Volumes.List {
		blocks := uint64(v.Size) >> blockShift
		namespaces = append(namespaces, target.Namespace{ID: v.NSID, Blocks: blocks, Shift: blockShift})
	}
	return target.Settings{
		Subsystem:        b.settings.Listen.Subsystem,
		Serial:           "fake",
		Namespaces:       namespaces,
		MaxTransfer:      int(b.settings.Limits.MaxTransfer),
		MaxCapsule:       8 << 10,
		MaxDataPDU:       32 << 10,
		QueueDepth:       1024,
		MaxQueues:        8,
		HandshakeTimeout: time.Second,
		MaxConnections:   64,
		MaxUnsent:        4 << 20,
		MaxBuffered:      32 << 20,
	}
}

// run starts the load, calls during after warmUp, stops the load after loadTime and waits until it is idle. The tallies
// are reset after warmUp, so that ops dropped while their client was still connecting do not count.
func (b *testbed) run(during func()) {
	b.Helper()
	b.load = Start(b.loop, b.options)
	b.load.TimeoutFactor = b.timeoutFactor
	b.loop.Schedule(b.loop.Now()+warmUp, func() {
		copy(b.load.ByType, newTallies(len(b.load.ByType)))
		b.load.CountedSeparately = Utility{}
		during()
	})
	idle := false
	b.loop.Schedule(b.loop.Now()+warmUp+loadTime, func() {
		b.load.Stop(func() {
			idle = true
			b.load.Close()
			b.loop.Stop()
		})
	})
	b.loop.Schedule(b.loop.Now()+testTimeout, b.loop.Stop)
	if err := b.loop.Run(); err != nil {
		b.Fatal(err)
	}
	if !idle {
		b.Fatalf("%d ops are still pending at the end of the test", b.load.pending)
	}
}

// tally returns the results of an op type. It fails the test if an op has not ended.
func (b *testbed) tally(opType string) *Tally {
	b.Helper()
	for i, name := range b.load.OpTypes() {
		if name != opType {
			continue
		}
		t := &b.load.ByType[i]
		if t.Ops == 0 {
			b.Fatalf("no op of type %q was sent", opType)
		}
		if ended := t.Succeeded + t.Rejected + t.Failed + t.Lost; ended < t.Ops {
			b.Errorf("ops that ended: %d of %d", ended, t.Ops)
		}
		return t
	}
	b.Fatalf("unknown op type %q", opType)
	return nil
}

// TestNoOpBeginsAfterStop stops a load while an arrival is scheduled. No op may begin after the call of onIdle.
func TestNoOpBeginsAfterStop(t *testing.T) {
	s, err := settings.Read("../settings/examples/gateway.xml")
	if err != nil {
		t.Fatal(err)
	}
	l, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	g := Start(l, Options{
		Settings: s,
		Targets:  []Target{{Address: "127.0.0.1:1"}}, // nothing listens there
		Clients:  1,
		Seed:     1,
		Traffic:  []settings.Traffic{{OpType: "read", Rate: 200, OpBytes: blockSize}},
	})
	opsAtStop := -1
	l.Schedule(l.Now()+100*time.Millisecond, func() { g.Stop(func() { opsAtStop = g.ByType[0].Ops }) })
	l.Schedule(l.Now()+300*time.Millisecond, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if opsAtStop <= 0 || g.ByType[0].Ops != opsAtStop {
		t.Errorf("%d ops when the load became idle, %d ops in all", opsAtStop, g.ByType[0].Ops)
	}
}

// TestReadsSucceed sends reads to a server that is free of faults. All succeed with the data of Expect, and the earned
// utility does not exceed the utility due, apart from ops that were pending when the tallies were reset.
func TestReadsSucceed(t *testing.T) {
	b := newTestbed(t)
	b.serve(4, 100*time.Microsecond)
	b.run(func() {})
	got := b.tally("read")
	if got.Succeeded < got.Ops || got.Mismatches > 0 || got.Attempts != got.Ops {
		t.Errorf("not all reads succeeded at the first attempt with the expected data: %+v", got)
	}
	if got.Earned <= 0 || got.Earned > 1.1*got.Due {
		t.Errorf("earned utility %v, utility due %v", got.Earned, got.Due)
	}
	if mean, median := got.Mean(), got.Quantile(0.5); mean <= 0 || median <= 0 || median > got.Quantile(1) {
		t.Errorf("mean latency %v, median %v, largest %v", mean, median, got.Quantile(1))
	}
}

// TestMismatches expects other data than the server has. Each read that succeeds counts as a mismatch.
func TestMismatches(t *testing.T) {
	b := newTestbed(t)
	b.serve(4, 100*time.Microsecond)
	b.options.Expect = func(block []byte, nsid uint32, lba uint64) { disk.Fill(block, nsid, lba+1) }
	b.run(func() {})
	if got := b.tally("read"); got.Succeeded == 0 || got.Mismatches != got.Succeeded {
		t.Errorf("%d mismatches in %d reads that succeeded", got.Mismatches, got.Succeeded)
	}
}

// TestReadBack sends reads and writes. Some reads read back a write and return its data.
func TestReadBack(t *testing.T) {
	b := newTestbed(t)
	b.serve(4, 100*time.Microsecond)
	b.options.Traffic = append(b.options.Traffic, settings.Traffic{OpType: "write", Rate: 200, OpBytes: blockSize})
	filled := 0
	b.options.Expect = func(block []byte, nsid uint32, lba uint64) {
		filled++ // once for each read that does not read back a write, since a read has one block
		disk.Fill(block, nsid, lba)
	}
	b.run(func() { filled = 0 })
	reads, writes := b.tally("read"), b.tally("write")
	if reads.Mismatches > 0 || writes.Succeeded < writes.Ops {
		t.Errorf("mismatches, or writes that did not succeed: reads %+v, writes %+v", reads, writes)
	}
	if filled == 0 || filled >= reads.Succeeded {
		t.Errorf("%d of %d reads read blocks that were never written", filled, reads.Succeeded)
	}
}

// firstBlock identifies the first block of a command.
type firstBlock struct {
	nsid uint32
	lba  uint64
}

// rejectingHandler rejects each command with a Retry-After and counts commands by their first block.
type rejectingHandler struct {
	server     *target.Server
	retryAfter time.Duration
	commands   map[firstBlock]int
}

func (h *rejectingHandler) Admit(c *target.Command) {
	h.commands[firstBlock{c.NSID(), c.SLBA()}]++
	c.Complete(nvme.CommandInterrupted, uint32(h.retryAfter/time.Millisecond), 0, nil)
	h.server.Release(c.Data)
}

func (h *rejectingHandler) ClientGone(*target.Command)   {}
func (h *rejectingHandler) LogPage(uint8) ([]byte, bool) { return nil, false }

// TestRejectedOpsAreRetried sends ops to a target that rejects all of them. Each op is retried twice, on other blocks,
// after the Retry-After of the target.
func TestRejectedOpsAreRetried(t *testing.T) {
	b := newTestbed(t)
	h := &rejectingHandler{retryAfter: 20 * time.Millisecond, commands: map[firstBlock]int{}}
	var err error
	if h.server, err = target.Listen(b.loop, "127.0.0.1:0", b.targetSettings(), h); err != nil {
		t.Fatal(err)
	}
	b.options.Targets = []Target{{Address: h.server.Address(), Subsystem: b.settings.Listen.Subsystem}}
	b.options.Retries = 2
	b.options.Traffic[0].Rate = 100
	pending := 0
	b.run(func() { pending = b.load.pending })
	got := b.tally("read")
	ops := got.Ops + pending // ops that were pending when the tally was reset end in it too
	if got.Rejected != ops || got.Earned != 0 {
		t.Errorf("not all of %d ops were rejected: %+v", ops, got)
	}
	if got.Attempts < 2*got.Ops || got.Attempts > 3*ops { // ops rejected after Stop are not retried
		t.Errorf("%d attempts of %d ops, expected two to three attempts of each", got.Attempts, ops)
	}
	for at, n := range h.commands {
		if n > 1 {
			t.Errorf("%d attempts begin at block %+v, expected one", n, at)
		}
	}
}

// TestFailedOpsAreNotRetried sends ops to a server that fails all of them. None is retried.
func TestFailedOpsAreNotRetried(t *testing.T) {
	b := newTestbed(t)
	b.serve(1, time.Millisecond)
	b.options.Retries = 2
	b.run(func() { b.server.SetFaults(disk.Faults{FailShare: 1}) })
	if got := b.tally("read"); got.Failed == 0 || got.Attempts != got.Ops || got.Earned > 0.1*got.Due {
		t.Errorf("ops did not fail, or were retried: %+v", got)
	}
}

// TestTimeoutFactor sends ops to a server that does not answer. Clients time out after the configured share of the op
// timeout.
func TestTimeoutFactor(t *testing.T) {
	b := newTestbed(t)
	b.serve(1, time.Millisecond)
	b.timeoutFactor = 0.1 // 120 ms
	b.run(func() { b.server.SetFaults(disk.Faults{Silent: true}) })
	got := b.tally("read")
	if got.TimedOut == 0 || got.TimedOut > got.Lost {
		t.Errorf("no attempt timed out, or more attempts timed out than ops were lost: %+v", got)
	}
	timeout := b.settings.OpTypes[0].OpTimeout.Duration()
	if took := b.loop.Now() - time.Minute; took > warmUp+loadTime+timeout/2 {
		t.Errorf("the last op ended after %v, expected a client timeout of a tenth of %v", took, timeout)
	}
}

// TestClientReconnects closes a client's association. The client connects again, and its ops in flight are dropped.
func TestClientReconnects(t *testing.T) {
	b := newTestbed(t)
	b.serve(4, 100*time.Microsecond)
	connections, closed := 0, 0
	b.options.Clients = 1
	b.options.Targets[0].OnConnection = func(client int, _ *eventloop.Conn) {
		if client != 0 {
			t.Errorf("connection of client %d, expected only client 0", client)
		}
		connections++
	}
	b.options.Targets[0].BeforeClose = func() { closed++ }
	before := 0
	b.run(func() {
		before = connections
		b.load.Disconnect(1)
	})
	if closed != 1 || before != 2 || connections != 2*before { // an association has an admin and an I/O connection
		t.Errorf("%d associations closed, %d connections before that and %d in all, expected 1, 2 and 4",
			closed, before, connections)
	}
	if got := b.tally("read"); got.Lost == 0 || got.Succeeded == 0 {
		t.Errorf("no op was dropped, or none succeeded: %+v", got)
	}
}

// TestCountedSeparately counts one of two clients separately. Its utility is a part of the utility of both.
func TestCountedSeparately(t *testing.T) {
	b := newTestbed(t)
	b.serve(4, 100*time.Microsecond)
	b.options.CountedSeparately = func(client int) bool { return client == 1 }
	b.run(func() {})
	all, part := b.tally("read").Utility, b.load.CountedSeparately
	if part.Due <= 0 || part.Due >= all.Due || part.Earned <= 0 || part.Earned >= all.Earned {
		t.Errorf("utility of one client %+v, of both clients %+v", part, all)
	}
}

// TestRateFactor multiplies the rate of one volume by 1000. At least 95 % of the draws select this volume.
func TestRateFactor(t *testing.T) {
	b := newTestbed(t)
	g := Start(b.loop, b.options)
	g.RateFactor[b.settings.Volumes.List[3].NSID] = 1000
	drawn := 0
	const draws = 1000
	for range draws {
		if g.drawVolume() == 3 {
			drawn++
		}
	}
	if drawn < draws*95/100 {
		t.Errorf("%d of %d draws selected the volume, expected 95 %% or more", drawn, draws)
	}
	b.loop.Stop()
	if err := b.loop.Run(); err != nil {
		t.Error(err)
	}
}

// TestBlockAllocator allocates blocks of several extents. No block is allocated twice until its extent is used up.
func TestBlockAllocator(t *testing.T) {
	a := newBlockAllocator(&settings.Volumes{Block: blockSize, Extent: 8 * blockSize})
	for i, c := range []struct {
		extent extentID
		blocks int
		want   uint64
	}{
		{extentID{1, 0}, 3, 0},
		{extentID{1, 0}, 3, 3},
		{extentID{2, 0}, 8, 0},
		{extentID{1, 2}, 1, 16},
		{extentID{1, 0}, 2, 6},
		{extentID{1, 0}, 1, 0},
		{extentID{2, 0}, 1, 0},
	} {
		if got := a.next(c.extent, c.blocks); got != c.want {
			t.Errorf("allocation %d: block %d, want %d", i, got, c.want)
		}
	}
}
