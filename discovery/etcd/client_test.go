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

// startClient starts a fake etcd and a Client of it, which passes its updates to the channel.
func startClient(t *testing.T) (*fakeetcd.Server, *Client, chan discovery.Update) {
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
	c := New(settings, func(update discovery.Update) { out <- update })
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c, out
}

// nextUpdate returns the next update and checks its kind. It skips updates of a watch without changes.
func nextUpdate(t *testing.T, updates chan discovery.Update, kind honeyplank.ListKind) discovery.Update {
	t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case got := <-updates:
			if got.Kind == honeyplank.Delta && len(got.Nodes)+len(got.Skipped) == 0 && got.Err == nil && kind >= 0 {
				continue // confirmation of the watch, or a progress notification
			}
			if got.Kind != kind {
				t.Fatalf("update of kind %d, want %d: %+v", got.Kind, kind, got)
			}
			return got
		case <-timeout:
			t.Fatalf("no update of kind %d within 5 s", kind)
		}
	}
}

// onRecord and drainingRecord return a record with a cell.
func onRecord(cell int) []byte       { return fmt.Appendf(nil, `{"state":"on","cell":%d}`, cell) }
func drainingRecord(cell int) []byte { return fmt.Appendf(nil, `{"state":"draining","cell":%d}`, cell) }

// The fleet that watchFleet lists.
const (
	fleetSize   = 2500 // more than one page
	firstServer = "127.0.0.1:1000"
)

// serverAddress returns the address of server i of the fleet, from 0.
func serverAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

// watchFleet starts a watch of a list that has more than one page, with all servers in cell 3, and reads the complete
// list.
func watchFleet(t *testing.T) (*fakeetcd.Server, *Client, chan discovery.Update) {
	t.Helper()
	s, c, updates := startClient(t)
	for i := range fleetSize {
		s.Set(prefix+serverAddress(i), []byte(`{"state":"on","cell":3,"started_ms":5}`))
	}
	s.Set("/honeyplank/other", []byte("not of the list"))
	c.Watch()
	update := nextUpdate(t, updates, honeyplank.Complete)
	if len(update.Nodes) != fleetSize || update.Nodes[0].Cell != 3 || update.Nodes[0].StartedMS != 5 {
		t.Fatalf("complete list of %d nodes, or the first has a wrong cell or start", len(update.Nodes))
	}
	return s, c, updates
}

// breakWatch breaks the watch, after the removal of the first server has arrived on it.
func breakWatch(t *testing.T, s *fakeetcd.Server, updates chan discovery.Update) {
	t.Helper()
	s.Delete(prefix + firstServer)
	nextUpdate(t, updates, honeyplank.Delta)
	s.BreakWatches()
	nextUpdate(t, updates, honeyplank.WatchFailed)
}

// TestWatchDeliversChanges reads a list that has more than one page. The watch must deliver a change and a removal, and
// its failure must be reported.
func TestWatchDeliversChanges(t *testing.T) {
	s, _, updates := watchFleet(t)
	s.Set(prefix+firstServer, drainingRecord(3))
	got := nextUpdate(t, updates, honeyplank.Delta).Nodes
	if len(got) != 1 || got[0].Address != firstServer || got[0].State != "draining" {
		t.Errorf("want the first server as draining, got %+v", got)
	}
	s.Delete(prefix + firstServer)
	if got := nextUpdate(t, updates, honeyplank.Delta).Nodes; len(got) != 1 || !got[0].Removed || got[0].Cell != 3 {
		t.Errorf("want the first server as removed, got %+v", got)
	}
	s.BreakWatches()
	if got := nextUpdate(t, updates, honeyplank.WatchFailed); got.Err == nil || len(got.Nodes) > 0 {
		t.Errorf("update without an error, or with nodes: %+v", got)
	}
}

// TestWatchResumesFromLastRevision changes the list after the watch is broken. The next watch must resume after the
// last revision passed on, so that no change is lost.
func TestWatchResumesFromLastRevision(t *testing.T) {
	s, c, updates := watchFleet(t)
	breakWatch(t, s, updates)
	s.Set(prefix+firstServer, onRecord(9))
	s.Delete(prefix + serverAddress(1))
	c.Watch()
	if got := nextUpdate(t, updates, honeyplank.Delta).Nodes; len(got) != 2 || got[0].Cell != 9 || !got[1].Removed {
		t.Errorf("changes after the watch has resumed: %+v", got)
	}
}

// TestListReadAfterCompaction compacts the history of changes after the watch is broken. The next watch must read the
// complete list.
func TestListReadAfterCompaction(t *testing.T) {
	s, c, updates := watchFleet(t)
	breakWatch(t, s, updates)
	s.Delete(prefix + serverAddress(1))
	s.Delete(prefix + serverAddress(2))
	s.Set(prefix+firstServer, drainingRecord(9))
	s.Set(prefix+firstServer, drainingRecord(8))
	s.CompactHistory() // the events of the drain and of the removals are lost
	c.Watch()
	update := nextUpdate(t, updates, honeyplank.Complete)
	if len(update.Nodes) != fleetSize-2 || update.Nodes[0].State != "draining" || update.Nodes[0].Cell != 8 {
		t.Errorf("after compaction: %d nodes, the first %+v", len(update.Nodes), update.Nodes[0])
	}
}

// TestRevisionInOneUpdate changes several keys in one revision. The changes must be passed on in one update.
func TestRevisionInOneUpdate(t *testing.T) {
	s, _, updates := watchFleet(t)
	s.PutAll(map[string][]byte{
		prefix + serverAddress(3): nil,
		prefix + serverAddress(4): []byte(`{"state":"draining"}`),
		prefix + serverAddress(5): nil,
	})
	if got := nextUpdate(t, updates, honeyplank.Delta).Nodes; len(got) != 3 {
		t.Errorf("first update has %d changes of the revision, want 3", len(got))
	}
}

