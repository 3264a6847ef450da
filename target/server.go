package target

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/peerlimit"
)

// Server accepts connections on an event loop and drives a session for each. Its fields and methods are used only on
// the goroutine of the loop.
type Server struct {
	// Buffers provides the buffers for write data. The owner of a buffer returns it with Release.
	Buffers eventloop.Buffers
	// DataTimeout returns the timeout for the data of a Write, from the arrival of the command; nil: no timeout.
	DataTimeout func(*Command) time.Duration
	// Tap, if not nil, is called for each new connection and returns a function that receives the bytes of the
	// connection.
	Tap func() func(sent bool, b []byte)
	// OnConnect, if not nil, is called with each new connection, for fault injection.
	OnConnect func(*eventloop.Conn)
	// DropNewInput discards the input of new connections, DropAllInput that of all connections, for fault injection.
	DropNewInput, DropAllInput bool
	// Guard enforces the limits of each client.
	Guard *peerlimit.Guard
	// OnBan is called when Guard bans a client, OnReject when it rejects a connection.
	OnBan    func(client string, duration time.Duration)
	OnReject func(client, reason string)
	// Draining makes the server reject new connections.
	Draining bool
	// Rejected is the number of rejected connections, Violations the number of connections that were closed because the
	// client violated the protocol.
	Rejected, Violations int

	settings     Settings
	handler      Handler
	loop         *eventloop.Loop
	listener     *eventloop.Listener
	associations associations
	conns        map[*conn]bool
}

// Listen starts a server that listens on an IP address and port.
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

// Address returns the address and port on which the server listens.
func (s *Server) Address() string { return s.associations.address }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.conns) }

// Release returns the data buffer of a Write, and sends the R2Ts of Writes that waited for a buffer.
func (s *Server) Release(b []byte) {
	s.Buffers.Put(b)
	s.associations.grantTransfers(&s.settings, &s.Buffers)
}

// Close stops listening and closes all connections gracefully. It calls closed when they are closed. The connections of
// I/O queues are closed first, so that a host has read their last answers before its association ends. Open commands
// are not answered.
func (s *Server) Close(closed func()) {
	s.listener.Close()
	isIOQueue := func(c *conn) bool { return c.session.queueID != 0 }
	s.closeSelected(isIOQueue, func() {
		s.closeSelected(func(*conn) bool { return true }, closed)
	})
}

// closeSelected closes the selected connections gracefully and calls closed when they are closed.
func (s *Server) closeSelected(selected func(*conn) bool, closed func()) {
	open := 1 // one more than the connections, so that closed is not called before the loop below has ended
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

// Kill stops listening and closes all connections immediately, as if the process had been killed.
func (s *Server) Kill() {
	s.listener.Close()
	s.AbortConnections()
}

// AbortConnections closes all connections immediately.
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
