package nvme

import "encoding/binary"

// Framing holds the parameters by which the PDUs of a connection are encoded and decoded. ICReq and ICResp negotiate
// them. The zero value applies before that: no digests, and an alignment of four bytes.
type Framing struct {
	HeaderDigest bool
	DataDigest   bool
	// Align is HPDA or CPDA, the alignment of data that its receiver requested: data offsets are multiples of
	// (Align+1)*4 bytes. Decode does not check it.
	Align uint8
	// MaxData is the largest number of data bytes in one PDU.
	MaxData int
	// FromHost is true if the host sends the PDUs that are decoded, false if the controller does.
	FromHost bool
}

// pduFormat describes a PDU type.
type pduFormat struct {
	headerLen int  // in bytes; 0: there is no such type
	fromHost  bool // the host sends it, not the controller
	data      bool // it may carry data
	digests   bool // it may carry digests
}

var pduFormats = [...]pduFormat{
	TypeICReq:       {headerLen: icHeaderLen, fromHost: true},
	TypeICResp:      {headerLen: icHeaderLen},
	TypeH2CTermReq:  {headerLen: termHeaderLen, fromHost: true, data: true},
	TypeC2HTermReq:  {headerLen: termHeaderLen, data: true},
	TypeCapsuleCmd:  {headerLen: commandCapsuleLen, fromHost: true, data: true, digests: true},
	TypeCapsuleResp: {headerLen: responseCapsuleLen, digests: true},
	TypeH2CData:     {headerLen: dataHeaderLen, fromHost: true, data: true, digests: true},
	TypeC2HData:     {headerLen: dataHeaderLen, data: true, digests: true},
	TypeR2T:         {headerLen: dataHeaderLen, digests: true},
}

// Offsets of the fields of the common header (TCP 3.6.1) and of a data PDU's data length, reported as FEI.
const (
	typeField       = 0
	flagsField      = 1
	headerLenField  = 2
	dataOffsetField = 3
	lengthField     = 4
	dataLengthField = 16
)

// pduBounds holds the offsets of the parts of a PDU, computed from its header.
type pduBounds struct {
	headerLen    int
	headerDigest bool // a digest follows the header
	dataFrom     int
	dataTo       int
	dataDigest   bool // a digest follows the data
	size         int  // of the whole PDU
}

// Decode decodes the PDU at the start of b. It returns the number of bytes used, or 0 if the PDU is incomplete. If the
// PDU is invalid, it returns a *FatalError; an error in the common header is reported before the rest of the PDU has
// come. Every length is checked against the limit of the PDU type before Decode reports that more bytes are needed.
// Decode allocates nothing, except for an error.
func (f *Framing) Decode(b []byte) (p PDU, used int, err error) {
	if len(b) < commonHeaderLen {
		return PDU{}, 0, nil
	}
	var e pduBounds
	if err := f.parseHeader(b, &e); err != nil || len(b) < e.size {
		return PDU{}, 0, err
	}
	p.Type, p.Flags = b[typeField], b[flagsField]
	p.Header, p.Data = b[:e.headerLen], b[e.dataFrom:e.dataTo]
	if e.headerDigest {
		if got, sum := binary.LittleEndian.Uint32(b[e.headerLen:]), CRC32C(p.Header); got != sum {
			return PDU{}, 0, fatalErrorf(FatalHeaderDigest, got, b, "header digest %#x, expected %#x", got, sum)
		}
	}
	if e.dataDigest {
		p.DataDigestError = binary.LittleEndian.Uint32(b[e.dataTo:]) != CRC32C(p.Data)
	}
	if (p.Type == TypeH2CData || p.Type == TypeC2HData) && int(p.Length()) != len(p.Data) {
		return PDU{}, 0, fatalErrorf(FatalHeaderField, dataLengthField, b,
			"data length field %d, but the PDU has %d bytes of data", p.Length(), len(p.Data))
	}
	if len(p.Data) > f.MaxData && pduFormats[p.Type].digests {
		return PDU{}, 0, fatalErrorf(FatalTransferLimit, 0, b,
			"%d bytes of data in one PDU, at most %d allowed", len(p.Data), f.MaxData)
	}
	return p, e.size, nil
}

// parseHeader checks the common header of a PDU and sets the bounds of its parts.
func (f *Framing) parseHeader(b []byte, e *pduBounds) error {
	kind, headerLen, length := b[typeField], int(b[headerLenField]), binary.LittleEndian.Uint32(b[lengthField:])
	if int(kind) >= len(pduFormats) || pduFormats[kind].headerLen == 0 {
		return fatalErrorf(FatalHeaderField, typeField, b, "unknown PDU type %#x", kind)
	}
	l := &pduFormats[kind]
	if l.fromHost != f.FromHost {
		return fatalErrorf(FatalSequence, 0, b, "PDU type %#x sent by the wrong end", kind)
	}
	if headerLen != l.headerLen {
		return fatalErrorf(FatalHeaderField, headerLenField, b,
			"header length %d of PDU type %#x, expected %d", headerLen, kind, l.headerLen)
	}
	headerDigest := f.HeaderDigest && l.digests
	if (b[flagsField]&FlagHeaderDigest != 0) != headerDigest {
		return fatalErrorf(FatalHeaderField, flagsField, b, "header digest flag does not match the negotiated digests")
	}
	minLen := headerLen
	if headerDigest {
		minLen += digestLen
	}
	maxLen := minLen
	if l.data {
		maxLen = max(minLen, MaxDataOffset) + max(f.MaxData, maxTermData) + digestLen
	}
	if length < uint32(minLen) || length > uint32(maxLen) {
		return fatalErrorf(FatalHeaderField, lengthField, b,
			"PDU length %d, expected %d to %d", length, minLen, maxLen)
	}
	e.size, e.headerLen, e.headerDigest = int(length), headerLen, headerDigest
	e.dataFrom, e.dataTo = minLen, e.size
	if e.size > minLen {
		return f.locateData(b, e)
	}
	return nil
}

// locateData checks the part of a PDU after its header, and sets the bounds of its data.
func (f *Framing) locateData(b []byte, e *pduBounds) error {
	if !pduFormats[b[typeField]].digests { // a TermReq: its data directly follows its header
		if e.size > termHeaderLen+maxTermData {
			return fatalErrorf(FatalHeaderField, lengthField, b,
				"PDU length %d of a TermReq, at most %d allowed", e.size, termHeaderLen+maxTermData)
		}
		return nil
	}
	offset := int(b[dataOffsetField])
	if offset < e.dataFrom || offset > e.size || offset%4 != 0 {
		return fatalErrorf(FatalHeaderField, dataOffsetField, b,
			"data offset %d, expected a multiple of 4 from %d to %d", offset, e.dataFrom, e.size)
	}
	e.dataFrom = offset
	e.dataDigest = f.DataDigest
	if (b[flagsField]&FlagDataDigest != 0) != e.dataDigest {
		return fatalErrorf(FatalHeaderField, flagsField, b, "data digest flag does not match the negotiated digests")
	}
	if !e.dataDigest {
		return nil
	}
	if e.size < e.dataFrom+digestLen {
		return fatalErrorf(FatalHeaderField, lengthField, b, "PDU length leaves no room for the data digest")
	}
	e.dataTo = e.size - digestLen
	return nil
}
