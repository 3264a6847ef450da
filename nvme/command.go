package nvme

import (
	"bytes"
	"encoding/binary"
)

// Sizes of queue entries in bytes.
const (
	CommandLen    = 64
	CompletionLen = 16
)

// Command is a submission queue entry (Base 3.3.3.1).
type Command [CommandLen]byte

// Completion is a completion queue entry (Base 3.3.3.2).
type Completion [CompletionLen]byte

// Opcodes of the admin command set (Base 5), of fabrics (Base 6) and of the NVM command set (NVM 3.2).
const (
	AdminGetLogPage  = 0x02
	AdminIdentify    = 0x06
	AdminAbort       = 0x08
	AdminSetFeatures = 0x09
	AdminGetFeatures = 0x0A
	AdminAsyncEvent  = 0x0C
	AdminKeepAlive   = 0x18
	Fabrics          = 0x7F
	Flush            = 0x00
	Write            = 0x01
	Read             = 0x02
)

// Fabrics command types (Base 6, figure of FCTYPE values).
const (
	FabricsPropertySet = 0x00
	FabricsConnect     = 0x01
	FabricsPropertyGet = 0x04
)

// Identify CNS values (Base 5.17.2).
const (
	IdentifyNamespace   = 0x00
	IdentifyController  = 0x01
	IdentifyActive      = 0x02
	IdentifyDescriptors = 0x03
)

// Feature and log page identifiers (Base 5.27.1, 5.16.1).
const (
	FeatureQueues       = 0x07
	FeatureAsyncEvents  = 0x0B
	FeatureKeepAlive    = 0x0F
	FeatureHostBehavior = 0x16
	LogError            = 0x01
	LogHealth           = 0x02
	LogFirmware         = 0x03
	LogDiscovery        = 0x70
	LogLoad             = 0xC0 // vendor specific: see Load
)

// Controller properties (Base 3.1.3).
const (
	PropertyCAP  = 0x00
	PropertyVS   = 0x08
	PropertyCC   = 0x14
	PropertyCSTS = 0x1C
)

// Status is the status field of a completion without the phase tag (Base 3.3.3.2.1): code in bits 7:0, code
// type in 10:8, retry delay in 12:11, more in 13, do not retry in 14.
type Status uint16

// Generic, command specific, data integrity and path related statuses (Base 3.3.3.2.1.1 and after).
const (
	Success              Status = 0x000
	InvalidOpcode        Status = 0x001
	InvalidField         Status = 0x002
	IDConflict           Status = 0x003
	DataTransferError    Status = 0x004
	InternalError        Status = 0x006
	AbortRequested       Status = 0x007
	InvalidNamespace     Status = 0x00B
	SequenceError        Status = 0x00C
	InvalidSGLOffset     Status = 0x016
	TransientTransport   Status = 0x022
	CommandInterrupted   Status = 0x021
	InvalidSGLLength     Status = 0x00F
	InvalidSGLType       Status = 0x011
	LBAOutOfRange        Status = 0x080
	NotReady             Status = 0x082
	InvalidLogPage       Status = 0x109
	ConnectFormat        Status = 0x180
	ConnectBusy          Status = 0x181
	ConnectInvalid       Status = 0x182
	FeatureNotChangeable Status = 0x10E
	// Rejected is vendor specific (code type 7h): a disk server did not look at the command, its queue is
	// full or it drains. It proves that the command never ran.
	Rejected Status = 0x7C0
	// DoNotRetry is the DNR bit.
	DoNotRetry Status = 1 << 14
)

// Code is the status without retry delay, more and do not retry.
func (s Status) Code() Status { return s & 0x7FF }

// WithDelay sets the retry delay index, 1 to 3 for CRDT1 to CRDT3 (Base 3.3.3.2.1, CRD).
func (s Status) WithDelay(crd int) Status { return s&^(3<<11) | Status(crd&3)<<11 }

// Delay is the retry delay index.
func (s Status) Delay() int { return int(s >> 11 & 3) }

// Opcode is the command's opcode.
func (c *Command) Opcode() uint8 { return c[0] }

// CID is the command identifier.
func (c *Command) CID() uint16 { return binary.LittleEndian.Uint16(c[2:]) }

// SetCID sets the command identifier.
func (c *Command) SetCID(id uint16) { binary.LittleEndian.PutUint16(c[2:], id) }

