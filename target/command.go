package target

import (
	"cmp"
	"slices"
	"time"

	"honeyplank/nvme"
)

// Command is a client's Read or Write.
type Command struct {
	nvme.Command
	Data    []byte        // of a Write
	Bytes   int           // length of the transfer
	Arrived time.Duration // the time at which the command came; its data may have come later
	Host    string        // NQN of the client's host
	User    any           // for use by the handler; the session does not read it

	session       *Session
	state         commandState
	transferTag   uint16
	received      int
	bytesReserved bool // the bytes of the transfer count towards the client's limit
	counted       bool // the command counts towards the client's limit
}

type commandState int

const (
	commandReceiving  commandState = iota // an R2T has been sent, or waits for a buffer
	commandAdmitted                       // passed to the handler, and not answered
	commandDiscarding                     // answered before all of its data has come; the rest is discarded
	commandEnded
)

// Complete answers an admitted command, with data for a Read. It copies data. If the client has gone or has aborted the
// command, Complete does nothing.
func (c *Command) Complete(status nvme.Status, dw0, dw1 uint32, data []byte) {
	if c.state != commandAdmitted {
		return
	}
	c.state = commandEnded
	delete(c.session.commands, c.CID())
	c.session.uncountCommand(c)
	c.session.respond(c.CID(), response{status, dw0, dw1, data})
	c.session.connection.flush()
}

// Truncate answers a Read with a part of its data and closes the connection. Fake disk servers use it for fault
// injection.
func (c *Command) Truncate(data []byte) {
	if c.state == commandAdmitted {
		c.session.respond(c.CID(), response{status: nvme.Success, data: data})
		c.session.connection.truncate()
	}
}

func (s *Session) namespace(id uint32) *Namespace {
	byID := func(n Namespace, id uint32) int { return cmp.Compare(n.ID, id) }
	i, ok := slices.BinarySearchFunc(s.settings.Namespaces, id, byID)
	if !ok {
		return nil
	}
	return &s.settings.Namespaces[i]
}

// allNamespaces is the namespace id of a Flush for all namespaces.
const allNamespaces = 0xFFFFFFFF

// checkIO returns the status by which a command of an I/O queue is rejected, or Success and the number of bytes that it
// transfers.
func (s *Session) checkIO(c *nvme.Command, data []byte) (status nvme.Status, size int) {
	switch c.Opcode() {
	case nvme.Read, nvme.Write:
		return s.checkTransfer(c, data)
	case nvme.Flush:
		if c.NSID() != allNamespaces && s.namespace(c.NSID()) == nil {
			return nvme.InvalidNamespace | nvme.DoNotRetry, 0
		}
		return nvme.Success, 0
	case nvme.Fabrics:
		if c.FabricsType() == nvme.FabricsConnect { // the queue is connected already (Base 3.3.2.2)
			return nvme.SequenceError | nvme.DoNotRetry, 0
		}
	}
	return nvme.InvalidOpcode | nvme.DoNotRetry, 0
}

func (s *Session) checkTransfer(c *nvme.Command, data []byte) (status nvme.Status, size int) {
	n := s.namespace(c.NSID())
	if n == nil {
		return nvme.InvalidNamespace | nvme.DoNotRetry, 0
	}
	if c.SLBA() >= n.Blocks || n.Blocks-c.SLBA() < uint64(c.Blocks()) {
		return nvme.LBAOutOfRange | nvme.DoNotRetry, 0
	}
	size = c.Blocks() << n.Shift
	if size > s.settings.MaxTransfer {
		return nvme.InvalidField | nvme.DoNotRetry, 0
	}
	if status := checkSGL(c, size, data); status != nvme.Success {
		return status | nvme.DoNotRetry, 0
	}
	return nvme.Success, size
}

// checkSGL checks the SGL descriptor of a Read or Write of size bytes against the command and the data in its capsule.
func checkSGL(c *nvme.Command, size int, data []byte) nvme.Status {
	kind, offset, length := c.SGL()
	switch {
	case int64(length) != int64(size):
		return nvme.InvalidSGLLength
	case kind == nvme.SGLTransport && len(data) == 0:
		return nvme.Success
	case kind != nvme.SGLInCapsule || c.Opcode() != nvme.Write:
		return nvme.InvalidSGLType
	case offset != 0 || len(data) != size:
		return nvme.InvalidSGLOffset
	}
	return nvme.Success
}

// handleIO handles a command of an I/O queue: it answers the command, admits it, or waits for its data.
func (s *Session) handleIO(now time.Duration, entry *nvme.Command, data []byte) {
	status, size := s.checkIO(entry, data)
	if status != nvme.Success || entry.Opcode() == nvme.Flush {
		// A Flush has no effect, since the controller reports no volatile write cache (VWC 0, Base 7.1).
		s.respond(entry.CID(), response{status: status})
		return
	}
	if !s.connection.beginCommand() { // too many commands of one client are in flight: the host may retry
		s.respond(entry.CID(), response{status: nvme.CommandInterrupted})
		return
	}
	c := &Command{Command: *entry, Bytes: size, Arrived: now, Host: s.controller.host, session: s, counted: true}
	s.commands[c.CID()] = c
	if c.Opcode() == nvme.Write && len(data) == 0 {
		s.connection.awaitData(c)
		s.associations.pendingWrites = append(s.associations.pendingWrites, c)
		s.associations.grantTransfers(s.settings, s.buffers)
		return
	}
	if len(data) > 0 {
		c.Data = s.buffers.Get(size)
		copy(c.Data, data)
		s.buffers.Copied(size)
	}
	c.state = commandAdmitted
	s.handler.Admit(c)
}

// uncountCommand stops counting a command towards the limit of its client, if it is counted.
func (s *Session) uncountCommand(c *Command) {
	if c.counted {
		c.counted = false
		s.connection.endCommand()
	}
}

// drop removes a command that has not been passed to the handler, and releases its buffer.
func (s *Session) drop(c *Command) {
	delete(s.commands, c.CID())
	s.uncountCommand(c)
	c.state = commandEnded
	s.releaseBuffer(c)
}

// releaseBuffer releases the buffer of a Write whose data is not needed.
func (s *Session) releaseBuffer(c *Command) {
	s.releaseTransfer(c)
	s.buffers.Put(c.Data)
	c.Data = nil
	s.associations.grantTransfers(s.settings, s.buffers)
}

// abort answers a command with status AbortRequested. It returns false if no command has this id, or if the command has
// been answered already.
func (s *Session) abort(cid uint16) bool {
	c := s.commands[cid]
	if c == nil {
		return false
	}
	switch c.state {
	case commandReceiving:
		s.cancelTransfer(c, nvme.AbortRequested)
	case commandAdmitted:
		c.Complete(nvme.AbortRequested, 0, 0, nil)
		s.handler.ClientGone(c)
	default:
		return false
	}
	return true
}
