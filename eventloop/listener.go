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
	// listenBacklog is how many connections may wait to be accepted, see listen(2).
	listenBacklog = 1024
	// maxAccepts is how many connections a listener accepts in one round; then others have their turn.
	maxAccepts = 32
	// maxAcceptErrors is how many errors of single connections a listener skips in one round.
	maxAcceptErrors = 64
	// acceptBackoff is how long a listener waits for descriptors or memory to come free.
	acceptBackoff = 50 * time.Millisecond
)

// Listener accepts TCP connections on a loop.
type Listener struct {
	loop       *Loop
	fd         int
	accept     func(*Conn) Handler
	closed     bool
	backingOff bool // until the timer of resume
}

// Listen accepts connections on an IP address and port; port 0 takes any that is free. accept returns the handler of
// each connection, or nil to close it. An error of the system is a *net.OpError; see Transient.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.newSocket(at.Addr())
	if err != nil {
		return nil, err
	}
	if err := l.bindAndListen(fd, at); err != nil {
		_ = l.sys.Close(fd) // unused; the error above is the one to report
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	ln := &Listener{loop: l, fd: fd, accept: accept}
	if err := l.add(fd, unix.EPOLLIN, ln); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	return ln, nil
}

// bindAndListen sets SO_REUSEADDR, see socket(7): a port can be bound again while connections of a process before
// linger.
func (l *Loop) bindAndListen(fd int, at netip.AddrPort) error {
	_ = l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // without it bind may fail, and says so
	if err := l.sys.Bind(fd, sockaddr(at)); err != nil {
		return os.NewSyscallError("bind", err)
	}
	return os.NewSyscallError("listen", l.sys.Listen(fd, listenBacklog))
}

// Address is the IP address and port on which the listener accepts; empty where getsockname(2) fails.
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

// Close stops accepting and closes the socket. Connections that were accepted stay.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.closeFile(ln.fd)
	}
}

func (ln *Listener) ready(uint32) {
	if ln.backingOff { // epoll could not be changed
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

// isConnectionError reports whether an error is one that the next call of accept need not meet: a signal, or an error
// that is pending on the new socket, which accept passes on (see "Error handling" in accept(2)).
func isConnectionError(err error) bool {
	return anyOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// serve gives a new connection to its handler, or closes it where there is none.
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
		ln.loop.closeFile(fd)
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

// backOff stops accepting for a time. It guards against connections that wait and cannot be accepted: epoll is
// level-triggered, see epoll(7), and would report them in every round. It delays new connections by acceptBackoff.
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
