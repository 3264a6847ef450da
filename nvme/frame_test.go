package nvme

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// form is what the specification says of a PDU type, once more and in other words than the decoder's (TCP 3.6.2).
type form struct {
	host, data, digests bool
	header              int
}

var forms = map[byte]form{
	0x00: {true, false, false, 128}, 0x01: {false, false, false, 128}, 0x02: {true, true, false, 24}, 0x03: {false, true, false, 24},
	0x04: {true, true, true, 72}, 0x05: {false, false, true, 24}, 0x06: {true, true, true, 24}, 0x07: {false, true, true, 24}, 0x09: {false, false, true, 24},
}

// plainDecode is the slow plain model: every rule there is on the fields of a PDU, none of it in an order that
// matters. It tells whether a whole buffer begins with a PDU, and where that has its data.
func plainDecode(f Framing, b []byte) (right bool, from, to, size int) {
	g, known := forms[b[0]]
	if !known || g.host != f.FromHost || int(b[2]) != g.header {
		return
	}
	length := int64(binary.LittleEndian.Uint32(b[4:]))
	header, data := f.HeaderDigest && g.digests, f.DataDigest && g.digests && g.data
	if (b[1]&1 == 1) != header {
		return
	}
	body := g.header
	if header {
		body += 4
	}
	if length > int64(len(b)) || length < int64(body) || !g.data && length != int64(body) {
		return
	}
	size, from, to = int(length), body, int(length)
	if header && crc32.Checksum(b[:g.header], crc32.MakeTable(crc32.Castagnoli)) != binary.LittleEndian.Uint32(b[g.header:]) {
		return
	}
	if !g.digests { // a TermReq: its data follows its header
		return size <= g.header+128, from, to, size
	}
	if size > body {
		from = int(b[3])
		if from < body || from > size || from%4 != 0 || (b[1]&2 == 2) != data {
			return
		}
		if data {
			if to -= 4; to < from {
				return
			}
		}
	}
	if b[0] == 6 || b[0] == 7 {
		if int64(binary.LittleEndian.Uint32(b[16:])) != int64(to-from) {
			return
		}
	}
	return to-from <= f.MaxData, from, to, size
}

// FuzzFrame builds PDUs whose fields lie a little: lengths a byte off, offsets within the header or past the end,
// flags that were not agreed on, data over the bound; their digests are right over what they then cover, so that
// what lies is looked at. The decoder must agree with the plain model.
func FuzzFrame(f *testing.F) {
	for how := range byte(16) {
		for _, kind := range []byte{0, 1, 2, 3, 4, 5, 6, 7, 9} {
			f.Add(how, kind, byte(0), int8(0), int8(0), int16(0), byte(40), int8(0))
		}
		f.Add(how, byte(6), byte(2), int8(0), int8(4), int16(-1), byte(3), int8(1))
	}
	f.Add(byte(15), byte(4), byte(0), int8(4), int8(0), int16(0), byte(8), int8(0))
	f.Add(byte(15), byte(4), byte(0), int8(0), int8(0), int16(0), byte(65), int8(0))
	f.Fuzz(func(t *testing.T, how, kind, flags byte, header, offset int8, length int16, data byte, stated int8) {
		frame := framings()[how&7]
		frame.FromHost, frame.MaxData = how&8 != 0, 64
		hlen := forms[kind].header + int(header)
		if hlen < 8 || hlen > 255 {
			return
		}
		digests := forms[kind].digests
		body := hlen
		flag := flags
		if frame.HeaderDigest && digests {
			body, flag = body+4, flag^1
		}
		size, pdo := body, 0
		if data > 0 {
			pdo = (body+3)/4*4 + int(offset)
			size = pdo + int(data)
			if frame.DataDigest && digests {
				size, flag = size+4, flag^2
			}
		}
		size += int(length)
		if pdo < 0 || pdo > 255 || size < 8 {
			return
		}
		b := make([]byte, max(size, body, hlen+4)+300)
		b[0], b[1], b[2], b[3] = kind, flag, byte(hlen), byte(pdo)
		binary.LittleEndian.PutUint32(b[4:], uint32(size))
		if kind == 6 || kind == 7 {
			binary.LittleEndian.PutUint32(b[16:], uint32(int(data)+int(stated)))
		}
		if frame.HeaderDigest && digests {
			binary.LittleEndian.PutUint32(b[hlen:], CRC32C(b[:hlen]))
		}
		if end := size - 4; frame.DataDigest && digests && end >= body && pdo >= body && pdo <= end {
			binary.LittleEndian.PutUint32(b[end:], CRC32C(b[pdo:end]))
		}
		p, used, err := frame.Decode(b)
		right, from, to, whole := plainDecode(frame, b)
		if right != (err == nil && used > 0) {
			t.Fatalf("% x...: the decoder says %d used, %v; the model %v", b[:24], used, err, right)
		}
		if right && (used != whole || len(p.Data) != to-from || len(p.Data) > 0 && &p.Data[0] != &b[from] || len(p.Header) != hlen) {
			t.Fatalf("% x...: data of %d from %d, the model: %d from %d", b[:24], len(p.Data), cap(b)-cap(p.Data), to-from, from)
		}
		if used == 0 && err == nil { // more is awaited: never more than the type and the bound allow
			if most := hlen + 4 + 255 + 128 + 4; size > most {
				t.Fatalf("% x...: %d bytes are awaited, at most %d can be right", b[:24], size, most)
			}
		}
	})
}
