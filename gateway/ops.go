package gateway

import (
	"strconv"
	"time"

	"honeyplank"
	"honeyplank/inflight"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/target"
)

// op is a client's command that the books know of; it is answered through it.
type op struct {
	g       *Instance
	id      honeyplank.OpID
	command *target.Command
}

// disk is the connection to one disk server, made when something is to be sent.
type disk struct {
	g       *Instance
	id      honeyplank.ServerID
	link    *initiator.Association
	waiting []func(ready bool) // until the association stands
	out     int
}

// ---- From clients ----

// patience is how long a client waits, less what its answer needs on the way.
func (g *Instance) patience(c *target.Command) time.Duration {
	wait := time.Duration(c.Patience()) * time.Millisecond
	if t := g.s.Type(c.Opcode() == nvme.Write, int64(c.Bytes)); t >= 0 {
		if most := g.s.OpTypes[t].OpTimeout.D(); wait == 0 || wait > most {
			wait = most
		}
	}
	return wait - g.s.Rules.AnswerMargin.D()
}

// Admit tells the module of a client's command.
func (g *Instance) Admit(c *target.Command) {
	if g.ending {
		c.Complete(nvme.NotReady, 0, 0, nil)
		g.server.Release(c.Data)
		return
	}
	g.last++
	v := g.volumes[c.NSID()]
	p := &op{g: g, id: honeyplank.OpID(strconv.FormatUint(g.last, 36)), command: c}
	c.User = p
	extent := int64(c.SLBA()) * int64(g.s.Volumes.Block) / int64(g.s.Volumes.Extent)
	write := c.Opcode() == nvme.Write
	g.ops.Admit(honeyplank.Op{
		ID: p.id, Units: float64(g.s.Units(int64(c.Bytes))), Timeout: c.Arrived + g.patience(c), Plan: v.plan,
		Type: g.s.Type(write, int64(c.Bytes)), Key: int64(c.NSID())<<32 ^ extent, HasKey: true, Write: write,
		Schedulers: v.hosts, Volume: int64(c.NSID()), Cell: v.cells[extent%int64(len(v.cells))],
	}, p)
}

// ClientGone tells the books that a client has gone.
func (g *Instance) ClientGone(c *target.Command) {
	if p, ok := c.User.(*op); ok {
		p.release()
		g.ops.ClientGone(p.id)
	}
}

// Log has no pages of the gateway's own.
func (g *Instance) Log(uint8) ([]byte, bool) { return nil, false }

// The answers of an op.

func (p *op) Succeeded(data []byte) { p.answer(nvme.Success, 0, data) }
func (p *op) Failed()               { p.answer(nvme.InternalError|nvme.DoNotRetry, 0, nil) }
func (p *op) Rejected(after time.Duration) {
	p.g.log.Debug().Uint32("volume", p.command.NSID()).Dur("advice_ms", after).Msg("throttled")
	p.answer(nvme.CommandInterrupted.WithDelay(p.g.delay(after)), uint32(after/time.Millisecond), nil)
}

func (p *op) answer(status nvme.Status, dw0 uint32, data []byte) {
	p.command.Complete(status, dw0, 0, data)
	p.release()
}

// release gives back the data of a Write.
func (p *op) release() {
	p.g.server.Release(p.command.Data)
	p.command.Data = nil
}

// ---- To disk servers ----

func (g *Instance) disk(id honeyplank.ServerID) *disk {
	d := g.disks[id]
	if d == nil {
		d = &disk{g: g, id: id}
		g.disks[id] = d
	}
	return d
}

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

// when calls f once the association stands, or has failed.
func (d *disk) when(f func(ready bool)) {
	if d.link != nil && d.link.IsReady() {
		f(true)
		return
	}
	d.waiting = append(d.waiting, f)
	if d.link == nil || d.link.Over() {
		t := &d.g.s.DiskServers
		d.link = initiator.Dial(d.g.loop, initiator.Settings{Address: string(d.id), Subsystem: t.Subsystem, Host: d.g.s.Listen.Host,
			HostID: [16]byte{byte(d.g.s.Scheduler.Ordinal), byte(d.g.s.Scheduler.Ordinal >> 8)}, Depth: t.Depth, MaxData: int(d.g.s.Limits.Transfer),
			Digests: t.Digests, ConnectTimeout: t.ConnectWithin.D(), KeepAlive: t.KeepAlive.D()}, d)
	}
}

// Ready is called when the association can take commands.
func (d *disk) Ready(*initiator.Association) { d.release(true) }

// Ended is called when the association has ended or could not be made.
func (d *disk) Ended(link *initiator.Association, err error) {
	if d.link != link { // an op that was out there has been sent anew already
		return
	}
	d.g.log.Info().Str("osd", string(d.id)).Err(err).Msg("no connection")
	d.link = nil
	d.release(false)
}

func (d *disk) release(ready bool) {
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f(ready)
	}
}

func (d *disk) closeIdle() {
	if d.link != nil && d.out == 0 && len(d.waiting) == 0 {
		d.link.Close()
		d.link = nil
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
