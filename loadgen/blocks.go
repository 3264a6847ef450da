package loadgen

import "honeyplank/settings"

// maxWriteHistory is the largest number of writes that a writeHistory holds.
const maxWriteHistory = 1000

// blockAllocator allocates the blocks of each extent in ascending order. Each attempt of an op gets its own blocks, so
// that its LBA identifies it. When an extent has too few blocks left, allocation restarts at its first block.
type blockAllocator struct {
	perExtent uint64 // blocks
	used      map[extentID]uint64
}

type extentID struct {
	nsid   uint32
	number uint64
}

func newBlockAllocator(volumes *settings.Volumes) *blockAllocator {
	return &blockAllocator{perExtent: uint64(volumes.Extent / volumes.Block), used: map[extentID]uint64{}}
}

// next allocates consecutive blocks of an extent and returns the address of the first.
func (a *blockAllocator) next(extent extentID, blocks int) (lba uint64) {
	used := a.used[extent]
	if used+uint64(blocks) > a.perExtent {
		used = 0
	}
	a.used[extent] = used + uint64(blocks)
	return extent.number*a.perExtent + used
}

// write is a write that succeeded.
type write struct {
	volume *settings.Volume
	lba    uint64
	data   []byte
}

// writeHistory holds up to maxWriteHistory writes that succeeded and have not been read back. The newest is the last.
type writeHistory []write

// add adds a write, unless the history is full.
func (h *writeHistory) add(w write) {
	if len(*h) < maxWriteHistory {
		*h = append(*h, w)
	}
}

// hasNewest reports whether the newest write has the given length in bytes.
func (h writeHistory) hasNewest(bytes int) bool {
	return len(h) > 0 && len(h[len(h)-1].data) == bytes
}

// takeNewest removes the newest write and returns it. The history must not be empty.
func (h *writeHistory) takeNewest() write {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
