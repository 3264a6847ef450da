package scheduler

import (
	"errors"
	"slices"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

// Limits of client connections. The decision module limits ops.
const (
	maxCommandLine  = 64                   // bytes of a line, which is the header of an array or of an argument
	maxArguments    = 16                   // arguments of a command
	maxBody         = 64 << 10             // bytes of a command's body, and of a value
	maxOtherBytes   = 4096                 // bytes of a command without its body
	maxPending      = 32                   // unanswered commands of one connection; further ones stay unread
	maxReplyBacklog = maxPending * maxBody // bytes of pending and unsent replies from which no more commands are read
	maxSmallBacklog = maxBody              // the same of unsent replies alone, see reachesBacklog

	errorReadTime = 200 * time.Millisecond // for the client to read an error before the connection closes

	// The longest timeout of an op is maxTimeoutFactor times the op timeout of the settings.
	maxTimeoutFactor = 100
)

// commandLimits are the limits for a command of a client.
var commandLimits = resp.Limits{
	Line:         maxCommandLine,
	BulkString:   maxBody,
	Items:        maxArguments,
	Depth:        1,
	Total:        maxBody + maxOtherBytes,
	CommandsOnly: true,
}

// client is one client connection.
type client struct {
	scheduler      *Scheduler
	conn           *eventloop.Conn
	reader         resp.Reader
	pending        []*request    // commands whose reply has not been written, in order
	lastActivity   time.Duration // time of the last complete command, reply or skipped eviction
	commandStarted time.Duration // when the first part of an incomplete command was received; 0 if there is none
	hasSentOp      bool          // at least one of its ops was admitted, or rejected before admission
	paused         bool          // reading is paused
	throttled      bool          // reading is paused because the client used too much time of the loop
	loopTime       time.Duration // loop time used since its last op or throttling
	loopUse        loopUse       // while the loop is overloaded
	opRate         opRate
	closing        bool // no more commands are handled
	malformed      bool // the connection closes because its input violates the protocol
	quitRequested  bool // the client has sent QUIT
	closed         bool // the connection is closed
	memory         clientMemory
	countedMemory  int // bytes that the budget of the scheduler contains for the client
}

// accept accepts a client connection. It rejects the connection by returning nil if there is no descriptor for it and
// no idle connection can be evicted.
func (s *Scheduler) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clientConnCount >= s.descriptorQuota(clientDescriptorShare) && !s.evictIdleClient() {
		s.rejectedConns++
		return nil
	}
	s.clientConnCount++
	now := s.loop.Now()
	c := &client{scheduler: s, conn: conn, lastActivity: now}
	c.reader = resp.Reader{Limits: commandLimits, AcceptBulk: c.acceptBulk}
	conn.NotifyHalfClose, conn.MaxReadBytes = true, smallReadSize
	conn.OnClosed = func() {
		s.clientConnCount--
		if c.hasSentOp {
			s.activeClients--
		}
		delete(s.clients, c)
		c.closed = true
		c.updateMemory()
		s.stopIfIdle()
	}
	conn.OnWritten = func() {
		c.updateMemory()
		c.resumeReading() // if unsent replies were the reason for the pause
	}
	s.clients[c] = true
	return c
}

// isBusy reports whether the connection is in use: the client awaits a reply or, if it has sent ops, a reply is not
// completely sent or a command not completely received. These two cases do not count for a client without ops:
// otherwise clients that send PING and read no reply would hold all descriptors.
func (c *client) isBusy() bool {
	return len(c.pending) > 0 || c.hasSentOp && (c.conn.UnsentBytes() > 0 || c.commandStarted > 0)
}

// Opened does nothing, since accepted connections are already open.
func (c *client) Opened(*eventloop.Conn) {}

