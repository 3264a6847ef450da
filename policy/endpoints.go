package policy

import (
	"math"
	"slices"
	"sort"
	"time"

	"honeyplank"
)

func (s *Scheduler) applyList(l honeyplank.List) {
	switch l.Kind {
	case honeyplank.WatchFailed: // nothing tells whether a watch still stands: watch again, ever less often
		s.watchActive = false
		most := s.settings.watchDeadline / 4
		s.backoff = min(max(2*s.backoff, most/16, s.sweepInterval()), max(most, s.sweepInterval()))
		s.setTimer(s.now+s.backoff/2+time.Duration(s.rng.Int63n(int64(s.backoff/2)+1)), "watch")
		return
	case honeyplank.Delta, honeyplank.Complete:
		s.watchActive, s.backoff = true, 0
	}
	changes := l.Kind == honeyplank.Delta || l.Kind == honeyplank.OutOfBand
	if !changes { // what a whole list leaves out is gone
		s.markAllRemoved()
	}
	touched := make([]*server, 0, len(l.Members))
	for _, m := range l.Members {
		o := s.servers[m.ID]
		if o == nil { // what was sent to it before this instance started is unknown: that counts as too much
			o = s.addServer(&server{Member: m, window: minWindow, retryCredit: maxRetryCredit, sentLog: []sentUnits{{s.startedAt, math.Inf(1)}}})
		}
		if m.Started > o.Started {
			o.respondedSinceStart = false
			s.applyHealthEvent(o, restarted)
		}
		s.updateMember(o, m)
		touched = append(touched, o)
	}
	if !changes {
		touched = s.serversByID
		for _, o := range s.serversByID {
			o.wasListedUp = false
		}
	}
	s.unassignStopped(touched)
	s.assignHeld(touched)
}

// server is the one record of a disk server.
type server struct {
	honeyplank.Member
	listedUp               bool // counted among those that run
	wasListedUp            bool // so before the whole list that is being read
	active                 bool // the sweep looks at it
	health                 health
	healthSince            time.Duration         // start of the present health state
	backoff                time.Duration         // how long it is left alone once down
	window                 float64               // ops of this host that may be out here
	outstanding            int                   // ops of this host that are out here
	dispatches             []outstandingDispatch // those, in the order sent
	fullDeadlineDispatches int                   // those that had time for a usual answer
	unansweredSince        time.Duration         // since when one of these has been out without any answer
	slowness               float64               // recent answer times, against the usual ones of the types answered; 0: not known
	slownessAt             time.Duration         // when slowness last took something in
	perUnit                float64               // recent answer time for each unit of size, in seconds
	bestPerUnit            float64               // the best of perUnit, slowly forgotten
	answersSinceGrowth     float64               // answers since the window last grew
	latencyElevated        bool                  // latency stays past twice its best
	retryCredit            float64               // further dispatches earned by answers
	failureShare           float64               // recent share of dispatches that brought nothing, when last blamed
	failedAt               time.Duration
	sentLog                []sentUnits    // units of dispatches that ended within the window of the cold rule and may have arrived
	unitsOutstanding       float64        // units of those that are out, which may arrive at any time
	respondedSinceStart    bool           // an answer came since its last start
	resampledDemand        [2]decayedRate // units of held ops that drew their lots anew: due, and beyond
	heldCount              int            // ops held here
	queues                 []*volumeQueue // in ring order
	nonEmpty               []*volumeQueue // those with held ops, in ring order
	queueByVolume          map[*volume]*volumeQueue
	queueSerial            int // of the queue made last
	servedQueue            *volumeQueue
	sliceState             sliceState
	sliceEnd               time.Duration // end of the served volume's slice
	waitEnd                time.Duration // end of the wait for its next op
	round                  int
	lastKey                int64 // key of the last op sent, to keep runs together
}

func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// addServer takes up the record of a disk server.
func (s *Scheduler) addServer(o *server) *server {
	s.servers[o.ID] = o
	s.serversByID = insertByID(s.serversByID, o)
	// What an instance before this one had learnt holds unless the server has started since. It guards
	// the first seconds after a switch; it could harm where a machine was replaced under one address.
	if k, ok := s.savedEstimates[o.ID]; ok && s.estimateValid(k, o.Started) {
		o.bestPerUnit, o.slowness, o.slownessAt = k.BestPerUnit, k.Latency/max(s.meanLatency(), 1e-9), k.At
	}
	delete(s.savedEstimates, o.ID)
	return o
}

// insertByID puts a disk server into a list kept by id.
func insertByID(list []*server, o *server) []*server {
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= o.ID })
	return slices.Insert(list, i, o)
}

// updateMember notes what the list says of a disk server, and with it who holds what and how many run. The work does
// not grow with the fleet.
func (s *Scheduler) updateMember(o *server, m honeyplank.Member) {
	stayed := o.listedUp || o.wasListedUp
	if o.listedUp {
		s.serversUp--
		s.serversByCell[o.Cell] = without(s.serversByCell[o.Cell], o)
	}
	o.Member, o.listedUp = m, m.State == honeyplank.Up
	if o.listedUp {
		s.serversUp++
		s.serversByCell[o.Cell] = insertByID(s.serversByCell[o.Cell], o)
		if !stayed {
			s.joinRankings(o)
		}
	}
}

// unassignStopped takes from disk servers that do not run what is held for them.
func (s *Scheduler) unassignStopped(list []*server) {
	for _, o := range list {
		if !o.listedUp {
			s.unassignAll(o)
		}
	}
}

func (s *Scheduler) markAllRemoved() {
	for _, o := range s.serversByID {
		o.wasListedUp = o.listedUp
		m := o.Member
		m.State = honeyplank.Removed
		s.updateMember(o, m)
	}
}
