package eventloop

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Handler is told what becomes of a connection.
type Handler interface {
	// Opened tells that a dialled connection stands.
	Opened(*Conn)
	// Input hands over bytes and returns how many were used; the rest comes again with more behind it.
	Input(c *Conn, b []byte) int
	// Closed tells, once, that the connection is gone; err is nil if the other end closed it in order. It is
	// not called for Close.
	Closed(c *Conn, err error)
}

// FaultFilter changes bytes on their way; what it keeps back it gives at a later call, see Conn.Stir.
type FaultFilter interface {
	In(b []byte) []byte
	Out(b []byte) []byte
}

// Conn is a TCP connection on a loop.
type Conn struct {
	// Out is what is to be sent; append to it and call Send.
	Out []byte
	// Tap, where set, sees the bytes that cross the socket, in order; sent tells which way. No bytes: the end.
	Tap func(sent bool, b []byte)
	// FaultFilter, where set, stands between socket and handler and changes what crosses: the faults of a stand-in's wire.
	FaultFilter FaultFilter
	// RemoteIP is who connected; not set for a connection that was dialled.
	RemoteIP netip.Addr
	// MaxRead, where set, is how much one read takes at most.
	MaxRead int
	// BeforeWrite, where set, is called before bytes of Out are written, and may change what is unsent.
	BeforeWrite func()
	// OnClosed, where set, is called once the socket is closed, by whichever end.
	OnClosed func()
	// NotifyHalfClose has Closed told at once when the other end has ended its sending, also while the connection is paused;
	// what came before that and was not read is lost. It must be set before the connection is on the loop.
	NotifyHalfClose bool

	loop          *Loop
	fd            int
	handler       Handler
	buffered      []byte // read and not yet used
	sent          int    // bytes of Out that are gone already
	filtered      int    // bytes of Out that Bend has passed
	events        uint32 // what epoll watches
	watched       bool   // epoll does
	dialing       bool
	paused        bool
	queued        bool
	closed        bool
	closing       bool          // close once Out is sent
	writeClosed   bool          // it is, and the other end has been told so
	closeDelay    time.Duration // from then until the close, after Drop
	receivedAfter time.Duration // what was read last has come after this,
	looked        time.Duration // and before this
	held          bool          // it was not all, or reading has stopped since
	resumed       uint64        // the look before reading went on
}

func (c *Conn) Loop() *Loop { return c.loop }

// UnsentBytes is how many bytes of Out wait for the other end to read.
func (c *Conn) UnsentBytes() int { return len(c.Out) - c.sent }

// DiscardUnsent takes back bytes of what is unsent: those from one place in it up to another. It must not be used with Bend.
func (c *Conn) DiscardUnsent(from, to int) { c.Out = slices.Delete(c.Out, c.sent+from, c.sent+to) }

// Send has Out written at the end of the round.
func (c *Conn) Send() {
	if !c.queued && !c.closed && !c.dialing && len(c.Out) > c.sent {
		c.queued = true
		c.loop.pendingWrites = append(c.loop.pendingWrites, c)
	}
}

// BufferedBytes is how many bytes have come and were not used: a part of what the handler waits for.
func (c *Conn) BufferedBytes() int { return len(c.buffered) }

// ReceivedAfter is a time after which what was read last has come: what waits to be read while the loop is held up, or the
// connection paused, has come earlier than it is read.
func (c *Conn) ReceivedAfter() time.Duration { return c.receivedAfter }

// noteArrival notes when what is being read may have come at the earliest.
func (c *Conn) noteArrival(full bool) {
	c.receivedAfter = c.loop.eventsAfter
	if c.held && c.loop.polls <= c.resumed+1 { // it waited already when reading went on
		c.receivedAfter = min(c.receivedAfter, c.looked)
	}
	c.looked, c.held, c.resumed = c.loop.lastPoll, full, c.loop.polls
}

// Pause stops reading until Resume.
func (c *Conn) Pause() { c.paused, c.held = true, true; c.updateInterest() }

// Resume reads again. What came before and was not used is offered once more.
func (c *Conn) Resume() {
	if !c.paused || c.closed {
		return
	}
	c.paused = false
	c.resumed = c.loop.polls
	c.updateInterest()
	if len(c.buffered) > 0 {
		c.loop.Schedule(0, func() { c.input(nil) })
	}
}

// Close ends the connection at once, with a reset if data was left unread; Closed is not called, Ended is.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.loop.closeFile(c.fd)
		if c.Tap != nil {
			c.Tap(false, nil)
		}
		if c.OnClosed != nil {
			c.OnClosed()
		}
	}
}

// Abort ends the connection at once with a reset: what the other end's system has not taken yet never arrives.
func (c *Conn) Abort() {
	if !c.closed {
		c.loop.sys.SetsockoptLinger(c.fd, unix.Linger{Onoff: 1})
	}
	c.Close()
}

