package target

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/peerlimit"
)

// Server accepts connections on a loop and drives a session for each.
type Server struct {
	// Buffers holds write data; whoever gives some back calls Release.
	Buffers eventloop.Buffers
	// DataTimeout is how long the data of a Write is waited for; nil: for ever.
	DataTimeout func(*Command) time.Duration
	// Tap, where set, is asked for a tap of each new connection.
	Tap func() func(sent bool, b []byte)
	// OnConnect, where set, is handed each new connection: a stand-in's faults.
	OnConnect func(*eventloop.Conn)
	// DropNewInput drops what comes on new and, with DropAllInput, on all connections: faults of a stand-in.
	DropNewInput, DropAllInput bool
	// Guard, where set, decides what one peer may cost; Judged hears what it took away.
	Guard *peerlimit.Guard
	OnBan func(peer, what string, span time.Duration)
	// Draining turns new connections away.
	Draining bool
	// Rejected counts connections turned away, Violations those ended for a breach of the protocol.
	Rejected, Violations int

	offer    Settings
	handler  Handler
	loop     *eventloop.Loop
	listener *eventloop.Listener
	subs     associations
	conns    map[*conn]bool
}

// conn is a connection with its session.
type conn struct {
	*eventloop.Conn
	server  *Server
	session *Session
	timer   *eventloop.Timer
	deaf    bool
	peer    string
	joined  bool          // its handshake is complete
	began   time.Duration // when the PDU under way began; 0: none is
}

// Listen starts a server at an address.
func Listen(l *eventloop.Loop, address string, offer Settings, handler Handler) (*Server, error) {
	s := &Server{offer: offer, handler: handler, loop: l, conns: map[*conn]bool{}, Guard: peerlimit.New(peerlimit.Settings{}), OnBan: func(string, string, time.Duration) {}}
	s.Buffers.MaxKept, s.Buffers.Stats = offer.MaxBuffered, &l.Stats
	s.subs.byID = map[uint16]*controller{}
	var err error
	if s.listener, err = l.Listen(address, s.accept); err != nil {
		return nil, err
	}
	s.subs.address = s.listener.Address()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.subs.address }

// Connections is how many stand now.
func (s *Server) Connections() int { return len(s.conns) }

// Release takes back the data of a Write and lets others use the room.
func (s *Server) Release(b []byte) {
	s.Buffers.Put(b)
	s.subs.grant(&s.offer, &s.Buffers)
}

// Close stops listening and ends all connections in order; then is called once they are closed. I/O queues end
// first, so that a host has read their last answers before its association ends. Open commands lapse.
func (s *Server) Close(then func()) {
	s.listener.Close()
	s.finish(func(c *conn) bool { return c.session.qid != 0 }, func() {
		s.finish(func(*conn) bool { return true }, then)
	})
}

// finish ends some connections in order and calls then once they are closed.
func (s *Server) finish(which func(*conn) bool, then func()) {
	left := 1
	closed := func() {
		if left--; left == 0 {
			then()
		}
	}
	for c := range s.conns {
		if which(c) {
			left++
			c.OnClosed = closed
			c.stop(true)
		}
	}
	closed()
}

// Cut ends all connections at once and, with listen, stops listening: what the death of a process does.
func (s *Server) Cut(listen bool) {
	if listen {
		s.listener.Close()
	}
	for c := range s.conns {
		c.stop(false)
	}
}

