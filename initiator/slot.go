package initiator

// slot holds the state of a command in flight. The command id has the slot's index in its lower bits and the number of
// uses of the slot in its upper bits, so that an answer to an earlier use is recognised. A slot is reused only when its
// command has been answered: if the command was abandoned, its late answer cannot be taken for that of another command.
type slot struct {
	index           uint16
	uses            uint16
	busy            bool
	write           bool
	dataDigestError bool     // the digest of some data of a Read did not match
	callback        Callback // nil: abandoned
	data            []byte   // of a Write whose R2T may come, or of a Read; nil once the command is abandoned
	writeBytes      int      // bytes of a Write that R2Ts have to request
	readBytes       int      // expected bytes of a Read
	received        int      // received bytes of a Read
	requested       int      // bytes of a Write that R2Ts have requested
	unanswered      bool     // an R2T was not answered, because the command was abandoned
	firstByte       uint64   // position of its command capsule in the output of the connection
	endByte         uint64   // position after the last byte that was sent for it
}

// slotBits is the number of bits of a command id that hold the slot's index.
const slotBits = 10

// MaxDepth is the largest number of commands that one session keeps in flight.
const MaxDepth = 1 << slotBits

func (v *slot) commandID() uint16 { return v.uses<<slotBits | v.index }

// takeSlot allocates a free slot for a command. There must be one.
func (s *Session) takeSlot(callback Callback, readBytes int, write bool) *slot {
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	v := &s.slots[i]
	*v = slot{index: i, uses: v.uses + 1, busy: true, callback: callback, readBytes: readBytes, write: write}
	return v
}

// findSlot returns the slot of a command in flight, or nil if no command with this id is in flight.
func (s *Session) findSlot(cid uint16) *slot {
	if i := int(cid & (MaxDepth - 1)); i < len(s.slots) {
		if v := &s.slots[i]; v.busy && v.commandID() == cid {
			return v
		}
	}
	return nil
}

// endSlot frees the slot and calls the command's callback with the result.
func (s *Session) endSlot(v *slot, r Result) {
	callback, data := v.callback, v.data
	v.busy, v.callback, v.data = false, nil, nil
	s.free = append(s.free, v.index)
	if callback != nil {
		callback.Done(r)
	}
	s.options.buffers.Put(data)
}
