package honeyplank

import "time"

// Settings are what the decision module knows of its deployment. They are read once, by New of the module, and must not
// change afterwards. A zero value means that the deployment does not state the figure.
type Settings struct {
	// Step is the least time between two timers.
	Step time.Duration
	// Schedulers is the number of instances of the deployment, Ordinal the place of this one among them.
	Schedulers int
	Ordinal    int

	OpTypes OpTypeSettings
	Plans   PlanSettings

	// MeanUnits and LargestUnits are the mean and the largest size of an op, in units.
	MeanUnits    float64
	LargestUnits float64

	Watch       WatchSettings
	Dispatches  DispatchSettings
	RetryAfter  RetryAfterSettings
	RetryBudget RetryBudget
	SlowStart   SlowStartSettings
	Usage       UsageSettings

	// DrainGrace is how long after it was notified of a draining disk server an instance may still send to it.
	DrainGrace time.Duration
	// AnswerGrace is how long after its deadline an op may still be answered.
	AnswerGrace time.Duration
	// OrderSettle is how long the next op of an ordered type waits after one of its key that may run on.
	OrderSettle time.Duration
}

// OpTypeSettings has a list for each figure of an op type; the place in the lists is the type's number.
type OpTypeSettings struct {
	TargetLatency []time.Duration // within which an answer earns its full utility
	OpTimeout     []time.Duration // for which clients wait, all tries together
	Utility       []float64
	Semantics     []Semantics
	DedupScope    []DedupScope
	DedupWindow   []time.Duration // for which repeats of a deduplicated op are dropped
	Ordered       []bool          // ops of one key run in the order in which they came
}

// PlanSettings has a list for each figure of a plan; the place in the lists is the plan's number.
type PlanSettings struct {
	Rate    []float64 // units a second that are expected
	Reserve []float64 // units a second that are promised
	Weight  []float64 // of a volume among others beyond their reserves
	Value   []float64 // factor of the utility of its ops
	Limit   []float64 // units a second that are allowed; 0: any
	Burst   []float64 // units that a limit's bucket holds
	Slack   []float64 // units by which a limit may be passed
}

// WatchSettings tell how the endpoint list is followed.
type WatchSettings struct {
	// OnRequest: the module asks for the watch, and again when it ends.
	OnRequest bool
	// Within is how soon a change counts as notified.
	Within time.Duration
}

// DispatchSettings bound the dispatches of an op.
type DispatchSettings struct {
	Max      int  // in all; 0: one
	Parallel bool // several may be out at once (hedged requests)
	Cancel   bool // one may be cancelled
	// ConnectTimeout is how long a connection may take to come up.
	ConnectTimeout time.Duration
}

// RetryAfterSettings tell of the advice that a rejected op may carry.
type RetryAfterSettings struct {
	Allowed bool
	Max     time.Duration
}

// RetryBudget bounds the retries within a sliding window: Free of them, and Share of the ops admitted.
type RetryBudget struct {
	Limited bool // else any number may go out
	Free    float64
	Share   float64
	Window  time.Duration
}

// SlowStartSettings are the budget of a disk server that has just started.
type SlowStartSettings struct {
	Window time.Duration // for which Units are counted; 0: there is no slow start
	Time   time.Duration // until it is warm
	From   float64       // of its full capacity, right after the start
	Units  float64       // within a window that it bears right after the start
}

// UsageSettings tell what is known of a volume's use through all instances.
type UsageSettings struct {
	Period    time.Duration // of the total that answers bring; 0: they bring none
	Elsewhere bool          // answers tell what a disk server did for the volume for other instances
}
