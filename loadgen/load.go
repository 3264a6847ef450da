// Package loadgen drives gateways, or anything that speaks the subset, with Reads and Writes over NVMe/TCP from
// clients with patience and retries. It is open-loop: ops come at their times whether or not answers do, and
// latency counts from when an op was due, so that slow answers hide nothing. It runs on the loop it is given.
package loadgen

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeyplank/eventloop"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// Options say who is driven and how.
type Options struct {
	Settings *settings.Gateway
	Targets  []Target
	Traffic  []settings.Traffic
	Clients  int // for each target
	Retries  int
	Seed     int64
	Digests  bool // of headers and data
	// CountedSeparately tells which clients' utility is counted apart too; nil: none.
	CountedSeparately func(client int) bool
	// Expect fills a block that was never written, to check what is read; nil: reads are not checked.
	Expect func(block []byte, nsid uint32, lba uint64)
}

// Target is where clients connect.
type Target struct {
	Address      string
	Subsystem    string
	OnConnection func(client int, c *eventloop.Conn) // where set, is handed each new connection
	BeforeClose  func()                              // where set, hears before a client breaks its connection
}

// Tally is what became of the ops of one type. A client's retries belong to its first try.
type Tally struct {
	Attempts, Ops                     int
	Succeeded, Rejected, Failed, Lost int // by the last try
	InTime                            int // acked within the target latency
	Due, Earned                       float64
	Mismatches                        int // reads that brought other bytes than were there
	TimedOut                          int // tries without an answer at the op timeout
	latency                           *hdrhistogram.Histogram
}

// Quantile is a latency of acked ops, counted from when they were due.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// Mean is the mean latency of acked ops.
func (t *Tally) Mean() time.Duration {
	return time.Duration(t.latency.Mean() * float64(time.Microsecond))
}

// Generator is a load under way. Its fields may be used on its loop.
type Generator struct {
	// Factor multiplies the rate of a volume, by its nsid; absent: 1.
	Factor map[uint32]float64
	// TimeoutFactor is the part of the op timeout that clients wait; 0: all of it.
	TimeoutFactor float64
	// ByType are the results, by op type.
	ByType []Tally
	// CountedSeparately is the utility of the clients that are counted apart, which ByType holds too.
	CountedSeparately struct{ Due, Earned float64 }

	o       Options
	loop    *eventloop.Loop
	rng     *rand.Rand
	clients []*client
	rates   []float64
	mean    float64
	used    map[[2]uint64]uint64 // blocks given out, by volume and extent
	written []region             // acked, to be read back
	runs    []run
	pending int
	stopped bool
	idle    func()
}

type run struct {
	volume, extent, left int
}

type region struct {
	nsid uint32
	lba  uint64
	data []byte
}

type client struct {
	g    *Generator
	at   Target
	n    int
	link *initiator.Association
	live bool
}

// try is one op of a client, and each time it tries.
type try struct {
	g      *Generator
	client *client
	typ    int
	volume *settings.Volume
	units  float64
	due    time.Duration
	opcode uint8
	blocks int
	extent uint64
	lba    uint64
	data   []byte
	want   []byte
	left   int // retries
	ended  bool
	giveUp *eventloop.Timer
	cid    uint16
}

