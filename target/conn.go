package target

import (
	"time"

	"honeyplank/eventloop"
)

// conn is a connection with its session, as eventloop.Handler of the one and connection of the other.
type conn struct {
	*eventloop.Conn
	server            *Server
	session           *Session
	timer             *eventloop.Timer
	client            string // its address
	dropInput         bool
	handshakeComplete bool
	pduBegan          time.Duration // when the PDU that is being received began; 0: none is
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

// flush sends, and bounds what a client that does not read can cost: past half of MaxUnsent its input is paused, past
// all of it the connection ends.
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

// end closes the connection after its answers have been sent.
func (c *conn) end() {
	if c.isOpen() {
		c.remove()
		c.CloseGracefully()
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	if c.isOpen() {
		c.remove()
		c.Conn.Close()
	}
}

func (c *conn) isOpen() bool { return c.server.conns[c] }

// remove ends the session and what the connection counts for its client.
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

// checkDeadlines ends the connection when the handshake, a Keep Alive or the rest of a PDU is overdue, resumes its
// input when the client has read, and schedules the next check.
func (c *conn) checkDeadlines() {
	now, settings := c.server.loop.Now(), &c.server.settings
	deadline := c.session.Deadline()
	if deadline > 0 && now >= deadline || c.pduBegan > 0 && c.server.Guard.PDUOverdue(now, c.pduBegan) {
		c.session.violated = !c.handshakeComplete || c.pduBegan > 0 // a missing Keep Alive is no violation
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
