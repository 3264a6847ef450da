package faulttest

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/policy"
	"honeyplank/settings"
)

// short is the bad day's fleet and traffic for some seconds, with some troubles.
func short(t *testing.T, length time.Duration, troubles ...settings.Fault) *settings.Gateway {
	t.Helper()
	s, err := settings.Parse("built-in script", BadDay)
	if err != nil {
		t.Fatal(err)
	}
	s.FaultTest.Duration, s.FaultTest.Faults = settings.Span(length), troubles
	return s
}

func at(kind string, at, span time.Duration, count int, times float64) settings.Fault {
	return settings.Fault{Kind: kind, Start: settings.Span(at), Duration: settings.Span(span), Count: count, Factor: times}
}

type change func(now time.Duration, event honeyplank.Event, out []honeyplank.Action) []honeyplank.Action

// tamper is the module with its actions changed on their way to the loop.
type tamper struct {
	honeyplank.DecisionModule
	change change
}

func (x *tamper) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	return x.change(now, e, x.DecisionModule.Handle(now, e))
}

// ops is what a saboteur knows of the ops under way.
type ops map[honeyplank.OpID]honeyplank.Op

// sabotages break one rule each. The loop does what it is told; the audit must see it from the sockets.
var sabotages = []struct {
	name     string
	rule     int
	troubles []settings.Fault
	make     func() change
}{
	{name: "an answer is dropped", rule: 1, troubles: []settings.Fault{at("die", time.Second, time.Second, 2, 0)},
		make: func() change {
			return func(_ time.Duration, _ honeyplank.Event, out []honeyplank.Action) []honeyplank.Action {
				return slices.DeleteFunc(out, func(a honeyplank.Action) bool { _, ok := a.(honeyplank.Reject); return ok })
			}
		}},
	{name: "an answer comes late", rule: 1, troubles: []settings.Fault{at("silent", time.Second, 3*time.Second, 3, 0)},
		make: func() change {
			var kept []honeyplank.Action
			return func(now time.Duration, e honeyplank.Event, out []honeyplank.Action) []honeyplank.Action {
				if t, ok := e.(honeyplank.Timer); ok && t.ID == "late" {
					out, kept = append(kept, out...), nil
					return out
				}
				n := len(kept)
				out = slices.DeleteFunc(out, func(a honeyplank.Action) bool {
					_, ok := a.(honeyplank.Reject)
					if ok {
						kept = append(kept, a)
					}
					return ok
				})
				if len(kept) > n {
					out = append(out, honeyplank.SetTimer{At: now + 2*time.Second, ID: "late"})
				}
				return out
			}
		}},
	{name: "a once-only op is dispatched twice", rule: 2,
		make: func() change {
			return func(_ time.Duration, _ honeyplank.Event, out []honeyplank.Action) []honeyplank.Action {
				for _, a := range out {
					if d, ok := a.(honeyplank.Dispatch); ok {
						out = append(out, d)
					}
				}
				return out
			}
		}},
	{name: "a drained server is sent to", rule: 3, troubles: []settings.Fault{at("drain", 500*time.Millisecond, 3*time.Second, 2, 0)},
		make: func() change {
			first, known := map[int]honeyplank.ServerID{}, ops{}
			return func(_ time.Duration, e honeyplank.Event, out []honeyplank.Action) []honeyplank.Action {
				switch e := e.(type) {
				case honeyplank.List:
					for _, m := range e.Members {
						if _, ok := first[m.Cell]; !ok {
							first[m.Cell] = m.ID
						}
					}
				case honeyplank.Op:
					known[e.ID] = e
					out = slices.DeleteFunc(out, func(a honeyplank.Action) bool { _, ok := a.(honeyplank.Dispatch); return ok })
					return append(out, honeyplank.Dispatch{Op: e.ID, Server: first[e.Cell]})
				}
				return out
			}
		}},
	{name: "a cold server is flooded", rule: 4, troubles: []settings.Fault{at("die", 500*time.Millisecond, 700*time.Millisecond, 2, 0), at("surge", 1500*time.Millisecond, 2*time.Second, 11, 6)}},
	{name: "the order of a key is swapped", rule: 5, troubles: []settings.Fault{at("slow", 200*time.Millisecond, 3*time.Second, 6, 4)}},
	{name: "the budget is exceeded", rule: 6, troubles: []settings.Fault{at("fail", 500*time.Millisecond, 3*time.Second, 6, 0.9)},
		make: func() change {
			known := ops{}
			return func(now time.Duration, e honeyplank.Event, out []honeyplank.Action) []honeyplank.Action {
				if o, ok := e.(honeyplank.Op); ok {
					known[o.ID] = o
				}
				if o, ok := e.(honeyplank.Outcome); ok && !o.Answered && o.Code == honeyplank.Failed && o.Dispatch < 6 && known[o.Op].Type < 2 {
					out = slices.DeleteFunc(out, func(a honeyplank.Action) bool { _, ok := a.(honeyplank.Reject); return ok })
					return append(out, honeyplank.Dispatch{Op: o.Op, Server: o.Server})
				}
				return out
			}
		}},
	{name: "a limit is exceeded", rule: 7, troubles: []settings.Fault{at("surge", 200*time.Millisecond, 4*time.Second, 11, 8)}},
}

