package eventloop

import (
	"cmp"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler is what a connection calls. All calls are made on the loop.
type Handler interface {
	// Opened is called once a dialled connection is established.
	Opened(c *Conn)
	// Input brings bytes that were received and returns how many of them it has used. The rest is offered again, with
	// what follows it. The handler must not keep b.
	Input(c *Conn, b []byte) int
	// Closed is called once, when the connection has ended; err is nil if the other end closed it in order. It is not
	// called after Close, Abort, CloseGracefully and CloseAfterFlush.
	Closed(c *Conn, err error)
}

// FaultFilter changes bytes between socket and handler, for fault injection. It may hold bytes back and return them
// from a later call, see Conn.FlushFilter.
type FaultFilter interface {
	// FilterInput returns what the handler gets in place of received bytes.
	FilterInput(b []byte) []byte
	// FilterOutput returns what is written in place of bytes of Conn.FilterOutput.
	FilterOutput(b []byte) []byte
}

// Conn is a TCP connection on a loop. Its fields and methods must be used on the loop only.
type Conn struct {
	// Output is the output: append to it and call Send.
	Output []byte
	// Tap, where set, sees the bytes that cross the socket, in order; sent is their direction. It is called without
	// bytes when the socket is closed.
	Tap func(sent bool, b []byte)
	// FaultFilter, where set, changes the bytes between socket and handler.
	FaultFilter FaultFilter
	// RemoteIP is the address of the client of an accepted connection; it is not set on a dialled one.
	RemoteIP netip.Addr
	// MaxReadBytes, where positive, bounds one read.
	MaxReadBytes int
	// BeforeWrite, where set, is called before bytes of Output are written, and may change what is unsent.
	BeforeWrite func()
	// OnClosed, where set, is called once the socket is closed, by whichever end.
	OnClosed func()
	// NotifyHalfClose has Closed called at once when the other end has ended its sending, also while the connection
	// is paused; what came before that and was not read is lost. It must be set before the connection is on the loop.
	NotifyHalfClose bool

	loop    *Loop
	fd      int
	handler Handler

	input    []byte // read, and not used by the handler yet
	written  int    // bytes of Output that are written already
	filtered int    // bytes of Output that FaultFilter has passed
	arrival  arrival

	interest    uint32 // events that epoll watches
	registered  bool   // the descriptor is in epoll's interest list
	dialing     bool   // not established yet
	paused      bool   // nothing is read
	writeQueued bool   // it is in loop.pendingWrites

	closed      bool          // the socket is closed
	closing     bool          // the socket is closed once Output is written
	writeClosed bool          // Output is written, and its end has been sent (FIN)
	closeDelay  time.Duration // from then until the close, after CloseAfterFlush and CloseGracefully
}

// Loop is the loop that serves the connection.
func (c *Conn) Loop() *Loop { return c.loop }

// FlushFilter has FaultFilter return what it holds back.
func (c *Conn) FlushFilter() {
	if c.FaultFilter != nil && !c.closed && !c.dialing {
		c.offerInput(c.FaultFilter.FilterInput(nil))
		c.write()
	}
}

// updateInterest has epoll watch the events that the state of the connection asks for.
func (c *Conn) updateInterest() {
	interest := c.wantedEvents()
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

func (c *Conn) wantedEvents() uint32 {
	var events uint32
	if !c.paused && !c.dialing {
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

// ready serves the events that epoll_wait(2) reports.
func (c *Conn) ready(events uint32) {
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

// failBroken fails a connection on which epoll reports EPOLLHUP or EPOLLERR.
func (c *Conn) failBroken() {
	c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
}

// socketError is the pending error of the socket (SO_ERROR, see socket(7)), or that of asking for it; nil: there is
// none.
func (c *Conn) socketError() error {
	c.loop.Stats.OtherCalls.Add(1)
	errno, err := c.loop.sys.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	return err
}
