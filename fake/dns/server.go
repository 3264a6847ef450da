// Package dns is a fake name server: SRV, A and AAAA records of one name over UDP and TCP. It can truncate, fail,
// give wrong answers and be silent on command. It caches and resolves nothing, and must not be used but by tests.
//
// The methods of a Server may be called from any goroutine. Queries are answered on goroutines of the DNS library,
// one at a time; Close ends them.
package dns

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// Record is one disk server as DNS has it.
type Record struct {
	Target   string // fully qualified
	IP       string // of the target; empty: it has no address
	Port     uint16
	Priority uint16
	Weight   uint16
}

// Faults are what is wrong with a server now. Of several that exclude each other the first acts.
type Faults struct {
	// Silent answers nothing.
	Silent bool
	// NoTCP closes TCP connections at once.
	NoTCP bool
	// Malformed answers with a message that ends early.
	Malformed bool
	// Truncate sends nothing over UDP but a message with the TC flag.
	Truncate bool
	// Rcode, where not 0, is the response code, without records.
	Rcode int
	// Empty answers NOERROR without records or an SOA: an answer that is empty by mistake.
	Empty bool
	// NameError answers NXDOMAIN with the SOA: there is no such name.
	NameError bool

	// NoAdditional leaves addresses out of the additional section.
	NoAdditional bool
	// OtherQuestion answers another question than was asked.
	OtherQuestion bool
	// WrongID answers with another message id.
	WrongID bool
}

// Server is one fake name server.
type Server struct {
	// OnAnswer, where set before the first query, is called with the records of each valid answer to a query for SRV.
	OnAnswer func([]Record)

	name    string
	udp     *dns.Server
	tcp     *dns.Server
	address string

	mu      sync.Mutex // guards what follows
	records []Record
	ttl     uint32 // seconds
	faults  Faults
	queries int
}

// New serves the records of a name on one loopback port, UDP and TCP.
func New(name string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake name server: %w", err)
	}
	address := listener.Addr().String()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fake name server: %w", err), listener.Close())
	}
	s := &Server{name: dns.Fqdn(strings.ToLower(name)), ttl: 1, address: address}
	s.udp = &dns.Server{PacketConn: packets, Handler: s.handler(overUDP)}
	s.tcp = &dns.Server{Listener: listener, Handler: s.handler(overTCP)}
	go serve(s.udp)
	go serve(s.tcp)
	return s, nil
}

// serve serves until Close.
func serve(server *dns.Server) {
	_ = server.ActivateAndServe() // clients see a socket that fails
}

// Address is where it serves, over UDP and TCP.
func (s *Server) Address() string { return s.address }

// Close ends it.
func (s *Server) Close() {
	_ = s.udp.Shutdown() // fails where it was closed before
	_ = s.tcp.Shutdown()
}

// SetRecords sets the records and their time to live in seconds.
func (s *Server) SetRecords(ttl uint32, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl, s.records = ttl, slices.Clone(records) // the caller may change its own
}

// SetFaults sets what is wrong with answers from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Queries is how many queries have come.
func (s *Server) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}