// Start begins a load; it runs until Stop.
func Start(l *eventloop.Loop, o Options) *Generator {
	g := &Generator{Factor: map[uint32]float64{}, o: o, loop: l, rng: rand.New(rand.NewSource(o.Seed)), used: map[[2]uint64]uint64{},
		ByType: make([]Tally, len(o.Settings.OpTypes)), runs: make([]run, len(o.Traffic))}
	for i := range g.ByType {
		g.ByType[i].latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, v := range o.Settings.Volumes.List {
		g.rates = append(g.rates, o.Settings.Plans.List[o.Settings.PlanIndex(v.Plan)].Rate)
		g.mean += g.rates[len(g.rates)-1]
	}
	for _, t := range o.Targets {
		for n := range o.Clients {
			c := &client{g: g, at: t, n: n}
			g.clients = append(g.clients, c)
			c.connect()
		}
	}
	for i := range o.Traffic {
		g.next(i, l.Now())
	}
	return g
}

// Stop ends the arrivals and calls then once every op has ended.
func (g *Generator) Stop(then func()) {
	g.stopped, g.idle = true, then
	g.settle(0)
}

// Close ends the clients' connections.
func (g *Generator) Close() {
	for _, c := range g.clients {
		if c.link != nil {
			c.link.Close()
		}
	}
}

// Disconnect breaks n clients' connections in the midst of their ops; they come back later.
func (g *Generator) Disconnect(n int) {
	for _, i := range g.rng.Perm(len(g.clients))[:min(n, len(g.clients))] {
		c := g.clients[i]
		if c.link != nil {
			if c.at.BeforeClose != nil {
				c.at.BeforeClose()
			}
			c.link.Close()
			c.Ended(c.link, nil)
		}
	}
}

func (g *Generator) settle(change int) {
	if g.pending += change; g.stopped && g.pending == 0 && g.idle != nil {
		idle := g.idle
		g.idle = nil
		idle()
	}
}

const depth = 120

func (c *client) connect() {
	if c.g.stopped {
		return
	}
	host := fmt.Sprintf("nqn.2026-12.org.honeyplank:client-%d", c.n)
	c.link = initiator.Dial(c.g.loop, initiator.Settings{Address: c.at.Address, Subsystem: c.at.Subsystem, Host: host, HostID: [16]byte{byte(c.n), 1},
		Depth: depth, MaxData: int(c.g.o.Settings.Limits.MaxTransfer), ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, Digests: c.g.o.Digests,
		OnConnect: func(conn *eventloop.Conn) {
			if c.at.OnConnection != nil {
				c.at.OnConnection(c.n, conn)
			}
		}}, c)
}

func (c *client) Ready(*initiator.Association) { c.live = true }

// Ended connects anew after a moment.
func (c *client) Ended(a *initiator.Association, _ error) {
	if c.link == a {
		c.live, c.link = false, nil
		c.g.loop.Schedule(c.g.loop.Now()+100*time.Millisecond, c.connect)
	}
}

// next makes the ops of one kind of traffic at their times.
func (g *Generator) next(i int, due time.Duration) {
	if g.stopped {
		return
	}
	t := &g.o.Traffic[i]
	load := 0.0
	for n, v := range g.o.Settings.Volumes.List {
		load += g.rates[n] * g.factor(v.NSID)
	}
	due += time.Duration(g.rng.ExpFloat64() / (t.Rate * load / g.mean) * float64(time.Second))
	g.loop.Schedule(due, func() {
		if !g.stopped {
			g.op(i, due)
			g.next(i, due)
		}
	})
}

func (g *Generator) factor(nsid uint32) float64 {
	if f, ok := g.Factor[nsid]; ok {
		return f
	}
	return 1
}

func (g *Generator) volume() int {
	sum := 0.0
	for i, v := range g.o.Settings.Volumes.List {
		sum += g.rates[i] * g.factor(v.NSID)
	}
	x := g.rng.Float64() * sum
	for i, v := range g.o.Settings.Volumes.List {
		if x -= g.rates[i] * g.factor(v.NSID); x < 0 {
			return i
		}
	}
	return 0
}

// op makes one op: the next of a run on one extent, or the first of a new one. No two ops touch the same
// blocks by the same opcode, so that each is known by its place.
func (g *Generator) op(i int, due time.Duration) {
	t, s := &g.o.Traffic[i], g.o.Settings
	r := &g.runs[i]
	if r.left == 0 {
		r.volume = g.volume()
		r.extent = g.rng.Intn(max(int(s.Volumes.List[r.volume].Size/s.Volumes.Extent), 1))
		r.left = 1 + g.rng.Intn(max(t.ExtentRun, 1))
	}
	r.left--
	typ := 0
	for n := range s.OpTypes {
		if s.OpTypes[n].Name == t.OpType {
			typ = n
		}
	}
	v := &s.Volumes.List[r.volume]
	o := &try{g: g, typ: typ, volume: v, due: due, blocks: int(t.OpBytes / s.Volumes.Block), left: g.o.Retries, opcode: nvme.Read,
		units: float64(s.Units(int64(t.OpBytes)))}
	o.client = g.clients[g.rng.Intn(len(g.clients))]
	o.extent = uint64(r.extent)
	o.place()
	if s.OpTypes[typ].Opcode == "write" {
		o.opcode, o.data = nvme.Write, make([]byte, t.OpBytes)
		for n := 0; n < len(o.data); n += 512 {
			binary.LittleEndian.PutUint64(o.data[n:], g.rng.Uint64())
		}
	} else if n := len(g.written); n > 0 && len(g.written[n-1].data) == int(t.OpBytes) && g.rng.Intn(4) == 0 {
		w := g.written[n-1]
		g.written = g.written[:n-1]
		for k := range s.Volumes.List {
			if s.Volumes.List[k].NSID == w.nsid {
				o.volume = &s.Volumes.List[k]
			}
		}
		o.lba, o.want = w.lba, w.data
	}
	tally := &g.ByType[typ]
	tally.Ops++
	plan := s.Plans.List[s.PlanIndex(o.volume.Plan)]
	tally.Due += o.worth(plan)
	if g.o.CountedSeparately != nil && g.o.CountedSeparately(o.client.n) {
		g.CountedSeparately.Due += o.worth(plan)
	}
	g.pending++
	o.send()
}

// place gives a try blocks of its own, so that each try is known by its place.
func (o *try) place() {
	s := o.g.o.Settings
	perExtent := uint64(s.Volumes.Extent / s.Volumes.Block)
	extent := [2]uint64{uint64(o.volume.NSID), o.extent}
	at := o.g.used[extent]
	if at+uint64(o.blocks) > perExtent {
		at = 0
	}
	o.g.used[extent] = at + uint64(o.blocks)
	o.lba = o.extent*perExtent + at
}

func (o *try) worth(p settings.Plan) float64 {
	value := p.Value
	if value == 0 {
		value = 1
	}
	return o.g.o.Settings.OpTypes[o.typ].Utility * value * o.units / o.g.o.Settings.Volumes.MeanUnits
}

func (o *try) send() {
	t := &o.g.o.Settings.OpTypes[o.typ]
	o.g.ByType[o.typ].Attempts++
	if !o.client.live {
		o.g.ByType[o.typ].Lost++
		o.g.settle(-1)
		return
	}
	c := nvme.NewRW(o.opcode, o.volume.NSID, o.lba, o.blocks)
	patience := t.OpTimeout.Duration()
	if o.g.TimeoutFactor > 0 {
		patience = time.Duration(float64(patience) * o.g.TimeoutFactor)
		c.SetClientTimeout(uint32(patience / time.Millisecond))
	}
	read := 0
	if o.opcode == nvme.Read {
		read = o.blocks * int(o.g.o.Settings.Volumes.Block)
	}
	o.ended = false
	link := o.client.link
	cid, ok := link.IO.Submit(c, o.data, read, o)
	if !ok {
		o.g.ByType[o.typ].Lost++
		o.g.settle(-1)
		return
	}
	o.cid = cid
	o.giveUp = o.g.loop.Schedule(o.g.loop.Now()+patience, func() {
		if !o.ended {
			link.IO.Abandon(o.cid)
			o.g.ByType[o.typ].TimedOut++
			o.end(nvme.InternalError, true)
		}
	})
}

// Done is told how a try ended.
func (o *try) Done(r initiator.Result) {
	o.g.loop.Cancel(o.giveUp)
	if r.Lost {
		o.end(0, true)
		return
	}
	if r.Status() == nvme.Success && o.opcode == nvme.Read && o.g.o.Expect != nil && !o.right(r.Data) {
		o.g.ByType[o.typ].Mismatches++
	}
	if r.Status().Code() == nvme.CommandInterrupted && o.left > 0 && o.want == nil && !o.g.stopped {
		o.left--
		o.ended = true
		o.place()
		o.g.loop.Schedule(o.g.loop.Now()+time.Duration(r.DW0())*time.Millisecond, o.send)
		return
	}
	o.end(r.Status(), false)
}

func (o *try) right(data []byte) bool {
	if o.want != nil {
		return bytes.Equal(data, o.want)
	}
	block := int(o.g.o.Settings.Volumes.Block)
	want := make([]byte, block)
	for i := range o.blocks {
		o.g.o.Expect(want, o.volume.NSID, o.lba+uint64(i))
		if !bytes.Equal(data[i*block:(i+1)*block], want) {
			return false
		}
	}
	return true
}

func (o *try) end(status nvme.Status, lost bool) {
	if o.ended {
		return
	}
	o.ended = true
	t, tally := &o.g.o.Settings.OpTypes[o.typ], &o.g.ByType[o.typ]
	took := o.g.loop.Now() - o.due
	switch {
	case lost:
		tally.Lost++
	case status == nvme.Success:
		tally.Succeeded++
		tally.latency.RecordValue(max(int64(took/time.Microsecond), 1))
		worth := o.worth(o.g.o.Settings.Plans.List[o.g.o.Settings.PlanIndex(o.volume.Plan)])
		if took <= t.TargetLatency.Duration() {
			tally.InTime++
		} else {
			worth *= t.LateUtility
		}
		tally.Earned += worth
		if o.g.o.CountedSeparately != nil && o.g.o.CountedSeparately(o.client.n) {
			o.g.CountedSeparately.Earned += worth
		}
		if o.opcode == nvme.Write && len(o.g.written) < 1000 {
			o.g.written = append(o.g.written, region{o.volume.NSID, o.lba, o.data})
		}
	case status.Code() == nvme.CommandInterrupted:
		tally.Rejected++
	default:
		tally.Failed++
	}
	o.g.settle(-1)
}

// OpTypes lists the op types in order, with what became of each.
func (g *Generator) OpTypes() (names []string) {
	for _, t := range g.o.Settings.OpTypes {
		names = append(names, t.Name)
	}
	return names
}
