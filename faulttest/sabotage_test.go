package faulttest

import (
	"context"
	"slices"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/policy"
	"honeyplank/settings"
)

// actionFilter changes the actions that a decision module returns for an event.
type actionFilter func(now time.Duration, event honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action

// filteredModule is a decision module whose actions pass through a filter.
type filteredModule struct {
	honeyplank.DecisionModule
	filter actionFilter
}

func (m *filteredModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	return m.filter(now, event, m.DecisionModule.Handle(now, event))
}

// violationCases are runs that violate one rule each, because of a filter or because they use the baseline. Gateways
// carry out the actions of their module; the audit must detect the violation from the traffic on the sockets.
var violationCases = []struct {
	name   string
	rule   int
	faults []settings.Fault
	// newFilter makes the filter of a gateway's module. If it is nil, the gateway uses the baseline, which keeps no
	// rule but the first.
	newFilter func() actionFilter
}{
	{
		name:      "an answer is dropped",
		rule:      1,
		faults:    []settings.Fault{fault("die", time.Second, time.Second, 2, 0)},
		newFilter: dropRejections,
	},
	{
		name:      "an answer comes late",
		rule:      1,
		faults:    []settings.Fault{fault("silent", time.Second, 3*time.Second, 3, 0)},
		newFilter: delayRejections,
	},
	{
		name:      "a once-only op is dispatched twice",
		rule:      2,
		newFilter: dispatchTwice,
	},
	{
		name:      "an op is dispatched to a drained server",
		rule:      3,
		faults:    []settings.Fault{fault("drain", 500*time.Millisecond, 3*time.Second, 2, 0)},
		newFilter: dispatchToFirstServer,
	},
	{
		name: "a server in slow start is overloaded",
		rule: 4,
		faults: []settings.Fault{
			fault("die", 500*time.Millisecond, 700*time.Millisecond, 2, 0),
			fault("surge", 1500*time.Millisecond, 2*time.Second, 11, 6),
		},
	},
	{
		name:   "the order of a key is swapped",
		rule:   5,
		faults: []settings.Fault{fault("slow", 200*time.Millisecond, 3*time.Second, 6, 4)},
	},
	{
		name:      "the retry budget is exceeded",
		rule:      6,
		faults:    []settings.Fault{fault("fail", 500*time.Millisecond, 3*time.Second, 6, 0.9)},
		newFilter: retryAllFailures,
	},
	{
		name:   "the limit of a plan is exceeded",
		rule:   7,
		faults: []settings.Fault{fault("surge", 200*time.Millisecond, 4*time.Second, 11, 8)},
	},
}

// TestViolationsDetected checks that the audit detects a violation of each rule from the traffic alone.
func TestViolationsDetected(t *testing.T) {
	for _, violation := range violationCases {
		t.Run(violation.name, func(t *testing.T) {
			t.Parallel()
			options := Options{Script: shortScript(t, 4*time.Second, violation.faults...), Seed: 3, Module: NewBaseline}
			if violation.newFilter != nil {
				options.Module = func(seed int64, s *honeyplank.Settings) honeyplank.DecisionModule {
					return &filteredModule{policy.New(seed, s), violation.newFilter()}
				}
			}
			report, err := Run(context.Background(), options)
			if err != nil {
				t.Fatal(err)
			}
			if v := report.Rules[violation.rule-1]; v.Kept || v.Evidence == "" {
				t.Errorf("the violation of rule %d was not detected\n%v", violation.rule, report)
			}
		})
	}
}

func isRejection(action honeyplank.Action) bool {
	_, ok := action.(honeyplank.Reject)
	return ok
}

func isDispatch(action honeyplank.Action) bool {
	_, ok := action.(honeyplank.Dispatch)
	return ok
}

func dropRejections() actionFilter {
	return func(_ time.Duration, _ honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action {
		return slices.DeleteFunc(actions, isRejection)
	}
}

// delayRejections delays rejections by up to two seconds.
func delayRejections() actionFilter {
	const lateTimer honeyplank.TimerID = "late"
	var delayed []honeyplank.Action
	return func(now time.Duration, event honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action {
		if timer, ok := event.(honeyplank.Timer); ok && timer.ID == lateTimer {
			actions = append(delayed, actions...)
			delayed = nil
			return actions
		}
		before := len(delayed)
		actions = slices.DeleteFunc(actions, func(a honeyplank.Action) bool {
			if !isRejection(a) {
				return false
			}
			delayed = append(delayed, a)
			return true
		})
		if len(delayed) > before {
			actions = append(actions, honeyplank.SetTimer{At: now + 2*time.Second, ID: lateTimer})
		}
		return actions
	}
}

func dispatchTwice() actionFilter {
	return func(_ time.Duration, _ honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action {
		for _, a := range actions {
			if isDispatch(a) {
				actions = append(actions, a)
			}
		}
		return actions
	}
}

// dispatchToFirstServer dispatches each op to the first disk server that its cell had.
func dispatchToFirstServer() actionFilter {
	first := map[int]honeyplank.ServerID{}
	return func(_ time.Duration, event honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action {
		switch event := event.(type) {
		case honeyplank.List:
			for _, m := range event.Members {
				if _, ok := first[m.Cell]; !ok {
					first[m.Cell] = m.ID
				}
			}
		case honeyplank.Op:
			actions = slices.DeleteFunc(actions, isDispatch)
			return append(actions, honeyplank.Dispatch{Op: event.ID, Server: first[event.Cell]})
		}
		return actions
	}
}

// retryAllFailures retries each failed op of the first two types up to six times, regardless of the retry budget.
func retryAllFailures() actionFilter {
	opTypes := map[honeyplank.OpID]int{}
	return func(_ time.Duration, event honeyplank.Event, actions []honeyplank.Action) []honeyplank.Action {
		switch event := event.(type) {
		case honeyplank.Op:
			opTypes[event.ID] = event.Type
		case honeyplank.Outcome:
			failed := !event.Answered && event.Code == honeyplank.Failed
			if failed && event.Dispatch < 6 && opTypes[event.Op] < 2 {
				actions = slices.DeleteFunc(actions, isRejection)
				return append(actions, honeyplank.Dispatch{Op: event.Op, Server: event.Server})
			}
		}
		return actions
	}
}
