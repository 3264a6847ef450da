package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/estimates"
	"honeyplank/gateway"
)

// At a graceful shutdown the file of estimates is written beside the draining of ops.
const (
	saveHeadStart   = 200 * time.Millisecond // before ops are rejected; enough for a write that works
	saveTimeout     = 10 * time.Second       // for all attempts of the write, within the time for the shutdown
	saveReturnGrace = time.Second            // for the last attempt to return
)

var errSaveHangs = errors.New("write did not return")

type serveCommand struct {
	File      string        `arg:"" help:"Settings, as XML."`
	Seed      int64         `help:"Seed of the gateway's random numbers; 0: from the time."`
	Stop      time.Duration `help:"Time for a graceful shutdown; then ops are failed." default:"30s"`
	Estimates string        `help:"File that keeps estimates across restarts." placeholder:"FILE" aliases:"learnt"`
}

// Run serves until SIGINT or SIGTERM, then shuts down gracefully. A second signal ends the process at once.
func (c *serveCommand) Run(log zerolog.Logger) error {
	s, err := readWithRetry(log, c.File, readSettings)
	if err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = time.Now().UnixNano()
	}
	g, err := gateway.New(gateway.Options{Settings: s, Seed: c.Seed, Estimates: c.loadEstimates(log), Log: log})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	log.Info().Str("address", g.Address()).Str("subsystem", s.Listen.Subsystem).Msg("serving")
	served := make(chan error, 1)
	go func() { served <- g.Serve(context.Background()) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stop()
	err = c.shutDown(g, log)
	log.Info().Err(err).Msg("stopped")
	return errors.Join(err, <-served)
}

// shutDown drains the gateway and saves its estimates meanwhile, both within the time for a graceful shutdown.
func (c *serveCommand) shutDown(g *gateway.Instance, log zerolog.Logger) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Stop)
	defer cancel()
	saved := c.saveEstimates(ctx, g, log)
	closesWithin(saved, saveHeadStart)
	err := g.Shutdown(ctx)
	if !closesWithin(saved, min(c.Stop, saveTimeout)-time.Since(began)+saveReturnGrace) {
		log.Warn().Err(errSaveHangs).Msg("estimates not saved")
	}
	return err
}

// loadEstimates reads what an earlier instance has saved. Without a valid file it returns nil, and the gateway starts
// without estimates.
func (c *serveCommand) loadEstimates(log zerolog.Logger) *estimates.Record {
	if c.Estimates == "" {
		return nil
	}
	r, err := readWithRetry(log, c.Estimates, estimates.Read)
	if err != nil {
		log.Warn().Err(err).Msg("saved estimates not loaded")
		return nil
	}
	log.Info().Int("servers", len(r.Servers)).Msg("saved estimates loaded")
	return r
}

// saveEstimates writes the file for a later instance on a goroutine of its own and closes saved at its end: after
// saveTimeout or when ctx is done, at the latest. A system call that does not return keeps it until the process ends.
func (c *serveCommand) saveEstimates(
	ctx context.Context, g *gateway.Instance, log zerolog.Logger,
) (saved <-chan struct{}) {
	done := make(chan struct{})
	r, ok := g.Estimates()
	if c.Estimates == "" || !ok {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		onRetry := func(err error) { log.Warn().Err(err).Msg("saving estimates failed, retrying") }
		if err := r.WriteWithRetry(ctx, c.Estimates, onRetry); err != nil {
			log.Warn().Err(err).Msg("estimates not saved")
			return
		}
		log.Info().Int("servers", len(r.Servers)).Msg("estimates saved")
	}()
	return done
}

// closesWithin waits for a channel to be closed, and tells whether it was. One that is closed already counts even if
// there is no time left.
func closesWithin(done <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-done:
	case <-time.After(timeout):
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}
