// Package peerlimit decides what one peer may cost a gateway before an op is taken: connections, handshakes under way,
// bytes of data under way, time to complete a PDU, and breaches of the protocol before it is shut out. Events in,
// verdicts out: it does no I/O, reads no clock and starts no goroutine. docs/peers.md has its tables.
package peerlimit

import "time"

// Settings are the figures that it goes by; all are settings. 0 leaves a bound out.
type Settings struct {
	MaxConnections  int           // of one peer
	MaxHandshakes   int           // of one peer that are not complete
	MaxCommands     int           // Reads and Writes of one peer that are not answered
	MaxBytes        int           // of write data that one peer has been asked for and not yet sent
	PDUTimeout      time.Duration // from the first byte of a PDU to its last
	BanThreshold    int           // within Window that shut a peer out
	ViolationWindow time.Duration // without a breach that clears a peer
	InitialBan      time.Duration // how long it is shut out first; twice as long each time after
	MaxBan          time.Duration // and at most
}

// Verdict is what becomes of a connection that a peer opens.
type Verdict int

const (
	Admit Verdict = iota
	Banned
	TooManyConnections // connections
	TooManyHandshakes  // handshakes under way
)

func (v Verdict) String() string {
	return [...]string{"admitted", "shut out", "too many connections", "too many handshakes under way"}[v]
}

type standing int

const (
	trusted   standing = iota
	observed           // it has breached the protocol, not often enough
	banned             // nothing is taken from it
	probation          // its time is over: one association at a time, and no breach is let pass
)

func (s standing) String() string {
	return [...]string{"welcome", "watched", "shut out", "on trial"}[s]
}

type input int

const (
	protocolViolation  input = iota // one more
	repeatedViolations              // one more, and that is Breaches within Window
	quietPeriod                     // Window has passed without one
	banExpired                      // the time of being shut out is over
)

// standings is read by judge; a pair that is missing changes nothing. It guards against peers that cost work and
// connections by breaking the protocol again and again, whatever they break; it could harm where several hosts
// stand behind one address and one of them is ill.
var standings = map[standing]map[input]struct {
	next   standing
	effect func(*Guard, *peer)
}{
	trusted:   {protocolViolation: {observed, nil}, repeatedViolations: {banned, (*Guard).extendBan}},
	observed:  {protocolViolation: {observed, nil}, repeatedViolations: {banned, (*Guard).extendBan}, quietPeriod: {trusted, (*Guard).clear}},
	banned:    {banExpired: {probation, nil}},
	probation: {protocolViolation: {banned, (*Guard).extendBan}, repeatedViolations: {banned, (*Guard).extendBan}, quietPeriod: {trusted, (*Guard).clear}},
}

// association is how many connections a host needs at least: an admin and an I/O queue.
const association = 2

// peer is the one record of a peer.
type peer struct {
	standing    standing
	connections int
	halves      int // of them, handshakes that are not complete
	bytes       int
	commands    int
	breaches    []time.Duration // within Window
	last        time.Duration   // the last breach
	until       time.Duration   // shut out until
	span        time.Duration   // how long that was
}

// Guard holds what is known of the peers. The zero value is of no use: call New.
type Guard struct {
	settings  Settings
	now       time.Duration
	peers     map[string]*peer
	evictedAt time.Duration
}

// New makes a guard that knows nobody.
func New(t Settings) *Guard { return &Guard{settings: t, peers: map[string]*peer{}} }

// get brings a peer's standing up to now.
func (g *Guard) get(now time.Duration, id string) *peer {
	g.now = now
	p := g.peers[id]
	if p == nil {
		p = &peer{}
		g.peers[id] = p
	}
	if p.standing == banned && now >= p.until {
		g.applyInput(p, banExpired)
		p.last = p.until // it has been quiet since it was shut out, which proves nothing
	}
	if p.standing != banned && now >= p.last+g.settings.ViolationWindow {
		g.applyInput(p, quietPeriod)
	}
	return p
}

func (g *Guard) applyInput(p *peer, in input) {
	rule, ok := standings[p.standing][in]
	if !ok {
		return
	}
	p.standing = rule.next
	if rule.effect != nil {
		rule.effect(g, p)
	}
}

