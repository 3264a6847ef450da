package disk

import "encoding/binary"

// storage holds the blocks that have been written.
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

// write stores data in consecutive blocks that start at lba. The size of data is a multiple of the block size.
func (s *storage) write(nsid uint32, lba uint64, data []byte) {
	for at := 0; at < len(data); at += s.blockSize {
		id := blockID{nsid, lba + uint64(at/s.blockSize)}
		s.blocks[id] = append(s.blocks[id][:0], data[at:at+s.blockSize]...)
	}
}

// read fills data with consecutive blocks that start at lba. The size of data is a multiple of the block size.
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

// Fill writes the initial content of a block: its namespace ID and its LBA, repeated. A server returns this content for
// a block that has never been written.
func Fill(block []byte, nsid uint32, lba uint64) {
	const patternSize = 16
	for at := 0; at+patternSize <= len(block); at += patternSize {
		binary.LittleEndian.PutUint64(block[at:], uint64(nsid))
		binary.LittleEndian.PutUint64(block[at+8:], lba)
	}
}
