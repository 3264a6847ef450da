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

// watch starts a source on a stand-in; what it tells comes on the channel.
func watch(t *testing.T) (*fakeetcd.Server, *Client, chan discovery.Update) {
	t.Helper()
	s, err := fakeetcd.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := make(chan discovery.Update, 100)
	e := New([]string{s.Address()}, prefix, "test", 400*time.Millisecond, 20000, func(n discovery.Update) { out <- n })
	t.Cleanup(func() { e.Close(); s.Close() })
	return s, e, out
}

func next(t *testing.T, c chan discovery.Update, kind honeyplank.ListKind) discovery.Update {
	t.Helper()
	for late := time.After(5 * time.Second); ; {
		select {
		case n := <-c:
			if n.Kind == honeyplank.Delta && len(n.Nodes)+len(n.Skipped) == 0 && n.Err == nil && kind >= 0 {
				continue // the watch stands
			}
			if n.Kind != kind {
				t.Fatalf("news of kind %d, want %d: %+v", n.Kind, kind, n)
			}
			return n
		case <-late:
			t.Fatalf("no news of kind %d", kind)
		}
	}
}

// TestFollow reads a list of more than one page, follows its changes, and tells of a break.
func TestFollow(t *testing.T) {
	s, e, news := watch(t)
	for i := range 2500 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1000+i), []byte(`{"state":"on","cell":3,"started_ms":5}`))
	}
	s.Set("/honeyplank/other", []byte("not of the list"))
	e.Watch(true)
	if n := next(t, news, honeyplank.Complete); len(n.Nodes) != 2500 || n.Nodes[0].Cell != 3 || n.Nodes[0].StartedMS != 5 {
		t.Fatalf("%d nodes", len(n.Nodes))
	}
	a := "127.0.0.1:1000"
	s.Set(prefix+a, []byte(`{"state":"draining","cell":3}`))
	if n := next(t, news, honeyplank.Delta).Nodes; len(n) != 1 || n[0].Address != a || n[0].State != "draining" {
		t.Errorf("%+v", n)
	}
	s.Delete(prefix + a)
	if n := next(t, news, honeyplank.Delta).Nodes; len(n) != 1 || !n[0].Removed || n[0].Cell != 3 {
		t.Errorf("%+v", n)
	}
	s.Break()
	if n := next(t, news, honeyplank.WatchFailed); n.Err == nil || len(n.Nodes) > 0 {
		t.Errorf("%+v", n)
	}
	s.Set(prefix+a, []byte(`{"state":"on","cell":9}`)) // nobody watches
	s.Delete(prefix + "127.0.0.1:1001")
	e.Watch(true)
	if n := next(t, news, honeyplank.Delta).Nodes; len(n) != 2 || n[0].Cell != 9 || !n[1].Removed {
		t.Errorf("after the break, from the revision told last: %+v", n)
	}
	s.Break()
	next(t, news, honeyplank.WatchFailed)
	s.Delete(prefix + "127.0.0.1:1002")
	s.Set(prefix+a, []byte(`{"state":"draining","cell":9}`))
	s.Set(prefix+a, []byte(`{"state":"draining","cell":8}`))
	s.Forget() // the drain and the loss are history that is gone
	e.Watch(true)
	if n := next(t, news, honeyplank.Complete); len(n.Nodes) != 2498 || n.Nodes[0].State != "draining" || n.Nodes[0].Cell != 8 {
		t.Errorf("after compaction: %d nodes, the first %+v", len(n.Nodes), n.Nodes[0])
	}
	s.Apply(map[string][]byte{prefix + "127.0.0.1:1003": nil, prefix + "127.0.0.1:1004": []byte(`{"state":"draining"}`), prefix + "127.0.0.1:1005": nil})
	if n := next(t, news, honeyplank.Delta).Nodes; len(n) != 3 {
		t.Errorf("of one revision, %d changes came together", len(n))
	}
	e.Fetch()
	next(t, news, honeyplank.Complete)
	e.Watch(false)
	s.Set(prefix+a, []byte(`{"state":"draining","cell":9}`))
	select {
	case n := <-news:
		t.Errorf("news of a watch that was ended: %+v", n)
	case <-time.After(100 * time.Millisecond):
	}
}

