package eventloop

import "math/bits"

// Buffers is a pool of byte slices whose capacities are powers of two. It bounds what it keeps for later use and counts
// what is in use, so that its owner can limit that. It must be used on one loop only.
type Buffers struct {
	// MaxKept is the most that is kept for later use, in bytes.
	MaxKept int
	// InUse is the capacity of the slices that Get has returned and Put has not taken back, in bytes.
	InUse int
	// Stats, where set, counts the bytes that users of the pool copy.
	Stats *Stats

	kept int                   // bytes
	free [sizeClasses][][]byte // by the power of two that is their capacity
}

// sizeClasses is the number of powers of two that the pool distinguishes: the largest slice has 2 GiB.
const sizeClasses = 32

// Get returns a slice of n bytes, whose content is undefined.
func (pool *Buffers) Get(n int) []byte {
	if n == 0 {
		return nil
	}
	class := bits.Len(uint(n - 1))
	size := 1 << class
	pool.InUse += size
	free := pool.free[class]
	if len(free) == 0 {
		return make([]byte, size)[:n]
	}
	last := len(free) - 1
	b := free[last]
	free[last] = nil
	pool.free[class] = free[:last]
	pool.kept -= size
	return b[:n]
}

// Put takes back a slice that came from Get. The caller must not use it any more.
func (pool *Buffers) Put(b []byte) {
	size := cap(b)
	if size == 0 {
		return
	}
	pool.InUse -= size
	if pool.kept+size > pool.MaxKept {
		return
	}
	class := bits.Len(uint(size - 1))
	pool.kept += size
	pool.free[class] = append(pool.free[class], b)
}

// Copied counts n bytes that were copied into or out of a buffer.
func (pool *Buffers) Copied(n int) {
	if pool.Stats != nil {
		pool.Stats.Copied.Add(int64(n))
	}
}
