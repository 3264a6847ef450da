package fuzzcorpus

import (
	"context"
	"fmt"
	"math/bits"
	"os"
	"path/filepath"

	"golang.org/x/tools/cover"
)

// Patterns of the inputs that measure runs.
const (
	seedInputs = "^seed#" // those in the source
	allInputs  = ""
)

// block is a block of statements in the source. runDigits is 0 for the block as such, else how many binary digits the
// count of its runs has: an input that runs a loop more often reaches something new.
type block struct {
	file                             string
	line, column, endLine, endColumn int
	runDigits                        int
}

// coverage is what inputs reach: the blocks that ran, with the number of their statements, and all blocks of the
// package.
type coverage struct {
	reached map[block]int
	all     map[block]int
}

// readCoverage reads the profile that a test binary has written.
func readCoverage(profile string) (coverage, error) {
	profiles, err := cover.ParseProfiles(profile)
	c := coverage{reached: map[block]int{}, all: map[block]int{}}
	for _, p := range profiles {
		for _, b := range p.Blocks {
			key := block{p.FileName, b.StartLine, b.StartCol, b.EndLine, b.EndCol, 0}
			c.all[key] = b.NumStmt
			if b.Count > 0 {
				c.reached[key] = b.NumStmt
				key.runDigits = bits.Len(uint(b.Count))
				c.reached[key] = 0 // its statements count once
			}
		}
	}
	return c, err
}

// share is the part of the statements that is reached.
func (c coverage) share() float64 {
	reached, all := 0, 0
	for key, statements := range c.all {
		all += statements
		reached += c.reached[key]
	}
	return float64(reached) / float64(max(all, 1))
}

// add adds what another coverage of the same package reaches, and reports whether that is more.
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

// coverageBinary is the test binary of a target, built to measure coverage.
type coverageBinary struct {
	target    Target
	directory string // of its package
	path      string
	profile   string // is overwritten by each measurement
}

// buildForCoverage builds the test binary of a target into a directory.
func buildForCoverage(ctx context.Context, root string, t Target, into string) (*coverageBinary, error) {
	path, err := buildTests(ctx, root, t, into, "-covermode=count")
	if err != nil {
		return nil, err
	}
	profile := filepath.Join(into, "profile")
	return &coverageBinary{target: t, directory: t.packageDirectory(root), path: path, profile: profile}, nil
}

// measure runs the inputs whose names match a pattern. They are read from the source tree.
func (b *coverageBinary) measure(ctx context.Context, pattern string) (coverage, error) {
	run := "^" + b.target.Name + "$/" + pattern
	output, err := runCommand(ctx, b.directory, b.path, "-test.run", run, "-test.coverprofile", b.profile)
	if err != nil {
		return coverage{}, fmt.Errorf("fuzzcorpus: %s: %w\n%s", b.target, err, output)
	}
	return readCoverage(b.profile)
}

// Stats measures how much of its package's statements each target reaches, by the seeds in its source alone and
// together with the corpus. The results go to done, one target after another.
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
	binary, err := buildForCoverage(ctx, root, t, directory)
	if err != nil {
		return result, err
	}
	seeds, err := binary.measure(ctx, seedInputs)
	if err != nil {
		return result, err
	}
	covered, err := binary.measure(ctx, allInputs)
	result.SeedCoverage, result.Coverage = seeds.share(), covered.share()
	return result, err
}

// removeTemporary removes a temporary directory. What cannot be removed stays for the system to clean up.
func removeTemporary(directory string) { _ = os.RemoveAll(directory) }
