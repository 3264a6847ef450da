package membership_test

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/membership"
	"honeyplank/policy"
)

// BenchmarkChange measures the time in which Ledger and the decision module handle one change, by the size of the
// fleet. The time must depend on the size of the change, not on that of the fleet.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			reports, now := reportsOfFleet(n), time.Minute
			ledger := membership.New(membership.Settings{
				MaxRemovedShare: 0.5,
				ConfirmAfter:    10 * time.Second,
				FlapWindow:      time.Minute,
			})
			module := policy.New(1, &honeyplank.Settings{OpTypes: []honeyplank.OpType{
				{TargetLatency: 200 * time.Millisecond, OpTimeout: time.Second},
			}})
			handle := func(lists []honeyplank.List) {
				for _, list := range lists {
					module.Handle(now, list)
				}
			}
			handle(ledger.Complete(now, membership.Etcd, reports))
			handle(ledger.Complete(now, membership.DNS, reports))
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				handle(ledger.Delta(now, membership.Etcd, []membership.Report{drainOrReturn(reports, i)}))
			}
		})
	}
}

// reportsOfFleet returns a report about each of n servers, all up.
func reportsOfFleet(n int) []membership.Report {
	var reports []membership.Report
	for i := range n {
		id := honeyplank.ServerID(fmt.Sprintf("127.0.0.1:%05d", i))
		reports = append(reports, membership.Report{Member: honeyplank.Member{ID: id, Cell: i}, State: membership.Up})
	}
	return reports
}

// drainOrReturn returns the i-th change: with an even i a server starts to drain, with the next i it is up again.
func drainOrReturn(reports []membership.Report, i int) membership.Report {
	const stride = 7919 // a prime, so that the changes reach all servers of the fleet
	if i%2 == 1 {
		return reports[(i-1)*stride%len(reports)]
	}
	change := reports[i*stride%len(reports)]
	change.State = membership.Draining
	return change
}
