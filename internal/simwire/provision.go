package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"honeyplank"
)

type provision struct {
	Salt   int64       `json:"salt"`
	Config siteFigures `json:"config"`
}

// siteFigures are the settings as the wire words them.
type siteFigures struct {
	Caps struct {
		Cancel         bool    `json:"cancel"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after_ms"`
		MayDuplicate   bool    `json:"may_duplicate"`
		Peers          bool    `json:"peer_messages"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
		Keepalive      float64 `json:"keepalive_ms"`
		Connect        float64 `json:"connect_timeout_ms"`
		StreamsPerConn int     `json:"streams_per_conn"`
	} `json:"caps"`
	Classes []struct {
		Name      string  `json:"name"`
		Scope     string  `json:"dedup_scope"`
		GiveUp    float64 `json:"give_up_ms"`
		LateWorth float64 `json:"late_worth"`
		Semantics string  `json:"semantics"`
		Streaming bool    `json:"streaming"`
		Target    float64 `json:"target_ms"`
		Window    float64 `json:"window_ms"`
		Worth     float64 `json:"worth"`
		InOrder   bool    `json:"in_order"`
	} `json:"classes"`
	Family struct {
		Writes       []bool  `json:"changes_data"`
		CountsOthers bool    `json:"counts_others"`
		IdleWorth    float64 `json:"idle_worth"`
		Largest      float64 `json:"largest"`
		UnitMean     float64 `json:"unit_mean"`
		UsePeriod    float64 `json:"use_period_ms"`
		WithinShare  float64 `json:"within_share"`
		YoungLimit   float64 `json:"young_limit"`
	} `json:"family_info"`
	Membership string   `json:"membership_mode"`
	Zone       int      `json:"my_zone"`
	Ordinal    int      `json:"ordinal"`
	Peers      int      `json:"peers_total"`
	Models     []string `json:"models"`
	Zones      []string `json:"zones"`
	Plans      []struct {
		Name    string  `json:"name"`
		Ceiling float64 `json:"ceiling_rate"`
		Slack   float64 `json:"limit_slack"`
		Most    float64 `json:"most_at_once"`
		Rate    float64 `json:"rate"`
		Reserve float64 `json:"reserve"`
		Factor  float64 `json:"value_factor"`
		Weight  float64 `json:"weight"`
	} `json:"plans"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		AskWithin float64  `json:"ask_within_ms"`
		ColdFrom  float64  `json:"cold_from"`
		Cold      float64  `json:"cold_ms"`
		Fall      float64  `json:"fall_ms"`
		Grace     float64  `json:"grace_to_answer_ms"`
		Stop      float64  `json:"stop_sending_within_ms"`
		Multiple  float64  `json:"tip_multiple"`
		MinExtra  float64  `json:"min_extra"`
		Extra     *float64 `json:"extra_per_request"`
		Span      *float64 `json:"budget_span_ms"`
		Settle    float64  `json:"order_settle_ms"`
	} `json:"rules"`
	Step float64 `json:"step_ms"`
}

var kinds = map[string]honeyplank.Semantics{
	"": honeyplank.Idempotent, "pure": honeyplank.Idempotent,
	"token": honeyplank.Deduplicated, "side_effect": honeyplank.AtMostOnce,
}

var scopes = map[string]honeyplank.DedupScope{
	"": honeyplank.ScopeAll, "all": honeyplank.ScopeAll,
	"zone": honeyplank.ScopeZone, "cell": honeyplank.ScopeCell,
}

// Site is what the settings say, for whoever meets the site elsewhere than on the simulator's wire.
type Site struct {
	Settings             *honeyplank.Settings
	LoadFields           []string // names of the values of a load report
	OpTypes, Plans       []string // names, in the order of the lists in Values
	Models, Zones        []string
	IdleTimeout          time.Duration // idle connections are closed after this long
	ConnectTimeout       time.Duration
	StreamsPerConn       int // dispatches that one connection carries
	WatchOnRequest       bool
	HealthChecks, Gossip bool
}

