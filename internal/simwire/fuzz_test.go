package simwire

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/internal/heap"
)

// idleModule is a decision module that never acts.
type idleModule struct{}

func (idleModule) Handle(time.Duration, honeyplank.Event) []honeyplank.Action { return nil }

func newIdleModule(int64, *honeyplank.Settings) honeyplank.DecisionModule { return idleModule{} }

// FuzzServe serves arbitrary input: Serve must not panic, must answer each batch with one line unless it returns an
// error, and must allocate an amount of memory that is bounded by the size of the input.
func FuzzServe(f *testing.F) {
	f.Add(`{"wall_ms":0,"round":1,"news":[]}`)
	f.Add(`{"wall_ms":1,"round":2,"news":[` +
		`{"op":"provision","scheduler_id":"s","salt":1,"config":{}},` +
		`{"op":"request","scheduler_id":"s","job":"a","units":1,"deadline_ms":9}]}`)
	f.Add(`{"wall_ms":2,"round":3,"news":[` +
		`{"op":"response","scheduler_id":"s","job":"a","leg":0,"server":"x","state_code":1,"elapsed_ms":1,` +
		`"feedback":[1,2]},` +
		`{"op":"discovery","scheduler_id":"s","how":"all","nodes_list":[{"server":"x","readiness":"on"}]}]}`)
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		var err error
		allocated := heap.Bytes(func() { err = Serve(strings.NewReader(in), &out, newIdleModule) })
		if allocated > uint64(4<<20+1000*len(in)) {
			t.Fatalf("%d bytes allocated for an input of %d bytes", allocated, len(in))
		}
		batches := countBatches(in)
		if answers := strings.Count(out.String(), "\n"); err == nil && answers != batches || answers > batches {
			t.Fatalf("%d batches, %d replies, error %v; want one reply per batch", batches, answers, err)
		}
	})
}

// countBatches returns the number of lines that are not blank.
func countBatches(in string) (count int) {
	for _, line := range strings.Split(in, "\n") {
		if strings.TrimSpace(line) != "" {
			count++
		}
	}
	return count
}
