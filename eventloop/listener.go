package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is the number of connections that may wait to be accepted, see listen(2).
	listenBacklog = 1024
	// maxAccepts is the number of connections that a listener accepts in one round before other sockets are served.
	maxAccepts = 32
	// maxAcceptErrors is the number of errors of single connections that a listener skips in one round.
	maxAcceptErrors = 64
	// acceptBackoff is the time for which a listener waits until descriptors or memory may be available again.
	acceptBackoff = 50 * time.Millisecond
)

// Listener accepts TCP connections on a loop.
type Listener struct {
	loop       *Loop
	fd         int
	accept     func(*Conn) Handler
	closed     bool
	backingOff bool // accepting is suspended until resume runs
}

// Listen accepts connections on an IP address and port; port 0 selects any free port. accept is called on the loop and
// returns the handler of a new connection, or nil to close it. An error of bind(2), listen(2) or epoll_ctl(2) is a
// *net.OpError, an error of socket(2) is an *os.SyscallError; see Transient.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.newSocket(addr.Addr())
	if err != nil {
		return nil, err
	}
	if err := l.bindAndListen(fd, addr); err != nil {
		_ = l.sys.Close(fd) // unused; the error above is the one to report
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	ln := &Listener{loop: l, fd: fd, accept: accept}
	if err := l.add(fd, unix.EPOLLIN, ln); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	return ln, nil
}

// bindAndListen sets SO_REUSEADDR, see socket(7): a port can be bound again while connections of an earlier process are
// still in a closing state.
func (l *Loop) bindAndListen(fd int, addr netip.AddrPort) error {
	_ = l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // if this fails, bind may return an error
	if err := l.sys.Bind(fd, sockaddr(addr)); err != nil {
		return os.NewSyscallError("bind", err)
	}
	return os.NewSyscallError("listen", l.sys.Listen(fd, listenBacklog))
}

// Address returns the IP address and port on which the listener accepts, or an empty string if getsockname(2) fails.
func (ln *Listener) Address() string {
	name, err := ln.loop.sys.Getsockname(ln.fd)
	if err != nil {
		return ""
	}
	switch address := name.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr), uint16(address.Port)).String()
	}
	return ""
}

// SetBuffers limits the memory, in bytes, that the kernel uses for each of the two buffers of each connection that is
// accepted from now on. Accepted sockets inherit the limits of their listener.
func (ln *Listener) SetBuffers(bytes int) {
	if !ln.closed {
		ln.loop.setBuffer(ln.fd, unix.SO_RCVBUF, bytes)
		ln.loop.setBuffer(ln.fd, unix.SO_SNDBUF, bytes)
	}
}

// Close stops accepting and closes the socket. Accepted connections stay open.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.closeDescriptor(ln.fd)
	}
}

func (ln *Listener) handleEvents(uint32) {
	if ln.backingOff { // epoll_ctl failed in backOff, so epoll still reports the listener
		ln.backOff()
		return
	}
	for accepted, failed := 0, 0; accepted < maxAccepts && !ln.closed; {
		ln.loop.Stats.OtherCalls.Add(1)
		fd, from, err := ln.loop.sys.Accept(ln.fd)
		switch {
		case err == nil:
			accepted++
			ln.serve(fd, from)
		case errors.Is(err, unix.EAGAIN):
			return
		case failed < maxAcceptErrors && isConnectionError(err):
			failed++
		default:
			ln.backOff()
			return
		}
	}
}

// isConnectionError reports whether an error of accept concerns only the current call, so that the next one may
// succeed: a signal has interrupted the call, or accept has returned a pending error of the new socket (see "Error
// handling" in accept(2)).
func isConnectionError(err error) bool {
	return anyOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// serve passes a new connection to its handler, or closes it if there is none.
func (ln *Listener) serve(fd int, from unix.Sockaddr) {
	ln.loop.setNoDelay(fd)
	c := &Conn{loop: ln.loop, fd: fd, interest: unix.EPOLLIN}
	switch address := from.(type) {
	case *unix.SockaddrInet4:
		c.RemoteIP = netip.AddrFrom4(address.Addr)
	case *unix.SockaddrInet6:
		c.RemoteIP = netip.AddrFrom16(address.Addr)
	}
	ln.loop.register(fd, c)
	c.handler = ln.accept(c)
	switch {
	case c.closed:
	case c.handler == nil:
		c.closed = true
		ln.loop.closeDescriptor(fd)
	default:
		if c.NotifyHalfClose {
			c.interest |= unix.EPOLLRDHUP
		}
		c.registered = true
		if err := ln.loop.control(unix.EPOLL_CTL_ADD, fd, c.interest); err != nil {
			c.fail(err)
		}
	}
}

// backOff suspends accepting for acceptBackoff. Without it, connections that cannot be accepted would wake the loop in
// every round, since epoll is level-triggered, see epoll(7). Limitation: new connections are delayed by acceptBackoff.
func (ln *Listener) backOff() {
	if ln.loop.control(unix.EPOLL_CTL_MOD, ln.fd, 0) != nil {
		ln.loop.pauseRound = true
	}
	if !ln.backingOff {
		ln.backingOff = true
		ln.loop.Schedule(ln.loop.Now()+acceptBackoff, ln.resume)
	}
}

func (ln *Listener) resume() {
	if ln.closed {
		return
	}
	if ln.loop.control(unix.EPOLL_CTL_MOD, ln.fd, unix.EPOLLIN) != nil {
		ln.loop.Schedule(ln.loop.Now()+acceptBackoff, ln.resume)
		return
	}
	ln.backingOff = false
}
