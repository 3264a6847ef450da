package audit

import (
	"testing"
	"time"
)

func TestSlowStarts(t *testing.T) {
	checkVerdicts(t, map[string]constructedCase{
		"within its budget": {0, func(run constructedRun) {
			run.notifyOfStart()
			run.flood(2)
		}},
		"overloaded": {4, func(run constructedRun) {
			run.notifyOfStart()
			run.flood(9)
		}},
		"overloaded by a gateway that was not notified": {0, func(run constructedRun) { run.flood(9) }},
	})
}

// startedAt is when the disk server a starts.
const startedAt = 1000 * ms

// notifyOfStart has the gateway notified of the start of the disk server a.
func (run constructedRun) notifyOfStart() {
	run.notify(noticeRecord{at: startedAt, state: stateOn, started: startedAt})
}

// flood dispatches a number of units at once to a disk server that has just started, with a capacity of 10 units a
// second once it is warm.
func (run constructedRun) flood(units int) {
	capacity := func(age time.Duration) float64 { return 10 * (0.25 + 0.75*age.Seconds()/4) }
	run.starts["a"] = []startRecord{{startedAt, capacity}}
	for i := range units {
		run.read(1+i, startedAt+time.Duration(10+30*i)*ms)
	}
}
