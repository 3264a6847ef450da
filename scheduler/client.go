package scheduler

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

// Bounds of what a client may have a scheduler keep. They are about connections; ops are the decision module's.
const (
	maxCommandLine  = 64                   // bytes of a line: the head of an array or of an argument
	maxArguments    = 16                   // of a command
	maxBody         = 64 << 10             // bytes of a command's body and of a value
	maxOtherBytes   = 4096                 // of a command without its body
	maxPending      = 32                   // commands of one connection without a reply; more wait unread
	maxReplyBacklog = maxPending * maxBody // bytes of replies, due or not read by the client; beyond it no more is read

	commandTimeout = 2 * time.Second        // for a first command, and for the rest of one
	errorReadTime  = 200 * time.Millisecond // to read an error before the connection closes

	// Idle connections stay open for maxIdle while there are few; for reducedIdle once those that have brought ops hold
	// more than an eighth of all descriptors, and for minIdle once they hold more than a quarter.
	maxIdle     = time.Minute
	reducedIdle = 2 * time.Second
	minIdle     = 500 * time.Millisecond

	// maxDeadlineFactor times the settings' op timeout is the longest that any client is waited for.
	maxDeadlineFactor = 100

	// Clients that bring no ops are kept from taking up the loop: maxCommandBatch commands of one of them are handled in a
	// row, initialReadSize bytes are read at a time, and all of them together get one part of the loop's time in
	// throttleFactor. Pauses shorter than minThrottle are added up; none is longer than maxThrottle.
	maxCommandBatch = 64
	initialReadSize = 16 << 10
	throttleFactor  = 4
	minThrottle     = 2 * time.Millisecond
	maxThrottle     = time.Second

	// maxEvictionChecks is how many connections are examined for one that may be closed.
	maxEvictionChecks = 8
)

var commandLimits = resp.Limits{
	Line:         maxCommandLine,
	Bulk:         maxBody,
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
	lastActivity   time.Duration // when a command was read whole or a reply written last
	commandStarted time.Duration // when the first part of an unfinished command came; 0: there is none
	hasSentOp      bool          // it has brought an op
	paused         bool          // it is not read, for one of several reasons
	throttled      bool          // it is not read until its share of the loop's time allows for it
	loopTime       time.Duration // time of the loop that it has used since its last op or pause
	closing        bool          // no more commands are taken from it
	quitRequested  bool          // it has sent QUIT
}

// accept takes a connection of a client, or rejects it with nil where there is no descriptor for it and none idle gives way.
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

// idleTimeout is how long a connection may be idle: clients that never come back must leave room for those that do.
// Ones that never brought an op do not count, so that a crowd of those costs nobody else a connection.
func (s *Scheduler) idleTimeout() time.Duration {
	switch {
	case s.activeClients > s.config.Sockets/4:
		return minIdle
	case s.activeClients > s.config.Sockets/8:
		return reducedIdle
	}
	return maxIdle
}

// evictIdleClient closes the connection that has been of no use for longest, and reports whether there was one: one that
// never brought an op, else one that has been idle for some time. A connection with unread input is spared where another
// can be closed: closing it resets the connection, which takes replies from the client that it has not read, and the
// input may be a first op. In a crowd whose input is all unread, one is closed all the same.
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

// evictionCandidate is the first client to be evicted; nil: none may be.
func (s *Scheduler) evictionCandidate() *client {
	var candidate *client
	for c := range s.clients {
		if c.mayBeEvicted() && (candidate == nil || c.evictedBefore(candidate)) {
			candidate = c
		}
	}
	return candidate
}

func (c *client) mayBeEvicted() bool {
	if c.isBusy() || c.closing {
		return false
	}
	return !c.hasSentOp || !c.scheduler.shuttingDown && c.scheduler.loop.Now()-c.lastActivity >= minIdle
}

func (c *client) evictedBefore(other *client) bool {
	if c.hasSentOp != other.hasSentOp {
		return !c.hasSentOp
	}
	return c.lastActivity < other.lastActivity
}

// isBusy reports whether a connection is in use: it waits for a reply or, if it has brought ops, for the rest of a reply or
// of a command. Others are not in use then: a crowd that sends PING and reads no reply would hold all descriptors.
func (c *client) isBusy() bool {
	return len(c.pending) > 0 || c.hasSentOp && (c.conn.UnsentBytes() > 0 || c.commandStarted > 0)
}

// replyBacklog is how many bytes of replies a client may yet have to read, at most.
func (c *client) replyBacklog() int { return c.conn.UnsentBytes() + len(c.pending)*maxBody }

// Opened does nothing: connections of clients are up when they are accepted.
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
	case !c.closing && !s.intakeClosed:
		c.loopTime += s.loop.Now() - now
		c.throttle(commands > 0, used < len(b))
	}
	if s.intakeClosed {
		c.conn.Pause()
		c.flushReplies()
	}
	if c.closing {
		return len(b)
	}
	return used
}

