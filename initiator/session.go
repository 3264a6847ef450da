// Package initiator implements the host side of NVMe over TCP. Session is the state machine of one queue and does no
// I/O. Association connects an admin queue and one I/O queue to a controller on an event loop; the whole package runs
// on the goroutine of that loop. It must not retry a command, choose between commands, or time a command out: every
// command ends once, when it is answered or when its connection ends. The gateway uses the package for its connections
// to disk servers, the load generator and the benchmarks use it as clients.
package initiator

import (
	"errors"
	"fmt"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Result is the result of a command.
type Result struct {
	nvme.Completion
	// Data is the data of a Read. It is valid only during the callback.
	Data []byte
	// ConnectionLost is true if the connection ended before the command was answered. The controller may have executed
	// the command, if it was sent.
	ConnectionLost bool
}

// Callback receives the result of a command. Done is called once, on the event loop.
type Callback interface{ Done(Result) }

// CallbackFunc adapts a function to a Callback.
type CallbackFunc func(Result)

// Done calls f.
func (f CallbackFunc) Done(r Result) { f(r) }

// Session is the state machine of one queue. Commands may be submitted once the connection is ready. The zero value
// accepts no commands.
type Session struct {
	// MaxCapsule is the largest number of data bytes in a command capsule.
	MaxCapsule int

	options       sessionOptions
	inputFraming  nvme.Framing
	outputFraming nvme.Framing
	ready         bool
	terminated    bool // the session has ended the connection with a TermReq
	slots         []slot
	free          []uint16 // indices of free slots
	appendedBytes uint64   // total bytes appended to the output, without the withdrawn ones
}

// sessionOptions holds a session's limits, and the functions and buffers of its connection.
type sessionOptions struct {
	depth     int  // largest number of commands in flight
	maxData   int  // bytes of data in one PDU from the controller
	digests   bool // request header and data digests
	buffers   *eventloop.Buffers
	output    *[]byte
	transport transport // of the output
	flush     func()    // sends the output
	onReady   func()    // called when ICResp has been received
	// requestAbort is called when the controller waits, or may wait, for the data of an abandoned Write, which is not
	// sent any more.
	requestAbort func(cid uint16)
	// requireAck is called when bytes of an abandoned command are on their way to the controller.
	requireAck func(cid uint16)
}

// transport tells how much of the output has left. It is implemented by eventloop.Conn.
type transport interface {
	// UnsentBytes returns the number of bytes that the kernel has not accepted.
	UnsentBytes() int
	// UnackedBytes returns the number of bytes that the kernel of the controller has not acknowledged, including the
	// unsent ones.
	UnackedBytes() int
	// DiscardUnsent removes the unsent bytes from index from to before index to.
	DiscardUnsent(from, to int)
}

// newSession creates a session and sends its ICReq.
func newSession(o sessionOptions) *Session {
	s := &Session{options: o, slots: make([]slot, o.depth), free: make([]uint16, 0, o.depth)}
	s.inputFraming.MaxData = o.maxData
	for i := o.depth - 1; i >= 0; i-- {
		s.free = append(s.free, uint16(i))
	}
	before := len(*o.output)
	request := nvme.Init{HeaderDigest: o.digests, DataDigest: o.digests}
	*o.output = nvme.AppendInit(*o.output, nvme.TypeICReq, request)
	s.countAppended(before)
	o.flush()
	return s
}

// countAppended counts the bytes that were appended to the output since it had a length of before.
func (s *Session) countAppended(before int) {
	s.appendedBytes += uint64(len(*s.options.output) - before)
}

// Free returns the number of commands that may be submitted without waiting for an answer.
func (s *Session) Free() int { return len(s.free) }

// Submit sends a command with the data of a Write, or one that reads readBytes bytes. It copies data. It returns the
// command id. ok is false, and nothing is sent, if the session is not ready or too many commands are in flight.
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
		v.writeBytes = len(data)
		v.data = s.options.buffers.Get(len(data))
		copy(v.data, data)
		s.options.buffers.Copied(len(data))
		inCapsule = nil
	case len(data) > 0:
		c.SetSGL(nvme.SGLInCapsule, len(data))
	default:
		c.SetSGL(nvme.SGLTransport, readBytes)
	}
	before := len(*s.options.output)
	v.firstByte = s.appendedBytes
	*s.options.output = s.outputFraming.AppendCommand(*s.options.output, &c, inCapsule)
	s.countAppended(before)
	v.endByte = s.appendedBytes
	s.options.buffers.Copied(len(inCapsule))
	cid = v.commandID()
	s.options.flush()
	return cid, true
}

func protocolError(status uint16, p *nvme.PDU, format string, a ...any) error {
	header := append([]byte(nil), p.Header...)
	return &nvme.FatalError{Status: status, Text: fmt.Sprintf(format, a...), Header: header}
}

// Input handles the complete PDUs in b and returns the number of bytes used. The caller passes the rest again, with the
// bytes that follow. After an error the caller must close the connection.
func (s *Session) Input(b []byte) (used int, err error) {
	for {
		p, n, err := s.inputFraming.Decode(b[used:])
		if err == nil && n > 0 {
			used += n
			err = s.handlePDU(&p)
		}
		if err != nil {
			var fatal *nvme.FatalError
			if errors.As(err, &fatal) && s.options.transport.UnackedBytes() == 0 { // otherwise the connection is reset
				*s.options.output = nvme.AppendTerm(*s.options.output, nvme.TypeH2CTermReq, fatal)
				s.terminated = true
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
		return fmt.Errorf("initiator: controller terminated the connection: FES %d, FEI %d", status, info)
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
	return protocolError(nvme.FatalSequence, p, "PDU type is not expected in this state")
}

// Limits of the fields of an ICResp (TCP 3.6.2.3).
const (
	maxAlign   = 31
	minMaxData = 4096 // MAXH2CDATA
)

func (s *Session) handleICResp(p *nvme.PDU) error {
	if p.Type != nvme.TypeICResp {
		return protocolError(nvme.FatalSequence, p, "the first PDU is not ICResp")
	}
	i := p.Init()
	if i.Version != 0 || i.Align > maxAlign || i.Limit < minMaxData {
		return protocolError(nvme.FatalUnsupportedParameter, p,
			"invalid ICResp: PFV %d, CPDA %d, MAXH2CDATA %d", i.Version, i.Align, i.Limit)
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

// handleCompletion ends a command. Success before all data has been transferred is a protocol error.
func (s *Session) handleCompletion(p *nvme.PDU) error {
	c := p.Completion()
	v := s.findSlot(c.CID())
	if v == nil {
		return protocolError(nvme.FatalSequence, p, "completion of command id %d, which is not in flight", c.CID())
	}
	succeeded := c.Status().Code() == nvme.Success
	if succeeded && v.received != v.readBytes {
		return protocolError(nvme.FatalSequence, p, "success of a Read after %d of %d bytes", v.received, v.readBytes)
	}
	if succeeded && v.requested != v.writeBytes {
		return protocolError(nvme.FatalSequence, p,
			"success of a Write after %d of %d bytes", v.requested, v.writeBytes)
	}
	s.complete(v, c)
	return nil
}

// complete ends a command with its completion. If the data digest did not match, success becomes a transient transport
// error.
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

// endInFlight ends every command in flight with a result whose ConnectionLost is true.
func (s *Session) endInFlight() {
	s.ready = false
	for i := range s.slots {
		if s.slots[i].busy {
			s.endSlot(&s.slots[i], Result{ConnectionLost: true})
		}
	}
}
