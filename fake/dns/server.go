// Package dns is a fake name server, for use in tests, fault tests and benchmarks only. It serves the SRV, A and AAAA
// records of one name over UDP and TCP. On request it truncates answers, fails queries, gives wrong answers or does not
// answer. It has no cache and does not resolve other names.
//
// The methods of a Server may be called from any goroutine. Queries are answered on goroutines of the DNS library, one
// at a time; Close ends them.
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

// Record is the DNS data of one disk server.
type Record struct {
	Target   string // fully qualified host name
	IP       string // address of the target; empty if it has none
	Port     uint16
	Priority uint16
	Weight   uint16
}

// Faults are the faults that a server injects. If several of them exclude each other, the first in this list takes
// effect.
type Faults struct {
	// Silent makes the server answer no query.
	Silent bool
	// NoTCP makes the server close a TCP connection when a query arrives on it.
	NoTCP bool
	// Malformed makes the server answer with a message that is cut short.
	Malformed bool
	// Truncate makes the server answer over UDP with the TC flag and without records.
	Truncate bool
	// Rcode, if not 0, is the response code of answers, which then have no records.
	Rcode int
	// Empty makes the server answer NOERROR without records and without an SOA, as a faulty server does.
	Empty bool
	// NameError makes the server answer NXDOMAIN with the SOA, as if the name did not exist.
	NameError bool

	// NoAdditional makes the server omit addresses from the additional section.
	NoAdditional bool
	// OtherQuestion makes the server answer with a question section that differs from the query's.
	OtherQuestion bool
	// WrongID makes the server answer with a message ID that differs from the query's.
	WrongID bool
}

// Server is a fake name server.
type Server struct {
	// OnAnswer, if set, is called with the records of each valid answer to an SRV query. It must be set before the
	// first query.
	OnAnswer func([]Record)

	name    string
	udp     *dns.Server
	tcp     *dns.Server
	address string

	mu      sync.Mutex // guards the fields below
	records []Record
	ttl     uint32 // seconds
	faults  Faults
	queries int
}

// New starts a server for the records of name, over UDP and TCP on the same free port of the loopback address.
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

// serve answers queries until Close.
func serve(server *dns.Server) {
	_ = server.ActivateAndServe() // if it fails, queries of the clients fail too
}

// Address returns the address on which the server listens, over UDP and TCP.
func (s *Server) Address() string { return s.address }

// Close stops the server.
func (s *Server) Close() {
	_ = s.udp.Shutdown() // fails if the server was closed before
	_ = s.tcp.Shutdown()
}

// SetRecords replaces the records and sets their time to live in seconds.
func (s *Server) SetRecords(ttl uint32, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl, s.records = ttl, slices.Clone(records) // the caller may change its slice later
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Queries returns the number of queries received.
func (s *Server) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}
