package disk

import (
	"math"
	"slices"
	"time"

	"honeyplank/nvme"
	"honeyplank/target"
)

// recentWeight is the weight of one service time in the moving average.
const recentWeight = 1.0 / 8

// Admit takes an op. A cold server counts each, also those that it rejects. The target calls it.
func (s *Server) Admit(c *target.Command) {
	if s.overloadedBy(s.units(c)) {
		s.Overloaded = true
		s.Kill()
		return
	}
	switch {
	case s.Faults.Draining || len(s.process.queue) >= s.model.QueueLimit:
		s.refuse(c, nvme.Rejected)
	case s.rng.Float64() < s.Faults.FailShare:
		s.refuse(c, nvme.InternalError)
	default:
		s.process.queue = append(s.process.queue, c)
		s.beginQueued()
	}
}

// refuse answers an op that is not served.
func (s *Server) refuse(c *target.Command, status nvme.Status) {
	c.Complete(status, 0, 0, nil)
	s.target.Release(c.Data)
}

// ClientGone drops an op whose connection has ended, if it is queued. The target calls it.
func (s *Server) ClientGone(c *target.Command) {
	if i := slices.Index(s.process.queue, c); i >= 0 {
		s.process.queue = slices.Delete(s.process.queue, i, i+1)
		s.target.Release(c.Data)
	}
}

// beginQueued has free cores begin queued ops, in the order of their arrival.
func (s *Server) beginQueued() {
	p := &s.process
	now := s.loop.Now()
	for !s.Faults.Silent && now >= p.stalledUntil && p.busyCores < s.model.Cores && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		s.begin(c)
	}
	if now < p.stalledUntil && len(p.queue) > 0 {
		s.loop.Schedule(p.stalledUntil, s.beginQueued)
	}
}

// begin serves an op on a free core.
func (s *Server) begin(c *target.Command) {
	s.process.busyCores++
	serviceTime, generation := s.serviceTime(c), s.generation
	s.loop.Schedule(s.loop.Now()+serviceTime, func() {
		if s.generation != generation { // the server was killed
			return
		}
		s.process.busyCores--
		s.finish(c, serviceTime)
		s.beginQueued()
	})
}

// units is the size of an op.
func (s *Server) units(c *target.Command) float64 {
	return float64(max((c.Bytes+s.model.Unit-1)/s.model.Unit, 1))
}

// serviceTime is how long an op takes on a core. The work of a write that is deferred is left out.
func (s *Server) serviceTime(c *target.Command) time.Duration {
	spread := 1 + s.model.ServiceTimeSpread*(2*s.rng.Float64()-1)
	full := float64(s.model.UnitServiceTime.Duration()) * s.units(c) * spread / s.presentCapacity()
	if s.Faults.SlowFactor > 0 {
		full *= s.Faults.SlowFactor
	}
	if s.touchCache(c) {
		full *= 1 - s.model.CacheSaving
	}
	if c.Opcode() == nvme.Write {
		s.process.deferredWork += time.Duration(full * s.model.DeferredShare)
		full *= 1 - s.model.DeferredShare
	}
	return time.Duration(full)
}

// touchCache puts the extent of an op first among the cached ones, and reports whether it was cached.
func (s *Server) touchCache(c *target.Command) bool {
	const extentBits = 40 // of the number of an extent, below the namespace
	extent := uint64(c.NSID())<<extentBits | uint64(int64(c.SLBA())*int64(s.model.Block)/s.model.Extent)
	i := slices.Index(s.cached, extent)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = slices.Insert(s.cached, 0, extent)
	s.cached = s.cached[:min(len(s.cached), s.model.CachedExtents)]
	return i >= 0
}

// doDeferredWork has the deferred work of writes stall the server.
func (s *Server) doDeferredWork() {
	s.PauseFor(s.process.deferredWork)
	s.process.deferredWork = 0
}

// finish carries an op out and answers it.
func (s *Server) finish(c *target.Command, serviceTime time.Duration) {
	s.recent += (serviceTime.Seconds() - s.recent) * recentWeight
	if s.model.ReportInterval == 0 {
		s.reportLoad()
	}
	data := s.carryOut(c)
	defer s.target.Release(data)
	report := s.answerLoad(c)
	switch {
	case s.Faults.Silent || s.rng.Float64() < s.Faults.DropShare:
	case s.Faults.Truncate && len(data) > 0:
		s.Faults.Truncate = false
		c.Truncate(data)
	default:
		dw0, dw1 := report.Dwords()
		c.Complete(nvme.Success, dw0, dw1, data)
	}
}

// carryOut writes or reads. It returns the data of a read, in a buffer of the target.
func (s *Server) carryOut(c *target.Command) []byte {
	if c.Opcode() == nvme.Write {
		s.storage.write(c.NSID(), c.SLBA(), c.Data)
		s.target.Release(c.Data)
		c.Data = nil
		return nil
	}
	data := s.target.Buffers.Get(c.Bytes)
	s.storage.read(c.NSID(), c.SLBA(), data)
	return data
}

// answerLoad counts the usage of an op's volume and returns the load report of its answer.
func (s *Server) answerLoad(c *target.Command) nvme.Load {
	units := s.units(c)
	report := s.load
	report.UnitsElsewhere = clampUint16(s.usage.servedElsewhere(c.NSID(), c.Host, units))
	report.PlanUsage = 0
	if s.model.Meter != nil {
		report.PlanUsage = uint16(s.model.Meter.Record(s.loop.Now(), c.NSID(), units))
	}
	return report
}

// clampUint16 is a number as a uint16, at its bounds where it is beyond.
func clampUint16(x float64) uint16 { return uint16(min(max(x, 0), math.MaxUint16)) }
