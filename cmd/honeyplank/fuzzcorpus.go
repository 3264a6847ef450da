package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"honeyplank/fuzzcorpus"
)

type fuzzCorpusCommand struct {
	Root   string `help:"The source tree." default:"." type:"existingdir"`
	Target string `help:"Only targets whose name or package matches this pattern."`

	Replay   replayCommand   `cmd:"" help:"Run every input through its target."`
	Grow     growCommand     `cmd:"" help:"Fuzz each target for a time and keep what reached something new."`
	Minimise minimiseCommand `cmd:"" help:"Drop the inputs that reach nothing that others don't, and rewrite those of older targets."`
	Stats    statsCommand    `cmd:"" help:"Tell what each target has and reaches."`
	Mutate   mutateCommand   `cmd:"" aliases:"sabotage" help:"Put seeded faults into parsers and state machines, and see whether their targets find them."`
}

func (c *fuzzCorpusCommand) targets() ([]fuzzcorpus.Target, error) {
	targets, err := fuzzcorpus.Find(c.Root, c.Target)
	if err != nil {
		err = usageError{err}
	}
	return targets, err
}

var errFuzzCorpus = errors.New("an input fails or is not one for its target")

// play runs one of the corpus' works over the targets; show prints each result, faults decide how it ends.
func (c *fuzzCorpusCommand) play(work func(context.Context, []fuzzcorpus.Target, func(fuzzcorpus.Result)) error, show func(fuzzcorpus.Result)) error {
	targets, err := c.targets()
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	failed := false
	err = work(ctx, targets, func(r fuzzcorpus.Result) {
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
	return c.play(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Replay(ctx, c.Root, targets, done)
	}, func(r fuzzcorpus.Result) {
		fmt.Printf("%-28s %5d inputs %8d bytes %8s\n", r.Target, r.Files, r.Bytes, r.Took.Round(10*time.Millisecond))
	})
}

type growCommand struct {
	Time    time.Duration `help:"For how long, each target." default:"60s"`
	Workers int           `help:"Inputs tried at a time." default:"4"`
	Most    int64         `help:"Longest input that is kept, in bytes." default:"2048"`
}

func (g *growCommand) Run(c *fuzzCorpusCommand) error {
	return c.play(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Grow(ctx, c.Root, targets, fuzzcorpus.GrowOptions{Time: g.Time, Workers: g.Workers, MaxBytes: g.Most}, done)
	}, func(r fuzzcorpus.Result) {
		fmt.Printf("%-28s %10d inputs tried in %6s, %4d kept, now %5d\n", r.Target, r.Tried, r.Took.Round(time.Second), len(r.Added), r.Files)
		if r.Crash != "" {
			fmt.Printf("a finding, kept as %s; go test -run '%s/%s' ./%s plays it\n", r.Crash, r.Target.Name, r.Crash, r.Target.Package)
		}
	})
}

type minimiseCommand struct{}

func (*minimiseCommand) Run(c *fuzzCorpusCommand) error {
	return c.play(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		return fuzzcorpus.Minimise(ctx, c.Root, targets, done)
	}, func(r fuzzcorpus.Result) {
		fmt.Printf("%-28s %5d inputs dropped, %5d stay, %d rewritten; %.1f%% of the package's statements, seeds alone %.1f%%\n",
			r.Target, len(r.Dropped), r.Files, r.Upgraded, 100*r.Covered, 100*r.Seeds)
	})
}

type statsCommand struct{}

func (*statsCommand) Run(c *fuzzCorpusCommand) error {
	return c.play(func(ctx context.Context, targets []fuzzcorpus.Target, done func(fuzzcorpus.Result)) error {
		fmt.Printf("%-28s %8s %9s   share of the package's statements: %5s %11s\n", "target", "inputs", "bytes", "seeds", "with corpus")
		return fuzzcorpus.Stats(ctx, c.Root, targets, done)
	}, func(r fuzzcorpus.Result) {
		fmt.Printf("%-28s %8d %9d %42.1f%% %10.1f%%\n", r.Target, r.Files, r.Bytes, 100*r.Seeds, 100*r.Covered)
	})
}

type mutateCommand struct {
	Runs int `help:"Inputs that a target may make after its corpus has found nothing." default:"200000"`
}

func (s *mutateCommand) Run(c *fuzzCorpusCommand) error {
	targets, err := c.targets()
	if err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.String()] = true
	}
	var list []fuzzcorpus.Mutation
	for _, x := range fuzzcorpus.Mutations {
		if wanted[x.Package+" "+x.Target] {
			list = append(list, x)
		}
	}
	ctx, stop := signals()
	defer stop()
	missed := 0
	err = fuzzcorpus.Mutate(ctx, c.Root, list, s.Runs, func(f fuzzcorpus.MutationResult) {
		word := fmt.Sprintf("found by input %d of the corpus", f.Replayed)
		switch {
		case !f.Found:
			missed++
			word = fmt.Sprintf("MISSED in %d and %d inputs", f.Replayed, f.Fuzzed)
		case !f.FoundByCorpus:
			word = fmt.Sprintf("found after the corpus, %d, and about %d new inputs", f.Replayed, f.Fuzzed)
		}
		fmt.Printf("%-24s %-48s %s\n", f.Package+" "+f.Target, f.Kind, word)
	})
	if missed > 0 {
		err = errors.Join(err, fmt.Errorf("%d of %d faults were not found", missed, len(list)))
	}
	return err
}
