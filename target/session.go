package target

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// phase is the stage that a connection has reached.
type phase int

const (
	phaseInit    phase = iota // waiting for ICReq
	phaseConnect              // waiting for Connect
	phaseLive
	phaseEnded
)

// maxAsyncEvents is the number of Asynchronous Event Requests that may be open on a controller: AERL, which is 0's
// based, plus 1. The controller reports no events, so they stay open.
const maxAsyncEvents = 4

// Session is the state machine of one connection. Its methods are called on the event loop.
type Session struct {
	settings     *Settings
	associations *associations
	handler      Handler
	buffers      *eventloop.Buffers
	connection   connection
	output       *[]byte // of the connection

	phase         phase
	violated      bool // the connection is closed because the client violated the protocol
	inputFraming  nvme.Framing
	outputFraming nvme.Framing
	connectedAt   time.Duration
	lastInput     time.Duration

	queueID        uint16
	queueSize      int
	queueHead      uint16
	flowControlOff bool // a Read may end with the SUCCESS flag, without a completion
	controller     *controller
	commands       map[uint16]*Command // by command id; also those whose data is discarded
	transfers      map[uint16]*Command // by transfer tag
	lastTag        uint16
	asyncEvents    int
}

// response is the answer to a command.
type response struct {
	status   nvme.Status
	dw0, dw1 uint32
	data     []byte
}

// rejected returns the response for an error after which the host must not retry the command.
func rejected(status nvme.Status) response { return response{status: status | nvme.DoNotRetry} }

// Input handles the complete PDUs in b and returns the number of bytes used. The caller passes the rest again, with the
// bytes that follow. If the connection ends, all of b counts as used.
func (s *Session) Input(now time.Duration, b []byte) (used int) {
	for s.phase != phaseEnded {
		p, n, err := s.inputFraming.Decode(b[used:])
		if err == nil && n > 0 {
			used += n
			s.lastInput = now
			err = s.handlePDU(now, &p)
		}
		if err != nil {
			s.terminate(err)
			break
		}
		if n == 0 {
			return used
		}
	}
	return len(b)
}

// terminate ends the connection with a TermReq because the host violated the protocol.
func (s *Session) terminate(err error) {
	if s.phase == phaseEnded {
		return
	}
	s.violated = true
	var fatal *nvme.FatalError // the decoder and the session return no other error
	if errors.As(err, &fatal) {
		*s.output = nvme.AppendTerm(*s.output, nvme.TypeC2HTermReq, fatal)
	}
	s.connection.end()
}

// fatalError returns the error for a violation of the protocol. info is the offset of the invalid field, or 0 if the
// status has no field.
func fatalError(status uint16, info uint32, p *nvme.PDU, text string) error {
	return &nvme.FatalError{Status: status, Info: info, Text: text, Header: append([]byte(nil), p.Header...)}
}

func sequenceError(p *nvme.PDU, text string) error { return fatalError(nvme.FatalSequence, 0, p, text) }

func (s *Session) handlePDU(now time.Duration, p *nvme.PDU) error {
	if p.Type == nvme.TypeH2CTermReq {
		s.connection.end()
		return nil
	}
	switch s.phase {
	case phaseInit:
		if p.Type != nvme.TypeICReq {
			return sequenceError(p, "the first PDU is not ICReq")
		}
		return s.handleICReq(p)
	case phaseConnect, phaseLive:
		switch p.Type {
		case nvme.TypeCapsuleCmd:
			return s.handleCommand(now, p)
		case nvme.TypeH2CData:
			return s.handleData(p)
		}
	}
	return sequenceError(p, "PDU type is not expected in this state")
}

// Offsets of the fields of an ICReq, reported as FEI, and the largest alignment that a host may request (TCP 3.6.2.2).
const (
	versionField = 8
	alignField   = 10
	maxAlign     = 31
)

