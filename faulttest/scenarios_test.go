package faulttest

import (
	"errors"
	"testing"

	"honeyplank/settings"
)

// TestScenarioForEachFaultKind checks that every kind of fault in injectors occurs in a scenario, and that an unknown
// scenario name gives ErrUnknownScenario.
func TestScenarioForEachFaultKind(t *testing.T) {
	script, err := settings.Parse("built-in script", Sources)
	if err != nil {
		t.Fatal(err)
	}
	list, err := Scenarios(script, AllScenarios)
	if err != nil {
		t.Fatal(err)
	}
	covered := map[string]bool{}
	for _, scenario := range list {
		for _, f := range scenario.Script.FaultTest.Faults {
			covered[f.Kind] = true
		}
	}
	for kind := range injectors {
		if !covered[kind] {
			t.Errorf("no scenario has a fault of kind %s", kind)
		}
	}
	if _, err := Scenarios(script, "no such thing"); !errors.Is(err, ErrUnknownScenario) {
		t.Errorf("unknown scenario name: got error %v, want ErrUnknownScenario", err)
	}
}
