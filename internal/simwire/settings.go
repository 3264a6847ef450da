package simwire

import (
	"fmt"

	"honeyplank"
)

// discoveryByWatch is the siteMessage.Discovery of a deployment whose endpoint list is watched.
const discoveryByWatch = "subscribe"

var semanticsByName = map[string]honeyplank.Semantics{
	"":            honeyplank.Idempotent,
	"pure":        honeyplank.Idempotent,
	"token":       honeyplank.Deduplicated,
	"side_effect": honeyplank.AtMostOnce,
}

var dedupScopesByName = map[string]honeyplank.DedupScope{
	"":     honeyplank.ScopeAll,
	"all":  honeyplank.ScopeAll,
	"zone": honeyplank.ScopeZone,
	"cell": honeyplank.ScopeCell,
}

// settings converts the message to the module's settings.
func (m *siteMessage) settings() (*honeyplank.Settings, error) {
	opTypes, err := m.opTypes()
	if err != nil {
		return nil, err
	}
	return &honeyplank.Settings{
		Step:         fromMillis(m.Step),
		Instances:    m.InstanceCount,
		Ordinal:      m.Ordinal,
		OpTypes:      opTypes,
		Plans:        m.plans(),
		MeanUnits:    m.Work.MeanUnits,
		LargestUnits: m.Work.LargestUnits,
		Watch: honeyplank.WatchSettings{
			OnRequest: m.watchOnRequest(),
			Within:    fromMillis(m.Rules.WatchWithin),
		},
		Dispatches: m.Capabilities.dispatches(),
		RetryAfter: honeyplank.RetryAfterSettings{
			Allowed: m.Capabilities.RetryAfterAllowed,
			Max:     fromMillis(m.Capabilities.MaxRetryAfter),
		},
		RetryBudget: m.Rules.retryBudget(),
		SlowStart: honeyplank.SlowStartSettings{
			Window: fromMillis(m.Rules.SlowStartWindow),
			Time:   fromMillis(m.Rules.SlowStartTime),
			From:   m.Rules.SlowStartFrom,
			Units:  m.Work.SlowStartUnits,
		},
		Usage: honeyplank.UsageSettings{
			Period:    fromMillis(m.Work.UsagePeriod),
			Elsewhere: m.Work.ServedElsewhere,
		},
		DrainGrace:  fromMillis(m.Rules.DrainGrace),
		AnswerGrace: fromMillis(m.Rules.AnswerGrace),
		OrderSettle: fromMillis(m.Rules.OrderSettle),
	}, nil
}

func (m *capabilitiesMessage) dispatches() honeyplank.DispatchSettings {
	return honeyplank.DispatchSettings{
		Max:            m.MaxDispatches,
		HedgingAllowed: m.HedgingAllowed,
		CancelAllowed:  m.CancelAllowed,
		ConnectTimeout: fromMillis(m.ConnectTimeout),
	}
}

func (m *siteMessage) watchOnRequest() bool { return m.Discovery == discoveryByWatch }

func (m *siteMessage) opTypes() ([]honeyplank.OpType, error) {
	var opTypes []honeyplank.OpType
	for i, opType := range m.OpTypes {
		semantics, ok := semanticsByName[opType.Semantics]
		if !ok {
			return nil, fmt.Errorf("classes[%d].semantics %q is unknown", i, opType.Semantics)
		}
		scope, ok := dedupScopesByName[opType.DedupScope]
		if !ok {
			return nil, fmt.Errorf("classes[%d].dedup_scope %q is unknown", i, opType.DedupScope)
		}
		opTypes = append(opTypes, honeyplank.OpType{
			TargetLatency: fromMillis(opType.TargetLatency),
			OpTimeout:     fromMillis(opType.OpTimeout),
			Utility:       opType.Utility,
			Semantics:     semantics,
			DedupScope:    scope,
			DedupWindow:   fromMillis(opType.DedupWindow),
			Ordered:       opType.Ordered,
		})
	}
	return opTypes, nil
}

func (m *siteMessage) plans() []honeyplank.Plan {
	var plans []honeyplank.Plan
	for _, plan := range m.Plans {
		plans = append(plans, honeyplank.Plan{
			Rate:    plan.Rate,
			Reserve: plan.Reserve,
			Weight:  plan.Weight,
			Value:   plan.Value,
			Limit:   plan.Limit,
			Burst:   plan.Burst,
			Slack:   plan.Slack,
		})
	}
	return plans
}

// retryBudget returns the retry budget. Retries are limited only if the rules state the budget's share or its window.
func (m *rulesMessage) retryBudget() (budget honeyplank.RetryBudget) {
	if m.RetryBudgetWindow == nil && m.RetryBudgetShare == nil {
		return budget
	}
	budget.Limited, budget.Free = true, m.RetryBudgetFree
	if m.RetryBudgetShare != nil {
		budget.Share = *m.RetryBudgetShare
	}
	if m.RetryBudgetWindow != nil {
		budget.Window = fromMillis(*m.RetryBudgetWindow)
	}
	return budget
}
