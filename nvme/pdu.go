// Package nvme encodes and decodes the part of NVMe over TCP that honeyplank uses: PDUs of the TCP transport, and
// commands, completions and data structures of the base specification. It does no I/O, and keeps no state of a
// connection except for the parameters of its framing. It takes no decisions about a command. Initiators, targets and
// the auditor call it, each on its own goroutine; values of this package are not safe for concurrent use.
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
	FlagSuccess      = 1 << 3 // C2HData: the command succeeded and no CapsuleResp follows
)

// Fatal error statuses of H2CTermReq and C2HTermReq (TCP 3.6.2.4, 3.6.2.5).
const (
	FatalHeaderField          = 1 // Invalid PDU Header Field; FEI is the offset of the field
	FatalSequence             = 2 // PDU Sequence Error
	FatalHeaderDigest         = 3 // Header Digest Error; FEI is the digest received
	FatalDataRange            = 4 // Data Transfer Out of Range
	FatalTransferLimit        = 5 // Data Transfer Limit Exceeded; in an H2CTermReq: R2T Limit Exceeded
	FatalUnsupportedParameter = 6 // Unsupported Parameter; FEI is the offset of the parameter
)

const (
	commonHeaderLen = 8
	digestLen       = 4

	commandCapsuleLen  = commonHeaderLen + CommandLen
	responseCapsuleLen = commonHeaderLen + CompletionLen

	icHeaderLen   = 128
	dataHeaderLen = 24
	termHeaderLen = 24
	maxTermData   = 128 // bytes of the invalid PDU's header that a TermReq may repeat
	// MaxDataOffset is the largest data offset that a header can contain (one byte, TCP 3.6.1).
	MaxDataOffset = 255
)

// FatalError is a violation of the transport protocol, after which the connection is ended with a TermReq.
type FatalError struct {
	Status uint16 // one of the Fatal constants
	Info   uint32 // FEI, whose meaning depends on Status: offset of a field, or digest received
	Text   string
	Header []byte // the beginning of the invalid PDU
}

func (e *FatalError) Error() string { return fmt.Sprintf("nvme/tcp: %s (FES %d)", e.Text, e.Status) }

func fatalErrorf(status uint16, info uint32, header []byte, format string, a ...any) error {
	header = append([]byte(nil), header[:min(len(header), maxTermData)]...)
	return &FatalError{status, info, fmt.Sprintf(format, a...), header}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CRC32C returns the digest of a header or of data (TCP 3.3.1.1).
func CRC32C(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// PDU is one decoded PDU. Header and Data alias the buffer from which it was decoded, and are valid only until the
// buffer is reused. The type-specific header begins at Header[8].
type PDU struct {
	Type   uint8
	Flags  uint8
	Header []byte
	Data   []byte
	// DataDigestError is true if the data digest did not match. The connection continues, and the command fails with a
	// transient transport error (TCP 3.3.1.1).
	DataDigestError bool
}

// CCCID returns the command identifier of a data or R2T PDU (TCP 3.6.2.8 to 3.6.2.10).
func (p *PDU) CCCID() uint16 { return binary.LittleEndian.Uint16(p.Header[8:]) }

// TTAG returns the transfer tag of an H2CData or R2T PDU.
func (p *PDU) TTAG() uint16 { return binary.LittleEndian.Uint16(p.Header[10:]) }

// Offset returns the data offset of a data or R2T PDU in bytes.
func (p *PDU) Offset() uint32 { return binary.LittleEndian.Uint32(p.Header[12:]) }

// Length returns the data length of a data or R2T PDU in bytes.
func (p *PDU) Length() uint32 { return binary.LittleEndian.Uint32(p.Header[16:]) }

// Command returns the submission queue entry of a CapsuleCmd (TCP 3.6.2.6).
func (p *PDU) Command() Command { return Command(p.Header[8:72]) }

// Completion returns the completion queue entry of a CapsuleResp (TCP 3.6.2.7).
func (p *PDU) Completion() Completion { return Completion(p.Header[8:24]) }

// Init holds the fields of ICReq and ICResp (TCP 3.6.2.2, 3.6.2.3).
type Init struct {
	Version      uint16 // PFV, 0
	Align        uint8  // HPDA or CPDA: data offsets are multiples of (Align+1)*4 bytes
	HeaderDigest bool
	DataDigest   bool
	// Limit is MAXR2T, a 0's based count, in an ICReq, and MAXH2CDATA, in bytes, in an ICResp.
	Limit uint32
}

// Init returns the fields of an ICReq or ICResp.
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

// Term returns FES and FEI of a TermReq.
func (p *PDU) Term() (status uint16, info uint32) {
	return binary.LittleEndian.Uint16(p.Header[8:]), binary.LittleEndian.Uint32(p.Header[10:])
}
