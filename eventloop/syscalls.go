package eventloop

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// Syscalls has the system calls that a loop makes. Linux implements it; tests wrap Linux to inject the errors that the
// manual pages document. Write must be safe for concurrent use, since Loop.Post calls it. The other methods are called
// only on the loop, or before it runs. The methods are named after the calls, see section 2 of the manual.
type Syscalls interface {
	// EpollCreate makes an epoll descriptor that is closed on exec.
	EpollCreate() (int, error)
	// Eventfd makes a non-blocking eventfd that is closed on exec; its counter is 0.
	Eventfd() (int, error)
	EpollCtl(epoll, op, fd int, event unix.EpollEvent) error
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)

	// Socket makes a non-blocking socket that is closed on exec.
	Socket(family, kind int) (int, error)
	// Accept returns a non-blocking socket that is closed on exec, and the address of the peer.
	Accept(fd int) (int, unix.Sockaddr, error)
	Connect(fd int, to unix.Sockaddr) error
	Bind(fd int, at unix.Sockaddr) error
	Listen(fd, backlog int) error
	Getsockname(fd int) (unix.Sockaddr, error)
	GetsockoptInt(fd, level, option int) (int, error)
	SetsockoptInt(fd, level, option, value int) error
	// SetsockoptLinger sets SO_LINGER, see socket(7).
	SetsockoptLinger(fd int, linger unix.Linger) error
	// UnackedBytes returns the number of bytes in a TCP socket's send buffer that the peer has not acknowledged
	// (SIOCOUTQ, see tcp(7)).
	UnackedBytes(fd int) (int, error)

	Read(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error)
	Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error
	Shutdown(fd, how int) error
	Close(fd int) error
}

// Linux implements Syscalls by system calls of the Linux kernel.
type Linux struct{}

// EpollCreate calls epoll_create1(2).
func (Linux) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// Eventfd calls eventfd(2).
func (Linux) Eventfd() (int, error) { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

// EpollCtl calls epoll_ctl(2).
func (Linux) EpollCtl(epoll, op, fd int, event unix.EpollEvent) error {
	return unix.EpollCtl(epoll, op, fd, &event)
}

// EpollWait calls epoll_wait(2).
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// Socket calls socket(2) with SOCK_NONBLOCK and SOCK_CLOEXEC.
func (Linux) Socket(family, kind int) (int, error) {
	return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Accept calls accept4(2) with SOCK_NONBLOCK and SOCK_CLOEXEC.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Connect calls connect(2).
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Bind calls bind(2).
func (Linux) Bind(fd int, at unix.Sockaddr) error { return unix.Bind(fd, at) }

// Listen calls listen(2).
func (Linux) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Getsockname calls getsockname(2).
func (Linux) Getsockname(fd int) (unix.Sockaddr, error) { return unix.Getsockname(fd) }

// GetsockoptInt calls getsockopt(2).
func (Linux) GetsockoptInt(fd, level, option int) (int, error) {
	return unix.GetsockoptInt(fd, level, option)
}

// SetsockoptInt calls setsockopt(2).
func (Linux) SetsockoptInt(fd, level, option, value int) error {
	return unix.SetsockoptInt(fd, level, option, value)
}

// SetsockoptLinger calls setsockopt(2) with SO_LINGER.
func (Linux) SetsockoptLinger(fd int, linger unix.Linger) error {
	return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger)
}

// UnackedBytes calls ioctl(2) with SIOCOUTQ, see tcp(7).
func (Linux) UnackedBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }

// Read calls read(2).
func (Linux) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Write calls write(2).
func (Linux) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Recvfrom calls recvfrom(2).
func (Linux) Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
	return unix.Recvfrom(fd, b, flags)
}

// Sendto calls sendto(2).
func (Linux) Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error {
	return unix.Sendto(fd, b, flags, to)
}

// Shutdown calls shutdown(2).
func (Linux) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// Close calls close(2).
func (Linux) Close(fd int) error { return unix.Close(fd) }

// Transient reports whether an error of New, Loop.Dial, Loop.Listen or Loop.ListenUDP may disappear soon and is caused
// neither by the peer nor by the arguments, so that the call should be retried after a delay. It is true for
//
//	EMFILE, ENFILE          no free descriptors in the process or the system
//	ENOBUFS, ENOMEM         no memory
//	ENOSPC                  too many descriptors watched by epoll for one user
//	EAGAIN                  no free entry in the kernel's tables
//	EADDRNOTAVAIL           no free local port; a bind to an address that this host does not have yet
//	ENETUNREACH, ENETDOWN   no route, or no interface, on this host
//	EINTR                   a signal
//
// and for errors that wrap one of these. It is false for EADDRINUSE, since another socket listens on the address, and
// for ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH, which concern the peer or the route to it.
func Transient(err error) bool {
	return anyOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.EINTR)
}

// anyOf reports whether err is, or wraps, one of the errnos.
func anyOf(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
