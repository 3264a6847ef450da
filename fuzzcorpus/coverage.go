package fuzzcorpus

import (
	"context"
	"fmt"
	"math/bits"
	"os"
	"path/filepath"

	"golang.org/x/tools/cover"
)

// Patterns for the names of inputs, passed to coverageBinary.measure.
const (
	seedsPattern     = "^seed#" // inputs that the source adds with f.Add
	allInputsPattern = ""
)

// block is a key of the maps in coverage. A key whose countBits is 0 stands for a block of statements in the source. If
// the block ran, another key has the number of binary digits of its execution count in countBits, so that an input that
// runs a loop much more or less often than others counts as reaching new coverage.
type block struct {
	file                             string
	line, column, endLine, endColumn int
	countBits                        int
}

// coverage is the coverage of a set of inputs: the blocks that ran and all blocks of the package, each with its number
// of statements.
type coverage struct {
	reached map[block]int
	all     map[block]int
}

// readCoverage reads a coverage profile that a test binary has written.
func readCoverage(profile string) (coverage, error) {
	profiles, err := cover.ParseProfiles(profile)
	c := coverage{reached: map[block]int{}, all: map[block]int{}}
	for _, p := range profiles {
		for _, b := range p.Blocks {
			key := block{p.FileName, b.StartLine, b.StartCol, b.EndLine, b.EndCol, 0}
			c.all[key] = b.NumStmt
			if b.Count > 0 {
				c.reached[key] = b.NumStmt
				key.countBits = bits.Len(uint(b.Count))
				c.reached[key] = 0 // the statements count only for the block itself
			}
		}
	}
	return c, err
}

// share returns the share of the statements that are reached.
func (c coverage) share() float64 {
	reached, all := 0, 0
	for key, statements := range c.all {
		all += statements
		reached += c.reached[key]
	}
	return float64(reached) / float64(max(all, 1))
}

// add adds the reached blocks of another coverage of the same package and reports whether any of them is new.
func (c coverage) add(other coverage) bool {
	more := false
	for key, statements := range other.reached {
		if _, ok := c.reached[key]; !ok {
			c.reached[key] = statements
			more = true
		}
	}
	return more
}

// coverageBinary is the test binary of a target, instrumented to measure coverage.
type coverageBinary struct {
	target    Target
	directory string // of the target's package
	path      string
	profile   string // file that each measurement overwrites
}

// buildCoverageBinary builds the instrumented test binary of a target. It writes the files to the directory into.
func buildCoverageBinary(ctx context.Context, root string, t Target, into string) (*coverageBinary, error) {
	path, err := buildTests(ctx, root, t, into, "-covermode=count")
	if err != nil {
		return nil, err
	}
	profile := filepath.Join(into, "profile")
	return &coverageBinary{target: t, directory: t.packageDirectory(root), path: path, profile: profile}, nil
}

// measure runs the inputs whose names match a pattern and returns their coverage. The inputs are read from the source
// tree.
func (b *coverageBinary) measure(ctx context.Context, pattern string) (coverage, error) {
	run := "^" + b.target.Name + "$/" + pattern
	output, err := runCommand(ctx, b.directory, b.path, "-test.run", run, "-test.coverprofile", b.profile)
	if err != nil {
		return coverage{}, fmt.Errorf("fuzzcorpus: measuring the coverage of %s: %w\n%s", b.target, err, output)
	}
	return readCoverage(b.profile)
}

// Stats measures, for each target, the share of the statements of its package that the seeds in the source reach alone
// and together with the corpus. It calls done with the result of each target in turn.
func Stats(ctx context.Context, root string, targets []Target, done func(Result)) error {
	directory, err := os.MkdirTemp("", "fuzzcorpus")
	if err != nil {
		return err
	}
	defer removeTemporary(directory)
	for _, t := range targets {
		result, err := targetStats(ctx, root, t, directory)
		if err != nil {
			return err
		}
		done(result)
	}
	return nil
}

func targetStats(ctx context.Context, root string, t Target, directory string) (Result, error) {
	result := Result{Target: t}
	if err := result.countFiles(root); err != nil {
		return result, err
	}
	binary, err := buildCoverageBinary(ctx, root, t, directory)
	if err != nil {
		return result, err
	}
	seeds, err := binary.measure(ctx, seedsPattern)
	if err != nil {
		return result, err
	}
	covered, err := binary.measure(ctx, allInputsPattern)
	result.SeedCoverage, result.Coverage = seeds.share(), covered.share()
	return result, err
}

// removeTemporary removes a temporary directory. Files that cannot be removed stay there.
func removeTemporary(directory string) { _ = os.RemoveAll(directory) }
