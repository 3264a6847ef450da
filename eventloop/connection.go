package eventloop

import (
	"cmp"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler receives the events of a connection. All its methods are called on the loop.
type Handler interface {
	// Opened is called when a dialled connection is established.
	Opened(c *Conn)
	// Input handles received bytes and returns the number of bytes that it has consumed. The remaining bytes are passed
	// again, together with the bytes received after them. The handler must not keep b.
	Input(c *Conn, b []byte) int
	// Closed is called once, when the connection has ended; err is nil if the peer closed it normally. It is not called
	// after Close, Abort, CloseGracefully or CloseAfterFlush.
	Closed(c *Conn, err error)
}

// FaultFilter changes bytes between socket and handler, for fault injection. It may retain bytes and return them from a
// later call, see Conn.FlushFilter.
type FaultFilter interface {
	// FilterInput returns the bytes that are passed to the handler in place of the received bytes.
	FilterInput(b []byte) []byte
	// FilterOutput returns the bytes that are written in place of bytes appended to Conn.Output.
	FilterOutput(b []byte) []byte
}

// Conn is a TCP connection on a loop. Its fields and methods must be used on the loop only.
type Conn struct {
	// Output has the bytes to be written: append to it and call Send.
	Output []byte
	// Tap, if set, is called with the bytes that are read from or written to the socket, in order; sent is true for
	// written bytes. It is called without bytes when the socket is closed.
	Tap func(sent bool, b []byte)
	// FaultFilter, if set, changes the bytes between socket and handler.
	FaultFilter FaultFilter
	// RemoteIP is the address of the client of an accepted connection; it is not set on a dialled connection.
	RemoteIP netip.Addr
	// MaxReadBytes, if positive, limits the bytes of one read.
	MaxReadBytes int
	// BeforeWrite, if set, is called before bytes of Output are written. It may change the unsent bytes.
	BeforeWrite func()
	// OnWritten, if set, is called after bytes of Output were written, except when that closes the socket.
	OnWritten func()
	// OnClosed, if set, is called when the socket is closed, by either end.
	OnClosed func()
	// NotifyHalfClose makes the loop call Handler.Closed as soon as the peer shuts down sending, even if the connection
	// is paused. Input that was not read before is lost. For an accepted connection it must be set in the accept
	// function of Loop.Listen, for a dialled one before Handler.Opened returns.
	NotifyHalfClose bool

	loop    *Loop
	fd      int
	handler Handler

	input    []byte // read from the socket and not consumed by the handler yet
	written  int    // number of bytes of Output that are already written
	filtered int    // number of bytes of Output that FaultFilter has returned
	arrival  arrival

	interest    uint32 // events that epoll watches
	registered  bool   // the descriptor is in the interest list of epoll
	dialing     bool   // the connection is not established yet
	paused      bool   // nothing is read
	offering    bool   // nothing is read until offerBuffered has run
	writeQueued bool   // the connection is in loop.pendingWrites

	closed      bool          // the socket is closed
	closing     bool          // the socket is to be closed after Output is written
	writeClosed bool          // Output is written and sending is shut down (FIN)
	closeDelay  time.Duration // time from the last write of Output to closeWhenAcked; 0: none, or scheduled
}

// Loop returns the loop that serves the connection.
func (c *Conn) Loop() *Loop { return c.loop }

// SetReceiveBuffer limits the memory, in bytes, that the kernel uses for input that is not read.
func (c *Conn) SetReceiveBuffer(bytes int) {
	if !c.closed {
		c.loop.setBuffer(c.fd, unix.SO_RCVBUF, bytes)
	}
}

// FlushFilter passes on the bytes that FaultFilter has retained and now returns.
func (c *Conn) FlushFilter() {
	if c.FaultFilter != nil && !c.closed && !c.dialing {
		c.offerInput(c.FaultFilter.FilterInput(nil))
		c.write()
	}
}

// updateInterest registers with epoll the events that the current state of the connection requires.
func (c *Conn) updateInterest() {
	interest := c.requiredEvents()
	if interest == c.interest || c.closed {
		return
	}
	if c.registered {
		if err := c.loop.control(unix.EPOLL_CTL_MOD, c.fd, interest); err != nil {
			c.failLater(err)
			return
		}
	}
	c.interest = interest
}

func (c *Conn) requiredEvents() uint32 {
	var events uint32
	if !c.paused && !c.offering && !c.dialing {
		events |= unix.EPOLLIN
	}
	if c.NotifyHalfClose && !c.closing || c.writeClosed {
		events |= unix.EPOLLRDHUP
	}
	if c.dialing || c.written < len(c.Output) && !c.writeQueued {
		events |= unix.EPOLLOUT
	}
	return events
}

// handleEvents handles the events that epoll_wait(2) reports.
func (c *Conn) handleEvents(events uint32) {
	if c.dialing {
		c.finishDial()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.write()
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR|unix.EPOLLRDHUP) != 0 && !c.closed {
		c.inputReady(events)
	}
}

// failWithSocketError fails a connection on which epoll reports EPOLLHUP or EPOLLERR.
func (c *Conn) failWithSocketError() {
	c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
}

// socketError returns the pending error of the socket (SO_ERROR, see socket(7)), or the error of getsockopt(2). It
// returns nil if there is neither.
func (c *Conn) socketError() error {
	c.loop.Stats.OtherCalls.Add(1)
	errno, err := c.loop.sys.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	return err
}
