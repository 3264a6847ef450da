package faulttest

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"honeyplank/audit"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// Kinds of faults that damage what crosses a connection. Each time bytes cross, they do so with the chance that the
// script gives as times.
const (
	wireFlip   = "wire-flip"   // a bit is flipped
	wireDrop   = "wire-drop"   // some bytes are lost
	wireDelay  = "wire-delay"  // all that crosses is delayed
	wireCut    = "wire-cut"    // the connection is reset within it
	wireRepeat = "wire-repeat" // some bytes, or all, cross twice
	wireLie    = "wire-lie"    // a PDU has a wrong length under a correct header digest

	wireFaultPrefix = "wire-"
)

const (
	defaultDamageChance = 0.03
	maxDamagedBytes     = 64
	// maxWireDelay is below any reader's timeout for a PDU: past it a delay would be a cut.
	maxWireDelay = 400 * time.Millisecond
	// faultyWireShare is how many clients there are for each one behind a faulty wire.
	faultyWireShare = 3
	// queuesOfAssociation is the number of connections of a client's association: admin queue and I/O queue.
	queuesOfAssociation = 2
)

// wireFaults is how the connections of some clients and disk servers are damaged now. All others are never damaged.
type wireFaults struct {
	kind   string // "": none
	chance float64
	disks  map[*disk.Server]bool
}

// isBehindFaultyWire reports whether a client's connections are damaged in scripts with wire faults.
func isBehindFaultyWire(client int) bool { return client%faultyWireShare == 0 }

// hasWireFaults reports whether a script damages connections at times.
func hasWireFaults(s *settings.Gateway) bool {
	return slices.ContainsFunc(s.FaultTest.Faults, func(f settings.Fault) bool {
		return strings.HasPrefix(f.Kind, wireFaultPrefix)
	})
}

// wireFault damages the connections of some disk servers, and those of the clients behind faulty wires, for a time.
func wireFault(kind string) injector {
	return func(r *run, f settings.Fault) {
		faults := wireFaults{kind: kind, chance: cmp.Or(f.Factor, defaultDamageChance), disks: map[*disk.Server]bool{}}
		for _, cell := range r.pick(f.Count) {
			faults.disks[r.serverOfCell[cell]] = true
		}
		r.wireFaults = faults
		r.after(f.Duration.Duration(), func() { r.wireFaults.kind = "" })
	}
}

// faultyWire is an eventloop.FaultFilter that damages what crosses one connection, as the run's wireFaults say.
type faultyWire struct {
	run      *run
	conn     *eventloop.Conn
	isFaulty func() bool // whether the connection is one of those that are damaged
	onDamage func()      // called before the damaged bytes are passed on
	in, out  delayedBytes
}

// delayedBytes are bytes that are kept back until a time.
type delayedBytes struct {
	bytes []byte
	until time.Duration
}

// FilterInput implements eventloop.FaultFilter.
func (w *faultyWire) FilterInput(b []byte) []byte { return w.pass(&w.in, b) }

// FilterOutput implements eventloop.FaultFilter.
func (w *faultyWire) FilterOutput(b []byte) []byte { return w.pass(&w.out, b) }

// pass returns what crosses in one direction when b is to.
func (w *faultyWire) pass(delayed *delayedBytes, b []byte) []byte {
	now := w.run.loop.Now()
	if len(delayed.bytes) > 0 {
		b = append(delayed.bytes, b...)
		delayed.bytes = nil
		if now < delayed.until {
			delayed.bytes = b
			return nil
		}
		return b
	}
	faults := w.run.wireFaults
	if len(b) == 0 || faults.kind == "" || !w.isFaulty() || w.run.rng.Float64() >= faults.chance {
		return b
	}
	return w.damage(faults.kind, delayed, slices.Clone(b))
}

