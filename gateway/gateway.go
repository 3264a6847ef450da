// Package gateway is honeyplank as a library: one Instance takes Reads and Writes from NVMe/TCP clients and
// carries them to disk servers. New, then Serve, then Shutdown. It tells the decision module what happens and
// does what the module says; it decides nothing. Instances share nothing that was not handed to both.
package gateway

import (
	"context"
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

// Counts are what an instance has done so far.
type Counts struct {
	inflight.Counts
	Open        int // ops owed an answer now
	Out         int // dispatches without an outcome now
	Held        int // bytes of write data held now
	Connections int
	CPU         time.Duration // used by the loop
}

type volume struct {
	plan, hosts int
	cells       []int
}

// crdtUnit is the unit of CRDT1 to CRDT3 (Base 5.17.2.1).
const crdtUnit = 100 * time.Millisecond

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

// delays are the advices that the module can give, by the settings: three at most.
func (g *Instance) delays() (list []time.Duration) {
	if g.s.Dispatches.AdviceMost <= 0 {
		return nil
	}
	for _, t := range g.s.OpTypes {
		list = append(list, min(t.TargetLatency.D(), g.s.Dispatches.AdviceMost.D()))
	}
	slices.Sort(list)
	list = slices.Compact(list)
	for len(list) > 3 {
		list = slices.Delete(list, 1, 2)
	}
	return list
}

// Address is where the instance listens.
func (g *Instance) Address() string { return g.server.Address() }

// Stats counts what the instance's loop has done.
func (g *Instance) Stats() *eventloop.Stats { return &g.loop.Stats }

// Serve runs the instance until Shutdown has ended it or the context is over; then what it has taken is
// settled first, within the longest op timeout. It must be called once.
func (g *Instance) Serve(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.loop.Post(func() { g.drain(g.loop.Stop) }) })
	defer stop()
	if r := g.o.Learnt; r != nil {
		g.loop.Post(func() { g.recall(r) })
	}
	// An empty list as last seen starts the module, which asks for the watch.
	g.loop.Post(func() { g.ops.Deliver(honeyplank.List{Kind: honeyplank.Cached}) })
	if g.ask != nil {
		g.ask()
	}
	err := g.loop.Run()
	if g.etcd != nil {
		g.etcd.Close()
	}
	if g.dns != nil {
		g.dns.Close()
	}
	return err
}

// Shutdown takes no more ops, waits until every op taken has its answer and is sent, and ends Serve. When
// the context is over first, the rest are aborted at once. An instance that was never served must be.
func (g *Instance) Shutdown(ctx context.Context) error {
	if !g.loop.Post(func() { g.drain(g.loop.Stop) }) {
		return nil
	}
	select {
	case <-g.done:
		return nil
	case <-ctx.Done():
	}
	g.loop.Post(func() {
		g.ops.FailAll()
	})
	<-g.done
	return ctx.Err()
}

// Kill ends the instance as the death of its process would: connections break, nothing is settled.
func (g *Instance) Kill() {
	g.loop.Post(func() {
		g.server.Cut(true)
		for _, d := range g.disks {
			if d.link != nil {
				d.link.Close()
			}
		}
		g.loop.Stop()
	})
	<-g.done
}

// Counts asks the loop what it has done; an instance that has ended answers nothing.
func (g *Instance) Counts() (c Counts, ok bool) {
	answer := make(chan Counts, 1)
	if !g.loop.Post(func() {
		c := Counts{Counts: g.ops.Counts, Open: g.ops.Unanswered(), Out: g.ops.Outstanding()}
		c.Held, c.Connections = g.server.Buffers.InUse, g.server.Connections()
		c.CPU = g.loop.CPU()
		answer <- c
	}) {
		return c, false
	}
	select {
	case c = <-answer:
		return c, true
	case <-g.done:
		return c, false
	}
}

