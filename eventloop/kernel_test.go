package eventloop

import (
	"fmt"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// kernel stands between a loop and Linux: calls fail as told, descriptors are counted.
type kernel struct {
	Linux
	mu     sync.Mutex
	faults map[string][]unix.Errno // what the next calls of a name fail with, in turn; 0: nothing
	always map[string]unix.Errno   // what all calls of a name fail with after that
	calls  map[string]int
	total  int
	open   map[int]string // the call that made a descriptor
	misuse []string       // calls on descriptors that are not open
}

func newKernel() *kernel {
	return &kernel{faults: map[string][]unix.Errno{}, always: map[string]unix.Errno{}, calls: map[string]int{}, open: map[int]string{}}
}

// documented is how the calls of a loop can fail, by the manual pages of Linux. "SO_ERROR" is what an attempt to
// connect ends with, "short read" and "short write" are calls that carry one byte.
var documented = []struct {
	call   string
	errnos []unix.Errno
}{
	{"epoll_create", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM}},
	{"eventfd", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENODEV, unix.ENOMEM}},
	{"epoll_ctl add", []unix.Errno{unix.ENOMEM, unix.ENOSPC}},
	{"epoll_ctl mod", []unix.Errno{unix.ENOMEM, unix.ENOENT}},
	{"epoll_wait", []unix.Errno{unix.EINTR, unix.ENOMEM, unix.EINVAL}},
	{"socket", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES, unix.EAFNOSUPPORT}},
	{"connect", []unix.Errno{unix.EINTR, unix.EAGAIN, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ECONNREFUSED, unix.ETIMEDOUT,
		unix.EHOSTUNREACH, unix.EACCES, unix.EPERM}},
	{"SO_ERROR", []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ECONNRESET}},
	{"getsockopt", []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
	{"setsockopt", []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
	{"bind", []unix.Errno{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.EACCES, unix.ENOMEM}},
	{"listen", []unix.Errno{unix.EADDRINUSE}},
	{"getsockname", []unix.Errno{unix.ENOBUFS}},
	{"accept", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPROTO,
		unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
		unix.ENOSR}},
	{"read", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOMEM}},
	{"write", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOBUFS, unix.ENOMEM}},
	{"short read", []unix.Errno{unix.EAGAIN}},
	{"short write", []unix.Errno{unix.EAGAIN}},
	{"read eventfd", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM}},
	{"write eventfd", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM}},
	{"recvfrom", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM, unix.ECONNREFUSED}},
	{"sendto", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.ENETUNREACH, unix.ECONNREFUSED}},
	{"shutdown", []unix.Errno{unix.ENOTCONN, unix.ENOBUFS}},
	{"close", []unix.Errno{unix.EINTR, unix.EIO}},
}

// due is what a call on a descriptor, none if negative, fails with.
func (k *kernel) due(call string, fd int) unix.Errno {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[call]++
	k.total++
	if fd >= 0 && k.open[fd] == "" {
		k.misuse = append(k.misuse, fmt.Sprintf("%s of %d", call, fd))
	}
	if list := k.faults[call]; len(list) > 0 {
		k.faults[call] = list[1:]
		return list[0]
	}
	return k.always[call]
}

// fail is due as an error.
func (k *kernel) fail(call string, fd int) error {
	if e := k.due(call, fd); e != 0 {
		return e
	}
	return nil
}

func (k *kernel) made(call string, fd int, err error) (int, error) {
	if err == nil {
		k.mu.Lock()
		k.open[fd] = call
		k.mu.Unlock()
	}
	return fd, err
}

func (k *kernel) count(call string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if call == "" {
		return k.total
	}
	return k.calls[call]
}

// will has all calls of a name fail from now on, or none more.
func (k *kernel) will(call string, e unix.Errno) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.always[call] = e
}

// check tells of descriptors that are still open or were used when they were not.
func (k *kernel) check(t testing.TB) {
	t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	for fd, call := range k.open {
		t.Errorf("descriptor %d of %s is left open", fd, call)
		unix.Close(fd)
	}
	for _, m := range k.misuse {
		t.Errorf("used although not open: %s", m)
	}
}

