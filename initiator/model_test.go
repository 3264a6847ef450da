package initiator

import (
	"testing"

	"honeyplank/nvme"
)

// modelCommand is the state of a command in the model.
type modelCommand struct {
	cid              uint16
	write, inCapsule bool
	bytes            int
	received         int // received bytes of a Read
	requested        int // bytes of a Write that R2Ts have requested
	damaged          bool
	abandoned        bool
	ended            bool
	results          []Result
}

// inCapsuleBytes is the limit of data in a capsule, and the size of the Writes whose data is in the capsule.
const inCapsuleBytes = 512

// FuzzModel sends valid and invalid PDUs of a controller to a host with commands in flight, and compares the session
// with a simple model that searches all commands ever submitted. The session must accept what the model allows, and end
// the command as the model does; anything else must end the connection. A success that comes before all data of its
// command has been transferred is not allowed.
func FuzzModel(f *testing.F) {
	f.Add(byte(0), []byte{0, 0, 3, 0, 4, 0, 0, 1, 3, 1, 4, 1})
	f.Add(byte(1), []byte{1, 0, 5, 0x20, 4, 0, 2, 0, 4, 0, 1, 1})
	f.Add(byte(3), []byte{1, 0, 4, 0, 0, 0, 6, 1, 7, 0, 8, 0x41})
	f.Add(byte(2), []byte{8, 0, 4, 0, 0, 0, 9, 1, 4, 1})
	f.Fuzz(func(t *testing.T, digests byte, script []byte) {
		c := newController(true)
		c.sendICResp(t, nvme.Init{HeaderDigest: digests&1 != 0, DataDigest: digests&2 != 0})
		c.session.MaxCapsule = inCapsuleBytes
		p := &modelRun{controller: c, t: t}
		for ; len(script) >= 2 && !p.over; script = script[2:] {
			p.step(script[0], script[1])
		}
		p.finish()
	})
}

// modelRun executes the steps of an input on a session and on the model.
type modelRun struct {
	*controller
	t        *testing.T
	commands []*modelCommand
	over     bool // the connection has ended
}

// The kinds of steps; a byte of the input selects one.
const (
	modelStepRead = iota
	modelStepWrite
	modelStepAbandon
	modelStepData
	modelStepCompletion
	modelStepR2T
	modelStepDataWithSuccess
	modelStepTermReq
	modelStepWriteInCapsule
	modelStepDamagedData
	modelStepKinds
)

// verdict is the result that the model expects of a PDU from the controller.
type verdict struct {
	allowed  bool
	wantSent int           // bytes of data that the session must send
	ends     *modelCommand // the command that ends, with status
	status   nvme.Status
}

func (p *modelRun) step(kind, n byte) {
	kind %= modelStepKinds
	cid := p.commandID(n)
	if n&0x10 != 0 && kind > modelStepAbandon { // an id that is not in flight, or no longer in flight
		cid += 1 << slotBits
	}
	m := p.find(cid)
	switch kind {
	case modelStepRead:
		p.submit(&modelCommand{bytes: transferBytes})
	case modelStepWrite:
		p.submit(&modelCommand{write: true, bytes: transferBytes})
	case modelStepWriteInCapsule:
		p.submit(&modelCommand{write: true, inCapsule: true, bytes: inCapsuleBytes})
	case modelStepAbandon:
		p.session.Abandon(cid)
		if m != nil {
			m.abandoned = true
		}
	default:
		bytes, v := p.message(kind, n, cid, m)
		p.check(cid, bytes, v)
	}
}

// commandID returns the id of a command that was submitted, or any id if there is none.
func (p *modelRun) commandID(n byte) uint16 {
	if len(p.commands) > 0 {
		return p.commands[int(n&15)%len(p.commands)].cid
	}
	return uint16(n) << 8
}

func (p *modelRun) find(cid uint16) *modelCommand {
	for _, m := range p.commands {
		if m.cid == cid && !m.ended {
			return m
		}
	}
	return nil
}

func (p *modelRun) countOpen() int {
	n := 0
	for _, m := range p.commands {
		if !m.ended {
			n++
		}
	}
	return n
}

func (p *modelRun) submit(m *modelCommand) {
	p.t.Helper()
	c, data, read := nvme.NewRW(nvme.Read, 1, 0, 2), []byte(nil), m.bytes
	if m.write {
		c, data, read = nvme.NewRW(nvme.Write, 1, 0, 2), make([]byte, m.bytes), 0
	}
	open := p.countOpen()
	cid, ok := p.session.Submit(c, data, read, CallbackFunc(func(r Result) { m.results = append(m.results, r) }))
	if ok != (open < testDepth) || ok && p.find(cid) != nil {
		p.t.Fatalf("with %d commands in flight, Submit returned %v and id %d", open, ok, cid)
	}
	if m.cid = cid; ok {
		p.commands = append(p.commands, m)
	}
	p.output = nil
}

