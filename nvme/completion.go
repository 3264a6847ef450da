package nvme

import "encoding/binary"

// Completion is a completion queue entry (Base 3.3.3.2).
type Completion [CompletionLen]byte

// Status is the status field of a completion without the phase tag (Base 3.3.3.2.1): status code in bits 7:0, status
// code type in 10:8, command retry delay in 12:11, more in 13, do not retry in 14.
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
	// Rejected is vendor specific (status code type 7h): a disk server rejected the command before executing it,
	// because its queue is full or it is draining. It guarantees that the command was not executed.
	Rejected Status = 0x7C0
	// DoNotRetry is the DNR bit.
	DoNotRetry Status = 1 << 14
)

// Code returns the status code and its type, without retry delay, more and do not retry.
func (s Status) Code() Status { return s & 0x7FF }

// WithRetryDelay returns the status with a retry delay index: 1 to 3 for CRDT1 to CRDT3, 0 for none (Base 3.3.3.2.1,
// CRD).
func (s Status) WithRetryDelay(crd int) Status { return s&^(3<<11) | Status(crd&3)<<11 }

// RetryDelay returns the retry delay index.
func (s Status) RetryDelay() int { return int(s >> 11 & 3) }

// NewCompletion returns the completion of the command cid with a status and two result dwords.
func NewCompletion(cid uint16, status Status, dw0, dw1 uint32) (c Completion) {
	binary.LittleEndian.PutUint32(c[0:], dw0)
	binary.LittleEndian.PutUint32(c[4:], dw1)
	binary.LittleEndian.PutUint16(c[12:], cid)
	binary.LittleEndian.PutUint16(c[14:], uint16(status)<<1)
	return c
}

// CID returns the identifier of the command that completed.
func (c *Completion) CID() uint16 { return binary.LittleEndian.Uint16(c[12:]) }

// Status returns the status field without the phase tag.
func (c *Completion) Status() Status { return Status(binary.LittleEndian.Uint16(c[14:]) >> 1) }

// DW0 returns the first result dword.
func (c *Completion) DW0() uint32 { return binary.LittleEndian.Uint32(c[0:]) }

// DW1 returns the second result dword.
func (c *Completion) DW1() uint32 { return binary.LittleEndian.Uint32(c[4:]) }

// SetHead sets the submission queue head.
func (c *Completion) SetHead(sqhd uint16) { binary.LittleEndian.PutUint16(c[8:], sqhd) }

// SetQueue sets the submission queue identifier.
func (c *Completion) SetQueue(id uint16) { binary.LittleEndian.PutUint16(c[10:], id) }
