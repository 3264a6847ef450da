// Package policy decides every op of one scheduler. Call New(seed, settings) once and then
// Handle(now, event) for each event in turn; the events, the actions it returns and the outcomes are
// defined in package honeyplank, the names of the settings in internal/wire. docs/design.md says why.
package policy

import (
	"fmt"
	"math/rand"
	"time"

	"honeyplank"
)

// sweepShare is the interval of sweeps, as a share of the shortest target latency.
const sweepShare = 1.0 / 20

// holdUp is for how long the process may be held up between reading its clock and writing: what is decided at one time
// may leave so much later.
const holdUp = 150 * time.Millisecond

// Handle takes one event and returns what is to be done at once.
func (s *Scheduler) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	s.now, s.actions = now, nil
	if !s.started {
		s.started, s.startedAt = true, now
		s.setTimer(now+s.sweepInterval(), "sweep")
		if s.settings.watchOnRequest {
			s.requestWatch()
		}
	}
	switch e := event.(type) {
	case honeyplank.List:
		s.applyList(e)
	case honeyplank.Op:
		s.admit(e)
	case honeyplank.Outcome:
		s.handleOutcome(e)
	case honeyplank.ResponseStarted:
		if p := s.ops[e.Op]; p != nil {
			p.responseStarted = true
		}
	case honeyplank.Timer:
		if e.Name == "sweep" {
			s.sweep()
		}
		if e.Name == "watch" && !s.watchActive {
			s.requestWatch()
		}
	case honeyplank.SavedEstimates:
		s.restoreEstimates(e)
	case honeyplank.ClientGone:
		if p := s.ops[e.Op]; p != nil && !p.answered {
			s.finishOp(p)
		}
	}
	return s.actions
}

func (s *Scheduler) sweepInterval() time.Duration {
	return max(time.Duration(sweepShare*float64(s.settings.shortestTarget)), s.settings.step, time.Millisecond)
}

func (s *Scheduler) sweep() {
	s.setTimer(s.now+s.sweepInterval(), "sweep")
	s.deactivateIdle()
	for _, o := range s.activeServers {
		if o.fullDeadlineDispatches > 0 && s.now-o.unansweredSince > s.settings.longestTarget/2 {
			s.applyHealthEvent(o, unresponsive)
			o.unansweredSince = s.now
		}
		if o.health == down && s.now-o.healthSince >= o.backoff {
			s.applyHealthEvent(o, backoffElapsed)
		}
		if s.settings.cancelAllowed && s.settings.hedgingAllowed { // what is withdrawn may run on
			s.cancelOverdue(o)
		}
	}
	// A held op draws anew, as if its client had come again: one that lost its only lot would be held in vain.
	for p := s.firstHeld; p != nil; p = p.nextHeld {
		if s.now-p.sampledAt >= s.settings.shortestTarget {
			p.sampledAt, p.admissionDraw = s.now, s.rng.Float64()
			s.recordResample(p)
		}
	}
	s.assignAllHeld()
	for p := s.firstHeld; p != nil; {
		next := p.nextHeld
		if s.deadlineUnreachable(p) {
			s.giveUp(p)
		}
		p = next
	}
	if s.settings.watchOnRequest && !s.watchActive && s.now-s.watchRequested > s.settings.watchDeadline/2 {
		s.requestWatch()
	}
	if s.now-s.evictedAt >= evictInterval {
		s.evictedAt = s.now
		s.evictIdle(idleExpiry)
	}
}

// New makes an instance that knows nothing yet.
func New(seed int64, settings *honeyplank.Settings) *Scheduler {
	return &Scheduler{
		settings: readSettings(settings), rng: rand.New(rand.NewSource(seed)),
		servers: map[honeyplank.ServerID]*server{}, ops: map[honeyplank.OpID]*op{},
		savedEstimates: map[honeyplank.ServerID]honeyplank.ServerEstimate{}, volumes: map[int64]*volume{},
		keyQueues: map[int64]*keyQueue{}, serversByCell: map[int][]*server{}, demandByCell: map[int]*cellDemand{},
		earlierAttempts: map[requestIdentity]*earlierAttempt{}, rankingEpoch: 1,
		latencyByType: make([]typeLatency, len(settings.OpTypes.TargetLatency)),
	}
}

// Scheduler is one instance. It shares nothing with others.
type Scheduler struct {
	settings             *schedulerSettings
	rng                  *rand.Rand
	now                  time.Duration
	startedAt            time.Duration
	started              bool
	actions              []honeyplank.Action
	servers              map[honeyplank.ServerID]*server
	savedEstimates       map[honeyplank.ServerID]honeyplank.ServerEstimate // from before this instance
	serversByID          []*server                                         // by id
	activeServers        []*server                                         // those that the sweep looks at, by id
	joinedServers        []*server                                         // those that came, in that order
	rankingEpoch         int                                               // counts the starts of joined
	acceptingCache       []*server                                         // sound ones, as seen at a time
	acceptingAt          time.Duration
	serversVisited       int // disk servers looked at for new objects and in sweeps
	evictedAt            time.Duration
	serversUp            int                 // how many are listed as on
	maxSchedulersSeen    int                 // the most that volumes were seen to come through
	demand               [2]decayedRate      // units taken: due, and beyond
	cellBoundDemand      decayedRate         // units asked of those that hold data, over a longer time
	fleetDemand          decayedRate         // units asked of all hosts for the volumes known here
	demandByCell         map[int]*cellDemand // by where the data lies
	serversByCell        map[int][]*server   // disk servers by the data they hold
	latencyByType        []typeLatency       // by op type
	earlierAttempts      map[requestIdentity]*earlierAttempt
	lostShare            float64 // recent share of dispatches whose answers seemed lost
	unitsAdmitted        float64 // of all ops taken, and their squares
	unitsSquaredAdmitted float64
	ops                  map[honeyplank.OpID]*op
	firstHeld            *op // of the held ones, in the order taken; also those with no disk server
	lastHeld             *op
	serial               int
	unassigned           int // held ops with no disk server
	volumes              map[int64]*volume
	keyQueues            map[int64]*keyQueue
	admissions           []time.Duration // ops taken, for the budget
	retries              []time.Duration // further dispatches, for the budget
	watchActive          bool
	watchRequested       time.Duration
	backoff              time.Duration
}

func (s *Scheduler) emit(a honeyplank.Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) setTimer(at time.Duration, name string) {
	s.emit(honeyplank.SetTimer{At: at, Name: name})
}

func (s *Scheduler) logf(format string, arguments ...any) {
	s.emit(honeyplank.Log{Text: fmt.Sprintf(format, arguments...)})
}

// requestWatch asks discovery for changes from now on.
func (s *Scheduler) requestWatch() {
	s.watchRequested = s.now
	s.emit(honeyplank.Watch{Enabled: true})
}
