package gateway

import (
	"context"

	"honeyplank"
)

// Serve runs the instance until Shutdown or Kill has ended it, or ctx is done. When ctx is done, the instance drains
// first: every admitted op is answered, within the longest op timeout. Serve must be called exactly once; its error is
// the event loop's.
func (g *Instance) Serve(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.loop.Post(func() { g.drain(g.loop.Stop) }) })
	defer stop()
	if record := g.options.Estimates; record != nil {
		g.loop.Post(func() { g.restoreEstimates(record) })
	}
	// An empty cached list starts the module, which then asks for the watch.
	g.loop.Post(func() { g.tracker.Deliver(honeyplank.List{Kind: honeyplank.Cached}) })
	if g.startDNS != nil {
		g.startDNS()
	}
	err := g.loop.Run()
	if g.etcd != nil {
		g.etcd.Close()
	}
	if g.dns != nil {
		g.dns.Close()
	}
	return err
}

// Shutdown stops admitting ops, waits until every admitted op has been answered and its answer sent, and ends Serve.
// If ctx is done first, the remaining ops are failed at once and the context's error is returned. Serve must have been
// called, or be called later: without it Shutdown does not return.
func (g *Instance) Shutdown(ctx context.Context) error {
	if !g.loop.Post(func() { g.drain(g.loop.Stop) }) {
		return nil
	}
	select {
	case <-g.done:
		return nil
	case <-ctx.Done():
	}
	g.loop.Post(g.tracker.FailAll)
	<-g.done
	return ctx.Err()
}

// Kill ends the instance as the death of its process would: connections are cut and admitted ops get no answer. Like
// Shutdown it needs Serve.
func (g *Instance) Kill() {
	g.loop.Post(func() {
		g.server.Kill()
		g.closeAssociations()
		g.loop.Stop()
	})
	<-g.done
}

// closeAssociations closes the connections to all disk servers.
func (g *Instance) closeAssociations() {
	for _, d := range g.diskServers {
		if d.association != nil {
			d.association.Close()
		}
	}
}

// drain stops admitting ops and calls drained once every admitted op has been answered and its answer sent. Only the
// first call counts.
func (g *Instance) drain(drained func()) {
	if g.draining {
		return
	}
	g.draining = true
	g.server.Draining = true
	g.log.Info().Int("unanswered", g.tracker.Unanswered()).Msg("graceful shutdown started")
	g.onDrained = func() {
		g.onDrained = nil
		g.stopWatch()
		g.closeAssociations()
		g.server.Close(drained)
	}
	g.checkDrained()
}

// checkDrained calls onDrained if the instance drains and no op is owed an answer.
func (g *Instance) checkDrained() {
	if g.onDrained != nil && g.tracker.Unanswered() == 0 {
		g.onDrained()
	}
}
