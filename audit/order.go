package audit

import (
	"cmp"
	"slices"
	"time"
)

// orderKey is that by which ops of ordered types are ordered, each gateway for itself.
type orderKey struct {
	gateway int
	nsid    uint32
	extent  int64
}

// checkOrder checks that ops of one key of an ordered type are dispatched one after another.
func (j *judge) checkOrder() {
	byKey := map[orderKey][]*dispatchRecord{}
	for _, op := range j.order {
		opType := j.opType(op)
		if opType == nil || !opType.Ordered || op.duplicated {
			continue
		}
		extent := int64(op.lba) * int64(j.settings.Volumes.Block) / int64(j.settings.Volumes.Extent)
		key := orderKey{op.gateway, op.nsid, extent}
		byKey[key] = append(byKey[key], op.dispatches...)
	}
	for _, dispatches := range byKey {
		slices.SortFunc(dispatches, byTime)
		for i, later := range dispatches {
			j.verdict.Checked++
			for _, earlier := range dispatches[:i] {
				if earlier.op != later.op {
					j.checkPair(earlier, later)
				}
			}
		}
	}
}

func byTime(a, b *dispatchRecord) int { return cmp.Compare(a.at, b.at) }

// checkPair checks two dispatches of different ops of one key.
func (j *judge) checkPair(earlier, later *dispatchRecord) {
	// Between the outcome at the disk server and the next dispatch lies the way to the gateway and back, so no slack is
	// needed here. A dispatch may be abandoned with its op, before the disk server is done.
	if ended := earlier.ended(); (ended == 0 || ended > later.at) && !j.mustHaveEnded(earlier, later.at) {
		j.violation("%v was dispatched while %v of the same key was outstanding", later.op, earlier.op)
	}
	// The next op of a key waits after a dispatch that may still run.
	settle := j.settings.Policy.OrderSettle.Duration()
	if abandoned := earlier.abandoned(); abandoned > 0 && later.at > abandoned && later.at < abandoned+settle-slack {
		j.violation("%v was dispatched %v after a dispatch of the same key ended without an answer",
			later.op, later.at-abandoned)
	}
	// An op that its client sent clearly earlier must not be dispatched after.
	bothFirst := earlier.op.dispatches[0] == earlier && later.op.dispatches[0] == later
	if bothFirst && earlier.at < later.at && earlier.op.sent > later.op.sent+slack {
		j.violation("%v was dispatched before %v of the same key, which was sent %v earlier",
			earlier.op, later.op, earlier.op.sent-later.op.sent)
	}
}

// mustHaveEnded reports whether a dispatch without an outcome had to end by a time: with its op, with the connection of
// its client, or with the gateway.
func (j *judge) mustHaveEnded(dispatch *dispatchRecord, by time.Duration) bool {
	if answer, answered := dispatch.op.final(); answered && answer.at <= by {
		return true
	}
	if closed := dispatch.op.closed; closed > 0 && closed <= by {
		return true
	}
	return j.killedBetween(dispatch.gateway, dispatch.at, by)
}
