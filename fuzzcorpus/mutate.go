package fuzzcorpus

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// replayTimeout bounds a run of the corpus on mutated code.
const replayTimeout = "60s"

// MutationResult is the result of running a target on a mutation.
type MutationResult struct {
	Mutation
	Found         bool          // the target failed, on the corpus or on a new input
	FoundByCorpus bool          // the target failed on the corpus
	Replayed      int           // number of inputs of the corpus that ran, up to and including the first that failed
	Fuzzed        int64         // number of new inputs, as last printed; the go command prints it every three seconds
	Elapsed       time.Duration // includes compilation
}

// Mutate applies each mutation to the code by an overlay of the compiler, which leaves the source file unchanged, and
// runs its target: first on the corpus and, if the target does not fail, on up to maxInputs new inputs. It calls done
// with the result of each mutation in turn.
func Mutate(ctx context.Context, root string, mutations []Mutation, maxInputs int, done func(MutationResult)) error {
	directory, err := os.MkdirTemp("", "fuzzcorpus")
	if err != nil {
		return err
	}
	defer removeTemporary(directory)
	if root, err = filepath.Abs(root); err != nil {
		return err
	}
	for _, mutation := range mutations {
		m := &mutant{Mutation: mutation, root: root, directory: directory}
		result, err := m.run(ctx, maxInputs)
		if err != nil {
			return err
		}
		done(result)
	}
	return nil
}

// mutant is a mutation with the files that are needed to run its target.
type mutant struct {
	Mutation
	root      string // of the source tree, absolute
	directory string // for temporary files
	overlay   string // path of the overlay file for the compiler
}

func (m *mutant) target() Target { return Target{Package: m.Package, Name: m.Target} }

func (m *mutant) run(ctx context.Context, maxInputs int) (MutationResult, error) {
	result := MutationResult{Mutation: m.Mutation}
	began := time.Now()
	if err := m.writeOverlay(); err != nil {
		return result, err
	}
	if err := m.replay(ctx, &result); err != nil {
		return result, err
	}
	if !result.Found {
		if err := m.fuzz(ctx, maxInputs, &result); err != nil {
			return result, err
		}
	}
	result.Elapsed = time.Since(began)
	return result, nil
}

// writeOverlay writes the mutated text and an overlay file, with which the compiler reads this text instead of the
// source file.
func (m *mutant) writeOverlay() error {
	path := filepath.Join(m.root, filepath.FromSlash(m.File))
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return fmt.Errorf("fuzzcorpus: mutation is out of date: %q occurs %d times in %s, expected once",
			m.Old, n, m.File)
	}
	changed := filepath.Join(m.directory, "changed.go")
	mutated := strings.Replace(string(text), m.Old, m.New, 1)
	if err := os.WriteFile(changed, []byte(mutated), filePermissions); err != nil {
		return err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return err
	}
	m.overlay = filepath.Join(m.directory, "overlay.json")
	return os.WriteFile(m.overlay, overlay, filePermissions)
}

// replay runs the corpus on the mutated code.
func (m *mutant) replay(ctx context.Context, result *MutationResult) error {
	binary, err := buildTests(ctx, m.root, m.target(), m.directory, "-overlay", m.overlay)
	if err != nil {
		return err
	}
	output, err := runCommand(ctx, m.target().packageDirectory(m.root), binary, "-test.run", "^"+m.Target+"$",
		"-test.v", "-test.failfast", "-test.timeout", replayTimeout)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	result.Found, result.FoundByCorpus = err != nil, err != nil
	result.Replayed = replayedInputs(m.Target, output)
	return nil
}

// fuzz runs the target on new inputs. It uses a separate cache directory, so that inputs from earlier fuzzing in the go
// command's cache have no effect.
func (m *mutant) fuzz(ctx context.Context, maxInputs int, result *MutationResult) error {
	pattern := "^" + m.Target + "$"
	binary, err := buildTests(ctx, m.root, m.target(), m.directory, "-overlay", m.overlay, "-fuzz", pattern)
	if err != nil {
		return err
	}
	directory := m.target().packageDirectory(m.root)
	output, err := runCommand(ctx, directory, binary, "-test.run", "^$", "-test.fuzz", pattern,
		"-test.fuzztime", strconv.Itoa(maxInputs)+"x", "-test.fuzzminimizetime", "1x",
		"-test.fuzzcachedir", filepath.Join(m.directory, "cache"))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	result.Found = err != nil
	result.Fuzzed = executions(output)
	if finding, found := failingInputPath(output); found { // the finding shows the mutation, not a fault of the product
		return os.Remove(filepath.Join(directory, finding))
	}
	return nil
}

// replayedInputs counts the inputs that the verbose output of a target's test names, up to the first that failed.
func replayedInputs(target, output string) int {
	runs := strings.Split(output, "=== RUN   "+target+"/")[1:]
	failed := failedInput(target, output)
	for i, run := range runs {
		name, _, _ := strings.Cut(run, "\n")
		if failed != "" && strings.TrimSpace(name) == failed {
			return i + 1
		}
	}
	return len(runs)
}
