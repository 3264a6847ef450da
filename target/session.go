package target

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// phase is how far a connection has come.
type phase int

const (
	phaseInit    phase = iota // ICReq is awaited
	phaseConnect              // Connect is awaited
	phaseLive
	phaseEnded
)

// maxAsyncEvents is AERL: how many Asynchronous Event Requests may be open on a controller. It reports no events, so
// that they stay open.
const maxAsyncEvents = 4

// Session is one connection's state machine.
type Session struct {
	settings     *Settings
	associations *associations
	handler      Handler
	buffers      *eventloop.Buffers
	connection   connection
	output       *[]byte // of the connection

	phase         phase
	violated      bool // the connection ends for a violation of the protocol
	inputFraming  nvme.Framing
	outputFraming nvme.Framing // of the output
	connectedAt   time.Duration
	lastInput     time.Duration

	queueID        uint16
	queueSize      int
	queueHead      uint16
	flowControlOff bool // reads may end by the SUCCESS flag
	controller     *controller
	commands       map[uint16]*Command // by command id; also those whose data is discarded
	transfers      map[uint16]*Command // by transfer tag
	lastTag        uint16
	asyncEvents    int
}

// response is how a command is answered.
type response struct {
	status   nvme.Status
	dw0, dw1 uint32
	data     []byte
}

// rejected is the response with an error that the host must not retry.
func rejected(status nvme.Status) response { return response{status: status | nvme.DoNotRetry} }

// Input handles bytes and returns how many it used.
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

// terminate ends the connection with a TermReq for a violation of the protocol.
func (s *Session) terminate(err error) {
	if s.phase == phaseEnded {
		return
	}
	s.violated = true
	var fatal *nvme.FatalError // the only error of the decoder and the session
	if errors.As(err, &fatal) {
		*s.output = nvme.AppendTerm(*s.output, nvme.TypeC2HTermReq, fatal)
	}
	s.connection.end()
}

// fatalError is the error for a violation; info is the offset of the field that is wrong, where it is one.
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
			return sequenceError(p, "a PDU before ICReq")
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
	return sequenceError(p, "a PDU that does not belong here")
}

// Fields of an ICReq, as FEI tells which is wrong, and the largest alignment that a host may ask for (TCP 3.6.2.2).
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
		return sequenceError(p, "more commands than the queue has entries")
	}
	if s.queueID == 0 {
		s.handleAdmin(&c, p.Data)
	} else {
		s.handleIO(now, &c, p.Data)
	}
	return nil
}

// respond appends data, where there is some, and the completion.
func (s *Session) respond(cid uint16, r response) {
	if s.phase == phaseEnded {
		return
	}
	if s.controller == nil || !s.controller.honoursRetryDelays {
		r.status = r.status.WithRetryDelay(0)
	}
	s.buffers.Copied(len(r.data))
	// With flow control off the last data PDU can stand for a completion without results.
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

// appendData appends data in as many PDUs as it needs, the last of them with lastFlags.
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

// Deadline is when the session must have had input next; 0: never.
func (s *Session) Deadline() time.Duration {
	switch {
	case s.phase < phaseLive:
		return s.connectedAt + s.settings.HandshakeTimeout
	case s.queueID == 0 && s.controller.keepAlive > 0:
		return s.lastInput + s.controller.keepAlive
	}
	return 0
}
