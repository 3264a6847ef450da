// Package initiator is the host's side of NVMe over TCP: what talks to a controller. Session is one queue's
// state machine, in memory; Association drives an admin queue and one I/O queue on a loop. Nothing here
// repeats, times out or chooses: every command ends once, by its answer or with its connection.
package initiator

import (
	"fmt"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Result is how a command ended.
type Result struct {
	nvme.Completion
	// Data is what a Read brought; it holds only during the call.
	Data []byte
	// Lost tells that the connection ended first. Whether the command ran is unknown if it was sent.
	Lost bool
}

// Call is told, once, how a command ended.
type Call interface{ Done(Result) }

// CallFunc is a function as a Call.
type CallFunc func(Result)

// Done calls the function.
func (f CallFunc) Done(r Result) { f(r) }

// slot holds a command that is out. Its command id is its index with a count of its uses above, so that an
// answer to an earlier use is told from one to this. A slot is used again only when its command has been
// answered: a late answer finds the slot abandoned, never another's op in it.
type slot struct {
	index uint16
	used  uint16
	busy  bool
	call  Call   // nil: abandoned
	read  int    // bytes a Read is to bring
	got   int    // and has brought
	data  []byte // of a Write whose R2T may come, or of a Read
	write bool
	bad   bool // data came damaged
	asked int  // bytes R2Ts have asked for
}

// slotBits are the bits of a command id that are the slot's index.
const slotBits = 10

// MaxDepth is the most commands that one session keeps out.
const MaxDepth = 1 << slotBits

// Session is one queue's state machine. Commands may be submitted once Ready.
type Session struct {
	out     *[]byte
	flush   func()
	buffers *eventloop.Buffers
	in      nvme.Framing
	outF    nvme.Framing
	// Capsule is how much data may travel in a command's capsule.
	Capsule int
	ready   bool
	opened  func() // ICResp has come
	slots   []slot
	free    []uint16
}

func newSession(depth, most int, digests bool, buffers *eventloop.Buffers, out *[]byte, flush func(), opened func()) *Session {
	s := &Session{out: out, flush: flush, buffers: buffers, opened: opened, slots: make([]slot, depth)}
	s.in.MaxData = most
	for i := depth - 1; i >= 0; i-- {
		s.free = append(s.free, uint16(i))
	}
	*out = nvme.AppendInit(*out, nvme.TypeICReq, nvme.Init{HeaderDigest: digests, DataDigest: digests})
	flush()
	return s
}

// Free is how many commands may be submitted now.
func (s *Session) Free() int { return len(s.free) }

// Submit sends a command with the data of a Write, or expecting read bytes. Data is copied. It
// returns the command id.
func (s *Session) Submit(c nvme.Command, data []byte, read int, call Call) (cid uint16, ok bool) {
	if !s.ready || len(s.free) == 0 {
		return 0, false
	}
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	v := &s.slots[i]
	*v = slot{index: i, used: v.used + 1, busy: true, call: call, read: read, write: len(data) > 0}
	cid = v.used<<slotBits | i
	c.SetCID(cid)
	capsule := data
	switch {
	case len(data) > s.Capsule:
		c.SetSGL(nvme.SGLTransport, len(data))
		v.data = s.buffers.Get(len(data))
		copy(v.data, data)
		s.buffers.Copied(len(data))
		capsule = nil
	case len(data) > 0:
		c.SetSGL(nvme.SGLInCapsule, len(data))
	default:
		c.SetSGL(nvme.SGLTransport, read)
	}
	*s.out = s.outF.AppendCommand(*s.out, &c, capsule)
	s.buffers.Copied(len(capsule))
	s.flush()
	return cid, true
}

// Abandon makes a command's answer nobody's; its id stays in use until the answer has come.
func (s *Session) Abandon(cid uint16) {
	if v := s.find(cid); v != nil {
		v.call = nil
	}
}

// Abandoned is how many abandoned commands wait for an answer.
func (s *Session) Abandoned() (n int) {
	for i := range s.slots {
		if s.slots[i].busy && s.slots[i].call == nil {
			n++
		}
	}
	return n
}

func (s *Session) find(cid uint16) *slot {
	if i := int(cid & (MaxDepth - 1)); i < len(s.slots) {
		if v := &s.slots[i]; v.busy && v.used<<slotBits|uint16(i) == cid {
			return v
		}
	}
	return nil
}

func protocolError(status uint16, p *nvme.PDU, format string, a ...any) error {
	return &nvme.FatalError{Status: status, Text: fmt.Sprintf(format, a...), Header: append([]byte(nil), p.Header...)}
}

// Input takes in bytes and returns how many it used; after an error the connection is of no more use.
func (s *Session) Input(b []byte) (used int, err error) {
	for {
		p, n, err := s.in.Decode(b[used:])
		if err == nil && n > 0 {
			used += n
			err = s.pdu(&p)
		}
		if err != nil {
			if e, ok := err.(*nvme.FatalError); ok {
				*s.out = nvme.AppendTerm(*s.out, nvme.TypeH2CTermReq, e)
			}
			return len(b), err
		}
		if n == 0 {
			return used, nil
		}
	}
}

func (s *Session) pdu(p *nvme.PDU) error {
	if p.Type == nvme.TypeC2HTermReq {
		status, info := p.Term()
		return fmt.Errorf("initiator: the controller ended the connection, FES %d, FEI %d", status, info)
	}
	if !s.ready {
		return s.initialize(p)
	}
	switch p.Type {
	case nvme.TypeCapsuleResp:
		c := p.Completion()
		v := s.find(c.CID())
		if v == nil {
			return protocolError(nvme.FatalSequence, p, "an answer to command id %d, which is not out", c.CID())
		}
		if c.Status().Code() == nvme.Success && v.read != v.got {
			return protocolError(nvme.FatalSequence, p, "success after %d of %d bytes", v.got, v.read)
		}
		if c.Status().Code() == nvme.Success && v.asked != len(v.data) && v.write { // it can't have been written
			return protocolError(nvme.FatalSequence, p, "success of a write after %d of %d bytes", v.asked, len(v.data))
		}
		s.done(c, v)
		return nil
	case nvme.TypeC2HData:
		return s.data(p)
	case nvme.TypeR2T:
		return s.transfer(p)
	}
	return protocolError(nvme.FatalSequence, p, "a PDU that does not belong here")
}

func (s *Session) initialize(p *nvme.PDU) error {
	if p.Type != nvme.TypeICResp {
		return protocolError(nvme.FatalSequence, p, "a PDU before ICResp")
	}
	i := p.Init()
	if i.Version != 0 || i.Align > 31 || i.Limit < 4096 {
		return protocolError(nvme.FatalUnsupportedParameter, p, "ICResp with PFV %d, CPDA %d, MAXH2CDATA %d", i.Version, i.Align, i.Limit)
	}
	s.in.HeaderDigest, s.in.DataDigest = i.HeaderDigest, i.DataDigest
	s.outF = nvme.Framing{HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest, Align: i.Align, MaxData: int(i.Limit), FromHost: true}
	s.ready = true
	s.opened()
	return nil
}

func (s *Session) data(p *nvme.PDU) error {
	v := s.find(p.CCCID())
	if v == nil || v.write {
		return protocolError(nvme.FatalSequence, p, "data for command id %d, which reads nothing", p.CCCID())
	}
	from, n := int64(p.Offset()), len(p.Data)
	if from != int64(v.got) || from+int64(n) > int64(v.read) || n == 0 {
		return protocolError(nvme.FatalDataRange, p, "data from %d to %d of %d, %d have come", from, from+int64(n), v.read, v.got)
	}
	if v.call != nil {
		if v.data == nil {
			v.data = s.buffers.Get(v.read)
		}
		copy(v.data[from:], p.Data)
		s.buffers.Copied(n)
	}
	v.got += n
	v.bad = v.bad || p.BadData
	if p.Flags&nvme.FlagSuccess != 0 {
		if p.Flags&nvme.FlagLast == 0 || v.got != v.read {
			return protocolError(nvme.FatalHeaderField, p, "success before the last byte")
		}
		s.done(nvme.NewCompletion(p.CCCID(), nvme.Success, 0, 0), v)
	}
	return nil
}

// transfer sends what an R2T asks for.
func (s *Session) transfer(p *nvme.PDU) error {
	v := s.find(p.CCCID())
	if v == nil || !v.write || v.data == nil {
		return protocolError(nvme.FatalSequence, p, "R2T for command id %d, which has nothing to send", p.CCCID())
	}
	from, n := int64(p.Offset()), int64(p.Length())
	if from != int64(v.asked) || n == 0 || from+n > int64(len(v.data)) {
		return protocolError(nvme.FatalDataRange, p, "R2T from %d to %d of %d", from, from+n, len(v.data))
	}
	v.asked += int(n)
	for at := int(from); at < int(from+n); at += s.outF.MaxData {
		piece := v.data[at:min(at+s.outF.MaxData, int(from+n))]
		flags := uint8(0)
		if at+len(piece) == int(from+n) {
			flags = nvme.FlagLast
		}
		s.buffers.Copied(len(piece))
		header := nvme.DataHeader{Type: nvme.TypeH2CData, Flags: flags, CID: p.CCCID(), TTAG: p.TTAG(), Offset: at}
		*s.out = s.outF.AppendData(*s.out, header, piece)
	}
	s.flush()
	return nil
}

func (s *Session) done(c nvme.Completion, v *slot) {
	if v.bad && c.Status() == nvme.Success {
		c = nvme.NewCompletion(c.CID(), nvme.TransientTransport, 0, 0)
	}
	r := Result{Completion: c}
	if !v.write && c.Status() == nvme.Success {
		r.Data = v.data
	}
	s.end(v, r)
}

// end frees the slot and tells its owner.
func (s *Session) end(v *slot, r Result) {
	call, data := v.call, v.data
	v.busy, v.call, v.data = false, nil, nil
	s.free = append(s.free, v.index)
	if call != nil {
		call.Done(r)
	}
	s.buffers.Put(data)
}

// lost ends every command that is out.
func (s *Session) lost() {
	s.ready = false
	for i := range s.slots {
		if s.slots[i].busy {
			s.end(&s.slots[i], Result{Lost: true})
		}
	}
}
