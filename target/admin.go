package target

import (
	"math/bits"
	"net"
	"time"

	"honeyplank/nvme"
)

const asyncLimit nvme.Status = 0x105 // Asynchronous Event Request Limit Exceeded

// admin answers a command of the admin queue. docs/protocol.md lists what is accepted.
func (s *Session) admin(c *nvme.Command, in []byte) {
	status, dw0, dw1 := nvme.Success, uint32(0), uint32(0)
	var data []byte
	switch c.Opcode() {
	case nvme.Fabrics:
		status, dw0, dw1 = s.property(c)
	case nvme.AdminKeepAlive:
	case nvme.AdminIdentify:
		status, data = s.identify(c)
	case nvme.AdminGetLogPage:
		status, data = s.logPage(c)
	case nvme.AdminSetFeatures, nvme.AdminGetFeatures:
		status, dw0, data = s.feature(c, in)
	case nvme.AdminAsyncEvent:
		if s.events < 4 { // AERL; held for ever, since no event is ever told
			s.events++
			return
		}
		status = asyncLimit
	case nvme.AdminAbort:
		q := s.control.queues[uint16(c.DW(10))]
		if q == nil || !q.abort(uint16(c.DW(10)>>16)) {
			dw0 = 1 // not aborted
		}
	default:
		status = nvme.InvalidOpcode | nvme.DoNotRetry
	}
	if data != nil {
		kind, _, length := c.SGL()
		if kind != nvme.SGLTransport || int64(length) < int64(len(data)) {
			status, data = nvme.InvalidSGLLength|nvme.DoNotRetry, nil
		}
	}
	s.answer(c.CID(), status, dw0, dw1, data)
}

func (s *Session) property(c *nvme.Command) (status nvme.Status, dw0, dw1 uint32) {
	k := s.control
	switch {
	case c.FabricsType() == nvme.FabricsPropertyGet:
		switch c.PropertyOffset() {
		case nvme.PropertyCAP: // MQES, CQR, TO of 5 s, NVM command set
			return nvme.Success, uint32(s.offer.QueueDepth-1) | 1<<16 | 10<<24, 1 << 5
		case nvme.PropertyVS:
			return nvme.Success, nvme.Version, 0
		case nvme.PropertyCC:
			return nvme.Success, k.config, 0
		case nvme.PropertyCSTS:
			status := k.config & 1
			if k.config>>14&3 != 0 { // SHN: shutdown processing complete
				status |= 2 << 2
			}
			return nvme.Success, status, 0
		}
	case c.FabricsType() == nvme.FabricsPropertySet && c.PropertyOffset() == nvme.PropertyCC:
		k.config = uint32(c.PropertyValue())
		if k.config&1 == 0 || k.config>>14&3 != 0 { // a reset or shutdown ends the I/O queues (Base 3.7.2)
			for id, q := range k.queues {
				if id != 0 {
					q.end()
				}
			}
		}
		return nvme.Success, 0, 0
	case c.FabricsType() == nvme.FabricsConnect:
		return nvme.SequenceError | nvme.DoNotRetry, 0, 0
	}
	return nvme.InvalidField | nvme.DoNotRetry, 0, 0
}

func (s *Session) identify(c *nvme.Command) (nvme.Status, []byte) {
	switch cns := uint8(c.DW(10)); cns {
	case nvme.IdentifyController:
		k := nvme.Controller{ID: s.control.id, Serial: s.offer.Serial, Model: "honeyplank", Subsystem: s.offer.Subsystem,
			MaxTransfer: uint8(bits.Len(uint(s.offer.MaxTransfer>>12)) - 1), RetryDelay: s.offer.RetryDelays,
			Namespaces: uint32(len(s.offer.Namespaces)), MaxCommands: uint16(s.offer.QueueDepth),
			CapsuleBytes: 64 + s.offer.MaxCapsule, KeepAliveUnits: 1, Discovery: s.control.discovery}
		if n := len(s.offer.Namespaces); n > 0 { // NN is the largest id
			k.Namespaces = s.offer.Namespaces[n-1].ID
		}
		if k.Discovery {
			k.Subsystem = DiscoveryNQN
		}
		return nvme.Success, nvme.AppendController(nil, k)
	case nvme.IdentifyActive:
		var ids []uint32
		for _, n := range s.offer.Namespaces {
			ids = append(ids, n.ID)
		}
		return nvme.Success, nvme.AppendActive(nil, c.NSID(), ids)
	case nvme.IdentifyNamespace, nvme.IdentifyDescriptors:
		n := s.namespace(c.NSID())
		if n == nil {
			return nvme.InvalidNamespace | nvme.DoNotRetry, nil
		}
		if cns == nvme.IdentifyDescriptors {
			return nvme.Success, nvme.AppendDescriptors(nil, n.UUID)
		}
		return nvme.Success, nvme.AppendNamespace(nil, n.Blocks, n.Shift)
	}
	return nvme.InvalidField | nvme.DoNotRetry, nil
}

func (s *Session) logPage(c *nvme.Command) (nvme.Status, []byte) {
	var page []byte
	switch id := uint8(c.DW(10)); id {
	case nvme.LogError, nvme.LogHealth, nvme.LogFirmware:
		page = make([]byte, 512)
	case nvme.LogDiscovery:
		host, port, _ := net.SplitHostPort(s.subs.address)
		page = nvme.AppendDiscovery(nil, s.offer.Subsystem, host, port)
	default:
		own, ok := s.handler.Log(id)
		if !ok {
			return nvme.InvalidLogPage | nvme.DoNotRetry, nil
		}
		page = own
	}
	length := int64(c.DW(10)>>16|c.DW(11)<<16)*4 + 4 // NUMD, 0's based dwords
	from := uint64(c.DW(12)) | uint64(c.DW(13))<<32
	if from > uint64(len(page)) || length > int64(s.offer.MaxTransfer) {
		return nvme.InvalidField | nvme.DoNotRetry, nil
	}
	data := make([]byte, length) // past the page's end: zeros
	copy(data, page[from:])
	return nvme.Success, data
}

func (s *Session) feature(c *nvme.Command, in []byte) (nvme.Status, uint32, []byte) {
	set := c.Opcode() == nvme.AdminSetFeatures
	queues := uint32(s.offer.MaxQueues-1) | uint32(s.offer.MaxQueues-1)<<16
	switch uint8(c.DW(10)) {
	case nvme.FeatureQueues:
		return nvme.Success, queues, nil
	case nvme.FeatureKeepAlive:
		if set {
			s.control.keepAlive = time.Duration(c.DW(11)) * time.Millisecond
			return nvme.Success, 0, nil
		}
		return nvme.Success, uint32(s.control.keepAlive / time.Millisecond), nil
	case nvme.FeatureAsyncEvents:
		return nvme.Success, 0, nil
	case nvme.FeatureHostBehavior:
		if !set {
			data := make([]byte, nvme.HostBehaviorLen)
			if s.control.delays {
				data[0] = 1
			}
			return nvme.Success, 0, data
		}
		if len(in) != nvme.HostBehaviorLen || in[0] > 1 {
			return nvme.InvalidField | nvme.DoNotRetry, 0, nil
		}
		s.control.delays = in[0] == 1
		return nvme.Success, 0, nil
	}
	return nvme.InvalidField | nvme.DoNotRetry, 0, nil
}
