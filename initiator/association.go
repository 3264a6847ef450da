package initiator

import (
	"errors"
	"fmt"
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
	Depth          int           // commands out at a time on the I/O queue, at most MaxDepth
	MaxData        int           // bytes of one Read
	Digests        bool          // ask for header and data digests
	ConnectTimeout time.Duration // for all of the handshake
	KeepAlive      time.Duration // 0: none. Silence of this long on the admin queue ends the association
	Tap            func() func(sent bool, b []byte)
	// OnConnect, where set, is handed each new connection, and sets its tap: the faults of a stand-in's wire.
	OnConnect func(*eventloop.Conn)
}

// Handler hears of an association. It is called on the loop.
type Handler interface {
	// Ready tells that the I/O queue may be used.
	Ready(*Association)
	// Ended tells, once, that the association is over. Commands that were out have been told before.
	Ended(*Association, error)
}

// Association is an admin queue and one I/O queue to a controller.
type Association struct {
	IO      *Session
	Admin   *Session
	Buffers eventloop.Buffers
	// RetryDelays are CRDT1 to CRDT3 of the controller, in units of 100 ms.
	RetryDelays [3]uint16

	terms      Settings
	loop       *eventloop.Loop
	handler    Handler
	conns      [2]*eventloop.Conn
	sessions   [2]*Session
	cntlid     uint16
	ready      bool
	over       bool
	timer      *eventloop.Timer
	answeredAt time.Duration // last answer to a Keep Alive
}

// queue is one of the association's connections.
type queue struct {
	a *Association
	n int
}

const adminDepth = 32

var errHandshake = errors.New("initiator: the handshake was not complete in time")
var errKeepAlive = errors.New("initiator: Keep Alive was not answered in time")

// Dial begins an association; the handler hears of it later, never during the call.
func Dial(l *eventloop.Loop, terms Settings, h Handler) *Association {
	a := &Association{terms: terms, loop: l, handler: h}
	a.Buffers.MaxKept, a.Buffers.Stats = 64*terms.MaxData, &l.Stats
	a.timer = l.Schedule(l.Now()+terms.ConnectTimeout, func() { a.end(errHandshake) })
	if err := a.connect(0); err != nil {
		l.Schedule(0, func() { a.end(err) })
	}
	return a
}

func (a *Association) connect(n int) (err error) {
	if a.conns[n], err = a.loop.Dial(a.terms.Address, &queue{a, n}); err == nil && a.terms.Tap != nil {
		a.conns[n].Tap = a.terms.Tap()
	}
	if err == nil && a.terms.OnConnect != nil {
		a.terms.OnConnect(a.conns[n])
	}
	return err
}

func (q *queue) Opened(c *eventloop.Conn) {
	depth, most := adminDepth, nvme.IdentifyLen
	if q.n == 1 {
		depth, most = q.a.terms.Depth, max(q.a.terms.MaxData, nvme.IdentifyLen)
	}
	q.a.sessions[q.n] = newSession(depth, most, q.a.terms.Digests, &q.a.Buffers, &c.Output, c.Send, func() { q.a.join(q.n) })
}

func (q *queue) Input(_ *eventloop.Conn, b []byte) int {
	used, err := q.a.sessions[q.n].Input(b)
	if err != nil {
		q.a.end(err)
	}
	return used
}

func (q *queue) Closed(_ *eventloop.Conn, err error) {
	if err == nil {
		err = errors.New("initiator: the controller closed the connection")
	}
	q.a.end(err)
}

// join sends the Connect of a queue.
func (a *Association) join(n int) {
	s, t := a.sessions[n], a.terms
	s.Capsule = nvme.ConnectLen
	size, cntlid := adminDepth+1, uint16(nvme.DynamicController)
	if n == 1 {
		size, cntlid = t.Depth+1, a.cntlid
	}
	c := nvme.NewConnect(uint16(n), size, uint32(t.KeepAlive/time.Millisecond))
	data := nvme.ConnectData{HostID: t.HostID, ControllerID: cntlid, Subsystem: t.Subsystem, Host: t.Host}
	next := a.enable
	if n == 1 {
		next = a.begin
	}
	s.Submit(c, nvme.AppendConnectData(nil, data), 0, a.step("Connect", func(r Result) {
		if n == 0 {
			a.cntlid = uint16(r.DW0())
		}
		next()
	}))
}

// step is a Call that ends the association if its command fails.
func (a *Association) step(what string, next func(Result)) Call {
	return CallFunc(func(r Result) {
		switch {
		case r.Lost || a.over:
		case r.Status() != nvme.Success:
			a.end(fmt.Errorf("initiator: %s was answered with status %#x", what, r.Status()))
		default:
			next(r)
		}
	})
}

