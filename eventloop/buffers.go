package eventloop

import "math/bits"

// Buffers is a pool of byte slices whose capacities are powers of two. It limits the bytes that it keeps for reuse, and
// counts the bytes in use so that its owner can limit them. It must be used on one loop only.
type Buffers struct {
	// MaxKept is the maximum total capacity of the slices kept for reuse, in bytes.
	MaxKept int
	// InUse is the total capacity, in bytes, of the slices that Get has returned and that Put has not received back.
	InUse int
	// Stats, if set, counts the bytes that users of the pool copy.
	Stats *Stats

	kept int                   // total capacity of the slices in free, in bytes
	free [sizeClasses][][]byte // indexed by the base-2 logarithm of the capacity
}

// sizeClasses is the number of size classes, one for each power of two. The largest slice has 2 GiB.
const sizeClasses = 32

// Get returns a slice of n bytes with undefined content.
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

// Put returns to the pool a slice that came from Get. The caller must not use the slice afterwards.
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
