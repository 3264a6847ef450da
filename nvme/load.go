package nvme

import "encoding/binary"

// Load is a disk server's load report. It travels in the result dwords of Read and Write, which the
// NVM command set leaves reserved, and in the vendor specific log page C0h: docs/protocol.md.
type Load struct {
	Latency        uint16 // recent service time without waiting, in tenths of a millisecond
	Inflight       uint16 // ops it holds
	PlanUsage      uint16 // 1 + percent of the plan's rate that the volume was served everywhere; 0: not reported
	UnitsElsewhere uint16 // units it did for the volume for other schedulers since its last answer to this one
}

// Dwords packs a load into the result dwords.
func (l Load) Dwords() (dw0, dw1 uint32) {
	return uint32(l.Latency) | uint32(l.Inflight)<<16, uint32(l.PlanUsage) | uint32(l.UnitsElsewhere)<<16
}

// Load reads the load report in the result dwords of a Read or Write from a disk server.
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
