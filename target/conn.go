package target

import (
	"time"

	"honeyplank/eventloop"
)

// conn joins an event loop connection and a session. It implements eventloop.Handler for the former and connection for
// the latter.
type conn struct {
	*eventloop.Conn
	server            *Server
	session           *Session
	timer             *eventloop.Timer
	client            string // IP address of the client
	dropInput         bool
	handshakeComplete bool
	pduBegan          time.Duration // the time at which the first bytes of an incomplete PDU came; 0: there is none
}

func (c *conn) Opened(*eventloop.Conn) {}

func (c *conn) Input(_ *eventloop.Conn, b []byte) int {
	if c.dropInput || c.server.DropAllInput {
		return len(b)
	}
	now := c.server.loop.Now()
	used := c.session.Input(now, b)
	if !c.handshakeComplete && c.session.phase == phaseLive {
		c.handshakeComplete = true
		c.server.Guard.HandshakeComplete(now, c.client)
	}
	if used == len(b) {
		c.pduBegan = 0
	} else if used > 0 || c.pduBegan == 0 {
		c.pduBegan = now
	}
	c.flush()
	return used
}

func (c *conn) Closed(*eventloop.Conn, error) { c.remove() }

// flush sends the output, and bounds the memory that a client which does not read can use: above half of MaxUnsent the
// input of the connection is paused, above MaxUnsent the connection is closed.
func (c *conn) flush() {
	c.Send()
	switch unsent, limit := c.UnsentBytes(), c.server.settings.MaxUnsent; {
	case unsent > limit:
		c.abort()
	case unsent > limit/2:
		c.Pause()
	}
}

func (c *conn) awaitData(cmd *Command) {
	if timeout := c.server.DataTimeout; timeout != nil {
		c.server.loop.Schedule(cmd.Arrived+timeout(cmd), func() { c.session.Expire(cmd) })
	}
}

func (c *conn) reserveBytes(n int) bool {
	return c.server.Guard.ReserveBytes(c.server.loop.Now(), c.client, n)
}

func (c *conn) releaseBytes(n int) { c.server.Guard.ReleaseBytes(c.server.loop.Now(), c.client, n) }

func (c *conn) beginCommand() bool { return c.server.Guard.BeginCommand(c.server.loop.Now(), c.client) }

func (c *conn) endCommand() { c.server.Guard.EndCommand(c.server.loop.Now(), c.client) }

func (c *conn) truncate() {
	c.Output = c.Output[:len(c.Output)-c.UnsentBytes()/2]
	c.remove()
	c.CloseGracefully()
}

// end closes the connection after its output has been sent.
func (c *conn) end() {
	if c.isOpen() {
		c.remove()
		c.CloseGracefully()
	}
}

// abort closes the connection immediately.
func (c *conn) abort() {
	if c.isOpen() {
		c.remove()
		c.Conn.Close()
	}
}

func (c *conn) isOpen() bool { return c.server.conns[c] }

// remove ends the session, and removes the connection from the counts of its client.
func (c *conn) remove() {
	if !c.isOpen() {
		return
	}
	now, guard := c.server.loop.Now(), c.server.Guard
	delete(c.server.conns, c)
	c.server.loop.Cancel(c.timer)
	c.session.Closed()
	if c.handshakeComplete {
		guard.Close(now, c.client)
	} else {
		guard.CloseDuringHandshake(now, c.client)
	}
	if !c.session.violated {
		return
	}
	c.server.Violations++
	if ban := guard.Violation(now, c.client); ban > 0 {
		c.server.OnBan(c.client, ban)
	}
}

// checkDeadlines closes the connection if the handshake, a Keep Alive or the rest of a PDU is overdue. Otherwise it
// resumes the input if the client has read enough of the output, and schedules the next check.
func (c *conn) checkDeadlines() {
	now, settings := c.server.loop.Now(), &c.server.settings
	deadline := c.session.Deadline()
	if deadline > 0 && now >= deadline || c.pduBegan > 0 && c.server.Guard.PDUOverdue(now, c.pduBegan) {
		c.session.violated = !c.handshakeComplete || c.pduBegan > 0 // a missing Keep Alive is not a violation
		c.abort()
		return
	}
	if c.UnsentBytes() < settings.MaxUnsent/4 {
		c.Resume()
	}
	if !c.isOpen() {
		return
	}
	next := now + settings.HandshakeTimeout/4
	if deadline > 0 {
		next = min(next, deadline)
	}
	c.timer = c.server.loop.Schedule(max(next, now+time.Millisecond), c.checkDeadlines)
}
