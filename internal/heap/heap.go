// Package heap measures what a call allocates, for tests that hold parsers to a bound. Programs don't use it. Bytes may
// be called on any goroutine, but counts what all of them allocate.
package heap

import "runtime/metrics"

// Bytes is how much call allocated, to within a span of the allocator (some 10 KiB a size class). Other goroutines'
// allocations count too.
func Bytes(call func()) uint64 {
	before := allocatedBytes()
	call()
	return allocatedBytes() - before
}

// allocatedBytes is how much the process has allocated since its start.
func allocatedBytes() uint64 {
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}
