package target

import (
	"math/bits"
	"net"
	"time"

	"honeyplank/nvme"
)

// asyncLimitExceeded is the status Asynchronous Event Request Limit Exceeded.
const asyncLimitExceeded nvme.Status = 0x105

// handleAdmin answers a command of the admin queue. docs/protocol.md lists the accepted commands.
func (s *Session) handleAdmin(c *nvme.Command, in []byte) {
	if c.Opcode() == nvme.AdminAsyncEvent && s.asyncEvents < maxAsyncEvents {
		s.asyncEvents++
		return
	}
	r := s.adminResponse(c, in)
	if r.data != nil {
		kind, _, length := c.SGL()
		if kind != nvme.SGLTransport || int64(length) < int64(len(r.data)) {
			r.status, r.data = nvme.InvalidSGLLength|nvme.DoNotRetry, nil
		}
	}
	s.respond(c.CID(), r)
}

func (s *Session) adminResponse(c *nvme.Command, in []byte) response {
	switch c.Opcode() {
	case nvme.Fabrics:
		return s.propertyResponse(c)
	case nvme.AdminKeepAlive:
		return response{status: nvme.Success}
	case nvme.AdminIdentify:
		return s.identify(c)
	case nvme.AdminGetLogPage:
		return s.logPage(c)
	case nvme.AdminSetFeatures:
		return s.setFeature(c, in)
	case nvme.AdminGetFeatures:
		return s.getFeature(c)
	case nvme.AdminAsyncEvent:
		return response{status: asyncLimitExceeded}
	case nvme.AdminAbort:
		return s.abortResponse(c)
	}
	return rejected(nvme.InvalidOpcode)
}

// abortResponse executes an Abort. Bit 0 of the result is set if no command was aborted (Base 5.1).
func (s *Session) abortResponse(c *nvme.Command) response {
	const notAborted = 1
	queue := s.controller.queues[uint16(c.DW(10))]
	if queue == nil || !queue.abort(uint16(c.DW(10)>>16)) {
		return response{status: nvme.Success, dw0: notAborted}
	}
	return response{status: nvme.Success}
}

func (s *Session) propertyResponse(c *nvme.Command) response {
	switch c.FabricsType() {
	case nvme.FabricsPropertyGet:
		return s.getProperty(c.PropertyOffset())
	case nvme.FabricsPropertySet:
		if c.PropertyOffset() == nvme.PropertyCC {
			return s.setConfig(uint32(c.PropertyValue()))
		}
	case nvme.FabricsConnect:
		return rejected(nvme.SequenceError)
	}
	return rejected(nvme.InvalidField)
}

// Fields of the controller properties (Base 3.1.3).
const (
	capQueuesContiguous = 1 << 16  // CAP, CQR
	capTimeout          = 10 << 24 // CAP, TO, in units of 500 ms
	capNVMCommandSet    = 1 << 5   // CAP, CSS, in the upper dword
	statusReady         = 1        // CSTS, RDY
	shutdownComplete    = 2 << 2   // CSTS, SHST
)

func (s *Session) getProperty(offset uint32) response {
	k := s.controller
	switch offset {
	case nvme.PropertyCAP:
		maxEntries := uint32(s.settings.QueueDepth - 1) // MQES
		return response{status: nvme.Success, dw0: maxEntries | capQueuesContiguous | capTimeout, dw1: capNVMCommandSet}
	case nvme.PropertyVS:
		return response{status: nvme.Success, dw0: nvme.Version}
	case nvme.PropertyCC:
		return response{status: nvme.Success, dw0: k.config}
	case nvme.PropertyCSTS:
		csts := k.config & statusReady
		if k.shutdownRequested() {
			csts |= shutdownComplete
		}
		return response{status: nvme.Success, dw0: csts}
	}
	return rejected(nvme.InvalidField)
}

// setConfig sets CC. A reset or shutdown ends the I/O queues (Base 3.7.2).
func (s *Session) setConfig(config uint32) response {
	k := s.controller
	k.config = config
	if !k.isEnabled() || k.shutdownRequested() {
		k.endIOQueues()
	}
	return response{status: nvme.Success}
}

func (s *Session) identify(c *nvme.Command) response {
	switch cns := uint8(c.DW(10)); cns {
	case nvme.IdentifyController:
		return response{status: nvme.Success, data: nvme.AppendController(nil, s.controllerData())}
	case nvme.IdentifyActiveNamespaces:
		ids := make([]uint32, 0, len(s.settings.Namespaces))
		for _, n := range s.settings.Namespaces {
			ids = append(ids, n.ID)
		}
		return response{status: nvme.Success, data: nvme.AppendActiveNamespaces(nil, c.NSID(), ids)}
	case nvme.IdentifyNamespace, nvme.IdentifyDescriptors:
		n := s.namespace(c.NSID())
		if n == nil {
			return rejected(nvme.InvalidNamespace)
		}
		if cns == nvme.IdentifyDescriptors {
			return response{status: nvme.Success, data: nvme.AppendDescriptors(nil, n.UUID)}
		}
		return response{status: nvme.Success, data: nvme.AppendNamespace(nil, n.Blocks, n.Shift)}
	}
	return rejected(nvme.InvalidField)
}

