package eventloop

import (
	"errors"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to an IP address and port. Later the loop calls Opened of the handler if the connection is
// established, or Closed with the error if not. An error of the first system calls is returned; see Transient.
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
	if err != nil && !connectInProgress(err) {
		_ = l.sys.Close(fd) // unused; the error above is the one to report
		return nil, os.NewSyscallError("connect", err)
	}
	c := &Conn{loop: l, fd: fd, handler: handler, dialing: true, interest: unix.EPOLLOUT, registered: true}
	if err := l.add(fd, c.interest, c); err != nil {
		return nil, err
	}
	return c, nil
}

// connectInProgress reports whether the attempt to connect continues in the background: connect(2) returns EINPROGRESS
// on a non-blocking socket, and EINTR does not end the attempt either.
func connectInProgress(err error) bool {
	return errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR)
}

// finishDial handles the result of the attempt to connect, which is in SO_ERROR, see EINPROGRESS in connect(2).
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
