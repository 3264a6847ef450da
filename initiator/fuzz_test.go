package initiator

import (
	"testing"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// FuzzController plays a controller that says well-formed things in any order to a host with reads and writes out:
// no panic; every command ends once, at the latest with its connection; a slot is free or busy, never both; nothing
// stays held.
func FuzzController(f *testing.F) {
	f.Add([]byte{0, 0, 3, 0, 4, 0, 0, 1, 3, 1, 4, 1})
	f.Add([]byte{1, 0, 5, 0, 4, 0, 2, 0, 4, 0, 1, 1})
	f.Add([]byte{0, 0, 2, 0, 0, 1, 4, 0, 4, 1, 4, 1, 6, 1})
	f.Add([]byte{1, 0, 1, 1, 0, 2, 5, 0, 5, 1, 4, 0x10, 7, 2, 8, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		buffers := &eventloop.Buffers{}
		var out []byte
		s := newSession(4, 64<<10, false, buffers, &out, func() {}, func() {})
		if _, err := s.Input(nvme.AppendInit(nil, nvme.TypeICResp, nvme.Init{Limit: 4096})); err != nil {
			t.Fatal(err)
		}
		frame := nvme.Framing{MaxData: 1 << 20}
		ended, abandoned := map[int]int{}, map[int]bool{}
		var ids []uint16 // by command
		var err error
		for len(script) >= 2 && err == nil {
			what, n := script[0]%9, script[1]
			script = script[2:]
			id := uint16(n)
			k := -1
			if len(ids) > 0 {
				k = int(n) % len(ids)
				id = ids[k]
			}
			switch what {
			case 0, 1:
				command := len(ids)
				c, data, read := nvme.NewRW(nvme.Read, 1, 0, 2), []byte(nil), 8192
				if what == 1 {
					c, data, read = nvme.NewRW(nvme.Write, 1, 0, 2), make([]byte, 8192), 0
				}
				if cid, ok := s.Submit(c, data, read, CallFunc(func(Result) { ended[command]++ })); ok {
					ids = append(ids, cid)
				}
			case 2:
				if k >= 0 {
					s.Abandon(id)
					if ended[k] == 0 && s.find(id) != nil {
						abandoned[k] = true
					}
				}
			case 3:
				_, err = s.Input(frame.AppendData(nil, nvme.DataHeader{Type: nvme.TypeC2HData, Flags: 0, CID: id, Offset: int(n>>7) * 4096}, make([]byte, 4096<<(n>>5&1))))
			case 4:
				c := nvme.NewCompletion(id, nvme.Status(n>>6), 0, 0)
				_, err = s.Input(frame.AppendCompletion(nil, &c))
			case 5:
				_, err = s.Input(frame.AppendR2T(nil, id, 1, int(n>>7)*4096, 4096<<(n>>5&3)))
			case 6:
				_, err = s.Input(frame.AppendData(nil, nvme.DataHeader{Type: nvme.TypeC2HData, Flags: nvme.FlagLast | nvme.FlagSuccess, CID: id, Offset: 0}, make([]byte, 8192)))
			case 7:
				_, err = s.Input(nvme.AppendTerm(nil, nvme.TypeC2HTermReq, &nvme.FatalError{Status: uint16(n)}))
			case 8:
				_, err = s.Input([]byte{n})
			}
			busy := 0
			for i := range s.slots {
				if s.slots[i].busy {
					busy++
				}
			}
			if busy+len(s.free) != len(s.slots) {
				t.Fatalf("%d slots busy, %d free of %d", busy, len(s.free), len(s.slots))
			}
			if buffers.InUse > 4*16384 {
				t.Fatalf("%d bytes held by four commands", buffers.InUse)
			}
		}
		s.lost()
		for k := range ids {
			if n := ended[k]; n > 1 || n == 0 && !abandoned[k] {
				t.Fatalf("command %d ended %d times", k, n)
			}
		}
		if buffers.InUse != 0 {
			t.Fatalf("%d bytes are still held", buffers.InUse)
		}
	})
}
