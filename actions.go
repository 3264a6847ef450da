package honeyplank

import "time"

// Action is an instruction of a decision module to its host. It is one of Dispatch, Reject, Fail, Cancel, HealthCheck,
// CloseIdle, Gossip, LogHealth, LogEstimateIgnored, LogRecordsDropped, Watch, Fetch and SetTimer.
type Action interface{ action() }

// Dispatch sends an op to a disk server. Its Outcome follows.
type Dispatch struct {
	Op      OpID
	Server  ServerID
	Timeout time.Duration // longest time from now to the outcome; 0: until Op.Deadline
}

// Reject answers an op with a rejection. It guarantees that the client may safely retry: the op has not run, or its
// semantics allow a repeat.
type Reject struct {
	Op         OpID
	RetryAfter time.Duration // time after which the client may retry; 0: no advice
}

// Fail answers an op that may have run with an error.
type Fail struct{ Op OpID }

// Cancel ends a dispatch with the code Cancelled.
type Cancel struct {
	Op       OpID
	Dispatch int // index of the dispatch among those of the op
}

// HealthCheck checks the health of a disk server. Its HealthCheckResult follows.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes the idle connections to a disk server.
type CloseIdle struct{ Server ServerID }

// Gossip sends a message to one other instance or to all of them.
type Gossip struct {
	To   int // ordinal of the receiving instance, or AllPeers
	Data []byte
}

// LogHealth logs that the health of a disk server has changed.
type LogHealth struct {
	Server           ServerID
	Health, Previous Health
}

// LogRecordsDropped logs that records were dropped early since the last such action, because ops came for too many
// volumes.
type LogRecordsDropped struct {
	Volumes int // records of volumes without open ops
	Queues  int // records of their queues at disk servers
}

// LogEstimateIgnored logs that the saved estimate of a disk server is not used.
type LogEstimateIgnored struct {
	Server ServerID
	Reason string
}

// Watch starts or ends the watch of the endpoint list.
type Watch struct{ Enabled bool }

// Fetch requests a complete endpoint list once.
type Fetch struct{}

// SetTimer requests a Timer event.
type SetTimer struct {
	At time.Duration // clock time of the event
	ID TimerID       // id of the event
}

// AllPeers is the Gossip.To that addresses all other instances.
const AllPeers = -1

func (Dispatch) action()           {}
func (Reject) action()             {}
func (Fail) action()               {}
func (Cancel) action()             {}
func (HealthCheck) action()        {}
func (CloseIdle) action()          {}
func (Gossip) action()             {}
func (LogHealth) action()          {}
func (LogEstimateIgnored) action() {}
func (LogRecordsDropped) action()  {}
func (Watch) action()              {}
func (Fetch) action()              {}
func (SetTimer) action()           {}
