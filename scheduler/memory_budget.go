package scheduler

const (
	// clientMemoryShare is the share of the configured memory that the data of clients may use. The same data may exist
	// twice, in a request and in the output for a disk server.
	clientMemoryShare = 0.25
	bytesInMB         = 1 << 20
)

// memoryBudget has the memory that the data of all clients uses, and its limit. It decides what may be kept; like a
// decision module it does no I/O and reads no clock.
type memoryBudget struct {
	limit int // bytes
	used  int // bytes
}

// acceptsBody reports whether a body of a size may be kept for a client whose other data uses held bytes. Up to half of
// the limit every client may send bodies. Up to three quarters a client may if it has no other data, so that clients
// that send many requests at once leave room for those that send one at a time.
func (b *memoryBudget) acceptsBody(held, size int) bool {
	return b.used+size <= b.limit/2 || held == 0 && b.used+size <= b.limit*3/4
}

// acceptsReply reports whether a reply, or a request without a large body, may be kept for a client whose other data
// uses held bytes. It leaves the last quarter of the limit to clients that have no other data.
func (b *memoryBudget) acceptsReply(held, size int) bool {
	return b.used+size <= b.limit*3/4 || held == 0 && b.used+size <= b.limit
}

// nearLimit reports whether more than half of the limit is used.
func (b *memoryBudget) nearLimit() bool { return b.used > b.limit/2 }

// setLimit sets the limit for the memory of the configuration.
func (b *memoryBudget) setLimit(memoryMB int) {
	b.limit = int(clientMemoryShare * float64(memoryMB) * bytesInMB)
}
