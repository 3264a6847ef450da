package faulttest

import (
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

// wireTrouble begins the names of troubles of the wire between.
const wireTrouble = "wire-"

// badWires is what goes wrong on the way, for the connections of some clients and disk servers. The others' are
// sound all the time.
type badWires struct {
	kind  string // "": nothing now
	share float64
	disks map[*disk.Server]bool
}

// apart tells which clients stand behind the bad wire: every third.
func apart(client int) bool { return client%3 == 0 }

// wired has a script's wires go bad at times.
func wired(s *settings.Gateway) bool {
	return slices.ContainsFunc(s.FaultTest.Faults, func(t settings.Fault) bool { return strings.HasPrefix(t.Kind, wireTrouble) })
}

// wire makes a trouble of one kind: each time bytes cross, they are damaged or kept back with a chance of Times.
func wire(kind string) func(*stage, settings.Fault) {
	return func(st *stage, t settings.Fault) {
		bad := badWires{kind: kind, share: or(t.Factor, 0.03), disks: map[*disk.Server]bool{}}
		for _, cell := range st.pick(t.Count) {
			bad.disks[st.cells[cell]] = true
		}
		st.bad = bad
		st.after(t.Duration.Duration(), func() { st.bad.kind = "" })
	}
}

// longest is how long a wire keeps bytes back at most: longer than any reader's patience with one PDU would be of no
// use, since then it is a cut.
const longest = 400 * time.Millisecond

// bend is one end of a wire, at a client or at a disk server.
type bend struct {
	st    *stage
	c     *eventloop.Conn
	bad   func() bool
	spoil func()
	lies  bool // it may change what a length field says
	held  [2][]byte
	until [2]time.Duration
}

func (b *bend) FilterInput(p []byte) []byte  { return b.pass(0, p) }
func (b *bend) FilterOutput(p []byte) []byte { return b.pass(1, p) }

func (b *bend) pass(way int, p []byte) []byte {
	now := b.st.loop.Now()
	if len(b.held[way]) > 0 {
		p = append(b.held[way], p...)
		b.held[way] = nil
		if now < b.until[way] {
			b.held[way] = p
			return nil
		}
		return p
	}
	rng := b.st.rng
	if len(p) == 0 || b.st.bad.kind == "" || !b.bad() || rng.Float64() >= b.st.bad.share {
		return p
	}
	p = slices.Clone(p)
	from := rng.Intn(len(p))
	to := from + 1 + rng.Intn(min(len(p)-from, 64))
	switch b.st.bad.kind {
	case "wire-delay":
		b.held[way], b.until[way] = p, now+time.Duration(rng.Float64()*float64(longest))
		b.st.loop.Schedule(b.until[way], b.c.FlushFilter)
		return nil
	case "wire-cut":
		b.spoil()
		b.st.loop.Schedule(0, b.c.Reset)
		return p[:from]
	case "wire-flip":
		p[from] ^= 1 << rng.Intn(8)
	case "wire-drop":
		p = slices.Delete(p, from, to)
	case "wire-repeat":
		if rng.Intn(2) == 0 { // all that crossed at once: whole PDUs
			from, to = 0, len(p)
		}
		p = slices.Insert(p, to, slices.Clone(p[from:to])...)
	case "wire-lie":
		if way == 0 || !b.lies || !lie(p, rng.Intn(6)) {
			return p
		}
	}
	b.spoil()
	return p
}

// lie changes the length of the PDU that p begins with, its header digest being right all the same.
func lie(p []byte, how int) bool {
	if len(p) < 28 || int(p[2])+4 > len(p) {
		return false
	}
	length := binary.LittleEndian.Uint32(p[4:])
	binary.LittleEndian.PutUint32(p[4:], [...]uint32{0, 1, length - 1, length + 1, length + 4096, 1 << 31}[how])
	if p[1]&nvme.FlagHeaderDigest != 0 {
		binary.LittleEndian.PutUint32(p[p[2]:], nvme.CRC32C(p[:p[2]]))
	}
	return true
}

// client is the wire of a client's connection to a gateway. What damages one connection of an association ends both,
// admin queue and I/O queue (TCP 3.5), so both are spoiled.
func (st *stage) client(gateway int) func(client int, c *eventloop.Conn) {
	link := st.log.Client(gateway, int(st.script.Volumes.Block))
	associations := map[int][]audit.Link{}
	return func(client int, c *eventloop.Conn) {
		l := link()
		c.Tap = l.Tap
		if len(associations[client]) == 2 {
			associations[client] = nil
		}
		associations[client] = append(associations[client], l)
		spoil := func() {
			for _, l := range associations[client] {
				l.Spoil()
			}
		}
		if wired(st.script) && apart(client) {
			c.FaultFilter = &bend{st: st, c: c, spoil: spoil, lies: true, bad: func() bool { return true }}
		}
	}
}

// disk is the wire of a gateway's connection at a disk server.
func (st *stage) disk(d func() *disk.Server) func(c *eventloop.Conn) {
	return func(c *eventloop.Conn) {
		if wired(st.script) {
			c.FaultFilter = &bend{st: st, c: c, spoil: func() {}, lies: true, bad: func() bool { return st.bad.disks[d()] }}
		}
	}
}
