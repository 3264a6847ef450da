package policy

import (
	"fmt"
	"slices"
	"time"

	"honeyplank"
)

// The rules that every instance keeps, by their numbers.
const (
	ruleCancel      = 0 // only dispatches that were made are cancelled, and only if cancelling is allowed
	ruleAnswer      = 1 // each op gets exactly one answer in time
	ruleRepeat      = 2 // an op goes to a server with its data, and is repeated only as its semantics allow
	ruleStopped     = 3 // nothing is sent to a draining or removed server after the grace
	ruleSlowStart   = 4 // no server in slow start is sent more than its budget
	ruleOrder       = 5 // ops of one key of an ordered type run one after another
	ruleRetryBudget = 6
	ruleLimit       = 7 // no volume exceeds the limit of its plan
)

// ruleModel is a slow and simple implementation of the rules. It checks what every instance
// receives and does.
type ruleModel struct {
	settings     *honeyplank.Settings
	now          time.Duration
	ops          map[honeyplank.OpID]*trackedOp
	order        []*trackedOp // in the order of admission
	servers      map[honeyplank.ServerID]honeyplank.Member
	stoppedSince map[honeyplank.ServerID]time.Duration // time of the notification that it is draining or removed
	slowStart    map[honeyplank.ServerID][]slowStartDispatch
	limitUsed    map[int64]float64 // by volume: units taken from the limit's bucket
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

// trackedOp is the model's record of an op.
type trackedOp struct {
	honeyplank.Op
	instance        int
	admittedAt      time.Duration
	dispatched      []trackedDispatch
	answered        bool
	responseStarted bool
	settledAt       time.Duration // the next op of its key waits until then
}

// trackedDispatch is the model's record of a dispatch.
type trackedDispatch struct {
	server          honeyplank.ServerID
	sentAt          time.Duration
	cancelRequested bool
	done            bool // it ended at endedAt
	endedAt         time.Duration
	mayHaveRun      bool
	notArrived      bool // it reached no server
}

// slowStartDispatch is a dispatch to a server, for the rule on slow starts.
type slowStartDispatch struct {
	op    *trackedOp
	index int
}

// mayArrive reports whether a dispatch may reach its server at or after the time given by at. It
// returns false for a dispatch that was made before since.
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

// mayRetry checks ruleRepeat for a retry that runs at a server when the duration after has passed.
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

// inDedupScope reports whether the later server drops a repeat of an op that was sent to the
// earlier one.
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

// mayReject checks ruleRepeat for a rejection.
func (m *ruleModel) mayReject(op *trackedOp) bool {
	opType := m.opType(op)
	return op.neverRan() || opType.Semantics == honeyplank.Idempotent ||
		opType.Semantics == honeyplank.Deduplicated && opType.DedupScope == honeyplank.ScopeAll
}

// isNextOfKey checks ruleOrder.
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

// maxProcessPause is the longest time for which a process may be paused between a decision and its
// dispatch.
const maxProcessPause = 150 * ms

// withinRetryBudget checks ruleRetryBudget for one more retry, which may be delayed like the
// earlier ones.
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

// dispatch checks a dispatch against the rules and records it.
func (m *ruleModel) dispatch(instance int, action honeyplank.Dispatch) {
	op, server := m.ops[action.Op], m.servers[action.Server]
	m.checkDispatch(op, server)
	if len(op.dispatched) > 0 {
		if !m.withinRetryBudget(instance) {
			m.violate(ruleRetryBudget, "retry of %s exceeds the retry budget", action.Op)
		}
		m.retries[instance] = append(m.retries[instance], m.now)
	} else {
		m.useLimit(op)
	}
	op.dispatched = append(op.dispatched, trackedDispatch{server: action.Server, sentAt: m.now})
	m.slowStart[server.ID] = append(m.slowStart[server.ID], slowStartDispatch{op, len(op.dispatched) - 1})
	m.checkSlowStart(server)
}

// checkDispatch checks the rules on an op and on the server to which it is sent.
func (m *ruleModel) checkDispatch(op *trackedOp, server honeyplank.Member) {
	if op.answered {
		m.violate(ruleAnswer, "%s dispatched after its answer", op.ID)
	}
	if since, stopped := m.stoppedSince[server.ID]; stopped && m.now > since+m.settings.DrainGrace {
		m.violate(ruleStopped, "%s dispatched to %s, which is draining or removed", op.ID, server.ID)
	}
	if op.Cell != honeyplank.AnyCell && op.Cell != server.Cell {
		m.violate(ruleRepeat, "%s dispatched to a server without its data", op.ID)
	}
	delay := m.settings.Dispatches.ConnectTimeout + maxProcessPause
	if !m.mayRetry(op, server.ID, delay) || len(op.dispatched) >= max(m.settings.Dispatches.Max, 1) {
		m.violate(ruleRepeat, "%s dispatched again against its semantics or the maximum", op.ID)
	}
	if !m.isNextOfKey(op) {
		m.violate(ruleOrder, "%s dispatched before an earlier op of its key has settled", op.ID)
	}
}

// useLimit takes an op's units from the bucket of its volume's limit, and checks ruleLimit.
func (m *ruleModel) useLimit(op *trackedOp) {
	plan := valueAt(m.settings.Plans, op.Plan)
	if plan.Limit <= 0 {
		return
	}
	refilled := plan.Limit * (m.now - m.limitUsedAt[op.Volume]).Seconds()
	used := max(0, m.limitUsed[op.Volume]-refilled) + op.Units
	m.limitUsed[op.Volume], m.limitUsedAt[op.Volume] = used, m.now
	if left := plan.Burst - used; left < -plan.Slack {
		m.violate(ruleLimit, "volume %d has %.1f units left in its bucket", op.Volume, left)
	}
}

// checkSlowStart checks ruleSlowStart: the units of all instances that may reach a server within
// one window.
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
		m.violate(ruleSlowStart, "%s may receive %.1f units in a window, budget %.1f", server.ID, sum, budget)
	}
}

