package gateway_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/target"
)

// bufferedDisk is a disk server with one data buffer. It keeps the buffer until release is called, so that it requests
// the data of further Writes only then.
type bufferedDisk struct {
	server *target.Server
	mu     sync.Mutex
	held   []*target.Command
	writes []nvme.Command // whose data has arrived
	reads  int
}

// Admit, ClientGone and LogPage implement target.Handler.
func (d *bufferedDisk) Admit(c *target.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Opcode() != nvme.Write {
		d.reads++
		c.Complete(nvme.Success, 0, 0, make([]byte, c.Bytes))
		return
	}
	d.writes = append(d.writes, c.Command)
	d.held = append(d.held, c)
}

func (d *bufferedDisk) ClientGone(*target.Command) {}

func (d *bufferedDisk) LogPage(id uint8) ([]byte, bool) {
	return nvme.AppendLoad(nil, nvme.Load{Latency: 10, Inflight: 1}), id == nvme.LogLoad
}

// release answers the Writes that have arrived, and requests the data of those that wait.
func (d *bufferedDisk) release() {
	d.mu.Lock()
	held := d.held
	d.held = nil
	d.mu.Unlock()
	for _, c := range held {
		c.Complete(nvme.Success, 0, 0, nil)
		d.server.Release(c.Data)
	}
}

// arrived reports whether the data of a Write to a block has arrived.
func (d *bufferedDisk) arrived(block uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.writes {
		if d.writes[i].SLBA() == block {
			return true
		}
	}
	return false
}

// replaceDisk replaces the disk server of cell 1 by one with a single buffer.
func (h *harness) replaceDisk() *bufferedDisk {
	h.t.Helper()
	d := &bufferedDisk{}
	h.onLoop(func() {
		var err error
		d.server, err = target.Listen(h.loop, "127.0.0.1:0", target.Settings{
			Subsystem:        h.settings.DiskServers.Subsystem,
			Namespaces:       []target.Namespace{{ID: 2, Blocks: 1 << 18, Shift: 12}},
			MaxTransfer:      128 << 10,
			MaxCapsule:       8 << 10,
			MaxDataPDU:       32 << 10,
			QueueDepth:       128,
			MaxQueues:        4,
			HandshakeTimeout: time.Second,
			MaxConnections:   16,
			MaxUnsent:        4 << 20,
			MaxBuffered:      128 << 10,
		}, d)
		if err != nil {
			h.t.Error(err)
		}
	})
	h.deregister(h.disks[1].Address())
	h.register(d.server.Address(), 1, "on")
	client := h.connect("probe")
	h.eventually("the new disk server is used", func() bool {
		h.do(client, nvme.NewRW(nvme.Read, 2, 0, 1), nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.reads > 0
	})
	return d
}

// Blocks of volume 2 in TestEndedWriteIsNotSent.
const (
	holdingBlock = 1024 // of the Write that holds the buffer of the disk server
	endedBlock   = 2048 // of the Write that ends before the disk server asks for its data
)

// TestEndedWriteIsNotSent guards against the failure that the data of a Write is sent to its disk server after the
// Write has ended for its client, when the disk server requests the data: it would replace what the client has written
// since.
func TestEndedWriteIsNotSent(t *testing.T) {
	for name, end := range map[string]func(h *harness, client *initiator.Association, written chan answer){
		"op timeout": func(_ *harness, _ *initiator.Association, written chan answer) { <-written },
		"abort": func(h *harness, client *initiator.Association, written chan answer) {
			h.onLoop(func() {
				abort := nvme.Command{nvme.AdminAbort}
				abort.SetDW(10, uint32(h.lastCommandID)<<16|1)
				client.Admin.Submit(abort, nil, 0, initiator.CallbackFunc(func(initiator.Result) {}))
			})
			if r := <-written; r.status != nvme.AbortRequested {
				h.t.Errorf("the aborted Write ends with status %#x", r.status)
			}
		},
		"client gone": func(h *harness, client *initiator.Association, written chan answer) {
			h.onLoop(client.Close)
			<-written
			h.eventually("the gateway has heard of it", func() bool { return h.counts().Unanswered <= 1 })
		},
		"shutdown": func(h *harness, _ *initiator.Association, written chan answer) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			if err := h.gateway.Shutdown(ctx); err == nil {
				h.t.Error("the shutdown did not have to fail any op")
			}
			<-written
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			disk := h.replaceDisk()
			holder, client := h.connect("holder"), h.connect("client")
			h.submit(holder, nvme.NewRW(nvme.Write, 2, holdingBlock, 32), pattern(1, 32))
			h.eventually("the buffer is in use", func() bool { return disk.arrived(holdingBlock) })
			before := h.counts().Dispatches
			written := h.submit(client, nvme.NewRW(nvme.Write, 2, endedBlock, 4), pattern(2, 4))
			h.eventually("the Write is on its way", func() bool { return h.counts().Dispatches > before })
			time.Sleep(20 * time.Millisecond)
			end(h, client, written)
			time.Sleep(20 * time.Millisecond)
			h.onLoop(disk.release)
			time.Sleep(300 * time.Millisecond)
			if disk.arrived(endedBlock) {
				t.Error("the data of a Write was sent after its end")
			}
		})
	}
}
