package fuzzcorpus

import (
	"errors"
	"strings"
	"testing"
)

// TestUpgrade upgrades inputs of the current and of older versions of a target.
func TestUpgrade(t *testing.T) {
	target := Target{Types: []string{"byte", "[]byte", "bool"}}
	const current = "byte('a')\n[]byte(\"x\")\nbool(true)\n"
	for name, c := range map[string]struct{ text, want, message string }{
		"up to date":      {current, current, ""},
		"type alias":      {"uint8(3)\n[]byte(\"x\")\nbool(true)\n", "uint8(3)\n[]byte(\"x\")\nbool(true)\n", ""},
		"new first value": {"[]byte(\"x\")\nbool(true)\n", "byte('\\x00')\n[]byte(\"x\")\nbool(true)\n", "older"},
		"new last value":  {"byte('a')\n[]byte(\"x\")\n", "byte('a')\n[]byte(\"x\")\nbool(false)\n", "older"},
		"too many values": {current + "int(3)\n", "", "older"},
		"other type":      {"string(\"x\")\n", "", "older"},
		"no literal":      {"x\n", "", "not a literal"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := target.Upgrade([]byte(Encoding + "\n" + c.text))
			if strings.TrimPrefix(string(got), Encoding+"\n") != c.want || (err == nil) != (c.message == "") {
				t.Errorf("text %q, error %v", got, err)
			}
			if err != nil && !strings.Contains(err.Error(), c.message) {
				t.Errorf("error %q does not contain %q", err, c.message)
			}
			if c.message == "older" && !errors.Is(err, errOutdatedInput) {
				t.Errorf("error %q does not wrap errOutdatedInput", err)
			}
		})
	}
}

// TestUpgradeEncoding checks that Upgrade returns an error for texts of another encoding, but not errOutdatedInput.
func TestUpgradeEncoding(t *testing.T) {
	target := Target{Types: []string{"byte", "[]byte", "bool"}}
	for _, text := range []string{"", "go test fuzz v9\nbyte('a')\n"} {
		if _, err := target.Upgrade([]byte(text)); err == nil || errors.Is(err, errOutdatedInput) {
			t.Errorf("text %q: error %v, expected an error other than errOutdatedInput", text, err)
		}
	}
}

// TestCorpusFilesFitTargets checks that every corpus file of this source tree is an input for its target. The tests of
// the packages run the targets on them.
func TestCorpusFilesFitTargets(t *testing.T) {
	targets, err := Find("..", "")
	if err != nil || len(targets) < 15 {
		t.Fatalf("%d targets, expected at least 15; error %v", len(targets), err)
	}
	for _, target := range targets {
		faults, err := checkInputs("..", target)
		if err != nil {
			t.Error(err)
		}
		for _, f := range faults {
			t.Error(f)
		}
	}
}
