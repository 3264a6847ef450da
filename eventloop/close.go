package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// gracefulCloseTimeout is the time for which CloseGracefully waits for the peer to close after all output is
	// written. CloseAfterFlush closes the socket after its delay plus this time, unless the peer is receiving output.
	gracefulCloseTimeout = time.Second
	// unreadCloseTimeout is the time after which CloseGracefully closes the socket even if the peer has not received
	// the output.
	unreadCloseTimeout = 10 * time.Second
	// ackPollInterval is the time between two checks of the number of unacknowledged bytes.
	ackPollInterval = 10 * time.Millisecond
)

// Close closes the socket immediately; the kernel sends a reset if input was left unread. It calls OnClosed, but not
// Handler.Closed.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.Output, c.written, c.filtered, c.input = nil, 0, 0, nil // timers may keep the Conn for seconds
	c.loop.closeDescriptor(c.fd)
	if c.Tap != nil {
		c.Tap(false, nil)
	}
	if c.OnClosed != nil {
		c.OnClosed()
	}
}

// Abort closes the socket immediately with a reset (SO_LINGER with a linger time of 0, see socket(7)). Output that the
// peer's kernel has not received yet is lost. Otherwise it is like Close.
func (c *Conn) Abort() {
	if !c.closed {
		_ = c.loop.sys.SetsockoptLinger(c.fd, unix.Linger{Onoff: 1}) // the socket is closed either way
	}
	c.Close()
}

// SimulateReset ends the connection in the same way as a reset from the peer.
func (c *Conn) SimulateReset() { c.fail(unix.ECONNRESET) }

// CloseGracefully writes Output, shuts down sending, and closes the socket when the peer has closed too, or after one
// second. If the peer could then still lose output, the close is delayed further, up to ten seconds after the call. If
// the socket were closed immediately, the kernel would answer further input with a reset, and the peer could lose
// output that it has not read yet. Nothing more is read: a request that arrives during the close stays unread, so that
// its sender may send it again. Handler.Closed is not called.
func (c *Conn) CloseGracefully() {
	if c.closing || c.closed {
		return
	}
	if c.dialing {
		c.Close()
		return
	}
	c.closeAfterOutput(gracefulCloseTimeout)
	c.loop.Schedule(c.loop.Now()+unreadCloseTimeout, c.Close)
}

// CloseAfterFlush ends a connection whose further input is not needed: Output is written, nothing more is read, and
// the socket is closed after a delay in which the peer can read the output. If the peer has not received the output by
// then, the socket is closed one second later, or up to ten seconds after the call while the peer receives more of it
// each second. Handler.Closed is not called.
func (c *Conn) CloseAfterFlush(delay time.Duration) {
	if c.closing || c.closed {
		return
	}
	now, unreceived := c.loop.Now(), c.UnackedBytes()
	c.closeAfterOutput(delay)
	c.loop.Schedule(now+gracefulCloseTimeout+delay, func() { c.closeWhenStalled(unreceived, now+unreadCloseTimeout) })
}

// closeWhenStalled closes the socket if the peer has received nothing since unreceived bytes were left, or at the given
// time. Otherwise it looks again later.
func (c *Conn) closeWhenStalled(unreceived int, latest time.Duration) {
	now, left := c.loop.Now(), c.UnackedBytes()
	if c.closed || left == unreceived || now >= latest {
		c.Close()
		return
	}
	c.loop.Schedule(min(now+gracefulCloseTimeout, latest), func() { c.closeWhenStalled(left, latest) })
}

// closeAfterOutput writes Output and shuts down sending. It closes the socket when the peer closes or a delay has
// passed, but not while the peer could lose output.
func (c *Conn) closeAfterOutput(delay time.Duration) {
	c.closing, c.input, c.closeDelay = true, nil, delay
	c.Pause()
	c.write()
}

// outputWritten continues a close that was waiting for Output to be written.
func (c *Conn) outputWritten() {
	if c.closing {
		c.closeWrite()
	}
	if c.closeDelay > 0 {
		c.loop.Schedule(c.loop.Now()+c.closeDelay, c.closeWhenAcked)
		c.closeDelay = 0
	}
}

// closeWrite shuts down sending, see shutdown(2).
func (c *Conn) closeWrite() {
	c.writeClosed = true
	c.loop.Stats.OtherCalls.Add(1)
	_ = c.loop.sys.Shutdown(c.fd, unix.SHUT_WR) // a timer closes the socket either way
}

// closeWhenAcked closes a connection whose sending is shut down, as soon as the peer can no longer lose output by it.
// Closing a socket that has unread input resets the connection, and output that the peer has not acknowledged is lost.
func (c *Conn) closeWhenAcked() {
	if c.closed {
		return
	}
	if c.UnackedBytes() == 0 || c.reachedEOF() {
		c.Close()
		return
	}
	// Once both directions have ended, epoll reports EPOLLHUP in every round; it cannot be masked, see epoll_ctl(2).
	if c.registered {
		c.registered = false
		_ = c.loop.control(unix.EPOLL_CTL_DEL, c.fd, 0) // the close of the descriptor removes it too
	}
	c.loop.Schedule(c.loop.Now()+ackPollInterval, c.closeWhenAcked)
}

// fail closes the socket and calls Handler.Closed, unless a close was already in progress. A nil error means that the
// peer closed the connection normally.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if !c.closing {
		c.handler.Closed(c, err)
	}
}

// failLater fails the connection after the current call, which may be a call of its handler, has returned.
func (c *Conn) failLater(err error) {
	c.loop.Schedule(0, func() { c.fail(err) })
}
