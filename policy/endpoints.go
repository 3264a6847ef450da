package policy

import (
	"math"
	"slices"
	"sort"
	"time"

	"honeyplank"
)

// Bounds of the backoff of watch requests, as divisors of the time within which changes are to be
// notified.
const (
	longestWatchBackoff  = 4
	shortestWatchBackoff = 16 // of the longest
)

// server is the record of a disk server.
type server struct {
	honeyplank.Member
	listedUp    bool
	wasListedUp bool // before the complete list that is being read
	active      bool // visited by sweeps

	health      honeyplank.Health
	healthSince time.Duration
	backoff     time.Duration // for which it gets nothing once it is down

	// Outstanding dispatches of this instance.
	window                 float64 // most of them, in ops
	outstanding            int
	dispatches             []outstandingDispatch // in the order sent
	fullDeadlineDispatches int                   // those with time left for a usual answer
	unansweredSince        time.Duration         // since when one has been outstanding without any answer
	unitsOutstanding       float64
	retryCredit            float64 // retries that answers have earned
	lastKey                int64   // key of the last op sent

	// Estimates.
	slowness           float64 // recent latency over the typical one of the op types; 0: not known
	slownessAt         time.Duration
	perUnit            float64 // recent latency per unit, in seconds
	bestPerUnit        float64 // least of perUnit, decaying slowly towards it
	answersSinceGrowth float64 // answers since the window last grew
	latencyElevated    bool    // perUnit has been past a multiple of bestPerUnit
	failureShare       float64 // recent share of failed dispatches, at failedAt
	failedAt           time.Duration

	// Slow start.
	sentLog             []sentUnits // dispatches that ended within the window and may have arrived
	respondedSinceStart bool
	resampledDemand     ratesByClass // units of queued ops that got new admission draws

	// Queued ops.
	queuedCount   int
	queues        []*volumeQueue // in ring order
	nonEmpty      []*volumeQueue // those with queued ops, in ring order
	queueByVolume map[*volume]*volumeQueue
	queueSerial   int // of the newest queue

	// Slices.
	servedQueue *volumeQueue
	sliceState  sliceState
	sliceEnd    time.Duration
	waitEnd     time.Duration // of the idle wait for the served queue's next op
	round       int
}

// applyList takes in news of the endpoint list, and dispatches what may be sent after it.
func (e *Engine) applyList(list honeyplank.List) {
	switch list.Kind {
	case honeyplank.WatchFailed:
		e.backOffWatch()
		return
	case honeyplank.Delta, honeyplank.Complete:
		e.watchActive, e.backoff = true, 0
	}
	complete := list.Kind != honeyplank.Delta && list.Kind != honeyplank.OutOfBand
	if complete { // servers that are not in it are removed
		e.markAllRemoved()
	}
	changed := make([]*server, 0, len(list.Members))
	for _, member := range list.Members {
		changed = append(changed, e.applyMember(member))
	}
	if complete {
		changed = e.serversByID
		for _, server := range e.serversByID {
			server.wasListedUp = false
		}
	}
	e.unassignStopped(changed)
	e.assignQueued(changed)
}

// backOffWatch sets the timer of the next watch request, later with each failure, with random
// jitter. It does not rely on any sign that a watch is still active.
func (e *Engine) backOffWatch() {
	e.watchActive = false
	longest := e.settings.Watch.Within / longestWatchBackoff
	shortest := max(longest/shortestWatchBackoff, e.sweepInterval())
	e.backoff = min(max(2*e.backoff, shortest), max(longest, e.sweepInterval()))
	jitter := time.Duration(e.rng.Int63n(int64(e.backoff/2) + 1))
	e.setTimer(e.now+e.backoff/2+jitter, watchTimer)
}

// requestWatch asks for changes of the endpoint list from now on.
func (e *Engine) requestWatch() {
	e.watchRequested = e.now
	e.emit(honeyplank.Watch{Enabled: true})
}

// applyMember takes in an entry of the endpoint list and returns the server's record.
func (e *Engine) applyMember(member honeyplank.Member) *server {
	known := e.servers[member.ID]
	if known == nil {
		known = e.addServer(member)
	}
	if member.Started > known.Started {
		known.respondedSinceStart = false
		e.applyHealthEvent(known, restarted)
	}
	e.updateMember(known, member)
	return known
}

// addServer makes the record of a server. What an earlier instance sent to it is unknown: for slow
// start that counts as infinitely many units, sent when this instance started.
func (e *Engine) addServer(member honeyplank.Member) *server {
	added := &server{
		Member:      member,
		window:      minWindow,
		retryCredit: maxRetryCredit,
		sentLog:     []sentUnits{{e.startedAt, math.Inf(1)}},
	}
	e.servers[added.ID] = added
	e.serversByID = insertByID(e.serversByID, added)
	e.applySavedEstimate(added)
	return added
}

// updateMember takes over an entry of the endpoint list into a server's record, the number of
// servers that are up, and the servers of its cell. Its work does not grow with the fleet.
func (e *Engine) updateMember(server *server, member honeyplank.Member) {
	wasUp := server.listedUp || server.wasListedUp
	if server.listedUp {
		e.serversUp--
		e.serversByCell[server.Cell] = without(e.serversByCell[server.Cell], server)
	}
	server.Member, server.listedUp = member, member.State == honeyplank.Up
	if !server.listedUp {
		return
	}
	e.serversUp++
	e.serversByCell[server.Cell] = insertByID(e.serversByCell[server.Cell], server)
	if !wasUp {
		e.joinRankings(server)
	}
}

// markAllRemoved marks all servers as removed, before a complete list is read.
func (e *Engine) markAllRemoved() {
	for _, server := range e.serversByID {
		server.wasListedUp = server.listedUp
		member := server.Member
		member.State = honeyplank.Removed
		e.updateMember(server, member)
	}
}

// unassignStopped takes the queued ops from those servers of a list that are not up.
func (e *Engine) unassignStopped(list []*server) {
	for _, server := range list {
		if !server.listedUp {
			e.unassignAll(server)
		}
	}
}

// insertByID inserts a server into a list sorted by id.
func insertByID(list []*server, server *server) []*server {
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= server.ID })
	return slices.Insert(list, i, server)
}

// without removes the first element that equals value from a list, in place.
func without[T comparable](list []T, value T) []T {
	if i := slices.Index(list, value); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}
