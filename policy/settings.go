package policy

import (
	"time"

	"honeyplank"
)

// engineSettings are the settings of an engine, with the values that are derived from them.
type engineSettings struct {
	honeyplank.Settings
	derivedSettings
}

// derivedSettings are the values that are derived from the settings alone.
type derivedSettings struct {
	shortestTarget  time.Duration // least target latency
	longestTarget   time.Duration // greatest target latency
	maxArrivalDelay time.Duration // longest time from a decision until its dispatch is written
	maxRetryAfter   time.Duration // 0: rejections carry no advice
	meanRate        float64       // over the plans
	meanWeight      float64       // over the plans
	utilityDeficit  []float64     // by op type: 1 - utility / greatest utility
}

// readSettings returns the settings of an engine. The result shares its op types and plans with the
// argument.
func readSettings(settings *honeyplank.Settings) *engineSettings {
	return &engineSettings{Settings: *settings, derivedSettings: deriveSettings(settings)}
}

// deriveSettings returns the values that are derived from settings, which may have no op types and
// no plans.
func deriveSettings(settings *honeyplank.Settings) derivedSettings {
	derived := derivedSettings{
		maxArrivalDelay: settings.Dispatches.ConnectTimeout + processPause,
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

// opType returns the op type with the given number, or a zero value if there is none. The caller
// must not change it.
func (s *engineSettings) opType(number int) *honeyplank.OpType {
	if number < 0 || number >= len(s.OpTypes) {
		return &honeyplank.OpType{}
	}
	return &s.OpTypes[number]
}

// plan returns the plan with the given number, or a zero value if there is none. The caller must
// not change it.
func (s *engineSettings) plan(number int) *honeyplank.Plan {
	if number < 0 || number >= len(s.Plans) {
		return &honeyplank.Plan{}
	}
	return &s.Plans[number]
}

// valueAt returns the i-th value of a list, or the zero value if the list has none.
func valueAt[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

// relativeWeight returns the weight of a plan divided by the mean weight, or 1 if the plan has no
// weight.
func (e *Engine) relativeWeight(plan int) float64 {
	weight := e.settings.plan(plan).Weight / e.settings.meanWeight
	if weight > 0 {
		return weight
	}
	return 1
}
