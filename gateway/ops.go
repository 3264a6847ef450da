package gateway

import (
	"strconv"
	"time"

	"honeyplank"
	"honeyplank/initiator"
	"honeyplank/loop"
	"honeyplank/nvme"
	"honeyplank/target"
)

// op is a client's command that the module has been told of. It stays while a dispatch has no outcome.
type op struct {
	id      honeyplank.OpID
	serial  uint64
	command *target.Command
	timeout time.Duration // clock time by which it must have its answer
	sends   []*dispatch
	first   dispatch // the first of sends, which most ops need no more than
	room    [1]*dispatch
	live    int  // dispatches without an outcome
	over    bool // answered, or its client has gone
}

// dispatch is one sending of an op to a disk server.
type dispatch struct {
	g     *Instance
	op    *op
	n     int
	disk  *disk
	at    time.Duration
	timer loop.Timer
	cid   uint16
	sent  bool
	done  bool
}

// disk is the connection to one disk server, made when something is to be sent.
type disk struct {
	g       *Instance
	id      honeyplank.OSDID
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

// Take tells the module of a client's command.
func (g *Instance) Take(c *target.Command) {
	if g.ending {
		c.Complete(nvme.NotReady, 0, 0, nil)
		g.server.Release(c.Data)
		return
	}
	g.last++
	v := g.volumes[c.NSID()]
	p := &op{id: honeyplank.OpID(strconv.FormatUint(g.last, 36)), serial: g.last, command: c, timeout: c.Arrived + g.patience(c)}
	c.User = p
	g.ops[p.id] = p
	g.counts.Taken++
	extent := int64(c.SLBA()) * int64(g.s.Volumes.Block) / int64(g.s.Volumes.Extent)
	write := c.Opcode() == nvme.Write
	g.tell(honeyplank.Op{
		ID: p.id, Units: float64(g.s.Units(int64(c.Bytes))), Timeout: p.timeout, Plan: v.plan,
		Type: g.s.Type(write, int64(c.Bytes)), Key: int64(c.NSID())<<32 ^ extent, Keyed: true, Write: write,
		Hosts: v.hosts, Volume: int64(c.NSID()), Cell: v.cells[extent%int64(len(v.cells))],
	})
}

// Lapse tells the module that a client has gone.
func (g *Instance) Lapse(c *target.Command) {
	if p, ok := c.User.(*op); ok && !p.over {
		g.counts.Lapsed++
		g.close(p)
		g.tell(honeyplank.Lapsed{Op: p.id})
	}
}

// Log has no pages of the gateway's own.
func (g *Instance) Log(uint8) ([]byte, bool) { return nil, false }

// owed is an op that is owed an answer, or nil.
func (g *Instance) owed(id honeyplank.OpID) *op {
	if p := g.ops[id]; p != nil && !p.over {
		return p
	}
	return nil
}

func (g *Instance) answer(p *op, status nvme.Status, dw0 uint32, data []byte) {
	p.command.Complete(status, dw0, 0, data)
	g.close(p)
}

// close ends what is owed for an op.
func (g *Instance) close(p *op) {
	p.over = true
	g.server.Release(p.command.Data)
	p.command.Data = nil
	g.forget(p)
}

func (g *Instance) forget(p *op) {
	if p.over && p.live == 0 {
		delete(g.ops, p.id)
	}
}

// ---- To disk servers ----

func (g *Instance) disk(id honeyplank.OSDID) *disk {
	d := g.disks[id]
	if d == nil {
		d = &disk{g: g, id: id}
		g.disks[id] = d
	}
	return d
}

// dispatch sends an op as the module says. Each ends as exactly one outcome.
func (g *Instance) dispatch(a honeyplank.Dispatch) {
	p := g.ops[a.Op]
	if p == nil {
		return
	}
	d := g.disk(a.OSD)
	s := &p.first
	if len(p.sends) > 0 {
		s = &dispatch{}
	} else {
		p.sends = p.room[:0]
	}
	*s = dispatch{g: g, op: p, n: len(p.sends), disk: d, at: g.loop.Now()}
	p.sends = append(p.sends, s)
	p.live++
	g.counts.Dispatches++
	if p.over || s.at >= p.timeout {
		s.end(honeyplank.Moot, nvme.Load{})
		return
	}
	until := p.timeout
	if a.After > 0 {
		until = min(until, s.at+a.After)
	}
	g.loop.Arm(&s.timer, until, s)
	if d.link != nil && d.link.IsReady() {
		s.send(true)
	} else {
		d.when(s.send)
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
		d.link = initiator.Dial(d.g.loop, initiator.Terms{Address: string(d.id), Subsystem: t.Subsystem, Host: d.g.s.Listen.Host,
			HostID: [16]byte{byte(d.g.s.Scheduler.Ordinal), byte(d.g.s.Scheduler.Ordinal >> 8)}, Depth: t.Depth, MaxData: int(d.g.s.Limits.Transfer),
			Digests: t.Digests, Within: t.ConnectWithin.D(), KeepAlive: t.KeepAlive.D()}, d)
	}
}

// Ready and Ended are told by the association.
func (d *disk) Ready(*initiator.Association) { d.release(true) }

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

func (s *dispatch) send(ready bool) {
	if s.done {
		return
	}
	if s.op.over { // its client went while the connection was made
		s.end(honeyplank.Moot, nvme.Load{})
		return
	}
	if !ready {
		s.end(honeyplank.Unconnected, nvme.Load{})
		return
	}
	c := s.op.command
	read, data := c.Bytes, c.Data
	if len(data) > 0 {
		read = 0
	}
	sqe := nvme.NewRW(c.Opcode(), c.NSID(), c.SLBA(), c.Blocks())
	cid, ok := s.disk.link.IO.Submit(sqe, data, read, s)
	if !ok { // every command id is out there
		s.end(honeyplank.Unconnected, nvme.Load{})
		return
	}
	s.cid, s.sent = cid, true
	s.disk.out++
}

// Due ends a dispatch that has had no answer in time.
func (s *dispatch) Due() {
	if s.sent {
		s.stop(honeyplank.TimedOut)
	} else {
		s.stop(honeyplank.Unconnected)
	}
}

// stop ends the wait for a dispatch. Its answer, should one come, is nobody's.
func (s *dispatch) stop(code honeyplank.Code) {
	if s.done {
		return
	}
	if s.sent {
		s.disk.out--
		if s.disk.link != nil {
			s.disk.link.IO.Abandon(s.cid)
		}
	}
	s.end(code, nvme.Load{})
}

// Done is told how the command ended.
func (s *dispatch) Done(r initiator.Result) {
	if s.done {
		return
	}
	s.disk.out--
	code, load := honeyplank.Reset, nvme.Load{}
	if !r.Lost {
		load = r.Load()
		switch r.Status().Code() {
		case nvme.Success:
			code = honeyplank.Acked
		case nvme.TurnedAway:
			code = honeyplank.Full
		default:
			code = honeyplank.Errored
		}
	}
	if code == honeyplank.Acked && !s.op.over {
		s.g.counts.Acked++
		s.g.answer(s.op, nvme.Success, 0, r.Data)
	}
	s.end(code, load)
}

// end tells the module how the dispatch ended, once.
func (s *dispatch) end(code honeyplank.Code, load nvme.Load) {
	s.done = true
	s.g.loop.Cancel(&s.timer)
	s.op.live--
	s.g.forget(s.op)
	e := honeyplank.Outcome{Op: s.op.id, Dispatch: s.n, OSD: s.disk.id, Code: code, Elapsed: s.g.loop.Now() - s.at, Done: s.op.over}
	if code == honeyplank.Acked || code == honeyplank.Full || code == honeyplank.Errored {
		e.Used, e.Elsewhere, e.Load = int(load.Used), float64(load.Elsewhere), told(load)
	}
	s.g.tell(e)
}

// told names the figures of a load report as the module knows them.
func told(l nvme.Load) map[string]float64 {
	if l.Latency == 0 && l.Inflight == 0 {
		return nil
	}
	return map[string]float64{"latency": float64(l.Latency) / 10, "inflight": float64(l.Inflight)}
}

// probe asks a disk server for its load.
func (g *Instance) probe(id honeyplank.OSDID) {
	d, at := g.disk(id), g.loop.Now()
	tell := func(code honeyplank.Code, load nvme.Load) {
		g.tell(honeyplank.Probed{OSD: id, Code: code, Elapsed: g.loop.Now() - at, Load: told(load)})
	}
	d.when(func(ready bool) {
		sent := ready && d.link.Page(nvme.LogLoad, nvme.LoadLen, initiator.CallFunc(func(r initiator.Result) {
			switch {
			case r.Lost:
				tell(honeyplank.Reset, nvme.Load{})
			case r.Status() != nvme.Success || len(r.Data) < nvme.LoadLen:
				tell(honeyplank.Errored, nvme.Load{})
			default:
				tell(honeyplank.Acked, nvme.ParseLoad(r.Data))
			}
		}))
		if !sent {
			tell(honeyplank.Unconnected, nvme.Load{})
		}
	})
}