// recordReject checks a rejection against the rules and records it.
func (m *ruleModel) recordReject(action honeyplank.Reject) {
	m.recordAnswer(m.ops[action.Op])
	if !m.mayReject(m.ops[action.Op]) {
		m.violate(ruleRepeat, "%s rejected, but it may have run", action.Op)
	}
}

// recordAnswer checks the time of a rejection or a failure against the rules and records it.
func (m *ruleModel) recordAnswer(op *trackedOp) {
	if op.answered || op.responseStarted || m.now > op.Deadline+m.settings.AnswerGrace {
		m.violate(ruleAnswer, "%s answered twice, after its response started, or late", op.ID)
	}
	op.answered = true
}

// recordCancel checks a cancellation against the rules. It reports whether the cancellation ends
// the last dispatch of the op.
func (m *ruleModel) recordCancel(action honeyplank.Cancel) bool {
	op := m.ops[action.Op]
	made := op != nil && action.Dispatch >= 0 && action.Dispatch < len(op.dispatched)
	if !made || !m.settings.Dispatches.CancelAllowed {
		m.violate(ruleCancel, "%s: dispatch %d cancelled, which was never made or may not be cancelled",
			action.Op, action.Dispatch)
		return false
	}
	if action.Dispatch < len(op.dispatched)-1 {
		return false
	}
	op.dispatched[action.Dispatch].cancelRequested = true
	return true
}

// recordOutcome records the outcome of the last dispatch of an op.
func (m *ruleModel) recordOutcome(op *trackedOp, code honeyplank.Code) {
	notArrived := code == honeyplank.ConnectFailed || code == honeyplank.NotSent
	dispatch := &op.dispatched[len(op.dispatched)-1]
	dispatch.done, dispatch.endedAt = true, m.now
	dispatch.notArrived, dispatch.mayHaveRun = notArrived, !notArrived && code != honeyplank.Rejected
	if code == honeyplank.TimedOut || code == honeyplank.Reset || code == honeyplank.Cancelled {
		op.settledAt = m.now + m.settings.OrderSettle
	}
}

// checkAnswered checks ruleAnswer: an op has an answer once its deadline and the grace are over.
func (m *ruleModel) checkAnswered(op *trackedOp) {
	if !op.answered && !op.responseStarted && m.now > op.Deadline+m.settings.AnswerGrace {
		m.violate(ruleAnswer, "%s not answered in time", op.ID)
		op.answered = true
	}
}
