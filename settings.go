package honeyplank

import "time"

// Settings are what a decision module knows of its deployment. They must not change once a module has been made of
// them. A zero value means that the deployment does not state the figure, where nothing else is said.
type Settings struct {
	// Step is the shortest time between two timers of the module.
	Step time.Duration
	// Instances is the number of instances of the deployment.
	Instances int
	// Ordinal is the number of this instance among them, from 0.
	Ordinal int

	OpTypes []OpType // by number, see Op.Type
	Plans   []Plan   // by number, see Op.Plan

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

	// DrainGrace is how long an instance may still send to a disk server after it was notified that this is draining.
	DrainGrace time.Duration
	// AnswerGrace is how long after its deadline an op may still be answered.
	AnswerGrace time.Duration
	// OrderSettle is how long the next op of an ordered type waits after one of the same key that may still run.
	OrderSettle time.Duration
}

// OpType is what is known of an op type.
type OpType struct {
	TargetLatency time.Duration // an answer within it earns the full utility
	OpTimeout     time.Duration // how long clients wait for an answer, all their attempts together
	Utility       float64       // the priority weight of an op
	Semantics     Semantics
	DedupScope    DedupScope    // of a deduplicated type
	DedupWindow   time.Duration // how long repeats of a deduplicated op are dropped
	Ordered       bool          // ops of one key run in the order of their arrival
}

// Plan is what is known of a volume's plan.
type Plan struct {
	Rate    float64 // expected rate of a volume, in units a second
	Reserve float64 // promised rate of a volume, in units a second
	Weight  float64 // share of a volume relative to others, beyond their reserves
	Value   float64 // factor of the utility of a volume's ops
	Limit   float64 // highest allowed rate of a volume, in units a second; 0: none
	Burst   float64 // size of the limit's token bucket, in units
	Slack   float64 // by how much a limit may be exceeded, in units
}

// WatchSettings tell how the endpoint list is watched.
type WatchSettings struct {
	// OnRequest tells that the module must ask for the watch with a Watch action, and again when the watch has ended.
	OnRequest bool
	// Within is the time within which an instance must have asked for the watch; it bounds the module's backoff.
	Within time.Duration
}

// DispatchSettings bound the dispatches of an op.
type DispatchSettings struct {
	Max            int  // dispatches of an op in all; 0: one
	HedgingAllowed bool // several may be outstanding at once (hedged requests)
	CancelAllowed  bool // an outstanding one may be cancelled
	// ConnectTimeout is how long it may take to establish a connection.
	ConnectTimeout time.Duration
}

// RetryAfterSettings bound the advice that comes with Reject.
type RetryAfterSettings struct {
	Allowed bool          // Reject.RetryAfter may be set
	Max     time.Duration // the longest advice
}

// RetryBudget bounds the retries within a sliding window.
type RetryBudget struct {
	Limited bool          // there is a budget; else the number of retries is not bounded
	Free    float64       // retries that are always allowed
	Share   float64       // further retries for each op admitted
	Window  time.Duration // the length of the window
}

// SlowStartSettings bound what a disk server gets that has just started.
type SlowStartSettings struct {
	Window time.Duration // the time over which Units counts; 0: there is no slow start
	Time   time.Duration // from the start until the disk server has its full capacity
	From   float64       // capacity right after the start, as a share of the full one
	Units  float64       // units in a window that it can serve right after the start
}

// UsageSettings tell what disk servers report of a volume's use through all instances.
type UsageSettings struct {
	Period    time.Duration // over which Outcome.QuotaUsed counts; 0: it is not reported
	Elsewhere bool          // Outcome.ServedElsewhere is reported
}
