package etcd

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
)

// TestClient has etcd's own Go client work against the stand-in as an ordinary client: range, put, delete, watch
// from a revision, and compaction.
func TestClient(t *testing.T) {
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := clientv3.New(clientv3.Config{Endpoints: []string{s.Address()}, DialTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	put, err := c.Put(ctx, "/n/a", "1")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"/n/b", "/n/c", "/other"} {
		if _, err := c.Put(ctx, key, "2"); err != nil {
			t.Fatal(err)
		}
	}
	got, err := c.Get(ctx, "/n/", clientv3.WithPrefix(), clientv3.WithLimit(2))
	if err != nil || got.Count != 3 || len(got.Kvs) != 2 || !got.More || string(got.Kvs[0].Key) != "/n/a" {
		t.Fatalf("range: %v, %+v", err, got)
	}
	old, err := c.Get(ctx, "/n/", clientv3.WithPrefix(), clientv3.WithRev(put.Header.Revision))
	if err != nil || len(old.Kvs) != 1 {
		t.Fatalf("range at an earlier revision: %v, %+v", err, old)
	}
	watch := c.Watch(ctx, "/n/", clientv3.WithPrefix(), clientv3.WithRev(put.Header.Revision))
	if _, err := c.Delete(ctx, "/n/b"); err != nil {
		t.Fatal(err)
	}
	var events []*clientv3.Event
	for len(events) < 4 { // a, b and c put, b deleted
		r := <-watch
		if r.Err() != nil {
			t.Fatal(r.Err())
		}
		events = append(events, r.Events...)
	}
	if last := events[3]; last.Type != clientv3.EventTypeDelete || string(last.Kv.Key) != "/n/b" || !events[0].IsCreate() {
		t.Errorf("events: %v", events)
	}
	s.BreakWatches() // the client goes on by itself from the revision it has
	if _, err := c.Put(ctx, "/n/d", "3"); err != nil {
		t.Fatal(err)
	}
	if r := <-watch; r.Err() != nil || len(r.Events) != 1 || string(r.Events[0].Kv.Key) != "/n/d" {
		t.Errorf("after a break: %+v", r)
	}
	now, err := c.Get(ctx, "/n/d")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Compact(ctx, now.Header.Revision); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Compact(ctx, now.Header.Revision); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("a second compaction: %v", err)
	}
	if _, err := c.Get(ctx, "/n/", clientv3.WithPrefix(), clientv3.WithRev(put.Header.Revision)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("range at a compacted revision: %v", err)
	}
	if r := <-c.Watch(ctx, "/n/", clientv3.WithPrefix(), clientv3.WithRev(put.Header.Revision)); r.CompactRevision != now.Header.Revision || !errors.Is(r.Err(), rpctypes.ErrCompacted) {
		t.Errorf("watch from a compacted revision: %+v", r)
	}
}
