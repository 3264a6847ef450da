package target

import (
	"fmt"
	"slices"
	"testing"

	"honeyplank/nvme"
)

// frame is one thing a host says, before it is encoded: the model judges this, the session the bytes.
type frame struct {
	kind   int // of the what constants
	cid    uint16
	opcode uint8
	nsid   uint32
	lba    uint64
	blocks int
	sgl    uint8
	length int // that the SGL states
	inside int // bytes of data in the capsule
	tag    uint16
	offset int
	size   int // bytes of an H2CData
	last   bool
	bad    bool // the data digest is over other data
}

const (
	whatCommand = iota
	whatData
	whatInit
	whatTerm
)

// entry is a command as the plain model remembers it.
type entry struct {
	cid                     uint16
	bytes, got              int
	tag                     uint16
	receiving, taken, ended bool // ended: answered, but data is still to come
}

// plain is the slow plain model of an I/O queue: for each frame it says which ends are allowed, all reasons that hold
// at once, and looks through everything there ever was.
type plain struct {
	depth   int
	spaces  []Namespace
	most    int
	entries []*entry
	over    bool
}

func (m *plain) open(cid uint16) *entry {
	for _, e := range m.entries {
		if e.cid == cid && (e.receiving || e.taken || e.ended) {
			return e
		}
	}
	return nil
}

func (m *plain) count() (n int) {
	for _, e := range m.entries {
		if e.receiving || e.taken || e.ended {
			n++
		}
	}
	return n
}

// verdict is what is allowed: one of the statuses as answer, or one of the fatal ones, or, where both are empty, that
// it is taken in silence.
type verdict struct {
	statuses []nvme.Status
	fatal    []uint16
	entry    *entry // it began, or its data came
	asks     bool   // an R2T is due
	takes    bool   // the handler is due to have it
}

func (m *plain) judge(f frame) (v verdict) {
	status := func(hold bool, s nvme.Status) {
		if hold {
			v.statuses = append(v.statuses, s)
		}
	}
	fatal := func(hold bool, s uint16) {
		if hold {
			v.fatal = append(v.fatal, s)
		}
	}
	switch f.kind {
	case whatInit:
		fatal(true, nvme.FatalSequence)
	case whatCommand:
		if f.bad {
			status(true, nvme.TransientTransport)
			return v
		}
		status(m.open(f.cid) != nil, nvme.IDConflict)
		fatal(m.open(f.cid) == nil && m.count() >= m.depth, nvme.FatalSequence)
		if len(v.fatal)+len(v.statuses) > 0 {
			return v
		}
		const dnr = nvme.DoNotRetry
		rw := f.opcode == nvme.Read || f.opcode == nvme.Write
		status(f.opcode == nvme.Fabrics, nvme.SequenceError|dnr)
		status(!rw && f.opcode != nvme.Flush && f.opcode != nvme.Fabrics, nvme.InvalidOpcode|dnr)
		at := slices.IndexFunc(m.spaces, func(n Namespace) bool { return n.ID == f.nsid })
		status(at < 0 && (rw || f.opcode == nvme.Flush && f.nsid != 0xFFFFFFFF), nvme.InvalidNamespace|dnr)
		if f.opcode == nvme.Flush && len(v.statuses) == 0 {
			status(true, nvme.Success)
		}
		if len(v.statuses) > 0 || !rw {
			return v
		}
		n := m.spaces[at]
		bytes := f.blocks << n.Shift
		status(f.lba >= n.Blocks || f.lba+uint64(f.blocks) > n.Blocks, nvme.LBAOutOfRange|dnr)
		status(bytes > m.most, nvme.InvalidField|dnr)
		status(f.length != bytes, nvme.InvalidSGLLength|dnr)
		inside := f.sgl == nvme.SGLInCapsule && f.opcode == nvme.Write
		status(!inside && f.sgl != nvme.SGLTransport || f.sgl == nvme.SGLTransport && f.inside > 0, nvme.InvalidSGLType|dnr)
		status(inside && f.inside != bytes, nvme.InvalidSGLOffset|dnr)
		if len(v.statuses) > 0 {
			return v
		}
		v.entry = &entry{cid: f.cid, bytes: bytes}
		v.asks = f.opcode == nvme.Write && !inside
		v.takes = !v.asks
		v.entry.receiving, v.entry.taken = v.asks, v.takes
		m.entries = append(m.entries, v.entry)
	case whatData:
		var e *entry
		for _, x := range m.entries {
			if x.tag == f.tag && x.tag != 0 && x.got < x.bytes && (x.receiving || x.ended) {
				e = x
			}
		}
		fatal(e == nil || e.cid != f.cid, nvme.FatalSequence)
		if len(v.fatal) > 0 {
			return v
		}
		fatal(f.size == 0 || f.offset != e.got || f.offset+f.size > e.bytes, nvme.FatalDataRange)
		fatal(f.last != (f.offset+f.size == e.bytes), nvme.FatalHeaderField)
		if len(v.fatal) > 0 {
			return v
		}
		e.got += f.size
		if f.bad && e.receiving {
			status(true, nvme.TransientTransport)
			e.receiving, e.ended = false, true
		}
		if e.got == e.bytes {
			v.takes = e.receiving
			e.receiving, e.ended, e.taken = false, false, v.takes
			v.entry = e
		}
	}
	return v
}

