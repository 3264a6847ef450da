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
	wall             func() time.Time   // the wall clock, which may step at any time
	stopWatch        context.CancelFunc // nil: no watch
	shuttingDown     bool
	graceElapsed     bool // no client will come any more
	intakeClosed     bool // no connection is kept
	stopping         bool
	shutdown         shutdownPlan
	// Commands answered with an error, connections that could not be read, and ones there was no room for.
	errorReplies, protocolErrors, rejectedConns int
	countersLoggedAt                            time.Duration
}

// Descriptors: some are kept for the listener, the loop, discovery and files, the rest is shared.
const (
	reservedDescriptors   = 24
	clientDescriptorShare = 0.6
	serverDescriptorShare = 0.4
	housekeepingInterval  = 250 * time.Millisecond
	counterInterval       = 5 * time.Second
	// The platform kills a process no sooner than this after SIGTERM, plus the longest op timeout, of which it
	// counts so much at most.
	killGrace   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second
	// maxHoldUp is how long a scheduler may be held up between reading its clock and writing.
	maxHoldUp = 150 * time.Millisecond
	// minIntakeTime is how long after SIGTERM new connections may come, with some time to take them up.
	minIntakeTime = 420 * time.Millisecond
	// So long before the kill no more ops are taken, and then what is left is aborted. A hold-up may come before SIGTERM
	// is heard and another before the last answers are written; what is left is for their way.
	intakeMargin = 520 * time.Millisecond
	answerMargin = 2*maxHoldUp + flushMargin
	// flushMargin is how long clients have at least for their last answers before the sockets are closed over what they
	// still send, and flushPollInterval the time between two looks at whether they have them.
	flushMargin       = 30 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// idleBeforeStop is how long nobody may have been there before the end: a connection may stand in the listener's queue.
	idleBeforeStop = 5 * time.Millisecond
	// A start that lacks descriptors or memory is tried again after reopen, for listenRetryFor.
	listenRetryDelay = 50 * time.Millisecond
	listenRetryFor   = 5 * time.Second
)

func (s *Scheduler) settings() *simwire.Site { return s.config.Site }

func (s *Scheduler) descriptorQuota(of float64) int {
	return int(of * float64(s.config.Sockets-reservedDescriptors))
}

// New makes a scheduler and listens. Nothing is served before Serve.
func New(p *Config, log zerolog.Logger) (*Scheduler, error) {
	return newWithModule(p, policy.New(p.Seed, p.Site.Settings), log)
}

