package initiator

import (
	"testing"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// memory is a command as the plain model remembers it.
type memory struct {
	cid                   uint16
	write, capsule        bool
	bytes, came, wanted   int // data that a Read has brought; that a Write was asked for
	bad, abandoned, ended bool
	told                  []Result
}

// FuzzModel plays what a controller can say to a host with commands out, and holds the session against a plain model
// that searches all commands there ever were: what is allowed must be taken, with the end that follows from it; what
// is not must end the connection. A success that comes before the data of its command is no success.
func FuzzModel(f *testing.F) {
	f.Add(byte(0), []byte{0, 0, 3, 0, 4, 0, 0, 1, 3, 1, 4, 1})
	f.Add(byte(1), []byte{1, 0, 5, 0x20, 4, 0, 2, 0, 4, 0, 1, 1})
	f.Add(byte(3), []byte{1, 0, 4, 0, 0, 0, 6, 1, 7, 0, 8, 0x41})
	f.Add(byte(2), []byte{8, 0, 4, 0, 0, 0, 9, 1, 4, 1})
	f.Fuzz(func(t *testing.T, digests byte, script []byte) {
		buffers := &eventloop.Buffers{}
		var out []byte
		s := newSession(4, 64<<10, true, buffers, &out, func() {}, func() {})
		i := nvme.Init{Limit: 4096, HeaderDigest: digests&1 != 0, DataDigest: digests&2 != 0}
		if _, err := s.Input(nvme.AppendInit(nil, nvme.TypeICResp, i)); err != nil {
			t.Fatal(err)
		}
		s.Capsule = 512
		out = out[:0]
		frame := nvme.Framing{MaxData: 1 << 20, HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest}
		host := nvme.Framing{MaxData: 1 << 20, HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest, FromHost: true}
		var all []*memory
		find := func(cid uint16) *memory {
			for _, m := range all {
				if m.cid == cid && !m.ended {
					return m
				}
			}
			return nil
		}
		var err error
		for len(script) >= 2 && err == nil {
			what, n := script[0], script[1]
			script = script[2:]
			id := uint16(n) << 8
			if len(all) > 0 {
				id = all[int(n&15)%len(all)].cid
			}
			if n&0x10 != 0 && what%10 > 2 { // an id that is not out, or no longer
				id += 1 << slotBits
			}
			allowed, wantSent := true, 0
			var ends *memory
			status := nvme.Success
			m := find(id)
			var say []byte
			switch what % 10 {
			case 0, 1, 8:
				m := &memory{write: what%10 != 0, bytes: 8192}
				c, data, read := nvme.NewRW(nvme.Read, 1, 0, 2), []byte(nil), 8192
				if m.write {
					c, data, read = nvme.NewRW(nvme.Write, 1, 0, 2), make([]byte, 8192), 0
				}
				if m.capsule = what%10 == 8; m.capsule {
					data, m.bytes = data[:512], 512
				}
				open := 0
				for _, x := range all {
					if !x.ended {
						open++
					}
				}
				cid, ok := s.Submit(c, data, read, CallFunc(func(r Result) { m.told = append(m.told, r) }))
				if ok != (open < 4) || ok && find(cid) != nil {
					t.Fatalf("with %d out, submitted %v as %d", open, ok, cid)
				}
				if m.cid = cid; ok {
					all = append(all, m)
				}
				out = out[:0]
				continue
			case 2:
				if s.Abandon(id); m != nil {
					m.abandoned = true
				}
				continue
			case 3, 9: // data of a Read: the next piece, or one that lies; a digest that is wrong
				offset, size := 0, 4096<<(n>>5&1)
				if m != nil {
					offset = m.came
				}
				if n&0x80 != 0 {
					offset = 4096 * int(n>>6&1)
				}
				say = frame.AppendData(nil, nvme.DataHeader{Type: nvme.TypeC2HData, Flags: 0, CID: id, Offset: offset}, make([]byte, size))
				bad := what%10 == 9 && i.DataDigest
				if bad {
					say[len(say)-1] ^= 1
				}
				allowed = m != nil && !m.write && offset == m.came && offset+size <= m.bytes
				if allowed {
					m.came += size
					m.bad = m.bad || bad
				}
			case 4: // a completion
				status = nvme.Status(n >> 6)
				c := nvme.NewCompletion(id, status, 0, 0)
				say = frame.AppendCompletion(nil, &c)
				ends = m
				if allowed = m != nil; allowed && status == nvme.Success {
					switch {
					case !m.write:
						allowed = m.came == m.bytes
					case !m.capsule:
						allowed = m.wanted == m.bytes
					}
				}
			case 5: // an R2T
				offset, size := 0, 4096<<(n>>5&1)
				if m != nil {
					offset = m.wanted
				}
				if n&0x80 != 0 {
					offset, size = 4096*int(n>>6&1), int(n&0x20)<<8+int(n>>3&1)
				}
				say = frame.AppendR2T(nil, id, 1, offset, size)
				allowed = m != nil && m.write && !m.capsule && size > 0 && offset == m.wanted && offset+size <= m.bytes
				if allowed {
					m.wanted += size
					wantSent = size
				}
			case 6: // all data with success
				say = frame.AppendData(nil, nvme.DataHeader{Type: nvme.TypeC2HData, Flags: nvme.FlagLast | nvme.FlagSuccess, CID: id, Offset: 0}, make([]byte, 8192))
				ends, allowed = m, m != nil && !m.write && m.came == 0
				if allowed {
					m.came = m.bytes
				}
			case 7:
				say, allowed = nvme.AppendTerm(nil, nvme.TypeC2HTermReq, &nvme.FatalError{Status: uint16(n)}), false
			}
			_, err = s.Input(say)
			if (err == nil) != allowed {
				t.Fatalf("step %d %#x for id %d: %v; the model allows it: %v", what%10, n, id, err, allowed)
			}
			if err != nil {
				break
			}
			sent := 0
			for len(out) > 0 {
				p, used, err := host.Decode(out)
				if err != nil || used == 0 || p.Type != nvme.TypeH2CData || p.CCCID() != id || len(p.Data) > 4096 {
					t.Fatalf("after an R2T: %+v, %v", p, err)
				}
				sent += len(p.Data)
				out = out[used:]
			}
			if sent != wantSent {
				t.Fatalf("%d bytes were sent, %d asked for", sent, wantSent)
			}
			if ends == nil {
				continue
			}
			if ends.ended = true; ends.bad && status == nvme.Success {
				status = nvme.TransientTransport
			}
			switch {
			case ends.abandoned && len(ends.told) == 0:
			case ends.abandoned || len(ends.told) != 1:
				t.Fatalf("%+v was told of %d times", ends, len(ends.told))
			case ends.told[0].Status() != status || ends.told[0].Lost:
				t.Fatalf("ended with %+v, the model says %#x", ends.told[0], status)
			}
		}
		s.lost()
		for k, m := range all {
			if n := len(m.told); n > 1 || n == 0 && !m.abandoned || n == 1 && !m.ended && !m.told[0].Lost {
				t.Fatalf("command %d: %+v", k, m)
			}
		}
		if buffers.InUse != 0 {
			t.Fatalf("%d bytes are still held", buffers.InUse)
		}
	})
}