// TestNoUpdateAfterStopWatch fetches the complete list in parallel to a watch and stops the watch. No update may
// follow.
func TestNoUpdateAfterStopWatch(t *testing.T) {
	s, c, updates := watchFleet(t)
	c.Fetch()
	nextUpdate(t, updates, honeyplank.Complete)
	c.StopWatch()
	s.Set(prefix+firstServer, drainingRecord(9))
	select {
	case update := <-updates:
		t.Errorf("update after StopWatch: %+v", update)
	case <-time.After(100 * time.Millisecond):
	}
}

// TestInvalidRecords sets invalid values. They must change nothing and must be reported as skipped.
func TestInvalidRecords(t *testing.T) {
	s, c, updates := startClient(t)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	invalid := []string{"", "{", `{"state":"up"}`, `{"state":"on","cell":-1}`, `{"state":"on","started_ms":-5}`}
	for i, value := range invalid {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 2+i), []byte(value))
	}
	s.Set(prefix+"no address", []byte(`{"state":"on"}`))
	c.Watch()
	if update := nextUpdate(t, updates, honeyplank.Complete); len(update.Nodes) != 1 || len(update.Skipped) != 6 {
		t.Errorf("%d nodes and %d skipped entries, want 1 and 6", len(update.Nodes), len(update.Skipped))
	}
	s.Set(prefix+"127.0.0.1:1", []byte("gibberish"))
	if update := nextUpdate(t, updates, honeyplank.Delta); len(update.Nodes) != 0 || len(update.Skipped) != 1 {
		t.Errorf("want no node and one skipped entry, got %+v", update)
	}
}

// TestUnreachableEndpointReported watches at an endpoint that rejects calls, and at one on which nothing listens. Each
// Watch must end with an update, after which the decision module can request another watch.
func TestUnreachableEndpointReported(t *testing.T) {
	s, c, updates := startClient(t)
	s.SetUnavailable(true)
	for range 3 {
		c.Watch()
		nextUpdate(t, updates, honeyplank.WatchFailed)
	}
	s.Close()
	c.Watch()
	nextUpdate(t, updates, honeyplank.WatchFailed)
}

// TestWatchWithoutProgress makes a watch stay open and deliver nothing, not even progress notifications. The watch must
// fail, and the next one must deliver the missed changes.
func TestWatchWithoutProgress(t *testing.T) {
	s, c, updates := startClient(t)
	c.Watch()
	nextUpdate(t, updates, honeyplank.Complete)
	time.Sleep(time.Second) // a watch without events that answers progress requests must not fail
	s.SetSilent(true)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	if update := nextUpdate(t, updates, honeyplank.WatchFailed); update.Err == nil {
		t.Error("the failure of the watch has no error")
	}
	s.SetSilent(false)
	c.Watch()
	if update := nextUpdate(t, updates, honeyplank.Delta); len(update.Nodes) != 1 {
		t.Errorf("want one missed change, got %+v", update)
	}
}

// TestWatchNotCreated makes the next endpoint accept a call and not create the watch. The watch must fail after
// Settings.Timeout, and the next one must use the following endpoint.
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
			s, c, updates := startClient(t)
			c.Watch()
			nextUpdate(t, updates, honeyplank.Complete)
			s.Set(prefix+"127.0.0.1:2", []byte(`{"state":"on"}`))
			nextUpdate(t, updates, honeyplank.Delta) // shows that the watch is created
			s.BreakWatches()
			nextUpdate(t, updates, honeyplank.WatchFailed)
			c.settings.Endpoints = append(c.settings.Endpoints, newEndpoint(t, s))
			c.Watch()
			nextUpdate(t, updates, honeyplank.WatchFailed)
			s.SetWithholdWatches(false)
			s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
			c.Watch()
			if update := nextUpdate(t, updates, honeyplank.Delta); len(update.Nodes) != 1 {
				t.Errorf("want one change, got %+v", update)
			}
		})
	}
}

// TestEventsDelayedPastProgressRequest delays events until after progress notifications were requested. No event may be
// lost.
func TestEventsDelayedPastProgressRequest(t *testing.T) {
	s, c, updates := startClient(t)
	c.Watch()
	nextUpdate(t, updates, honeyplank.Complete)
	s.SetWatchDelay(600 * time.Millisecond) // three times the time after which progress is requested
	for i := range 3 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1+i), []byte(`{"state":"on"}`))
		if update := nextUpdate(t, updates, honeyplank.Delta); len(update.Nodes) != 1 {
			t.Errorf("want one change, got %+v", update)
		}
	}
}

// TestResumeWithLongHistory resumes a watch after thousands of revisions. etcd sends them in several responses, each
// with the current revision in its header. No event may be taken for one that was already passed on.
func TestResumeWithLongHistory(t *testing.T) {
	s, c, updates := startClient(t)
	c.Watch()
	nextUpdate(t, updates, honeyplank.Complete)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	nextUpdate(t, updates, honeyplank.Delta) // shows that the watch is created
	s.BreakWatches()
	nextUpdate(t, updates, honeyplank.WatchFailed)
	for i := range 3500 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1000+i), []byte(`{"state":"on"}`))
	}
	c.Watch()
	received := 0
	for received < 3500 {
		received += len(nextUpdate(t, updates, honeyplank.Delta).Nodes)
	}
	if received != 3500 {
		t.Errorf("%d changes received, want 3500", received)
	}
}
