package audit

import (
	"testing"
	"time"
)

func TestLimits(t *testing.T) {
	checkVerdicts(t, map[string]constructedCase{
		"a burst":             {0, func(run constructedRun) { run.burst(6, ms) }},
		"past the slack":      {7, func(run constructedRun) { run.burst(12, ms) }},
		"a burst, spread out": {0, func(run constructedRun) { run.burst(12, 100*ms) }},
	})
}

// burst dispatches ops of one unit at an interval.
func (run constructedRun) burst(ops int, interval time.Duration) {
	for i := range ops {
		run.read(1+i, time.Second+time.Duration(i)*interval)
	}
}
