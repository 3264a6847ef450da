package policy

import (
	"slices"
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

// readSettings returns the settings of an engine. The lists in them are shared.
func readSettings(settings *honeyplank.Settings) *engineSettings {
	return &engineSettings{Settings: *settings, derivedSettings: deriveSettings(settings)}
}

// deriveSettings returns the figures that follow from settings, whose lists may be empty.
func deriveSettings(settings *honeyplank.Settings) derivedSettings {
	derived := derivedSettings{
		maxArrivalDelay: settings.Dispatches.ConnectTimeout + holdUp,
		meanRate:        mean(settings.Plans.Rate),
		meanWeight:      mean(settings.Plans.Weight),
	}
	if settings.RetryAfter.Allowed {
		derived.maxRetryAfter = settings.RetryAfter.Max
	}
	if targets := settings.OpTypes.TargetLatency; len(targets) > 0 {
		derived.shortestTarget = slices.Min(targets)
		derived.longestTarget = max(0, slices.Max(targets))
	}
	for _, utility := range settings.OpTypes.Utility {
		greatest := max(slices.Max(settings.OpTypes.Utility), minUtility)
		derived.utilityDeficit = append(derived.utilityDeficit, 1-utility/greatest)
	}
	return derived
}

// minUtility keeps a division by the greatest utility finite.
const minUtility = 1e-9

// valueAt is the i-th value of a list, or the zero value where the list has none.
func valueAt[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

// relativeWeight is the weight of a plan over the mean weight; 1 where it has none.
func (e *Engine) relativeWeight(plan int) float64 {
	weight := valueAt(e.settings.Plans.Weight, plan) / e.settings.meanWeight
	if weight > 0 {
		return weight
	}
	return 1
}
