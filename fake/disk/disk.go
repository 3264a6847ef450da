// Package disk is a stand-in for a disk server: it speaks the same NVMe/TCP subset, has cores, a bounded
// queue and service times, and goes wrong on command. It keeps what is written. All of it runs on the loop it
// is given; its figures are a stand-in's and say nothing about real disks.
package disk

import (
	"encoding/binary"
	"math/rand"
	"slices"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
	"honeyplank/settings"
	"honeyplank/target"
)

// Model is what a stand-in is like.
type Model struct {
	settings.FakeServers
	Block          int
	Unit           int
	Extent         int64
	ColdCapacity   float64 // part of its capacity at a start
	ColdTime       time.Duration
	OverloadWindow time.Duration // it falls over when sent Multiple of its capacity for so long
	OverloadFactor float64
	Meter          *Meter
	Target         target.Settings
	Tap            func() func(sent bool, b []byte)
	OnConnection   func(*eventloop.Conn)
}

// Faults are what is wrong with a server now.
type Faults struct {
	Silent       bool    // hears and answers nothing, though connections are accepted
	NoHandshake  bool    // new connections get no handshake
	SlowFactor   float64 // times the service time; 0: as usual
	FailShare    float64 // share of ops that fail at once
	LoseShare    float64 // share of answers that never leave
	Truncate     bool    // the next answer with data breaks off in its middle
	StaleReports bool    // load reports stand still
	Draining     bool    // turns new ops away
}

// Server is one stand-in. Its fields may be used on its loop only.
type Server struct {
	Faults     Faults
	Overloaded bool          // pushed over when cold
	Started    time.Duration // last start, by the loop's clock; 0: long ago

	m       Model
	loop    *eventloop.Loop
	rng     *rand.Rand
	server  *target.Server
	address string
	busy    int
	queue   []*target.Command
	frozen  time.Duration // nothing starts before
	debt    time.Duration // put-off work of writes
	near    []uint64      // extents served last, newest first
	blocks  map[blockID][]byte
	got     []arrival // units received within the window
	life    int       // counts starts: what an earlier life began is void
	load    nvme.Load
	recent  float64 // mean service time in seconds
	seen    map[volumeHost]float64
	served  map[uint32]float64
}

type blockID struct {
	nsid uint32
	lba  uint64
}

type arrival struct {
	at    time.Duration
	units float64
}

type volumeHost struct {
	nsid uint32
	host string
}

// New starts a warm server at an address, port 0 for any.
func New(l *eventloop.Loop, address string, m Model, seed int64) (*Server, error) {
	s := &Server{m: m, loop: l, rng: rand.New(rand.NewSource(seed)), blocks: map[blockID][]byte{}, address: address,
		seen: map[volumeHost]float64{}, served: map[uint32]float64{}}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.every(m.DeferredWorkEvery.Duration(), func() {
		s.frozen, s.debt = max(s.frozen, l.Now()+s.debt), 0
	})
	s.every(m.PauseEvery.Duration(), func() { s.frozen = max(s.frozen, l.Now()+m.Pause.Duration()) })
	s.every(m.ReportInterval.Duration(), func() {
		if !s.Faults.StaleReports {
			s.report()
		}
	})
	return s, nil
}

func (s *Server) listen() (err error) {
	if s.server, err = target.Listen(s.loop, s.address, s.m.Target, s); err == nil {
		s.address, s.server.Tap, s.server.OnConnect = s.server.Address(), s.m.Tap, s.m.OnConnection
	}
	return err
}

// every runs f about so often.
func (s *Server) every(span time.Duration, f func()) {
	if span > 0 {
		next := time.Duration(float64(span) * (0.75 + s.rng.Float64()/2))
		s.loop.Schedule(s.loop.Now()+next, func() { f(); s.dispatchQueued(); s.every(span, f) })
	}
}

// Address is where it listens, the same over all its starts.
func (s *Server) Address() string { return s.address }

// Kill ends the server as the death of its process; what it keeps on disk stays.
func (s *Server) Kill() {
	s.server.Kill()
	s.life++
	s.queue, s.busy, s.got, s.debt, s.frozen = nil, 0, nil, 0, 0
}

