// Package audit judges the seven rules from what crossed the sockets of clients and disk servers, and from
// what the list told whom. It shares no code with the gateway or the module: it reads the bytes by the codec
// and keeps its own books. An op is known by its volume, place and opcode, which the load never uses twice.
package audit

import (
	"sync"
	"time"

	"honeyplank/nvme"
)

// Log is what was seen. It may be written from any goroutine.
type Log struct {
	mu      sync.Mutex
	start   time.Time
	ops     map[opKey]*opRecord
	order   []*opRecord
	sends   []*sendRecord
	told    []toldRecord
	kills   map[int][]time.Duration
	leaves  map[int][]time.Duration
	starts  map[string][]startRecord
	servers map[string]Place
}

type opKey struct {
	nsid   uint32
	lba    uint64
	opcode uint8
}

// opRecord is one op as its client sent it.
type opRecord struct {
	opKey
	gateway  int
	bytes    int
	patience time.Duration
	sent     time.Duration
	answers  []answerRecord
	closed   time.Duration // the connection ended; 0: it has not
	spoiled  bool          // the wire damaged its connection while it was open, or before
	twice    bool          // the wire repeated its command
	sends    []*sendRecord
}

type answerRecord struct {
	at     time.Duration
	status nvme.Status
}

// sendRecord is one dispatch as a disk server received it.
type sendRecord struct {
	op      *opRecord
	gateway int
	server  string
	at      time.Duration
	answer  answerRecord  // at 0: none
	closed  time.Duration // the connection ended before an answer
}

type toldRecord struct {
	gateway int
	source  string
	server  string
	at      time.Duration
	state   string // on, draining, gone
	started time.Duration
}

type startRecord struct {
	at       time.Duration
	capacity func(time.Duration) float64 // by the time since this start, units a second
}

// Place is where a disk server stands, for the groups that drop repeats.
type Place struct{ Zone, Cell int }

// NewLog begins to record now.
func NewLog() *Log {
	return &Log{start: time.Now(), ops: map[opKey]*opRecord{}, kills: map[int][]time.Duration{}, leaves: map[int][]time.Duration{}, starts: map[string][]startRecord{}, servers: map[string]Place{}}
}

func (l *Log) now() time.Duration { return time.Since(l.start) }

// Notified notes what a source told a gateway of a server: on, draining or gone; started is when it last started, zero
// if long ago.
func (l *Log) Notified(gateway int, source, server, state string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := toldRecord{gateway: gateway, source: source, server: server, at: l.now(), state: state}
	if !started.IsZero() {
		r.started = started.Sub(l.start)
	}
	l.told = append(l.told, r)
}

// GatewayKilled notes the death of a gateway, with all it held.
func (l *Log) GatewayKilled(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[gateway] = append(l.kills[gateway], l.now())
}

// ClientClosed notes that a client of a gateway is about to break its connection. Only then is nothing owed for its ops: a
// gateway that hangs up has not answered.
func (l *Log) ClientClosed(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaves[gateway] = append(l.leaves[gateway], l.now())
}

// AddServer notes where a disk server stands.
func (l *Log) AddServer(server string, p Place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[server] = p
}

// ServerStarted notes that a disk server has just started, and what it bears at an age, in units a second.
func (l *Log) ServerStarted(server string, capacity func(age time.Duration) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[server] = append(l.starts[server], startRecord{l.now(), capacity})
}

// wire reads both directions of one connection.
type wire struct {
	frames [2]nvme.Framing // from the host, from the controller
	held   [2][]byte
	dead   bool
	io     bool
	host   string
	open   map[uint16]any // by command id: *opRecord or *sendRecord
}

func newWire() *wire {
	w := &wire{open: map[uint16]any{}}
	for i := range w.frames {
		w.frames[i] = nvme.Framing{MaxData: 4 << 20, FromHost: i == 0}
	}
	return w
}

// read decodes what came; handle sees each PDU.
func (w *wire) read(fromHost bool, b []byte, handle func(*nvme.PDU)) {
	i := 1
	if fromHost {
		i = 0
	}
	w.held[i] = append(w.held[i], b...)
	used := 0
	for !w.dead {
		p, n, err := w.frames[i].Decode(w.held[i][used:])
		if err != nil || n == 0 {
			w.dead = err != nil
			break
		}
		used += n
		if p.Type == nvme.TypeICResp {
			for k := range w.frames {
				w.frames[k].HeaderDigest, w.frames[k].DataDigest = p.Init().HeaderDigest, p.Init().DataDigest
			}
		}
		if c := p.Type == nvme.TypeCapsuleCmd; c {
			if sqe := p.Command(); sqe.Opcode() == nvme.Fabrics && sqe.FabricsType() == nvme.FabricsConnect && len(p.Data) == nvme.ConnectLen {
				w.host = nvme.ParseConnectData(p.Data).Host
				w.io = sqe.DW(10)>>16 != 0
				continue
			}
		}
		handle(&p)
	}
	w.held[i] = append(w.held[i][:0], w.held[i][used:]...)
}

