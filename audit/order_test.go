package audit

import (
	"testing"
	"time"

	"honeyplank/nvme"
)

func TestCheckOrder(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"one after another": {0, func(run constructedRun) {
			run.dispatch(run.write(orderedBlocks, 90*ms, 0), "a", 10*ms, 20*ms, 0)
			run.dispatch(run.next(0, ms, 91*ms), "a", 30*ms, 40*ms, 0)
		}},
		"two ops of a key outstanding at once": {5, func(run constructedRun) {
			run.dispatch(run.write(orderedBlocks, 90*ms, 0), "a", 10*ms, 50*ms, 0)
			run.dispatch(run.next(0, ms, 91*ms), "a", 30*ms, 60*ms, 0)
		}},
		"dispatched out of order": {5, func(run constructedRun) {
			first, second := run.write(orderedBlocks, 900*ms, 0), run.next(0, 300*ms, 901*ms)
			run.dispatch(second, "a", 310*ms, 320*ms, 0)
			run.dispatch(first, "a", 330*ms, 340*ms, 0)
		}},
		"before the settle time after a reset": {5, func(run constructedRun) {
			run.dispatch(run.write(orderedBlocks, 90*ms, 0), "a", 10*ms, 0, 0).closed = 20 * ms
			run.dispatch(run.next(0, ms, 391*ms), "a", 310*ms, 320*ms, 0)
		}},
		"past the settle time after a reset": {0, func(run constructedRun) {
			run.dispatch(run.write(orderedBlocks, 90*ms, 0), "a", 10*ms, 0, 0).closed = 20 * ms
			run.dispatch(run.next(0, ms, 691*ms), "a", 610*ms, 620*ms, 0)
		}},
		"the same key through two gateways": {0, func(run constructedRun) {
			run.dispatch(run.write(orderedBlocks, 90*ms, 0), "a", 10*ms, 50*ms, 0)
			run.dispatch(run.next(1, ms, 91*ms), "a", 30*ms, 60*ms, 0)
		}},
	})
}

// next adds another write with the same key as the first.
func (run constructedRun) next(gateway int, sent, answered time.Duration) *opRecord {
	return run.op(constructedOp{
		gateway: gateway, opcode: nvme.Write, lba: 2, blocks: orderedBlocks, sent: sent, answered: answered,
	})
}
