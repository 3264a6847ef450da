package dns

import (
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const (
	zone = "disks.example."
	// queryTimeout is how long a query waits for an answer that comes.
	queryTimeout = 5 * time.Second
	// silence is how long a query waits where no answer is to come.
	silence = 100 * time.Millisecond
)

var testRecords = []Record{
	{Target: "a.example.", IP: "127.0.0.1", Port: 1001, Priority: 1, Weight: 2},
	{Target: "b.example.", IP: "::1", Port: 1002},
}

func newTestServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(zone)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetRecords(7, testRecords)
	return s
}

// query asks for records over "udp" or "tcp".
func query(s *Server, network, name string, rrType uint16, timeout time.Duration) (*dns.Msg, error) {
	client := &dns.Client{Net: network, Timeout: timeout}
	reply, _, err := client.Exchange(new(dns.Msg).SetQuestion(name, rrType), s.Address())
	return reply, err
}

// TestRecords asks for each type of record over UDP and TCP.
func TestRecords(t *testing.T) {
	s := newTestServer(t)
	for name, c := range map[string]struct {
		name          string
		rrType        uint16
		answer, extra int
	}{
		"SRV":               {zone, dns.TypeSRV, 2, 2},
		"SRV in other case": {"Disks.Example.", dns.TypeSRV, 2, 2},
		"A":                 {"a.example.", dns.TypeA, 1, 0},
		"AAAA":              {"b.example.", dns.TypeAAAA, 1, 0},
		"A of an IPv6 host": {"b.example.", dns.TypeA, 0, 0},
		"other name":        {"other.example.", dns.TypeSRV, 0, 0},
	} {
		for _, network := range []string{"udp", "tcp"} {
			t.Run(name+" over "+network, func(t *testing.T) {
				reply, err := query(s, network, c.name, c.rrType, queryTimeout)
				if err != nil {
					t.Fatal(err)
				}
				expectRecords(t, reply, c.answer, c.extra)
			})
		}
	}
}

// expectRecords checks how many records a reply has in its sections; one without an answer has an SOA.
func expectRecords(t *testing.T, reply *dns.Msg, answer, extra int) {
	t.Helper()
	if len(reply.Answer) != answer || len(reply.Extra) != extra {
		t.Errorf("%v", reply)
	}
	if hasSOA := len(reply.Ns) == 1; hasSOA != (answer == 0) {
		t.Errorf("%d records in the authority section", len(reply.Ns))
	}
}

// TestSRV checks the fields of an SRV record.
func TestSRV(t *testing.T) {
	s := newTestServer(t)
	reply, err := query(s, "udp", zone, dns.TypeSRV, queryTimeout)
	if err != nil {
		t.Fatal(err)
	}
	srv, ok := reply.Answer[0].(*dns.SRV)
	if !ok {
		t.Fatalf("%v", reply.Answer[0])
	}
	got := Record{Target: srv.Target, IP: "127.0.0.1", Port: srv.Port, Priority: srv.Priority, Weight: srv.Weight}
	if got != testRecords[0] || srv.Hdr.Ttl != 7 {
		t.Errorf("%v", srv)
	}
}

// TestFaults has each fault change the reply to a query over UDP.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		want   func(*dns.Msg) bool
	}{
		"truncate": {Faults{Truncate: true}, func(m *dns.Msg) bool { return m.Truncated && len(m.Answer) == 0 }},
		"rcode": {Faults{Rcode: dns.RcodeServerFailure}, func(m *dns.Msg) bool {
			return m.Rcode == dns.RcodeServerFailure && len(m.Answer) == 0
		}},
		"empty": {Faults{Empty: true}, func(m *dns.Msg) bool {
			return m.Rcode == dns.RcodeSuccess && len(m.Answer) == 0 && len(m.Ns) == 0
		}},
		"name error": {Faults{NameError: true}, func(m *dns.Msg) bool {
			return m.Rcode == dns.RcodeNameError && len(m.Answer) == 0 && len(m.Ns) == 1
		}},
		"no additional section": {Faults{NoAdditional: true}, func(m *dns.Msg) bool {
			return len(m.Answer) == 2 && len(m.Extra) == 0
		}},
		"other question": {Faults{OtherQuestion: true}, func(m *dns.Msg) bool {
			return m.Question[0].Name == "other."+zone
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.SetFaults(c.faults)
			reply, err := query(s, "udp", zone, dns.TypeSRV, queryTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if !c.want(reply) {
				t.Errorf("%v", reply)
			}
		})
	}
}

// TestNoReply has faults by which a query has no reply that the client takes.
func TestNoReply(t *testing.T) {
	for name, c := range map[string]struct {
		faults  Faults
		network string
	}{
		"silent":   {Faults{Silent: true}, "udp"},
		"no TCP":   {Faults{NoTCP: true}, "tcp"},
		"wrong id": {Faults{WrongID: true}, "udp"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.SetFaults(c.faults)
			if reply, err := query(s, c.network, zone, dns.TypeSRV, silence); err == nil {
				t.Errorf("%v", reply)
			}
			if n := s.Queries(); n != 1 {
				t.Errorf("%d queries", n)
			}
		})
	}
}

// TestOnAnswer is called for sound answers to queries for SRV alone.
func TestOnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		rrType uint16
		want   []int // numbers of records, one for each call
	}{
		"sound":          {Faults{}, dns.TypeSRV, []int{2}},
		"name error":     {Faults{NameError: true}, dns.TypeSRV, []int{0}},
		"address":        {Faults{}, dns.TypeA, nil},
		"truncated":      {Faults{Truncate: true}, dns.TypeSRV, nil},
		"empty":          {Faults{Empty: true}, dns.TypeSRV, nil},
		"server failure": {Faults{Rcode: dns.RcodeServerFailure}, dns.TypeSRV, nil},
		"other question": {Faults{OtherQuestion: true}, dns.TypeSRV, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := answersTold(t, c.faults, c.rrType); !slices.Equal(got, c.want) {
				t.Errorf("answers of %v records, want %v", got, c.want)
			}
		})
	}
}

// answersTold is the numbers of records with which OnAnswer is called for one query.
func answersTold(t *testing.T, faults Faults, rrType uint16) []int {
	t.Helper()
	s := newTestServer(t)
	told := make(chan int, 10)
	s.OnAnswer = func(records []Record) { told <- len(records) }
	s.SetFaults(faults)
	if _, err := query(s, "udp", zone, rrType, queryTimeout); err != nil {
		t.Fatal(err)
	}
	var numbers []int
	for len(told) > 0 {
		numbers = append(numbers, <-told)
	}
	return numbers
}

// TestMalformed has a reply that ends early: it can't be read, or has another question.
func TestMalformed(t *testing.T) {
	s := newTestServer(t)
	s.SetFaults(Faults{Malformed: true})
	reply, err := query(s, "udp", zone, dns.TypeSRV, queryTimeout)
	asked := dns.Question{Name: zone, Qtype: dns.TypeSRV, Qclass: dns.ClassINET}
	if err == nil && len(reply.Question) == 1 && reply.Question[0] == asked {
		t.Errorf("%v", reply)
	}
}
