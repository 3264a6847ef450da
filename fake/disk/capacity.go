package disk

import "time"

// arrival is a number of units and the time at which they were received.
type arrival struct {
	at    time.Duration
	units float64
}

// CapacityAt returns the capacity, in units per second, that a cold server has at the given age. The age is the time
// since its start.
func (s *Server) CapacityAt(age time.Duration) float64 {
	return float64(s.model.Cores) / s.model.UnitServiceTime.Duration().Seconds() * s.capacityFraction(age)
}

// capacityFraction returns the fraction of its full capacity that a cold server has at the given age.
func (s *Server) capacityFraction(age time.Duration) float64 {
	warmUpProgress := min(1, max(0, float64(age)/float64(s.model.ColdTime)))
	return s.model.ColdCapacity + (1-s.model.ColdCapacity)*warmUpProgress
}

// currentCapacityFraction returns the fraction of its full capacity that the server has now; it is 1 for a warm server.
func (s *Server) currentCapacityFraction() float64 {
	if s.Started == 0 || s.model.ColdTime <= 0 {
		return 1
	}
	return s.capacityFraction(s.loop.Now() - s.Started)
}

// overloadedBy counts received units and reports whether they overload a cold server.
func (s *Server) overloadedBy(units float64) bool {
	now := s.loop.Now()
	window := s.model.OverloadWindow
	if s.Started == 0 || s.model.OverloadFactor <= 0 || now > s.Started+s.model.ColdTime+window {
		return false
	}
	p := &s.process
	p.received = append(p.received, arrival{now, units})
	for p.received[0].at < now-window {
		p.received = p.received[1:]
	}
	sum := 0.0
	for _, a := range p.received {
		sum += a.units
	}
	return sum > s.model.OverloadFactor*s.CapacityAt(now-s.Started)*window.Seconds()
}
