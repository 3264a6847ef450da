package gateway

import (
	"context"

	"honeyplank"
)

// Serve runs the instance until Shutdown or Kill has ended it, or ctx is done. When ctx is done, the instance drains
// first: every admitted op is answered within the longest op timeout. Serve must be called exactly once. It returns the
// error of the event loop.
func (g *Instance) Serve(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.loop.Post(func() { g.drain(g.loop.Stop) }) })
	defer stop()
	if record := g.options.Estimates; record != nil {
		g.loop.Post(func() { g.restoreEstimates(record) })
	}
	// An empty cached list starts the module, which then requests the watch.
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
// If ctx is done first, Shutdown fails the remaining ops at once, waits for Serve to end and returns the context's
// error. Serve must be called before or during Shutdown; otherwise Shutdown does not return.
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

// Kill ends the instance as a crash of its process would: connections are closed and admitted ops get no answer. Like
// Shutdown, it does not return unless Serve is called.
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

// drain stops admitting ops and calls drained when every admitted op has been answered and its answer sent. Calls after
// the first have no effect.
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

// checkDrained calls onDrained if the instance drains and no op is awaiting an answer.
func (g *Instance) checkDrained() {
	if g.onDrained != nil && g.tracker.Unanswered() == 0 {
		g.onDrained()
	}
}
