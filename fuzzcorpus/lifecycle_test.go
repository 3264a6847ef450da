package fuzzcorpus

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const targetSource = `package m

import "testing"

func FuzzLength(f *testing.F) {
	f.Add([]byte("abc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if Length(b) < 0 {
			t.Fatal("negative length")
		}
	})
}
`

const faultySource = `package m

// Length returns the length that the input gives.
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

// corpusTest is a temporary source tree with one fuzz target, and the result of the last operation.
type corpusTest struct {
	t       *testing.T
	ctx     context.Context
	root    string
	targets []Target
	result  Result
}

// newCorpusTest creates a source tree with a fault that its target finds.
func newCorpusTest(t *testing.T) *corpusTest {
	t.Helper()
	c := &corpusTest{t: t, ctx: context.Background(), root: t.TempDir()}
	c.write("go.mod", "module m\n\ngo 1.24\n")
	c.write("m/m.go", faultySource)
	c.write("m/m_test.go", targetSource)
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

func (c *corpusTest) recordResult(r Result) { c.result = r }

func (c *corpusTest) extend() {
	c.t.Helper()
	options := ExtendOptions{Time: 20 * time.Second, Workers: 2, MaxBytes: 2048}
	if err := Extend(c.ctx, c.root, c.targets, options, c.recordResult); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) replay() {
	c.t.Helper()
	if err := Replay(c.ctx, c.root, c.targets, c.recordResult); err != nil {
		c.t.Fatal(err)
	}
}

func (c *corpusTest) minimise() {
	c.t.Helper()
	if err := Minimise(c.ctx, c.root, c.targets, c.recordResult); err != nil {
		c.t.Fatal(err)
	}
}

// TestFind checks that Find returns the target of the tree with the types of its input.
func TestFind(t *testing.T) {
	targets := newCorpusTest(t).targets
	if len(targets) != 1 || targets[0].String() != "m FuzzLength" || strings.Join(targets[0].Types, " ") != "[]byte" {
		t.Fatal(targets)
	}
}

// TestFindingLifecycle fuzzes a target until it crashes and then fixes the fault. The finding gets a name with the
// prefix crash- and is never removed. Replay reports it until the fault is fixed. Inputs that add no coverage are
// removed, and inputs of an older version are reported and rewritten.
func TestFindingLifecycle(t *testing.T) {
	c := newCorpusTest(t)
	c.extend()
	crash := c.result.Crash
	if !strings.HasPrefix(crash, "crash-") {
		t.Fatalf("fuzzing found no crash: %+v", c.result)
	}
	c.replay()
	if faults := c.result.Faults; len(faults) != 1 || faults[0].File != crash {
		t.Fatalf("replay did not report the finding alone: %+v", c.result)
	}
	c.write("m/m.go", strings.Replace(faultySource, "b[0] == '!'", "b[0] == '!' && len(b) > 1", 1))
	c.replay()
	if len(c.result.Faults) != 0 || c.result.Files == 0 {
		t.Fatalf("replay after the fault was fixed: faults, or no files: %+v", c.result)
	}
	c.checkMinimise()
	if _, err := os.Stat(filepath.Join(c.root, "m/testdata/fuzz/FuzzLength", crash)); err != nil {
		t.Error("the finding was removed:", err)
	}
	c.checkOlderInputs()
}

// checkMinimise checks that inputs that add no coverage are removed.
func (c *corpusTest) checkMinimise() {
	c.t.Helper()
	const directory = "m/testdata/fuzz/FuzzLength/"
	for _, name := range []string{"000000000000000a", "000000000000000b"} {
		c.write(directory+name, Encoding+"\n[]byte(\"zz\")\n")
	}
	// Fuzzing may find the crash before any other input. Once the fault is fixed, the input "!" covers no more than the
	// seeds. The input "!x" adds coverage in any case.
	c.write(directory+"000000000000000c", Encoding+"\n[]byte(\"!x\")\n")
	c.minimise()
	if c.result.Coverage <= c.result.SeedCoverage || len(c.result.Removed) < 2 {
		c.t.Fatalf("no coverage beyond the seeds, or fewer than 2 inputs removed: %+v", c.result)
	}
}

// checkOlderInputs adds a parameter to the target, which makes all inputs outdated. They must be reported until they
// are rewritten.
func (c *corpusTest) checkOlderInputs() {
	c.t.Helper()
	changes := strings.NewReplacer(
		`f.Add([]byte("abc"))`, `f.Add(true, []byte("abc"))`,
		"t *testing.T, b", "t *testing.T, _ bool, b")
	c.write("m/m_test.go", changes.Replace(targetSource))
	c.find("Length")
	c.replay()
	if len(c.result.Faults) != c.result.Files {
		c.t.Fatalf("replay did not report every outdated input: %+v", c.result)
	}
	c.minimise()
	if c.result.Upgraded == 0 || len(c.result.Faults) != 0 {
		c.t.Fatalf("minimising did not rewrite the outdated inputs: %+v", c.result)
	}
	c.replay()
	if len(c.result.Faults) != 0 {
		c.t.Fatalf("replay after rewriting reported faults: %+v", c.result)
	}
}
