package loadgen

import (
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/settings"
)

// TestStop stops a load with an arrival due: once it says that every op has ended, no further one begins.
func TestStop(t *testing.T) {
	s, err := settings.Read("../settings/examples/gateway.xml")
	if err != nil {
		t.Fatal(err)
	}
	l, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	g := Start(l, Options{Settings: s, Targets: []Target{{Address: "127.0.0.1:1"}}, Clients: 1, Seed: 1, // nobody serves there
		Traffic: []settings.Traffic{{OpType: "read", Rate: 200, OpBytes: 4096}}})
	at := -1
	l.Schedule(l.Now()+100*time.Millisecond, func() { g.Stop(func() { at = g.ByType[0].Ops }) })
	l.Schedule(l.Now()+300*time.Millisecond, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if at <= 0 || g.ByType[0].Ops != at {
		t.Errorf("%d ops at the end, %d begun in all", at, g.ByType[0].Ops)
	}
}
