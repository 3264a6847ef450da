package scheduler

import "time"

const (
	// clientMemoryShare is the share of the configured memory that the data of clients may use. The same data may exist
	// twice, in a request and in the output for a disk server.
	clientMemoryShare = 0.25
	bytesInMB         = 1 << 20
	// requestOverhead is an estimate of the bytes of the records of a request, in addition to its arguments.
	requestOverhead = 2 << 10
	// memoryWarningInterval is the minimum time between two warnings that clients use much memory.
	memoryWarningInterval = 5 * time.Second
)

// memoryBudget has the memory that the data of all clients uses, and its limit.
type memoryBudget struct {
	limit int // bytes
	used  int // bytes
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
