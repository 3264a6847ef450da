package policy

import (
	"math"
	"slices"
	"sort"
	"time"

	"honeyplank"
)

// Bounds of the backoff of watch requests, as divisors of WatchSettings.Within.
const (
	longestWatchBackoffDivisor  = 4
	shortestWatchBackoffDivisor = 16 // divides the longest backoff
)

// server is the record of a disk server.
type server struct {
	honeyplank.Member
	listedUp    bool
	wasListedUp bool // listedUp before the complete list that is being applied
	active      bool // visited by sweeps

	health      honeyplank.Health
	healthSince time.Duration
	backoff     time.Duration // time for which nothing is sent to it once it is down

	// Outstanding dispatches of this instance.
	window                 float64 // concurrency window: maximum of outstanding, in ops
	outstanding            int
	dispatches             []outstandingDispatch // in the order sent
	fullDeadlineDispatches int                   // number of those whose op had enough time left for a typical answer
	unansweredSince        time.Duration         // since when a dispatch has been outstanding without any answer
	unitsOutstanding       float64
	retryCredit            float64 // retries that answers have earned
	lastKey                int64   // key of the last op sent

	// Estimates.
	slowness           float64 // recent latency relative to the typical one of the op types; 0: not known
	slownessAt         time.Duration
	perUnit            float64 // recent latency per unit, in seconds
	bestPerUnit        float64 // lowest perUnit, which decays slowly towards perUnit
	answersSinceGrowth float64 // answers since the window last grew
	latencyElevated    bool    // perUnit exceeds a multiple of bestPerUnit
	failureShare       float64 // recent share of failed dispatches, at failedAt
	failedAt           time.Duration

	// Slow start.
	sentLog             []sentUnits // dispatches that ended within the window and may have arrived
	respondedSinceStart bool
	resampledDemand     ratesByClass // units of queued ops that got new admission draws

	// Queued ops.
	queuedCount   int
	nonEmpty      []*volumeQueue // those with queued ops, in ring order
	awaited       []*volumeQueue // those whose await is known
	queueByVolume map[*volume]*volumeQueue
	queueSerial   int // of the newest queue

	// Slices.
	servedQueue *volumeQueue
	sliceState  sliceState
	sliceEnd    time.Duration
	waitEnd     time.Duration // of the idle wait for the served queue's next op
	round       int
}

// applyList applies an event of the endpoint list, and dispatches the ops that may be sent after
// it.
func (e *Engine) applyList(list honeyplank.List) {
	switch list.Kind {
	case honeyplank.WatchFailed:
		e.backOffWatch()
		return
	case honeyplank.Delta, honeyplank.Complete:
		e.watchActive, e.backoff = true, 0
	}
	complete := list.Kind != honeyplank.Delta && list.Kind != honeyplank.OutOfBand
	if complete { // servers that are not in the list are removed
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

// backOffWatch sets the timer of the next watch request. The backoff grows with each failure and
// has random jitter. After a failure the watch counts as ended until the next Delta or Complete
// list.
func (e *Engine) backOffWatch() {
	e.watchActive = false
	longest := e.settings.Watch.Within / longestWatchBackoffDivisor
	shortest := max(longest/shortestWatchBackoffDivisor, e.sweepInterval())
	e.backoff = min(max(2*e.backoff, shortest), max(longest, e.sweepInterval()))
	jitter := time.Duration(e.rng.Int63n(int64(e.backoff/2) + 1))
	e.setTimer(e.now+e.backoff/2+jitter, watchTimer)
}

// requestWatch requests the changes of the endpoint list from now on.
func (e *Engine) requestWatch() {
	e.watchRequested = e.now
	e.emit(honeyplank.Watch{Enabled: true})
}

// applyMember applies an entry of the endpoint list and returns the server's record.
func (e *Engine) applyMember(member honeyplank.Member) *server {
	record := e.servers[member.ID]
	if record == nil {
		record = e.addServer(member)
	}
	if member.Started > record.Started {
		record.respondedSinceStart = false
		e.applyHealthEvent(record, restarted)
	}
	e.updateMember(record, member)
	return record
}

// addServer creates the record of a server. The units that an earlier process of this instance sent
// to the server are unknown. For slow start they count as infinitely many units, sent when this
// process started.
func (e *Engine) addServer(member honeyplank.Member) *server {
	record := &server{
		Member:      member,
		window:      minWindow,
		retryCredit: maxRetryCredit,
		sentLog:     []sentUnits{{e.startedAt, math.Inf(1)}},
	}
	e.servers[record.ID] = record
	e.serversByID = insertByID(e.serversByID, record)
	e.applySavedEstimate(record)
	return record
}

// updateMember copies an entry of the endpoint list into a server's record, and updates the number
// of servers that are up and the servers of its cell. Its work does not grow with the fleet.
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

// markAllRemoved marks all servers as removed, before a complete list is applied.
func (e *Engine) markAllRemoved() {
	for _, server := range e.serversByID {
		server.wasListedUp = server.listedUp
		member := server.Member
		member.State = honeyplank.Removed
		e.updateMember(server, member)
	}
}

// unassignStopped unassigns the queued ops of those servers of a list that are not up.
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
