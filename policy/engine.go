// Package policy is the decision module: it decides every op of one scheduler. New makes an
// instance from a seed and the settings, and Handle takes one event after another and returns the
// actions to carry out. Events, actions and settings are defined in package honeyplank. The package
// has no clock and does no I/O. docs/design.md describes the mechanism, iShare, and what was
// changed in it.
package policy

import (
	"math/rand"
	"time"

	"honeyplank"
)

// sweepShare is the interval of sweeps, as a share of the shortest target latency.
const sweepShare = 1.0 / 20

// holdUp is the longest time for which the process may be delayed between reading its clock and
// writing: a dispatch may leave that much later than it was decided.
const holdUp = 150 * time.Millisecond

// The timers that the module sets.
const (
	sweepTimer honeyplank.TimerID = "sweep"
	watchTimer honeyplank.TimerID = "watch"
)

// Engine is one instance of the decision module. It is not safe for concurrent use.
type Engine struct {
	settings  *schedulerSettings
	rng       *rand.Rand
	now       time.Duration // of the event that is being handled
	started   bool
	startedAt time.Duration
	actions   []honeyplank.Action // returned for that event
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
	joinedServers  []*server // servers that came up, in that order
	rankingEpoch   int       // counts the times that joinedServers was emptied
	acceptingCache []*server // servers that accepted new objects at acceptingAt
	acceptingAt    time.Duration
	serversVisited int // servers looked at for new objects and in sweeps

	// Ops.
	ops             map[honeyplank.OpID]*op
	firstHeld       *op // list of the held ops in the order held, unassigned ones included
	lastHeld        *op
	serial          int // of the op held last
	unassigned      int // held ops without a server
	volumes         map[int64]*volume
	keyQueues       map[int64]*keyQueue
	earlierAttempts map[requestIdentity]*earlierAttempt
	admissions      []time.Duration // times of admissions within the retry budget's window
	retries         []time.Duration // times of retries within it
	lostShare       float64         // recent share of dispatches that were cancelled as lost

	// Demand, in units.
	demand               [reserveIndices]decayedRate // of ops that have a cell
	cellBoundDemand      decayedRate                 // the same over a longer time
	fleetDemand          decayedRate                 // of all instances, for the volumes that this one sees
	demandByCell         map[int]*cellDemand
	maxSchedulersSeen    int     // largest number of instances that a volume came through
	unitsAdmitted        float64 // sum over all ops
	unitsSquaredAdmitted float64 // sum of the squares

	// Estimates.
	latencyByType  []typeLatency                                     // by op type
	savedEstimates map[honeyplank.ServerID]honeyplank.ServerEstimate // of servers not listed so far
}

// New returns an instance that has seen no event. The settings must not change afterwards.
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
		latencyByType:   make([]typeLatency, len(settings.OpTypes.TargetLatency)),
		savedEstimates:  map[honeyplank.ServerID]honeyplank.ServerEstimate{},
	}
}

// Handle takes the event of a clock time and returns the actions to carry out at once, in their
// order.
func (s *Engine) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	s.now, s.actions = now, nil
	if !s.started {
		s.start()
	}
	switch event := event.(type) {
	case honeyplank.List:
		s.applyList(event)
	case honeyplank.Op:
		s.admit(event)
	case honeyplank.Outcome:
		s.handleOutcome(event)
	case honeyplank.ResponseStarted:
		if op := s.ops[event.Op]; op != nil {
			op.responseStarted = true
		}
	case honeyplank.Timer:
		s.handleTimer(event.ID)
	case honeyplank.SavedEstimates:
		s.restoreEstimates(event)
	case honeyplank.ClientGone:
		if op := s.ops[event.Op]; op != nil && !op.answered {
			s.finishOp(op)
		}
	}
	return s.actions
}

func (s *Engine) start() {
	s.started, s.startedAt = true, s.now
	s.setTimer(s.now+s.sweepInterval(), sweepTimer)
	if s.settings.watchOnRequest {
		s.requestWatch()
	}
}

func (s *Engine) handleTimer(id honeyplank.TimerID) {
	switch {
	case id == sweepTimer:
		s.sweep()
	case id == watchTimer && !s.watchActive:
		s.requestWatch()
	}
}

// sweepInterval is the time between two sweeps.
func (s *Engine) sweepInterval() time.Duration {
	return max(time.Duration(sweepShare*float64(s.settings.shortestTarget)), s.settings.step, time.Millisecond)
}

// sweep does what depends on time alone: health, lost answers, new admission draws, dispatches of
// held ops, ops that can no longer be answered in time, the watch, and idle records.
func (s *Engine) sweep() {
	s.setTimer(s.now+s.sweepInterval(), sweepTimer)
	s.deactivateIdle()
	mayCancel := s.settings.cancelAllowed && s.settings.hedgingAllowed // a cancelled dispatch may run on
	for _, server := range s.activeServers {
		s.checkHealth(server)
		if mayCancel {
			s.cancelOverdue(server)
		}
	}
	s.resampleHeld()
	s.assignAllHeld()
	s.giveUpUnreachable()
	if s.settings.watchOnRequest && !s.watchActive && s.now-s.watchRequested > s.settings.watchDeadline/2 {
		s.requestWatch()
	}
	if s.now-s.evictedAt >= evictInterval {
		s.evictedAt = s.now
		s.evictIdle(idleExpiry)
	}
}

// resampleHeld draws new admission draws for ops that have been held for a shortest target latency
// since the last one, as for a new attempt of the client: an op with a high draw would be held in
// vain.
func (s *Engine) resampleHeld() {
	for op := s.firstHeld; op != nil; op = op.nextHeld {
		if s.now-op.sampledAt >= s.settings.shortestTarget {
			op.sampledAt, op.admissionDraw = s.now, s.rng.Float64()
			s.recordResample(op)
		}
	}
}

func (s *Engine) giveUpUnreachable() {
	for op := s.firstHeld; op != nil; {
		next := op.nextHeld
		if s.deadlineUnreachable(op) {
			s.giveUp(op)
		}
		op = next
	}
}

func (s *Engine) emit(action honeyplank.Action) { s.actions = append(s.actions, action) }

func (s *Engine) setTimer(at time.Duration, id honeyplank.TimerID) {
	s.emit(honeyplank.SetTimer{At: at, ID: id})
}
