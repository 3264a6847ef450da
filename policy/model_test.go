package policy

import (
	"fmt"
	"slices"
	"time"

	"honeyplank"
)

// The rules that every instance keeps, by their numbers.
const (
	ruleCancel      = 0 // only what was dispatched is cancelled, and only where that is allowed
	ruleAnswer      = 1 // each op gets exactly one answer in time
	ruleRepeat      = 2 // an op goes where its data is, and is repeated only as its semantics allow
	ruleStopped     = 3 // nothing goes to a server that drains or is gone, after the grace
	ruleSlowStart   = 4 // no server in slow start gets more than its budget
	ruleOrder       = 5 // ops of one key of an ordered type run one after another
	ruleRetryBudget = 6
	ruleLimit       = 7 // no volume gets more than the limit of its plan
)

// ruleModel is a slow, plain reading of the rules. It sees what every instance receives and does.
type ruleModel struct {
	settings     *honeyplank.Settings
	now          time.Duration
	ops          map[honeyplank.OpID]*trackedOp
	order        []*trackedOp // in the order of admission
	servers      map[honeyplank.ServerID]honeyplank.Member
	stoppedSince map[honeyplank.ServerID]time.Duration // since when the instances know that it drains or is gone
	slowStart    map[honeyplank.ServerID][]slowStartDispatch
	limitUsed    map[int64]float64 // by volume: out of the limit's bucket, in units
	limitUsedAt  map[int64]time.Duration
	retries      map[int][]time.Duration // by instance
	violations   []string
}

func newRuleModel(settings *honeyplank.Settings) *ruleModel {
	return &ruleModel{
		settings:     settings,
		ops:          map[honeyplank.OpID]*trackedOp{},
		servers:      map[honeyplank.ServerID]honeyplank.Member{},
		stoppedSince: map[honeyplank.ServerID]time.Duration{},
		slowStart:    map[honeyplank.ServerID][]slowStartDispatch{},
		limitUsed:    map[int64]float64{},
		limitUsedAt:  map[int64]time.Duration{},
		retries:      map[int][]time.Duration{},
	}
}

// trackedOp is what the model knows of an op.
type trackedOp struct {
	honeyplank.Op
	instance        int
	admittedAt      time.Duration
	dispatched      []trackedDispatch
	answered        bool
	responseStarted bool
	settledAt       time.Duration // until when the next op of its key waits
}

// trackedDispatch is what the model knows of a dispatch.
type trackedDispatch struct {
	server          honeyplank.ServerID
	sentAt          time.Duration
	cancelRequested bool
	done            bool // it has ended, at endedAt
	endedAt         time.Duration
	mayHaveRun      bool
	notArrived      bool // it reached no server
}

// slowStartDispatch is a dispatch to a server, for the rule on slow starts.
type slowStartDispatch struct {
	op    *trackedOp
	index int
}

// mayArrive reports whether a dispatch made since a time may reach its server at another one or
// later.
func (sent slowStartDispatch) mayArrive(since, at time.Duration) bool {
	dispatch := sent.op.dispatched[sent.index]
	return dispatch.sentAt >= since && !dispatch.notArrived && (!dispatch.done || dispatch.endedAt >= at)
}

func (m *ruleModel) violate(rule int, format string, values ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v rule %d: ", m.now, rule)+fmt.Sprintf(format, values...))
}

// outstanding reports whether the last dispatch of an op has not ended.
func (op *trackedOp) outstanding() bool {
	n := len(op.dispatched)
	return n > 0 && !op.dispatched[n-1].done
}

// neverRan reports whether every dispatch of an op is known not to have run.
func (op *trackedOp) neverRan() bool {
	return !slices.ContainsFunc(op.dispatched, func(dispatch trackedDispatch) bool {
		return !dispatch.done || dispatch.mayHaveRun
	})
}

// mayRetry is ruleRepeat for a retry that runs at a server a time after its decision.
func (m *ruleModel) mayRetry(op *trackedOp, server honeyplank.ServerID, after time.Duration) bool {
	opType := m.opType(op)
	for _, dispatch := range op.dispatched {
		repeatDropped := m.inDedupScope(op, dispatch.server, server) &&
			m.now+after-dispatch.sentAt < opType.DedupWindow
		harmless := opType.Semantics == honeyplank.Idempotent ||
			opType.Semantics == honeyplank.Deduplicated && repeatDropped
		if !dispatch.done && !m.settings.Dispatches.HedgingAllowed {
			return false
		}
		if (!dispatch.done || dispatch.mayHaveRun) && !harmless {
			return false
		}
	}
	return true
}

