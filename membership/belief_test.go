package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"honeyplank"
)

const s = time.Second

var terms = Settings{MaxRemovedShare: 0.5, ConfirmAfter: 10 * s, FlapWindow: 60 * s, FlapThreshold: 3, FlapHold: 5 * s}

// input is one thing that can happen; start is in seconds of the clock.
type input struct {
	name  string
	from  Source
	whole bool
	fail  bool
	tick  time.Duration
	says  map[string]State
	fresh bool // with a start of now
}

// inputs are all that the exhaustive search plays, for two nodes.
func inputs() (list []input) {
	for from := range sources {
		for _, x := range []input{
			{name: "a on", says: map[string]State{"a": Up}}, {name: "a draining", says: map[string]State{"a": Draining}},
			{name: "a gone", says: map[string]State{"a": Removed}}, {name: "a on, started", says: map[string]State{"a": Up}, fresh: true},
			{name: "b on", says: map[string]State{"b": Up}}, {name: "all", whole: true, says: map[string]State{"a": Up, "b": Up}},
			{name: "none", whole: true}, {name: "b alone", whole: true, says: map[string]State{"b": Up}}, {name: "fails", fail: true},
		} {
			x.from = from
			x.name = from.String() + ": " + x.name
			list = append(list, x)
		}
	}
	return append(list, input{name: "1 s", tick: s}, input{name: "11 s", tick: 11 * s})
}

// plain is the rule as it is read aloud, slow and from the history alone.
type plain struct {
	now   time.Duration
	words map[string]*[2]plainWord
	lost  [2][]time.Duration
	nodes []string
	held  map[string]time.Duration
	backs map[string][]time.Duration
	hold  map[string]time.Duration
	is    map[string]State
}

type plainWord struct {
	state   State
	at      time.Duration
	started time.Duration
	doubt   time.Duration // since; 0: none
}

func newPlain() *plain {
	p := &plain{words: map[string]*[2]plainWord{}, held: map[string]time.Duration{}, backs: map[string][]time.Duration{}, hold: map[string]time.Duration{}, is: map[string]State{}}
	for _, n := range []string{"a", "b", "c", "d"} {
		p.nodes, p.words[n] = append(p.nodes, n), &[2]plainWord{}
	}
	return p
}

func (p *plain) play(x input) {
	p.now += x.tick
	touched := map[string]bool{}
	if x.tick > 0 || x.fail {
		for _, n := range p.nodes {
			touched[n] = x.tick > 0
		}
	} else {
		var vanish []string
		held := 0
		for _, n := range p.nodes {
			w := &p.words[n][x.from]
			has := w.state == Up || w.state == Draining
			if has {
				held++
			}
			st, said := x.says[n]
			switch {
			case said && st != Removed:
				started := w.started
				if x.fresh {
					started = p.now
				}
				if w.state != st || w.started != started || w.doubt > 0 {
					w.at = p.now
				}
				w.state, w.started, w.doubt = st, started, 0
				touched[n] = true
			case has && (said || x.whole):
				vanish = append(vanish, n)
				touched[n] = true
			}
		}
		recent := 0
		for _, at := range p.lost[x.from] {
			if at > p.now-terms.ConfirmAfter {
				recent++
			}
		}
		on := 0
		for _, n := range vanish {
			if p.words[n][x.from].state == Up {
				on++
			}
		}
		doubt := held+recent > 1 && float64(on+recent) > terms.MaxRemovedShare*float64(held+recent)
		for _, n := range vanish {
			w := &p.words[n][x.from]
			if doubt && w.state == Up {
				if w.doubt == 0 {
					w.doubt = p.now
				}
				continue
			}
			if w.state == Up && w.doubt == 0 {
				p.lost[x.from] = append(p.lost[x.from], p.now)
			}
			w.state, w.at, w.doubt = Removed, p.now, 0
		}
	}
	for _, n := range p.nodes {
		if touched[n] {
			p.judge(n)
		}
	}
}

func (p *plain) judge(n string) {
	for i := range 2 {
		w, o := &p.words[n][i], &p.words[n][1-i]
		if w.doubt > 0 && p.now >= w.doubt+terms.ConfirmAfter && (o.state != Up || o.doubt > 0) {
			w.state, w.at, w.doubt = Removed, p.now, 0
		}
	}
	worst := NeverListed
	for i := range 2 {
		worst = max(worst, p.words[n][i].state)
	}
	if worst >= Draining {
		for i := range 2 {
			w, o := &p.words[n][i], &p.words[n][1-i]
			if w.state >= Draining && o.state == Up && o.doubt == 0 && o.started > w.at {
				worst = Up
			}
		}
	}
	if was := p.is[n]; worst == Up && was >= Draining {
		switch {
		case p.held[n] > p.now:
			return
		case p.held[n] > 0:
			p.held[n] = 0
		default:
			kept := p.backs[n][:0]
			for _, at := range p.backs[n] {
				if at > p.now-terms.FlapWindow-p.hold[n] {
					kept = append(kept, at)
				}
			}
			if len(kept) == 0 {
				p.hold[n] = 0
			}
			p.backs[n] = append(kept, p.now)
			if len(p.backs[n]) >= terms.FlapThreshold {
				p.hold[n] = min(max(2*p.hold[n], terms.FlapHold), terms.FlapWindow)
				p.held[n] = p.now + p.hold[n]
				return
			}
		}
	}
	p.is[n] = worst
}

