// Package initiator is the host's side of NVMe over TCP: what talks to a controller. Session is one queue's state
// machine, in memory; Association drives an admin queue and one I/O queue on an event loop, and all of the package
// runs on that loop's goroutine. It must not retry, choose or time a command out: every command ends once, by its
// answer or with its connection. The gateway uses it towards disk servers, the load generator and the benchmarks as
// clients.
package initiator

import (
	"errors"
	"fmt"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Result is how a command ended.
type Result struct {
	nvme.Completion
	// Data is what a Read brought; it holds only during the call.
	Data []byte
	// ConnectionLost tells that the connection ended first. Whether the command ran is unknown if it was sent.
	ConnectionLost bool
}

// Callback is called once, with how a command ended.
type Callback interface{ Done(Result) }

// CallbackFunc is a function as a Call.
type CallbackFunc func(Result)

// Done calls the function.
func (f CallbackFunc) Done(r Result) { f(r) }

// Session is one queue's state machine. Commands may be submitted once its connection is ready; the zero value takes
// none.
type Session struct {
	// MaxCapsule is how much data may travel in a command's capsule.
	MaxCapsule int

	options       sessionOptions
	inputFraming  nvme.Framing
	outputFraming nvme.Framing // of the output
	ready         bool
	slots         []slot
	free          []uint16 // indices of slots
}

// sessionOptions are a session's bounds and its connection.
type sessionOptions struct {
	depth   int // commands in flight at a time
	maxData int // bytes of one data PDU that the controller sends
	digests bool
	buffers *eventloop.Buffers
	output  *[]byte
	flush   func() // sends the output
	onReady func() // ICResp has come
}

// newSession makes a session and sends its ICReq.
func newSession(o sessionOptions) *Session {
	s := &Session{options: o, slots: make([]slot, o.depth), free: make([]uint16, 0, o.depth)}
	s.inputFraming.MaxData = o.maxData
	for i := o.depth - 1; i >= 0; i-- {
		s.free = append(s.free, uint16(i))
	}
	request := nvme.Init{HeaderDigest: o.digests, DataDigest: o.digests}
	*o.output = nvme.AppendInit(*o.output, nvme.TypeICReq, request)
	o.flush()
	return s
}

// Free is how many commands may be submitted now.
func (s *Session) Free() int { return len(s.free) }

// Submit sends a command with the data of a Write, or expecting read bytes. Data is copied. It returns the command
// id.
func (s *Session) Submit(c nvme.Command, data []byte, readBytes int, callback Callback) (cid uint16, ok bool) {
	if !s.ready || len(s.free) == 0 {
		return 0, false
	}
	v := s.takeSlot(callback, readBytes, len(data) > 0)
	c.SetCID(v.commandID())
	inCapsule := data
	switch {
	case len(data) > s.MaxCapsule:
		c.SetSGL(nvme.SGLTransport, len(data))
		v.data = s.options.buffers.Get(len(data))
		copy(v.data, data)
		s.options.buffers.Copied(len(data))
		inCapsule = nil
	case len(data) > 0:
		c.SetSGL(nvme.SGLInCapsule, len(data))
	default:
		c.SetSGL(nvme.SGLTransport, readBytes)
	}
	*s.options.output = s.outputFraming.AppendCommand(*s.options.output, &c, inCapsule)
	s.options.buffers.Copied(len(inCapsule))
	cid = v.commandID()
	s.options.flush()
	return cid, true
}

// Abandon discards a command's answer; its id stays in use until the answer has come.
func (s *Session) Abandon(cid uint16) {
	if v := s.findSlot(cid); v != nil {
		v.callback = nil
	}
}

func protocolError(status uint16, p *nvme.PDU, format string, a ...any) error {
	header := append([]byte(nil), p.Header...)
	return &nvme.FatalError{Status: status, Text: fmt.Sprintf(format, a...), Header: header}
}

// Input handles bytes and returns how many it used; after an error the connection must be closed.
func (s *Session) Input(b []byte) (used int, err error) {
	for {
		p, n, err := s.inputFraming.Decode(b[used:])
		if err == nil && n > 0 {
			used += n
			err = s.handlePDU(&p)
		}
		if err != nil {
			var fatal *nvme.FatalError
			if errors.As(err, &fatal) {
				*s.options.output = nvme.AppendTerm(*s.options.output, nvme.TypeH2CTermReq, fatal)
			}
			return len(b), err
		}
		if n == 0 {
			return used, nil
		}
	}
}

func (s *Session) handlePDU(p *nvme.PDU) error {
	if p.Type == nvme.TypeC2HTermReq {
		status, info := p.Term()
		return fmt.Errorf("initiator: the controller ended the connection, FES %d, FEI %d", status, info)
	}
	if !s.ready {
		return s.handleICResp(p)
	}
	switch p.Type {
	case nvme.TypeCapsuleResp:
		return s.handleCompletion(p)
	case nvme.TypeC2HData:
		return s.handleData(p)
	case nvme.TypeR2T:
		return s.handleR2T(p)
	}
	return protocolError(nvme.FatalSequence, p, "a PDU that does not belong here")
}

// Bounds of an ICResp (TCP 3.6.2.3).
const (
	maxAlign   = 31
	minMaxData = 4096 // MAXH2CDATA
)

func (s *Session) handleICResp(p *nvme.PDU) error {
	if p.Type != nvme.TypeICResp {
		return protocolError(nvme.FatalSequence, p, "a PDU before ICResp")
	}
	i := p.Init()
	if i.Version != 0 || i.Align > maxAlign || i.Limit < minMaxData {
		return protocolError(nvme.FatalUnsupportedParameter, p,
			"ICResp with PFV %d, CPDA %d, MAXH2CDATA %d", i.Version, i.Align, i.Limit)
	}
	s.inputFraming.HeaderDigest, s.inputFraming.DataDigest = i.HeaderDigest, i.DataDigest
	s.outputFraming = nvme.Framing{
		HeaderDigest: i.HeaderDigest,
		DataDigest:   i.DataDigest,
		Align:        i.Align,
		MaxData:      int(i.Limit),
		FromHost:     true,
	}
	s.ready = true
	s.options.onReady()
	return nil
}

// handleCompletion ends a command. A success before all data was transferred can't be one.
func (s *Session) handleCompletion(p *nvme.PDU) error {
	c := p.Completion()
	v := s.findSlot(c.CID())
	if v == nil {
		return protocolError(nvme.FatalSequence, p, "an answer to command id %d, which is not in flight", c.CID())
	}
	succeeded := c.Status().Code() == nvme.Success
	if succeeded && v.received != v.readBytes {
		return protocolError(nvme.FatalSequence, p, "success after %d of %d bytes", v.received, v.readBytes)
	}
	if succeeded && v.write && v.requested != len(v.data) {
		return protocolError(nvme.FatalSequence, p, "success of a write after %d of %d bytes", v.requested, len(v.data))
	}
	s.complete(v, c)
	return nil
}

// complete ends a command with its completion; damaged data turns a success into a transport error.
func (s *Session) complete(v *slot, c nvme.Completion) {
	if v.dataDigestError && c.Status() == nvme.Success {
		c = nvme.NewCompletion(c.CID(), nvme.TransientTransport, 0, 0)
	}
	r := Result{Completion: c}
	if !v.write && c.Status() == nvme.Success {
		r.Data = v.data
	}
	s.endSlot(v, r)
}

// endInFlight ends every command that is in flight.
func (s *Session) endInFlight() {
	s.ready = false
	for i := range s.slots {
		if s.slots[i].busy {
			s.endSlot(&s.slots[i], Result{ConnectionLost: true})
		}
	}
}
