package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/estimates"
	"honeyplank/gateway"
)

// Times of a graceful shutdown, which writes the file of estimates while ops are drained.
const (
	saveHeadStart   = 200 * time.Millisecond // before ops are rejected; enough for a write without errors
	saveTimeout     = 10 * time.Second       // for all attempts of the write; the shutdown timeout may end them earlier
	saveReturnGrace = time.Second            // additional time for the last attempt to return
)

var errSaveHangs = errors.New("write did not return")

type serveCommand struct {
	File      string        `arg:"" help:"Settings, as XML."`
	Seed      int64         `help:"Seed of the gateway's random numbers; 0: seed from the time."`
	Stop      time.Duration `help:"Time limit of a graceful shutdown; remaining ops then fail." default:"30s"`
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
	ctx, stop := signalContext()
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

// shutDown drains the gateway and saves its estimates at the same time. Both end within the time limit of a graceful
// shutdown.
func (c *serveCommand) shutDown(g *gateway.Instance, log zerolog.Logger) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Stop)
	defer cancel()
	saved := c.saveEstimates(ctx, g, log)
	closesWithin(saved, saveHeadStart)
	err := g.Shutdown(ctx)
	if !closesWithin(saved, min(c.Stop, saveTimeout)-time.Since(started)+saveReturnGrace) {
		log.Warn().Err(errSaveHangs).Msg("estimates not saved")
	}
	return err
}

// loadEstimates reads the estimates that an earlier instance has saved. If there is no valid file, it returns nil, and
// the gateway starts without estimates.
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

// saveEstimates writes the file for a later instance in a goroutine and closes saved when the goroutine ends. The
// goroutine ends after saveTimeout or when ctx is done, at the latest. If a system call does not return, the goroutine
// ends with the process.
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

// closesWithin waits for a channel to be closed and reports whether it is closed. It returns true for a channel that is
// already closed, even if the timeout is 0 or negative.
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