// recall tells the module what an instance before had learnt, each figure with its age. The file has the wall clock's
// time alone. Where it names a time to come, the clock has been set back since: no age in it can be told, and none of it
// is believed. It guards against old figures that look fresh; it could harm where a clock is set back by a moment just
// at a switch, which then begins as without the file.
func (g *Instance) recall(r *estimates.Record) {
	wall, now := g.o.Wall(), g.loop.Now()
	for _, s := range r.Servers {
		if s.At.After(wall) {
			g.log.Warn().Str("osd", s.ID).Time("at", s.At).Msg("what was learnt is passed over: it is of a time to come, the clock was set back")
			return
		}
	}
	if unit := int64(g.s.Volumes.Unit); r.Unit != unit {
		g.log.Warn().Int64("bytes", r.Unit).Int64("now", unit).Msg("best times are passed over: a unit was of another size")
	}
	g.ops.Deliver(r.ToEvent(int64(g.s.Volumes.Unit), func(at time.Time) time.Duration { return now - wall.Sub(at) }))
}

// Learnt asks the loop what the module knows of the disk servers; a module that doesn't tell, and an instance that has
// ended, answer nothing.
func (g *Instance) Learnt() (r *estimates.Record, ok bool) {
	module, tells := g.module.(interface {
		SavedEstimates() honeyplank.SavedEstimates
	})
	answer := make(chan *estimates.Record, 1)
	if !tells || !g.loop.Post(func() {
		start := g.o.Wall().Add(-g.loop.Now())
		answer <- estimates.FromEvent(module.SavedEstimates(), int64(g.s.Volumes.Unit), start.Add)
	}) {
		return nil, false
	}
	select {
	case r = <-answer:
		return r, true
	case <-g.done:
		return nil, false
	}
}

// drain stops taking ops and calls then once all that were taken are settled and their answers are sent.
func (g *Instance) drain(then func()) {
	if g.ending {
		return
	}
	g.ending = true
	g.server.Shut = true
	g.log.Info().Int("open", g.ops.Unanswered()).Msg("no more ops are taken")
	g.settled = func() {
		g.settled = nil
		if g.etcd != nil {
			g.etcd.Watch(false)
		}
		for _, d := range g.disks {
			if d.link != nil {
				d.link.Close()
			}
		}
		g.server.Close(then)
	}
	g.check()
}

func (g *Instance) check() {
	if g.settled != nil && g.ops.Unanswered() == 0 {
		g.settled()
	}
}

// act does what the module says beside ops and timers.
func (g *Instance) act(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Probe:
		g.probe(a.Server)
	case honeyplank.CloseIdle:
		if d := g.disks[a.Server]; d != nil {
			d.closeIdle()
		}
	case honeyplank.Log:
		g.log.Warn().Msg(a.Text)
	case honeyplank.Watch:
		if g.etcd != nil {
			g.etcd.Watch(a.Enabled)
		} else if a.Enabled { // DNS has no watch to break: it is asked all the time
			g.ops.Deliver(honeyplank.List{Kind: honeyplank.Delta})
		}
	case honeyplank.Fetch:
		if g.etcd != nil {
			g.etcd.Fetch()
		}
	}
}

// delay is the CRD index whose time is the least that is not under the advice; 0: no advice.
func (g *Instance) delay(advice time.Duration) int {
	for i, d := range g.advice {
		if advice > 0 && advice <= d {
			return i + 1
		}
	}
	if advice > 0 {
		return len(g.advice)
	}
	return 0
}

// ---- The list ----

// news carries what a source heard to the book, and what the book makes of it to the module.
func (g *Instance) news(from membership.Source, n discovery.Update) {
	for _, text := range n.Skipped {
		g.log.Warn().Stringer("source", from).Str("why", text).Msg("a list entry is passed over")
	}
	wall, now := g.o.Wall(), g.loop.Now() // in this order: a halt between them makes starts later, not earlier
	var all []membership.Report
	for _, node := range n.Nodes {
		all = append(all, g.statement(now, wall, from, node))
	}
	g.date(now, from, n)
	var lists []honeyplank.List
	switch n.Kind {
	case honeyplank.WatchFailed:
		g.log.Warn().Stringer("source", from).Err(n.Err).Msg("the list can't be followed")
		g.book.SourceFailed(now, from)
		if from == membership.Etcd {
			g.ops.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
		}
		return
	case honeyplank.Complete:
		lists = g.book.Complete(now, from, all)
	default:
		lists = g.book.Delta(now, from, all)
	}
	if from == membership.Etcd && len(lists) == 0 { // nothing new, but the watch stands
		lists = []honeyplank.List{{Kind: honeyplank.Delta}}
	}
	g.believe(lists, from == membership.Etcd || g.etcd == nil)
}

