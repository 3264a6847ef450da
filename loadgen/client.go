package loadgen

import (
	"fmt"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
)

const (
	// queueDepth is how many commands a client may have outstanding.
	queueDepth = 120
	// connectTimeout is how long a client waits for its association.
	connectTimeout = time.Second
	// keepAlive is the interval of its Keep Alive commands.
	keepAlive = 5 * time.Second
	// reconnectDelay is how long a client waits before it connects again.
	reconnectDelay = 100 * time.Millisecond
)

// client is one client with its association, the handler of which it is.
type client struct {
	generator   *Generator
	target      Target
	index       int                    // among the clients of its target
	association *initiator.Association // nil: not connected
	ready       bool
}

func (c *client) connect() {
	g := c.generator
	if g.stopped {
		return
	}
	c.association = initiator.Dial(g.loop, initiator.Settings{
		Address:        c.target.Address,
		Subsystem:      c.target.Subsystem,
		Host:           fmt.Sprintf("nqn.2026-12.org.honeyplank:client-%d", c.index),
		HostID:         [16]byte{byte(c.index), 1},
		Depth:          queueDepth,
		MaxData:        int(g.options.Settings.Limits.MaxTransfer),
		ConnectTimeout: connectTimeout,
		KeepAlive:      keepAlive,
		Digests:        g.options.Digests,
		OnConnect:      c.connected,
	}, c)
}

func (c *client) connected(conn *eventloop.Conn) {
	if c.target.OnConnection != nil {
		c.target.OnConnection(c.index, conn)
	}
}

// Ready takes up ops. The association calls it.
func (c *client) Ready(*initiator.Association) { c.ready = true }

// Ended connects again after a moment. The association calls it.
func (c *client) Ended(association *initiator.Association, _ error) {
	if c.association != association {
		return
	}
	c.ready, c.association = false, nil
	c.generator.loop.Schedule(c.generator.loop.Now()+reconnectDelay, c.connect)
}

func (c *client) close() {
	if c.association != nil {
		c.association.Close()
	}
}

// disconnect closes the connection; the client connects again after a moment.
func (c *client) disconnect() {
	if c.association == nil {
		return
	}
	if c.target.BeforeClose != nil {
		c.target.BeforeClose()
	}
	c.association.Close()
	c.Ended(c.association, nil)
}
