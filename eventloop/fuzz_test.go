package eventloop

import (
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// maxFaults limits the faults of one sequence, so that a run is short.
const maxFaults = 24

// decodeFaults decodes a sequence of faults. The three bytes of each select the system call, its error, and the number
// of calls that succeed before it.
func decodeFaults(b []byte) map[string][]unix.Errno {
	faults := map[string][]unix.Errno{}
	for b = b[:min(len(b), 3*maxFaults)]; len(b) >= 3; b = b[3:] {
		d := documentedErrors[int(b[0])%len(documentedErrors)]
		errno := d.errnos[int(b[1])%len(d.errnos)]
		faults[d.call] = append(append(faults[d.call], make([]unix.Errno, b[2]%8)...), errno)
	}
	return faults
}

// FuzzFaults injects arbitrary sequences of faults. No descriptor may be left open or used after its close, the number
// of calls must be within its limit, and every connection must end and every posted function must run.
func FuzzFaults(f *testing.F) {
	call := func(name string) byte {
		return byte(slices.IndexFunc(documentedErrors, func(d documentedError) bool { return d.call == name }))
	}
	f.Add([]byte{})
	f.Add([]byte{call("accept"), 2, 0, call("epoll_ctl mod"), 0, 0, call("epoll_ctl mod"), 0, 0})
	f.Add([]byte{
		call("accept"), 4, 1, call("epoll_ctl add"), 0, 3, call("write eventfd"), 1, 0, call("write eventfd"), 2, 0,
	})
	f.Add([]byte{call("connect"), 0, 0, call("SO_ERROR"), 1, 1, call("close"), 0, 0, call("shutdown"), 0, 0})
	f.Add([]byte{
		call("short write"), 0, 0, call("short read"), 0, 0, call("write"), 1, 1, call("read"), 1, 1,
		call("epoll_ctl mod"), 0, 0,
	})
	f.Add([]byte{call("epoll_wait"), 1, 2, call("read eventfd"), 2, 0, call("recvfrom"), 2, 0, call("sendto"), 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		k := newFaultyKernel()
		k.faults = decodeFaults(b)
		runScenario(t, k)
	})
}