// statement is what a node's entry says.
func (g *Instance) statement(now time.Duration, wall time.Time, from membership.Source, node discovery.Node) membership.Report {
	s := membership.Report{State: membership.Up, Member: honeyplank.Member{ID: honeyplank.ServerID(node.Address), Size: node.Size, Model: node.Model, Zone: node.Zone, Cell: node.Cell}}
	switch {
	case node.Removed:
		s.State = membership.Removed
		g.starts[from].Removed(now, s.Member.ID)
		return s
	case node.State == "draining":
		s.State = membership.Draining
	}
	s.Member.Started, s.StartedAfter = g.started(now, wall, from, s.Member.ID, node.StartedMS)
	return s
}

// started tells when a node that a source names has started, and what that surely came after. DNS names starts in whole
// seconds: where the other source has named one of the same second before, it is the same.
func (g *Instance) started(now time.Duration, wall time.Time, from membership.Source, id honeyplank.ServerID, upSinceMS int64) (started, after time.Duration) {
	here, there := &g.starts[from], &g.starts[1-from]
	if other, at, since, ok := there.Known(id); ok && upSinceMS > 0 && other/1000 == upSinceMS/1000 {
		here.Adopt(id, upSinceMS, at, since)
	}
	started = here.Start(now, wall, id, upSinceMS)
	_, _, after, _ = here.Known(id)
	return started, after
}

// date tells what news says of the nodes that it doesn't name: starts that are named later came after it.
func (g *Instance) date(now time.Duration, from membership.Source, n discovery.Update) {
	switch {
	case n.Kind == honeyplank.Complete:
		ids := make([]honeyplank.ServerID, len(n.Nodes))
		for i, node := range n.Nodes {
			ids[i] = honeyplank.ServerID(node.Address)
		}
		g.starts[from].Complete(now, ids)
	case n.Current:
		g.starts[from].Current(now)
	}
}

// believe tells the module of what has changed in the book; watch tells whether that speaks of the watch too.
func (g *Instance) believe(lists []honeyplank.List, watch bool) {
	for _, l := range lists {
		if !watch {
			l.Kind = honeyplank.OutOfBand
		}
		for _, m := range l.Members {
			if v, _ := g.book.View(m.ID); m.State != honeyplank.Up || v.Cause != membership.Agreed {
				g.log.Info().Str("osd", string(m.ID)).Stringer("believed", v.State).Stringer("cause", v.Cause).
					Stringer("etcd", v.ReportedState[membership.Etcd]).Stringer("dns", v.ReportedState[membership.DNS]).Msg("the list of disk servers")
			}
		}
		g.ops.Deliver(l)
	}
	g.loop.Cancel(g.ticker)
	if at := g.book.NextTick(); at > 0 {
		g.ticker = g.loop.Schedule(at, func() { g.believe(g.book.Tick(g.loop.Now()), false) })
	}
}

// Node is what is believed of a disk server, why, and what each source says. Times are ages.
type Node struct {
	OSD      string `json:"osd"`
	Cell     int    `json:"cell"`
	Believed string `json:"believed"`
	Cause    string `json:"cause"`
	Since    string `json:"since"`
	Etcd     string `json:"etcd"`
	DNS      string `json:"dns"`
}

// Nodes asks the loop what is believed of each disk server, by address.
func (g *Instance) Nodes() (list []Node, ok bool) {
	answer := make(chan []Node, 1)
	if !g.loop.Post(func() {
		var list []Node
		ids := g.book.Nodes()
		slices.Sort(ids)
		now := g.loop.Now()
		for _, id := range ids {
			v, _ := g.book.View(id)
			says := func(s membership.Source) string {
				if v.ReportedState[s] == membership.NeverListed {
					return v.ReportedState[s].String()
				}
				text := fmt.Sprintf("%v for %v", v.ReportedState[s], (now - v.ReportedAt[s]).Round(time.Second))
				if v.Unconfirmed[s] {
					text += ", vanished"
				}
				return text
			}
			list = append(list, Node{string(id), v.Member.Cell, v.State.String(), v.Cause.String(), (now - v.Since).Round(time.Second).String(), says(membership.Etcd), says(membership.DNS)})
		}
		answer <- list
	}) {
		return nil, false
	}
	select {
	case list = <-answer:
		return list, true
	case <-g.done:
		return nil, false
	}
}
