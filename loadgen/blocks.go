package loadgen

import "honeyplank/settings"

// maxWriteHistory bounds the writes that are kept to be read back.
const maxWriteHistory = 1000

// blockAllocator gives out the blocks of extents in order, so that each attempt of an op has blocks of its own and is
// known by its place. An extent that is used up begins again.
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

// next returns the first of a number of blocks of an extent.
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

// writeHistory has writes that succeeded, to be read back. The newest is the last.
type writeHistory []write

func (h *writeHistory) add(w write) {
	if len(*h) < maxWriteHistory {
		*h = append(*h, w)
	}
}

// hasNewest reports whether the newest write has a number of bytes.
func (h writeHistory) hasNewest(bytes int) bool {
	return len(h) > 0 && len(h[len(h)-1].data) == bytes
}

// takeNewest removes the newest write.
func (h *writeHistory) takeNewest() write {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
