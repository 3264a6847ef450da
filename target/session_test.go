package target

import (
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// bench is a session in memory, with what a handler saw.
type bench struct {
	t      *testing.T
	s      *Session
	out    []byte
	ended  bool
	begun  int // commands that count for the peer
	most   int // of them; 0: any number
	taken  []*Command
	lapsed []*Command
	host   nvme.Framing
	in     nvme.Framing
}

func (b *bench) Admit(c *Command)            { b.taken = append(b.taken, c) }
func (b *bench) ClientGone(c *Command)       { b.lapsed = append(b.lapsed, c) }
func (b *bench) Log(id uint8) ([]byte, bool) { return []byte{1, 2, 3, 4}, id == nvme.LogLoad }

func offer() *Settings {
	return &Settings{Subsystem: "nqn.2026-12.org.honeyplank:t", Namespaces: []Namespace{{ID: 1, Blocks: 1000, Shift: 12}, {ID: 5, Blocks: 10, Shift: 9}},
		MaxTransfer: 128 << 10, MaxCapsule: 8 << 10, MaxDataPDU: 16 << 10, QueueDepth: 32, MaxQueues: 4, HandshakeTimeout: time.Second, MaxBuffered: 1 << 20, MaxUnsent: 1 << 20}
}

func newBench(t *testing.T, o *Settings, subs *associations) *bench {
	b := &bench{t: t, host: nvme.Framing{FromHost: true}, in: nvme.Framing{MaxData: 1 << 20}}
	b.s = &Session{offer: o, subs: subs, handler: b, buffers: &eventloop.Buffers{}, out: &b.out, flush: func() {}, await: func(*Command) {}, ask: func(int) bool { return true }, gotten: func(int) {},
		begin: func() bool {
			if b.most > 0 && b.begun >= b.most {
				return false
			}
			b.begun++
			return true
		}, done: func() { b.begun-- },
		end: func() { b.ended = true; b.s.Ended() }, commands: map[uint16]*Command{}, tags: map[uint16]*Command{}}
	b.s.in.FromHost = true
	return b
}

// say feeds bytes and returns the PDUs that came back.
func (b *bench) say(bytes []byte) (out []nvme.PDU) {
	b.t.Helper()
	b.s.Input(0, bytes)
	for {
		p, n, err := b.in.Decode(b.out)
		if err != nil {
			b.t.Fatal(err)
		}
		if n == 0 {
			return out
		}
		p.Header, p.Data = append([]byte(nil), p.Header...), append([]byte(nil), p.Data...)
		out, b.out = append(out, p), b.out[n:]
	}
}

// status is of the one completion that must have come.
func (b *bench) status(out []nvme.PDU) nvme.Status {
	b.t.Helper()
	if len(out) == 0 || out[len(out)-1].Type != nvme.TypeCapsuleResp {
		b.t.Fatalf("no completion among %d PDUs", len(out))
	}
	c := out[len(out)-1].Completion()
	return c.Status()
}

func (b *bench) command(id uint16, c nvme.Command, data []byte) []byte {
	c.SetCID(id)
	if len(data) > 0 {
		c.SetSGL(nvme.SGLInCapsule, len(data))
	}
	return b.host.AppendCommand(nil, &c, data)
}

func (b *bench) connect(qid, cntlid uint16, size int, subsystem string) nvme.Status {
	b.t.Helper()
	return b.status(b.say(b.command(0, nvme.NewConnect(qid, size, 0), nvme.AppendConnectData(nil, [16]byte{}, cntlid, subsystem, "nqn.2026-12.h:x"))))
}

// pair is a live admin queue with a live I/O queue.
func pair(t *testing.T) (admin, io *bench) { t.Helper(); return pairWith(t, nvme.Init{}) }

// pairWith is a pair whose I/O queue has digests as i says.
func pairWith(t *testing.T, i nvme.Init) (admin, io *bench) {
	t.Helper()
	o, subs := offer(), &associations{byID: map[uint16]*controller{}, address: "127.0.0.1:4420"}
	admin, io = newBench(t, o, subs), newBench(t, o, subs)
	admin.say(nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
	io.say(nvme.AppendInit(nil, nvme.TypeICReq, i))
	io.host.HeaderDigest, io.host.DataDigest, io.in.HeaderDigest, io.in.DataDigest = i.HeaderDigest, i.DataDigest, i.HeaderDigest, i.DataDigest
	if s := admin.connect(0, nvme.DynamicController, 32, o.Subsystem); s != nvme.Success {
		t.Fatalf("Connect: %#x", s)
	}
	if s := io.connect(1, 1, 8, o.Subsystem); s.Code() != nvme.ConnectInvalid {
		t.Errorf("an I/O queue of a controller that is not enabled: %#x", s)
	}
	admin.say(admin.command(1, nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, 1), nil))
	if s := io.connect(1, 1, 8, o.Subsystem); s != nvme.Success {
		t.Fatalf("Connect: %#x", s)
	}
	return admin, io
}

func rw(op uint8, nsid uint32, lba uint64, blocks, bytes int, kind uint8) nvme.Command {
	c := nvme.NewRW(op, nsid, lba, blocks)
	c.SetSGL(kind, bytes)
	return c
}

// TestStatuses asks for what is not accepted and reads the status that the specification names.
func TestStatuses(t *testing.T) {
	admin, io := pair(t)
	odd := func(op uint8, dw10 uint32) nvme.Command {
		var c nvme.Command
		c[0] = op
		c.SetSGL(nvme.SGLTransport, 4096)
		c.SetDW(10, dw10)
		return c
	}
	for _, c := range []struct {
		name string
		on   *bench
		cmd  nvme.Command
		data []byte
		want nvme.Status
	}{
		{"unknown I/O opcode", io, odd(0x99, 0), nil, nvme.InvalidOpcode},
		{"unknown admin opcode", admin, odd(0x99, 0), nil, nvme.InvalidOpcode},
		{"unknown namespace", io, rw(nvme.Read, 9, 0, 1, 4096, nvme.SGLTransport), nil, nvme.InvalidNamespace},
		{"past the end", io, rw(nvme.Read, 1, 999, 2, 8192, nvme.SGLTransport), nil, nvme.LBAOutOfRange},
		{"past 2^63", io, rw(nvme.Read, 1, 1<<63, 2, 8192, nvme.SGLTransport), nil, nvme.LBAOutOfRange},
		{"too long", io, rw(nvme.Read, 1, 0, 64, 64*4096, nvme.SGLTransport), nil, nvme.InvalidField},
		{"descriptor too short", io, rw(nvme.Read, 1, 0, 2, 4096, nvme.SGLTransport), nil, nvme.InvalidSGLLength},
		{"descriptor of a type", io, rw(nvme.Read, 1, 0, 1, 4096, 0x22), nil, nvme.InvalidSGLType},
		{"less data than said", io, rw(nvme.Write, 5, 0, 2, 1024, nvme.SGLInCapsule), make([]byte, 512), nvme.InvalidSGLLength},
		{"flush", io, rw(nvme.Flush, 1, 0, 1, 0, nvme.SGLTransport), nil, nvme.Success},
		{"flush of none", io, rw(nvme.Flush, 8, 0, 1, 0, nvme.SGLTransport), nil, nvme.InvalidNamespace},
		{"a second Connect", admin, nvme.NewConnect(0, 32, 0), nil, nvme.SequenceError},
		{"unknown feature", admin, odd(nvme.AdminSetFeatures, 0x55), nil, nvme.InvalidField},
		{"number of queues", admin, odd(nvme.AdminSetFeatures, nvme.FeatureQueues), nil, nvme.Success},
		{"retry delays without data", admin, odd(nvme.AdminSetFeatures, nvme.FeatureHostBehavior), nil, nvme.InvalidField},
		{"retry delays", admin, odd(nvme.AdminSetFeatures, nvme.FeatureHostBehavior), append([]byte{1}, make([]byte, 511)...), nvme.Success},
		{"unknown log page", admin, odd(nvme.AdminGetLogPage, 0x7E), nil, nvme.InvalidLogPage},
		{"the handler's log page", admin, odd(nvme.AdminGetLogPage, nvme.LogLoad), nil, nvme.Success},
		{"log page too long", admin, odd(nvme.AdminGetLogPage, nvme.LogError|0xFFFF<<16), nil, nvme.InvalidField},
		{"unknown Identify", admin, odd(nvme.AdminIdentify, 0x77), nil, nvme.InvalidField},
		{"Identify Controller", admin, odd(nvme.AdminIdentify, nvme.IdentifyController), nil, nvme.Success},
		{"Identify of no namespace", admin, odd(nvme.AdminIdentify, nvme.IdentifyNamespace), nil, nvme.InvalidNamespace},
		{"Keep Alive", admin, odd(nvme.AdminKeepAlive, 0), nil, nvme.Success},
		{"an unknown property", admin, nvme.NewProperty(nvme.FabricsPropertyGet, 0x44, 0), nil, nvme.InvalidField},
	} {
		if got := c.on.status(c.on.say(c.on.command(77, c.cmd, c.data))); got.Code() != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, got, c.want)
		}
	}
	if len(io.taken) > 0 || admin.ended || io.ended {
		t.Error("something got through, or a connection ended")
	}
}

