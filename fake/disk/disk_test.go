package disk

import (
	"testing"
	"time"

	"honeyplank/eventloop"
	"honeyplank/settings"
)

// TestCapacity checks what a cold server can do by its age, whatever starts come later.
func TestCapacity(t *testing.T) {
	l, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { l.Stop(); l.Run() }()
	m := Model{FakeServers: settings.FakeServers{Cores: 2, QueueLimit: 9, UnitServiceTime: settings.Span(10 * time.Millisecond)}, ColdCapacity: 0.25, ColdTime: 4 * time.Second}
	d, err := New(l, "127.0.0.1:0", m, 1)
	if err != nil {
		t.Fatal(err)
	}
	at := func(age time.Duration) float64 { return d.CapacityAt(age) }
	for range 2 {
		d.Kill()
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		for age, want := range map[time.Duration]float64{0: 50, 2 * time.Second: 125, 4 * time.Second: 200, time.Hour: 200} {
			if got := at(age); got != want {
				t.Errorf("%v after a start: %v units a second, want %v", age, got, want)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
