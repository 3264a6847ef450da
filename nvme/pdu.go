// Package nvme holds the layouts of NVMe over TCP that honeyplank accepts and sends: PDUs of the TCP transport, and
// commands, completions and data structures of the base specification. It does no I/O, keeps no connection state beyond
// what a decoder needs, and decides nothing. Initiators, targets and the auditor call it, each on its own goroutine: a
// value of this package is not shared between them.
//
// Sources: "NVM Express TCP Transport Specification" revision 1.0 (cited as TCP), "NVM Express Base Specification"
// revision 2.0 (cited as Base) and "NVM Command Set Specification" revision 1.0 (cited as NVM). All integers on the
// wire are little endian.
package nvme

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// PDU types (TCP 3.6.1, common header, byte 0).
const (
	TypeICReq       = 0x00
	TypeICResp      = 0x01
	TypeH2CTermReq  = 0x02
	TypeC2HTermReq  = 0x03
	TypeCapsuleCmd  = 0x04
	TypeCapsuleResp = 0x05
	TypeH2CData     = 0x06
	TypeC2HData     = 0x07
	TypeR2T         = 0x09
)

// Flags of the common header (TCP 3.6.1, byte 1).
const (
	FlagHeaderDigest = 1 << 0
	FlagDataDigest   = 1 << 1
	FlagLast         = 1 << 2 // H2CData, C2HData: the last PDU of a transfer
	FlagSuccess      = 1 << 3 // C2HData: no CapsuleResp follows, the command succeeded
)

// Fatal error statuses of H2CTermReq and C2HTermReq (TCP 3.6.2.4, 3.6.2.5).
const (
	FatalHeaderField          = 1 // Invalid PDU Header Field; FEI is the offset of the field
	FatalSequence             = 2 // PDU Sequence Error
	FatalHeaderDigest         = 3 // Header Digest Error; FEI is the digest received
	FatalDataRange            = 4 // Data Transfer Out of Range
	FatalTransferLimit        = 5 // Data Transfer Limit Exceeded (R2T Limit Exceeded to a host)
	FatalUnsupportedParameter = 6 // Unsupported Parameter; FEI is the offset of the parameter
)

const (
	headLen   = 8 // of the common header
	digestLen = 4

	commandCapsuleLen  = headLen + CommandLen
	responseCapsuleLen = headLen + CompletionLen

	icLen    = 128
	dataLen  = 24
	termLen  = 24
	termData = 128 // most bytes of the offending header that a TermReq repeats
	// MaxDataOffset is the largest data offset a header can state (one byte, TCP 3.6.1).
	MaxDataOffset = 255
)

// FatalError is a violation of the transport after which a connection ends with a TermReq.
type FatalError struct {
	Status uint16 // one of the Fatal constants
	Info   uint32 // FEI: offset or digest, by status
	Text   string
	Header []byte // the beginning of the offending PDU
}

func (e *FatalError) Error() string { return fmt.Sprintf("nvme/tcp: %s (FES %d)", e.Text, e.Status) }

