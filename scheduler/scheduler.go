// Package scheduler is honeyplank as one scheduler of the operators' platform. It serves clients and calls disk servers in
// RESP2, receives the endpoint list from discovery, exchanges datagrams with its peers and is configured by one file.
//
// It reports what happens to the tracker of package inflight and executes the actions of the decision module; it makes no
// decision on ops itself. All state belongs to one event loop: other goroutines, such as those that call discovery, hand
// their results to it by Post.
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

// Scheduler is one running scheduler. Serve, Shutdown and Reload may be called from any goroutine; all else runs on its loop.
type Scheduler struct {
	config   *Config
	log      zerolog.Logger
	loop     *eventloop.Loop
	tracker  *inflight.Tracker
	listener *eventloop.Listener
	peers    *eventloop.UDPConn // nil: there are no messages of peers
	clients  map[*client]bool
	servers  map[honeyplank.ServerID]*diskServer

	revisionGuard revisionGuard
	starts        startTracker
	wallClock     func() time.Time   // may be set to another time at any moment
	stopWatch     context.CancelFunc // nil: there is no watch

	// idleServerConns are the idle connections to all disk servers, and peerOrdinals the positions of each address among the
	// configured peers: what recurs costs the same in a small and in a large fleet.
	idleServerConns idleConnList
	peerOrdinals    map[netip.AddrPort][]int
	visited         visitCounts

	serverConnCount  int // open connections to disk servers
	failedDials      int // in a row that this machine could not begin
	clientConnCount  int // open connections of clients, those that are closing too
	activeClients    int // connections of clients that have brought an op
	throttledClients int // connections of clients that are throttled
	errorReplies     int // commands answered with an error
	protocolErrors   int // connections whose input did not follow the protocol
	rejectedConns    int // connections of clients for which there was no descriptor
	countersLoggedAt time.Duration

	shuttingDown bool
	graceElapsed bool // no more clients are expected
	intakeClosed bool // no more ops are admitted
	stopping     bool // the loop is about to stop
	shutdown     shutdownPlan
}

// visitCounts are how many entries were looked at by steps that recur, so that a test can compare the work in a small
// fleet with that in a large one.
type visitCounts struct{ idleConns, peers, members int }

const (
	// reservedDescriptors are kept for the listener, the loop, discovery and files; clients and disk servers share the rest.
	reservedDescriptors   = 24
	clientDescriptorShare = 0.6
	serverDescriptorShare = 0.4

	housekeepingInterval = 250 * time.Millisecond
	counterInterval      = 5 * time.Second // between two log lines with the counters

	// Where descriptors or memory are short at the start, it is repeated after listenRetryDelay, for listenRetryFor.
	listenRetryDelay = 50 * time.Millisecond
	listenRetryFor   = 5 * time.Second
)

// site gives the settings of the deployment.
func (s *Scheduler) site() *simwire.Site { return s.config.Site }

// descriptorQuota gives how many descriptors a share of those that are not reserved is.
func (s *Scheduler) descriptorQuota(share float64) int {
	return int(share * float64(s.config.Sockets-reservedDescriptors))
}

// New makes a scheduler and listens for clients and peers; where descriptors or memory are short it tries for some
// seconds. Nothing is served before Serve.
func New(config *Config, log zerolog.Logger) (*Scheduler, error) {
	return newWithModule(config, policy.New(config.Seed, config.Site.Settings), log)
}

// newWithModule makes a scheduler with a decision module.
func newWithModule(config *Config, module honeyplank.DecisionModule, log zerolog.Logger) (*Scheduler, error) {
	settings := config.Site.Settings
	// The loop's clock begins late enough for a disk server to have started before it.
	origin := settings.Watch.Within + 2*(settings.SlowStart.Time+settings.SlowStart.Window)
	for begun := time.Now(); ; time.Sleep(listenRetryDelay) {
		s, err := listen(config, module, log, origin)
		if err == nil || !isTransient(err) || time.Since(begun) > listenRetryFor {
			return s, err
		}
		log.Warn().Err(err).Msg("cannot listen yet")
	}
}

