// Package peerlimit decides what one peer may use of a gateway before an op is admitted: connections, incomplete
// handshakes, commands, bytes of write data, the time for a PDU, and the protocol violations after which it is
// banned. Events go in, verdicts come out: the package does no I/O, reads no clock and starts no goroutine.
// docs/peers.md has its tables.
//
// The server that accepts the connections has a Guard and calls it on the goroutine of its event loop; a Guard is not
// safe for concurrent use.
package peerlimit

import "time"

// Settings are the limits for one peer. All come from the settings file; 0 means no limit.
type Settings struct {
	MaxConnections int
	// MaxHandshakes bounds the connections whose handshake is not complete.
	MaxHandshakes int
	// MaxCommands bounds the Reads and Writes that are not answered, over all connections.
	MaxCommands int
	// MaxBytes bounds the write data that the peer was asked for and has not sent.
	MaxBytes int
	// PDUTimeout is the time from the first byte of a PDU to its last.
	PDUTimeout time.Duration
	// BanThreshold is the number of violations within ViolationWindow that bans a peer; 0: none is banned.
	BanThreshold int
	// ViolationWindow is also the time without a violation after which a peer is trusted again.
	ViolationWindow time.Duration
	// InitialBan is the length of the first ban; each one after is twice as long.
	InitialBan time.Duration
	// MaxBan is the length of the longest ban; InitialBan where that is longer.
	MaxBan time.Duration
}

// Verdict is what becomes of a connection that a peer opens.
type Verdict int

const (
	// Admit takes the connection.
	Admit Verdict = iota
	// Banned refuses it, since the peer is banned.
	Banned
	// TooManyConnections refuses it, since the peer has as many as it may.
	TooManyConnections
	// TooManyHandshakes refuses it, since as many handshakes of the peer as may be are not complete.
	TooManyHandshakes
)

// String is the verdict as the log shows it.
func (v Verdict) String() string {
	return [...]string{"admitted", "banned", "too many connections", "too many incomplete handshakes"}[v]
}

// peer is the one record of a peer.
type peer struct {
	standing      standing
	connections   int
	handshakes    int // connections whose handshake is not complete
	bytes         int // of write data that it was asked for and has not sent
	commands      int
	violations    []time.Duration // within Settings.ViolationWindow
	lastViolation time.Duration
	bannedUntil   time.Duration
	banLength     time.Duration // of the last ban; 0: none since the peer was trusted
}

// idle reports whether nothing of a peer is open and nothing is held against it.
func (p *peer) idle() bool {
	return p.standing == trusted && p.connections == 0 && p.bytes == 0 && p.commands == 0
}

// Guard has the usage and standing of all peers, by their id. The zero value is not usable: call New. All times are
// spans since a fixed moment of the caller's monotonic clock and don't decrease from call to call.
type Guard struct {
	settings Settings
	now      time.Duration
	peers    map[string]*peer
	evictAt  time.Duration // when idle peers are dropped next
}

// New makes a guard without any peer.
func New(settings Settings) *Guard { return &Guard{settings: settings, peers: map[string]*peer{}} }

// Open decides on a connection that a peer opens. One that is admitted counts until Close or
// CloseDuringHandshake.
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

// HandshakeComplete notes that the handshake of an admitted connection is complete.
func (g *Guard) HandshakeComplete(now time.Duration, id string) { g.peer(now, id).handshakes-- }

// Close notes that an admitted connection whose handshake was complete has ended.
func (g *Guard) Close(now time.Duration, id string) { g.peer(now, id).connections-- }

// CloseDuringHandshake notes that an admitted connection has ended before its handshake was complete.
func (g *Guard) CloseDuringHandshake(now time.Duration, id string) {
	p := g.peer(now, id)
	p.connections--
	p.handshakes--
}

// Violation notes that a peer violated the protocol or a timeout. It returns how long the peer is banned for it; 0:
// it is not banned by this violation.
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

// ReserveBytes reports whether a peer may be asked for n more bytes of write data; if so they count until
// ReleaseBytes. A peer without any may always be asked, so that none waits forever.
func (g *Guard) ReserveBytes(now time.Duration, id string, n int) bool {
	p := g.peer(now, id)
	if g.settings.MaxBytes > 0 && p.bytes > 0 && p.bytes+n > g.settings.MaxBytes {
		return false
	}
	p.bytes += n
	return true
}

// ReleaseBytes notes that n reserved bytes have come, or will not come any more.
func (g *Guard) ReleaseBytes(now time.Duration, id string, n int) { g.peer(now, id).bytes -= n }

// BeginCommand reports whether a command of a peer may begin; if so it counts until EndCommand. One that may not is
// to be answered at once: to queue it would use the memory that the limit is to save.
func (g *Guard) BeginCommand(now time.Duration, id string) bool {
	p := g.peer(now, id)
	if reached(p.commands, g.settings.MaxCommands) {
		return false
	}
	p.commands++
	return true
}

// EndCommand notes that a command that began has ended.
func (g *Guard) EndCommand(now time.Duration, id string) { g.peer(now, id).commands-- }

// PDUOverdue reports whether a PDU whose first byte came at a time should be complete.
func (g *Guard) PDUOverdue(now, began time.Duration) bool {
	return g.settings.PDUTimeout > 0 && now-began >= g.settings.PDUTimeout
}

// peer is the record of a peer, with its standing as of now.
func (g *Guard) peer(now time.Duration, id string) *peer {
	g.now = now
	p := g.peers[id]
	if p == nil {
		p = &peer{}
		g.peers[id] = p
	}
	g.passTime(p)
	return p
}

// evictIdle drops idle peers from time to time. It bounds the records by the connections that are open and the recent
// violations.
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

// reached reports whether a count is at its limit; 0: there is none.
func reached(n, limit int) bool { return limit > 0 && n >= limit }
