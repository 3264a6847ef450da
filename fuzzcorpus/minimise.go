package fuzzcorpus

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
)

// generatedNamePattern matches the names that the go command gives to generated inputs. Inputs with other names are
// findings.
var generatedNamePattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Minimise rewrites the inputs of older versions of each target. Then it removes the inputs that reach no coverage
// beyond that of the seeds and of the inputs already kept. It tries short inputs first. It keeps all findings, whatever
// their coverage. It calls done with the result of each target in turn.
func Minimise(ctx context.Context, root string, targets []Target, done func(Result)) error {
	directory, err := os.MkdirTemp("", "fuzzcorpus")
	if err != nil {
		return err
	}
	defer removeTemporary(directory)
	for _, t := range targets {
		result, err := minimiseTarget(ctx, root, t, directory)
		if err != nil {
			return err
		}
		done(result)
	}
	return nil
}

func minimiseTarget(ctx context.Context, root string, t Target, directory string) (Result, error) {
	result := Result{Target: t}
	var err error
	if result.Faults, result.Upgraded, err = upgradeInputs(root, t); err != nil {
		return result, err
	}
	binary, err := buildCoverageBinary(ctx, root, t, directory)
	if err != nil {
		return result, err
	}
	covered, err := binary.measure(ctx, seedsPattern)
	if err != nil {
		return result, err
	}
	result.SeedCoverage = covered.share()
	names, err := minimiseOrder(root, t)
	if err != nil {
		return result, err
	}
	for _, name := range names {
		reached, err := binary.measure(ctx, "^"+regexp.QuoteMeta(name)+"$")
		if err != nil {
			return result, err
		}
		if covered.add(reached) || !generatedNamePattern.MatchString(name) {
			continue
		}
		if err := os.Remove(filepath.Join(t.Directory(root), name)); err != nil {
			return result, err
		}
		result.Removed = append(result.Removed, name)
	}
	result.Coverage = covered.share()
	return result, result.countFiles(root)
}

// minimiseOrder returns the names of the inputs of a target: findings first, each group in order of size.
func minimiseOrder(root string, t Target) ([]string, error) {
	names, err := t.Files(root)
	if err != nil {
		return nil, err
	}
	size := map[string]int64{}
	for _, name := range names {
		info, err := os.Stat(filepath.Join(t.Directory(root), name))
		if err != nil {
			return nil, err
		}
		size[name] = info.Size()
	}
	rank := func(name string) int {
		if generatedNamePattern.MatchString(name) {
			return 1
		}
		return 0
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(size[a], size[b]))
	})
	return names, nil
}
