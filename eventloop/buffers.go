package eventloop

import "math/bits"

// Buffers is a pool of byte slices in powers of two, of one loop. What it keeps for later use is bounded;
// what is out is counted, so that its owner can hold back.
type Buffers struct {
	// MaxKept bounds the bytes kept for later use.
	MaxKept int
	// InUse is how many bytes are out now.
	InUse int
	// Stats, where set, counts the bytes that its users copy.
	Stats *Stats
	kept  int
	free  [32][][]byte
}

// Get returns a slice of n bytes with any content.
func (p *Buffers) Get(n int) []byte {
	if n == 0 {
		return nil
	}
	class := bits.Len(uint(n - 1))
	size := 1 << class
	p.InUse += size
	if list := p.free[class]; len(list) > 0 {
		b := list[len(list)-1]
		list[len(list)-1] = nil
		p.free[class] = list[:len(list)-1]
		p.kept -= size
		return b[:n]
	}
	return make([]byte, size)[:n]
}

// Put takes a slice back that came from Get and is used no more.
func (p *Buffers) Put(b []byte) {
	size := cap(b)
	if size == 0 {
		return
	}
	p.InUse -= size
	if class := bits.Len(uint(size - 1)); p.kept+size <= p.MaxKept {
		p.kept += size
		p.free[class] = append(p.free[class], b)
	}
}

// Copied notes that bytes were copied into or out of a buffer.
func (p *Buffers) Copied(n int) {
	if p.Stats != nil {
		p.Stats.Copied.Add(int64(n))
	}
}
