// Package honeyplank is the interface between a decision module (package policy) and what surrounds it: events go in, actions
// come out. It holds their types, those of the ids and codes in them, and the module's Settings. It makes no decisions.
//
// All times are spans on the clock of the instance, since its start. An amount of work is measured in units, as the
// deployment defines them.
package honeyplank

import "time"

// OpID is the id of an op, unique among the ops in flight of an instance.
type OpID string

// ServerID is the id of a disk server, as the endpoint list gives it.
type ServerID string

// Semantics tells what a repeat of an op may do.
type Semantics int

// The semantics of an op type.
const (
	Idempotent   Semantics = iota // a repeat does no harm
	Deduplicated                  // repeats are dropped within a DedupScope, for OpTypeSettings.DedupWindow
	AtMostOnce                    // it must never run twice
)

// DedupScope is the group of disk servers that drops repeats of a deduplicated op.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all disk servers
	ScopeZone                   // those of one zone
	ScopeCell                   // those of one cell
)

// Code tells how a dispatch or a health check ended. The zero value is none.
type Code int

// The outcomes of a dispatch or a health check.
const (
	Succeeded     Code = 1 + iota // it was served
	Failed                        // an error came back; the op may have run
	Rejected                      // the disk server refused it; the op did not run
	TimedOut                      // no answer came in time; the op may have run
	ConnectFailed                 // no connection was established; the op did not run
	Reset                         // the connection was lost; the op may have run
	Cancelled                     // the module cancelled it; the op may have run
	NotSent                       // it was not sent; the op did not run
)

// MemberState is the state of a disk server in the endpoint list.
type MemberState int

// The states of a member.
const (
	Up       MemberState = iota // it takes ops
	Draining                    // it is about to leave; Settings.DrainGrace tells how long it may be sent to
	Removed                     // it is not in the list any more
)

// ListKind tells how to read the members of a List event.
type ListKind int

// The kinds of a List event.
const (
	Delta       ListKind = iota // changes of the list before
	Complete                    // replaces the list before
	Cached                      // a complete list that was saved earlier and may be stale
	WatchFailed                 // a watch or a fetch failed, or a watch ended; there are no members
	OutOfBand                   // changes from another source than the watch; they do not show that the watch works
)

// Member is a disk server of the endpoint list.
type Member struct {
	ID      ServerID
	Started time.Duration // when it last started; 0: long ago, or not known
	Size    float64       // its capacity relative to other disk servers
	Model   int           // number of the hardware model
	Zone    int           // number of the zone
	Cell    int           // number of the cell; see Op.Cell
	State   MemberState
}

// NewObject as Op.Cell tells that any disk server may take the op.
const NewObject = -1

// DecisionModule decides what happens to ops: policy.Engine, or another one in tests and as a baseline to measure against.
// It does no I/O and reads no clock. It is not safe for concurrent use.
type DecisionModule interface {
	// Handle takes one event and returns the actions that follow from it, in order. now is the time on the clock of the
	// instance; it must not go back between calls.
	Handle(now time.Duration, event Event) []Action
}

// TimerID tells the timers of a decision module apart. Its values are chosen by the module.
type TimerID string

// Health is the health of a disk server as one instance sees it.
type Health int

// The states of health, the healthiest first.
const (
	HealthUp       Health = iota
	HealthSuspect         // one piece of evidence against it
	HealthDown            // nothing is sent to it until its backoff has elapsed
	HealthHalfOpen        // one op at a time is sent to it, until it responds
)

// String returns the state as it stands in log lines.
func (h Health) String() string { return [...]string{"up", "suspect", "down", "half-open"}[h] }

// Event is what a decision module is told. It is one of List, Op, Outcome, ResponseStarted, Timer, HealthCheckResult, PeerMessage,
// ClientGone and SavedEstimates.
type Event interface{ event() }

