package audit

import (
	"testing"
	"time"
)

func TestCheckSlowStarts(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"within the capacity": {0, func(run constructedRun) {
			run.notifyOfStart()
			run.dispatchUnits(2)
		}},
		"overloaded": {4, func(run constructedRun) {
			run.notifyOfStart()
			run.dispatchUnits(9)
		}},
		"overloaded by a gateway that was not notified": {0, func(run constructedRun) { run.dispatchUnits(9) }},
	})
}

// startTime is the time at which the disk server a starts.
const startTime = 1000 * ms

// notifyOfStart adds a notice to the gateway that the disk server a has started.
func (run constructedRun) notifyOfStart() {
	run.notify(noticeRecord{at: startTime, state: stateOn, started: startTime})
}

// dispatchUnits dispatches ops of one unit, 30 ms apart, to a disk server that has just started. Its capacity is 10
// units per second at the end of the slow start.
func (run constructedRun) dispatchUnits(units int) {
	capacity := func(age time.Duration) float64 { return 10 * (0.25 + 0.75*age.Seconds()/4) }
	run.starts["a"] = []startRecord{{startTime, capacity}}
	for i := range units {
		run.read(1+i, startTime+time.Duration(10+30*i)*ms)
	}
}
