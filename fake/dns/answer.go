package dns

import (
	"net"
	"strings"

	"github.com/miekg/dns"
)

// transport is the protocol over which a query arrived.
type transport int

const (
	overUDP transport = iota
	overTCP
)

// defaultUDPSize is the size in bytes of the largest UDP reply if the query gives no size (RFC 1035, 2.3.4).
const defaultUDPSize = 512

func (s *Server) handler(from transport) dns.Handler {
	return dns.HandlerFunc(func(w dns.ResponseWriter, query *dns.Msg) { s.answer(w, query, from) })
}

// answer answers a query, subject to the faults. Write errors are ignored because the client repeats its query.
func (s *Server) answer(w dns.ResponseWriter, query *dns.Msg, from transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries++
	switch {
	case s.faults.Silent:
		return
	case s.faults.NoTCP && from == overTCP:
		_ = w.Close()
		return
	case s.faults.Malformed:
		_, _ = w.Write(malformedReply(query))
		return
	}
	reply := s.reply(query, from)
	if from == overUDP {
		reply.Truncate(maxUDPSize(query))
	}
	if s.OnAnswer != nil && query.Question[0].Qtype == dns.TypeSRV && s.isValid(reply) {
		s.OnAnswer(s.validRecords())
	}
	_ = w.WriteMsg(reply)
}

// malformedReply returns a reply that is cut short.
func malformedReply(query *dns.Msg) []byte {
	reply := new(dns.Msg).SetReply(query)
	b, _ := reply.Pack() // cannot fail: the query was unpacked from a valid message
	return append(b[:len(b)-3], 0xFF)
}

// reply builds the reply to a query. The caller holds mu.
func (s *Server) reply(query *dns.Msg, from transport) *dns.Msg {
	reply := new(dns.Msg).SetReply(query)
	switch {
	case s.faults.Truncate && from == overUDP:
		reply.Truncated = true
	case s.faults.Rcode != 0:
		reply.Rcode = s.faults.Rcode
	case s.faults.Empty:
	case s.faults.NameError:
		reply.Rcode, reply.Ns = dns.RcodeNameError, []dns.RR{s.soa()}
	default:
		s.addRecords(reply, query.Question[0])
		if len(reply.Answer) == 0 {
			reply.Ns = []dns.RR{s.soa()}
		}
	}
	if s.faults.OtherQuestion {
		reply.Question[0].Name = "other." + reply.Question[0].Name
	}
	if s.faults.WrongID {
		reply.Id++
	}
	return reply
}

// maxUDPSize returns the size in bytes of the largest UDP reply that a query allows.
func maxUDPSize(query *dns.Msg) int {
	if option := query.IsEdns0(); option != nil {
		return int(option.UDPSize())
	}
	return defaultUDPSize
}

// isValid reports whether a client may use the content of a reply. The caller holds mu.
func (s *Server) isValid(reply *dns.Msg) bool {
	wrong := s.faults.OtherQuestion || s.faults.WrongID || s.faults.Empty
	return !wrong && !reply.Truncated && reply.Rcode != dns.RcodeServerFailure
}

// validRecords returns the records that a valid reply contains. The caller holds mu.
func (s *Server) validRecords() []Record {
	if s.faults.NameError {
		return nil
	}
	return s.records
}

// addRecords adds the records that answer a question. The caller holds mu.
func (s *Server) addRecords(reply *dns.Msg, question dns.Question) {
	name := strings.ToLower(question.Name)
	for _, r := range s.records {
		address := s.addressRecord(r)
		if question.Qtype == dns.TypeSRV && name == s.name {
			reply.Answer = append(reply.Answer, &dns.SRV{
				Hdr:      s.rrHeader(question.Name, dns.TypeSRV),
				Priority: r.Priority,
				Weight:   r.Weight,
				Port:     r.Port,
				Target:   r.Target,
			})
			if r.IP != "" && !s.faults.NoAdditional {
				reply.Extra = append(reply.Extra, address)
			}
		}
		if question.Qtype == address.Header().Rrtype && name == strings.ToLower(r.Target) && r.IP != "" {
			reply.Answer = append(reply.Answer, address)
		}
	}
}

// addressRecord returns the A or AAAA record of a target.
func (s *Server) addressRecord(r Record) dns.RR {
	ip := net.ParseIP(r.IP)
	if strings.Contains(r.IP, ":") {
		return &dns.AAAA{Hdr: s.rrHeader(r.Target, dns.TypeAAAA), AAAA: ip}
	}
	return &dns.A{Hdr: s.rrHeader(r.Target, dns.TypeA), A: ip}
}

func (s *Server) soa() dns.RR {
	return &dns.SOA{Hdr: s.rrHeader(s.name, dns.TypeSOA), Ns: "ns.", Mbox: "x.", Minttl: s.ttl}
}

func (s *Server) rrHeader(name string, rrType uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: rrType, Class: dns.ClassINET, Ttl: s.ttl}
}
