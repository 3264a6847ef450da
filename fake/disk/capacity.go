package disk

import "time"

// arrival is units received at a time.
type arrival struct {
	at    time.Duration
	units float64
}

// CapacityAt is what the server can do at an age, the time since its start, in units a second.
func (s *Server) CapacityAt(age time.Duration) float64 {
	return float64(s.model.Cores) / s.model.UnitServiceTime.Duration().Seconds() * s.capacityPart(age)
}

// capacityPart is the part of its capacity that it has at an age.
func (s *Server) capacityPart(age time.Duration) float64 {
	warmth := min(1, max(0, float64(age)/float64(s.model.ColdTime)))
	return s.model.ColdCapacity + (1-s.model.ColdCapacity)*warmth
}

// presentCapacity is the part of its capacity that it has now.
func (s *Server) presentCapacity() float64 {
	if s.Started == 0 || s.model.ColdTime <= 0 {
		return 1
	}
	return s.capacityPart(s.loop.Now() - s.Started)
}

// overloadedBy counts units that are received, and reports whether they overload a cold server.
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
