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

func testRecord() *Record {
	return &Record{Unit: 16 << 10, TypicalLatency: 0.03, Servers: []Server{
		{"127.0.0.1:5001", time.UnixMilli(1_000_000).UTC(), 0.002, 0.01},
		{"127.0.0.1:5002", time.UnixMilli(2_000_000).UTC(), 0.02, 0.3},
	}}
}

// TestWriteReadAndDamage checks that a file is read as it was written, and that a file with a changed byte or a missing
// end is not valid.
func TestWriteReadAndDamage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "estimates")
	if _, err := Read(file); !os.IsNotExist(err) {
		t.Errorf("missing file: error %v", err)
	}
	for range 2 { // the second replaces the first
		if err := testRecord().Write(file); err != nil {
			t.Fatal(err)
		}
	}
	if r, err := Read(file); err != nil || !reflect.DeepEqual(r, testRecord()) {
		t.Errorf("read %+v, error %v", r, err)
	}
	if others := otherFiles(t, file); len(others) > 0 {
		t.Errorf("other files in the folder: %v", others)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range b { // any one byte changed
		c := bytes.Clone(b)
		c[i] ^= 1
		if _, err := Decode(c); err == nil {
			t.Fatalf("byte %d changed: decoded as valid", i)
		}
		if _, err := Decode(b[:i]); err == nil {
			t.Fatalf("cut at %d: decoded as valid", i)
		}
	}
}

// TestNegativeLatency checks that a record with a negative latency is not valid.
func TestNegativeLatency(t *testing.T) {
	bad := testRecord()
	bad.Servers[0].BestPerUnit = -1
	b, err := bad.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); !errors.Is(err, ErrValue) {
		t.Errorf("negative latency: error %v", err)
	}
}

// TestUnitSizeMismatch checks the conversion of records with units of the same and of another size. With another size,
// only the latency per unit is left out.
func TestUnitSizeMismatch(t *testing.T) {
	clock := func(at time.Time) time.Duration { return at.Sub(time.UnixMilli(0)) }
	same, other := testRecord().ToEvent(16<<10, clock), testRecord().ToEvent(4<<10, clock)
	want := honeyplank.ServerEstimate{Server: "127.0.0.1:5002", At: 2000 * time.Second, BestPerUnit: 0.02, Latency: 0.3}
	if k := same.Servers[1]; k != want {
		t.Errorf("same units: %+v", k)
	}
	if k := other.Servers[1]; k.BestPerUnit != 0 || k.Latency != 0.3 {
		t.Errorf("other units: %+v", k)
	}
	wall := func(d time.Duration) time.Time { return time.UnixMilli(0).Add(d).UTC() }
	if back := FromEvent(same, 16<<10, wall); !reflect.DeepEqual(back, testRecord()) {
		t.Errorf("after ToEvent and FromEvent: %+v", back)
	}
}

// FuzzDecode decodes any bytes, as a file and as content with a correct checksum. Decode must not panic, and a valid
// record must be the same after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	b, err := testRecord().Encode()
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
				t.Fatalf("%+v is decoded again as %+v, error %v", r, twice, err)
			}
		}
	})
}
