package discovery

import (
	"encoding/json"
	"testing"

	"honeyplank/internal/heap"
)

// FuzzRecord parses arbitrary values of a key. ParseRecord must not panic, must allocate a limited amount of memory,
// and must return only valid records, which are equal after encoding and parsing.
func FuzzRecord(f *testing.F) {
	f.Add("127.0.0.1:7000", []byte(`{"state":"on","cell":3,"started_ms":5,"size":2.5,"zone":1,"model":2}`))
	f.Add("[::1]:7000", []byte(`{"state":"draining"}`))
	for _, field := range []string{"cell", "zone", "size", "started_ms"} {
		f.Add("[::1]:7000", []byte(`{"state":"on","`+field+`":-1}`))
	}
	f.Fuzz(func(t *testing.T, address string, value []byte) {
		var r Record
		var err error
		if n := heap.Bytes(func() { r, err = ParseRecord(address, value) }); n > uint64(1<<20+1000*len(value)) {
			t.Fatalf("%d bytes allocated for a value of %d bytes", n, len(value))
		}
		if err != nil {
			return
		}
		if r.Cell < 0 || r.Zone < 0 || r.Size < 0 || r.StartedMS < 0 || r.State != "on" && r.State != "draining" {
			t.Fatalf("invalid record accepted: %+v", r)
		}
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseRecord(address, b); err != nil || again != r {
			t.Fatalf("%+v is parsed as %+v after encoding, error %v", r, again, err)
		}
	})
}
