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
	File string `arg:"" optional:"" env:"PROXY_CONFIG" help:"Configuration written by the platform, as JSON."`
}

const (
	// memoryLimitShare is the share of the configured memory that is the Go runtime's limit. Sockets use memory outside
	// this limit.
	memoryLimitShare = 0.5
	// gcPercent lets the heap grow to five times the live heap between collections, since the live heap is small.
	gcPercent = 400
	bytesInMB = 1 << 20
)

// errTerminated means that a signal to terminate arrived before the scheduler was serving.
var errTerminated = errors.New("terminated before serving")

// Run runs one scheduler in the foreground. SIGHUP reloads the configuration; SIGTERM and SIGINT shut down gracefully.
func (c *platformCommand) Run(log zerolog.Logger) error {
	if c.File == "" {
		return usageError{errors.New("no configuration file: give its path or set PROXY_CONFIG")}
	}
	// A signal is dropped if its channel is full. The one that is pending in the channel has the same effect.
	reload, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := fileReader[*scheduler.Config]{
		func() (*scheduler.Config, error) { return scheduler.ReadConfig(c.File) }, retryConfigError, log,
	}
	config, err := unlessTerminated(terminate, func() (*scheduler.Config, error) { return file.load(ctx, reload) })
	if err != nil && !errors.Is(err, errTerminated) {
		return usageError{err}
	}
	var s *scheduler.Scheduler
	if err == nil {
		s, err = startScheduler(config, terminate, log)
	}
	if errors.Is(err, errTerminated) {
		log.Info().Msg("terminated before serving")
		return nil
	}
	if err != nil {
		return err
	}
	log.Info().Str("address", s.Address()).Str("discovery", config.Discovery).Int("sockets", config.Sockets).
		Int("memory_mb", config.MemoryMB).Msg("serving")
	go file.follow(ctx, reload, func(config *scheduler.Config) {
		applyResourceLimits(config)
		s.Reload(config)
	})
	return serveUntilTerminated(s, terminate)
}

func startScheduler(
	config *scheduler.Config, terminate <-chan os.Signal, log zerolog.Logger,
) (*scheduler.Scheduler, error) {
	debug.SetGCPercent(gcPercent)
	applyResourceLimits(config)
	return unlessTerminated(terminate, func() (*scheduler.Scheduler, error) {
		return scheduler.New(config, log.With().Str("scheduler", config.Name).Logger())
	})
}

// serveUntilTerminated runs the scheduler until it ends. Each signal on terminate makes it shut down.
func serveUntilTerminated(s *scheduler.Scheduler, terminate <-chan os.Signal) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	for {
		select {
		case err := <-served:
			return err
		case <-terminate:
			s.Shutdown()
		}
	}
}

// applyResourceLimits applies the limits of the configuration to the process.
func applyResourceLimits(config *scheduler.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(config.MemoryMB) * bytesInMB))
}

// unlessTerminated calls do, which may block, and returns its results. If a signal to terminate arrives first, it
// returns errTerminated, and the goroutine of the call ends with the process.
func unlessTerminated[T any](terminate <-chan os.Signal, do func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := do()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-terminate:
		var none T
		return none, errTerminated
	}
}
