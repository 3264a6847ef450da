// Package honeyplank is the interface between a decision module (package policy) and what surrounds it: events go in,
// actions come out. It holds their types, those of the ids and codes in them, and the module's Settings.
//
// It makes no decisions, does no I/O, keeps no state and imports no other package of the project. Its values are made
// and read on the goroutine of an instance's event loop; Settings, which never change, may be shared by instances.
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
	Deduplicated                  // repeats are dropped within a DedupScope, for OpType.DedupWindow
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
	Draining                    // it is about to be removed; see Settings.DrainGrace
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
	OutOfBand                   // changes from another source than the watch; no evidence that the watch works
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

// AnyCell as Op.Cell tells that any disk server may take the op.
const AnyCell = -1

// DecisionModule decides what happens to ops: policy.Engine, or another one in tests and as a baseline to measure
// against. It does no I/O and reads no clock. It is not safe for concurrent use.
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
