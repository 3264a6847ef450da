package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"honeyplank/bench"
	"honeyplank/bench/overload"
)

type benchCommand struct {
	Ops     opsCommand     `cmd:"" default:"withargs" help:"Measure the cost of an op, through the gateway and direct."`
	Hostile hostileCommand `cmd:"" help:"Measure the service of clients while others are abusive."`
	Sources sourcesCommand `cmd:"" help:"Measure the cost of watching the endpoint list."`
	Fleet   fleetCommand   `cmd:"" help:"Measure the cost of one scheduler, by fleet size."`

	Overload overloadCommand `cmd:"" help:"Measure one scheduler of the platform while clients burden it."`
}

type hostileCommand struct {
	Connections int     `help:"Connections of abusive clients." default:"1000"`
	Seconds     float64 `help:"Length of each phase." default:"3"`
	JSON        bool    `help:"Print the figures as JSON."`
}

func (c *hostileCommand) Run() error {
	h, err := bench.Abusive(c.Connections, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(h)
	}
	fmt.Print(h)
	return nil
}

type sourcesCommand struct {
	Nodes   []int   `help:"Sizes of the fleet." default:"10,100,1000,10000"`
	Rates   []int   `help:"Changes per second." default:"1,100,1000"`
	Seconds float64 `help:"Length of the run at each size and rate." default:"3"`
	JSON    bool    `help:"Print the figures as JSON."`
}

func (c *sourcesCommand) Run() error {
	list, err := bench.Sources(c.Nodes, c.Rates, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	fmt.Print(bench.WatchCostTable(list))
	for _, schedulers := range []int{1, 100} {
		if err := c.printQueries(schedulers); err != nil {
			return err
		}
	}
	fmt.Println()
	return nil
}

// recordTTLSeconds is the TTL of the DNS records whose queries are counted.
const recordTTLSeconds = 2

func (c *sourcesCommand) printQueries(schedulers int) error {
	rate, err := bench.DNSLoad(schedulers, recordTTLSeconds, recordTTLSeconds*c.Seconds)
	if err != nil {
		return err
	}
	fmt.Printf("\n%d schedulers, records of %d s: %.1f queries a second at the name server, "+
		"at most %.0f a second within any 100 ms", schedulers, recordTTLSeconds, rate.Mean, rate.Peak)
	return nil
}

type opsCommand struct {
	Seconds float64 `help:"Length of each phase." default:"3"`
	Depth   int     `help:"Ops in flight at saturation." default:"128"`
	Rate    float64 `help:"Ops per second while latency is measured." default:"1000"`
	JSON    bool    `help:"Print the report as JSON."`
	Check   bool    `help:"Fail if the cost of an op exceeds the baseline by over a tenth."`
}

func (c *opsCommand) Run() error {
	r, err := bench.Ops(bench.OpsOptions{Seconds: c.Seconds, InFlight: c.Depth, Rate: c.Rate})
	if err != nil {
		return err
	}
	if c.JSON {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
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

// Run starts this program as a scheduler and measures it, once for each fleet size.
func (c *fleetCommand) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	costs, err := bench.Fleet(ctx, program, c.Servers, c.Seconds)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(costs)
	}
	fmt.Print(bench.FleetTable(costs))
	return nil
}

type overloadCommand struct {
	Abuse       []string `help:"Names of the ways in which clients burden the scheduler; default: each of them."`
	Mixed       bool     `help:"Play them one after another with one scheduler, again and again, in seeded order."`
	Clients     int      `help:"Abusive clients." default:"120"`
	Seconds     float64  `help:"Length for each way, or of the whole mixed run." default:"8"`
	Seed        int64    `help:"Seed of what the clients send." default:"1"`
	Servers     int      `help:"Disk servers." default:"14"`
	MemoryMB    int      `help:"Limit of the scheduler's memory, in MB." default:"64"`
	Descriptors int      `help:"Limit of the scheduler's descriptors." default:"384"`
	ValueBytes  int      `help:"Bytes of the values of disk servers." default:"16384"`
	Log         string   `help:"File for the log of the scheduler." placeholder:"FILE"`
}

// Run starts this program as a scheduler and measures it, once for each way or once for all.
func (c *overloadCommand) Run() error {
	abuses, err := overload.Select(c.Abuse)
	if err != nil {
		return usageError{err}
	}
	options := overload.Options{
		Seed: c.Seed, Length: time.Duration(c.Seconds * float64(time.Second)), Clients: c.Clients, Servers: c.Servers,
		MemoryMB: c.MemoryMB, Descriptors: c.Descriptors, ValueBytes: c.ValueBytes,
	}
	if options.Program, err = os.Executable(); err != nil {
		return err
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // written by the scheduler
		options.Log = file
	}
	plays := overload.OneByOne(abuses)
	if c.Mixed {
		plays = [][]overload.Abuse{overload.Mix(abuses, options.Length, c.Seed)}
	}
	ctx, stop := signalContext()
	defer stop()
	for _, options.Abuses = range plays {
		report, err := overload.Run(ctx, options)
		if err != nil {
			return err
		}
		fmt.Println(report)
	}
	return nil
}
