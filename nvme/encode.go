package nvme

import "encoding/binary"

// appendHeader appends a header of headerLen bytes with its type, flags and header length. The other bytes are zero.
func appendHeader(dst []byte, kind, flags uint8, headerLen int) []byte {
	n := len(dst)
	dst = append(dst, make([]byte, headerLen)...)
	dst[n], dst[n+1], dst[n+2] = kind, flags, uint8(headerLen)
	return dst
}

// finishPDU appends digests, padding and data to the header dst[start:], and sets the digest flags, the data offset and
// the PDU length.
func (f *Framing) finishPDU(dst []byte, start int, data []byte) []byte {
	h := dst[start:]
	headerLen := len(h)
	size := headerLen
	if f.HeaderDigest {
		h[1] |= FlagHeaderDigest
		size += digestLen
	}
	dataOffset := 0
	if len(data) > 0 {
		unit := (int(f.Align) + 1) * 4
		dataOffset = (size + unit - 1) / unit * unit
		h[3] = uint8(dataOffset)
		size = dataOffset + len(data)
		if f.DataDigest {
			h[1] |= FlagDataDigest
			size += digestLen
		}
	}
	binary.LittleEndian.PutUint32(h[4:], uint32(size))
	if f.HeaderDigest {
		dst = binary.LittleEndian.AppendUint32(dst, CRC32C(dst[start:start+headerLen]))
	}
	if len(data) > 0 {
		var zero [MaxDataOffset + 1]byte
		dst = append(dst, zero[:dataOffset-(len(dst)-start)]...)
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
	dst = appendHeader(dst, kind, 0, icHeaderLen)
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
	binary.LittleEndian.PutUint32(h[4:], icHeaderLen)
	return dst
}

// AppendTerm appends the TermReq for an error. kind is TypeH2CTermReq or TypeC2HTermReq.
func AppendTerm(dst []byte, kind uint8, e *FatalError) []byte {
	start := len(dst)
	dst = appendHeader(dst, kind, 0, termHeaderLen)
	h := dst[start:]
	binary.LittleEndian.PutUint16(h[8:], e.Status)
	binary.LittleEndian.PutUint32(h[10:], e.Info)
	binary.LittleEndian.PutUint32(h[4:], uint32(termHeaderLen+len(e.Header)))
	return append(dst, e.Header...)
}

// AppendCommand appends a CapsuleCmd, with in-capsule data if data is not empty.
func (f *Framing) AppendCommand(dst []byte, c *Command, data []byte) []byte {
	start := len(dst)
	dst = appendHeader(dst, TypeCapsuleCmd, 0, commandCapsuleLen)
	copy(dst[start+commonHeaderLen:], c[:])
	return f.finishPDU(dst, start, data)
}

// AppendCompletion appends a CapsuleResp.
func (f *Framing) AppendCompletion(dst []byte, c *Completion) []byte {
	start := len(dst)
	dst = appendHeader(dst, TypeCapsuleResp, 0, responseCapsuleLen)
	copy(dst[start+commonHeaderLen:], c[:])
	return f.finishPDU(dst, start, nil)
}

// DataHeader holds the fields of the header of an H2CData or C2HData PDU, without its lengths.
type DataHeader struct {
	Type   uint8
	Flags  uint8 // FlagLast and FlagSuccess
	CID    uint16
	TTAG   uint16
	Offset int // in bytes, from the start of the command's data
}

// AppendData appends one H2CData or C2HData PDU.
func (f *Framing) AppendData(dst []byte, h DataHeader, data []byte) []byte {
	start := len(dst)
	dst = appendHeader(dst, h.Type, h.Flags, dataHeaderLen)
	putData(dst[start:], h.CID, h.TTAG, uint32(h.Offset), uint32(len(data)))
	return f.finishPDU(dst, start, data)
}

// AppendR2T appends an R2T for length bytes from offset on.
func (f *Framing) AppendR2T(dst []byte, cid, ttag uint16, offset, length int) []byte {
	start := len(dst)
	dst = appendHeader(dst, TypeR2T, 0, dataHeaderLen)
	putData(dst[start:], cid, ttag, uint32(offset), uint32(length))
	return f.finishPDU(dst, start, nil)
}

func putData(h []byte, cid, ttag uint16, offset, length uint32) {
	binary.LittleEndian.PutUint16(h[8:], cid)
	binary.LittleEndian.PutUint16(h[10:], ttag)
	binary.LittleEndian.PutUint32(h[12:], offset)
	binary.LittleEndian.PutUint32(h[16:], length)
}