// command is a Read or Write of an I/O queue, or nil.
func (w *wire) command(p *nvme.PDU) *nvme.Command {
	if c := p.Command(); w.io && (c.Opcode() == nvme.Read || c.Opcode() == nvme.Write) {
		return &c
	}
	return nil
}

// result is the command id and status that a PDU answers with.
func result(p *nvme.PDU) (cid uint16, status nvme.Status, ok bool) {
	switch {
	case p.Type == nvme.TypeCapsuleResp:
		c := p.Completion()
		return c.CID(), c.Status(), true
	case p.Type == nvme.TypeC2HData && p.Flags&nvme.FlagSuccess != 0:
		return p.CCCID(), nvme.Success, true
	}
	return 0, 0, false
}

// Link is a connection as the audit sees it: what crosses the socket, and that a bad wire has damaged what crossed.
// From then on the gateway can't know what its client meant, so its ops that were open, and those that come, are
// owed no answer; where the wire repeated a command, no order and no single effect either.
type Link struct {
	Tap           func(sent bool, b []byte)
	MarkCorrupted func()
}

// ClientLinks makes links for the connections of a gateway's clients; block is the block size. The tap sits at the
// client: what it sent came from the host.
func (l *Log) ClientLinks(gateway, block int) func() Link {
	return func() Link {
		w, gone, spoiled := newWire(), false, false
		spoil := func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			spoiled = true
			for _, x := range w.open {
				if r := x.(*opRecord); len(r.answers) == 0 {
					r.spoiled = true
				}
			}
		}
		return Link{MarkCorrupted: spoil, Tap: func(sent bool, b []byte) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if len(b) == 0 {
				if !gone {
					for _, x := range w.open {
						x.(*opRecord).closed = l.now()
					}
				}
				gone = true
				return
			}
			w.read(sent, b, func(p *nvme.PDU) {
				if p.Type == nvme.TypeCapsuleCmd {
					if c := w.command(p); c != nil {
						r := &opRecord{opKey: opKey{c.NSID(), c.SLBA(), c.Opcode()}, gateway: gateway, bytes: c.Blocks() * block,
							patience: time.Duration(c.ClientTimeout()) * time.Millisecond, sent: l.now(), spoiled: spoiled}
						if old := l.ops[r.opKey]; old != nil && spoiled {
							old.twice = true
							return
						}
						l.ops[r.opKey] = r
						l.order = append(l.order, r)
						w.open[c.CID()] = r
					}
				} else if cid, status, ok := result(p); ok {
					if r, ok := w.open[cid].(*opRecord); ok { // it stays open to a second answer
						r.answers = append(r.answers, answerRecord{l.now(), status})
					}
				}
			})
		}}
	}
}

// ServerTaps makes taps for the connections of a disk server; gateways names the hosts by their NQN.
func (l *Log) ServerTaps(server func() string, gateways map[string]int) func() func(sent bool, b []byte) {
	return func() func(bool, []byte) {
		w := newWire()
		return func(sent bool, b []byte) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if len(b) == 0 {
				for _, x := range w.open {
					if r := x.(*sendRecord); r.answer.at == 0 && r.closed == 0 {
						r.closed = l.now()
					}
				}
				return
			}
			w.read(!sent, b, func(p *nvme.PDU) {
				if p.Type == nvme.TypeCapsuleCmd {
					if c := w.command(p); c != nil {
						gateway, known := gateways[w.host]
						if !known {
							gateway = -1
						}
						r := &sendRecord{gateway: gateway, server: server(), at: l.now(), op: l.ops[opKey{c.NSID(), c.SLBA(), c.Opcode()}]}
						if r.op != nil {
							r.op.sends = append(r.op.sends, r)
						}
						l.sends = append(l.sends, r)
						w.open[c.CID()] = r
					}
				} else if cid, status, ok := result(p); ok {
					if r, ok := w.open[cid].(*sendRecord); ok {
						r.answer = answerRecord{l.now(), status}
						delete(w.open, cid)
					}
				}
			})
		}
	}
}