// TestNonsense has values that make no sense change nothing and be told of.
func TestNonsense(t *testing.T) {
	s, e, news := watch(t)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	for i, value := range []string{"", "{", `{"state":"up"}`, `{"state":"on","cell":-1}`, `{"state":"on","started_ms":-5}`} {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 2+i), []byte(value))
	}
	s.Set(prefix+"no address", []byte(`{"state":"on"}`))
	e.Watch(true)
	if n := next(t, news, honeyplank.Complete); len(n.Nodes) != 1 || len(n.Skipped) != 6 {
		t.Errorf("%d nodes, %d skipped", len(n.Nodes), len(n.Skipped))
	}
	s.Set(prefix+"127.0.0.1:1", []byte("gibberish"))
	if n := next(t, news, honeyplank.Delta); len(n.Nodes) != 0 || len(n.Skipped) != 1 {
		t.Errorf("%+v", n)
	}
}

// TestOutOfReach asks where nobody serves, and where calls are refused: each ask has its answer.
func TestOutOfReach(t *testing.T) {
	s, e, news := watch(t)
	s.Down(true)
	for range 3 {
		e.Watch(true)
		next(t, news, honeyplank.WatchFailed)
	}
	s.Close()
	e.Watch(true)
	next(t, news, honeyplank.WatchFailed)
}

// TestMute has a watch stay open and deliver nothing, not even progress: it counts as broken, and what was missed
// comes with the next.
func TestMute(t *testing.T) {
	s, e, news := watch(t)
	e.Watch(true)
	next(t, news, honeyplank.Complete)
	time.Sleep(time.Second) // a quiet watch that answers stands
	s.Mute(true)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	if n := next(t, news, honeyplank.WatchFailed); n.Err == nil {
		t.Error("no reason")
	}
	s.Mute(false)
	e.Watch(true)
	if n := next(t, news, honeyplank.Delta); len(n.Nodes) != 1 {
		t.Errorf("%+v", n)
	}
}

// TestHalfOpen has the next endpoint take a call and not go through with it: that counts as broken after about as long
// as a watch may be quiet, and the endpoint after it is asked.
func TestHalfOpen(t *testing.T) {
	for name, half := range map[string]func(t *testing.T, s *fakeetcd.Server) string{
		"no handshake": func(t *testing.T, _ *fakeetcd.Server) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			return l.Addr().String()
		},
		"never created": func(t *testing.T, s *fakeetcd.Server) string {
			s.Withhold(true)
			return s.Address()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, e, news := watch(t)
			e.Watch(true)
			next(t, news, honeyplank.Complete)
			s.Set(prefix+"127.0.0.1:2", []byte(`{"state":"on"}`))
			next(t, news, honeyplank.Delta) // the watch stands
			s.Break()
			next(t, news, honeyplank.WatchFailed)
			e.endpoints = append(e.endpoints, half(t, s))
			e.Watch(true)
			next(t, news, honeyplank.WatchFailed)
			s.Withhold(false)
			s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
			e.Watch(true)
			if n := next(t, news, honeyplank.Delta); len(n.Nodes) != 1 {
				t.Errorf("%+v", n)
			}
		})
	}
}

// TestLate has changes told late while the watch is asked for its progress: none is passed over.
func TestLate(t *testing.T) {
	s, e, news := watch(t)
	e.Watch(true)
	next(t, news, honeyplank.Complete)
	s.Late(600 * time.Millisecond) // three times as long as it may be quiet before it is asked
	for i := range 3 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1+i), []byte(`{"state":"on"}`))
		if n := next(t, news, honeyplank.Delta); len(n.Nodes) != 1 {
			t.Errorf("%+v", n)
		}
	}
}

// TestLongHistory has a watch go on after thousands of revisions: etcd sends them in several responses, each with
// the present revision in its header. None may be taken for told already.
func TestLongHistory(t *testing.T) {
	s, e, news := watch(t)
	e.Watch(true)
	next(t, news, honeyplank.Complete)
	s.Set(prefix+"127.0.0.1:1", []byte(`{"state":"on"}`))
	next(t, news, honeyplank.Delta) // the watch stands
	s.Break()
	next(t, news, honeyplank.WatchFailed)
	for i := range 3500 {
		s.Set(fmt.Sprintf("%s127.0.0.1:%d", prefix, 1000+i), []byte(`{"state":"on"}`))
	}
	e.Watch(true)
	told := 0
	for told < 3500 {
		told += len(next(t, news, honeyplank.Delta).Nodes)
	}
	if told != 3500 {
		t.Errorf("%d of 3500 told", told)
	}
}
