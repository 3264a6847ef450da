package etcd

import (
	"fmt"
	"net"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/discovery"
	fakeetcd "honeyplank/fake/etcd"
)

const prefix = "/honeyplank/nodes/"

// watch starts a client of a fake etcd; its updates come on the channel.
func watch(t *testing.T) (*fakeetcd.Server, *Client, chan discovery.Update) {
	t.Helper()
	s, err := fakeetcd.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := make(chan discovery.Update, 100)
	settings := Settings{
		Endpoints: []string{s.Address()},
		UserAgent: "test",
		Prefix:    prefix,
		MaxNodes:  20000,
		Timeout:   400 * time.Millisecond,
	}
	c := New(settings, func(n discovery.Update) { out <- n })
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c, out
}

func next(t *testing.T, updates chan discovery.Update, kind honeyplank.ListKind) discovery.Update {
	t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case n := <-updates:
			if n.Kind == honeyplank.Delta && len(n.Nodes)+len(n.Skipped) == 0 && n.Err == nil && kind >= 0 {
				continue // the watch is created, or progress
			}
			if n.Kind != kind {
				t.Fatalf("update of kind %d, want %d: %+v", n.Kind, kind, n)
			}
			return n
		case <-timeout:
			t.Fatalf("no update of kind %d", kind)
		}
	}
}

// on and draining are records of a cell.
func on(cell int) []byte       { return fmt.Appendf(nil, `{"state":"on","cell":%d}`, cell) }
func draining(cell int) []byte { return fmt.Appendf(nil, `{"state":"draining","cell":%d}`, cell) }

// Of the fleet that watchFleet lists.
const (
	fleetSize   = 2500 // more than one page
	firstServer = "127.0.0.1:1000"
)

// server is the address of a server of the fleet, from 0.
func server(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

// watchFleet starts a watch of a list of more than one page, all in cell 3, and reads the complete list.
func watchFleet(t *testing.T) (*fakeetcd.Server, *Client, chan discovery.Update) {
	t.Helper()
	s, c, updates := watch(t)
	for i := range fleetSize {
		s.Set(prefix+server(i), []byte(`{"state":"on","cell":3,"started_ms":5}`))
	}
	s.Set("/honeyplank/other", []byte("not of the list"))
	c.Watch()
	n := next(t, updates, honeyplank.Complete)
	if len(n.Nodes) != fleetSize || n.Nodes[0].Cell != 3 || n.Nodes[0].StartedMS != 5 {
		t.Fatalf("%d nodes", len(n.Nodes))
	}
	return s, c, updates
}

// breakWatch breaks a watch that is created: the removal of the first server has arrived on it.
func breakWatch(t *testing.T, s *fakeetcd.Server, updates chan discovery.Update) {
	t.Helper()
	s.Delete(prefix + firstServer)
	next(t, updates, honeyplank.Delta)
	s.BreakWatches()
	next(t, updates, honeyplank.WatchFailed)
}

// TestFollow reads a list of more than one page, follows its changes, and reports that the watch broke.
func TestFollow(t *testing.T) {
	s, _, updates := watchFleet(t)
	s.Set(prefix+firstServer, draining(3))
	n := next(t, updates, honeyplank.Delta).Nodes
	if len(n) != 1 || n[0].Address != firstServer || n[0].State != "draining" {
		t.Errorf("%+v", n)
	}
	s.Delete(prefix + firstServer)
	if n := next(t, updates, honeyplank.Delta).Nodes; len(n) != 1 || !n[0].Removed || n[0].Cell != 3 {
		t.Errorf("%+v", n)
	}
	s.BreakWatches()
	if n := next(t, updates, honeyplank.WatchFailed); n.Err == nil || len(n.Nodes) > 0 {
		t.Errorf("%+v", n)
	}
}

// TestResume has the list change while nobody watches: the next watch resumes from the last revision passed on.
func TestResume(t *testing.T) {
	s, c, updates := watchFleet(t)
	breakWatch(t, s, updates)
	s.Set(prefix+firstServer, on(9))
	s.Delete(prefix + server(1))
	c.Watch()
	if n := next(t, updates, honeyplank.Delta).Nodes; len(n) != 2 || n[0].Cell != 9 || !n[1].Removed {
		t.Errorf("after the break, from the last revision passed on: %+v", n)
	}
}

// TestCompacted has the history of changes compacted while nobody watches: the complete list is read again.
func TestCompacted(t *testing.T) {
	s, c, updates := watchFleet(t)
	breakWatch(t, s, updates)
	s.Delete(prefix + server(1))
	s.Delete(prefix + server(2))
	s.Set(prefix+firstServer, draining(9))
	s.Set(prefix+firstServer, draining(8))
	s.CompactHistory() // the drain and the loss are history that is gone
	c.Watch()
	n := next(t, updates, honeyplank.Complete)
	if len(n.Nodes) != fleetSize-2 || n.Nodes[0].State != "draining" || n.Nodes[0].Cell != 8 {
		t.Errorf("after compaction: %d nodes, the first %+v", len(n.Nodes), n.Nodes[0])
	}
}

// TestOneRevision has several keys change in one revision: the changes come in one update.
func TestOneRevision(t *testing.T) {
	s, _, updates := watchFleet(t)
	s.PutAll(map[string][]byte{
		prefix + server(3): nil,
		prefix + server(4): []byte(`{"state":"draining"}`),
		prefix + server(5): nil,
	})
	if n := next(t, updates, honeyplank.Delta).Nodes; len(n) != 3 {
		t.Errorf("of one revision, %d changes came together", len(n))
	}
}

// TestStopWatch fetches the complete list beside a watch and ends the watch: no update comes any more.
func TestStopWatch(t *testing.T) {
	s, c, updates := watchFleet(t)
	c.Fetch()
	next(t, updates, honeyplank.Complete)
	c.StopWatch()
	s.Set(prefix+firstServer, draining(9))
	select {
	case n := <-updates:
		t.Errorf("an update of a watch that was ended: %+v", n)
	case <-time.After(100 * time.Millisecond):
	}
}

// TestInvalidRecords has values that are not valid: they change nothing and are reported as skipped.
func TestInvalidRecords(t *testing.T) {
	s, c, updates := watch(t)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	invalid := []string{"", "{", `{"state":"up"}`, `{"state":"on","cell":-1}`, `{"state":"on","started_ms":-5}`}
	for i, value := range invalid {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 2+i), []byte(value))
	}
	s.Set(prefix+"no address", []byte(`{"state":"on"}`))
	c.Watch()
	if n := next(t, updates, honeyplank.Complete); len(n.Nodes) != 1 || len(n.Skipped) != 6 {
		t.Errorf("%d nodes, %d skipped", len(n.Nodes), len(n.Skipped))
	}
	s.Set(prefix+"127.0.0.1:1", []byte("gibberish"))
	if n := next(t, updates, honeyplank.Delta); len(n.Nodes) != 0 || len(n.Skipped) != 1 {
		t.Errorf("%+v", n)
	}
}

