// Package heap measures what a call allocates, for tests that hold parsers to a bound.
package heap

import "runtime/metrics"

// Bytes is how much f allocated, to within a span of the allocator (some 10 KiB a size class). Other goroutines'
// allocations count too.
func Bytes(f func()) uint64 {
	before := read()
	f()
	return read() - before
}

func read() uint64 {
	s := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}
