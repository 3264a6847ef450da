package dns

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	mdns "github.com/miekg/dns"

	"honeyplank"
	"honeyplank/discovery"
	fakedns "honeyplank/fake/dns"
)

const zone = "_honeyplank._tcp.storage.example."

func testRecords(n int) (list []fakedns.Record) {
	for i := range n {
		list = append(list, fakedns.Record{
			Target: fmt.Sprintf("n%d--c%d-z%d-t%d.storage.example.", i, i, i%3, 1000+i),
			IP:     "127.0.0.1",
			Port:   uint16(7000 + i),
			Weight: 2,
		})
	}
	return list
}

// startClient starts n fake name servers, and a Client that queries them in turn and passes its updates to the channel.
func startClient(t *testing.T, n int, change func(*Settings)) ([]*fakedns.Server, chan discovery.Update) {
	t.Helper()
	settings := Settings{
		Name:        zone,
		MinInterval: 50 * time.Millisecond,
		MaxInterval: 400 * time.Millisecond,
		Timeout:     200 * time.Millisecond,
		Seed:        1,
	}
	var servers []*fakedns.Server
	for range n {
		s, err := fakedns.New(zone)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetRecords(0, testRecords(3))
		servers, settings.Servers = append(servers, s), append(settings.Servers, s.Address())
	}
	if change != nil {
		change(&settings)
	}
	updates := make(chan discovery.Update, 1000)
	c := New(settings, func(u discovery.Update) { updates <- u })
	t.Cleanup(c.Close)
	return servers, updates
}

// TestFaultyAnswers makes a name server answer correctly and with every fault. A fault must be reported as a failure
// with its reason. An empty answer must be accepted only with an SOA record: otherwise a faulty name server could empty
// the list.
func TestFaultyAnswers(t *testing.T) {
	servers, updates := startClient(t, 1, nil)
	s := servers[0]
	for _, c := range []struct {
		name      string
		faults    fakedns.Faults
		count     int    // nodes
		errorText string // empty: no error
	}{
		{"correct", fakedns.Faults{}, 3, ""},
		{"truncated over UDP", fakedns.Faults{Truncate: true}, 3, ""},
		{"without addresses", fakedns.Faults{NoAdditional: true}, 3, ""},
		{"truncated over UDP, no TCP", fakedns.Faults{Truncate: true, NoTCP: true}, 0, "over tcp"},
		{"SERVFAIL", fakedns.Faults{Rcode: mdns.RcodeServerFailure}, 0, "SERVFAIL"},
		{"REFUSED", fakedns.Faults{Rcode: mdns.RcodeRefused}, 0, "REFUSED"},
		{"silent", fakedns.Faults{Silent: true}, 0, "over udp"},
		{"malformed", fakedns.Faults{Malformed: true}, 0, "another question"}, // its question can still be decoded
		{"another id", fakedns.Faults{WrongID: true}, 0, "over udp"},
		{"another question", fakedns.Faults{OtherQuestion: true}, 0, "another question"},
		{"no records, without an SOA", fakedns.Faults{Empty: true}, 0, "without an SOA"},
		{"no records, with an SOA", fakedns.Faults{NameError: true}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.SetFaults(c.faults)
			for range 2 { // updates of queries that were in progress when the fault was set
				select {
				case <-updates:
				case <-time.After(2 * time.Second):
					t.Fatal("no update within 2 s")
				}
			}
			if update := <-updates; c.errorText != "" {
				checkFailure(t, update, c.errorText)
			} else if update.Kind != honeyplank.Complete || len(update.Nodes) != c.count {
				t.Errorf("update of kind %d with %d nodes, error %v", update.Kind, len(update.Nodes), update.Err)
			}
		})
	}
}

// checkFailure checks that an update is a failure whose error contains a text.
func checkFailure(t *testing.T, update discovery.Update, text string) {
	t.Helper()
	if update.Kind != honeyplank.WatchFailed || update.Err == nil || !strings.Contains(update.Err.Error(), text) {
		t.Errorf("error %v, want a failure with %q", update.Err, text)
	}
}

