package settings

import (
	"cmp"

	"honeyplank"
	"honeyplank/nvme"
)

var moduleSemantics = map[Semantics]honeyplank.Semantics{
	Replayable:   honeyplank.Idempotent,
	Deduplicated: honeyplank.Deduplicated,
	OnceOnly:     honeyplank.AtMostOnce,
}

var moduleDedupScopes = map[DedupScope]honeyplank.DedupScope{
	"":        honeyplank.ScopeAll,
	ScopeAll:  honeyplank.ScopeAll,
	ScopeZone: honeyplank.ScopeZone,
	ScopeCell: honeyplank.ScopeCell,
}

// ModuleSettings converts the settings for the decision module.
func (g *Gateway) ModuleSettings() *honeyplank.Settings {
	return &honeyplank.Settings{
		Step:         g.Scheduler.Step.Duration(),
		Instances:    g.Scheduler.Instances,
		Ordinal:      g.Scheduler.Ordinal,
		OpTypes:      moduleOpTypes(g.OpTypes),
		Plans:        modulePlans(g.Plans.List),
		MeanUnits:    g.Volumes.MeanUnits,
		LargestUnits: float64(g.Units(int64(g.Limits.MaxTransfer))),
		Watch: honeyplank.WatchSettings{
			OnRequest: true,
			Within:    g.EndpointList.WatchWithin.Duration(),
		},
		Dispatches: honeyplank.DispatchSettings{
			Max:            g.Dispatches.Max,
			HedgingAllowed: g.Dispatches.HedgingAllowed,
			CancelAllowed:  true,
			ConnectTimeout: g.DiskServers.ConnectTimeout.Duration(),
		},
		RetryAfter: honeyplank.RetryAfterSettings{
			Allowed: g.Dispatches.MaxRetryAfter > 0,
			Max:     g.Dispatches.MaxRetryAfter.Duration(),
		},
		RetryBudget: g.Policy.RetryBudget.moduleSettings(),
		SlowStart:   g.Policy.SlowStart.moduleSettings(),
		Usage: honeyplank.UsageSettings{
			Period:    g.Policy.UsagePeriod.Duration(),
			Elsewhere: g.Policy.UsageElsewhere,
		},
		DrainGrace:  g.Policy.DrainGrace.Duration(),
		OrderSettle: g.Policy.OrderSettle.Duration(),
	}
}

// moduleSettings converts the budget for the decision module. If b is nil, retries are not limited.
func (b *RetryBudget) moduleSettings() honeyplank.RetryBudget {
	if b == nil {
		return honeyplank.RetryBudget{}
	}
	return honeyplank.RetryBudget{Limited: true, Free: b.Free, Share: b.Share, Window: b.Window.Duration()}
}

// moduleSettings converts the slow start for the decision module. If s is nil, disk servers start at the full rate.
func (s *SlowStart) moduleSettings() honeyplank.SlowStartSettings {
	if s == nil {
		return honeyplank.SlowStartSettings{}
	}
	return honeyplank.SlowStartSettings{
		Window: s.Window.Duration(),
		Time:   s.Time.Duration(),
		From:   s.From,
		Units:  s.Units,
	}
}

func moduleOpTypes(types []OpType) []honeyplank.OpType {
	var opTypes []honeyplank.OpType
	for _, t := range types {
		opTypes = append(opTypes, honeyplank.OpType{
			TargetLatency: t.TargetLatency.Duration(),
			OpTimeout:     t.OpTimeout.Duration(),
			Utility:       t.Utility,
			Semantics:     moduleSemantics[t.Semantics],
			DedupScope:    moduleDedupScopes[t.DedupScope],
			DedupWindow:   t.DedupWindow.Duration(),
			Ordered:       t.Ordered,
		})
	}
	return opTypes
}

func modulePlans(list []Plan) []honeyplank.Plan {
	var plans []honeyplank.Plan
	for _, p := range list {
		plans = append(plans, honeyplank.Plan{
			Rate:    p.Rate,
			Reserve: p.Reserve,
			Weight:  p.Weight,
			Value:   cmp.Or(p.Value, 1),
			Limit:   p.Limit,
			Burst:   p.Burst,
			Slack:   p.Slack,
		})
	}
	return plans
}

// Units returns the size of an op in units, rounded up, and at least 1.
func (g *Gateway) Units(bytes int64) int64 {
	unit := int64(g.Volumes.Unit)
	return max((bytes+unit-1)/unit, 1)
}

// OpTypeIndex returns the index of the op type of a Read or Write with an NVMe opcode and a length in bytes, or -1 if
// there is none.
func (g *Gateway) OpTypeIndex(opcode uint8, bytes int64) int {
	want := OpcodeRead
	if opcode == nvme.Write {
		want = OpcodeWrite
	}
	for i, t := range g.OpTypes {
		atMost := t.MaxBytes == 0 || bytes <= int64(t.MaxBytes)
		if t.Opcode == want && bytes >= int64(t.MinBytes) && atMost {
			return i
		}
	}
	return -1
}

// PlanIndex returns the index of the plan with a name, or -1 if there is none.
func (g *Gateway) PlanIndex(name string) int {
	for i, p := range g.Plans.List {
		if p.Name == name {
			return i
		}
	}
	return -1
}
