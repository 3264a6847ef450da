// Package policy is the decision module: it makes every decision on the ops of one instance. New
// creates an Engine from a seed and the settings. Engine.Handle takes one event after another and
// returns the actions to carry out. Events, actions and settings are defined in package honeyplank.
//
// The package does no I/O, reads no clock, starts no goroutine and keeps no package state that
// changes: the same seed, settings and events give the same actions. It does not depend on
// protocols or connections.
//
// An Engine belongs to the goroutine of the event loop of its instance. On this goroutine, package
// inflight calls Handle and package gateway calls SavedEstimates. In the simulator's adapter,
// package simwire calls Handle on the only goroutine.
//
// docs/design.md describes the mechanism, iShare, and how it was changed.
package policy

import (
	"math/rand"
	"time"

	"honeyplank"
)

// sweepShare is the interval between sweeps, as a share of the shortest target latency.
const sweepShare = 1.0 / 20

// processPause is the longest time for which the process may be delayed between reading its clock
// and writing. A dispatch may be sent that much later than it was decided.
const processPause = 150 * time.Millisecond

// The timers that the module sets.
const (
	sweepTimer honeyplank.TimerID = "sweep"
	watchTimer honeyplank.TimerID = "watch"
)

// Engine is the decision module of one instance. It is not safe for concurrent use.
type Engine struct {
	settings  *engineSettings
	rng       *rand.Rand
	now       time.Duration       // time of the event that is being handled
	started   bool                // an event has been handled
	startedAt time.Duration       // when the first event was handled
	actions   []honeyplank.Action // to be returned for the event that is being handled
	evictedAt time.Duration

	// Endpoint list and watch.
	servers        map[honeyplank.ServerID]*server
	serversByID    []*server         // sorted by id
	serversByCell  map[int][]*server // those that are up, sorted by id
	serversUp      int               // number listed as up
	activeServers  []*server         // those that sweeps visit, sorted by id
	watchActive    bool
	watchRequested time.Duration
	backoff        time.Duration // of the next watch request

	// Ranking for new objects.
	joinedServers  []*server // servers that came up, in the order in which they did
	rankingEpoch   int       // 1 + number of times that joinedServers was emptied
	acceptingCache []*server // servers that accepted new objects at acceptingAt
	acceptingAt    time.Duration
	serversVisited int // number of servers examined for new objects and in sweeps

	// Ops.
	ops             map[honeyplank.OpID]*op
	firstQueued     *op // list of the queued ops in the order queued, unassigned ones included
	lastQueued      *op
	serial          int // serial number of the op queued last
	unassigned      int // number of queued ops without a server
	volumes         map[int64]*volume
	unusedVolumes   recencyList[volume]      // without open ops, nothing was sent for them
	idleVolumes     recencyList[volume]      // without open ops, something was sent for them
	idleQueues      recencyList[volumeQueue] // that are empty
	droppedDispatch time.Duration            // last dispatch for a volume whose record was dropped early
	dropped         honeyplank.LogRecordsDropped
	droppedLoggedAt time.Duration
	keyQueues       map[int64]*keyQueue
	earlierAttempts map[requestIdentity]*earlierAttempt
	admissions      []time.Duration // times of admissions within the retry budget's window
	retries         []time.Duration // times of retries within it
	lostShare       float64         // recent share of dispatches that were cancelled because their answers seemed lost

	// Demand, in units.
	demand               ratesByClass // of ops that have a cell
	cellBoundDemand      decayedRate  // of the same ops, over a longer time
	fleetDemand          decayedRate  // through all instances, for the volumes with ops at this one
	demandByCell         map[int]*cellDemand
	maxInstancesSeen     int     // largest number of instances of any volume
	unitsAdmitted        float64 // sum of the units of all ops
	unitsSquaredAdmitted float64 // sum of the squares of these units

	// Estimates.
	latencyByType  []typeLatency                                     // by op type
	savedEstimates map[honeyplank.ServerID]honeyplank.ServerEstimate // of servers not listed yet
}

