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
	// estimateLifetime is the maximum age of a saved estimate of an earlier process.
	estimateLifetime = 24 * time.Hour
	// The window grows while the latency per unit is below nearBestLatencyFactor times its best. It
	// is halved when that latency exceeds elevatedLatencyFactor times its best.
	nearBestLatencyFactor = 1.5
	elevatedLatencyFactor = 2.0
	// bestLatencyDecay is the part of the distance by which a best latency moves towards the recent
	// one with each answer.
	bestLatencyDecay = 1.0 / 256
	// typicalLatencyDecay is the time constant, in longest target latencies, with which the typical
	// latency of an op type without answers decays to its fastest latency.
	typicalLatencyDecay = 16
)

// typeLatency is the latency of an op type over all servers, in seconds.
type typeLatency struct {
	mean      float64 // recent mean; 0: not known
	fastest   float64 // lowest latency, which decays slowly towards recent ones; 0: not known
	updatedAt time.Duration
}

// meanLatency returns the mean latency, in seconds, of the op types that have had answers, or 0 if
// none has.
func (e *Engine) meanLatency() float64 {
	sum, known := 0.0, 0
	for _, typical := range e.latencyByType {
		if typical.mean > 0 {
			sum, known = sum+typical.mean, known+1
		}
	}
	return sum / float64(max(known, 1))
}

// estimateValid reports whether a saved estimate may be used for a server that started at the given
// time. The estimate must not be too old, and the server must not have started since. The estimate
// must not be from the future either, because then no start of the server could be newer.
func (e *Engine) estimateValid(saved honeyplank.ServerEstimate, started time.Duration) bool {
	return saved.At <= e.now && e.now-saved.At < estimateLifetime && started <= max(saved.At, 0)
}

// expectedLatency returns the expected latency of a server for ops of a type, in seconds: the
// typical latency of the type times the server's slowness. The slowness is relative, so that a
// server does not count as slow because of ops that take long. It decays to 1, so that an estimate
// does not outlive its cause: with many instances, each instance gets few answers from one server.
// Limitation: if one server alone stays slow, it gets ops again too soon.
func (e *Engine) expectedLatency(server *server, opType int) float64 {
	typical := e.typicalLatency(opType)
	if server.slowness <= 0 {
		return typical
	}
	return typical * (1 + (server.slowness-1)*e.decay(server.slownessAt))
}

// typicalLatency returns the recent latency of an op type over all servers, in seconds. Without
// answers it decays to the fastest latency. Otherwise the ops of a type could be rejected because
// of old answers, and there would be no newer answers.
func (e *Engine) typicalLatency(opType int) float64 {
	typical := valueAt(e.latencyByType, opType)
	if typical.mean == 0 {
		return cmp.Or(e.meanLatency(), spareLatencyShare*e.settings.shortestTarget.Seconds())
	}
	timeConstant := float64(max(typicalLatencyDecay*e.settings.longestTarget, e.sweepInterval()))
	weight := math.Exp(-float64(e.now-typical.updatedAt) / timeConstant)
	return typical.fastest + (typical.mean-typical.fastest)*weight
}

// decay returns the remaining weight of an observation made at the given time.
func (e *Engine) decay(at time.Duration) float64 {
	return math.Exp(-float64(e.now-at) / float64(max(e.settings.longestTarget, e.sweepInterval())))
}

// recordLatency records the latency, in seconds, of an answer from a server. It updates the typical
// latency of the op type, and the server's slowness, which is relative to that.
func (e *Engine) recordLatency(server *server, opType int, observed float64) {
	latency := e.smoothedLatency(server, opType, observed)
	e.recordTypicalLatency(opType, observed)
	e.setSlowness(server, opType, latency)
}

// recordServerLatency updates a server's slowness, but not the typical latency, with a latency in
// seconds.
func (e *Engine) recordServerLatency(server *server, opType int, observed float64) {
	e.setSlowness(server, opType, e.smoothedLatency(server, opType, observed))
}

// smoothedLatency returns a server's mean latency, in seconds, after a new observation.
func (e *Engine) smoothedLatency(server *server, opType int, observed float64) float64 {
	if server.slowness <= 0 {
		return observed
	}
	weight := max(ewmaWeight, 1-e.decay(server.slownessAt))
	return ewma(e.expectedLatency(server, opType), observed, weight)
}

// setSlowness sets a server's slowness from its mean latency, in seconds, for an op type.
func (e *Engine) setSlowness(server *server, opType int, latency float64) {
	server.slowness, server.slownessAt = latency/max(e.typicalLatency(opType), minSeconds), e.now
}

// recordTypicalLatency updates the typical latency of an op type with the latency, in seconds, of
// an answer.
func (e *Engine) recordTypicalLatency(opType int, observed float64) {
	if opType < 0 || opType >= len(e.latencyByType) {
		return
	}
	typical := &e.latencyByType[opType]
	if typical.mean > 0 {
		typical.mean = e.typicalLatency(opType)
	}
	typical.mean, typical.updatedAt = ewma(typical.mean, observed, ewmaWeight), e.now
	if typical.fastest == 0 || observed < typical.fastest {
		typical.fastest = observed
	}
	typical.fastest += bestLatencyDecay * (observed - typical.fastest)
}

// earliestAnswer returns the shortest time in which an answer of a server is expected: half of the
// mean latency, because many answers come within that time.
func (e *Engine) earliestAnswer(server *server, opType int) time.Duration {
	return time.Duration(e.expectedLatency(server, opType) / 2 * float64(time.Second))
}

// earliestAnswerOfAnyType returns the minimum of earliestAnswer over all op types.
func (e *Engine) earliestAnswerOfAnyType(server *server) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for opType := range e.settings.OpTypes {
		earliest = min(earliest, e.earliestAnswer(server, opType))
	}
	return earliest
}

// SavedEstimates returns the estimates that a later process of this instance can use: the latency
// estimates of the servers, and saved estimates of servers that are not in the endpoint list yet.
func (e *Engine) SavedEstimates() honeyplank.SavedEstimates {
	typical := e.meanLatency()
	estimates := honeyplank.SavedEstimates{TypicalLatency: typical}
	for _, id := range slices.Sorted(maps.Keys(e.savedEstimates)) {
		estimates.Servers = append(estimates.Servers, e.savedEstimates[id])
	}
	for _, server := range e.serversByID {
		if server.slowness > 0 && server.Started <= max(server.slownessAt, 0) {
			estimates.Servers = append(estimates.Servers, honeyplank.ServerEstimate{
				Server:      server.ID,
				At:          server.slownessAt,
				BestPerUnit: server.bestPerUnit,
				Latency:     server.slowness * typical,
			})
		}
	}
	return estimates
}

// restoreEstimates restores the estimates that an earlier process of this instance saved, and logs
// those that are not valid.
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
// started since. Without it, a process would have no estimates in its first seconds. Limitation: the
// estimate is wrong if a machine was replaced under the same address.
func (e *Engine) applySavedEstimate(server *server) {
	saved, ok := e.savedEstimates[server.ID]
	if ok && e.estimateValid(saved, server.Started) {
		server.bestPerUnit, server.slownessAt = saved.BestPerUnit, saved.At
		server.slowness = saved.Latency / max(e.meanLatency(), minSeconds)
	}
	delete(e.savedEstimates, server.ID)
}
