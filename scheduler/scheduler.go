// Package scheduler runs honeyplank as one scheduler of the operators' platform. It serves clients and calls disk
// servers in RESP2, receives the endpoint list from discovery, exchanges gossip datagrams with its peers and is
// configured by one file.
//
// It reports events to the tracker of package inflight and executes the actions of the decision module; it makes no
// decision on ops itself. All state belongs to one event loop, which Serve runs on the goroutine of its caller. Other
// goroutines, such as those that call discovery, pass their results to the loop with Post. Command honeyplank creates
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

// Scheduler is one running scheduler. Serve, Shutdown and Reload may be called from any goroutine; everything else runs
// on its event loop.
type Scheduler struct {
	config   *Config
	log      zerolog.Logger
	loop     *eventloop.Loop
	tracker  *inflight.Tracker
	listener *eventloop.Listener
	peers    *eventloop.UDPConn // nil if gossip is disabled
	clients  map[*client]bool
	servers  map[honeyplank.ServerID]*diskServer

	revisionGuard revisionGuard
	starts        startTracker
	wallClock     func() time.Time   // may be stepped at any time
	cancelWatch   context.CancelFunc // nil if there is no watch

	// idleServerConns lists the idle connections to all disk servers, and peerOrdinals maps each address to its
	// positions among the configured peers. With them the cost of recurring operations does not grow with the fleet.
	idleServerConns idleConnList
	peerOrdinals    map[netip.AddrPort][]int
	visited         visitCounts

	serverConnCount  int // open connections to disk servers
	failedDials      int // consecutive dials that this machine could not start
	clientConnCount  int // open client connections, including those that are closing
	activeClients    int // client connections that have sent an op
	throttledClients int // client connections that are throttled
	errorReplies     int // commands rejected as malformed
	protocolErrors   int // client connections with input that violated the protocol
	rejectedConns    int // client connections rejected for lack of a descriptor
	abandonedUnacked int // written commands that were not acknowledged when their op ended
	countersLoggedAt time.Duration
	memory           memoryBudget
	intake           intake
	memoryWarnedAt   time.Duration
	memoryRejections int // ops rejected because clients use too much memory
	memoryFailures   int // values that were not passed on to their clients for that reason

	shuttingDown    bool
	graceElapsed    bool // no more clients are expected to connect: killGrace has elapsed or admission is closed
	admissionClosed bool // no more ops are admitted
	stopping        bool // the loop is about to stop
	shutdown        shutdownPlan
}

// visitCounts counts the entries that recurring operations visit. A test uses it to compare their cost in a small fleet
// and in a large one.
type visitCounts struct{ idleConns, peers, members int }

const (
	// reservedDescriptors is the number of descriptors for the listener, the loop, discovery and files. Clients and
	// disk servers share the rest.
	reservedDescriptors   = 24
	clientDescriptorShare = 0.6
	serverDescriptorShare = 0.4

	housekeepingInterval = 250 * time.Millisecond
	counterInterval      = 5 * time.Second // between two log lines with the counters

	// If descriptors or memory are short, listening is retried every listenRetryDelay for listenRetryFor.
	listenRetryDelay = 50 * time.Millisecond
	listenRetryFor   = 5 * time.Second
)

// site returns the settings of the deployment.
func (s *Scheduler) site() *simwire.Site { return s.config.Site }

// descriptorQuota returns the number of descriptors in a share, from 0 to 1, of all that are not reserved.
func (s *Scheduler) descriptorQuota(share float64) int {
	return int(share * float64(s.config.Sockets-reservedDescriptors))
}

// New creates a scheduler and listens for clients and peers. If descriptors or memory are short, it retries for up to
// listenRetryFor. Connections are served only once Serve runs.
func New(config *Config, log zerolog.Logger) (*Scheduler, error) {
	return newWithModule(config, policy.New(config.Seed, config.Site.Settings), log)
}

// newWithModule creates a scheduler with the given decision module.
func newWithModule(config *Config, module honeyplank.DecisionModule, log zerolog.Logger) (*Scheduler, error) {
	settings := config.Site.Settings
	// The loop's clock starts this far above zero, so that a disk server can have started before this process.
	origin := settings.Watch.Within + 2*(settings.SlowStart.Time+settings.SlowStart.Window)
	for start := time.Now(); ; time.Sleep(listenRetryDelay) {
		s, err := listen(config, module, log, origin)
		if err == nil || !isTransient(err) || time.Since(start) > listenRetryFor {
			return s, err
		}
		log.Warn().Err(err).Msg("cannot listen, retrying")
	}
}

