package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections.
type Listener struct {
	l          *Loop
	fd         int
	accept     func(*Conn) Handler
	closed     bool
	backingOff bool // until a timer runs
}

// Listen accepts on an address and port, 0 for any; accept gives each connection its handler, or nil to
// turn it away.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.socket(at.Addr())
	if err != nil {
		return nil, err
	}
	l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = l.sys.Bind(fd, sockaddr(at)); err == nil {
		err = l.sys.Listen(fd, 1024)
	}
	if err != nil {
		l.sys.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n := &Listener{l: l, fd: fd, accept: accept}
	if err := l.add(fd, unix.EPOLLIN, n); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	return n, nil
}

// Address is where the listener listens.
func (n *Listener) Address() string {
	if sa, err := n.l.sys.Getsockname(n.fd); err == nil {
		switch in := sa.(type) {
		case *unix.SockaddrInet4:
			return netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
		case *unix.SockaddrInet6:
			return netip.AddrPortFrom(netip.AddrFrom16(in.Addr), uint16(in.Port)).String()
		}
	}
	return ""
}

const (
	// acceptBackoff is how long a listener, or a socket of datagrams, waits for descriptors or memory to come free.
	acceptBackoff = 50 * time.Millisecond
	// maxAcceptErrors is how many errors of single connections a listener passes over in one round.
	maxAcceptErrors = 64
)

// Close stops accepting.
func (n *Listener) Close() {
	if !n.closed {
		n.closed = true
		n.l.closeFile(n.fd)
	}
}

// maxAccepts is how many connections are accepted at a time; then others have their turn.
const maxAccepts = 32

func (n *Listener) ready(uint32) {
	if n.backingOff { // epoll was not told
		n.backOff()
		return
	}
	for accepted, failed := 0, 0; accepted < maxAccepts && !n.closed; {
		n.l.Stats.OtherCalls.Add(1)
		fd, from, err := n.l.sys.Accept(n.fd)
		switch {
		case err == nil:
			accepted++
			n.serve(fd, from)
		case errors.Is(err, unix.EAGAIN):
			return
		case failed < maxAcceptErrors && isConnectionError(err):
			failed++
		default:
			n.backOff()
			return
		}
	}
}

// isConnectionError tells of an error of accept that the next call need not meet: a signal, or an error that waited on the
// new socket, see accept(2).
func isConnectionError(err error) bool {
	return anyOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// serve serves a new connection, or turns it away.
func (n *Listener) serve(fd int, from unix.Sockaddr) {
	n.l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: n.l, fd: fd, events: unix.EPOLLIN}
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		c.RemoteIP = netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		c.RemoteIP = netip.AddrFrom16(a.Addr)
	}
	n.l.register(fd, c)
	c.handler = n.accept(c)
	switch {
	case c.closed:
	case c.handler == nil:
		c.closed = true
		n.l.closeFile(fd)
	default:
		if c.NotifyHalfClose {
			c.events |= unix.EPOLLRDHUP
		}
		c.watched = true
		if err := n.l.control(unix.EPOLL_CTL_ADD, fd, c.events); err != nil {
			c.fail(err)
		}
	}
}

// backOff stops accepting for a time: connections that wait and cannot be accepted would wake the loop all the time.
func (n *Listener) backOff() {
	if n.l.control(unix.EPOLL_CTL_MOD, n.fd, 0) != nil {
		n.l.pauseRound = true
	}
	if !n.backingOff {
		n.backingOff = true
		n.l.Schedule(n.l.Now()+acceptBackoff, n.resume)
	}
}

func (n *Listener) resume() {
	if n.closed {
		return
	}
	if n.l.control(unix.EPOLL_CTL_MOD, n.fd, unix.EPOLLIN) != nil {
		n.l.Schedule(n.l.Now()+acceptBackoff, n.resume)
		return
	}
	n.backingOff = false
}
