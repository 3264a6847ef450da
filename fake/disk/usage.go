package disk

import "time"

// volumeUsage counts the units that a server has served for each volume, and how many of them have been reported to
// each host.
type volumeUsage struct {
	served   map[uint32]float64     // units, by nsid
	reported map[volumeHost]float64 // value of served at the time of the last answer to the host
}

type volumeHost struct {
	nsid uint32
	host string
}

func newVolumeUsage() volumeUsage {
	return volumeUsage{served: map[uint32]float64{}, reported: map[volumeHost]float64{}}
}

// servedElsewhere counts units that are served to a host. It returns the units of the volume that were served to other
// hosts since the last answer to this host.
func (u *volumeUsage) servedElsewhere(nsid uint32, host string, units float64) float64 {
	u.served[nsid] += units
	key := volumeHost{nsid, host}
	elsewhere := u.served[nsid] - u.reported[key] - units
	u.reported[key] = u.served[nsid]
	return elsewhere
}

// Meter counts, for each period, the units that all servers sharing it serve for each volume. These servers run on one
// loop.
type Meter struct {
	// Period is the length of a period; if it is 0, nothing is counted.
	Period time.Duration
	// Rate returns the rate of a volume's plan, in units per second.
	Rate func(nsid uint32) float64

	periodNumber int64              // of the current period
	current      map[uint32]float64 // units, by nsid
	previous     map[uint32]float64 // nil if nothing was counted in the previous period
}

// maxUsagePercent limits the percentage, so that the result of Record, which is 1 larger, fits in 16 bits.
const maxUsagePercent = 65534

// Record counts units that are served for a volume at a time of the loop's clock. It returns 1 + the usage of the
// volume in the previous period, as a percentage of its plan's rate, or 0 if that usage is unknown.
func (m *Meter) Record(at time.Duration, nsid uint32, units float64) int {
	if m.Period <= 0 {
		return 0
	}
	if periodNumber := int64(at / m.Period); periodNumber != m.periodNumber || m.current == nil {
		m.previous = m.current
		if periodNumber != m.periodNumber+1 {
			m.previous = nil
		}
		m.periodNumber, m.current = periodNumber, map[uint32]float64{}
	}
	m.current[nsid] += units
	rate := m.Rate(nsid)
	if rate <= 0 || m.previous == nil {
		return 0
	}
	percent := 100 * m.previous[nsid] / (rate * m.Period.Seconds())
	return 1 + int(min(percent, maxUsagePercent))
}
