package policy

import (
	"slices"
	"time"

	"honeyplank"
)

// schedulerSettings are the settings that the module reads, with the figures that follow from them
// alone. Lists have a value for each op type or plan.
type schedulerSettings struct {
	step       time.Duration // least time between two timers
	schedulers int

	// Op types.
	targetLatency []time.Duration
	opTimeout     []time.Duration
	semantics     []honeyplank.Semantics
	dedupScope    []honeyplank.DedupScope
	dedupWindow   []time.Duration
	ordered       []bool
	orderSettle   time.Duration
	meanUnits     float64
	largestUnits  float64

	// Plans. Rates, reserves and limits are in units a second, bursts and slacks in units.
	rate    []float64
	weight  []float64
	reserve []float64
	limit   []float64
	burst   []float64
	slack   []float64

	// Endpoint list and usage meter.
	watchOnRequest         bool
	watchDeadline          time.Duration // within which changes are notified
	meterPeriod            time.Duration
	reportsServedElsewhere bool

	// Dispatches and retries.
	hedgingAllowed     bool
	cancelAllowed      bool
	maxDispatches      int
	retryBudgetLimited bool
	retryBudgetWindow  time.Duration
	retryBudgetFree    float64
	retryBudgetShare   float64

	// Slow start.
	slowStartWindow time.Duration
	slowStartTime   time.Duration
	slowStartFrom   float64
	slowStartUnits  float64

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

func readSettings(settings *honeyplank.Settings) *schedulerSettings {
	opTypes, plans, slowStart := settings.OpTypes, settings.Plans, settings.SlowStart
	return &schedulerSettings{
		step:       settings.Step,
		schedulers: settings.Instances,

		targetLatency: opTypes.TargetLatency,
		opTimeout:     opTypes.OpTimeout,
		semantics:     opTypes.Semantics,
		dedupScope:    opTypes.DedupScope,
		dedupWindow:   opTypes.DedupWindow,
		ordered:       opTypes.Ordered,
		orderSettle:   settings.OrderSettle,
		meanUnits:     settings.MeanUnits,
		largestUnits:  settings.LargestUnits,

		rate:    plans.Rate,
		weight:  plans.Weight,
		reserve: plans.Reserve,
		limit:   plans.Limit,
		burst:   plans.Burst,
		slack:   plans.Slack,

		watchOnRequest:         settings.Watch.OnRequest,
		watchDeadline:          settings.Watch.Within,
		meterPeriod:            settings.Usage.Period,
		reportsServedElsewhere: settings.Usage.Elsewhere,

		hedgingAllowed:     settings.Dispatches.HedgingAllowed,
		cancelAllowed:      settings.Dispatches.CancelAllowed,
		maxDispatches:      settings.Dispatches.Max,
		retryBudgetLimited: settings.RetryBudget.Limited,
		retryBudgetWindow:  settings.RetryBudget.Window,
		retryBudgetFree:    settings.RetryBudget.Free,
		retryBudgetShare:   settings.RetryBudget.Share,

		slowStartWindow: slowStart.Window,
		slowStartTime:   slowStart.Time,
		slowStartFrom:   slowStart.From,
		slowStartUnits:  slowStart.Units,

		derivedSettings: deriveSettings(settings),
	}
}

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
func (s *Engine) relativeWeight(plan int) float64 {
	weight := valueAt(s.settings.weight, plan) / s.settings.meanWeight
	if weight > 0 {
		return weight
	}
	return 1
}
