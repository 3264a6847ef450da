package main

import (
	"context"
	"errors"
	"honeyplank/estimates"
	"honeyplank/gateway"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

func signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

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
	r, ok := g.Estimates()
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

func (c *serveCommand) Run(log zerolog.Logger) error {
	s, err := patiently(log, c.File, read)
	if err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = time.Now().UnixNano()
	}
	g, err := gateway.New(gateway.Options{Settings: s, Seed: c.Seed, Estimates: c.learnt(log), Log: log})
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

// At a stop the file of what was learnt is written beside the settling of ops: neither waits for the other, but for
// firstWrite. A write that fails is tried again for lastWrite, and no longer than the stop may take.
const (
	firstWrite = 200 * time.Millisecond // ops are taken on while a write that works is carried out
	lastWrite  = 10 * time.Second
	writeEnds  = time.Second // for a write that was begun before to end
)

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
