package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// gracefulCloseTimeout is how long CloseGracefully waits for the other end to close once all is written.
	// CloseAfterFlush waits as long, beyond its own delay, for the other end to take the output.
	gracefulCloseTimeout = time.Second
	// unreadCloseTimeout is how long CloseGracefully waits for the other end to take the output.
	unreadCloseTimeout = 10 * time.Second
	// ackPollInterval is the time between two checks of what the other end has acknowledged.
	ackPollInterval = 10 * time.Millisecond
)

// Close closes the socket at once; the system sends a reset if input was left unread. OnClosed is called,
// Handler.Closed is not.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.closeFile(c.fd)
	if c.Tap != nil {
		c.Tap(false, nil)
	}
	if c.OnClosed != nil {
		c.OnClosed()
	}
}

// Abort closes the socket at once with a reset (SO_LINGER with no time, see socket(7)): output that the other end's
// system has not taken yet never arrives. Otherwise it is like Close.
func (c *Conn) Abort() {
	if !c.closed {
		_ = c.loop.sys.SetsockoptLinger(c.fd, unix.Linger{Onoff: 1}) // the socket is closed either way
	}
	c.Close()
}

// SimulateReset ends the connection as a reset by the other end does.
func (c *Conn) SimulateReset() { c.fail(unix.ECONNRESET) }

// CloseGracefully ends the connection in order: Output is written, then the sending ends, and the socket is closed
// once the other end has closed too, or after a second. To close at once would have the kernel answer what still
// comes with a reset, which can take from the other end what it has not read yet. Nothing more is read: a request
// that crosses the end stays unread, so that its sender may send it again. Handler.Closed is not called.
func (c *Conn) CloseGracefully() {
	if c.closing || c.closed {
		return
	}
	if c.dialing {
		c.Close()
		return
	}
	c.closeAfterOutput(gracefulCloseTimeout, unreadCloseTimeout)
}

// CloseAfterFlush ends a connection whose further input is not needed: Output is written, nothing more is read, and
// the socket is closed after a delay in which the other end can read the output, or a second later where it has not.
// Handler.Closed is not called.
func (c *Conn) CloseAfterFlush(delay time.Duration) {
	if c.closing || c.closed {
		return
	}
	c.closeAfterOutput(delay, gracefulCloseTimeout+delay)
}

// closeAfterOutput closes the socket when Output is written and a delay has passed, and by a timeout from now in any
// case.
func (c *Conn) closeAfterOutput(delay, timeout time.Duration) {
	c.closing, c.input, c.closeDelay = true, nil, delay
	c.Pause()
	c.write()
	c.loop.Schedule(c.loop.Now()+timeout, c.Close)
}

// outputWritten goes on with a close that waits for the output.
func (c *Conn) outputWritten() {
	if c.closing {
		c.closeWrite()
	}
	if c.closeDelay > 0 {
		c.loop.Schedule(c.loop.Now()+c.closeDelay, c.closeWhenAcked)
		c.closeDelay = 0
	}
}

// closeWrite ends the sending, see shutdown(2).
func (c *Conn) closeWrite() {
	c.writeClosed = true
	c.loop.Stats.OtherCalls.Add(1)
	_ = c.loop.sys.Shutdown(c.fd, unix.SHUT_WR) // a timer closes the socket either way
}

// closeWhenAcked closes a connection that has ended its sending, once that takes nothing from the other end: a close
// over unread input resets the connection, and output that the other end has not acknowledged yet is lost with it.
func (c *Conn) closeWhenAcked() {
	if c.closed {
		return
	}
	if c.UnackedBytes() == 0 || c.peerHasEnded() {
		c.Close()
		return
	}
	// epoll always reports EPOLLHUP, once both directions have ended in every round: see epoll_ctl(2).
	if c.registered {
		c.registered = false
		_ = c.loop.control(unix.EPOLL_CTL_DEL, c.fd, 0) // the close of the descriptor removes it too
	}
	c.loop.Schedule(c.loop.Now()+ackPollInterval, c.closeWhenAcked)
}

// fail closes the socket and tells the handler, unless a close was under way already. A nil error is an end in order.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if !c.closing {
		c.handler.Closed(c, err)
	}
}

// failLater fails the connection once the call that runs now, which may be one of its handler, has returned.
func (c *Conn) failLater(err error) {
	c.loop.Schedule(0, func() { c.fail(err) })
}
