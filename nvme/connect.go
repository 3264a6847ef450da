package nvme

import (
	"bytes"
	"encoding/binary"
)

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
		Subsystem:    nulTerminated(d[connectSubsystem : connectSubsystem+connectNameLen]),
		Host:         nulTerminated(d[connectHost : connectHost+connectNameLen]),
	}
}

// nulTerminated is a name without the zeros behind it.
func nulTerminated(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		b = b[:i]
	}
	return string(b)
}
