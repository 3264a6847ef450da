package gateway

import (
	"context"

	"honeyplank"
)

// Serve runs the instance until Shutdown has ended it or the context is over; then what it has taken is
// settled first, within the longest op timeout. It must be called once.
func (g *Instance) Serve(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.loop.Post(func() { g.drain(g.loop.Stop) }) })
	defer stop()
	if r := g.o.Learnt; r != nil {
		g.loop.Post(func() { g.recall(r) })
	}
	// An empty list as last seen starts the module, which asks for the watch.
	g.loop.Post(func() { g.ops.Deliver(honeyplank.List{Kind: honeyplank.Cached}) })
	if g.ask != nil {
		g.ask()
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

// Shutdown takes no more ops, waits until every op taken has its answer and is sent, and ends Serve. When
// the context is over first, the rest are aborted at once. An instance that was never served must be.
func (g *Instance) Shutdown(ctx context.Context) error {
	if !g.loop.Post(func() { g.drain(g.loop.Stop) }) {
		return nil
	}
	select {
	case <-g.done:
		return nil
	case <-ctx.Done():
	}
	g.loop.Post(func() {
		g.ops.FailAll()
	})
	<-g.done
	return ctx.Err()
}

// Kill ends the instance as the death of its process would: connections break, nothing is settled.
func (g *Instance) Kill() {
	g.loop.Post(func() {
		g.server.Cut(true)
		for _, d := range g.disks {
			if d.link != nil {
				d.link.Close()
			}
		}
		g.loop.Stop()
	})
	<-g.done
}

// drain stops taking ops and calls then once all that were taken are settled and their answers are sent.
func (g *Instance) drain(then func()) {
	if g.ending {
		return
	}
	g.ending = true
	g.server.Shut = true
	g.log.Info().Int("open", g.ops.Unanswered()).Msg("no more ops are taken")
	g.settled = func() {
		g.settled = nil
		if g.etcd != nil {
			g.etcd.Watch(false)
		}
		for _, d := range g.disks {
			if d.link != nil {
				d.link.Close()
			}
		}
		g.server.Close(then)
	}
	g.check()
}

func (g *Instance) check() {
	if g.settled != nil && g.ops.Unanswered() == 0 {
		g.settled()
	}
}
