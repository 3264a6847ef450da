package eventloop

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// faultyKernel makes the system calls of Linux, injects errors into some of them, and tracks descriptors.
type faultyKernel struct {
	Linux
	mu     sync.Mutex
	faults map[string][]unix.Errno // the errors of the next calls by name, in order; 0: no error
	always map[string]unix.Errno   // the errors of all calls after these; 0: no error
	calls  map[string]int
	total  int            // number of all calls
	open   map[int]string // the name of the call that made each open descriptor
	misuse []string       // calls on descriptors that are not open
}

func newFaultyKernel() *faultyKernel {
	return &faultyKernel{
		faults: map[string][]unix.Errno{},
		always: map[string]unix.Errno{},
		calls:  map[string]int{},
		open:   map[int]string{},
	}
}

// documentedError has the errors that a call can return.
type documentedError struct {
	call   string
	errnos []unix.Errno
}

// documentedErrors has the errors that the manual pages of Linux document for the system calls of a loop. "SO_ERROR" is
// the result of an attempt to connect; "short read" and "short write" are calls that transfer one byte.
var documentedErrors = []documentedError{
	{"epoll_create", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM}},
	{"eventfd", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENODEV, unix.ENOMEM}},
	{"epoll_ctl add", []unix.Errno{unix.ENOMEM, unix.ENOSPC}},
	{"epoll_ctl mod", []unix.Errno{unix.ENOMEM, unix.ENOENT}},
	{"epoll_wait", []unix.Errno{unix.EINTR, unix.ENOMEM, unix.EINVAL}},
	{"socket", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES, unix.EAFNOSUPPORT}},
	{"connect", []unix.Errno{unix.EINTR, unix.EAGAIN, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS,
		unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EACCES, unix.EPERM}},
	{"SO_ERROR", []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ECONNRESET}},
	{"getsockopt", []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
	{"setsockopt", []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
	{"bind", []unix.Errno{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.EACCES, unix.ENOMEM}},
	{"listen", []unix.Errno{unix.EADDRINUSE}},
	{"getsockname", []unix.Errno{unix.ENOBUFS}},
	{"accept", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ETIMEDOUT, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ENOSR}},
	{"read", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOMEM}},
	{"write", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH,
		unix.ENOBUFS, unix.ENOMEM}},
	{"short read", []unix.Errno{unix.EAGAIN}},
	{"short write", []unix.Errno{unix.EAGAIN}},
	{"read eventfd", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM}},
	{"write eventfd", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM}},
	{"recvfrom", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOMEM, unix.ECONNREFUSED}},
	{"sendto", []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.ENETUNREACH,
		unix.ECONNREFUSED}},
	{"shutdown", []unix.Errno{unix.ENOTCONN, unix.ENOBUFS}},
	{"close", []unix.Errno{unix.EINTR, unix.EIO}},
}

// documentedErrnos returns the errors that one call can return.
func documentedErrnos(call string) []unix.Errno {
	i := slices.IndexFunc(documentedErrors, func(d documentedError) bool { return d.call == call })
	return slices.Clone(documentedErrors[i].errnos)
}

// setFaults sets the errors of the next calls with a name.
func (k *faultyKernel) setFaults(call string, errnos []unix.Errno) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults[call] = errnos
}

// nextFault counts a call and returns its error, or 0 if it does not fail. fd is negative if the call uses no
// descriptor.
func (k *faultyKernel) nextFault(call string, fd int) unix.Errno {
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

// nextError is like nextFault, with the result as an error.
func (k *faultyKernel) nextError(call string, fd int) error {
	if errno := k.nextFault(call, fd); errno != 0 {
		return errno
	}
	return nil
}

// opened records a descriptor that a call has made.
func (k *faultyKernel) opened(call string, fd int, err error) (int, error) {
	if err == nil {
		k.mu.Lock()
		k.open[fd] = call
		k.mu.Unlock()
	}
	return fd, err
}

// count returns the number of calls with a name, or of all calls if the name is empty.
func (k *faultyKernel) count(call string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if call == "" {
		return k.total
	}
	return k.calls[call]
}

// failAll makes all further calls with a name fail; errno 0 ends this.
func (k *faultyKernel) failAll(call string, errno unix.Errno) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.always[call] = errno
}

// check fails the test if descriptors are still open, or if calls used descriptors that were not open.
func (k *faultyKernel) check(t testing.TB) {
	t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	for fd, call := range k.open {
		t.Errorf("descriptor %d of %s was not closed", fd, call)
		_ = unix.Close(fd) // the test has failed already
	}
	for _, call := range k.misuse {
		t.Errorf("call on a descriptor that is not open: %s", call)
	}
}

