// Package bench measures the cost of an op through the gateway (Ops), the service that regular clients get while
// abusive clients are connected (Abusive), the cost of following the endpoint list (Sources, DNSLoad) and the cost of
// one scheduler of the platform by the size of its fleet (Fleet). Ops sends the same load directly to the fake disk
// servers too, so that it can report ratios. All measurements use fake servers on the loopback interface.
//
// The package is a measuring tool that no instance uses. Its functions may be called from any goroutine, but only one
// at a time, since they measure the process and the machine.
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
	// anyPort is a loopback address to listen on, with a port that the system chooses.
	anyPort = "127.0.0.1:0"
	// loopOrigin is the initial time of the loops' clocks. It is well above 0, so that the start time of a disk server
	// can be before it.
	loopOrigin = time.Minute
	// listSyncDelay is the time in which the endpoint list reaches a gateway that has just started.
	listSyncDelay = 300 * time.Millisecond
)

//go:embed bench.xml
var settingsText []byte

// readSettings returns the settings of the gateway in all measurements.
func readSettings() (*settings.Gateway, error) { return settings.Parse("bench.xml", settingsText) }

// testbed is a gateway with fake disk servers.
type testbed struct {
	settings    *settings.Gateway
	diskLoop    *eventloop.Loop
	clientLoop  *eventloop.Loop
	diskServers []*disk.Server
	registry    *etcd.Server
	gateway     *gateway.Instance
	ended       chan error // the errors with which both loops and the gateway ended
}

// newTestbed starts a testbed. If change is not nil, it modifies the settings first. The caller closes the testbed.
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
		return nil, errors.Join(err, closeLoop(bed.diskLoop))
	}
	if err := bed.start(); err != nil {
		if bed.registry != nil {
			bed.registry.Close()
		}
		return nil, errors.Join(err, closeLoop(bed.diskLoop), closeLoop(bed.clientLoop))
	}
	time.Sleep(listSyncDelay)
	return bed, nil
}

// closeLoop closes the sockets of a loop that has never run. After Stop, Run closes them and returns at once.
func closeLoop(loop *eventloop.Loop) error {
	loop.Stop()
	return loop.Run()
}

// start starts etcd, the disk servers, which it lists in etcd, and the gateway. Then both loops and the gateway run.
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

// close stops the testbed. It ignores the errors of the loops and the gateway, since the measurement is complete.
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

// gatewayAddresses returns the gateway's address once for each disk server, so that load through the gateway and load
// sent directly to the disk servers use the same number of connections.
func (bed *testbed) gatewayAddresses() []string {
	var addresses []string
	for range bed.diskServers {
		addresses = append(addresses, bed.gateway.Address())
	}
	return addresses
}

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