// readCommands handles the whole commands in b, until a bound on what is taken from the client is reached. An error says
// that b does not follow the protocol.
func (c *client) readCommands(b []byte, now time.Duration) (used, commands int, err error) {
	s := c.scheduler
	admitted := s.tracker.Counts.Admitted
	for used < len(b) && !c.closing {
		if commands >= maxCommandBatch && s.tracker.Counts.Admitted == admitted && !s.intakeClosed {
			break
		}
		if c.replyBacklog() >= maxReplyBacklog && !s.intakeClosed {
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

// throttle pauses reading from a client that used time of the loop and brought no op, for a multiple of that time, so that
// all such clients together leave most of the loop's time to others. It guards ops against floods of other commands, and
// could harm a client whose first op comes behind many commands, by some milliseconds for each throttled client.
// hasCommands says that it sent whole commands, hasMore that more of its input waits.
func (c *client) throttle(hasCommands, hasMore bool) {
	pause := c.loopTime * throttleFactor * time.Duration(c.scheduler.throttledClients+1)
	if !hasCommands || !hasMore && pause < minThrottle { // a part of a command may be the first one of an op
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

// Closed handles the end of the connection by the client or by a failure.
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

// protocolError replies to input that does not follow the protocol, behind the replies that are due, and closes the
// connection: input behind it cannot be read either.
func (c *client) protocolError(err error) {
	c.scheduler.protocolErrors++
	text := "ERR Protocol error"
	var protocol *resp.ProtocolError
	if errors.As(err, &protocol) {
		text += ": " + protocol.Reason
	}
	if len(c.pending) > 0 { // commands before it get their replies first
		c.closing = true
		c.conn.Pause()
		c.pending = append(c.pending, &request{client: c, done: true, reply: resp.AppendError(nil, text)})
		return
	}
	c.closing = true
	c.conn.Output = resp.AppendError(c.conn.Output, text)
	c.conn.CloseAfterFlush(errorReadTime)
}

// flushReplies writes the replies that are complete, in the order of their commands, and ends the connection where the
// last one was its last.
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
	case c.closing && len(c.pending) == 0: // a protocol error was the last of them
		c.conn.CloseAfterFlush(errorReadTime)
	case c.scheduler.intakeClosed && len(c.pending) == 0:
		c.closing = true
		c.conn.CloseGracefully()
	default:
		c.conn.Send()
		c.resumeReading()
	}
}

// closeWhenAnswered stops reading and closes the connection once its commands have their replies. Commands that were read but
// not handled yet are rejected: without a reply their client would not know that they never ran.
func (c *client) closeWhenAnswered() {
	if c.closing {
		return
	}
	c.paused = true
	if c.conn.BufferedBytes() > 0 {
		c.conn.Pause()
		c.conn.Resume() // offers the buffered commands to Input, which rejects them
	} else if c.conn.Pause(); len(c.pending) == 0 {
		c.closing = true
		c.conn.CloseGracefully()
	}
}

// resumeReading reads on once enough of the replies have been written.
func (c *client) resumeReading() {
	if c.paused && !c.throttled && !c.closing && !c.scheduler.intakeClosed && c.replyBacklog() < maxReplyBacklog/2 {
		c.paused = false
		c.conn.Resume()
	}
}

// checkClients closes connections that bring no command, leave one unfinished, do not read their replies or are idle for
// too long, and has the others be read on.
func (s *Scheduler) checkClients() {
	for s.clientConnCount > s.descriptorQuota(clientDescriptorShare) && s.evictIdleClient() { // a new configuration may allow for fewer
	}
	idleTimeout := s.idleTimeout()
	for c := range s.clients {
		c.checkTimeouts(idleTimeout)
	}
}

// checkTimeouts closes the connection if it has passed one of its timeouts, and else has it be read on.
func (c *client) checkTimeouts(idleTimeout time.Duration) {
	now := c.scheduler.loop.Now()
	switch idle := now - c.lastActivity; {
	case c.closing:
	case c.commandStarted > 0 && now-c.commandStarted > commandTimeout:
		c.protocolError(&resp.ProtocolError{Reason: "the rest of a command does not come"})
	case c.isBusy() && idle <= maxIdle:
		c.resumeReading()
	case len(c.pending) > 0:
	case c.conn.UnsentBytes() > 0 && idle > maxIdle: // it does not read its replies
		c.conn.Close()
	case !c.hasSentOp && idle > commandTimeout: // closed without a wait: a crowd that stays would keep others out
		if c.paused || c.conn.NoInputPending() { // else its input is read first
			c.conn.Close()
		}
	case c.scheduler.shuttingDown: // its client could not replace the connection here
	case c.hasSentOp && idle > idleTimeout:
		if c.conn.NoInputPending() {
			c.closing = true
			c.conn.CloseGracefully()
		}
	default:
		c.resumeReading()
	}
}
