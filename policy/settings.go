package policy

import (
	"slices"
	"time"

	"honeyplank"
)

// This file holds the settings that the module reads, looked up once. Nothing here decides.

// schedulerSettings are the settings by their names, looked up once, with what follows from them alone.
type schedulerSettings struct {
	step                          time.Duration
	watchOnRequest                bool
	watchDeadline                 time.Duration
	targetLatency, opTimeout      []time.Duration
	semantics                     []honeyplank.Semantics
	dedupScope                    []honeyplank.DedupScope
	dedupWindow                   []time.Duration
	ordered                       []bool
	rate                          []float64
	weight                        []float64
	reserve                       []float64
	limit                         []float64
	burst                         []float64
	slack                         []float64
	schedulers                    int
	meanUnits                     float64
	largestUnits                  float64
	meterPeriod                   time.Duration
	reportsServedElsewhere        bool
	hedgingAllowed, cancelAllowed bool
	maxDispatches                 int
	retryBudgetWindow             time.Duration
	retryBudgetShare              float64
	slowStartWindow               time.Duration
	slowStartTime                 time.Duration
	slowStartFrom                 float64
	slowStartUnits                float64
	maxArrivalDelay               time.Duration // the longest from a decision until the dispatch is written
	orderSettle                   time.Duration
	maxRetryAfter                 time.Duration // 0: no advice is given
	retryBudgetLimited            bool
	retryBudgetFree               float64
	meanRate, meanWeight          float64
	shortestTarget, longestTarget time.Duration // of the target latencies
	utilityDeficit                []float64     // by op type: what its utility lacks to the greatest, as a part
}

func readSettings(settings *honeyplank.Settings) *schedulerSettings {
	t := &schedulerSettings{
		step:                   settings.Step,
		watchOnRequest:         settings.Watch.OnRequest,
		watchDeadline:          settings.Watch.Within,
		targetLatency:          settings.OpTypes.TargetLatency,
		opTimeout:              settings.OpTypes.OpTimeout,
		semantics:              settings.OpTypes.Semantics,
		dedupScope:             settings.OpTypes.DedupScope,
		dedupWindow:            settings.OpTypes.DedupWindow,
		ordered:                settings.OpTypes.Ordered,
		rate:                   settings.Plans.Rate,
		weight:                 settings.Plans.Weight,
		reserve:                settings.Plans.Reserve,
		limit:                  settings.Plans.Limit,
		burst:                  settings.Plans.Burst,
		slack:                  settings.Plans.Slack,
		schedulers:             settings.Schedulers,
		meanUnits:              settings.MeanUnits,
		largestUnits:           settings.LargestUnits,
		meterPeriod:            settings.Usage.Period,
		reportsServedElsewhere: settings.Usage.Elsewhere,
		hedgingAllowed:         settings.Dispatches.Parallel,
		cancelAllowed:          settings.Dispatches.Cancel,
		maxDispatches:          settings.Dispatches.Max,
		retryBudgetWindow:      settings.RetryBudget.Window,
		retryBudgetShare:       settings.RetryBudget.Share,
		slowStartWindow:        settings.SlowStart.Window,
		slowStartTime:          settings.SlowStart.Time,
		slowStartFrom:          settings.SlowStart.From,
		slowStartUnits:         settings.SlowStart.Units,
		orderSettle:            settings.OrderSettle,
		maxArrivalDelay:        settings.Dispatches.ConnectTimeout + holdUp,
	}
	if settings.RetryAfter.Allowed {
		t.maxRetryAfter = settings.RetryAfter.Max
	}
	t.retryBudgetFree, t.retryBudgetLimited = settings.RetryBudget.Free, settings.RetryBudget.Limited
	t.meanRate, t.meanWeight = mean(t.rate), mean(t.weight)
	utility := settings.OpTypes.Utility
	for _, x := range utility {
		t.utilityDeficit = append(t.utilityDeficit, 1-x/max(slices.Max(utility), 1e-9))
	}
	for i, x := range t.targetLatency {
		if i == 0 || x < t.shortestTarget {
			t.shortestTarget = x
		}
		t.longestTarget = max(t.longestTarget, x)
	}
	return t
}

// valueAt is a list's i-th value, or the type's zero value.
func valueAt[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// relativeWeight is a plan's against the mean.
func (s *Scheduler) relativeWeight(plan int) float64 {
	if w := valueAt(s.settings.weight, plan) / s.settings.meanWeight; w > 0 {
		return w
	}
	return 1
}
