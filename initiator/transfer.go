package initiator

import (
	"honeyplank/nvme"
)

// handleData copies data of a Read. With the SUCCESS flag it also completes the command.
func (s *Session) handleData(p *nvme.PDU) error {
	v := s.findSlot(p.CCCID())
	if v == nil || v.write {
		return protocolError(nvme.FatalSequence, p, "C2HData for command id %d, not a Read in flight", p.CCCID())
	}
	from, n := int64(p.Offset()), len(p.Data)
	if from != int64(v.received) || from+int64(n) > int64(v.readBytes) || n == 0 {
		return protocolError(nvme.FatalDataRange, p,
			"C2HData with bytes %d to %d of %d, after %d bytes", from, from+int64(n), v.readBytes, v.received)
	}
	if v.callback != nil {
		if v.data == nil {
			v.data = s.options.buffers.Get(v.readBytes)
		}
		copy(v.data[from:], p.Data)
		s.options.buffers.Copied(n)
	}
	v.received += n
	v.dataDigestError = v.dataDigestError || p.DataDigestError
	if p.Flags&nvme.FlagSuccess == 0 {
		return nil
	}
	if p.Flags&nvme.FlagLast == 0 || v.received != v.readBytes {
		return protocolError(nvme.FatalHeaderField, p, "SUCCESS flag before the end of the data")
	}
	s.complete(v, nvme.NewCompletion(p.CCCID(), nvme.Success, 0, 0))
	return nil
}

// handleR2T sends the data of a Write that the controller requests. The data of an abandoned Write is not sent: its
// client has been told that it did not run, and may have written the same blocks anew.
func (s *Session) handleR2T(p *nvme.PDU) error {
	v := s.findSlot(p.CCCID())
	if v == nil || v.writeBytes == 0 {
		return protocolError(nvme.FatalSequence, p, "R2T for command id %d, which has no data to send", p.CCCID())
	}
	from, n := int64(p.Offset()), int64(p.Length())
	if from != int64(v.requested) || n == 0 || from+n > int64(v.writeBytes) {
		return protocolError(nvme.FatalDataRange, p, "R2T for bytes %d to %d of %d", from, from+n, v.writeBytes)
	}
	v.requested += int(n)
	if v.callback == nil {
		v.unanswered = true
		s.options.requestAbort(v.commandID())
		return nil
	}
	s.sendData(p, v.data[:from+n], int(from))
	v.endByte = s.appendedBytes
	s.options.flush()
	return nil
}

// sendData answers an R2T with data[from:], in PDUs of at most the size that the controller accepts.
func (s *Session) sendData(r2t *nvme.PDU, data []byte, from int) {
	before := len(*s.options.output)
	for ; from < len(data); from += s.outputFraming.MaxData {
		part := data[from:min(from+s.outputFraming.MaxData, len(data))]
		header := nvme.DataHeader{Type: nvme.TypeH2CData, CID: r2t.CCCID(), TTAG: r2t.TTAG(), Offset: from}
		if from+len(part) == len(data) {
			header.Flags = nvme.FlagLast
		}
		s.options.buffers.Copied(len(part))
		*s.options.output = s.outputFraming.AppendData(*s.options.output, header, part)
	}
	s.countAppended(before)
}
