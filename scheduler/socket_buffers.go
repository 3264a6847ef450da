package scheduler

// The kernel's buffers of sockets count towards the memory of the process. Their sum is bounded, as that of the data in
// the process is.
const (
	// clientBufferShare is the share of the configured memory that the kernel may use for input of clients that is not
	// read, and again for replies that clients have not received.
	clientBufferShare = 0.125
	// The limits, in bytes, of the buffer of one client connection in one direction.
	minClientBuffer = 16 << 10
	maxClientBuffer = 256 << 10
	// serverReceiveBuffer is the limit, in bytes, for input of one connection to a disk server that is not read. What
	// is sent to disk servers is bounded by the memory of clients' requests.
	serverReceiveBuffer = 128 << 10
)

// limitClientBuffers limits the buffers of the client connections that are accepted from now on. Each may use an even
// part of the memory for all that there can be.
//
// Limitation: the end of a client's sending stands behind its input. It is seen only once the rest fits in the buffer.
func (s *Scheduler) limitClientBuffers() {
	memory := clientBufferShare * float64(s.config.MemoryMB) * bytesInMB
	buffer := int(memory) / max(s.descriptorQuota(clientDescriptorShare), 1)
	s.listener.SetBuffers(min(max(buffer, minClientBuffer), maxClientBuffer))
}
