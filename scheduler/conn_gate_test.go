package scheduler

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	fakeresp "honeyplank/fake/resp"
)

// connGate is a proxy in front of a disk server. Connections to it do not open before acceptConns, and no bytes are
// forwarded before forwardBytes. So a test controls the events during that time.
type connGate struct {
	t          *testing.T
	fd         int
	address    string
	target     string
	backlog    []net.Conn
	forwarding chan bool // closed once bytes are forwarded
	once       sync.Once
}

// newConnGate creates a gate to which no connection opens.
func newConnGate(t *testing.T, target string) *connGate {
	t.Helper()
	gate := &connGate{t: t, target: target, forwarding: make(chan bool)}
	var err error
	if gate.fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err == nil {
		unix.SetsockoptInt(gate.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4096)
		if err = unix.Bind(gate.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
			err = unix.Listen(gate.fd, 0)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(gate.fd)
	if err != nil {
		t.Fatal(err)
	}
	gate.address = fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for { // until the listener's queue is full
		c, err := net.DialTimeout("tcp", gate.address, 50*time.Millisecond)
		if err != nil {
			break
		}
		gate.backlog = append(gate.backlog, c)
	}
	t.Cleanup(func() {
		gate.forwardBytes()
		unix.Shutdown(gate.fd, unix.SHUT_RDWR)
		unix.Close(gate.fd)
		for _, c := range gate.backlog {
			_ = c.Close() // it was never accepted
		}
	})
	return gate
}

// acceptConns lets connections open.
func (g *connGate) acceptConns() {
	unix.Listen(g.fd, 1024)
	go func() {
		for {
			fd, _, err := unix.Accept(g.fd)
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(fd), "gate")
			conn, err := net.FileConn(f)
			_ = f.Close() // conn has a descriptor of its own
			if err != nil {
				return
			}
			go g.pipe(conn)
		}
	}()
}

// forwardBytes forwards bytes from now on.
func (g *connGate) forwardBytes() { g.once.Do(func() { close(g.forwarding) }) }

// open lets connections open and forwards bytes.
func (g *connGate) open() {
	g.acceptConns()
	g.forwardBytes()
}

// pipe forwards the bytes of a connection in both directions.
func (g *connGate) pipe(client net.Conn) {
	defer client.Close()
	<-g.forwarding
	server, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(client, server) // either end may break the connection
		_ = client.Close()
	}()
	_, _ = io.Copy(server, client) // likewise
}

// gateServer puts a gate in front of the n-th disk server and returns the entry of the endpoint list with the address
// of the gate.
func (bed *testbed) gateServer(n int, phase string) (*connGate, fakeresp.Member) {
	bed.t.Helper()
	gate := newConnGate(bed.t, bed.disks[n].Address())
	member := bed.member(n, phase)
	member.Address = gate.address
	return gate, member
}

// moveBehindGate puts a gate in front of the n-th disk server and makes discovery list the address of the gate.
func (bed *testbed) moveBehindGate(n int) *connGate {
	bed.t.Helper()
	gate, _ := bed.gateServer(n, "up")
	bed.redirectServer(n, gate.address)
	return gate
}
