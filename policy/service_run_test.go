package policy

import (
	"fmt"
	"math/rand"
	"time"

	"honeyplank"
)

// The course of a serviceRun.
const (
	faultBegins  = 15 * time.Second
	faultEnds    = 21 * time.Second
	recoveryEnds = 31 * time.Second // ten seconds after the fault service is back
	runEnds      = 46 * time.Second
)

// A class is starved when nothing of it is dispatched for starvedFor, while servers answer others, and
// so many of its requests wait.
const (
	starvedFor      = 5 * time.Second
	starvedRequests = 12
)

// arrivalTimer is the timer of the simulation at which the next request arrives.
const arrivalTimer honeyplank.TimerID = "arrival"

// clientRequest is a request of a client over all its attempts.
type clientRequest struct {
	class      int
	first      time.Duration // when it was sent first
	deadline   time.Duration
	attempts   int
	op         honeyplank.Op // of the last attempt
	dispatches int           // of that op
	answered   bool
}

// attemptEvent has a client send a request again.
type attemptEvent struct {
	honeyplank.Event
	request *clientRequest
}

// serviceRun is one instance, its clients and its servers, on a clock of its own.
type serviceRun struct {
	deployment
	fault  *serviceFault
	rng    *rand.Rand
	module *Engine
	now    time.Duration
	events eventQueue

	attempts int                                // of all clients so far
	requests map[honeyplank.OpID]*clientRequest // of the ops that have no answer
	all      []*clientRequest
	served   map[*clientRequest]bool // within the target latency

	// For the search for starved classes.
	lastDispatch []time.Duration // by class: the last dispatch
	undispatched []int           // by class: attempts since then
	lastAnswer   time.Duration
	starved      string // what was found; empty: nothing

	// What a fault changes.
	rateFactor    float64                                   // factor of the rate; 0: none
	clientTimeout func(timeout time.Duration) time.Duration // nil: as the class has it
	answer        answerFunc                                // nil: success
}

// answerFunc is how and after which time a server answers a request that it would serve in a time.
type answerFunc func(request *clientRequest, server int, took time.Duration) (honeyplank.Code, time.Duration)

func newServiceRun(d deployment, fault *serviceFault, seed int64) *serviceRun {
	run := &serviceRun{
		deployment:   d,
		fault:        fault,
		rng:          rand.New(rand.NewSource(seed)),
		module:       New(seed, d.settings()),
		now:          time.Second,
		requests:     map[honeyplank.OpID]*clientRequest{},
		served:       map[*clientRequest]bool{},
		lastDispatch: make([]time.Duration, len(d.classes)),
		undispatched: make([]int, len(d.classes)),
	}
	run.list(honeyplank.Up, 0)
	run.events.add(run.now, honeyplank.Timer{ID: arrivalTimer})
	return run
}

// run plays the whole run.
func (run *serviceRun) run() {
	begun, ended := run.fault.begin == nil, false
	for run.now < runEnds {
		next := run.events.next()
		if !begun && next.at >= faultBegins {
			begun, run.now = true, next.at
			run.fault.begin(run)
		}
		if !ended && next.at >= faultEnds {
			ended, run.now = true, next.at
			run.answer, run.rateFactor = nil, 0
			if run.fault.end != nil {
				run.fault.end(run)
			}
		}
		run.step(next)
	}
}

// step plays one event.
func (run *serviceRun) step(next scheduledEvent) {
	run.now = next.at
	switch event := next.event.(type) {
	case attemptEvent:
		run.attempt(event.request)
	case honeyplank.Outcome:
		run.end(event)
	case honeyplank.Timer:
		if event.ID == arrivalTimer {
			run.arriveNext()
		} else {
			run.handle(event)
		}
	default:
		run.handle(event)
	}
}

// list sends a list in which all servers have a state.
func (run *serviceRun) list(state honeyplank.MemberState, started time.Duration) {
	members := membersUpTo(fleetServers)
	for i := range members {
		members[i].State, members[i].Started = state, started
	}
	run.events.add(run.now, honeyplank.List{Kind: honeyplank.Delta, Members: members})
}

// arriveNext has a request of a class at random arrive, and sets the time of the next.
func (run *serviceRun) arriveNext() {
	rate := requestRate
	if run.rateFactor > 0 {
		rate *= run.rateFactor
	}
	at := run.now + time.Duration(run.rng.ExpFloat64()/rate*float64(time.Second))
	run.events.add(at, honeyplank.Timer{ID: arrivalTimer})
	class := run.drawClass()
	timeout := run.classes[class].timeout
	if run.clientTimeout != nil {
		timeout = run.clientTimeout(timeout)
	}
	run.arrive(class, timeout)
	run.checkStarved()
}

