package scheduler

import (
	"time"

	"honeyplank/resp"
)

// Timeouts of client connections, and the eviction of idle ones when descriptors are short.
const (
	// commandTimeout is the idle time before the first op, and the time for the rest of a command. At least half of it
	// is left for the rest of a command after a pause of reading.
	commandTimeout = 2 * time.Second

	// The idle connection of a client that has sent ops stays open for maxIdle. If such clients hold more than an
	// eighth of all descriptors, it stays open for reducedIdle, and if they hold more than a quarter, for minIdle.
	maxIdle     = time.Minute
	reducedIdle = 2 * time.Second
	minIdle     = 500 * time.Millisecond

	// maxEvictionChecks is the number of connections that are examined to find one to evict.
	maxEvictionChecks = 8
)

// idleTimeout returns how long a connection may be idle, which is shorter if there are many clients. Clients that never
// sent an op do not count, so that they cannot cause other clients to lose their connections.
func (s *Scheduler) idleTimeout() time.Duration {
	switch {
	case s.activeClients > s.config.Sockets/4:
		return minIdle
	case s.activeClients > s.config.Sockets/8:
		return reducedIdle
	}
	return maxIdle
}

// evictIdleClient closes the longest idle connection that never sent an op. If there is none, it closes the longest
// idle one of the others. It reports whether it closed one. A connection with unread input is skipped if another can be
// evicted: closing it would reset the connection and discard replies that the client has not read, and the input may be
// a first op. If all examined connections have unread input, the longest idle one that never sent an op is closed.
func (s *Scheduler) evictIdleClient() bool {
	var unread *client
	for range maxEvictionChecks {
		candidate := s.evictionCandidate()
		switch {
		case candidate == nil:
			return false
		case candidate.malformed || candidate.conn.NoInputPending():
			candidate.conn.Close()
			return true
		case unread == nil && !candidate.hasSentOp:
			unread = candidate
		}
		candidate.lastActivity = s.loop.Now()
	}
	if unread != nil {
		unread.conn.Close()
	}
	return unread != nil
}

// evictionCandidate returns the first client to evict, or nil if none may be evicted.
func (s *Scheduler) evictionCandidate() *client {
	var candidate *client
	for c := range s.clients {
		if c.mayBeEvicted() && (candidate == nil || c.evictedBefore(candidate)) {
			candidate = c
		}
	}
	return candidate
}

// mayBeEvicted reports whether the connection may be closed to free its descriptor for another. A client whose input
// violates the protocol is owed an error or a close.
func (c *client) mayBeEvicted() bool {
	if c.malformed && len(c.pending) == 0 {
		return true
	}
	if c.isBusy() || c.closing {
		return false
	}
	return !c.hasSentOp || !c.scheduler.shuttingDown && c.scheduler.loop.Now()-c.lastActivity >= minIdle
}

// evictedBefore reports whether c is evicted before other: clients whose input violates the protocol first, then those
// that never sent an op, then the longest idle.
func (c *client) evictedBefore(other *client) bool {
	if c.malformed != other.malformed {
		return c.malformed
	}
	if c.hasSentOp != other.hasSentOp {
		return !c.hasSentOp
	}
	return c.lastActivity < other.lastActivity
}

// checkClients evicts idle clients if there are more than a new configuration allows, and enforces the timeouts of the
// others.
func (s *Scheduler) checkClients() {
	for s.clientConnCount > s.descriptorQuota(clientDescriptorShare) && s.evictIdleClient() {
	}
	idleTimeout := s.idleTimeout()
	for c := range s.clients {
		c.checkTimeouts(idleTimeout)
	}
}

// checkTimeouts closes the connection if its client does not complete a command, does not read its replies or is idle
// for too long. Before the first op of a client, commandTimeout is too long. Otherwise it resumes reading.
func (c *client) checkTimeouts(idleTimeout time.Duration) {
	now := c.scheduler.loop.Now()
	switch idle := now - c.lastActivity; {
	case c.closing:
	case c.commandStarted > 0 && !c.paused && now-c.commandStarted > commandTimeout:
		c.protocolError(&resp.ProtocolError{Reason: "the rest of a command does not come"})
	case c.isBusy() && idle <= maxIdle:
		c.resumeReading()
	case len(c.pending) > 0: // the pending ops have timeouts of their own
	case c.conn.UnsentBytes() > 0 && idle > maxIdle: // the client does not read its replies
		c.conn.Close()
	case !c.hasSentOp && idle > commandTimeout: // not closed gracefully, since the descriptor may be needed
		if c.paused || c.conn.NoInputPending() { // otherwise the pending input is read first
			c.conn.Close()
		}
	case c.scheduler.shuttingDown: // the client could not connect again
	case c.hasSentOp && idle > idleTimeout:
		if c.conn.NoInputPending() {
			c.closing = true
			c.conn.CloseGracefully()
		}
	default:
		c.resumeReading()
	}
}
