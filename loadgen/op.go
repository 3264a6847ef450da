package loadgen

import (
	"bytes"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// op is an op of a client. It has one attempt at a time.
type op struct {
	generator   *Generator
	client      *client
	opType      int
	volume      *settings.Volume
	units       float64
	due         time.Duration // clock time
	opcode      uint8
	extent      uint64
	lba         uint64
	blocks      int
	data        []byte // of a write
	written     []byte // of a read that reads back a write: what that wrote
	retriesLeft int

	// Of the present attempt:
	ended   bool
	command uint16 // its identifier
	timeout *eventloop.Timer
}

// settings are those of the op's type.
func (o *op) settings() *settings.OpType { return &o.generator.options.Settings.OpTypes[o.opType] }

func (o *op) tally() *Tally { return &o.generator.ByType[o.opType] }

// utility is what the op is worth if it succeeds within its target latency.
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

// allocateBlocks gives an attempt blocks of its own.
func (o *op) allocateBlocks() {
	o.lba = o.generator.blocks.next(extentID{o.volume.NSID, o.extent}, o.blocks)
}

// readBack makes the op read what a write has written.
func (o *op) readBack(w write) { o.volume, o.lba, o.written = w.volume, w.lba, w.data }

// send begins an attempt.
func (o *op) send() {
	o.tally().Attempts++
	if !o.client.ready {
		o.lose()
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
		o.lose()
		return
	}
	o.command = id
	loop := o.generator.loop
	o.timeout = loop.Schedule(loop.Now()+clientTimeout, func() { o.timedOut(queue) })
}

// timedOut ends the op at the client's timeout.
func (o *op) timedOut(queue *initiator.Session) {
	if o.ended {
		return
	}
	queue.Abandon(o.command)
	o.tally().TimedOut++
	o.ended = true
	o.lose()
}

// lose ends the op without an answer.
func (o *op) lose() {
	o.tally().Lost++
	o.generator.opEnded()
}

// Done takes the result of an attempt. The association calls it.
func (o *op) Done(r initiator.Result) {
	o.generator.loop.Cancel(o.timeout)
	status := r.Status()
	switch {
	case r.ConnectionLost:
		o.connectionLost()
	case status.Code() == nvme.CommandInterrupted && o.mayRetry():
		o.retry(time.Duration(r.DW0()) * time.Millisecond)
	default:
		if status == nvme.Success && o.opcode == nvme.Read && !o.matches(r.Data) {
			o.tally().Mismatches++
		}
		o.finish(status)
	}
}

// connectionLost ends the op where its connection has ended.
func (o *op) connectionLost() {
	if !o.ended {
		o.ended = true
		o.lose()
	}
}

func (o *op) mayRetry() bool { return o.retriesLeft > 0 && o.written == nil && !o.generator.stopped }

// retry begins another attempt after a delay.
func (o *op) retry(delay time.Duration) {
	o.retriesLeft--
	o.ended = true
	o.allocateBlocks()
	o.generator.loop.Schedule(o.generator.loop.Now()+delay, o.send)
}

// matches reports whether a read has brought what was expected.
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

// finish ends the op with the status of its last attempt.
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

// succeed counts the op as succeeded.
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
