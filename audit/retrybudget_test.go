package audit

import (
	"testing"
	"time"

	"honeyplank/nvme"
)

func TestCheckRetryBudget(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"one free retry":        {0, func(run constructedRun) { run.dispatchRepeatedly(2) }},
		"two retries of one op": {6, func(run constructedRun) { run.dispatchRepeatedly(3) }},
	})
}

// dispatchRepeatedly dispatches one op the given number of times.
func (run constructedRun) dispatchRepeatedly(number int) {
	op := run.op(constructedOp{answered: 900 * ms})
	for i := range number {
		at := time.Duration(10+200*i) * ms
		run.dispatch(op, "a", at, at+10*ms, nvme.InternalError)
	}
}
