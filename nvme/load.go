package nvme

import "encoding/binary"

// Load is the load report of a disk server. It is sent in the result dwords of Read and Write, which the NVM command
// set reserves, and in the vendor specific log page C0h; see docs/protocol.md.
type Load struct {
	Latency        uint16 // recent service time without queueing, in tenths of a millisecond
	Inflight       uint16 // number of ops in flight at the server
	PlanUsage      uint16 // 1 + the volume's usage on all servers, in percent of its plan's rate; 0: not reported
	UnitsElsewhere uint16 // units served for other schedulers of the volume since the last answer to this scheduler
}

// Dwords encodes a load report as the result dwords of a completion.
func (l Load) Dwords() (dw0, dw1 uint32) {
	return uint32(l.Latency) | uint32(l.Inflight)<<16, uint32(l.PlanUsage) | uint32(l.UnitsElsewhere)<<16
}

// Load decodes the load report in the result dwords of a disk server's completion of a Read or Write.
func (c *Completion) Load() Load {
	a, b := c.DW0(), c.DW1()
	return Load{uint16(a), uint16(a >> 16), uint16(b), uint16(b >> 16)}
}

// LoadLen is the size of the load log page in bytes: Latency and Inflight of Load, then four reserved bytes.
const LoadLen = 8

// AppendLoad appends the load log page.
func AppendLoad(dst []byte, l Load) []byte {
	dst = binary.LittleEndian.AppendUint16(dst, l.Latency)
	dst = binary.LittleEndian.AppendUint16(dst, l.Inflight)
	return append(dst, 0, 0, 0, 0)
}

// ParseLoad decodes a load log page, which has LoadLen bytes.
func ParseLoad(b []byte) Load {
	return Load{Latency: binary.LittleEndian.Uint16(b), Inflight: binary.LittleEndian.Uint16(b[2:])}
}
