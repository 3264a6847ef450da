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
	// crashPrefix begins the names of inputs that are findings.
	crashPrefix = "crash-"
	// minimiseRuns is how often the go command may run a target to minimise one input.
	minimiseRuns = "20x"
)

// ExtendOptions are how targets are fuzzed.
type ExtendOptions struct {
	Time     time.Duration // for each target
	Workers  int           // inputs tried at a time
	MaxBytes int64         // longest input that is kept
}

// Extend fuzzes each target for a time and keeps the inputs that reached something new. A crash is kept under a name of
// its own, so that every later run of the target plays it. The results go to done, one target after another.
func Extend(ctx context.Context, root string, targets []Target, options ExtendOptions, done func(Result)) error {
	cache, err := fuzzCache(ctx, root)
	if err != nil {
		return err
	}
	for _, t := range targets {
		result, err := growTarget(ctx, root, t, options)
		if err != nil {
			return err
		}
		from := filepath.Join(t.packageDirectory(cache), t.Name)
		if result.Added, err = t.adopt(root, from, options.MaxBytes); err != nil {
			return err
		}
		if err := result.countFiles(root); err != nil {
			return err
		}
		done(result)
	}
	return nil
}

// fuzzCache returns the directory in which the go command keeps what it finds by fuzzing the module.
func fuzzCache(ctx context.Context, root string) (string, error) {
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

// growTarget fuzzes one target and keeps a crash.
func growTarget(ctx context.Context, root string, t Target, options ExtendOptions) (Result, error) {
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
	result.Took = time.Since(began)
	result.Executions = executions(output)
	finding, found := writtenFinding(output)
	if !found {
		if err != nil {
			return result, fmt.Errorf("fuzzcorpus: %s: %w\n%s", t, err, output)
		}
		return result, nil
	}
	path := filepath.Join(t.packageDirectory(root), finding)
	result.Crash = crashPrefix + filepath.Base(path)
	result.Faults = append(result.Faults, Fault{t, result.Crash, output})
	return result, os.Rename(path, filepath.Join(filepath.Dir(path), result.Crash))
}

// adopt copies the inputs of a directory that are for the target, not too long, and not there yet. It returns their
// names.
func (t Target) adopt(root, from string, maxBytes int64) ([]string, error) {
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
