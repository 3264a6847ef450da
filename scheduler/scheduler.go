// Package scheduler runs honeyplank as one scheduler of the operators' platform. It serves clients and calls disk
// servers in RESP2, receives the endpoint list from discovery, exchanges gossip datagrams with its peers and is
// configured by one file.
//
// It reports what happens to the tracker of package inflight and executes the actions of the decision module; it makes
// no decision on ops itself. All state belongs to one event loop, which Serve runs on the goroutine of its caller.
// Other goroutines, such as those that call discovery, hand their results to the loop by Post. Command honeyplank makes
// the scheduler and calls Shutdown and Reload on signals.
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

// Scheduler is one running scheduler. Serve, Shutdown and Reload may be called from any goroutine; all else runs on its
// event loop.
type Scheduler struct {
	config   *Config
	log      zerolog.Logger
	loop     *eventloop.Loop
	tracker  *inflight.Tracker
	listener *eventloop.Listener
	peers    *eventloop.UDPConn // nil: no gossip
	clients  map[*client]bool
	servers  map[honeyplank.ServerID]*diskServer

	revisionGuard revisionGuard
	starts        startTracker
	wallClock     func() time.Time   // may be stepped at any moment
	cancelWatch   context.CancelFunc // nil: there is no watch

	// idleServerConns are the idle connections to all disk servers, and peerOrdinals the positions of each address
	// among the configured peers: recurring steps cost the same in a small and in a large fleet.
	idleServerConns idleConnList
	peerOrdinals    map[netip.AddrPort][]int
	visited         visitCounts

	serverConnCount  int // open connections to disk servers
	failedDials      int // consecutive dials that this machine could not begin
	clientConnCount  int // open connections of clients, closing ones included
	activeClients    int // connections of clients that have sent an op
	throttledClients int // connections of clients that are throttled
	errorReplies     int // commands rejected as malformed
	protocolErrors   int // connections whose input did not follow the protocol
	rejectedConns    int // connections of clients for which there was no descriptor
	countersLoggedAt time.Duration

	shuttingDown    bool
	graceElapsed    bool // no more clients connect
	admissionClosed bool // no more ops are admitted
	stopping        bool // the loop is about to stop
	shutdown        shutdownPlan
}

// visitCounts counts the entries that recurring steps visit, so that a test can compare the work in a small fleet with
// that in a large one.
type visitCounts struct{ idleConns, peers, members int }

const (
	// reservedDescriptors are for the listener, the loop, discovery and files; clients and disk servers share the rest.
	reservedDescriptors   = 24
	clientDescriptorShare = 0.6
	serverDescriptorShare = 0.4

	housekeepingInterval = 250 * time.Millisecond
	counterInterval      = 5 * time.Second // between two log lines with the counters

	// Listening is retried every listenRetryDelay for listenRetryFor while descriptors or memory are short.
	listenRetryDelay = 50 * time.Millisecond
	listenRetryFor   = 5 * time.Second
)

// site returns the settings of the deployment.
func (s *Scheduler) site() *simwire.Site { return s.config.Site }

// descriptorQuota returns how many descriptors a share of the unreserved ones is.
func (s *Scheduler) descriptorQuota(share float64) int {
	return int(share * float64(s.config.Sockets-reservedDescriptors))
}

// New makes a scheduler and listens for clients and peers. It retries for some seconds while descriptors or memory are
// short. Nothing is served before Serve.
func New(config *Config, log zerolog.Logger) (*Scheduler, error) {
	return newWithModule(config, policy.New(config.Seed, config.Site.Settings), log)
}

// newWithModule makes a scheduler with a decision module.
func newWithModule(config *Config, module honeyplank.DecisionModule, log zerolog.Logger) (*Scheduler, error) {
	settings := config.Site.Settings
	// The loop's clock begins late enough for a disk server to have started before it.
	origin := settings.Watch.Within + 2*(settings.SlowStart.Time+settings.SlowStart.Window)
	for start := time.Now(); ; time.Sleep(listenRetryDelay) {
		s, err := listen(config, module, log, origin)
		if err == nil || !isTransient(err) || time.Since(start) > listenRetryFor {
			return s, err
		}
		log.Warn().Err(err).Msg("cannot listen, retrying")
	}
}

