package faulttest

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"honeyplank/audit"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/gateway"
	"honeyplank/loadgen"
	"honeyplank/settings"
)

const (
	// warmUp is the time that the fleet runs before the script's clock starts.
	warmUp = time.Second
	// shutdownMargin is added to the longest op timeout to limit the time of a gateway's shutdown.
	shutdownMargin = time.Second
	// sampleInterval is the time between two samples of the disk servers' states in the gateways.
	sampleInterval = 200 * time.Millisecond
	// loopOrigin is the initial time of the loop's clock. It is not 0, so that disk servers can have started earlier.
	loopOrigin = time.Minute
)

// run is the execution of one script. Unless stated otherwise, only its event loop may access its fields.
type run struct {
	options      Options
	script       *settings.Gateway
	loop         *eventloop.Loop
	rng          *rand.Rand
	log          *audit.Log
	load         *loadgen.Generator
	injectionErr error // the failure to inject a fault

	diskModel     disk.Model
	serverOfCell  map[int]*disk.Server // the current server of each cell
	servers       []*disk.Server       // including replaced ones
	gateways      []*gateway.Instance
	serving       sync.WaitGroup // the calls of the gateways' Serve
	wireFaults    wireFaults
	etcd          *etcd.Server
	nameServers   []*dns.Server // one for each gateway
	dnsRecords    map[string]dns.Record
	dnsFrozen     bool // the name servers keep their current records
	gatewaysByNQN map[string]int
	mu            sync.Mutex // guards gatewaysByNQN

	// Owned by the goroutine of sampleMembership until it has ended.
	samples       int
	wrongRemovals int
}

func newRun(options Options) (*run, error) {
	loop, err := eventloop.New(loopOrigin)
	if err != nil {
		return nil, err
	}
	return &run{
		options:       options,
		script:        options.Script,
		loop:          loop,
		rng:           rand.New(rand.NewSource(options.Seed)),
		log:           audit.NewLog(),
		serverOfCell:  map[int]*disk.Server{},
		dnsRecords:    map[string]dns.Record{},
		gatewaysByNQN: map[string]int{},
	}, nil
}

// close stops the gateways that still run, etcd and the name servers. The loop must have ended.
func (r *run) close() {
	for _, g := range r.gateways {
		if g != nil {
			g.Kill()
		}
	}
	if r.etcd != nil {
		r.etcd.Close()
	}
	for _, server := range r.nameServers {
		server.Close()
	}
}

// execute runs the loop until the script has ended or ctx is done, shuts the gateways down and returns the report.
func (r *run) execute(ctx context.Context) (*Report, error) {
	finished := make(chan struct{})
	r.loop.Post(r.scheduleFaults)
	r.loop.Schedule(r.loop.Now()+r.script.FaultTest.Duration.Duration()+warmUp, func() {
		r.load.Stop(func() { close(finished) })
	})
	looped := make(chan error, 1)
	go func() { looped <- r.loop.Run() }()
	sampled := make(chan struct{})
	stopSampling := make(chan struct{})
	go func() {
		defer close(sampled)
		r.sampleMembership(finished, stopSampling)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = ctx.Err()
		close(stopSampling)
	}
	<-sampled
	r.shutDownGateways(ctx)
	report := r.report()
	r.loop.Post(func() {
		r.load.Close()
		r.loop.Stop()
	})
	loopErr := <-looped
	r.gateways = nil // they have ended
	return report, errors.Join(err, loopErr, r.injectionErr)
}

// shutDownGateways shuts the gateways down one after another. All shutdowns together may take the longest op timeout
// plus shutdownMargin; then the remaining gateways are stopped at once. Errors are ignored, because the audit reports
// the ops that stay unanswered.
func (r *run) shutDownGateways(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, longestOpTimeout(r.script)+shutdownMargin)
	defer cancel()
	for _, g := range r.gateways {
		_ = g.Shutdown(limited)
	}
	r.serving.Wait()
}

func longestOpTimeout(s *settings.Gateway) time.Duration {
	longest := time.Duration(0)
	for _, opType := range s.OpTypes {
		longest = max(longest, opType.OpTimeout.Duration())
	}
	return longest
}

// sampleMembership compares the gateways' merged state of disk servers with the reports of their two sources, at every
// sampleInterval, until finished or stop is closed. It does nothing if the script has only one source.
func (r *run) sampleMembership(finished, stop <-chan struct{}) {
	if r.script.EndpointList.DNS == nil {
		return
	}
	for {
		select {
		case <-finished:
			return
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
		running := make(chan []*gateway.Instance, 1)
		r.loop.Post(func() { running <- slices.Clone(r.gateways) })
		for _, g := range <-running {
			r.sampleGateway(g)
		}
	}
}

// sampleGateway counts the disk servers that a gateway has removed although both its sources list them as up. Servers
// that the gateway keeps out because of flapping do not count.
func (r *run) sampleGateway(g *gateway.Instance) {
	nodes, _ := g.Nodes() // empty if the gateway has been killed
	for _, node := range nodes {
		r.samples++
		listed := strings.HasPrefix(node.Etcd, "on") && strings.HasPrefix(node.DNS, "on")
		unconfirmed := strings.HasSuffix(node.Etcd+node.DNS, "vanished")
		if listed && !unconfirmed && node.State != "on" && node.Cause != "held back" {
			r.wrongRemovals++
		}
	}
}

// after calls f on the loop after a delay. It must be called on the loop.
func (r *run) after(delay time.Duration, f func()) { r.loop.Schedule(r.loop.Now()+delay, f) }