func (k *faultyKernel) EpollCreate() (int, error) {
	if err := k.nextError("epoll_create", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.EpollCreate()
	return k.opened("epoll_create", fd, err)
}

func (k *faultyKernel) Eventfd() (int, error) {
	if err := k.nextError("eventfd", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.Eventfd()
	return k.opened("eventfd", fd, err)
}

func (k *faultyKernel) EpollCtl(epoll, op, fd int, event unix.EpollEvent) error {
	name := map[int]string{unix.EPOLL_CTL_ADD: "epoll_ctl add", unix.EPOLL_CTL_MOD: "epoll_ctl mod"}[op]
	if err := k.nextError(name, fd); err != nil {
		return err
	}
	return k.Linux.EpollCtl(epoll, op, fd, event)
}

func (k *faultyKernel) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := k.nextError("epoll_wait", epoll); err != nil {
		return -1, err
	}
	return k.Linux.EpollWait(epoll, events, milliseconds)
}

func (k *faultyKernel) Socket(family, kind int) (int, error) {
	if err := k.nextError("socket", -1); err != nil {
		return -1, err
	}
	fd, err := k.Linux.Socket(family, kind)
	return k.opened("socket", fd, err)
}

func (k *faultyKernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.nextError("accept", fd); err != nil {
		return -1, nil, err
	}
	fd, from, err := k.Linux.Accept(fd)
	fd, err = k.opened("accept", fd, err)
	return fd, from, err
}

func (k *faultyKernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.nextError("connect", fd)
	if err == nil || err == unix.EINTR { // the attempt continues, see connect(2)
		if result := k.Linux.Connect(fd, to); err == nil {
			return result
		}
	}
	return err
}

func (k *faultyKernel) Bind(fd int, at unix.Sockaddr) error {
	if err := k.nextError("bind", fd); err != nil {
		return err
	}
	return k.Linux.Bind(fd, at)
}

func (k *faultyKernel) Listen(fd, backlog int) error {
	if err := k.nextError("listen", fd); err != nil {
		return err
	}
	return k.Linux.Listen(fd, backlog)
}

func (k *faultyKernel) Getsockname(fd int) (unix.Sockaddr, error) {
	if err := k.nextError("getsockname", fd); err != nil {
		return nil, err
	}
	return k.Linux.Getsockname(fd)
}

func (k *faultyKernel) GetsockoptInt(fd, level, option int) (int, error) {
	if err := k.nextError("getsockopt", fd); err != nil {
		return 0, err
	}
	if errno := k.nextFault("SO_ERROR", fd); errno != 0 {
		return int(errno), nil
	}
	return k.Linux.GetsockoptInt(fd, level, option)
}

func (k *faultyKernel) SetsockoptInt(fd, level, option, value int) error {
	if err := k.nextError("setsockopt", fd); err != nil {
		return err
	}
	return k.Linux.SetsockoptInt(fd, level, option, value)
}

// nameFor returns the name under which faultyKernel counts a read or write of a descriptor.
func (k *faultyKernel) nameFor(call string, fd int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[fd] == "eventfd" {
		return call + " eventfd"
	}
	return call
}

func (k *faultyKernel) Read(fd int, b []byte) (int, error) {
	name := k.nameFor("read", fd)
	if err := k.nextError(name, fd); err != nil {
		return -1, err
	}
	if name == "read" && k.nextFault("short read", fd) != 0 {
		b = b[:1]
	}
	return k.Linux.Read(fd, b)
}

func (k *faultyKernel) Write(fd int, b []byte) (int, error) {
	name := k.nameFor("write", fd)
	if err := k.nextError(name, fd); err != nil {
		if name == "write eventfd" && err == unix.EAGAIN { // the counter is full, so the loop must wake
			_, _ = k.Linux.Write(fd, b) // the caller gets the injected error
		}
		return -1, err
	}
	if name == "write" && k.nextFault("short write", fd) != 0 {
		b = b[:1]
	}
	return k.Linux.Write(fd, b)
}

func (k *faultyKernel) Recvfrom(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
	if err := k.nextError("recvfrom", fd); err != nil {
		return -1, nil, err
	}
	return k.Linux.Recvfrom(fd, b, flags)
}

func (k *faultyKernel) Sendto(fd int, b []byte, flags int, to unix.Sockaddr) error {
	if err := k.nextError("sendto", fd); err != nil {
		return err
	}
	return k.Linux.Sendto(fd, b, flags, to)
}

func (k *faultyKernel) Shutdown(fd, how int) error {
	if err := k.nextError("shutdown", fd); err != nil {
		return err
	}
	return k.Linux.Shutdown(fd, how)
}

// Close releases the descriptor even if it returns an error, see close(2).
func (k *faultyKernel) Close(fd int) error {
	err := k.nextError("close", fd)
	k.mu.Lock()
	madeBy := k.open[fd]
	delete(k.open, fd)
	k.mu.Unlock()
	if madeBy == "" {
		return unix.EBADF
	}
	if closeErr := k.Linux.Close(fd); closeErr != nil {
		return closeErr
	}
	return err
}