// message returns the bytes of a step and the verdict of the model. m is the command with the id, or nil.
func (p *modelRun) message(kind, n byte, cid uint16, m *modelCommand) ([]byte, verdict) {
	switch kind {
	case modelStepData:
		return p.dataMessage(n, cid, m)
	case modelStepDamagedData:
		bytes, v := p.dataMessage(n, cid, m)
		if p.framing.DataDigest {
			bytes[len(bytes)-1] ^= 1
			if v.allowed {
				m.damaged = true
			}
		}
		return bytes, v
	case modelStepCompletion:
		status := nvme.Status(n >> 6)
		return p.completion(cid, status), m.judgeCompletion(status)
	case modelStepR2T:
		return p.r2tMessage(n, cid, m)
	case modelStepDataWithSuccess:
		v := verdict{allowed: m != nil && !m.write && m.received == 0, ends: m}
		if v.allowed {
			m.received = m.bytes
		}
		return p.dataWithSuccess(cid, transferBytes), v
	}
	return nvme.AppendTerm(nil, nvme.TypeC2HTermReq, &nvme.FatalError{Status: uint16(n)}), verdict{}
}

// dataMessage returns data of a Read, at the next offset or at another one.
func (p *modelRun) dataMessage(n byte, cid uint16, m *modelCommand) ([]byte, verdict) {
	offset, size := 0, testBlock<<(n>>5&1)
	if m != nil {
		offset = m.received
	}
	if n&0x80 != 0 {
		offset = testBlock * int(n>>6&1)
	}
	allowed := m != nil && !m.write && offset == m.received && offset+size <= m.bytes
	if allowed {
		m.received += size
	}
	return p.data(cid, offset, size), verdict{allowed: allowed}
}

// judgeCompletion allows a success only after all data has been transferred.
func (m *modelCommand) judgeCompletion(status nvme.Status) verdict {
	v := verdict{allowed: m != nil, ends: m, status: status}
	if m == nil || status != nvme.Success {
		return v
	}
	switch {
	case !m.write:
		v.allowed = m.received == m.bytes
	case !m.inCapsule:
		v.allowed = m.requested == m.bytes
	}
	return v
}

// r2tMessage returns an R2T for the next part of a Write, or for another range.
func (p *modelRun) r2tMessage(n byte, cid uint16, m *modelCommand) ([]byte, verdict) {
	offset, size := 0, testBlock<<(n>>5&1)
	if m != nil {
		offset = m.requested
	}
	if n&0x80 != 0 {
		offset, size = testBlock*int(n>>6&1), int(n&0x20)<<8+int(n>>3&1)
	}
	bytes := p.r2t(cid, offset, size)
	hasData := m != nil && m.write && !m.inCapsule
	if !hasData || size == 0 || offset != m.requested || offset+size > m.bytes {
		return bytes, verdict{}
	}
	m.requested += size
	if m.abandoned {
		return bytes, verdict{allowed: true} // its client may have been told that it did not run
	}
	return bytes, verdict{allowed: true, wantSent: size}
}

// check passes bytes to the session and compares the result with the verdict of the model.
func (p *modelRun) check(cid uint16, bytes []byte, v verdict) {
	p.t.Helper()
	err := p.send(bytes)
	if (err == nil) != v.allowed {
		p.t.Fatalf("% x... for id %d: error %v; allowed by the model: %v", bytes[:8], cid, err, v.allowed)
	}
	if err != nil {
		p.over = true
		return
	}
	if sent := p.receiveData(cid); sent != v.wantSent {
		p.t.Fatalf("the session sent %d bytes of data, want %d", sent, v.wantSent)
	}
	if v.ends != nil {
		p.checkEnd(v.ends, v.status)
	}
}

// receiveData returns the number of data bytes that the session has sent for a command. Any other output is an error.
func (p *modelRun) receiveData(cid uint16) int {
	p.t.Helper()
	sent := 0
	for len(p.output) > 0 {
		pdu, used, err := p.input.Decode(p.output)
		if err != nil || used == 0 {
			p.t.Fatalf("output of the session: %d bytes used, error %v", used, err)
		}
		if pdu.Type != nvme.TypeH2CData || pdu.CCCID() != cid || len(pdu.Data) > maxPDUData {
			p.t.Fatalf("the session sent an unexpected PDU: %+v", pdu)
		}
		sent += len(pdu.Data)
		p.output = p.output[used:]
	}
	return sent
}

// checkEnd checks that a command has ended once with a status, or that it was abandoned and has no result.
func (p *modelRun) checkEnd(m *modelCommand, status nvme.Status) {
	p.t.Helper()
	m.ended = true
	if m.damaged && status == nvme.Success {
		status = nvme.TransientTransport
	}
	switch {
	case m.abandoned && len(m.results) == 0:
	case m.abandoned || len(m.results) != 1:
		p.t.Fatalf("command %+v has %d results", m, len(m.results))
	case m.results[0].Status() != status || m.results[0].ConnectionLost:
		p.t.Fatalf("the command ended with %+v, want status %#x", m.results[0], status)
	}
}

func (p *modelRun) finish() {
	p.t.Helper()
	p.session.endInFlight()
	for number, m := range p.commands {
		if n := len(m.results); n > 1 || n == 0 && !m.abandoned || n == 1 && !m.ended && !m.results[0].ConnectionLost {
			p.t.Fatalf("command %d has wrong results: %+v", number, m)
		}
	}
	if p.buffers.InUse != 0 {
		p.t.Fatalf("%d bytes of buffers are still in use", p.buffers.InUse)
	}
}
