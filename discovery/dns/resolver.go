package dns

import (
	"math/rand"
	"time"
)

const (
	// jitterShare is the share of an interval that is drawn at random, so that instances that began together do not
	// keep querying together: a query comes after three quarters of the interval to all of it.
	jitterShare = 1.0 / 4
	// backoffGrowth is by which factor the interval grows with each round in which all servers fail.
	backoffGrowth = 2
)

// resolverSettings bound the queries.
type resolverSettings struct {
	servers     int // number of name servers, queried in turn
	minInterval time.Duration
	maxInterval time.Duration
	seed        int64
}

// query is the next query: the index of the server, and when, as a span since the start.
type query struct {
	server int
	at     time.Duration
}

// resolverState is how the last round of queries went. A round ends with an answer, or when each server has failed.
type resolverState int

const (
	answered     resolverState = iota // the last query was answered, or there was none yet
	tryingOthers                      // servers have failed in this round
	allFailed                         // all servers have failed in the round before
)

// resolverInput is the outcome of a query.
type resolverInput int

const (
	inputAnswer      resolverInput = iota
	inputFailure                   // there are more servers in this round
	inputLastFailure               // there are no more
)

// resolverTransition is what is done on an outcome, and whether it is the outcome of the round.
type resolverTransition struct {
	next     resolverState
	action   func(r *resolver, now, ttl time.Duration)
	endRound bool
}

// resolverTransitions has an entry for every state and input. After a round in which all servers failed the interval
// grows from the minimum to the maximum: this guards against many instances that overload a name server which barely
// works. It could harm where all servers failed only for a moment, by one maximum interval.
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
	preferred int           // the server that answered last; each round begins with it
	failed    int           // servers that have failed in this round
	interval  time.Duration // after the last round in which all failed; 0: the last one had an answer
	next      query
}

// newResolver makes a resolver whose first query is due at once.
func newResolver(settings resolverSettings) *resolver {
	return &resolver{settings: settings, rng: rand.New(rand.NewSource(settings.seed))}
}

// Next is the query that is due next.
func (r *resolver) Next() query { return r.next }

// Answered records that the query was answered, also negatively; ttl is the lifetime of the answer.
func (r *resolver) Answered(now, ttl time.Duration) { r.apply(inputAnswer, now, ttl) }

// Failed records that the query was not answered. It returns whether all servers have failed in this round.
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

// awaitExpiry queries the same server when the answer's lifetime is over.
func (r *resolver) awaitExpiry(now, ttl time.Duration) {
	r.preferred, r.failed, r.interval = r.next.server, 0, 0
	r.next.at = now + r.jittered(ttl)
}

// tryNext queries the next server at once.
func (r *resolver) tryNext(now, _ time.Duration) {
	r.next = query{(r.next.server + 1) % r.settings.servers, now}
}

// backOff begins the next round later than the one before, with the server that answered last.
func (r *resolver) backOff(now, _ time.Duration) {
	r.failed, r.interval = 0, min(max(backoffGrowth*r.interval, r.settings.minInterval), r.settings.maxInterval)
	r.next = query{r.preferred, now + r.jittered(r.interval)}
}

// jittered returns an interval within the bounds of the settings, less a random part.
func (r *resolver) jittered(interval time.Duration) time.Duration {
	interval = min(max(interval, r.settings.minInterval), r.settings.maxInterval)
	return interval - time.Duration(r.rng.Float64()*jitterShare*float64(interval))
}
