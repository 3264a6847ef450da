package peerlimit

import (
	"math/rand"
	"testing"
	"time"
)

const s = time.Second

var terms = Settings{MaxConnections: 4, MaxHandshakes: 2, MaxCommands: 5, MaxBytes: 1000, PDUTimeout: s, BanThreshold: 3, ViolationWindow: 10 * s, InitialBan: 5 * s, MaxBan: 60 * s}

// TestShutOut follows one peer through every standing.
func TestShutOut(t *testing.T) {
	g := New(terms)
	at := time.Duration(0)
	is := func(want string) {
		t.Helper()
		if got, _ := g.Standing(at, "p"); got != want {
			t.Fatalf("%v: %s, want %s", at, got, want)
		}
	}
	breach := func(want time.Duration) {
		t.Helper()
		if got := g.Violation(at, "p"); got != want {
			t.Fatalf("%v: shut out for %v, want %v", at, got, want)
		}
	}
	is("welcome")
	breach(0)
	is("watched")
	breach(0)
	breach(5 * s)
	is("shut out")
	if v := g.Open(at, "p"); v != Banned {
		t.Errorf("a peer that is shut out: %v", v)
	}
	if v := g.Open(at, "q"); v != Admit {
		t.Errorf("another peer: %v", v)
	}
	at += 5 * s
	is("on trial")
	for i, want := range []Verdict{Admit, Admit, TooManyConnections} {
		if v := g.Open(at, "p"); v != want {
			t.Errorf("connection %d on trial: %v, want %v", i, v, want)
		}
		if i < 2 {
			g.HandshakeComplete(at, "p")
		}
	}
	breach(10 * s)
	at += 10 * s
	breach(20 * s)
	at += 20 * s
	breach(40 * s)
	at += 40 * s
	breach(60 * s) // the most
	at += 60 * s
	is("on trial")
	at += 10 * s
	is("welcome")
	breach(0)
	breach(0)
	at += 10 * s
	is("welcome")
	breach(0)
	breach(0)
	breach(5 * s) // what was is forgotten
}

// TestNoBounds leaves every bound out.
func TestNoBounds(t *testing.T) {
	g := New(Settings{})
	for range 1000 {
		if g.Open(0, "p") != Admit || g.Violation(0, "p") != 0 || !g.ReserveBytes(0, "p", 1<<30) || !g.BeginCommand(0, "p") || g.PDUOverdue(time.Hour, 0) {
			t.Fatal("a bound that was left out holds")
		}
	}
}

// plain counts by lists what the guard counts by numbers.
type plain struct {
	open   map[string][]bool // joined
	asked  map[string][]int
	runs   map[string]int
	breach map[string][]time.Duration
	until  map[string]time.Duration
	span   map[string]time.Duration
	trial  map[string]bool
	last   map[string]time.Duration
}

// TestGenerated plays long seeded histories of a few peers against the plain model; what one peer does must change
// nothing for another, and nobody is remembered for ever.
func TestGenerated(t *testing.T) {
	for seed := range int64(100) {
		rng := rand.New(rand.NewSource(seed))
		g, now := New(terms), time.Duration(0)
		p := plain{map[string][]bool{}, map[string][]int{}, map[string]int{}, map[string][]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}}
		for range 2000 {
			now += time.Duration(rng.Intn(3000)) * time.Millisecond / 4
			id := string(rune('a' + rng.Intn(4)))
			if u := p.until[id]; u > 0 && now >= u {
				p.until[id], p.trial[id], p.last[id] = 0, true, u
			}
			if p.until[id] == 0 && now >= p.last[id]+terms.ViolationWindow {
				p.trial[id], p.span[id], p.breach[id] = false, 0, nil
			}
			switch rng.Intn(7) {
			case 0, 1:
				halves := 0
				for _, joined := range p.open[id] {
					if !joined {
						halves++
					}
				}
				want := Admit
				switch {
				case p.until[id] > 0:
					want = Banned
				case len(p.open[id]) >= terms.MaxConnections || p.trial[id] && len(p.open[id]) >= 2:
					want = TooManyConnections
				case halves >= terms.MaxHandshakes:
					want = TooManyHandshakes
				}
				if v := g.Open(now, id); v != want {
					t.Fatalf("seed %d at %v: %s opens: %v, want %v", seed, now, id, v, want)
				} else if v == Admit {
					p.open[id] = append(p.open[id], false)
				}
			case 2:
				for i, joined := range p.open[id] {
					if !joined {
						g.HandshakeComplete(now, id)
						p.open[id][i] = true
						break
					}
				}
			case 3:
				if n := len(p.open[id]); n > 0 {
					g.Close(now, id, p.open[id][n-1])
					p.open[id] = p.open[id][:n-1]
				}
			case 4:
				if rng.Intn(3) > 0 {
					continue
				}
				var want time.Duration
				if p.until[id] == 0 {
					p.last[id] = now
					kept := []time.Duration{now}
					for _, at := range p.breach[id] {
						if at > now-terms.ViolationWindow {
							kept = append(kept, at)
						}
					}
					p.breach[id] = kept
					if p.trial[id] || len(kept) >= terms.BanThreshold {
						p.span[id] = min(max(2*p.span[id], terms.InitialBan), terms.MaxBan)
						want, p.until[id], p.breach[id], p.trial[id] = p.span[id], now+p.span[id], nil, false
					}
				}
				if got := g.Violation(now, id); got != want {
					t.Fatalf("seed %d at %v: %s breaches: %v, want %v", seed, now, id, got, want)
				}
			case 6:
				if rng.Intn(3) > 0 {
					want := p.runs[id] < terms.MaxCommands
					if got := g.BeginCommand(now, id); got != want {
						t.Fatalf("seed %d: %s with %d commands begins one: %v", seed, id, p.runs[id], got)
					}
					if want {
						p.runs[id]++
					}
				} else if p.runs[id] > 0 {
					g.EndCommand(now, id)
					p.runs[id]--
				}
			case 5:
				sum := 0
				for _, n := range p.asked[id] {
					sum += n
				}
				if n := 1 + rng.Intn(1500); rng.Intn(2) == 0 {
					want := sum == 0 || sum+n <= terms.MaxBytes
					if got := g.ReserveBytes(now, id, n); got != want {
						t.Fatalf("seed %d: %s with %d bytes asked for %d: %v", seed, id, sum, n, got)
					}
					if want {
						p.asked[id] = append(p.asked[id], n)
					}
				} else if k := len(p.asked[id]); k > 0 {
					g.ReleaseBytes(now, id, p.asked[id][k-1])
					p.asked[id] = p.asked[id][:k-1]
				}
			}
		}
	}
	g := New(terms)
	for i := range 100_000 {
		id := string(rune(i))
		if g.Open(time.Duration(i)*time.Millisecond, id) == Admit {
			g.Close(time.Duration(i)*time.Millisecond, id, false)
		}
	}
	if n := g.Known(); n > 11_000 {
		t.Errorf("%d peers are remembered, nobody is connected", n)
	}
}
