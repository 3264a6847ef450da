// Package honeyplank holds the interface between the decision module and
// whatever feeds it: events in, actions out, and the ids and outcomes they
// speak of. It decides nothing. All times are spans since the clock's start.
//
// Settings travel beside it as a plain map[string]any from our names to
// values; package internal/wire lists the names it fills in.
package honeyplank

import "time"

// OpID names an op and ServerID a disk server, both as the wire gives them.
type (
	OpID     string
	ServerID string
)

// Semantics tells what a repeat of an op may do.
type Semantics int

const (
	Idempotent   Semantics = iota // may run again
	Deduplicated                  // repeats are dropped inside a scope, for a time
	AtMostOnce                    // must never run twice
)

// DedupScope is the group of disk servers that drops repeats of a deduplicated op.
type DedupScope int

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Code tells how a dispatch or probe ended.
type Code int

const (
	Succeeded     Code = 1 + iota // served
	Failed                        // an error came back; it may have run
	Rejected                      // turned away unseen
	TimedOut                      // no answer in time; it may have run
	ConnectFailed                 // no connection; it never ran
	Reset                         // the connection dropped; it may have run
	Cancelled                     // withdrawn; it may have run
	NotSent                       // never sent
)

// MemberState is what the list says of a disk server.
type MemberState int

const (
	Up MemberState = iota
	Draining
	Removed
)

// ListKind tells how to read the entries of a list event.
type ListKind int

const (
	Delta       ListKind = iota // apply on top of the list held
	Complete                    // replaces the list held
	Cached                      // the whole list as last seen, perhaps stale
	WatchFailed                 // a watch or fetch failed or a watch ended; no entries
	OutOfBand                   // changes from elsewhere than the watch, which they say nothing of
)

// Member is a disk server as the list knows it.
type Member struct {
	ID      ServerID
	Started time.Duration // when it last started; 0: long ago
	Size    float64       // a size to compare with other servers'
	Model   int
	Zone    int
	Cell    int
	State   MemberState
}

// NewObject as an op's Cell: any disk server may take it.
const NewObject = -1

// Event is one of List, Op, Outcome, Began, Timer, Probed, Peer, Lapsed, Learnt.
type Event interface{ event() }

type (
	// List brings news of the disk servers.
	List struct {
		Kind    ListKind
		Version int64
		Members []Member
	}
	// Op is a client's op that this scheduler now owes one final answer.
	Op struct {
		ID         OpID
		Units      float64
		Timeout    time.Duration // the clock time at which the client gives up
		Plan       int
		Type       int
		Key        int64 // piece of data read or written
		HasKey     bool
		Write      bool
		Schedulers int // schedulers through which the volume's ops come
		Retry      bool
		Volume     int64
		Cell       int // holder of the data, or NewObject
	}
	// Outcome ends one dispatch. Done: the op has had its final answer.
	Outcome struct {
		Op              OpID
		Dispatch        int
		Server          ServerID
		Code            Code
		Elapsed         time.Duration
		Answered        bool
		QuotaUsed       int     // 1 + percent of the plan's rate served everywhere; 0: not told
		ServedElsewhere float64 // units this server did for the volume for other schedulers
		Load            map[string]float64
	}
	// ResponseStarted tells that a streamed answer has started.
	ResponseStarted struct {
		Op       OpID
		Dispatch int
		Server   ServerID
		Elapsed  time.Duration
	}
	// Timer is a timer set by SetTimer that has run out.
	Timer struct{ Name string }
	// ProbeResult ends a Probe.
	ProbeResult struct {
		Server  ServerID
		Code    Code
		Elapsed time.Duration
		Load    map[string]float64
	}
	// PeerMessage is a message from another scheduler.
	PeerMessage struct {
		From int
		Data []byte
	}
	// ClientGone tells that the client has gone; nothing more is owed.
	ClientGone struct{ Op OpID }
	// SavedEstimates tells, before any other event, what an instance before this one knew of the disk servers.
	SavedEstimates struct {
		TypicalLatency float64 // recent answer time of all, in seconds
		Servers        []ServerEstimate
	}
	// ServerEstimate is what was known of a disk server. At is on the clock of the instance that is told, and may lie
	// before its start.
	ServerEstimate struct {
		Server      ServerID
		At          time.Duration // when something was last learnt there
		BestPerUnit float64       // best answer time for each unit, in seconds; 0: not known
		Latency     float64       // recent answer time, in seconds
	}
)

func (List) event()            {}
func (Op) event()              {}
func (Outcome) event()         {}
func (ResponseStarted) event() {}
func (Timer) event()           {}
func (ProbeResult) event()     {}
func (PeerMessage) event()     {}
func (ClientGone) event()      {}
func (SavedEstimates) event()  {}

// Action is one of Dispatch, Throttle, Abort, Cancel, Probe, Tell, Log,
// Watch, Fetch, SetTimer, CloseIdle.
type Action interface{ action() }

type (
	// Dispatch sends an op to a disk server; After 0: until the op timeout.
	Dispatch struct {
		Op      OpID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject answers that trying again is harmless, with advice when.
	Reject struct {
		Op         OpID
		RetryAfter time.Duration
	}
	// Fail answers with no promise.
	Fail struct{ Op OpID }
	// Cancel stops waiting for one dispatch.
	Cancel struct {
		Op       OpID
		Dispatch int
	}
	// Probe checks on a disk server.
	Probe struct{ Server ServerID }
	// CloseIdle shuts idle connections to a disk server.
	CloseIdle struct{ Server ServerID }
	// Gossip sends a message to a peer, or to all with Everyone.
	Gossip struct {
		To   int
		Data []byte
	}
	// Log adds a line to the operators' report.
	Log struct{ Text string }
	// Watch asks for list changes from now on.
	Watch struct{ Enabled bool }
	// Fetch asks for the whole list once.
	Fetch struct{}
	// SetTimer asks for a Timer event at a clock time.
	SetTimer struct {
		At   time.Duration
		Name string
	}
)

// AllPeers as Tell.To addresses every peer.
const AllPeers = -1

func (Dispatch) action()  {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Gossip) action()    {}
func (Log) action()       {}
func (Watch) action()     {}
func (Fetch) action()     {}
func (SetTimer) action()  {}
