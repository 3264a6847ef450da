package gateway_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"honeyplank/nvme"
)

// raw is a client that says what it likes: a blocking socket and the codec.
type raw struct {
	t     *testing.T
	conn  net.Conn
	frame nvme.Framing // what it sends
	in    nvme.Framing
	held  []byte
	piece int // bytes written at a time; 0: all
}

func rawDial(t *testing.T, address string) *raw {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return rawOn(t, conn)
}

// rawFrom dials from a loopback address of its own, as another peer; nil: it was turned away.
func rawFrom(t *testing.T, from, address string) *raw {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.Close()
		return nil
	}
	return rawOn(t, conn)
}

func rawOn(t *testing.T, conn net.Conn) *raw {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &raw{t: t, conn: conn, frame: nvme.Framing{MaxData: 1 << 20, FromHost: true}, in: nvme.Framing{MaxData: 1 << 20}}
}

func (c *raw) write(b []byte) {
	c.t.Helper()
	step := len(b)
	if c.piece > 0 {
		step = c.piece
	}
	for at := 0; at < len(b); at += step {
		if _, err := c.conn.Write(b[at:min(at+step, len(b))]); err != nil {
			c.t.Fatal(err)
		}
	}
}

// expect reads the next PDU, which must be of a type.
func (c *raw) expect(kind uint8) nvme.PDU {
	c.t.Helper()
	for {
		p, n, err := c.in.Decode(c.held)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			c.held = append([]byte(nil), c.held[n:]...)
			if p.Type != kind {
				c.t.Fatalf("PDU of type %d, want %d", p.Type, kind)
			}
			p.Header, p.Data = append([]byte(nil), p.Header...), append([]byte(nil), p.Data...)
			return p
		}
		b := make([]byte, 1<<16)
		k, err := c.conn.Read(b)
		if err != nil {
			c.t.Fatalf("while waiting for type %d: %v", kind, err)
		}
		c.held = append(c.held, b[:k]...)
	}
}

// expectAny reads PDUs until one is of a type.
func (c *raw) expectAny(kind uint8) nvme.PDU {
	c.t.Helper()
	for {
		for {
			p, n, err := c.in.Decode(c.held)
			if err != nil {
				c.t.Fatal(err)
			}
			if n == 0 {
				break
			}
			p.Header = append([]byte(nil), p.Header...)
			c.held = c.held[n:]
			if p.Type == kind {
				return p
			}
		}
		b := make([]byte, 1<<16)
		k, err := c.conn.Read(b)
		if err != nil {
			c.t.Fatal(err)
		}
		c.held = append(c.held, b[:k]...)
	}
}

func (c *raw) status(p nvme.PDU) nvme.Status {
	d := p.Completion()
	return d.Status()
}

func (c *raw) result(p nvme.PDU) uint32 {
	d := p.Completion()
	return d.DW0()
}

// command makes a Read or Write without data in its capsule.
func (c *raw) command(id uint16, opcode uint8, nsid uint32, lba uint64, blocks int, data []byte) []byte {
	sqe := nvme.NewRW(opcode, nsid, lba, blocks)
	sqe.SetCID(id)
	sqe.SetSGL(nvme.SGLTransport, blocks*4096)
	if data != nil {
		sqe.SetSGL(nvme.SGLInCapsule, len(data))
	}
	return c.frame.AppendCommand(nil, &sqe, data)
}

func (c *raw) init() {
	c.write(nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
	c.expect(nvme.TypeICResp)
}

// join sends a Connect and returns its status and controller id.
func (c *raw) join(qid, cntlid uint16, subsystem, host string) (nvme.Status, uint16) {
	sqe := nvme.NewConnect(qid, 32, 0)
	sqe.SetSGL(nvme.SGLInCapsule, nvme.ConnectLen)
	c.write(c.frame.AppendCommand(nil, &sqe, nvme.AppendConnectData(nil, [16]byte{1}, cntlid, subsystem, host)))
	p := c.expect(nvme.TypeCapsuleResp)
	return c.status(p), uint16(c.result(p))
}

// rawConnect makes a controller by hand and returns its I/O queue; the admin queue stays open with the test.
func rawConnect(t *testing.T, w *world, name string) *raw {
	t.Helper()
	return rawConnectFrom(t, w, name, "127.0.0.1")
}

func rawConnectFrom(t *testing.T, w *world, name, from string) *raw {
	t.Helper()
	host := "nqn.2026-12.org.honeyplank:" + name
	admin, io := rawFrom(t, from, w.g.Address()), rawFrom(t, from, w.g.Address())
	if admin == nil || io == nil {
		t.Fatal("turned away")
	}
	admin.init()
	status, id := admin.join(0, nvme.DynamicController, w.s.Listen.Subsystem, host)
	if status != nvme.Success {
		t.Fatalf("Connect: %#x", status)
	}
	enable := nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, 1)
	admin.write(admin.frame.AppendCommand(nil, &enable, nil))
	admin.expect(nvme.TypeCapsuleResp)
	io.init()
	if status, _ := io.join(1, id, w.s.Listen.Subsystem, host); status != nvme.Success {
		t.Fatalf("Connect of the I/O queue: %#x", status)
	}
	return io
}
