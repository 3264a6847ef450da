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

// rawClient is a client that can send arbitrary bytes. It consists of a blocking socket and the PDU codec.
type rawClient struct {
	t              *testing.T
	conn           net.Conn
	sendFraming    nvme.Framing // framing of the PDUs that it sends
	receiveFraming nvme.Framing // framing of the PDUs that it receives
	unread         []byte       // received bytes that are not decoded yet
	writeSize      int          // number of bytes per write; 0: all at once
}

func dialRaw(t *testing.T, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return newRawClient(t, conn)
}

// dialRawFrom connects from a given loopback address, so that the gateway treats the client as another peer. It returns
// nil if the connection is rejected.
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

// expect reads the next PDU and fails the test unless its type is kind.
func (c *rawClient) expect(kind uint8) nvme.PDU {
	c.t.Helper()
	p := c.readPDU(kind)
	if p.Type != kind {
		c.t.Fatalf("PDU has type %d, want %d", p.Type, kind)
	}
	return p
}

// expectAny returns the next PDU whose type is kind, and skips PDUs of other types.
func (c *rawClient) expectAny(kind uint8) nvme.PDU {
	c.t.Helper()
	for {
		if p := c.readPDU(kind); p.Type == kind {
			return p
		}
	}
}

// readPDU reads the next PDU, of any type. wanted is the type that error messages name.
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
			c.t.Fatalf("waiting for a PDU of type %d: %v", wanted, err)
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

// command returns the capsule of a Read or Write, with data in the capsule unless data is nil.
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

// connect sends a Connect command and returns its status and the controller ID.
func (c *rawClient) connect(qid, cntlid uint16, subsystem, host string) (nvme.Status, uint16) {
	sqe := nvme.NewConnect(qid, 32, 0)
	sqe.SetSGL(nvme.SGLInCapsule, nvme.ConnectLen)
	c.write(c.sendFraming.AppendCommand(nil, &sqe, nvme.AppendConnectData(nil, nvme.ConnectData{
		HostID: [16]byte{1}, ControllerID: cntlid, Subsystem: subsystem, Host: host,
	})))
	p := c.expect(nvme.TypeCapsuleResp)
	return c.status(p), uint16(c.result(p))
}

// connectRaw creates a controller with raw PDUs and returns its I/O queue. The admin queue stays open until the test
// ends.
func connectRaw(t *testing.T, h *harness, name string) *rawClient {
	t.Helper()
	return connectRawFrom(t, h, name, "127.0.0.1")
}

func connectRawFrom(t *testing.T, h *harness, name, from string) *rawClient {
	t.Helper()
	host := nqnPrefix + name
	admin, io := dialRawFrom(t, from, h.gateway.Address()), dialRawFrom(t, from, h.gateway.Address())
	if admin == nil || io == nil {
		t.Fatal("connection of the admin or the I/O queue rejected")
	}
	admin.initialize()
	status, id := admin.connect(0, nvme.DynamicController, h.settings.Listen.Subsystem, host)
	if status != nvme.Success {
		t.Fatalf("Connect of the admin queue: status %#x", status)
	}
	enable := nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, 1)
	admin.write(admin.sendFraming.AppendCommand(nil, &enable, nil))
	admin.expect(nvme.TypeCapsuleResp)
	io.initialize()
	if status, _ := io.connect(1, id, h.settings.Listen.Subsystem, host); status != nvme.Success {
		t.Fatalf("Connect of the I/O queue: status %#x", status)
	}
	return io
}
