package policy

import (
	"cmp"
	"time"

	"honeyplank"
)

// limitHeadroomShare is the share of a limit's bucket that is kept from an op type of no utility.
const limitHeadroomShare = 0.5

// volume is the record of a volume: what this instance may send for it, and its ranking of servers.
type volume struct {
	plan             int
	instances        int     // instances through which its ops come
	reserve          float64 // units in this instance's bucket of the reserve
	limit            float64 // units in this instance's bucket of the limit
	refilledAt       time.Duration
	servedHere       decayedRate    // units served through this instance
	servedElsewhere  decayedRate    // units served through others, as answers report
	servedEverywhere float64        // units a second served through all, as the usage meter reports late
	topServers       []rankedServer // the first servers of its ranking
	topComplete      bool           // topServers holds every server that is up
	rankingEpoch     int            // that topServers was made in
	joinedSeen       int            // joinedServers that topServers has taken in
	openOps          int            // ops admitted and not yet finished
	lastSeen         time.Duration
}

// noDispatchSince is the time since when nothing was dispatched for a volume without a record, as
// far as is certain.
func (e *Engine) noDispatchSince() time.Duration { return max(e.startedAt, e.now-idleExpiry) }

// refillBuckets brings a volume's buckets up to now. The limit's bucket fills at an even share
// among the volume's instances, the reserve's at the share of reserveRefillRate.
func (e *Engine) refillBuckets(volume *volume) {
	elapsed, instances := (e.now - volume.refilledAt).Seconds(), float64(volume.instances)
	volume.refilledAt = e.now
	plan := e.settings.plan(volume.plan)
	refillRate := e.reserveRefillRate(volume, plan.Reserve)
	volume.reserve = min(volume.reserve+elapsed*refillRate, plan.Reserve+e.settings.LargestUnits)
	volume.limit = min(volume.limit+elapsed*plan.Limit/instances, e.bucketCapacity(plan, volume.instances))
}

// reserveRefillRate is this instance's share of a volume's reserve, in units a second: its share of
// what the volume is served, and an even one at least. It is known from the usage meter's total, or
// without a meter from what servers report to have served through other instances.
func (e *Engine) reserveRefillRate(volume *volume, reserve float64) float64 {
	evenShare := reserve / float64(volume.instances)
	if volume.servedEverywhere > 0 {
		volume.servedHere.add(e.now, 0, e.usageMemory())
		return max(evenShare, reserve*min(1, volume.servedHere.rate()/volume.servedEverywhere))
	}
	if e.settings.Usage.Elsewhere && e.settings.Usage.Period == 0 && volume.servedHere.units > 0 {
		volume.servedHere.add(e.now, 0, e.usageMemory())
		volume.servedElsewhere.add(e.now, 0, e.usageMemory())
		here, elsewhere := volume.servedHere.units, volume.servedElsewhere.units
		return max(evenShare, reserve*here/(here+elsewhere))
	}
	return evenShare
}

// bucketCapacity is the capacity of this instance's bucket of a plan's limit, in units. What is
// dispatched from a full bucket may be delayed by holdUp and arrive together with what refilled it
// since: the capacity is less by that, unless the limit's slack covers it. It still holds one op of
// the largest size if the whole bucket does.
func (e *Engine) bucketCapacity(plan *honeyplank.Plan, instances int) float64 {
	margin := max(0, holdUp.Seconds()*plan.Limit-plan.Slack)
	burst, margin := plan.Burst/float64(instances), margin/float64(instances)
	return max(burst-margin, min(burst, e.settings.LargestUnits))
}

// usageMemory is the time constant of the rates at which a volume is served.
func (e *Engine) usageMemory() time.Duration {
	return 2 * cmp.Or(e.settings.Usage.Period, e.settings.longestTarget)
}

// withinReserve reports whether an op is before its target latency and its volume's bucket of the
// reserve covers it.
func (e *Engine) withinReserve(op *op) bool {
	e.refillBuckets(op.volume)
	return op.target > e.now && op.volume.reserve >= op.Units
}

// limitHeadroom is how many units the limit's bucket must hold for an op to be dispatched: a part
// is kept for op types of more utility, though a full bucket allows any op. It guards against
// surges of large ops of little utility that use up a limit which others then lack. It could harm
// where ops of more utility never come.
func (e *Engine) limitHeadroom(op *op) float64 {
	capacity := e.bucketCapacity(e.settings.plan(op.Plan), op.volume.instances)
	kept := limitHeadroomShare * valueAt(e.settings.utilityDeficit, op.Type) * capacity
	return max(op.Units, min(op.Units+kept, capacity))
}