// FuzzModel plays what hosts can say, right and wrong, to a live I/O queue with digests, and holds the session
// against the plain model: an answer must be one of those allowed, a breach must end the connection with a status
// that names one of its reasons, and what breaks nothing must be taken. Digests are right over wrong data (which
// nobody can tell) and wrong over right data.
func FuzzModel(f *testing.F) {
	f.Add(byte(0), []byte{0, 0x01, 1, 0x02, 6, 0, 8, 0, 8, 1})
	f.Add(byte(3), []byte{1, 0x10, 1, 0x20, 6, 0x11, 6, 0x10, 7, 0, 9, 1, 10, 2})
	f.Add(byte(0), []byte{1, 0x01, 7, 0x01, 7, 0xA1})       // data that came already
	f.Add(byte(0), []byte{1, 0x01, 7, 0x41, 1, 0x02})       // a byte past the end
	f.Add(byte(1), []byte{1, 0x01, 1, 0x11, 7, 0x81, 7, 1}) // another command's
	f.Add(byte(2), []byte{1, 0x01, 7, 0x01, 7, 0xC1, 9, 0, 10, 0})
	f.Add(byte(2), []byte{2, 0x11, 3, 0x12, 4, 0x13, 5, 0x14, 11, 0x10, 12, 0x10, 1, 0x40, 6, 0x80})
	f.Fuzz(func(t *testing.T, digests byte, script []byte) {
		admin, io := pairWith(t, nvme.Init{HeaderDigest: digests&1 != 0, DataDigest: digests&2 != 0})
		m := &plain{depth: io.s.size, spaces: io.s.offer.Namespaces, most: io.s.offer.MaxTransfer}
		io.host.MaxData = 1 << 20
		answers := func(out []nvme.PDU) (got []string) {
			for _, p := range out {
				if p.Type == nvme.TypeCapsuleResp {
					c := p.Completion()
					got = append(got, fmt.Sprintf("%d:%#x", c.CID(), uint16(c.Status())))
				}
			}
			return got
		}
		for len(script) >= 2 && !m.over {
			what, n := script[0], script[1]
			script = script[2:]
			fr := frame{cid: uint16(n >> 4), opcode: nvme.Write, nsid: 1, lba: uint64(n & 3), blocks: 1 + int(n&7), sgl: nvme.SGLTransport}
			fr.length = fr.blocks << 12
			switch what % 16 {
			case 0:
				fr.opcode = nvme.Read
			case 1:
			case 2:
				fr.sgl, fr.blocks = nvme.SGLInCapsule, 1+int(n&1)
				fr.length = fr.blocks << 12
				fr.inside = fr.length
			case 3: // out of range, at its very edge, of another namespace or of none
				fr.opcode, fr.lba, fr.nsid = nvme.Read, [...]uint64{1000 - uint64(fr.blocks), 1001 - uint64(fr.blocks), 999, 1000, 1 << 40, ^uint64(0), 0, 0}[n&7], uint32(1+(n>>3&1)*4)
				fr.length = fr.blocks << 12
				if fr.nsid == 5 {
					fr.length = fr.blocks << 9
				}
			case 4: // lengths that lie
				fr.length = [...]int{0, 1, fr.length - 1, fr.length + 1, 1 << 20, 1<<31 - 1, 1 << 31, 1<<32 - 1}[n&7]
			case 5: // in the capsule something else than the SGL says
				fr.sgl, fr.blocks, fr.length, fr.inside = nvme.SGLInCapsule, 1, 4096, []int{0, 512, 4092, 8192}[n&3]
			case 6, 7: // data for one that waits, whole or in pieces that may lie
				fr.kind, fr.tag, fr.cid, fr.size, fr.last = whatData, uint16(n&7), 99, 4096, true
				for _, e := range m.entries {
					if e.tag == fr.tag && (e.receiving || e.ended) && e.got < e.bytes {
						fr.cid, fr.offset, fr.size = e.cid, e.got, e.bytes-e.got
					}
				}
				if what%16 == 7 {
					switch n >> 5 {
					case 0:
						fr.size, fr.last = min(fr.size, 4096), fr.size <= 4096
					case 1:
						fr.offset += 4096
					case 2:
						fr.size, fr.last = fr.size+1+3*int(n>>3&1), n&16 != 0
					case 3:
						fr.last = false
					case 4:
						fr.cid++
					case 5:
						fr.offset = max(0, fr.offset-4096)
					case 6:
						fr.size, fr.last = 4096, true
					case 7:
						fr.bad = digests&2 != 0
					}
				}
			case 8: // the handler answers
				if len(io.taken) > 0 {
					c := io.taken[int(n)%len(io.taken)]
					e := m.entries[slices.IndexFunc(m.entries, func(e *entry) bool { return e == c.User })]
					c.Complete(nvme.Success, 0, 0, nil)
					got, want := answers(drain(io)), []string(nil)
					if e.taken {
						want = []string{fmt.Sprintf("%d:0x0", c.CID())}
					}
					if e.taken = false; !slices.Equal(got, want) {
						t.Fatalf("the handler's answer came as %v, want %v", got, want)
					}
				}
				continue
			case 9: // an Abort
				var c nvme.Command
				c[0] = nvme.AdminAbort
				c.SetDW(10, uint32(fr.cid)<<16|1)
				out := admin.say(admin.command(50, c, nil))
				if len(out) != 1 {
					t.Fatalf("%d answers to an Abort", len(out))
				}
				done := out[0].Completion()
				e, want := m.open(fr.cid), []string(nil)
				if e != nil && !e.ended {
					want = []string{fmt.Sprintf("%d:%#x", fr.cid, uint16(nvme.AbortRequested))}
					e.ended, e.receiving, e.taken = e.receiving, false, false
				}
				if got := answers(drain(io)); !slices.Equal(got, want) || (done.DW0()&1 == 0) != (want != nil) {
					t.Fatalf("Abort of %d: %v and %#x, want %v", fr.cid, got, done.DW0(), want)
				}
				continue
			case 10: // data has not come in time
				if e := m.open(fr.cid); e != nil { // the time may be over whatever has come of the command meanwhile
					want := []string(nil)
					if e.receiving {
						want = []string{fmt.Sprintf("%d:%#x", e.cid, uint16(nvme.DataTransferError))}
						e.receiving, e.ended = false, true
					}
					io.s.Expire(io.s.commands[e.cid])
					if got := answers(drain(io)); !slices.Equal(got, want) {
						t.Fatalf("expiry told %v, want %v", got, want)
					}
				}
				continue
			case 11:
				fr.opcode, fr.nsid = nvme.Flush, []uint32{1, 5, 2, 0xFFFFFFFF}[n&3]
				fr.blocks, fr.length = 0, 0
			case 12:
				fr.opcode = []uint8{nvme.Fabrics, 0x04, 0x05, 0x7E}[n&3]
			case 13:
				fr.kind = whatInit
			case 14:
				fr.kind = whatTerm
			case 15: // right data under a wrong digest
				fr.sgl, fr.blocks, fr.length, fr.inside, fr.bad = nvme.SGLInCapsule, 1, 4096, 4096, digests&2 != 0
			}
			var bytes []byte
			switch fr.kind {
			case whatCommand:
				c := nvme.NewRW(fr.opcode, fr.nsid, fr.lba, max(fr.blocks, 1))
				c.SetSGL(fr.sgl, fr.length)
				if fr.opcode == nvme.Fabrics {
					c = nvme.NewConnect(1, 8, 0)
				}
				c.SetCID(fr.cid)
				bytes = io.host.AppendCommand(nil, &c, make([]byte, fr.inside))
			case whatData:
				flags := uint8(0)
				if fr.last {
					flags = nvme.FlagLast
				}
				// One PDU holds a Piece at most: longer data goes in several, each of which is a frame of its own.
				for piece := io.s.offer.MaxDataPDU; fr.size > piece && !m.over; {
					part := fr
					part.size, part.last, part.bad = piece, false, false
					check(t, io, m, part, io.host.AppendData(nil, nvme.TypeH2CData, 0, part.cid, part.tag, part.offset, make([]byte, piece)))
					fr.offset, fr.size = fr.offset+piece, fr.size-piece
				}
				bytes = io.host.AppendData(nil, nvme.TypeH2CData, flags, fr.cid, fr.tag, fr.offset, make([]byte, fr.size))
			case whatInit:
				bytes = nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
			case whatTerm:
				bytes = nvme.AppendTerm(nil, nvme.TypeH2CTermReq, &nvme.FatalError{Status: 1})
			}
			if fr.bad {
				bytes[len(bytes)-1] ^= 1
			}
			if !m.over {
				check(t, io, m, fr, bytes)
			}
		}
		for _, c := range io.taken {
			io.s.buffers.Put(c.Data)
		}
		io.s.Ended()
		if held := io.s.buffers.InUse; held != 0 {
			t.Fatalf("%d bytes held after the end", held)
		}
	})
}

