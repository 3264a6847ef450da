package target

import (
	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// grantTransfers sends the R2Ts of Writes in the order of their arrival, until the limit MaxBuffered is reached. It
// skips the Writes of clients that have reached their own limit. If no buffer is in use, MaxBuffered does not apply, so
// that a large Write does not wait forever.
func (a *associations) grantTransfers(settings *Settings, buffers *eventloop.Buffers) {
	if a.granting { // sending an R2T has closed a connection, which has released its buffers
		a.grantAgain = true
		return
	}
	a.granting = true
	for a.grantAgain = true; a.grantAgain; {
		a.grantAgain = false
		a.grantPending(settings, buffers)
	}
	a.granting = false
}

// grantPending goes once through the Writes that wait for a buffer.
func (a *associations) grantPending(settings *Settings, buffers *eventloop.Buffers) {
	pendingWrites := a.pendingWrites
	a.pendingWrites = nil
	for i, c := range pendingWrites {
		switch {
		case c.state != commandReceiving || c.session.phase == phaseEnded:
		case buffers.InUse > 0 && buffers.InUse+c.Bytes > settings.MaxBuffered:
			a.pendingWrites = append(a.pendingWrites, pendingWrites[i:]...)
			return
		case !c.session.connection.reserveBytes(c.Bytes):
			a.pendingWrites = append(a.pendingWrites, c)
		default:
			c.session.sendR2T(c)
		}
	}
}

// sendR2T requests all data of a Write from the client.
func (s *Session) sendR2T(c *Command) {
	for s.lastTag++; s.transfers[s.lastTag] != nil; {
		s.lastTag++
	}
	c.transferTag, c.bytesReserved = s.lastTag, true
	c.Data = s.buffers.Get(c.Bytes)
	s.transfers[c.transferTag] = c
	*s.output = s.outputFraming.AppendR2T(*s.output, c.CID(), c.transferTag, 0, c.Bytes)
	s.connection.flush()
}

// releaseTransfer stops counting a Write's bytes towards the limit of its client, if they are counted.
func (s *Session) releaseTransfer(c *Command) {
	if c.bytesReserved {
		c.bytesReserved = false
		s.connection.releaseBytes(c.Bytes)
	}
}

// Offsets of the fields of a PDU's header, reported as FEI (TCP 3.6.1, 3.6.2.8).
const (
	flagsField      = 1
	dataOffsetField = 12
)

func (s *Session) handleData(p *nvme.PDU) error {
	c := s.transfers[p.TTAG()]
	if c == nil || c.CID() != p.CCCID() {
		return sequenceError(p, "H2CData for a command without an open R2T")
	}
	from, n := int64(p.Offset()), len(p.Data)
	if from != int64(c.received) || from+int64(n) > int64(c.Bytes) || n == 0 {
		return fatalError(nvme.FatalDataRange, dataOffsetField, p, "H2CData is not the next part of the transfer")
	}
	if c.state == commandReceiving {
		copy(c.Data[from:], p.Data)
		s.buffers.Copied(n)
	}
	c.received += n
	complete := c.received == c.Bytes
	if complete != (p.Flags&nvme.FlagLast != 0) {
		return fatalError(nvme.FatalHeaderField, flagsField, p, "LAST_PDU does not match the end of the transfer")
	}
	if p.DataDigestError && c.state == commandReceiving {
		s.cancelTransfer(c, nvme.TransientTransport)
	}
	if complete {
		s.completeTransfer(c)
	}
	return nil
}

// completeTransfer admits a Write whose data is complete, unless the Write has been answered.
func (s *Session) completeTransfer(c *Command) {
	delete(s.transfers, c.transferTag)
	s.releaseTransfer(c)
	if c.state == commandDiscarding {
		s.drop(c)
		return
	}
	c.state = commandAdmitted
	s.handler.Admit(c)
}

// Expire fails a Write if its data is not complete.
func (s *Session) Expire(c *Command) {
	if c.state == commandReceiving && s.phase != phaseEnded {
		s.cancelTransfer(c, nvme.DataTransferError)
	}
}

// cancelTransfer answers a Write that waits for data. Data that comes later is read and discarded; it needs no buffer,
// and may never come if the host has aborted the Write.
func (s *Session) cancelTransfer(c *Command, status nvme.Status) {
	s.respond(c.CID(), response{status: status})
	c.state = commandDiscarding
	if s.transfers[c.transferTag] == c {
		s.releaseBuffer(c)
	} else {
		s.drop(c)
	}
	s.connection.flush()
}
