package target

import (
	"fmt"
	"slices"
	"testing"

	"honeyplank/nvme"
)

// FuzzModel sends valid and invalid PDUs of a host to a connected I/O queue, with or without digests, and compares the
// session with the model: an answer must be one of the allowed answers, a violation of the protocol must end the
// connection with the status of one of the violated rules, and a valid PDU must be accepted. Some data has a digest
// that does not match; some is invalid under a digest that matches, so that the digest does not reveal the error.
func FuzzModel(f *testing.F) {
	f.Add(byte(0), []byte{0, 0x01, 1, 0x02, 6, 0, 8, 0, 8, 1})
	f.Add(byte(3), []byte{1, 0x10, 1, 0x20, 6, 0x11, 6, 0x10, 7, 0, 9, 1, 10, 2})
	f.Add(byte(0), []byte{1, 0x01, 7, 0x01, 7, 0xA1})       // data sent twice
	f.Add(byte(0), []byte{1, 0x01, 7, 0x41, 1, 0x02})       // one byte beyond the end of the data
	f.Add(byte(1), []byte{1, 0x01, 1, 0x11, 7, 0x81, 7, 1}) // data with the id of another command
	f.Add(byte(2), []byte{1, 0x01, 7, 0x01, 7, 0xC1, 9, 0, 10, 0})
	f.Add(byte(2), []byte{2, 0x11, 3, 0x12, 4, 0x13, 5, 0x14, 11, 0x10, 12, 0x10, 1, 0x40, 6, 0x80})
	f.Fuzz(func(t *testing.T, digests byte, script []byte) {
		p := newModelRun(t, nvme.Init{HeaderDigest: digests&1 != 0, DataDigest: digests&2 != 0})
		for ; len(script) >= 2 && !p.model.over; script = script[2:] {
			p.step(script[0], script[1])
		}
		p.finish()
	})
}

// modelRun executes the steps of an input on a session and on the model.
type modelRun struct {
	t           *testing.T
	admin, io   *harness
	model       *model
	dataDigests bool
}

func newModelRun(t *testing.T, i nvme.Init) *modelRun {
	t.Helper()
	admin, io := newQueuePairWith(t, i)
	s := io.session
	m := &model{depth: s.queueSize, namespaces: s.settings.Namespaces, maxTransfer: s.settings.MaxTransfer}
	return &modelRun{t: t, admin: admin, io: io, model: m, dataDigests: i.DataDigest}
}

// The kinds of steps; a byte of the input selects one.
const (
	modelStepRead = iota
	modelStepWrite
	modelStepWriteInCapsule
	modelStepOutOfRange
	modelStepWrongLength
	modelStepWrongCapsule
	modelStepData
	modelStepWrongData
	modelStepComplete
	modelStepAbort
	modelStepExpire
	modelStepFlush
	modelStepOtherOpcode
	modelStepICReq
	modelStepTermReq
	modelStepBadDigest
	modelStepKinds
)

func (p *modelRun) step(kind, n byte) {
	switch kind % modelStepKinds {
	case modelStepComplete:
		p.complete(n)
	case modelStepAbort:
		p.abort(uint16(n >> 4))
	case modelStepExpire:
		p.expire(uint16(n >> 4))
	default:
		p.send(p.frame(kind%modelStepKinds, n))
	}
}

// frame returns the frame of a step: a Write of one to eight blocks, changed according to the kind of the step.
func (p *modelRun) frame(kind, n byte) frame {
	f := frame{
		cid: uint16(n >> 4), opcode: nvme.Write, nsid: 1, lba: uint64(n & 3), blocks: 1 + int(n&7),
		sgl: nvme.SGLTransport,
	}
	f.sglLength = f.blocks * testBlock
	switch kind {
	case modelStepRead:
		f.opcode = nvme.Read
	case modelStepWriteInCapsule:
		f.sgl, f.blocks = nvme.SGLInCapsule, 1+int(n&1)
		f.sglLength = f.blocks * testBlock
		f.inCapsule = f.sglLength
	case modelStepOutOfRange:
		f.outOfRange(n)
	case modelStepWrongLength:
		lengths := [...]int{0, 1, f.sglLength - 1, f.sglLength + 1, 1 << 20, 1<<31 - 1, 1 << 31, 1<<32 - 1}
		f.sglLength = lengths[n&7]
	case modelStepWrongCapsule: // the capsule has more or less data than the SGL descriptor states
		f.sgl, f.blocks, f.sglLength, f.inCapsule = nvme.SGLInCapsule, 1, testBlock, []int{0, 512, 4092, 8192}[n&3]
	case modelStepData:
		f.data(p.model, n)
	case modelStepWrongData:
		f.data(p.model, n)
		f.corruptData(n, p.dataDigests)
	case modelStepFlush:
		f.opcode, f.nsid = nvme.Flush, []uint32{1, 5, 2, allNamespaces}[n&3]
		f.blocks, f.sglLength = 0, 0
	case modelStepOtherOpcode:
		f.opcode = []uint8{nvme.Fabrics, 0x04, 0x05, 0x7E}[n&3]
	case modelStepICReq:
		f.kind = frameICReq
	case modelStepTermReq:
		f.kind = frameTermReq
	case modelStepBadDigest:
		f.sgl, f.blocks, f.sglLength, f.inCapsule = nvme.SGLInCapsule, 1, testBlock, testBlock
		f.badDigest = p.dataDigests
	}
	return f
}

