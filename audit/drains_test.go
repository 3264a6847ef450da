package audit

import "testing"

func TestCheckDrains(t *testing.T) {
	dispatchLate := func(run constructedRun) {
		op := run.op(constructedOp{sent: 1200 * ms, answered: 1300 * ms})
		run.dispatch(op, "a", 1250*ms, 1260*ms, 0)
	}
	checkVerdicts(t, map[string]verdictCase{
		"within the drain grace": {0, func(run constructedRun) {
			run.notify(noticeRecord{state: stateDraining})
			run.dispatch(run.op(constructedOp{sent: 900 * ms, answered: 999 * ms}), "a", 950*ms, 960*ms, 0)
		}},
		"past the drain grace": {3, func(run constructedRun) {
			run.notify(noticeRecord{state: stateDraining}, noticeRecord{at: 900 * ms, state: stateGone})
			dispatchLate(run)
		}},
		"on again": {0, func(run constructedRun) {
			run.notify(noticeRecord{state: stateDraining}, noticeRecord{at: 900 * ms, state: stateOn})
			dispatchLate(run)
		}},
		"on again according to the other source only": {3, func(run constructedRun) {
			run.notify(noticeRecord{source: "dns", state: stateGone},
				noticeRecord{source: "etcd", at: 900 * ms, state: stateOn})
			dispatchLate(run)
		}},
		"newer start according to the other source": {0, func(run constructedRun) {
			run.notify(noticeRecord{source: "dns", at: ms, state: stateGone},
				noticeRecord{source: "etcd", at: 900 * ms, state: stateOn, started: 800 * ms})
			dispatchLate(run)
		}},
		"another gateway was notified": {0, func(run constructedRun) {
			run.notify(noticeRecord{gateway: 1, state: stateDraining})
			dispatchLate(run)
		}},
	})
}
