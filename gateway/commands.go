package gateway

import (
	"strconv"
	"time"

	"honeyplank"
	"honeyplank/nvme"
	"honeyplank/target"
)

// op is a client's command that the books know of; it is answered through it.
type op struct {
	g       *Instance
	id      honeyplank.OpID
	command *target.Command
}

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

func (p *op) Succeeded(data []byte) { p.answer(nvme.Success, 0, data) }

func (p *op) Failed() { p.answer(nvme.InternalError|nvme.DoNotRetry, 0, nil) }

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