// isTransient reports whether the error is a shortage of a resource that may soon be available again.
func isTransient(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listen creates a scheduler and opens its sockets.
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
	s.memory.setLimit(config.MemoryMB)
	s.tracker.OnAction = s.execute
	s.tracker.OnIdle = s.stopIfIdle
	if err := s.openSockets(); err != nil {
		loop.Stop()
		_ = loop.Run() // closes the sockets; the error of openSockets is returned
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return s, nil
}

// openSockets listens for clients and, if gossip is enabled, for peers.
func (s *Scheduler) openSockets() (err error) {
	if s.listener, err = s.loop.Listen(s.config.Listen, s.accept); err != nil {
		return err
	}
	s.limitClientBuffers()
	if s.config.PeerListen != "" && s.site().Gossip {
		s.peers, err = s.loop.ListenUDP(s.config.PeerListen, s.receiveGossip)
	}
	return err
}

// Address returns the address on which the scheduler listens for clients.
func (s *Scheduler) Address() string { return s.listener.Address() }

// Serve runs the scheduler until a shutdown is complete. It starts with the cached endpoint list and then follows
// discovery. Its error is that of the event loop.
func (s *Scheduler) Serve() error {
	s.loop.Post(s.start)
	defer s.stopWatch() // safe here: the loop has ended and no longer uses the watch
	return s.loop.Run()
}

// start applies the cached list and starts housekeeping. It also starts the watch, unless the decision module decides
// when to watch.
func (s *Scheduler) start() {
	list := &listMessage{}
	if len(s.config.CachedList) > 0 {
		list, _, _ = readList(s.config.CachedList) // ReadConfig has validated it
	}
	s.revisionGuard.revision = list.Revision
	s.applyList(list, honeyplank.Cached, s.loop.Now())
	if !s.site().WatchOnRequest {
		s.startWatch()
	}
	s.housekeep()
}

// housekeep closes idle connections, logs the counters and schedules its next run.
func (s *Scheduler) housekeep() {
	s.closeIdleServerConns()
	s.checkClients()
	if now := s.loop.Now(); now-s.countersLoggedAt >= counterInterval {
		s.countersLoggedAt = now
		s.logCounters()
	}
	s.loop.Schedule(s.loop.Now()+housekeepingInterval, s.housekeep)
}

// logCounters logs the total and current numbers of ops, replies and connections.
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
		Int("abandoned_unacknowledged", s.abandonedUnacked).
		Int("error_replies", s.errorReplies).
		Int("protocol_errors", s.protocolErrors).
		Int("rejected_connections", s.rejectedConns).
		Int("clients", s.clientConnCount).
		Int("active_clients", s.activeClients).
		Int("client_memory", s.memory.used).
		Int("memory_rejections", s.memoryRejections).
		Int("memory_failures", s.memoryFailures).
		Int("intake_pauses", s.intake.pauses).
		Int("intake_rejections", s.intake.rejections).
		Int("disk_servers", len(s.servers)).
		Int("connections", s.serverConnCount).
		Msg("counts")
}

// Reload applies a new configuration: the address of discovery, the peers and the limits. The settings of the
// deployment do not change, since the decision module was created with them.
func (s *Scheduler) Reload(config *Config) {
	s.loop.Post(func() {
		discoveryChanged := config.Discovery != s.config.Discovery
		config.Site = s.config.Site
		s.config = config
		s.memory.setLimit(config.MemoryMB)
		s.limitClientBuffers()
		s.peerOrdinals = ordinalsByAddress(config.Peers)
		if discoveryChanged { // without waiting for a scheduled retry, which then has no effect
			s.stopWatch()
			s.startWatch()
		}
		s.log.Info().
			Str("discovery", config.Discovery).
			Bool("discovery_changed", discoveryChanged).
			Msg("configuration reloaded")
	})
}

// execute executes an action of the module that the tracker does not execute, because it concerns neither an op nor a
// timer.
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
	case honeyplank.LogRecordsDropped:
		s.log.Warn().Int("volumes", a.Volumes).Int("queues", a.Queues).Msg("records of idle volumes dropped")
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

// checkHealth starts a health check, which requests a load report from a disk server.
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
