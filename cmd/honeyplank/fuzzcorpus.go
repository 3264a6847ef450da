package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"honeyplank/fuzzcorpus"
)

type fuzzCorpusCommand struct {
	Root   string `help:"Root of the source tree." default:"." type:"existingdir"`
	Target string `help:"Only targets whose name or package matches this pattern."`

	Replay   replayCommand   `cmd:"" help:"Run every input through its target."`
	Grow     growCommand     `cmd:"" help:"Fuzz each target for a time and keep the inputs that cover new code."`
	Minimise minimiseCommand `cmd:"" help:"Drop inputs that cover no new code, and rewrite old ones."`
	Stats    statsCommand    `cmd:"" help:"Print the number of inputs and the coverage of each target."`
	Mutate   mutateCommand   `cmd:"" aliases:"sabotage" help:"Check that targets find seeded faults in the code."`
}

func (c *fuzzCorpusCommand) targets() ([]fuzzcorpus.Target, error) {
	targets, err := fuzzcorpus.Find(c.Root, c.Target)
	if err != nil {
		err = usageError{err}
	}
	return targets, err
}

var errFuzzCorpus = errors.New("an input fails or is not valid for its target")

// corpusJob processes the inputs of targets, and calls done with the result of each target.
type corpusJob func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error

// run runs a job on the targets and prints each result with show. It returns an error if a result has a fault.
func (c *fuzzCorpusCommand) run(job corpusJob, show func(fuzzcorpus.Result)) error {
	targets, err := c.targets()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	failed := false
	err = job(ctx, targets, func(r fuzzcorpus.Result) {
		show(r)
		for _, f := range r.Faults {
			fmt.Println(f)
			failed = true
		}
	})
	if failed {
		err = errors.Join(err, errFuzzCorpus)
	}
	return err
}

type replayCommand struct{}

func (*replayCommand) Run(c *fuzzCorpusCommand) error {
	return c.run(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Replay(ctx, c.Root, targets, done)
	}, printReplayed)
}

func printReplayed(r fuzzcorpus.Result) {
	took := r.Elapsed.Round(10 * time.Millisecond)
	fmt.Printf("%-28s %5d inputs %8d bytes %8s\n", r.Target, r.Files, r.Bytes, took)
}

type growCommand struct {
	Time     time.Duration `help:"Time for each target." default:"60s"`
	Workers  int           `help:"Inputs run at a time." default:"4"`
	MaxBytes int64         `name:"most" help:"Longest input that is kept, in bytes." default:"2048"`
}

func (g *growCommand) Run(c *fuzzCorpusCommand) error {
	options := fuzzcorpus.ExtendOptions{Time: g.Time, Workers: g.Workers, MaxBytes: g.MaxBytes}
	return c.run(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Extend(ctx, c.Root, targets, options, done)
	}, printGrown)
}

func printGrown(r fuzzcorpus.Result) {
	fmt.Printf("%-28s %10d inputs tried in %6s, %4d kept, now %5d\n",
		r.Target, r.Executions, r.Elapsed.Round(time.Second), len(r.Added), r.Files)
	if r.Crash != "" {
		fmt.Printf("crash saved as %s; reproduce it with go test -run '%s/%s' ./%s\n",
			r.Crash, r.Target.Name, r.Crash, r.Target.Package)
	}
}

type minimiseCommand struct{}

func (*minimiseCommand) Run(c *fuzzCorpusCommand) error {
	return c.run(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Minimise(ctx, c.Root, targets, done)
	}, printMinimised)
}

func printMinimised(r fuzzcorpus.Result) {
	fmt.Printf("%-28s %5d inputs dropped, %5d kept, %d rewritten; "+
		"%.1f%% of the package's statements, seeds alone %.1f%%\n",
		r.Target, len(r.Removed), r.Files, r.Upgraded, 100*r.Coverage, 100*r.SeedCoverage)
}

type statsCommand struct{}

func (*statsCommand) Run(c *fuzzCorpusCommand) error {
	return c.run(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		fmt.Printf("%-28s %8s %9s   share of the package's statements: %5s %11s\n",
			"target", "inputs", "bytes", "seeds", "with corpus")
		return fuzzcorpus.Stats(ctx, c.Root, targets, done)
	}, printStats)
}

func printStats(r fuzzcorpus.Result) {
	fmt.Printf("%-28s %8d %9d %42.1f%% %10.1f%%\n", r.Target, r.Files, r.Bytes, 100*r.SeedCoverage, 100*r.Coverage)
}

type mutateCommand struct {
	Runs int `help:"Maximum number of new inputs for a fault that the corpus does not find." default:"200000"`
}

func (m *mutateCommand) Run(c *fuzzCorpusCommand) error {
	targets, err := c.targets()
	if err != nil {
		return err
	}
	mutations := mutationsFor(targets)
	ctx, stop := signalContext()
	defer stop()
	missed := 0
	err = fuzzcorpus.Mutate(ctx, c.Root, mutations, m.Runs, func(f fuzzcorpus.MutationResult) {
		if !f.Found {
			missed++
		}
		fmt.Printf("%-24s %-48s %s\n", f.Package+" "+f.Target, f.Description, describeResult(f))
	})
	if missed > 0 {
		err = errors.Join(err, fmt.Errorf("%d of %d faults were not found", missed, len(mutations)))
	}
	return err
}

// mutationsFor returns the seeded faults that the targets should find.
func mutationsFor(targets []fuzzcorpus.Target) []fuzzcorpus.Mutation {
	selected := map[string]bool{}
	for _, t := range targets {
		selected[t.String()] = true
	}
	var mutations []fuzzcorpus.Mutation
	for _, m := range fuzzcorpus.Mutations {
		if selected[m.Package+" "+m.Target] {
			mutations = append(mutations, m)
		}
	}
	return mutations
}

func describeResult(f fuzzcorpus.MutationResult) string {
	switch {
	case !f.Found:
		return fmt.Sprintf("MISSED in %d corpus and %d new inputs", f.Replayed, f.Fuzzed)
	case !f.FoundByCorpus:
		return fmt.Sprintf("found after %d corpus and about %d new inputs", f.Replayed, f.Fuzzed)
	}
	return fmt.Sprintf("found by input %d of the corpus", f.Replayed)
}
