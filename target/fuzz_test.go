package target

import (
	"testing"

	"honeyplank/nvme"
)

// FuzzSequence sends well-formed PDUs in any order on an admin and an I/O queue, mixed with answers of the handler and
// disconnects of the client. It checks that the session does not panic and answers no command twice, and that after
// both connections have closed no buffer is in use and every admitted command has ended.
func FuzzSequence(f *testing.F) {
	f.Add([]byte{1, 0, 9, 0, 2, 1, 9, 1, 3, 2, 4, 2, 9, 2})
	f.Add([]byte{2, 1, 2, 1, 2, 2, 4, 1, 4, 2, 5, 1, 6, 2, 9, 0, 10, 0})
	f.Add([]byte{3, 1, 4, 0x81, 4, 1, 7, 1, 8, 0, 11, 0, 1, 1})
	f.Add([]byte{2, 7, 5, 7, 4, 7, 2, 7, 4, 7, 9, 0, 12, 0, 13, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		admin, io := newQueuePair(t)
		s := &sequence{t: t, admin: admin, io: io, sent: map[uint16]int{}, answered: map[uint16]int{}}
		for ; len(script) >= 2; script = script[2:] {
			s.step(script[0], script[1])
			s.check()
		}
		s.finish()
	})
}

// sequence executes the steps of an input. It counts the commands sent and answered on the I/O queue, by command id.
type sequence struct {
	t              *testing.T
	admin, io      *harness
	sent, answered map[uint16]int
}

// The kinds of steps of a sequence; a byte of the input selects one.
const (
	stepICReq = iota
	stepRead
	stepWrite
	stepWriteInCapsule
	stepData
	stepAbort
	stepConnect
	stepComplete
	stepAnyOpcode
	stepExpire
	stepSetConfig
	stepTermReq
	stepDisconnect
	stepAdminConnect
	stepKinds
)

func (s *sequence) step(kind, n byte) {
	id := uint16(n >> 4)
	switch kind % stepKinds {
	case stepICReq:
		s.send(nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{}))
	case stepRead:
		s.command(id, transfer(nvme.Read, uint64(n), 1+int(n&3)), nil)
	case stepWrite:
		s.command(id, transfer(nvme.Write, uint64(n), 8), nil)
	case stepWriteInCapsule:
		s.command(id, nvme.NewRW(nvme.Write, 1, 0, 1), make([]byte, testBlock))
	case stepData:
		s.data(n)
	case stepAbort: // the command may be unknown
		s.sendAdmin(withDW10(nvme.AdminAbort, uint32(id)<<16|1), 50)
	case stepConnect:
		data := nvme.ConnectData{ControllerID: 1, Subsystem: testSubsystem, Host: "h"}
		s.command(id, nvme.NewConnect(1, 8, 0), nvme.AppendConnectData(nil, data))
	case stepComplete:
		if admitted := s.io.admitted; len(admitted) > 0 {
			admitted[int(n)%len(admitted)].Complete(nvme.Success, 0, 0, make([]byte, testBlock))
			s.count(s.io.receive())
		}
	case stepAnyOpcode:
		s.send(s.io.hostFraming.AppendCommand(nil, &nvme.Command{n}, nil))
		s.sent[0]++
	case stepExpire: // the data may have come already
		if c := s.io.session.commands[id]; c != nil {
			s.io.session.Expire(c)
		}
		s.count(s.io.receive())
	case stepSetConfig:
		s.sendAdmin(nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, uint32(n&1)), id)
	case stepTermReq:
		s.send(nvme.AppendTerm(nil, nvme.TypeH2CTermReq, &nvme.FatalError{Status: 1}))
	case stepDisconnect:
		s.io.session.Closed()
	case stepAdminConnect:
		s.sendAdmin(nvme.NewConnect(0, 8, 0), id)
	}
}

// send passes bytes to the I/O queue and counts the answers.
func (s *sequence) send(bytes []byte) {
	if s.io.session.phase != phaseEnded {
		s.count(s.io.send(bytes))
	}
}

func (s *sequence) command(id uint16, c nvme.Command, data []byte) {
	s.sent[id]++
	s.send(s.io.command(id, c, data))
}

// sendAdmin sends a command on the admin queue and counts the answers on the I/O queue that result from it. The answers
// on the admin queue are not counted.
func (s *sequence) sendAdmin(c nvme.Command, id uint16) {
	if s.admin.session.phase != phaseEnded {
		s.admin.send(s.admin.command(id, c, nil))
	}
	s.count(s.io.receive())
}

func (s *sequence) count(received []nvme.PDU) {
	for _, p := range received {
		if p.Type == nvme.TypeCapsuleResp {
			c := p.Completion()
			s.answered[c.CID()]++
		}
	}
}

// data sends data of a Write: all of it, the first half, the second half, or all of it with a wrong offset.
func (s *sequence) data(n byte) {
	const total = 8 * testBlock
	size, from, lastFlags := total, 0, uint8(nvme.FlagLast)
	switch n >> 6 {
	case 1:
		size, lastFlags = total/2, 0
	case 2:
		size, from = total/2, total/2
	case 3:
		from = testBlock
	}
	tag, cid := uint16(n&0x0F), uint16(0)
	if c := s.io.session.transfers[tag]; c != nil {
		cid = c.CID()
	}
	for at := 0; at < size && s.io.session.phase != phaseEnded; {
		part, flags := min(16<<10, size-at), uint8(0)
		if at+part == size {
			flags = lastFlags
		}
		s.send(s.io.dataPDU(flags, cid, tag, from+at, part))
		at += part
	}
}

// check checks that there are no more answers than commands, and that the buffers in use are within their limit.
func (s *sequence) check() {
	s.t.Helper()
	for cid, n := range s.answered {
		if n > s.sent[cid] {
			s.t.Fatalf("command id %d was sent %d times and answered %d times", cid, s.sent[cid], n)
		}
	}
	settings := s.io.session.settings
	limit := settings.MaxBuffered + settings.MaxTransfer + 16*settings.MaxCapsule
	if buffered := s.io.session.buffers.InUse; buffered > limit {
		s.t.Fatalf("%d bytes of buffers in use, over the limit", buffered)
	}
}

// finish ends both connections, and checks that no command is open, no association exists and no buffer is in use.
func (s *sequence) finish() {
	s.t.Helper()
	s.admin.session.Closed()
	s.io.session.Closed()
	gone := map[*Command]bool{}
	for _, c := range s.io.gone {
		if gone[c] {
			s.t.Fatal("ClientGone was called twice for a command")
		}
		gone[c] = true
	}
	open := 0
	for _, c := range s.io.admitted {
		if c.state != commandEnded {
			open++
		}
		s.io.session.buffers.Put(c.Data) // the handler owns it
	}
	if s.io.counted != 0 {
		s.t.Fatalf("%d commands still count towards their client's limit after the connections ended", s.io.counted)
	}
	buffered, associations := s.io.session.buffers.InUse, len(s.io.session.associations.byID)
	if open > 0 || buffered != 0 || associations != 0 {
		s.t.Fatalf("after the connections ended: %d commands open, %d bytes of buffers in use, %d associations",
			open, buffered, associations)
	}
}