// controllerData returns the fields of Identify Controller.
func (s *Session) controllerData() nvme.Controller {
	const minPageShift = 12 // the unit of MDTS is a page of 4 KiB
	k := nvme.Controller{
		ID:             s.controller.id,
		Serial:         s.settings.Serial,
		Model:          "honeyplank",
		Subsystem:      s.settings.Subsystem,
		MaxTransfer:    uint8(bits.Len(uint(s.settings.MaxTransfer>>minPageShift)) - 1),
		RetryDelay:     s.settings.RetryDelays,
		MaxCommands:    uint16(s.settings.QueueDepth),
		CapsuleBytes:   nvme.CommandLen + s.settings.MaxCapsule,
		KeepAliveUnits: 1,
		Discovery:      s.controller.discovery,
	}
	if n := len(s.settings.Namespaces); n > 0 { // NN is the largest namespace id
		k.Namespaces = s.settings.Namespaces[n-1].ID
	}
	if k.Discovery {
		k.Subsystem = DiscoveryNQN
	}
	return k
}

// emptyLogLen is the size in bytes of the log pages that are always zero.
const emptyLogLen = 512

func (s *Session) logPage(c *nvme.Command) response {
	page, ok := s.logPageContent(uint8(c.DW(10)))
	if !ok {
		return rejected(nvme.InvalidLogPage)
	}
	length := int64(c.DW(10)>>16|c.DW(11)<<16)*4 + 4 // NUMD, 0's based dwords
	from := uint64(c.DW(12)) | uint64(c.DW(13))<<32
	if from > uint64(len(page)) || length > int64(s.settings.MaxTransfer) {
		return rejected(nvme.InvalidField)
	}
	data := make([]byte, length) // bytes beyond the end of the page are zero
	copy(data, page[from:])
	return response{status: nvme.Success, data: data}
}

// logPageContent returns a complete log page; ok is false if there is no page with this id.
func (s *Session) logPageContent(id uint8) (page []byte, ok bool) {
	switch id {
	case nvme.LogError, nvme.LogHealth, nvme.LogFirmware:
		return make([]byte, emptyLogLen), true
	case nvme.LogDiscovery:
		host, port, _ := net.SplitHostPort(s.associations.address) // cannot fail: the listener formatted the address
		return nvme.AppendDiscovery(nil, s.settings.Subsystem, host, port), true
	}
	return s.handler.LogPage(id)
}

// queuesResult returns the response to Get and Set Features for the number of submission and completion queues, both
// 0's based.
func (s *Session) queuesResult() response {
	n := uint32(s.settings.MaxQueues - 1)
	return response{status: nvme.Success, dw0: n | n<<16}
}

func (s *Session) getFeature(c *nvme.Command) response {
	switch uint8(c.DW(10)) {
	case nvme.FeatureQueues:
		return s.queuesResult()
	case nvme.FeatureKeepAlive:
		return response{status: nvme.Success, dw0: uint32(s.controller.keepAlive / time.Millisecond)}
	case nvme.FeatureAsyncEvents:
		return response{status: nvme.Success}
	case nvme.FeatureHostBehavior:
		data := make([]byte, nvme.HostBehaviorLen)
		if s.controller.honoursRetryDelays {
			data[0] = 1 // ACRE
		}
		return response{status: nvme.Success, data: data}
	}
	return rejected(nvme.InvalidField)
}

func (s *Session) setFeature(c *nvme.Command, in []byte) response {
	switch uint8(c.DW(10)) {
	case nvme.FeatureQueues:
		return s.queuesResult()
	case nvme.FeatureKeepAlive:
		s.controller.keepAlive = time.Duration(c.DW(11)) * time.Millisecond
		return response{status: nvme.Success}
	case nvme.FeatureAsyncEvents:
		return response{status: nvme.Success}
	case nvme.FeatureHostBehavior:
		if len(in) != nvme.HostBehaviorLen || in[0] > 1 {
			return rejected(nvme.InvalidField)
		}
		s.controller.honoursRetryDelays = in[0] == 1 // ACRE
		return response{status: nvme.Success}
	}
	return rejected(nvme.InvalidField)
}
