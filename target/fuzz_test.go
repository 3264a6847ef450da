package target

import (
	"testing"

	"honeyplank/nvme"
)

// FuzzSequence plays well-formed frames in any order on an admin and an I/O queue, with the handler's answers and
// the client's disconnects between. Whatever comes: no panic; no command is answered twice; what is taken is
// answered by its handler alone; once both connections are gone nothing is held and everything taken has lapsed or
// been answered.
func FuzzSequence(f *testing.F) {
	f.Add([]byte{1, 0, 9, 0, 2, 1, 9, 1, 3, 2, 4, 2, 9, 2})
	f.Add([]byte{2, 1, 2, 1, 2, 2, 4, 1, 4, 2, 5, 1, 6, 2, 9, 0, 10, 0})
	f.Add([]byte{3, 1, 4, 0x81, 4, 1, 7, 1, 8, 0, 11, 0, 1, 1})
	f.Add([]byte{2, 7, 5, 7, 4, 7, 2, 7, 4, 7, 9, 0, 12, 0, 13, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		admin, io := pair(t)
		answers := map[uint16]int{}
		sent, got := map[uint16]int{}, func(out []nvme.PDU) {
			for _, p := range out {
				if p.Type == nvme.TypeCapsuleResp {
					c := p.Completion()
					answers[c.CID()]++
				}
			}
		}
		tags := func(n byte) uint16 { return uint16(n & 0x0F) }
		say := func(b *bench, bytes []byte) {
			if b.s.phase == phaseEnded {
				return
			}
			if out := b.say(bytes); b == io { // the admin queue's ids are its own
				got(out)
			}
		}
		open := 0 // taken and not yet over, by the handler's own count
		for len(script) >= 2 {
			what, n := script[0]%14, script[1]
			script = script[2:]
			id := uint16(n >> 4)
			frame := io.host
			command := func(c nvme.Command, data []byte) {
				sent[id]++
				say(io, io.command(id, c, data))
			}
			switch what {
			case 0:
				say(io, nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
			case 1:
				command(rw(nvme.Read, 1, uint64(n), 1+int(n&3), (1+int(n&3))*4096, nvme.SGLTransport), nil)
			case 2:
				command(rw(nvme.Write, 1, uint64(n), 8, 8*4096, nvme.SGLTransport), nil)
			case 3:
				command(rw(nvme.Write, 1, 0, 1, 4096, nvme.SGLInCapsule), make([]byte, 4096))
			case 4: // data: the whole, the first half, the second, or what lies
				size, from, flags := 8*4096, 0, uint8(nvme.FlagLast)
				switch n >> 6 {
				case 1:
					size, flags = 4*4096, 0
				case 2:
					size, from = 4*4096, 4*4096
				case 3:
					from = 4096
				}
				cid := uint16(0)
				if c := io.s.tags[tags(n)]; c != nil {
					cid = c.CID()
				}
				frame.MaxData = 1 << 20
				for at := 0; at < size && io.s.phase != phaseEnded; at += 16 << 10 {
					piece, last := min(16<<10, size-at), uint8(0)
					if at+piece == size {
						last = flags
					}
					say(io, frame.AppendData(nil, nvme.TypeH2CData, last, cid, tags(n), from+at, make([]byte, piece)))
				}
			case 5: // an Abort of what is there or never was
				var c nvme.Command
				c[0] = nvme.AdminAbort
				c.SetDW(10, uint32(id)<<16|1)
				say(admin, admin.command(50, c, nil))
				got(drain(io))
			case 6:
				say(io, io.command(id, nvme.NewConnect(1, 8, 0), nvme.AppendConnectData(nil, [16]byte{}, 1, io.s.offer.Subsystem, "h")))
				sent[id]++
			case 7: // the handler answers something
				if k := int(n); len(io.taken) > 0 {
					io.taken[k%len(io.taken)].Complete(nvme.Success, 0, 0, make([]byte, 4096))
					got(drain(io))
				}
			case 8:
				say(io, io.host.AppendCommand(nil, &nvme.Command{n}, nil))
				sent[0]++
			case 9: // a data wait is over, perhaps long after the data has come
				if c := io.s.commands[id]; c != nil {
					io.s.Expire(c)
				}
				got(drain(io))
			case 10:
				say(admin, admin.command(id, nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, uint32(n&1)), nil))
				got(drain(io))
			case 11:
				say(io, nvme.AppendTerm(nil, nvme.TypeH2CTermReq, &nvme.FatalError{Status: 1}))
			case 12:
				io.s.Ended()
			case 13:
				say(admin, admin.command(id, nvme.NewConnect(0, 8, 0), nil))
			}
			for cid, n := range answers {
				if n > sent[cid] {
					t.Fatalf("command id %d was sent %d times and answered %d times", cid, sent[cid], n)
				}
			}
			if held := io.s.buffers.InUse; held > io.s.offer.MaxBuffered+io.s.offer.MaxTransfer+16*8192 {
				t.Fatalf("%d bytes held", held)
			}
		}
		admin.s.Ended()
		io.s.Ended()
		lapsed := map[*Command]bool{}
		for _, c := range io.lapsed {
			if lapsed[c] {
				t.Fatal("a command lapsed twice")
			}
			lapsed[c] = true
		}
		for _, c := range io.taken {
			if c.state != over {
				open++
			}
			io.s.buffers.Put(c.Data) // the handler's
		}
		if io.begun != 0 {
			t.Fatalf("%d commands count for their peer after the end", io.begun)
		}
		if open > 0 || io.s.buffers.InUse != 0 || len(io.s.subs.byID) != 0 {
			t.Fatalf("%d commands open, %d bytes held, %d associations after the end", open, io.s.buffers.InUse, len(io.s.subs.byID))
		}
	})
}

// drain reads what a queue has to say without telling it anything.
func drain(b *bench) (out []nvme.PDU) {
	for {
		p, n, err := b.in.Decode(b.out)
		if err != nil {
			b.t.Fatal(err)
		}
		if n == 0 {
			return out
		}
		p.Header = append([]byte(nil), p.Header...)
		out, b.out = append(out, p), b.out[n:]
	}
}