// outOfRange changes the frame to a Read that goes past the end of its namespace, ends exactly there, or has another
// namespace.
func (f *frame) outOfRange(n byte) {
	blocks := uint64(f.blocks)
	f.opcode = nvme.Read
	f.lba = [...]uint64{1000 - blocks, 1001 - blocks, 999, 1000, 1 << 40, ^uint64(0), 0, 0}[n&7]
	f.nsid = uint32(1 + (n>>3&1)*4)
	f.sglLength = f.blocks * testBlock
	if f.nsid == 5 {
		f.sglLength = f.blocks * 512
	}
}

// data changes the frame to an H2CData with the rest of the data of a command, or with data that no command waits for.
func (f *frame) data(m *model, n byte) {
	f.kind, f.tag, f.cid, f.size, f.last = frameData, uint16(n&7), 99, testBlock, true
	for _, c := range m.commands {
		if c.tag == f.tag && (c.receiving || c.discarding) && c.received < c.bytes {
			f.cid, f.offset, f.size = c.cid, c.received, c.bytes-c.received
		}
	}
}

// corruptData shortens the data of a frame, or makes one of its fields invalid.
func (f *frame) corruptData(n byte, digests bool) {
	switch n >> 5 {
	case 0:
		f.size, f.last = min(f.size, testBlock), f.size <= testBlock
	case 1:
		f.offset += testBlock
	case 2:
		f.size, f.last = f.size+1+3*int(n>>3&1), n&16 != 0
	case 3:
		f.last = false
	case 4:
		f.cid++
	case 5:
		f.offset = max(0, f.offset-testBlock)
	case 6:
		f.size, f.last = testBlock, true
	case 7:
		f.badDigest = digests
	}
}

// send sends a frame. An H2CData with more than MaxDataPDU bytes is sent as several frames.
func (p *modelRun) send(f frame) {
	p.t.Helper()
	if f.kind == frameData {
		for part := p.io.session.settings.MaxDataPDU; f.size > part && !p.model.over; {
			first := f
			first.size, first.last, first.badDigest = part, false, false
			p.check(first)
			f.offset, f.size = f.offset+part, f.size-part
		}
	}
	if !p.model.over {
		p.check(f)
	}
}

func (p *modelRun) encode(f frame) []byte {
	var bytes []byte
	switch f.kind {
	case frameCommand:
		c := nvme.NewRW(f.opcode, f.nsid, f.lba, max(f.blocks, 1))
		c.SetSGL(f.sgl, f.sglLength)
		if f.opcode == nvme.Fabrics {
			c = nvme.NewConnect(1, 8, 0)
		}
		c.SetCID(f.cid)
		bytes = p.io.hostFraming.AppendCommand(nil, &c, make([]byte, f.inCapsule))
	case frameData:
		flags := uint8(0)
		if f.last {
			flags = nvme.FlagLast
		}
		bytes = p.io.dataPDU(flags, f.cid, f.tag, f.offset, f.size)
	case frameICReq:
		bytes = nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
	case frameTermReq:
		bytes = nvme.AppendTerm(nil, nvme.TypeH2CTermReq, &nvme.FatalError{Status: 1})
	}
	if f.badDigest {
		bytes[len(bytes)-1] ^= 1
	}
	return bytes
}

