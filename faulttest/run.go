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
	// warmUp is how long the fleet runs before the script's time begins.
	warmUp = time.Second
	// shutdownMargin is how much longer than its longest op a gateway may take to shut down.
	shutdownMargin = time.Second
	// sampleInterval is the time between two samples of the gateways' view of disk servers.
	sampleInterval = 200 * time.Millisecond
	// loopOrigin is where the loop's clock begins: late enough for a disk server to have started before it.
	loopOrigin = time.Minute
)

// run is a script that is being played. Its fields belong to its event loop, where nothing else is said.
type run struct {
	options  Options
	script   *settings.Gateway
	loop     *eventloop.Loop
	rng      *rand.Rand
	log      *audit.Log
	load     *loadgen.Generator
	injected error // of a fault that could not be injected

	diskModel     disk.Model
	serverOfCell  map[int]*disk.Server // that serves the cell now
	servers       []*disk.Server       // all that ever served
	gateways      []*gateway.Instance
	serving       sync.WaitGroup // for the gateways' Serve
	wireFaults    wireFaults
	etcd          *etcd.Server
	nameServers   []*dns.Server // one for each gateway
	dnsRecords    map[string]dns.Record
	dnsFrozen     bool // DNS keeps its records as they are
	gatewaysByNQN map[string]int
	mu            sync.Mutex // guards gatewaysByNQN

	// Of the goroutine that samples, until it has ended.
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

// close ends what still runs once the loop has ended.
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

// play runs the loop until the script has ended or ctx is done, shuts the gateways down and reports.
func (r *run) play(ctx context.Context) (*Report, error) {
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
	return report, errors.Join(err, loopErr, r.injected)
}

// shutDownGateways shuts the gateways down one after another. One that does not end within the time of its longest op
// is cut off; its unanswered ops are the audit's matter, so the error is dropped.
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

// sampleMembership compares, again and again, the gateways' merged state of disk servers with what their two sources
// report, until the script has finished or stop is closed. With one source there is nothing to compare.
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

// sampleGateway counts the disk servers that a gateway has removed though both its sources list them as up, and which
// it does not hold out for flapping.
func (r *run) sampleGateway(g *gateway.Instance) {
	nodes, _ := g.Nodes() // none of a gateway that has been killed
	for _, node := range nodes {
		r.samples++
		listed := strings.HasPrefix(node.Etcd, "on") && strings.HasPrefix(node.DNS, "on")
		unconfirmed := strings.HasSuffix(node.Etcd+node.DNS, "vanished")
		if listed && !unconfirmed && node.State != "on" && node.Cause != "held back" {
			r.wrongRemovals++
		}
	}
}

// after calls f on the loop when a time has passed. It must be called on the loop.
func (r *run) after(delay time.Duration, f func()) { r.loop.Schedule(r.loop.Now()+delay, f) }