// newWithModule makes a scheduler round a module.
func newWithModule(p *Config, module inflight.DecisionModule, log zerolog.Logger) (*Scheduler, error) {
	v := p.Site.Settings
	// The clock starts late enough for a disk server that started before to have a start.
	origin := v.Watch.Within + 2*(v.SlowStart.Time+v.SlowStart.Window)
	for begun := time.Now(); ; time.Sleep(listenRetryDelay) {
		s, err := open(p, module, log, origin)
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

// open opens what a scheduler listens on.
func open(p *Config, module inflight.DecisionModule, log zerolog.Logger, origin time.Duration) (*Scheduler, error) {
	l, err := eventloop.New(origin)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &Scheduler{config: p, log: log, loop: l, wall: time.Now, clients: map[*client]bool{}, servers: map[honeyplank.ServerID]*diskServer{}}
	s.tracker = inflight.New(l, module, sender{s})
	s.tracker.OnAction = s.execute
	s.tracker.OnIdle = s.stopIfIdle
	if s.listener, err = l.Listen(p.Listen, s.accept); err == nil && p.PeerListen != "" && p.Site.Peers {
		s.peers, err = l.ListenUDP(p.PeerListen, s.receiveGossip)
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
		if len(s.config.Known) > 0 {
			known, _, _ = readList(s.config.Known)
		}
		s.revisionGuard.revision = known.Revision
		s.applyList(known, honeyplank.Cached, s.loop.Now())
		if !s.settings().Ask {
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

// Shutdown ends the scheduler in order. Clients go on with the connections that they have, so these are served
// until shortly before the platform kills the process; by then every op taken is answered, and Serve returns. It
// returns sooner once no client is left.
func (s *Scheduler) Shutdown() {
	told := s.loop.Now() // the loop may hear of it late
	s.loop.Post(func() {
		if s.shuttingDown {
			return
		}
		s.shuttingDown = true
		s.log.Info().Int("open", s.tracker.Unanswered()).Msg("ending")
		s.logCounters()
		var longest time.Duration
		for _, t := range s.settings().Settings.OpTypes.OpTimeout {
			longest = max(longest, t)
		}
		s.shutdown = planShutdown(told, longest)
		s.loop.Schedule(told+killGrace, func() { s.graceElapsed = true; s.stopIfIdle() })
		s.loop.Schedule(s.shutdown.closeIntake, func() { // in the next round: who waits at the listener comes in before
			s.loop.Schedule(s.loop.Now(), s.closeIntake)
		})
	})
}

// shutdownPlan is when what happens before the platform kills the process: no more ops are taken; what is left is aborted.
type shutdownPlan struct{ closeIntake, failRemaining, killTime time.Duration }

// planShutdown plans the end of a scheduler that was told of it at a time and whose ops have a longest time.
func planShutdown(told, longest time.Duration) shutdownPlan {
	killed := told + min(longest, maxKillWait) + killGrace
	return shutdownPlan{closeIntake: max(killed-intakeMargin, told+minIntakeTime), failRemaining: killed - answerMargin, killTime: killed}
}

// closeIntake has every client get an end in order once it has its answers. What has not been read stays unread: its
// client sends it again elsewhere.
func (s *Scheduler) closeIntake() {
	s.intakeClosed, s.graceElapsed = true, true
	s.listener.Close()
	for c := range s.clients {
		c.closeWhenAnswered()
	}
	s.stopIfIdle()
	s.loop.Schedule(s.shutdown.failRemaining, func() {
		s.tracker.FailAll()
		s.logCounters()
		s.leave(s.loop.Now() + flushMargin)
	})
}

// leave ends the loop at a time, or as soon after as all clients have what they are owed: a close over what they still
// send would take it from them. It is not put off past the kill.
func (s *Scheduler) leave(at time.Duration) {
	s.loop.Schedule(at, func() {
		for c := range s.clients {
			if c.conn.UnackedBytes() > 0 && s.loop.Now() < s.shutdown.killTime-flushMargin {
				s.leave(s.loop.Now() + flushPollInterval)
				return
			}
		}
		s.loop.Stop()
	})
}

// stopIfIdle ends the loop once the platform sends no clients any more, none is left, and no op is owed an answer.
func (s *Scheduler) stopIfIdle() {
	if !s.isIdle() || s.stopping {
		return
	}
	s.stopping = true
	s.loop.Schedule(s.loop.Now()+idleBeforeStop, func() {
		if s.stopping = s.isIdle(); s.stopping {
			s.logCounters()
			s.setWatch(false)
			s.loop.Stop()
		}
	})
}

func (s *Scheduler) isIdle() bool {
	return s.graceElapsed && s.tracker.Unanswered() == 0 && len(s.clients) == 0
}

// Reload takes over a configuration that has been replaced: where discovery is, the peers, and the limits.
func (s *Scheduler) Reload(p *Config) {
	s.loop.Post(func() {
		moved := p.Discovery != s.config.Discovery
		site := s.config.Site // the module knows these settings for good
		s.config = p
		p.Site = site
		if moved { // also where a call to the old one had failed and the next is still to come
			s.setWatch(false)
			s.setWatch(true)
		}
		s.log.Info().Str("discovery", p.Discovery).Bool("moved", moved).Msg("configuration read anew")
	})
}

// execute does what the module says beside ops and timers.
func (s *Scheduler) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Probe:
		s.probe(a.Server)
	case honeyplank.CloseIdle:
		if sv := s.servers[a.Server]; sv != nil {
			for len(sv.idle) > 0 {
				sv.idle[0].close()
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
	sv := s.servers[id]
	if sv == nil || !s.settings().Probes {
		s.tracker.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.NotSent})
		return
	}
	e := &attempt{server: sv, started: s.loop.Now()}
	e.timer = s.loop.Schedule(e.started+s.settings().ConnectWithin, func() {
		if !e.finished {
			e.cancel()
			s.tracker.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.TimedOut, Elapsed: s.loop.Now() - e.started})
		}
	})
	sv.assignConn(e)
}

// ---- The list ----

// setWatch starts or ends following discovery.
func (s *Scheduler) setWatch(on bool) {
	if !on && s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
	if !on || s.stopWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	go watchList(ctx, s.config.Discovery, s.revisionGuard.revision, s.callTimeout(), s.watchEstablished(ctx), s.listReceived(ctx, watchCall), s.callFailed(ctx, watchCall))
}

// callTimeout is how long discovery may take to begin an answer. Where calls wait in turn, one that is given up before its turn
// has been for nothing and comes again, which makes all turns longer.
func (s *Scheduler) callTimeout() time.Duration {
	if s.settings().Ask {
		return sharedHeadTimeout
	}
	return headTimeout
}

// callKind tells a call for the whole list from a watch.
type callKind int

const (
	fetchCall callKind = iota
	watchCall
)

// watchEstablished tells a module that has asked for the watch that it has it, also where nothing has changed.
func (s *Scheduler) watchEstablished(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.settings().Ask {
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.revisionGuard.revision})
			}
		})
	}
}

