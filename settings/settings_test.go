package settings

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/nvme"
)

const exampleFile = "examples/gateway.xml"

func exampleText(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if from != "" && !strings.Contains(text, from) {
		t.Fatalf("the example file does not contain %q", from)
	}
	return strings.Replace(text, from, to, 1)
}

func mustParse(t *testing.T, text string) *Gateway {
	t.Helper()
	g, err := Parse("x.xml", []byte(text))
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return g
}

const (
	dnsElement   = `<dns name="_h._tcp.x." floor="1s" ceiling="9s" timeout="1s"><server address="127.0.0.1:53"/></dns>`
	trustElement = `<believe vanish="0.5" confirm="9s" calm="60s" flaps="3" hold="5s"/>`
)

// schemaCases are changes to the example file. The schema alone decides whether the result is valid.
var schemaCases = []struct {
	name, from, to string
	valid          bool
	line           int // line of the error
}{
	{"unchanged", "", "", true, 0},
	{"a comment", `version="1">`, `version="1"><!-- x -->`, true, 0},
	{"no budget", `<budget free="5" share="0.25" window="5s"/>`, ``, true, 0},
	{"two endpoints", `<etcd endpoint="127.0.0.1:2379"/>`,
		`<etcd endpoint="127.0.0.1:2379"/><etcd endpoint="127.0.0.1:2380"/>`, true, 0},
	{"decimal point without digits after it", `weight="2"`, `weight="2."`, true, 0},
	{"plus sign", `hosts="2"`, `hosts="+2"`, true, 0},
	{"true as 1", `ordered="true"`, `ordered="1"`, true, 0},
	{"DNS beside etcd", `</list>`, dnsElement + trustElement + `</list>`, true, 0},
	{"DNS name without a domain", `</list>`, strings.Replace(dnsElement, "_h._tcp.x.", "x", 1) + `</list>`, false, 3},
	{"DNS without a server", `</list>`,
		`<dns name="_h._tcp.x." floor="1s" ceiling="9s" timeout="1s"/></list>`, false, 3},
	{"unknown element", `<scheduler `, `<shceduler `, false, 4},
	{"unknown attribute", `<scheduler hosts`, `<scheduler host="1" hosts`, false, 4},
	{"attribute missing", `<scheduler hosts="2" `, `<scheduler `, false, 4},
	{"wrong order", `<listen`, `<dispatches most="4"/><listen`, false, 2},
	{"element twice", `<plans within-share`,
		`<plans><plan name="z" rate="1" reserve="1" weight="1"/></plans><plans within-share`, false, 12},
	{"span without a unit", `ask-within="4s" most="20000"`, `ask-within="4"`, false, 3},
	{"span with a sign", `ask-within="4s" most="20000"`, `ask-within="-4s"`, false, 3},
	{"size with an unknown unit", `transfer="128KiB"`, `transfer="128kb"`, false, 35},
	{"not loopback", `127.0.0.1:4420`, `10.0.0.1:4420`, false, 2},
	{"unknown kind", `kind="once-only"`, `kind="unsafe"`, false, 10},
	{"a share over 1", `late-utility="0.2" kind="replayable"/>`, `late-utility="1.01" kind="replayable"/>`, false, 7},
	{"weight 0", `weight="2"`, `weight="0"`, false, 15},
	{"fractional number of hosts", `hosts="2"`, `hosts="2.5"`, false, 4},
	{"yes for true", `ordered="true"`, `ordered="yes"`, false, 9},
	{"a volume without a plan", `name="c" plan="basic"`, `name="c"`, false, 21},
	{"a plan that is not defined", `name="c" plan="basic"`, `name="c" plan="none"`, false, 21},
	{"two volumes of one id", `nsid="3"`, `nsid="2"`, false, 21},
	{"two plans of one name", `name="metered"`, `name="basic"`, false, 16},
	{"text", `<plans within-share="0.35" spare="0.1">`, `<plans within-share="0.35" spare="0.1">x`, false, 12},
	{"another version", `version="1"`, `version="2"`, false, 1},
	{"not well formed", `</honeyplank>`, `</honeypot>`, false, 37},
	{"an attribute twice", `hosts="2" ordinal`, `hosts="2" hosts="2" ordinal`, false, 4},
	{"a namespace", `<honeyplank version`, `<honeyplank xmlns="urn:x" version`, false, 1},
}

// TestSchema checks that Parse accepts only the files that the schema permits, that errors have the right line, and
// that xmllint agrees.
func TestSchema(t *testing.T) {
	xmllint, err := exec.LookPath("xmllint")
	if err != nil && os.Getenv("CI") != "" {
		t.Fatal("xmllint is missing; .ci/run installs it")
	}
	for _, c := range schemaCases {
		t.Run(c.name, func(t *testing.T) {
			text := replaceOnce(t, exampleText(t), c.from, c.to)
			_, err := Parse("x.xml", []byte(text))
			if (err == nil) != c.valid {
				t.Fatalf("error %v, want valid: %v", err, c.valid)
			}
			if err != nil {
				checkError(t, err, c.line)
			}
			if xmllint != "" {
				checkXMLLint(t, xmllint, text, c.valid)
			}
		})
	}
}

func checkError(t *testing.T, err error, line int) {
	t.Helper()
	var got *Error
	if !errors.As(err, &got) || got.File != "x.xml" || got.Line != line || got.Problem == "" {
		t.Errorf("error %v, want an Error in line %d", err, line)
	}
}

