package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/miekg/dns"

	"honeyplank/internal/heap"
)

// FuzzRecord reads any value of a key: no panic, and what is taken reads back the same.
func FuzzRecord(f *testing.F) {
	f.Add("127.0.0.1:7000", []byte(`{"state":"on","cell":3,"started_ms":5,"size":2.5,"zone":1,"model":2}`))
	f.Add("[::1]:7000", []byte(`{"state":"draining"}`))
	for _, field := range []string{"cell", "zone", "size", "started_ms"} {
		f.Add("[::1]:7000", []byte(`{"state":"on","`+field+`":-1}`))
	}
	f.Fuzz(func(t *testing.T, address string, value []byte) {
		var r Record
		var err error
		if n := heap.Bytes(func() { r, err = ParseRecord(address, value) }); n > uint64(1<<20+1000*len(value)) {
			t.Fatalf("%d bytes are allocated for a value of %d", n, len(value))
		}
		if err != nil {
			return
		}
		if r.Cell < 0 || r.Zone < 0 || r.Size < 0 || r.StartedMS < 0 || r.State != "on" && r.State != "draining" {
			t.Fatalf("%+v", r)
		}
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseRecord(address, b); err != nil || again != r {
			t.Fatalf("%+v reads back as %+v, %v", r, again, err)
		}
	})
}

// FuzzAnswer holds any message against a question, as it comes from the wire: no panic, and only records of the
// question's kind, under its name or an alias of it, are taken.
func FuzzAnswer(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion(zone, dns.TypeSRV)
	m := new(dns.Msg)
	m.SetReply(q)
	m.Answer = append(m.Answer, &dns.SRV{Hdr: dns.RR_Header{Name: zone, Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 5}, Port: 7, Weight: 1, Target: "a--c1-z2-t3.x."},
		&dns.CNAME{Hdr: dns.RR_Header{Name: zone, Rrtype: dns.TypeCNAME, Class: dns.ClassINET}, Target: "b."})
	m.Extra = append(m.Extra, &dns.A{Hdr: dns.RR_Header{Name: "a--c1-z2-t3.x.", Rrtype: dns.TypeA, Class: dns.ClassINET}, A: []byte{127, 0, 0, 1}})
	b, err := m.Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(dns.Msg)
		var found []dns.RR
		var err error
		if n := heap.Bytes(func() {
			if err = m.Unpack(b); err == nil {
				found, err = validRecord(m, zone, dns.TypeSRV)
			}
		}); n > uint64(1<<20+1000*len(b)) {
			t.Fatalf("%d bytes are allocated for a message of %d", n, len(b))
		}
		if err != nil {
			return
		}
		for _, rr := range found {
			r, ok := rr.(*dns.SRV)
			if !ok {
				t.Fatalf("%v is taken for an SRV record", rr)
			}
			if s, err := parseTarget(r.Target, r); err == nil {
				s.node.Address = r.Target
				if s.node.Cell < 0 || s.node.StartedMS < 0 || s.node.Zone < 0 {
					t.Fatalf("%+v", s)
				}
			}
		}
	})
}

// FuzzNames plays a name server that answers each question with some message, in any order and of any kind: answers
// to other questions, chains of aliases, targets without addresses, negative answers, failures. Whatever comes, the
// list is whole or fails as one: every node has an address that its target was given in this very conversation, no
// server comes twice, and only so many questions are asked.
func FuzzNames(f *testing.F) {
	f.Add([]byte{0, 0x11, 0, 0x22, 1, 0x10, 2, 0})
	f.Add([]byte{7, 0x31, 3, 1, 4, 2, 5, 3, 6, 4, 1, 1})
	f.Add([]byte{9, 0x11, 8, 0x22, 10, 3, 11, 4, 2, 5})
	f.Fuzz(func(t *testing.T, script []byte) {
		given, asked := map[string]bool{}, 0
		d := &DNS{t: DNSSettings{Name: zone}}
		d.ask = func(_, name string, kind uint16) (*dns.Msg, error) {
			if asked++; len(script) < 2 {
				return nil, errNegative{5}
			}
			q, m := new(dns.Msg), new(dns.Msg)
			q.SetQuestion(name, kind)
			m.SetReply(q)
			count := 1 + int(script[0]>>6)
			for range count {
				if len(script) < 2 {
					break
				}
				what, n := script[0]&15, script[1]
				script = script[2:]
				target := fmt.Sprintf("n%d--c%d-z1.%s", n&3, n>>4, zone)
				head := dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: uint32(n)}
				address := &dns.A{Hdr: head, A: net.IPv4(127, 0, 0, n)}
				address.Hdr.Rrtype = dns.TypeA
				note := func() { given[address.A.String()] = true }
				switch what {
				case 0, 1:
					m.Answer = append(m.Answer, &dns.SRV{Hdr: head, Port: uint16(n >> 2 & 3), Weight: uint16(n & 1), Priority: uint16(n >> 1 & 1), Target: target})
				case 2:
					m.Answer = append(m.Answer, address)
					note()
				case 3: // an address nobody asked for, along with the answer
					address.Hdr.Name = target
					m.Extra = append(m.Extra, address)
					note()
				case 4: // an alias, perhaps of itself
					m.Answer = append(m.Answer, &dns.CNAME{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeCNAME, Class: dns.ClassINET}, Target: target})
				case 5:
					m.Rcode = int(n & 7)
				case 6:
					m.Ns = append(m.Ns, &dns.SOA{Hdr: head, Minttl: uint32(n)})
				case 7:
					m.Question = []dns.Question{{Name: target, Qtype: kind, Qclass: dns.ClassINET}}
				case 8:
					m.Truncated = true
				case 9:
					m.Answer = append(m.Answer, &dns.SRV{Hdr: head, Port: uint16(n & 1), Weight: 1, Target: "no-cell." + zone})
				case 10:
					return nil, errors.New("no answer")
				case 11:
					m.Response = n&1 == 0
				case 12:
					head.Name = target
					m.Answer = append(m.Answer, &dns.SRV{Hdr: head, Port: 7, Weight: 1, Target: target})
				case 13:
					m.Question = nil
				case 14: // an address of no length that there is
					address.A = address.A[:n&15]
					m.Extra = append(m.Extra, address)
				case 15:
					head.Class = dns.ClassCHAOS
					m.Answer = append(m.Answer, &dns.SRV{Hdr: head, Port: 7, Weight: 1, Target: target})
				}
			}
			answers, err := validRecord(m, name, kind)
			if err != nil {
				return nil, err
			}
			m.Answer = answers
			return m, nil
		}
		news, _, err := d.list("any")
		if err != nil && len(news.Nodes) > 0 {
			t.Fatalf("%d nodes with %v", len(news.Nodes), err)
		}
		seen := map[string]bool{}
		for _, n := range news.Nodes {
			at, err := netip.ParseAddrPort(n.Address)
			if err != nil || at.Port() == 0 || !given[at.Addr().String()] || seen[n.Address] || n.State != "on" && n.State != "draining" {
				t.Fatalf("%+v, given were %v, %v", n, given, err)
			}
			seen[n.Address] = true
		}
		if asked > 1+2*4 {
			t.Fatalf("%d questions for one answer of at most four records", asked)
		}
	})
}
