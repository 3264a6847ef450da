package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"honeyplank/bench"
)

// TestExit checks the output and the exit code of commands. For an invalid setting, the output must have the file, the
// line, the problem and what is expected. Invalid settings and flags must give exit code 2.
func TestExit(t *testing.T) {
	text := readFile(t, exampleFile)
	badSpan := filepath.Join(t.TempDir(), "bad.xml")
	writeFile(t, badSpan, strings.Replace(text, `ask-within="4s" most="20000"`, `ask-within="soon"`, 1))
	badBool := filepath.Join(t.TempDir(), "other.xml")
	writeFile(t, badBool, strings.Replace(text, `meter-period="1s"`, `meter-elsewhere="perhaps"`, 1))
	for _, c := range []struct {
		arguments string
		code      int
		wantText  string
	}{
		{"settings check " + exampleFile, 0, ": valid"},
		{"settings check " + badSpan, 2, badSpan + `:3: ask-within="soon"`},
		{"serve " + badSpan, 2, "a span is a number with its unit"},
		{"serve no-such-file.xml", 2, "no such file"},
		{"faulttest --script " + exampleFile, 2, "has no <rehearsal>"},
		{"faulttest --trouble none", 2, "no trouble is called"},
		{"faulttest --no-such-flag", 2, "unknown flag"},
		{"rehearse --trouble none", 2, "no trouble is called"}, // old names of sub-commands, accepted for one release
		{"standin disk --no-such-flag", 2, "unknown flag"},
		{"corpus stats --no-such-flag", 2, "unknown flag"},
		{"corpus sabotage --no-such-flag", 2, "unknown flag"},
		{"settings check " + badBool, 2, badBool + `:31: meter-elsewhere="perhaps"`},
		{"settings schema", 0, "xs:schema"},
		{"version", 0, "honeyplank"},
	} {
		t.Run(c.arguments, func(t *testing.T) {
			out, code := run(t, strings.Fields(c.arguments)...)
			if code != c.code || !strings.Contains(out, c.wantText) {
				t.Errorf("exit code %d, want %d and output with %q\n%s", code, c.code, c.wantText, out)
			}
		})
	}
}

// TestHelp checks that the help of serve lists the flag --estimates and not its old name.
func TestHelp(t *testing.T) {
	out, code := run(t, "serve", "--help")
	if code != 0 || !strings.Contains(out, "--estimates=FILE") || strings.Contains(out, "learnt") {
		t.Errorf("exit code %d, output:\n%s", code, out)
	}
}

// TestBenchFleet checks that bench fleet starts this program as a scheduler, which serves the load, and measures its
// process.
func TestBenchFleet(t *testing.T) {
	out, code := run(t, "bench", "fleet", "--servers", "4,64", "--seconds", "1", "--json")
	if code != 0 {
		t.Fatalf("exit code %d, output: %s", code, out)
	}
	var costs []bench.FleetCost
	if err := json.Unmarshal([]byte(out), &costs); err != nil || len(costs) != 2 {
		t.Fatalf("error %v, want costs of 2 fleet sizes in %s", err, out)
	}
	for i, servers := range []int{4, 64} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := costs[i]
			if c.Servers != servers || c.Served == 0 || c.Served > c.Requests {
				t.Errorf("unexpected number of servers, requests or served ops: %+v", c)
			}
			if c.Memory <= 0 || c.Descriptors == 0 || c.Connections == 0 {
				t.Errorf("memory, descriptors or connections are not measured: %+v", c)
			}
		})
	}
}