// drawClass draws the class of a request; those beyond the usual rate in a surge are of the first.
func (run *serviceRun) drawClass() int {
	draw, class := run.rng.Float64(), 0
	for draw > run.classes[class].share && class < len(run.classes)-1 {
		draw -= run.classes[class].share
		class++
	}
	if run.rateFactor > 0 && run.rng.Float64() > 1/run.rateFactor {
		return 0
	}
	return class
}

// checkStarved looks for a class of which nothing is dispatched.
func (run *serviceRun) checkStarved() {
	if run.starved != "" || run.now-run.lastAnswer >= time.Second {
		return
	}
	for class, last := range run.lastDispatch {
		if run.now-last > starvedFor && run.undispatched[class] >= starvedRequests {
			run.starved = fmt.Sprintf("class %d: nothing dispatched from %v to %v, %d attempts", class, last, run.now,
				run.undispatched[class])
			return
		}
	}
}

// arrive has a new request of a class arrive.
func (run *serviceRun) arrive(class int, timeout time.Duration) {
	request := &clientRequest{class: class, first: run.now, deadline: run.now + timeout}
	volume := run.rng.Intn(fleetVolumes)
	request.op = honeyplank.Op{
		Units:     float64(1 + run.rng.Intn(run.classes[class].units)),
		Type:      class,
		HasKey:    true,
		Key:       run.rng.Int63n(1 << 40),
		Volume:    int64(volume),
		Instances: volumeInstances,
		Cell:      (volume*5 + run.rng.Intn(3)) % fleetServers,
	}
	run.all = append(run.all, request)
	run.attempt(request)
}

// attempt sends a request, again perhaps, with what is left of its client's time.
func (run *serviceRun) attempt(request *clientRequest) {
	if request.answered || run.now >= request.deadline || request.attempts >= maxAttempts {
		return
	}
	run.attempts++
	request.attempts++
	request.dispatches = 0
	request.op.ID = honeyplank.OpID(fmt.Sprint(run.attempts))
	request.op.Timeout = request.deadline
	run.requests[request.op.ID] = request
	run.undispatched[request.class]++
	run.handle(request.op)
}

// handle has the module handle an event, and carries out its actions.
func (run *serviceRun) handle(event honeyplank.Event) {
	for _, action := range run.module.Handle(run.now, event) {
		run.carryOut(action)
	}
}

func (run *serviceRun) carryOut(action honeyplank.Action) {
	switch action := action.(type) {
	case honeyplank.Dispatch:
		run.dispatch(action)
	case honeyplank.Reject:
		request := run.requests[action.Op]
		delete(run.requests, action.Op)
		run.events.add(run.now+max(action.RetryAfter, retryAfter), attemptEvent{request: request})
	case honeyplank.Fail:
		delete(run.requests, action.Op)
	case honeyplank.Cancel:
		if run.requests[action.Op] != nil {
			cancelled := honeyplank.Outcome{Op: action.Op, Dispatch: action.Dispatch, Code: honeyplank.Cancelled}
			run.events.add(run.now, cancelled)
		}
	case honeyplank.SetTimer:
		run.events.add(action.At, honeyplank.Timer{ID: action.ID})
	}
}

// dispatch has a server end a dispatch, as the fault has it.
func (run *serviceRun) dispatch(action honeyplank.Dispatch) {
	request := run.requests[action.Op]
	if request == nil {
		return
	}
	perUnit := float64(run.classes[request.class].unitTime)
	took := time.Duration(request.op.Units * perUnit * (0.5 + run.rng.ExpFloat64()/2))
	code := honeyplank.Succeeded
	if run.answer != nil {
		code, took = run.answer(request, memberNumber(action.Server), took)
	}
	end := run.now + took
	if end >= request.op.Timeout {
		code, end = honeyplank.TimedOut, request.op.Timeout
	}
	run.events.add(end, honeyplank.Outcome{
		Op: action.Op, Dispatch: request.dispatches, Server: action.Server, Code: code, Elapsed: end - run.now,
	})
	request.dispatches++
	run.lastDispatch[request.class], run.undispatched[request.class] = run.now, 0
}

// end ends a dispatch.
func (run *serviceRun) end(outcome honeyplank.Outcome) {
	request := run.requests[outcome.Op]
	if request != nil && outcome.Code == honeyplank.Succeeded {
		outcome.Answered, request.answered, run.lastAnswer = true, true, run.now
		run.served[request] = run.now-request.first <= run.classes[request.class].target
		delete(run.requests, outcome.Op)
	}
	run.handle(outcome)
}

// classCounts are numbers of requests by class: those sent and those served within the target latency.
type classCounts struct {
	served, sent []float64
}

// count adds the requests that were first sent in a span of time.
func (run *serviceRun) count(counts classCounts, from, to time.Duration) {
	for _, request := range run.all {
		if request.first < from || request.first >= to {
			continue
		}
		counts.sent[request.class]++
		if run.served[request] {
			counts.served[request.class]++
		}
	}
}