// Start starts it again, cold.
func (s *Server) Start() error {
	s.Faults, s.Started = Faults{}, s.loop.Now()
	return s.listen()
}

// Adopt makes a new server the replacement of one that is dead: it holds the same data and starts cold now.
func (s *Server) Adopt(old *Server) { s.blocks, s.Started = old.blocks, s.loop.Now() }

// Stall has nothing start for a time.
func (s *Server) Stall(span time.Duration) { s.frozen = max(s.frozen, s.loop.Now()+span) }

// SetFaults makes faults act.
func (s *Server) SetFaults(f Faults) {
	s.Faults = f
	s.server.DropAllInput, s.server.DropNewInput = f.Silent, f.NoHandshake
	if f.NoHandshake {
		s.server.AbortConnections()
	}
	s.dispatchQueued()
}

// CapacityAt is what it can do so long after a start, in units a second.
func (s *Server) CapacityAt(age time.Duration) float64 {
	return float64(s.m.Cores) / s.m.UnitServiceTime.Duration().Seconds() * s.part(age)
}

// part is how much of its capacity it has so long after a start.
func (s *Server) part(age time.Duration) float64 {
	return s.m.ColdCapacity + (1-s.m.ColdCapacity)*min(1, max(0, float64(age)/float64(s.m.ColdTime)))
}

func (s *Server) warm(at time.Duration) float64 {
	if s.Started == 0 || s.m.ColdTime <= 0 {
		return 1
	}
	return s.part(at - s.Started)
}

func (s *Server) units(c *target.Command) float64 {
	return float64(max((c.Bytes+s.m.Unit-1)/s.m.Unit, 1))
}

// Admit receives an op. All of it counts for a cold server, also what is turned away.
func (s *Server) Admit(c *target.Command) {
	now := s.loop.Now()
	if s.cold(now, s.units(c)) {
		s.Overloaded = true
		s.Kill()
		return
	}
	switch {
	case s.Faults.Draining || len(s.queue) >= s.m.QueueLimit:
		c.Complete(nvme.Rejected, 0, 0, nil)
		s.server.Release(c.Data)
	case s.rng.Float64() < s.Faults.FailShare:
		c.Complete(nvme.InternalError, 0, 0, nil)
		s.server.Release(c.Data)
	default:
		s.queue = append(s.queue, c)
		s.dispatchQueued()
	}
}

// cold tells whether units more push a cold server over.
func (s *Server) cold(now time.Duration, units float64) bool {
	if s.Started == 0 || s.m.OverloadFactor <= 0 || now > s.Started+s.m.ColdTime+s.m.OverloadWindow {
		return false
	}
	s.got = append(s.got, arrival{now, units})
	for s.got[0].at < now-s.m.OverloadWindow {
		s.got = s.got[1:]
	}
	sum := 0.0
	for _, a := range s.got {
		sum += a.units
	}
	return sum > s.m.OverloadFactor*s.CapacityAt(now-s.Started)*s.m.OverloadWindow.Seconds()
}

// ClientGone drops an op whose connection has gone, if it still waits.
func (s *Server) ClientGone(c *target.Command) {
	if i := slices.Index(s.queue, c); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.server.Release(c.Data)
	}
}

// Log returns the load log page.
func (s *Server) Log(id uint8) ([]byte, bool) {
	if id != nvme.LogLoad {
		return nil, false
	}
	return nvme.AppendLoad(nil, s.load), true
}

// dispatchQueued has free cores begin what waits, in turn of arrival.
func (s *Server) dispatchQueued() {
	now := s.loop.Now()
	for !s.Faults.Silent && now >= s.frozen && s.busy < s.m.Cores && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		took, life := s.cost(c), s.life
		s.loop.Schedule(now+took, func() {
			if s.life == life {
				s.busy--
				s.finish(c, took)
				s.dispatchQueued()
			}
		})
	}
	if now < s.frozen && len(s.queue) > 0 {
		life := s.life
		s.loop.Schedule(s.frozen, func() {
			if s.life == life {
				s.dispatchQueued()
			}
		})
	}
}

