package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// arrival has a lower bound of the time at which input of a connection arrived. Input that waits in the socket during a
// process pause, or while the connection is paused, arrives earlier than it is read.
type arrival struct {
	after         time.Duration // the input read last arrived after this time
	lastPoll      time.Duration // time of the poll before the last read
	backlog       bool          // the last read may have left input in the socket, or reading was paused after it
	resumedAtPoll uint64        // number of the poll before the last read, or before reading resumed if that is later
}

// noteRead records a read. mayHaveMore means that the read filled its buffer, so that more input may be in the socket.
func (a *arrival) noteRead(l *Loop, mayHaveMore bool) {
	a.after = l.eventsAfter
	if a.backlog && l.polls <= a.resumedAtPoll+1 { // the input may have waited in the socket since the last read
		a.after = min(a.after, a.lastPoll)
	}
	a.lastPoll, a.backlog, a.resumedAtPoll = l.lastPoll, mayHaveMore, l.polls
}

// ReceivedAfter returns a time of the loop's clock after which the input read last has arrived. During a process pause,
// or while the connection is paused, input is read later than it arrives.
func (c *Conn) ReceivedAfter() time.Duration { return c.arrival.after }

// BufferedBytes returns the number of bytes that were received and that the handler has not consumed, for example the
// first part of an incomplete message.
func (c *Conn) BufferedBytes() int { return len(c.input) }

// Pause stops reading until Resume.
func (c *Conn) Pause() {
	c.paused = true
	c.arrival.backlog = true
	c.updateInterest()
}

// Resume continues reading. Input that was received before and not consumed is passed to the handler again first: if
// the handler pauses then, nothing more is read. Otherwise a handler that consumes little each time would make the
// input grow.
func (c *Conn) Resume() {
	if !c.paused || c.closed {
		return
	}
	c.paused = false
	c.arrival.resumedAtPoll = c.loop.polls
	if len(c.input) > 0 && !c.offering {
		c.offering = true
		c.loop.Schedule(0, c.offerBuffered)
	}
	c.updateInterest()
}

// offerBuffered passes buffered input to the handler, and then continues reading unless the handler has paused.
func (c *Conn) offerBuffered() {
	c.offering = false
	c.offerInput(nil)
	c.updateInterest()
}

// inputReady handles input, the end of the stream and errors.
func (c *Conn) inputReady(events uint32) {
	broken := events&(unix.EPOLLHUP|unix.EPOLLERR) != 0
	notifyHalfClose := c.NotifyHalfClose && !c.closing
	switch {
	case notifyHalfClose && broken:
		c.failWithSocketError()
	case notifyHalfClose && events&unix.EPOLLRDHUP != 0:
		c.fail(nil)
	case !c.paused && !c.offering:
		c.read()
	case c.writeClosed && events&unix.EPOLLERR == 0:
		c.closeWhenAcked()
	case broken:
		c.failWithSocketError()
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

// received passes on the bytes that a read has returned.
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

// offerInput passes to the handler the bytes that it has not consumed, followed by b.
func (c *Conn) offerInput(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.input) > 0 {
		c.input = append(c.input, b...)
		c.loop.Stats.Copied.Add(int64(len(b)))
		b = c.input
	}
	consumed := 0
	if !c.paused {
		consumed = c.handler.Input(c, b)
	}
	if c.closed {
		return
	}
	rest := b[consumed:]
	c.loop.Stats.Copied.Add(int64(len(rest)))
	c.input = append(c.input[:0], rest...)
	if len(c.input) == 0 && cap(c.input) > readSize {
		c.input = nil
	}
	c.Send()
}

// maxInterruptions is the maximum number of attempts of a non-blocking call that returns EINTR.
const maxInterruptions = 16

// NoInputPending reports whether all input received so far has been consumed and the peer has not closed. If so, bytes
// that arrive later can be the answer to output that is sent now. It is false if the state cannot be determined.
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

// reachedEOF reports whether the peer has shut down sending and all its input has been read.
func (c *Conn) reachedEOF() bool {
	n, err := c.peek()
	return n == 0 && err == nil
}

// peek returns the number of bytes, 0 or 1, that it can read without consuming them, see MSG_PEEK in recv(2). 0 without
// an error means the end of the stream.
func (c *Conn) peek() (int, error) {
	c.loop.Stats.OtherCalls.Add(1)
	n, _, err := c.loop.sys.Recvfrom(c.fd, c.loop.smallBuffer[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
