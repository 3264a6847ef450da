package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"honeyplank"
)

const second = time.Second

var testSettings = Settings{
	MaxRemovedShare: 0.5,
	ConfirmAfter:    10 * second,
	FlapWindow:      60 * second,
	FlapThreshold:   3,
	FlapHold:        5 * second,
}

// input is one event: a report, a failure of a source or the passing of time.
type input struct {
	name     string
	from     Source
	complete bool
	fails    bool
	tick     time.Duration
	reports  map[string]State
	started  bool // the servers are reported with the current time as their start
}

// inputs returns all inputs that the exhaustive test applies, for two servers.
func inputs() (list []input) {
	for from := range sourceCount {
		for _, x := range []input{
			{name: "a up", reports: map[string]State{"a": Up}},
			{name: "a draining", reports: map[string]State{"a": Draining}},
			{name: "a removed", reports: map[string]State{"a": Removed}},
			{name: "a up, started", reports: map[string]State{"a": Up}, started: true},
			{name: "b up", reports: map[string]State{"b": Up}},
			{name: "all", complete: true, reports: map[string]State{"a": Up, "b": Up}},
			{name: "none", complete: true},
			{name: "only b", complete: true, reports: map[string]State{"b": Up}},
			{name: "fails", fails: true},
		} {
			x.from = from
			x.name = from.String() + ": " + x.name
			list = append(list, x)
		}
	}
	return append(list, input{name: "1 s", tick: second}, input{name: "11 s", tick: 11 * second})
}

// comparison applies the same inputs to a Ledger and to the model, and keeps the list as the decision module would.
type comparison struct {
	ledger *Ledger
	model  *model
	list   map[honeyplank.ServerID]honeyplank.MemberState
}

func newComparison() *comparison {
	return &comparison{New(testSettings), newModel(), map[honeyplank.ServerID]honeyplank.MemberState{}}
}

// apply applies one input to both, and returns an error if they differ or an invariant is violated after it.
func (c *comparison) apply(x input) error {
	before := map[string]State{}
	for _, n := range c.model.nodes {
		before[n] = c.model.state[n]
	}
	c.model.apply(x)
	for _, list := range c.applyToLedger(x) {
		for _, m := range list.Members {
			c.list[m.ID] = m.State
		}
	}
	for _, n := range c.model.nodes {
		if err := c.compare(n); err != nil {
			return err
		}
		if err := c.checkInvariants(n, before[n], x); err != nil {
			return err
		}
	}
	return nil
}

// applyToLedger applies an input to the Ledger, with the starts and the time that the model has after the input.
func (c *comparison) applyToLedger(x input) []honeyplank.List {
	now := c.model.now
	switch {
	case x.fails:
		c.ledger.SourceFailed(now, x.from)
		return nil
	case x.tick > 0:
		return c.ledger.Tick(now)
	}
	var all []Report
	for _, n := range c.model.nodes {
		if state, ok := x.reports[n]; ok {
			started := c.model.reports[n][x.from].started
			member := honeyplank.Member{ID: honeyplank.ServerID(n), Started: started}
			all = append(all, Report{Member: member, State: state, StartedAfter: started})
		}
	}
	if x.complete {
		return c.ledger.Complete(now, x.from, all)
	}
	return c.ledger.Delta(now, x.from, all)
}

// compare compares the Ledger's view of a server with the model and with the list passed to the decision module.
func (c *comparison) compare(n string) error {
	id := honeyplank.ServerID(n)
	v, _ := c.ledger.View(id)
	if v.State != c.model.state[n] {
		return fmt.Errorf("state of %s is %v, model %v: ledger %+v, model %+v, now %v, held until %v",
			n, v.State, c.model.state[n], v, c.model.reports[n], c.model.now, c.model.heldUntil[n])
	}
	for from, report := range c.model.reports[n] {
		same := v.ReportedState[from] == report.state && v.ReportedAt[from] == report.at
		if !same || v.Unconfirmed[from] != (report.unconfirmedSince > 0) {
			return fmt.Errorf("report of %s by %v differs: ledger %+v, model %+v", n, Source(from), v, report)
		}
	}
	notified, known := c.list[id]
	if known != (v.State != NeverListed) && v.State == Up || known && (notified == honeyplank.Up) != (v.State == Up) {
		return fmt.Errorf("state of %s is %v, the decision module was notified of %v", n, v.State, notified)
	}
	return nil
}

