package honeyplank

import "time"

// Event is an input of a decision module. It is one of List, Op, Outcome, ResponseStarted, Timer, HealthCheckResult,
// PeerMessage, ClientGone and SavedEstimates.
type Event interface{ event() }

// List reports the endpoint list, or changes to it.
type List struct {
	Kind    ListKind
	Version int64 // version of the list at its source
	Members []Member
}

// Op reports that a request of a client was admitted. The op must get exactly one final answer, unless its client goes
// first. The final answer is the first Outcome with the code Succeeded, a Reject or a Fail.
type Op struct {
	ID        OpID
	Units     float64       // its size in units
	Deadline  time.Duration // clock time at which the client gives up
	Plan      int           // index of the volume's plan in Settings.Plans
	Type      int           // index of the op type in Settings.OpTypes
	Key       int64         // number of the object that is read or written, if HasKey
	HasKey    bool          // whether Key is set; ops of an ordered type are ordered by Key
	Write     bool          // whether it changes data
	Instances int           // number of instances that serve the volume's ops
	Retry     bool          // whether the client has sent the request before
	Volume    int64         // number of the volume
	Cell      int           // number of the cell that holds the data, or AnyCell
}

// Outcome reports how a dispatch ended. Each dispatch has exactly one.
type Outcome struct {
	Op              OpID
	Dispatch        int // index of the dispatch among those of the op
	Server          ServerID
	Code            Code
	Elapsed         time.Duration      // since the Dispatch action
	Answered        bool               // whether the op has its final answer or its client has gone
	QuotaUsed       int                // 1 + percent of the plan's rate that all instances used; 0: unknown
	ServedElsewhere float64            // units that this server has served for the volume through other instances
	Load            map[string]float64 // the disk server's load report by metric name; nil: none
}

// ResponseStarted reports that the first bytes of a streamed answer have arrived.
type ResponseStarted struct {
	Op       OpID
	Dispatch int // index of the dispatch among those of the op
	Server   ServerID
	Elapsed  time.Duration // since the Dispatch action
}

// Timer reports that a timer set by SetTimer has expired.
type Timer struct{ ID TimerID }

// HealthCheckResult reports how a HealthCheck ended.
type HealthCheckResult struct {
	Server  ServerID
	Code    Code
	Elapsed time.Duration      // since the HealthCheck action
	Load    map[string]float64 // the disk server's load report by metric name; nil: none
}

// PeerMessage is a message that another instance sent with a Gossip action.
type PeerMessage struct {
	From int // ordinal of the sending instance
	Data []byte
}

// ClientGone reports that the client of an op has closed its connection or cancelled the op. The op needs no answer any
// more.
type ClientGone struct{ Op OpID }

// SavedEstimates holds the estimates of the disk servers that an earlier process of this instance saved. It is
// delivered before all other events.
type SavedEstimates struct {
	TypicalLatency float64 // recent latency over all disk servers, in seconds
	Servers        []ServerEstimate
}

// ServerEstimate is the saved estimate of one disk server.
type ServerEstimate struct {
	Server      ServerID
	At          time.Duration // clock time of its last update; negative: before the clock's start
	BestPerUnit float64       // lowest latency per unit, in seconds; 0: unknown
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
