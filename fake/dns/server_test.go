package dns

import (
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const (
	zone = "disks.example."
	// queryTimeout limits the wait for an answer that is expected.
	queryTimeout = 5 * time.Second
	// noReplyTimeout limits the wait of a query for which no answer is expected.
	noReplyTimeout = 100 * time.Millisecond
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

// query queries records over the given network, "udp" or "tcp".
func query(s *Server, network, name string, rrType uint16, timeout time.Duration) (*dns.Msg, error) {
	client := &dns.Client{Net: network, Timeout: timeout}
	reply, _, err := client.Exchange(new(dns.Msg).SetQuestion(name, rrType), s.Address())
	return reply, err
}

// TestRecords checks that queries for each type of record are answered over UDP and TCP.
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

// expectRecords checks the number of records in the answer and additional sections of a reply. Only a reply without
// answer records has an SOA.
func expectRecords(t *testing.T, reply *dns.Msg, answer, extra int) {
	t.Helper()
	if len(reply.Answer) != answer || len(reply.Extra) != extra {
		t.Errorf("wrong number of records in the answer or additional section: %v", reply)
	}
	if hasSOA := len(reply.Ns) == 1; hasSOA != (answer == 0) {
		t.Errorf("%d records in the authority section, want 1 if and only if there is no answer", len(reply.Ns))
	}
}

// TestSRV checks that the fields of an SRV record are those that were set.
func TestSRV(t *testing.T) {
	s := newTestServer(t)
	reply, err := query(s, "udp", zone, dns.TypeSRV, queryTimeout)
	if err != nil {
		t.Fatal(err)
	}
	srv, ok := reply.Answer[0].(*dns.SRV)
	if !ok {
		t.Fatalf("the first answer is %v, want an SRV record", reply.Answer[0])
	}
	got := Record{Target: srv.Target, IP: "127.0.0.1", Port: srv.Port, Priority: srv.Priority, Weight: srv.Weight}
	if got != testRecords[0] || srv.Hdr.Ttl != 7 {
		t.Errorf("the SRV record is %v, which differs from the record that was set", srv)
	}
}

// TestFaults checks how each fault changes the reply to a query over UDP.
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
				t.Errorf("the reply does not show the fault: %v", reply)
			}
		})
	}
}

// TestNoReply checks the faults after which the client receives no reply, or one that it ignores.
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
			if reply, err := query(s, c.network, zone, dns.TypeSRV, noReplyTimeout); err == nil {
				t.Errorf("the client accepted the reply %v, want an error", reply)
			}
			if n := s.Queries(); n != 1 {
				t.Errorf("%d queries were counted, want 1", n)
			}
		})
	}
}

// TestOnAnswer checks that OnAnswer is called for valid answers to SRV queries only.
func TestOnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		rrType uint16
		want   []int // the number of records of each call
	}{
		"no faults":      {Faults{}, dns.TypeSRV, []int{2}},
		"name error":     {Faults{NameError: true}, dns.TypeSRV, []int{0}},
		"address":        {Faults{}, dns.TypeA, nil},
		"truncated":      {Faults{Truncate: true}, dns.TypeSRV, nil},
		"empty":          {Faults{Empty: true}, dns.TypeSRV, nil},
		"server failure": {Faults{Rcode: dns.RcodeServerFailure}, dns.TypeSRV, nil},
		"other question": {Faults{OtherQuestion: true}, dns.TypeSRV, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := onAnswerCounts(t, c.faults, c.rrType); !slices.Equal(got, c.want) {
				t.Errorf("OnAnswer was called with %v records, want %v", got, c.want)
			}
		})
	}
}

// onAnswerCounts returns the number of records of each call of OnAnswer for one query.
func onAnswerCounts(t *testing.T, faults Faults, rrType uint16) []int {
	t.Helper()
	s := newTestServer(t)
	counts := make(chan int, 10)
	s.OnAnswer = func(records []Record) { counts <- len(records) }
	s.SetFaults(faults)
	if _, err := query(s, "udp", zone, rrType, queryTimeout); err != nil {
		t.Fatal(err)
	}
	var numbers []int
	for len(counts) > 0 {
		numbers = append(numbers, <-counts)
	}
	return numbers
}

// TestMalformed checks that the client cannot take a malformed reply for a valid one: unpacking fails, or the question
// differs.
func TestMalformed(t *testing.T) {
	s := newTestServer(t)
	s.SetFaults(Faults{Malformed: true})
	reply, err := query(s, "udp", zone, dns.TypeSRV, queryTimeout)
	asked := dns.Question{Name: zone, Qtype: dns.TypeSRV, Qclass: dns.ClassINET}
	if err == nil && len(reply.Question) == 1 && reply.Question[0] == asked {
		t.Errorf("a malformed reply was unpacked with the question of the query: %v", reply)
	}
}
