package members

import (
	"encoding/json"
	"testing"

	"github.com/miekg/dns"
)

// FuzzRecord reads any value of a key: no panic, and what is taken reads back the same.
func FuzzRecord(f *testing.F) {
	f.Add("127.0.0.1:7000", []byte(`{"state":"on","cell":3,"started_ms":5,"size":2.5,"zone":1,"model":2}`))
	f.Add("[::1]:7000", []byte(`{"state":"draining"}`))
	f.Fuzz(func(t *testing.T, address string, value []byte) {
		r, err := ParseRecord(address, value)
		if err != nil {
			return
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
		if m.Unpack(b) != nil {
			return
		}
		found, err := sound(m, zone, dns.TypeSRV)
		if err != nil {
			return
		}
		var all []srv
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
				all = append(all, s)
			}
		}
		if n := lowest(all); len(n) > len(all) {
			t.Fatal("more nodes than records")
		}
	})
}
