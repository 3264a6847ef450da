package peerlimit

import (
	"math/rand"
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

// TestNoLimits has no limit at all.
func TestNoLimits(t *testing.T) {
	g := New(Settings{})
	for range 1000 {
		if g.Open(0, "p") != Admit || g.Violation(0, "p") != 0 || !g.ReserveBytes(0, "p", 1<<30) || !g.BeginCommand(0, "p") || g.PDUOverdue(time.Hour, 0) {
			t.Fatal("there is a limit")
		}
	}
}

// model counts by lists what the guard counts by numbers.
type model struct {
	open          map[string][]bool // by peer, whether each handshake is complete
	reserved      map[string][]int
	commands      map[string]int
	violations    map[string][]time.Duration
	bannedUntil   map[string]time.Duration
	banLength     map[string]time.Duration
	probation     map[string]bool
	lastViolation map[string]time.Duration
}

// TestGenerated compares long seeded histories of a few peers with the model: what one peer does must change nothing for
// another, and idle peers are dropped.
func TestGenerated(t *testing.T) {
	for seed := range int64(100) {
		rng := rand.New(rand.NewSource(seed))
		g, now := New(testSettings), time.Duration(0)
		m := model{map[string][]bool{}, map[string][]int{}, map[string]int{}, map[string][]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}}
		for range 2000 {
			now += time.Duration(rng.Intn(3000)) * time.Millisecond / 4
			id := string(rune('a' + rng.Intn(4)))
			if until := m.bannedUntil[id]; until > 0 && now >= until {
				m.bannedUntil[id], m.probation[id], m.lastViolation[id] = 0, true, until
			}
			if m.bannedUntil[id] == 0 && now >= m.lastViolation[id]+testSettings.ViolationWindow {
				m.probation[id], m.banLength[id], m.violations[id] = false, 0, nil
			}
			switch rng.Intn(7) {
			case 0, 1:
				handshakes := 0
				for _, complete := range m.open[id] {
					if !complete {
						handshakes++
					}
				}
				want := Admit
				switch {
				case m.bannedUntil[id] > 0:
					want = Banned
				case len(m.open[id]) >= testSettings.MaxConnections || m.probation[id] && len(m.open[id]) >= 2:
					want = TooManyConnections
				case handshakes >= testSettings.MaxHandshakes:
					want = TooManyHandshakes
				}
				if v := g.Open(now, id); v != want {
					t.Fatalf("seed %d at %v: %s opens: %v, want %v", seed, now, id, v, want)
				} else if v == Admit {
					m.open[id] = append(m.open[id], false)
				}
			case 2:
				for i, complete := range m.open[id] {
					if !complete {
						g.HandshakeComplete(now, id)
						m.open[id][i] = true
						break
					}
				}
			case 3:
				if n := len(m.open[id]); n > 0 {
					g.Close(now, id, m.open[id][n-1])
					m.open[id] = m.open[id][:n-1]
				}
			case 4:
				if rng.Intn(3) > 0 {
					continue
				}
				var want time.Duration
				if m.bannedUntil[id] == 0 {
					m.lastViolation[id] = now
					recent := []time.Duration{now}
					for _, at := range m.violations[id] {
						if at > now-testSettings.ViolationWindow {
							recent = append(recent, at)
						}
					}
					m.violations[id] = recent
					if m.probation[id] || len(recent) >= testSettings.BanThreshold {
						m.banLength[id] = min(max(2*m.banLength[id], testSettings.InitialBan), testSettings.MaxBan)
						want, m.bannedUntil[id], m.violations[id], m.probation[id] = m.banLength[id], now+m.banLength[id], nil, false
					}
				}
				if got := g.Violation(now, id); got != want {
					t.Fatalf("seed %d at %v: %s violates: %v, want %v", seed, now, id, got, want)
				}
			case 6:
				if rng.Intn(3) > 0 {
					want := m.commands[id] < testSettings.MaxCommands
					if got := g.BeginCommand(now, id); got != want {
						t.Fatalf("seed %d: %s with %d commands begins one: %v", seed, id, m.commands[id], got)
					}
					if want {
						m.commands[id]++
					}
				} else if m.commands[id] > 0 {
					g.EndCommand(now, id)
					m.commands[id]--
				}
			case 5:
				sum := 0
				for _, n := range m.reserved[id] {
					sum += n
				}
				if n := 1 + rng.Intn(1500); rng.Intn(2) == 0 {
					want := sum == 0 || sum+n <= testSettings.MaxBytes
					if got := g.ReserveBytes(now, id, n); got != want {
						t.Fatalf("seed %d: %s with %d bytes asked for %d: %v", seed, id, sum, n, got)
					}
					if want {
						m.reserved[id] = append(m.reserved[id], n)
					}
				} else if k := len(m.reserved[id]); k > 0 {
					g.ReleaseBytes(now, id, m.reserved[id][k-1])
					m.reserved[id] = m.reserved[id][:k-1]
				}
			}
		}
	}
	g := New(testSettings)
	for i := range 100_000 {
		id := string(rune(i))
		if g.Open(time.Duration(i)*time.Millisecond, id) == Admit {
			g.Close(time.Duration(i)*time.Millisecond, id, false)
		}
	}
	if n := len(g.peers); n > 11_000 {
		t.Errorf("%d peers have a record, none is connected", n)
	}
}