// damage returns what crosses of b under a fault.
func (w *faultyWire) damage(kind string, delayed *delayedBytes, b []byte) []byte {
	rng := w.run.rng
	from := rng.Intn(len(b))
	to := from + 1 + rng.Intn(min(len(b)-from, maxDamagedBytes))
	switch kind {
	case wireDelay:
		delayed.bytes = b
		delayed.until = w.run.loop.Now() + time.Duration(rng.Float64()*float64(maxWireDelay))
		w.run.loop.Schedule(delayed.until, w.conn.FlushFilter)
		return nil
	case wireCut:
		w.onDamage()
		w.run.loop.Schedule(0, w.conn.Reset)
		return b[:from]
	case wireFlip:
		b[from] ^= 1 << rng.Intn(8)
	case wireDrop:
		b = slices.Delete(b, from, to)
	case wireRepeat:
		if rng.Intn(2) == 0 { // all that crossed at once: complete PDUs
			from, to = 0, len(b)
		}
		b = slices.Insert(b, to, slices.Clone(b[from:to])...)
	case wireLie:
		if delayed != &w.out || !tamperLength(b, rng.Intn(len(wrongLengths))) {
			return b
		}
	}
	w.onDamage()
	return b
}

// wrongLengths make a wrong PDU length from the right one.
var wrongLengths = [...]func(length uint32) uint32{
	func(uint32) uint32 { return 0 },
	func(uint32) uint32 { return 1 },
	func(length uint32) uint32 { return length - 1 },
	func(length uint32) uint32 { return length + 1 },
	func(length uint32) uint32 { return length + 4096 },
	func(uint32) uint32 { return 1 << 31 },
}

// Offsets in the common header of a PDU (NVMe/TCP 3.6.1), and its least length with a command.
const (
	flagsOffset        = 1
	headerLengthOffset = 2
	pduLengthOffset    = 4
	minTamperedBytes   = 28
	digestBytes        = 4
)

// tamperLength changes the length of the PDU that b begins with and makes its header digest right again. It reports
// whether b begins with a PDU that is long enough.
func tamperLength(b []byte, how int) bool {
	if len(b) < minTamperedBytes || int(b[headerLengthOffset])+digestBytes > len(b) {
		return false
	}
	length := binary.LittleEndian.Uint32(b[pduLengthOffset:])
	binary.LittleEndian.PutUint32(b[pduLengthOffset:], wrongLengths[how](length))
	if b[flagsOffset]&nvme.FlagHeaderDigest != 0 {
		header := b[:b[headerLengthOffset]]
		binary.LittleEndian.PutUint32(b[len(header):], nvme.CRC32C(header))
	}
	return true
}

// clientWire returns what connects a client's connections to a gateway with the audit, and with faults. What damages
// one connection of an association ends both, admin queue and I/O queue (NVMe/TCP 3.5), so the audit is notified for
// both.
func (r *run) clientWire(gateway int) func(client int, c *eventloop.Conn) {
	newLink := r.log.ClientLinks(gateway, int(r.script.Volumes.Block))
	associations := map[int][]audit.Link{}
	return func(client int, c *eventloop.Conn) {
		link := newLink()
		c.Tap = link.Observe
		if len(associations[client]) == queuesOfAssociation {
			associations[client] = nil
		}
		associations[client] = append(associations[client], link)
		if !hasWireFaults(r.script) || !isBehindFaultyWire(client) {
			return
		}
		c.FaultFilter = &faultyWire{
			run:      r,
			conn:     c,
			isFaulty: func() bool { return true },
			onDamage: func() {
				for _, l := range associations[client] {
					l.MarkCorrupted()
				}
			},
		}
	}
}

// diskWire returns what gives a gateway's connections at a disk server their faults.
func (r *run) diskWire(server func() *disk.Server) func(c *eventloop.Conn) {
	return func(c *eventloop.Conn) {
		if !hasWireFaults(r.script) {
			return
		}
		c.FaultFilter = &faultyWire{
			run:      r,
			conn:     c,
			isFaulty: func() bool { return r.wireFaults.disks[server()] },
			onDamage: func() {}, // the gateway's retries are to hide it
		}
	}
}