// TestSequence says well-formed things in an impossible order: each ends its connection with a TermReq, and
// what was taken lapses.
func TestSequence(t *testing.T) {
	write := rw(nvme.Write, 1, 0, 8, 8*4096, nvme.SGLTransport)
	frame := nvme.Framing{FromHost: true}
	for name, c := range map[string]struct {
		bytes  func(io *bench) []byte
		status uint16
	}{
		"a second ICReq": {func(*bench) []byte { return nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}) }, nvme.FatalSequence},
		"data without an R2T": {func(*bench) []byte {
			return frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 1, 44, 0, make([]byte, 512))
		}, nvme.FatalSequence},
		"data out of range": {func(io *bench) []byte {
			p := io.say(io.command(3, write, nil))
			return frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 3, p[0].TTAG(), 8*4096, make([]byte, 512))
		}, nvme.FatalDataRange},
		"data of another command": {func(io *bench) []byte {
			p := io.say(io.command(3, write, nil))
			return frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 4, p[0].TTAG(), 0, make([]byte, 512))
		}, nvme.FatalSequence},
		"last too early": {func(io *bench) []byte {
			p := io.say(io.command(3, write, nil))
			return frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 3, p[0].TTAG(), 0, make([]byte, 512))
		}, nvme.FatalHeaderField},
		"more commands than entries": {func(io *bench) (b []byte) {
			for id := range uint16(20) {
				b = append(b, io.command(id, rw(nvme.Read, 1, 0, 1, 4096, nvme.SGLTransport), nil)...)
			}
			return b
		}, nvme.FatalSequence},
	} {
		_, io := pair(t)
		io.say(io.command(30, rw(nvme.Read, 1, 0, 1, 4096, nvme.SGLTransport), nil))
		out := io.say(c.bytes(io))
		if len(out) == 0 || out[len(out)-1].Type != nvme.TypeC2HTermReq || !io.ended {
			t.Errorf("%s: no TermReq", name)
			continue
		}
		if got, _ := out[len(out)-1].Term(); got != c.status {
			t.Errorf("%s: FES %d, want %d", name, got, c.status)
		}
		if len(io.taken) == 0 || len(io.lapsed) != len(io.taken) {
			t.Errorf("%s: %d taken, %d lapsed", name, len(io.taken), len(io.lapsed))
		}
		if held := io.s.buffers.InUse; held != 0 {
			t.Errorf("%s: %d bytes are still held", name, held)
		}
	}
}

