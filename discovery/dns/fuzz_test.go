package dns

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"

	mdns "github.com/miekg/dns"

	"honeyplank/internal/heap"
)

// FuzzAnswer checks arbitrary messages, in wire format, as answers to a question. The code must not panic, must
// allocate a limited amount of memory, and must accept only records of the queried type, of the queried name or an
// alias of it.
func FuzzAnswer(f *testing.F) {
	b, err := wellFormedAnswer().Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(mdns.Msg)
		var found []mdns.RR
		var err error
		if n := heap.Bytes(func() {
			if err = m.Unpack(b); err == nil {
				found, err = validAnswer(m, zone, mdns.TypeSRV)
			}
		}); n > uint64(1<<20+1000*len(b)) {
			t.Fatalf("%d bytes allocated for a message of %d bytes", n, len(b))
		}
		if err == nil {
			checkRecords(t, found)
		}
	})
}

// wellFormedAnswer returns an answer with an SRV record, an alias and an address.
func wellFormedAnswer() *mdns.Msg {
	head := func(name string, recordType uint16) mdns.RR_Header {
		return mdns.RR_Header{Name: name, Rrtype: recordType, Class: mdns.ClassINET}
	}
	srv := &mdns.SRV{Hdr: head(zone, mdns.TypeSRV), Port: 7, Weight: 1, Target: "a--c1-z2-t3.x."}
	srv.Hdr.Ttl = 5
	question, m := new(mdns.Msg), new(mdns.Msg)
	question.SetQuestion(zone, mdns.TypeSRV)
	m.SetReply(question)
	m.Answer = []mdns.RR{srv, &mdns.CNAME{Hdr: head(zone, mdns.TypeCNAME), Target: "b."}}
	m.Extra = []mdns.RR{&mdns.A{Hdr: head("a--c1-z2-t3.x.", mdns.TypeA), A: []byte{127, 0, 0, 1}}}
	return m
}

// checkRecords checks that the records are SRV records, and that those which follow the convention have no negative
// numbers.
func checkRecords(t *testing.T, records []mdns.RR) {
	t.Helper()
	for _, record := range records {
		srv, ok := record.(*mdns.SRV)
		if !ok {
			t.Fatalf("record accepted as an SRV record: %v", record)
		}
		e, err := parseTarget(srv.Target, srv)
		if err == nil && (e.node.Cell < 0 || e.node.StartedMS < 0 || e.node.Zone < 0) {
			t.Fatalf("negative number in %+v", e)
		}
	}
}

// scriptedServer is a name server whose answers follow a script, which has two bytes for each record or fault.
type scriptedServer struct {
	script  []byte
	given   map[string]bool // IP addresses in its answers so far
	queries int
}

// query answers a question with up to four steps of the script. After the end of the script the answer is negative.
func (s *scriptedServer) query(_, name string, recordType uint16) (*mdns.Msg, error) {
	if s.queries++; len(s.script) < 2 {
		return nil, negativeError{5}
	}
	question, m := new(mdns.Msg), new(mdns.Msg)
	question.SetQuestion(name, recordType)
	m.SetReply(question)
	for range 1 + int(s.script[0]>>6) {
		if len(s.script) < 2 {
			break
		}
		action, n := s.script[0]&15, s.script[1]
		s.script = s.script[2:]
		if !s.add(m, name, recordType, action, n) {
			return nil, errors.New("no answer")
		}
	}
	answers, err := validAnswer(m, name, recordType)
	if err != nil {
		return nil, err
	}
	m.Answer = answers
	return m, nil
}

