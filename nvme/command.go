package nvme

import (
	"encoding/binary"
)

// Sizes of queue entries in bytes.
const (
	CommandLen    = 64
	CompletionLen = 16
)

// Command is a submission queue entry (Base 3.3.3.1).
type Command [CommandLen]byte

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
	IdentifyNamespace        = 0x00
	IdentifyController       = 0x01
	IdentifyActiveNamespaces = 0x02
	IdentifyDescriptors      = 0x03
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

// Opcode returns the opcode.
func (c *Command) Opcode() uint8 { return c[0] }

// CID returns the command identifier.
func (c *Command) CID() uint16 { return binary.LittleEndian.Uint16(c[2:]) }

// SetCID sets the command identifier.
func (c *Command) SetCID(id uint16) { binary.LittleEndian.PutUint16(c[2:], id) }

// FabricsType returns the type of a Fabrics command.
func (c *Command) FabricsType() uint8 { return c[4] }

// NSID returns the namespace identifier.
func (c *Command) NSID() uint32 { return binary.LittleEndian.Uint32(c[4:]) }

// DW returns command dword n, 0 to 15.
func (c *Command) DW(n int) uint32 { return binary.LittleEndian.Uint32(c[4*n:]) }

// SetDW sets command dword n, 0 to 15.
func (c *Command) SetDW(n int, v uint32) { binary.LittleEndian.PutUint32(c[4*n:], v) }

// SetNSID sets the namespace identifier.
func (c *Command) SetNSID(n uint32) { binary.LittleEndian.PutUint32(c[4:], n) }

// SLBA returns the first logical block of a Read or Write.
func (c *Command) SLBA() uint64 { return binary.LittleEndian.Uint64(c[40:]) }

// Blocks returns the number of logical blocks of a Read or Write, at least 1. The field on the wire is 0's based.
func (c *Command) Blocks() int { return int(binary.LittleEndian.Uint16(c[48:])) + 1 }

// PropertyOffset returns the offset of the property of a Property Get or Set.
func (c *Command) PropertyOffset() uint32 { return c.DW(11) }

// PropertyValue returns the value of a Property Set.
func (c *Command) PropertyValue() uint64 { return binary.LittleEndian.Uint64(c[48:]) }

// ClientTimeout returns the time in milliseconds that a client waits for a Read or Write; 0: the timeout of the op
// type. It is an extension of honeyplank in command dword 3, which the specification reserves; see docs/protocol.md.
func (c *Command) ClientTimeout() uint32 { return c.DW(3) }

// SetClientTimeout sets the client timeout in milliseconds.
func (c *Command) SetClientTimeout(n uint32) { c.SetDW(3, n) }

// SGL descriptor types that a host sends over TCP (TCP 3.3.2; Base 4.1.2): the data is in the capsule, or the transport
// transfers it in data PDUs.
const (
	SGLInCapsule = 0x01
	SGLTransport = 0x5A
)

// SGL returns the fields of the one SGL descriptor of a command (SGL1, bytes 24 to 39).
func (c *Command) SGL() (kind uint8, address uint64, length uint32) {
	return c[39], binary.LittleEndian.Uint64(c[24:]), binary.LittleEndian.Uint32(c[32:])
}

// SetSGL sets the type and the length in bytes of the SGL descriptor, and sets PSDT to SGL. The address stays as it is.
func (c *Command) SetSGL(kind uint8, length int) {
	c[1] = c[1]&0x3F | 0x40
	binary.LittleEndian.PutUint32(c[32:], uint32(length))
	c[39] = kind
}

// NewRW returns a Read or Write of a number of blocks from slba on, without its SGL descriptor.
func NewRW(opcode uint8, nsid uint32, slba uint64, blocks int) Command {
	var c Command
	c[0] = opcode
	c.SetNSID(nsid)
	binary.LittleEndian.PutUint64(c[40:], slba)
	binary.LittleEndian.PutUint16(c[48:], uint16(blocks-1))
	return c
}

// NewProperty returns a Property Get, or a Property Set of four bytes (Base 6.5, 6.6).
func NewProperty(kind uint8, offset uint32, value uint32) Command {
	var c Command
	c[0], c[4] = Fabrics, kind
	if kind == FabricsPropertyGet && offset == PropertyCAP {
		c[40] = 1 // the property has eight bytes
	}
	c.SetDW(11, offset)
	c.SetDW(12, value)
	return c
}
