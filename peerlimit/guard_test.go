package peerlimit

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const second = time.Second

var testSettings = Settings{
	MaxConnections:  4,
	MaxHandshakes:   2,
	MaxCommands:     5,
	MaxBytes:        1000,
	PDUTimeout:      second,
	BanThreshold:    3,
	ViolationWindow: 10 * second,
	InitialBan:      5 * second,
	MaxBan:          60 * second,
}

// banTest is a Guard with one peer, "p", whose standing a test checks.
type banTest struct {
	*testing.T
	guard *Guard
	now   time.Duration
}

func newBanTest(t *testing.T) *banTest {
	t.Helper()
	return &banTest{T: t, guard: New(testSettings)}
}

func (b *banTest) expectStanding(want standing) {
	b.Helper()
	if got := b.guard.peer(b.now, "p").standing; got != want {
		b.Fatalf("%v: standing %d, want %d", b.now, got, want)
	}
}

// violate records a violation and checks the length of the ban that it causes; 0: no ban.
func (b *banTest) violate(wantBan time.Duration) {
	b.Helper()
	if got := b.guard.Violation(b.now, "p"); got != wantBan {
		b.Fatalf("%v: banned for %v, want %v", b.now, got, wantBan)
	}
}

// ban records violations up to the threshold.
func (b *banTest) ban() {
	b.Helper()
	b.violate(0)
	b.expectStanding(observed)
	b.violate(0)
	b.violate(5 * second)
	b.expectStanding(banned)
}

// endBan advances the time by the length of a ban.
func (b *banTest) endBan(length time.Duration) {
	b.Helper()
	b.now += length
	b.expectStanding(probation)
}

// TestBan checks that a peer that reaches the threshold of violations may not open a connection, and that other peers
// may.
func TestBan(t *testing.T) {
	b := newBanTest(t)
	b.expectStanding(trusted)
	b.ban()
	if v := b.guard.Open(b.now, "p"); v != Banned {
		t.Errorf("Open for a banned peer: %v, want banned", v)
	}
	if v := b.guard.Open(b.now, "q"); v != Admit {
		t.Errorf("Open for another peer: %v, want admitted", v)
	}
}

// TestProbation checks that a peer may open two connections after a ban, and that one violation then bans it again.
func TestProbation(t *testing.T) {
	b := newBanTest(t)
	b.ban()
	b.endBan(5 * second)
	for i, want := range []Verdict{Admit, Admit, TooManyConnections} {
		v := b.guard.Open(b.now, "p")
		if v != want {
			t.Errorf("connection %d on probation: %v, want %v", i, v, want)
		}
		if want == Admit {
			b.guard.HandshakeComplete(b.now, "p")
		}
	}
	b.violate(10 * second)
}

// TestBanDoubles checks that each ban is twice as long as the previous one, up to MaxBan, until the peer is trusted
// again.
func TestBanDoubles(t *testing.T) {
	b := newBanTest(t)
	b.ban()
	last := 5 * second
	for _, length := range []time.Duration{10 * second, 20 * second, 40 * second, testSettings.MaxBan} {
		b.endBan(last)
		b.violate(length)
		last = length
	}
	b.endBan(last)
	for range 2 {
		b.now += testSettings.ViolationWindow
		b.expectStanding(trusted)
		b.violate(0)
		b.violate(0)
	}
	b.violate(5 * second) // the previous bans no longer count
}

// TestViolationWindow records a peer's third violation just before the end of the window of the first one, and at its
// end. Only the former must ban the peer.
func TestViolationWindow(t *testing.T) {
	for name, c := range map[string]struct{ third, ban time.Duration }{
		"within":     {10*second - 1, 5 * second},
		"at its end": {10 * second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(testSettings)
			g.Violation(0, "p")
			g.Violation(5*second, "p")
			if got := g.Violation(c.third, "p"); got != c.ban {
				t.Errorf("banned for %v, want %v", got, c.ban)
			}
		})
	}
}

// TestNoLimits checks that settings of 0 limit nothing.
func TestNoLimits(t *testing.T) {
	g := New(Settings{})
	for range 1000 {
		if g.Open(0, "p") != Admit || !g.BeginCommand(0, "p") || !g.ReserveBytes(0, "p", 1<<30) {
			t.Fatal("connections, commands or bytes are limited")
		}
		if g.Violation(0, "p") != 0 || g.PDUOverdue(time.Hour, 0) {
			t.Fatal("violations or the time of a PDU are limited")
		}
	}
}

// modelPeer is an independent model of a peer: it keeps lists where Guard keeps numbers.
type modelPeer struct {
	open          []bool // an element for each open connection: whether its handshake is complete
	reserved      []int  // bytes
	commands      int
	violations    []time.Duration
	lastViolation time.Duration
	bannedUntil   time.Duration // 0: not banned
	banLength     time.Duration
	probation     bool
}

// applyDueInputs ends a ban or a quiet period whose time has come.
func (p *modelPeer) applyDueInputs(now time.Duration) {
	if until := p.bannedUntil; until > 0 && now >= until {
		p.bannedUntil, p.probation, p.lastViolation = 0, true, until
	}
	if p.bannedUntil == 0 && now >= p.lastViolation+testSettings.ViolationWindow {
		p.probation, p.banLength, p.violations = false, 0, nil
	}
}

