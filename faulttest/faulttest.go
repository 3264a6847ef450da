// Package faulttest runs a script in one process on the loopback interface. It starts gateways, fake disk servers, a
// fake etcd, fake name servers and clients, and injects faults at the times in the script. Package audit checks the
// rules on the traffic that crossed the sockets. All measurements are of fake servers.
//
// It is a test tool: no instance uses it, and it takes no decision on ops. Any goroutine may call Run, and calls may
// overlap. The code that accesses fakes and clients runs on the event loop of its run.
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

// BadDay is the default built-in script. It injects faults of disk servers, clients, gateways and etcd.
//
//go:embed badday.xml
var BadDay []byte

// Sources is the built-in script with faults of the sources of the endpoint list, etcd and DNS.
//
//go:embed sources.xml
var Sources []byte

// Wires is the built-in script that damages the bytes between clients, gateways and disk servers.
//
//go:embed wires.xml
var Wires []byte

// Options configures a run.
type Options struct {
	// Script holds the settings of all gateways. Its FaultTest must be set.
	Script *settings.Gateway
	// Seed is the seed of all random number generators.
	Seed int64
	// Module makes the decision module of each gateway; nil selects the module of package policy.
	Module func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule
	// Log receives the log lines of the gateways and a line for each injected fault.
	Log zerolog.Logger
}

var errNoFaultTest = errors.New("faulttest: the script has no <rehearsal>")

// Run runs a script and returns a report. If ctx is done before the script has ended, Run returns the error of the
// context together with a report on the part that has run.
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
	report, err := r.execute(ctx)
	report.Seconds = time.Since(began).Seconds()
	return report, err
}
