package dns

import (
	"math/rand"
	"time"
)

// Settings bound the asking.
type resolverSettings struct {
	Servers     int           // name servers, asked in turn
	MinInterval time.Duration // the least pause, whatever a record's lifetime
	MaxInterval time.Duration // the longest
	Seed        int64
}

// spread is the share of a pause that is drawn, so that many schedulers do not ask at once: from three quarters of a
// lifetime to all of it.
const spread = 1.0 / 4

// Query is the next question: which server, and when, as a span since start.
type query struct {
	Server int
	At     time.Duration
}

type state int

const (
	settled state = iota // the server asked first gave the last answer, or none was asked yet
	trying               // servers before have failed in this round
	failing              // all servers failed in the round before
)

type input int

const (
	inAnswer input = iota
	inFailure
	inLastFailure // of the last server that this round had left
)

// step tells the state after an outcome, what is to be done, and whether the round's outcome is to be told.
type step struct {
	next state
	do   func(*resolver, time.Duration, time.Duration)
	tell bool
}

// steps is complete: every state knows every input. Pauses after failed rounds double from the floor up to the
// ceiling: it guards against a crowd asking a name server that is barely there; it could harm where all servers were
// out only for a moment, by up to a ceiling.
var steps = map[state]map[input]step{
	settled: {inAnswer: {settled, (*resolver).rest, true}, inFailure: {trying, (*resolver).turn, false}, inLastFailure: {failing, (*resolver).back, true}},
	trying:  {inAnswer: {settled, (*resolver).rest, true}, inFailure: {trying, (*resolver).turn, false}, inLastFailure: {failing, (*resolver).back, true}},
	failing: {inAnswer: {settled, (*resolver).rest, true}, inFailure: {failing, (*resolver).turn, false}, inLastFailure: {failing, (*resolver).back, true}},
}

// Resolver decides the next question from the outcome of the last.
type resolver struct {
	t      resolverSettings
	rng    *rand.Rand
	state  state
	first  int // the server asked first: the one that answered last
	failed int // servers of this round
	pause  time.Duration
	next   query
}

// New makes one; its first question is due at once.
func newResolver(t resolverSettings) *resolver {
	return &resolver{t: t, rng: rand.New(rand.NewSource(t.Seed))}
}

// Next is the question that is due next.
func (a *resolver) Next() query { return a.next }

// Answered tells that the question was answered, also that there is nothing; life is how long that holds. Failed tells
// that it was not; it returns whether all servers have failed now, which is the round's outcome.
func (a *resolver) Answered(now, life time.Duration) { a.step(inAnswer, now, life) }

// Failed: see Answered.
func (a *resolver) Failed(now time.Duration) (all bool) {
	in := inFailure
	if a.failed++; a.failed >= a.t.Servers {
		in = inLastFailure
	}
	return a.step(in, now, 0)
}

func (a *resolver) step(in input, now, life time.Duration) bool {
	s := steps[a.state][in]
	a.state = s.next
	s.do(a, now, life)
	return s.tell
}

// rest waits until the answer's lifetime is over and asks the same server first.
func (a *resolver) rest(now, life time.Duration) {
	a.first, a.failed, a.pause = a.next.Server, 0, 0
	a.next.At = now + a.draw(life)
}

// turn asks the next server at once.
func (a *resolver) turn(now, _ time.Duration) {
	a.next = query{(a.next.Server + 1) % a.t.Servers, now}
}

// back waits, each time twice as long, and begins with the server that answered last.
func (a *resolver) back(now, _ time.Duration) {
	a.failed, a.pause = 0, min(max(2*a.pause, a.t.MinInterval), a.t.MaxInterval)
	a.next = query{a.first, now + a.draw(a.pause)}
}

func (a *resolver) draw(span time.Duration) time.Duration {
	span = min(max(span, a.t.MinInterval), a.t.MaxInterval)
	return span - time.Duration(a.rng.Float64()*spread*float64(span))
}

// Record is an SRV record as far as its choice goes.
type candidate struct {
	Server   string
	Cell     int
	Priority uint16
	Draining bool
}

// Choose returns the places of the records that count: of each cell those of the lowest priority that do not drain,
// and all that drain, each server once. Of two records of one server the one that drains counts.
func choose(all []candidate) (chosen []int) {
	least, drains, seen := map[int]uint16{}, map[string]bool{}, map[string]bool{}
	for _, r := range all {
		drains[r.Server] = drains[r.Server] || r.Draining
	}
	for _, r := range all {
		if p, ok := least[r.Cell]; !drains[r.Server] && (!ok || r.Priority < p) {
			least[r.Cell] = r.Priority
		}
	}
	for i, r := range all {
		if !seen[r.Server] && (r.Draining || !drains[r.Server] && r.Priority == least[r.Cell]) {
			seen[r.Server] = true
			chosen = append(chosen, i)
		}
	}
	return chosen
}
