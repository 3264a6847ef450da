package main

import (
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"honeyplank/platform"
)

type platformCommand struct {
	File string `arg:"" optional:"" env:"PROXY_CONFIG" help:"Configuration that the platform writes, as JSON."`
}

// heapShare is the part of the memory limit that the program's own heap may take before it is cleared up harder.
const heapShare = 0.5

// heapGrowth is by how many percent the heap grows before it is cleared up: little is live, and less often is cheaper.
const heapGrowth = 400

// Run plays one scheduler in the foreground: SIGHUP reads the configuration anew, SIGTERM ends it in order.
func (c *platformCommand) Run(log zerolog.Logger) error {
	if c.File == "" {
		return invalid{errors.New("no configuration file is named, nor PROXY_CONFIG set")}
	}
	p, err := platform.Read(c.File)
	if err != nil {
		return invalid{err}
	}
	debug.SetGCPercent(heapGrowth)
	limit(p)
	heard := make(chan os.Signal, 8)
	signal.Notify(heard, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	s, err := platform.New(p, log.With().Str("scheduler", p.Name).Logger())
	if err != nil {
		return err
	}
	log.Info().Str("address", s.Address()).Str("discovery", p.Discovery).Int("sockets", p.Sockets).Int("memory_mb", p.MemoryMB).Msg("serving")
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	for {
		select {
		case err := <-served:
			return err
		case sig := <-heard:
			if sig != syscall.SIGHUP {
				s.Shutdown()
				continue
			}
			if p, err := platform.Read(c.File); err != nil {
				log.Error().Err(err).Msg("the configuration stays as it was")
			} else {
				limit(p)
				s.Reload(p)
			}
		}
	}
}

// limit keeps the process within what the configuration allows it.
func limit(p *platform.Papers) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(p.MemoryMB) * (1 << 20)))
}