// ReadSite reads the settings as the simulator's first message holds them.
func ReadSite(raw []byte) (*Site, error) {
	var f siteFigures
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	values, err := f.settings()
	if err != nil {
		return nil, err
	}
	s := &Site{Settings: values, LoadFields: f.Report.Fields, Models: f.Models, Zones: f.Zones, IdleTimeout: span(f.Caps.Keepalive),
		ConnectTimeout: span(f.Caps.Connect), StreamsPerConn: f.Caps.StreamsPerConn, WatchOnRequest: f.Membership == "subscribe",
		HealthChecks: f.Caps.Probes, Gossip: f.Caps.Peers}
	for _, c := range f.Classes {
		s.OpTypes = append(s.OpTypes, c.Name)
	}
	for _, p := range f.Plans {
		s.Plans = append(s.Plans, p.Name)
	}
	return s, nil
}

// settings turns the wire's settings into the module's. A retry budget is there only where the site states one.
func (f *siteFigures) settings() (*honeyplank.Settings, error) {
	var target, timeout, remember []time.Duration
	var utility []float64
	var kind []honeyplank.Semantics
	var scope []honeyplank.DedupScope
	var ordered []bool
	for i, c := range f.Classes {
		k, ok := kinds[c.Semantics]
		if !ok {
			return nil, fmt.Errorf("classes[%d].semantics %q is unknown", i, c.Semantics)
		}
		s, ok := scopes[c.Scope]
		if !ok {
			return nil, fmt.Errorf("classes[%d].dedup_scope %q is unknown", i, c.Scope)
		}
		target, timeout = append(target, span(c.Target)), append(timeout, span(c.GiveUp))
		remember = append(remember, span(c.Window))
		utility = append(utility, c.Worth)
		kind, scope, ordered = append(kind, k), append(scope, s), append(ordered, c.InOrder)
	}
	var rate, reserve, weight, value, limit, burst, slack []float64
	for _, p := range f.Plans {
		rate, reserve = append(rate, p.Rate), append(reserve, p.Reserve)
		weight, value = append(weight, p.Weight), append(value, p.Factor)
		limit, burst = append(limit, p.Ceiling), append(burst, p.Most)
		slack = append(slack, p.Slack)
	}
	v := &honeyplank.Settings{
		Step:      span(f.Step),
		Instances: f.Peers,
		Ordinal:   f.Ordinal,
		OpTypes: honeyplank.OpTypeSettings{TargetLatency: target, OpTimeout: timeout, Utility: utility, Semantics: kind,
			DedupScope: scope, DedupWindow: remember, Ordered: ordered},
		Plans: honeyplank.PlanSettings{Rate: rate, Reserve: reserve, Weight: weight, Value: value, Limit: limit, Burst: burst,
			Slack: slack},
		MeanUnits:    f.Family.UnitMean,
		LargestUnits: f.Family.Largest,
		Watch:        honeyplank.WatchSettings{OnRequest: f.Membership == "subscribe", Within: span(f.Rules.AskWithin)},
		Dispatches: honeyplank.DispatchSettings{Max: f.Caps.MaxAttempts, HedgingAllowed: f.Caps.MayDuplicate, CancelAllowed: f.Caps.Cancel,
			ConnectTimeout: span(f.Caps.Connect)},
		RetryAfter: honeyplank.RetryAfterSettings{Allowed: f.Caps.RetryAfter, Max: span(f.Caps.MaxRetryAfter)},
		SlowStart: honeyplank.SlowStartSettings{Window: span(f.Rules.Fall), Time: span(f.Rules.Cold), From: f.Rules.ColdFrom,
			Units: f.Family.YoungLimit},
		Usage:       honeyplank.UsageSettings{Period: span(f.Family.UsePeriod), Elsewhere: f.Family.CountsOthers},
		DrainGrace:  span(f.Rules.Stop),
		AnswerGrace: span(f.Rules.Grace),
		OrderSettle: span(f.Rules.Settle),
	}
	if f.Rules.Span != nil || f.Rules.Extra != nil {
		v.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: f.Rules.MinExtra}
		if f.Rules.Extra != nil {
			v.RetryBudget.Share = *f.Rules.Extra
		}
		if f.Rules.Span != nil {
			v.RetryBudget.Window = span(*f.Rules.Span)
		}
	}
	return v, nil
}
