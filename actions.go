package honeyplank

import "time"

// Action is what a decision module orders. It is one of Dispatch, Reject, Fail, Cancel, HealthCheck, CloseIdle, Gossip,
// LogHealth, LogEstimateIgnored, Watch, Fetch and SetTimer.
type Action interface{ action() }

// Dispatch sends an op to a disk server. Its Outcome follows.
type Dispatch struct {
	Op      OpID
	Server  ServerID
	Timeout time.Duration // from now until the outcome; 0: until Op.Deadline
}

// Reject answers an op with the promise that another attempt of the client is harmless: the op has not run, or its
// semantics allow a repeat.
type Reject struct {
	Op         OpID
	RetryAfter time.Duration // after which to send it again; 0: no advice
}

// Fail answers an op that may have run.
type Fail struct{ Op OpID }

// Cancel ends a dispatch, with the code Cancelled.
type Cancel struct {
	Op       OpID
	Dispatch int // number of the dispatch among those of the op, from 0
}

// HealthCheck checks the health of a disk server. Its HealthCheckResult follows.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes the idle connections to a disk server.
type CloseIdle struct{ Server ServerID }

// Gossip sends a message to another instance, or to all.
type Gossip struct {
	To   int // number of the receiver among the instances, from 0, or AllPeers
	Data []byte
}

// LogHealth logs that the health of a disk server has changed.
type LogHealth struct {
	Server           ServerID
	Health, Previous Health
}

// LogEstimateIgnored logs that the saved estimate of a disk server is not used.
type LogEstimateIgnored struct {
	Server ServerID
	Reason string
}

// Watch starts or ends the watch of the endpoint list.
type Watch struct{ Enabled bool }

// Fetch asks for a complete endpoint list, once.
type Fetch struct{}

// SetTimer asks for a Timer event.
type SetTimer struct {
	At time.Duration // the clock time of the event
	ID TimerID       // of the event
}

// AllPeers as Gossip.To addresses all other instances.
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
func (Watch) action()              {}
func (Fetch) action()              {}
func (SetTimer) action()           {}
