package disk

import (
	"bytes"
	"testing"
	"time"
)

// TestServedElsewhere checks the number of units of a volume that were served to other hosts since the last answer to a
// host.
func TestServedElsewhere(t *testing.T) {
	usage := newVolumeUsage()
	for i, c := range []struct {
		nsid  uint32
		host  string
		units float64
		want  float64
	}{
		{1, "a", 2, 0},
		{1, "b", 3, 2},
		{2, "a", 5, 0}, // another volume
		{1, "a", 1, 3},
		{1, "a", 1, 0},
		{1, "b", 1, 2},
	} {
		if got := usage.servedElsewhere(c.nsid, c.host, c.units); got != c.want {
			t.Errorf("answer %d: %v units elsewhere, want %v", i, got, c.want)
		}
	}
}

// TestMeter checks that Record returns the usage of the previous period as a percentage plus 1, or 0 if the meter
// counted nothing in that period.
func TestMeter(t *testing.T) {
	m := &Meter{Period: time.Second, Rate: func(uint32) float64 { return 10 }}
	for i, c := range []struct {
		at    time.Duration
		units float64
		want  int
	}{
		{0, 4, 0}, // there is no previous period
		{999 * time.Millisecond, 4, 0},
		{time.Second, 1, 81},
		{1500 * time.Millisecond, 1, 81},
		{2 * time.Second, 1e9, 21},
		{3 * time.Second, 1, 65535},
		{5 * time.Second, 1, 0}, // nothing was counted in the previous period
	} {
		if got := m.Record(c.at, 1, c.units); got != c.want {
			t.Errorf("answer %d: Record returns %d, want %d", i, got, c.want)
		}
	}
}

// TestMeterWithoutPeriod checks that a meter without a period reports no usage.
func TestMeterWithoutPeriod(t *testing.T) {
	m := &Meter{}
	if got := m.Record(time.Second, 1, 1); got != 0 {
		t.Errorf("Record returns %d, want 0", got)
	}
}

// TestFill checks that the initial contents of blocks differ by namespace and by LBA, and repeat within a block.
func TestFill(t *testing.T) {
	one, two, other := make([]byte, 64), make([]byte, 64), make([]byte, 64)
	Fill(one, 1, 2)
	Fill(two, 1, 3)
	Fill(other, 2, 2)
	if bytes.Equal(one, two) || bytes.Equal(one, other) || !bytes.Equal(one[:16], one[48:]) {
		t.Errorf("initial contents: block 2 %x, block 3 %x, block 2 of namespace 2 %x", one, two, other)
	}
}