// verdict returns the decision on one more connection.
func (p *modelPeer) verdict() Verdict {
	handshakes := 0
	for _, complete := range p.open {
		if !complete {
			handshakes++
		}
	}
	switch {
	case p.bannedUntil > 0:
		return Banned
	case len(p.open) >= testSettings.MaxConnections || p.probation && len(p.open) >= 2:
		return TooManyConnections
	case handshakes >= testSettings.MaxHandshakes:
		return TooManyHandshakes
	}
	return Admit
}

// violate adds a violation and returns the length of the ban that it causes.
func (p *modelPeer) violate(now time.Duration) time.Duration {
	if p.bannedUntil > 0 {
		return 0
	}
	p.lastViolation = now
	recent := []time.Duration{now}
	for _, at := range p.violations {
		if at > now-testSettings.ViolationWindow {
			recent = append(recent, at)
		}
	}
	p.violations = recent
	if !p.probation && len(recent) < testSettings.BanThreshold {
		return 0
	}
	p.banLength = min(max(2*p.banLength, testSettings.InitialBan), testSettings.MaxBan)
	p.bannedUntil, p.violations, p.probation = now+p.banLength, nil, false
	return p.banLength
}

// history applies the same random events to a Guard and to the models of its peers.
type history struct {
	rng   *rand.Rand
	guard *Guard
	now   time.Duration
	peers map[string]*modelPeer
}

// step applies one random event of a random peer, and fails the test if Guard and model differ.
func (h *history) step(t *testing.T) {
	t.Helper()
	h.now += time.Duration(h.rng.Intn(3000)) * time.Millisecond / 4
	id := string(rune('a' + h.rng.Intn(4)))
	if h.peers[id] == nil {
		h.peers[id] = &modelPeer{}
	}
	p := h.peers[id]
	p.applyDueInputs(h.now)
	switch h.rng.Intn(7) {
	case 0, 1:
		h.stepOpen(t, id, p)
	case 2:
		if i := slices.Index(p.open, false); i >= 0 {
			h.guard.HandshakeComplete(h.now, id)
			p.open[i] = true
		}
	case 3:
		h.stepClose(id, p)
	case 4:
		h.stepViolation(t, id, p)
	case 5:
		h.stepBytes(t, id, p)
	case 6:
		h.stepCommand(t, id, p)
	}
}

func (h *history) stepOpen(t *testing.T, id string, p *modelPeer) {
	t.Helper()
	want := p.verdict()
	if v := h.guard.Open(h.now, id); v != want {
		t.Fatalf("at %v: %s opens: %v, want %v", h.now, id, v, want)
	}
	if want == Admit {
		p.open = append(p.open, false)
	}
}

// stepClose closes the newest connection.
func (h *history) stepClose(id string, p *modelPeer) {
	last := len(p.open) - 1
	if last < 0 {
		return
	}
	if handshakeComplete := p.open[last]; handshakeComplete {
		h.guard.Close(h.now, id)
	} else {
		h.guard.CloseDuringHandshake(h.now, id)
	}
	p.open = p.open[:last]
}

// stepViolation records a violation with a probability of one third.
func (h *history) stepViolation(t *testing.T, id string, p *modelPeer) {
	t.Helper()
	if h.rng.Intn(3) > 0 {
		return
	}
	want := p.violate(h.now)
	if got := h.guard.Violation(h.now, id); got != want {
		t.Fatalf("at %v: a violation bans %s for %v, want %v", h.now, id, got, want)
	}
}

func (h *history) stepBytes(t *testing.T, id string, p *modelPeer) {
	t.Helper()
	sum := 0
	for _, n := range p.reserved {
		sum += n
	}
	if n := 1 + h.rng.Intn(1500); h.rng.Intn(2) == 0 {
		want := sum == 0 || sum+n <= testSettings.MaxBytes
		if got := h.guard.ReserveBytes(h.now, id, n); got != want {
			t.Fatalf("at %v: %s has reserved %d bytes, ReserveBytes of %d more: %v", h.now, id, sum, n, got)
		}
		if want {
			p.reserved = append(p.reserved, n)
		}
	} else if k := len(p.reserved); k > 0 {
		h.guard.ReleaseBytes(h.now, id, p.reserved[k-1])
		p.reserved = p.reserved[:k-1]
	}
}

func (h *history) stepCommand(t *testing.T, id string, p *modelPeer) {
	t.Helper()
	if h.rng.Intn(3) > 0 {
		want := p.commands < testSettings.MaxCommands
		if got := h.guard.BeginCommand(h.now, id); got != want {
			t.Fatalf("at %v: %s has %d commands, BeginCommand returned %v", h.now, id, p.commands, got)
		}
		if want {
			p.commands++
		}
	} else if p.commands > 0 {
		h.guard.EndCommand(h.now, id)
		p.commands--
	}
}

// TestModelRandom compares Guard with the model in long random histories of four peers, from fixed seeds. Events of one
// peer must not change the decisions for another.
func TestModelRandom(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := history{rng: rand.New(rand.NewSource(seed)), guard: New(testSettings), peers: map[string]*modelPeer{}}
			for range 2000 {
				h.step(t)
			}
		})
	}
}

// TestIdlePeersEvicted guards against records that accumulate: 100,000 peers connect and disconnect, and the records of
// idle peers must be removed.
func TestIdlePeersEvicted(t *testing.T) {
	g := New(testSettings)
	for i := range 100_000 {
		id := string(rune(i))
		if g.Open(time.Duration(i)*time.Millisecond, id) == Admit {
			g.CloseDuringHandshake(time.Duration(i)*time.Millisecond, id)
		}
	}
	if n := len(g.peers); n > 11_000 {
		t.Errorf("%d peers have a record, want at most 11,000: no peer is connected", n)
	}
}
