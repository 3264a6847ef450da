package policy

import (
	"fmt"
	"math/rand"
	"time"

	"honeyplank"
)

// Times at which the phases of a serviceRun begin and end.
const (
	faultBegins  = 15 * time.Second
	faultEnds    = 21 * time.Second
	recoveryEnds = 31 * time.Second // service must have recovered ten seconds after the fault
	runEnds      = 46 * time.Second
)

// A class is starved if none of its requests is dispatched for starvedFor, while servers answer other
// requests and at least starvedRequests attempts of the class wait.
const (
	starvedFor      = 5 * time.Second
	starvedRequests = 12
)

// arrivalTimer is the timer of the simulation that is due when the next request arrives.
const arrivalTimer honeyplank.TimerID = "arrival"

// clientRequest is a request of a client with all its attempts.
type clientRequest struct {
	class      int
	first      time.Duration // time of the first attempt
	deadline   time.Duration
	attempts   int
	op         honeyplank.Op // of the last attempt
	dispatches int           // of that op
	answered   bool
}

// attemptEvent is a further attempt of a client.
type attemptEvent struct {
	honeyplank.Event
	request *clientRequest
}

// serviceRun is one instance, its clients and its servers, with their own clock.
type serviceRun struct {
	deployment
	fault  *serviceFault
	rng    *rand.Rand
	module *Engine
	now    time.Duration
	events eventQueue

	attempts int                                // number of attempts of all clients so far
	requests map[honeyplank.OpID]*clientRequest // by the op of the last attempt, as long as it has no answer
	all      []*clientRequest
	served   map[*clientRequest]bool // whether it was served within the target latency

	// Detection of starved classes.
	lastDispatched []time.Duration // by class: time of the last dispatch
	undispatched   []int           // by class: attempts since then
	lastAnswer     time.Duration
	starved        string // description of the starvation found; empty: none

	// Set by a fault.
	rateFactor    float64                                   // factor of the request rate; 0: none
	clientTimeout func(timeout time.Duration) time.Duration // nil: the timeout of the class
	answer        answerFunc                                // nil: success
}

// answerFunc returns the code with which a server answers a request, and the time after which it
// does. took is the time that the server would need without a fault.
type answerFunc func(request *clientRequest, server int, took time.Duration) (honeyplank.Code, time.Duration)

func newServiceRun(d deployment, fault *serviceFault, seed int64) *serviceRun {
	run := &serviceRun{
		deployment:     d,
		fault:          fault,
		rng:            rand.New(rand.NewSource(seed)),
		module:         New(seed, d.settings()),
		now:            time.Second,
		requests:       map[honeyplank.OpID]*clientRequest{},
		served:         map[*clientRequest]bool{},
		lastDispatched: make([]time.Duration, len(d.classes)),
		undispatched:   make([]int, len(d.classes)),
	}
	run.sendList(honeyplank.Up, 0)
	run.events.add(run.now, honeyplank.Timer{ID: arrivalTimer})
	return run
}

// run simulates the whole run.
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

// step simulates one event.
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

// sendList sends a list in which all servers have the given state and start.
func (run *serviceRun) sendList(state honeyplank.MemberState, started time.Duration) {
	members := membersUpTo(fleetServers)
	for i := range members {
		members[i].State, members[i].Started = state, started
	}
	run.events.add(run.now, honeyplank.List{Kind: honeyplank.Delta, Members: members})
}

// arriveNext lets a request of a random class arrive, and schedules the next one.
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

// drawClass draws the class of a request. In a surge, the requests beyond the usual rate are of the
// first class.
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

// checkStarved records the first class that is starved.
func (run *serviceRun) checkStarved() {
	if run.starved != "" || run.now-run.lastAnswer >= time.Second {
		return
	}
	for class, last := range run.lastDispatched {
		if run.now-last > starvedFor && run.undispatched[class] >= starvedRequests {
			run.starved = fmt.Sprintf("class %d: nothing dispatched from %v to %v, %d attempts", class, last, run.now,
				run.undispatched[class])
			return
		}
	}
}

// arrive lets a new request of a class arrive.
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

// attempt sends a request, possibly again, with the time that its client has left.
func (run *serviceRun) attempt(request *clientRequest) {
	if request.answered || run.now >= request.deadline || request.attempts >= maxAttempts {
		return
	}
	run.attempts++
	request.attempts++
	request.dispatches = 0
	request.op.ID = honeyplank.OpID(fmt.Sprint(run.attempts))
	request.op.Deadline = request.deadline
	run.requests[request.op.ID] = request
	run.undispatched[request.class]++
	run.handle(request.op)
}

// handle sends an event to the module and carries out the actions.
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

// dispatch schedules the end of a dispatch at its server, according to the fault.
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
	if end >= request.op.Deadline {
		code, end = honeyplank.TimedOut, request.op.Deadline
	}
	run.events.add(end, honeyplank.Outcome{
		Op: action.Op, Dispatch: request.dispatches, Server: action.Server, Code: code, Elapsed: end - run.now,
	})
	request.dispatches++
	run.lastDispatched[request.class], run.undispatched[request.class] = run.now, 0
}

// end handles the end of a dispatch.
func (run *serviceRun) end(outcome honeyplank.Outcome) {
	request := run.requests[outcome.Op]
	if request != nil && outcome.Code == honeyplank.Succeeded {
		outcome.Answered, request.answered, run.lastAnswer = true, true, run.now
		run.served[request] = run.now-request.first <= run.classes[request.class].target
		delete(run.requests, outcome.Op)
	}
	run.handle(outcome)
}

// classCounts are numbers of requests by class: those sent, and those served within the target
// latency.
type classCounts struct {
	served, sent []float64
}

// count adds the requests whose first attempt was made from one time up to another.
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