// FabricsType is the type of a Fabrics command.
func (c *Command) FabricsType() uint8 { return c[4] }

// NSID is the namespace identifier.
func (c *Command) NSID() uint32 { return binary.LittleEndian.Uint32(c[4:]) }

// DW is command dword n, 10 to 15.
func (c *Command) DW(n int) uint32 { return binary.LittleEndian.Uint32(c[4*n:]) }

// SetDW sets command dword n, 10 to 15.
func (c *Command) SetDW(n int, v uint32) { binary.LittleEndian.PutUint32(c[4*n:], v) }

// SetNSID sets the namespace identifier.
func (c *Command) SetNSID(n uint32) { binary.LittleEndian.PutUint32(c[4:], n) }

// SLBA is the first logical block of a Read or Write.
func (c *Command) SLBA() uint64 { return binary.LittleEndian.Uint64(c[40:]) }

// Blocks is the number of logical blocks of a Read or Write, 1 or more; the wire counts from 0.
func (c *Command) Blocks() int { return int(binary.LittleEndian.Uint16(c[48:])) + 1 }

// PropertyOffset is the offset of a Property Get or Set.
func (c *Command) PropertyOffset() uint32 { return c.DW(11) }

// PropertyValue is the value of a Property Set.
func (c *Command) PropertyValue() uint64 { return binary.LittleEndian.Uint64(c[48:]) }

// ClientTimeout is how long a client of ours waits for a Read or Write, in milliseconds; 0: as long as the op type
// says. It travels in command dword 3, which is reserved there: docs/protocol.md.
func (c *Command) ClientTimeout() uint32 { return c.DW(3) }

// SetClientTimeout sets the client timeout, in milliseconds.
func (c *Command) SetClientTimeout(n uint32) { c.SetDW(3, n) }

// SGL descriptor types a host sends over TCP (TCP 3.3.2; Base 4.1.2): data in the capsule, or moved by the
// transport.
const (
	SGLInCapsule = 0x01
	SGLTransport = 0x5A
)

// SGL reads the one descriptor of a command (SGL1, bytes 24 to 39).
func (c *Command) SGL() (kind uint8, address uint64, length uint32) {
	return c[39], binary.LittleEndian.Uint64(c[24:]), binary.LittleEndian.Uint32(c[32:])
}

// SetSGL writes the descriptor and says by PSDT that it is an SGL.
func (c *Command) SetSGL(kind uint8, length int) {
	c[1] = c[1]&0x3F | 0x40
	binary.LittleEndian.PutUint32(c[32:], uint32(length))
	c[39] = kind
}

// NewRW makes a Read or Write of blocks from slba.
func NewRW(opcode uint8, nsid uint32, slba uint64, blocks int) Command {
	var c Command
	c[0] = opcode
	c.SetNSID(nsid)
	binary.LittleEndian.PutUint64(c[40:], slba)
	binary.LittleEndian.PutUint16(c[48:], uint16(blocks-1))
	return c
}

// NewConnect makes a Connect for a queue of size entries (Base 6.3); keepAlive is in milliseconds and
// counts on the admin queue only. Its data is ConnectData.
func NewConnect(qid uint16, size int, keepAlive uint32) Command {
	var c Command
	c[0], c[4] = Fabrics, FabricsConnect
	c.SetDW(10, uint32(qid)<<16)
	c.SetDW(11, uint32(size-1))
	c.SetDW(12, keepAlive)
	return c
}

// ConnectLen is the size of a Connect's data (Base 6.3, figure of Connect data).
const ConnectLen = 1024

// DynamicController as a controller id asks for any.
const DynamicController = 0xFFFF

// Where the fields of a Connect's data are; names end with a zero.
const (
	connectHostID       = 0
	connectControllerID = 16
	connectSubsystem    = 256
	connectHost         = 512
	connectNameLen      = 256
)

// ConnectData is the data of a Connect.
type ConnectData struct {
	HostID       [16]byte
	ControllerID uint16
	Subsystem    string
	Host         string
}

// AppendConnectData appends a Connect's data.
func AppendConnectData(dst []byte, c ConnectData) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, ConnectLen)...)
	d := dst[start:]
	copy(d[connectHostID:], c.HostID[:])
	binary.LittleEndian.PutUint16(d[connectControllerID:], c.ControllerID)
	copy(d[connectSubsystem:connectSubsystem+connectNameLen-1], c.Subsystem)
	copy(d[connectHost:connectHost+connectNameLen-1], c.Host)
	return dst
}

