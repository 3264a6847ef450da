package simwire

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/internal/heap"
)

type idle struct{}

func (idle) Handle(time.Duration, honeyplank.Event) []honeyplank.Action { return nil }

// FuzzServe reads any batches: no panic; a line is answered by one line, or ends with an error.
func FuzzServe(f *testing.F) {
	f.Add(`{"wall_ms":0,"round":1,"news":[]}`)
	f.Add(`{"wall_ms":1,"round":2,"news":[{"op":"provision","scheduler_id":"s","salt":1,"config":{}},{"op":"request","scheduler_id":"s","job":"a","units":1,"deadline_ms":9}]}`)
	f.Add(`{"wall_ms":2,"round":3,"news":[{"op":"response","scheduler_id":"s","job":"a","leg":0,"server":"x","state_code":1,"elapsed_ms":1,"feedback":[1,2]},{"op":"discovery","scheduler_id":"s","how":"all","nodes_list":[{"server":"x","readiness":"on"}]}]}`)
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		var err error
		n := heap.Bytes(func() {
			err = Serve(strings.NewReader(in), &out, func(int64, *honeyplank.Settings) honeyplank.DecisionModule { return idle{} })
		})
		if n > uint64(4<<20+1000*len(in)) {
			t.Fatalf("%d bytes are allocated for an input of %d", n, len(in))
		}
		asked := 0
		for _, line := range strings.Split(in, "\n") {
			if strings.TrimSpace(line) != "" {
				asked++
			}
		}
		if got := strings.Count(out.String(), "\n"); err == nil && got != asked || got > asked {
			t.Fatalf("%d lines asked, %d answered, %v", asked, got, err)
		}
	})
}
