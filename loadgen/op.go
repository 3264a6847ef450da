package loadgen

import (
	"bytes"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// op is an op of a client. It has at most one attempt in flight.
type op struct {
	generator   *Generator
	client      *client
	opType      int
	volume      *settings.Volume
	units       float64
	due         time.Duration // scheduled arrival, on the loop's clock
	opcode      uint8
	extent      uint64
	lba         uint64
	blocks      int
	data        []byte // data of a write
	written     []byte // the expected data if the op reads back a write, else nil
	retriesLeft int

	// State of the current attempt:
	ended   bool
	command uint16 // command identifier
	timeout *eventloop.Timer
}

// settings returns the settings of the op's type.
func (o *op) settings() *settings.OpType { return &o.generator.options.Settings.OpTypes[o.opType] }

func (o *op) tally() *Tally { return &o.generator.ByType[o.opType] }

// utility returns the utility of the op if it succeeds within its target latency.
func (o *op) utility() float64 {
	s := o.generator.options.Settings
	value := s.Plans.List[s.PlanIndex(o.volume.Plan)].Value
	if value == 0 {
		value = 1
	}
	return o.settings().Utility * value * o.units / s.Volumes.MeanUnits
}

func (o *op) countedSeparately() bool {
	f := o.generator.options.CountedSeparately
	return f != nil && f(o.client.index)
}

// allocateBlocks allocates new blocks for the next attempt.
func (o *op) allocateBlocks() {
	o.lba = o.generator.blocks.next(extentID{o.volume.NSID, o.extent}, o.blocks)
}

// readBack makes the op read the blocks of an earlier write and expect its data.
func (o *op) readBack(w write) { o.volume, o.lba, o.written = w.volume, w.lba, w.data }

// send begins an attempt. The op is dropped if its client is not connected or has no free command slot.
func (o *op) send() {
	o.tally().Attempts++
	if !o.client.ready {
		o.drop()
		return
	}
	command := nvme.NewRW(o.opcode, o.volume.NSID, o.lba, o.blocks)
	clientTimeout := o.settings().OpTimeout.Duration()
	if factor := o.generator.TimeoutFactor; factor > 0 {
		clientTimeout = time.Duration(float64(clientTimeout) * factor)
		command.SetClientTimeout(uint32(clientTimeout / time.Millisecond))
	}
	readBytes := 0
	if o.opcode == nvme.Read {
		readBytes = o.blocks * int(o.generator.options.Settings.Volumes.Block)
	}
	o.ended = false
	queue := o.client.association.IO
	id, ok := queue.Submit(command, o.data, readBytes, o)
	if !ok {
		o.drop()
		return
	}
	o.command = id
	loop := o.generator.loop
	o.timeout = loop.Schedule(loop.Now()+clientTimeout, func() { o.handleTimeout(queue) })
}

// handleTimeout ends the op when the client's timeout expires without an answer.
func (o *op) handleTimeout(queue *initiator.Session) {
	if o.ended {
		return
	}
	queue.Abandon(o.command)
	o.tally().TimedOut++
	o.ended = true
	o.drop()
}

// drop counts the op as lost and ends it without an answer.
func (o *op) drop() {
	o.tally().Lost++
	o.generator.opEnded()
}

// Done implements initiator.Call. It handles the result of an attempt.
func (o *op) Done(r initiator.Result) {
	o.generator.loop.Cancel(o.timeout)
	status := r.Status()
	switch {
	case r.ConnectionLost:
		o.dropWithConnection()
	case status.Code() == nvme.CommandInterrupted && o.mayRetry():
		o.retry(time.Duration(r.DW0()) * time.Millisecond)
	default:
		if status == nvme.Success && o.opcode == nvme.Read && !o.matches(r.Data) {
			o.tally().Mismatches++
		}
		o.finish(status)
	}
}

// dropWithConnection drops the op after its connection ended, unless the attempt had ended before.
func (o *op) dropWithConnection() {
	if !o.ended {
		o.ended = true
		o.drop()
	}
}

func (o *op) mayRetry() bool { return o.retriesLeft > 0 && o.written == nil && !o.generator.stopped }

// retry schedules another attempt, on newly allocated blocks, after a delay.
func (o *op) retry(delay time.Duration) {
	o.retriesLeft--
	o.ended = true
	o.allocateBlocks()
	o.generator.loop.Schedule(o.generator.loop.Now()+delay, o.send)
}

// matches reports whether the data of a read is the expected data. It returns true if Options.Expect is nil.
func (o *op) matches(data []byte) bool {
	if o.generator.options.Expect == nil {
		return true
	}
	if o.written != nil {
		return bytes.Equal(data, o.written)
	}
	blockSize := int(o.generator.options.Settings.Volumes.Block)
	want := make([]byte, blockSize)
	for i := range o.blocks {
		o.generator.options.Expect(want, o.volume.NSID, o.lba+uint64(i))
		if !bytes.Equal(data[i*blockSize:(i+1)*blockSize], want) {
			return false
		}
	}
	return true
}

// finish ends the op with the status of its last attempt, unless the attempt had ended before.
func (o *op) finish(status nvme.Status) {
	if o.ended {
		return
	}
	o.ended = true
	switch {
	case status == nvme.Success:
		o.succeed()
	case status.Code() == nvme.CommandInterrupted:
		o.tally().Rejected++
	default:
		o.tally().Failed++
	}
	o.generator.opEnded()
}

// succeed counts the op as succeeded and adds its utility. A write becomes available for reading back.
func (o *op) succeed() {
	tally := o.tally()
	tally.Succeeded++
	latency := o.generator.loop.Now() - o.due
	tally.recordLatency(latency)
	earned := o.utility()
	if latency <= o.settings().TargetLatency.Duration() {
		tally.InTime++
	} else {
		earned *= o.settings().LateUtility
	}
	tally.Earned += earned
	if o.countedSeparately() {
		o.generator.CountedSeparately.Earned += earned
	}
	if o.opcode == nvme.Write {
		o.generator.written.add(write{o.volume, o.lba, o.data})
	}
}
