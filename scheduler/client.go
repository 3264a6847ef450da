package scheduler

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

// Limits of the connections of clients. Those of ops are the decision module's.
const (
	maxCommandLine  = 64                   // bytes of a line: the head of an array or of an argument
	maxArguments    = 16                   // of a command
	maxBody         = 64 << 10             // bytes of a command's body and of a value
	maxOtherBytes   = 4096                 // of a command without its body
	maxPending      = 32                   // commands of one connection without a reply; more stay unread
	maxReplyBacklog = maxPending * maxBody // bytes of pending and unsent replies; beyond it no more commands are read

	commandTimeout = 2 * time.Second        // for the first command, and for the rest of an unfinished one
	errorReadTime  = 200 * time.Millisecond // for the client to read an error before the connection closes

	// Idle connections stay open for maxIdle while there are few; for reducedIdle once clients that have sent ops hold
	// more than an eighth of all descriptors, and for minIdle once they hold more than a quarter.
	maxIdle     = time.Minute
	reducedIdle = 2 * time.Second
	minIdle     = 500 * time.Millisecond

	// maxTimeoutFactor times the settings' op timeout is the longest timeout of an op.
	maxTimeoutFactor = 100

	// Clients that send no ops are limited in their use of the loop: maxCommandBatch commands of one of them are
	// handled in a row, initialReadSize bytes are read at a time, and all of them together get 1/throttleFactor of the
	// loop's time. Pauses shorter than minThrottle are added up; none is longer than maxThrottle.
	maxCommandBatch = 64
	initialReadSize = 16 << 10
	throttleFactor  = 4
	minThrottle     = 2 * time.Millisecond
	maxThrottle     = time.Second

	// maxEvictionChecks is how many connections are examined for one to evict.
	maxEvictionChecks = 8
)

// commandLimits are the limits of a command.
var commandLimits = resp.Limits{
	Line:         maxCommandLine,
	BulkString:   maxBody,
	Items:        maxArguments,
	Depth:        1,
	Total:        maxBody + maxOtherBytes,
	CommandsOnly: true,
}

// client is one connection of a client.
type client struct {
	scheduler      *Scheduler
	conn           *eventloop.Conn
	reader         resp.Reader
	pending        []*request    // commands whose reply has not been written, in order
	lastActivity   time.Duration // time of the last complete command or reply
	commandStarted time.Duration // when the first part of an unfinished command came; 0: there is none
	hasSentOp      bool          // an op of it has been admitted
	paused         bool          // it is not read
	throttled      bool          // it is paused for its use of the loop
	loopTime       time.Duration // loop time used since its last op or throttling
	closing        bool          // no more of its commands are handled
	quitRequested  bool          // it has sent QUIT
}

// accept takes a connection of a client, or rejects it with nil if there is no descriptor for it and no idle connection
// to evict.
func (s *Scheduler) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clientConnCount >= s.descriptorQuota(clientDescriptorShare) && !s.evictIdleClient() {
		s.rejectedConns++
		return nil
	}
	s.clientConnCount++
	now := s.loop.Now()
	c := &client{scheduler: s, conn: conn, reader: resp.Reader{Limits: commandLimits}, lastActivity: now}
	conn.NotifyHalfClose, conn.MaxReadBytes = true, initialReadSize
	conn.OnClosed = func() {
		s.clientConnCount--
		if c.hasSentOp {
			s.activeClients--
		}
		delete(s.clients, c)
		s.stopIfIdle()
	}
	s.clients[c] = true
	return c
}

// idleTimeout is how long a connection may be idle: the more clients there are, the shorter. Clients that never sent an
// op do not count, so that any number of those costs no other client its connection.
func (s *Scheduler) idleTimeout() time.Duration {
	switch {
	case s.activeClients > s.config.Sockets/4:
		return minIdle
	case s.activeClients > s.config.Sockets/8:
		return reducedIdle
	}
	return maxIdle
}

