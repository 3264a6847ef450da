package nvme

import "encoding/binary"

// IdentifyLen is the size of every Identify data structure in bytes (Base 5.17).
const IdentifyLen = 4096

// Controller holds the fields of Identify Controller that vary (Base 5.17.2.1). AppendController sets some other fields
// to constants; the rest is zero.
type Controller struct {
	ID             uint16
	Serial         string
	Model          string
	Subsystem      string
	MaxTransfer    uint8     // MDTS: log2 of the largest transfer in pages of 4 KiB; 0: no limit
	RetryDelay     [3]uint16 // CRDT1 to CRDT3, in units of 100 ms
	Namespaces     uint32    // NN
	MaxCommands    uint16    // MAXCMD
	CapsuleBytes   int       // size of a command capsule in bytes, with its data (the unit of IOCCSZ is 16 bytes)
	KeepAliveUnits uint16    // KAS, in units of 100 ms
	Discovery      bool
}

// AppendController appends the Identify Controller data structure.
func AppendController(dst []byte, c Controller) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, IdentifyLen)...)
	d, le := dst[at:], binary.LittleEndian
	putPadded(d[4:24], c.Serial)
	putPadded(d[24:64], c.Model)
	putPadded(d[64:72], "1")
	d[77] = c.MaxTransfer
	le.PutUint16(d[78:], c.ID)
	le.PutUint32(d[80:], Version)
	d[111] = 1 // CNTRLTYPE: I/O controller
	if c.Discovery {
		d[111] = 2
	}
	for i, v := range c.RetryDelay {
		le.PutUint16(d[128+2*i:], v)
	}
	d[258] = 3                                        // ACL: four Aborts in flight, 0's based
	d[259] = 3                                        // AERL: four Asynchronous Event Requests open, 0's based
	d[261] = 1 << 2                                   // LPA: Get Log Page supports an offset
	le.PutUint16(d[320:], c.KeepAliveUnits)           // KAS
	d[512], d[513] = 0x66, 0x44                       // SQES, CQES: 64 and 16 bytes
	le.PutUint16(d[514:], c.MaxCommands)              // MAXCMD
	le.PutUint32(d[516:], c.Namespaces)               // NN
	le.PutUint32(d[536:], 1|1<<20|1<<2)               // SGLS: bits 0 (SGLs), 2 (keyed SGLs) and 20 (offsets)
	copy(d[768:1023], c.Subsystem)                    // SUBNQN
	le.PutUint32(d[1792:], uint32(c.CapsuleBytes/16)) // IOCCSZ
	le.PutUint32(d[1796:], 1)                         // IORCSZ: 16 bytes
	d[1803] = 1                                       // MSDBD: one descriptor
	return dst
}

// CapsuleBytes returns IOCCSZ of an Identify Controller data structure, converted to bytes.
func CapsuleBytes(d []byte) int { return 16 * int(binary.LittleEndian.Uint32(d[1792:])) }

// RetryDelays returns CRDT1 to CRDT3 of an Identify Controller data structure, in units of 100 ms.
func RetryDelays(d []byte) (v [3]uint16) {
	for i := range v {
		v[i] = binary.LittleEndian.Uint16(d[128+2*i:])
	}
	return v
}

// HostBehaviorLen is the size of the Host Behavior Support data in bytes (Base 5.27.1.18). Byte 0 is ACRE: 1 if the
// host honours the retry delays CRDT1 to CRDT3.
const HostBehaviorLen = 512

// Version is the value of the property VS for revision 2.0 (Base 3.1.3.2).
const Version = 0x00020000

// putPadded copies s into dst and fills the rest with spaces.
func putPadded(dst []byte, s string) {
	for i := copy(dst, s); i < len(dst); i++ {
		dst[i] = ' '
	}
}

// AppendNamespace appends an Identify Namespace data structure (NVM 4.1.5.1). blocks is the size of the namespace, and
// blockShift is log2 of the block size in bytes.
func AppendNamespace(dst []byte, blocks uint64, blockShift uint8) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, IdentifyLen)...)
	d, le := dst[at:], binary.LittleEndian
	le.PutUint64(d[0:], blocks)
	le.PutUint64(d[8:], blocks)
	le.PutUint64(d[16:], blocks)
	le.PutUint32(d[128:], uint32(blockShift)<<16) // LBAF0
	return dst
}

// ParseNamespace returns the size in blocks, and log2 of the block size in bytes, from an Identify Namespace data
// structure.
func ParseNamespace(d []byte) (blocks uint64, blockShift uint8) {
	return binary.LittleEndian.Uint64(d), uint8(binary.LittleEndian.Uint32(d[128+4*int(d[26]&0xF):]) >> 16)
}

// AppendActiveNamespaces appends the active namespace list (Base 5.17.2.2): those of ids that are greater than after.
// The ids must be in ascending order.
func AppendActiveNamespaces(dst []byte, after uint32, ids []uint32) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, IdentifyLen)...)
	d := dst[at:]
	for _, id := range ids {
		if id > after && len(d) >= 4 {
			binary.LittleEndian.PutUint32(d, id)
			d = d[4:]
		}
	}
	return dst
}

// ParseActiveNamespaces returns the ids in an active namespace list.
func ParseActiveNamespaces(d []byte) (ids []uint32) {
	for ; len(d) >= 4; d = d[4:] {
		id := binary.LittleEndian.Uint32(d)
		if id == 0 {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// AppendDescriptors appends the namespace identification descriptor list (Base 5.17.2.3) with one UUID.
func AppendDescriptors(dst []byte, uuid [16]byte) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, IdentifyLen)...)
	dst[at], dst[at+1] = 3, 16 // NIDT UUID, NIDL
	copy(dst[at+4:], uuid[:])
	return dst
}

// AppendDiscovery appends a discovery log page (Base 5.16.1.23) with one entry: the subsystem at an IPv4 address and
// TCP port.
func AppendDiscovery(dst []byte, subsystem, address, port string) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, 2048)...)
	d, le := dst[at:], binary.LittleEndian
	le.PutUint64(d[8:], 1) // NUMREC; GENCTR and RECFMT stay 0
	e := d[1024:]
	e[0], e[1], e[2] = 3, 1, 2 // TRTYPE TCP, ADRFAM IPv4, SUBTYPE NVM subsystem
	le.PutUint16(e[6:], DynamicController)
	le.PutUint16(e[8:], 32) // ASQSZ
	putPadded(e[32:64], port)
	copy(e[256:512], subsystem)
	putPadded(e[512:768], address)
	return dst
}
