package disk

import (
	"bytes"
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
	"honeyplank/target"
)

const (
	blockSize = 4096
	nsid      = 1
	subsystem = "nqn.2026-12.org.honeyplank:disk"
	// testTimeout is the time within which all steps of a test must finish.
	testTimeout = 10 * time.Second
)

// testModel returns the model of a server with two cores and one namespace.
func testModel() Model {
	return Model{
		FakeServers: settings.FakeServers{
			Cores: 2, QueueLimit: 9, UnitServiceTime: settings.Span(10 * time.Millisecond),
		},
		Block:  blockSize,
		Unit:   4 * blockSize,
		Extent: 1 << 20,
		Target: target.Settings{
			Subsystem:        subsystem,
			Serial:           "fake",
			Namespaces:       []target.Namespace{{ID: nsid, Blocks: 1 << 20, Shift: 12}},
			MaxTransfer:      128 << 10,
			MaxCapsule:       8 << 10,
			MaxDataPDU:       32 << 10,
			QueueDepth:       128,
			MaxQueues:        8,
			HandshakeTimeout: time.Second,
			MaxConnections:   8,
			MaxUnsent:        4 << 20,
			MaxBuffered:      4 << 20,
		},
	}
}

// testbed is a server and a client on the same loop.
type testbed struct {
	*testing.T
	loop   *eventloop.Loop
	server *Server
	client *initiator.Association
}

