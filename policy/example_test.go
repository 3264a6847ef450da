package policy_test

import (
	"fmt"
	"time"

	"honeyplank"
	"honeyplank/policy"
)

// An engine gets a list of two disk servers, and an op on data of the second one. The caller
// carries out the actions. The disk server rejects the op, and the engine retries it.
func Example() {
	engine := policy.New(1, &honeyplank.Settings{
		Instances: 1,
		MeanUnits: 1,
		OpTypes: []honeyplank.OpType{{
			TargetLatency: 200 * time.Millisecond,
			OpTimeout:     time.Second,
			Utility:       1,
			Semantics:     honeyplank.Idempotent,
		}},
		Dispatches: honeyplank.DispatchSettings{Max: 2},
		Plans:      []honeyplank.Plan{{Rate: 100, Reserve: 50, Weight: 1}},
	})
	handle := func(now time.Duration, event honeyplank.Event) {
		for _, action := range engine.Handle(now, event) {
			fmt.Printf("%v: %T%+v\n", now, action, action)
		}
	}

	handle(0, honeyplank.List{Kind: honeyplank.Complete, Members: []honeyplank.Member{
		{ID: "server-a", Cell: 0},
		{ID: "server-b", Cell: 1},
	}})
	handle(5*time.Millisecond, honeyplank.Op{ID: "op-1", Units: 1, Deadline: time.Second, Cell: 1, Instances: 1})
	handle(8*time.Millisecond, honeyplank.Outcome{
		Op: "op-1", Server: "server-b", Code: honeyplank.Rejected, Elapsed: 3 * time.Millisecond,
	})

	// Output:
	// 0s: honeyplank.SetTimer{At:10ms ID:sweep}
	// 5ms: honeyplank.Dispatch{Op:op-1 Server:server-b Timeout:0s}
	// 8ms: honeyplank.Dispatch{Op:op-1 Server:server-b Timeout:0s}
}