func checkXMLLint(t *testing.T, xmllint, text string, valid bool) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "x.xml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(xmllint, "--nonet", "--noout", "--schema", "honeyplank.xsd", file).CombinedOutput()
	if (err == nil) != valid {
		t.Errorf("xmllint disagrees: %v\n%s", err, out)
	}
}

// TestValidation checks that Parse rejects files that the schema permits but whose values violate a constraint.
func TestValidation(t *testing.T) {
	for _, c := range []struct{ name, from, to, wantText string }{
		{"block", `block="4KiB"`, `block="5KiB"`, "power of two"},
		{"extent", `extent="256MiB"`, `extent="255B"`, "multiple of block"},
		{"overlap", `from="36KiB"`, `from="16KiB"`, "overlap"},
		{"lengths without an op type", `from="36KiB"`, `from="64KiB"`, "no op type"},
		{"target over timeout", `target-latency="200ms"`, `target-latency="2s"`, "over its op timeout"},
		{"margin", `answer-margin="60ms"`, `answer-margin="700ms"`, "answer-margin"},
		{"deduplicated", `kind="once-only"`, `kind="deduplicated"`, "without a time"},
		{"limit", `limit="12" burst="24"`, `limit="12"`, "without a burst"},
		{"ordinal", `ordinal="0"`, `ordinal="2"`, "ordinal"},
		{"hosts of a volume", `cells="0 1 2"`, `cells="0 1 2" hosts="3"`, "more hosts"},
		{"address", `127.0.0.1:4420`, `127.0.0.999:4420`, "is not an address"},
		{"no source", `<etcd endpoint="127.0.0.1:2379"/>`, ``, "no source"},
		{"DNS without a rule", `</list>`, dnsElement + `</list>`, "without a believe"},
		{"depth", `depth="128"`, `depth="2000"`, "depth"},
		{"size too large", `size="2GiB"`, `size="999999999TiB"`, "too large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.xml", []byte(replaceOnce(t, exampleText(t), c.from, c.to)))
			var got *Error
			if !errors.As(err, &got) || !strings.Contains(err.Error(), c.wantText) {
				t.Errorf("error %v, want an Error with %q", err, c.wantText)
			}
		})
	}
}

// TestExpensiveFiles checks that Parse rejects malformed files within two seconds, also those that would take much time
// or memory.
func TestExpensiveFiles(t *testing.T) {
	for name, text := range map[string]string{
		"nesting":  strings.Repeat("<honeyplank>", 100_000),
		"entities": `<!DOCTYPE x [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;">]><honeyplank version="&b;"/>`,
		"empty":    "",
		"binary":   "\x00\xff\xfe",
		"many":     "<honeyplank>" + strings.Repeat("<a/>", 300_000),
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			if _, err := Parse("x.xml", []byte(text)); err == nil || time.Since(start) > 2*time.Second {
				t.Errorf("error %v after %v, want an error within 2s", err, time.Since(start))
			}
		})
	}
}

// TestModuleSettings checks the settings that the decision module gets.
func TestModuleSettings(t *testing.T) {
	g := mustParse(t, exampleText(t))
	m := g.ModuleSettings()
	if m.OpTypes[3].Semantics != honeyplank.AtMostOnce || m.OpTypes[0].Semantics != honeyplank.Idempotent {
		t.Error("unexpected semantics:", m.OpTypes)
	}
	if latency := m.OpTypes[1].TargetLatency; latency != 900*time.Millisecond {
		t.Error("unexpected target latency:", latency)
	}
	if m.LargestUnits != 8.0 || m.Plans[1].Value != 1 {
		t.Error("unexpected sizes or plans:", m)
	}
	if m.RetryBudget.Share != 0.25 || m.SlowStart.Window != time.Second {
		t.Error("unexpected retry budget or slow start:", m)
	}
	if got, want := m.Dispatches.ConnectTimeout, g.DiskServers.ConnectTimeout.Duration(); got != want || got <= 0 {
		t.Errorf("connect timeout %v, want %v", got, want)
	}
}

// TestUsageElsewhere checks that usage at other gateways is counted only if the attribute is set.
func TestUsageElsewhere(t *testing.T) {
	if mustParse(t, exampleText(t)).ModuleSettings().Usage.Elsewhere {
		t.Error("usage elsewhere is counted without the attribute")
	}
	counting := replaceOnce(t, exampleText(t), `meter-period="1s"`, `meter-period="1s" meter-elsewhere="true"`)
	if !mustParse(t, counting).ModuleSettings().Usage.Elsewhere {
		t.Error("usage elsewhere is not counted with the attribute")
	}
}

func TestOpTypeIndex(t *testing.T) {
	g := mustParse(t, exampleText(t))
	for bytes, want := range map[int64]int{4096: 0, 32 << 10: 0, 36 << 10: 1, 128 << 10: 1} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			if n := g.OpTypeIndex(nvme.Read, bytes); n != want {
				t.Errorf("a read of %d bytes has op type %d, want %d", bytes, n, want)
			}
		})
	}
}

func TestRoundTrip(t *testing.T) {
	checkRoundTrip(t, mustParse(t, exampleText(t)))
}

// checkRoundTrip checks that Parse reads the output of XML back as the same settings.
func checkRoundTrip(t *testing.T, g *Gateway) {
	t.Helper()
	encoded, err := g.XML()
	if err != nil {
		t.Fatal(err)
	}
	encodedAgain, err := mustParse(t, string(encoded)).XML()
	if err != nil {
		t.Fatal(err)
	}
	if string(encodedAgain) != string(encoded) {
		t.Fatalf("first output\n%s\nsecond output\n%s", encoded, encodedAgain)
	}
}