// pair runs the book and the plain model side by side and keeps the list as the module would.
type pair struct {
	b    *Ledger
	p    *plain
	list map[honeyplank.ServerID]honeyplank.MemberState
}

func newPair() *pair {
	return &pair{New(terms), newPlain(), map[honeyplank.ServerID]honeyplank.MemberState{}}
}

// play plays one input; what is wrong after it is returned.
func (c *pair) play(x input) error {
	was := map[string]State{}
	for _, n := range c.p.nodes {
		was[n] = c.p.is[n]
	}
	c.p.play(x)
	var out []honeyplank.List
	switch now := c.p.now; {
	case x.fail:
		c.b.SourceFailed(now, x.from)
	case x.tick > 0:
		out = c.b.Tick(now)
	default:
		var all []Report
		for _, n := range c.p.nodes {
			if st, ok := x.says[n]; ok {
				all = append(all, Report{honeyplank.Member{ID: honeyplank.ServerID(n), Started: c.p.words[n][x.from].started}, st, c.p.words[n][x.from].started})
			}
		}
		if x.whole {
			out = c.b.Complete(now, x.from, all)
		} else {
			out = c.b.Delta(now, x.from, all)
		}
	}
	for _, l := range out {
		for _, m := range l.Members {
			c.list[m.ID] = m.State
		}
	}
	for _, n := range c.p.nodes {
		id := honeyplank.ServerID(n)
		v, _ := c.b.View(id)
		if v.State != c.p.is[n] {
			return fmt.Errorf("%s is believed %v, the plain model says %v: book %+v, plain %+v now %v held %v", n, v.State, c.p.is[n], v, c.p.words[n], c.p.now, c.p.held[n])
		}
		told, known := c.list[id]
		if known != (v.State != NeverListed) && v.State == Up || known && (told == honeyplank.Up) != (v.State == Up) {
			return fmt.Errorf("%s is believed %v, the module was told %v", n, v.State, told)
		}
		if err := c.invariants(n, v, was[n], x); err != nil {
			return err
		}
	}
	return nil
}

// invariants are what the rule promises, in words that are not the rule's.
func (c *pair) invariants(n string, v View, was State, x input) error {
	e, d := c.p.words[n][0], c.p.words[n][1]
	out := func(w plainWord) bool { return w.state == Draining || w.state == Removed }
	for i, w := range []plainWord{e, d} {
		other := []plainWord{d, e}[i]
		if out(w) && v.State == Up && !(other.state == Up && other.started > w.at) {
			return fmt.Errorf("%s gets work though %v says %v", n, Source(i), w.state)
		}
	}
	if e.state == Up && d.state == Up && e.doubt == 0 && d.doubt == 0 && v.State != Up && c.p.held[n] <= c.p.now {
		return fmt.Errorf("%s is believed %v though both sources hold it on", n, v.State)
	}
	if x.fail && v.State != was {
		return fmt.Errorf("a failing source changed %s from %v to %v", n, was, v.State)
	}
	from, other := c.p.words[n][x.from], c.p.words[n][1-x.from]
	if x.whole && len(x.says) == 0 && from.doubt > 0 && was == Up && v.State != Up && other.state == Up && other.doubt == 0 {
		return fmt.Errorf("%s was lost to a source that emptied at once", n)
	}
	return nil
}

// TestExhaustive plays every sequence of some inputs for two nodes, after a start in which all is well and after
// none.
func TestExhaustive(t *testing.T) {
	all := inputs()
	depth := 4
	if testing.Short() {
		depth = 3
	}
	count := 0
	sequence := make([]int, depth)
	for _, begin := range [][]input{nil, {all[5], all[14]}} {
		if len(begin) > 0 && (begin[0].name != "etcd: all" || begin[1].name != "dns: all") {
			t.Fatal("the inputs have moved")
		}
		clear(sequence)
		for {
			c := newPair()
			c.p.now = s
			for _, x := range begin {
				if err := c.play(x); err != nil {
					t.Fatal(err)
				}
			}
			for k, i := range sequence {
				if err := c.play(all[i]); err != nil {
					var names []string
					for _, i := range sequence[:k+1] {
						names = append(names, all[i].name)
					}
					t.Fatalf("begun with %d inputs, %q: %v", len(begin), names, err)
				}
			}
			count++
			k := depth - 1
			for ; k >= 0; k-- {
				if sequence[k]++; sequence[k] < len(all) {
					break
				}
				sequence[k] = 0
			}
			if k < 0 {
				break
			}
		}
	}
	t.Logf("%d sequences of %d inputs", count, depth)
}

