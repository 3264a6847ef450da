package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// arrival bounds when the input of a connection has arrived. What waits in the socket while the loop is held up, or
// the connection paused, has arrived earlier than it is read.
type arrival struct {
	after    time.Duration // what was read last has arrived after this
	lastPoll time.Duration // the poll that the last read followed
	backlog  bool          // that read did not take all there was, or reading was paused since
	resumed  uint64        // number of the poll at which reading went on
}

// noteRead records a read. mayHaveMore says that the read filled its buffer, so that more input may wait.
func (a *arrival) noteRead(l *Loop, mayHaveMore bool) {
	a.after = l.eventsAfter
	if a.backlog && l.polls <= a.resumed+1 { // it waited already when reading went on
		a.after = min(a.after, a.lastPoll)
	}
	a.lastPoll, a.backlog, a.resumed = l.lastPoll, mayHaveMore, l.polls
}

// ReceivedAfter is a clock time after which the input read last has arrived. Input that waits while the loop is held
// up, or the connection paused, is read later than it has arrived.
func (c *Conn) ReceivedAfter() time.Duration { return c.arrival.after }

// BufferedBytes is the number of bytes that were received and not used: the start of what the handler waits for.
func (c *Conn) BufferedBytes() int { return len(c.input) }

// Pause stops reading until Resume.
func (c *Conn) Pause() {
	c.paused = true
	c.arrival.backlog = true
	c.updateInterest()
}

// Resume reads again. Input that was received before and not used is offered once more.
func (c *Conn) Resume() {
	if !c.paused || c.closed {
		return
	}
	c.paused = false
	c.arrival.resumed = c.loop.polls
	c.updateInterest()
	if len(c.input) > 0 {
		c.loop.Schedule(0, func() { c.offerInput(nil) })
	}
}

// inputReady serves input, the end of the stream and errors.
func (c *Conn) inputReady(events uint32) {
	broken := events&(unix.EPOLLHUP|unix.EPOLLERR) != 0
	notifyHalfClose := c.NotifyHalfClose && !c.closing
	switch {
	case notifyHalfClose && broken:
		c.failBroken()
	case notifyHalfClose && events&unix.EPOLLRDHUP != 0:
		c.fail(nil)
	case !c.paused:
		c.read()
	case c.writeClosed && events&unix.EPOLLERR == 0:
		c.closeWhenAcked()
	case broken:
		c.failBroken()
	}
}

func (c *Conn) read() {
	c.loop.Stats.Reads.Add(1)
	buffer := c.loop.readBuffer
	if c.MaxReadBytes > 0 {
		buffer = buffer[:min(c.MaxReadBytes, len(buffer))]
	}
	n, err := c.loop.sys.Read(c.fd, buffer)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR): // epoll reports the descriptor again
	case err != nil:
		c.fail(err)
	case n == 0:
		c.fail(nil)
	default:
		c.arrival.noteRead(c.loop, n == len(buffer))
		c.received(buffer[:n])
	}
}

// received passes on what a read has returned.
func (c *Conn) received(b []byte) {
	c.loop.Stats.BytesIn.Add(int64(len(b)))
	if c.Tap != nil {
		c.Tap(false, b)
	}
	if c.FaultFilter != nil {
		b = c.FaultFilter.FilterInput(b)
	}
	c.offerInput(b)
}

// offerInput offers the handler what it has not used, followed by b.
func (c *Conn) offerInput(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.input) > 0 {
		c.input = append(c.input, b...)
		c.loop.Stats.Copied.Add(int64(len(b)))
		b = c.input
	}
	used := 0
	if !c.paused {
		used = c.handler.Input(c, b)
	}
	if c.closed {
		return
	}
	rest := b[used:]
	c.loop.Stats.Copied.Add(int64(len(rest)))
	c.input = append(c.input[:0], rest...)
	if len(c.input) == 0 && cap(c.input) > readSize {
		c.input = nil
	}
	c.Send()
}

// maxInterruptions is how often in one round a call that does not wait is repeated after EINTR.
const maxInterruptions = 16

// NoInputPending reports whether everything received so far has been used, and the other end has not closed: bytes
// that come from now on can answer what is sent now. It is false where that is not known.
func (c *Conn) NoInputPending() bool {
	if c.closed || c.dialing || len(c.input) > 0 {
		return false
	}
	for range maxInterruptions {
		if _, err := c.peek(); !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
	return false
}

// peerHasEnded reports whether the other end has ended its sending and all of it has been read.
func (c *Conn) peerHasEnded() bool {
	n, err := c.peek()
	return n == 0 && err == nil
}

// peek looks for one byte of input without taking it, see MSG_PEEK in recv(2). No byte and no error is the end of the
// stream.
func (c *Conn) peek() (int, error) {
	c.loop.Stats.OtherCalls.Add(1)
	n, _, err := c.loop.sys.Recvfrom(c.fd, c.loop.smallBuffer[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
