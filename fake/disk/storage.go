package disk

import "encoding/binary"

// storage is the blocks that were written.
type storage struct {
	blockSize int // bytes
	blocks    map[blockID][]byte
}

type blockID struct {
	nsid uint32
	lba  uint64
}

func newStorage(blockSize int) *storage {
	return &storage{blockSize: blockSize, blocks: map[blockID][]byte{}}
}

// write stores blocks from lba on.
func (s *storage) write(nsid uint32, lba uint64, data []byte) {
	for at := 0; at < len(data); at += s.blockSize {
		id := blockID{nsid, lba + uint64(at/s.blockSize)}
		s.blocks[id] = append(s.blocks[id][:0], data[at:at+s.blockSize]...)
	}
}

// read fills data with blocks from lba on.
func (s *storage) read(nsid uint32, lba uint64, data []byte) {
	for at := 0; at < len(data); at += s.blockSize {
		id := blockID{nsid, lba + uint64(at/s.blockSize)}
		if block, ok := s.blocks[id]; ok {
			copy(data[at:], block)
		} else {
			Fill(data[at:at+s.blockSize], id.nsid, id.lba)
		}
	}
}

// Fill writes what a block has before its first write: its namespace and number, again and again.
func Fill(block []byte, nsid uint32, lba uint64) {
	const patternSize = 16
	for at := 0; at+patternSize <= len(block); at += patternSize {
		binary.LittleEndian.PutUint64(block[at:], uint64(nsid))
		binary.LittleEndian.PutUint64(block[at+8:], lba)
	}
}
