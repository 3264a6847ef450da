package target

import (
	"time"

	"honeyplank/nvme"
)

// controller is the controller of one association, with its admin queue and I/O queues.
type controller struct {
	id                 uint16
	host               string
	hostID             [16]byte
	discovery          bool
	keepAlive          time.Duration
	config             uint32 // CC
	honoursRetryDelays bool   // the host honours retry delays: ACRE of Host Behavior Support (Base 5.27.1.18)
	queues             map[uint16]*Session
}

// isEnabled reports whether CC.EN is set (Base 3.1.3.5).
func (k *controller) isEnabled() bool { return k.config&1 != 0 }

// shutdownRequested reports whether CC.SHN is not 0, by which a host requests a shutdown.
func (k *controller) shutdownRequested() bool { return k.config>>14&3 != 0 }

// endIOQueues closes the connections of the I/O queues.
func (k *controller) endIOQueues() {
	for id, queue := range k.queues {
		if id != 0 {
			queue.connection.end()
		}
	}
}

// associations holds the controllers of one server, and the Writes that wait for a buffer.
type associations struct {
	address       string // of the server
	lastID        uint16
	byID          map[uint16]*controller
	pendingWrites []*Command // Writes whose R2T has not been sent
	granting      bool       // grantTransfers is running
	grantAgain    bool       // grantTransfers has been called while it was running
}

// maxControllerID is the largest id that a controller may have (Base 3.1.2).
const maxControllerID = 0xFFEF

// add adds a controller and gives it an id that is not in use.
func (a *associations) add(k *controller) {
	for a.lastID++; a.byID[a.lastID] != nil || a.lastID == 0 || a.lastID > maxControllerID; {
		a.lastID++
	}
	k.id = a.lastID
	a.byID[k.id] = k
}

// Dword 0 of the completion of an invalid Connect (Base 6.3): IPO, the offset of the invalid parameter in the command
// or, if IATTR is set, in its data.
const (
	offsetInData      = 1 << 16 // IATTR
	invalidQueueID    = 42
	invalidQueueSize  = 44
	invalidController = offsetInData | 16
	invalidSubsystem  = offsetInData | 256
)

func invalidConnect(dw0 uint32) response {
	return response{status: nvme.ConnectInvalid | nvme.DoNotRetry, dw0: dw0}
}

// connect answers the first command of a queue, which must be a Connect.
func (s *Session) connect(c *nvme.Command, data []byte) response {
	if c.Opcode() != nvme.Fabrics || c.FabricsType() != nvme.FabricsConnect {
		return rejected(nvme.SequenceError)
	}
	kind, _, length := c.SGL()
	if len(data) != nvme.ConnectLen || length != nvme.ConnectLen || kind != nvme.SGLInCapsule {
		return rejected(nvme.InvalidSGLLength)
	}
	if c.DW(10)&0xFFFF != 0 { // RECFMT
		return rejected(nvme.ConnectFormat)
	}
	queueID, queueSize := uint16(c.DW(10)>>16), int(c.DW(11)&0xFFFF)+1
	if queueSize < 2 || queueSize > s.settings.QueueDepth {
		return invalidConnect(invalidQueueSize)
	}
	d := nvme.ParseConnectData(data)
	isDiscovery := d.Subsystem == DiscoveryNQN
	if d.Host == "" || d.Subsystem != s.settings.Subsystem && !isDiscovery {
		return invalidConnect(invalidSubsystem)
	}
	var invalid uint32
	if queueID == 0 {
		keepAlive := time.Duration(c.DW(12)) * time.Millisecond
		invalid = s.connectAdmin(d, keepAlive)
	} else {
		invalid = s.connectIO(d, queueID)
	}
	if invalid != 0 {
		return invalidConnect(invalid)
	}
	s.queueID, s.queueSize = queueID, queueSize
	s.flowControlOff = c.DW(11)>>16&4 != 0
	s.controller.queues[queueID] = s
	s.phase = phaseLive
	return response{status: nvme.Success, dw0: uint32(s.controller.id)}
}

// connectAdmin creates the controller of an admin queue. It returns dword 0 for an invalid Connect, or 0.
func (s *Session) connectAdmin(d nvme.ConnectData, keepAlive time.Duration) (invalid uint32) {
	if d.ControllerID != nvme.DynamicController {
		return invalidController
	}
	s.controller = &controller{
		host:      d.Host,
		hostID:    d.HostID,
		discovery: d.Subsystem == DiscoveryNQN,
		keepAlive: keepAlive,
		queues:    map[uint16]*Session{},
	}
	s.associations.add(s.controller)
	return 0
}

// connectIO adds an I/O queue to its controller. It returns dword 0 for an invalid Connect, or 0.
func (s *Session) connectIO(d nvme.ConnectData, queueID uint16) (invalid uint32) {
	k := s.associations.byID[d.ControllerID]
	if k == nil || k.host != d.Host || k.hostID != d.HostID || k.discovery != (d.Subsystem == DiscoveryNQN) {
		return invalidController
	}
	if !k.isEnabled() || k.discovery || int(queueID) > s.settings.MaxQueues || k.queues[queueID] != nil {
		return invalidQueueID
	}
	s.controller = k
	return 0
}