func (m *ruleModel) opType(op *trackedOp) honeyplank.OpType {
	return valueAt(m.settings.OpTypes, op.Type)
}

// inDedupScope reports whether a server drops repeats of an op that another one was sent.
func (m *ruleModel) inDedupScope(op *trackedOp, earlier, later honeyplank.ServerID) bool {
	first, second := m.servers[earlier], m.servers[later]
	switch m.opType(op).DedupScope {
	case honeyplank.ScopeZone:
		return first.Zone == second.Zone
	case honeyplank.ScopeCell:
		return first.Cell == second.Cell
	}
	return true
}

// mayReject is ruleRepeat for a rejection.
func (m *ruleModel) mayReject(op *trackedOp) bool {
	opType := m.opType(op)
	return op.neverRan() || opType.Semantics == honeyplank.Idempotent ||
		opType.Semantics == honeyplank.Deduplicated && opType.DedupScope == honeyplank.ScopeAll
}

// isNextOfKey is ruleOrder.
func (m *ruleModel) isNextOfKey(op *trackedOp) bool {
	if !m.isOrdered(op) {
		return true
	}
	for _, earlier := range m.order[:slices.Index(m.order, op)] {
		sameKey := earlier.instance == op.instance && m.isOrdered(earlier) && earlier.Key == op.Key
		if sameKey && (!earlier.answered || m.now < earlier.settledAt || earlier.outstanding()) {
			return false
		}
	}
	return true
}

func (m *ruleModel) isOrdered(op *trackedOp) bool {
	return op.HasKey && m.opType(op).Ordered
}

// maxProcessPause is for how long a process may stand still between a decision and the dispatch.
const maxProcessPause = 150 * ms

// withinRetryBudget is ruleRetryBudget for one more retry, when this or earlier ones are delayed.
func (m *ruleModel) withinRetryBudget(instance int) bool {
	budget := m.settings.RetryBudget
	if !budget.Limited {
		return true
	}
	from, admitted := m.now-budget.Window, 0.0
	for _, op := range m.order {
		if op.instance == instance && op.admittedAt >= from+maxProcessPause {
			admitted++
		}
	}
	recent := dropBefore(m.retries[instance], from-maxProcessPause)
	return float64(1+len(recent)) <= budget.Free+budget.Share*admitted
}

// dispatch holds a dispatch to the rules and records it.
func (m *ruleModel) dispatch(instance int, action honeyplank.Dispatch) {
	op, server := m.ops[action.Op], m.servers[action.Server]
	m.checkDispatch(op, server)
	if len(op.dispatched) > 0 {
		if !m.withinRetryBudget(instance) {
			m.violate(ruleRetryBudget, "%s past the budget", action.Op)
		}
		m.retries[instance] = append(m.retries[instance], m.now)
	} else {
		m.useLimit(op)
	}
	op.dispatched = append(op.dispatched, trackedDispatch{server: action.Server, sentAt: m.now})
	m.slowStart[server.ID] = append(m.slowStart[server.ID], slowStartDispatch{op, len(op.dispatched) - 1})
	m.checkSlowStart(server)
}

// checkDispatch checks the rules on an op and on the server that it is sent to.
func (m *ruleModel) checkDispatch(op *trackedOp, server honeyplank.Member) {
	if op.answered {
		m.violate(ruleAnswer, "%s dispatched after its answer", op.ID)
	}
	if since, stopped := m.stoppedSince[server.ID]; stopped && m.now > since+m.settings.DrainGrace {
		m.violate(ruleStopped, "%s goes to %s", op.ID, server.ID)
	}
	if op.Cell != honeyplank.NewObject && op.Cell != server.Cell {
		m.violate(ruleRepeat, "%s goes to a server without its data", op.ID)
	}
	delay := m.settings.Dispatches.ConnectTimeout + maxProcessPause
	if !m.mayRetry(op, server.ID, delay) || len(op.dispatched) >= max(m.settings.Dispatches.Max, 1) {
		m.violate(ruleRepeat, "%s repeated", op.ID)
	}
	if !m.isNextOfKey(op) {
		m.violate(ruleOrder, "%s out of order", op.ID)
	}
}

