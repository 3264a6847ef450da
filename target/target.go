// Package target is the controller's side of NVMe over TCP: what clients connect to. Session is one connection's state
// machine, in memory: bytes in, bytes and commands out. Server drives sessions on an event loop, and all of the package
// runs on that loop's goroutine. It answers what the protocol alone decides, and hands every Read and Write to its
// Handler; it must not decide whether, when or where those run. The gateway and the fake disk servers use it.
package target

import (
	"time"
)

// DiscoveryNQN is the well-known name of discovery (Base 4.7).
const DiscoveryNQN = "nqn.2014-08.org.nvmexpress.discovery"

// Namespace is a volume as a controller shows it.
type Namespace struct {
	ID     uint32
	Blocks uint64
	Shift  uint8 // log2 of the block size in bytes
	UUID   [16]byte
}

// Settings is what the controllers of a subsystem offer, and what one client may cost.
type Settings struct {
	Subsystem        string
	Serial           string
	Namespaces       []Namespace   // by id
	RetryDelays      [3]uint16     // CRDT1 to CRDT3, in 100 ms
	MaxTransfer      int           // bytes of one Read or Write, a power of two of at least 4 KiB
	MaxCapsule       int           // bytes of data in a command capsule
	MaxDataPDU       int           // bytes of one data PDU, either way
	QueueDepth       int           // entries of a queue
	MaxQueues        int           // I/O queues of a controller
	HandshakeTimeout time.Duration // until Connect
	MaxConnections   int
	MaxUnsent        int // bytes that a client may leave unread before its connection ends
	MaxBuffered      int // bytes of write data in transfer over all connections, past which R2Ts wait
}

// Handler acts on what a client wants. It is called on the loop.
type Handler interface {
	// Admit hands over a Read or Write with its data. The handler owns c.Data and answers once by c.Complete.
	Admit(c *Command)
	// ClientGone tells that the client of an admitted command has gone or has aborted it; it needs no answer any more.
	ClientGone(c *Command)
	// LogPage returns a vendor specific log page, or false.
	LogPage(id uint8) ([]byte, bool)
}

// connection is what a session needs of the connection it runs on, and of the limits of its client.
type connection interface {
	// flush sends what the session has appended to its output.
	flush()
	// end closes the connection gracefully.
	end()
	// truncate sends half of what is unsent and breaks the connection.
	truncate()
	// awaitData is called when data is to come for a command: Session.Expire must follow once that takes too long.
	awaitData(c *Command)
	// reserveBytes tells whether the client may send so much data now, and counts it; releaseBytes ends that.
	reserveBytes(n int) bool
	releaseBytes(n int)
	// beginCommand tells whether the client may have one more command, and counts it; endCommand ends that.
	beginCommand() bool
	endCommand()
}
