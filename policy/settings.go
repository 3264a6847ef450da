package policy

import (
	"time"

	"honeyplank"
)

// engineSettings are the settings of an engine, with the figures that follow from them alone.
type engineSettings struct {
	honeyplank.Settings
	derivedSettings
}

// derivedSettings are the figures that follow from the settings.
type derivedSettings struct {
	shortestTarget  time.Duration // least target latency
	longestTarget   time.Duration // greatest target latency
	maxArrivalDelay time.Duration // longest time from a decision until its dispatch is written
	maxRetryAfter   time.Duration // 0: rejections carry no advice
	meanRate        float64       // over the plans
	meanWeight      float64       // over the plans
	utilityDeficit  []float64     // by op type: the part of the greatest utility that it lacks
}

// readSettings returns the settings of an engine. The op types and plans in them are shared.
func readSettings(settings *honeyplank.Settings) *engineSettings {
	return &engineSettings{Settings: *settings, derivedSettings: deriveSettings(settings)}
}

// deriveSettings returns the figures that follow from settings, which may be without op types and plans.
func deriveSettings(settings *honeyplank.Settings) derivedSettings {
	derived := derivedSettings{
		maxArrivalDelay: settings.Dispatches.ConnectTimeout + holdUp,
	}
	for _, plan := range settings.Plans {
		derived.meanRate += plan.Rate / float64(len(settings.Plans))
		derived.meanWeight += plan.Weight / float64(len(settings.Plans))
	}
	if settings.RetryAfter.Allowed {
		derived.maxRetryAfter = settings.RetryAfter.Max
	}
	greatestUtility := minUtility
	for i, opType := range settings.OpTypes {
		if i == 0 || opType.TargetLatency < derived.shortestTarget {
			derived.shortestTarget = opType.TargetLatency
		}
		derived.longestTarget = max(derived.longestTarget, opType.TargetLatency)
		greatestUtility = max(greatestUtility, opType.Utility)
	}
	for _, opType := range settings.OpTypes {
		derived.utilityDeficit = append(derived.utilityDeficit, 1-opType.Utility/greatestUtility)
	}
	return derived
}

// minUtility keeps a division by the greatest utility finite.
const minUtility = 1e-9

// opType is the op type of a number, to be read only; a zero value where there is none of it.
func (s *engineSettings) opType(number int) *honeyplank.OpType {
	if number < 0 || number >= len(s.OpTypes) {
		return &honeyplank.OpType{}
	}
	return &s.OpTypes[number]
}

// plan is the plan of a number, to be read only; a zero value where there is none of it.
func (s *engineSettings) plan(number int) *honeyplank.Plan {
	if number < 0 || number >= len(s.Plans) {
		return &honeyplank.Plan{}
	}
	return &s.Plans[number]
}

// valueAt is the i-th value of a list, or the zero value where the list has none.
func valueAt[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

// relativeWeight is the weight of a plan over the mean weight; 1 where it has none.
func (e *Engine) relativeWeight(plan int) float64 {
	weight := e.settings.plan(plan).Weight / e.settings.meanWeight
	if weight > 0 {
		return weight
	}
	return 1
}
