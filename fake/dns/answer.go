package dns

import (
	"net"
	"strings"

	"github.com/miekg/dns"
)

// transport is how a query has come.
type transport int

const (
	overUDP transport = iota
	overTCP
)

// defaultUDPSize is the largest UDP message where a query names none (RFC 1035, 2.3.4).
const defaultUDPSize = 512

func (s *Server) handler(from transport) dns.Handler {
	return dns.HandlerFunc(func(w dns.ResponseWriter, query *dns.Msg) { s.answer(w, query, from) })
}

// answer answers a query, as the faults say. Failed writes are left to the client, which asks again.
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
	if s.OnAnswer != nil && query.Question[0].Qtype == dns.TypeSRV && s.isSound(reply) {
		s.OnAnswer(s.answered())
	}
	_ = w.WriteMsg(reply)
}

// malformedReply is a reply that ends early.
func malformedReply(query *dns.Msg) []byte {
	reply := new(dns.Msg).SetReply(query)
	b, _ := reply.Pack() // it was unpacked before
	return append(b[:len(b)-3], 0xFF)
}

// reply is the reply to a query. The caller holds mu.
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

// maxUDPSize is the largest reply over UDP that a query allows.
func maxUDPSize(query *dns.Msg) int {
	if option := query.IsEdns0(); option != nil {
		return int(option.UDPSize())
	}
	return defaultUDPSize
}

// isSound reports whether a client may believe a reply. The caller holds mu.
func (s *Server) isSound(reply *dns.Msg) bool {
	wrong := s.faults.OtherQuestion || s.faults.WrongID || s.faults.Empty
	return !wrong && !reply.Truncated && reply.Rcode != dns.RcodeServerFailure
}

// answered is the records that a valid reply has. The caller holds mu.
func (s *Server) answered() []Record {
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

// addressRecord is the A or AAAA record of a target.
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
