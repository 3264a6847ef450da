package gateway

import (
	"honeyplank"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// checkHealth reads a disk server's load page and delivers the result to the module.
func (g *Instance) checkHealth(id honeyplank.ServerID) {
	server, began := g.diskServer(id), g.loop.Now()
	deliver := func(code honeyplank.Code, load nvme.Load) {
		g.tracker.Deliver(honeyplank.HealthCheckResult{
			Server:  id,
			Code:    code,
			Elapsed: g.loop.Now() - began,
			Load:    loadMetrics(load),
		})
	}
	pageRead := initiator.CallbackFunc(func(result initiator.Result) {
		switch {
		case result.ConnectionLost:
			deliver(honeyplank.Reset, nvme.Load{})
		case result.Status() != nvme.Success || len(result.Data) < nvme.LoadLen:
			deliver(honeyplank.Failed, nvme.Load{})
		default:
			deliver(honeyplank.Succeeded, nvme.ParseLoad(result.Data))
		}
	})
	server.whenConnected(func(ready bool) {
		if !ready || !server.association.GetLogPage(nvme.LogLoad, nvme.LoadLen, pageRead) {
			deliver(honeyplank.ConnectFailed, nvme.Load{})
		}
	})
}

// latencyUnitsPerMillisecond is 10 because a load report states latency in tenths of a millisecond.
const latencyUnitsPerMillisecond = 10

// loadMetrics returns the metrics of a load report under the names that the module uses; nil if the report is empty.
func loadMetrics(load nvme.Load) map[string]float64 {
	if load.Latency == 0 && load.Inflight == 0 {
		return nil
	}
	return map[string]float64{
		"latency":  float64(load.Latency) / latencyUnitsPerMillisecond,
		"inflight": float64(load.Inflight),
	}
}
