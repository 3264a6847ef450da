package audit

import (
	"testing"

	"honeyplank/nvme"
)

func TestCheckEffects(t *testing.T) {
	checkVerdicts(t, map[string]verdictCase{
		"once-only, rejected, dispatched again": {0, func(run constructedRun) {
			op := run.write(onceBlocks, 90*ms, 0)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.Rejected)
			run.dispatch(op, "a", 30*ms, 40*ms, 0)
		}},
		"once-only, failed, dispatched again": {2, func(run constructedRun) {
			op := run.write(onceBlocks, 90*ms, 0)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.InternalError)
			run.dispatch(op, "a", 30*ms, 40*ms, 0)
		}},
		"once-only, failed, rejected": {2, func(run constructedRun) {
			op := run.write(onceBlocks, 90*ms, nvme.CommandInterrupted)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.InternalError)
		}},
		"deduplicated, in the same zone within the window": {0, func(run constructedRun) {
			op := run.write(markedBlocks, 900*ms, 0)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.InternalError)
			run.dispatch(op, "a", 400*ms, 410*ms, 0)
		}},
		"deduplicated, in another zone": {2, func(run constructedRun) {
			op := run.write(markedBlocks, 900*ms, 0)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.InternalError)
			run.dispatch(op, "b", 400*ms, 410*ms, 0)
		}},
		"deduplicated, past the window": {2, func(run constructedRun) {
			op := run.write(markedBlocks, 1900*ms, 0)
			run.dispatch(op, "a", 10*ms, 20*ms, nvme.InternalError)
			run.dispatch(op, "a", 900*ms, 910*ms, 0)
		}},
		"two dispatches outstanding at once": {2, func(run constructedRun) {
			op := run.op(constructedOp{answered: 900 * ms})
			run.dispatch(op, "a", 10*ms, 500*ms, 0)
			run.dispatch(op, "a", 30*ms, 40*ms, 0)
		}},
	})
}
