package gateway

import (
	"slices"
	"time"

	"honeyplank/settings"
)

// retryDelayUnit is the unit of CRDT1 to CRDT3 (NVMe Base Specification, section 5.17.2.1).
const retryDelayUnit = 100 * time.Millisecond

// maxRetryDelays is the number of CRDT fields: CRDT1 to CRDT3.
const maxRetryDelays = 3

// possibleRetryDelays returns the retry delays that the module can give with these settings, ascending. If there are
// more than maxRetryDelays, only the shortest one and the two longest ones are kept.
func possibleRetryDelays(config *settings.Gateway) (list []time.Duration) {
	if config.Dispatches.MaxRetryAfter <= 0 {
		return nil
	}
	for _, opType := range config.OpTypes {
		list = append(list, min(opType.TargetLatency.Duration(), config.Dispatches.MaxRetryAfter.Duration()))
	}
	slices.Sort(list)
	list = slices.Compact(list)
	for len(list) > maxRetryDelays {
		list = slices.Delete(list, 1, 2)
	}
	return list
}

// retryDelayIndex returns the CRD value, 1 to 3, of the shortest configured delay that is at least retryAfter, or of
// the longest one if all are shorter; 0 if retryAfter is 0 or no delay is configured.
func (g *Instance) retryDelayIndex(retryAfter time.Duration) int {
	if retryAfter <= 0 {
		return 0
	}
	for i, delay := range g.retryDelays {
		if retryAfter <= delay {
			return i + 1
		}
	}
	return len(g.retryDelays)
}
