package audit

import (
	"testing"
	"time"
)

func TestCheckAnswers(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"answered in time": {0, func(run constructedRun) { run.op(constructedOp{answered: 999 * ms}) }},
		"answered late":    {1, func(run constructedRun) { run.op(constructedOp{answered: 1001 * ms}) }},
		"never answered":   {1, func(run constructedRun) { run.op(constructedOp{}) }},
		"its client closed": {0, func(run constructedRun) {
			run.op(constructedOp{}).closed = 300 * ms
			run.clientCloses[0] = []time.Duration{290 * ms}
		}},
		"the gateway closed": {1, func(run constructedRun) { run.op(constructedOp{}).closed = 300 * ms }},
		"another client closed": {1, func(run constructedRun) {
			run.op(constructedOp{}).closed = 300 * ms
			run.clientCloses[1] = []time.Duration{290 * ms}
		}},
		"its gateway was killed": {0, func(run constructedRun) {
			run.op(constructedOp{})
			run.kills[0] = []time.Duration{500 * ms}
		}},
		"another gateway was killed": {1, func(run constructedRun) {
			run.op(constructedOp{})
			run.kills[1] = []time.Duration{500 * ms}
		}},
		"answered twice": {1, func(run constructedRun) {
			op := run.op(constructedOp{answered: 9 * ms})
			op.answers = append(op.answers, answerRecord{10 * ms, 0})
		}},
		"dispatched after the answer": {1, func(run constructedRun) {
			run.dispatch(run.op(constructedOp{answered: 9 * ms}), "a", 300*ms, 310*ms, 0)
		}},
	})
}
