// Package gateway provides honeyplank as a library. An Instance admits Reads and Writes from NVMe/TCP clients and
// dispatches them to disk servers: call New, then Serve, then Shutdown. It delivers events to the decision module and
// executes the actions that the module returns; it makes no decisions itself. Instances share no state except for
// values that the caller passes to several of them.
//
// Serve runs the event loop on the goroutine of its caller. All state of an Instance belongs to that goroutine, which
// also calls the module. The exported methods may be called from any goroutine. The goroutines of discovery pass their
// updates to the loop and end before Serve returns.
package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery/dns"
	"honeyplank/discovery/etcd"
	"honeyplank/estimates"
	"honeyplank/eventloop"
	"honeyplank/incarnation"
	"honeyplank/inflight"
	"honeyplank/membership"
	"honeyplank/policy"
	"honeyplank/settings"
	"honeyplank/target"
)

// Options configure an instance. Settings is required.
type Options struct {
	Settings *settings.Gateway
	Seed     int64 // seed of all random numbers of the instance
	// Module creates the decision module; nil: policy.New.
	Module func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule
	// Estimates holds the estimates of the disk servers that an earlier instance saved; nil: none.
	Estimates *estimates.Record
	// WallClock reads the wall clock; nil: time.Now. The clock may step at any time: no wait, window or deadline
	// depends on it.
	WallClock func() time.Time
	Log       zerolog.Logger
}

// Instance is one gateway. Its state belongs to the event loop's goroutine; other goroutines access it through
// loop.Post.
type Instance struct {
	options      Options
	settings     *settings.Gateway
	loop         *eventloop.Loop
	module       honeyplank.DecisionModule
	server       *target.Server
	etcd         *etcd.Client // nil: not configured
	dns          *dns.Client  // nil: not configured, or not started yet
	startDNS     func()       // starts polling DNS; nil: not configured
	ledger       *membership.Ledger
	incarnations [2]incarnation.Tracker // indexed by membership.Source
	ledgerTimer  *eventloop.Timer       // calls ledger.Tick when the ledger changes with time alone
	log          zerolog.Logger

	tracker     *inflight.Tracker
	lastOpID    uint64
	diskServers map[honeyplank.ServerID]*diskServer
	volumes     map[uint32]*volume // by namespace ID
	retryDelays []time.Duration    // values of CRDT1 to CRDT3, ascending
	draining    bool               // whether no more ops are admitted
	onDrained   func()             // called when no op is awaiting an answer; nil: not draining, or called already
	done        chan struct{}      // closed when Serve returns
}

// clockStart is the time on the loop's clock at New. It is not 0, because 0 means never or long ago.
const clockStart = time.Second

// New creates an instance and listens on the address in the settings. Nothing is served before Serve. New fails if
// there are no settings, the event loop can't be created or listening on the address fails.
func New(options Options) (*Instance, error) {
	if options.Settings == nil {
		return nil, errors.New("gateway: no settings")
	}
	loop, err := eventloop.New(clockStart)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g := makeInstance(options.withDefaults(), loop)
	if err := g.listen(); err != nil {
		loop.Stop()
		return nil, errors.Join(err, loop.Run()) // Run releases the loop's resources
	}
	g.configureDiscovery()
	return g, nil
}

// withDefaults returns the options with defaults for the fields that are nil.
func (o Options) withDefaults() Options {
	if o.Module == nil {
		o.Module = func(seed int64, values *honeyplank.Settings) honeyplank.DecisionModule {
			return policy.New(seed, values)
		}
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	return o
}

// makeInstance creates an instance that does not listen yet.
func makeInstance(options Options, loop *eventloop.Loop) *Instance {
	config := options.Settings
	g := &Instance{
		options:     options,
		settings:    config,
		loop:        loop,
		log:         options.Log,
		module:      options.Module(options.Seed, config.ModuleSettings()),
		ledger:      membership.New(membershipSettings(config)),
		diskServers: map[honeyplank.ServerID]*diskServer{},
		volumes:     makeVolumes(config),
		retryDelays: possibleRetryDelays(config),
		done:        make(chan struct{}),
	}
	g.tracker = inflight.New(loop, g.module, sender{g})
	g.tracker.OnAction = g.execute
	g.tracker.OnIdle = g.checkDrained
	for i := range g.incarnations {
		g.incarnations[i].MaxRemoved = config.EndpointList.MaxServers
	}
	return g
}

// Address returns the address that the instance listens on.
func (g *Instance) Address() string { return g.server.Address() }
