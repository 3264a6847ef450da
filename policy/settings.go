package policy

import (
	"slices"
	"time"

	"honeyplank"
)

// This file holds the settings that the module reads, looked up once. Nothing here decides.

func mean(list []float64) (m float64) {
	for _, x := range list {
		m += x / float64(len(list))
	}
	return m
}

// settingOf returns a setting by its name, or the type's zero value.
func settingOf[T any](settings map[string]any, name string) T {
	v, _ := settings[name].(T)
	return v
}

// settingAt returns the i-th value of a setting that is a list.
func settingAt[T any](settings map[string]any, name string, i int) (v T) {
	if list := settingOf[[]T](settings, name); i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

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
	budgetWindow                  time.Duration
	budgetShare                   float64
	slowStartWindow               time.Duration
	slowStartTime                 time.Duration
	slowStartFrom                 float64
	slowStartUnits                float64
	maxArrivalDelay               time.Duration // the longest from a decision until the dispatch is written
	orderSettle                   time.Duration
	maxRetryAfter                 time.Duration // 0: no advice is given
	budgeted                      bool
	budgetFree                    float64
	meanRate, meanWeight          float64
	shortestTarget, longestTarget time.Duration // of the target latencies
	utilityDeficit                []float64     // by op type: what its utility lacks to the greatest, as a part
}

func readSettings(settings map[string]any) *schedulerSettings {
	t := &schedulerSettings{
		step:                   settingOf[time.Duration](settings, "step"),
		watchOnRequest:         settingOf[bool](settings, "list.ask"),
		watchDeadline:          settingOf[time.Duration](settings, "list.ask_within"),
		targetLatency:          settingOf[[]time.Duration](settings, "optypes.target_latency"),
		opTimeout:              settingOf[[]time.Duration](settings, "optypes.op_timeout"),
		semantics:              settingOf[[]honeyplank.Semantics](settings, "optypes.kind"),
		dedupScope:             settingOf[[]honeyplank.DedupScope](settings, "optypes.scope"),
		dedupWindow:            settingOf[[]time.Duration](settings, "optypes.remember"),
		ordered:                settingOf[[]bool](settings, "optypes.ordered"),
		rate:                   settingOf[[]float64](settings, "plans.rate"),
		weight:                 settingOf[[]float64](settings, "plans.weight"),
		reserve:                settingOf[[]float64](settings, "plans.reserve"),
		limit:                  settingOf[[]float64](settings, "plans.limit"),
		burst:                  settingOf[[]float64](settings, "plans.burst"),
		slack:                  settingOf[[]float64](settings, "plans.slack"),
		schedulers:             settingOf[int](settings, "hosts"),
		meanUnits:              settingOf[float64](settings, "units.mean"),
		largestUnits:           settingOf[float64](settings, "units.largest"),
		meterPeriod:            settingOf[time.Duration](settings, "meter.period"),
		reportsServedElsewhere: settingOf[bool](settings, "meter.elsewhere"),
		hedgingAllowed:         settingOf[bool](settings, "dispatches.parallel"),
		cancelAllowed:          settingOf[bool](settings, "cancel"),
		maxDispatches:          settingOf[int](settings, "dispatches.max"),
		budgetWindow:           settingOf[time.Duration](settings, "budget.window"),
		budgetShare:            settingOf[float64](settings, "budget.share"),
		slowStartWindow:        settingOf[time.Duration](settings, "cold.window"),
		slowStartTime:          settingOf[time.Duration](settings, "cold.time"),
		slowStartFrom:          settingOf[float64](settings, "cold.from"),
		slowStartUnits:         settingOf[float64](settings, "cold.units"),
		orderSettle:            settingOf[time.Duration](settings, "order.settle"),
		maxArrivalDelay:        settingOf[time.Duration](settings, "connect.within") + holdUp,
	}
	if settingOf[bool](settings, "throttle.advice") {
		t.maxRetryAfter = settingOf[time.Duration](settings, "throttle.advice.max")
	}
	t.budgetFree, t.budgeted = settings["budget.free"].(float64)
	t.meanRate, t.meanWeight = mean(t.rate), mean(t.weight)
	utility := settingOf[[]float64](settings, "optypes.utility")
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