// check feeds a frame and holds what comes against what the model allows.
func check(t *testing.T, io *bench, m *plain, f frame, bytes []byte) {
	t.Helper()
	taken := len(io.taken)
	v := m.judge(f)
	m.over = len(v.fatal) > 0 || f.kind == whatTerm
	out := io.say(bytes)
	var statuses []nvme.Status
	asked := false
	for _, p := range out {
		switch p.Type {
		case nvme.TypeCapsuleResp:
			c := p.Completion()
			if statuses = append(statuses, c.Status()); c.CID() != f.cid {
				t.Fatalf("%+v: an answer to command %d", f, c.CID())
			}
		case nvme.TypeR2T:
			asked = true
			if v.entry == nil || p.CCCID() != f.cid || p.Offset() != 0 || int(p.Length()) != v.entry.bytes {
				t.Fatalf("%+v: R2T for command %d, %d bytes from %d", f, p.CCCID(), p.Length(), p.Offset())
			}
			v.entry.tag = p.TTAG()
		case nvme.TypeC2HTermReq:
			if s, _ := p.Term(); !slices.Contains(v.fatal, s) {
				t.Fatalf("%+v: ended with %d, allowed are %v", f, s, v.fatal)
			}
		default:
			t.Fatalf("%+v: PDU type %#x", f, p.Type)
		}
	}
	if ended := io.s.phase == phaseEnded; ended != m.over {
		t.Fatalf("%+v: the connection ended: %v; the model: %v, %v", f, ended, m.over, v.fatal)
	}
	if len(statuses) > 1 || (len(statuses) == 1) != (len(v.statuses) > 0) || len(statuses) == 1 && !slices.Contains(v.statuses, statuses[0]) {
		t.Fatalf("%+v: answered %#x, allowed are %#x", f, statuses, v.statuses)
	}
	if asked != v.asks || (len(io.taken) > taken) != v.takes {
		t.Fatalf("%+v: asked for data %v, want %v; handed over %v, want %v", f, asked, v.asks, len(io.taken) > taken, v.takes)
	}
	if v.takes {
		io.taken[taken].User = v.entry
	}
}
