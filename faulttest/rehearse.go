// Package faulttest plays a script: gateways, stand-in disk servers, a stand-in etcd and clients on loopback in
// one process, with what goes wrong when. The audit judges the rules from what crossed the sockets. All
// figures are of stand-ins.
package faulttest

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"honeyplank"
	"math/rand"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/audit"
	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/gateway"
	"honeyplank/loadgen"
	"honeyplank/settings"
	"honeyplank/target"
)

// BadDay is the built-in script.
//
//go:embed badday.xml
var BadDay []byte

// Sources is the built-in script in which etcd and DNS misbehave.
//
//go:embed sources.xml
var Sources []byte

// Wires is the built-in script in which the wires between damage what crosses.
//
//go:embed wires.xml
var Wires []byte

// Options are how a script is played.
type Options struct {
	Script *settings.Gateway
	Seed   int64
	// Module replaces the decision module of every gateway; nil: the product's own.
	Module func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule
	Log    zerolog.Logger
}

// Report is what came of it. Durations are in milliseconds.
type Report struct {
	Seed    int64           `json:"seed"`
	Rules   []audit.Verdict `json:"rules"`
	Kept    bool            `json:"kept"`
	Types   []TypeReport    `json:"op_types"`
	Service float64         `json:"service"` // utility earned of what was due
	// Apart is the service of the clients behind a bad wire, Honest that of the others, where wires go bad.
	Apart    float64          `json:"service_behind_bad_wires,omitempty"`
	Honest   float64          `json:"service_of_the_others,omitempty"`
	Held     int              `json:"held_at_the_end"` // ops and bytes that gateways still held once their clients had gone
	Gateways []gateway.Counts `json:"gateways"`
	Fell     int              `json:"servers_fallen"`
	// Disbelieved counts looks at which a gateway believed a server out that both its sources held on and that was
	// not held back for flapping; Looks are all.
	Disbelieved int     `json:"disbelieved"`
	Looks       int     `json:"looks"`
	Seconds     float64 `json:"seconds"`
}

