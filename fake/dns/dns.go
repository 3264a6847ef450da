// Package dns is a stand-in for a name server: SRV and A records over UDP and TCP, that can truncate, fail, lie
// and be silent on command.
package dns

import (
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// Record is one disk server as DNS tells of it.
type Record struct {
	Target   string // fully qualified
	IP       string
	Port     uint16
	Priority uint16
	Weight   uint16
}

// Faults are what is wrong with a server now.
type Faults struct {
	Truncate      bool // over UDP, nothing but the flag
	NoTCP         bool // TCP connections are closed at once
	Silent        bool
	Rcode         int  // instead of an answer
	Empty         bool // NOERROR without records or an SOA: an answer empty by mistake
	NameError     bool // NXDOMAIN with its SOA: truly nothing
	OtherQuestion bool // answers another question
	WrongID       bool
	NoAdditional  bool // no addresses in the additional section
	Malformed     bool
}

// Server is one stand-in. Its methods may be called from any goroutine.
type Server struct {
	// OnAnswer, where set before the first query, hears of each sound answer to the list's question.
	OnAnswer func([]Record)

	mu      sync.Mutex
	name    string
	records []Record
	ttl     uint32
	faults  Faults
	queries int
	udp     *dns.Server
	tcp     *dns.Server
	address string
}

// New serves the records of a name on one loopback port, UDP and TCP.
func New(name string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	s := &Server{name: dns.Fqdn(strings.ToLower(name)), ttl: 1, address: l.Addr().String()}
	s.udp = &dns.Server{PacketConn: p, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, true) })}
	s.tcp = &dns.Server{Listener: l, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, false) })}
	go s.udp.ActivateAndServe()
	go s.tcp.ActivateAndServe()
	return s, nil
}

// Address is where it serves, over UDP and TCP.
func (s *Server) Address() string { return s.address }

// Close ends it.
func (s *Server) Close() {
	s.udp.Shutdown()
	s.tcp.Shutdown()
}

// SetRecords gives it records and their lifetime in seconds; Fault what is wrong with it.
func (s *Server) SetRecords(ttl uint32, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl, s.records = ttl, slices.Clone(records) // the caller may change its own
}

// SetFaults sets what goes wrong with answers from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Queries is how many came.
func (s *Server) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}

func (s *Server) serve(w dns.ResponseWriter, q *dns.Msg, udp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries++
	f := s.faults
	m := new(dns.Msg)
	m.SetReply(q)
	soa := &dns.SOA{Hdr: dns.RR_Header{Name: s.name, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: s.ttl}, Ns: "ns.", Mbox: "x.", Minttl: s.ttl}
	switch {
	case f.Silent:
		return
	case f.NoTCP && !udp:
		w.Close()
		return
	case f.Malformed:
		b, _ := m.Pack()
		w.Write(append(b[:len(b)-3], 0xFF))
		return
	case f.Truncate && udp:
		m.Truncated = true
	case f.Rcode != 0:
		m.Rcode = f.Rcode
	case f.Empty:
	case f.NameError:
		m.Rcode, m.Ns = dns.RcodeNameError, []dns.RR{soa}
	default:
		s.fill(m, q.Question[0], f.NoAdditional)
		if len(m.Answer) == 0 {
			m.Ns = []dns.RR{soa}
		}
	}
	if f.OtherQuestion {
		m.Question[0].Name = "other." + m.Question[0].Name
	}
	if f.WrongID {
		m.Id++
	}
	if size := 512; udp {
		if o := q.IsEdns0(); o != nil {
			size = int(o.UDPSize())
		}
		m.Truncate(size)
	}
	if sound := !m.Truncated && !f.OtherQuestion && !f.WrongID && !f.Empty && m.Rcode != dns.RcodeServerFailure; sound && s.OnAnswer != nil && q.Question[0].Qtype == dns.TypeSRV {
		records := s.records
		if f.NameError {
			records = nil
		}
		s.OnAnswer(records)
	}
	w.WriteMsg(m)
}

func (s *Server) fill(m *dns.Msg, q dns.Question, bare bool) {
	name := strings.ToLower(q.Name)
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: s.ttl}
	}
	for _, r := range s.records {
		var a dns.RR = &dns.A{Hdr: head(r.Target, dns.TypeA), A: net.ParseIP(r.IP)}
		if strings.Contains(r.IP, ":") {
			a = &dns.AAAA{Hdr: head(r.Target, dns.TypeAAAA), AAAA: net.ParseIP(r.IP)}
		}
		if q.Qtype == dns.TypeSRV && name == s.name {
			m.Answer = append(m.Answer, &dns.SRV{Hdr: head(q.Name, dns.TypeSRV), Priority: r.Priority, Weight: r.Weight, Port: r.Port, Target: r.Target})
			if !bare && r.IP != "" {
				m.Extra = append(m.Extra, a)
			}
		}
		if q.Qtype == a.Header().Rrtype && name == strings.ToLower(r.Target) && r.IP != "" {
			m.Answer = append(m.Answer, a)
		}
	}
}
