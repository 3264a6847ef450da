// Package scheduler is honeyplank as one scheduler of the operators' platform: clients and disk servers in RESP2,
// the list from discovery, peers by datagrams, one configuration file. It carries what happens to the books of
// package ops and does what the decision module says; it decides nothing on ops.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
	"honeyplank/internal/simwire"
	"honeyplank/policy"
)

// Scheduler is one running scheduler. All but New, Serve, Shutdown and Reload runs on its loop.
type Scheduler struct {
	config           *Config
	log              zerolog.Logger
	loop             *eventloop.Loop
	tracker          *inflight.Tracker
	listener         *eventloop.Listener
	peers            *eventloop.UDPConn
	clients          map[*client]bool
	servers          map[honeyplank.ServerID]*diskServer
	serverConnCount  int // connections to disk servers
	failedDials      int // connections to disk servers that could not even be begun since one was
	clientConnCount  int // connections of clients, those that are closing too
	activeClients    int // those of them that have brought an op
	throttledClients int // those that are not read for a while
	revisionGuard    revisionGuard
	starts           startTracker
	wallClock        func() time.Time   // the wall clock, which may step at any time
	stopWatch        context.CancelFunc // nil: no watch
	shuttingDown     bool
	graceElapsed     bool // no client will come any more
	intakeClosed     bool // no connection is kept
	stopping         bool
	shutdown         shutdownPlan
	// Commands answered with an error, connections that could not be read, and ones there was no room for.
	errorReplies, protocolErrors, rejectedConns int
	countersLoggedAt                            time.Duration
	// idleServerConns are the idle connections to all disk servers, and peerOrdinals the positions of each address among
	// the configured peers: what is looked up again and again costs the same in a small and in a large fleet.
	idleServerConns idleConnList
	peerOrdinals    map[netip.AddrPort][]int
	visited         visitCounts
}

// visitCounts are how many entries were looked at by steps that recur, so that a test can compare the work in a small
// fleet with that in a large one.
type visitCounts struct{ idleConns, peers, members int }

// Descriptors: some are kept for the listener, the loop, discovery and files, the rest is shared.
const (
	reservedDescriptors   = 24
	clientDescriptorShare = 0.6
	serverDescriptorShare = 0.4
	housekeepingInterval  = 250 * time.Millisecond
	counterInterval       = 5 * time.Second
	// A start that lacks descriptors or memory is tried again after reopen, for listenRetryFor.
	listenRetryDelay = 50 * time.Millisecond
	listenRetryFor   = 5 * time.Second
)

func (s *Scheduler) site() *simwire.Site { return s.config.Site }

func (s *Scheduler) descriptorQuota(of float64) int {
	return int(of * float64(s.config.Sockets-reservedDescriptors))
}

// New makes a scheduler and listens. Nothing is served before Serve.
func New(config *Config, log zerolog.Logger) (*Scheduler, error) {
	return newWithModule(config, policy.New(config.Seed, config.Site.Settings), log)
}

// newWithModule makes a scheduler round a module.
func newWithModule(config *Config, module inflight.DecisionModule, log zerolog.Logger) (*Scheduler, error) {
	v := config.Site.Settings
	// The clock starts late enough for a disk server that started before to have a start.
	origin := v.Watch.Within + 2*(v.SlowStart.Time+v.SlowStart.Window)
	for begun := time.Now(); ; time.Sleep(listenRetryDelay) {
		s, err := listen(config, module, log, origin)
		if err == nil || !isTransient(err) || time.Since(begun) > listenRetryFor {
			return s, err
		}
		log.Warn().Err(err).Msg("it can't listen yet")
	}
}

