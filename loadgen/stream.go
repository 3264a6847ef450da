package loadgen

import (
	"encoding/binary"
	"slices"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

const (
	// randomStride is the distance between the random 64-bit numbers in written data, in bytes. The other bytes are 0.
	randomStride = 512
	// readBackOdds is the reciprocal of the probability that a read reads back a write, if the newest write in the
	// history has the read's size. No other read reads back a write.
	readBackOdds = 4
)

// stream creates the ops of one kind of traffic.
type stream struct {
	generator *Generator
	traffic   *settings.Traffic
	opType    int // index of its op type
	run       extentRun
}

// extentRun is a sequence of consecutive ops on one extent.
type extentRun struct {
	volume    int
	extent    int
	remaining int // ops still to come
}

func newStream(g *Generator, traffic *settings.Traffic) *stream {
	opType := slices.IndexFunc(g.options.Settings.OpTypes, func(t settings.OpType) bool {
		return t.Name == traffic.OpType
	})
	return &stream{generator: g, traffic: traffic, opType: max(opType, 0)}
}

// scheduleNext schedules the next op after one that was due at the given time. The intervals are exponentially
// distributed.
func (s *stream) scheduleNext(due time.Duration) {
	g := s.generator
	if g.stopped {
		return
	}
	rate := s.traffic.Rate * g.currentRate() / g.totalRate
	due += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	g.loop.Schedule(due, func() {
		if !g.stopped {
			s.startOp(due)
			s.scheduleNext(due)
		}
	})
}

// startOp creates an op, counts it and sends it.
func (s *stream) startOp(due time.Duration) {
	o := s.newOp(due)
	tally := o.tally()
	tally.Ops++
	tally.Due += o.utility()
	if o.countedSeparately() {
		o.generator.CountedSeparately.Due += o.utility()
	}
	o.generator.pending++
	o.send()
}

// newOp creates the next op of the run, or the first op of a new run.
func (s *stream) newOp(due time.Duration) *op {
	g := s.generator
	if s.run.remaining == 0 {
		s.run = s.drawRun()
	}
	s.run.remaining--
	volumes := &g.options.Settings.Volumes
	volume := &volumes.List[s.run.volume]
	o := &op{
		generator:   g,
		client:      g.clients[g.rng.Intn(len(g.clients))],
		opType:      s.opType,
		volume:      volume,
		units:       float64(g.options.Settings.Units(int64(s.traffic.OpBytes))),
		due:         due,
		opcode:      nvme.Read,
		extent:      uint64(s.run.extent),
		blocks:      int(s.traffic.OpBytes / volumes.Block),
		retriesLeft: g.options.Retries,
	}
	o.allocateBlocks()
	switch bytes := int(s.traffic.OpBytes); {
	case o.settings().Opcode == "write":
		o.opcode, o.data = nvme.Write, s.randomData(bytes)
	case g.written.hasNewest(bytes) && g.rng.Intn(readBackOdds) == 0:
		o.readBack(g.written.takeNewest())
	}
	return o
}

// drawRun draws a volume, an extent of it and the number of ops of the run.
func (s *stream) drawRun() extentRun {
	g := s.generator
	volumes := &g.options.Settings.Volumes
	volume := g.drawVolume()
	extents := int(volumes.List[volume].Size / volumes.Extent)
	return extentRun{
		volume:    volume,
		extent:    g.rng.Intn(max(extents, 1)),
		remaining: 1 + g.rng.Intn(max(s.traffic.ExtentRun, 1)),
	}
}

func (s *stream) randomData(bytes int) []byte {
	data := make([]byte, bytes)
	for at := 0; at < bytes; at += randomStride {
		binary.LittleEndian.PutUint64(data[at:], s.generator.rng.Uint64())
	}
	return data
}
