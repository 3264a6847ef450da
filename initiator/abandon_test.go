package initiator

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"honeyplank/eventloop"
	"honeyplank/nvme"
	"honeyplank/target"
)

// write submits a Write whose data the controller has to request.
func (c *controller) write(t *testing.T) (cid uint16) {
	t.Helper()
	command := nvme.NewRW(nvme.Write, 1, 0, 2)
	cid, ok := c.session.Submit(command, make([]byte, transferBytes), 0, CallbackFunc(func(Result) {
		t.Error("the callback of an abandoned Write was called")
	}))
	if !ok {
		t.Fatal("Submit did not accept a Write")
	}
	return cid
}

// TestAbandonedWriteSendsNoData guards against the failure that the data of a Write is sent when the controller
// requests it after the Write was abandoned, over a newer Write of the same blocks.
func TestAbandonedWriteSendsNoData(t *testing.T) {
	c := readyController(t)
	cid := c.write(t)
	c.session.Abandon(cid)
	if len(c.aborts) != 1 || c.aborts[0] != cid || c.buffers.InUse != 0 {
		t.Errorf("Aborts requested for %v, want for command %d; %d bytes in use", c.aborts, cid, c.buffers.InUse)
	}
	c.output = nil
	if err := c.send(c.r2t(cid, 0, testBlock)); err != nil {
		t.Fatal(err)
	}
	if len(c.output) > 0 || len(c.aborts) != 2 {
		t.Errorf("an R2T for an abandoned Write is answered with %d bytes and %d more Aborts, want 0 and 1",
			len(c.output), len(c.aborts)-1)
	}
	if err := c.send(c.completion(cid, nvme.AbortRequested)); err != nil || c.session.Free() != testDepth {
		t.Errorf("after the end of the Write: error %v, %d slots free", err, c.session.Free())
	}
}

// TestAbandonTakesBackUnsent guards against the failure that the capsule of an abandoned command leaves later, when the
// controller reads again.
func TestAbandonTakesBackUnsent(t *testing.T) {
	c := readyController(t)
	var results []Result
	c.output = nil
	sent := c.mustReadBlock(t, &results)
	capsule := len(c.output)
	unsent := c.mustReadBlock(t, &results)
	last := c.mustReadBlock(t, &results)
	c.unsent = len(c.output) - capsule
	c.session.Abandon(unsent)
	if len(c.output) != 2*capsule || c.session.Free() != testDepth-2 {
		t.Fatalf("output of %d bytes, want %d; %d slots free", len(c.output), 2*capsule, c.session.Free())
	}
	if p, _, err := c.input.Decode(c.output[capsule:]); err != nil || p.CCCID() != last && commandID(&p) != last {
		t.Errorf("the command behind the abandoned one is damaged: id %d, error %v", commandID(&p), err)
	}
	c.session.Abandon(last)
	if len(c.output) != capsule || len(c.acks) != 0 {
		t.Errorf("output of %d bytes, want %d; acknowledgement required of %v", len(c.output), capsule, c.acks)
	}
	c.unacked = 1
	c.session.Abandon(sent)
	if len(c.acks) != 1 || c.acks[0] != sent {
		t.Errorf("acknowledgement required of %v, want of command %d", c.acks, sent)
	}
}

func commandID(p *nvme.PDU) uint16 {
	command := p.Command()
	return command.CID()
}

// stuckKernel is a kernel whose bytes are not acknowledged once stuck is set. It counts the connections that are reset.
type stuckKernel struct {
	eventloop.Linux
	stuck  bool
	resets int
}

func (k *stuckKernel) UnackedBytes(fd int) (int, error) {
	if k.stuck {
		return 1, nil
	}
	return k.Linux.UnackedBytes(fd)
}

func (k *stuckKernel) SetsockoptLinger(fd int, linger unix.Linger) error {
	k.resets++
	return k.Linux.SetsockoptLinger(fd, linger)
}

// heldDisk is a controller that never answers a Read or Write.
type heldDisk struct{}

func (heldDisk) Admit(*target.Command)        {}
func (heldDisk) ClientGone(*target.Command)   {}
func (heldDisk) LogPage(uint8) ([]byte, bool) { return nil, false }

// hostPlay is an association with a controller on one loop, and the steps of a test.
type hostPlay struct {
	kernel      *stuckKernel
	loop        *eventloop.Loop
	server      *target.Server
	association *Association
	step        func(*hostPlay) // called once the association is ready
	err         error           // with which the association has ended
	ended       bool
}

// Ready and Ended implement Handler.
func (p *hostPlay) Ready(*Association) { p.step(p) }

func (p *hostPlay) Ended(_ *Association, err error) {
	p.err, p.ended = err, true
	p.loop.Stop()
}

