// Package loadgen drives gateways, or anything that speaks the same NVMe/TCP subset, with Reads and Writes of clients
// that time out and retry. It is open-loop: ops come at their times whether or not answers do, and latency counts from
// when an op was due, so that slow answers hide nothing. It judges nothing beyond its tallies.
//
// A Generator runs on the event loop it is given: Start, its methods and its fields may be used on the goroutine of
// that loop only. The package starts no goroutine.
package loadgen

import (
	"math/rand"

	"honeyplank/eventloop"
	"honeyplank/settings"
)

// Options say who is driven and how.
type Options struct {
	Settings *settings.Gateway
	Targets  []Target
	Traffic  []settings.Traffic
	// Clients is the number of clients of each target.
	Clients int
	// Retries is how often a client retries an op that was rejected.
	Retries int
	// Seed is the seed of all random draws.
	Seed int64
	// Digests has connections use digests of headers and data.
	Digests bool
	// CountedSeparately, where set, reports whether Generator.CountedSeparately has the utility of a client too.
	CountedSeparately func(client int) bool
	// Expect, where set, fills a block as it is before its first write; reads are compared with it.
	Expect func(block []byte, nsid uint32, lba uint64)
}

// Target is where clients connect.
type Target struct {
	Address   string
	Subsystem string
	// OnConnection, where set, is called with each new connection of a client.
	OnConnection func(client int, c *eventloop.Conn)
	// BeforeClose, where set, is called before Generator.Disconnect closes a client's connection.
	BeforeClose func()
}

// Generator is a load that runs.
type Generator struct {
	// RateFactor multiplies the rate of a volume, by its nsid; absent: 1.
	RateFactor map[uint32]float64
	// TimeoutFactor, where positive, is the part of the op timeout that clients wait; they announce it to the target.
	TimeoutFactor float64
	// ByType are the results, by op type.
	ByType []Tally
	// CountedSeparately is the utility of the clients of Options.CountedSeparately, which ByType has too.
	CountedSeparately Utility

	options Options
	loop    *eventloop.Loop
	rng     *rand.Rand
	clients []*client
	blocks  *blockAllocator
	written writeHistory
	streams []*stream // by kind of traffic

	volumeRates []float64 // of the plans, by volume
	totalRate   float64   // sum of volumeRates

	pending int // ops that have not ended
	stopped bool
	onIdle  func() // called once the load is stopped and no op is pending
}

// Start begins a load; it runs until Stop.
func Start(l *eventloop.Loop, options Options) *Generator {
	s := options.Settings
	g := &Generator{
		RateFactor: map[uint32]float64{},
		ByType:     newTallies(len(s.OpTypes)),
		options:    options,
		loop:       l,
		rng:        rand.New(rand.NewSource(options.Seed)),
		blocks:     newBlockAllocator(&s.Volumes),
	}
	for i := range s.Volumes.List {
		rate := s.Plans.List[s.PlanIndex(s.Volumes.List[i].Plan)].Rate
		g.volumeRates = append(g.volumeRates, rate)
		g.totalRate += rate
	}
	for _, target := range options.Targets {
		for i := range options.Clients {
			c := &client{generator: g, target: target, index: i}
			g.clients = append(g.clients, c)
			c.connect()
		}
	}
	for i := range options.Traffic {
		stream := newStream(g, &options.Traffic[i])
		g.streams = append(g.streams, stream)
		stream.scheduleNext(l.Now())
	}
	return g
}

// Stop ends the arrivals and calls onIdle once every op has ended.
func (g *Generator) Stop(onIdle func()) {
	g.stopped, g.onIdle = true, onIdle
	g.notifyIfIdle()
}

// Close closes the clients' connections.
func (g *Generator) Close() {
	for _, c := range g.clients {
		c.close()
	}
}

// Disconnect closes the connections of n clients in the midst of their ops; they connect again later.
func (g *Generator) Disconnect(n int) {
	for _, i := range g.rng.Perm(len(g.clients))[:min(n, len(g.clients))] {
		g.clients[i].disconnect()
	}
}

// OpTypes are the names of the op types, in the order of ByType.
func (g *Generator) OpTypes() []string {
	var names []string
	for i := range g.options.Settings.OpTypes {
		names = append(names, g.options.Settings.OpTypes[i].Name)
	}
	return names
}

// opEnded takes an op off the pending ones.
func (g *Generator) opEnded() {
	g.pending--
	g.notifyIfIdle()
}

func (g *Generator) notifyIfIdle() {
	if !g.stopped || g.pending > 0 || g.onIdle == nil {
		return
	}
	onIdle := g.onIdle
	g.onIdle = nil
	onIdle()
}

// rateOf is the present rate of a volume.
func (g *Generator) rateOf(volume int) float64 {
	rate := g.volumeRates[volume]
	if factor, ok := g.RateFactor[g.options.Settings.Volumes.List[volume].NSID]; ok {
		return rate * factor
	}
	return rate
}

// presentRate is the sum of the present rates of all volumes.
func (g *Generator) presentRate() float64 {
	sum := 0.0
	for volume := range g.volumeRates {
		sum += g.rateOf(volume)
	}
	return sum
}

// drawVolume draws a volume by the present rates.
func (g *Generator) drawVolume() int {
	x := g.rng.Float64() * g.presentRate()
	for volume := range g.volumeRates {
		if x -= g.rateOf(volume); x < 0 {
			return volume
		}
	}
	return 0
}
