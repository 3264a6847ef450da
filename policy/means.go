package policy

import (
	"math"
	"sort"
	"time"
)

// Decay, scale and offset of a decayed mean: a, b and c in the paper (in its footnote on equations
// 2 and 3).
const (
	meanDecay  = 7.0 / 8
	meanScale  = 32
	meanOffset = 1024 // in milliseconds
)

// minSeconds keeps a division by a time that may be 0 finite.
const minSeconds = 1e-9

// ewmaWeight is the weight of the newest value in an exponentially weighted moving average.
const ewmaWeight = 1.0 / 8

// decayedMean is the paper's decayed mean of the time between events: (total + c) / sum, in
// milliseconds.
type decayedMean struct {
	total, sum float64
	last       time.Duration
	seen       bool
}

// observe records an event. The first event has no interval before it.
func (m *decayedMean) observe(now time.Duration) {
	if m.seen {
		m.total = meanDecay*m.total + meanScale*float64(now-m.last)/float64(time.Millisecond)
		m.sum = meanDecay*m.sum + meanScale
	}
	m.last, m.seen = now, true
}

// value returns the mean time between events, or the longest duration if no interval was recorded.
func (m *decayedMean) value() time.Duration {
	if m.sum == 0 {
		return math.MaxInt64
	}
	return time.Duration((m.total + meanOffset) / m.sum * float64(time.Millisecond))
}

// decayedRate is an exponentially decayed rate: units, divided by the time in which they were
// added.
type decayedRate struct {
	units, time float64 // time in seconds
	last        time.Duration
}

// add adds units at the time now. Earlier units decay with the time constant memory. A new rate
// starts as if nothing had been added within the time constant.
func (r *decayedRate) add(now time.Duration, units float64, memory time.Duration) {
	memory = max(memory, time.Millisecond)
	if r.time == 0 {
		r.last = now - memory
	}
	elapsed := (now - r.last).Seconds()
	weight := math.Exp(-elapsed / memory.Seconds())
	r.units, r.time, r.last = r.units*weight+units, r.time*weight+elapsed, now
}

// rate returns the rate in units a second. It is NaN before the first add.
func (r *decayedRate) rate() float64 { return r.units / r.time }

// rateWithPrior returns the rate averaged with a prior rate, which has the weight of a rate that
// was observed for the given time.
func (r *decayedRate) rateWithPrior(prior float64, observed time.Duration) float64 {
	return (r.units + prior*observed.Seconds()) / max(r.time+observed.Seconds(), minSeconds)
}

// ewma moves a mean towards a new value by a weight. A mean of 0 stands for no mean.
func ewma(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// dropBefore returns a sorted list of times without those before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return times[i:]
}
