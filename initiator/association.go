package initiator

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Settings holds the address of a controller and the parameters of an association with it.
type Settings struct {
	Address        string // IPv4 address and port
	Subsystem      string
	Host           string // NQN of this host
	HostID         [16]byte
	Depth          int           // largest number of commands in flight on the I/O queue, at most MaxDepth
	MaxData        int           // largest number of bytes of one Read
	Digests        bool          // request header and data digests
	ConnectTimeout time.Duration // for the whole handshake
	KeepAlive      time.Duration // the association ends if no Keep Alive is answered for this time; 0: no Keep Alive
	// Tap, if not nil, is called for each new connection and returns a function that receives the bytes of the
	// connection.
	Tap func() func(sent bool, b []byte)
	// OnConnect, if not nil, is called with each new connection, for fault injection.
	OnConnect func(*eventloop.Conn)
}

// Handler receives the events of an association. It is called on the event loop.
type Handler interface {
	// Ready is called when the I/O queue may be used.
	Ready(*Association)
	// Ended is called once, when the association has ended, after the callbacks of the commands in flight. It is not
	// called after Association.Close.
	Ended(*Association, error)
}

// queueID is the id of one of an association's queues.
type queueID int

const (
	adminQueue queueID = iota
	ioQueue
	queueCount
)

// adminDepth is the number of commands that may be in flight on the admin queue.
const adminDepth = 32

// maxKeptReads bounds the size of the free buffers that are kept for reuse, as a number of Reads of the largest size.
const maxKeptReads = 64

var (
	errHandshakeTimeout = errors.New("initiator: handshake not complete within the connect timeout")
	errKeepAliveTimeout = errors.New("initiator: no Keep Alive answered within the keep-alive time")
	errClosed           = errors.New("initiator: controller closed the connection")
	errNotReady         = errors.New("initiator: controller not ready after it was enabled")
	errNoIdentifyData   = errors.New("initiator: no data in the answer to Identify Controller")
)

// Association is an admin queue and one I/O queue to a controller.
type Association struct {
	IO      *Session // accepts commands once the association is ready
	Admin   *Session // nil until the admin queue is connected
	Buffers eventloop.Buffers
	// RetryDelays are CRDT1 to CRDT3 of the controller, in units of 100 ms.
	RetryDelays [3]uint16

	settings          Settings
	loop              *eventloop.Loop
	handler           Handler
	conns             [queueCount]*eventloop.Conn
	sessions          [queueCount]*Session
	controllerID      uint16
	ioMaxCapsule      int // largest number of data bytes in a capsule of the I/O queue
	ready             bool
	closed            bool
	timer             *eventloop.Timer // of the handshake, then of Keep Alive
	keepAliveAnswered time.Duration    // the time at which a Keep Alive was last answered
}

// Dial starts an association. The handler is not called before Dial has returned.
func Dial(l *eventloop.Loop, settings Settings, h Handler) *Association {
	a := &Association{IO: &Session{}, settings: settings, loop: l, handler: h}
	a.Buffers.MaxKept, a.Buffers.Stats = maxKeptReads*settings.MaxData, &l.Stats
	a.timer = l.Schedule(l.Now()+settings.ConnectTimeout, func() { a.end(errHandshakeTimeout) })
	if err := a.dial(adminQueue); err != nil {
		l.Schedule(0, func() { a.end(err) })
	}
	return a
}

// dial opens the connection of a queue.
func (a *Association) dial(id queueID) error {
	conn, err := a.loop.Dial(a.settings.Address, &queue{a, id})
	a.conns[id] = conn
	if err != nil {
		return err
	}
	if a.settings.Tap != nil {
		conn.Tap = a.settings.Tap()
	}
	if a.settings.OnConnect != nil {
		a.settings.OnConnect(conn)
	}
	return nil
}

// queue is the eventloop.Handler of one of the association's connections.
type queue struct {
	association *Association
	id          queueID
}

func (q *queue) Opened(c *eventloop.Conn) {
	a := q.association
	options := sessionOptions{
		depth:   adminDepth,
		maxData: nvme.IdentifyLen,
		digests: a.settings.Digests,
		buffers: &a.Buffers,
		output:  &c.Output,
		flush:   c.Send,
		onReady: func() { a.sendConnect(q.id) },

		transport:    transportOf(c),
		requestAbort: func(cid uint16) { a.requestAbort(q.id, cid) },
		requireAck:   func(cid uint16) { a.requireAck(q.id, cid) },
	}
	if q.id == ioQueue {
		options.depth, options.maxData = a.settings.Depth, max(a.settings.MaxData, nvme.IdentifyLen)
	}
	a.sessions[q.id] = newSession(options)
}

func (q *queue) Input(_ *eventloop.Conn, b []byte) int {
	used, err := q.association.sessions[q.id].Input(b)
	if err != nil {
		q.association.end(err)
	}
	return used
}

func (q *queue) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errClosed
	}
	q.association.end(err)
}

// IsReady reports whether commands may be submitted.
func (a *Association) IsReady() bool { return a.ready && !a.closed }

// IsClosed reports whether the association has ended.
func (a *Association) IsClosed() bool { return a.closed }

// Close ends the association. The callbacks of the commands in flight are called with ConnectionLost; the handler is
// not called. A connection of which the controller's kernel has not acknowledged everything is reset: otherwise
// commands could arrive after their callbacks.
func (a *Association) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.loop.Cancel(a.timer)
	for id, conn := range a.conns {
		s := a.sessions[id]
		terminated := s != nil && s.terminated
		switch {
		case conn == nil:
		case conn.UnackedBytes() > 0 && !terminated:
			conn.Abort()
		default:
			conn.CloseGracefully()
		}
		if s != nil {
			s.endInFlight()
		}
	}
}

// end closes the association and passes the error to the handler.
func (a *Association) end(err error) {
	if !a.closed {
		a.Close()
		a.handler.Ended(a, err)
	}
}