// extendBan shuts a peer out, longer each time.
func (g *Guard) extendBan(p *peer) {
	p.span = min(max(2*p.span, g.settings.InitialBan), max(g.settings.MaxBan, g.settings.InitialBan))
	p.until, p.breaches = g.now+p.span, nil
}

func (g *Guard) clear(p *peer) { p.breaches, p.span = nil, 0 }

func over(n, most int) bool { return most > 0 && n >= most }

// Open tells what becomes of a connection that a peer opens; one that is admitted counts until Close.
func (g *Guard) Open(now time.Duration, id string) Verdict {
	g.forget(now)
	p := g.get(now, id)
	switch {
	case p.standing == banned:
		return Banned
	case over(p.connections, g.settings.MaxConnections) || p.standing == probation && p.connections >= association:
		return TooManyConnections
	case over(p.halves, g.settings.MaxHandshakes):
		return TooManyHandshakes
	}
	p.connections++
	p.halves++
	return Admit
}

// Joined tells that a connection's handshake is complete.
func (g *Guard) HandshakeComplete(now time.Duration, id string) { g.get(now, id).halves-- }

// Close tells that an admitted connection is gone, and whether its handshake was complete.
func (g *Guard) Close(now time.Duration, id string, joined bool) {
	p := g.get(now, id)
	p.connections--
	if !joined {
		p.halves--
	}
}

// Breach tells that a peer broke the protocol or let a time run out. It returns for how long the peer is shut out
// by that; 0: it is not.
func (g *Guard) Violation(now time.Duration, id string) time.Duration {
	p := g.get(now, id)
	if p.standing == banned {
		return 0
	}
	p.last = now
	for len(p.breaches) > 0 && p.breaches[0] <= now-g.settings.ViolationWindow {
		p.breaches = p.breaches[1:]
	}
	p.breaches = append(p.breaches, now)
	if g.settings.BanThreshold > 0 && len(p.breaches) >= g.settings.BanThreshold {
		g.applyInput(p, repeatedViolations)
	} else if g.settings.BanThreshold > 0 {
		g.applyInput(p, protocolViolation)
	}
	if p.standing == banned {
		return p.span
	}
	return 0
}

// Ask tells whether a peer may be asked for more bytes of data; if so they count until Got. One that has none under
// way may always be asked, so nobody waits for ever.
func (g *Guard) ReserveBytes(now time.Duration, id string, n int) bool {
	p := g.get(now, id)
	if g.settings.MaxBytes > 0 && p.bytes > 0 && p.bytes+n > g.settings.MaxBytes {
		return false
	}
	p.bytes += n
	return true
}

// Got tells that bytes asked for have come, or will not.
func (g *Guard) ReleaseBytes(now time.Duration, id string, n int) { g.get(now, id).bytes -= n }

// Begin tells whether a peer's command may begin; if so it counts until Done. Past the bound it is to be answered at
// once: held, it would cost what the bound is there to save.
func (g *Guard) BeginCommand(now time.Duration, id string) bool {
	p := g.get(now, id)
	if over(p.commands, g.settings.MaxCommands) {
		return false
	}
	p.commands++
	return true
}

// Done tells that a command that began is over.
func (g *Guard) EndCommand(now time.Duration, id string) { g.get(now, id).commands-- }

// Late tells whether a PDU that began at a time should be complete.
func (g *Guard) PDUOverdue(now, began time.Duration) bool {
	return g.settings.PDUTimeout > 0 && now-began >= g.settings.PDUTimeout
}

// forget drops, once a Window, peers that have nothing open and nothing held against them: what is remembered is
// bound by the connections that stand and the breaches of late.
func (g *Guard) forget(now time.Duration) {
	if now < g.evictedAt {
		return
	}
	g.evictedAt = now + max(g.settings.ViolationWindow, g.settings.InitialBan)
	for id := range g.peers {
		if p := g.get(now, id); p.standing == trusted && p.connections == 0 && p.bytes == 0 && p.commands == 0 {
			delete(g.peers, id)
		}
	}
}

// Known is how many peers are remembered; Standing tells of one, and until when it is shut out.
func (g *Guard) Known() int { return len(g.peers) }

func (g *Guard) Standing(now time.Duration, id string) (text string, until time.Duration) {
	p := g.get(now, id)
	if p.standing == banned {
		until = p.until
	}
	return p.standing.String(), until
}
