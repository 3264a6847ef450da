package audit

import (
	"honeyplank/nvme"
	"honeyplank/settings"
)

// checkEffects checks that no op is repeated, by the gateway or after a rejection by the client, where that could have
// its effect happen twice.
func (j *judge) checkEffects() {
	for _, op := range j.order {
		opType := j.opType(op)
		if opType == nil || len(op.dispatches) == 0 || op.duplicated {
			continue
		}
		j.verdict.Checked++
		for i, later := range op.dispatches {
			for _, earlier := range op.dispatches[:i] {
				j.checkRepeat(opType, earlier, later)
			}
		}
		j.checkRejection(op, opType)
	}
}

// checkRepeat checks two dispatches of one op.
func (j *judge) checkRepeat(opType *settings.OpType, earlier, later *dispatchRecord) {
	ended := earlier.ended()
	if !j.settings.Dispatches.HedgingAllowed && (ended == 0 || ended > later.at+slack) {
		j.violation("%v was dispatched to %s while a dispatch to %s was outstanding",
			later.op, later.server, earlier.server)
	}
	if earlier.neverRan() {
		return
	}
	switch opType.Semantics {
	case settings.OnceOnly:
		j.violation("%v, once-only, was dispatched to %s after a dispatch to %s that may have run",
			later.op, later.server, earlier.server)
	case settings.Deduplicated:
		if !j.isDropped(opType, earlier, later) {
			j.violation("%v was dispatched to %s, outside the group or time that drops repeats of the dispatch to %s",
				later.op, later.server, earlier.server)
		}
	}
}

// isDropped reports whether the disk server of a later dispatch drops it as a repeat of an earlier one.
func (j *judge) isDropped(opType *settings.OpType, earlier, later *dispatchRecord) bool {
	if later.at-earlier.at > opType.DedupWindow.Duration()+slack {
		return false
	}
	first, second := j.places[earlier.server], j.places[later.server]
	switch opType.DedupScope {
	case settings.ScopeZone:
		return first.Zone == second.Zone
	case settings.ScopeCell:
		return first.Cell == second.Cell
	}
	return true
}

// checkRejection checks that an op is answered as rejected only where another attempt of the client is harmless.
func (j *judge) checkRejection(op *opRecord, opType *settings.OpType) {
	answer, answered := op.final()
	if !answered || answer.status.Code() != nvme.CommandInterrupted || isRepeatable(opType) {
		return
	}
	for _, dispatch := range op.dispatches {
		if !dispatch.neverRan() && dispatch.at < answer.at {
			j.violation("%v, %s, was rejected after a dispatch to %s that may have run",
				op, opType.Semantics, dispatch.server)
		}
	}
}

// isRepeatable reports whether a repeat of an op is harmless at any disk server.
func isRepeatable(opType *settings.OpType) bool {
	everywhere := opType.DedupScope == "" || opType.DedupScope == settings.ScopeAll
	return opType.Semantics == settings.Replayable || opType.Semantics == settings.Deduplicated && everywhere
}
