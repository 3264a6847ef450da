package honeyplank

import "time"

// Settings describe the deployment to a decision module. They must not change after a module has been created with
// them. Unless a field says otherwise, zero means that the deployment does not state the value.
type Settings struct {
	// Step is the shortest time between two timers of the module.
	Step time.Duration
	// Instances is the number of instances of the deployment.
	Instances int
	// Ordinal is the index of this instance among them, from 0.
	Ordinal int

	OpTypes []OpType // indexed by Op.Type
	Plans   []Plan   // indexed by Op.Plan

	// MeanUnits is the mean size of an op, in units.
	MeanUnits float64
	// LargestUnits is the largest size of an op, in units.
	LargestUnits float64

	Watch       WatchSettings
	Dispatches  DispatchSettings
	RetryAfter  RetryAfterSettings
	RetryBudget RetryBudget
	SlowStart   SlowStartSettings
	Usage       UsageSettings

	// DrainGrace is how long an instance may still send to a disk server after the notification that it drains.
	DrainGrace time.Duration
	// AnswerGrace is how long after its deadline an op may still be answered.
	AnswerGrace time.Duration
	// OrderSettle is how long an op of an ordered type waits after the outcome of an earlier op of its key, if that op
	// may still be running on the disk server.
	OrderSettle time.Duration
}

// OpType describes an op type.
type OpType struct {
	TargetLatency time.Duration // an answer within this time earns the full utility
	OpTimeout     time.Duration // how long clients wait for an answer, over all their attempts
	Utility       float64       // priority weight of an op
	Semantics     Semantics
	DedupScope    DedupScope    // for a deduplicated type
	DedupWindow   time.Duration // how long repeats of a deduplicated op are dropped
	Ordered       bool          // whether ops of one key run in the order of their arrival
}

// Plan describes a volume's plan.
type Plan struct {
	Rate    float64 // expected rate of a volume, in units a second
	Reserve float64 // guaranteed rate of a volume, in units a second
	Weight  float64 // relative share of a volume in the capacity beyond the reserves
	Value   float64 // factor applied to the utility of a volume's ops
	Limit   float64 // highest allowed rate of a volume, in units a second; 0: none
	Burst   float64 // size of the limit's token bucket, in units
	Slack   float64 // amount by which a limit may be exceeded, in units
}

// WatchSettings describe how the endpoint list is watched.
type WatchSettings struct {
	// OnRequest is set if the module must request the watch with a Watch action, and again after the watch has ended.
	OnRequest bool
	// Within is the longest time that an instance may take to request the watch. It bounds the module's backoff.
	Within time.Duration
}

// DispatchSettings bound the dispatches of an op.
type DispatchSettings struct {
	Max            int  // largest number of dispatches of an op; 0: one
	HedgingAllowed bool // whether several may be outstanding at once (hedged requests)
	CancelAllowed  bool // whether an outstanding dispatch may be cancelled
	// ConnectTimeout is the longest time that establishing a connection may take.
	ConnectTimeout time.Duration
}

// RetryAfterSettings bound Reject.RetryAfter.
type RetryAfterSettings struct {
	Allowed bool          // whether Reject.RetryAfter may be set
	Max     time.Duration // largest value of Reject.RetryAfter
}

// RetryBudget bounds the number of retries within a sliding window.
type RetryBudget struct {
	Limited bool          // whether there is a budget; otherwise the number of retries is not bounded
	Free    float64       // retries that are always allowed
	Share   float64       // additional retries for each admitted op
	Window  time.Duration // length of the window
}

// SlowStartSettings bound the ops that are sent to a disk server that has just started.
type SlowStartSettings struct {
	Window time.Duration // period to which Units applies; 0: no slow start
	Time   time.Duration // from the start until the disk server has its full capacity
	From   float64       // capacity right after the start, as a share of the full capacity
	Units  float64       // units that it can serve in a window right after the start
}

// UsageSettings describe the usage figures of a volume that disk servers report in outcomes.
type UsageSettings struct {
	Period    time.Duration // period to which Outcome.QuotaUsed applies; 0: it is not reported
	Elsewhere bool          // whether Outcome.ServedElsewhere is reported
}
