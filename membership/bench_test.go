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
			terms := membership.Settings{MaxRemovedShare: 0.5, ConfirmAfter: 10 * time.Second, FlapWindow: time.Minute}
			book, now := membership.New(terms), time.Minute
			module := policy.New(1, &honeyplank.Settings{OpTypes: honeyplank.OpTypeSettings{TargetLatency: []time.Duration{200 * time.Millisecond}, OpTimeout: []time.Duration{time.Second}}})
			var all []membership.Report
			for i := range n {
				all = append(all, membership.Report{Member: honeyplank.Member{ID: honeyplank.ServerID(fmt.Sprintf("127.0.0.1:%05d", i)), Cell: i}, State: membership.Up})
			}
			for from := range 2 {
				for _, l := range book.Complete(now, membership.Source(from), all) {
					module.Handle(now, l)
				}
			}
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				x := all[i*7919%n]
				x.State = membership.Draining
				if i%2 == 1 {
					x = all[(i-1)*7919%n]
				}
				for _, l := range book.Delta(now, membership.Etcd, []membership.Report{x}) {
					module.Handle(now, l)
				}
			}
		})
	}
}
