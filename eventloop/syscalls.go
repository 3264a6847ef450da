package eventloop

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// Syscalls is the system calls that a loop makes. Linux is the real one; tests put one round it that fails as Linux
// documents. Write must be safe for concurrent use, since Post calls it; the others are called on the loop alone.
type Syscalls interface {
	// EpollCreate and Eventfd make descriptors that do not block and are closed on exec.
	EpollCreate() (int, error)
	Eventfd() (int, error)
	EpollCtl(epoll, op, fd int, event unix.EpollEvent) error
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)

	// Socket and Accept make descriptors that do not block and are closed on exec.
	Socket(family, kind int) (int, error)
	Accept(fd int) (int, unix.Sockaddr, error)
	Connect(fd int, to unix.Sockaddr) error
	Bind(fd int, at unix.Sockaddr) error
	Listen(fd, backlog int) error
	Getsockname(fd int) (unix.Sockaddr, error)
	GetsockoptInt(fd, level, option int) (int, error)
	SetsockoptInt(fd, level, option, value int) error
	SetsockoptLinger(fd int, linger unix.Linger) error
	// UnackedBytes is how many bytes of a TCP socket's send buffer the other end has not acknowledged (SIOCOUTQ).
	UnackedBytes(fd int) (int, error)

	Read(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error)
	Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error
	Shutdown(fd, how int) error
	Close(fd int) error
}

// Linux makes the calls of Syscalls to the kernel.
type Linux struct{}

func (Linux) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }
func (Linux) Eventfd() (int, error)     { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

func (Linux) EpollCtl(epoll, op, fd int, event unix.EpollEvent) error {
	return unix.EpollCtl(epoll, op, fd, &event)
}

func (Linux) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

func (Linux) Socket(family, kind int) (int, error) {
	return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

func (Linux) Connect(fd int, to unix.Sockaddr) error    { return unix.Connect(fd, to) }
func (Linux) Bind(fd int, at unix.Sockaddr) error       { return unix.Bind(fd, at) }
func (Linux) Listen(fd, backlog int) error              { return unix.Listen(fd, backlog) }
func (Linux) Getsockname(fd int) (unix.Sockaddr, error) { return unix.Getsockname(fd) }

func (Linux) GetsockoptInt(fd, level, option int) (int, error) {
	return unix.GetsockoptInt(fd, level, option)
}

func (Linux) SetsockoptInt(fd, level, option, value int) error {
	return unix.SetsockoptInt(fd, level, option, value)
}

// SetsockoptLinger sets SO_LINGER.
func (Linux) SetsockoptLinger(fd int, linger unix.Linger) error {
	return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger)
}

// UnackedBytes reads SIOCOUTQ.
func (Linux) UnackedBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }

func (Linux) Read(fd int, b []byte) (int, error)  { return unix.Read(fd, b) }
func (Linux) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

func (Linux) Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
	return unix.Recvfrom(fd, b, flags)
}

func (Linux) Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error {
	return unix.Sendto(fd, b, flags, to)
}

func (Linux) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }
func (Linux) Close(fd int) error         { return unix.Close(fd) }

// Transient tells of an error of New, Dial, Listen or Packets that says nothing of the other end, nor of what was asked
// for, and may pass in a moment, so that the call is worth making again after a pause:
//
//	EMFILE, ENFILE          no descriptors, of the process or of the system
//	ENOBUFS, ENOMEM         no memory
//	ENOSPC                  too many descriptors watched by epoll for one user
//	EAGAIN                  no entry free in the kernel's tables
//	EADDRNOTAVAIL           no local port free; a bind to an address that this host does not have yet
//	ENETUNREACH, ENETDOWN   no route, or no interface, at this host
//	EINTR                   a signal
//
// EADDRINUSE is none: another listens there. Nor are ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH, which tell of
// the other end or the way to it.
func Transient(err error) bool {
	return anyOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EADDRNOTAVAIL, unix.ENETUNREACH,
		unix.ENETDOWN, unix.EINTR)
}

// anyOf tells whether err is, or wraps, one of some errors of system calls.
func anyOf(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