// listReceived hands a message over to the loop; one of a watch that has ended is dropped, and one that is older than the list
// held ends its watch.
func (s *Scheduler) listReceived(ctx context.Context, call callKind) func(*listMessage, []string) {
	return func(l *listMessage, skipped []string) {
		told := s.loop.Now() // the loop may hear of it late
		s.loop.Post(func() {
			if ctx.Err() != nil || call == fetchCall && l.Revision < s.revisionGuard.revision {
				return
			}
			l.isCurrent = l.Complete || l.Revision >= s.revisionGuard.revision
			if !s.revisionGuard.accept(s.loop.Now(), l) {
				s.watchBroken(errOldList)
				return
			}
			for _, text := range skipped {
				s.log.Warn().Str("why", text).Msg("an entry of the list is passed over")
			}
			kind := honeyplank.Delta
			if l.Complete {
				kind = honeyplank.Complete
			}
			s.applyList(l, kind, told)
		})
	}
}

func (s *Scheduler) callFailed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == fetchCall && s.settings().Ask: // a watch that stands goes on
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == watchCall && ctx.Err() == nil:
				s.watchBroken(err)
			}
		})
	}
}

// watchBroken is told that discovery could not be followed. Where it stands on this machine the next watch follows at once;
// where all ask one discovery the module says when: calls that come again at once, from all, keep it from answering any.
func (s *Scheduler) watchBroken(err error) {
	s.log.Info().Err(err).Msg("discovery can't be followed")
	s.setWatch(false)
	if s.settings().Ask {
		s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	} else {
		s.loop.Schedule(s.loop.Now()+watchRetryDelay, func() { s.setWatch(!s.stopping) })
	}
}

// applyList takes over what a list that came at a time says and tells the module.
func (s *Scheduler) applyList(l *listMessage, kind honeyplank.ListKind, told time.Duration) {
	e := honeyplank.List{Kind: kind, Version: l.Revision}
	s.starts.observeClocks(s.wall(), s.loop.Now()) // in this order: a halt between them makes starts later, not earlier
	listed := map[honeyplank.ServerID]bool{}
	var named []*diskServer
	for _, m := range l.Members {
		listed[honeyplank.ServerID(m.ID)] = true
		named = append(named, s.applyMember(m))
		e.Members = append(e.Members, s.toMember(m))
	}
	s.starts.listApplied(l, kind)
	if kind != honeyplank.Delta {
		for id, sv := range s.servers {
			if !listed[id] {
				named = append(named, s.applyMember(listMember{ID: string(id), Address: sv.address, Phase: "removed"}))
			}
		}
	}
	s.tracker.Deliver(e)
	for _, sv := range named { // by now the module sends them nothing new
		sv.enforceDrainGrace(told)
	}
}

// toMember is an entry as the module knows it.
func (s *Scheduler) toMember(m listMember) honeyplank.Member {
	out := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: phases[m.Phase]}
	out.Model, _ = indexOf("model", s.settings().Models, m.Model)
	out.Zone, _ = indexOf("zone", s.settings().Zones, m.Zone)
	out.Started = s.starts.startOf(m)
	return out
}

// ---- Peers ----

const maxDatagram = 256

func (s *Scheduler) sendGossip(a honeyplank.Gossip) {
	if s.peers == nil || len(a.Data) > maxDatagram {
		return
	}
	switch {
	case a.To >= 0 && a.To < len(s.config.Peers):
		s.peers.Send(s.config.Peers[a.To], a.Data)
	case a.To == honeyplank.AllPeers && s.config.PeersAll.IsValid():
		s.peers.Send(s.config.PeersAll, a.Data)
	}
}

func (s *Scheduler) receiveGossip(from netip.AddrPort, b []byte) {
	for i, p := range s.config.Peers {
		if p == from && len(b) <= maxDatagram {
			s.tracker.Deliver(honeyplank.PeerMessage{From: i, Data: append([]byte(nil), b...)})
		}
	}
}
