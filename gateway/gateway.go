// Package gateway is honeyplank as a library: one Instance takes Reads and Writes from NVMe/TCP clients and
// carries them to disk servers. New, then Serve, then Shutdown. It tells the decision module what happens and
// does what the module says; it decides nothing. Instances share nothing that was not handed to both.
package gateway

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/discovery/dns"
	"honeyplank/discovery/etcd"
	"honeyplank/estimates"
	"honeyplank/eventloop"
	"honeyplank/incarnation"
	"honeyplank/inflight"
	"honeyplank/membership"
	"honeyplank/peerlimit"
	"honeyplank/policy"
	"honeyplank/settings"
	"honeyplank/target"
)

// Module makes the decisions: policy.Scheduler, or a baseline to measure against.
type Module = inflight.DecisionModule

// Tap sees the bytes of one connection, in order; sent tells which way.
type Tap = func(sent bool, b []byte)

// Options are what an instance is made of.
type Options struct {
	Settings *settings.Gateway
	Seed     int64
	// Module makes the decision module; nil: policy.New.
	Module func(seed int64, settings *honeyplank.Settings) Module
	// Learnt is what an instance before this one knew of the disk servers; nil: nothing.
	Learnt *estimates.Record
	// Wall reads the wall clock; nil: time.Now. It may step at any time: no wait, window or deadline goes by it.
	Wall func() time.Time
	Log  zerolog.Logger
}

// Instance is one running gateway.
type Instance struct {
	o      Options
	s      *settings.Gateway
	loop   *eventloop.Loop
	module Module
	server *target.Server
	etcd   *etcd.Client // nil: not a source
	dns    *dns.Client
	ask    func() // starts asking DNS; nil: not a source
	book   *membership.Ledger
	starts [2]incarnation.Tracker // by membership.Source
	ticker *eventloop.Timer       // for what time alone changes in the book
	log    zerolog.Logger

	ops     *inflight.Tracker
	last    uint64
	disks   map[honeyplank.ServerID]*disk
	volumes map[uint32]*volume
	advice  []time.Duration // what CRDT1 to CRDT3 stand for
	ending  bool
	settled func() // called once no op is owed an answer
	done    chan struct{}
}

type volume struct {
	plan, hosts int
	cells       []int
}

// clockStart is the time of the loop's clock at New. 0 stands for never or long ago.
const clockStart = time.Second

// New makes an instance and listens. Nothing is served before Serve.
func New(o Options) (*Instance, error) {
	if o.Settings == nil {
		return nil, errors.New("gateway: no settings")
	}
	if o.Module == nil {
		o.Module = func(seed int64, v *honeyplank.Settings) Module { return policy.New(seed, v) }
	}
	s := o.Settings
	if o.Wall == nil {
		o.Wall = time.Now
	}
	l, err := eventloop.New(clockStart)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g := &Instance{o: o, s: s, loop: l, log: o.Log, module: o.Module(o.Seed, s.Module()),
		disks: map[honeyplank.ServerID]*disk{}, volumes: map[uint32]*volume{}, done: make(chan struct{})}
	g.ops = inflight.New(l, g.module, sender{g})
	g.ops.OnAction, g.ops.OnIdle = g.act, g.check
	offer := target.Settings{Subsystem: s.Listen.Subsystem, Serial: "HP" + strconv.Itoa(s.Scheduler.Ordinal),
		MaxTransfer: int(s.Limits.Transfer), Capsule: int(s.Limits.Capsule), Piece: int(s.Limits.Piece),
		Depth: s.Limits.Depth, Queues: 64, Handshake: s.Limits.Handshake.D(), Connections: s.Limits.Connections,
		Unsent: int(s.Limits.Unsent), Held: int(s.Limits.Held)}
	shift := uint8(0)
	for 1<<shift < int(s.Volumes.Block) {
		shift++
	}
	for i := range s.Volumes.List {
		v := &s.Volumes.List[i]
		g.volumes[v.NSID] = &volume{plan: s.Plan(v.Plan), hosts: v.Hosts, cells: v.CellList()}
		id := sha256.Sum256([]byte(s.Listen.Subsystem + "/" + v.Name))
		offer.Namespaces = append(offer.Namespaces, target.Namespace{ID: v.NSID, Blocks: uint64(v.Size) >> shift, Shift: shift, UUID: [16]byte(id[:16])})
	}
	slices.SortFunc(offer.Namespaces, func(a, b target.Namespace) int { return int(int64(a.ID) - int64(b.ID)) })
	g.advice = g.delays()
	for i, d := range g.advice {
		offer.Delays[i] = uint16((d + crdtUnit - 1) / crdtUnit)
	}
	if g.server, err = target.Listen(l, s.Listen.Address, offer, g); err != nil {
		l.Stop()
		l.Run()
		return nil, fmt.Errorf("gateway: %s: %w", s.Listen.Address, err)
	}
	if p := s.Limits.Peer; p != nil {
		g.server.Guard = peerlimit.New(peerlimit.Settings{MaxConnections: p.Connections, MaxHandshakes: p.Handshakes, MaxCommands: p.Commands, MaxBytes: int(p.Bytes), PDUTimeout: p.PDU.D(),
			BanThreshold: p.Breaches, ViolationWindow: p.Window.D(), InitialBan: p.Shut.D(), MaxBan: p.Most.D()})
	}
	g.server.Judged = func(peer, what string, span time.Duration) {
		g.log.Warn().Str("peer", peer).Str("why", what).Dur("for_ms", span).Msg("a peer is turned away")
	}
	g.server.Patience = func(c *target.Command) time.Duration { return g.patience(c) }
	terms := membership.Settings{MaxRemovedShare: 1} // one source alone is believed
	if t := s.List.Believe; t != nil {
		terms = membership.Settings{MaxRemovedShare: t.Vanish, ConfirmAfter: t.Confirm.D(), FlapWindow: t.Calm.D(), FlapThreshold: t.Flaps, FlapHold: t.Hold.D()}
	}
	g.book = membership.New(terms)
	for i := range g.starts {
		g.starts[i].MaxRemoved = s.List.Most
	}
	hear := func(from membership.Source) func(discovery.Update) {
		return func(n discovery.Update) { l.Post(func() { g.news(from, n) }) }
	}
	if len(s.List.Etcd) > 0 {
		var endpoints []string
		for _, e := range s.List.Etcd {
			endpoints = append(endpoints, e.Endpoint)
		}
		g.etcd = etcd.New(endpoints, s.List.Prefix, s.Listen.Host, s.List.AskWithin.D(), s.List.Most, hear(membership.Etcd))
	}
	if d := s.List.DNS; d != nil {
		terms := dns.Settings{Name: d.Name, MinInterval: d.Floor.D(), MaxInterval: d.Ceiling.D(), Timeout: d.Timeout.D(), Seed: o.Seed}
		for _, x := range d.Servers {
			terms.Servers = append(terms.Servers, x.Address)
		}
		g.ask = func() { g.dns = dns.New(terms, hear(membership.DNS)) }
	}
	return g, nil
}

// Address is where the instance listens.
func (g *Instance) Address() string { return g.server.Address() }
