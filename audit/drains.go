package audit

import "time"

// noticeKey tells the notices of a gateway of a disk server apart from others.
type noticeKey struct {
	gateway int
	server  string
}

// checkDrains checks that a gateway dispatches nothing to a disk server that drains or is gone, once it was notified
// and the grace is over.
func (j *judge) checkDrains() {
	grace := j.settings.Policy.DrainGrace.Duration()
	notices := map[noticeKey][]noticeRecord{}
	for _, notice := range j.notices {
		key := noticeKey{notice.gateway, notice.server}
		notices[key] = append(notices[key], notice)
	}
	for _, dispatch := range j.dispatches {
		j.verdict.Checked++
		stopped := stoppedBy(notices[noticeKey{dispatch.gateway, dispatch.server}], dispatch.at)
		for source, notice := range stopped {
			if dispatch.at > notice.at+grace+slack {
				j.violation("%s was sent an op by gateway %d at %v, %v after %s reported it as %s",
					dispatch.server, dispatch.gateway, dispatch.at, dispatch.at-notice.at, source, notice.state)
			}
		}
	}
}

// stoppedBy are the sources by which a disk server drains or is gone at a time, each with its first notice of that
// and its last state. A source that tells of a start which is newer than another's notice overrules it.
func stoppedBy(notices []noticeRecord, at time.Duration) map[string]noticeRecord {
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
