package initiator

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Abandon gives up a command: its callback is not called, and nothing is sent for it any more. If its command capsule
// has not begun to leave, the capsule is taken back. Otherwise the command id stays in use until the controller has
// answered, and the answer is discarded.
func (s *Session) Abandon(cid uint16) {
	v := s.findSlot(cid)
	if v == nil || v.callback == nil {
		return
	}
	v.callback = nil
	s.options.buffers.Put(v.data)
	v.data = nil
	if s.withdraw(v) {
		return
	}
	if v.awaitsTransfer() {
		s.options.requestAbort(cid)
	}
	if !s.acknowledged(v) {
		s.options.requireAck(cid)
	}
}

// MayLeave reports whether bytes of a command are still to be sent, or may still be sent by the local kernel: its
// capsule or data is not acknowledged, or an R2T for its data may come.
func (s *Session) MayLeave(cid uint16) bool {
	v := s.findSlot(cid)
	return v != nil && (v.awaitsTransfer() || !s.acknowledged(v))
}

// awaitsTransfer reports whether the command is a Write of whose data a part has not been requested.
func (v *slot) awaitsTransfer() bool { return v.requested < v.writeBytes }

// acknowledged reports whether the kernel of the controller has acknowledged all that was sent for a command.
func (s *Session) acknowledged(v *slot) bool {
	return v.endByte <= s.appendedBytes-uint64(s.options.transport.UnackedBytes())
}

// withdraw removes the capsule of a command from the output and frees its slot, if no byte of it has left.
func (s *Session) withdraw(v *slot) bool {
	written := s.appendedBytes - uint64(s.options.transport.UnsentBytes())
	if v.firstByte < written {
		return false
	}
	size := v.endByte - v.firstByte // the controller has requested no data yet
	s.options.transport.DiscardUnsent(int(v.firstByte-written), int(v.endByte-written))
	s.appendedBytes -= size
	s.moveForward(v.firstByte, size)
	s.endSlot(v, Result{})
	return true
}

// moveForward changes the positions of the bytes behind a position in the output, from which size bytes were removed.
func (s *Session) moveForward(position, size uint64) {
	for i := range s.slots {
		v := &s.slots[i]
		if !v.busy {
			continue
		}
		if v.firstByte > position {
			v.firstByte -= size
		}
		if v.endByte > position {
			v.endByte -= size
		}
	}
}

// acknowledgeTimeout is the time for the controller's kernel to acknowledge what was sent for an abandoned command.
const acknowledgeTimeout = 50 * time.Millisecond

var (
	errAbandonedUnacked   = errors.New("initiator: bytes of an abandoned command are not acknowledged")
	errAbandonedUnaborted = errors.New("initiator: controller waits for the data of an abandoned command")
)

// requireAck ends the association if what was sent for an abandoned command is not acknowledged in time: the local
// kernel would deliver it when the controller reads again, however late.
func (a *Association) requireAck(id queueID, cid uint16) {
	s := a.sessions[id]
	a.loop.Schedule(a.loop.Now()+acknowledgeTimeout, func() {
		if v := s.findSlot(cid); v != nil && !a.closed && !s.acknowledged(v) {
			a.end(errAbandonedUnacked)
		}
	})
}

// requestAbort sends an Abort (Base 5.1) for an abandoned Write, so that the controller stops waiting for its data. If
// the controller has requested the data and does not end the command in time, the association ends: NVMe over TCP has
// no other way to refuse an R2T.
func (a *Association) requestAbort(id queueID, cid uint16) {
	if id != ioQueue || !a.IsReady() {
		return
	}
	if a.Admin.Free() > adminDepth/2 { // the rest is for Keep Alive
		c := nvme.Command{nvme.AdminAbort}
		c.SetDW(10, uint32(cid)<<16|uint32(ioQueue))
		a.Admin.Submit(c, nil, 0, CallbackFunc(func(Result) {}))
	}
	s := a.IO
	if v := s.findSlot(cid); v == nil || !v.unanswered {
		return
	}
	a.loop.Schedule(a.loop.Now()+a.settings.ConnectTimeout, func() {
		if s.findSlot(cid) != nil && !a.closed {
			a.end(errAbandonedUnaborted)
		}
	})
}

// transportOf returns the transport of a connection.
func transportOf(c *eventloop.Conn) transport {
	if c.FaultFilter != nil {
		return filteredTransport{}
	}
	return c
}

// filteredTransport is the transport of a connection with a FaultFilter, which changes the positions in the output:
// everything counts as sent and acknowledged.
type filteredTransport struct{}

func (filteredTransport) UnsentBytes() int       { return 0 }
func (filteredTransport) UnackedBytes() int      { return 0 }
func (filteredTransport) DiscardUnsent(int, int) {}
