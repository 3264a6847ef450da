package policy

import (
	"cmp"
	"time"
)

// limitHeadroomShare is the share of a limit's bucket that is kept from an op type of no utility.
const limitHeadroomShare = 0.5

// noDispatchSince is since when nothing has left for a volume without a record, as far as is sure.
func (s *Scheduler) noDispatchSince() time.Duration { return max(s.startedAt, s.now-idleExpiry) }

// refillBuckets brings the volume's stores up to now. Of the limit this host counts an even part; of the reserve its
// part of what the volume is served, at least an even one: by the late total, or without a meter by what
// nodes say they served it through others.
func (s *Scheduler) refillBuckets(v *volume) {
	gap, hosts := (s.now - v.refilledAt).Seconds(), float64(v.schedulers)
	v.refilledAt = s.now
	reserve, limit := valueAt(s.settings.reserve, v.plan), valueAt(s.settings.limit, v.plan)
	part := reserve / hosts
	if v.servedEverywhere > 0 {
		v.servedHere.add(s.now, 0, s.usageMemory())
		part = max(part, reserve*min(1, v.servedHere.rate()/v.servedEverywhere))
	} else if s.settings.reportsServedElsewhere && s.settings.meterPeriod == 0 && v.servedHere.units > 0 {
		v.servedHere.add(s.now, 0, s.usageMemory())
		v.servedElsewhere.add(s.now, 0, s.usageMemory())
		part = max(part, reserve*v.servedHere.units/(v.servedHere.units+v.servedElsewhere.units))
	}
	v.reserve = min(v.reserve+gap*part, reserve+s.settings.largestUnits)
	v.limit = min(v.limit+gap*limit/hosts, s.bucketCapacity(v.plan, v.schedulers))
}

// bucketCapacity is what this host's part of a limit's store holds. What left a full one may be held up and arrive with what it
// was filled with since, so that much less is kept, unless the slack covers it. A largest op always fits if it did.
func (s *Scheduler) bucketCapacity(plan, hosts int) float64 {
	whole := valueAt(s.settings.burst, plan)
	less := max(0, holdUp.Seconds()*valueAt(s.settings.limit, plan)-valueAt(s.settings.slack, plan))
	whole, less = whole/float64(hosts), less/float64(hosts)
	return max(whole-less, min(whole, s.settings.largestUnits))
}

// usageMemory is how far back a host looks at what a volume is served.
func (s *Scheduler) usageMemory() time.Duration {
	return 2 * cmp.Or(s.settings.meterPeriod, s.settings.longestTarget)
}

// withinReserve tells whether an op is inside its volume's reserve, as far as this host's store of it lasts.
func (s *Scheduler) withinReserve(p *op) bool {
	s.refillBuckets(p.volume)
	return p.target > s.now && p.volume.reserve >= p.Units
}

// limitHeadroom is what the limit's store must hold for an op to leave: a part stays for op types of more utility,
// though a full store lets any op go. It guards against surges of cheap large ops that use up a limit which
// dearer ones then lack; it could harm where the dearer never come.
func (s *Scheduler) limitHeadroom(p *op) float64 {
	store := s.bucketCapacity(p.Plan, p.volume.schedulers)
	return max(p.Units, min(p.Units+limitHeadroomShare*valueAt(s.settings.utilityDeficit, p.Type)*store, store))
}

// volume counts what is due to a volume through this host.
type volume struct {
	plan             int
	schedulers       int
	reserve          float64 // units of the reserve left
	limit            float64 // units of this host's part of the limit left
	refilledAt       time.Duration
	servedHere       decayedRate    // units this host was served
	servedElsewhere  decayedRate    // units others were served, as answers tell
	servedEverywhere float64        // units a second served everywhere, by the late meter
	topServers       []rankedServer // the first of its ranking
	topComplete      bool           // best holds all that are on
	rankingEpoch     int            // those that best was made from
	joinedSeen       int
	openOps          int // ops taken and not over
	lastSeen         time.Duration
}