func fatal(status uint16, info uint32, header []byte, format string, a ...any) error {
	header = append([]byte(nil), header[:min(len(header), termData)]...)
	return &FatalError{status, info, fmt.Sprintf(format, a...), header}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CRC32C is the digest of headers and data (TCP 3.3.1.1).
func CRC32C(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// PDU is one decoded PDU. Header and Data alias the buffer it was decoded from and hold only until that is
// reused; the type-specific header begins at Header[8].
type PDU struct {
	Type   uint8
	Flags  uint8
	Header []byte
	Data   []byte
	// BadData tells that the data digest did not match; the transport goes on, the command fails with a
	// transient transport error (TCP 3.3.1.1).
	BadData bool
}

// CCCID is the command identifier of a data or R2T PDU (TCP 3.6.2.8 to 3.6.2.10).
func (p *PDU) CCCID() uint16 { return binary.LittleEndian.Uint16(p.Header[8:]) }

// TTAG is the transfer tag of an H2CData or R2T PDU.
func (p *PDU) TTAG() uint16 { return binary.LittleEndian.Uint16(p.Header[10:]) }

// Offset is the data offset of a data or R2T PDU, in bytes.
func (p *PDU) Offset() uint32 { return binary.LittleEndian.Uint32(p.Header[12:]) }

// Length is the data length of a data or R2T PDU, in bytes.
func (p *PDU) Length() uint32 { return binary.LittleEndian.Uint32(p.Header[16:]) }

// Command is the submission queue entry of a CapsuleCmd (TCP 3.6.2.6).
func (p *PDU) Command() Command { return Command(p.Header[8:72]) }

// Completion is the completion queue entry of a CapsuleResp (TCP 3.6.2.7).
func (p *PDU) Completion() Completion { return Completion(p.Header[8:24]) }

// Init holds the fields of ICReq and ICResp (TCP 3.6.2.2, 3.6.2.3).
type Init struct {
	Version      uint16 // PFV, 0
	Align        uint8  // HPDA or CPDA: data offsets are multiples of (Align+1)*4 bytes
	HeaderDigest bool
	DataDigest   bool
	// Limit is MAXR2T, a 0's based count, in ICReq; MAXH2CDATA in bytes in ICResp.
	Limit uint32
}

// Init reads an ICReq or ICResp.
func (p *PDU) Init() Init {
	h := p.Header
	return Init{
		Version:      binary.LittleEndian.Uint16(h[8:]),
		Align:        h[10],
		HeaderDigest: h[11]&1 != 0,
		DataDigest:   h[11]&2 != 0,
		Limit:        binary.LittleEndian.Uint32(h[12:]),
	}
}

// Term reads a TermReq.
func (p *PDU) Term() (status uint16, info uint32) {
	return binary.LittleEndian.Uint16(p.Header[8:]), binary.LittleEndian.Uint32(p.Header[10:])
}

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

// layout is the form of a type of PDU.
type layout struct {
	headerLen int  // 0: there is no such type
	fromHost  bool // which end sends it
	data      bool // it may carry data
	digests   bool // it may carry digests
}

var layouts = [...]layout{
	TypeICReq:       {headerLen: icLen, fromHost: true},
	TypeICResp:      {headerLen: icLen},
	TypeH2CTermReq:  {headerLen: termLen, fromHost: true, data: true},
	TypeC2HTermReq:  {headerLen: termLen, data: true},
	TypeCapsuleCmd:  {headerLen: commandCapsuleLen, fromHost: true, data: true, digests: true},
	TypeCapsuleResp: {headerLen: responseCapsuleLen, digests: true},
	TypeH2CData:     {headerLen: dataLen, fromHost: true, data: true, digests: true},
	TypeC2HData:     {headerLen: dataLen, data: true, digests: true},
	TypeR2T:         {headerLen: dataLen, digests: true},
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

// extent is where the parts of a PDU are, by its header.
type extent struct {
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
	if len(b) < headLen {
		return PDU{}, 0, nil
	}
	var e extent
	if err := f.measure(b, &e); err != nil || len(b) < e.size {
		return PDU{}, 0, err
	}
	p.Type, p.Flags = b[typeField], b[flagsField]
	p.Header, p.Data = b[:e.headerLen], b[e.dataFrom:e.dataTo]
	if e.headerDigest {
		if got, sum := binary.LittleEndian.Uint32(b[e.headerLen:]), CRC32C(p.Header); got != sum {
			return PDU{}, 0, fatal(FatalHeaderDigest, got, b, "header digest %#x is not %#x", got, sum)
		}
	}
	if e.dataDigest {
		p.BadData = binary.LittleEndian.Uint32(b[e.dataTo:]) != CRC32C(p.Data)
	}
	if (p.Type == TypeH2CData || p.Type == TypeC2HData) && int(p.Length()) != len(p.Data) {
		return PDU{}, 0, fatal(FatalHeaderField, dataLengthField, b,
			"data length %d is not the %d bytes that came", p.Length(), len(p.Data))
	}
	if len(p.Data) > f.MaxData && layouts[p.Type].digests {
		return PDU{}, 0, fatal(FatalTransferLimit, 0, b, "%d bytes of data are over %d", len(p.Data), f.MaxData)
	}
	return p, e.size, nil
}

// measure checks the common header of a PDU and sets where its parts are.
func (f *Framing) measure(b []byte, e *extent) error {
	kind, headerLen, length := b[typeField], int(b[headerLenField]), binary.LittleEndian.Uint32(b[lengthField:])
	if int(kind) >= len(layouts) || layouts[kind].headerLen == 0 {
		return fatal(FatalHeaderField, typeField, b, "PDU type %#x is unknown", kind)
	}
	l := &layouts[kind]
	if l.fromHost != f.FromHost {
		return fatal(FatalSequence, 0, b, "PDU type %#x comes from the wrong end", kind)
	}
	if headerLen != l.headerLen {
		return fatal(FatalHeaderField, headerLenField, b,
			"header length %d of type %#x is not %d", headerLen, kind, l.headerLen)
	}
	headerDigest := f.HeaderDigest && l.digests
	if (b[flagsField]&FlagHeaderDigest != 0) != headerDigest {
		return fatal(FatalHeaderField, flagsField, b, "header digest flag does not match what was agreed")
	}
	minLen := headerLen
	if headerDigest {
		minLen += digestLen
	}
	maxLen := minLen
	if l.data {
		maxLen = max(minLen, MaxDataOffset) + max(f.MaxData, termData) + digestLen
	}
	if length < uint32(minLen) || length > uint32(maxLen) {
		return fatal(FatalHeaderField, lengthField, b,
			"PDU length %d is not within %d and %d", length, minLen, maxLen)
	}
	e.size, e.headerLen, e.headerDigest = int(length), headerLen, headerDigest
	e.dataFrom, e.dataTo = minLen, e.size
	if e.size > minLen {
		return f.placeData(b, e)
	}
	return nil
}

// placeData checks the part of a PDU behind its header, and sets where its data is.
func (f *Framing) placeData(b []byte, e *extent) error {
	if !layouts[b[typeField]].digests { // a TermReq: its data follows its header
		if e.size > termLen+termData {
			return fatal(FatalHeaderField, lengthField, b,
				"PDU length %d of a TermReq is over %d", e.size, termLen+termData)
		}
		return nil
	}
	offset := int(b[dataOffsetField])
	if offset < e.dataFrom || offset > e.size || offset%4 != 0 {
		return fatal(FatalHeaderField, dataOffsetField, b,
			"data offset %d is not within %d and %d", offset, e.dataFrom, e.size)
	}
	e.dataFrom = offset
	e.dataDigest = f.DataDigest
	if (b[flagsField]&FlagDataDigest != 0) != e.dataDigest {
		return fatal(FatalHeaderField, flagsField, b, "data digest flag does not match what was agreed")
	}
	if !e.dataDigest {
		return nil
	}
	if e.size < e.dataFrom+digestLen {
		return fatal(FatalHeaderField, lengthField, b, "no room for the data digest")
	}
	e.dataTo = e.size - digestLen
	return nil
}

// begin appends a header with type and flags set and the rest zero; finish completes it.
func begin(dst []byte, kind, flags uint8, hlen int) []byte {
	n := len(dst)
	dst = append(dst, make([]byte, hlen)...)
	dst[n], dst[n+1], dst[n+2] = kind, flags, uint8(hlen)
	return dst
}

// finish adds digests, padding and data behind a header that begins at dst[start:], and sets the lengths.
func (f *Framing) finish(dst []byte, start int, data []byte) []byte {
	h := dst[start:]
	hlen := len(h)
	size := hlen
	if f.HeaderDigest {
		h[1] |= FlagHeaderDigest
		size += digestLen
	}
	pdo := 0
	if len(data) > 0 {
		unit := (int(f.Align) + 1) * 4
		pdo = (size + unit - 1) / unit * unit
		h[3] = uint8(pdo)
		size = pdo + len(data)
		if f.DataDigest {
			h[1] |= FlagDataDigest
			size += digestLen
		}
	}
	binary.LittleEndian.PutUint32(h[4:], uint32(size))
	if f.HeaderDigest {
		dst = binary.LittleEndian.AppendUint32(dst, CRC32C(dst[start:start+hlen]))
	}
	if len(data) > 0 {
		var zero [MaxDataOffset + 1]byte
		dst = append(dst, zero[:pdo-(len(dst)-start)]...)
		dst = append(dst, data...)
		if f.DataDigest {
			dst = binary.LittleEndian.AppendUint32(dst, CRC32C(data))
		}
	}
	return dst
}

// AppendInit appends an ICReq or ICResp.
func AppendInit(dst []byte, kind uint8, i Init) []byte {
	start := len(dst)
	dst = begin(dst, kind, 0, icLen)
	h := dst[start:]
	binary.LittleEndian.PutUint16(h[8:], i.Version)
	h[10] = i.Align
	if i.HeaderDigest {
		h[11] |= 1
	}
	if i.DataDigest {
		h[11] |= 2
	}
	binary.LittleEndian.PutUint32(h[12:], i.Limit)
	binary.LittleEndian.PutUint32(h[4:], icLen)
	return dst
}

// AppendTerm appends the TermReq by which the end kind names ends a connection.
func AppendTerm(dst []byte, kind uint8, e *FatalError) []byte {
	start := len(dst)
	dst = begin(dst, kind, 0, termLen)
	h := dst[start:]
	binary.LittleEndian.PutUint16(h[8:], e.Status)
	binary.LittleEndian.PutUint32(h[10:], e.Info)
	binary.LittleEndian.PutUint32(h[4:], uint32(termLen+len(e.Header)))
	return append(dst, e.Header...)
}

// AppendCommand appends a CapsuleCmd, with in-capsule data where there is some.
func (f *Framing) AppendCommand(dst []byte, c *Command, data []byte) []byte {
	start := len(dst)
	dst = begin(dst, TypeCapsuleCmd, 0, commandCapsuleLen)
	copy(dst[start+headLen:], c[:])
	return f.finish(dst, start, data)
}

// AppendCompletion appends a CapsuleResp.
func (f *Framing) AppendCompletion(dst []byte, c *Completion) []byte {
	start := len(dst)
	dst = begin(dst, TypeCapsuleResp, 0, responseCapsuleLen)
	copy(dst[start+headLen:], c[:])
	return f.finish(dst, start, nil)
}

// DataHeader is what the header of an H2CData or C2HData PDU tells of its data.
type DataHeader struct {
	Type   uint8
	Flags  uint8 // FlagLast and FlagSuccess
	CID    uint16
	TTAG   uint16
	Offset int // from the start of the command's data
}

// AppendData appends one H2CData or C2HData PDU.
func (f *Framing) AppendData(dst []byte, h DataHeader, data []byte) []byte {
	start := len(dst)
	dst = begin(dst, h.Type, h.Flags, dataLen)
	putData(dst[start:], h.CID, h.TTAG, uint32(h.Offset), uint32(len(data)))
	return f.finish(dst, start, data)
}

// AppendR2T appends an R2T for length bytes from offset.
func (f *Framing) AppendR2T(dst []byte, cid, ttag uint16, offset, length int) []byte {
	start := len(dst)
	dst = begin(dst, TypeR2T, 0, dataLen)
	putData(dst[start:], cid, ttag, uint32(offset), uint32(length))
	return f.finish(dst, start, nil)
}

func putData(h []byte, cid, ttag uint16, offset, length uint32) {
	binary.LittleEndian.PutUint16(h[8:], cid)
	binary.LittleEndian.PutUint16(h[10:], ttag)
	binary.LittleEndian.PutUint32(h[12:], offset)
	binary.LittleEndian.PutUint32(h[16:], length)
}