// checkInvariants checks guarantees of the merge rule for a server, without applying the rule. before is the state of
// the server before the input.
func (c *comparison) checkInvariants(n string, before State, x input) error {
	v, _ := c.ledger.View(honeyplank.ServerID(n))
	reports := c.model.reports[n]
	for i, report := range reports {
		other := reports[1-i]
		takenOut := report.state == Draining || report.state == Removed
		if takenOut && v.State == Up && !(other.state == Up && other.started > report.at) {
			return fmt.Errorf("%s is up although %v reports %v", n, Source(i), report.state)
		}
	}
	bothUp := reports[Etcd].confirmedUp() && reports[DNS].confirmedUp()
	if bothUp && v.State != Up && c.model.heldUntil[n] <= c.model.now {
		return fmt.Errorf("%s is %v although both sources list it as up", n, v.State)
	}
	if x.fails && v.State != before {
		return fmt.Errorf("a failing source changed %s from %v to %v", n, before, v.State)
	}
	emptied := x.complete && len(x.reports) == 0 && reports[x.from].unconfirmedSince > 0
	if emptied && before == Up && v.State != Up && reports[x.from.other()].confirmedUp() {
		return fmt.Errorf("%s was removed immediately by an empty list of one source", n)
	}
	return nil
}

// TestModelExhaustive compares Ledger with the model after every sequence of 3 or 4 inputs for two servers. The
// sequences begin without any report, or after both sources have listed both servers as up.
func TestModelExhaustive(t *testing.T) {
	all := inputs()
	depth := 4
	if testing.Short() {
		depth = 3
	}
	count := 0
	for _, begin := range [][]input{nil, {all[5], all[14]}} {
		if len(begin) > 0 && (begin[0].name != "etcd: all" || begin[1].name != "dns: all") {
			t.Fatal("the order of inputs() has changed")
		}
		sequence := make([]int, depth) // indices in all
		for more := true; more; more = nextSequence(sequence, len(all)) {
			inputs := slices.Clone(begin)
			for _, i := range sequence {
				inputs = append(inputs, all[i])
			}
			applyAll(t, inputs)
			count++
		}
	}
	t.Logf("%d sequences of %d inputs", count, depth)
}

// nextSequence increments a sequence, as a number whose digits are below base. It returns false after the last one.
func nextSequence(sequence []int, base int) bool {
	for k := len(sequence) - 1; k >= 0; k-- {
		if sequence[k]++; sequence[k] < base {
			return true
		}
		sequence[k] = 0
	}
	return false
}

// applyAll applies inputs to a new Ledger and a new model.
func applyAll(t *testing.T, inputs []input) {
	t.Helper()
	c := newComparison()
	c.model.now = second
	for k, x := range inputs {
		if err := c.apply(x); err != nil {
			var names []string
			for _, x := range inputs[:k+1] {
				names = append(names, x.name)
			}
			t.Fatalf("%q: %v", names, err)
		}
	}
}

// TestModelRandom compares Ledger with the model after each input of long random sequences for four servers, from fixed
// seeds.
func TestModelRandom(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		c := newComparison()
		c.model.now = second
		for step := range 300 {
			x := generate(rng, c.model.nodes)
			if err := c.apply(x); err != nil {
				t.Fatalf("seed %d, step %d, %+v: %v", seed, step, x, err)
			}
		}
	}
}

// generate returns a random input.
func generate(rng *rand.Rand, nodes []string) input {
	x := input{
		from:     Source(rng.Intn(2)),
		reports:  map[string]State{},
		complete: rng.Intn(3) == 0,
		started:  rng.Intn(5) == 0,
	}
	switch rng.Intn(6) {
	case 0:
		return input{tick: time.Duration(1+rng.Intn(20)) * second}
	case 1:
		return input{fails: true, from: x.from}
	}
	for _, n := range nodes {
		if rng.Intn(3) == 0 {
			continue
		}
		if state := State(1 + rng.Intn(3)); !x.complete || state != Removed {
			x.reports[n] = state
		}
	}
	return x
}

