// Package target is the controller's side of NVMe over TCP: what clients connect to. Session is one
// connection's state machine, in memory: bytes in, bytes and commands out. Server drives sessions on a loop.
// It answers what the protocol alone decides, and hands every Read and Write to its Handler; whether,
// when and where those run is not decided here.
package target

import (
	"slices"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Namespace is a volume as a controller shows it.
type Namespace struct {
	ID     uint32
	Blocks uint64
	Shift  uint8 // log2 of the block size in bytes
	UUID   [16]byte
}

// Settings is what the controllers of a subsystem offer, and what one client may cost. All of it is given.
type Settings struct {
	Subsystem        string
	Serial           string
	Namespaces       []Namespace // by id
	RetryDelays      [3]uint16   // CRDT1 to CRDT3, in 100 ms
	MaxTransfer      int         // bytes of one Read or Write, a power of two of 4 KiB
	MaxCapsule       int         // bytes of data in a command capsule
	MaxDataPDU       int         // bytes of one data PDU, either way
	QueueDepth       int         // entries of a queue
	MaxQueues        int         // I/O queues of a controller
	HandshakeTimeout time.Duration
	MaxConnections   int
	MaxUnsent        int // bytes that a client may leave unread before its connection ends
	MaxBuffered      int // bytes of write data under way in all, past which R2Ts wait
}

// Handler acts on what a client wants. It is called on the loop.
type Handler interface {
	// Admit hands over a Read or Write with its data. The handler owns c.Data and answers once by c.Complete.
	Admit(c *Command)
	// ClientGone tells that the client of a taken command has gone or has aborted it; it is owed nothing more.
	ClientGone(c *Command)
	// Log returns a log page of the vendor's own, or false.
	Log(id uint8) ([]byte, bool)
}

// Command is a client's Read or Write.
type Command struct {
	nvme.Command
	Data    []byte        // of a Write
	Bytes   int           // length of the transfer
	Arrived time.Duration // when the command came; its data may have come later
	Host    string        // NQN of the client's host
	User    any           // the handler's own

	session *Session
	state   commandState
	ttag    uint16
	got     int
	asked   bool // its R2T is out and counts for its peer
	counted bool // it counts for its peer
}

// Truncate answers a Read by half of its PDU and a broken connection: a fault of a stand-in.
func (c *Command) Truncate(data []byte) {
	if c.state == taken {
		c.session.answer(c.CID(), nvme.Success, 0, 0, data)
		c.session.tear()
	}
}

type commandState int

const (
	receiving commandState = iota // an R2T is out, or waits for room
	taken                         // with the handler
	dropped                       // answered while its data still comes
	over
)

// Complete answers a taken command, with data for a Read. Data is copied. On a lapsed command it does nothing.
func (c *Command) Complete(status nvme.Status, dw0, dw1 uint32, data []byte) {
	if c.state == taken {
		c.state = over
		delete(c.session.commands, c.CID())
		c.session.ended(c)
		c.session.answer(c.CID(), status, dw0, dw1, data)
		c.session.flush()
	}
}

type phase int

const (
	phaseInit    phase = iota // ICReq is awaited
	phaseConnect              // Connect is awaited
	phaseLive
	phaseEnded
)

// Session is one connection's state machine.
type Session struct {
	offer   *Settings
	subs    *associations
	handler Handler
	buffers *eventloop.Buffers
	out     *[]byte
	flush   func()
	end     func()         // the connection is to be ended
	tear    func()         // see Command.Tear
	await   func(*Command) // data is awaited: Expire is to be called when that has lasted too long

	ask      func(n int) bool // may the peer be asked for so much data now
	gotten   func(n int)      // it has come, or will not
	begin    func() bool      // may the peer have one command more
	done     func()           // one of them is over
	breached bool             // the connection ends for a breach

	phase    phase
	in, outF nvme.Framing
	born     time.Duration
	heard    time.Duration
	qid      uint16
	size     int
	head     uint16
	noFlow   bool // SQ flow control is off: reads may end by the SUCCESS flag
	control  *controller
	commands map[uint16]*Command // by command id; also those dropped
	tags     map[uint16]*Command // by transfer tag
	nextTag  uint16
	events   int // asynchronous event requests held
}

// controller is an association: one admin queue with its I/O queues.
type controller struct {
	id        uint16
	host      string
	hostID    [16]byte
	discovery bool
	keepAlive time.Duration
	config    uint32 // CC
	delays    bool   // the host honours retry delays (ACRE of Host Behavior Support, Base 5.27.1.18)
	queues    map[uint16]*Session
}

// associations are the controllers of one server, and what waits for room.
type associations struct {
	last            uint16
	byID            map[uint16]*controller
	waiting         []*Command // Writes whose R2T waits
	granting, again bool
	address         string
}

// DiscoveryNQN is the well-known name of discovery (Base 4.7).
const DiscoveryNQN = "nqn.2014-08.org.nvmexpress.discovery"

// Input takes in bytes and returns how many it used.
func (s *Session) Input(now time.Duration, b []byte) (used int) {
	for s.phase != phaseEnded {
		p, n, err := s.in.Decode(b[used:])
		if err == nil && n > 0 {
			used += n
			s.heard = now
			err = s.pdu(now, &p)
		}
		if err != nil {
			s.fail(err.(*nvme.FatalError))
			break
		}
		if n == 0 {
			return used
		}
	}
	return len(b)
}

func (s *Session) fail(e *nvme.FatalError) {
	if s.phase != phaseEnded {
		s.breached = true
		*s.out = nvme.AppendTerm(*s.out, nvme.TypeC2HTermReq, e)
		s.end()
	}
}

func sequence(p *nvme.PDU, text string) error {
	return &nvme.FatalError{Status: nvme.FatalSequence, Text: text, Header: append([]byte(nil), p.Header...)}
}

func (s *Session) pdu(now time.Duration, p *nvme.PDU) error {
	if p.Type == nvme.TypeH2CTermReq {
		s.end()
		return nil
	}
	switch s.phase {
	case phaseInit:
		if p.Type != nvme.TypeICReq {
			return sequence(p, "a PDU before ICReq")
		}
		return s.initialize(p)
	case phaseConnect, phaseLive:
		switch p.Type {
		case nvme.TypeCapsuleCmd:
			return s.command(now, p)
		case nvme.TypeH2CData:
			return s.data(p)
		}
	}
	return sequence(p, "a PDU that does not belong here")
}

func (s *Session) initialize(p *nvme.PDU) error {
	i := p.Init()
	if i.Version != 0 {
		return &nvme.FatalError{Status: nvme.FatalUnsupportedParameter, Info: 8, Text: "PFV is not 0", Header: append([]byte(nil), p.Header...)}
	}
	if i.Align > 31 {
		return &nvme.FatalError{Status: nvme.FatalHeaderField, Info: 10, Text: "HPDA is over 31", Header: append([]byte(nil), p.Header...)}
	}
	s.in = nvme.Framing{HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest, MaxData: max(s.offer.MaxDataPDU, s.offer.MaxCapsule, nvme.ConnectLen), FromHost: true}
	s.outF = nvme.Framing{HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest, Align: i.Align, MaxData: s.offer.MaxDataPDU}
	*s.out = nvme.AppendInit(*s.out, nvme.TypeICResp, nvme.Init{HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest, Limit: uint32(s.offer.MaxDataPDU)})
	s.phase = phaseConnect
	return nil
}

func (s *Session) command(now time.Duration, p *nvme.PDU) error {
	c := p.Command()
	if s.size > 0 {
		s.head = uint16((int(s.head) + 1) % s.size)
	}
	if p.BadData {
		s.answer(c.CID(), nvme.TransientTransport, 0, 0, nil)
		return nil
	}
	if s.phase == phaseConnect {
		if c.Opcode() != nvme.Fabrics || c.FabricsType() != nvme.FabricsConnect {
			s.answer(c.CID(), nvme.SequenceError|nvme.DoNotRetry, 0, 0, nil)
			return nil
		}
		status, dw0 := s.connect(now, &c, p.Data)
		s.answer(c.CID(), status, dw0, 0, nil)
		return nil
	}
	if s.commands[c.CID()] != nil {
		s.answer(c.CID(), nvme.IDConflict, 0, 0, nil)
		return nil
	}
	if len(s.commands)+s.events >= s.size {
		return sequence(p, "more commands than the queue has entries")
	}
	if s.qid == 0 {
		s.admin(&c, p.Data)
		return nil
	}
	s.io(now, &c, p.Data)
	return nil
}

// answer appends data, where there is some, and the completion.
func (s *Session) answer(cid uint16, status nvme.Status, dw0, dw1 uint32, data []byte) {
	if s.phase == phaseEnded {
		return
	}
	if s.control == nil || !s.control.delays {
		status = status.WithDelay(0)
	}
	s.buffers.Copied(len(data))
	short := s.noFlow && dw0 == 0 && dw1 == 0 && status == nvme.Success && len(data) > 0
	for at := 0; at < len(data); at += s.offer.MaxDataPDU {
		piece := data[at:min(at+s.offer.MaxDataPDU, len(data))]
		flags := uint8(0)
		if at+len(piece) == len(data) {
			flags = nvme.FlagLast
			if short {
				flags |= nvme.FlagSuccess
			}
		}
		*s.out = s.outF.AppendData(*s.out, nvme.TypeC2HData, flags, cid, 0, at, piece)
	}
	if !short {
		done := nvme.NewCompletion(cid, status, dw0, dw1)
		done.SetHead(s.head)
		done.SetQueue(s.qid)
		*s.out = s.outF.AppendCompletion(*s.out, &done)
	}
}

func (s *Session) connect(now time.Duration, c *nvme.Command, data []byte) (nvme.Status, uint32) {
	kind, _, length := c.SGL()
	if len(data) != nvme.ConnectLen || length != nvme.ConnectLen || kind != nvme.SGLInCapsule {
		return nvme.InvalidSGLLength | nvme.DoNotRetry, 0
	}
	if c.DW(10)&0xFFFF != 0 { // RECFMT
		return nvme.ConnectFormat | nvme.DoNotRetry, 0
	}
	qid, size := uint16(c.DW(10)>>16), int(c.DW(11)&0xFFFF)+1
	if size < 2 || size > s.offer.QueueDepth {
		return nvme.ConnectInvalid | nvme.DoNotRetry, 44 // IPO: offset of SQSIZE in the command
	}
	hostID, cntlid, subsystem, host := nvme.ConnectData(data)
	discovery := subsystem == DiscoveryNQN
	if host == "" || subsystem != s.offer.Subsystem && !discovery {
		return nvme.ConnectInvalid | nvme.DoNotRetry, 1<<16 | 256 // IATTR: in the data; IPO: SUBNQN
	}
	if qid == 0 {
		if cntlid != nvme.DynamicController {
			return nvme.ConnectInvalid | nvme.DoNotRetry, 1<<16 | 16
		}
		for s.subs.last++; s.subs.byID[s.subs.last] != nil || s.subs.last == 0 || s.subs.last >= 0xFFF0; {
			s.subs.last++
		}
		s.control = &controller{id: s.subs.last, host: host, hostID: hostID, discovery: discovery,
			keepAlive: time.Duration(c.DW(12)) * time.Millisecond, queues: map[uint16]*Session{}}
		s.subs.byID[s.control.id] = s.control
	} else {
		k := s.subs.byID[cntlid]
		if k == nil || k.host != host || k.hostID != hostID || k.discovery != discovery {
			return nvme.ConnectInvalid | nvme.DoNotRetry, 1<<16 | 16
		}
		if k.config&1 == 0 || k.discovery || int(qid) > s.offer.MaxQueues || k.queues[qid] != nil {
			return nvme.ConnectInvalid | nvme.DoNotRetry, 42 // IPO: QID
		}
		s.control = k
	}
	s.qid, s.size, s.noFlow = qid, size, c.DW(11)>>16&4 != 0
	s.control.queues[qid] = s
	s.phase = phaseLive
	return nvme.Success, uint32(s.control.id)
}

// ---- I/O queues ----

func (s *Session) namespace(id uint32) *Namespace {
	i, ok := slices.BinarySearchFunc(s.offer.Namespaces, id, func(n Namespace, id uint32) int { return int(int64(n.ID) - int64(id)) })
	if !ok {
		return nil
	}
	return &s.offer.Namespaces[i]
}

// check tells why a Read, Write or Flush can't be, and how many bytes it moves.
func (s *Session) check(c *nvme.Command, data []byte) (status nvme.Status, size int) {
	switch c.Opcode() {
	case nvme.Read, nvme.Write, nvme.Flush:
	case nvme.Fabrics:
		if c.FabricsType() == nvme.FabricsConnect { // the queue has been made (Base 3.3.2.2)
			return nvme.SequenceError | nvme.DoNotRetry, 0
		}
		fallthrough
	default:
		return nvme.InvalidOpcode | nvme.DoNotRetry, 0
	}
	n := s.namespace(c.NSID())
	if n == nil && !(c.Opcode() == nvme.Flush && c.NSID() == 0xFFFFFFFF) {
		return nvme.InvalidNamespace | nvme.DoNotRetry, 0
	}
	if c.Opcode() == nvme.Flush {
		return nvme.Success, 0
	}
	size = c.Blocks() << n.Shift
	if c.SLBA() >= n.Blocks || n.Blocks-c.SLBA() < uint64(c.Blocks()) {
		return nvme.LBAOutOfRange | nvme.DoNotRetry, 0
	}
	if size > s.offer.MaxTransfer {
		return nvme.InvalidField | nvme.DoNotRetry, 0
	}
	kind, offset, length := c.SGL()
	switch {
	case int64(length) != int64(size):
		return nvme.InvalidSGLLength | nvme.DoNotRetry, 0
	case kind == nvme.SGLTransport && len(data) == 0:
	case kind == nvme.SGLInCapsule && c.Opcode() == nvme.Write:
		if offset != 0 || len(data) != size {
			return nvme.InvalidSGLOffset | nvme.DoNotRetry, 0
		}
	default:
		return nvme.InvalidSGLType | nvme.DoNotRetry, 0
	}
	return nvme.Success, size
}

func (s *Session) io(now time.Duration, sqe *nvme.Command, data []byte) {
	status, size := s.check(sqe, data)
	if status != nvme.Success || sqe.Opcode() == nvme.Flush {
		// Flush: no volatile write cache is reported (VWC 0), so there is nothing to do (Base 7.1).
		s.answer(sqe.CID(), status, 0, 0, nil)
		return
	}
	if !s.begin() { // more commands out than one peer may have: the host may come again
		s.answer(sqe.CID(), nvme.CommandInterrupted, 0, 0, nil)
		return
	}
	c := &Command{Command: *sqe, Bytes: size, Arrived: now, Host: s.control.host, session: s, counted: true}
	s.commands[c.CID()] = c
	if c.Opcode() == nvme.Write && len(data) == 0 {
		s.await(c)
		s.subs.waiting = append(s.subs.waiting, c)
		s.subs.grant(s.offer, s.buffers)
		return
	}
	if len(data) > 0 {
		c.Data = s.buffers.Get(size)
		copy(c.Data, data)
		s.buffers.Copied(size)
	}
	c.state = taken
	s.handler.Admit(c)
}

// grant sends R2Ts while there is room for the data, past those whose peer has its part already. One always
// fits, so nobody waits for ever.
func (a *associations) grant(o *Settings, buffers *eventloop.Buffers) {
	if a.again = a.granting; a.granting { // sending an R2T ended a connection, which gave room
		return
	}
	a.granting = true
	for again := true; again; again = a.again {
		a.again = false
		a.round(o, buffers)
	}
	a.granting = false
}

// round goes once through what waits.
func (a *associations) round(o *Settings, buffers *eventloop.Buffers) {
	waiting := a.waiting
	a.waiting = nil
	for i, c := range waiting {
		s := c.session
		switch {
		case c.state != receiving || s.phase == phaseEnded:
			continue
		case buffers.InUse > 0 && buffers.InUse+c.Bytes > o.MaxBuffered:
			a.waiting = append(a.waiting, waiting[i:]...)
			return
		case !s.ask(c.Bytes):
			a.waiting = append(a.waiting, c)
			continue
		}
		for s.nextTag++; s.tags[s.nextTag] != nil; {
			s.nextTag++
		}
		c.ttag, c.Data, c.asked = s.nextTag, buffers.Get(c.Bytes), true
		s.tags[c.ttag] = c
		*s.out = s.outF.AppendR2T(*s.out, c.CID(), c.ttag, 0, c.Bytes)
		s.flush()
	}
}

// ended tells once that a command no longer counts.
func (s *Session) ended(c *Command) {
	if c.counted {
		c.counted = false
		s.done()
	}
}

// came ends what was asked of the peer for a command.
func (s *Session) came(c *Command) {
	if c.asked {
		c.asked = false
		s.gotten(c.Bytes)
	}
}

func (s *Session) data(p *nvme.PDU) error {
	c := s.tags[p.TTAG()]
	if c == nil || c.CID() != p.CCCID() {
		return sequence(p, "H2CData without an R2T")
	}
	from, n := int64(p.Offset()), len(p.Data)
	if from != int64(c.got) || from+int64(n) > int64(c.Bytes) || n == 0 {
		return &nvme.FatalError{Status: nvme.FatalDataRange, Info: 12, Text: "H2CData outside what was asked for", Header: append([]byte(nil), p.Header...)}
	}
	copy(c.Data[from:], p.Data)
	s.buffers.Copied(n)
	c.got += n
	last := c.got == c.Bytes
	if last != (p.Flags&nvme.FlagLast != 0) {
		return &nvme.FatalError{Status: nvme.FatalHeaderField, Info: 1, Text: "LAST_PDU where it does not belong", Header: append([]byte(nil), p.Header...)}
	}
	if p.BadData && c.state == receiving {
		c.state = dropped
		s.answer(c.CID(), nvme.TransientTransport, 0, 0, nil)
	}
	if !last {
		return nil
	}
	delete(s.tags, c.ttag)
	s.came(c)
	if c.state == dropped {
		s.forget(c)
		return nil
	}
	c.state = taken
	s.handler.Admit(c)
	return nil
}

// forget drops a command that is not with the handler.
func (s *Session) forget(c *Command) {
	delete(s.commands, c.CID())
	s.ended(c)
	s.came(c)
	c.state = over
	s.buffers.Put(c.Data)
	c.Data = nil
	s.subs.grant(s.offer, s.buffers)
}

// Expire gives up a Write whose data has not come by now.
func (s *Session) Expire(c *Command) {
	if c.state == receiving && s.phase != phaseEnded {
		s.giveUp(c, nvme.DataTransferError)
	}
}

// cancel answers a Write whose data is still awaited; what still comes is read and dropped.
func (s *Session) giveUp(c *Command, status nvme.Status) {
	s.answer(c.CID(), status, 0, 0, nil)
	c.state = dropped
	if s.tags[c.ttag] != c {
		s.forget(c)
	}
	s.flush()
}

// abort ends a command for its client; it tells whether there was one to end.
func (s *Session) abort(cid uint16) bool {
	c := s.commands[cid]
	switch {
	case c == nil:
		return false
	case c.state == receiving:
		s.giveUp(c, nvme.AbortRequested)
	case c.state == taken:
		c.Complete(nvme.AbortRequested, 0, 0, nil)
		s.handler.ClientGone(c)
	default:
		return false
	}
	return true
}

// Ended tells the session that its connection is gone: its commands lapse.
func (s *Session) Ended() {
	if s.phase == phaseEnded {
		return
	}
	s.phase = phaseEnded
	open := make([]*Command, 0, len(s.commands))
	for _, c := range s.commands {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *Command) int { return int(a.CID()) - int(b.CID()) })
	for _, c := range open {
		if c.state == taken {
			c.state = over
			s.ended(c)
			s.handler.ClientGone(c)
		} else {
			s.forget(c)
		}
	}
	s.commands, s.tags = nil, nil
	if k := s.control; k != nil && k.queues[s.qid] == s {
		delete(k.queues, s.qid)
		if s.qid == 0 { // the association ends with its admin queue (TCP 3.5)
			delete(s.subs.byID, k.id)
			for _, q := range k.queues {
				q.end()
			}
		}
	}
}

// Deadline is when the session must have been heard from next; 0: never.
func (s *Session) Deadline() time.Duration {
	switch {
	case s.phase < phaseLive:
		return s.born + s.offer.HandshakeTimeout
	case s.qid == 0 && s.control.keepAlive > 0:
		return s.heard + s.control.keepAlive
	}
	return 0
}
