package nvme

import "encoding/binary"

// Framing is what both ends of a connection agreed on in ICReq and ICResp. The zero value is what holds
// before: no digests, no alignment beyond four bytes.
type Framing struct {
	HeaderDigest bool
	DataDigest   bool
	// Align is the alignment that the receiver of data asked for, as HPDA or CPDA.
	Align uint8
	// MaxData bounds the data of one PDU in bytes.
	MaxData int
	// FromHost tells which end sends what is decoded.
	FromHost bool
}

// pduFormat is the form of a type of PDU.
type pduFormat struct {
	headerLen int  // 0: there is no such type
	fromHost  bool // which end sends it
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

// Offsets of the fields of the common header (TCP 3.6.1) and of a data PDU's length, as FEI tells which is wrong.
const (
	typeField       = 0
	flagsField      = 1
	headerLenField  = 2
	dataOffsetField = 3
	lengthField     = 4
	dataLengthField = 16
)

// pduBounds is where the parts of a PDU are, by its header.
type pduBounds struct {
	headerLen    int
	headerDigest bool // it stands behind the header
	dataFrom     int
	dataTo       int
	dataDigest   bool // it stands behind the data
	size         int  // of all
}

// Decode reads the PDU at the start of b. It returns the bytes used, 0 while more are needed, and a
// *FatalError as soon as the header, or as much of it as is there, cannot be one. Every length is checked
// against what the type allows before more bytes are waited for; nothing is allocated.
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
			return PDU{}, 0, fatalErrorf(FatalHeaderDigest, got, b, "header digest %#x is not %#x", got, sum)
		}
	}
	if e.dataDigest {
		p.DataDigestError = binary.LittleEndian.Uint32(b[e.dataTo:]) != CRC32C(p.Data)
	}
	if (p.Type == TypeH2CData || p.Type == TypeC2HData) && int(p.Length()) != len(p.Data) {
		return PDU{}, 0, fatalErrorf(FatalHeaderField, dataLengthField, b,
			"data length %d is not the %d bytes that came", p.Length(), len(p.Data))
	}
	if len(p.Data) > f.MaxData && pduFormats[p.Type].digests {
		return PDU{}, 0, fatalErrorf(FatalTransferLimit, 0, b, "%d bytes of data are over %d", len(p.Data), f.MaxData)
	}
	return p, e.size, nil
}

// parseHeader checks the common header of a PDU and sets where its parts are.
func (f *Framing) parseHeader(b []byte, e *pduBounds) error {
	kind, headerLen, length := b[typeField], int(b[headerLenField]), binary.LittleEndian.Uint32(b[lengthField:])
	if int(kind) >= len(pduFormats) || pduFormats[kind].headerLen == 0 {
		return fatalErrorf(FatalHeaderField, typeField, b, "PDU type %#x is unknown", kind)
	}
	l := &pduFormats[kind]
	if l.fromHost != f.FromHost {
		return fatalErrorf(FatalSequence, 0, b, "PDU type %#x comes from the wrong end", kind)
	}
	if headerLen != l.headerLen {
		return fatalErrorf(FatalHeaderField, headerLenField, b,
			"header length %d of type %#x is not %d", headerLen, kind, l.headerLen)
	}
	headerDigest := f.HeaderDigest && l.digests
	if (b[flagsField]&FlagHeaderDigest != 0) != headerDigest {
		return fatalErrorf(FatalHeaderField, flagsField, b, "header digest flag does not match what was agreed")
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
			"PDU length %d is not within %d and %d", length, minLen, maxLen)
	}
	e.size, e.headerLen, e.headerDigest = int(length), headerLen, headerDigest
	e.dataFrom, e.dataTo = minLen, e.size
	if e.size > minLen {
		return f.locateData(b, e)
	}
	return nil
}

// locateData checks the part of a PDU behind its header, and sets where its data is.
func (f *Framing) locateData(b []byte, e *pduBounds) error {
	if !pduFormats[b[typeField]].digests { // a TermReq: its data follows its header
		if e.size > termHeaderLen+maxTermData {
			return fatalErrorf(FatalHeaderField, lengthField, b,
				"PDU length %d of a TermReq is over %d", e.size, termHeaderLen+maxTermData)
		}
		return nil
	}
	offset := int(b[dataOffsetField])
	if offset < e.dataFrom || offset > e.size || offset%4 != 0 {
		return fatalErrorf(FatalHeaderField, dataOffsetField, b,
			"data offset %d is not within %d and %d", offset, e.dataFrom, e.size)
	}
	e.dataFrom = offset
	e.dataDigest = f.DataDigest
	if (b[flagsField]&FlagDataDigest != 0) != e.dataDigest {
		return fatalErrorf(FatalHeaderField, flagsField, b, "data digest flag does not match what was agreed")
	}
	if !e.dataDigest {
		return nil
	}
	if e.size < e.dataFrom+digestLen {
		return fatalErrorf(FatalHeaderField, lengthField, b, "no room for the data digest")
	}
	e.dataTo = e.size - digestLen
	return nil
}
