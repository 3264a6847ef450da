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
	papers      *Papers
	log         zerolog.Logger
	loop        *eventloop.Loop
	book        *inflight.Tracker
	listener    *eventloop.Listener
	peers       *eventloop.UDPConn
	clients     map[*client]bool
	servers     map[honeyplank.ServerID]*server
	files       int // connections to disk servers
	undialled   int // connections to disk servers that could not even be begun since one was
	clientFiles int // connections of clients, those that are closing too
	spoken      int // those of them that have brought an op
	slowed      int // those that are not read for a while
	held        held
	began       starts
	wall        func() time.Time   // the wall clock, which may step at any time
	watching    context.CancelFunc // nil: no watch
	ending      bool
	sure        bool // no client will come any more
	shut        bool // no connection is kept
	ended       bool
	last        last
	// Commands answered with an error, connections that could not be read, and ones there was no room for.
	errors, breaches, turnedAway int
	told                         time.Duration
}

// Descriptors: some are kept for the listener, the loop, discovery and files, the rest is shared.
const (
	kept      = 24
	ofClients = 0.6
	ofServers = 0.4
	tending   = 250 * time.Millisecond
	telling   = 5 * time.Second
	// The platform kills a process no sooner than this after SIGTERM, plus the longest op timeout, of which it
	// counts so much at most.
	notice     = 700 * time.Millisecond
	mostNotice = 3 * time.Second
	// heldUp is how long a scheduler may be held up between reading its clock and writing.
	heldUp = 150 * time.Millisecond
	// arriving is how long after SIGTERM new connections may come, with some time to take them up.
	arriving = 420 * time.Millisecond
	// So long before the kill no more ops are taken, and then what is left is aborted. A hold-up may come before SIGTERM
	// is heard and another before the last answers are written; what is left is for their way.
	lastOps     = 520 * time.Millisecond
	lastAnswers = 2*heldUp + lastReads
	// lastReads is how long clients have at least for their last answers before the sockets are closed over what they
	// still send, and lastLook the time between two looks at whether they have them.
	lastReads = 30 * time.Millisecond
	lastLook  = 5 * time.Millisecond
	// settling is how long nobody may have been there before the end: a connection may stand in the listener's queue.
	settling = 5 * time.Millisecond
	// A start that lacks descriptors or memory is tried again after reopen, for reopenFor.
	reopen    = 50 * time.Millisecond
	reopenFor = 5 * time.Second
)

func (s *Scheduler) site() *simwire.Site { return s.papers.Site }

func (s *Scheduler) share(of float64) int { return int(of * float64(s.papers.Sockets-kept)) }

// New makes a scheduler and listens. Nothing is served before Serve.
func New(p *Papers, log zerolog.Logger) (*Scheduler, error) {
	return with(p, policy.New(p.Seed, p.Site.Values), log)
}

// with makes a scheduler round a module.
func with(p *Papers, module inflight.Module, log zerolog.Logger) (*Scheduler, error) {
	v := p.Site.Values
	span := func(name string) time.Duration { d, _ := v[name].(time.Duration); return d }
	// The clock starts late enough for a disk server that started before to have a start.
	origin := span("list.ask_within") + 2*(span("cold.time")+span("cold.window"))
	for begun := time.Now(); ; time.Sleep(reopen) {
		s, err := open(p, module, log, origin)
		if err == nil || !short(err) || time.Since(begun) > reopenFor {
			return s, err
		}
		log.Warn().Err(err).Msg("it can't listen yet")
	}
}

// short tells that an error is one of a machine that lacks something for a moment.
func short(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// open opens what a scheduler listens on.
func open(p *Papers, module inflight.Module, log zerolog.Logger, origin time.Duration) (*Scheduler, error) {
	l, err := eventloop.New(origin)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &Scheduler{papers: p, log: log, loop: l, wall: time.Now, clients: map[*client]bool{}, servers: map[honeyplank.ServerID]*server{}}
	s.book = inflight.New(l, module, sender{s})
	s.book.OnAction = s.act
	s.book.OnIdle = s.check
	if s.listener, err = l.Listen(p.Listen, s.accept); err == nil && p.Peer != "" && p.Site.Peers {
		s.peers, err = l.ListenUDP(p.Peer, s.hearPeer)
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
		known := &list{}
		if len(s.papers.Known) > 0 {
			known, _, _ = readList(s.papers.Known)
		}
		s.held.revision = known.Revision
		s.hear(known, honeyplank.Cached, s.loop.Now())
		if !s.site().Ask {
			s.watch(true)
		}
		s.tick()
	})
	return s.loop.Run()
}

func (s *Scheduler) tick() {
	s.tend()
	s.attend()
	if now := s.loop.Now(); now-s.told >= telling {
		s.told = now
		s.tell()
	}
	s.loop.Schedule(s.loop.Now()+tending, s.tick)
}