// check sends a frame and compares the PDUs that the session sends with those that the model allows.
func (p *modelRun) check(f frame) {
	p.t.Helper()
	admitted := len(p.io.admitted)
	v := p.model.judge(f)
	p.model.over = len(v.fatal) > 0 || f.kind == frameTermReq
	var statuses []nvme.Status
	r2t := false
	for _, pdu := range p.io.send(p.encode(f)) {
		switch pdu.Type {
		case nvme.TypeCapsuleResp:
			c := pdu.Completion()
			if statuses = append(statuses, c.Status()); c.CID() != f.cid {
				p.t.Fatalf("%+v: the answer has command id %d", f, c.CID())
			}
		case nvme.TypeR2T:
			r2t = true
			p.checkR2T(f, &v, &pdu)
		case nvme.TypeC2HTermReq:
			if s, _ := pdu.Term(); !slices.Contains(v.fatal, s) {
				p.t.Fatalf("%+v: TermReq with status %d, allowed are %v", f, s, v.fatal)
			}
		default:
			p.t.Fatalf("%+v: the session sent a PDU of type %#x", f, pdu.Type)
		}
	}
	if ended := p.io.session.phase == phaseEnded; ended != p.model.over {
		p.t.Fatalf("%+v: the connection ended: %v, want %v; allowed statuses %v", f, ended, p.model.over, v.fatal)
	}
	p.checkStatuses(f, &v, statuses)
	if admits := len(p.io.admitted) > admitted; r2t != v.expectsR2T || admits != v.admits {
		p.t.Fatalf("%+v: R2T %v, want %v; admitted %v, want %v", f, r2t, v.expectsR2T, admits, v.admits)
	}
	if v.admits {
		p.io.admitted[admitted].User = v.command
	}
}

func (p *modelRun) checkR2T(f frame, v *verdict, r2t *nvme.PDU) {
	p.t.Helper()
	if v.command == nil || r2t.CCCID() != f.cid || r2t.Offset() != 0 || int(r2t.Length()) != v.command.bytes {
		p.t.Fatalf("%+v: R2T for command %d, %d bytes from offset %d", f, r2t.CCCID(), r2t.Length(), r2t.Offset())
	}
	v.command.tag = r2t.TTAG()
}

// checkStatuses checks that there is exactly one answer with an allowed status, or no answer if none is allowed.
func (p *modelRun) checkStatuses(f frame, v *verdict, statuses []nvme.Status) {
	p.t.Helper()
	if len(statuses) == 0 && len(v.statuses) == 0 {
		return
	}
	if len(statuses) != 1 || !slices.Contains(v.statuses, statuses[0]) {
		p.t.Fatalf("%+v: statuses %#x, allowed are %#x", f, statuses, v.statuses)
	}
}

// answers returns the completions that the I/O queue has sent, as "id:status".
func (p *modelRun) answers() []string {
	p.t.Helper()
	var answers []string
	for _, pdu := range p.io.receive() {
		if pdu.Type == nvme.TypeCapsuleResp {
			c := pdu.Completion()
			answers = append(answers, answerText(c.CID(), c.Status()))
		}
	}
	return answers
}

func answerText(cid uint16, s nvme.Status) string { return fmt.Sprintf("%d:%#x", cid, uint16(s)) }

// complete answers an admitted command as its handler does. The command may have ended already.
func (p *modelRun) complete(n byte) {
	p.t.Helper()
	if len(p.io.admitted) == 0 {
		return
	}
	c := p.io.admitted[int(n)%len(p.io.admitted)]
	command := c.User.(*modelCommand)
	var want []string
	if command.admitted {
		want = []string{answerText(c.CID(), nvme.Success)}
	}
	command.admitted = false
	c.Complete(nvme.Success, 0, 0, nil)
	if got := p.answers(); !slices.Equal(got, want) {
		p.t.Fatalf("answers after Complete: %v, want %v", got, want)
	}
}

func (p *modelRun) abort(cid uint16) {
	p.t.Helper()
	completion := p.admin.abort(cid)
	c := p.model.open(cid)
	var want []string
	if c != nil && !c.discarding {
		want = []string{answerText(cid, nvme.AbortRequested)}
		c.discarding, c.receiving, c.admitted = c.receiving, false, false
	}
	aborted := completion.DW0()&notAborted == 0
	if got := p.answers(); !slices.Equal(got, want) || aborted != (want != nil) {
		p.t.Fatalf("Abort of command %d: answers %v, result %#x; want answers %v", cid, got, completion.DW0(), want)
	}
}

// expire calls Session.Expire for a command, whatever its state is.
func (p *modelRun) expire(cid uint16) {
	p.t.Helper()
	c := p.model.open(cid)
	if c == nil {
		return
	}
	var want []string
	if c.receiving {
		want = []string{answerText(cid, nvme.DataTransferError)}
		c.receiving, c.discarding = false, true
	}
	p.io.session.Expire(p.io.session.commands[cid])
	if got := p.answers(); !slices.Equal(got, want) {
		p.t.Fatalf("answers after Expire: %v, want %v", got, want)
	}
}

func (p *modelRun) finish() {
	p.t.Helper()
	for _, c := range p.io.admitted {
		p.io.session.buffers.Put(c.Data) // the handler owns it
	}
	p.io.session.Closed()
	if buffered := p.io.session.buffers.InUse; buffered != 0 {
		p.t.Fatalf("%d bytes of buffers are in use after the connection ended", buffered)
	}
}