// gracefulCloseTimeout is how long Finish waits for an end that does not close once all is sent, unread for one that does not read.
const (
	gracefulCloseTimeout = time.Second
	unreadCloseTimeout   = 10 * time.Second
)

// CloseGracefully ends the connection in order: what is in Out is sent, then no more, and the socket is closed once the
// other end has closed too, or a second has passed. Closing at once would have the kernel answer what still
// comes with a reset, which can take from the other end what it has not read yet. Nothing more is read: a request
// that crosses the end stays unread, so that its sender may send it again.
func (c *Conn) CloseGracefully() {
	if c.closing || c.closed {
		return
	}
	if c.dialing {
		c.Close()
		return
	}
	c.closing, c.buffered, c.closeDelay = true, nil, gracefulCloseTimeout
	c.Pause()
	c.write()
	c.loop.Schedule(c.loop.Now()+unreadCloseTimeout, c.Close)
}

// CloseAfterFlush ends a connection whose bytes are of no use: what is in Out is sent, nothing more is read, and the socket is
// closed after a time in which the other end can read that, or a second later where it does not. Closed is not called.
func (c *Conn) CloseAfterFlush(after time.Duration) {
	if c.closing || c.closed {
		return
	}
	c.closing, c.buffered, c.closeDelay = true, nil, after
	c.Pause()
	c.write()
	c.loop.Schedule(c.loop.Now()+gracefulCloseTimeout+after, c.Close)
}

// ackPollInterval is how long after one look at what the other end has acknowledged the next follows.
const ackPollInterval = 10 * time.Millisecond

// closeWhenAcked closes a connection that has ended its sending, once that takes nothing from the other end: a close over unread
// bytes resets the connection, and what the other end has not acknowledged yet is lost with it.
func (c *Conn) closeWhenAcked() {
	if c.closed {
		return
	}
	if c.UnackedBytes() == 0 || c.peerHasEnded() {
		c.Close()
		return
	}
	// The end of both directions would be told in every round.
	if c.watched {
		c.watched = false
		c.loop.control(unix.EPOLL_CTL_DEL, c.fd, 0)
	}
	c.loop.Schedule(c.loop.Now()+ackPollInterval, c.closeWhenAcked)
}

