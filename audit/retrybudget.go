package audit

import (
	"slices"
	"time"
)

// checkRetryBudget checks that the retries of each gateway stay within the sliding window of the budget.
func (j *judge) checkRetryBudget() {
	budget := j.settings.Policy.RetryBudget
	if budget == nil {
		return
	}
	window := budget.Window.Duration()
	admitted, retries := j.admissionsAndRetries()
	for gateway, times := range retries {
		slices.Sort(times)
		for i, at := range times {
			j.verdict.Checked++
			recent := 1 + countWithin(times[:i], at-window+slack, at)
			ops := countWithin(admitted[gateway], at-window-slack, at)
			if float64(recent) > budget.Free+budget.Share*float64(ops) {
				j.violation("gateway %d sent %d retries within %v of %d ops", gateway, recent, window, ops)
			}
		}
	}
}

// admissionsAndRetries are the times at which ops were sent to each gateway, and at which it dispatched one again.
func (j *judge) admissionsAndRetries() (admitted, retries map[int][]time.Duration) {
	admitted, retries = map[int][]time.Duration{}, map[int][]time.Duration{}
	for _, op := range j.order {
		admitted[op.gateway] = append(admitted[op.gateway], op.sent)
		for i, dispatch := range op.dispatches {
			if i > 0 {
				retries[dispatch.gateway] = append(retries[dispatch.gateway], dispatch.at)
			}
		}
	}
	return admitted, retries
}

// countWithin is how many times are after one and not after another.
func countWithin(times []time.Duration, after, until time.Duration) (count int) {
	for _, at := range times {
		if at > after && at <= until {
			count++
		}
	}
	return count
}
