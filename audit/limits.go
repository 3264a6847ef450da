package audit

import (
	"slices"
	"time"

	"honeyplank/settings"
)

// checkLimits checks that no volume is served more than the limit of its plan. The limit is a token bucket that counts
// the first dispatch of each op.
func (c *checker) checkLimits() {
	plans := map[uint32]*settings.Plan{}
	for _, volume := range c.settings.Volumes.List {
		plans[volume.NSID] = &c.settings.Plans.List[c.settings.PlanIndex(volume.Plan)]
	}
	firsts := map[uint32][]*dispatchRecord{}
	for _, op := range c.order {
		if plan := plans[op.nsid]; plan != nil && plan.Limit > 0 && len(op.dispatches) > 0 {
			firsts[op.nsid] = append(firsts[op.nsid], op.dispatches[0])
		}
	}
	for nsid, dispatches := range firsts {
		c.checkLimit(nsid, plans[nsid], dispatches)
	}
}

// checkLimit checks the first dispatches of a volume's ops against the limit of its plan.
func (c *checker) checkLimit(nsid uint32, plan *settings.Plan, dispatches []*dispatchRecord) {
	slices.SortFunc(dispatches, byTime)
	bucket, refilledAt := plan.Burst, time.Duration(0)
	for _, dispatch := range dispatches {
		c.verdict.Checked++
		bucket = min(plan.Burst, bucket+plan.Limit*(dispatch.at-refilledAt).Seconds()) - c.units(dispatch.op)
		refilledAt = dispatch.at
		if bucket < -plan.Slack-plan.Limit*timeTolerance.Seconds() {
			c.recordViolation("volume %d was served %.1f units past its limit at %v", nsid, -bucket, dispatch.at)
		}
	}
}
