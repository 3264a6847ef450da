// Package honeyplank defines the interface between a decision module (package policy) and its host, such as package
// gateway: the host delivers events, and the module returns actions. The package holds the types of events and
// actions, of the ids and codes in them, and of the module's Settings.
//
// It makes no decisions, does no I/O, keeps no state and imports no other package of the project. Its values are made
// and read on the goroutine of an instance's event loop. Settings never change, so instances may share them.
//
// All times are durations since the start of the instance's clock. An amount of work is measured in units, which the
// deployment defines.
package honeyplank

import "time"

// OpID is the id of an op, unique among the ops in flight of an instance.
type OpID string

// ServerID is the id of a disk server in the endpoint list.
type ServerID string

// Semantics says whether an op may be repeated.
type Semantics int

// The semantics of an op type.
const (
	Idempotent   Semantics = iota // a repeat is harmless
	Deduplicated                  // disk servers drop repeats within a DedupScope, for OpType.DedupWindow
	AtMostOnce                    // the op must never run twice
)

// DedupScope is the group of disk servers within which repeats of a deduplicated op are dropped.
type DedupScope int

// The scopes of deduplication.
const (
	ScopeAll  DedupScope = iota // all disk servers
	ScopeZone                   // the disk servers of one zone
	ScopeCell                   // the disk servers of one cell
)

// Code is the outcome of a dispatch or a health check. The zero value is not a valid code.
type Code int

// The outcomes of a dispatch or a health check.
const (
	Succeeded     Code = 1 + iota // the disk server served the op
	Failed                        // the disk server answered with an error; the op may have run
	Rejected                      // the disk server rejected the op; it did not run
	TimedOut                      // no answer arrived in time; the op may have run
	ConnectFailed                 // no connection was established; the op did not run
	Reset                         // the connection was lost; the op may have run
	Cancelled                     // the module cancelled the dispatch; the op may have run
	NotSent                       // the dispatch was not sent; the op did not run
)

// MemberState is the state of a disk server in the endpoint list.
type MemberState int

// The states of a member.
const (
	Up       MemberState = iota // accepts ops
	Draining                    // about to be removed; see Settings.DrainGrace
	Removed                     // no longer in the list
)

// ListKind says how the members of a List event relate to the list that the module has.
type ListKind int

// The kinds of a List event.
const (
	Delta       ListKind = iota // changes to the previous list
	Complete                    // replaces the previous list
	Cached                      // a complete list that was saved earlier and may be stale
	WatchFailed                 // a watch or a fetch failed, or a watch ended; there are no members
	OutOfBand                   // changes from a source other than the watch; they do not show that the watch works
)

// Member is a disk server in the endpoint list.
type Member struct {
	ID      ServerID
	Started time.Duration // clock time of its last start; 0: long ago, or unknown
	Size    float64       // its capacity relative to other disk servers
	Model   int           // number of the hardware model
	Zone    int           // number of the zone
	Cell    int           // number of the cell; see Op.Cell
	State   MemberState
}

// AnyCell is the Op.Cell of an op that any disk server may serve.
const AnyCell = -1

// DecisionModule decides what happens to ops. policy.Engine implements it; so do modules of tests and a baseline for
// comparison. A module does no I/O and reads no clock. It is not safe for concurrent use.
type DecisionModule interface {
	// Handle handles one event and returns the resulting actions in the order in which they must be executed. now is
	// the time on the instance's clock; it must not decrease between calls.
	Handle(now time.Duration, event Event) []Action
}

// TimerID identifies a timer of a decision module. The module chooses its values.
type TimerID string

// Health is the health of a disk server as estimated by one instance.
type Health int

// The states of health, the healthiest first.
const (
	HealthUp       Health = iota
	HealthSuspect         // one observation suggests a failure
	HealthDown            // nothing is sent to it until its backoff has elapsed
	HealthHalfOpen        // one op at a time is sent to it until it responds
)

// String returns the name of the state in log lines.
func (h Health) String() string { return [...]string{"up", "suspect", "down", "half-open"}[h] }