// TestRecordConvention checks the contents decoded from records: cell, zone, start and draining, and the selection of
// the servers of a cell by priority.
func TestRecordConvention(t *testing.T) {
	servers, updates := startClient(t, 1, nil)
	<-updates
	servers[0].SetRecords(1, []fakedns.Record{
		{Target: "a--c4-z2-t1700000000.x.", IP: "127.0.0.1", Port: 1, Weight: 3},
		{Target: "b--c4.x.", IP: "127.0.0.1", Port: 2, Weight: 1, Priority: 9}, // not used: a has the lower value
		{Target: "c--c5.x.", IP: "127.0.0.1", Port: 3, Weight: 0},              // draining
		{Target: "d--c5.x.", IP: "127.0.0.1", Port: 4, Weight: 1, Priority: 9},
		{Target: "d--c8.x.", IP: "127.0.0.1", Port: 8, Weight: 1}, // both up and draining: draining wins
		{Target: "d--c8.x.", IP: "127.0.0.1", Port: 8, Weight: 0},
		{Target: "nocell.x.", IP: "127.0.0.1", Port: 5, Weight: 1},
		{Target: "e--c6.x.", Port: 6, Weight: 1}, // has no address
		{Target: "f--c7.x.", IP: "::1", Port: 7, Weight: 1},
	})
	servers[0].SetFaults(fakedns.Faults{NoAdditional: true}) // so that A, then AAAA records are queried
	var update discovery.Update
	for range 4 {
		update = <-updates
	}
	var got []string
	for _, x := range update.Nodes {
		got = append(got, fmt.Sprintf("%s %s c%d z%d t%d", x.Address, x.State, x.Cell, x.Zone, x.StartedMS))
	}
	want := []string{
		"127.0.0.1:1 on c4 z2 t1700000000000",
		"127.0.0.1:3 draining c5 z0 t0",
		"127.0.0.1:4 on c5 z0 t0",
		"127.0.0.1:8 draining c8 z0 t0",
		"[::1]:7 on c7 z0 t0",
	}
	if !slices.Equal(got, want) || len(update.Skipped) != 2 {
		t.Errorf("nodes %q\nwant %q\nskipped %v, want 2 entries", got, want, update.Skipped)
	}
}

// TestServerFailover makes the first name server fail. The second one must be queried, and must stay the preferred one
// as long as it answers.
func TestServerFailover(t *testing.T) {
	servers, updates := startClient(t, 2, nil)
	<-updates
	servers[0].SetFaults(fakedns.Faults{Rcode: mdns.RcodeServerFailure})
	for range 5 {
		if update := <-updates; update.Err != nil {
			t.Fatal(update.Err)
		}
	}
	queriesBefore := servers[0].Queries()
	for range 5 {
		<-updates
	}
	if queries := servers[0].Queries(); queries != queriesBefore {
		t.Errorf("the failing server was queried %d more times, want 0", queries-queriesBefore)
	}
}

// TestQueryIntervalBounds uses TTLs of zero and of one week. The interval between queries must be within its bounds and
// must have jitter.
func TestQueryIntervalBounds(t *testing.T) {
	const week = 7 * 24 * 3600 // seconds
	for _, c := range []struct {
		name     string
		ttl      uint32 // seconds
		min, max time.Duration
	}{
		{"zero", 0, 35 * time.Millisecond, 50 * time.Millisecond},
		{"one week", week, 300 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers, updates := startClient(t, 1, nil)
			servers[0].SetRecords(c.ttl, testRecords(2))
			<-updates
			<-updates
			seen := map[time.Duration]bool{}
			for range 5 {
				began := time.Now()
				<-updates
				took := time.Since(began)
				seen[took.Round(time.Millisecond)] = true
				if took < c.min || took > c.max+50*time.Millisecond {
					t.Errorf("interval %v, want %v to %v", took, c.min, c.max)
				}
			}
			if len(seen) < 2 {
				t.Error("the intervals have no jitter")
			}
		})
	}
}
