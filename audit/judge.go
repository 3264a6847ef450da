package audit

import (
	"fmt"
	"slices"
	"time"

	"honeyplank/settings"
)

// Verdict is the result of the check of one rule.
type Verdict struct {
	Rule       int    `json:"rule"`
	Name       string `json:"name"`
	Kept       bool   `json:"kept"`
	Checked    int    `json:"checked"` // the number of cases
	Violations int    `json:"broken"`
	// Evidence describes the first violation. If there was none, it may state the highest load that was measured, as a
	// share of the permitted load. For rules that have no such measure, it is then empty.
	Evidence string `json:"evidence,omitempty"`
}

// timeTolerance is the longest delay that the checks allow between sending at a gateway and receiving at the other end
// of a socket, because all parts of a fault test share one process. Limitation: violations that last no longer than
// this stay undetected.
const timeTolerance = 100 * time.Millisecond

// rule is a rule that gateways must keep, and its check.
type rule struct {
	name  string
	check func(*checker)
}

// rules lists the rules by number; the first has number 1.
var rules = []rule{
	{"every op gets exactly one final answer in time", (*checker).checkAnswers},
	{"no effect happens twice", (*checker).checkEffects},
	{"nothing new to a server that drains or is gone", (*checker).checkDrains},
	{"no server in slow start is overloaded", (*checker).checkSlowStarts},
	{"order is kept for each key", (*checker).checkOrder},
	{"retries stay within the budget", (*checker).checkRetryBudget},
	{"limits are kept", (*checker).checkLimits},
}

// checker checks a log against one rule.
type checker struct {
	*Log
	settings *settings.Gateway
	verdict  Verdict
}

// Check checks the log against all rules and returns a verdict for each, by rule number. shared are the settings that
// all gateways have in common. Any goroutine may call it.
func (l *Log) Check(shared *settings.Gateway) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var verdicts []Verdict
	for i, rule := range rules {
		c := &checker{Log: l, settings: shared, verdict: Verdict{Rule: i + 1, Name: rule.name, Kept: true}}
		rule.check(c)
		verdicts = append(verdicts, c.verdict)
	}
	return verdicts
}

// recordViolation counts a violation of the rule. The first one becomes the evidence.
func (c *checker) recordViolation(format string, values ...any) {
	c.verdict.Kept = false
	if c.verdict.Violations++; c.verdict.Violations == 1 {
		c.verdict.Evidence = fmt.Sprintf(format, values...)
	}
}

// opType returns the type of an op, or nil if the settings have none for it.
func (c *checker) opType(op *opRecord) *settings.OpType {
	if i := c.settings.OpTypeIndex(op.opcode, int64(op.bytes)); i >= 0 {
		return &c.settings.OpTypes[i]
	}
	return nil
}

// units returns the size of an op in units.
func (c *checker) units(op *opRecord) float64 {
	return float64(c.settings.Units(int64(op.bytes)))
}

// String describes an op for the evidence of a violation.
func (op *opRecord) String() string {
	return fmt.Sprintf("op %#x at block %d of volume %d, sent to gateway %d at %v",
		op.opcode, op.lba, op.nsid, op.gateway, op.sent)
}

// killedBetween reports whether a gateway was killed between two times.
func (l *Log) killedBetween(gateway int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.kills[gateway], func(at time.Duration) bool { return at >= from && at <= to })
}

// closedByClient reports whether a client of the gateway announced a close within timeTolerance before a connection
// ended.
func (l *Log) closedByClient(gateway int, closed time.Duration) bool {
	return slices.ContainsFunc(l.clientCloses[gateway], func(at time.Duration) bool {
		return at <= closed && closed <= at+timeTolerance
	})
}
