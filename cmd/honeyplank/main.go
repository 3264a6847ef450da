// Command honeyplank is the gateway's daemon and its operators' tools: flags, files, signals and logging round
// package gateway. It decides nothing.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"honeyplank/bench"
	"honeyplank/estimates"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/settings"
)

type commands struct {
	LogLevel string `help:"Least level of log lines: debug, info, warn, error." default:"info" enum:"debug,info,warn,error"`
	LogText  bool   `help:"Log lines for people instead of JSON."`

	Serve    serveCommand    `cmd:"" help:"Run a gateway."`
	Platform platformCommand `cmd:"" help:"Play one scheduler of the operators' platform."`
	Nodes    nodesCommand    `cmd:"" help:"Tell what a gateway of some settings believes of each disk server, and why."`
	Settings settingsCommand `cmd:"" help:"Check and show settings."`
	Rehearse rehearseCommand `cmd:"" help:"Play a bad day on stand-ins and judge the rules."`
	Bench    benchCommand    `cmd:"" help:"Measure what the gateway costs, against stand-ins asked directly."`
	Corpus   corpusCommand   `cmd:"" help:"Keep the inputs of the fuzz targets, in a source tree."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in, to try the gateway on."`
	Version  versionCommand  `cmd:"" help:"Tell the version."`
}

// invalid marks errors of what was given: exit 2.
type invalid struct{ error }

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("honeyplank"), kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."), kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	level, _ := zerolog.ParseLevel(c.LogLevel)
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if c.LogText {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli})
	}
	if err := k.Run(log); err != nil {
		fmt.Fprintln(os.Stderr, "honeyplank:", err)
		var fault *settings.Fault
		if errors.As(err, &fault) || errors.As(err, &invalid{}) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func read(file string) (*settings.Gateway, error) {
	s, err := settings.Read(file)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		err = invalid{err}
	}
	return s, err
}

// At a stop the file of what was learnt is written beside the settling of ops: neither waits for the other, but for
// firstWrite. A write that fails is tried again for lastWrite, and no longer than the stop may take.
const (
	firstWrite = 200 * time.Millisecond // ops are taken on while a write that works is carried out
	lastWrite  = 10 * time.Second
	writeEnds  = time.Second // for a write that was begun before to end
)

type serveCommand struct {
	File string        `arg:"" help:"Settings, as XML."`
	Seed int64         `help:"Seed of the gateway's random numbers; 0: from the time."`
	Stop time.Duration `help:"How long a stop may take before what is left is aborted." default:"30s"`
	// Learnt is kept across a switch: docs/migration.md.
	Learnt string `help:"File in which what is learnt of disk servers is kept from a stop to the next start." placeholder:"FILE"`
}

// learnt reads the file of the instance before; without a sound one the start is as any other.
func (c *serveCommand) learnt(log zerolog.Logger) *estimates.Record {
	if c.Learnt == "" {
		return nil
	}
	r, err := patiently(log, c.Learnt, estimates.Read)
	if err != nil {
		log.Warn().Err(err).Msg("starting without what was learnt")
		return nil
	}
	log.Info().Int("osds", len(r.Servers)).Msg("starting with what was learnt")
	return r
}

// keep writes the file for the instance to come, on a goroutine of its own that ends by lastWrite or with the context;
// kept is closed then. Where the system itself doesn't come back from a call, it stays until the process ends.
func (c *serveCommand) keep(ctx context.Context, g *gateway.Instance, log zerolog.Logger) (kept chan struct{}) {
	kept = make(chan struct{})
	r, ok := g.Learnt()
	if c.Learnt == "" || !ok {
		close(kept)
		return kept
	}
	go func() {
		defer close(kept)
		ctx, cancel := context.WithTimeout(ctx, lastWrite)
		defer cancel()
		err := r.WriteWithRetry(ctx, c.Learnt, func(err error) { log.Warn().Err(err).Msg("what was learnt is not kept yet") })
		if err != nil {
			log.Warn().Err(err).Msg("what was learnt is not kept")
			return
		}
		log.Info().Int("osds", len(r.Servers)).Msg("what was learnt is kept")
	}()
	return kept
}

