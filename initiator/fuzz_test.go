package initiator

import (
	"testing"

	"honeyplank/nvme"
)

const transferBytes = 2 * testBlock // bytes of a Read or Write of the fuzz targets

// FuzzController sends well-formed PDUs of a controller in any order to a host with Reads and Writes in flight. It
// checks that the session does not panic, that every command ends once, at the latest with its connection, that each
// slot is either free or busy, and that no buffer is in use at the end.
func FuzzController(f *testing.F) {
	f.Add([]byte{0, 0, 3, 0, 4, 0, 0, 1, 3, 1, 4, 1})
	f.Add([]byte{1, 0, 5, 0, 4, 0, 2, 0, 4, 0, 1, 1})
	f.Add([]byte{0, 0, 2, 0, 0, 1, 4, 0, 4, 1, 4, 1, 6, 1})
	f.Add([]byte{1, 0, 1, 1, 0, 2, 5, 0, 5, 1, 4, 0x10, 7, 2, 8, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		s := &sequence{controller: readyController(t), ended: map[int]int{}, abandoned: map[int]bool{}}
		var err error
		for ; len(script) >= 2 && err == nil; script = script[2:] {
			err = s.step(script[0], script[1])
			s.check(t)
		}
		s.finish(t)
	})
}

// sequence executes the steps of an input. Commands are numbered in the order in which they were submitted.
type sequence struct {
	*controller
	ids       []uint16
	ended     map[int]int
	abandoned map[int]bool
}

// The kinds of steps of a sequence; a byte of the input selects one.
const (
	stepRead = iota
	stepWrite
	stepAbandon
	stepData
	stepCompletion
	stepR2T
	stepDataWithSuccess
	stepTermReq
	stepByte
	stepKinds
)

// step executes a step for a command, or for an id that was never used. It returns the error that ends the connection.
func (s *sequence) step(kind, n byte) error {
	number, cid := -1, uint16(n)
	if len(s.ids) > 0 {
		number = int(n) % len(s.ids)
		cid = s.ids[number]
	}
	switch kind % stepKinds {
	case stepRead:
		s.submit(nvme.NewRW(nvme.Read, 1, 0, 2), nil, transferBytes)
	case stepWrite:
		s.submit(nvme.NewRW(nvme.Write, 1, 0, 2), make([]byte, transferBytes), 0)
	case stepAbandon:
		s.abandon(number, cid)
	case stepData:
		return s.send(s.data(cid, int(n>>7)*testBlock, testBlock<<(n>>5&1)))
	case stepCompletion:
		return s.send(s.completion(cid, nvme.Status(n>>6)))
	case stepR2T:
		return s.send(s.r2t(cid, int(n>>7)*testBlock, testBlock<<(n>>5&3)))
	case stepDataWithSuccess:
		return s.send(s.dataWithSuccess(cid, transferBytes))
	case stepTermReq:
		return s.send(nvme.AppendTerm(nil, nvme.TypeC2HTermReq, &nvme.FatalError{Status: uint16(n)}))
	case stepByte:
		return s.send([]byte{n})
	}
	return nil
}

func (s *sequence) submit(c nvme.Command, data []byte, read int) {
	number := len(s.ids)
	if cid, ok := s.session.Submit(c, data, read, CallbackFunc(func(Result) { s.ended[number]++ })); ok {
		s.ids = append(s.ids, cid)
	}
}

func (s *sequence) abandon(number int, cid uint16) {
	if number < 0 {
		return
	}
	s.session.Abandon(cid)
	if s.ended[number] == 0 && s.session.findSlot(cid) != nil {
		s.abandoned[number] = true
	}
}

func (s *sequence) check(t *testing.T) {
	t.Helper()
	busy, free, slots := 0, len(s.session.free), len(s.session.slots)
	for _, v := range s.session.slots {
		if v.busy {
			busy++
		}
	}
	if busy+free != slots {
		t.Fatalf("%d slots busy and %d free, of %d in all", busy, free, slots)
	}
	if s.buffers.InUse > testDepth*2*transferBytes {
		t.Fatalf("%d bytes of buffers in use by at most %d commands", s.buffers.InUse, testDepth)
	}
}

func (s *sequence) finish(t *testing.T) {
	t.Helper()
	s.session.endInFlight()
	for number := range s.ids {
		if n := s.ended[number]; n > 1 || n == 0 && !s.abandoned[number] {
			t.Fatalf("the callback of command %d was called %d times", number, n)
		}
	}
	if s.buffers.InUse != 0 {
		t.Fatalf("%d bytes of buffers are still in use", s.buffers.InUse)
	}
}
