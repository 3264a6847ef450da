package scheduler

import (
	"math"
	"time"
)

const (
	// overloadedRound is the duration of a round of the loop that shows that clients send more than the loop can handle
	// in time. The loop counts as overloaded for overloadMemory after such a round, and after a client was paused.
	overloadedRound = 50 * time.Millisecond
	overloadMemory  = 500 * time.Millisecond

	// opShare is the share of the loop's time that the commands of all clients that send ops may use in an overload.
	// Each client may use an even part of it, and shareBurst at once. The rest is for disk servers, for the replies
	// and for clients that send no ops.
	opShare    = 0.5
	shareBurst = 5 * time.Millisecond
	// turnTime is the loop time after which a client that has more input has to let others go first.
	turnTime = time.Millisecond
	// maxSharePause is the longest time for which a client that has used more than its share is not read.
	maxSharePause = 250 * time.Millisecond
	// maxDebt is the largest loop time that counts against a client.
	maxDebt = 25 * time.Millisecond

	// rateMemory is the time constant of the rates at which clients send ops.
	rateMemory = time.Second
	// heavyShare is the share of the mean rate of all clients from which a client counts as heavy.
	heavyShare = 0.5
	// heavyUnanswered is the number of unanswered ops from which a client counts as heavy.
	heavyUnanswered = 4
	// minQueue is the smallest number of ops that wait for their dispatch at which ops of heavy clients are rejected.
	minQueue = 8
)

// intake decides whose commands are handled while clients send more than the loop can handle. Without an overload it
// limits nobody. Like a decision module it does no I/O and reads no clock.
//
// Each client gets an even share of the loop's time, so that one that sends much delays itself and not the others.
// While ops wait for their dispatch, those of clients that send much, or have many unanswered, are rejected at once,
// before any work is done for them.
//
// Limitation: a client that carries the ops of many users has the same share as one that carries those of one user.
type intake struct {
	overloadedUntil time.Duration
	opRate          opRate // of all clients
	pauses          int    // for which clients were not read
	rejections      int    // of ops
}

// opRate is an exponentially decayed number of ops.
type opRate struct {
	ops float64
	at  time.Duration
}

// add adds a number of ops and returns the sum.
func (r *opRate) add(now time.Duration, ops float64) float64 {
	r.ops = r.ops*math.Exp(-float64(now-r.at)/float64(rateMemory)) + ops
	r.at = now
	return r.ops
}

// backlog is what the decision on an op depends on, beside the rates of the clients.
type backlog struct {
	unanswered int // ops of the client
	queued     int // ops of all clients that wait for their dispatch
	servers    int // disk servers
	clients    int // that have sent ops
}

// accepts reports whether an op of a client is passed to the decision module.
func (i *intake) accepts(client *opRate, now time.Duration, b backlog) bool {
	mean := i.opRate.add(now, 1) / float64(max(b.clients, 1))
	isHeavy := client.add(now, 1) > max(heavyShare*mean, 1) || b.unanswered >= heavyUnanswered
	if !isHeavy || !i.overloaded(now) || b.queued < max(b.servers, minQueue) {
		return true
	}
	i.rejections++
	return false
}

// loopUse is the loop time that one client has used beyond its share.
type loopUse struct {
	debt    time.Duration
	updated time.Duration
}

// observeRound records how long the loop has taken since it last looked for events.
func (i *intake) observeRound(now, age time.Duration) {
	if age > overloadedRound {
		i.overloadedUntil = now + overloadMemory
	}
}

// overloaded reports whether the loop is overloaded.
func (i *intake) overloaded(now time.Duration) bool { return now < i.overloadedUntil }

// charge counts the loop time that the commands of a client have taken. It returns the time for which the client is not
// to be read, which is 0 if it may go on. clients is the number of clients that share the loop.
func (i *intake) charge(use *loopUse, now, spent time.Duration, clients int) time.Duration {
	if !i.overloaded(now) {
		*use = loopUse{}
		return 0
	}
	share := opShare / float64(max(clients, 1)) // seconds a second
	earned := time.Duration(float64(now-use.updated) * share)
	use.debt, use.updated = min(max(use.debt-earned, 0)+spent, maxDebt), now
	if use.debt <= shareBurst {
		return 0
	}
	i.overloadedUntil = now + overloadMemory
	i.pauses++
	return min(time.Duration(float64(use.debt-shareBurst)/share), maxSharePause)
}
