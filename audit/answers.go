package audit

import "time"

// checkAnswers checks that every op gets exactly one final answer in time, and is not dispatched after it.
func (j *judge) checkAnswers() {
	for _, op := range j.order {
		opType := j.opType(op)
		if opType == nil || op.corrupted || op.duplicated {
			continue
		}
		j.verdict.Checked++
		timeout := opType.OpTimeout.Duration()
		if op.clientTimeout > 0 {
			timeout = min(timeout, op.clientTimeout)
		}
		j.checkAnswer(op, timeout)
		j.checkAnswerIsFinal(op)
	}
}

// checkAnswer checks the number and the time of an op's answers.
func (j *judge) checkAnswer(op *opRecord, timeout time.Duration) {
	answer, answered := op.final()
	switch {
	case len(op.answers) > 1:
		j.violation("%v had %d answers", op, len(op.answers))
	case answered && answer.at-op.sent > timeout:
		j.violation("%v was answered %v later, past its op timeout of %v", op, answer.at-op.sent, timeout)
	case !answered && !j.isExcused(op, timeout):
		j.violation("%v had no answer within its op timeout of %v", op, timeout)
	}
}

// isExcused reports whether an op is owed no answer: its client closed, or its gateway was killed in time.
func (j *judge) isExcused(op *opRecord, timeout time.Duration) bool {
	closedInTime := op.closed > 0 && op.closed-op.sent <= timeout
	return closedInTime && j.closedByClient(op.gateway, op.closed) ||
		j.killedBetween(op.gateway, op.sent-slack, op.sent+timeout)
}

// checkAnswerIsFinal checks that an op is not dispatched after its answer.
func (j *judge) checkAnswerIsFinal(op *opRecord) {
	answer, answered := op.final()
	if !answered {
		return
	}
	for _, dispatch := range op.dispatches {
		if dispatch.at > answer.at+slack {
			j.violation("%v was dispatched to %s %v after its final answer", op, dispatch.server, dispatch.at-answer.at)
		}
	}
}
