package audit

import (
	"slices"
	"time"
)

// checkRetryBudget checks that the retries of each gateway stay within the retry budget, over a sliding window.
func (c *checker) checkRetryBudget() {
	budget := c.settings.Policy.RetryBudget
	if budget == nil {
		return
	}
	window := budget.Window.Duration()
	admitted, retries := c.admissionsAndRetries()
	for gateway, times := range retries {
		slices.Sort(times)
		for i, at := range times {
			c.verdict.Checked++
			recent := 1 + countWithin(times[:i], at-window+timeTolerance, at)
			ops := countWithin(admitted[gateway], at-window-timeTolerance, at)
			if float64(recent) > budget.Free+budget.Share*float64(ops) {
				c.recordViolation("gateway %d sent %d retries within %v of %d ops", gateway, recent, window, ops)
			}
		}
	}
}

// admissionsAndRetries returns, by gateway, the times at which clients sent it ops and the times at which disk servers
// received its retries.
func (c *checker) admissionsAndRetries() (admitted, retries map[int][]time.Duration) {
	admitted, retries = map[int][]time.Duration{}, map[int][]time.Duration{}
	for _, op := range c.order {
		admitted[op.gateway] = append(admitted[op.gateway], op.sent)
		for i, dispatch := range op.dispatches {
			if i > 0 {
				retries[dispatch.gateway] = append(retries[dispatch.gateway], dispatch.at)
			}
		}
	}
	return admitted, retries
}

// countWithin returns the number of times that are later than after and no later than until.
func countWithin(times []time.Duration, after, until time.Duration) (count int) {
	for _, at := range times {
		if at > after && at <= until {
			count++
		}
	}
	return count
}
