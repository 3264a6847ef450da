package gateway

import (
	"strconv"
	"time"

	"honeyplank"
	"honeyplank/nvme"
	"honeyplank/target"
)

// opIDBase is the base in which op IDs are written; a large one keeps them short.
const opIDBase = 36

// op is a client's command that the tracker has admitted. It is the inflight.Client through which the tracker answers.
type op struct {
	instance *Instance
	id       honeyplank.OpID
	command  *target.Command
}

// opTimeout returns the time after its arrival within which a command must be answered: the client's own timeout or the
// op type's, whichever is shorter, minus the time that the answer needs to reach the client.
func (g *Instance) opTimeout(command *target.Command) time.Duration {
	timeout := time.Duration(command.ClientTimeout()) * time.Millisecond
	if opType := g.settings.OpTypeIndex(command.Opcode(), int64(command.Bytes)); opType >= 0 {
		if limit := g.settings.OpTypes[opType].OpTimeout.Duration(); timeout == 0 || timeout > limit {
			timeout = limit
		}
	}
	return timeout - g.settings.Policy.AnswerMargin.Duration()
}

// Admit implements target.Handler: it admits a client's command as an op, unless the instance drains.
func (g *Instance) Admit(command *target.Command) {
	if g.draining {
		command.Complete(nvme.NotReady, 0, 0, nil)
		g.server.Release(command.Data)
		return
	}
	g.lastOpID++
	o := &op{instance: g, id: honeyplank.OpID(strconv.FormatUint(g.lastOpID, opIDBase)), command: command}
	command.User = o
	g.tracker.Admit(g.opEvent(o), o)
}

// opEvent returns the event that reports an op to the module.
func (g *Instance) opEvent(o *op) honeyplank.Op {
	command, size := o.command, int64(o.command.Bytes)
	namespace := int64(command.NSID())
	volume := g.volumes[command.NSID()]
	extent := int64(command.SLBA()) * int64(g.settings.Volumes.Block) / int64(g.settings.Volumes.Extent)
	write := command.Opcode() == nvme.Write
	return honeyplank.Op{
		ID:        o.id,
		Units:     float64(g.settings.Units(size)),
		Deadline:  command.Arrived + g.opTimeout(command),
		Plan:      volume.plan,
		Type:      g.settings.OpTypeIndex(command.Opcode(), size),
		Key:       namespace<<32 ^ extent,
		HasKey:    true,
		Write:     write,
		Instances: volume.instances,
		Volume:    namespace,
		Cell:      volume.cells[extent%int64(len(volume.cells))],
	}
}

// ClientGone implements target.Handler: the client of a command has gone.
func (g *Instance) ClientGone(command *target.Command) {
	if o, ok := command.User.(*op); ok {
		o.release()
		g.tracker.ClientGone(o.id)
	}
}

// LogPage implements target.Handler: the gateway has no log pages of its own.
func (g *Instance) LogPage(uint8) ([]byte, bool) { return nil, false }

// Succeeded implements inflight.Client.
func (o *op) Succeeded(data []byte) { o.answer(nvme.Success, 0, data) }

// Failed implements inflight.Client. The status forbids a retry, because the op may have run.
func (o *op) Failed() { o.answer(nvme.InternalError|nvme.DoNotRetry, 0, nil) }

// Rejected implements inflight.Client. The client may retry after retryAfter; 0: no delay is given.
func (o *op) Rejected(retryAfter time.Duration) {
	o.instance.log.Debug().Uint32("volume", o.command.NSID()).Dur("retry_after_ms", retryAfter).Msg("op rejected")
	status := nvme.CommandInterrupted.WithRetryDelay(o.instance.retryDelayIndex(retryAfter))
	o.answer(status, uint32(retryAfter/time.Millisecond), nil)
}

func (o *op) answer(status nvme.Status, dw0 uint32, data []byte) {
	o.command.Complete(status, dw0, 0, data)
	o.release()
}

// release returns the buffer of a Write's data to the server's pool.
func (o *op) release() {
	o.instance.server.Release(o.command.Data)
	o.command.Data = nil
}
