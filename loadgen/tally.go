package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the unit of the latency histograms.
	latencyUnit = time.Microsecond
	// maxLatency is the largest latency that the histograms record.
	maxLatency = time.Minute
	// latencyDigits is the precision of the histograms, in significant decimal digits.
	latencyDigits = 3
)

// Utility sums the utility of ops.
type Utility struct {
	// Due is the utility that all ops would have if each succeeded within its target latency.
	Due float64
	// Earned is the utility of the ops that succeeded. Those that exceeded their target latency count with their late
	// utility.
	Earned float64
}

// Tally counts the results of the ops of one type.
type Tally struct {
	// Attempts counts each attempt of an op, even if it was not sent. Ops counts each op once.
	Attempts, Ops int
	// Succeeded, Rejected, Failed and Lost count ops by the result of their last attempt. Lost counts the ops that were
	// dropped: without an answer, or not sent because the client was not connected or had no free command slot.
	Succeeded, Rejected, Failed, Lost int
	// InTime counts ops that succeeded within the target latency.
	InTime int
	Utility
	// Mismatches counts reads whose data differed from the expected data.
	Mismatches int
	// TimedOut counts attempts that had no answer within the client's timeout.
	TimedOut int

	latency *hdrhistogram.Histogram // latencies of ops that succeeded, in latencyUnit
}

func newTallies(n int) []Tally {
	tallies := make([]Tally, n)
	for i := range tallies {
		tallies[i].latency = hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	}
	return tallies
}

// recordLatency records the latency of an op that succeeded, counted from its scheduled arrival.
func (t *Tally) recordLatency(latency time.Duration) {
	// An error means that the latency exceeds maxLatency. Such a latency is not recorded.
	_ = t.latency.RecordValue(max(int64(latency/latencyUnit), 1))
}

// Quantile returns the quantile q, from 0 to 1, of the latencies of ops that succeeded, counted from their scheduled
// arrivals.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(100*q)) * latencyUnit
}

// Mean returns the mean latency of the ops that succeeded, counted from their scheduled arrivals.
func (t *Tally) Mean() time.Duration {
	return time.Duration(t.latency.Mean() * float64(latencyUnit))
}
