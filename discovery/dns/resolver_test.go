package dns

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestSteps has the table complete.
func TestSteps(t *testing.T) {
	for s := settled; s <= failing; s++ {
		for in := inAnswer; in <= inLastFailure; in++ {
			if steps[s][in].do == nil {
				t.Errorf("state %d does not know input %d", s, in)
			}
		}
	}
}

// FuzzAsk plays outcomes in any order against a plain model that keeps the whole history and works out from it, each
// time, whom to ask and between which times.
func FuzzAsk(f *testing.F) {
	f.Add(byte(2), []byte{1, 200, 0, 0, 0, 0, 0, 0, 1, 5})
	f.Add(byte(3), []byte{0, 0, 0, 0, 1, 255, 1, 0, 0, 1, 0, 2, 0, 3, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, servers byte, script []byte) {
		terms := resolverSettings{Servers: 1 + int(servers%4), MinInterval: 100 * time.Millisecond, MaxInterval: 5 * time.Second, Seed: int64(servers)}
		a := newResolver(terms)
		type outcome struct {
			server   int
			answered bool
			life     time.Duration
		}
		var history []outcome
		now := time.Duration(0)
		for len(script) >= 2 {
			ask := a.Next()
			if ask.At < now {
				t.Fatalf("asks at %v, it is %v", ask.At, now)
			}
			now = ask.At + time.Duration(script[1])*time.Millisecond // the exchange took as long
			o := outcome{ask.Server, script[0]&1 != 0, time.Duration(script[1]) * 50 * time.Millisecond}
			script = script[2:]
			history = append(history, o)
			told := true
			if o.answered {
				a.Answered(now, o.life)
			} else {
				told = a.Failed(now)
			}
			// The model: failures since the last answer, in rounds of all servers.
			fails, first := 0, 0
			for i := len(history) - 1; i >= 0; i-- {
				if history[i].answered {
					first = history[i].server
					break
				}
				fails++
			}
			server, span := first, o.life
			switch {
			case fails == 0:
			case fails%terms.Servers != 0:
				server, span = (first+fails)%terms.Servers, 0
			default:
				span = terms.MinInterval
				for range fails/terms.Servers - 1 {
					span = min(2*span, terms.MaxInterval)
				}
			}
			if span > 0 || fails%terms.Servers == 0 {
				span = min(max(span, terms.MinInterval), terms.MaxInterval)
			}
			wait := a.Next().At - now
			if a.Next().Server != server || wait > span || wait < span-span/4 || told != (fails%terms.Servers == 0) {
				t.Fatalf("after %v: server %d in %v, told %v; the model: %d in %v", history, a.Next().Server, wait, told, server, span)
			}
		}
	})
}

// TestChoose holds the choice against a plain one, record by record.
func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 20000 {
		var all []candidate
		for range rng.Intn(7) {
			all = append(all, candidate{fmt.Sprint(rng.Intn(4)), rng.Intn(2), uint16(rng.Intn(3)), rng.Intn(4) == 0})
		}
		chosen := choose(all)
		for i, r := range all {
			drained, better, earlier := false, false, false
			for j, o := range all {
				drained = drained || o.Server == r.Server && o.Draining
				sound := !slices.ContainsFunc(all, func(x candidate) bool { return x.Server == o.Server && x.Draining })
				better = better || o.Cell == r.Cell && sound && o.Priority < r.Priority
				earlier = earlier || j < i && o.Server == r.Server && slices.Contains(chosen, j)
			}
			want := !earlier && (r.Draining || !drained && !better)
			if want != slices.Contains(chosen, i) {
				t.Fatalf("%+v: record %d chosen: %v", all, i, !want)
			}
		}
	}
}
