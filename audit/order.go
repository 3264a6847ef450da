package audit

import (
	"cmp"
	"slices"
	"time"
)

// orderKey identifies a sequence of ordered ops. Each gateway orders the ops on an extent of a volume separately.
type orderKey struct {
	gateway int
	nsid    uint32
	extent  int64
}

// checkOrder checks that ops of ordered types with the same key are dispatched one after another, in the order in which
// the clients sent them.
func (c *checker) checkOrder() {
	byKey := map[orderKey][]*dispatchRecord{}
	for _, op := range c.order {
		opType := c.opType(op)
		if opType == nil || !opType.Ordered || op.duplicated {
			continue
		}
		extent := int64(op.lba) * int64(c.settings.Volumes.Block) / int64(c.settings.Volumes.Extent)
		key := orderKey{op.gateway, op.nsid, extent}
		byKey[key] = append(byKey[key], op.dispatches...)
	}
	for _, dispatches := range byKey {
		slices.SortFunc(dispatches, byTime)
		for i, later := range dispatches {
			c.verdict.Checked++
			for _, earlier := range dispatches[:i] {
				if earlier.op != later.op {
					c.checkPair(earlier, later)
				}
			}
		}
	}
}

func byTime(a, b *dispatchRecord) int { return cmp.Compare(a.at, b.at) }

// checkPair checks two dispatches of different ops of one key.
func (c *checker) checkPair(earlier, later *dispatchRecord) {
	// No time tolerance is needed here: the outcome has to reach the gateway before the next dispatch leaves it. A
	// gateway may abandon a dispatch together with its op before the disk server has finished it.
	if endedAt := earlier.endedAt(); (endedAt == 0 || endedAt > later.at) && !c.mustHaveEnded(earlier, later.at) {
		c.recordViolation("%v was dispatched while %v of the same key was outstanding", later.op, earlier.op)
	}
	// After a dispatch that may still be running, the next op of its key has to wait for the settle time.
	settle := c.settings.Policy.OrderSettle.Duration()
	if abandonedAt := earlier.abandonedAt(); abandonedAt > 0 && later.at > abandonedAt &&
		later.at < abandonedAt+settle-timeTolerance {
		c.recordViolation("%v was dispatched %v after a dispatch of the same key ended without an answer",
			later.op, later.at-abandonedAt)
	}
	// An op must not be dispatched after one that its client sent later by more than the time tolerance.
	bothFirst := earlier.op.dispatches[0] == earlier && later.op.dispatches[0] == later
	if bothFirst && earlier.at < later.at && earlier.op.sent > later.op.sent+timeTolerance {
		c.recordViolation("%v was dispatched before %v of the same key, which was sent %v earlier",
			earlier.op, later.op, earlier.op.sent-later.op.sent)
	}
}

// mustHaveEnded reports whether a dispatch had ended for its gateway by a time at which it had no outcome yet: its op
// was answered, its client's connection had ended or the gateway was killed.
func (c *checker) mustHaveEnded(dispatch *dispatchRecord, by time.Duration) bool {
	if answer, answered := dispatch.op.finalAnswer(); answered && answer.at <= by {
		return true
	}
	if closed := dispatch.op.closed; closed > 0 && closed <= by {
		return true
	}
	return c.killedBetween(dispatch.gateway, dispatch.at, by)
}
