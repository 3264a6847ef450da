package disk

import (
	"math"
	"slices"
	"time"

	"honeyplank/nvme"
	"honeyplank/target"
)

// serviceTimeWeight is the weight of a new service time in the moving average.
const serviceTimeWeight = 1.0 / 8

// Admit queues, rejects or fails an op. On a cold server, rejected and failed ops also count towards overload. The
// target calls it.
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

// refuse answers an op with a status without serving it.
func (s *Server) refuse(c *target.Command, status nvme.Status) {
	c.Complete(status, 0, 0, nil)
	s.target.Release(c.Data)
}

// ClientGone removes an op from the queue, if it is still there, because its connection has ended. The target calls it.
func (s *Server) ClientGone(c *target.Command) {
	if i := slices.Index(s.process.queue, c); i >= 0 {
		s.process.queue = slices.Delete(s.process.queue, i, i+1)
		s.target.Release(c.Data)
	}
}

// beginQueued begins queued ops on free cores, in the order of their arrival. During a pause, it schedules itself for
// the end of the pause.
func (s *Server) beginQueued() {
	p := &s.process
	now := s.loop.Now()
	for !s.Faults.Silent && now >= p.pausedUntil && p.busyCores < s.model.Cores && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		s.begin(c)
	}
	if now < p.pausedUntil && len(p.queue) > 0 {
		s.loop.Schedule(p.pausedUntil, s.beginQueued)
	}
}

// begin serves an op on a free core and finishes it after its service time.
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

// units returns the size of an op in units, rounded up and at least 1.
func (s *Server) units(c *target.Command) float64 {
	return float64(max((c.Bytes+s.model.Unit-1)/s.model.Unit, 1))
}

// serviceTime returns the time that an op takes on a core. For a write, it adds the deferred share to the deferred work
// and leaves it out of the result.
func (s *Server) serviceTime(c *target.Command) time.Duration {
	spread := 1 + s.model.ServiceTimeSpread*(2*s.rng.Float64()-1)
	full := float64(s.model.UnitServiceTime.Duration()) * s.units(c) * spread / s.currentCapacityFraction()
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

// touchCache moves the extent of an op to the front of the cache, and reports whether it was cached before.
func (s *Server) touchCache(c *target.Command) bool {
	const extentBits = 40 // the bits of the extent number, below those of the namespace ID
	extent := uint64(c.NSID())<<extentBits | uint64(int64(c.SLBA())*int64(s.model.Block)/s.model.Extent)
	i := slices.Index(s.cached, extent)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = slices.Insert(s.cached, 0, extent)
	s.cached = s.cached[:min(len(s.cached), s.model.CachedExtents)]
	return i >= 0
}

// runDeferred pauses the server for the time of the deferred work of writes.
func (s *Server) runDeferred() {
	s.PauseFor(s.process.deferredWork)
	s.process.deferredWork = 0
}

// finish executes an op and answers it, unless a fault drops or truncates the answer.
func (s *Server) finish(c *target.Command, serviceTime time.Duration) {
	s.averageServiceTime += (serviceTime.Seconds() - s.averageServiceTime) * serviceTimeWeight
	if s.model.ReportInterval == 0 {
		s.reportLoad()
	}
	data := s.execute(c)
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

// execute writes or reads the blocks of an op. It returns the data of a read, in a buffer of the target that the caller
// releases.
func (s *Server) execute(c *target.Command) []byte {
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

// answerLoad counts the usage of an op's volume and returns the load report for its answer.
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

// clampUint16 converts a number to uint16. Numbers outside the range become the nearest bound.
func clampUint16(x float64) uint16 { return uint16(min(max(x, 0), math.MaxUint16)) }
