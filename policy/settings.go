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

// get returns a setting by its name, or the type's zero value.
func get[T any](settings map[string]any, name string) T {
	v, _ := settings[name].(T)
	return v
}

// pick returns the i-th value of a setting that is a list.
func pick[T any](settings map[string]any, name string, i int) (v T) {
	if list := get[[]T](settings, name); i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// terms are the settings by their names, looked up once, with what follows from them alone.
type terms struct {
	step                 time.Duration
	ask                  bool
	askWithin            time.Duration
	target, timeout      []time.Duration
	kind                 []honeyplank.Semantics
	scope                []honeyplank.DedupScope
	remember             []time.Duration
	ordered              []bool
	rate                 []float64
	weight               []float64
	reserve              []float64
	limit                []float64
	burst                []float64
	slack                []float64
	hosts                int
	unitsMean            float64
	unitsLargest         float64
	meterPeriod          time.Duration
	elsewhere            bool
	parallel, cancel     bool
	dispatches           int
	budgetWindow         time.Duration
	budgetShare          float64
	coldWindow           time.Duration
	coldTime             time.Duration
	coldFrom             float64
	coldUnits            float64
	late                 time.Duration // the longest from a decision until the dispatch is written
	orderSettle          time.Duration
	adviceMost           time.Duration // 0: no advice is given
	budgeted             bool
	budgetFree           float64
	meanRate, meanWeight float64
	shortest, longest    time.Duration // of the target latencies
	cheap                []float64     // by op type: what its utility lacks to the greatest, as a part
}

func read(settings map[string]any) *terms {
	t := &terms{
		step:         get[time.Duration](settings, "step"),
		ask:          get[bool](settings, "list.ask"),
		askWithin:    get[time.Duration](settings, "list.ask_within"),
		target:       get[[]time.Duration](settings, "optypes.target_latency"),
		timeout:      get[[]time.Duration](settings, "optypes.op_timeout"),
		kind:         get[[]honeyplank.Semantics](settings, "optypes.kind"),
		scope:        get[[]honeyplank.DedupScope](settings, "optypes.scope"),
		remember:     get[[]time.Duration](settings, "optypes.remember"),
		ordered:      get[[]bool](settings, "optypes.ordered"),
		rate:         get[[]float64](settings, "plans.rate"),
		weight:       get[[]float64](settings, "plans.weight"),
		reserve:      get[[]float64](settings, "plans.reserve"),
		limit:        get[[]float64](settings, "plans.limit"),
		burst:        get[[]float64](settings, "plans.burst"),
		slack:        get[[]float64](settings, "plans.slack"),
		hosts:        get[int](settings, "hosts"),
		unitsMean:    get[float64](settings, "units.mean"),
		unitsLargest: get[float64](settings, "units.largest"),
		meterPeriod:  get[time.Duration](settings, "meter.period"),
		elsewhere:    get[bool](settings, "meter.elsewhere"),
		parallel:     get[bool](settings, "dispatches.parallel"),
		cancel:       get[bool](settings, "cancel"),
		dispatches:   get[int](settings, "dispatches.max"),
		budgetWindow: get[time.Duration](settings, "budget.window"),
		budgetShare:  get[float64](settings, "budget.share"),
		coldWindow:   get[time.Duration](settings, "cold.window"),
		coldTime:     get[time.Duration](settings, "cold.time"),
		coldFrom:     get[float64](settings, "cold.from"),
		coldUnits:    get[float64](settings, "cold.units"),
		orderSettle:  get[time.Duration](settings, "order.settle"),
		late:         get[time.Duration](settings, "connect.within") + holdUp,
	}
	if get[bool](settings, "throttle.advice") {
		t.adviceMost = get[time.Duration](settings, "throttle.advice.max")
	}
	t.budgetFree, t.budgeted = settings["budget.free"].(float64)
	t.meanRate, t.meanWeight = mean(t.rate), mean(t.weight)
	utility := get[[]float64](settings, "optypes.utility")
	for _, x := range utility {
		t.cheap = append(t.cheap, 1-x/max(slices.Max(utility), 1e-9))
	}
	for i, x := range t.target {
		if i == 0 || x < t.shortest {
			t.shortest = x
		}
		t.longest = max(t.longest, x)
	}
	return t
}

// at is a list's i-th value, or the type's zero value.
func at[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// weight is a plan's against the mean.
func (s *Scheduler) weight(plan int) float64 {
	if w := at(s.set.weight, plan) / s.set.meanWeight; w > 0 {
		return w
	}
	return 1
}
