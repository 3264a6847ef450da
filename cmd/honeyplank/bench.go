package main

import (
	"encoding/json"
	"fmt"
	"honeyplank/bench"
	"os"
)

type benchCommand struct {
	Ops     opsCommand     `cmd:"" default:"withargs" help:"What an op costs, through the gateway and straight at fakes."`
	Hostile hostileCommand `cmd:"" help:"What honest clients have beside hostile peers."`
	Sources sourcesCommand `cmd:"" help:"What following the list costs, by fleet and rate of change."`
	Fleet   fleetCommand   `cmd:"" help:"What one scheduler of the platform costs, by the size of the fleet."`
}

type hostileCommand struct {
	Connections int     `help:"Hostile connections." default:"1000"`
	Seconds     float64 `help:"Length of each phase." default:"3"`
	JSON        bool    `help:"Print the figures as JSON."`
}

func (c *hostileCommand) Run() error {
	h, err := bench.Hostile(c.Connections, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(h)
	}
	fmt.Print(h)
	return nil
}

type sourcesCommand struct {
	Nodes   []int   `help:"Sizes of the fleet." default:"10,100,1000,10000"`
	Rates   []int   `help:"Changes a second." default:"1,100,1000"`
	Seconds float64 `help:"Length at each size and rate." default:"3"`
	JSON    bool    `help:"Print the figures as JSON."`
}

func (c *sourcesCommand) Run() error {
	list, err := bench.Sources(c.Nodes, c.Rates, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	fmt.Print(bench.WatchCostTable(list))
	for _, schedulers := range []int{1, 100} {
		rate, err := bench.DNSLoad(schedulers, 2, 2*c.Seconds)
		if err != nil {
			return err
		}
		fmt.Printf("\n%d schedulers, records of 2 s: %.1f queries a second at the name server, at most %.0f a second within any tenth of one", schedulers, rate.Mean, rate.Peak)
	}
	fmt.Println()
	return nil
}

type opsCommand struct {
	Seconds float64 `help:"Length of each phase." default:"3"`
	Depth   int     `help:"Ops out at a time at saturation." default:"128"`
	Rate    float64 `help:"Ops a second where latency is measured." default:"1000"`
	JSON    bool    `help:"Print the report as JSON."`
	Check   bool    `help:"Fail when allocations, system calls or bytes copied an op have grown by over a tenth."`
}

func (c *opsCommand) Run() error {
	r, err := bench.Ops(bench.OpsOptions{Seconds: c.Seconds, InFlight: c.Depth, Rate: c.Rate})
	if err != nil {
		return err
	}
	if c.JSON {
		b, _ := json.MarshalIndent(r, "", "  ")
		fmt.Println(string(b))
	} else {
		fmt.Print(r)
	}
	if c.Check {
		return r.Compare(bench.Baseline)
	}
	return nil
}

type fleetCommand struct {
	Servers []int   `help:"Sizes of the fleet." default:"200,3200"`
	Seconds float64 `help:"Length of the load at each size." default:"10"`
	JSON    bool    `help:"Print the figures as JSON."`
}

// Run starts this program as a scheduler, once for each size.
func (c *fleetCommand) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	costs, err := bench.Fleet(ctx, program, c.Servers, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(costs)
	}
	fmt.Print(bench.FleetTable(costs))
	return nil
}
