package scheduler

import "time"

// How much is read from a client, and when.
const (
	// The number of bytes that are read from a client at a time, and so the largest number that stay unhandled while
	// reading is paused. smallReadSize holds for clients that send no ops, and for all near the limit of memory.
	clientReadSize = 64 << 10
	smallReadSize  = 16 << 10

	// Clients that send no ops are limited in their use of the loop. At most maxCommandBatch commands of one of them
	// are handled in a row. All of them together get 1/throttleFactor of the loop's time. Pauses shorter than
	// minThrottle are added up; no pause is longer than maxThrottle.
	maxCommandBatch = 64
	throttleFactor  = 4
	minThrottle     = 2 * time.Millisecond
	maxThrottle     = time.Second
)

// reachesBacklog reports whether the replies that are pending or not sent yet reach a limit. Of clients that send no
// ops, and of all near the limit of memory, fewer unsent replies are kept.
func (c *client) reachesBacklog(limit int) bool {
	s := c.scheduler
	if !c.hasSentOp || s.memory.nearLimit() {
		unsentLimit := limit * maxSmallBacklog / maxReplyBacklog
		if c.conn.UnsentBytes() >= unsentLimit {
			return true
		}
	}
	return c.replyBacklog() >= limit
}

// replyBacklog returns an upper bound, in bytes, of the replies that are pending or not sent yet.
func (c *client) replyBacklog() int { return c.conn.UnsentBytes() + len(c.pending)*maxBody }

// readSize returns the number of bytes that are read from the client at a time.
func (c *client) readSize() int {
	s := c.scheduler
	if !c.hasSentOp || s.memory.nearLimit() || s.intake.overloaded(s.loop.Now()) {
		return smallReadSize
	}
	return clientReadSize
}

// turnIsOver reports whether other clients have their turn, after a number of commands that took the given loop time.
func (c *client) turnIsOver(commands int, sendsOps bool, spent time.Duration) bool {
	return commands >= maxCommandBatch && !sendsOps || commands > 0 && spent > turnTime
}

// pauseAtBacklog pauses reading if too many replies are pending or not sent yet. It reports whether they are.
func (c *client) pauseAtBacklog() bool {
	if !c.reachesBacklog(maxReplyBacklog) {
		return false
	}
	c.paused = true
	c.conn.Pause()
	return true
}

// throttleAfter pauses reading from a client that has sent commands but no op; unread is the number of bytes of input
// left. The pause is a multiple of the loop time that the commands took, so that all such clients together leave most
// of the loop's time to others. This protects ops against abusive clients.
//
// Limitation: if the first op of a client follows many other commands, it is delayed by some milliseconds for each
// throttled client.
func (c *client) throttleAfter(unread int) {
	pause := c.loopTime * throttleFactor * time.Duration(c.scheduler.throttledClients+1)
	if unread == 0 && pause < minThrottle {
		return
	}
	c.loopTime = 0
	c.scheduler.throttledClients++
	c.pauseFor(min(pause, maxThrottle), func() {
		c.scheduler.throttledClients--
		c.resumeReading()
	})
}

// shareLoop is called after ops of the client were handled, which took the given loop time. It pauses reading if the
// loop is overloaded and the client has used more than its share. If input is left, reading goes on in the next round
// of the loop at the earliest, so that other clients have their turn.
func (c *client) shareLoop(spent time.Duration, unread int) {
	s := c.scheduler
	now := s.loop.Now()
	s.intake.observeRound(now, s.loop.RoundAge())
	pause := s.intake.charge(&c.loopUse, now, spent, s.activeClients)
	if pause > 0 || unread > 0 && spent > turnTime {
		c.pauseFor(pause, func() { c.resumeBelow(maxReplyBacklog) })
	}
}

// pauseFor stops reading for a time, at least until the next round of the loop, and then calls resume.
func (c *client) pauseFor(pause time.Duration, resume func()) {
	c.paused, c.throttled = true, true
	c.conn.Pause()
	c.scheduler.loop.Schedule(c.scheduler.loop.Now()+pause, func() {
		c.throttled = false
		resume()
	})
}

// resumeReading resumes reading from a paused client if nothing prevents it and the reply backlog is less than half of
// its limit.
func (c *client) resumeReading() { c.resumeBelow(maxReplyBacklog / 2) }

// resumeBelow resumes reading from a paused client if nothing prevents it and the reply backlog is less than a limit.
func (c *client) resumeBelow(backlog int) {
	if c.paused && !c.throttled && !c.closing && !c.scheduler.admissionClosed && !c.reachesBacklog(backlog) {
		c.paused = false
		if c.commandStarted > 0 { // the rest of the command may not have been read because of the pause
			c.commandStarted = max(c.commandStarted, c.scheduler.loop.Now()-commandTimeout/2)
		}
		c.conn.Resume()
	}
}
