package policy

import (
	"math"
	"sort"
	"time"
)

// Decay, scale and offset of a decayed mean: the paper's a, b and c (its footnote on equations 2 and 3).
const (
	meanDecay  = 7.0 / 8
	meanScale  = 32
	meanOffset = 1024 // in milliseconds
)

// ewmaWeight is the weight of the newest value in an exponentially weighted moving average.
const ewmaWeight = 1.0 / 8

// decayedMean is the paper's decayed mean: (total+c)/sum.
type decayedMean struct {
	total, sum float64
	last       time.Duration
	seen       bool
}

// observe takes in the time since the last event; the first one only starts the count.
func (m *decayedMean) observe(now time.Duration, a, b float64) {
	if m.seen {
		m.total = a*m.total + b*float64(now-m.last)/float64(time.Millisecond)
		m.sum = a*m.sum + b
	}
	m.last, m.seen = now, true
}

// value is the mean gap, without end while nothing has been seen.
func (m *decayedMean) value(c float64) time.Duration {
	if m.sum == 0 {
		return math.MaxInt64
	}
	return time.Duration((m.total + c) / m.sum * float64(time.Millisecond))
}

// decayedRate is a decayed rate: units over the time in which they came.
type decayedRate struct {
	units, time float64
	last        time.Duration
}

func (f *decayedRate) add(now time.Duration, units float64, memory time.Duration) {
	memory = max(memory, time.Millisecond)
	if f.time == 0 { // as if nothing had come for as long as it remembers
		f.last = now - memory
	}
	gap := (now - f.last).Seconds()
	keep := math.Exp(-gap / memory.Seconds())
	f.units, f.time, f.last = f.units*keep+units, f.time*keep+gap, now
}

// rate is in units a second, without end while nothing is known.
func (f *decayedRate) rate() float64 { return f.units / f.time }

// rateWithPrior is the rate drawn towards a figure, which counts as if seen for a time.
func (f *decayedRate) rateWithPrior(figure float64, memory time.Duration) float64 {
	return (f.units + figure*memory.Seconds()) / max(f.time+memory.Seconds(), 1e-9)
}

// ewma moves a mean towards a new value, which is the mean while there is none.
func ewma(mean, x, weight float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + weight*(x-mean)
}

// boolToInt is 1 for what holds.
func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// dropBefore drops what lies before a time from a log kept in order.
func dropBefore(log []time.Duration, from time.Duration) []time.Duration {
	i := sort.Search(len(log), func(i int) bool { return log[i] >= from })
	return log[i:]
}

func mean(list []float64) (m float64) {
	for _, x := range list {
		m += x / float64(len(list))
	}
	return m
}
