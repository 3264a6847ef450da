package membership

import "time"

// model is a second, independent implementation of the merge rule of docs/sources.md. It is slower than Ledger and does
// not share its structure.
type model struct {
	now        time.Duration
	reports    map[string]*[2]modelReport
	removals   [2][]time.Duration
	nodes      []string
	heldUntil  map[string]time.Duration
	returns    map[string][]time.Duration
	holdLength map[string]time.Duration
	state      map[string]State
}

type modelReport struct {
	state            State
	at               time.Duration
	started          time.Duration
	unconfirmedSince time.Duration // 0: no unconfirmed removal
}

// confirmedUp reports whether the server is listed as up, without an unconfirmed removal.
func (r *modelReport) confirmedUp() bool { return r.state == Up && r.unconfirmedSince == 0 }

func newModel() *model {
	m := &model{
		reports:    map[string]*[2]modelReport{},
		heldUntil:  map[string]time.Duration{},
		returns:    map[string][]time.Duration{},
		holdLength: map[string]time.Duration{},
		state:      map[string]State{},
	}
	for _, n := range []string{"a", "b", "c", "d"} {
		m.nodes, m.reports[n] = append(m.nodes, n), &[2]modelReport{}
	}
	return m
}

// apply applies one input.
func (m *model) apply(x input) {
	m.now += x.tick
	touched := map[string]bool{}
	switch {
	case x.tick > 0:
		for _, n := range m.nodes {
			touched[n] = true
		}
	case !x.fails:
		m.report(x, touched)
	}
	for _, n := range m.nodes {
		if touched[n] {
			m.merge(n)
		}
	}
}

// report applies the reports of one source, and adds the servers that they concern to touched.
func (m *model) report(x input, touched map[string]bool) {
	var removed []string
	listed := 0
	for _, n := range m.nodes {
		report := &m.reports[n][x.from]
		listedBefore := report.state == Up || report.state == Draining
		if listedBefore {
			listed++
		}
		state, reported := x.reports[n]
		switch {
		case reported && state != Removed:
			started := report.started
			if x.started {
				started = m.now
			}
			report.set(m.now, state, started)
			touched[n] = true
		case listedBefore && (reported || x.complete):
			removed = append(removed, n)
			touched[n] = true
		}
	}
	m.remove(x.from, removed, listed)
}

// set applies a report that lists a server.
func (r *modelReport) set(now time.Duration, state State, started time.Duration) {
	if r.state != state || r.started != started || r.unconfirmedSince > 0 {
		r.at = now
	}
	r.state, r.started, r.unconfirmedSince = state, started, 0
}

// tooMany reports whether a source removes too many servers within ConfirmAfter; listed is the number of servers that
// it listed before.
func (m *model) tooMany(from Source, removed []string, listed int) bool {
	recent := 0
	for _, at := range m.removals[from] {
		if at > m.now-testSettings.ConfirmAfter {
			recent++
		}
	}
	removedUp := 0
	for _, n := range removed {
		if m.reports[n][from].state == Up {
			removedUp++
		}
	}
	return listed+recent > 1 && float64(removedUp+recent) > testSettings.MaxRemovedShare*float64(listed+recent)
}

// remove removes servers of a source; listed is the number of servers that it listed before.
func (m *model) remove(from Source, removed []string, listed int) {
	tooMany := m.tooMany(from, removed, listed)
	for _, n := range removed {
		report := &m.reports[n][from]
		if tooMany && report.state == Up {
			if report.unconfirmedSince == 0 {
				report.unconfirmedSince = m.now
			}
			continue
		}
		if report.state == Up && report.unconfirmedSince == 0 {
			m.removals[from] = append(m.removals[from], m.now)
		}
		report.state, report.at, report.unconfirmedSince = Removed, m.now, 0
	}
}

// merge sets the state of one server.
func (m *model) merge(n string) {
	for i := range 2 {
		report, other := &m.reports[n][i], &m.reports[n][1-i]
		lasted := report.unconfirmedSince > 0 && m.now >= report.unconfirmedSince+testSettings.ConfirmAfter
		if lasted && !other.confirmedUp() {
			report.state, report.at, report.unconfirmedSince = Removed, m.now, 0
		}
	}
	worst := max(m.reports[n][Etcd].state, m.reports[n][DNS].state)
	if worst >= Draining {
		for i := range 2 {
			report, other := &m.reports[n][i], &m.reports[n][1-i]
			if report.state >= Draining && other.confirmedUp() && other.started > report.at {
				worst = Up
			}
		}
	}
	if worst == Up && m.state[n] >= Draining && m.holdReturn(n) {
		return
	}
	m.state[n] = worst
}

// holdReturn reports whether a server that would be up again is held out of service.
func (m *model) holdReturn(n string) bool {
	switch {
	case m.heldUntil[n] > m.now:
		return true
	case m.heldUntil[n] > 0:
		m.heldUntil[n] = 0
		return false
	}
	recent := m.returns[n][:0]
	for _, at := range m.returns[n] {
		if at > m.now-testSettings.FlapWindow-m.holdLength[n] {
			recent = append(recent, at)
		}
	}
	if len(recent) == 0 {
		m.holdLength[n] = 0
	}
	m.returns[n] = append(recent, m.now)
	if len(m.returns[n]) < testSettings.FlapThreshold {
		return false
	}
	m.holdLength[n] = min(max(2*m.holdLength[n], testSettings.FlapHold), testSettings.FlapWindow)
	m.heldUntil[n] = m.now + m.holdLength[n]
	return true
}
