package loadgen

import (
	"fmt"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
)

const (
	// queueDepth is the largest number of outstanding commands of a client.
	queueDepth = 120
	// connectTimeout bounds the time until a client's association is established.
	connectTimeout = time.Second
	// keepAlive is the interval of a client's Keep Alive commands.
	keepAlive = 5 * time.Second
	// reconnectDelay is the time from the end of a client's association until it connects again.
	reconnectDelay = 100 * time.Millisecond
)

// client is one client. It implements initiator.Handler for its association.
type client struct {
	generator   *Generator
	target      Target
	index       int                    // among the clients of its target
	association *initiator.Association // nil while not connected
	ready       bool                   // the association accepts commands
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

// Ready implements initiator.Handler. From now on the client sends ops.
func (c *client) Ready(*initiator.Association) { c.ready = true }

// Ended implements initiator.Handler. It connects again after reconnectDelay. It ignores an association that is not the
// client's current one.
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

// disconnect closes the association. The client connects again after reconnectDelay.
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
