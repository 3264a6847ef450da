package fuzzcorpus

import (
	"errors"
	"strings"
	"testing"
)

// TestUpgrade reads inputs of other versions of a target.
func TestUpgrade(t *testing.T) {
	target := Target{Types: []string{"byte", "[]byte", "bool"}}
	const current = "byte('a')\n[]byte(\"x\")\nbool(true)\n"
	for name, c := range map[string]struct{ text, want, message string }{
		"as it is":         {current, current, ""},
		"an alias":         {"uint8(3)\n[]byte(\"x\")\nbool(true)\n", "uint8(3)\n[]byte(\"x\")\nbool(true)\n", ""},
		"first value new":  {"[]byte(\"x\")\nbool(true)\n", "byte('\\x00')\n[]byte(\"x\")\nbool(true)\n", "older"},
		"last value new":   {"byte('a')\n[]byte(\"x\")\n", "byte('a')\n[]byte(\"x\")\nbool(false)\n", "older"},
		"a value too many": {current + "int(3)\n", "", "older"},
		"another type":     {"string(\"x\")\n", "", "older"},
		"no value":         {"x\n", "", "no value"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := target.Upgrade([]byte(Encoding + "\n" + c.text))
			if strings.TrimPrefix(string(got), Encoding+"\n") != c.want || (err == nil) != (c.message == "") {
				t.Errorf("%q, %v", got, err)
			}
			if err != nil && !strings.Contains(err.Error(), c.message) {
				t.Errorf("error %v, want one with %q", err, c.message)
			}
			if c.message == "older" && !errors.Is(err, errOlder) {
				t.Errorf("error %v is not errOlder", err)
			}
		})
	}
}

// TestUpgradeEncoding refuses texts of another encoding.
func TestUpgradeEncoding(t *testing.T) {
	target := Target{Types: []string{"byte", "[]byte", "bool"}}
	for _, text := range []string{"", "go test fuzz v9\nbyte('a')\n"} {
		if _, err := target.Upgrade([]byte(text)); err == nil || errors.Is(err, errOlder) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestFiles checks that every input of this source tree is one for its target; the tests of the packages replay them
// all.
func TestFiles(t *testing.T) {
	targets, err := Find("..", "")
	if err != nil || len(targets) < 15 {
		t.Fatalf("%d targets, %v", len(targets), err)
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