// enable sets CC.EN (Base 3.5.1, 3.1.3.5), then asks who is there.
func (a *Association) enable() {
	const enabled = 1 | 6<<16 | 4<<20 // EN, IOSQES, IOCQES
	a.Admin = a.sessions[0]
	a.Admin.Submit(nvme.NewProperty(nvme.FabricsPropertyGet, nvme.PropertyCAP, 0), nil, 0, a.step("Property Get", func(r Result) {
		a.terms.Depth = min(a.terms.Depth, int(r.DW0()&0xFFFF)) // MQES: one entry of a queue stays empty
	}))
	a.Admin.Submit(nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, enabled), nil, 0, a.step("Property Set", func(Result) {
		a.Admin.Submit(nvme.NewProperty(nvme.FabricsPropertyGet, nvme.PropertyCSTS, 0), nil, 0, a.step("Property Get", func(r Result) {
			if r.DW0()&1 == 0 {
				a.end(errors.New("initiator: the controller did not become ready"))
				return
			}
			a.identify()
		}))
	}))
}

func (a *Association) identify() {
	a.Identify(nvme.IdentifyController, 0, a.step("Identify", func(r Result) {
		if len(r.Data) != nvme.IdentifyLen {
			a.end(errors.New("initiator: Identify brought no data"))
			return
		}
		capsule := max(nvme.CapsuleBytes(r.Data)-64, 0)
		if a.RetryDelays = nvme.RetryDelays(r.Data); a.RetryDelays != [3]uint16{} {
			a.honour()
		}
		if err := a.connect(1); err != nil {
			a.end(err)
			return
		}
		a.terms.MaxData = max(a.terms.MaxData, nvme.IdentifyLen)
		a.IO = &Session{Capsule: capsule} // its Capsule is taken over by begin
	}))
}

// honour tells the controller that this host honours its retry delays (ACRE). A controller that does not know
// the feature keeps its delays to itself.
func (a *Association) honour() {
	var c nvme.Command
	c[0] = nvme.AdminSetFeatures
	c.SetDW(10, nvme.FeatureHostBehavior)
	behaviour := make([]byte, nvme.HostBehaviorLen)
	behaviour[0] = 1
	a.Admin.Submit(c, behaviour, 0, CallFunc(func(Result) {}))
}

// Identify sends an Identify.
func (a *Association) Identify(cns uint8, nsid uint32, call Call) {
	var c nvme.Command
	c[0] = nvme.AdminIdentify
	c.SetNSID(nsid)
	c.SetDW(10, uint32(cns))
	a.Admin.Submit(c, nil, nvme.IdentifyLen, call)
}

// GetLogPage asks for the first n bytes of a log page; n is a multiple of four. It tells whether it was sent.
func (a *Association) GetLogPage(id uint8, n int, call Call) bool {
	if !a.ready || a.over {
		return false
	}
	var c nvme.Command
	c[0] = nvme.AdminGetLogPage
	c.SetDW(10, uint32(id)|uint32(n/4-1)<<16)
	_, ok := a.Admin.Submit(c, nil, n, call)
	return ok
}

func (a *Association) begin() {
	capsule := a.IO.Capsule
	a.IO = a.sessions[1]
	a.IO.Capsule = capsule
	a.ready = true
	a.loop.Cancel(a.timer)
	a.answeredAt = a.loop.Now()
	if a.terms.KeepAlive > 0 {
		a.alive()
	}
	a.handler.Ready(a)
}

// alive sends a Keep Alive every quarter of the time, and ends the association once none has been answered
// for all of it (Base 3.9).
func (a *Association) alive() {
	now := a.loop.Now()
	if now-a.answeredAt >= a.terms.KeepAlive {
		a.end(errKeepAlive)
		return
	}
	if a.Admin.Free() > adminDepth/2 {
		var c nvme.Command
		c[0] = nvme.AdminKeepAlive
		a.Admin.Submit(c, nil, 0, a.step("Keep Alive", func(Result) { a.answeredAt = a.loop.Now() }))
	}
	a.timer = a.loop.Schedule(now+a.terms.KeepAlive/4, a.alive)
}

// IsReady tells whether commands may be submitted.
func (a *Association) IsReady() bool { return a.ready && !a.over }

// IsClosed tells whether the association has ended.
func (a *Association) IsClosed() bool { return a.over }

// Close ends the association; commands that are out are told Lost, the handler is not called.
func (a *Association) Close() { a.shut() }

func (a *Association) shut() bool {
	if a.over {
		return false
	}
	a.over = true
	a.loop.Cancel(a.timer)
	for n, c := range a.conns {
		if c != nil {
			c.CloseGracefully()
		}
		if s := a.sessions[n]; s != nil {
			s.lost()
		}
	}
	return true
}

func (a *Association) end(err error) {
	if a.shut() {
		a.handler.Ended(a, err)
	}
}
