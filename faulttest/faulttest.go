// Package faulttest plays a script in one process on loopback: gateways, fake disk servers, a fake etcd, fake name
// servers and clients, with faults that are injected at the script's times. Package audit checks the rules on what
// crossed the sockets. All figures are of fakes.
//
// It is a test tool: no instance uses it, and it takes no decision on ops. Run may be called from any goroutine,
// several times at once. What touches fakes and clients runs on the event loop of the run.
package faulttest

import (
	"context"
	_ "embed" // for the built-in scripts
	"errors"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/settings"
)

// BadDay is the built-in script.
//
//go:embed badday.xml
var BadDay []byte

// Sources is the built-in script in which etcd and DNS misbehave.
//
//go:embed sources.xml
var Sources []byte

// Wires is the built-in script in which bytes are damaged between clients, gateways and disk servers.
//
//go:embed wires.xml
var Wires []byte

// Options are how a script is played.
type Options struct {
	// Script is the settings of all gateways, with a FaultTest.
	Script *settings.Gateway
	// Seed is that of all random numbers.
	Seed int64
	// Module replaces the decision module of every gateway; nil: the product's own.
	Module func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule
	// Log receives the log lines of gateways and the faults that are injected.
	Log zerolog.Logger
}

var errNoFaultTest = errors.New("faulttest: the script has no <rehearsal>")

// Run plays a script and reports on it. If ctx is done before the end, it returns the context's error with the report
// of what was played.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Script == nil || options.Script.FaultTest == nil {
		return nil, errNoFaultTest
	}
	began := time.Now()
	r, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.build(); err != nil {
		r.loop.Stop()
		return nil, errors.Join(err, r.loop.Run())
	}
	report, err := r.play(ctx)
	report.Seconds = time.Since(began).Seconds()
	return report, err
}
