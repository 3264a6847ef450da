package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"honeyplank"
)

const (
	// estimateLifetime is how old a saved estimate of an earlier instance may be.
	estimateLifetime = 24 * time.Hour
	// Latency per unit up to nearBest times its best grows the window; past farPastBest times its best halves it.
	nearBest    = 1.5
	farPastBest = 2.0
	// bestLatencyDecay is the part by which a best latency moves towards the recent one with each answer.
	bestLatencyDecay = 1.0 / 256
	// typicalLatencyDecay is the time constant, in longest target latencies, with which the typical latency of an op type
	// without answers decays to its fastest.
	typicalLatencyDecay = 16
)

// typeLatency is the answer time of an op type at all nodes, in seconds.
type typeLatency struct {
	mean, fastest float64 // recent, and the least, slowly forgotten; 0: not known
	updatedAt     time.Duration
}

// meanLatency is the mean answer time of the types that were answered, 0 where none was.
func (s *Scheduler) meanLatency() float64 {
	sum, known := 0.0, 0
	for _, t := range s.latencyByType {
		if t.mean > 0 {
			sum, known = sum+t.mean, known+1
		}
	}
	return sum / float64(max(known, 1))
}

// estimateValid tells whether what an instance before learnt still does: than a time to come no start could be newer.
func (s *Scheduler) estimateValid(k honeyplank.ServerEstimate, started time.Duration) bool {
	return k.At <= s.now && s.now-k.At < estimateLifetime && started <= max(k.At, 0)
}

// expectedLatency is how long a node's answers to ops of a type take, as far as this host can tell by now: the usual
// time of the type times how slow the node was seen to be, which is forgotten over time, since with many
// hosts answers of one node are rare. It guards against beliefs that outlive what they tell of, and against
// long ops that are taken for slow nodes; where one node alone stays slow, it is tried again too soon.
func (s *Scheduler) expectedLatency(o *server, typ int) float64 {
	usual := s.typicalLatency(typ)
	if o.slowness <= 0 {
		return usual
	}
	return usual * (1 + (o.slowness-1)*s.decay(o.slownessAt))
}

// typicalLatency is the recent answer time of a type anywhere. Without answers it gives way to the fastest ones: it
// guards against a type that is refused for the time of answers long past, and would never hear of better.
func (s *Scheduler) typicalLatency(typ int) float64 {
	t := valueAt(s.latencyByType, typ)
	if t.mean == 0 {
		return cmp.Or(s.meanLatency(), spareLatencyShare*s.settings.shortestTarget.Seconds())
	}
	fades := float64(max(typicalLatencyDecay*s.settings.longestTarget, s.sweepInterval()))
	return t.fastest + (t.mean-t.fastest)*math.Exp(-float64(s.now-t.updatedAt)/fades)
}

// decay is what is left of the weight of what was learnt at a time.
func (s *Scheduler) decay(at time.Duration) float64 {
	return math.Exp(-float64(s.now-at) / float64(max(s.settings.longestTarget, s.sweepInterval())))
}

// recordLatency takes in an answer time of a node, and of all where it tells of more than that one.
func (s *Scheduler) recordLatency(o *server, typ int, took float64, ofAll bool) {
	latency := took
	if o.slowness > 0 {
		latency = ewma(s.expectedLatency(o, typ), took, max(ewmaWeight, 1-s.decay(o.slownessAt)))
	}
	if ofAll && typ >= 0 && typ < len(s.latencyByType) {
		t := &s.latencyByType[typ]
		if t.mean > 0 {
			t.mean = s.typicalLatency(typ)
		}
		t.mean, t.updatedAt = ewma(t.mean, took, ewmaWeight), s.now
		if t.fastest == 0 || took < t.fastest {
			t.fastest = took
		}
		t.fastest += bestLatencyDecay * (took - t.fastest)
	}
	o.slowness, o.slownessAt = latency/max(s.typicalLatency(typ), 1e-9), s.now
}

// earliestAnswer is when an answer of a node is worth hoping for: many come in half of their mean time.
func (s *Scheduler) earliestAnswer(o *server, typ int) time.Duration {
	return time.Duration(s.expectedLatency(o, typ) / 2 * float64(time.Second))
}

// SavedEstimates is what means the same to an instance that comes after: how fast servers are, seen yet or not.
func (s *Scheduler) SavedEstimates() honeyplank.SavedEstimates {
	usual := s.meanLatency()
	l := honeyplank.SavedEstimates{TypicalLatency: usual}
	for _, id := range slices.Sorted(maps.Keys(s.savedEstimates)) {
		l.Servers = append(l.Servers, s.savedEstimates[id])
	}
	for _, o := range s.serversByID {
		if o.slowness > 0 && o.Started <= max(o.slownessAt, 0) {
			l.Servers = append(l.Servers, honeyplank.ServerEstimate{Server: o.ID, At: o.slownessAt, BestPerUnit: o.bestPerUnit, Latency: o.slowness * usual})
		}
	}
	return l
}

// restoreEstimates takes in what an instance before this one had learnt, unless it is too old, or of a time to come: by that no
// start could be told to be newer.
func (s *Scheduler) restoreEstimates(e honeyplank.SavedEstimates) {
	for i := range s.latencyByType {
		s.latencyByType[i] = typeLatency{mean: e.TypicalLatency, fastest: e.TypicalLatency, updatedAt: s.now}
	}
	for _, k := range e.Servers {
		if s.estimateValid(k, 0) {
			s.savedEstimates[k.Server] = k
		} else {
			s.logf("osd %s: what was learnt of it is too old, or of a time to come: passed over", k.Server)
		}
	}
}

// earliestAnswerOfAnyType is the least that soonest gives for any type.
func (s *Scheduler) earliestAnswerOfAnyType(o *server) time.Duration {
	least := time.Duration(math.MaxInt64)
	for typ := range s.settings.targetLatency {
		least = min(least, s.earliestAnswer(o, typ))
	}
	return least
}
