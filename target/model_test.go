package target

import (
	"slices"

	"honeyplank/nvme"
)

// frame is a PDU from a host. The model judges the frame, the session receives its encoded bytes.
type frame struct {
	kind      frameKind
	cid       uint16
	opcode    uint8
	nsid      uint32
	lba       uint64
	blocks    int
	sgl       uint8
	sglLength int
	inCapsule int // bytes of data in the capsule
	tag       uint16
	offset    int
	size      int // bytes of an H2CData
	last      bool
	badDigest bool // the data digest does not match the data
}

type frameKind int

const (
	frameCommand frameKind = iota
	frameData
	frameICReq
	frameTermReq
)

// modelCommand is the state of a command in the model.
type modelCommand struct {
	cid             uint16
	bytes, received int
	tag             uint16
	receiving       bool
	admitted        bool
	discarding      bool // answered before all of its data has come
}

func (c *modelCommand) isOpen() bool { return c.receiving || c.admitted || c.discarding }

// model is a simple, slow model of an I/O queue. For each frame it collects all allowed answers: one for each violated
// rule. It keeps all commands ever sent and searches them linearly.
type model struct {
	depth       int
	namespaces  []Namespace
	maxTransfer int
	commands    []*modelCommand
	over        bool
}

func (m *model) open(cid uint16) *modelCommand {
	for _, c := range m.commands {
		if c.cid == cid && c.isOpen() {
			return c
		}
	}
	return nil
}

func (m *model) countOpen() int {
	n := 0
	for _, c := range m.commands {
		if c.isOpen() {
			n++
		}
	}
	return n
}

// verdict holds the allowed answers to a frame: one of statuses in a completion, or one of fatal in a TermReq. If both
// are empty, the session must accept the frame without an answer.
type verdict struct {
	statuses   []nvme.Status
	fatal      []uint16
	command    *modelCommand // the command that began, or whose data is complete
	expectsR2T bool
	admits     bool
}

func (v *verdict) statusIf(applies bool, s nvme.Status) {
	if applies {
		v.statuses = append(v.statuses, s)
	}
}

func (v *verdict) fatalIf(applies bool, s uint16) {
	if applies {
		v.fatal = append(v.fatal, s)
	}
}

func (v *verdict) isDecided() bool { return len(v.statuses)+len(v.fatal) > 0 }

func (m *model) judge(f frame) verdict {
	switch f.kind {
	case frameICReq:
		return verdict{fatal: []uint16{nvme.FatalSequence}}
	case frameCommand:
		return m.judgeCommand(f)
	case frameData:
		return m.judgeData(f)
	}
	return verdict{}
}

func (m *model) judgeCommand(f frame) (v verdict) {
	if f.badDigest {
		v.statusIf(true, nvme.TransientTransport)
		return v
	}
	v.statusIf(m.open(f.cid) != nil, nvme.IDConflict)
	v.fatalIf(m.open(f.cid) == nil && m.countOpen() >= m.depth, nvme.FatalSequence)
	if v.isDecided() {
		return v
	}
	const dnr = nvme.DoNotRetry
	isTransfer, isFlush := f.opcode == nvme.Read || f.opcode == nvme.Write, f.opcode == nvme.Flush
	v.statusIf(f.opcode == nvme.Fabrics, nvme.SequenceError|dnr)
	v.statusIf(!isTransfer && !isFlush && f.opcode != nvme.Fabrics, nvme.InvalidOpcode|dnr)
	at := slices.IndexFunc(m.namespaces, func(n Namespace) bool { return n.ID == f.nsid })
	v.statusIf(at < 0 && (isTransfer || isFlush && f.nsid != allNamespaces), nvme.InvalidNamespace|dnr)
	v.statusIf(isFlush && !v.isDecided(), nvme.Success)
	if v.isDecided() {
		return v
	}
	m.judgeTransfer(&v, f, m.namespaces[at])
	return v
}

// judgeTransfer judges a Read or Write, and adds it to the model if it is valid.
func (m *model) judgeTransfer(v *verdict, f frame, n Namespace) {
	const dnr = nvme.DoNotRetry
	bytes := f.blocks << n.Shift
	inCapsule, byTransport := f.sgl == nvme.SGLInCapsule && f.opcode == nvme.Write, f.sgl == nvme.SGLTransport
	v.statusIf(f.lba >= n.Blocks || f.lba+uint64(f.blocks) > n.Blocks, nvme.LBAOutOfRange|dnr)
	v.statusIf(bytes > m.maxTransfer, nvme.InvalidField|dnr)
	v.statusIf(f.sglLength != bytes, nvme.InvalidSGLLength|dnr)
	v.statusIf(!inCapsule && !byTransport || byTransport && f.inCapsule > 0, nvme.InvalidSGLType|dnr)
	v.statusIf(inCapsule && f.inCapsule != bytes, nvme.InvalidSGLOffset|dnr)
	if v.isDecided() {
		return
	}
	v.expectsR2T = f.opcode == nvme.Write && !inCapsule
	v.admits = !v.expectsR2T
	v.command = &modelCommand{cid: f.cid, bytes: bytes, receiving: v.expectsR2T, admitted: v.admits}
	m.commands = append(m.commands, v.command)
}

// awaiting returns the command that waits for data with a tag, or nil.
func (m *model) awaiting(tag uint16) *modelCommand {
	var found *modelCommand
	for _, c := range m.commands {
		if c.tag == tag && c.tag != 0 && c.received < c.bytes && (c.receiving || c.discarding) {
			found = c
		}
	}
	return found
}

func (m *model) judgeData(f frame) (v verdict) {
	c := m.awaiting(f.tag)
	v.fatalIf(c == nil || c.cid != f.cid, nvme.FatalSequence)
	if v.isDecided() {
		return v
	}
	end := f.offset + f.size
	v.fatalIf(f.size == 0 || f.offset != c.received || end > c.bytes, nvme.FatalDataRange)
	v.fatalIf(f.last != (end == c.bytes), nvme.FatalHeaderField)
	if v.isDecided() {
		return v
	}
	c.received += f.size
	if f.badDigest && c.receiving {
		v.statusIf(true, nvme.TransientTransport)
		c.receiving, c.discarding = false, true
	}
	if c.received == c.bytes {
		v.admits = c.receiving
		c.receiving, c.discarding, c.admitted = false, false, v.admits
		v.command = c
	}
	return v
}
