package peerlimit

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const second = time.Second

var testSettings = Settings{MaxConnections: 4, MaxHandshakes: 2, MaxCommands: 5, MaxBytes: 1000, PDUTimeout: second, BanThreshold: 3, ViolationWindow: 10 * second, InitialBan: 5 * second, MaxBan: 60 * second}

// TestBan follows one peer through every standing.
func TestBan(t *testing.T) {
	g := New(testSettings)
	at := time.Duration(0)
	expect := func(want standing) {
		t.Helper()
		if got := g.peer(at, "p").standing; got != want {
			t.Fatalf("%v: standing %d, want %d", at, got, want)
		}
	}
	violate := func(want time.Duration) {
		t.Helper()
		if got := g.Violation(at, "p"); got != want {
			t.Fatalf("%v: banned for %v, want %v", at, got, want)
		}
	}
	expect(trusted)
	violate(0)
	expect(observed)
	violate(0)
	violate(5 * second)
	expect(banned)
	if v := g.Open(at, "p"); v != Banned {
		t.Errorf("a banned peer: %v", v)
	}
	if v := g.Open(at, "q"); v != Admit {
		t.Errorf("another peer: %v", v)
	}
	at += 5 * second
	expect(probation)
	for i, want := range []Verdict{Admit, Admit, TooManyConnections} {
		if v := g.Open(at, "p"); v != want {
			t.Errorf("connection %d on probation: %v, want %v", i, v, want)
		}
		if i < 2 {
			g.HandshakeComplete(at, "p")
		}
	}
	violate(10 * second)
	at += 10 * second
	violate(20 * second)
	at += 20 * second
	violate(40 * second)
	at += 40 * second
	violate(60 * second) // MaxBan
	at += 60 * second
	expect(probation)
	at += 10 * second
	expect(trusted)
	violate(0)
	violate(0)
	at += 10 * second
	expect(trusted)
	violate(0)
	violate(0)
	violate(5 * second) // the bans before are dropped
}

// TestViolationWindow has a peer's third violation at the end of the window of the first, and just before.
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

// TestNoLimits has no limit at all.
func TestNoLimits(t *testing.T) {
	g := New(Settings{})
	for range 1000 {
		if g.Open(0, "p") != Admit || g.Violation(0, "p") != 0 || !g.ReserveBytes(0, "p", 1<<30) || !g.BeginCommand(0, "p") || g.PDUOverdue(time.Hour, 0) {
			t.Fatal("there is a limit")
		}
	}
}

// modelPeer counts by lists what the guard counts by numbers.
type modelPeer struct {
	open          []bool // the connections, each with whether its handshake is complete
	reserved      []int  // bytes
	commands      int
	violations    []time.Duration
	lastViolation time.Duration
	bannedUntil   time.Duration // 0: not banned
	banLength     time.Duration
	probation     bool
}

// passTime ends a ban or the memory of violations.
func (p *modelPeer) passTime(now time.Duration) {
	if until := p.bannedUntil; until > 0 && now >= until {
		p.bannedUntil, p.probation, p.lastViolation = 0, true, until
	}
	if p.bannedUntil == 0 && now >= p.lastViolation+testSettings.ViolationWindow {
		p.probation, p.banLength, p.violations = false, 0, nil
	}
}

// verdict is what becomes of one more connection.
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

// history is a guard and the model of its peers, with the same events.
type history struct {
	rng   *rand.Rand
	guard *Guard
	now   time.Duration
	peers map[string]*modelPeer
}

// step has one event of a peer happen, and fails where guard and model differ.
func (h *history) step(t *testing.T) {
	t.Helper()
	h.now += time.Duration(h.rng.Intn(3000)) * time.Millisecond / 4
	id := string(rune('a' + h.rng.Intn(4)))
	if h.peers[id] == nil {
		h.peers[id] = &modelPeer{}
	}
	p := h.peers[id]
	p.passTime(h.now)
	switch h.rng.Intn(7) {
	case 0, 1:
		want := p.verdict()
		if v := h.guard.Open(h.now, id); v != want {
			t.Fatalf("at %v: %s opens: %v, want %v", h.now, id, v, want)
		} else if v == Admit {
			p.open = append(p.open, false)
		}
	case 2:
		if i := slices.Index(p.open, false); i >= 0 {
			h.guard.HandshakeComplete(h.now, id)
			p.open[i] = true
		}
	case 3:
		if n := len(p.open); n > 0 {
			if handshakeComplete := p.open[n-1]; handshakeComplete {
				h.guard.Close(h.now, id)
			} else {
				h.guard.CloseDuringHandshake(h.now, id)
			}
			p.open = p.open[:n-1]
		}
	case 4:
		if h.rng.Intn(3) > 0 {
			return
		}
		want := p.violate(h.now)
		if got := h.guard.Violation(h.now, id); got != want {
			t.Fatalf("at %v: %s violates: %v, want %v", h.now, id, got, want)
		}
	case 5:
		h.stepBytes(t, id, p)
	case 6:
		h.stepCommand(t, id, p)
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
			t.Fatalf("at %v: %s with %d bytes asked for %d: %v", h.now, id, sum, n, got)
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
			t.Fatalf("at %v: %s with %d commands begins one: %v", h.now, id, p.commands, got)
		}
		if want {
			p.commands++
		}
	} else if p.commands > 0 {
		h.guard.EndCommand(h.now, id)
		p.commands--
	}
}

// TestGenerated compares long seeded histories of a few peers with the model: what one peer does must change nothing
// for another.
func TestGenerated(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := history{rng: rand.New(rand.NewSource(seed)), guard: New(testSettings), peers: map[string]*modelPeer{}}
			for range 2000 {
				h.step(t)
			}
		})
	}
}

// TestEviction has peers come and go: idle ones are dropped.
func TestEviction(t *testing.T) {
	g := New(testSettings)
	for i := range 100_000 {
		id := string(rune(i))
		if g.Open(time.Duration(i)*time.Millisecond, id) == Admit {
			g.CloseDuringHandshake(time.Duration(i)*time.Millisecond, id)
		}
	}
	if n := len(g.peers); n > 11_000 {
		t.Errorf("%d peers have a record, none is connected", n)
	}
}
