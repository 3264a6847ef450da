package eventloop

import (
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// eventHandler handles the events of a descriptor.
type eventHandler interface {
	handleEvents(events uint32)
}

// registration is one use of a descriptor number, with a generation of its own. The kernel may reuse the number of a
// descriptor that is closed during a round; the generation shows that events of this round belong to the closed one.
type registration struct {
	eventHandler
	generation int32
}

// register sets the handler for the events of a descriptor.
func (l *Loop) register(fd int, handler eventHandler) {
	l.lastGeneration++
	l.registrations[int32(fd)] = registration{handler, l.lastGeneration}
}

// add registers a descriptor and adds it to epoll; if that fails, it closes the descriptor.
func (l *Loop) add(fd int, events uint32, handler eventHandler) error {
	l.register(fd, handler)
	if err := l.control(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		l.closeDescriptor(fd)
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

// control changes the events that epoll watches on a descriptor, see epoll_ctl(2). The 64 bits of data that epoll
// returns with an event are the descriptor and its generation.
func (l *Loop) control(operation, fd int, events uint32) error {
	l.Stats.OtherCalls.Add(1)
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	return l.sys.EpollCtl(l.epollFD, operation, fd, event)
}

// closeDescriptor closes a descriptor. Linux releases it even if close returns an error, so the call is not retried,
// see close(2).
func (l *Loop) closeDescriptor(fd int) {
	if _, ok := l.registrations[int32(fd)]; !ok { // Run has ended
		return
	}
	delete(l.registrations, int32(fd))
	l.Stats.OtherCalls.Add(1)
	_ = l.sys.Close(fd)
}

// newSocket makes a TCP socket of the address family of an IP address.
func (l *Loop) newSocket(address netip.Addr) (int, error) {
	family := unix.AF_INET
	if address.Unmap().Is6() {
		family = unix.AF_INET6
	}
	fd, err := l.sys.Socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	l.setNoDelay(fd)
	return fd, nil
}

// setNoDelay sets TCP_NODELAY, see tcp(7): output is written once per round, so Nagle's algorithm would only delay it.
func (l *Loop) setNoDelay(fd int) {
	_ = l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the socket works without it, only slower
}

// setBuffer sets the memory, in bytes, that the kernel uses for the receive or send buffer of a socket, see SO_RCVBUF
// and SO_SNDBUF in socket(7). The kernel doubles the value, to leave room for its own records.
func (l *Loop) setBuffer(fd, option, bytes int) {
	_ = l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, option, bytes/2) // the socket works without it
}

func sockaddr(address netip.AddrPort) unix.Sockaddr {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}
