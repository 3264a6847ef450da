package audit

import (
	"testing"
	"time"

	"honeyplank/nvme"
)

func TestRetryBudget(t *testing.T) {
	checkVerdicts(t, map[string]constructedCase{
		"one free retry":         {0, func(run constructedRun) { run.dispatchTimes(2) }},
		"two retries of few ops": {6, func(run constructedRun) { run.dispatchTimes(3) }},
	})
}

// dispatchTimes dispatches one op a number of times.
func (run constructedRun) dispatchTimes(number int) {
	op := run.op(constructedOp{answered: 900 * ms})
	for i := range number {
		at := time.Duration(10+200*i) * ms
		run.dispatch(op, "a", at, at+10*ms, nvme.InternalError)
	}
}