// add applies one step of the script to an answer. It returns false if the server does not answer.
func (s *scriptedServer) add(m *mdns.Msg, name string, recordType uint16, action, n byte) bool {
	target := fmt.Sprintf("n%d--c%d-z1.%s", n&3, n>>4, zone)
	head := mdns.RR_Header{Name: name, Rrtype: recordType, Class: mdns.ClassINET, Ttl: uint32(n)}
	address := &mdns.A{Hdr: head, A: net.IPv4(127, 0, 0, n)}
	address.Hdr.Rrtype = mdns.TypeA
	srv := &mdns.SRV{Hdr: head, Port: 7, Weight: 1, Target: target}
	switch action {
	case 0, 1:
		srv.Port, srv.Weight, srv.Priority = uint16(n>>2&3), uint16(n&1), uint16(n>>1&1)
		m.Answer = append(m.Answer, srv)
	case 2:
		m.Answer = append(m.Answer, address)
		s.given[address.A.String()] = true
	case 3: // an address that was not queried, in the additional section
		address.Hdr.Name = target
		m.Extra = append(m.Extra, address)
		s.given[address.A.String()] = true
	case 4: // an alias, possibly of itself
		alias := mdns.RR_Header{Name: name, Rrtype: mdns.TypeCNAME, Class: mdns.ClassINET}
		m.Answer = append(m.Answer, &mdns.CNAME{Hdr: alias, Target: target})
	case 5:
		m.Rcode = int(n & 7)
	case 6:
		m.Ns = append(m.Ns, &mdns.SOA{Hdr: head, Minttl: uint32(n)})
	case 7:
		m.Question = []mdns.Question{{Name: target, Qtype: recordType, Qclass: mdns.ClassINET}}
	case 8:
		m.Truncated = true
	case 9:
		srv.Port, srv.Target = uint16(n&1), "no-cell."+zone
		m.Answer = append(m.Answer, srv)
	case 10:
		return false
	case 11:
		m.Response = n&1 == 0
	case 12:
		srv.Hdr.Name = target
		m.Answer = append(m.Answer, srv)
	case 13:
		m.Question = nil
	case 14: // an address with an invalid length
		address.A = address.A[:n&15]
		m.Extra = append(m.Extra, address)
	case 15:
		srv.Hdr.Class = mdns.ClassCHAOS
		m.Answer = append(m.Answer, srv)
	}
	return true
}

// FuzzNames makes a name server answer each question with an arbitrary message: answers to other questions, chains of
// aliases, targets without addresses, negative answers and failures. In every case the list must be complete or fail as
// a whole. Every node must have an address that the name server has returned in this run, no server may be listed
// twice, and the number of questions must be within its limit.
func FuzzNames(f *testing.F) {
	f.Add([]byte{0, 0x11, 0, 0x22, 1, 0x10, 2, 0})
	f.Add([]byte{7, 0x31, 3, 1, 4, 2, 5, 3, 6, 4, 1, 1})
	f.Add([]byte{9, 0x11, 8, 0x22, 10, 3, 11, 4, 2, 5})
	f.Fuzz(func(t *testing.T, script []byte) {
		server := &scriptedServer{script: script, given: map[string]bool{}}
		c := &Client{settings: Settings{Name: zone}, query: server.query}
		update, _, err := c.readList("any")
		if err != nil && len(update.Nodes) > 0 {
			t.Fatalf("%d nodes with the error %v", len(update.Nodes), err)
		}
		seen := map[string]bool{}
		for _, n := range update.Nodes {
			server.checkAddress(t, n.Address)
			if seen[n.Address] || n.State != "on" && n.State != "draining" {
				t.Fatalf("node listed twice or with an invalid state: %+v, nodes before: %v", n, seen)
			}
			seen[n.Address] = true
		}
		if server.queries > 1+2*4 {
			t.Fatalf("%d questions, want at most 9 for an answer of at most four records", server.queries)
		}
	})
}

// checkAddress checks that an address has a port, and that the server has returned the IP address.
func (s *scriptedServer) checkAddress(t *testing.T, address string) {
	t.Helper()
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 || !s.given[at.Addr().String()] {
		t.Fatalf("address %s is not valid or not among the returned ones %v, error %v", address, s.given, err)
	}
}
