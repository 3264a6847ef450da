package policy

import (
	"cmp"
	"time"

	"honeyplank"
)

// limitHeadroomShare is the share of a limit's bucket that is withheld from an op type without
// utility.
const limitHeadroomShare = 0.5

// volume is the record of a volume: the units that this instance may send for it, and its ranking
// of servers.
type volume struct {
	id              int64
	plan            int
	instances       int     // number of instances through which its ops come
	reserve         float64 // units in this instance's bucket of the reserve
	limit           float64 // units in this instance's bucket of the limit
	refilledAt      time.Duration
	servedHere      decayedRate    // units served through this instance
	servedElsewhere decayedRate    // units served through other instances, as answers report
	totalServedRate float64        // units a second through all instances, from the usage meter, which reports late
	topServers      []rankedServer // the first servers of its ranking
	topComplete     bool           // topServers holds every server that is up
	rankingEpoch    int            // epoch in which topServers was built
	joinedSeen      int            // number of joinedServers that topServers takes into account
	openOps         int            // ops admitted and not yet finished
	queues          []*volumeQueue // at the servers
	lastSeen        time.Duration
	lastDispatch    time.Duration // 0: nothing has been sent for it
	recency         recencyNode[volume]
}

// noDispatchSince returns a time since which this process has certainly dispatched nothing for a
// volume without a record.
func (e *Engine) noDispatchSince() time.Duration {
	return max(e.startedAt, e.now-idleExpiry, e.droppedDispatch)
}

// refillBuckets refills a volume's buckets up to the current time. The limit's bucket refills at an
// even share among the volume's instances, the reserve's bucket at reserveRefillRate.
func (e *Engine) refillBuckets(volume *volume) {
	elapsed, instances := (e.now - volume.refilledAt).Seconds(), float64(volume.instances)
	volume.refilledAt = e.now
	plan := e.settings.plan(volume.plan)
	refillRate := e.reserveRefillRate(volume, plan.Reserve)
	volume.reserve = min(volume.reserve+elapsed*refillRate, plan.Reserve+e.settings.LargestUnits)
	volume.limit = min(volume.limit+elapsed*plan.Limit/instances, e.bucketCapacity(plan, volume.instances))
}

// reserveRefillRate returns the part of a volume's reserve that this instance gets, in units a
// second. It is proportional to this instance's share of the units served to the volume, but at
// least an even share. The share of the units is computed from the total of the usage meter or,
// without a meter, from the units that servers report as served through other instances.
func (e *Engine) reserveRefillRate(volume *volume, reserve float64) float64 {
	evenShare := reserve / float64(volume.instances)
	if volume.totalServedRate > 0 {
		volume.servedHere.add(e.now, 0, e.usageMemory())
		return max(evenShare, reserve*min(1, volume.servedHere.rate()/volume.totalServedRate))
	}
	if e.settings.Usage.Elsewhere && e.settings.Usage.Period == 0 && volume.servedHere.units > 0 {
		volume.servedHere.add(e.now, 0, e.usageMemory())
		volume.servedElsewhere.add(e.now, 0, e.usageMemory())
		here, elsewhere := volume.servedHere.units, volume.servedElsewhere.units
		return max(evenShare, reserve*here/(here+elsewhere))
	}
	return evenShare
}

// bucketCapacity returns the capacity of this instance's bucket of a plan's limit, in units. Ops
// dispatched from a full bucket may be delayed by processPause and arrive together with ops
// dispatched from the refill since then. The capacity is reduced by that refill, unless the limit's
// slack covers it. A bucket that would hold one op of the largest size without the reduction still
// holds one.
func (e *Engine) bucketCapacity(plan *honeyplank.Plan, instances int) float64 {
	margin := max(0, processPause.Seconds()*plan.Limit-plan.Slack)
	burst, margin := plan.Burst/float64(instances), margin/float64(instances)
	return max(burst-margin, min(burst, e.settings.LargestUnits))
}

// usageMemory returns the time constant of the rates at which a volume is served.
func (e *Engine) usageMemory() time.Duration {
	return 2 * cmp.Or(e.settings.Usage.Period, e.settings.longestTarget)
}

// withinReserve reports whether the target latency of an op is not over yet and the reserve bucket
// of its volume covers the op.
func (e *Engine) withinReserve(op *op) bool {
	e.refillBuckets(op.volume)
	return op.target > e.now && op.volume.reserve >= op.Units
}

// limitHeadroom returns the number of units that the limit's bucket must hold for an op to be
// dispatched. A part of the bucket is withheld for op types with more utility, but a full bucket
// allows any op. This prevents surges of large ops with little utility from using up a limit that
// other ops then lack. Limitation: the withheld part stays unused if ops with more utility never
// come.
func (e *Engine) limitHeadroom(op *op) float64 {
	capacity := e.bucketCapacity(e.settings.plan(op.Plan), op.volume.instances)
	withheld := limitHeadroomShare * valueAt(e.settings.utilityDeficit, op.Type) * capacity
	return max(op.Units, min(op.Units+withheld, capacity))
}