// TestGenerated plays long sequences for four nodes, from fixed seeds.
func TestGenerated(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		c := newPair()
		c.p.now = s
		for step := range 300 {
			x := input{from: Source(rng.Intn(2)), says: map[string]State{}, whole: rng.Intn(3) == 0, fresh: rng.Intn(5) == 0}
			switch rng.Intn(6) {
			case 0:
				x = input{tick: time.Duration(1+rng.Intn(20)) * s}
			case 1:
				x = input{fail: true, from: x.from}
			default:
				for _, n := range c.p.nodes {
					if rng.Intn(3) > 0 {
						x.says[n] = State(1 + rng.Intn(3))
						if x.whole && x.says[n] == Removed {
							delete(x.says, n)
						}
					}
				}
			}
			if err := c.play(x); err != nil {
				t.Fatalf("seed %d, step %d, %+v: %v", seed, step, x, err)
			}
		}
	}
}

// TestFlapping has a source take a node out and in for ten minutes: the module hears few changes, and the first
// loss of each spell at once.
func TestFlapping(t *testing.T) {
	c := newPair()
	c.p.now = s
	ups := 0
	for range 300 {
		for _, x := range []input{{says: map[string]State{"a": Up}}, {tick: s}, {says: map[string]State{"a": Draining}}, {tick: s}} {
			was := c.list["a"]
			if err := c.play(x); err != nil {
				t.Fatal(err)
			}
			if is := c.list["a"]; was != honeyplank.Up && is == honeyplank.Up {
				ups++
			}
		}
	}
	if ups > 20 { // 300 without the rule
		t.Errorf("the module heard the node come back %d times in ten minutes", ups)
	}
}

// TestTogether has a source tell of one node several times at once, as a watch does that was held up: the last counts.
func TestTogether(t *testing.T) {
	for name, c := range map[string]struct {
		before, says []State
		want         State
	}{
		"new, removed and back":  {nil, []State{Up, Removed, Up}, Up},
		"removed and back":       {[]State{Up}, []State{Removed, Up}, Up},
		"removed and draining":   {[]State{Up}, []State{Removed, Draining}, Draining},
		"back and removed":       {[]State{Up, Removed}, []State{Up, Removed}, Removed},
		"new and removed":        {nil, []State{Up, Removed}, Removed},
		"draining and on":        {[]State{Up}, []State{Draining, Up}, Up},
		"on and draining":        {[]State{Up}, []State{Up, Draining}, Draining},
		"draining and removed":   {[]State{Up}, []State{Draining, Removed}, Removed},
		"out and in three times": {[]State{Up}, []State{Removed, Up, Removed, Up, Removed, Up}, Up},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{MaxRemovedShare: 1})
			now := s
			for _, state := range c.before {
				now += s
				b.Delta(now, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: state}})
			}
			var all []Report
			for i, state := range c.says { // the start tells which of them the book took
				all = append(all, Report{Member: honeyplank.Member{ID: "a", Started: time.Duration(i + 1)}, State: state})
			}
			b.Delta(now+s, Etcd, all)
			v, _ := b.View("a")
			if v.State != c.want || c.want != Removed && v.Member.Started != time.Duration(len(all)) {
				t.Errorf("%v after %v: believed %v, started %d", c.says, c.before, v.State, v.Member.Started)
			}
		})
	}
}

// TestSurelyNewer has DNS hold on what etcd has taken out: only a start that surely came after that puts it back.
func TestSurelyNewer(t *testing.T) {
	for name, c := range map[string]struct {
		out            State
		started, after time.Duration
		want           State
	}{
		"named again":              {Draining, 5 * s, 5 * s, Draining},
		"first sight, after it":    {Draining, 30 * s, 0, Draining},
		"perhaps before it":        {Draining, 30 * s, 15 * s, Draining},
		"surely after it":          {Draining, 30 * s, 21 * s, Up},
		"gone, first sight":        {Removed, 30 * s, 0, Removed},
		"gone, surely after it":    {Removed, 30 * s, 21 * s, Up},
		"gone, in the same moment": {Removed, 30 * s, 20 * s, Removed},
	} {
		b := New(Settings{MaxRemovedShare: 1})
		b.Delta(10*s, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: Up}})
		b.Delta(20*s, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: c.out}})
		b.Complete(30*s, DNS, []Report{{Member: honeyplank.Member{ID: "a", Started: c.started}, State: Up, StartedAfter: c.after}})
		if v, _ := b.View("a"); v.State != c.want {
			t.Errorf("%s: believed %v, want %v", name, v.State, c.want)
		}
	}
}