// ParseConnectData reads a Connect's data of ConnectLen bytes.
func ParseConnectData(d []byte) ConnectData {
	return ConnectData{
		HostID:       [16]byte(d[connectHostID:]),
		ControllerID: binary.LittleEndian.Uint16(d[connectControllerID:]),
		Subsystem:    text(d[connectSubsystem : connectSubsystem+connectNameLen]),
		Host:         text(d[connectHost : connectHost+connectNameLen]),
	}
}

// text is a name without the zeros behind it.
func text(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		b = b[:i]
	}
	return string(b)
}

// NewProperty makes a Property Get, or a Property Set of four bytes (Base 6.5, 6.6).
func NewProperty(kind uint8, offset uint32, value uint32) Command {
	var c Command
	c[0], c[4] = Fabrics, kind
	if kind == FabricsPropertyGet && offset == PropertyCAP {
		c[40] = 1 // eight bytes
	}
	c.SetDW(11, offset)
	c.SetDW(12, value)
	return c
}

// NewCompletion makes a completion of the command cid with a status and two result dwords.
func NewCompletion(cid uint16, status Status, dw0, dw1 uint32) (c Completion) {
	binary.LittleEndian.PutUint32(c[0:], dw0)
	binary.LittleEndian.PutUint32(c[4:], dw1)
	binary.LittleEndian.PutUint16(c[12:], cid)
	binary.LittleEndian.PutUint16(c[14:], uint16(status)<<1)
	return c
}

// CID is the identifier of the command that completed.
func (c *Completion) CID() uint16 { return binary.LittleEndian.Uint16(c[12:]) }

// Status is the status field without the phase tag.
func (c *Completion) Status() Status { return Status(binary.LittleEndian.Uint16(c[14:]) >> 1) }

// DW0 is the first result dword.
func (c *Completion) DW0() uint32 { return binary.LittleEndian.Uint32(c[0:]) }

// DW1 is the second result dword.
func (c *Completion) DW1() uint32 { return binary.LittleEndian.Uint32(c[4:]) }

// SetHead sets the submission queue head.
func (c *Completion) SetHead(sqhd uint16) { binary.LittleEndian.PutUint16(c[8:], sqhd) }

// SetQueue sets the submission queue identifier.
func (c *Completion) SetQueue(id uint16) { binary.LittleEndian.PutUint16(c[10:], id) }

// Load is what a disk server tells of itself. It travels in the result dwords of Read and Write, which the
// NVM command set leaves reserved, and in the vendor specific log page C0h: docs/protocol.md.
type Load struct {
	Latency        uint16 // recent service time without waiting, in tenths of a millisecond
	Inflight       uint16 // ops it holds
	PlanUsage      uint16 // 1 + percent of the plan's rate that the volume was served everywhere; 0: not told
	UnitsElsewhere uint16 // units it did for the volume for other schedulers since its last answer to this one
}

// Dwords packs a load into the result dwords.
func (l Load) Dwords() (dw0, dw1 uint32) {
	return uint32(l.Latency) | uint32(l.Inflight)<<16, uint32(l.PlanUsage) | uint32(l.UnitsElsewhere)<<16
}

// Load reads the result dwords of a Read or Write from a disk server.
func (c *Completion) Load() Load {
	a, b := c.DW0(), c.DW1()
	return Load{uint16(a), uint16(a >> 16), uint16(b), uint16(b >> 16)}
}

// LoadLen is the size of the load log page: LATENCY, INFLIGHT as in Load, then four reserved bytes.
const LoadLen = 8

// AppendLoad appends the load log page; ParseLoad reads it.
func AppendLoad(dst []byte, l Load) []byte {
	dst = binary.LittleEndian.AppendUint16(dst, l.Latency)
	dst = binary.LittleEndian.AppendUint16(dst, l.Inflight)
	return append(dst, 0, 0, 0, 0)
}

// ParseLoad reads a load log page of LoadLen bytes.
func ParseLoad(b []byte) Load {
	return Load{Latency: binary.LittleEndian.Uint16(b), Inflight: binary.LittleEndian.Uint16(b[2:])}
}
