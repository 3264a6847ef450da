package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"honeyplank/faulttest"
	"honeyplank/settings"
	"os"
	"sync"

	"github.com/rs/zerolog"
)

type faultTestCommand struct {
	Script   string `help:"Script to play: badday, sources and wires are built in, else a file." default:"badday"`
	Seed     int64  `help:"Seed of all chance." default:"1"`
	Trouble  string `help:"Play one kind of trouble on its own, or all of them one by one."`
	Baseline bool   `help:"Have the gateways pass ops on in order of arrival, to measure against."`
	JSON     bool   `help:"Print the report as JSON."`
	Verbose  bool   `help:"Show the gateways' log lines."`
}

func (c *faultTestCommand) Run(log zerolog.Logger) error {
	var script *settings.Gateway
	var err error
	switch c.Script {
	case "badday":
		script, err = settings.Parse("built-in script", faulttest.BadDay)
	case "wires":
		script, err = settings.Parse("built-in script", faulttest.Wires)
	case "sources":
		script, err = settings.Parse("built-in script", faulttest.Sources)
	default:
		script, err = read(c.Script)
	}
	if err != nil {
		return err
	}
	if script.FaultTest == nil {
		return usageError{fmt.Errorf("%s has no <rehearsal>", c.Script)}
	}
	ctx, stop := signals()
	defer stop()
	scenarios := []faulttest.Scenario{{Script: script}}
	if c.Trouble != "" {
		if scenarios, err = faulttest.Scenarios(script, c.Trouble); err != nil {
			return usageError{err}
		}
	}
	reports := make([]*faulttest.Report, len(scenarios))
	errs := make([]error, len(scenarios))
	var group sync.WaitGroup
	slots := make(chan struct{}, 3) // so many play at a time
	for i, scenario := range scenarios {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			o := faulttest.Options{Script: scenario.Script, Seed: c.Seed, Log: zerolog.Nop()}
			if c.Verbose {
				o.Log = log
			}
			if c.Baseline {
				o.Module = faulttest.NewBaseline
			}
			reports[i], errs[i] = faulttest.Run(ctx, o)
		}()
	}
	group.Wait()
	kept := true
	for i, scenario := range scenarios {
		name := scenario.Name
		if errs[i] != nil {
			return fmt.Errorf("%s: %w", name, errs[i])
		}
		kept = kept && reports[i].Kept
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(struct {
				Trouble string `json:"trouble,omitempty"`
				*faulttest.Report
			}{name, reports[i]}); err != nil {
				return err
			}
			continue
		}
		if name != "" {
			fmt.Printf("---- trouble: %s ----\n", name)
		}
		fmt.Println(reports[i])
	}
	if !kept {
		return errors.New("a rule is broken; the same command with the same seed plays it again")
	}
	return nil
}
