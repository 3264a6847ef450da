package scheduler

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

// Bounds of what a client may have a scheduler keep. Waits and sizes here are about connections, not about ops.
const (
	maxBody           = 64 << 10
	maxPending        = 32                     // commands of one connection without an answer; more wait unread
	maxOwedBytes      = maxPending * maxBody   // bytes of answers, due and not read by the client; with more it is not read
	commandTimeout    = 2 * time.Second        // for a first command, and for the rest of one
	maxIdle           = time.Minute            // idle connections stand for so long while there are few,
	reducedIdle       = 2 * time.Second        // for so long past an eighth of the descriptors,
	minIdle           = 500 * time.Millisecond // and for so long past a quarter: clients get no more than a third
	errorReadTime     = 200 * time.Millisecond // to read an error before the connection closes
	maxDeadlineFactor = 100                    // times the op timeout of the settings: no client is waited for any longer
	maxCommandBatch   = 64                     // commands of one connection that are taken in a row and are no ops
	initialReadSize   = 16 << 10               // bytes read at a time from a connection that has not brought an op
	throttleFactor    = 4                      // clients that bring no ops together have one part of the loop's time in so many
	minThrottle       = 2 * time.Millisecond   // shorter waits are added up
	maxThrottle       = time.Second
	maxEvictionChecks = 8 // connections looked at for one that may be closed
)

var commandBounds = resp.Limits{Line: 64, Bulk: maxBody, Items: 16, Depth: 1, Total: maxBody + 4096, CommandsOnly: true}

// client is one connection from clients.
type client struct {
	scheduler      *Scheduler
	conn           *eventloop.Conn
	reader         resp.Reader
	pending        []*request    // commands without an answer sent, in order
	lastActivity   time.Duration // when a command or an answer last ended
	commandStarted time.Duration // when the command under way began; 0: none is
	hasSentRequest bool          // it has brought an op
	paused         bool
	throttled      bool          // it is not read for a while
	loopTime       time.Duration // of the loop, without an op
	closing        bool          // nothing more is taken from it
	quitRequested  bool          // it has asked for its end
}

func (s *Scheduler) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clientConnCount >= s.descriptorQuota(clientDescriptorShare) && !s.evictIdleClient() {
		s.rejectedConns++
		return nil
	}
	s.clientConnCount++
	now := s.loop.Now()
	c := &client{scheduler: s, conn: conn, reader: resp.Reader{Limits: commandBounds}, lastActivity: now}
	conn.NotifyHalfClose, conn.MaxRead = true, initialReadSize
	conn.OnClosed = func() {
		s.clientConnCount--
		if c.hasSentRequest {
			s.activeClients--
		}
		delete(s.clients, c)
		s.stopIfIdle()
	}
	s.clients[c] = true
	return c
}

// idleTimeout is how long a connection may stand idle: clients that never come back must leave room for those that do.
// Ones that never brought an op don't count, so that a crowd of those costs nobody else a connection.
func (s *Scheduler) idleTimeout() time.Duration {
	switch {
	case s.activeClients > s.config.Sockets/4:
		return minIdle
	case s.activeClients > s.config.Sockets/8:
		return reducedIdle
	}
	return maxIdle
}

// evictIdleClient closes the connection that has been of no use for longest: one that never brought an op, else one that
// has been idle for some time. It tells whether there was one. One on which something has come that is not read yet
// is left where another will do: closing over that resets the connection, takes an answer from the client that it
// has not read, and may meet a first op. A crowd whose bytes are all unread still gives way.
func (s *Scheduler) evictIdleClient() bool {
	var unread *client
	for range maxEvictionChecks {
		var worst *client
		for c := range s.clients {
			if c.isBusy() || c.closing || c.hasSentRequest && (s.shuttingDown || s.loop.Now()-c.lastActivity < minIdle) {
				continue
			}
			if worst == nil || worst.hasSentRequest && !c.hasSentRequest || worst.hasSentRequest == c.hasSentRequest && c.lastActivity < worst.lastActivity {
				worst = c
			}
		}
		switch {
		case worst == nil:
			return false
		case worst.conn.NoInputPending():
			worst.conn.Close()
			return true
		case unread == nil && !worst.hasSentRequest:
			unread = worst
		}
		worst.lastActivity = s.loop.Now()
	}
	if unread != nil {
		unread.conn.Close()
	}
	return unread != nil
}

// isBusy tells that something is owed on a connection: an answer, or to a client that has brought ops the rest of one, or
// the wait for the rest of a command. To others it is not: a crowd that asks for PONGs and reads none would hold all room.
func (c *client) isBusy() bool {
	return len(c.pending) > 0 || c.hasSentRequest && (c.conn.UnsentBytes() > 0 || c.commandStarted > 0)
}

// owedBytes is how many bytes of answers a client may yet have to read, at most.
func (c *client) owedBytes() int { return c.conn.UnsentBytes() + len(c.pending)*maxBody }

func (c *client) Opened(*eventloop.Conn) {}

