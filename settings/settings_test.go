package settings

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

func example(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("examples/gateway.xml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// schemaCases change the example once; the schema alone tells whether what comes out is right.
var schemaCases = []struct {
	name, from, to string
	right          bool
	line           int // where the fault is
}{
	{"as it is", "", "", true, 0},
	{"a comment", `version="1">`, `version="1"><!-- x -->`, true, 0},
	{"no budget", `<budget free="5" share="0.25" window="5s"/>`, ``, true, 0},
	{"two endpoints", `<etcd endpoint="127.0.0.1:2379"/>`, `<etcd endpoint="127.0.0.1:2379"/><etcd endpoint="127.0.0.1:2380"/>`, true, 0},
	{"a bare point", `weight="2"`, `weight="2."`, true, 0},
	{"a sign", `hosts="2"`, `hosts="+2"`, true, 0},
	{"true as 1", `ordered="true"`, `ordered="1"`, true, 0},
	{"DNS beside etcd", `</list>`, `<dns name="_h._tcp.x." floor="1s" ceiling="9s" timeout="1s"><server address="127.0.0.1:53"/></dns><believe vanish="0.5" confirm="9s" calm="60s" flaps="3" hold="5s"/></list>`, true, 0},
	{"DNS of no domain", `</list>`, `<dns name="x" floor="1s" ceiling="9s" timeout="1s"><server address="127.0.0.1:53"/></dns></list>`, false, 3},
	{"DNS without a server", `</list>`, `<dns name="_h._tcp.x." floor="1s" ceiling="9s" timeout="1s"/></list>`, false, 3},
	{"unknown element", `<scheduler `, `<shceduler `, false, 4},
	{"unknown attribute", `<scheduler hosts`, `<scheduler host="1" hosts`, false, 4},
	{"attribute missing", `<scheduler hosts="2" `, `<scheduler `, false, 4},
	{"wrong order", `<listen`, `<dispatches most="4"/><listen`, false, 2},
	{"one too many", `<plans within-share`, `<plans><plan name="z" rate="1" reserve="1" weight="1"/></plans><plans within-share`, false, 12},
	{"bad span", `ask-within="4s" most="20000"`, `ask-within="4"`, false, 3},
	{"span with a sign", `ask-within="4s" most="20000"`, `ask-within="-4s"`, false, 3},
	{"bad size", `transfer="128KiB"`, `transfer="128kb"`, false, 35},
	{"not loopback", `127.0.0.1:4420`, `10.0.0.1:4420`, false, 2},
	{"bad kind", `kind="once-only"`, `kind="unsafe"`, false, 10},
	{"a share over 1", `late-utility="0.2" kind="replayable"/>`, `late-utility="1.01" kind="replayable"/>`, false, 7},
	{"weight 0", `weight="2"`, `weight="0"`, false, 15},
	{"half a host", `hosts="2"`, `hosts="2.5"`, false, 4},
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

func change(t *testing.T, text, from, to string) string {
	t.Helper()
	if from != "" && !strings.Contains(text, from) {
		t.Fatalf("the example has no %q", from)
	}
	return strings.Replace(text, from, to, 1)
}

// TestSchema holds the program's reading of the schema against xmllint's, case by case.
func TestSchema(t *testing.T) {
	xmllint, err := exec.LookPath("xmllint")
	if err != nil && os.Getenv("CI") != "" {
		t.Fatal("xmllint is missing; .ci/run installs it")
	}
	dir := t.TempDir()
	for i, c := range schemaCases {
		text := change(t, example(t), c.from, c.to)
		_, err := Parse("x.xml", []byte(text))
		if (err == nil) != c.right {
			t.Errorf("%s: %v, right is %v", c.name, err, c.right)
			continue
		}
		var fault *Error
		if err != nil && (!errors.As(err, &fault) || fault.File != "x.xml" || fault.Line != c.line || fault.Wrong == "") {
			t.Errorf("%s: %v, want line %d", c.name, err, c.line)
		}
		if xmllint == "" {
			continue
		}
		file := filepath.Join(dir, string(rune('a'+i%26))+c.name+".xml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(xmllint, "--nonet", "--noout", "--schema", "honeyplank.xsd", file).CombinedOutput()
		if (err == nil) != c.right {
			t.Errorf("%s: xmllint: %v\n%s", c.name, err, out)
		}
	}
}

// TestAgree changes the example into what the schema lets pass and the program must not.
func TestAgree(t *testing.T) {
	for _, c := range []struct{ name, from, to, says string }{
		{"block", `block="4KiB"`, `block="5KiB"`, "power of two"},
		{"extent", `extent="256MiB"`, `extent="255B"`, "multiple of block"},
		{"overlap", `from="36KiB"`, `from="16KiB"`, "overlap"},
		{"hole", `from="36KiB"`, `from="64KiB"`, "no op type"},
		{"target over timeout", `target-latency="200ms"`, `target-latency="2s"`, "over its op timeout"},
		{"margin", `answer-margin="60ms"`, `answer-margin="700ms"`, "answer-margin"},
		{"deduplicated", `kind="once-only"`, `kind="deduplicated"`, "without a time"},
		{"limit", `limit="12" burst="24"`, `limit="12"`, "without a burst"},
		{"ordinal", `ordinal="0"`, `ordinal="2"`, "ordinal"},
		{"hosts of a volume", `cells="0 1 2"`, `cells="0 1 2" hosts="3"`, "more hosts"},
		{"address", `127.0.0.1:4420`, `127.0.0.999:4420`, "no address"},
		{"no source", `<etcd endpoint="127.0.0.1:2379"/>`, ``, "no source"},
		{"no rule", `</list>`, `<dns name="_h._tcp.x." floor="1s" ceiling="9s" timeout="1s"><server address="127.0.0.1:53"/></dns></list>`, "without a believe"},
		{"depth", `depth="128"`, `depth="2000"`, "depth"},
		{"huge", `size="2GiB"`, `size="999999999TiB"`, "too large"},
	} {
		_, err := Parse("x.xml", []byte(change(t, example(t), c.from, c.to)))
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
}

// TestHostile gives files that are made to cost much.
func TestHostile(t *testing.T) {
	for name, text := range map[string]string{
		"nesting":  strings.Repeat("<honeyplank>", 100_000),
		"entities": `<!DOCTYPE x [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;">]><honeyplank version="&b;"/>`,
		"empty":    "", "binary": "\x00\xff\xfe", "many": "<honeyplank>" + strings.Repeat("<a/>", 300_000),
	} {
		began := time.Now()
		if _, err := Parse("x.xml", []byte(text)); err == nil || time.Since(began) > 2*time.Second {
			t.Errorf("%s: %v after %v", name, err, time.Since(began))
		}
	}
}

// TestValues checks what the module is handed, and that what is shown reads back the same.
func TestValues(t *testing.T) {
	g, err := Parse("x.xml", []byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	v := g.ModuleSettings()
	if k := v.OpTypes.Semantics; k[3] != honeyplank.AtMostOnce || k[0] != honeyplank.Idempotent {
		t.Error("optypes.kind", k)
	}
	if d := v.OpTypes.TargetLatency; d[1] != 900*time.Millisecond {
		t.Error("optypes.target_latency", d)
	}
	if v.LargestUnits != 8.0 || v.RetryBudget.Share != 0.25 || v.SlowStart.Window != time.Second || v.Plans.Value[1] != 1 {
		t.Error("figures", v)
	}
	if got, want := v.Dispatches.ConnectTimeout, g.DiskServers.ConnectTimeout.Duration(); got != want || got <= 0 {
		t.Errorf("connect timeout %v, want %v", got, want)
	}
	// Disk servers count for other hosts only where the settings say so.
	told, err := Parse("x.xml", []byte(change(t, example(t), `meter-period="1s"`, `meter-period="1s" meter-elsewhere="true"`)))
	if err != nil || v.Usage.Elsewhere != false || told.ModuleSettings().Usage.Elsewhere != true {
		t.Error("meter.elsewhere", v.Usage.Elsewhere, err)
	}
	for bytes, want := range map[int64]int{4096: 0, 32 << 10: 0, 36 << 10: 1, 128 << 10: 1} {
		if n := g.OpTypeIndex(false, bytes); n != want {
			t.Errorf("a read of %d bytes is of op type %d, want %d", bytes, n, want)
		}
	}
	text, err := g.XML()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("shown.xml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if twice, _ := again.XML(); string(twice) != string(text) {
		t.Error("what is shown reads back as something else")
	}
}
