// Package peerlimit limits the resources of a gateway that one peer may use before an op is admitted: connections,
// incomplete handshakes, commands, bytes of write data and the time for a PDU. It also bans a peer after too many
// protocol violations. It receives events with their times and returns decisions. It does no I/O, reads no clock and
// starts no goroutine. docs/peers.md has its tables.
//
// The server that accepts the connections has a Guard and calls it on the goroutine of its event loop; a Guard is not
// safe for concurrent use.
package peerlimit

import "time"

// Settings has the limits for one peer, as the settings file has them; 0 means no limit.
type Settings struct {
	MaxConnections int
	// MaxHandshakes limits the connections whose handshake is not complete.
	MaxHandshakes int
	// MaxCommands limits the unanswered Reads and Writes over all connections of the peer.
	MaxCommands int
	// MaxBytes limits the write data that the gateway has requested and the peer has not sent.
	MaxBytes int
	// PDUTimeout limits the time from the first byte of a PDU to its last.
	PDUTimeout time.Duration
	// BanThreshold is the number of violations within ViolationWindow that bans a peer; 0: no peer is banned.
	BanThreshold int
	// ViolationWindow is the time within which violations are counted. After a ViolationWindow without a violation, a
	// peer is trusted again.
	ViolationWindow time.Duration
	// InitialBan is the length of the first ban. Each further ban is twice as long as the previous one.
	InitialBan time.Duration
	// MaxBan is the maximum length of a ban. A value below InitialBan counts as InitialBan.
	MaxBan time.Duration
}

// Verdict is the decision on a connection that a peer opens.
type Verdict int

const (
	// Admit accepts the connection.
	Admit Verdict = iota
	// Banned rejects it, since the peer is banned.
	Banned
	// TooManyConnections rejects it, since the peer has reached its limit of connections.
	TooManyConnections
	// TooManyHandshakes rejects it, since the peer has reached its limit of incomplete handshakes.
	TooManyHandshakes
)

// String returns the text of the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"admitted", "banned", "too many connections", "too many incomplete handshakes"}[v]
}

// peer is the usage and the standing of one peer.
type peer struct {
	standing      standing
	connections   int
	handshakes    int // connections whose handshake is not complete
	bytes         int // of write data that was requested and that the peer has not sent
	commands      int
	violations    []time.Duration // times of the violations within Settings.ViolationWindow
	lastViolation time.Duration
	bannedUntil   time.Duration
	banLength     time.Duration // of the last ban; 0: no ban since the peer was last trusted
}

// idle reports whether a peer is trusted and has no open connection, no reserved bytes and no unanswered command.
func (p *peer) idle() bool {
	return p.standing == trusted && p.connections == 0 && p.bytes == 0 && p.commands == 0
}

// Guard tracks the usage and standing of all peers by their ID, and decides what each may use. The zero value is not
// usable: call New. All times are durations since a fixed moment of the caller's monotonic clock. They must not
// decrease from call to call.
type Guard struct {
	settings Settings
	now      time.Duration
	peers    map[string]*peer
	evictAt  time.Duration // the time at which idle peers are next removed
}

// New makes a Guard without peers.
func New(settings Settings) *Guard { return &Guard{settings: settings, peers: map[string]*peer{}} }

// Open decides whether a peer may open a connection. An admitted connection counts until Close or CloseDuringHandshake.
func (g *Guard) Open(now time.Duration, id string) Verdict {
	g.evictIdle(now)
	p := g.peer(now, id)
	switch {
	case p.standing == banned:
		return Banned
	case reached(p.connections, g.settings.MaxConnections):
		return TooManyConnections
	case p.standing == probation && p.connections >= probationConnections:
		return TooManyConnections
	case reached(p.handshakes, g.settings.MaxHandshakes):
		return TooManyHandshakes
	}
	p.connections++
	p.handshakes++
	return Admit
}

// HandshakeComplete records that the handshake of an admitted connection is complete.
func (g *Guard) HandshakeComplete(now time.Duration, id string) { g.peer(now, id).handshakes-- }

// Close records the end of an admitted connection whose handshake was complete.
func (g *Guard) Close(now time.Duration, id string) { g.peer(now, id).connections-- }

// CloseDuringHandshake records the end of an admitted connection whose handshake was not complete.
func (g *Guard) CloseDuringHandshake(now time.Duration, id string) {
	p := g.peer(now, id)
	p.connections--
	p.handshakes--
}

// Violation records that a peer violated the protocol or a timeout. It returns the length of the ban that this
// violation causes; 0: it causes none.
func (g *Guard) Violation(now time.Duration, id string) time.Duration {
	p := g.peer(now, id)
	if p.standing == banned {
		return 0
	}
	p.lastViolation = now
	for len(p.violations) > 0 && p.violations[0] <= now-g.settings.ViolationWindow {
		p.violations = p.violations[1:]
	}
	p.violations = append(p.violations, now)
	switch {
	case g.settings.BanThreshold <= 0:
	case len(p.violations) >= g.settings.BanThreshold:
		g.apply(p, inputThresholdReached)
	default:
		g.apply(p, inputViolation)
	}
	if p.standing == banned {
		return p.banLength
	}
	return 0
}

// ReserveBytes reports whether n more bytes of write data may be requested from a peer. If so, they count until
// ReleaseBytes. A peer without reserved bytes is always allowed to send, so that no command waits forever.
func (g *Guard) ReserveBytes(now time.Duration, id string, n int) bool {
	p := g.peer(now, id)
	if g.settings.MaxBytes > 0 && p.bytes > 0 && p.bytes+n > g.settings.MaxBytes {
		return false
	}
	p.bytes += n
	return true
}

// ReleaseBytes records that n reserved bytes have arrived or will no longer arrive.
func (g *Guard) ReleaseBytes(now time.Duration, id string, n int) { g.peer(now, id).bytes -= n }

// BeginCommand reports whether a command of a peer may begin. If so, it counts until EndCommand. If not, the caller
// should answer it immediately: a queue would use the memory that the limit protects.
func (g *Guard) BeginCommand(now time.Duration, id string) bool {
	p := g.peer(now, id)
	if reached(p.commands, g.settings.MaxCommands) {
		return false
	}
	p.commands++
	return true
}

// EndCommand records the end of a command for which BeginCommand returned true.
func (g *Guard) EndCommand(now time.Duration, id string) { g.peer(now, id).commands-- }

// PDUOverdue reports whether the timeout of a PDU whose first byte arrived at the time began has expired.
func (g *Guard) PDUOverdue(now, began time.Duration) bool {
	return g.settings.PDUTimeout > 0 && now-began >= g.settings.PDUTimeout
}

// peer returns the record of a peer, with its standing as of now, and makes it if there is none.
func (g *Guard) peer(now time.Duration, id string) *peer {
	g.now = now
	p := g.peers[id]
	if p == nil {
		p = &peer{}
		g.peers[id] = p
	}
	g.applyDueInputs(p)
	return p
}

// evictIdle removes idle peers periodically. This limits the number of records to the peers that have open connections,
// unfinished commands or recent violations.
func (g *Guard) evictIdle(now time.Duration) {
	if now < g.evictAt {
		return
	}
	g.evictAt = now + max(g.settings.ViolationWindow, g.settings.InitialBan)
	for id := range g.peers {
		if g.peer(now, id).idle() {
			delete(g.peers, id)
		}
	}
}

// reached reports whether a count has reached its limit; limit 0 means that there is none.
func reached(n, limit int) bool { return limit > 0 && n >= limit }