// TestFlappingServerHeld makes a source list a server as up and as draining in turn for ten simulated minutes. Each
// return of a flapping server moves ops, so the decision module must be notified of few returns.
func TestFlappingServerHeld(t *testing.T) {
	c := newComparison()
	c.model.now = second
	returns := 0
	for range 300 {
		for _, x := range []input{
			{reports: map[string]State{"a": Up}},
			{tick: second},
			{reports: map[string]State{"a": Draining}},
			{tick: second},
		} {
			stateBefore := c.list["a"]
			if err := c.apply(x); err != nil {
				t.Fatal(err)
			}
			if state := c.list["a"]; stateBefore != honeyplank.Up && state == honeyplank.Up {
				returns++
			}
		}
	}
	if returns > 20 { // without holds there would be 300
		t.Errorf("the decision module was notified of %d returns in ten minutes, want at most 20", returns)
	}
}

// TestSeveralReportsAtOnce passes several reports about one server in one Delta, as a delayed watch does. The last
// report must count.
func TestSeveralReportsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		before, reports []State
		want            State
	}{
		"new, removed, up":           {nil, []State{Up, Removed, Up}, Up},
		"removed, up":                {[]State{Up}, []State{Removed, Up}, Up},
		"removed, draining":          {[]State{Up}, []State{Removed, Draining}, Draining},
		"up again, removed":          {[]State{Up, Removed}, []State{Up, Removed}, Removed},
		"new, removed":               {nil, []State{Up, Removed}, Removed},
		"draining, up":               {[]State{Up}, []State{Draining, Up}, Up},
		"up, draining":               {[]State{Up}, []State{Up, Draining}, Draining},
		"draining, removed":          {[]State{Up}, []State{Draining, Removed}, Removed},
		"removed and up three times": {[]State{Up}, []State{Removed, Up, Removed, Up, Removed, Up}, Up},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := New(Settings{MaxRemovedShare: 1})
			now := second
			for _, state := range c.before {
				now += second
				ledger.Delta(now, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: state}})
			}
			var all []Report
			for i, state := range c.reports { // the start shows which report the Ledger has stored
				member := honeyplank.Member{ID: "a", Started: time.Duration(i + 1)}
				all = append(all, Report{Member: member, State: state})
			}
			ledger.Delta(now+second, Etcd, all)
			v, _ := ledger.View("a")
			if v.State != c.want || c.want != Removed && v.Member.Started != time.Duration(len(all)) {
				t.Errorf("reports %v after %v: state %v, start %d", c.reports, c.before, v.State, v.Member.Started)
			}
		})
	}
}

// TestNewerStartRestoresServer makes DNS list a server as up that etcd has taken out of service. Only a start that is
// certainly newer than the report of etcd may restore the server. When DNS lists a server for the first time, no such
// start is known.
func TestNewerStartRestoresServer(t *testing.T) {
	for name, c := range map[string]struct {
		out            State
		started, after time.Duration
		want           State
	}{
		"draining, older start":           {Draining, 5 * second, 5 * second, Draining},
		"draining, first seen in DNS":     {Draining, 30 * second, 0, Draining},
		"draining, possibly older start":  {Draining, 30 * second, 15 * second, Draining},
		"draining, newer start":           {Draining, 30 * second, 21 * second, Up},
		"removed, first seen in DNS":      {Removed, 30 * second, 0, Removed},
		"removed, newer start":            {Removed, 30 * second, 21 * second, Up},
		"removed, start at the same time": {Removed, 30 * second, 20 * second, Removed},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := New(Settings{MaxRemovedShare: 1})
			ledger.Delta(10*second, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: Up}})
			ledger.Delta(20*second, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: c.out}})
			ledger.Complete(30*second, DNS, []Report{{
				Member:       honeyplank.Member{ID: "a", Started: c.started},
				State:        Up,
				StartedAfter: c.after,
			}})
			if v, _ := ledger.View("a"); v.State != c.want {
				t.Errorf("state %v, want %v", v.State, c.want)
			}
		})
	}
}
