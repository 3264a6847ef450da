package initiator

// slot holds a command that is in flight. Its command id is its index with a count of its uses above, so that an
// answer to an earlier use is distinguished from one to this. A slot is used again only when its command has been
// answered: a late answer finds the slot abandoned, never another's op in it.
type slot struct {
	index           uint16
	uses            uint16
	busy            bool
	write           bool
	dataDigestError bool     // data came with a wrong digest
	callback        Callback // nil: abandoned
	data            []byte   // of a Write whose R2T may come, or of a Read
	readBytes       int      // that a Read is to bring
	received        int      // of them
	requested       int      // bytes of a Write that R2Ts have asked for
}

// slotBits are the bits of a command id that are the slot's index.
const slotBits = 10

// MaxDepth is the most commands that one session keeps in flight.
const MaxDepth = 1 << slotBits

func (v *slot) commandID() uint16 { return v.uses<<slotBits | v.index }

// takeSlot takes a free slot for a command; there must be one.
func (s *Session) takeSlot(callback Callback, readBytes int, write bool) *slot {
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	v := &s.slots[i]
	*v = slot{index: i, uses: v.uses + 1, busy: true, callback: callback, readBytes: readBytes, write: write}
	return v
}

// findSlot is the slot of a command that is in flight.
func (s *Session) findSlot(cid uint16) *slot {
	if i := int(cid & (MaxDepth - 1)); i < len(s.slots) {
		if v := &s.slots[i]; v.busy && v.commandID() == cid {
			return v
		}
	}
	return nil
}

// endSlot frees the slot and tells its owner.
func (s *Session) endSlot(v *slot, r Result) {
	callback, data := v.callback, v.data
	v.busy, v.callback, v.data = false, nil, nil
	s.free = append(s.free, v.index)
	if callback != nil {
		callback.Done(r)
	}
	s.options.buffers.Put(data)
}
