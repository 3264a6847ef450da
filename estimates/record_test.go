package estimates

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

func record() *Record {
	return &Record{Unit: 16 << 10, TypicalLatency: 0.03, Servers: []Server{
		{"127.0.0.1:5001", time.UnixMilli(1_000_000).UTC(), 0.002, 0.01},
		{"127.0.0.1:5002", time.UnixMilli(2_000_000).UTC(), 0.02, 0.3},
	}}
}

// TestWriteReadAndDamage writes and reads a file, and reads it damaged.
func TestWriteReadAndDamage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "estimates")
	if _, err := Read(file); !os.IsNotExist(err) {
		t.Errorf("no file: %v", err)
	}
	for range 2 { // the second replaces the first
		if err := record().Write(file); err != nil {
			t.Fatal(err)
		}
	}
	if r, err := Read(file); err != nil || !reflect.DeepEqual(r, record()) {
		t.Errorf("%+v, %v", r, err)
	}
	if others := otherFiles(t, file); len(others) > 0 {
		t.Errorf("left beside it: %v", others)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range b { // any one byte changed
		c := bytes.Clone(b)
		c[i] ^= 1
		if _, err := Decode(c); err == nil {
			t.Fatalf("byte %d changed: read as valid", i)
		}
		if _, err := Decode(b[:i]); err == nil {
			t.Fatalf("cut at %d: read as valid", i)
		}
	}
}

// TestNegativeLatency decodes a record with a latency that can't be.
func TestNegativeLatency(t *testing.T) {
	bad := record()
	bad.Servers[0].BestPerUnit = -1
	b, err := bad.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); !errors.Is(err, ErrValue) {
		t.Errorf("a negative latency: %v", err)
	}
}

// TestUnitSizeMismatch has records of units of the same and of another size.
func TestUnitSizeMismatch(t *testing.T) {
	clock := func(at time.Time) time.Duration { return at.Sub(time.UnixMilli(0)) }
	same, other := record().ToEvent(16<<10, clock), record().ToEvent(4<<10, clock)
	want := honeyplank.ServerEstimate{Server: "127.0.0.1:5002", At: 2000 * time.Second, BestPerUnit: 0.02, Latency: 0.3}
	if k := same.Servers[1]; k != want {
		t.Errorf("same units: %+v", k)
	}
	if k := other.Servers[1]; k.BestPerUnit != 0 || k.Latency != 0.3 {
		t.Errorf("other units: %+v", k)
	}
	wall := func(d time.Duration) time.Time { return time.UnixMilli(0).Add(d).UTC() }
	if back := FromEvent(same, 16<<10, wall); !reflect.DeepEqual(back, record()) {
		t.Errorf("there and back: %+v", back)
	}
}

// FuzzDecode reads any bytes, as a file and as the content under a right checksum: no panic, and what is read as valid
// is written and read back the same.
func FuzzDecode(f *testing.F) {
	b, err := record().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[len(magic)+9:])
	f.Add([]byte(magic + "00000000\n"))
	f.Add([]byte(`{"unit":-1,"usual":1e999,"servers":[{"at":"0001-01-01T00:00:00Z","best":-0}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		withChecksum := append(fmt.Appendf(nil, "%s%08x\n", magic, crc32.Checksum(b, checksumTable)), b...)
		for _, file := range [][]byte{b, withChecksum} {
			r, err := Decode(file)
			if err != nil {
				continue
			}
			again, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if twice, err := Decode(again); err != nil || !reflect.DeepEqual(twice, r) {
				t.Fatalf("%+v is read back as %+v, %v", r, twice, err)
			}
		}
	})
}
