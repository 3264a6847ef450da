package gateway_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"honeyplank/nvme"
)

// rawClient is a client that can send anything: a blocking socket and the codec.
type rawClient struct {
	t              *testing.T
	conn           net.Conn
	sendFraming    nvme.Framing // what it sends
	receiveFraming nvme.Framing
	unread         []byte
	writeSize      int // bytes written at a time; 0: all
}

func dialRaw(t *testing.T, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return newRawClient(t, conn)
}

// dialRawFrom dials from a loopback address of its own, as another peer; nil: it was rejected.
func dialRawFrom(t *testing.T, from, address string) *rawClient {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil
	}
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.Close()
		return nil
	}
	return newRawClient(t, conn)
}

func newRawClient(t *testing.T, conn net.Conn) *rawClient {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &rawClient{
		t:              t,
		conn:           conn,
		sendFraming:    nvme.Framing{MaxData: 1 << 20, FromHost: true},
		receiveFraming: nvme.Framing{MaxData: 1 << 20},
	}
}

func (c *rawClient) write(b []byte) {
	c.t.Helper()
	step := len(b)
	if c.writeSize > 0 {
		step = c.writeSize
	}
	for at := 0; at < len(b); at += step {
		if _, err := c.conn.Write(b[at:min(at+step, len(b))]); err != nil {
			c.t.Fatal(err)
		}
	}
}

// expect reads the next PDU, which must be of that type.
func (c *rawClient) expect(kind uint8) nvme.PDU {
	c.t.Helper()
	p := c.readPDU(kind)
	if p.Type != kind {
		c.t.Fatalf("PDU of type %d, want %d", p.Type, kind)
	}
	return p
}

// expectAny reads PDUs until one is of a type.
func (c *rawClient) expectAny(kind uint8) nvme.PDU {
	c.t.Helper()
	for {
		if p := c.readPDU(kind); p.Type == kind {
			return p
		}
	}
}

// readPDU reads the next PDU, of any type; wanted is for the message of a failure.
func (c *rawClient) readPDU(wanted uint8) nvme.PDU {
	c.t.Helper()
	b := make([]byte, 1<<16)
	for {
		p, n, err := c.receiveFraming.Decode(c.unread)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			p.Header, p.Data = bytes.Clone(p.Header), bytes.Clone(p.Data)
			c.unread = c.unread[n:]
			return p
		}
		read, err := c.conn.Read(b)
		if err != nil {
			c.t.Fatalf("while waiting for type %d: %v", wanted, err)
		}
		c.unread = append(c.unread, b[:read]...)
	}
}

func (c *rawClient) status(p nvme.PDU) nvme.Status {
	d := p.Completion()
	return d.Status()
}

func (c *rawClient) result(p nvme.PDU) uint32 {
	d := p.Completion()
	return d.DW0()
}

// command makes a Read or Write without data in its capsule.
func (c *rawClient) command(id uint16, opcode uint8, nsid uint32, lba uint64, blocks int, data []byte) []byte {
	sqe := nvme.NewRW(opcode, nsid, lba, blocks)
	sqe.SetCID(id)
	sqe.SetSGL(nvme.SGLTransport, blocks*blockBytes)
	if data != nil {
		sqe.SetSGL(nvme.SGLInCapsule, len(data))
	}
	return c.sendFraming.AppendCommand(nil, &sqe, data)
}

func (c *rawClient) initialize() {
	c.write(nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
	c.expect(nvme.TypeICResp)
}

// connect sends a Connect and returns its status and controller id.
func (c *rawClient) connect(qid, cntlid uint16, subsystem, host string) (nvme.Status, uint16) {
	sqe := nvme.NewConnect(qid, 32, 0)
	sqe.SetSGL(nvme.SGLInCapsule, nvme.ConnectLen)
	c.write(c.sendFraming.AppendCommand(nil, &sqe, nvme.AppendConnectData(nil, nvme.ConnectData{
		HostID: [16]byte{1}, ControllerID: cntlid, Subsystem: subsystem, Host: host,
	})))
	p := c.expect(nvme.TypeCapsuleResp)
	return c.status(p), uint16(c.result(p))
}

// connectRaw makes a controller by hand and returns its I/O queue; the admin queue stays open with the test.
func connectRaw(t *testing.T, h *harness, name string) *rawClient {
	t.Helper()
	return connectRawFrom(t, h, name, "127.0.0.1")
}

func connectRawFrom(t *testing.T, h *harness, name, from string) *rawClient {
	t.Helper()
	host := nqnPrefix + name
	admin, io := dialRawFrom(t, from, h.gateway.Address()), dialRawFrom(t, from, h.gateway.Address())
	if admin == nil || io == nil {
		t.Fatal("rejected")
	}
	admin.initialize()
	status, id := admin.connect(0, nvme.DynamicController, h.settings.Listen.Subsystem, host)
	if status != nvme.Success {
		t.Fatalf("Connect: %#x", status)
	}
	enable := nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, 1)
	admin.write(admin.sendFraming.AppendCommand(nil, &enable, nil))
	admin.expect(nvme.TypeCapsuleResp)
	io.initialize()
	if status, _ := io.connect(1, id, h.settings.Listen.Subsystem, host); status != nvme.Success {
		t.Fatalf("Connect of the I/O queue: %#x", status)
	}
	return io
}
