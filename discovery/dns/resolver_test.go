package dns

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestTransitions has the table complete.
func TestTransitions(t *testing.T) {
	for state := answered; state <= allFailed; state++ {
		for input := inputAnswer; input <= inputLastFailure; input++ {
			if resolverTransitions[state][input].action == nil {
				t.Errorf("state %d has no transition for input %d", state, input)
			}
		}
	}
}

// FuzzAsk applies outcomes in any order against a plain model that keeps the whole history and works out from it, each
// time, which server is to be asked and between which times.
func FuzzAsk(f *testing.F) {
	f.Add(byte(2), []byte{1, 200, 0, 0, 0, 0, 0, 0, 1, 5})
	f.Add(byte(3), []byte{0, 0, 0, 0, 1, 255, 1, 0, 0, 1, 0, 2, 0, 3, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, servers byte, script []byte) {
		settings := resolverSettings{servers: 1 + int(servers%4), minInterval: 100 * time.Millisecond, maxInterval: 5 * time.Second, seed: int64(servers)}
		resolver := newResolver(settings)
		type outcome struct {
			server   int
			answered bool
			ttl      time.Duration
		}
		var history []outcome
		now := time.Duration(0)
		for len(script) >= 2 {
			query := resolver.Next()
			if query.at < now {
				t.Fatalf("the next query is due at %v, it is %v", query.at, now)
			}
			now = query.at + time.Duration(script[1])*time.Millisecond // the exchange took as long
			last := outcome{query.server, script[0]&1 != 0, time.Duration(script[1]) * 50 * time.Millisecond}
			script = script[2:]
			history = append(history, last)
			roundEnded := true
			if last.answered {
				resolver.Answered(now, last.ttl)
			} else {
				roundEnded = resolver.Failed(now)
			}
			// The model: failures since the last answer, in rounds of all servers.
			failures, first := 0, 0
			for i := len(history) - 1; i >= 0; i-- {
				if history[i].answered {
					first = history[i].server
					break
				}
				failures++
			}
			server, span := first, last.ttl
			switch {
			case failures == 0:
			case failures%settings.servers != 0:
				server, span = (first+failures)%settings.servers, 0
			default:
				span = settings.minInterval
				for range failures/settings.servers - 1 {
					span = min(2*span, settings.maxInterval)
				}
			}
			if span > 0 || failures%settings.servers == 0 {
				span = min(max(span, settings.minInterval), settings.maxInterval)
			}
			wait := resolver.Next().at - now
			if resolver.Next().server != server || wait > span || wait < span-span/4 || roundEnded != (failures%settings.servers == 0) {
				t.Fatalf("after %v: server %d in %v, roundEnded %v; the model: %d in %v", history, resolver.Next().server, wait, roundEnded, server, span)
			}
		}
	})
}

// TestSelectRecords compares the selection with a plain one, record by record.
func TestSelectRecords(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 20000 {
		var all []candidate
		for range rng.Intn(7) {
			all = append(all, candidate{fmt.Sprint(rng.Intn(4)), rng.Intn(2), uint16(rng.Intn(3)), rng.Intn(4) == 0})
		}
		selected := selectRecords(all)
		for i, r := range all {
			drained, better, earlier := false, false, false
			for j, o := range all {
				drained = drained || o.server == r.server && o.draining
				sound := !slices.ContainsFunc(all, func(x candidate) bool { return x.server == o.server && x.draining })
				better = better || o.cell == r.cell && sound && o.priority < r.priority
				earlier = earlier || j < i && o.server == r.server && slices.Contains(selected, j)
			}
			want := !earlier && (r.draining || !drained && !better)
			if want != slices.Contains(selected, i) {
				t.Fatalf("%+v: record %d selected: %v", all, i, !want)
			}
		}
	}
}
