package fuzzcorpus

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
)

// generatedName matches the names that the go command gives inputs. Inputs with other names are findings.
var generatedName = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Minimise removes the inputs that reach nothing that the seeds and the inputs kept before do not reach, the shortest
// tried first. Findings stay, whatever they reach. The results go to done, one target after another.
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
	binary, err := buildForCoverage(ctx, root, t, directory)
	if err != nil {
		return result, err
	}
	covered, err := binary.measure(ctx, seedInputs)
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
		if covered.add(reached) || !generatedName.MatchString(name) {
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

// minimiseOrder returns the inputs of a target: findings first, then from short to long.
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
		if generatedName.MatchString(name) {
			return 1
		}
		return 0
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(size[a], size[b]))
	})
	return names, nil
}
