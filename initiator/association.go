package initiator

import (
	"errors"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// Settings say how to associate with a controller.
type Settings struct {
	Address        string // IPv4 address and port
	Subsystem      string
	Host           string // NQN of this host
	HostID         [16]byte
	Depth          int           // commands in flight at a time on the I/O queue, at most MaxDepth
	MaxData        int           // bytes of one Read
	Digests        bool          // ask for header and data digests
	ConnectTimeout time.Duration // for the whole handshake
	KeepAlive      time.Duration // 0: none. Silence of this long on the admin queue ends the association
	Tap            func() func(sent bool, b []byte)
	// OnConnect, where set, is called with each new connection, for fault injection.
	OnConnect func(*eventloop.Conn)
}

// Handler hears of an association. It is called on the loop.
type Handler interface {
	// Ready is called once the I/O queue may be used.
	Ready(*Association)
	// Ended is called once when the association has ended, after the calls of its commands in flight.
	Ended(*Association, error)
}

// queueID tells which of an association's queues it is.
type queueID int

const (
	adminQueue queueID = iota
	ioQueue
	queueCount
)

// adminDepth is how many commands may be in flight on the admin queue.
const adminDepth = 32

// maxKeptReads bounds the memory that is kept for reads, in reads of the largest size.
const maxKeptReads = 64

var (
	errHandshakeTimeout = errors.New("initiator: the handshake was not complete in time")
	errKeepAliveTimeout = errors.New("initiator: Keep Alive was not answered in time")
	errClosed           = errors.New("initiator: the controller closed the connection")
	errNotReady         = errors.New("initiator: the controller did not become ready")
	errNoIdentifyData   = errors.New("initiator: Identify brought no data")
)

// Association is an admin queue and one I/O queue to a controller.
type Association struct {
	IO      *Session // it takes commands once the association is ready
	Admin   *Session
	Buffers eventloop.Buffers
	// RetryDelays are CRDT1 to CRDT3 of the controller, in units of 100 ms.
	RetryDelays [3]uint16

	settings          Settings
	loop              *eventloop.Loop
	handler           Handler
	conns             [queueCount]*eventloop.Conn
	sessions          [queueCount]*Session
	controllerID      uint16
	ioMaxCapsule      int // bytes of data in a capsule of the I/O queue
	ready             bool
	closed            bool
	timer             *eventloop.Timer // of the handshake, then of Keep Alive
	keepAliveAnswered time.Duration    // when a Keep Alive was last answered
}

// Dial begins an association; the handler hears of it later, never during the call.
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

// queue is one of the association's connections, as its eventloop.Handler.
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

// IsReady tells whether commands may be submitted.
func (a *Association) IsReady() bool { return a.ready && !a.closed }

// IsClosed tells whether the association has ended.
func (a *Association) IsClosed() bool { return a.closed }

// Close ends the association; commands in flight end as Lost, the handler is not called.
func (a *Association) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.loop.Cancel(a.timer)
	for id, conn := range a.conns {
		if conn != nil {
			conn.CloseGracefully()
		}
		if s := a.sessions[id]; s != nil {
			s.endInFlight()
		}
	}
}

// end closes the association and tells the handler why.
func (a *Association) end(err error) {
	if !a.closed {
		a.Close()
		a.handler.Ended(a, err)
	}
}