// isTransient tells that an error is one of a machine that lacks something for a moment.
func isTransient(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listen opens what a scheduler listens on.
func listen(config *Config, module inflight.DecisionModule, log zerolog.Logger, origin time.Duration) (*Scheduler, error) {
	l, err := eventloop.New(origin)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &Scheduler{config: config, log: log, loop: l, wallClock: time.Now, clients: map[*client]bool{}, servers: map[honeyplank.ServerID]*diskServer{}}
	s.peerOrdinals = ordinalsByAddress(config.Peers)
	s.tracker = inflight.New(l, module, sender{s})
	s.tracker.OnAction = s.execute
	s.tracker.OnIdle = s.stopIfIdle
	if s.listener, err = l.Listen(config.Listen, s.accept); err == nil && config.PeerListen != "" && config.Site.Peers {
		s.peers, err = l.ListenUDP(config.PeerListen, s.receiveGossip)
	}
	if err != nil {
		l.Stop()
		l.Run()
		return nil, fmt.Errorf("platform: %w", err)
	}
	return s, nil
}

// Address is where clients connect.
func (s *Scheduler) Address() string { return s.listener.Address() }

// Serve runs the scheduler until Shutdown has ended it.
func (s *Scheduler) Serve() error {
	s.loop.Post(func() {
		known := &listMessage{}
		if len(s.config.CachedList) > 0 {
			known, _, _ = readList(s.config.CachedList)
		}
		s.revisionGuard.revision = known.Revision
		s.applyList(known, honeyplank.Cached, s.loop.Now())
		if !s.site().Ask {
			s.setWatch(true)
		}
		s.housekeep()
	})
	return s.loop.Run()
}

func (s *Scheduler) housekeep() {
	s.closeIdleServerConns()
	s.checkClients()
	if now := s.loop.Now(); now-s.countersLoggedAt >= counterInterval {
		s.countersLoggedAt = now
		s.logCounters()
	}
	s.loop.Schedule(s.loop.Now()+housekeepingInterval, s.housekeep)
}

// logCounters logs what has been done so far and what is open.
func (s *Scheduler) logCounters() {
	n := &s.tracker.Counts
	s.log.Info().Int("taken", n.Admitted).Int("acked", n.Succeeded).Int("throttled", n.Rejected).Int("aborted", n.Failed).Int("lapsed", n.ClientsGone).
		Int("dispatches", n.Dispatches).Int("owed", s.tracker.Unanswered()).Int("out", s.tracker.Outstanding()).Int("errors", s.errorReplies).Int("breaches", s.protocolErrors).
		Int("turned_away", s.rejectedConns).Int("clients", s.clientConnCount).Int("spoken", s.activeClients).Int("disk_servers", len(s.servers)).Int("connections", s.serverConnCount).Msg("counts")
}

// Reload takes over a configuration that has been replaced: where discovery is, the peers, and the limits.
func (s *Scheduler) Reload(config *Config) {
	s.loop.Post(func() {
		moved := config.Discovery != s.config.Discovery
		site := s.config.Site // the module knows these settings for good
		s.config = config
		config.Site = site
		s.peerOrdinals = ordinalsByAddress(config.Peers)
		if moved { // also where a call to the old one had failed and the next is still to come
			s.setWatch(false)
			s.setWatch(true)
		}
		s.log.Info().Str("discovery", config.Discovery).Bool("moved", moved).Msg("configuration read anew")
	})
}

// execute does what the module says beside ops and timers.
func (s *Scheduler) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Probe:
		s.probe(a.Server)
	case honeyplank.CloseIdle:
		if ds := s.servers[a.Server]; ds != nil {
			for len(ds.idle) > 0 {
				ds.idle[0].close()
			}
		}
	case honeyplank.Gossip:
		s.sendGossip(a)
	case honeyplank.Log:
		s.log.Info().Msg(a.Text)
	case honeyplank.Watch:
		s.setWatch(a.Enabled)
	case honeyplank.Fetch:
		go fetchList(context.Background(), s.config.Discovery, s.callTimeout(), s.listReceived(context.Background(), fetchCall), s.callFailed(context.Background(), fetchCall))
	}
}

// probe asks a disk server for its load.
func (s *Scheduler) probe(id honeyplank.ServerID) {
	ds := s.servers[id]
	if ds == nil || !s.site().Probes {
		s.tracker.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.NotSent})
		return
	}
	a := &attempt{server: ds, started: s.loop.Now()}
	a.timer = s.loop.Schedule(a.started+s.site().ConnectWithin, func() {
		if !a.finished {
			a.cancel()
			s.tracker.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.TimedOut, Elapsed: s.loop.Now() - a.started})
		}
	})
	ds.assignConn(a)
}