// tell logs what has been done so far and what is open.
func (s *Scheduler) tell() {
	n := &s.book.Counts
	s.log.Info().Int("taken", n.Admitted).Int("acked", n.Succeeded).Int("throttled", n.Rejected).Int("aborted", n.Failed).Int("lapsed", n.ClientsGone).
		Int("dispatches", n.Dispatches).Int("owed", s.book.Unanswered()).Int("out", s.book.Outstanding()).Int("errors", s.errors).Int("breaches", s.breaches).
		Int("turned_away", s.turnedAway).Int("clients", s.clientFiles).Int("spoken", s.spoken).Int("disk_servers", len(s.servers)).Int("connections", s.files).Msg("counts")
}

// Shutdown ends the scheduler in order. Clients go on with the connections that they have, so these are served
// until shortly before the platform kills the process; by then every op taken is answered, and Serve returns. It
// returns sooner once no client is left.
func (s *Scheduler) Shutdown() {
	told := s.loop.Now() // the loop may hear of it late
	s.loop.Post(func() {
		if s.ending {
			return
		}
		s.ending = true
		s.log.Info().Int("open", s.book.Unanswered()).Msg("ending")
		s.tell()
		var longest time.Duration
		for _, t := range s.site().Values["optypes.op_timeout"].([]time.Duration) {
			longest = max(longest, t)
		}
		s.last = lastTimes(told, longest)
		s.loop.Schedule(told+notice, func() { s.sure = true; s.check() })
		s.loop.Schedule(s.last.ops, func() { // in the next round: who waits at the listener comes in before
			s.loop.Schedule(s.loop.Now(), s.takeNoMore)
		})
	})
}

// last is when what happens before the platform kills the process: no more ops are taken; what is left is aborted.
type last struct{ ops, answers, killed time.Duration }

// lastTimes plans the end of a scheduler that was told of it at a time and whose ops have a longest time.
func lastTimes(told, longest time.Duration) last {
	killed := told + min(longest, mostNotice) + notice
	return last{ops: max(killed-lastOps, told+arriving), answers: killed - lastAnswers, killed: killed}
}

// takeNoMore has every client get an end in order once it has its answers. What has not been read stays unread: its
// client sends it again elsewhere.
func (s *Scheduler) takeNoMore() {
	s.shut, s.sure = true, true
	s.listener.Close()
	for c := range s.clients {
		c.part()
	}
	s.check()
	s.loop.Schedule(s.last.answers, func() {
		s.book.FailAll()
		s.tell()
		s.leave(s.loop.Now() + lastReads)
	})
}

// leave ends the loop at a time, or as soon after as all clients have what they are owed: a close over what they still
// send would take it from them. It is not put off past the kill.
func (s *Scheduler) leave(at time.Duration) {
	s.loop.Schedule(at, func() {
		for c := range s.clients {
			if c.conn.UnackedBytes() > 0 && s.loop.Now() < s.last.killed-lastReads {
				s.leave(s.loop.Now() + lastLook)
				return
			}
		}
		s.loop.Stop()
	})
}

// check ends the loop once the platform sends no clients any more, none is left, and no op is owed an answer.
func (s *Scheduler) check() {
	if !s.alone() || s.ended {
		return
	}
	s.ended = true
	s.loop.Schedule(s.loop.Now()+settling, func() {
		if s.ended = s.alone(); s.ended {
			s.tell()
			s.watch(false)
			s.loop.Stop()
		}
	})
}

func (s *Scheduler) alone() bool { return s.sure && s.book.Unanswered() == 0 && len(s.clients) == 0 }

// Reload takes over a configuration that has been replaced: where discovery is, the peers, and the limits.
func (s *Scheduler) Reload(p *Papers) {
	s.loop.Post(func() {
		moved := p.Discovery != s.papers.Discovery
		site := s.papers.Site // the module knows these settings for good
		s.papers = p
		p.Site = site
		if moved { // also where a call to the old one had failed and the next is still to come
			s.watch(false)
			s.watch(true)
		}
		s.log.Info().Str("discovery", p.Discovery).Bool("moved", moved).Msg("configuration read anew")
	})
}

// act does what the module says beside ops and timers.
func (s *Scheduler) act(action honeyplank.Action) {
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
		s.tellPeer(a)
	case honeyplank.Log:
		s.log.Info().Msg(a.Text)
	case honeyplank.Watch:
		s.watch(a.Enabled)
	case honeyplank.Fetch:
		go fetch(context.Background(), s.papers.Discovery, s.within(), s.heard(context.Background(), once), s.failed(context.Background(), once))
	}
}

// probe asks a disk server for its load.
func (s *Scheduler) probe(id honeyplank.ServerID) {
	sv := s.servers[id]
	if sv == nil || !s.site().Probes {
		s.book.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.NotSent})
		return
	}
	e := &entry{server: sv, at: s.loop.Now()}
	e.timer = s.loop.Schedule(e.at+s.site().ConnectWithin, func() {
		if !e.left {
			e.giveUp()
			s.book.Deliver(honeyplank.ProbeResult{Server: id, Code: honeyplank.TimedOut, Elapsed: s.loop.Now() - e.at})
		}
	})
	sv.carry(e)
}

