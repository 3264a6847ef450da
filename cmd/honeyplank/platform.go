package main

import (
	"context"
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"honeyplank/scheduler"
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
		return usageError{errors.New("no configuration file is named, nor PROXY_CONFIG set")}
	}
	// A signal is dropped where its channel is full: one that waits there is as good as two, of its own kind only.
	anew, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(anew, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := reader[*scheduler.Config]{func() (*scheduler.Config, error) { return scheduler.ReadConfig(c.File) }, unread, log}
	p, err := before(end, func() (*scheduler.Config, error) { return file.load(ctx, anew) })
	if err != nil && err != errEnded {
		return usageError{err}
	}
	var s *scheduler.Scheduler
	if err == nil {
		debug.SetGCPercent(heapGrowth)
		limit(p)
		s, err = before(end, func() (*scheduler.Scheduler, error) {
			return scheduler.New(p, log.With().Str("scheduler", p.Name).Logger())
		})
	}
	if err == errEnded {
		log.Info().Msg(err.Error())
		return nil
	}
	if err != nil {
		return err
	}
	log.Info().Str("address", s.Address()).Str("discovery", p.Discovery).Int("sockets", p.Sockets).Int("memory_mb", p.MemoryMB).Msg("serving")
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	go file.follow(ctx, anew, func(p *scheduler.Config) { limit(p); s.Reload(p) })
	for {
		select {
		case err := <-served:
			return err
		case <-end:
			s.Shutdown()
		}
	}
}

// limit keeps the process within what the configuration allows it.
func limit(p *scheduler.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(p.MemoryMB) * (1 << 20)))
}