// TestSabotage has a gateway break each rule in its loop; the audit must tell which, from the sockets alone.
func TestSabotage(t *testing.T) {
	for _, x := range sabotages {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			o := Options{Script: short(t, 4*time.Second, x.troubles...), Seed: 3}
			o.Module = func(seed int64, v *honeyplank.Settings) honeyplank.DecisionModule {
				if x.make == nil { // the baseline keeps none of these
					return Arrival(seed, v)
				}
				return &tamper{policy.New(seed, v), x.make()}
			}
			r, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			if v := r.Rules[x.rule-1]; v.Kept || v.Evidence == "" {
				t.Errorf("rule %d counts as kept\n%v", x.rule, r)
			}
		})
	}
}

// TestKept plays some troubles with the module as it is: every rule is kept, and every rule was looked at.
func TestKept(t *testing.T) {
	for seed := range int64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Options{Seed: seed, Script: short(t, 7*time.Second,
				at("fail", 200*time.Millisecond, 800*time.Millisecond, 2, 0.8), // failed ops are tried again: rule 6 has cases
				at("die", 500*time.Millisecond, 1200*time.Millisecond, 2, 0), at("surge", time.Second, 2*time.Second, 3, 6),
				at("lose-answers", 2*time.Second, time.Second, 2, 0.3), at("drain", 3*time.Second, time.Second, 1, 0),
				at("cut", 4*time.Second, time.Second, 2, 0), at("gateway-restart", 5*time.Second, 500*time.Millisecond, 1, 0))})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Kept || r.Fell > 0 {
				t.Errorf("%v", r)
			}
			for _, v := range r.Rules {
				if v.Checked == 0 {
					t.Errorf("rule %d was not looked at", v.Rule)
				}
			}
			for _, x := range r.Types {
				if x.Wrong > 0 || x.Acked == 0 {
					t.Errorf("%s: %d acked, %d with other bytes than were written", x.Name, x.Acked, x.Wrong)
				}
			}
		})
	}
}

// TestSources plays the first part of the day on which both sources misbehave.
func TestSources(t *testing.T) {
	t.Parallel()
	s, err := settings.Parse("built-in script", Sources)
	if err != nil {
		t.Fatal(err)
	}
	s.FaultTest.Duration = settings.Span(9 * time.Second)
	s.FaultTest.Faults = []settings.Fault{at("dns-drain", 500*time.Millisecond, 3*time.Second, 1, 0), at("dns-empty", time.Second, 2*time.Second, 0, 0),
		at("list-compacted", 1500*time.Millisecond, 2*time.Second, 1, 0), at("list-mute", 4*time.Second, 3*time.Second, 0, 0), at("dns-truncated", 4*time.Second, 2*time.Second, 0, 0),
		at("drain", 4200*time.Millisecond, time.Second, 1, 0), at("gateway-restart", 5*time.Second, 300*time.Millisecond, 1, 0), at("dns-lies", 6*time.Second, 2*time.Second, 0, 0), at("die", 6500*time.Millisecond, time.Second, 1, 0)}
	r, err := Run(context.Background(), Options{Script: s, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Kept || r.Looks == 0 || r.Disbelieved > 0 || r.Rules[2].Checked == 0 {
		t.Errorf("%v", r)
	}
}

// TestWires damages what crosses between some clients, disk servers and the gateways in every way: every op that is
// sound is settled, nothing stays held, no byte is wrong, and the clients whose wires are sound hardly notice.
func TestWires(t *testing.T) {
	t.Parallel()
	s, err := settings.Parse("built-in script", Wires)
	if err != nil {
		t.Fatal(err)
	}
	s.FaultTest.Duration = settings.Span(9 * time.Second)
	for i := range s.FaultTest.Faults {
		s.FaultTest.Faults[i].Start, s.FaultTest.Faults[i].Duration = settings.Span(time.Duration(i)*1500*time.Millisecond), settings.Span(1200*time.Millisecond)
		s.FaultTest.Faults[i].Factor = 0.06
	}
	r, err := Run(context.Background(), Options{Script: s, Seed: 11})
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for _, x := range r.Types {
		if lost += x.Lost; x.Wrong > 0 {
			t.Errorf("%s: %d with other bytes than were written", x.Name, x.Wrong)
		}
	}
	if !r.Kept || r.Held > 0 || lost == 0 || r.Apart == 0 || r.Honest < r.Apart || r.Honest < 0.8 {
		t.Errorf("%d lost, %d held; %v", lost, r.Held, r)
	}
}

// TestTroubles makes a script of every kind of trouble that a script can name.
func TestTroubles(t *testing.T) {
	script, err := settings.Parse("built-in script", Sources)
	if err != nil {
		t.Fatal(err)
	}
	scripts, names, err := Troubles(script, "all")
	if err != nil {
		t.Fatal(err)
	}
	used := map[string]bool{}
	for _, n := range names {
		for _, x := range scripts[n].FaultTest.Faults {
			used[x.Kind] = true
		}
	}
	for kind := range troubles {
		if !used[kind] {
			t.Errorf("no --trouble plays %s", kind)
		}
	}
	if _, _, err := Troubles(script, "no such thing"); err == nil {
		t.Error("an unknown trouble is taken")
	}
}
