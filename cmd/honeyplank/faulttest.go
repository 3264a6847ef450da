package main

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"honeyplank/faulttest"
	"honeyplank/settings"
)

type faultTestCommand struct {
	Script   string `help:"Script to run: badday, sources, wires (built in) or a file." default:"badday"`
	Seed     int64  `help:"Seed of all random numbers." default:"1"`
	Trouble  string `help:"Inject only this kind of fault, or all kinds one by one."`
	Baseline bool   `help:"Have the gateways dispatch ops in order of arrival, as a baseline."`
	JSON     bool   `help:"Print the report as JSON."`
	Verbose  bool   `help:"Show the gateways' log lines."`
}

// maxParallelScenarios is the maximum number of scenarios that run at a time.
const maxParallelScenarios = 3

var errRuleBroken = errors.New("a rule is broken; run the same command with the same seed to reproduce it")

func (c *faultTestCommand) Run(log zerolog.Logger) error {
	script, err := c.readScript()
	if err != nil {
		return err
	}
	scenarios := []faulttest.Scenario{{Script: script}}
	if c.Trouble != "" {
		if scenarios, err = faulttest.Scenarios(script, c.Trouble); err != nil {
			return usageError{err}
		}
	}
	ctx, stop := signalContext()
	defer stop()
	kept := true
	for i, result := range c.runAll(ctx, scenarios, log) {
		name := scenarios[i].Name
		if result.err != nil {
			return fmt.Errorf("%s: %w", name, result.err)
		}
		kept = kept && result.report.Kept
		if err := c.print(name, result.report); err != nil {
			return err
		}
	}
	if !kept {
		return errRuleBroken
	}
	return nil
}

func (c *faultTestCommand) readScript() (*settings.Gateway, error) {
	script, err := c.parseScript()
	if err == nil && script.FaultTest == nil {
		return nil, usageError{fmt.Errorf("%s has no <rehearsal>", c.Script)}
	}
	return script, err
}

func (c *faultTestCommand) parseScript() (*settings.Gateway, error) {
	builtIn := map[string][]byte{"badday": faulttest.BadDay, "sources": faulttest.Sources, "wires": faulttest.Wires}
	if text, ok := builtIn[c.Script]; ok {
		return settings.Parse("built-in script", text)
	}
	return readSettings(c.Script)
}

// faultTestResult is the result of a scenario: a report or an error.
type faultTestResult struct {
	report *faulttest.Report
	err    error
}

// runAll runs the scenarios, at most maxParallelScenarios at a time, and returns their results in order.
func (c *faultTestCommand) runAll(
	ctx context.Context, scenarios []faulttest.Scenario, log zerolog.Logger,
) []faultTestResult {
	results := make([]faultTestResult, len(scenarios))
	slots := make(chan struct{}, maxParallelScenarios)
	var group sync.WaitGroup
	for i, scenario := range scenarios {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			report, err := faulttest.Run(ctx, c.options(scenario.Script, log))
			results[i] = faultTestResult{report, err}
		})
	}
	group.Wait()
	return results
}

func (c *faultTestCommand) options(script *settings.Gateway, log zerolog.Logger) faulttest.Options {
	o := faulttest.Options{Script: script, Seed: c.Seed, Log: zerolog.Nop()}
	if c.Verbose {
		o.Log = log
	}
	if c.Baseline {
		o.Module = faulttest.NewBaseline
	}
	return o
}

// faultTestJSON is a report, with the kind of fault if only one was injected.
type faultTestJSON struct {
	Trouble string `json:"trouble,omitempty"`
	*faulttest.Report
}

func (c *faultTestCommand) print(name string, report *faulttest.Report) error {
	if c.JSON {
		return printJSON(faultTestJSON{name, report})
	}
	if name != "" {
		fmt.Printf("---- trouble: %s ----\n", name)
	}
	fmt.Println(report)
	return nil
}
