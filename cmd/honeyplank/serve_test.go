package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// TestSameAnswers sends the same ops to two gateways in this process and to two daemons. All use the same fake servers:
// one without faults, one that fails every op, and one that rejects ops. The other cells have no server. The answers to
// each op must be the same.
func TestSameAnswers(t *testing.T) {
	script, err := settings.Parse("built-in script", faulttest.BadDay)
	if err != nil {
		t.Fatal(err)
	}
	loop := startFakes(t, script)
	config := *script
	config.FaultTest = nil
	var addresses []string
	for ordinal := range 2 {
		addresses = append(addresses, startGateway(t, config, ordinal))
	}
	for ordinal := range 2 {
		s := config
		s.Scheduler.Ordinal = ordinal
		addresses = append(addresses, startDaemon(t, &s, ordinal+1))
	}
	time.Sleep(500 * time.Millisecond) // so that all have received the endpoint list
	answers := make([]string, len(addresses))
	for i, a := range addresses {
		answers[i] = collectAnswers(t, loop, config.Listen.Subsystem, a)
	}
	for i := range answers {
		if answers[i] != answers[0] {
			t.Errorf("answers of gateway %d:\n%s\nanswers of the first:\n%s", i, answers[i], answers[0])
		}
	}
	for _, want := range []string{" 0x0 ", " 0x821 ", " 0x4006 "} { // success, rejected with Retry-After, failed
		if !strings.Contains(answers[0], want) {
			t.Errorf("no answer with status%sin:\n%s", want, answers[0])
		}
	}
}

// startFakes starts disk servers and an etcd that lists them, and sets the etcd in the script's endpoint list. It
// returns the event loop of the disk servers.
func startFakes(t *testing.T, script *settings.Gateway) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	registry, err := etcd.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	model := faulttest.DiskModel(script)
	model.ServiceTimeSpread, model.Pause, model.PauseEvery, model.DeferredWorkEvery = 0, 0, 0, 0
	model.UnitServiceTime = settings.Span(time.Millisecond)
	for cell, faults := range map[int]disk.Faults{0: {}, 1: {FailShare: 1}, 4: {Draining: true}} {
		d, err := disk.New(loop, "127.0.0.1:0", model, 1)
		if err != nil {
			t.Fatal(err)
		}
		d.SetFaults(faults)
		value, err := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: cell})
		if err != nil {
			t.Fatal(err)
		}
		registry.Set(script.EndpointList.Prefix+d.Address(), value)
	}
	script.EndpointList.Etcd = slices.Clone(script.EndpointList.Etcd)
	script.EndpointList.Etcd[0].Endpoint = registry.Address()
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Errorf("event loop of the fake servers: %v", err)
		}
	})
	return loop
}

// startGateway starts a gateway in this process and returns its address.
func startGateway(t *testing.T, config settings.Gateway, ordinal int) string {
	t.Helper()
	config.Scheduler.Ordinal = ordinal
	g, err := gateway.New(gateway.Options{Settings: &config, Seed: int64(ordinal + 1), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- g.Serve(context.Background()) }()
	t.Cleanup(func() {
		g.Kill()
		if err := <-ended; err != nil {
			t.Errorf("gateway %d: %v", ordinal, err)
		}
	})
	return g.Address()
}

// connectResult receives nil when an association is ready, or an error if the association ends before that.
type connectResult chan error

func (c connectResult) Ready(*initiator.Association) { c <- nil }

func (c connectResult) Ended(_ *initiator.Association, err error) {
	select {
	case c <- err:
	default:
	}
}

const blockBytes = 4096

// collectAnswers sends ops one after another and returns a text with one line for each answer.
func collectAnswers(t *testing.T, loop *eventloop.Loop, subsystem, address string) string {
	t.Helper()
	ready := make(connectResult, 2)
	var association *initiator.Association
	loop.Post(func() {
		association = initiator.Dial(loop, initiator.Settings{
			Address:        address,
			Subsystem:      subsystem,
			Host:           "nqn.2026-12.org.honeyplank:script",
			Depth:          8,
			MaxData:        128 << 10,
			ConnectTimeout: 2 * time.Second,
		}, ready)
	})
	if err := <-ready; err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for i := range 24 {
		fmt.Fprintln(&b, submitOp(loop, association, i))
	}
	loop.Post(association.Close)
	return b.String()
}

// submitOp sends the op with a number to volume 9 and returns a description of the answer. The volume's extents of
// 65536 blocks are assigned to cells 0 to 5 in turn. Every fourth op is a Write that must not run twice.
func submitOp(loop *eventloop.Loop, association *initiator.Association, number int) string {
	const nsid, extentBlocks = 9, 65536
	extent := uint64(number % 6)
	blocks, opcode := 4, uint8(nvme.Read)
	if number%4 == 3 {
		blocks, opcode = 6, nvme.Write
	}
	c := nvme.NewRW(opcode, nsid, extent*extentBlocks+uint64(number)*8, blocks)
	var data []byte
	read := blocks * blockBytes
	if opcode == nvme.Write {
		data, read = make([]byte, blocks*blockBytes), 0
	}
	done := make(chan string, 1)
	loop.Post(func() {
		association.IO.Submit(c, data, read, initiator.CallbackFunc(func(r initiator.Result) {
			done <- fmt.Sprintf("%d cell %d: %#x %x", number, extent, r.Status(), sha256.Sum256(r.Data))
		}))
	})
	return <-done
}
