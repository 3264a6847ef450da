package gateway

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/inflight"
)

// Counts are what an instance has done so far.
type Counts struct {
	inflight.Counts
	Open        int // ops owed an answer now
	Out         int // dispatches without an outcome now
	Held        int // bytes of write data held now
	Connections int
	CPU         time.Duration // used by the loop
}

// Stats counts what the instance's loop has done.
func (g *Instance) Stats() *eventloop.Stats { return &g.loop.Stats }

// Counts asks the loop what it has done; an instance that has ended answers nothing.
func (g *Instance) Counts() (c Counts, ok bool) {
	answer := make(chan Counts, 1)
	if !g.loop.Post(func() {
		c := Counts{Counts: g.ops.Counts, Open: g.ops.Unanswered(), Out: g.ops.Outstanding()}
		c.Held, c.Connections = g.server.Buffers.InUse, g.server.Connections()
		c.CPU = g.loop.CPU()
		answer <- c
	}) {
		return c, false
	}
	select {
	case c = <-answer:
		return c, true
	case <-g.done:
		return c, false
	}
}
