package faulttest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/settings"
)

// Arrival makes a baseline to measure against: every op is passed on at once in order of arrival, whatever
// the node's state, and tried no second time. It keeps no rule but the first.
func Arrival(_ int64, _ *honeyplank.Settings) honeyplank.DecisionModule {
	return &arrival{holders: map[int]honeyplank.ServerID{}}
}

type arrival struct {
	holders map[int]honeyplank.ServerID
	asked   bool
}

func (a *arrival) Handle(now time.Duration, event honeyplank.Event) (out []honeyplank.Action) {
	if !a.asked {
		a.asked = true
		out = append(out, honeyplank.Watch{Enabled: true})
	}
	switch e := event.(type) {
	case honeyplank.List:
		if e.Kind == honeyplank.WatchFailed {
			return append(out, honeyplank.SetTimer{At: now + time.Second, ID: "watch"})
		}
		for _, m := range e.Members {
			if m.State == honeyplank.Up {
				a.holders[m.Cell] = m.ID
			} else if a.holders[m.Cell] == m.ID {
				delete(a.holders, m.Cell)
			}
		}
	case honeyplank.Timer:
		out = append(out, honeyplank.Watch{Enabled: true})
	case honeyplank.Op:
		if o, ok := a.holders[e.Cell]; ok {
			return append(out, honeyplank.Dispatch{Op: e.ID, Server: o})
		}
		return append(out, honeyplank.Fail{Op: e.ID})
	case honeyplank.Outcome:
		if !e.Answered {
			return append(out, honeyplank.Fail{Op: e.Op})
		}
	}
	return out
}

// single are the troubles played one by one: each a bad stretch on an otherwise good day.
var single = map[string][]settings.Fault{
	"died":            {{Kind: "die", Count: 1}},
	"silent":          {{Kind: "silent", Count: 1}},
	"many-back-cold":  {{Kind: "die", Count: 3}},
	"short-notice":    {{Kind: "drain", Count: 2}},
	"answers-lost":    {{Kind: "lose-answers", Count: 4, Factor: 0.3}},
	"hurry":           {{Kind: "hurry", Factor: 0.2}},
	"release":         {{Kind: "replace", Count: 3}},
	"fails-fast":      {{Kind: "fail", Count: 1, Factor: 0.7}},
	"slow":            {{Kind: "slow", Count: 1, Factor: 6}},
	"pauses":          {{Kind: "pause", Count: 3}},
	"surge":           {{Kind: "surge", Count: 2, Factor: 8}},
	"overload":        {{Kind: "surge", Count: 1000, Factor: 6}}, // with the built-in fleet: twice its capacity
	"plan-surge":      {{Kind: "plan-surge", Plan: "standard", Factor: 4}},
	"list-stale":      {{Kind: "list-late", Factor: 2}},
	"list-down":       {{Kind: "list-down"}, {Kind: "die", Count: 1}},
	"reports-late":    {{Kind: "stale-reports", Count: 6}},
	"gateway-restart": {{Kind: "gateway-restart"}},
	"list-cut":        {{Kind: "list-cut"}, {Kind: "drain", Count: 1}},
	"list-compacted":  {{Kind: "list-compacted", Count: 1}},
	"list-mute":       {{Kind: "list-mute"}, {Kind: "drain", Count: 1}},
	"re-register":     {{Kind: "re-register"}},
	"clients-leave":   {{Kind: "clients-leave", Count: 3}},
	"mute-handshake":  {{Kind: "mute-handshake", Count: 1}},
	"cut":             {{Kind: "cut", Count: 6}},
	"wire-flip":       {{Kind: "wire-flip", Count: 2}},
	"wire-drop":       {{Kind: "wire-drop", Count: 2}},
	"wire-delay":      {{Kind: "wire-delay", Count: 2}},
	"wire-cut":        {{Kind: "wire-cut", Count: 2}},
	"wire-repeat":     {{Kind: "wire-repeat", Count: 2}},
	"wire-lie":        {{Kind: "wire-lie", Count: 2}},
}

// names are troubles of DNS, for scripts that have it.
var names = map[string][]settings.Fault{
	"dns-down":      {{Kind: "dns-down"}, {Kind: "die", Count: 1}},
	"dns-empty":     {{Kind: "dns-empty"}},
	"dns-lies":      {{Kind: "dns-lies"}, {Kind: "list-down"}, {Kind: "die", Count: 1}},
	"dns-truncated": {{Kind: "dns-truncated"}, {Kind: "drain", Count: 1}},
	"dns-drain":     {{Kind: "dns-drain", Count: 2}},
	"dns-stale":     {{Kind: "dns-stale", Count: 1}},
}

// Troubles makes a script for one kind of trouble on the fleet and traffic of a script, or for all.
func Troubles(script *settings.Gateway, name string) (map[string]*settings.Gateway, []string, error) {
	all := maps.Clone(single)
	if script.EndpointList.DNS != nil {
		maps.Copy(all, names)
	}
	list := slices.Sorted(maps.Keys(all))
	if name != "all" {
		if all[name] == nil {
			return nil, nil, fmt.Errorf("no trouble is called %q; there are all, %v", name, list)
		}
		list = []string{name}
	}
	out := map[string]*settings.Gateway{}
	for _, n := range list {
		s, r := *script, *script.FaultTest
		s.FaultTest, r.Duration, r.Faults = &r, settings.Span(9*time.Second), nil
		for _, t := range all[n] {
			t.Start, t.Duration = settings.Span(2*time.Second), settings.Span(2500*time.Millisecond)
			if t.Plan != "" && s.PlanIndex(t.Plan) < 0 {
				t.Plan = ""
			}
			r.Faults = append(r.Faults, t)
		}
		out[n] = &s
	}
	return out, list, nil
}
