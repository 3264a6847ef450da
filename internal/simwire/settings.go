package simwire

import (
	"fmt"

	"honeyplank"
)

// discoveryByWatch is the siteMessage.Discovery of a list that is watched.
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

// settings are the module's settings.
func (m *siteMessage) settings() (*honeyplank.Settings, error) {
	opTypes, err := m.opTypeSettings()
	if err != nil {
		return nil, err
	}
	return &honeyplank.Settings{
		Step:         fromMillis(m.Step),
		Instances:    m.InstanceCount,
		Ordinal:      m.Ordinal,
		OpTypes:      opTypes,
		Plans:        m.planSettings(),
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

func (m *siteMessage) opTypeSettings() (settings honeyplank.OpTypeSettings, err error) {
	for i, opType := range m.OpTypes {
		semantics, ok := semanticsByName[opType.Semantics]
		if !ok {
			return settings, fmt.Errorf("classes[%d].semantics %q is unknown", i, opType.Semantics)
		}
		scope, ok := dedupScopesByName[opType.DedupScope]
		if !ok {
			return settings, fmt.Errorf("classes[%d].dedup_scope %q is unknown", i, opType.DedupScope)
		}
		settings.TargetLatency = append(settings.TargetLatency, fromMillis(opType.TargetLatency))
		settings.OpTimeout = append(settings.OpTimeout, fromMillis(opType.OpTimeout))
		settings.Utility = append(settings.Utility, opType.Utility)
		settings.Semantics = append(settings.Semantics, semantics)
		settings.DedupScope = append(settings.DedupScope, scope)
		settings.DedupWindow = append(settings.DedupWindow, fromMillis(opType.DedupWindow))
		settings.Ordered = append(settings.Ordered, opType.Ordered)
	}
	return settings, nil
}

func (m *siteMessage) planSettings() (settings honeyplank.PlanSettings) {
	for _, plan := range m.Plans {
		settings.Rate = append(settings.Rate, plan.Rate)
		settings.Reserve = append(settings.Reserve, plan.Reserve)
		settings.Weight = append(settings.Weight, plan.Weight)
		settings.Value = append(settings.Value, plan.Value)
		settings.Limit = append(settings.Limit, plan.Limit)
		settings.Burst = append(settings.Burst, plan.Burst)
		settings.Slack = append(settings.Slack, plan.Slack)
	}
	return settings
}

// retryBudget is the retry budget; there is one only where the rules state its share or its window.
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