type (
	// List brings news of the endpoint list.
	List struct {
		Kind    ListKind
		Version int64 // of the list at its source
		Members []Member
	}
	// Op is a client's op, which must have one final answer from now on: the first Outcome with code Succeeded, Reject or Fail.
	Op struct {
		ID        OpID
		Units     float64       // its size
		Timeout   time.Duration // the clock time at which the client gives up
		Plan      int           // number of the volume's plan, see PlanSettings
		Type      int           // number of the op type, see OpTypeSettings
		Key       int64         // number of the object that is read or written, if HasKey
		HasKey    bool          // ops of an ordered type are ordered by Key
		Write     bool          // it changes data
		Instances int           // number of instances through which the ops of the volume come
		Retry     bool          // the client has tried it before
		Volume    int64         // number of the volume
		Cell      int           // number of the cell that holds the data, or NewObject
	}
	// Outcome ends a dispatch. Each dispatch has one.
	Outcome struct {
		Op              OpID
		Dispatch        int // number of the dispatch among those of the op, from 0
		Server          ServerID
		Code            Code
		Elapsed         time.Duration      // since the Dispatch action
		Answered        bool               // the op has its final answer, or its client has gone
		QuotaUsed       int                // 1 + percent of the plan's rate that all instances have used; 0: not known
		ServedElsewhere float64            // units that this disk server has served to the volume through other instances
		Load            map[string]float64 // the disk server's load report by name; nil: none
	}
	// ResponseStarted tells that the first bytes of a streamed answer have arrived.
	ResponseStarted struct {
		Op       OpID
		Dispatch int // number of the dispatch among those of the op, from 0
		Server   ServerID
		Elapsed  time.Duration // since the Dispatch action
	}
	// Timer tells that a timer of SetTimer is due.
	Timer struct{ ID TimerID }
	// HealthCheckResult ends a HealthCheck.
	HealthCheckResult struct {
		Server  ServerID
		Code    Code
		Elapsed time.Duration      // since the HealthCheck action
		Load    map[string]float64 // the disk server's load report by name; nil: none
	}
	// PeerMessage is a message from another instance, sent by its Gossip action.
	PeerMessage struct {
		From int // number of the sender among the instances, from 0
		Data []byte
	}
	// ClientGone tells that the client of an op has closed or cancelled. The op needs no answer any more.
	ClientGone struct{ Op OpID }
	// SavedEstimates tells what an earlier process of this instance knew of the disk servers. It comes before all other
	// events.
	SavedEstimates struct {
		TypicalLatency float64 // recent latency over all disk servers, in seconds
		Servers        []ServerEstimate
	}
	// ServerEstimate is what was known of a disk server.
	ServerEstimate struct {
		Server      ServerID
		At          time.Duration // when it was last updated; negative: before the clock's start
		BestPerUnit float64       // lowest latency for each unit, in seconds; 0: not known
		Latency     float64       // recent latency, in seconds
	}
)

func (List) event()              {}
func (Op) event()                {}
func (Outcome) event()           {}
func (ResponseStarted) event()   {}
func (Timer) event()             {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (ClientGone) event()        {}
func (SavedEstimates) event()    {}

// Action is what a decision module orders. It is one of Dispatch, Reject, Fail, Cancel, HealthCheck, CloseIdle, Gossip, LogHealth, LogEstimateIgnored, Watch,
// Fetch and SetTimer.
type Action interface{ action() }

type (
	// Dispatch sends an op to a disk server. Its Outcome follows.
	Dispatch struct {
		Op      OpID
		Server  ServerID
		Timeout time.Duration // for the outcome, from now; 0: until Op.Timeout
	}
	// Reject answers an op that has not run, so that trying again is harmless.
	Reject struct {
		Op         OpID
		RetryAfter time.Duration // after which to try again; 0: no advice
	}
	// Fail answers an op that may have run.
	Fail struct{ Op OpID }
	// Cancel ends a dispatch, with the code Cancelled.
	Cancel struct {
		Op       OpID
		Dispatch int // number of the dispatch among those of the op, from 0
	}
	// HealthCheck checks the health of a disk server. Its HealthCheckResult follows.
	HealthCheck struct{ Server ServerID }
	// CloseIdle closes the idle connections to a disk server.
	CloseIdle struct{ Server ServerID }
	// Gossip sends a message to another instance, or to all.
	Gossip struct {
		To   int // number of the receiver among the instances, from 0, or AllPeers
		Data []byte
	}
	// LogHealth logs that the health of a disk server has changed.
	LogHealth struct {
		Server           ServerID
		Health, Previous Health
	}
	// LogEstimateIgnored logs that the saved estimate of a disk server is not used.
	LogEstimateIgnored struct {
		Server ServerID
		Reason string
	}
	// Watch starts or ends the watch of the endpoint list.
	Watch struct{ Enabled bool }
	// Fetch asks for a complete endpoint list, once.
	Fetch struct{}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		At time.Duration // the clock time of the event
		ID TimerID       // of the event
	}
)

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
