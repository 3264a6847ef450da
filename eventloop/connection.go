package eventloop

import (
	"cmp"
	"errors"
	"net/netip"
	"os"
	"slices"
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
	// NotifyHalfClose has Closed called at once when the other end has ended its sending, also while the connection is
	// paused; what came before that and was not read is lost. It must be set before the connection is on the loop.
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
	writeClosed bool          // Output is written, and the other end has been told that nothing follows
	closeDelay  time.Duration // from then until the close, after CloseAfterFlush and CloseGracefully
}

// arrival bounds when the input of a connection has arrived. What waits in the socket while the loop is held up, or the
// connection paused, has arrived earlier than it is read.
type arrival struct {
	after    time.Duration // what was read last has arrived after this
	lastPoll time.Duration // the poll that the last read followed
	backlog  bool          // that read did not take all there was, or reading was paused since
	resumed  uint64        // number of the poll at which reading went on
}

// noteRead takes in a read. mayHaveMore says that the read filled its buffer, so that more input may wait.
func (a *arrival) noteRead(l *Loop, mayHaveMore bool) {
	a.after = l.eventsAfter
	if a.backlog && l.polls <= a.resumed+1 { // it waited already when reading went on
		a.after = min(a.after, a.lastPoll)
	}
	a.lastPoll, a.backlog, a.resumed = l.lastPoll, mayHaveMore, l.polls
}

// Dial starts a connection to an IP address and port; Opened or Closed of the handler tells how that ends.
func (l *Loop) Dial(address string, handler Handler) (*Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.newSocket(to.Addr())
	if err != nil {
		return nil, err
	}
	l.Stats.OtherCalls.Add(2)
	err = l.sys.Connect(fd, sockaddr(to))
	if err != nil && !connectGoesOn(err) {
		_ = l.sys.Close(fd) // unused; the error above is the one to report
		return nil, os.NewSyscallError("connect", err)
	}
	c := &Conn{loop: l, fd: fd, handler: handler, dialing: true, interest: unix.EPOLLOUT, registered: true}
	if err := l.add(fd, c.interest, c); err != nil {
		return nil, err
	}
	return c, nil
}

// connectGoesOn reports whether the attempt to connect goes on in the background: connect(2) returns EINPROGRESS on a
// socket that does not block, and EINTR does not end the attempt either.
func connectGoesOn(err error) bool {
	return errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR)
}

// Loop is the loop that serves the connection.
func (c *Conn) Loop() *Loop { return c.loop }

// UnsentBytes is the number of bytes of Output that are not written to the socket yet.
func (c *Conn) UnsentBytes() int { return len(c.Output) - c.written }

// DiscardUnsent removes a range of the unsent bytes; from and to count from the first unsent byte. It must not be used
// together with FaultFilter.
func (c *Conn) DiscardUnsent(from, to int) {
	c.Output = slices.Delete(c.Output, c.written+from, c.written+to)
}

// Send has Output written at the end of the round.
func (c *Conn) Send() {
	if !c.writeQueued && !c.closed && !c.dialing && c.written < len(c.Output) {
		c.writeQueued = true
		c.loop.pendingWrites = append(c.loop.pendingWrites, c)
	}
}

// BufferedBytes is the number of bytes that were received and not used: the start of what the handler waits for.
func (c *Conn) BufferedBytes() int { return len(c.input) }

// ReceivedAfter is a clock time after which the input read last has arrived. Input that waits while the loop is held
// up, or the connection paused, is read later than it has arrived.
func (c *Conn) ReceivedAfter() time.Duration { return c.arrival.after }

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

// FlushFilter has FaultFilter return what it holds back.
func (c *Conn) FlushFilter() {
	if c.FaultFilter != nil && !c.closed && !c.dialing {
		c.offerInput(c.FaultFilter.FilterInput(nil))
		c.write()
	}
}

// UnackedBytes is the number of bytes that the other end's system has not acknowledged (SIOCOUTQ, see tcp(7)), unsent
// ones included. Where the ioctl fails, it is the number of unsent bytes.
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

// maxInterruptions is how often in one round a call that does not wait is repeated after EINTR.
const maxInterruptions = 16

// NoInputPending reports whether everything received so far has been used, and the other end has not closed: bytes that
// come from now on can answer what is sent now. It is false where that is not known.
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

// finishDial takes up the result of the attempt to connect, which is SO_ERROR, see EINPROGRESS in connect(2).
func (c *Conn) finishDial() {
	c.dialing = false
	if err := c.socketError(); err != nil {
		c.fail(err)
		return
	}
	c.handler.Opened(c)
	c.updateInterest()
	c.Send()
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

// write writes as much of Output as the socket takes.
func (c *Conn) write() {
	if c.closed { // its descriptor may be another's
		return
	}
	if c.FaultFilter != nil {
		c.filterOutput()
	}
	if c.BeforeWrite != nil && !c.closed && c.written < len(c.Output) {
		c.BeforeWrite()
	}
	c.writeUnsent()
	if c.closed { // by an error or by Tap
		return
	}
	c.releaseWritten()
	c.updateInterest()
}

// filterOutput passes what is new in Output through FaultFilter.
func (c *Conn) filterOutput() {
	c.filtered = min(c.filtered, len(c.Output))
	unfiltered := append([]byte(nil), c.Output[c.filtered:]...)
	c.Output = append(c.Output[:c.filtered], c.FaultFilter.FilterOutput(unfiltered)...)
	c.filtered = len(c.Output)
}

// writeUnsent writes until all is written, the socket takes no more or the connection fails.
func (c *Conn) writeUnsent() {
	for !c.closed && c.written < len(c.Output) {
		c.loop.Stats.Writes.Add(1)
		n, err := c.loop.sys.Write(c.fd, c.Output[c.written:])
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) { // epoll reports when to go on
			return
		}
		if err != nil {
			c.fail(err)
			return
		}
		if c.Tap != nil {
			c.Tap(true, c.Output[c.written:c.written+n])
		}
		c.loop.Stats.BytesOut.Add(int64(n))
		c.written += n
	}
}

// releaseWritten drops what is written from Output, and goes on with a close that waits for it.
func (c *Conn) releaseWritten() {
	switch {
	case c.written == len(c.Output):
		c.Output, c.written, c.filtered = c.Output[:0], 0, 0
		if cap(c.Output) > readSize {
			c.Output = nil
		}
		c.outputWritten()
	case c.written > readSize:
		c.Output = append(c.Output[:0], c.Output[c.written:]...)
		c.filtered, c.written = max(0, c.filtered-c.written), 0
	}
}