func (c *client) Input(_ *eventloop.Conn, b []byte) (used int) {
	now, taken, commands := c.scheduler.loop.Now(), c.scheduler.tracker.Counts.Admitted, 0
	for used < len(b) && !c.closing {
		if commands >= maxCommandBatch && c.scheduler.tracker.Counts.Admitted == taken && !c.scheduler.intakeClosed {
			break
		}
		if c.owedBytes() >= maxOwedBytes && !c.scheduler.intakeClosed {
			c.paused = true
			c.conn.Pause()
			break
		}
		n, v, whole, err := c.reader.Next(b[used:])
		used += n
		if err != nil {
			c.protocolError(err)
			return len(b)
		}
		if !whole {
			if c.commandStarted == 0 {
				c.commandStarted = now
			}
			break
		}
		c.commandStarted, c.lastActivity = 0, now
		c.handleCommand(min(c.conn.ReceivedAfter(), now), v.List)
		commands++
	}
	switch {
	case c.scheduler.tracker.Counts.Admitted > taken:
		c.loopTime = 0
	case !c.closing && !c.scheduler.intakeClosed:
		c.loopTime += c.scheduler.loop.Now() - now
		c.throttle(commands > 0, used < len(b))
	}
	if c.scheduler.intakeClosed {
		c.conn.Pause()
		c.flushReplies()
	}
	if c.closing {
		return len(b)
	}
	return used
}

// throttle has a client that took up time of the loop and brought no op be read again only after a multiple of that, so that
// all such clients together leave most of the time to others. It guards requests against floods, and could harm a client
// whose first request comes behind many commands, by some milliseconds for each other such client there is.
func (c *client) throttle(whole, more bool) {
	wait := c.loopTime * throttleFactor * time.Duration(c.scheduler.throttledClients+1)
	if !whole || !more && wait < minThrottle { // a part of a command may be one of a request
		return
	}
	c.paused, c.throttled, c.loopTime = true, true, 0
	c.scheduler.throttledClients++
	c.conn.Pause()
	c.scheduler.loop.Schedule(c.scheduler.loop.Now()+min(wait, maxThrottle), func() {
		c.throttled = false
		c.scheduler.throttledClients--
		c.resumeReading()
	})
}

// Closed is told that the client has gone.
func (c *client) Closed(*eventloop.Conn, error) { c.disconnect() }

// disconnect ends what is owed to a client.
func (c *client) disconnect() {
	c.closing = true
	due := c.pending
	c.pending = nil
	for _, r := range due {
		if !r.done {
			r.done = true
			c.scheduler.tracker.ClientGone(r.id)
		}
	}
}

// protocolError answers what can't be read: nothing behind it can be either.
func (c *client) protocolError(err error) {
	c.scheduler.protocolErrors++
	text := "ERR Protocol error"
	var b *resp.ProtocolError
	if errors.As(err, &b) {
		text += ": " + b.Reason
	}
	if len(c.pending) > 0 { // what was asked before is still answered, in order
		c.closing = true
		c.conn.Pause()
		c.pending = append(c.pending, &request{client: c, done: true, reply: resp.AppendError(nil, text)})
		return
	}
	c.closing = true
	c.conn.Out = resp.AppendError(c.conn.Out, text)
	c.conn.CloseAfterFlush(errorReadTime)
}

func (c *client) flushReplies() {
	for len(c.pending) > 0 && c.pending[0].done {
		c.conn.Out = append(c.conn.Out, c.pending[0].reply...)
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
	case c.closing && len(c.pending) == 0: // a breach stood behind these
		c.conn.CloseAfterFlush(errorReadTime)
	case c.scheduler.intakeClosed && len(c.pending) == 0:
		c.closing = true
		c.conn.CloseGracefully()
	default:
		c.conn.Send()
		c.resumeReading()
	}
}

// closeWhenAnswered closes the connection once what was asked on it is answered; nothing more is read. Commands that were read and
// wait for others are refused: unanswered they would be lost.
func (c *client) closeWhenAnswered() {
	if c.closing {
		return
	}
	c.paused = true
	if c.conn.BufferedBytes() > 0 {
		c.conn.Pause()
		c.conn.Resume() // offers them to Input
	} else if c.conn.Pause(); len(c.pending) == 0 {
		c.closing = true
		c.conn.CloseGracefully()
	}
}

// resumeReading reads on where room has come free.
func (c *client) resumeReading() {
	if c.paused && !c.throttled && !c.closing && !c.scheduler.intakeClosed && c.owedBytes() < maxOwedBytes/2 {
		c.paused = false
		c.conn.Resume()
	}
}

// checkClients looks after connections: ones that say nothing, leave a command half said, or don't read.
func (s *Scheduler) checkClients() {
	now := s.loop.Now()
	for s.clientConnCount > s.descriptorQuota(clientDescriptorShare) && s.evictIdleClient() { // a new configuration may leave less room
	}
	most := s.idleTimeout()
	for c := range s.clients {
		switch idle := now - c.lastActivity; {
		case c.closing:
		case c.commandStarted > 0 && now-c.commandStarted > commandTimeout:
			c.protocolError(&resp.ProtocolError{Reason: "the rest of a command does not come"})
		case c.isBusy() && idle <= maxIdle:
			c.resumeReading()
		case len(c.pending) > 0:
		case c.conn.UnsentBytes() > 0 && idle > maxIdle: // it does not read
			c.conn.Close()
		case !c.hasSentRequest && idle > commandTimeout: // at once: a crowd that lingers would keep others out
			if c.paused || c.conn.NoInputPending() { // else what has come is read first
				c.conn.Close()
			}
		case s.shuttingDown: // a connection that closes now is not replaced
		case c.hasSentRequest && idle > most:
			if c.conn.NoInputPending() {
				c.closing = true
				c.conn.CloseGracefully()
			}
		default:
			c.resumeReading()
		}
	}
}
