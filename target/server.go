package target

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/peerlimit"
)

// Server accepts connections on a loop and drives a session for each. All of it is used on the loop's goroutine.
type Server struct {
	// Buffers holds write data; whoever gives some back calls Release.
	Buffers eventloop.Buffers
	// DataTimeout is how long the data of a Write is waited for; nil: without bound.
	DataTimeout func(*Command) time.Duration
	// Tap, where set, is called for a tap of each new connection.
	Tap func() func(sent bool, b []byte)
	// OnConnect, where set, is called with each new connection, for fault injection.
	OnConnect func(*eventloop.Conn)
	// DropNewInput drops the input of new connections, DropAllInput that of all: fault injection.
	DropNewInput, DropAllInput bool
	// Guard decides what one client may cost.
	Guard *peerlimit.Guard
	// OnBan is called when Guard bans a client for a time, OnReject when it rejects a connection.
	OnBan    func(client string, duration time.Duration)
	OnReject func(client, reason string)
	// Draining rejects new connections.
	Draining bool
	// Rejected counts rejected connections, Violations those ended for a violation of the protocol.
	Rejected, Violations int

	settings     Settings
	handler      Handler
	loop         *eventloop.Loop
	listener     *eventloop.Listener
	associations associations
	conns        map[*conn]bool
}

// Listen starts a server at an address.
func Listen(l *eventloop.Loop, address string, settings Settings, handler Handler) (*Server, error) {
	s := &Server{
		settings:     settings,
		handler:      handler,
		loop:         l,
		conns:        map[*conn]bool{},
		Guard:        peerlimit.New(peerlimit.Settings{}),
		OnBan:        func(string, time.Duration) {},
		OnReject:     func(string, string) {},
		associations: associations{byID: map[uint16]*controller{}},
	}
	s.Buffers.MaxKept, s.Buffers.Stats = settings.MaxBuffered, &l.Stats
	var err error
	if s.listener, err = l.Listen(address, s.accept); err != nil {
		return nil, err
	}
	s.associations.address = s.listener.Address()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.associations.address }

// Connections is how many are open.
func (s *Server) Connections() int { return len(s.conns) }

// Release takes back the data of a Write and lets others use the buffer.
func (s *Server) Release(b []byte) {
	s.Buffers.Put(b)
	s.associations.grantTransfers(&s.settings, &s.Buffers)
}

// Close stops listening and ends all connections gracefully; closed is called once they are. I/O queues end first, so
// that a host has read their last answers before its association ends. Open commands get no answer.
func (s *Server) Close(closed func()) {
	s.listener.Close()
	isIOQueue := func(c *conn) bool { return c.session.queueID != 0 }
	s.endWhere(isIOQueue, func() {
		s.endWhere(func(*conn) bool { return true }, closed)
	})
}

// endWhere ends some connections gracefully and calls closed once they are.
func (s *Server) endWhere(selected func(*conn) bool, closed func()) {
	open := 1 // and one for the loop below
	onClosed := func() {
		if open--; open == 0 {
			closed()
		}
	}
	for c := range s.conns {
		if selected(c) {
			open++
			c.OnClosed = onClosed
			c.end()
		}
	}
	onClosed()
}

// Kill stops listening and ends all connections at once, as the death of the process would.
func (s *Server) Kill() {
	s.listener.Close()
	s.AbortConnections()
}

// AbortConnections ends all connections at once.
func (s *Server) AbortConnections() {
	for c := range s.conns {
		c.abort()
	}
}

func (s *Server) accept(raw *eventloop.Conn) eventloop.Handler {
	if s.Draining || len(s.conns) >= s.settings.MaxConnections {
		s.Rejected++
		return nil
	}
	now := s.loop.Now()
	client := raw.RemoteIP.String()
	if v := s.Guard.Open(now, client); v != peerlimit.Admit {
		s.Rejected++
		s.OnReject(client, v.String())
		return nil
	}
	c := &conn{Conn: raw, server: s, dropInput: s.DropNewInput, client: client}
	c.session = s.newSession(c, now)
	if s.OnConnect != nil {
		s.OnConnect(raw)
	}
	if s.Tap != nil {
		raw.Tap = s.Tap()
	}
	s.conns[c] = true
	c.checkDeadlines()
	return c
}

func (s *Server) newSession(c *conn, now time.Duration) *Session {
	session := &Session{
		settings:     &s.settings,
		associations: &s.associations,
		handler:      s.handler,
		buffers:      &s.Buffers,
		connection:   c,
		output:       &c.Output,
		connectedAt:  now,
		lastInput:    now,
		commands:     map[uint16]*Command{},
		transfers:    map[uint16]*Command{},
	}
	session.inputFraming.FromHost = true
	return session
}
