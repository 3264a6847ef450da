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
	// Latency per unit up to nearBest times its best grows the window; past farPastBest times its
	// best halves it.
	nearBest    = 1.5
	farPastBest = 2.0
	// bestLatencyDecay is the part by which a best latency moves towards the recent one with each
	// answer.
	bestLatencyDecay = 1.0 / 256
	// typicalLatencyDecay is the time constant, in longest target latencies, with which the typical
	// latency of an op type without answers decays to its fastest.
	typicalLatencyDecay = 16
)

// typeLatency is the latency of an op type over all servers, in seconds.
type typeLatency struct {
	mean      float64 // recent mean; 0: not known
	fastest   float64 // least, decaying slowly towards recent ones; 0: not known
	updatedAt time.Duration
}

// meanLatency is the mean latency, in seconds, of the op types that had answers; 0 where none had.
func (e *Engine) meanLatency() float64 {
	sum, known := 0.0, 0
	for _, typical := range e.latencyByType {
		if typical.mean > 0 {
			sum, known = sum+typical.mean, known+1
		}
	}
	return sum / float64(max(known, 1))
}

// estimateValid reports whether a saved estimate may be used for a server that started at a time:
// it is neither too old nor from the future, where no start could be newer, and the server has not
// started since.
func (e *Engine) estimateValid(saved honeyplank.ServerEstimate, started time.Duration) bool {
	return saved.At <= e.now && e.now-saved.At < estimateLifetime && started <= max(saved.At, 0)
}

// expectedLatency is the expected latency of a server for ops of a type, in seconds: the typical
// latency of the type times the server's slowness, which decays to 1, since with many instances
// each sees few answers of one server. It guards against estimates that outlive their cause, and
// against taking a server for slow because of ops that take long. It could harm where one server
// alone stays slow: it gets ops again too soon.
func (e *Engine) expectedLatency(server *server, opType int) float64 {
	usual := e.typicalLatency(opType)
	if server.slowness <= 0 {
		return usual
	}
	return usual * (1 + (server.slowness-1)*e.decay(server.slownessAt))
}

// typicalLatency is the recent latency of an op type over all servers, in seconds. Without answers
// it decays to the fastest ones: it guards against rejecting a type because of old answers, after
// which it would get no newer ones.
func (e *Engine) typicalLatency(opType int) float64 {
	typical := valueAt(e.latencyByType, opType)
	if typical.mean == 0 {
		return cmp.Or(e.meanLatency(), spareLatencyShare*e.settings.shortestTarget.Seconds())
	}
	timeConstant := float64(max(typicalLatencyDecay*e.settings.longestTarget, e.sweepInterval()))
	weight := math.Exp(-float64(e.now-typical.updatedAt) / timeConstant)
	return typical.fastest + (typical.mean-typical.fastest)*weight
}

// decay is the weight left to an observation made at a time.
func (e *Engine) decay(at time.Duration) float64 {
	return math.Exp(-float64(e.now-at) / float64(max(e.settings.longestTarget, e.sweepInterval())))
}

// recordLatency takes in the latency, in seconds, of an answer from a server: for the typical
// latency of the op type, and for the server's slowness, which is relative to that.
func (e *Engine) recordLatency(server *server, opType int, took float64) {
	latency := e.smoothedLatency(server, opType, took)
	e.recordTypicalLatency(opType, took)
	e.setSlowness(server, opType, latency)
}

// recordServerLatency takes in a latency, in seconds, for a server's slowness alone.
func (e *Engine) recordServerLatency(server *server, opType int, took float64) {
	e.setSlowness(server, opType, e.smoothedLatency(server, opType, took))
}

// smoothedLatency is a server's mean latency with a new one, in seconds, taken in.
func (e *Engine) smoothedLatency(server *server, opType int, took float64) float64 {
	if server.slowness <= 0 {
		return took
	}
	weight := max(ewmaWeight, 1-e.decay(server.slownessAt))
	return ewma(e.expectedLatency(server, opType), took, weight)
}

// setSlowness has a server's slowness follow from its mean latency, in seconds, for an op type.
func (e *Engine) setSlowness(server *server, opType int, latency float64) {
	server.slowness, server.slownessAt = latency/max(e.typicalLatency(opType), minSeconds), e.now
}

// recordTypicalLatency takes in the latency, in seconds, of an answer to an op of a type.
func (e *Engine) recordTypicalLatency(opType int, took float64) {
	if opType < 0 || opType >= len(e.latencyByType) {
		return
	}
	typical := &e.latencyByType[opType]
	if typical.mean > 0 {
		typical.mean = e.typicalLatency(opType)
	}
	typical.mean, typical.updatedAt = ewma(typical.mean, took, ewmaWeight), e.now
	if typical.fastest == 0 || took < typical.fastest {
		typical.fastest = took
	}
	typical.fastest += bestLatencyDecay * (took - typical.fastest)
}

// earliestAnswer is the time after which an answer of a server may come: many come in half of the
// mean latency.
func (e *Engine) earliestAnswer(server *server, opType int) time.Duration {
	return time.Duration(e.expectedLatency(server, opType) / 2 * float64(time.Second))
}

// earliestAnswerOfAnyType is the least earliestAnswer over all op types.
func (e *Engine) earliestAnswerOfAnyType(server *server) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for opType := range e.settings.OpTypes {
		earliest = min(earliest, e.earliestAnswer(server, opType))
	}
	return earliest
}

// SavedEstimates returns what a later instance can use: the latency estimates of the servers, and
// saved ones of servers that are not in the endpoint list yet.
func (e *Engine) SavedEstimates() honeyplank.SavedEstimates {
	usual := e.meanLatency()
	estimates := honeyplank.SavedEstimates{TypicalLatency: usual}
	for _, id := range slices.Sorted(maps.Keys(e.savedEstimates)) {
		estimates.Servers = append(estimates.Servers, e.savedEstimates[id])
	}
	for _, server := range e.serversByID {
		if server.slowness > 0 && server.Started <= max(server.slownessAt, 0) {
			estimates.Servers = append(estimates.Servers, honeyplank.ServerEstimate{
				Server:      server.ID,
				At:          server.slownessAt,
				BestPerUnit: server.bestPerUnit,
				Latency:     server.slowness * usual,
			})
		}
	}
	return estimates
}

// restoreEstimates takes in the estimates that an earlier instance saved, and logs those that are
// not valid.
func (e *Engine) restoreEstimates(estimates honeyplank.SavedEstimates) {
	for i := range e.latencyByType {
		typical := estimates.TypicalLatency
		e.latencyByType[i] = typeLatency{mean: typical, fastest: typical, updatedAt: e.now}
	}
	for _, saved := range estimates.Servers {
		if e.estimateValid(saved, 0) {
			e.savedEstimates[saved.Server] = saved
		} else {
			e.emit(honeyplank.LogEstimateIgnored{Server: saved.Server, Reason: "too old, or from the future"})
		}
	}
}

// applySavedEstimate uses the saved estimate for a new record of a server, unless the server has
// started since. It guards the first seconds of an instance. It could harm where a machine was
// replaced under the same address.
func (e *Engine) applySavedEstimate(server *server) {
	saved, ok := e.savedEstimates[server.ID]
	if ok && e.estimateValid(saved, server.Started) {
		server.bestPerUnit, server.slownessAt = saved.BestPerUnit, saved.At
		server.slowness = saved.Latency / max(e.meanLatency(), minSeconds)
	}
	delete(e.savedEstimates, server.ID)
}
