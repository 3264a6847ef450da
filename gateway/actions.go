package gateway

import (
	"honeyplank"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// act does what the module says beside ops and timers.
func (g *Instance) act(action honeyplank.Action) {
	switch a := action.(type) {
	case honeyplank.Probe:
		g.probe(a.Server)
	case honeyplank.CloseIdle:
		if d := g.disks[a.Server]; d != nil {
			d.closeIdle()
		}
	case honeyplank.Log:
		g.log.Warn().Msg(a.Text)
	case honeyplank.Watch:
		if g.etcd != nil {
			g.etcd.Watch(a.Enabled)
		} else if a.Enabled { // DNS has no watch to break: it is asked all the time
			g.ops.Deliver(honeyplank.List{Kind: honeyplank.Delta})
		}
	case honeyplank.Fetch:
		if g.etcd != nil {
			g.etcd.Fetch()
		}
	}
}

// probe asks a disk server for its load.
func (g *Instance) probe(id honeyplank.ServerID) {
	d, at := g.disk(id), g.loop.Now()
	tell := func(code honeyplank.Code, load nvme.Load) {
		g.ops.Deliver(honeyplank.ProbeResult{Server: id, Code: code, Elapsed: g.loop.Now() - at, Load: told(load)})
	}
	d.when(func(ready bool) {
		sent := ready && d.link.Page(nvme.LogLoad, nvme.LoadLen, initiator.CallFunc(func(r initiator.Result) {
			switch {
			case r.Lost:
				tell(honeyplank.Reset, nvme.Load{})
			case r.Status() != nvme.Success || len(r.Data) < nvme.LoadLen:
				tell(honeyplank.Failed, nvme.Load{})
			default:
				tell(honeyplank.Succeeded, nvme.ParseLoad(r.Data))
			}
		}))
		if !sent {
			tell(honeyplank.ConnectFailed, nvme.Load{})
		}
	})
}
