package etcd

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
)

// testTimeout limits the duration of a test.
const testTimeout = 20 * time.Second

// prefix is the prefix of the watched keys.
const prefix = "/n/"

// testbed is a fake etcd server and a client of etcd's Go client library.
type testbed struct {
	*testing.T
	server *Server
	client *clientv3.Client
	ctx    context.Context
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := clientv3.New(clientv3.Config{Endpoints: []string{s.Address()}, DialTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		if err := c.Close(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return &testbed{T: t, server: s, client: c, ctx: ctx}
}

// put sets the value of a key and returns the revision.
func (b *testbed) put(key, value string) int64 {
	b.Helper()
	r, err := b.client.Put(b.ctx, key, value)
	if err != nil {
		b.Fatal(err)
	}
	return r.Header.Revision
}

// putThree sets three keys with the prefix and then one without it. It returns the revision of the first.
func (b *testbed) putThree() int64 {
	b.Helper()
	first := b.put("/n/a", "1")
	b.put("/n/b", "2")
	b.put("/n/c", "2")
	b.put("/other", "2")
	return first
}

func (b *testbed) delete(key string) {
	b.Helper()
	if _, err := b.client.Delete(b.ctx, key); err != nil {
		b.Fatal(err)
	}
}

func (b *testbed) watch(revision int64) clientv3.WatchChan {
	return b.client.Watch(b.ctx, prefix, clientv3.WithPrefix(), clientv3.WithRev(revision))
}

// events receives exactly n events from a watch.
func (b *testbed) events(watch clientv3.WatchChan, n int) []*clientv3.Event {
	b.Helper()
	var events []*clientv3.Event
	for len(events) < n {
		r := <-watch
		if r.Err() != nil {
			b.Fatal(r.Err())
		}
		events = append(events, r.Events...)
	}
	if len(events) > n {
		b.Fatalf("received %d events, want %d", len(events), n)
	}
	return events
}

// TestRange checks a range over a prefix, with a limit and at an earlier revision.
func TestRange(t *testing.T) {
	b := newTestbed(t)
	first := b.putThree()
	got, err := b.client.Get(b.ctx, prefix, clientv3.WithPrefix(), clientv3.WithLimit(2))
	if err != nil {
		t.Fatal(err)
	}
	if got.Count != 3 || len(got.Kvs) != 2 || !got.More || string(got.Kvs[0].Key) != "/n/a" {
		t.Errorf("range with a limit of 2: %+v, want the first 2 of 3 keys", got)
	}
	earlier, err := b.client.Get(b.ctx, prefix, clientv3.WithPrefix(), clientv3.WithRev(first))
	if err != nil || len(earlier.Kvs) != 1 {
		t.Errorf("range at an earlier revision: error %v, response %+v, want 1 key", err, earlier)
	}
}

// TestWatch checks that a watch from an earlier revision receives the history and then each change.
func TestWatch(t *testing.T) {
	b := newTestbed(t)
	watch := b.watch(b.putThree())
	b.delete("/n/b")
	events := b.events(watch, 4) // a, b and c put, b deleted
	if !events[0].IsCreate() {
		t.Errorf("the first event is %v, want the creation of a key", events[0])
	}
	if last := events[3]; last.Type != clientv3.EventTypeDelete || string(last.Kv.Key) != "/n/b" {
		t.Errorf("the last event is %v, want the deletion of /n/b", last)
	}
}

// TestBreakWatches checks that after BreakWatches the client resumes the watch without missing or repeating an event.
func TestBreakWatches(t *testing.T) {
	b := newTestbed(t)
	watch := b.watch(b.putThree())
	b.events(watch, 3)
	b.server.BreakWatches()
	b.put("/n/d", "3")
	if events := b.events(watch, 1); string(events[0].Kv.Key) != "/n/d" {
		t.Errorf("events after the break: %v, want the put of /n/d", events)
	}
}

// TestCompact checks that requests for compacted revisions are rejected.
func TestCompact(t *testing.T) {
	b := newTestbed(t)
	first := b.putThree()
	b.delete("/n/b")
	last := b.put("/n/d", "3")
	if _, err := b.client.Compact(b.ctx, last); err != nil {
		t.Fatal(err)
	}
	if _, err := b.client.Compact(b.ctx, last); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("second compaction at the same revision: error %v, want ErrCompacted", err)
	}
	_, err := b.client.Get(b.ctx, prefix, clientv3.WithPrefix(), clientv3.WithRev(first))
	if !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("range at a compacted revision: error %v, want ErrCompacted", err)
	}
	r := <-b.watch(first)
	if r.CompactRevision != last || !errors.Is(r.Err(), rpctypes.ErrCompacted) {
		t.Errorf("watch from a compacted revision: %+v, want ErrCompacted with the compacted revision", r)
	}
	current, err := b.client.Get(b.ctx, prefix, clientv3.WithPrefix(), clientv3.WithRev(last))
	if err != nil || len(current.Kvs) != 3 { // a, c and d
		t.Errorf("range at the revision of the compaction: error %v, response %+v, want 3 keys", err, current)
	}
}

// TestPutAll checks that PutAll puts and deletes keys in the same revision.
func TestPutAll(t *testing.T) {
	b := newTestbed(t)
	first := b.putThree()
	watch := b.watch(first + 4)
	b.server.PutAll(map[string][]byte{"/n/a": nil, "/n/d": []byte("3")})
	events := b.events(watch, 2)
	if events[0].Kv.ModRevision != events[1].Kv.ModRevision {
		t.Errorf("the events have different revisions: %v", events)
	}
}

// TestUnavailable checks that the server rejects calls until it is available again.
func TestUnavailable(t *testing.T) {
	b := newTestbed(t)
	b.put("/n/a", "1")
	b.server.SetUnavailable(true)
	ctx, cancel := context.WithTimeout(b.ctx, 200*time.Millisecond)
	defer cancel()
	if _, err := b.client.Put(ctx, "/n/a", "2"); err == nil {
		t.Error("a put succeeds while the server is unavailable")
	}
	b.server.SetUnavailable(false)
	b.put("/n/a", "3")
}

// TestSilent checks that a watch sends nothing while it is silent, and afterwards sends the events of that time.
func TestSilent(t *testing.T) {
	b := newTestbed(t)
	watch := b.watch(b.put("/n/a", "1"))
	b.events(watch, 1)
	b.server.SetSilent(true)
	b.put("/n/b", "2")
	select {
	case r := <-watch:
		t.Errorf("a silent watch sent %+v", r)
	case <-time.After(100 * time.Millisecond):
	}
	b.server.SetSilent(false)
	if events := b.events(watch, 1); string(events[0].Kv.Key) != "/n/b" {
		t.Errorf("events after the silence: %v, want the put of /n/b", events)
	}
}

// TestWatchDelay checks that a watch sends an event only after the delay.
func TestWatchDelay(t *testing.T) {
	const delay = 100 * time.Millisecond
	b := newTestbed(t)
	watch := b.watch(b.put("/n/a", "1"))
	b.events(watch, 1)
	b.server.SetWatchDelay(delay)
	start := time.Now()
	b.put("/n/b", "2")
	b.events(watch, 1)
	if took := time.Since(start); took < delay {
		t.Errorf("the event arrived after %v, want at least the delay of %v", took, delay)
	}
}

// TestOnNotify checks that OnNotify is called with the keys and values that a watch sends.
func TestOnNotify(t *testing.T) {
	b := newTestbed(t)
	notified := make(chan string, 10)
	b.server.OnNotify = func(agent, key string, value []byte) {
		if agent == "" {
			t.Error("OnNotify was called without a user agent")
		}
		notified <- key + "=" + string(value)
	}
	watch := b.watch(b.put("/n/a", "1"))
	b.events(watch, 1)
	b.delete("/n/a")
	b.events(watch, 1)
	for _, want := range []string{"/n/a=1", "/n/a="} {
		if got := <-notified; got != want {
			t.Errorf("OnNotify was called with %s, want %s", got, want)
		}
	}
}
