package fuzzcorpus

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

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

// corpusTest is a source tree of its own with one fuzz target, and the last result.
type corpusTest struct {
	t       *testing.T
	ctx     context.Context
	root    string
	targets []Target
	result  Result
}

// newCorpusTest makes a tree whose target finds a fault.
func newCorpusTest(t *testing.T) *corpusTest {
	t.Helper()
	c := &corpusTest{t: t, ctx: context.Background(), root: t.TempDir()}
	c.write("go.mod", "module m\n\ngo 1.24\n")
	c.write("m/m.go", faulty)
	c.write("m/m_test.go", source)
	c.find("")
	return c
}

func (c *corpusTest) write(name, text string) {
	c.t.Helper()
	path := filepath.Join(c.root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) find(pattern string) {
	c.t.Helper()
	var err error
	if c.targets, err = Find(c.root, pattern); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) keep(r Result) { c.result = r }

func (c *corpusTest) grow() {
	c.t.Helper()
	options := ExtendOptions{Time: 20 * time.Second, Workers: 2, MaxBytes: 2048}
	if err := Extend(c.ctx, c.root, c.targets, options, c.keep); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) replay() {
	c.t.Helper()
	if err := Replay(c.ctx, c.root, c.targets, c.keep); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) minimise() {
	c.t.Helper()
	if err := Minimise(c.ctx, c.root, c.targets, c.keep); err != nil {
		c.t.Fatal(err)
	}
}

// TestFind finds a target with the types of its input.
func TestFind(t *testing.T) {
	targets := newCorpusTest(t).targets
	if len(targets) != 1 || targets[0].String() != "m FuzzLength" || strings.Join(targets[0].Types, " ") != "[]byte" {
		t.Fatal(targets)
	}
}

// TestLife takes a target from a finding to its mend: the finding is named and stays, replay reports it until it is
// mended, an input of an older version is reported and rewritten, what adds nothing is removed.
func TestLife(t *testing.T) {
	c := newCorpusTest(t)
	c.grow()
	crash := c.result.Crash
	if !strings.HasPrefix(crash, "crash-") {
		t.Fatalf("grown: %+v", c.result)
	}
	c.replay()
	if faults := c.result.Faults; len(faults) != 1 || faults[0].File != crash {
		t.Fatalf("replayed: %+v", c.result)
	}
	c.write("m/m.go", strings.Replace(faulty, "b[0] == '!'", "b[0] == '!' && len(b) > 1", 1))
	c.replay()
	if len(c.result.Faults) != 0 || c.result.Files == 0 {
		t.Fatalf("mended: %+v", c.result)
	}
	c.checkMinimise()
	if _, err := os.Stat(filepath.Join(c.root, "m/testdata/fuzz/FuzzLength", crash)); err != nil {
		t.Error("the finding was dropped", err)
	}
	c.checkOlderInputs()
}

// checkMinimise checks that inputs which reach nothing new are removed.
func (c *corpusTest) checkMinimise() {
	c.t.Helper()
	const directory = "m/testdata/fuzz/FuzzLength/"
	for _, name := range []string{"000000000000000a", "000000000000000b"} {
		c.write(directory+name, Encoding+"\n[]byte(\"zz\")\n")
	}
	// Growing may come upon the finding before anything else, and "!" alone covers no more than the seeds once
	// mended.
	c.write(directory+"000000000000000c", Encoding+"\n[]byte(\"!x\")\n")
	c.minimise()
	if c.result.Coverage <= c.result.SeedCoverage || len(c.result.Removed) < 2 {
		c.t.Fatalf("minimised: %+v", c.result)
	}
}

// checkOlderInputs changes the target's input: all inputs are of an older version then, until they are rewritten.
func (c *corpusTest) checkOlderInputs() {
	c.t.Helper()
	changes := strings.NewReplacer(
		`f.Add([]byte("abc"))`, `f.Add(true, []byte("abc"))`,
		"t *testing.T, b", "t *testing.T, _ bool, b")
	c.write("m/m_test.go", changes.Replace(source))
	c.find("Length")
	c.replay()
	if len(c.result.Faults) != c.result.Files {
		c.t.Fatalf("older inputs: %+v", c.result)
	}
	c.minimise()
	if c.result.Upgraded == 0 || len(c.result.Faults) != 0 {
		c.t.Fatalf("rewritten: %+v", c.result)
	}
	c.replay()
	if len(c.result.Faults) != 0 {
		c.t.Fatalf("replayed after rewriting: %+v", c.result)
	}
}
