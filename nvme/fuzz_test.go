package nvme

import (
	"bytes"
	"testing"
)

// FuzzDecode decodes bytes at once and byte by byte; both must agree, use no more than there is, keep within the
// bound, and what a PDU is encoded to again must decode to the same.
func FuzzDecode(f *testing.F) {
	for i, framing := range allFramings() {
		c := NewRW(Write, 1, 2, 1)
		framing.FromHost = true
		written := DataHeader{Type: TypeH2CData, Flags: FlagLast, CID: 1, TTAG: 2}
		f.Add(byte(i)|8, framing.AppendCommand(nil, &c, make([]byte, 64)))
		f.Add(byte(i)|8, framing.AppendData(nil, written, make([]byte, 64)))
		d := NewCompletion(1, Success, 2, 3)
		read := DataHeader{Type: TypeC2HData, Flags: FlagLast | FlagSuccess, CID: 1}
		f.Add(byte(i), framing.AppendCompletion(nil, &d))
		f.Add(byte(i), framing.AppendData(nil, read, make([]byte, 100)))
		f.Add(byte(i), framing.AppendR2T(nil, 1, 2, 3, 4))
	}
	f.Add(byte(8), AppendInit(nil, TypeICReq, Init{HeaderDigest: true}))
	f.Add(byte(0), AppendInit(nil, TypeICResp, Init{Limit: 4096}))
	f.Add(byte(8), AppendTerm(nil, TypeH2CTermReq, &FatalError{Status: 1, Header: make([]byte, 24)}))
	f.Fuzz(func(t *testing.T, how byte, b []byte) {
		framing := allFramings()[how&7]
		framing.FromHost = how&8 != 0
		p, used, err := framing.Decode(b)
		isTermReq := p.Type == TypeH2CTermReq || p.Type == TypeC2HTermReq
		if used > len(b) || err != nil && used != 0 || len(p.Data) > framing.MaxData && !isTermReq {
			t.Fatalf("%d of %d bytes used, %d of data, %v", used, len(b), len(p.Data), err)
		}
		for n := range b { // what is there decides sooner or later, never differently
			q, u, e := framing.Decode(b[:n])
			if e != nil && err == nil || u > 0 && (u != used || !bytes.Equal(q.Data, p.Data)) {
				t.Fatalf("%d of %d bytes: %d used, %v; all: %d used, %v", n, len(b), u, e, used, err)
			}
		}
		if used > 0 && !p.DataDigestError {
			checkEncoding(t, framing, p)
		}
	})
}

// encode makes the bytes of a PDU again; nil for types that are not encoded from their fields alone.
func encode(f Framing, p PDU) []byte {
	switch p.Type {
	case TypeCapsuleCmd:
		c := p.Command()
		return f.AppendCommand(nil, &c, p.Data)
	case TypeCapsuleResp:
		c := p.Completion()
		return f.AppendCompletion(nil, &c)
	case TypeH2CData, TypeC2HData:
		flags := p.Flags &^ (FlagHeaderDigest | FlagDataDigest)
		header := DataHeader{Type: p.Type, Flags: flags, CID: p.CCCID(), TTAG: p.TTAG(), Offset: int(p.Offset())}
		return f.AppendData(nil, header, p.Data)
	}
	return nil
}

// checkEncoding encodes a PDU again and decodes that. Reserved flags are for the receiver to ignore (TCP 3.6.1): only
// those that the type knows come back.
func checkEncoding(t *testing.T, f Framing, p PDU) {
	t.Helper()
	b := encode(f, p)
	if b == nil {
		return
	}
	known := uint8(FlagHeaderDigest)
	if p.Type == TypeH2CData || p.Type == TypeC2HData {
		known |= FlagLast | FlagSuccess
	}
	q, n, err := f.Decode(b)
	if err != nil || n != len(b) || q.Type != p.Type || (q.Flags^p.Flags)&known != 0 {
		t.Fatalf("encoded again: %v, %+v was %+v", err, q, p)
	}
	if !bytes.Equal(q.Data, p.Data) || !bytes.Equal(q.Header[8:20], p.Header[8:20]) {
		t.Fatalf("encoded again: %+v was %+v", q, p)
	}
}