// isTransient reports whether an error says that the machine lacks a resource which may soon be free again.
func isTransient(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listen makes a scheduler and opens its sockets.
func listen(
	config *Config, module honeyplank.DecisionModule, log zerolog.Logger, origin time.Duration,
) (*Scheduler, error) {
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
		_ = loop.Run() // closes the sockets; the first error is the one to return
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return s, nil
}

// openSockets listens for clients and, if there is gossip, for peers.
func (s *Scheduler) openSockets() (err error) {
	if s.listener, err = s.loop.Listen(s.config.Listen, s.accept); err != nil {
		return err
	}
	if s.config.PeerListen != "" && s.site().Gossip {
		s.peers, err = s.loop.ListenUDP(s.config.PeerListen, s.receiveGossip)
	}
	return err
}

// Address returns the address on which the scheduler listens for clients.
func (s *Scheduler) Address() string { return s.listener.Address() }

// Serve runs the scheduler until Shutdown has ended it. It begins with the cached list and follows discovery from
// there.
func (s *Scheduler) Serve() error {
	s.loop.Post(s.start)
	defer s.stopWatch() // nothing else uses the watch once the loop has ended
	return s.loop.Run()
}

// start applies the cached list, starts the watch unless the module asks for it, and begins housekeeping.
func (s *Scheduler) start() {
	list := &listMessage{}
	if len(s.config.CachedList) > 0 {
		list, _, _ = readList(s.config.CachedList) // ReadConfig has checked it
	}
	s.revisionGuard.revision = list.Revision
	s.applyList(list, honeyplank.Cached, s.loop.Now())
	if !s.site().WatchOnRequest {
		s.startWatch()
	}
	s.housekeep()
}

// housekeep closes idle connections and logs the counters, and schedules itself again.
func (s *Scheduler) housekeep() {
	s.closeIdleServerConns()
	s.checkClients()
	if now := s.loop.Now(); now-s.countersLoggedAt >= counterInterval {
		s.countersLoggedAt = now
		s.logCounters()
	}
	s.loop.Schedule(s.loop.Now()+housekeepingInterval, s.housekeep)
}

// logCounters logs how many ops, replies and connections there have been so far and are now.
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

// Reload applies a new configuration: the address of discovery, the peers and the limits. The settings of the
// deployment stay as they were at the start, since the decision module was made with them.
func (s *Scheduler) Reload(config *Config) {
	s.loop.Post(func() {
		discoveryChanged := config.Discovery != s.config.Discovery
		config.Site = s.config.Site
		s.config = config
		s.peerOrdinals = ordinalsByAddress(config.Peers)
		if discoveryChanged { // also while a retry at the former address is due
			s.stopWatch()
			s.startWatch()
		}
		s.log.Info().
			Str("discovery", config.Discovery).
			Bool("discovery_changed", discoveryChanged).
			Msg("configuration reloaded")
	})
}

// execute executes the actions of the module that the tracker leaves to it: those that concern no op and no timer.
func (s *Scheduler) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.HealthCheck:
		s.checkHealth(a.Server)
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
		if a.Enabled {
			s.startWatch()
		} else {
			s.stopWatch()
		}
	case honeyplank.Fetch:
		s.fetch()
	}
}

// checkHealth starts a health check, which asks a disk server for its load report.
func (s *Scheduler) checkHealth(id honeyplank.ServerID) {
	ds := s.servers[id]
	if ds == nil || !s.site().HealthChecks {
		s.tracker.Deliver(honeyplank.HealthCheckResult{Server: id, Code: honeyplank.NotSent})
		return
	}
	a := &attempt{server: ds, started: s.loop.Now()}
	a.timer = s.loop.Schedule(a.started+s.site().ConnectTimeout, func() {
		if !a.finished {
			a.cancel()
			s.tracker.Deliver(honeyplank.HealthCheckResult{
				Server:  id,
				Code:    honeyplank.TimedOut,
				Elapsed: s.loop.Now() - a.started,
			})
		}
	})
	ds.assignConn(a)
}
