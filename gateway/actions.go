package gateway

import "honeyplank"

// execute executes the module's actions that concern neither ops nor timers.
func (g *Instance) execute(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.HealthCheck:
		g.checkHealth(a.Server)
	case honeyplank.CloseIdle:
		if d := g.diskServers[a.Server]; d != nil {
			d.closeIdle()
		}
	case honeyplank.LogHealth:
		g.log.Warn().
			Str("server", string(a.Server)).
			Stringer("health", a.Health).
			Stringer("previous_health", a.Previous).
			Msg("disk server health changed")
	case honeyplank.LogEstimateIgnored:
		g.log.Warn().Str("server", string(a.Server)).Str("reason", a.Reason).Msg("saved estimate ignored")
	case honeyplank.LogRecordsDropped:
		g.log.Warn().Int("volumes", a.Volumes).Int("queues", a.Queues).Msg("records of idle volumes dropped")
	case honeyplank.Watch:
		if a.Enabled {
			g.startWatch()
		} else {
			g.stopWatch()
		}
	case honeyplank.Fetch:
		if g.etcd != nil {
			g.etcd.Fetch()
		}
	}
}

// startWatch starts the etcd watch. Without etcd there is no watch that could fail, because DNS is polled continuously:
// the module is notified at once that the watch works.
func (g *Instance) startWatch() {
	if g.etcd == nil {
		g.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta})
		return
	}
	g.etcd.Watch()
}

// stopWatch ends the etcd watch, if there is one.
func (g *Instance) stopWatch() {
	if g.etcd != nil {
		g.etcd.StopWatch()
	}
}
