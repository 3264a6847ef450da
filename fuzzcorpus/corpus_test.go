package fuzzcorpus

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestUpgrade reads inputs of other versions of a target.
func TestUpgrade(t *testing.T) {
	target := Target{Types: []string{"byte", "[]byte", "bool"}}
	for _, c := range []struct{ name, text, want, says string }{
		{"as it is", "byte('a')\n[]byte(\"x\")\nbool(true)\n", "byte('a')\n[]byte(\"x\")\nbool(true)\n", ""},
		{"an alias", "uint8(3)\n[]byte(\"x\")\nbool(true)\n", "uint8(3)\n[]byte(\"x\")\nbool(true)\n", ""},
		{"a value has come first", "[]byte(\"x\")\nbool(true)\n", "byte('\\x00')\n[]byte(\"x\")\nbool(true)\n", "older"},
		{"a value has come last", "byte('a')\n[]byte(\"x\")\n", "byte('a')\n[]byte(\"x\")\nbool(false)\n", "older"},
		{"a value has gone", "byte('a')\n[]byte(\"x\")\nbool(true)\nint(3)\n", "", "older"},
		{"another type", "string(\"x\")\n", "", "older"},
		{"no value", "x\n", "", "no value"},
	} {
		got, err := target.Upgrade([]byte(Encoding + "\n" + c.text))
		if strings.TrimPrefix(string(got), Encoding+"\n") != c.want || (err == nil) != (c.says == "") || err != nil && !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
		if c.says == "older" && !errors.Is(err, errOlder) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	for _, text := range []string{"", "go test fuzz v9\nbyte('a')\n"} {
		if _, err := target.Upgrade([]byte(text)); err == nil || errors.Is(err, errOlder) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

const source = `package m

import "testing"

func FuzzLength(f *testing.F) {
	f.Add([]byte("abc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if Length(b) < 0 {
			t.Fatal("below zero")
		}
	})
}
`

const faulty = `package m

// Length is what the first byte says.
func Length(b []byte) int {
	if len(b) == 0 {
		return 0
	}
	if b[0] == '!' {
		return int(b[1]) // a length check is missing
	}
	return len(b)
}
`

// TestLife takes a target of a tree of its own from a finding to its mend: the finding is named and stays, replay
// tells of it until it is mended, an input of an older version is told of and rewritten, what adds nothing is dropped.
func TestLife(t *testing.T) {
	root, ctx := t.TempDir(), context.Background()
	put := func(name, text string) {
		t.Helper()
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put("go.mod", "module m\n\ngo 1.24\n")
	put("m/m.go", faulty)
	put("m/m_test.go", source)
	targets, err := Find(root, "")
	if err != nil || len(targets) != 1 || targets[0].String() != "m FuzzLength" || strings.Join(targets[0].Types, " ") != "[]byte" {
		t.Fatal(targets, err)
	}
	var r Result
	keep := func(x Result) { r = x }
	if err := Grow(ctx, root, targets, 20*time.Second, 2, 2048, keep); err != nil || !strings.HasPrefix(r.Crash, "crash-") {
		t.Fatalf("%+v, %v", r, err)
	}
	crash := r.Crash
	if err := Replay(ctx, root, targets, keep); err != nil || len(r.Faults) != 1 || r.Faults[0].File != crash {
		t.Fatalf("%+v, %v", r, err)
	}
	put("m/m.go", strings.Replace(faulty, "b[0] == '!'", "b[0] == '!' && len(b) > 1", 1))
	if err := Replay(ctx, root, targets, keep); err != nil || len(r.Faults) != 0 || r.Files == 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, name := range []string{"000000000000000a", "000000000000000b"} {
		put("m/testdata/fuzz/FuzzLength/"+name, Encoding+"\n[]byte(\"zz\")\n")
	}
	// Growing may come upon the finding before anything else, and "!" alone covers no more than the seeds once mended.
	put("m/testdata/fuzz/FuzzLength/000000000000000c", Encoding+"\n[]byte(\"!x\")\n")
	if err := Minimise(ctx, root, targets, keep); err != nil || r.Covered <= r.Seeds || len(r.Dropped) < 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if _, err := os.Stat(filepath.Join(root, "m/testdata/fuzz/FuzzLength", crash)); err != nil {
		t.Error("the finding was dropped", err)
	}
	put("m/m_test.go", strings.NewReplacer(`f.Add([]byte("abc"))`, `f.Add(true, []byte("abc"))`, "t *testing.T, b", "t *testing.T, _ bool, b").Replace(source))
	if targets, err = Find(root, "Length"); err != nil {
		t.Fatal(err)
	}
	if err := Replay(ctx, root, targets, keep); err != nil || len(r.Faults) != r.Files {
		t.Fatalf("older inputs: %+v, %v", r, err)
	}
	if err := Minimise(ctx, root, targets, keep); err != nil || r.Upgraded == 0 || len(r.Faults) != 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	if err := Replay(ctx, root, targets, keep); err != nil || len(r.Faults) != 0 {
		t.Fatalf("%+v, %v", r, err)
	}
}

// TestFiles has every input of this tree one for its target; the tests of the packages play them all.
func TestFiles(t *testing.T) {
	targets, err := Find("..", "")
	if err != nil || len(targets) < 15 {
		t.Fatalf("%d targets, %v", len(targets), err)
	}
	for _, target := range targets {
		faults, _, err := older("..", target, false)
		if err != nil {
			t.Error(err)
		}
		for _, f := range faults {
			t.Error(f)
		}
	}
}

// TestSabotage has every seeded fault still fit the text, and the corpora find one of each side of the protocol.
func TestSabotage(t *testing.T) {
	for _, s := range Mutations {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(s.File)))
		if err != nil || strings.Count(string(text), s.Old) != 1 {
			t.Errorf("%s: %q stands %d times, %v", s.File, s.Old, strings.Count(string(text), s.Old), err)
		}
	}
	var few []Mutation
	for _, s := range Mutations {
		if s.Kind == "a PDU one byte short is read" || s.Kind == "an id that is in use is taken again" || s.Kind == "success before the data" {
			few = append(few, s)
		}
	}
	found := 0
	if err := Try(context.Background(), "..", few, 1, func(f Found) {
		if f.Corpus && f.Replayed > 0 {
			found++
		} else {
			t.Logf("%+v", f)
		}
	}); err != nil || found != 3 {
		t.Errorf("%d of %d found, %v", found, len(few), err)
	}
}
