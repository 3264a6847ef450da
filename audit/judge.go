package audit

import (
	"fmt"
	"slices"
	"time"

	"honeyplank/settings"
)

// Verdict is what became of one rule.
type Verdict struct {
	Rule    int    `json:"rule"`
	Name    string `json:"name"`
	Kept    bool   `json:"kept"`
	Checked int    `json:"checked"` // how many cases were looked at
	Violations  int    `json:"broken"`
	// Evidence is the first case that broke it, or how near the nearest came where there is such a measure.
	Evidence string `json:"evidence,omitempty"`
}

// slack is how much later than it left a gateway something may be seen at the other end of a socket, since all of a
// fault test shares one machine. It hides violations that are over sooner.
const slack = 100 * time.Millisecond

// rule is a rule with the check for it.
type rule struct {
	name  string
	check func(*judge)
}

// rules are the rules in the order of their numbers, from 1.
var rules = []rule{
	{"every op gets exactly one final answer in time", (*judge).checkAnswers},
	{"no effect happens twice", (*judge).checkEffects},
	{"nothing new to a server that drains or is gone", (*judge).checkDrains},
	{"no server in slow start is overloaded", (*judge).checkSlowStarts},
	{"order is kept for each key", (*judge).checkOrder},
	{"retries stay within the budget", (*judge).checkRetryBudget},
	{"limits are kept", (*judge).checkLimits},
}

// judge holds a log to one rule.
type judge struct {
	*Log
	settings *settings.Gateway
	verdict  Verdict
}

// Check holds what was seen to the rules, by the settings that all gateways shared.
func (l *Log) Check(shared *settings.Gateway) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var verdicts []Verdict
	for i, rule := range rules {
		j := &judge{Log: l, settings: shared, verdict: Verdict{Rule: i + 1, Name: rule.name, Kept: true}}
		rule.check(j)
		verdicts = append(verdicts, j.verdict)
	}
	return verdicts
}

// violation records that a case broke the rule.
func (j *judge) violation(format string, values ...any) {
	j.verdict.Kept = false
	if j.verdict.Violations++; j.verdict.Violations == 1 {
		j.verdict.Evidence = fmt.Sprintf(format, values...)
	}
}

// opType is the type of an op; nil where the settings have none for it.
func (j *judge) opType(op *opRecord) *settings.OpType {
	if i := j.settings.OpTypeIndex(op.opcode, int64(op.bytes)); i >= 0 {
		return &j.settings.OpTypes[i]
	}
	return nil
}

// units is the size of an op.
func (j *judge) units(op *opRecord) float64 {
	return float64(j.settings.Units(int64(op.bytes)))
}

// String names an op in evidence.
func (op *opRecord) String() string {
	return fmt.Sprintf("op %#x at block %d of volume %d, sent to gateway %d at %v",
		op.opcode, op.lba, op.nsid, op.gateway, op.sent)
}

// killedBetween reports whether a gateway was killed within a span of time.
func (l *Log) killedBetween(gateway int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.kills[gateway], func(at time.Duration) bool { return at >= from && at <= to })
}

// closedByClient reports whether a connection that ended at a time was closed by its client.
func (l *Log) closedByClient(gateway int, closed time.Duration) bool {
	return slices.ContainsFunc(l.clientCloses[gateway], func(at time.Duration) bool {
		return at <= closed && closed <= at+slack
	})
}
