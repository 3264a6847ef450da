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

// Kinds of faults that damage the bytes of a connection. The attribute "times" of the fault in the script is the
// probability of damage each time that bytes are sent or received.
const (
	wireFlip        = "wire-flip"   // a bit is flipped
	wireDrop        = "wire-drop"   // some bytes are dropped
	wireDelay       = "wire-delay"  // all bytes are delayed
	wireCut         = "wire-cut"    // the connection is reset after a part of the bytes
	wireRepeat      = "wire-repeat" // some or all bytes are sent twice
	wireWrongLength = "wire-lie"    // a PDU has a wrong length and a correct header digest

	wireFaultPrefix = "wire-"
)

const (
	defaultDamageChance = 0.03
	maxDamagedBytes     = 64
	// maxWireDelay is shorter than the PDU timeouts of all receivers. A longer delay would end the connection.
	maxWireDelay = 400 * time.Millisecond
	// One in clientsPerFaultyWire clients is behind a faulty wire.
	clientsPerFaultyWire = 3
	// queuesOfAssociation is the number of connections of a client's association: an admin queue and an I/O queue.
	queuesOfAssociation = 2
)

// wireFaults describes the current damage to the connections of some clients and disk servers. All other connections
// are free of damage.
type wireFaults struct {
	kind   string // "": none
	chance float64
	disks  map[*disk.Server]bool
}

// isBehindFaultyWire reports whether a client's connections are damaged in scripts with wire faults.
func isBehindFaultyWire(client int) bool { return client%clientsPerFaultyWire == 0 }

// hasWireFaults reports whether a script has a fault that damages connections.
func hasWireFaults(s *settings.Gateway) bool {
	return slices.ContainsFunc(s.FaultTest.Faults, func(f settings.Fault) bool {
		return strings.HasPrefix(f.Kind, wireFaultPrefix)
	})
}

// wireFault returns an injector that damages the connections of some disk servers, and those of the clients behind
// faulty wires, for the duration of the fault. It replaces a wire fault that is still in effect.
func wireFault(kind string) injector {
	return func(r *run, f settings.Fault) {
		faults := wireFaults{kind: kind, chance: cmp.Or(f.Factor, defaultDamageChance), disks: map[*disk.Server]bool{}}
		for _, cell := range r.pickFaultFree(f.Count) {
			faults.disks[r.serverOfCell[cell]] = true
		}
		r.wireFaults = faults
		r.after(f.Duration.Duration(), func() { r.wireFaults.kind = "" })
	}
}

// faultyWire is an eventloop.FaultFilter that damages the bytes of one connection according to the run's wireFaults.
type faultyWire struct {
	run      *run
	conn     *eventloop.Conn
	isFaulty func() bool // whether the current fault affects this connection
	onDamage func()      // called before damaged bytes are passed on
	in, out  delayedBytes
}

// delayedBytes are bytes that are held back until a time.
type delayedBytes struct {
	bytes []byte
	until time.Duration
}

// FilterInput implements eventloop.FaultFilter.
func (w *faultyWire) FilterInput(b []byte) []byte { return w.transfer(&w.in, b) }

// FilterOutput implements eventloop.FaultFilter.
func (w *faultyWire) FilterOutput(b []byte) []byte { return w.transfer(&w.out, b) }

// transfer returns the bytes to pass on now in one direction when b was received or is to be sent. Bytes that were
// delayed come first.
func (w *faultyWire) transfer(delayed *delayedBytes, b []byte) []byte {
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

// damage applies a fault to b and returns the bytes to pass on now. It may modify b.
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
		w.run.loop.Schedule(0, w.conn.SimulateReset)
		return b[:from]
	case wireFlip:
		b[from] ^= 1 << rng.Intn(8)
	case wireDrop:
		b = slices.Delete(b, from, to)
	case wireRepeat:
		if rng.Intn(2) == 0 { // all bytes, to repeat complete PDUs
			from, to = 0, len(b)
		}
		b = slices.Insert(b, to, slices.Clone(b[from:to])...)
	case wireWrongLength:
		if delayed != &w.out || !tamperLength(b, rng.Intn(len(wrongLengths))) {
			return b
		}
	}
	w.onDamage()
	return b
}

// wrongLengths are functions from the correct length of a PDU to a wrong one.
var wrongLengths = [...]func(length uint32) uint32{
	func(uint32) uint32 { return 0 },
	func(uint32) uint32 { return 1 },
	func(length uint32) uint32 { return length - 1 },
	func(length uint32) uint32 { return length + 1 },
	func(length uint32) uint32 { return length + 4096 },
	func(uint32) uint32 { return 1 << 31 },
}

// Offsets in the common header of a PDU (NVMe/TCP 3.6.1), the length in bytes of the shortest PDU with a header digest,
// and the size of a digest.
const (
	flagsOffset        = 1
	headerLengthOffset = 2
	pduLengthOffset    = 4
	minTamperedBytes   = 28
	digestBytes        = 4
)

// tamperLength replaces the length of the PDU at the start of b with a wrong one and updates the header digest. how is
// an index into wrongLengths. tamperLength reports whether b holds enough of a PDU for that.
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

// clientConnectionSetup returns a function that prepares each new connection of a client to a gateway. It lets the
// audit observe the connection and adds the faults of clients behind faulty wires. Damage to one connection of an
// association ends both, the admin queue and the I/O queue (NVMe/TCP 3.5), so both are marked as corrupted for the
// audit.
func (r *run) clientConnectionSetup(gateway int) func(client int, c *eventloop.Conn) {
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

// diskConnectionSetup returns a function that adds the wire faults to each new connection of a gateway at a disk
// server.
func (r *run) diskConnectionSetup(server func() *disk.Server) func(c *eventloop.Conn) {
	return func(c *eventloop.Conn) {
		if !hasWireFaults(r.script) {
			return
		}
		c.FaultFilter = &faultyWire{
			run:      r,
			conn:     c,
			isFaulty: func() bool { return r.wireFaults.disks[server()] },
			onDamage: func() {}, // not reported to the audit: the gateway's retries must compensate for the damage
		}
	}
}