// peerHasEnded tells that the other end has ended its sending and all of it has been read.
func (c *Conn) peerHasEnded() bool {
	c.loop.Stats.OtherCalls.Add(1)
	n, _, err := c.loop.sys.Recvfrom(c.fd, c.loop.small[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil
}

// UnackedBytes is how many bytes the other end's system has not acknowledged, unsent ones included; 0 where the system does
// not tell.
func (c *Conn) UnackedBytes() int {
	if c.closed || c.dialing {
		return 0
	}
	c.loop.Stats.OtherCalls.Add(1)
	n, err := c.loop.sys.UnackedBytes(c.fd)
	if err != nil {
		n = 0
	}
	return n + c.UnsentBytes()
}

// NoInputPending tells that nothing has come that was not read, the end of the connection included: what is sent now has
// the next byte that comes for an answer.
func (c *Conn) NoInputPending() bool {
	if c.closed || c.dialing || len(c.buffered) > 0 {
		return false
	}
	for range maxInterruptions {
		c.loop.Stats.OtherCalls.Add(1)
		_, _, err := c.loop.sys.Recvfrom(c.fd, c.loop.small[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
	return false
}

// maxInterruptions is how often a call that does not wait is made anew in one round after a signal has interrupted it.
const maxInterruptions = 16

func (c *Conn) closeWrite() {
	c.writeClosed = true
	c.loop.Stats.OtherCalls.Add(1)
	c.loop.sys.Shutdown(c.fd, unix.SHUT_WR)
}

func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if !c.closing {
		c.handler.Closed(c, err)
	}
}

func (c *Conn) updateInterest() {
	var want uint32
	if !c.paused && !c.dialing {
		want |= unix.EPOLLIN
	}
	if c.NotifyHalfClose && !c.closing || c.writeClosed {
		want |= unix.EPOLLRDHUP
	}
	if c.dialing || c.sent < len(c.Out) && !c.queued {
		want |= unix.EPOLLOUT
	}
	if want == c.events || c.closed {
		return
	}
	if c.watched {
		if err := c.loop.control(unix.EPOLL_CTL_MOD, c.fd, want); err != nil {
			c.failLater(err)
			return
		}
	}
	c.events = want
}

// failLater fails the connection once the call that runs now, which may be one of its handler, has returned.
func (c *Conn) failLater(err error) {
	c.loop.Schedule(0, func() { c.fail(err) })
}

// socketError is what the socket has failed with; nil: nothing that is known.
func (c *Conn) socketError() error {
	c.loop.Stats.OtherCalls.Add(1)
	n, err := c.loop.sys.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && n != 0 {
		err = unix.Errno(n)
	}
	return err
}

func (c *Conn) ready(events uint32) {
	if c.dialing {
		c.dialing = false
		if err := c.socketError(); err != nil {
			c.fail(err)
			return
		}
		c.handler.Opened(c)
		c.updateInterest()
		c.Send()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.write()
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR|unix.EPOLLRDHUP) != 0 && !c.closed {
		switch {
		case c.NotifyHalfClose && !c.closing && events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
		case c.NotifyHalfClose && !c.closing && events&unix.EPOLLRDHUP != 0:
			c.fail(nil)
		case !c.paused:
			c.read()
		case c.writeClosed && events&unix.EPOLLERR == 0:
			c.closeWhenAcked()
		case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.fail(cmp.Or(c.socketError(), error(unix.ECONNRESET)))
		}
	}
}

func (c *Conn) read() {
	c.loop.Stats.Reads.Add(1)
	room := c.loop.readBuffer
	if c.MaxRead > 0 {
		room = room[:min(c.MaxRead, len(room))]
	}
	n, err := c.loop.sys.Read(c.fd, room)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
	case err != nil:
		c.fail(err)
	case n == 0:
		c.fail(nil)
	default:
		c.loop.Stats.BytesIn.Add(int64(n))
		c.noteArrival(n == len(room))
		if c.Tap != nil {
			c.Tap(false, c.loop.readBuffer[:n])
		}
		b := c.loop.readBuffer[:n]
		if c.FaultFilter != nil {
			b = c.FaultFilter.In(b)
		}
		c.input(b)
	}
}

// FlushFilter has Bend give what it kept back.
func (c *Conn) FlushFilter() {
	if c.FaultFilter != nil && !c.closed && !c.dialing {
		c.input(c.FaultFilter.In(nil))
		c.write()
	}
}

// Reset ends the connection as a reset by the other end does.
func (c *Conn) Reset() { c.fail(unix.ECONNRESET) }

// input offers b behind what was left.
func (c *Conn) input(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.buffered) > 0 {
		c.buffered = append(c.buffered, b...)
		c.loop.Stats.Copied.Add(int64(len(b)))
		b = c.buffered
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
	c.buffered = append(c.buffered[:0], rest...)
	if len(c.buffered) == 0 && cap(c.buffered) > readSize {
		c.buffered = nil
	}
	c.Send()
}

func (c *Conn) write() {
	if c.closed { // its descriptor may be another's
		return
	}
	if c.FaultFilter != nil {
		c.filtered = min(c.filtered, len(c.Out))
		fresh := append([]byte(nil), c.Out[c.filtered:]...)
		c.Out = append(c.Out[:c.filtered], c.FaultFilter.Out(fresh)...)
		c.filtered = len(c.Out)
	}
	if c.BeforeWrite != nil && !c.closed && c.sent < len(c.Out) {
		c.BeforeWrite()
	}
	for !c.closed && c.sent < len(c.Out) {
		c.loop.Stats.Writes.Add(1)
		n, err := c.loop.sys.Write(c.fd, c.Out[c.sent:])
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) { // epoll tells when to go on
			break
		}
		if err != nil {
			c.fail(err)
			return
		}
		if c.Tap != nil {
			c.Tap(true, c.Out[c.sent:c.sent+n])
		}
		c.loop.Stats.BytesOut.Add(int64(n))
		c.sent += n
	}
	if c.closed { // by Tap
		return
	}
	switch {
	case c.sent == len(c.Out):
		c.Out, c.sent, c.filtered = c.Out[:0], 0, 0
		if cap(c.Out) > readSize {
			c.Out = nil
		}
		if c.closing {
			c.closeWrite()
		}
		if c.closeDelay > 0 {
			c.loop.Schedule(c.loop.Now()+c.closeDelay, c.closeWhenAcked)
			c.closeDelay = 0
		}
	case c.sent > readSize:
		c.Out = append(c.Out[:0], c.Out[c.sent:]...)
		c.filtered, c.sent = max(0, c.filtered-c.sent), 0
	}
	c.updateInterest()
}

// Dial starts a connection to an address and port; the handler hears Opened or Closed later.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.socket(to.Addr())
	if err != nil {
		return nil, err
	}
	l.Stats.OtherCalls.Add(2)
	err = l.sys.Connect(fd, sockaddr(to))
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) { // both: it goes on, see connect(2)
		l.sys.Close(fd)
		return nil, err
	}
	c := &Conn{loop: l, fd: fd, handler: h, dialing: true, events: unix.EPOLLOUT, watched: true}
	if err := l.add(fd, c.events, c); err != nil {
		return nil, err
	}
	return c, nil
}
