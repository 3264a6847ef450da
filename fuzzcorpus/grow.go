package fuzzcorpus

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// crashPrefix is the prefix of the file names of findings: inputs on which a target has failed.
	crashPrefix = "crash-"
	// minimiseRuns bounds the executions of a target with which the go command minimises one input.
	minimiseRuns = "20x"
)

// ExtendOptions configure Extend.
type ExtendOptions struct {
	Time     time.Duration // fuzzing time of each target
	Workers  int           // number of inputs that run in parallel
	MaxBytes int64         // largest size of a generated input file that is added
}

// Extend rewrites the inputs of older versions of each target. Then it fuzzes the target for options.Time and adds the
// inputs that reached new coverage to the corpus. A finding is kept under a name with crashPrefix, so that every later
// run of the target replays it. Extend calls done with the result of each target in turn.
func Extend(ctx context.Context, root string, targets []Target, options ExtendOptions, done func(Result)) error {
	cache, err := fuzzCacheDirectory(ctx, root)
	if err != nil {
		return err
	}
	for _, t := range targets {
		result, err := extendTarget(ctx, root, t, options)
		if err != nil {
			return err
		}
		from := filepath.Join(t.packageDirectory(cache), t.Name)
		if result.Added, err = t.copyInputs(root, from, options.MaxBytes); err != nil {
			return err
		}
		if err := result.countFiles(root); err != nil {
			return err
		}
		done(result)
	}
	return nil
}

// fuzzCacheDirectory returns the directory in which the go command keeps the inputs that it generates by fuzzing the
// module.
func fuzzCacheDirectory(ctx context.Context, root string) (string, error) {
	cache, err := runCommand(ctx, root, "go", "env", "GOCACHE")
	if err != nil {
		return "", err
	}
	module, err := runCommand(ctx, root, "go", "list", "-m")
	if err != nil {
		return "", err
	}
	return filepath.Join(strings.TrimSpace(cache), "fuzz", strings.TrimSpace(module)), nil
}

// extendTarget fuzzes one target. If the target fails, the go command writes the finding to the corpus, and
// extendTarget adds crashPrefix to its file name.
func extendTarget(ctx context.Context, root string, t Target, options ExtendOptions) (Result, error) {
	result := Result{Target: t}
	var err error
	if result.Faults, result.Upgraded, err = upgradeInputs(root, t); err != nil {
		return result, err
	}
	began := time.Now()
	output, err := runCommand(ctx, root, "go", "test", "-run", "^$", "-fuzz", "^"+t.Name+"$",
		"-fuzztime", options.Time.String(), "-fuzzminimizetime", minimiseRuns,
		"-parallel", strconv.Itoa(options.Workers), "./"+t.Package)
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	result.Elapsed = time.Since(began)
	result.Executions = executions(output)
	finding, found := failingInputPath(output)
	if !found {
		if err != nil {
			return result, fmt.Errorf("fuzzcorpus: fuzzing %s: %w\n%s", t, err, output)
		}
		return result, nil
	}
	path := filepath.Join(t.packageDirectory(root), finding)
	result.Crash = crashPrefix + filepath.Base(path)
	result.Faults = append(result.Faults, Fault{t, result.Crash, output})
	return result, os.Rename(path, filepath.Join(filepath.Dir(path), result.Crash))
}

// copyInputs copies files from another directory to the corpus: those that are inputs for the target, have at most
// maxBytes and are not in the corpus. It returns their names. Without that directory, there is nothing to copy.
func (t Target) copyInputs(root, from string, maxBytes int64) ([]string, error) {
	entries, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(t.Directory(root), directoryPermissions); err != nil {
		return nil, err
	}
	var added []string
	for _, entry := range entries {
		to := filepath.Join(t.Directory(root), entry.Name())
		if _, err := os.Stat(to); err == nil {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err != nil {
			return added, err
		}
		if int64(len(text)) > maxBytes || t.Check(text) != nil {
			continue
		}
		if err := os.WriteFile(to, text, filePermissions); err != nil {
			return added, err
		}
		added = append(added, entry.Name())
	}
	return added, nil
}
