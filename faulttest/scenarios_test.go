package faulttest

import (
	"errors"
	"testing"

	"honeyplank/settings"
)

// TestScenarios checks that there is a scenario for every kind of fault that a script can have.
func TestScenarios(t *testing.T) {
	script, err := settings.Parse("built-in script", Sources)
	if err != nil {
		t.Fatal(err)
	}
	list, err := Scenarios(script, AllScenarios)
	if err != nil {
		t.Fatal(err)
	}
	played := map[string]bool{}
	for _, scenario := range list {
		for _, f := range scenario.Script.FaultTest.Faults {
			played[f.Kind] = true
		}
	}
	for kind := range injectors {
		if !played[kind] {
			t.Errorf("no scenario plays %s", kind)
		}
	}
	if _, err := Scenarios(script, "no such thing"); !errors.Is(err, ErrUnknownScenario) {
		t.Errorf("an unknown name gives %v", err)
	}
}
