package audit

import "time"

// noticeKey identifies the notices to one gateway about one disk server.
type noticeKey struct {
	gateway int
	server  string
}

// checkDrains checks that a gateway dispatches nothing to a disk server that is draining or gone, once the gateway has
// been notified and the drain grace has passed.
func (c *checker) checkDrains() {
	grace := c.settings.Policy.DrainGrace.Duration()
	notices := map[noticeKey][]noticeRecord{}
	for _, notice := range c.notices {
		key := noticeKey{notice.gateway, notice.server}
		notices[key] = append(notices[key], notice)
	}
	for _, dispatch := range c.dispatches {
		c.verdict.Checked++
		stopped := stopNotices(notices[noticeKey{dispatch.gateway, dispatch.server}], dispatch.at)
		for source, notice := range stopped {
			if dispatch.at > notice.at+grace+timeTolerance {
				c.recordViolation("%s was sent an op by gateway %d at %v, %v after %s reported it as %s",
					dispatch.server, dispatch.gateway, dispatch.at, dispatch.at-notice.at, source, notice.state)
			}
		}
	}
}

// stopNotices returns, by source, the notices that a disk server is draining or gone at a time. Each entry has the time
// of the source's first such notice and the last state that it reported. A notice that the server is on cancels the
// source's own entry, and those of other sources that are older than the start it reports.
func stopNotices(notices []noticeRecord, at time.Duration) map[string]noticeRecord {
	stopped := map[string]noticeRecord{}
	for _, notice := range notices {
		if notice.at > at {
			break
		}
		if notice.state != stateOn {
			first, known := stopped[notice.source]
			if !known {
				first = notice
			}
			first.state = notice.state
			stopped[notice.source] = first
			continue
		}
		delete(stopped, notice.source)
		for source, other := range stopped {
			if notice.started > other.at {
				delete(stopped, source)
			}
		}
	}
	return stopped
}
