// Package heap measures the bytes that a call allocates. Tests use it to bound the allocations of parsers; programs do
// not use it. Bytes may be called on any goroutine, but counts the allocations of all goroutines.
package heap

import "runtime/metrics"

// Bytes returns the number of bytes that call allocated, to within one span of the allocator (about 10 KiB per size
// class). It includes the allocations of other goroutines.
func Bytes(call func()) uint64 {
	before := allocatedBytes()
	call()
	return allocatedBytes() - before
}

// allocatedBytes returns the number of bytes that the process has allocated since its start.
func allocatedBytes() uint64 {
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}
