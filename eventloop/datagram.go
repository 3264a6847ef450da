package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// maxDatagrams is the number of datagrams that a socket reads in one round before the other sockets are served.
const maxDatagrams = 64

// UDPConn is a UDP socket on a loop.
type UDPConn struct {
	loop    *Loop
	fd      int
	receive func(from netip.AddrPort, b []byte)
}

// ListenUDP receives datagrams on an IPv4 address and port, and calls receive on the loop for each of them. receive
// must not keep b. An error of bind(2) or epoll_ctl(2) is a *net.OpError, an error of socket(2) is an *os.SyscallError;
// see Transient.
func (l *Loop) ListenUDP(address string, receive func(from netip.AddrPort, b []byte)) (*UDPConn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.sys.Socket(unix.AF_INET, unix.SOCK_DGRAM)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err := l.sys.Bind(fd, sockaddr(addr)); err != nil {
		_ = l.sys.Close(fd) // unused; the error above is the one to report
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: os.NewSyscallError("bind", err)}
	}
	u := &UDPConn{loop: l, fd: fd, receive: receive}
	if err := l.add(fd, unix.EPOLLIN, u); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	return u, nil
}

// Send sends one datagram. It does not block and reports no error: if the send buffer of the socket is full, the
// datagram is lost, as it may be in the network.
func (u *UDPConn) Send(to netip.AddrPort, b []byte) {
	addr := sockaddr(to)
	for range maxInterruptions {
		u.loop.Stats.Writes.Add(1)
		if err := u.loop.sys.Sendto(u.fd, b, unix.MSG_DONTWAIT, addr); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// handleEvents reads the queued datagrams. Some errors leave the socket readable, see recv(2), and epoll would wake the
// loop immediately. The loop therefore sleeps for roundPause, which delays the other sockets of the loop by that time.
func (u *UDPConn) handleEvents(uint32) {
	failed := 0
	for range maxDatagrams {
		u.loop.Stats.Reads.Add(1)
		n, from, err := u.loop.sys.Recvfrom(u.fd, u.loop.readBuffer, unix.MSG_DONTWAIT)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return
		case anyOf(err, unix.ENOMEM, unix.ENOBUFS): // the datagram stays in the socket
			u.loop.pauseRound = true
			return
		default: // a signal, or the pending error of a datagram that was sent
			if failed++; failed == maxDatagrams {
				u.loop.pauseRound = true
			}
			continue
		}
		if sender, ok := from.(*unix.SockaddrInet4); ok {
			u.receive(netip.AddrPortFrom(netip.AddrFrom4(sender.Addr), uint16(sender.Port)), u.loop.readBuffer[:n])
		}
	}
}
