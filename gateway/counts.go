package gateway

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/inflight"
)

// Counts are an instance's totals since New and the resources that it currently uses.
type Counts struct {
	inflight.Counts
	Unanswered    int           // number of admitted ops without an answer
	Outstanding   int           // number of dispatches without an outcome
	BufferedBytes int           // bytes of write data in buffers
	Connections   int           // number of client connections
	CPU           time.Duration // CPU time used by the event loop
}

// Stats returns the counters of the instance's event loop.
func (g *Instance) Stats() *eventloop.Stats { return &g.loop.Stats }

// Counts returns the instance's counts; ok is false if the instance has ended. Counts blocks until the event loop has
// run the query, so it must not be called on the loop.
func (g *Instance) Counts() (counts Counts, ok bool) {
	return query(g, func() Counts {
		return Counts{
			Counts:        g.tracker.Counts,
			Unanswered:    g.tracker.Unanswered(),
			Outstanding:   g.tracker.Outstanding(),
			BufferedBytes: g.server.Buffers.InUse,
			Connections:   g.server.Connections(),
			CPU:           g.loop.CPU(),
		}
	})
}

// query runs read on the event loop and returns its result; ok is false if the instance has ended.
func query[T any](g *Instance, read func() T) (result T, ok bool) {
	answer := make(chan T, 1)
	if !g.loop.Post(func() { answer <- read() }) {
		return result, false
	}
	select {
	case result = <-answer:
		return result, true
	case <-g.done:
		return result, false
	}
}