func (s *Session) handleICReq(p *nvme.PDU) error {
	i := p.Init()
	if i.Version != 0 {
		return fatalError(nvme.FatalUnsupportedParameter, versionField, p, "PFV is not 0")
	}
	if i.Align > maxAlign {
		return fatalError(nvme.FatalHeaderField, alignField, p, "HPDA is over 31")
	}
	s.inputFraming = nvme.Framing{
		HeaderDigest: i.HeaderDigest,
		DataDigest:   i.DataDigest,
		MaxData:      max(s.settings.MaxDataPDU, s.settings.MaxCapsule, nvme.ConnectLen),
		FromHost:     true,
	}
	s.outputFraming = nvme.Framing{
		HeaderDigest: i.HeaderDigest,
		DataDigest:   i.DataDigest,
		Align:        i.Align,
		MaxData:      s.settings.MaxDataPDU,
	}
	*s.output = nvme.AppendInit(*s.output, nvme.TypeICResp, nvme.Init{
		HeaderDigest: i.HeaderDigest,
		DataDigest:   i.DataDigest,
		Limit:        uint32(s.settings.MaxDataPDU),
	})
	s.phase = phaseConnect
	return nil
}

func (s *Session) handleCommand(now time.Duration, p *nvme.PDU) error {
	c := p.Command()
	if s.queueSize > 0 {
		s.queueHead = uint16((int(s.queueHead) + 1) % s.queueSize)
	}
	if p.DataDigestError {
		s.respond(c.CID(), response{status: nvme.TransientTransport})
		return nil
	}
	if s.phase == phaseConnect {
		s.respond(c.CID(), s.connect(&c, p.Data))
		return nil
	}
	if s.commands[c.CID()] != nil {
		s.respond(c.CID(), response{status: nvme.IDConflict})
		return nil
	}
	if len(s.commands)+s.asyncEvents >= s.queueSize {
		return sequenceError(p, "more commands in flight than the queue has entries")
	}
	if s.queueID == 0 {
		s.handleAdmin(&c, p.Data)
	} else {
		s.handleIO(now, &c, p.Data)
	}
	return nil
}

// respond appends the data of a response, if there is any, and the completion to the output.
func (s *Session) respond(cid uint16, r response) {
	if s.phase == phaseEnded {
		return
	}
	if s.controller == nil || !s.controller.honoursRetryDelays {
		r.status = r.status.WithRetryDelay(0)
	}
	s.buffers.Copied(len(r.data))
	// With flow control disabled, the SUCCESS flag of the last data PDU replaces a completion without results.
	withoutCompletion := s.flowControlOff && r.dw0 == 0 && r.dw1 == 0 && r.status == nvme.Success && len(r.data) > 0
	lastFlags := uint8(nvme.FlagLast)
	if withoutCompletion {
		lastFlags |= nvme.FlagSuccess
	}
	s.appendData(cid, r.data, lastFlags)
	if !withoutCompletion {
		completion := nvme.NewCompletion(cid, r.status, r.dw0, r.dw1)
		completion.SetHead(s.queueHead)
		completion.SetQueue(s.queueID)
		*s.output = s.outputFraming.AppendCompletion(*s.output, &completion)
	}
}

// appendData appends data to the output, in PDUs of at most MaxDataPDU bytes. The last PDU has lastFlags.
func (s *Session) appendData(cid uint16, data []byte, lastFlags uint8) {
	for from := 0; from < len(data); from += s.settings.MaxDataPDU {
		part := data[from:min(from+s.settings.MaxDataPDU, len(data))]
		flags := uint8(0)
		if from+len(part) == len(data) {
			flags = lastFlags
		}
		header := nvme.DataHeader{Type: nvme.TypeC2HData, Flags: flags, CID: cid, Offset: from}
		*s.output = s.outputFraming.AppendData(*s.output, header, part)
	}
}

// Deadline returns the time by which the handshake must be complete or, after it, the time by which the admin queue
// must have received input. 0 means that there is no deadline.
func (s *Session) Deadline() time.Duration {
	switch {
	case s.phase < phaseLive:
		return s.connectedAt + s.settings.HandshakeTimeout
	case s.queueID == 0 && s.controller.keepAlive > 0:
		return s.lastInput + s.controller.keepAlive
	}
	return 0
}