func newTestbed(t *testing.T, model Model) *testbed {
	t.Helper()
	loop, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(loop, "127.0.0.1:0", model, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &testbed{T: t, loop: loop, server: server}
}

// Ready and Ended implement initiator.Handler.
func (b *testbed) Ready(*initiator.Association) {}

func (b *testbed) Ended(*initiator.Association, error) {}

// run calls the steps in order on the loop and then closes the loop. Each step starts when the step before has called
// next.
func (b *testbed) run(steps ...func(next func())) {
	b.Helper()
	finished := false
	var step func(i int)
	step = func(i int) {
		if i == len(steps) {
			finished = true
			b.loop.Stop()
			return
		}
		steps[i](func() { step(i + 1) })
	}
	b.loop.Schedule(0, func() { step(0) })
	b.loop.Schedule(b.loop.Now()+testTimeout, b.loop.Stop)
	if err := b.loop.Run(); err != nil {
		b.Fatal(err)
	}
	if !finished {
		b.Fatal("not all steps finished within testTimeout")
	}
}

// connect opens a new connection of the client.
func (b *testbed) connect(next func()) {
	b.client = initiator.Dial(b.loop, initiator.Settings{
		Address:        b.server.Address(),
		Subsystem:      subsystem,
		Host:           "nqn.2026-12.org.honeyplank:test",
		HostID:         [16]byte{1},
		Depth:          64,
		MaxData:        128 << 10,
		ConnectTimeout: time.Second,
		KeepAlive:      5 * time.Second,
	}, b)
	b.awaitReady(next)
}

func (b *testbed) awaitReady(next func()) {
	if b.client.IsReady() {
		next()
		return
	}
	b.loop.Schedule(b.loop.Now()+time.Millisecond, func() { b.awaitReady(next) })
}

// write writes one block and expects a status.
func (b *testbed) write(lba uint64, data []byte, want nvme.Status) func(func()) {
	return func(next func()) {
		command := nvme.NewRW(nvme.Write, nsid, lba, 1)
		b.submit(command, data, 0, func(r initiator.Result) {
			if r.ConnectionLost || r.Status() != want {
				b.Errorf("write: lost %v, status %v, want %v", r.ConnectionLost, r.Status(), want)
			}
			next()
		})
	}
}

// read reads one block and expects its data.
func (b *testbed) read(lba uint64, want []byte) func(func()) {
	return func(next func()) {
		b.submit(nvme.NewRW(nvme.Read, nsid, lba, 1), nil, blockSize, func(r initiator.Result) {
			if r.ConnectionLost || r.Status() != nvme.Success || !bytes.Equal(r.Data, want) {
				b.Errorf("read of block %d: lost %v, status %v, %d bytes",
					lba, r.ConnectionLost, r.Status(), len(r.Data))
			}
			next()
		})
	}
}

// expectLost reads one block and expects the connection to end before the answer.
func (b *testbed) expectLost(next func()) {
	b.submit(nvme.NewRW(nvme.Read, nsid, 0, 1), nil, blockSize, func(r initiator.Result) {
		if !r.ConnectionLost {
			b.Errorf("the read was answered with status %v, want a lost connection", r.Status())
		}
		next()
	})
}

func (b *testbed) submit(command nvme.Command, data []byte, readBytes int, done func(initiator.Result)) {
	if _, ok := b.client.IO.Submit(command, data, readBytes, initiator.CallbackFunc(done)); !ok {
		b.Fatal("the client accepts no further command")
	}
}

func (b *testbed) setFaults(faults Faults) func(func()) {
	return func(next func()) {
		b.server.SetFaults(faults)
		next()
	}
}

func filled(lba uint64) []byte {
	block := make([]byte, blockSize)
	Fill(block, nsid, lba)
	return block
}

// TestStoredData checks that a block has its initial content before the first write, and the written data afterwards,
// also after the server has been killed and restarted.
func TestStoredData(t *testing.T) {
	b := newTestbed(t, testModel())
	written := bytes.Repeat([]byte("honeyplank------"), blockSize/16)
	b.run(
		b.connect,
		b.read(5, filled(5)),
		b.write(5, written, nvme.Success),
		b.read(5, written),
		b.read(6, filled(6)),
		func(next func()) {
			b.server.Kill()
			if err := b.server.Start(); err != nil {
				t.Error(err)
			}
			next()
		},
		b.connect,
		b.read(5, written),
	)
}

// TestReplace checks that a replacement serves the data that the killed server has stored, and starts cold.
func TestReplace(t *testing.T) {
	b := newTestbed(t, testModel())
	written := bytes.Repeat([]byte("x"), blockSize)
	b.run(
		b.connect,
		b.write(1, written, nvme.Success),
		func(next func()) {
			former := b.server
			former.Kill()
			var err error
			if b.server, err = New(b.loop, "127.0.0.1:0", testModel(), 2); err != nil {
				t.Fatal(err)
			}
			b.server.Replace(former)
			if b.server.Started == 0 {
				t.Error("the replacement is warm, want a cold start")
			}
			next()
		},
		b.connect,
		b.read(1, written),
	)
}

// TestFaults checks that ops are rejected, fail or have their answer truncated, each by its fault, and are served once
// the fault is cleared.
func TestFaults(t *testing.T) {
	b := newTestbed(t, testModel())
	block := filled(0)
	b.run(
		b.connect,
		b.setFaults(Faults{Draining: true}),
		b.write(0, block, nvme.Rejected),
		b.setFaults(Faults{FailShare: 1}),
		b.write(0, block, nvme.InternalError),
		b.setFaults(Faults{}),
		b.write(0, block, nvme.Success),
		b.setFaults(Faults{Truncate: true}),
		b.expectLost,
		b.connect,
		b.read(0, block), // Truncate affects one answer only
	)
}

// TestSlowFactor checks that SlowFactor multiplies the service time.
func TestSlowFactor(t *testing.T) {
	b := newTestbed(t, testModel())
	var start time.Duration
	b.run(
		b.connect,
		b.setFaults(Faults{SlowFactor: 10}), // a service time of 10 ms becomes 100 ms
		func(next func()) { start = b.loop.Now(); next() },
		b.read(0, filled(0)),
	)
	if took := b.loop.Now() - start; took < 100*time.Millisecond {
		t.Errorf("a read took %v, want at least 100ms", took)
	}
}

// TestPause checks that a paused server begins no op before the end of the pause.
func TestPause(t *testing.T) {
	b := newTestbed(t, testModel())
	const span = 100 * time.Millisecond
	var start time.Duration
	b.run(
		b.connect,
		func(next func()) { start = b.loop.Now(); b.server.PauseFor(span); next() },
		b.read(0, filled(0)),
	)
	if took := b.loop.Now() - start; took < span {
		t.Errorf("a read took %v, want at least the pause of %v", took, span)
	}
}

// TestQueueLimit checks that ops beyond the free cores and the queue limit are rejected.
func TestQueueLimit(t *testing.T) {
	model := testModel()
	model.QueueLimit = 3
	b := newTestbed(t, model)
	const ops = 10
	results := map[nvme.Status]int{}
	b.run(b.connect, func(next func()) {
		left := ops
		for range ops {
			b.submit(nvme.NewRW(nvme.Read, nsid, 0, 1), nil, blockSize, func(r initiator.Result) {
				results[r.Status()]++
				if left--; left == 0 {
					next()
				}
			})
		}
	})
	served := model.Cores + model.QueueLimit
	if results[nvme.Success] != served || results[nvme.Rejected] != ops-served {
		t.Errorf("number of ops by status: %v, want %d served and the rest rejected", results, served)
	}
}

// TestCapacity checks that the capacity of a cold server depends on its age only, also after another start.
func TestCapacity(t *testing.T) {
	model := testModel()
	model.ColdCapacity, model.ColdTime = 0.25, 4*time.Second
	b := newTestbed(t, model)
	defer b.run()
	for range 2 {
		b.server.Kill()
		if err := b.server.Start(); err != nil {
			t.Fatal(err)
		}
		for age, want := range map[time.Duration]float64{
			0:               50,
			2 * time.Second: 125,
			4 * time.Second: 200,
			time.Hour:       200,
		} {
			if got := b.server.CapacityAt(age); got != want {
				t.Errorf("capacity %v after a start is %v units per second, want %v", age, got, want)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestOverload checks that a cold server is overloaded by more units within the window than its limit, and a warm
// server is not.
func TestOverload(t *testing.T) {
	model := testModel()
	model.ColdCapacity, model.ColdTime = 0.25, time.Hour
	model.OverloadFactor, model.OverloadWindow = 2, time.Second // a limit of 100 units
	b := newTestbed(t, model)
	defer b.run()
	if b.server.overloadedBy(1000) {
		t.Error("a warm server is overloaded by 1000 units")
	}
	b.server.Started = b.loop.Now()
	if b.server.overloadedBy(60) {
		t.Error("overloaded by 60 units, the limit is 100")
	}
	if !b.server.overloadedBy(60) {
		t.Error("not overloaded by 120 units, the limit is 100")
	}
}
