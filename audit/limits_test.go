package audit

import (
	"testing"
	"time"
)

func TestCheckLimits(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"burst within the slack":  {0, func(run constructedRun) { run.burst(6, ms) }},
		"burst past the slack":    {7, func(run constructedRun) { run.burst(12, ms) }},
		"as many ops, spread out": {0, func(run constructedRun) { run.burst(12, 100*ms) }},
	})
}

// burst dispatches a number of ops of one unit each, at an interval.
func (run constructedRun) burst(ops int, interval time.Duration) {
	for i := range ops {
		run.read(1+i, time.Second+time.Duration(i)*interval)
	}
}