// playHost connects to a controller, calls step and returns when the association has ended, or after some time.
func playHost(t *testing.T, step func(*hostPlay)) *hostPlay {
	t.Helper()
	kernel := &stuckKernel{}
	loop, err := eventloop.NewWithSyscalls(time.Minute, kernel)
	if err != nil {
		t.Fatal(err)
	}
	p := &hostPlay{kernel: kernel, loop: loop, step: step}
	p.server, err = target.Listen(loop, "127.0.0.1:0", target.Settings{
		Subsystem:        "nqn.2026-12.org.honeyplank:disk",
		Namespaces:       []target.Namespace{{ID: 1, Blocks: 1 << 20, Shift: 12}},
		MaxTransfer:      transferBytes,
		MaxCapsule:       testBlock,
		MaxDataPDU:       testBlock,
		QueueDepth:       64,
		MaxQueues:        1,
		HandshakeTimeout: time.Second,
		MaxConnections:   4,
		MaxUnsent:        1 << 20,
		MaxBuffered:      transferBytes,
	}, heldDisk{})
	if err != nil {
		t.Fatal(err)
	}
	loop.Schedule(loop.Now(), func() {
		p.association = Dial(loop, Settings{
			Address:        p.server.Address(),
			Subsystem:      "nqn.2026-12.org.honeyplank:disk",
			Host:           "nqn.2026-12.org.honeyplank:host",
			Depth:          testDepth,
			MaxData:        transferBytes,
			ConnectTimeout: time.Second,
		}, p)
	})
	loop.Schedule(loop.Now()+4*time.Second, loop.Stop)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	return p
}

// after calls f on the loop after a delay.
func (p *hostPlay) after(delay time.Duration, f func()) { p.loop.Schedule(p.loop.Now()+delay, f) }

// TestAbandonedCommandIsReset guards against the failure that the kernel delivers an abandoned command to a controller
// that reads again much later.
func TestAbandonedCommandIsReset(t *testing.T) {
	p := playHost(t, func(p *hostPlay) {
		id, _ := p.association.IO.Submit(nvme.NewRW(nvme.Read, 1, 0, 1), nil, testBlock, CallbackFunc(func(Result) {}))
		p.after(20*time.Millisecond, func() {
			p.kernel.stuck = true
			p.association.IO.Abandon(id)
		})
	})
	if !errors.Is(p.err, errAbandonedUnacked) || p.kernel.resets == 0 {
		t.Errorf("the association ended with error %v and %d resets, want %v and resets", p.err, p.kernel.resets,
			errAbandonedUnacked)
	}
}

// TestCloseResetsUnacknowledged guards against the failure that commands are sent on after their association has ended
// and their ops have failed.
func TestCloseResetsUnacknowledged(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		p := playHost(t, func(p *hostPlay) {
			p.after(20*time.Millisecond, func() {
				p.kernel.stuck = stuck
				p.association.Close()
				p.loop.Stop()
			})
		})
		if (p.kernel.resets > 0) != stuck {
			t.Errorf("bytes not acknowledged: %v; %d connections are reset", stuck, p.kernel.resets)
		}
	}
}

// TestUnansweredTransferEndsAssociation guards against the failure that a controller that ignores the Abort waits
// forever for the data of an abandoned Write, and holds a buffer for it.
func TestUnansweredTransferEndsAssociation(t *testing.T) {
	p := playHost(t, func(p *hostPlay) {
		submit := func() uint16 {
			write := nvme.NewRW(nvme.Write, 1, 0, 2)
			id, _ := p.association.IO.Submit(write, make([]byte, transferBytes), 0, CallbackFunc(func(Result) {}))
			return id
		}
		submit() // holds the buffer, so that the R2T of the next one waits
		id := submit()
		p.after(20*time.Millisecond, func() {
			p.server.DropAllInput = true // the Abort too
			p.association.IO.Abandon(id)
			p.server.Release(make([]byte, transferBytes))
		})
	})
	if !errors.Is(p.err, errAbandonedUnaborted) {
		t.Errorf("the association ended with error %v, want %v", p.err, errAbandonedUnaborted)
	}
}

// TestAbandonedWriteIsAborted checks that a controller that executes the Abort ends the abandoned Write, so that its id
// is free again and the association stays.
func TestAbandonedWriteIsAborted(t *testing.T) {
	p := playHost(t, func(p *hostPlay) {
		var id uint16
		for range 2 {
			write := nvme.NewRW(nvme.Write, 1, 0, 2)
			id, _ = p.association.IO.Submit(write, make([]byte, transferBytes), 0, CallbackFunc(func(Result) {}))
		}
		p.after(20*time.Millisecond, func() { p.association.IO.Abandon(id) })
		p.after(1500*time.Millisecond, p.loop.Stop)
	})
	if p.ended || p.association.IO.Free() != testDepth-1 {
		t.Errorf("the association ended: %v, with error %v; %d of %d ids are free, want all but 1", p.ended, p.err,
			p.association.IO.Free(), testDepth)
	}
}
