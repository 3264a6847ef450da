// Package loadgen generates load for gateways, or for any server that implements the same NVMe/TCP subset. Its clients
// send Reads and Writes, time out and retry. The load is open-loop: ops arrive at their scheduled times even if earlier
// ones have no answer, and latency counts from the scheduled arrival, so that slow answers do not reduce the load or
// the measured latency (coordinated omission). The package counts results and does not evaluate them.
//
// A Generator runs on the event loop that is passed to Start. Start, the methods and the fields may be used only on the
// goroutine of that loop. The package starts no goroutine.
package loadgen

import (
	"math/rand"

	"honeyplank/eventloop"
	"honeyplank/settings"
)

// Options configure a Generator.
type Options struct {
	Settings *settings.Gateway
	Targets  []Target
	Traffic  []settings.Traffic
	// Clients is the number of clients of each target.
	Clients int
	// Retries is the largest number of retries of an op that was rejected.
	Retries int
	// Seed is the seed of all random draws.
	Seed int64
	// Digests enables header and data digests on all connections.
	Digests bool
	// CountedSeparately, if not nil, reports whether the utility of a client is also added to
	// Generator.CountedSeparately.
	CountedSeparately func(client int) bool
	// Expect, if not nil, fills block with the content that a block has before its first write. Read data is compared
	// with it, or with the written data if the read reads back a write. If Expect is nil, no read data is compared.
	Expect func(block []byte, nsid uint32, lba uint64)
}

// Target is a server to which clients connect.
type Target struct {
	Address   string
	Subsystem string
	// OnConnection, if not nil, is called with each new connection of a client.
	OnConnection func(client int, c *eventloop.Conn)
	// BeforeClose, if not nil, is called before Generator.Disconnect closes a client's connections.
	BeforeClose func()
}

// Generator generates load from Start until Stop.
type Generator struct {
	// RateFactor holds, by nsid, the factor by which the rate of a volume is multiplied. The default is 1.
	RateFactor map[uint32]float64
	// TimeoutFactor, if positive, sets the timeout of clients to this share of the op timeout. The commands then carry
	// the client's timeout.
	TimeoutFactor float64
	// ByType holds the results by op type, in the order of Settings.OpTypes.
	ByType []Tally
	// CountedSeparately is the utility of the clients that Options.CountedSeparately selects. ByType includes it too.
	CountedSeparately Utility

	options Options
	loop    *eventloop.Loop
	rng     *rand.Rand
	clients []*client
	blocks  *blockAllocator
	written writeHistory
	streams []*stream // by kind of traffic

	volumeRates []float64 // rate of the volume's plan, by volume
	totalRate   float64   // sum of volumeRates

	pending int // number of ops that have not ended
	stopped bool
	onIdle  func() // called once, when the load is stopped and no op is pending
}

// Start connects the clients and starts the arrivals of ops, which continue until Stop.
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

// Stop ends the arrivals and calls onIdle when every op has ended.
func (g *Generator) Stop(onIdle func()) {
	g.stopped, g.onIdle = true, onIdle
	g.notifyIfIdle()
}

// Close closes the associations of all clients.
func (g *Generator) Close() {
	for _, c := range g.clients {
		c.close()
	}
}

// Disconnect closes the associations of n randomly chosen clients, whose ops may be in flight. The clients connect
// again after reconnectDelay.
func (g *Generator) Disconnect(n int) {
	for _, i := range g.rng.Perm(len(g.clients))[:min(n, len(g.clients))] {
		g.clients[i].disconnect()
	}
}

// OpTypes returns the names of the op types, in the order of ByType.
func (g *Generator) OpTypes() []string {
	var names []string
	for i := range g.options.Settings.OpTypes {
		names = append(names, g.options.Settings.OpTypes[i].Name)
	}
	return names
}

// opEnded counts an op as ended. It is called once for each op.
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

// rateOf returns the current rate of a volume.
func (g *Generator) rateOf(volume int) float64 {
	rate := g.volumeRates[volume]
	if factor, ok := g.RateFactor[g.options.Settings.Volumes.List[volume].NSID]; ok {
		return rate * factor
	}
	return rate
}

// currentRate returns the sum of the current rates of all volumes.
func (g *Generator) currentRate() float64 {
	sum := 0.0
	for volume := range g.volumeRates {
		sum += g.rateOf(volume)
	}
	return sum
}

// drawVolume draws a volume at random, with probabilities in proportion to the current rates.
func (g *Generator) drawVolume() int {
	x := g.rng.Float64() * g.currentRate()
	for volume := range g.volumeRates {
		if x -= g.rateOf(volume); x < 0 {
			return volume
		}
	}
	return 0
}
