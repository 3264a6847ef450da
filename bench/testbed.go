// Package bench measures costs: of an op through the gateway (Ops), of honest clients beside hostile ones (Hostile),
// of following the endpoint list (Sources, DNSLoad) and of one scheduler of the platform by the size of its fleet
// (Fleet). Where a ratio tells more it drives the same load straight at fake disk servers. All figures are of fakes
// on loopback.
//
// It is a measuring tool: no instance uses it. Its functions may be called from any goroutine, one at a time, since
// they measure the process and the machine.
package bench

import (
	"context"
	_ "embed" // for the settings
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/settings"
)

const (
	// anyPort is an address to listen on.
	anyPort = "127.0.0.1:0"
	// loopOrigin is where the clocks of the loops begin: late enough for a disk server to have started before it.
	loopOrigin = time.Minute
	// listDelay is how long the endpoint list may take to reach a gateway that has just started.
	listDelay = 300 * time.Millisecond
)

//go:embed bench.xml
var settingsText []byte

// readSettings returns the settings of all measurements that have a gateway.
func readSettings() (*settings.Gateway, error) { return settings.Parse("bench.xml", settingsText) }

// testbed is a gateway before fake disk servers.
type testbed struct {
	settings    *settings.Gateway
	diskLoop    *eventloop.Loop
	clientLoop  *eventloop.Loop
	diskServers []*disk.Server
	registry    *etcd.Server
	gateway     *gateway.Instance
	ended       chan error // of both loops and the gateway
}

// newTestbed starts a testbed, with the settings changed where change is set. The caller closes it.
func newTestbed(change func(*settings.Gateway)) (*testbed, error) {
	s, err := readSettings()
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(s)
	}
	bed := &testbed{settings: s, ended: make(chan error, 3)}
	if bed.diskLoop, err = eventloop.New(loopOrigin); err != nil {
		return nil, err
	}
	if bed.clientLoop, err = eventloop.New(loopOrigin); err != nil {
		return nil, errors.Join(err, endLoop(bed.diskLoop))
	}
	if err := bed.start(); err != nil {
		if bed.registry != nil {
			bed.registry.Close()
		}
		return nil, errors.Join(err, endLoop(bed.diskLoop), endLoop(bed.clientLoop))
	}
	time.Sleep(listDelay)
	return bed, nil
}

// endLoop ends a loop that does not run, which closes its sockets.
func endLoop(loop *eventloop.Loop) error {
	loop.Stop()
	return loop.Run()
}

// start starts etcd, the disk servers, which it lists there, and the gateway; then all run.
func (bed *testbed) start() error {
	var err error
	if bed.registry, err = etcd.New(anyPort); err != nil {
		return err
	}
	model := faulttest.DiskModel(bed.settings)
	model.Meter = nil
	for cell := range bed.settings.Volumes.List[0].CellList() {
		if err := bed.startDiskServer(model, cell); err != nil {
			return err
		}
	}
	s := *bed.settings
	s.FaultTest = nil
	s.EndpointList.Etcd[0].Endpoint = bed.registry.Address()
	if bed.gateway, err = gateway.New(gateway.Options{Settings: &s, Seed: 1, Log: zerolog.Nop()}); err != nil {
		return err
	}
	go func() { bed.ended <- bed.diskLoop.Run() }()
	go func() { bed.ended <- bed.clientLoop.Run() }()
	go func() { bed.ended <- bed.gateway.Serve(context.Background()) }()
	return nil
}

func (bed *testbed) startDiskServer(model disk.Model, cell int) error {
	server, err := disk.New(bed.diskLoop, anyPort, model, int64(cell))
	if err != nil {
		return err
	}
	bed.diskServers = append(bed.diskServers, server)
	record, err := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: cell})
	if err != nil {
		return fmt.Errorf("bench: cell %d: %w", cell, err)
	}
	bed.registry.Set(bed.settings.EndpointList.Prefix+server.Address(), record)
	return nil
}

// close ends the testbed. Errors of the loops are dropped: what was measured stands.
func (bed *testbed) close() {
	bed.gateway.Kill()
	bed.diskLoop.Post(bed.diskLoop.Stop)
	bed.clientLoop.Post(bed.clientLoop.Stop)
	for range cap(bed.ended) {
		<-bed.ended
	}
	bed.registry.Close()
}

// diskAddresses returns the address of each disk server.
func (bed *testbed) diskAddresses() []string {
	var addresses []string
	for _, server := range bed.diskServers {
		addresses = append(addresses, server.Address())
	}
	return addresses
}

// gatewayAddresses returns the gateway's address as often as there are disk servers, so that both ways of driving
// load have as many connections.
func (bed *testbed) gatewayAddresses() []string {
	var addresses []string
	for range bed.diskServers {
		addresses = append(addresses, bed.gateway.Address())
	}
	return addresses
}

// seconds converts a number of seconds.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
