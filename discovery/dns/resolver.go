package dns

import (
	"math/rand"
	"time"
)

const (
	// jitterShare is the share of an interval that is random: a query follows after 75 % to 100 % of the interval.
	// Otherwise instances that start at the same time would always query at the same time.
	jitterShare = 1.0 / 4
	// backoffGrowth is the factor by which the interval grows with each round in which all servers fail.
	backoffGrowth = 2
)

// resolverSettings has the limits of the queries.
type resolverSettings struct {
	servers     int // number of name servers, queried in turn
	minInterval time.Duration
	maxInterval time.Duration
	seed        int64
}

// query is the next query: the index of the server, and the time at which it is due, as a duration since the start.
type query struct {
	server int
	at     time.Duration
}

// resolverState is the state of the queries. A round of queries ends with an answer, or when every server has failed.
type resolverState int

const (
	answered     resolverState = iota // the last query was answered, or no query was sent yet
	tryingOthers                      // servers have failed in the current round
	allFailed                         // all servers failed in the previous round
)

// resolverInput is the outcome of a query.
type resolverInput int

const (
	inputAnswer      resolverInput = iota
	inputFailure                   // more servers remain in this round
	inputLastFailure               // no server remains in this round
)

// resolverTransition has the next state and the action on an outcome, and whether the outcome ends the round.
type resolverTransition struct {
	next     resolverState
	action   func(r *resolver, now, ttl time.Duration)
	endRound bool
}

// resolverTransitions has an entry for every state and input. With each round in which all servers fail, the interval
// grows from the minimum to the maximum, so that many instances do not overload a name server that barely works.
// Limitation: after a short failure of all servers, the next query may be delayed by up to one maximum interval.
var resolverTransitions = map[resolverState]map[resolverInput]resolverTransition{
	answered: {
		inputAnswer:      {answered, (*resolver).awaitExpiry, true},
		inputFailure:     {tryingOthers, (*resolver).tryNext, false},
		inputLastFailure: {allFailed, (*resolver).backOff, true},
	},
	tryingOthers: {
		inputAnswer:      {answered, (*resolver).awaitExpiry, true},
		inputFailure:     {tryingOthers, (*resolver).tryNext, false},
		inputLastFailure: {allFailed, (*resolver).backOff, true},
	},
	allFailed: {
		inputAnswer:      {answered, (*resolver).awaitExpiry, true},
		inputFailure:     {allFailed, (*resolver).tryNext, false},
		inputLastFailure: {allFailed, (*resolver).backOff, true},
	},
}

// resolver decides the next query from the outcome of the last. It does no I/O and reads no clock.
type resolver struct {
	settings  resolverSettings
	rng       *rand.Rand
	state     resolverState
	preferred int           // index of the server that answered last; each round begins with it
	failed    int           // number of servers that have failed in the current round
	interval  time.Duration // after the last round, if all servers failed in it; 0: it ended with an answer
	next      query
}

// newResolver makes a resolver whose first query is due immediately.
func newResolver(settings resolverSettings) *resolver {
	return &resolver{settings: settings, rng: rand.New(rand.NewSource(settings.seed))}
}

// Next returns the next query.
func (r *resolver) Next() query { return r.next }

// Answered records an answer, positive or negative, to the query; ttl is its lifetime.
func (r *resolver) Answered(now, ttl time.Duration) { r.apply(inputAnswer, now, ttl) }

// Failed records that the query was not answered. It reports whether all servers have failed in the current round.
func (r *resolver) Failed(now time.Duration) (all bool) {
	input := inputFailure
	if r.failed++; r.failed >= r.settings.servers {
		input = inputLastFailure
	}
	return r.apply(input, now, 0)
}

func (r *resolver) apply(input resolverInput, now, ttl time.Duration) (endRound bool) {
	t := resolverTransitions[r.state][input]
	r.state = t.next
	t.action(r, now, ttl)
	return t.endRound
}

// awaitExpiry schedules a query to the same server for the time at which the answer expires.
func (r *resolver) awaitExpiry(now, ttl time.Duration) {
	r.preferred, r.failed, r.interval = r.next.server, 0, 0
	r.next.at = now + r.jittered(ttl)
}

// tryNext schedules an immediate query to the next server.
func (r *resolver) tryNext(now, _ time.Duration) {
	r.next = query{(r.next.server + 1) % r.settings.servers, now}
}

// backOff schedules the next round after a longer interval than before. It begins with the server that answered last.
func (r *resolver) backOff(now, _ time.Duration) {
	r.failed, r.interval = 0, min(max(backoffGrowth*r.interval, r.settings.minInterval), r.settings.maxInterval)
	r.next = query{r.preferred, now + r.jittered(r.interval)}
}

// jittered limits an interval to the bounds of the settings and subtracts a random part.
func (r *resolver) jittered(interval time.Duration) time.Duration {
	interval = min(max(interval, r.settings.minInterval), r.settings.maxInterval)
	return interval - time.Duration(r.rng.Float64()*jitterShare*float64(interval))
}
