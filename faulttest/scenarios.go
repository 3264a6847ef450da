package faulttest

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"honeyplank/settings"
)

// Duration of a scenario, and start and duration of its faults.
const (
	scenarioDuration = 9 * time.Second
	faultStart       = 2 * time.Second
	faultDuration    = 2500 * time.Millisecond
)

// AllScenarios is the name that selects all scenarios.
const AllScenarios = "all"

// ErrUnknownScenario is returned by Scenarios if no scenario has the given name.
var ErrUnknownScenario = errors.New("no trouble is called")

// scenarios holds the faults of each scenario by name. A scenario has no other faults.
var scenarios = map[string][]settings.Fault{
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
	"overload":        {{Kind: "surge", Count: 1000, Factor: 6}}, // twice the capacity of the built-in fleet
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

// dnsScenarios holds the additional scenarios of scripts with DNS.
var dnsScenarios = map[string][]settings.Fault{
	"dns-down":      {{Kind: "dns-down"}, {Kind: "die", Count: 1}},
	"dns-empty":     {{Kind: "dns-empty"}},
	"dns-lies":      {{Kind: "dns-lies"}, {Kind: "list-down"}, {Kind: "die", Count: 1}},
	"dns-truncated": {{Kind: "dns-truncated"}, {Kind: "drain", Count: 1}},
	"dns-drain":     {{Kind: "dns-drain", Count: 2}},
	"dns-stale":     {{Kind: "dns-stale", Count: 1}},
}

// Scenario is a script with the faults of one scenario.
type Scenario struct {
	Name   string
	Script *settings.Gateway
}

// Scenarios returns the scenario of a name, or all scenarios sorted by name if the name is AllScenarios. Fleet and
// traffic are those of the given script. The only possible error wraps ErrUnknownScenario.
func Scenarios(script *settings.Gateway, name string) ([]Scenario, error) {
	known := maps.Clone(scenarios)
	if script.EndpointList.DNS != nil {
		maps.Copy(known, dnsScenarios)
	}
	names := slices.Sorted(maps.Keys(known))
	if name != AllScenarios {
		if known[name] == nil {
			return nil, fmt.Errorf("%w %q; there are %s, %v", ErrUnknownScenario, name, AllScenarios, names)
		}
		names = []string{name}
	}
	var list []Scenario
	for _, n := range names {
		list = append(list, Scenario{Name: n, Script: withFaults(script, known[n])})
	}
	return list, nil
}

// withFaults returns a copy of a script with these faults in place of its own, and with the times of a scenario.
func withFaults(script *settings.Gateway, faults []settings.Fault) *settings.Gateway {
	copied, faultTest := *script, *script.FaultTest
	copied.FaultTest = &faultTest
	faultTest.Duration = settings.Span(scenarioDuration)
	faultTest.Faults = nil
	for _, f := range faults {
		f.Start, f.Duration = settings.Span(faultStart), settings.Span(faultDuration)
		if f.Plan != "" && script.PlanIndex(f.Plan) < 0 {
			f.Plan = "" // all plans, because the script lacks this one
		}
		faultTest.Faults = append(faultTest.Faults, f)
	}
	return &copied
}
