package nvme

import (
	"bytes"
	"testing"
)

// FuzzDecode decodes bytes at once and byte by byte; both must agree, use no more than there is, keep within the
// bound, and what a PDU is encoded to again must decode to the same.
func FuzzDecode(f *testing.F) {
	for i, frame := range framings() {
		c := NewRW(Write, 1, 2, 1)
		frame.FromHost = true
		f.Add(byte(i)|8, frame.AppendCommand(nil, &c, make([]byte, 64)))
		f.Add(byte(i)|8, frame.AppendData(nil, TypeH2CData, FlagLast, 1, 2, 0, make([]byte, 64)))
		d := NewCompletion(1, Success, 2, 3)
		f.Add(byte(i), frame.AppendCompletion(nil, &d))
		f.Add(byte(i), frame.AppendData(nil, TypeC2HData, FlagLast|FlagSuccess, 1, 0, 0, make([]byte, 100)))
		f.Add(byte(i), frame.AppendR2T(nil, 1, 2, 3, 4))
	}
	f.Add(byte(8), AppendInit(nil, TypeICReq, Init{HeaderDigest: true}))
	f.Add(byte(0), AppendInit(nil, TypeICResp, Init{Limit: 4096}))
	f.Add(byte(8), AppendTerm(nil, TypeH2CTermReq, &FatalError{Status: 1, Header: make([]byte, 24)}))
	f.Fuzz(func(t *testing.T, how byte, b []byte) {
		frame := framings()[how&7]
		frame.FromHost = how&8 != 0
		p, used, err := frame.Decode(b)
		if used > len(b) || err != nil && used != 0 || len(p.Data) > frame.MaxData && p.Type != TypeH2CTermReq && p.Type != TypeC2HTermReq {
			t.Fatalf("%d of %d bytes used, %d of data, %v", used, len(b), len(p.Data), err)
		}
		for n := range b { // what is there decides sooner or later, never differently
			q, u, e := frame.Decode(b[:n])
			if e != nil && err == nil || u > 0 && (u != used || !bytes.Equal(q.Data, p.Data)) {
				t.Fatalf("%d of %d bytes: %d used, %v; all: %d used, %v", n, len(b), u, e, used, err)
			}
		}
		if used == 0 || p.BadData {
			return
		}
		var again []byte
		switch p.Type {
		case TypeCapsuleCmd:
			c := p.Command()
			again = frame.AppendCommand(nil, &c, p.Data)
		case TypeCapsuleResp:
			c := p.Completion()
			again = frame.AppendCompletion(nil, &c)
		case TypeH2CData, TypeC2HData:
			again = frame.AppendData(nil, p.Type, p.Flags&^(FlagHeaderDigest|FlagDataDigest), p.CCCID(), p.TTAG(), int(p.Offset()), p.Data)
		default:
			return
		}
		// Reserved flags are for the receiver to pass over (TCP 3.6.1): only those that the type knows come back.
		known := uint8(FlagHeaderDigest)
		if p.Type == TypeH2CData || p.Type == TypeC2HData {
			known |= FlagLast | FlagSuccess
		}
		q, n, err := frame.Decode(again)
		if err != nil || n != len(again) || q.Type != p.Type || (q.Flags^p.Flags)&known != 0 || !bytes.Equal(q.Data, p.Data) || !bytes.Equal(q.Header[8:20], p.Header[8:20]) {
			t.Fatalf("encoded again: %v, %+v was %+v", err, q, p)
		}
	})
}