// TestAbort ends a command for its client: once with what it asked for, and never again.
func TestAbort(t *testing.T) {
	admin, io := pair(t)
	io.say(io.command(7, rw(nvme.Read, 1, 0, 1, 4096, nvme.SGLTransport), nil))
	abort := func(id uint16) uint32 {
		var c nvme.Command
		c[0] = nvme.AdminAbort
		c.SetDW(10, uint32(id)<<16|1)
		out := admin.say(admin.command(9, c, nil))
		r := out[0].Completion()
		return r.DW0()
	}
	if abort(7) != 0 || len(io.lapsed) != 1 || io.status(io.say(nil)) != nvme.AbortRequested {
		t.Error("a taken command was not aborted")
	}
	if abort(7) != 1 || abort(8) != 1 {
		t.Error("what never was, or is over, counts as aborted")
	}
	io.taken[0].Complete(nvme.Success, 0, 0, make([]byte, 4096))
	if out := io.say(nil); len(out) != 0 {
		t.Error("an aborted command was answered again")
	}
	// A Write that waits for its data: the data that still comes is dropped.
	p := io.say(io.command(8, rw(nvme.Write, 1, 0, 2, 8192, nvme.SGLTransport), nil))
	if abort(8) != 0 || io.status(io.say(nil)) != nvme.AbortRequested {
		t.Error("a receiving command was not aborted")
	}
	io.say(io.host.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 8, p[0].TTAG(), 0, make([]byte, 8192)))
	if io.ended || len(io.taken) != 1 || io.s.buffers.InUse != 0 {
		t.Error("data of an aborted Write was not dropped")
	}
}

// TestSameID uses a command id that is out.
func TestSameID(t *testing.T) {
	_, io := pair(t)
	read := rw(nvme.Read, 1, 0, 1, 4096, nvme.SGLTransport)
	io.say(io.command(7, read, nil))
	if s := io.status(io.say(io.command(7, read, nil))); s != nvme.IDConflict {
		t.Errorf("%#x", s)
	}
	io.taken[0].Complete(nvme.Success, 0, 0, make([]byte, 4096))
	if s := io.status(io.say(nil)); s != nvme.Success || len(io.taken) != 1 {
		t.Errorf("%#x, %d taken", s, len(io.taken))
	}
}