// evictIdleClient closes the longest idle connection that never sent an op, else the longest idle of the others, and
// reports whether there was one. A connection with unread input is spared if another can be evicted: closing it resets
// the connection, which discards replies that the client has not read, and the input may be a first op. If all of them
// have unread input, the longest idle one that never sent an op is closed nevertheless.
func (s *Scheduler) evictIdleClient() bool {
	var unread *client
	for range maxEvictionChecks {
		candidate := s.evictionCandidate()
		switch {
		case candidate == nil:
			return false
		case candidate.conn.NoInputPending():
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

// evictionCandidate returns the first client to evict; nil: none may be evicted.
func (s *Scheduler) evictionCandidate() *client {
	var candidate *client
	for c := range s.clients {
		if c.mayBeEvicted() && (candidate == nil || c.evictedBefore(candidate)) {
			candidate = c
		}
	}
	return candidate
}

// mayBeEvicted reports whether the connection may be closed for another.
func (c *client) mayBeEvicted() bool {
	if c.isBusy() || c.closing {
		return false
	}
	return !c.hasSentOp || !c.scheduler.shuttingDown && c.scheduler.loop.Now()-c.lastActivity >= minIdle
}

// evictedBefore reports whether c is evicted before other: clients that never sent an op first, then the longest idle.
func (c *client) evictedBefore(other *client) bool {
	if c.hasSentOp != other.hasSentOp {
		return !c.hasSentOp
	}
	return c.lastActivity < other.lastActivity
}

// isBusy reports whether a connection is in use: it waits for a reply or, if it has sent ops, for the rest of a reply
// or of a command. Without an op these do not count: clients that send PING and read no reply would hold all
// descriptors.
func (c *client) isBusy() bool {
	return len(c.pending) > 0 || c.hasSentOp && (c.conn.UnsentBytes() > 0 || c.commandStarted > 0)
}

// replyBacklog is the most bytes of replies that the client has yet to read.
func (c *client) replyBacklog() int { return c.conn.UnsentBytes() + len(c.pending)*maxBody }

// Opened does nothing: accepted connections are open already.
func (c *client) Opened(*eventloop.Conn) {}

// Input handles the commands in b and returns how many bytes it has used.
func (c *client) Input(_ *eventloop.Conn, b []byte) (used int) {
	s := c.scheduler
	now, admitted := s.loop.Now(), s.tracker.Counts.Admitted
	used, commands, err := c.readCommands(b, now)
	if err != nil {
		c.protocolError(err)
		return len(b)
	}
	switch {
	case s.tracker.Counts.Admitted > admitted:
		c.loopTime = 0
	case !c.closing && !s.admissionClosed:
		c.loopTime += s.loop.Now() - now
		if commands > 0 { // an unfinished command may be its first op
			c.throttleAfter(len(b) - used)
		}
	}
	if s.admissionClosed {
		c.conn.Pause()
		c.flushReplies()
	}
	if c.closing {
		return len(b)
	}
	return used
}

// readCommands handles the complete commands in b until a limit of the client is reached. An error says that b does not
// follow the protocol.
func (c *client) readCommands(b []byte, now time.Duration) (used, commands int, err error) {
	s := c.scheduler
	admitted := s.tracker.Counts.Admitted
	for used < len(b) && !c.closing {
		if commands >= maxCommandBatch && s.tracker.Counts.Admitted == admitted && !s.admissionClosed {
			break
		}
		if c.replyBacklog() >= maxReplyBacklog && !s.admissionClosed {
			c.paused = true
			c.conn.Pause()
			break
		}
		frame, err := c.reader.Next(b[used:])
		used += frame.Used
		if err != nil {
			return used, commands, err
		}
		if !frame.Complete {
			if c.commandStarted == 0 {
				c.commandStarted = now
			}
			break
		}
		c.commandStarted, c.lastActivity = 0, now
		c.handleCommand(min(c.conn.ReceivedAfter(), now), frame.Value.List)
		commands++
	}
	return used, commands, nil
}

// throttleAfter pauses reading from a client after commands without an op, with unread bytes of input left. It pauses
// for a multiple of the loop time that these took, so that all such clients together leave most of the loop's time to
// others. It guards ops against floods of other commands, and delays a client whose first op comes behind many commands
// by some milliseconds for each throttled client.
func (c *client) throttleAfter(unread int) {
	pause := c.loopTime * throttleFactor * time.Duration(c.scheduler.throttledClients+1)
	if unread == 0 && pause < minThrottle {
		return
	}
	c.paused, c.throttled, c.loopTime = true, true, 0
	c.scheduler.throttledClients++
	c.conn.Pause()
	c.scheduler.loop.Schedule(c.scheduler.loop.Now()+min(pause, maxThrottle), func() {
		c.throttled = false
		c.scheduler.throttledClients--
		c.resumeReading()
	})
}

// Closed is called when the client has closed the connection or it broke.
func (c *client) Closed(*eventloop.Conn, error) { c.disconnect() }

// disconnect reports the client of each unanswered op as gone.
func (c *client) disconnect() {
	c.closing = true
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if !r.done {
			r.done = true
			c.scheduler.tracker.ClientGone(r.id)
		}
	}
}

// protocolError replies to input that does not follow the protocol, behind the pending replies, and closes the
// connection: input behind it cannot be read either.
func (c *client) protocolError(err error) {
	c.scheduler.protocolErrors++
	text := "ERR Protocol error"
	var protocol *resp.ProtocolError
	if errors.As(err, &protocol) {
		text += ": " + protocol.Reason
	}
	if len(c.pending) > 0 { // flushReplies closes the connection behind the last one
		c.closing = true
		c.conn.Pause()
		c.pending = append(c.pending, &request{client: c, done: true, reply: resp.AppendError(nil, text)})
		return
	}
	c.closing = true
	c.conn.Output = resp.AppendError(c.conn.Output, text)
	c.conn.CloseAfterFlush(errorReadTime)
}

// flushReplies writes the replies that are complete, in the order of their commands, and closes the connection if it
// was to close behind the last one.
func (c *client) flushReplies() {
	for len(c.pending) > 0 && c.pending[0].done {
		c.conn.Output = append(c.conn.Output, c.pending[0].reply...)
		c.pending[0] = nil
		c.pending = c.pending[1:]
	}
	if len(c.pending) == 0 {
		c.pending = nil
	}
	c.lastActivity = c.scheduler.loop.Now()
	switch {
	case c.quitRequested && len(c.pending) == 0:
		c.conn.CloseGracefully()
	case c.closing && len(c.pending) == 0: // the last one was a protocol error
		c.conn.CloseAfterFlush(errorReadTime)
	case c.scheduler.admissionClosed && len(c.pending) == 0:
		c.closing = true
		c.conn.CloseGracefully()
	default:
		c.conn.Send()
		c.resumeReading()
	}
}

// closeWhenAnswered stops reading and closes the connection once its commands have their replies. Commands that are
// buffered and not handled yet are rejected: without a reply the client would not know that they never ran.
func (c *client) closeWhenAnswered() {
	if c.closing {
		return
	}
	c.paused = true
	if c.conn.BufferedBytes() > 0 {
		c.conn.Pause()
		c.conn.Resume() // passes the buffered commands to Input, which rejects them
	} else if c.conn.Pause(); len(c.pending) == 0 {
		c.closing = true
		c.conn.CloseGracefully()
	}
}

// resumeReading resumes reading from a paused client once nothing prevents it and half of the backlog has been written.
func (c *client) resumeReading() {
	if c.paused && !c.throttled && !c.closing && !c.scheduler.admissionClosed && c.replyBacklog() < maxReplyBacklog/2 {
		c.paused = false
		c.conn.Resume()
	}
}

// checkClients evicts clients while there are more than a new configuration allows, and enforces the timeouts of the
// rest.
func (s *Scheduler) checkClients() {
	for s.clientConnCount > s.descriptorQuota(clientDescriptorShare) && s.evictIdleClient() {
	}
	idleTimeout := s.idleTimeout()
	for c := range s.clients {
		c.checkTimeouts(idleTimeout)
	}
}

// checkTimeouts closes a connection that sends no first command, leaves one unfinished, does not read its replies or is
// idle for too long. It resumes reading from others.
func (c *client) checkTimeouts(idleTimeout time.Duration) {
	now := c.scheduler.loop.Now()
	switch idle := now - c.lastActivity; {
	case c.closing:
	case c.commandStarted > 0 && now-c.commandStarted > commandTimeout:
		c.protocolError(&resp.ProtocolError{Reason: "the rest of a command does not come"})
	case c.isBusy() && idle <= maxIdle:
		c.resumeReading()
	case len(c.pending) > 0: // its ops have timeouts of their own
	case c.conn.UnsentBytes() > 0 && idle > maxIdle: // it does not read its replies
		c.conn.Close()
	case !c.hasSentOp && idle > commandTimeout: // closed at once: its descriptor may be needed
		if c.paused || c.conn.NoInputPending() { // otherwise its input is read first
			c.conn.Close()
		}
	case c.scheduler.shuttingDown: // its client could not connect again
	case c.hasSentOp && idle > idleTimeout:
		if c.conn.NoInputPending() {
			c.closing = true
			c.conn.CloseGracefully()
		}
	default:
		c.resumeReading()
	}
}
