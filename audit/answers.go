package audit

import "time"

// checkAnswers checks that every op gets exactly one final answer in time, and is not dispatched after it.
func (c *checker) checkAnswers() {
	for _, op := range c.order {
		opType := c.opType(op)
		if opType == nil || op.corrupted || op.duplicated {
			continue
		}
		c.verdict.Checked++
		timeout := opType.OpTimeout.Duration()
		if op.clientTimeout > 0 {
			timeout = min(timeout, op.clientTimeout)
		}
		c.checkAnswer(op, timeout)
		c.checkAnswerIsFinal(op)
	}
}

// checkAnswer checks the number and the time of an op's answers.
func (c *checker) checkAnswer(op *opRecord, timeout time.Duration) {
	answer, answered := op.finalAnswer()
	switch {
	case len(op.answers) > 1:
		c.recordViolation("%v had %d answers", op, len(op.answers))
	case answered && answer.at-op.sent > timeout:
		c.recordViolation("%v was answered %v later, past its op timeout of %v", op, answer.at-op.sent, timeout)
	case !answered && !c.mayBeUnanswered(op, timeout):
		c.recordViolation("%v had no answer within its op timeout of %v", op, timeout)
	}
}

// mayBeUnanswered reports whether an op needs no answer: within its op timeout, its client closed the connection or its
// gateway was killed.
func (c *checker) mayBeUnanswered(op *opRecord, timeout time.Duration) bool {
	closedInTime := op.closed > 0 && op.closed-op.sent <= timeout
	return closedInTime && c.closedByClient(op.gateway, op.closed) ||
		c.killedBetween(op.gateway, op.sent-timeTolerance, op.sent+timeout)
}

// checkAnswerIsFinal checks that an op is not dispatched after its final answer.
func (c *checker) checkAnswerIsFinal(op *opRecord) {
	answer, answered := op.finalAnswer()
	if !answered {
		return
	}
	for _, dispatch := range op.dispatches {
		if dispatch.at > answer.at+timeTolerance {
			c.recordViolation("%v was dispatched to %s %v after its final answer",
				op, dispatch.server, dispatch.at-answer.at)
		}
	}
}
