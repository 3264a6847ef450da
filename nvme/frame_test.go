package nvme

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// specFormat describes a PDU type according to the specification (TCP 3.6.2), independently of the decoder's table.
type specFormat struct {
	fromHost, data, digests bool
	header                  int
}

var specFormats = map[byte]specFormat{
	0x00: {true, false, false, 128},
	0x01: {false, false, false, 128},
	0x02: {true, true, false, 24},
	0x03: {false, true, false, 24},
	0x04: {true, true, true, 72},
	0x05: {false, false, true, 24},
	0x06: {true, true, true, 24},
	0x07: {false, true, true, 24},
	0x09: {false, false, true, 24},
}

// modelPDU holds the bounds of a PDU's data and the size of the PDU, according to the model.
type modelPDU struct {
	dataFrom, dataTo, size int
}

// modelDecode is a simple, slow model of the decoder that applies every rule on the fields of a PDU. It reports whether
// b begins with a complete valid PDU.
func modelDecode(f Framing, b []byte) (pdu modelPDU, valid bool) {
	g, known := specFormats[b[0]]
	if !known || g.fromHost != f.FromHost || int(b[2]) != g.header {
		return modelPDU{}, false
	}
	headerDigest := f.HeaderDigest && g.digests
	if (b[1]&1 == 1) != headerDigest {
		return modelPDU{}, false
	}
	body := g.header
	if headerDigest {
		body += 4
	}
	length := int64(binary.LittleEndian.Uint32(b[4:]))
	if length > int64(len(b)) || length < int64(body) || !g.data && length != int64(body) {
		return modelPDU{}, false
	}
	if headerDigest && !hasDigest(b[:g.header], b[g.header:]) {
		return modelPDU{}, false
	}
	pdu = modelPDU{dataFrom: body, dataTo: int(length), size: int(length)}
	if !g.digests { // a TermReq: its data directly follows its header
		return pdu, pdu.size <= g.header+128
	}
	if pdu.size > body && !modelLocateData(f.DataDigest && g.data, b, &pdu) {
		return modelPDU{}, false
	}
	size := pdu.dataTo - pdu.dataFrom
	if b[0] == 6 || b[0] == 7 {
		if int64(binary.LittleEndian.Uint32(b[16:])) != int64(size) {
			return modelPDU{}, false
		}
	}
	return pdu, size <= f.MaxData
}

// modelLocateData sets the bounds of the data of a PDU that is longer than its header.
func modelLocateData(digest bool, b []byte, pdu *modelPDU) (valid bool) {
	body := pdu.dataFrom
	pdu.dataFrom = int(b[3])
	if pdu.dataFrom < body || pdu.dataFrom > pdu.size || pdu.dataFrom%4 != 0 || (b[1]&2 == 2) != digest {
		return false
	}
	if digest {
		pdu.dataTo -= 4
	}
	return pdu.dataTo >= pdu.dataFrom
}

func hasDigest(b, digest []byte) bool {
	return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) == binary.LittleEndian.Uint32(digest)
}

// FuzzFrame builds PDUs whose fields are slightly wrong: lengths that are a byte off, offsets within the header or past
// the end, flags that were not negotiated, data over the limit. The digests match the changed bytes, so that the
// decoder gets past the digest check to the wrong field. The decoder must agree with the model.
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
		framing := allFramings()[how&7]
		framing.FromHost, framing.MaxData = how&8 != 0, 64
		fields := wrongFields{kind, flags, int(header), int(offset), int(length), int(data), int(stated)}
		if b := fields.encode(framing); b != nil {
			compareWithModel(t, framing, b)
		}
	})
}

// wrongFields describes a PDU with wrong fields.
type wrongFields struct {
	kind, flags            byte
	header, offset, length int // differences of header length, data offset and PDU length from the correct values
	data                   int // bytes of data
	statedLength           int // difference of the data length field from data
}

// encode returns the bytes of a PDU, followed by zero bytes, or nil if the values do not fit into the fields.
func (w wrongFields) encode(f Framing) []byte {
	headerLen := specFormats[w.kind].header + w.header
	if headerLen < 8 || headerLen > 255 {
		return nil
	}
	headerDigest := f.HeaderDigest && specFormats[w.kind].digests
	dataDigest := f.DataDigest && specFormats[w.kind].digests
	body, flags := headerLen, w.flags
	if headerDigest {
		body, flags = body+4, flags^FlagHeaderDigest
	}
	size, dataOffset := body, 0
	if w.data > 0 {
		dataOffset = (body+3)/4*4 + w.offset
		size = dataOffset + w.data
		if dataDigest {
			size, flags = size+4, flags^FlagDataDigest
		}
	}
	size += w.length
	if dataOffset < 0 || dataOffset > 255 || size < 8 {
		return nil
	}
	const room = 300
	b := make([]byte, max(size, body, headerLen+4)+room)
	b[0], b[1], b[2], b[3] = w.kind, flags, byte(headerLen), byte(dataOffset)
	binary.LittleEndian.PutUint32(b[4:], uint32(size))
	if w.kind == TypeH2CData || w.kind == TypeC2HData {
		binary.LittleEndian.PutUint32(b[16:], uint32(w.data+w.statedLength))
	}
	if headerDigest {
		binary.LittleEndian.PutUint32(b[headerLen:], CRC32C(b[:headerLen]))
	}
	if end := size - 4; dataDigest && end >= body && dataOffset >= body && dataOffset <= end {
		binary.LittleEndian.PutUint32(b[end:], CRC32C(b[dataOffset:end]))
	}
	return b
}

// compareWithModel decodes a PDU that is followed by other bytes, and compares the result with the model.
func compareWithModel(t *testing.T, f Framing, b []byte) {
	t.Helper()
	headerLen, size := int(b[2]), int(binary.LittleEndian.Uint32(b[4:]))
	p, used, err := f.Decode(b)
	want, valid := modelDecode(f, b)
	if valid != (err == nil && used > 0) {
		t.Fatalf("% x...: the decoder used %d bytes, error %v; the model says valid: %v", b[:24], used, err, valid)
	}
	if valid && (used != want.size || len(p.Header) != headerLen) {
		t.Fatalf("% x...: %d bytes used, header of %d bytes; want %d used", b[:24], used, len(p.Header), want.size)
	}
	dataSize := want.dataTo - want.dataFrom
	if valid && (len(p.Data) != dataSize || dataSize > 0 && &p.Data[0] != &b[want.dataFrom]) {
		from := cap(b) - cap(p.Data)
		t.Fatalf("% x...: %d bytes of data from offset %d, want %d bytes from offset %d",
			b[:24], len(p.Data), from, dataSize, want.dataFrom)
	}
	if used == 0 && err == nil { // the decoder waits for more bytes
		if maxSize := headerLen + 4 + 255 + 128 + 4; size > maxSize {
			t.Fatalf("% x...: the decoder waits for %d bytes, a valid PDU has at most %d", b[:24], size, maxSize)
		}
	}
}