// over waits until a channel is closed, for a while at most, and tells whether it was.
func over(done <-chan struct{}, wait time.Duration) bool {
	select {
	case <-done:
	case <-time.After(wait):
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (c *serveCommand) Run(log zerolog.Logger) error {
	s, err := patiently(log, c.File, read)
	if err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = time.Now().UnixNano()
	}
	g, err := gateway.New(gateway.Options{Settings: s, Seed: c.Seed, Learnt: c.learnt(log), Log: log})
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	log.Info().Str("address", g.Address()).Str("subsystem", s.Listen.Subsystem).Msg("serving")
	served := make(chan error, 1)
	go func() { served <- g.Serve(context.Background()) }()
	select {
	case err = <-served:
		return err
	case <-ctx.Done():
	}
	stop() // a second signal ends the process at once
	began := time.Now()
	within, cancel := context.WithTimeout(context.Background(), c.Stop)
	defer cancel()
	kept := c.keep(within, g, log)
	over(kept, firstWrite)
	err = g.Shutdown(within)
	if !over(kept, min(c.Stop, lastWrite)-time.Since(began)+writeEnds) {
		log.Warn().Msg("what was learnt is not kept: the system did not come back from its write")
	}
	log.Info().Err(err).Msg("stopped")
	return errors.Join(err, <-served)
}

type nodesCommand struct {
	File  string        `arg:"" help:"Settings, as XML."`
	Wait  time.Duration `help:"How long to listen to the sources first." default:"1s"`
	Watch bool          `help:"Go on, and print the nodes whenever something has changed."`
	JSON  bool          `help:"Print JSON lines."`
}

// Run listens to the sources as a gateway does that serves nobody.
func (c *nodesCommand) Run() error {
	s, err := read(c.File)
	if err != nil {
		return err
	}
	s.Listen.Address = "127.0.0.1:0"
	g, err := gateway.New(gateway.Options{Settings: s, Seed: time.Now().UnixNano(), Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	go g.Serve(context.Background())
	defer g.Kill()
	seen := ""
	for first := true; first || c.Watch; first = false {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Wait):
		}
		list, _ := g.Nodes()
		key := ""
		for _, n := range list {
			key += n.OSD + n.Believed + n.Cause
		}
		if key == seen && !first {
			continue
		}
		seen = key
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(list); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%-22s %5s %-9s %-20s %-8s %-28s %s\n", "disk server", "cell", "believed", "cause", "since", "etcd says", "dns says")
		for _, n := range list {
			fmt.Printf("%-22s %5d %-9s %-20s %-8s %-28s %s\n", n.OSD, n.Cell, n.Believed, n.Cause, n.Since, n.Etcd, n.DNS)
		}
	}
	return nil
}

type settingsCommand struct {
	Check  checkCommand  `cmd:"" help:"Tell whether files are right."`
	Show   showCommand   `cmd:"" help:"Print settings with what was left to defaults."`
	Schema schemaCommand `cmd:"" help:"Print the XML schema."`
}

type checkCommand struct {
	Files []string `arg:"" help:"Files to check."`
}

func (c *checkCommand) Run() error {
	var all error
	for _, f := range c.Files {
		if _, err := read(f); err != nil {
			all = errors.Join(all, err)
		} else {
			fmt.Println(f + ": right")
		}
	}
	return all
}

type showCommand struct {
	File string `arg:"" help:"Settings, as XML."`
}

func (c *showCommand) Run() error {
	s, err := read(c.File)
	if err != nil {
		return err
	}
	b, err := s.XML()
	os.Stdout.Write(b)
	return err
}

type schemaCommand struct{}

func (*schemaCommand) Run() error {
	_, err := os.Stdout.Write(settings.Schema)
	return err
}

type rehearseCommand struct {
	Script   string `help:"Script to play: badday, sources and wires are built in, else a file." default:"badday"`
	Seed     int64  `help:"Seed of all chance." default:"1"`
	Trouble  string `help:"Play one kind of trouble on its own, or all of them one by one."`
	Baseline bool   `help:"Have the gateways pass ops on in order of arrival, to measure against."`
	JSON     bool   `help:"Print the report as JSON."`
	Verbose  bool   `help:"Show the gateways' log lines."`
}

func (c *rehearseCommand) Run(log zerolog.Logger) error {
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
	if script.Rehearsal == nil {
		return invalid{fmt.Errorf("%s has no <rehearsal>", c.Script)}
	}
	ctx, stop := signals()
	defer stop()
	scripts := map[string]*settings.Gateway{"": script}
	names := []string{""}
	if c.Trouble != "" {
		if scripts, names, err = faulttest.Troubles(script, c.Trouble); err != nil {
			return invalid{err}
		}
	}
	reports := make([]*faulttest.Report, len(names))
	errs := make([]error, len(names))
	var group sync.WaitGroup
	slots := make(chan struct{}, 3) // so many play at a time
	for i, name := range names {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			o := faulttest.Options{Script: scripts[name], Seed: c.Seed, Log: zerolog.Nop()}
			if c.Verbose {
				o.Log = log
			}
			if c.Baseline {
				o.Module = faulttest.Arrival
			}
			reports[i], errs[i] = faulttest.Run(ctx, o)
		}()
	}
	group.Wait()
	kept := true
	for i, name := range names {
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

type benchCommand struct {
	Ops     opsCommand     `cmd:"" default:"withargs" help:"What an op costs, through the gateway and straight at stand-ins."`
	Hostile hostileCommand `cmd:"" help:"What honest clients have beside hostile peers."`
	Sources sourcesCommand `cmd:"" help:"What following the list costs, by fleet and rate of change."`
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
	fmt.Print(bench.SourcesTable(list))
	for _, schedulers := range []int{1, 100} {
		mean, peak, err := bench.Crowd(schedulers, 2, 2*c.Seconds)
		if err != nil {
			return err
		}
		fmt.Printf("\n%d schedulers, records of 2 s: %.1f queries a second at the name server, at most %.0f in a tenth of a second times ten", schedulers, mean, peak)
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
	r, err := bench.Run(bench.Options{Seconds: c.Seconds, Depth: c.Depth, Rate: c.Rate})
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

type versionCommand struct{}

func (*versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = strings.TrimSpace(info.Main.Version + " " + info.GoVersion)
	}
	fmt.Println("honeyplank", version)
	return nil
}