// Input handles the commands in b and returns the number of bytes that it has used.
func (c *client) Input(_ *eventloop.Conn, b []byte) (used int) {
	c.memory.unhandled = 0
	defer func() {
		c.memory.unhandled = len(b) - used
		c.updateMemory()
		c.conn.MaxReadBytes = c.readSize()
	}()
	s := c.scheduler
	now, opsBefore := s.loop.Now(), s.opsReceived()
	used, commands, err := c.readCommands(b, now)
	if err != nil {
		c.protocolError(err)
		return len(b)
	}
	switch {
	case s.opsReceived() > opsBefore:
		c.loopTime = 0
		c.shareLoop(s.loop.Now()-now, len(b)-used)
	case !c.closing && !s.admissionClosed:
		c.loopTime += s.loop.Now() - now
		if commands > 0 { // an incomplete command may be its first op
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

// opsReceived returns the number of ops that were admitted or rejected before admission.
func (s *Scheduler) opsReceived() int {
	return s.tracker.Counts.Admitted + s.memoryRejections + s.intake.rejections
}

// readCommands handles the complete commands in b until a limit of the client is reached. It returns an error if b
// violates the protocol.
func (c *client) readCommands(b []byte, now time.Duration) (used, commands int, err error) {
	s := c.scheduler
	opsBefore := s.opsReceived()
	for used < len(b) && !c.closing {
		sendsOps := s.opsReceived() > opsBefore
		if !s.admissionClosed && (c.turnIsOver(commands, sendsOps, s.loop.Now()-now) || c.pauseAtBacklog()) {
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

// Closed is called when the client has closed the connection or the connection failed.
func (c *client) Closed(*eventloop.Conn, error) { c.disconnect() }

// disconnect reports to the tracker that the client of each unanswered op is gone.
func (c *client) disconnect() {
	c.closing = true
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if !r.done {
			r.done = true
			c.scheduler.tracker.ClientGone(r.id)
			r.args = nil
		}
	}
}

// protocolError replies with an error to input that violates the protocol, after the pending replies. It closes the
// connection, since the input that follows cannot be parsed either.
func (c *client) protocolError(err error) {
	c.scheduler.protocolErrors++
	text := "ERR Protocol error"
	var protocol *resp.ProtocolError
	if errors.As(err, &protocol) {
		text += ": " + protocol.Reason
	}
	c.closing, c.malformed = true, true
	c.reader, c.memory.incoming = resp.Reader{}, 0
	defer c.updateMemory()
	if len(c.pending) > 0 { // flushReplies closes the connection after the last one
		c.conn.Pause()
		r := &request{client: c}
		c.pending = append(c.pending, r)
		r.complete(resp.AppendError(nil, text))
		return
	}
	c.conn.Output = resp.AppendError(c.conn.Output, text)
	c.conn.CloseAfterFlush(errorReadTime)
}

// flushReplies writes the complete replies in the order of their commands. After the last pending one it closes the
// connection if a close is due.
func (c *client) flushReplies() {
	size := 0
	for i := 0; i < len(c.pending) && c.pending[i].done; i++ {
		size += len(c.pending[i].reply)
	}
	c.conn.Output = slices.Grow(c.conn.Output, size)
	for len(c.pending) > 0 && c.pending[0].done {
		c.conn.Output = append(c.conn.Output, c.pending[0].reply...)
		c.memory.replies -= len(c.pending[0].reply)
		c.pending[0] = nil
		c.pending = c.pending[1:]
	}
	if len(c.pending) == 0 {
		c.pending = nil
	}
	c.updateMemory()
	c.lastActivity = c.scheduler.loop.Now()
	switch {
	case c.quitRequested && len(c.pending) == 0:
		c.conn.CloseGracefully()
	case c.closing && len(c.pending) == 0: // the last reply reports a protocol error
		c.conn.CloseAfterFlush(errorReadTime)
	case c.scheduler.admissionClosed && len(c.pending) == 0:
		c.closing = true
		c.conn.CloseGracefully()
	default:
		c.conn.Send()
		c.resumeReading()
	}
}

// closeWhenAnswered stops reading and closes the connection after the replies to its commands. Commands that are
// buffered but not handled yet are rejected, so that the client learns that they never ran.
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
