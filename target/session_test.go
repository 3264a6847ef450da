package target

import (
	"slices"
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// harness is a session without a network. It acts as the session's handler, connection and host.
type harness struct {
	t       *testing.T
	session *Session
	output  []byte
	ended   bool
	counted int // number of commands that count towards the client's limit
	// The admitted commands, and those of them whose client has gone.
	admitted []*Command
	gone     []*Command

	hostFraming nvme.Framing // of the PDUs from the host
	hostInput   nvme.Framing // of the PDUs to the host
}

func (h *harness) Admit(c *Command)                { h.admitted = append(h.admitted, c) }
func (h *harness) ClientGone(c *Command)           { h.gone = append(h.gone, c) }
func (h *harness) LogPage(id uint8) ([]byte, bool) { return []byte{1, 2, 3, 4}, id == nvme.LogLoad }

func (h *harness) flush()                {}
func (h *harness) truncate()             {}
func (h *harness) awaitData(*Command)    {}
func (h *harness) reserveBytes(int) bool { return true }
func (h *harness) releaseBytes(int)      {}
func (h *harness) endCommand()           { h.counted-- }

func (h *harness) beginCommand() bool {
	h.counted++
	return true
}

func (h *harness) end() {
	h.ended = true
	h.session.Closed()
}

const testSubsystem = "nqn.2026-12.org.honeyplank:t"

func testSettings() *Settings {
	return &Settings{
		Subsystem:        testSubsystem,
		Namespaces:       []Namespace{{ID: 1, Blocks: 1000, Shift: 12}, {ID: 5, Blocks: 10, Shift: 9}},
		MaxTransfer:      128 << 10,
		MaxCapsule:       8 << 10,
		MaxDataPDU:       16 << 10,
		QueueDepth:       32,
		MaxQueues:        4,
		HandshakeTimeout: time.Second,
		MaxBuffered:      1 << 20,
		MaxUnsent:        1 << 20,
	}
}

// maxHostData is the largest number of data bytes that the host accepts in one PDU.
const maxHostData = 1 << 20

func newHarness(t *testing.T, settings *Settings, a *associations) *harness {
	t.Helper()
	h := &harness{
		t:           t,
		hostFraming: nvme.Framing{FromHost: true},
		hostInput:   nvme.Framing{MaxData: maxHostData},
	}
	h.session = &Session{
		settings:     settings,
		associations: a,
		handler:      h,
		buffers:      &eventloop.Buffers{},
		connection:   h,
		output:       &h.output,
		commands:     map[uint16]*Command{},
		transfers:    map[uint16]*Command{},
	}
	h.session.inputFraming.FromHost = true
	return h
}

// send passes bytes to the session and returns the PDUs that the session sends.
func (h *harness) send(bytes []byte) []nvme.PDU {
	h.t.Helper()
	h.session.Input(0, bytes)
	return h.receive()
}

// receive returns the PDUs that the session has sent.
func (h *harness) receive() []nvme.PDU {
	h.t.Helper()
	var received []nvme.PDU
	for {
		p, n, err := h.hostInput.Decode(h.output)
		if err != nil {
			h.t.Fatal(err)
		}
		if n == 0 {
			return received
		}
		p.Header, p.Data = slices.Clone(p.Header), slices.Clone(p.Data)
		received, h.output = append(received, p), h.output[n:]
	}
}

// statusOf returns the status of the completion, which must be the last PDU.
func (h *harness) statusOf(received []nvme.PDU) nvme.Status {
	h.t.Helper()
	if len(received) == 0 || received[len(received)-1].Type != nvme.TypeCapsuleResp {
		h.t.Fatalf("the last of %d PDUs is not a completion", len(received))
	}
	c := received[len(received)-1].Completion()
	return c.Status()
}

// command returns a command capsule from the host.
func (h *harness) command(id uint16, c nvme.Command, data []byte) []byte {
	c.SetCID(id)
	if len(data) > 0 {
		c.SetSGL(nvme.SGLInCapsule, len(data))
	}
	return h.hostFraming.AppendCommand(nil, &c, data)
}

// dataPDU returns an H2CData PDU with size zero bytes.
func (h *harness) dataPDU(flags uint8, cid, tag uint16, offset, size int) []byte {
	header := nvme.DataHeader{Type: nvme.TypeH2CData, Flags: flags, CID: cid, TTAG: tag, Offset: offset}
	return h.hostFraming.AppendData(nil, header, make([]byte, size))
}

func (h *harness) connect(queueID, controllerID uint16, size int) nvme.Status {
	h.t.Helper()
	data := nvme.ConnectData{ControllerID: controllerID, Subsystem: testSubsystem, Host: "nqn.2026-12.h:x"}
	capsule := h.command(0, nvme.NewConnect(queueID, size, 0), nvme.AppendConnectData(nil, data))
	return h.statusOf(h.send(capsule))
}

// abort sends an Abort of a command of the I/O queue on the admin queue, and returns its completion.
func (h *harness) abort(id uint16) nvme.Completion {
	h.t.Helper()
	c := nvme.Command{nvme.AdminAbort}
	c.SetDW(10, uint32(id)<<16|1)
	received := h.send(h.command(50, c, nil))
	if len(received) != 1 {
		h.t.Fatalf("%d PDUs in answer to an Abort, want 1", len(received))
	}
	return received[0].Completion()
}

// newQueuePair returns a connected admin queue and a connected I/O queue of the same controller.
func newQueuePair(t *testing.T) (admin, io *harness) {
	t.Helper()
	return newQueuePairWith(t, nvme.Init{})
}

// newQueuePairWith is like newQueuePair, but the I/O queue has the digests of i.
func newQueuePairWith(t *testing.T, i nvme.Init) (admin, io *harness) {
	t.Helper()
	settings := testSettings()
	a := &associations{byID: map[uint16]*controller{}, address: "127.0.0.1:4420"}
	admin, io = newHarness(t, settings, a), newHarness(t, settings, a)
	admin.send(nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
	io.send(nvme.AppendInit(nil, nvme.TypeICReq, i))
	io.hostFraming.HeaderDigest, io.hostFraming.DataDigest = i.HeaderDigest, i.DataDigest
	io.hostInput.HeaderDigest, io.hostInput.DataDigest = i.HeaderDigest, i.DataDigest
	if s := admin.connect(0, nvme.DynamicController, 32); s != nvme.Success {
		t.Fatalf("Connect of the admin queue: status %#x", s)
	}
	if s := io.connect(1, 1, 8); s.Code() != nvme.ConnectInvalid {
		t.Errorf("Connect of an I/O queue before its controller is enabled: status %#x", s)
	}
	admin.send(admin.command(1, nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, 1), nil))
	if s := io.connect(1, 1, 8); s != nvme.Success {
		t.Fatalf("Connect of the I/O queue: status %#x", s)
	}
	return admin, io
}

// withSGL returns a command with an SGL descriptor.
func withSGL(c nvme.Command, kind uint8, bytes int) nvme.Command {
	c.SetSGL(kind, bytes)
	return c
}

const testBlock = 4096 // block size of namespace 1 in bytes

// transfer returns a Read or Write of namespace 1 whose data is sent in data PDUs.
func transfer(opcode uint8, lba uint64, blocks int) nvme.Command {
	return withSGL(nvme.NewRW(opcode, 1, lba, blocks), nvme.SGLTransport, blocks*testBlock)
}

func readOneBlock() nvme.Command { return transfer(nvme.Read, 0, 1) }

// withDW10 returns a command with an opcode and command dword 10.
func withDW10(opcode uint8, dw10 uint32) nvme.Command {
	c := withSGL(nvme.Command{opcode}, nvme.SGLTransport, 4096)
	c.SetDW(10, dw10)
	return c
}

// TestCommandStatuses checks that each command, valid or invalid, is answered with the status that the specification
// requires, and that none of them is admitted or ends the connection.
func TestCommandStatuses(t *testing.T) {
	admin, io := newQueuePair(t)
	rw, sgl := nvme.NewRW, nvme.SGLTransport
	for _, c := range []struct {
		name    string
		queue   *harness
		command nvme.Command
		data    []byte
		want    nvme.Status
	}{
		{"unknown I/O opcode", io, withDW10(0x99, 0), nil, nvme.InvalidOpcode},
		{"unknown admin opcode", admin, withDW10(0x99, 0), nil, nvme.InvalidOpcode},
		{"unknown namespace", io, withSGL(rw(nvme.Read, 9, 0, 1), uint8(sgl), 4096), nil, nvme.InvalidNamespace},
		{"blocks past the end of the namespace", io, transfer(nvme.Read, 999, 2), nil, nvme.LBAOutOfRange},
		{"first block at 2^63", io, transfer(nvme.Read, 1<<63, 2), nil, nvme.LBAOutOfRange},
		{"transfer over MaxTransfer", io, transfer(nvme.Read, 0, 64), nil, nvme.InvalidField},
		{"descriptor too short", io, withSGL(rw(nvme.Read, 1, 0, 2), uint8(sgl), 4096), nil, nvme.InvalidSGLLength},
		{"unknown descriptor type", io, withSGL(rw(nvme.Read, 1, 0, 1), 0x22, 4096), nil, nvme.InvalidSGLType},
		{"too little in-capsule data", io, withSGL(rw(nvme.Write, 5, 0, 2), nvme.SGLInCapsule, 1024), make([]byte, 512),
			nvme.InvalidSGLLength},
		{"flush", io, withSGL(rw(nvme.Flush, 1, 0, 1), uint8(sgl), 0), nil, nvme.Success},
		{"flush, unknown namespace", io, withSGL(rw(nvme.Flush, 8, 0, 1), uint8(sgl), 0), nil, nvme.InvalidNamespace},
		{"a second Connect", admin, nvme.NewConnect(0, 32, 0), nil, nvme.SequenceError},
		{"unknown feature", admin, withDW10(nvme.AdminSetFeatures, 0x55), nil, nvme.InvalidField},
		{"number of queues", admin, withDW10(nvme.AdminSetFeatures, nvme.FeatureQueues), nil, nvme.Success},
		{"retry delays without data", admin, withDW10(nvme.AdminSetFeatures, nvme.FeatureHostBehavior), nil,
			nvme.InvalidField},
		{"retry delays", admin, withDW10(nvme.AdminSetFeatures, nvme.FeatureHostBehavior),
			append([]byte{1}, make([]byte, 511)...), nvme.Success},
		{"unknown log page", admin, withDW10(nvme.AdminGetLogPage, 0x7E), nil, nvme.InvalidLogPage},
		{"the handler's log page", admin, withDW10(nvme.AdminGetLogPage, nvme.LogLoad), nil, nvme.Success},
		{"log page too long", admin, withDW10(nvme.AdminGetLogPage, nvme.LogError|0xFFFF<<16), nil, nvme.InvalidField},
		{"unknown Identify", admin, withDW10(nvme.AdminIdentify, 0x77), nil, nvme.InvalidField},
		{"Identify Controller", admin, withDW10(nvme.AdminIdentify, nvme.IdentifyController), nil, nvme.Success},
		{"Identify of namespace 0", admin, withDW10(nvme.AdminIdentify, nvme.IdentifyNamespace), nil,
			nvme.InvalidNamespace},
		{"Keep Alive", admin, withDW10(nvme.AdminKeepAlive, 0), nil, nvme.Success},
		{"an unknown property", admin, nvme.NewProperty(nvme.FabricsPropertyGet, 0x44, 0), nil, nvme.InvalidField},
	} {
		t.Run(c.name, func(t *testing.T) {
			received := c.queue.send(c.queue.command(77, c.command, c.data))
			if got := c.queue.statusOf(received); got.Code() != c.want {
				t.Errorf("status %#x, want %#x", got, c.want)
			}
		})
	}
	if len(io.admitted) > 0 || admin.ended || io.ended {
		t.Error("a command was admitted, or a connection ended")
	}
}

// TestInvalidSequences checks that well-formed PDUs in an invalid order end their connection with a TermReq, and that
// ClientGone is then called for the admitted commands.
func TestInvalidSequences(t *testing.T) {
	const cid, size = 3, 512
	// tagOfWrite sends a Write and returns the tag of its R2T.
	tagOfWrite := func(io *harness) uint16 {
		received := io.send(io.command(cid, transfer(nvme.Write, 0, 8), nil))
		return received[0].TTAG()
	}
	for name, c := range map[string]struct {
		bytes  func(io *harness) []byte
		status uint16
	}{
		"a second ICReq": {func(*harness) []byte {
			return nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
		}, nvme.FatalSequence},
		"data without an R2T": {func(io *harness) []byte {
			return io.dataPDU(nvme.FlagLast, 1, 44, 0, size)
		}, nvme.FatalSequence},
		"data out of range": {func(io *harness) []byte {
			return io.dataPDU(nvme.FlagLast, cid, tagOfWrite(io), 8*testBlock, size)
		}, nvme.FatalDataRange},
		"data of another command": {func(io *harness) []byte {
			return io.dataPDU(nvme.FlagLast, cid+1, tagOfWrite(io), 0, size)
		}, nvme.FatalSequence},
		"LAST_PDU before the end of the data": {func(io *harness) []byte {
			return io.dataPDU(nvme.FlagLast, cid, tagOfWrite(io), 0, size)
		}, nvme.FatalHeaderField},
		"more commands than queue entries": {func(io *harness) (b []byte) {
			for id := range uint16(20) {
				b = append(b, io.command(id, readOneBlock(), nil)...)
			}
			return b
		}, nvme.FatalSequence},
	} {
		t.Run(name, func(t *testing.T) {
			_, io := newQueuePair(t)
			io.send(io.command(30, readOneBlock(), nil))
			checkTermination(t, io, io.send(c.bytes(io)), c.status)
		})
	}
}

// checkTermination checks that a connection has ended with a TermReq with a status, that the clients of all admitted
// commands have gone, and that no buffer is in use.
func checkTermination(t *testing.T, io *harness, received []nvme.PDU, status uint16) {
	t.Helper()
	if len(received) == 0 || received[len(received)-1].Type != nvme.TypeC2HTermReq || !io.ended {
		t.Fatal("the connection did not end with a TermReq")
	}
	if got, _ := received[len(received)-1].Term(); got != status {
		t.Errorf("FES %d, want %d", got, status)
	}
	if len(io.admitted) == 0 || len(io.gone) != len(io.admitted) {
		t.Errorf("%d commands admitted, ClientGone called for %d", len(io.admitted), len(io.gone))
	}
	if buffered := io.session.buffers.InUse; buffered != 0 {
		t.Errorf("%d bytes of buffers are still in use", buffered)
	}
}

const notAborted = 1 // result of an Abort that aborted no command

// TestAbort checks that an Abort of an admitted command answers the command once, with the status Abort Requested, and
// that the handler's later answer is not sent.
func TestAbort(t *testing.T) {
	admin, io := newQueuePair(t)
	io.send(io.command(7, readOneBlock(), nil))
	if c := admin.abort(7); c.DW0() != 0 || len(io.gone) != 1 || io.statusOf(io.receive()) != nvme.AbortRequested {
		t.Error("an admitted command was not aborted")
	}
	for _, id := range []uint16{7, 8} {
		if c := admin.abort(id); c.DW0() != notAborted {
			t.Errorf("command %d is not open, but the Abort reports that it was aborted", id)
		}
	}
	io.admitted[0].Complete(nvme.Success, 0, 0, make([]byte, testBlock))
	if received := io.receive(); len(received) != 0 {
		t.Error("an aborted command was answered twice")
	}
}

// TestAbortTransfer checks that an Abort ends a Write that waits for its data, and that data that comes later is
// discarded.
func TestAbortTransfer(t *testing.T) {
	admin, io := newQueuePair(t)
	received := io.send(io.command(8, transfer(nvme.Write, 0, 2), nil))
	if c := admin.abort(8); c.DW0() != 0 || io.statusOf(io.receive()) != nvme.AbortRequested {
		t.Error("a Write that waits for data was not aborted")
	}
	if io.session.buffers.InUse != 0 { // the host of an aborted Write need not send the data
		t.Error("an aborted Write holds a buffer")
	}
	io.send(io.dataPDU(nvme.FlagLast, 8, received[0].TTAG(), 0, 2*testBlock))
	if io.ended || len(io.admitted) != 0 || io.session.buffers.InUse != 0 {
		t.Error("data of an aborted Write was not discarded")
	}
}

// TestDuplicateCommandID checks that a command is rejected if its command id is in use, and that the first command with
// the id is still answered.
func TestDuplicateCommandID(t *testing.T) {
	_, io := newQueuePair(t)
	io.send(io.command(7, readOneBlock(), nil))
	if s := io.statusOf(io.send(io.command(7, readOneBlock(), nil))); s != nvme.IDConflict {
		t.Errorf("command with an id in use: status %#x", s)
	}
	io.admitted[0].Complete(nvme.Success, 0, 0, make([]byte, testBlock))
	if s := io.statusOf(io.receive()); s != nvme.Success || len(io.admitted) != 1 {
		t.Errorf("first command: status %#x, %d commands admitted, want 1", s, len(io.admitted))
	}
}
