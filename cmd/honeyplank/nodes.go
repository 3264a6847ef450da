package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/gateway"
)

type nodesCommand struct {
	File  string        `arg:"" help:"Settings, as XML."`
	Wait  time.Duration `help:"Time to watch the sources before printing." default:"1s"`
	Watch bool          `help:"Keep running, and print the nodes whenever one has changed."`
	JSON  bool          `help:"Print JSON lines."`
}

// Run starts a gateway that watches the sources. It listens on an ephemeral port, so that no client connects.
func (c *nodesCommand) Run() error {
	s, err := readSettings(c.File)
	if err != nil {
		return err
	}
	s.Listen.Address = "127.0.0.1:0"
	g, err := gateway.New(gateway.Options{Settings: s, Seed: time.Now().UnixNano(), Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	go func() {
		_ = g.Serve(context.Background()) // Kill ends it; a gateway that has ended returns no nodes
	}()
	defer g.Kill()
	lastState := ""
	for first := true; first || c.Watch; first = false {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Wait):
		}
		nodes, _ := g.Nodes() // the gateway has not ended, since Kill is called last
		state := nodeStates(nodes)
		if state == lastState && !first {
			continue
		}
		lastState = state
		if err := c.print(nodes); err != nil {
			return err
		}
	}
	return nil
}

// nodeStates returns a text that differs whenever the nodes must be printed again.
func nodeStates(nodes []gateway.Node) string {
	var b strings.Builder
	for _, n := range nodes {
		b.WriteString(n.Server + n.State + n.Cause)
	}
	return b.String()
}

func (c *nodesCommand) print(nodes []gateway.Node) error {
	if c.JSON {
		return printJSON(nodes)
	}
	fmt.Printf("%-22s %5s %-9s %-20s %-8s %-28s %s\n",
		"disk server", "cell", "believed", "cause", "since", "etcd", "dns")
	for _, n := range nodes {
		fmt.Printf("%-22s %5d %-9s %-20s %-8s %-28s %s\n", n.Server, n.Cell, n.State, n.Cause, n.Since, n.Etcd, n.DNS)
	}
	return nil
}