// cost is how long an op takes to serve.
func (s *Server) cost(c *target.Command) time.Duration {
	full := float64(s.m.UnitServiceTime.Duration()) * s.units(c) * (1 + s.m.ServiceTimeSpread*(2*s.rng.Float64()-1)) / s.warm(s.loop.Now())
	if s.Faults.SlowFactor > 0 {
		full *= s.Faults.SlowFactor
	}
	extent := uint64(c.NSID())<<40 | uint64(int64(c.SLBA())*int64(s.m.Block)/s.m.Extent)
	if i := slices.Index(s.near, extent); i >= 0 {
		full *= 1 - s.m.CacheSaving
		s.near = slices.Delete(s.near, i, i+1)
	}
	s.near = slices.Insert(s.near, 0, extent)
	s.near = s.near[:min(len(s.near), s.m.CachedExtents)]
	if c.Opcode() == nvme.Write {
		s.debt += time.Duration(full * s.m.DeferredShare)
		full *= 1 - s.m.DeferredShare
	}
	return time.Duration(full)
}

// finish carries an op out and answers it.
func (s *Server) finish(c *target.Command, took time.Duration) {
	s.recent += (took.Seconds() - s.recent) / 8
	if s.m.ReportInterval == 0 {
		s.report()
	}
	var data []byte
	if c.Opcode() == nvme.Write {
		for at := 0; at < len(c.Data); at += s.m.Block {
			id := blockID{c.NSID(), c.SLBA() + uint64(at/s.m.Block)}
			s.blocks[id] = append(s.blocks[id][:0], c.Data[at:at+s.m.Block]...)
		}
		s.server.Release(c.Data)
		c.Data = nil
	} else {
		data = s.server.Buffers.Get(c.Bytes)
		for at := 0; at < c.Bytes; at += s.m.Block {
			lba := c.SLBA() + uint64(at/s.m.Block)
			if b, ok := s.blocks[blockID{c.NSID(), lba}]; ok {
				copy(data[at:], b)
			} else {
				Fill(data[at:at+s.m.Block], c.NSID(), lba)
			}
		}
	}
	defer s.server.Release(data)
	units := s.units(c)
	key := volumeHost{c.NSID(), c.Host}
	s.served[c.NSID()] += units
	elsewhere := s.served[c.NSID()] - s.seen[key] - units
	s.seen[key] = s.served[c.NSID()]
	used := 0
	if s.m.Meter != nil {
		used = s.m.Meter.Serve(s.loop.Now(), c.NSID(), units)
	}
	switch {
	case s.Faults.Silent || s.rng.Float64() < s.Faults.LoseShare:
	case s.Faults.Truncate && len(data) > 0:
		s.Faults.Truncate = false
		c.Truncate(data)
	default:
		l := s.load
		l.Used, l.Elsewhere = uint16(used), uint16(min(max(elsewhere, 0), 65535))
		dw0, dw1 := l.Dwords()
		c.Complete(nvme.Success, dw0, dw1, data)
	}
}

func (s *Server) report() {
	s.load = nvme.Load{Latency: uint16(min(s.recent*10000, 65535)), Inflight: uint16(min(s.busy+len(s.queue), 65535))}
}

// Fill writes what a block holds that was never written: its namespace and number, over and over.
func Fill(block []byte, nsid uint32, lba uint64) {
	for at := 0; at+16 <= len(block); at += 16 {
		binary.LittleEndian.PutUint64(block[at:], uint64(nsid))
		binary.LittleEndian.PutUint64(block[at+8:], lba)
	}
}

// Meter counts what volumes are served by all servers that share it, on one loop, by periods.
type Meter struct {
	Period time.Duration
	Rate   func(nsid uint32) float64 // the plan's rate in units a second
	now    int64
	this   map[uint32]float64
	last   map[uint32]float64
}

// Serve counts units and returns 1 + the percent of its rate that the volume had in the last finished period.
func (m *Meter) Serve(at time.Duration, nsid uint32, units float64) int {
	if m.Period <= 0 {
		return 0
	}
	if n := int64(at / m.Period); n != m.now || m.this == nil {
		m.last = m.this
		if n != m.now+1 {
			m.last = nil
		}
		m.now, m.this = n, map[uint32]float64{}
	}
	m.this[nsid] += units
	if rate := m.Rate(nsid); rate > 0 && m.last != nil {
		return 1 + int(min(100*m.last[nsid]/(rate*m.Period.Seconds()), 65534))
	}
	return 0
}
