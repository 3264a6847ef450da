package fuzzcorpus

import (
	"context"
	"time"
)

// Replay runs each target on every input of its corpus and calls done with the result of each target in turn. A failure
// of a target is a fault in its result. If the corpus has files that are not inputs for the target, these are the
// faults, and the target is not run. Replay returns an error if the corpus cannot be read or ctx ends.
func Replay(ctx context.Context, root string, targets []Target, done func(Result)) error {
	for _, t := range targets {
		result, err := replayTarget(ctx, root, t)
		if err != nil {
			return err
		}
		done(result)
	}
	return nil
}

func replayTarget(ctx context.Context, root string, t Target) (Result, error) {
	result := Result{Target: t}
	if err := result.countFiles(root); err != nil {
		return result, err
	}
	var err error
	if result.Faults, err = checkInputs(root, t); err != nil || len(result.Faults) > 0 {
		return result, err
	}
	began := time.Now()
	output, err := runCommand(ctx, root, "go", "test", "-count=1", "-run", "^"+t.Name+"$", "./"+t.Package)
	result.Elapsed = time.Since(began)
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	if err != nil {
		result.Faults = append(result.Faults, Fault{t, failedInput(t.Name, output), output})
	}
	return result, nil
}
