package simwire

import (
	"encoding/json"
	"time"

	"honeyplank"
)

// Site holds the settings of a deployment for an instance that runs outside the simulator.
type Site struct {
	Settings       *honeyplank.Settings
	LoadFields     []string      // names of the values in a load report, as on the wire
	OpTypes        []string      // names, in the order of Settings.OpTypes
	Plans          []string      // names, in the order of Settings.Plans
	Models         []string      // names of the hardware models, by number
	Zones          []string      // names of the zones, by number
	IdleTimeout    time.Duration // time after which an idle connection to a disk server is closed
	ConnectTimeout time.Duration // longest time that connecting to a disk server may take
	StreamsPerConn int           // number of dispatches that one connection carries at once
	WatchOnRequest bool          // whether the endpoint list is watched; otherwise it is polled
	HealthChecks   bool          // whether disk servers answer health checks
	Gossip         bool          // whether instances can send messages to each other
}

// ReadSite decodes the settings of a deployment, which have the form of "config" in the simulator's start message.
func ReadSite(raw []byte) (*Site, error) {
	var message siteMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	settings, err := message.settings()
	if err != nil {
		return nil, err
	}
	site := &Site{
		Settings:       settings,
		LoadFields:     message.LoadReport.Fields,
		Models:         message.Models,
		Zones:          message.Zones,
		IdleTimeout:    fromMillis(message.Capabilities.IdleTimeout),
		ConnectTimeout: fromMillis(message.Capabilities.ConnectTimeout),
		StreamsPerConn: message.Capabilities.StreamsPerConn,
		WatchOnRequest: message.watchOnRequest(),
		HealthChecks:   message.Capabilities.HealthChecks,
		Gossip:         message.Capabilities.Gossip,
	}
	for _, opType := range message.OpTypes {
		site.OpTypes = append(site.OpTypes, opType.Name)
	}
	for _, plan := range message.Plans {
		site.Plans = append(site.Plans, plan.Name)
	}
	return site, nil
}

// siteMessage is the wire form of a deployment's settings. Some fields are not used, but are decoded so that a value of
// the wrong type is rejected.
type siteMessage struct {
	Capabilities  capabilitiesMessage `json:"caps"`
	OpTypes       []opTypeMessage     `json:"classes"`
	Work          workMessage         `json:"family_info"`
	Discovery     string              `json:"membership_mode"`
	Zone          int                 `json:"my_zone"`
	Ordinal       int                 `json:"ordinal"`
	InstanceCount int                 `json:"peers_total"`
	Models        []string            `json:"models"`
	Zones         []string            `json:"zones"`
	Plans         []planMessage       `json:"plans"`
	LoadReport    loadReportMessage   `json:"report"`
	Rules         rulesMessage        `json:"rules"`
	Step          float64             `json:"step_ms"`
}

// capabilitiesMessage states the capabilities of a deployment's platform.
type capabilitiesMessage struct {
	CancelAllowed     bool    `json:"cancel"`
	MaxDispatches     int     `json:"max_attempts"`
	MaxRetryAfter     float64 `json:"max_retry_after_ms"`
	HedgingAllowed    bool    `json:"may_duplicate"`
	Gossip            bool    `json:"peer_messages"`
	HealthChecks      bool    `json:"probes"`
	RetryAfterAllowed bool    `json:"retry_after"`
	IdleTimeout       float64 `json:"keepalive_ms"`
	ConnectTimeout    float64 `json:"connect_timeout_ms"`
	StreamsPerConn    int     `json:"streams_per_conn"`
}

// opTypeMessage is the wire form of an op type.
type opTypeMessage struct {
	Name          string  `json:"name"`
	DedupScope    string  `json:"dedup_scope"`
	OpTimeout     float64 `json:"give_up_ms"`
	LateUtility   float64 `json:"late_worth"`
	Semantics     string  `json:"semantics"`
	Streaming     bool    `json:"streaming"`
	TargetLatency float64 `json:"target_ms"`
	DedupWindow   float64 `json:"window_ms"`
	Utility       float64 `json:"worth"`
	Ordered       bool    `json:"in_order"`
}

// workMessage states the properties of ops and the usage figures that disk servers report for their volumes.
type workMessage struct {
	Writes          []bool  `json:"changes_data"`
	ServedElsewhere bool    `json:"counts_others"`
	IdleUtility     float64 `json:"idle_worth"`
	LargestUnits    float64 `json:"largest"`
	MeanUnits       float64 `json:"unit_mean"`
	UsagePeriod     float64 `json:"use_period_ms"`
	WithinShare     float64 `json:"within_share"`
	SlowStartUnits  float64 `json:"young_limit"`
}

// planMessage is the wire form of a plan.
type planMessage struct {
	Name    string  `json:"name"`
	Limit   float64 `json:"ceiling_rate"`
	Slack   float64 `json:"limit_slack"`
	Burst   float64 `json:"most_at_once"`
	Rate    float64 `json:"rate"`
	Reserve float64 `json:"reserve"`
	Value   float64 `json:"value_factor"`
	Weight  float64 `json:"weight"`
}

// loadReportMessage names the values in the load reports of disk servers.
type loadReportMessage struct {
	Fields []string `json:"fields"`
}

// rulesMessage holds the rules that every instance must follow.
type rulesMessage struct {
	WatchWithin       float64  `json:"ask_within_ms"`
	SlowStartFrom     float64  `json:"cold_from"`
	SlowStartTime     float64  `json:"cold_ms"`
	SlowStartWindow   float64  `json:"fall_ms"`
	AnswerGrace       float64  `json:"grace_to_answer_ms"`
	DrainGrace        float64  `json:"stop_sending_within_ms"`
	OverloadMultiple  float64  `json:"tip_multiple"`
	RetryBudgetFree   float64  `json:"min_extra"`
	RetryBudgetShare  *float64 `json:"extra_per_request"`
	RetryBudgetWindow *float64 `json:"budget_span_ms"`
	OrderSettle       float64  `json:"order_settle_ms"`
}
