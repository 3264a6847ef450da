package audit

import (
	"slices"
	"time"

	"honeyplank/settings"
)

// checkLimits checks that no volume is served more than the limit of its plan: a token bucket of its first dispatches.
func (j *judge) checkLimits() {
	plans := map[uint32]*settings.Plan{}
	for _, volume := range j.settings.Volumes.List {
		plans[volume.NSID] = &j.settings.Plans.List[j.settings.PlanIndex(volume.Plan)]
	}
	firsts := map[uint32][]*dispatchRecord{}
	for _, op := range j.order {
		if plan := plans[op.nsid]; plan != nil && plan.Limit > 0 && len(op.dispatches) > 0 {
			firsts[op.nsid] = append(firsts[op.nsid], op.dispatches[0])
		}
	}
	for nsid, dispatches := range firsts {
		j.checkLimit(nsid, plans[nsid], dispatches)
	}
}

// checkLimit checks the first dispatches of a volume's ops.
func (j *judge) checkLimit(nsid uint32, plan *settings.Plan, dispatches []*dispatchRecord) {
	slices.SortFunc(dispatches, byTime)
	bucket, refilledAt := plan.Burst, time.Duration(0)
	for _, dispatch := range dispatches {
		j.verdict.Checked++
		bucket = min(plan.Burst, bucket+plan.Limit*(dispatch.at-refilledAt).Seconds()) - j.units(dispatch.op)
		refilledAt = dispatch.at
		if bucket < -plan.Slack-plan.Limit*slack.Seconds() {
			j.violation("volume %d was sent %.1f units past its limit at %v", nsid, -bucket, dispatch.at)
		}
	}
}