// TestUnreachable watches where calls are refused, and where nobody listens: each Watch ends in an update.
func TestUnreachable(t *testing.T) {
	s, c, updates := watch(t)
	s.SetUnavailable(true)
	for range 3 {
		c.Watch()
		next(t, updates, honeyplank.WatchFailed)
	}
	s.Close()
	c.Watch()
	next(t, updates, honeyplank.WatchFailed)
}

// TestSilentWatch has a watch stay open and deliver nothing, not even progress: it counts as broken, and what was
// missed comes with the next.
func TestSilentWatch(t *testing.T) {
	s, c, updates := watch(t)
	c.Watch()
	next(t, updates, honeyplank.Complete)
	time.Sleep(time.Second) // a watch without events that answers is not broken
	s.SetSilent(true)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	if n := next(t, updates, honeyplank.WatchFailed); n.Err == nil {
		t.Error("no reason")
	}
	s.SetSilent(false)
	c.Watch()
	if n := next(t, updates, honeyplank.Delta); len(n.Nodes) != 1 {
		t.Errorf("%+v", n)
	}
}

// TestWatchNotCreated has the next endpoint take a call and not create a watch: that is broken after
// Settings.Timeout, and the endpoint after it is used.
func TestWatchNotCreated(t *testing.T) {
	for name, newEndpoint := range map[string]func(t *testing.T, s *fakeetcd.Server) string{
		"no handshake": func(t *testing.T, _ *fakeetcd.Server) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			return l.Addr().String()
		},
		"never created": func(_ *testing.T, s *fakeetcd.Server) string {
			s.SetWithholdWatches(true)
			return s.Address()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, c, updates := watch(t)
			c.Watch()
			next(t, updates, honeyplank.Complete)
			s.Set(prefix+"127.0.0.1:2", []byte(`{"state":"on"}`))
			next(t, updates, honeyplank.Delta) // the watch is created
			s.BreakWatches()
			next(t, updates, honeyplank.WatchFailed)
			c.settings.Endpoints = append(c.settings.Endpoints, newEndpoint(t, s))
			c.Watch()
			next(t, updates, honeyplank.WatchFailed)
			s.SetWithholdWatches(false)
			s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
			c.Watch()
			if n := next(t, updates, honeyplank.Delta); len(n.Nodes) != 1 {
				t.Errorf("%+v", n)
			}
		})
	}
}

// TestDelayedEvents has events delivered late, while its progress is requested: none is missed.
func TestDelayedEvents(t *testing.T) {
	s, c, updates := watch(t)
	c.Watch()
	next(t, updates, honeyplank.Complete)
	s.SetWatchDelay(600 * time.Millisecond) // three times as long as it takes until progress is requested
	for i := range 3 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1+i), []byte(`{"state":"on"}`))
		if n := next(t, updates, honeyplank.Delta); len(n.Nodes) != 1 {
			t.Errorf("%+v", n)
		}
	}
}

// TestLongHistory has a watch resume after thousands of revisions: etcd sends them in several responses, each with
// the present revision in its header. None may be taken for one that was passed on before.
func TestLongHistory(t *testing.T) {
	s, c, updates := watch(t)
	c.Watch()
	next(t, updates, honeyplank.Complete)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	next(t, updates, honeyplank.Delta) // the watch is created
	s.BreakWatches()
	next(t, updates, honeyplank.WatchFailed)
	for i := range 3500 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1000+i), []byte(`{"state":"on"}`))
	}
	c.Watch()
	received := 0
	for received < 3500 {
		received += len(next(t, updates, honeyplank.Delta).Nodes)
	}
	if received != 3500 {
		t.Errorf("%d of 3500 received", received)
	}
}
