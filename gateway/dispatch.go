package gateway

import (
	"honeyplank"
	"honeyplank/inflight"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// sender carries the dispatches of the books. A dispatch has its disk for Link and its command id for Tag once it
// has been submitted.
type sender struct{ *Instance }

func (s sender) Send(d *inflight.Dispatch) {
	k := s.disk(d.Server)
	if k.link != nil && k.link.IsReady() {
		k.submit(d)
		return
	}
	k.when(func(ready bool) {
		switch {
		case d.Ended():
		case d.Abandoned(): // its client went while the connection was made
			d.Finish(honeyplank.NotSent, nil, inflight.Feedback{})
		case !ready:
			d.Finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
		default:
			k.submit(d)
		}
	})
}

func (s sender) Written(d *inflight.Dispatch) bool { return d.SenderState != nil }

func (s sender) Cancel(d *inflight.Dispatch) {
	if k, ok := d.SenderState.(*disk); ok {
		k.out--
		if k.link != nil {
			k.link.IO.Abandon(uint16(d.SenderTag))
		}
	}
}

// submit sends a dispatch on a connection that stands.
func (d *disk) submit(dispatch *inflight.Dispatch) {
	c := dispatch.Client().(*op).command
	read, data := c.Bytes, c.Data
	if len(data) > 0 {
		read = 0
	}
	sqe := nvme.NewRW(c.Opcode(), c.NSID(), c.SLBA(), c.Blocks())
	cid, ok := d.link.IO.Submit(sqe, data, read, (*call)(dispatch))
	if !ok { // every command id is out there
		dispatch.Finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
		return
	}
	dispatch.SenderState, dispatch.SenderTag = d, uint64(cid)
	d.out++
}

// call is a dispatch that has been submitted.
type call inflight.Dispatch

// Done is told how the command ended.
func (c *call) Done(r initiator.Result) {
	d := (*inflight.Dispatch)(c)
	if d.Ended() {
		return
	}
	d.SenderState.(*disk).out--
	if r.Lost {
		d.Finish(honeyplank.Reset, nil, inflight.Feedback{})
		return
	}
	code, load := honeyplank.Failed, r.Load()
	switch r.Status().Code() {
	case nvme.Success:
		code = honeyplank.Succeeded
	case nvme.TurnedAway:
		code = honeyplank.Rejected
	}
	d.Finish(code, r.Data, inflight.Feedback{QuotaUsed: int(load.Used), ServedElsewhere: float64(load.Elsewhere), Load: told(load)})
}

// told names the figures of a load report as the module knows them.
func told(l nvme.Load) map[string]float64 {
	if l.Latency == 0 && l.Inflight == 0 {
		return nil
	}
	return map[string]float64{"latency": float64(l.Latency) / 10, "inflight": float64(l.Inflight)}
}