// New returns an engine that has handled no event. All its random numbers follow from the seed. The
// settings must not change afterwards.
func New(seed int64, settings *honeyplank.Settings) *Engine {
	return &Engine{
		settings:        readSettings(settings),
		rng:             rand.New(rand.NewSource(seed)),
		servers:         map[honeyplank.ServerID]*server{},
		serversByCell:   map[int][]*server{},
		rankingEpoch:    1,
		ops:             map[honeyplank.OpID]*op{},
		volumes:         map[int64]*volume{},
		keyQueues:       map[int64]*keyQueue{},
		earlierAttempts: map[requestIdentity]*earlierAttempt{},
		demandByCell:    map[int]*cellDemand{},
		latencyByType:   make([]typeLatency, len(settings.OpTypes)),
		savedEstimates:  map[honeyplank.ServerID]honeyplank.ServerEstimate{},
	}
}

// Handle processes an event and returns the actions to carry out at once, in their order. now is
// the time on the clock of the instance; it must not go back between calls.
func (e *Engine) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	e.now, e.actions = now, nil
	if !e.started {
		e.start()
	}
	switch event := event.(type) {
	case honeyplank.List:
		e.applyList(event)
	case honeyplank.Op:
		e.admit(event)
	case honeyplank.Outcome:
		e.handleOutcome(event)
	case honeyplank.ResponseStarted:
		if op := e.ops[event.Op]; op != nil {
			op.responseStarted = true
		}
	case honeyplank.Timer:
		e.handleTimer(event.ID)
	case honeyplank.SavedEstimates:
		e.restoreEstimates(event)
	case honeyplank.ClientGone:
		if op := e.ops[event.Op]; op != nil && !op.answered {
			e.finishOp(op)
		}
	}
	return e.actions
}

// start sets the timer of the first sweep, and requests the watch if the settings demand that.
func (e *Engine) start() {
	e.started, e.startedAt = true, e.now
	e.setTimer(e.now+e.sweepInterval(), sweepTimer)
	if e.settings.Watch.OnRequest {
		e.requestWatch()
	}
}

// handleTimer handles a timer that is due.
func (e *Engine) handleTimer(id honeyplank.TimerID) {
	switch {
	case id == sweepTimer:
		e.sweep()
	case id == watchTimer && !e.watchActive:
		e.requestWatch()
	}
}

// sweepInterval is the time between two sweeps.
func (e *Engine) sweepInterval() time.Duration {
	return max(time.Duration(sweepShare*float64(e.settings.shortestTarget)), e.settings.Step, time.Millisecond)
}

// sweep does the work that depends on time alone: it checks the health of servers, cancels
// dispatches whose answers are probably lost, renews admission draws, dispatches queued ops, gives
// up ops that can no longer be answered in time, requests the watch, and drops idle records.
func (e *Engine) sweep() {
	e.setTimer(e.now+e.sweepInterval(), sweepTimer)
	e.deactivateIdle()
	// A cancelled dispatch may keep running. A retry of its op is therefore a hedged request.
	mayCancel := e.settings.Dispatches.CancelAllowed && e.settings.Dispatches.HedgingAllowed
	for _, server := range e.activeServers {
		e.checkHealth(server)
		if mayCancel {
			e.cancelOverdue(server)
		}
	}
	e.resampleQueued()
	e.assignAllQueued()
	e.giveUpUnreachable()
	if e.settings.Watch.OnRequest && !e.watchActive && e.now-e.watchRequested > e.settings.Watch.Within/2 {
		e.requestWatch()
	}
	if e.now-e.evictedAt >= evictInterval {
		e.evictedAt = e.now
		e.evictIdle(idleExpiry)
		e.logDropped()
	}
}

// resampleQueued draws a new admission draw for each op that has been queued for the shortest
// target latency since its last draw, as for a new attempt of the client. Otherwise an op with a
// high draw would wait in vain.
func (e *Engine) resampleQueued() {
	for op := e.firstQueued; op != nil; op = op.nextQueued {
		if e.now-op.sampledAt >= e.settings.shortestTarget {
			op.sampledAt, op.admissionDraw = e.now, e.rng.Float64()
			e.recordResample(op)
		}
	}
}

// giveUpUnreachable gives up the queued ops that can no longer be answered in time.
func (e *Engine) giveUpUnreachable() {
	for op := e.firstQueued; op != nil; {
		next := op.nextQueued
		if e.deadlineUnreachable(op) {
			e.giveUp(op)
		}
		op = next
	}
}

// emit appends an action to those that Handle returns.
func (e *Engine) emit(action honeyplank.Action) { e.actions = append(e.actions, action) }

// setTimer requests a timer event at the given clock time.
func (e *Engine) setTimer(at time.Duration, id honeyplank.TimerID) {
	e.emit(honeyplank.SetTimer{At: at, ID: id})
}
