package audit

import (
	"honeyplank/nvme"
	"honeyplank/settings"
)

// checkEffects checks that no op is repeated if its effect could then happen twice. The gateway repeats an op with
// another dispatch, and the client may repeat it after a rejection.
func (c *checker) checkEffects() {
	for _, op := range c.order {
		opType := c.opType(op)
		if opType == nil || len(op.dispatches) == 0 || op.duplicated {
			continue
		}
		c.verdict.Checked++
		for i, later := range op.dispatches {
			for _, earlier := range op.dispatches[:i] {
				c.checkRepeat(opType, earlier, later)
			}
		}
		c.checkRejection(op, opType)
	}
}

// checkRepeat checks two dispatches of one op.
func (c *checker) checkRepeat(opType *settings.OpType, earlier, later *dispatchRecord) {
	endedAt := earlier.endedAt()
	if !c.settings.Dispatches.HedgingAllowed && (endedAt == 0 || endedAt > later.at+timeTolerance) {
		c.recordViolation("%v was dispatched to %s while a dispatch to %s was outstanding",
			later.op, later.server, earlier.server)
	}
	if earlier.neverRan() {
		return
	}
	switch opType.Semantics {
	case settings.OnceOnly:
		c.recordViolation("%v, once-only, was dispatched to %s after a dispatch to %s that may have run",
			later.op, later.server, earlier.server)
	case settings.Deduplicated:
		if !c.isDropped(opType, earlier, later) {
			c.recordViolation(
				"%v was dispatched to %s, which does not drop it as a repeat of the dispatch to %s",
				later.op, later.server, earlier.server)
		}
	}
}

// isDropped reports whether the disk server of a later dispatch drops it as a duplicate of an earlier one.
func (c *checker) isDropped(opType *settings.OpType, earlier, later *dispatchRecord) bool {
	if later.at-earlier.at > opType.DedupWindow.Duration()+timeTolerance {
		return false
	}
	first, second := c.locations[earlier.server], c.locations[later.server]
	switch opType.DedupScope {
	case settings.ScopeZone:
		return first.Zone == second.Zone
	case settings.ScopeCell:
		return first.Cell == second.Cell
	}
	return true
}

// checkRejection checks that an op is answered as rejected only if another attempt of the client is harmless.
func (c *checker) checkRejection(op *opRecord, opType *settings.OpType) {
	answer, answered := op.finalAnswer()
	if !answered || answer.status.Code() != nvme.CommandInterrupted || isRepeatable(opType) {
		return
	}
	for _, dispatch := range op.dispatches {
		if !dispatch.neverRan() && dispatch.at < answer.at {
			c.recordViolation("%v, %s, was rejected after a dispatch to %s that may have run",
				op, opType.Semantics, dispatch.server)
		}
	}
}

// isRepeatable reports whether an op can be repeated without harm at any disk server.
func isRepeatable(opType *settings.OpType) bool {
	everywhere := opType.DedupScope == "" || opType.DedupScope == settings.ScopeAll
	return opType.Semantics == settings.Replayable || opType.Semantics == settings.Deduplicated && everywhere
}
