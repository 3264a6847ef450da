package honeyplank

import "time"

// Event is what a decision module is told. It is one of List, Op, Outcome, ResponseStarted, Timer, HealthCheckResult,
// PeerMessage, ClientGone and SavedEstimates.
type Event interface{ event() }

// List brings news of the endpoint list.
type List struct {
	Kind    ListKind
	Version int64 // of the list at its source
	Members []Member
}

// Op is an admitted request of a client. It must have one final answer from now on: the first Outcome with the code
// Succeeded, a Reject or a Fail.
type Op struct {
	ID        OpID
	Units     float64       // its size
	Deadline  time.Duration // the clock time at which the client gives up
	Plan      int           // number of the volume's plan, see Settings.Plans
	Type      int           // number of the op type, see Settings.OpTypes
	Key       int64         // number of the object that is read or written, if HasKey
	HasKey    bool          // ops of an ordered type are ordered by Key
	Write     bool          // it changes data
	Instances int           // number of instances through which the ops of the volume come
	Retry     bool          // the client has sent the request before
	Volume    int64         // number of the volume
	Cell      int           // number of the cell that holds the data, or AnyCell
}

// Outcome tells how a dispatch ended. Each dispatch has one.
type Outcome struct {
	Op              OpID
	Dispatch        int // number of the dispatch among those of the op, from 0
	Server          ServerID
	Code            Code
	Elapsed         time.Duration      // since the Dispatch action
	Answered        bool               // the op has its final answer, or its client has gone
	QuotaUsed       int                // 1 + percent of the plan's rate that all instances used; 0: not known
	ServedElsewhere float64            // units that this server has served the volume through other instances
	Load            map[string]float64 // the disk server's load report by name; nil: none
}

// ResponseStarted tells that the first bytes of a streamed answer have arrived.
type ResponseStarted struct {
	Op       OpID
	Dispatch int // number of the dispatch among those of the op, from 0
	Server   ServerID
	Elapsed  time.Duration // since the Dispatch action
}

// Timer tells that a timer of SetTimer is due.
type Timer struct{ ID TimerID }

// HealthCheckResult tells how a HealthCheck ended.
type HealthCheckResult struct {
	Server  ServerID
	Code    Code
	Elapsed time.Duration      // since the HealthCheck action
	Load    map[string]float64 // the disk server's load report by name; nil: none
}

// PeerMessage is a message from another instance, sent by its Gossip action.
type PeerMessage struct {
	From int // number of the sender among the instances, from 0
	Data []byte
}

// ClientGone tells that the client of an op has closed or cancelled. The op needs no answer any more.
type ClientGone struct{ Op OpID }

// SavedEstimates tells what an earlier process of this instance knew of the disk servers. It comes before all other
// events.
type SavedEstimates struct {
	TypicalLatency float64 // recent latency over all disk servers, in seconds
	Servers        []ServerEstimate
}

// ServerEstimate is what was known of a disk server.
type ServerEstimate struct {
	Server      ServerID
	At          time.Duration // when it was last updated; negative: before the clock's start
	BestPerUnit float64       // lowest latency per unit, in seconds; 0: not known
	Latency     float64       // recent latency, in seconds
}

func (List) event()              {}
func (Op) event()                {}
func (Outcome) event()           {}
func (ResponseStarted) event()   {}
func (Timer) event()             {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (ClientGone) event()        {}
func (SavedEstimates) event()    {}
