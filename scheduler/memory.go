package scheduler

import "time"

const (
	// clientMemoryShare is the share of the configured memory that the data of clients may use. The same data may exist
	// twice, in a request and in the output for a disk server.
	clientMemoryShare = 0.25
	bytesInMB         = 1 << 20
	// requestOverhead is an estimate of the bytes of the records of a request, in addition to its arguments.
	requestOverhead = 2 << 10
	// smallArgument is the largest argument, in bytes, that is always kept. A body may be larger.
	smallArgument = 1 << 10
	// memoryWarningInterval is the minimum time between two warnings that clients use much memory.
	memoryWarningInterval = 5 * time.Second
)

// memoryBudget has the memory that the data of all clients uses, and its limit.
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

// clientMemory is the memory that the data of one client uses, in bytes.
type clientMemory struct {
	incoming int // arguments of the incomplete command, with their declared sizes
	requests int // commands without a complete reply
	replies  int // complete replies that wait for earlier ones
	output   int // replies that are not written yet
}

// total returns the sum.
func (m *clientMemory) total() int { return m.incoming + m.requests + m.replies + m.output }

// setLimit sets the limit for the memory of the configuration.
func (b *memoryBudget) setLimit(memoryMB int) {
	b.limit = int(clientMemoryShare * float64(memoryMB) * bytesInMB)
}

// acceptBulk counts an argument of a command that begins, and reports whether it may be kept.
func (c *client) acceptBulk(size int) bool {
	held := c.memory.total() - c.memory.incoming
	if size > smallArgument && !c.scheduler.memory.acceptsBody(held, size) {
		return false
	}
	c.memory.incoming += size
	c.updateMemory()
	return true
}

// fitsMemory reports whether the client may keep the data of a request and n more bytes.
func (r *request) fitsMemory(n int) bool {
	c := r.client
	held := c.memory.total() - c.memory.incoming - r.size
	return c.scheduler.memory.acceptsReply(held, n)
}

// updateMemory passes changes of the client's memory to the budget of the scheduler. A closed connection uses none.
func (c *client) updateMemory() {
	s := c.scheduler
	before := c.countedMemory
	if c.memory.output = c.conn.OutputMemory(); c.closed {
		c.memory = clientMemory{}
	}
	c.countedMemory = c.memory.total()
	s.memory.used += c.countedMemory - before
	if s.memory.nearLimit() && c.countedMemory > before {
		s.warnOfMemory()
	}
}

// warnOfMemory logs what the data of clients consists of, at most once in memoryWarningInterval.
func (s *Scheduler) warnOfMemory() {
	now := s.loop.Now()
	if s.memoryWarnedAt > 0 && now-s.memoryWarnedAt < memoryWarningInterval {
		return
	}
	s.memoryWarnedAt = now
	var sum clientMemory
	for c := range s.clients {
		sum.incoming += c.memory.incoming
		sum.requests += c.memory.requests
		sum.replies += c.memory.replies
		sum.output += c.memory.output
	}
	s.log.Warn().
		Int("used", s.memory.used).
		Int("limit", s.memory.limit).
		Int("incoming", sum.incoming).
		Int("requests", sum.requests).
		Int("replies", sum.replies).
		Int("output", sum.output).
		Int("clients", len(s.clients)).
		Msg("clients use much memory")
}
