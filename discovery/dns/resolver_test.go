package dns

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestTransitionTableComplete checks that the table has a transition for every state and input: a missing one would
// cause a call of a nil function.
func TestTransitionTableComplete(t *testing.T) {
	for state := answered; state <= allFailed; state++ {
		for input := inputAnswer; input <= inputLastFailure; input++ {
			if resolverTransitions[state][input].action == nil {
				t.Errorf("state %d has no transition for input %d", state, input)
			}
		}
	}
}

// FuzzAsk applies arbitrary outcomes of queries to a resolver and to a simple model. After each outcome the model
// computes from the whole history the server that must be queried next, and the bounds of the time of the query.
func FuzzAsk(f *testing.F) {
	f.Add(byte(2), []byte{1, 200, 0, 0, 0, 0, 0, 0, 1, 5})
	f.Add(byte(3), []byte{0, 0, 0, 0, 1, 255, 1, 0, 0, 1, 0, 2, 0, 3, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, servers byte, script []byte) {
		settings := resolverSettings{
			servers:     1 + int(servers%4),
			minInterval: 100 * time.Millisecond,
			maxInterval: 5 * time.Second,
			seed:        int64(servers),
		}
		resolver, model := newResolver(settings), &resolverModel{settings: settings}
		now := time.Duration(0)
		for len(script) >= 2 {
			query := resolver.Next()
			if query.at < now {
				t.Fatalf("the next query is due at %v, before the current time %v", query.at, now)
			}
			now = query.at + time.Duration(script[1])*time.Millisecond // duration of the exchange
			last := outcome{query.server, script[0]&1 != 0, time.Duration(script[1]) * 50 * time.Millisecond}
			script = script[2:]
			roundEnded := true
			if last.answered {
				resolver.Answered(now, last.ttl)
			} else {
				roundEnded = resolver.Failed(now)
			}
			model.history = append(model.history, last)
			if want := model.roundEnded(); roundEnded != want {
				t.Fatalf("after %v: round ended %v, model %v", model.history, roundEnded, want)
			}
			model.check(t, resolver.Next(), now)
		}
	})
}

// outcome is the result of a query.
type outcome struct {
	server   int
	answered bool
	ttl      time.Duration
}

// resolverModel is a simple model of a resolver, which keeps all outcomes.
type resolverModel struct {
	settings resolverSettings
	history  []outcome
}

// failures returns the number of failures since the last answer, and the server of that answer, or 0 if there is none.
func (m *resolverModel) failures() (count, answeredBy int) {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].answered {
			return count, m.history[i].server
		}
		count++
	}
	return count, 0
}

// roundEnded reports whether the last outcome has ended a round: it is an answer, or all servers have failed.
func (m *resolverModel) roundEnded() bool {
	failures, _ := m.failures()
	return failures%m.settings.servers == 0
}

// next returns the server to be queried next, and the maximum time between the last outcome and the query.
func (m *resolverModel) next() (server int, interval time.Duration) {
	failures, answeredBy := m.failures()
	if !m.roundEnded() {
		return (answeredBy + failures) % m.settings.servers, 0
	}
	if failures == 0 {
		interval = m.history[len(m.history)-1].ttl
	} else {
		interval = m.settings.minInterval
		for range failures/m.settings.servers - 1 {
			interval = min(2*interval, m.settings.maxInterval)
		}
	}
	return answeredBy, min(max(interval, m.settings.minInterval), m.settings.maxInterval)
}

// check compares the next query of a resolver with the model.
func (m *resolverModel) check(t *testing.T, next query, now time.Duration) {
	t.Helper()
	server, interval := m.next()
	wait := next.at - now
	if next.server != server || wait > interval || wait < interval-interval/4 {
		t.Fatalf("after %v: query to server %d in %v; model: %d in %v", m.history, next.server, wait, server, interval)
	}
}

// TestSelectRecords compares the selection with a simple implementation, record by record.
func TestSelectRecords(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 20000 {
		var all []candidate
		for range rng.Intn(7) {
			all = append(all, candidate{fmt.Sprint(rng.Intn(4)), rng.Intn(2), uint16(rng.Intn(3)), rng.Intn(4) == 0})
		}
		selected := selectRecords(all)
		for i := range all {
			if want := shouldSelect(all, selected, i); want != slices.Contains(selected, i) {
				t.Fatalf("records %+v: record %d selected: %v, want the opposite", all, i, !want)
			}
		}
	}
}

// shouldSelect reports whether record i must be selected, given the selected ones of the records before it.
func shouldSelect(all []candidate, selected []int, i int) bool {
	r := all[i]
	drains := func(server string) bool {
		return slices.ContainsFunc(all, func(o candidate) bool { return o.server == server && o.draining })
	}
	better := func(o candidate) bool { return o.cell == r.cell && !drains(o.server) && o.priority < r.priority }
	for j, o := range all[:i] {
		if o.server == r.server && slices.Contains(selected, j) {
			return false
		}
	}
	return r.draining || !drains(r.server) && !slices.ContainsFunc(all, better)
}
