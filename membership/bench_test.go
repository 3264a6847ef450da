package membership_test

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/membership"
	"honeyplank/policy"
)

// BenchmarkChange measures one change through the rule and the decision module, by the size of the fleet: the
// work must grow with the change, not with the fleet.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			settings := membership.Settings{MaxRemovedShare: 0.5, ConfirmAfter: 10 * time.Second, FlapWindow: time.Minute}
			ledger, now := membership.New(settings), time.Minute
			module := policy.New(1, &honeyplank.Settings{OpTypes: honeyplank.OpTypeSettings{TargetLatency: []time.Duration{200 * time.Millisecond}, OpTimeout: []time.Duration{time.Second}}})
			var reports []membership.Report
			for i := range n {
				reports = append(reports, membership.Report{Member: honeyplank.Member{ID: honeyplank.ServerID(fmt.Sprintf("127.0.0.1:%05d", i)), Cell: i}, State: membership.Up})
			}
			for from := range 2 {
				for _, l := range ledger.Complete(now, membership.Source(from), reports) {
					module.Handle(now, l)
				}
			}
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				change := reports[i*7919%n]
				change.State = membership.Draining
				if i%2 == 1 {
					change = reports[(i-1)*7919%n]
				}
				for _, l := range ledger.Delta(now, membership.Etcd, []membership.Report{change}) {
					module.Handle(now, l)
				}
			}
		})
	}
}
