package disk

import "time"

// volumeUsage is what a server has served of each volume, and what each host knows of that.
type volumeUsage struct {
	served map[uint32]float64     // units, by nsid
	known  map[volumeHost]float64 // of served, as of the host's last answer
}

type volumeHost struct {
	nsid uint32
	host string
}

func newVolumeUsage() volumeUsage {
	return volumeUsage{served: map[uint32]float64{}, known: map[volumeHost]float64{}}
}

// servedElsewhere counts units that a host is served, and returns the units of the volume that others were served since
// the host's last answer.
func (u *volumeUsage) servedElsewhere(nsid uint32, host string, units float64) float64 {
	u.served[nsid] += units
	key := volumeHost{nsid, host}
	elsewhere := u.served[nsid] - u.known[key] - units
	u.known[key] = u.served[nsid]
	return elsewhere
}

// Meter counts what volumes are served by all servers that share it, on one loop, by periods.
type Meter struct {
	Period time.Duration
	// Rate is the rate of a volume's plan, in units a second.
	Rate func(nsid uint32) float64

	number   int64 // of the present period
	present  map[uint32]float64
	previous map[uint32]float64 // nil: nothing was served in it
}

// maxUsagePercent is the largest usage that Record returns, less the 1 that it adds.
const maxUsagePercent = 65534

// Record counts units and returns 1 + the percentage of its rate that the volume was served in the previous period; 0:
// it is not known.
func (m *Meter) Record(at time.Duration, nsid uint32, units float64) int {
	if m.Period <= 0 {
		return 0
	}
	if number := int64(at / m.Period); number != m.number || m.present == nil {
		m.previous = m.present
		if number != m.number+1 {
			m.previous = nil
		}
		m.number, m.present = number, map[uint32]float64{}
	}
	m.present[nsid] += units
	rate := m.Rate(nsid)
	if rate <= 0 || m.previous == nil {
		return 0
	}
	percent := 100 * m.previous[nsid] / (rate * m.Period.Seconds())
	return 1 + int(min(percent, maxUsagePercent))
}
