package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the unit of the latency histograms.
	latencyUnit = time.Microsecond
	// maxLatency is the largest latency that they distinguish.
	maxLatency = time.Minute
	// latencyDigits is their precision, in significant decimal digits.
	latencyDigits = 3
)

// Utility is what ops were worth.
type Utility struct {
	// Due is the utility if all ops had succeeded within their target latency.
	Due float64
	// Earned is what those that succeeded were worth.
	Earned float64
}

// Tally is what became of the ops of one type.
type Tally struct {
	// Attempts counts each attempt of an op, Ops each op once.
	Attempts, Ops int
	// Succeeded, Rejected, Failed and Lost count ops by their last attempt.
	Succeeded, Rejected, Failed, Lost int
	// InTime counts ops that succeeded within the target latency.
	InTime int
	Utility
	// Mismatches counts reads that brought other bytes than expected.
	Mismatches int
	// TimedOut counts attempts without an answer within the client's timeout.
	TimedOut int

	latency *hdrhistogram.Histogram // of ops that succeeded, in latencyUnit
}

func newTallies(n int) []Tally {
	tallies := make([]Tally, n)
	for i := range tallies {
		tallies[i].latency = hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	}
	return tallies
}

// recordLatency records the latency of an op that succeeded, from when it was due.
func (t *Tally) recordLatency(latency time.Duration) {
	_ = t.latency.RecordValue(max(int64(latency/latencyUnit), 1)) // fails past maxLatency, which is left out
}

// Quantile is a quantile, from 0 to 1, of the latency of ops that succeeded, counted from when they were due.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(100*q)) * latencyUnit
}

// Mean is the mean latency of ops that succeeded.
func (t *Tally) Mean() time.Duration {
	return time.Duration(t.latency.Mean() * float64(latencyUnit))
}