// isTransient reports whether an error says that the machine lacks something which may be free again soon.
func isTransient(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listen makes a scheduler and opens its sockets.
func listen(config *Config, module honeyplank.DecisionModule, log zerolog.Logger, origin time.Duration) (*Scheduler, error) {
	loop, err := eventloop.New(origin)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	s := &Scheduler{
		config:       config,
		log:          log,
		loop:         loop,
		wallClock:    time.Now,
		clients:      map[*client]bool{},
		servers:      map[honeyplank.ServerID]*diskServer{},
		peerOrdinals: ordinalsByAddress(config.Peers),
	}
	s.tracker = inflight.New(loop, module, sender{s})
	s.tracker.OnAction = s.execute
	s.tracker.OnIdle = s.stopIfIdle
	if err := s.openSockets(); err != nil {
		loop.Stop()
		loop.Run() // closes what is open
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return s, nil
}

func (s *Scheduler) openSockets() (err error) {
	if s.listener, err = s.loop.Listen(s.config.Listen, s.accept); err != nil {
		return err
	}
	if s.config.PeerListen != "" && s.site().Gossip {
		s.peers, err = s.loop.ListenUDP(s.config.PeerListen, s.receiveGossip)
	}
	return err
}

// Address is the address for clients.
func (s *Scheduler) Address() string { return s.listener.Address() }

// Serve runs the scheduler until Shutdown has ended it. It begins with the cached list and follows discovery from there.
func (s *Scheduler) Serve() error {
	s.loop.Post(func() {
		list := &listMessage{}
		if len(s.config.CachedList) > 0 {
			list, _, _ = readList(s.config.CachedList) // it has been checked with the configuration
		}
		s.revisionGuard.revision = list.Revision
		s.applyList(list, honeyplank.Cached, s.loop.Now())
		if !s.site().WatchOnRequest {
			s.setWatch(true)
		}
		s.housekeep()
	})
	defer s.setWatch(false) // the loop has ended, and with it what else may use the watch
	return s.loop.Run()
}

// housekeep closes idle connections and logs the counters, again and again.
func (s *Scheduler) housekeep() {
	s.closeIdleServerConns()
	s.checkClients()
	if now := s.loop.Now(); now-s.countersLoggedAt >= counterInterval {
		s.countersLoggedAt = now
		s.logCounters()
	}
	s.loop.Schedule(s.loop.Now()+housekeepingInterval, s.housekeep)
}

// logCounters logs how many ops, replies and connections there have been and are now.
func (s *Scheduler) logCounters() {
	counts := &s.tracker.Counts
	s.log.Info().
		Int("admitted", counts.Admitted).
		Int("succeeded", counts.Succeeded).
		Int("rejected", counts.Rejected).
		Int("failed", counts.Failed).
		Int("clients_gone", counts.ClientsGone).
		Int("dispatches", counts.Dispatches).
		Int("unanswered", s.tracker.Unanswered()).
		Int("in_flight", s.tracker.Outstanding()).
		Int("error_replies", s.errorReplies).
		Int("protocol_errors", s.protocolErrors).
		Int("rejected_connections", s.rejectedConns).
		Int("clients", s.clientConnCount).
		Int("active_clients", s.activeClients).
		Int("disk_servers", len(s.servers)).
		Int("connections", s.serverConnCount).
		Msg("counts")
}

// Reload applies a configuration that has been replaced: the address of discovery, the peers and the limits. The settings of
// the deployment stay as they were at the start, since the decision module was made with them.
func (s *Scheduler) Reload(config *Config) {
	s.loop.Post(func() {
		moved := config.Discovery != s.config.Discovery
		config.Site = s.config.Site
		s.config = config
		s.peerOrdinals = ordinalsByAddress(config.Peers)
		if moved { // also where the former one has failed and a retry is due
			s.setWatch(false)
			s.setWatch(true)
		}
		s.log.Info().Str("discovery", config.Discovery).Bool("moved", moved).Msg("configuration read anew")
	})
}

// execute executes the actions of the module that the tracker does not: those that concern no op and no timer.
func (s *Scheduler) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.HealthCheck:
		s.probe(a.Server)
	case honeyplank.CloseIdle:
		if ds := s.servers[a.Server]; ds != nil {
			ds.closeIdleConns()
		}
	case honeyplank.Gossip:
		s.sendGossip(a)
	case honeyplank.LogHealth:
		s.log.Info().
			Str("server", string(a.Server)).
			Stringer("health", a.Health).
			Stringer("previous_health", a.Previous).
			Msg("disk server health changed")
	case honeyplank.LogEstimateIgnored:
		s.log.Info().Str("server", string(a.Server)).Str("reason", a.Reason).Msg("saved estimate ignored")
	case honeyplank.Watch:
		s.setWatch(a.Enabled)
	case honeyplank.Fetch:
		s.fetch()
	}
}

// probe asks a disk server for its load report.
func (s *Scheduler) probe(id honeyplank.ServerID) {
	ds := s.servers[id]
	if ds == nil || !s.site().HealthChecks {
		s.tracker.Deliver(honeyplank.HealthCheckResult{Server: id, Code: honeyplank.NotSent})
		return
	}
	a := &attempt{server: ds, started: s.loop.Now()}
	a.timer = s.loop.Schedule(a.started+s.site().ConnectTimeout, func() {
		if !a.finished {
			a.cancel()
			s.tracker.Deliver(honeyplank.HealthCheckResult{Server: id, Code: honeyplank.TimedOut, Elapsed: s.loop.Now() - a.started})
		}
	})
	ds.assignConn(a)
}
