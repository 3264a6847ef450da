package scheduler

import "time"

const (
	// requestOverhead is an estimate of the bytes of the records of a request, in addition to its arguments.
	requestOverhead = 2 << 10
	// smallArgument is the largest argument, in bytes, that is always kept. A body may be larger.
	smallArgument = 1 << 10
	// memoryWarningInterval is the minimum time between two warnings that clients use much memory.
	memoryWarningInterval = 5 * time.Second
)

// clientMemory is the memory that the data of one client uses, in bytes.
type clientMemory struct {
	unhandled int // input that is read and not handled
	incoming  int // arguments of the incomplete command, with their declared sizes
	requests  int // commands without a complete reply
	replies   int // complete replies that wait for earlier ones
	output    int // replies that are not written yet
}

// total returns the sum.
func (m *clientMemory) total() int {
	return m.unhandled + m.incoming + m.requests + m.replies + m.output
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
		sum.unhandled += c.memory.unhandled
		sum.incoming += c.memory.incoming
		sum.requests += c.memory.requests
		sum.replies += c.memory.replies
		sum.output += c.memory.output
	}
	s.log.Warn().
		Int("used", s.memory.used).
		Int("limit", s.memory.limit).
		Int("unhandled", sum.unhandled).
		Int("incoming", sum.incoming).
		Int("requests", sum.requests).
		Int("replies", sum.replies).
		Int("output", sum.output).
		Int("clients", len(s.clients)).
		Msg("clients use much memory")
}