// TypeReport is what became of the ops of one type.
type TypeReport struct {
	Name      string  `json:"name"`
	Ops       int     `json:"ops"`
	Tries     int     `json:"tries"`
	Acked     int     `json:"acked"`
	InTime    int     `json:"within_target_latency"`
	Throttled int     `json:"throttled"`
	Aborted   int     `json:"aborted"`
	Lost      int     `json:"lost"`
	Wrong     int     `json:"wrong_bytes"`
	Target    float64 `json:"target_latency_ms"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Service   float64 `json:"service"`
}

// stage is a rehearsal under way. What touches stand-ins and clients runs on its one loop.
type stage struct {
	o        Options
	script   *settings.Gateway
	loop     *eventloop.Loop
	rng      *rand.Rand
	log      *audit.Log
	etcd     *etcd.Server
	model    disk.Model
	cells    map[int]*disk.Server // who serves a cell now
	all      []*disk.Server
	agents   map[string]int
	names    []*dns.Server // one a gateway
	records  map[string]dns.Record
	still    bool // DNS stands still
	bad      badWires
	cut      atomic.Bool
	looks    int
	wrong    int // of looks
	load     *loadgen.Generator
	mu       sync.Mutex
	gateways []*gateway.Instance
	serving  sync.WaitGroup
	failed   error
}

// listLag is how long the list takes to notice that a process died.
const listLag = 300 * time.Millisecond

// Run plays a script.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Script == nil || o.Script.FaultTest == nil {
		return nil, fmt.Errorf("rehearse: the script has no <rehearsal>")
	}
	began := time.Now()
	l, err := eventloop.New(time.Minute)
	if err != nil {
		return nil, err
	}
	st := &stage{o: o, script: o.Script, loop: l, rng: rand.New(rand.NewSource(o.Seed)), log: audit.NewLog(), cells: map[int]*disk.Server{}, agents: map[string]int{}, records: map[string]dns.Record{}}
	defer func() {
		for _, g := range st.gateways {
			if g != nil {
				g.Kill()
			}
		}
		if st.etcd != nil {
			st.etcd.Close()
		}
		for _, d := range st.names {
			d.Close()
		}
	}()
	if err := st.build(); err != nil {
		l.Stop()
		l.Run()
		return nil, err
	}
	r := o.Script.FaultTest
	finished := make(chan struct{})
	l.Post(st.begin)
	l.Schedule(l.Now()+r.Duration.Duration()+settle, func() { st.load.Stop(func() { close(finished) }) })
	looped := make(chan error, 1)
	go func() { looped <- l.Run() }()
	looking := make(chan struct{})
	go func() { defer close(looking); st.look(finished) }()
	select {
	case <-finished:
	case <-ctx.Done():
		err = ctx.Err()
		st.cut.Store(true)
	}
	<-looking
	// A gateway that does not settle in the time of its longest op is the audit's matter: it is cut then.
	within, cancel := context.WithTimeout(ctx, patience(o.Script))
	for _, g := range st.gateways {
		g.Shutdown(within)
	}
	cancel()
	st.serving.Wait()
	report := st.report()
	l.Post(func() { st.load.Close(); l.Stop() })
	<-looped
	st.gateways = nil
	if err == nil {
		err = st.failed
	}
	report.Seconds = time.Since(began).Seconds()
	return report, err
}

// look asks the gateways now and then what they believe, where there are two sources.
func (st *stage) look(finished chan struct{}) {
	for st.script.EndpointList.DNS != nil && !st.cut.Load() {
		select {
		case <-finished:
			return
		case <-time.After(200 * time.Millisecond):
		}
		running := make(chan []*gateway.Instance, 1)
		st.loop.Post(func() { running <- slices.Clone(st.gateways) })
		for _, g := range <-running {
			nodes, _ := g.Nodes()
			for _, n := range nodes {
				st.looks++
				sound := strings.HasPrefix(n.Etcd, "on") && strings.HasPrefix(n.DNS, "on") && !strings.HasSuffix(n.Etcd+n.DNS, "vanished")
				if sound && n.State != "on" && n.Cause != "held back" {
					st.wrong++
				}
			}
		}
	}
}

// patience is more than the longest op takes.
func patience(s *settings.Gateway) (longest time.Duration) {
	for _, t := range s.OpTypes {
		longest = max(longest, t.OpTimeout.Duration())
	}
	return longest + time.Second
}

// settle is how long a fleet stands before the load begins to count its time.
const settle = time.Second

func (st *stage) build() (err error) {
	s := st.script
	if st.etcd, err = etcd.New("127.0.0.1:0"); err != nil {
		return err
	}
	prefix := s.EndpointList.Prefix
	st.etcd.Told = func(agent, key string, value []byte) {
		st.mu.Lock()
		n, known := st.agents[agent]
		st.mu.Unlock()
		if !known {
			return
		}
		state, started := "gone", time.Time{}
		var r discovery.Record
		if len(value) > 0 && json.Unmarshal(value, &r) == nil {
			state = r.State
			if r.StartedMS > 0 {
				started = time.UnixMilli(r.StartedMS)
			}
		}
		st.log.Told(n, "etcd", strings.TrimPrefix(key, prefix), state, started)
	}
	for n := range s.FaultTest.Gateways {
		st.agents[hostNQN(s, n)] = n
		if s.EndpointList.DNS != nil {
			d, err := dns.New(s.EndpointList.DNS.Name)
			if err != nil {
				return err
			}
			d.Told = st.told(n)
			st.names = append(st.names, d)
		}
	}
	st.model = Model(s)
	var cells []int
	for _, v := range s.Volumes.List {
		cells = append(cells, v.CellList()...)
	}
	slices.Sort(cells)
	for _, cell := range slices.Compact(cells) {
		if _, err := st.server(cell); err != nil {
			return err
		}
		st.list(cell, "on")
	}
	var targets []loadgen.Target
	for n := range s.FaultTest.Gateways {
		st.gateways = append(st.gateways, nil)
		if err := st.gateway(n, "127.0.0.1:0"); err != nil {
			return err
		}
		targets = append(targets, loadgen.Target{Address: st.gateways[n].Address(), Subsystem: s.Listen.Subsystem, Wire: st.client(n), Left: func() { st.log.Left(n) }})
	}
	r := s.FaultTest
	var aside func(int) bool
	if wired(s) {
		aside = apart
	}
	st.loop.Schedule(0, func() {
		st.load = loadgen.Start(st.loop, loadgen.Options{Settings: s, Targets: targets, Traffic: r.Traffic, Clients: r.Clients, Retries: r.Retries, Seed: st.o.Seed, Expect: disk.Fill, Digests: wired(s), Apart: aside})
	})
	return nil
}

// told notes what DNS answers tell a gateway. By the written rule (docs/sources.md) a server is told to be gone when
// an answer lacks it together with no more than a part of those of the answer before.
func (st *stage) told(gateway int) func([]dns.Record) {
	before := map[string]dns.Record{}
	return func(records []dns.Record) {
		now := map[string]dns.Record{}
		for _, r := range records {
			address := fmt.Sprintf("%s:%d", r.IP, r.Port)
			now[address] = r
			state, started := "on", time.Time{}
			if r.Weight == 0 {
				state = "draining"
			}
			if _, text, ok := strings.Cut(strings.Split(r.Target, ".")[0], "-t"); ok {
				if n, err := strconv.ParseInt(text, 10, 64); err == nil {
					started = time.Unix(n, 0)
				}
			}
			st.log.Told(gateway, "dns", address, state, started)
		}
		lost := 0
		for address := range before {
			if _, ok := now[address]; !ok {
				lost++
			}
		}
		if float64(lost) > st.script.EndpointList.SourceTrust.MaxRemovedShare*float64(len(before)) {
			return // doubted; what was held stays held
		}
		for address := range before {
			if _, ok := now[address]; !ok {
				st.log.Told(gateway, "dns", address, "gone", time.Time{})
			}
		}
		before = now
	}
}

// publish has DNS say what is registered now.
func (st *stage) publish() {
	if st.still {
		return
	}
	var list []dns.Record
	for _, r := range st.records {
		list = append(list, r)
	}
	for _, d := range st.names {
		d.Set(1, list)
	}
}

// register tells DNS of a server; weight 0: it drains.
func (st *stage) register(cell int, weight uint16) {
	d := st.cells[cell]
	at := netip.MustParseAddrPort(d.Address())
	target := fmt.Sprintf("n%d--c%d-z%d", at.Port(), cell, cell%3)
	if d.Started > 0 {
		target += fmt.Sprintf("-t%d", st.loop.WallTime(d.Started).Unix())
	}
	st.records[d.Address()] = dns.Record{Target: target + ".storage.example.", IP: at.Addr().String(), Port: at.Port(), Weight: weight}
	st.publish()
}

// remove takes a server out of the list.
func (st *stage) remove(address string) {
	st.etcd.Delete(st.script.EndpointList.Prefix + address)
	delete(st.records, address)
	st.publish()
}

// Model is what the stand-in disk servers of a script are like.
func Model(s *settings.Gateway) disk.Model {
	m := disk.Model{FakeServers: s.FaultTest.FakeServers, Block: int(s.Volumes.Block), Unit: int(s.Volumes.Unit), Extent: int64(s.Volumes.Extent),
		Meter: &disk.Meter{Period: s.Policy.UsagePeriod.Duration(), Rate: func(nsid uint32) float64 {
			for _, v := range s.Volumes.List {
				if v.NSID == nsid {
					return s.Plans.List[s.PlanIndex(v.Plan)].Rate
				}
			}
			return 0
		}},
		Offer: target.Settings{Subsystem: s.DiskServers.Subsystem, Serial: "standin", MaxTransfer: int(s.Limits.MaxTransfer), MaxCapsule: 8 << 10, MaxDataPDU: 32 << 10,
			QueueDepth: 1024, MaxQueues: 8, HandshakeTimeout: time.Second, MaxConnections: 1024, MaxUnsent: 64 << 20, MaxBuffered: 256 << 20}}
	if c := s.Policy.SlowStart; c != nil {
		m.ColdFrom, m.ColdTime, m.Window, m.Multiple = c.From, c.Time.Duration(), c.Window.Duration(), c.Multiple
	}
	shift := uint8(0)
	for 1<<shift < int(s.Volumes.Block) {
		shift++
	}
	for _, v := range s.Volumes.List {
		m.Offer.Namespaces = append(m.Offer.Namespaces, target.Namespace{ID: v.NSID, Blocks: uint64(v.Size) >> shift, Shift: shift})
	}
	slices.SortFunc(m.Offer.Namespaces, func(a, b target.Namespace) int { return int(int64(a.ID) - int64(b.ID)) })
	return m
}

func hostNQN(s *settings.Gateway, n int) string { return fmt.Sprintf("%s-%d", s.Listen.Host, n) }

// server makes the stand-in that serves a cell from now on.
func (st *stage) server(cell int) (*disk.Server, error) {
	var d *disk.Server
	m := st.model
	m.Tap = st.log.Disk(func() string { return d.Address() }, st.agents)
	m.Wire = st.disk(func() *disk.Server { return d })
	d, err := disk.New(st.loop, "127.0.0.1:0", m, st.rng.Int63())
	if err != nil {
		return nil, err
	}
	st.cells[cell] = d
	st.all = append(st.all, d)
	st.log.Server(d.Address(), audit.Place{Zone: cell % 3, Cell: cell})
	return d, nil
}

// list tells etcd of the server of a cell.
func (st *stage) list(cell int, state string) {
	d := st.cells[cell]
	r := discovery.Record{State: state, Size: float64(st.model.Cores), Zone: cell % 3, Cell: cell}
	if d.Started > 0 {
		r.StartedMS = st.loop.WallTime(d.Started).UnixMilli()
	}
	value, _ := json.Marshal(r)
	st.etcd.Set(st.script.EndpointList.Prefix+d.Address(), value)
	weight := uint16(1)
	if state != "on" {
		weight = 0
	}
	st.register(cell, weight)
}

// gateway starts one, at its own address of old if it had one.
func (st *stage) gateway(n int, address string) error {
	s := *st.script
	s.DiskServers.Digests = s.DiskServers.Digests || wired(st.script)
	s.FaultTest, s.Scheduler.Ordinal, s.Scheduler.Instances = nil, n, s.FaultTest.Gateways
	s.Listen.Address, s.Listen.Host = address, hostNQN(st.script, n)
	s.EndpointList.Etcd = slices.Clone(s.EndpointList.Etcd[:1])
	s.EndpointList.Etcd[0].Endpoint = st.etcd.Address()
	if s.EndpointList.DNS != nil {
		own := *s.EndpointList.DNS
		own.Servers = slices.Clone(own.Servers[:1])
		own.Servers[0].Address = st.names[n].Address()
		s.EndpointList.DNS = &own
	}
	g, err := gateway.New(gateway.Options{Settings: &s, Seed: st.o.Seed + int64(n), Module: st.o.Module, Log: st.o.Log.With().Int("gateway", n).Logger()})
	if err != nil {
		return err
	}
	st.gateways[n] = g
	st.serving.Add(1)
	go func() {
		defer st.serving.Done()
		g.Serve(context.Background())
	}()
	return nil
}

func (st *stage) begin() {
	for _, t := range st.script.FaultTest.Faults {
		st.after(settle+t.Start.Duration(), func() {
			st.o.Log.Info().Str("kind", t.Kind).Dur("for_ms", t.Duration.Duration()).Msg("trouble")
			troubles[t.Kind](st, t)
		})
	}
}

func (st *stage) after(span time.Duration, f func()) { st.loop.Schedule(st.loop.Now()+span, f) }

// pick chooses count servers of those that serve a cell now; 0: one.
func (st *stage) pick(count int) (cells []int) {
	for cell, d := range st.cells {
		if d.Faults == (disk.Faults{}) && !d.Fell {
			cells = append(cells, cell)
		}
	}
	slices.Sort(cells)
	st.rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	return cells[:min(max(count, 1), len(cells))]
}

// afflict makes faults act on some servers for a time.
func afflict(make func(t settings.Fault) disk.Faults) func(*stage, settings.Fault) {
	return func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			d := st.cells[cell]
			d.Apply(make(t))
			st.after(t.Duration.Duration(), func() { d.Apply(disk.Faults{}) })
		}
	}
}

// restart ends the server of a cell and brings it back cold after a time.
func (st *stage) restart(cell int, after time.Duration) {
	d := st.cells[cell]
	d.Die()
	d.Faults.Silent = true // not to be picked meanwhile
	if after > 2*listLag {
		st.after(listLag, func() { st.remove(d.Address()) })
	}
	st.after(after, func() {
		if err := d.Start(); err != nil {
			st.failed = err
			return
		}
		st.cold(d)
		st.after(listLag, func() { st.list(cell, "on") })
	})
}

func (st *stage) cold(d *disk.Server) {
	st.log.Started(d.Address(), d.CapacityAt) // by age: it may start again before the judge asks
}

// replace drains the server of a cell, ends it, and has a cold one take its place.
func (st *stage) replace(cell int, notice time.Duration) {
	d := st.cells[cell]
	d.Faults.Draining = true
	st.list(cell, "draining")
	st.after(notice, func() {
		d.Die()
		old := *d
		fresh, err := st.server(cell)
		if err != nil {
			st.failed = err
			return
		}
		fresh.Adopt(&old)
		st.cold(fresh)
		st.remove(old.Address())
		st.list(cell, "on")
	})
}

// troubles are what can go wrong, by their names in a script.
var troubles = map[string]func(*stage, settings.Fault){
	"slow":           afflict(func(t settings.Fault) disk.Faults { return disk.Faults{Slow: or(t.Factor, 5)} }),
	"fail":           afflict(func(t settings.Fault) disk.Faults { return disk.Faults{Fail: or(t.Factor, 0.6)} }),
	"lose-answers":   afflict(func(t settings.Fault) disk.Faults { return disk.Faults{Lose: or(t.Factor, 0.3)} }),
	"stale-reports":  afflict(func(settings.Fault) disk.Faults { return disk.Faults{Stale: true} }),
	"mute-handshake": afflict(func(settings.Fault) disk.Faults { return disk.Faults{Mute: true} }),
	"cut":            afflict(func(settings.Fault) disk.Faults { return disk.Faults{Tear: true} }),
	"pause": func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			st.cells[cell].Freeze(t.Duration.Duration())
		}
	},
	"die": func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			st.restart(cell, t.Duration.Duration())
		}
	},
	"silent": func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			d := st.cells[cell]
			d.Apply(disk.Faults{Silent: true})
			st.after(t.Duration.Duration(), func() { st.restart(cell, listLag) })
		}
	},
	"drain": func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			st.replace(cell, t.Duration.Duration())
		}
	},
	"replace": func(st *stage, t settings.Fault) {
		cells := st.pick(max(t.Count, 3))
		for i, cell := range cells {
			st.after(t.Duration.Duration()*time.Duration(i)/time.Duration(len(cells)), func() { st.replace(cell, t.Duration.Duration()/time.Duration(len(cells))) })
		}
	},
	"surge": func(st *stage, t settings.Fault) {
		list := st.script.Volumes.List
		for _, i := range st.rng.Perm(len(list))[:min(max(t.Count, 1), len(list))] {
			st.surge(list[i].NSID, t)
		}
	},
	"plan-surge": func(st *stage, t settings.Fault) {
		for _, v := range st.script.Volumes.List {
			if v.Plan == t.Plan || t.Plan == "" {
				st.surge(v.NSID, t)
			}
		}
	},
	"hurry": func(st *stage, t settings.Fault) {
		st.load.Hurry = or(t.Factor, 0.25)
		st.after(t.Duration.Duration(), func() { st.load.Hurry = 0 })
	},
	"list-down": func(st *stage, t settings.Fault) {
		st.etcd.Down(true)
		st.after(t.Duration.Duration(), func() { st.etcd.Down(false) })
	},
	"list-late": func(st *stage, t settings.Fault) {
		st.etcd.Late(time.Duration(or(t.Factor, 2) * float64(time.Second)))
		st.after(t.Duration.Duration(), func() { st.etcd.Late(0) })
		st.replace(st.pick(1)[0], t.Duration.Duration()/2)
	},
	"gateway-restart": func(st *stage, t settings.Fault) {
		n := st.rng.Intn(len(st.gateways))
		g := st.gateways[n]
		st.log.Killed(n)
		address := g.Address()
		go func() {
			g.Kill()
			st.loop.Post(func() {
				st.log.Killed(n)
				st.after(t.Duration.Duration(), func() {
					if err := st.gateway(n, address); err != nil {
						st.failed = err
					}
				})
			})
		}()
	},
	"list-cut": func(st *stage, _ settings.Fault) { st.etcd.Break() },
	"list-compacted": func(st *stage, t settings.Fault) {
		st.etcd.Down(true)
		for _, cell := range st.pick(t.Count) {
			st.replace(cell, t.Duration.Duration()/4)
		}
		st.after(t.Duration.Duration(), func() { st.etcd.Forget(); st.etcd.Down(false) })
	},
	"list-mute": func(st *stage, t settings.Fault) {
		st.etcd.Mute(true)
		st.after(t.Duration.Duration(), func() { st.etcd.Mute(false) })
	},
	"re-register": func(st *stage, _ settings.Fault) {
		for cell, d := range st.cells {
			if d.Faults == (disk.Faults{}) && !d.Fell {
				st.list(cell, "on")
			}
		}
	},
	"dns-down":      misname(dns.Faults{Rcode: 2}),
	"dns-empty":     misname(dns.Faults{Empty: true}, dns.Faults{None: true}),
	"dns-lies":      misname(dns.Faults{Other: true}, dns.Faults{Malformed: true}, dns.Faults{WrongID: true}),
	"dns-truncated": misname(dns.Faults{Truncate: true}, dns.Faults{Truncate: true, NoTCP: true}),
	"dns-drain": func(st *stage, t settings.Fault) {
		for _, cell := range st.pick(t.Count) {
			st.register(cell, 0)
			st.after(t.Duration.Duration(), func() { st.register(cell, 1) })
		}
	},
	"dns-stale": func(st *stage, t settings.Fault) {
		st.still = true
		for _, cell := range st.pick(t.Count) {
			st.replace(cell, t.Duration.Duration()/2)
		}
		st.after(t.Duration.Duration(), func() { st.still = false; st.publish() })
	},
	"wire-flip": wire("wire-flip"), "wire-drop": wire("wire-drop"), "wire-delay": wire("wire-delay"),
	"wire-cut": wire("wire-cut"), "wire-repeat": wire("wire-repeat"), "wire-lie": wire("wire-lie"),
	"clients-leave": func(st *stage, t settings.Fault) { st.load.Leave(max(t.Count, 1)) },
}

// misname has every name server go wrong in several ways, one after another.
func misname(ways ...dns.Faults) func(*stage, settings.Fault) {
	return func(st *stage, t settings.Fault) {
		for i, f := range append(ways, dns.Faults{}) {
			st.after(t.Duration.Duration()*time.Duration(i)/time.Duration(len(ways)), func() {
				for _, d := range st.names {
					d.Fault(f)
				}
			})
		}
	}
}

func (st *stage) surge(nsid uint32, t settings.Fault) {
	st.load.Factor[nsid] = or(t.Factor, 5)
	st.after(t.Duration.Duration(), func() { delete(st.load.Factor, nsid) })
}

func or(x, other float64) float64 {
	if x == 0 {
		return other
	}
	return x
}

// report sums up; it waits for the loop.
func (st *stage) report() *Report {
	out := &Report{Seed: st.o.Seed, Kept: st.wrong == 0, Looks: st.looks, Disbelieved: st.wrong}
	for _, g := range st.gateways {
		c, _ := g.Counts()
		out.Gateways = append(out.Gateways, c)
		out.Held += c.Unanswered + c.Outstanding + c.BufferedBytes
	}
	done := make(chan struct{})
	st.loop.Post(func() {
		defer close(done)
		var due, earned float64
		for i, name := range st.load.Names() {
			t := &st.load.ByType[i]
			r := TypeReport{Name: name, Ops: t.Ops, Tries: t.Tries, Acked: t.Succeeded, InTime: t.InTime, Throttled: t.Rejected, Aborted: t.Failed,
				Lost: t.Lost, Wrong: t.Wrong, Target: millis(st.script.OpTypes[i].TargetLatency.Duration()), P50: millis(t.Quantile(0.5)), P99: millis(t.Quantile(0.99))}
			if t.Due > 0 {
				r.Service = t.Earned / t.Due
			}
			due, earned = due+t.Due, earned+t.Earned
			out.Types = append(out.Types, r)
		}
		if due > 0 {
			out.Service = earned / due
		}
		if a := st.load.Apart; a.Due > 0 {
			out.Apart, out.Honest = a.Earned/a.Due, (earned-a.Earned)/(due-a.Due)
		}
		for _, d := range st.all {
			if d.Fell {
				out.Fell++
			}
		}
	})
	<-done
	out.Rules = st.log.Judge(st.script)
	for _, v := range out.Rules {
		out.Kept = out.Kept && v.Kept
	}
	return out
}

func millis(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// String is the report for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %.0f s; all figures are of stand-ins\n\n", r.Seed, r.Seconds)
	for _, v := range r.Rules {
		word := "kept"
		if !v.Kept {
			word = fmt.Sprintf("BROKEN %d times", v.Broken)
		}
		fmt.Fprintf(&b, "rule %d  %-50s %s (%d cases)", v.Rule, v.Name, word, v.Checked)
		if v.Evidence != "" {
			fmt.Fprintf(&b, "; %s", v.Evidence)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\n%-12s %6s %6s %6s %8s %9s %7s %5s %6s %9s %9s %9s %8s\n", "op type", "ops", "tries", "acked", "in time", "throttled", "aborted", "lost", "wrong", "target ms", "p50 ms", "p99 ms", "service")
	for _, t := range r.Types {
		fmt.Fprintf(&b, "%-12s %6d %6d %6d %8d %9d %7d %5d %6d %9.0f %9.1f %9.1f %8.3f\n", t.Name, t.Ops, t.Tries, t.Acked, t.InTime, t.Throttled, t.Aborted, t.Lost, t.Wrong, t.Target, t.P50, t.P99, t.Service)
	}
	fmt.Fprintf(&b, "\nservice (utility earned of what was due) %.3f; disk servers pushed over: %d\n", r.Service, r.Fell)
	if r.Honest > 0 {
		fmt.Fprintf(&b, "service of clients behind bad wires %.3f, of the others %.3f\n", r.Apart, r.Honest)
	}
	if r.Looks > 0 {
		fmt.Fprintf(&b, "believed gone though both sources held it on: %d of %d looks\n", r.Disbelieved, r.Looks)
	}
	return b.String()
}
