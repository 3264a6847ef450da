package main

import (
	"context"
	"encoding/json"
	"fmt"
	"honeyplank/gateway"
	"os"
	"time"

	"github.com/rs/zerolog"
)

type nodesCommand struct {
	File  string        `arg:"" help:"Settings, as XML."`
	Wait  time.Duration `help:"How long to listen to the sources first." default:"1s"`
	Watch bool          `help:"Go on, and print the nodes whenever something has changed."`
	JSON  bool          `help:"Print JSON lines."`
}

// Run listens to the sources as a gateway does that serves nobody.
func (c *nodesCommand) Run() error {
	s, err := read(c.File)
	if err != nil {
		return err
	}
	s.Listen.Address = "127.0.0.1:0"
	g, err := gateway.New(gateway.Options{Settings: s, Seed: time.Now().UnixNano(), Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	ctx, stop := signals()
	defer stop()
	go g.Serve(context.Background())
	defer g.Kill()
	seen := ""
	for first := true; first || c.Watch; first = false {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Wait):
		}
		list, _ := g.Nodes()
		key := ""
		for _, n := range list {
			key += n.Server + n.State + n.Cause
		}
		if key == seen && !first {
			continue
		}
		seen = key
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(list); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%-22s %5s %-9s %-20s %-8s %-28s %s\n", "disk server", "cell", "believed", "cause", "since", "etcd says", "dns says")
		for _, n := range list {
			fmt.Printf("%-22s %5d %-9s %-20s %-8s %-28s %s\n", n.Server, n.Cell, n.State, n.Cause, n.Since, n.Etcd, n.DNS)
		}
	}
	return nil
}
