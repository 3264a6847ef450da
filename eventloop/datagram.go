package eventloop

import (
	"errors"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// UDPConn is a UDP socket.
type UDPConn struct {
	l   *Loop
	fd  int
	got func(from netip.AddrPort, b []byte)
}

// ListenUDP listens for datagrams on an IPv4 address and port; got must not keep b.
func (l *Loop) ListenUDP(address string, got func(from netip.AddrPort, b []byte)) (*UDPConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := l.sys.Socket(unix.AF_INET, unix.SOCK_DGRAM)
	if err != nil {
		return nil, err
	}
	if err := l.sys.Bind(fd, sockaddr(at)); err != nil {
		l.sys.Close(fd)
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	p := &UDPConn{l, fd, got}
	if err := l.add(fd, unix.EPOLLIN, p); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	return p, nil
}

// Send sends one datagram; one that finds no room is lost, as on the way.
func (p *UDPConn) Send(to netip.AddrPort, b []byte) {
	at := sockaddr(to)
	for range maxInterruptions {
		p.l.Stats.Writes.Add(1)
		if err := p.l.sys.Sendto(p.fd, b, unix.MSG_DONTWAIT, at); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// datagrams is how many are read in one round, then others have their turn.
const datagrams = 64

func (p *UDPConn) ready(uint32) {
	failed := 0
	for range datagrams {
		p.l.Stats.Reads.Add(1)
		n, from, err := p.l.sys.Recvfrom(p.fd, p.l.readBuffer, unix.MSG_DONTWAIT)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return
		case anyOf(err, unix.ENOMEM, unix.ENOBUFS): // the datagram stays and would wake the loop at once
			p.l.pauseRound = true
			return
		default: // a signal, or what became of a datagram that was sent
			if failed++; failed == datagrams {
				p.l.pauseRound = true
			}
			continue
		}
		if a, ok := from.(*unix.SockaddrInet4); ok {
			p.got(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), p.l.readBuffer[:n])
		}
	}
}