func (k *kernel) EpollCreate() (int, error) {
	if err := k.fail("epoll_create", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.EpollCreate()
	return k.made("epoll_create", fd, err)
}

func (k *kernel) Eventfd() (int, error) {
	if err := k.fail("eventfd", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.Eventfd()
	return k.made("eventfd", fd, err)
}

func (k *kernel) EpollCtl(epoll, op, fd int, event unix.EpollEvent) error {
	name := map[int]string{unix.EPOLL_CTL_ADD: "epoll_ctl add", unix.EPOLL_CTL_MOD: "epoll_ctl mod"}[op]
	if err := k.fail(name, fd); err != nil {
		return err
	}
	return k.Linux.EpollCtl(epoll, op, fd, event)
}

func (k *kernel) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := k.fail("epoll_wait", epoll); err != nil {
		return -1, err
	}
	return k.Linux.EpollWait(epoll, events, milliseconds)
}

func (k *kernel) Socket(family, kind int) (int, error) {
	if err := k.fail("socket", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.Socket(family, kind)
	return k.made("socket", fd, err)
}

func (k *kernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.fail("accept", fd); err != nil {
		return -1, nil, err
	}
	fd, from, err := k.Linux.Accept(fd)
	fd, err = k.made("accept", fd, err)
	return fd, from, err
}

func (k *kernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.fail("connect", fd)
	if err == nil || err == unix.EINTR { // the attempt goes on, see connect(2)
		if real := k.Linux.Connect(fd, to); err == nil {
			return real
		}
	}
	return err
}

func (k *kernel) Bind(fd int, at unix.Sockaddr) error {
	if err := k.fail("bind", fd); err != nil {
		return err
	}
	return k.Linux.Bind(fd, at)
}

func (k *kernel) Listen(fd, backlog int) error {
	if err := k.fail("listen", fd); err != nil {
		return err
	}
	return k.Linux.Listen(fd, backlog)
}

func (k *kernel) Getsockname(fd int) (unix.Sockaddr, error) {
	if err := k.fail("getsockname", fd); err != nil {
		return nil, err
	}
	return k.Linux.Getsockname(fd)
}

func (k *kernel) GetsockoptInt(fd, level, option int) (int, error) {
	if err := k.fail("getsockopt", fd); err != nil {
		return 0, err
	}
	if e := k.due("SO_ERROR", fd); e != 0 {
		return int(e), nil
	}
	return k.Linux.GetsockoptInt(fd, level, option)
}

func (k *kernel) SetsockoptInt(fd, level, option, value int) error {
	if err := k.fail("setsockopt", fd); err != nil {
		return err
	}
	return k.Linux.SetsockoptInt(fd, level, option, value)
}

// of is the name of a read or write of a descriptor.
func (k *kernel) of(call string, fd int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[fd] == "eventfd" {
		return call + " eventfd"
	}
	return call
}

func (k *kernel) Read(fd int, b []byte) (int, error) {
	name := k.of("read", fd)
	if err := k.fail(name, fd); err != nil {
		return -1, err
	}
	if name == "read" && k.due("short read", fd) != 0 {
		b = b[:1]
	}
	return k.Linux.Read(fd, b)
}

func (k *kernel) Write(fd int, b []byte) (int, error) {
	name := k.of("write", fd)
	if err := k.fail(name, fd); err != nil {
		if name == "write eventfd" && err == unix.EAGAIN { // the counter is full, so the loop wakes
			k.Linux.Write(fd, b)
		}
		return -1, err
	}
	if name == "write" && k.due("short write", fd) != 0 {
		b = b[:1]
	}
	return k.Linux.Write(fd, b)
}

func (k *kernel) Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
	if err := k.fail("recvfrom", fd); err != nil {
		return -1, nil, err
	}
	return k.Linux.Recvfrom(fd, b, flags)
}

func (k *kernel) Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error {
	if err := k.fail("sendto", fd); err != nil {
		return err
	}
	return k.Linux.Sendto(fd, b, flags, to)
}

func (k *kernel) Shutdown(fd, how int) error {
	if err := k.fail("shutdown", fd); err != nil {
		return err
	}
	return k.Linux.Shutdown(fd, how)
}

// Close releases the descriptor whatever it returns, see close(2).
func (k *kernel) Close(fd int) error {
	err := k.fail("close", fd)
	k.mu.Lock()
	was := k.open[fd]
	delete(k.open, fd)
	k.mu.Unlock()
	if was == "" {
		return unix.EBADF
	}
	if real := k.Linux.Close(fd); real != nil {
		return real
	}
	return err
}