// useLimit takes an op out of the bucket of its volume's limit.
func (m *ruleModel) useLimit(op *trackedOp) {
	plan := valueAt(m.settings.Plans, op.Plan)
	if plan.Limit <= 0 {
		return
	}
	refilled := plan.Limit * (m.now - m.limitUsedAt[op.Volume]).Seconds()
	used := max(0, m.limitUsed[op.Volume]-refilled) + op.Units
	m.limitUsed[op.Volume], m.limitUsedAt[op.Volume] = used, m.now
	if left := plan.Burst - used; left < -plan.Slack {
		m.violate(ruleLimit, "volume %d at %.1f", op.Volume, left)
	}
}

// checkSlowStart is ruleSlowStart: all instances' units that may reach a server within one window.
func (m *ruleModel) checkSlowStart(server honeyplank.Member) {
	window, warmUp := m.settings.SlowStart.Window, m.settings.SlowStart.Time
	age := m.now - server.Started
	if window <= 0 || server.Started == 0 || age >= warmUp {
		return
	}
	sum, from := 0.0, m.settings.SlowStart.From
	for _, sent := range m.slowStart[server.ID] {
		if sent.mayArrive(server.Started, m.now-window) {
			sum += sent.op.Units
		}
	}
	budget := (from + (1-from)*float64(age)/float64(warmUp)) / from * m.settings.SlowStart.Units
	if sum > budget+1e-9 {
		m.violate(ruleSlowStart, "%s gets %.1f of %.1f", server.ID, sum, budget)
	}
}

// recordReject holds a rejection to the rules and records it.
func (m *ruleModel) recordReject(action honeyplank.Reject) {
	m.recordAnswer(m.ops[action.Op])
	if !m.mayReject(m.ops[action.Op]) {
		m.violate(ruleRepeat, "%s rejected", action.Op)
	}
}

// recordAnswer holds the time of a rejection or a failure to the rules and records it.
func (m *ruleModel) recordAnswer(op *trackedOp) {
	if op.answered || op.responseStarted || m.now > op.Timeout+m.settings.AnswerGrace {
		m.violate(ruleAnswer, "%s answered twice or late", op.ID)
	}
	op.answered = true
}

// recordCancel holds a cancellation to the rules; it reports whether it is that of the op's last
// dispatch, which ends.
func (m *ruleModel) recordCancel(action honeyplank.Cancel) bool {
	op := m.ops[action.Op]
	made := op != nil && action.Dispatch >= 0 && action.Dispatch < len(op.dispatched)
	if !made || !m.settings.Dispatches.CancelAllowed {
		m.violate(ruleCancel, "%s: dispatch %d is cancelled, which was never made or may not be",
			action.Op, action.Dispatch)
		return false
	}
	if action.Dispatch < len(op.dispatched)-1 {
		return false
	}
	op.dispatched[action.Dispatch].cancelRequested = true
	return true
}

// recordOutcome records how the last dispatch of an op ends now.
func (m *ruleModel) recordOutcome(op *trackedOp, code honeyplank.Code) {
	notArrived := code == honeyplank.ConnectFailed || code == honeyplank.NotSent
	dispatch := &op.dispatched[len(op.dispatched)-1]
	dispatch.done, dispatch.endedAt = true, m.now
	dispatch.notArrived, dispatch.mayHaveRun = notArrived, !notArrived && code != honeyplank.Rejected
	if code == honeyplank.TimedOut || code == honeyplank.Reset || code == honeyplank.Cancelled {
		op.settledAt = m.now + m.settings.OrderSettle
	}
}

// checkAnswered is ruleAnswer for an op whose time is over.
func (m *ruleModel) checkAnswered(op *trackedOp) {
	if !op.answered && !op.responseStarted && m.now > op.Timeout+m.settings.AnswerGrace {
		m.violate(ruleAnswer, "%s has no answer", op.ID)
		op.answered = true
	}
}