func (s *Server) accept(raw *eventloop.Conn) eventloop.Handler {
	if s.Draining || len(s.conns) >= s.offer.MaxConnections {
		s.Rejected++
		return nil
	}
	now := s.loop.Now()
	c := &conn{Conn: raw, server: s, deaf: s.DropNewInput, peer: raw.RemoteIP.String()}
	if v := s.Guard.Open(now, c.peer); v != peerlimit.Admit {
		s.Rejected++
		s.OnBan(c.peer, v.String(), 0)
		return nil
	}
	c.session = &Session{tear: c.tear, offer: &s.offer, subs: &s.subs, handler: s.handler, buffers: &s.Buffers, out: &raw.Output,
		flush: c.flush, end: func() { c.stop(true) }, await: c.await,
		ask:    func(n int) bool { return s.Guard.ReserveBytes(s.loop.Now(), c.peer, n) },
		begin:  func() bool { return s.Guard.BeginCommand(s.loop.Now(), c.peer) },
		done:   func() { s.Guard.EndCommand(s.loop.Now(), c.peer) },
		gotten: func(n int) { s.Guard.ReleaseBytes(s.loop.Now(), c.peer, n) }, born: now, heard: now,
		commands: map[uint16]*Command{}, tags: map[uint16]*Command{}}
	c.session.in.FromHost = true
	if s.OnConnect != nil {
		s.OnConnect(raw)
	}
	if s.Tap != nil {
		raw.Tap = s.Tap()
	}
	s.conns[c] = true
	c.watch()
	return c
}

func (c *conn) Opened(*eventloop.Conn) {}

func (c *conn) Input(_ *eventloop.Conn, b []byte) int {
	if c.deaf || c.server.DropAllInput {
		return len(b)
	}
	now := c.server.loop.Now()
	used := c.session.Input(now, b)
	if !c.joined && c.session.phase == phaseLive {
		c.joined = true
		c.server.Guard.HandshakeComplete(now, c.peer)
	}
	if used == len(b) {
		c.began = 0
	} else if used > 0 || c.began == 0 {
		c.began = now
	}
	c.flush()
	return used
}

func (c *conn) Closed(*eventloop.Conn, error) { c.gone() }

// flush sends, and bounds what a client that does not read can cost: past half the bound nothing more is
// read from it, past the bound its connection ends.
func (c *conn) flush() {
	c.Send()
	switch most := c.server.offer.MaxUnsent; {
	case c.UnsentBytes() > most:
		c.stop(false)
	case c.UnsentBytes() > most/2:
		c.Pause()
	}
}

func (c *conn) await(cmd *Command) {
	if patience := c.server.DataTimeout; patience != nil {
		c.server.loop.Schedule(cmd.Arrived+patience(cmd), func() { c.session.Expire(cmd) })
	}
}

// tear sends half of what is unsent and breaks the connection in the middle of a PDU.
func (c *conn) tear() {
	c.Output = c.Output[:len(c.Output)-c.UnsentBytes()/2]
	c.gone()
	c.CloseGracefully()
}

// stop ends the connection; in order means after its answers have been sent.
func (c *conn) stop(inOrder bool) {
	if !c.server.conns[c] {
		return
	}
	c.gone()
	if inOrder {
		c.CloseGracefully()
	} else {
		c.Conn.Close()
	}
}

func (c *conn) gone() {
	if !c.server.conns[c] {
		return
	}
	now := c.server.loop.Now()
	delete(c.server.conns, c)
	c.server.loop.Cancel(c.timer)
	c.session.Ended()
	if c.joined {
		c.server.Guard.Close(now, c.peer)
	} else {
		c.server.Guard.CloseDuringHandshake(now, c.peer)
	}
	if c.session.breached {
		c.server.Violations++
		if span := c.server.Guard.Violation(now, c.peer); span > 0 {
			c.server.OnBan(c.peer, "shut out", span)
		}
	}
}

// watch looks after deadlines: of the handshake, of keep alive, and of data that a client owes.
func (c *conn) watch() {
	now := c.server.loop.Now()
	next := now + c.server.offer.HandshakeTimeout/4
	if d := c.session.Deadline(); d > 0 && now >= d || c.began > 0 && c.server.Guard.PDUOverdue(now, c.began) {
		c.session.breached = !c.joined || c.began > 0 // a keep alive that stayed out is no breach
		c.stop(false)
		return
	} else if d > 0 {
		next = min(next, d)
	}
	if c.UnsentBytes() < c.server.offer.MaxUnsent/4 {
		c.Resume()
	}
	if c.server.conns[c] {
		c.timer = c.server.loop.Schedule(max(next, now+time.Millisecond), c.watch)
	}
}
