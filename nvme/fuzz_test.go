package nvme

import (
	"bytes"
	"testing"
)

// FuzzDecode decodes any bytes as a whole, and every prefix of them. The results must agree, and Decode must not use
// more bytes than there are or return more data than the limit. A decoded PDU is encoded again, and must decode to the
// same PDU.
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
			t.Fatalf("%d of %d bytes used, %d bytes of data, error %v", used, len(b), len(p.Data), err)
		}
		for n := range b { // a prefix may need more bytes, but must not give a different result
			q, u, e := framing.Decode(b[:n])
			if e != nil && err == nil || u > 0 && (u != used || !bytes.Equal(q.Data, p.Data)) {
				t.Fatalf("first %d of %d bytes: %d used, error %v; all bytes: %d used, error %v",
					n, len(b), u, e, used, err)
			}
		}
		if used > 0 && !p.DataDigestError {
			checkEncoding(t, framing, p)
		}
	})
}

// encode encodes a decoded PDU again. It returns nil for the types that it does not support.
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

// checkEncoding encodes a PDU again, decodes the result and compares it with the PDU. Flags that are reserved in a PDU
// type are not compared, since a receiver ignores them (TCP 3.6.1).
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
		t.Fatalf("encoded again: error %v, PDU %+v, want %+v", err, q, p)
	}
	if !bytes.Equal(q.Data, p.Data) || !bytes.Equal(q.Header[8:20], p.Header[8:20]) {
		t.Fatalf("encoded again: PDU %+v, want %+v", q, p)
	}
}
