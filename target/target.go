// Package target implements the controller side of NVMe over TCP, to which clients connect. Session is the state
// machine of one connection: it does no I/O, takes bytes as input, and produces bytes and commands. Server drives
// sessions on an event loop; the whole package runs on the goroutine of that loop. The package itself answers each
// command whose answer follows from the protocol alone, and passes every Read and Write to its Handler. It must not
// decide whether, when or where those are executed. The gateway and the fake disk servers use it.
package target

import (
	"time"
)

// DiscoveryNQN is the well-known NQN of the discovery service (Base 4.7).
const DiscoveryNQN = "nqn.2014-08.org.nvmexpress.discovery"

// Namespace is a volume as a controller presents it to hosts.
type Namespace struct {
	ID     uint32
	Blocks uint64
	Shift  uint8 // log2 of the block size in bytes
	UUID   [16]byte
}

// Settings holds the properties of a subsystem's controllers and the limits of its server.
type Settings struct {
	Subsystem        string
	Serial           string
	Namespaces       []Namespace   // in ascending order of ID
	RetryDelays      [3]uint16     // CRDT1 to CRDT3, in 100 ms
	MaxTransfer      int           // bytes of one Read or Write, a power of two of at least 4 KiB
	MaxCapsule       int           // bytes of data in a command capsule
	MaxDataPDU       int           // bytes of data in one data PDU, in either direction
	QueueDepth       int           // entries of a queue
	MaxQueues        int           // I/O queues of a controller
	HandshakeTimeout time.Duration // from the start of a connection until its Connect has succeeded
	MaxConnections   int
	MaxUnsent        int // unsent bytes of a connection above which it is closed
	MaxBuffered      int // bytes of data buffers in use on all connections, above which R2Ts are delayed
}

// Handler executes the commands of clients. It is called on the event loop.
type Handler interface {
	// Admit passes a Read or Write, with its data, to the handler. The handler then owns c.Data, and answers the
	// command by one call of c.Complete.
	Admit(c *Command)
	// ClientGone reports that the connection of an admitted command has ended, or that its client has aborted it. The
	// command no longer needs an answer.
	ClientGone(c *Command)
	// LogPage returns the content of a vendor specific log page. It returns false if there is no page with this id.
	LogPage(id uint8) ([]byte, bool)
}

// connection is the part of a connection, and of the limits of its client, that a session uses.
type connection interface {
	// flush sends what the session has appended to its output.
	flush()
	// end closes the connection gracefully.
	end()
	// truncate sends half of the unsent bytes and closes the connection.
	truncate()
	// awaitData starts the timeout for the data of a Write. When it expires, the connection calls Session.Expire.
	awaitData(c *Command)
	// reserveBytes reports whether the client may send n more bytes of data now. If so, they count towards the client's
	// limit until releaseBytes is called.
	reserveBytes(n int) bool
	releaseBytes(n int)
	// beginCommand reports whether the client may have one more command in flight. If so, the command counts towards
	// the client's limit until endCommand is called.
	beginCommand() bool
	endCommand()
}
