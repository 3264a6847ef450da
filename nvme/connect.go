package nvme

import (
	"bytes"
	"encoding/binary"
)

// NewConnect returns a Connect for a queue of size entries (Base 6.3). keepAlive is in milliseconds and applies to the
// admin queue only. The data of the command is ConnectData.
func NewConnect(qid uint16, size int, keepAlive uint32) Command {
	var c Command
	c[0], c[4] = Fabrics, FabricsConnect
	c.SetDW(10, uint32(qid)<<16)
	c.SetDW(11, uint32(size-1))
	c.SetDW(12, keepAlive)
	return c
}

// ConnectLen is the size of a Connect's data in bytes (Base 6.3, figure of Connect data).
const ConnectLen = 1024

// DynamicController is the controller id by which a host requests any controller.
const DynamicController = 0xFFFF

// Offsets of the fields of a Connect's data, and the size of a name, which is NUL-terminated.
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

// ParseConnectData decodes a Connect's data, which has ConnectLen bytes.
func ParseConnectData(d []byte) ConnectData {
	return ConnectData{
		HostID:       [16]byte(d[connectHostID:]),
		ControllerID: binary.LittleEndian.Uint16(d[connectControllerID:]),
		Subsystem:    nulTerminated(d[connectSubsystem : connectSubsystem+connectNameLen]),
		Host:         nulTerminated(d[connectHost : connectHost+connectNameLen]),
	}
}

// nulTerminated returns the text before the first NUL byte.
func nulTerminated(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		b = b[:i]
	}
	return string(b)
}