// ---- The list ----

// watch starts or ends following discovery.
func (s *Scheduler) watch(on bool) {
	if !on && s.watching != nil {
		s.watching()
		s.watching = nil
	}
	if !on || s.watching != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.watching = cancel
	go watch(ctx, s.papers.Discovery, s.held.revision, s.within(), s.stands(ctx), s.heard(ctx, following), s.failed(ctx, following))
}

// within is how long discovery may take to begin an answer. Where calls wait in turn, one that is given up before its turn
// has been for nothing and comes again, which makes all turns longer.
func (s *Scheduler) within() time.Duration {
	if s.site().Ask {
		return turnWithin
	}
	return answerWithin
}

// callKind tells a call for the whole list from a watch.
type callKind int

const (
	once callKind = iota
	following
)

// stands tells a module that has asked for the watch that it has it, also where nothing has changed.
func (s *Scheduler) stands(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.site().Ask {
				s.book.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.held.revision})
			}
		})
	}
}

// heard hands a message over to the loop; one of a watch that has ended is dropped, and one that is older than the list
// held ends its watch.
func (s *Scheduler) heard(ctx context.Context, call callKind) func(*list, []string) {
	return func(l *list, skipped []string) {
		told := s.loop.Now() // the loop may hear of it late
		s.loop.Post(func() {
			if ctx.Err() != nil || call == once && l.Revision < s.held.revision {
				return
			}
			l.follows = l.Complete || l.Revision >= s.held.revision
			if !s.held.believe(s.loop.Now(), l) {
				s.broken(errOlder)
				return
			}
			for _, text := range skipped {
				s.log.Warn().Str("why", text).Msg("an entry of the list is passed over")
			}
			kind := honeyplank.Delta
			if l.Complete {
				kind = honeyplank.Complete
			}
			s.hear(l, kind, told)
		})
	}
}

func (s *Scheduler) failed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == once && s.site().Ask: // a watch that stands goes on
				s.book.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == following && ctx.Err() == nil:
				s.broken(err)
			}
		})
	}
}

// broken is told that discovery could not be followed. Where it stands on this machine the next watch follows at once;
// where all ask one discovery the module says when: calls that come again at once, from all, keep it from answering any.
func (s *Scheduler) broken(err error) {
	s.log.Info().Err(err).Msg("discovery can't be followed")
	s.watch(false)
	if s.site().Ask {
		s.book.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	} else {
		s.loop.Schedule(s.loop.Now()+again, func() { s.watch(!s.ended) })
	}
}

// hear takes over what a list that came at a time says and tells the module.
func (s *Scheduler) hear(l *list, kind honeyplank.ListKind, told time.Duration) {
	e := honeyplank.List{Kind: kind, Version: l.Revision}
	s.began.at(s.wall(), s.loop.Now()) // in this order: a halt between them makes starts later, not earlier
	listed := map[honeyplank.ServerID]bool{}
	var named []*server
	for _, m := range l.Members {
		listed[honeyplank.ServerID(m.ID)] = true
		named = append(named, s.place(m))
		e.Members = append(e.Members, s.member(m))
	}
	s.began.heard(l, kind)
	if kind != honeyplank.Delta {
		for id, sv := range s.servers {
			if !listed[id] {
				named = append(named, s.place(member{ID: string(id), Address: sv.address, Phase: "removed"}))
			}
		}
	}
	s.book.Deliver(e)
	for _, sv := range named { // by now the module sends them nothing new
		sv.ends(told)
	}
}

// member is an entry as the module knows it.
func (s *Scheduler) member(m member) honeyplank.Member {
	out := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: phases[m.Phase]}
	out.Model, _ = index("model", s.site().Models, m.Model)
	out.Zone, _ = index("zone", s.site().Zones, m.Zone)
	out.Started = s.began.start(m)
	return out
}

// ---- Peers ----

const mostDatagram = 256

func (s *Scheduler) tellPeer(a honeyplank.Gossip) {
	if s.peers == nil || len(a.Data) > mostDatagram {
		return
	}
	switch {
	case a.To >= 0 && a.To < len(s.papers.Peers):
		s.peers.Send(s.papers.Peers[a.To], a.Data)
	case a.To == honeyplank.AllPeers && s.papers.PeersAll.IsValid():
		s.peers.Send(s.papers.PeersAll, a.Data)
	}
}

func (s *Scheduler) hearPeer(from netip.AddrPort, b []byte) {
	for i, p := range s.papers.Peers {
		if p == from && len(b) <= mostDatagram {
			s.book.Deliver(honeyplank.PeerMessage{From: i, Data: append([]byte(nil), b...)})
		}
	}
}
