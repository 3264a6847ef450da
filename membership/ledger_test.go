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

// input is one thing that can happen.
type input struct {
	name     string
	from     Source
	complete bool
	fails    bool
	tick     time.Duration
	reports  map[string]State
	started  bool // reported with a start of now
}

// inputs are all that the exhaustive search applies, for two servers.
func inputs() (list []input) {
	for from := range sourceCount {
		for _, x := range []input{
			{name: "a on", reports: map[string]State{"a": Up}},
			{name: "a draining", reports: map[string]State{"a": Draining}},
			{name: "a gone", reports: map[string]State{"a": Removed}},
			{name: "a on, started", reports: map[string]State{"a": Up}, started: true},
			{name: "b on", reports: map[string]State{"b": Up}},
			{name: "all", complete: true, reports: map[string]State{"a": Up, "b": Up}},
			{name: "none", complete: true},
			{name: "b alone", complete: true, reports: map[string]State{"b": Up}},
			{name: "fails", fails: true},
		} {
			x.from = from
			x.name = from.String() + ": " + x.name
			list = append(list, x)
		}
	}
	return append(list, input{name: "1 s", tick: second}, input{name: "11 s", tick: 11 * second})
}

// comparison runs the ledger and the model side by side and keeps the list as the decision module would.
type comparison struct {
	ledger *Ledger
	model  *model
	list   map[honeyplank.ServerID]honeyplank.MemberState
}

func newComparison() *comparison {
	return &comparison{New(testSettings), newModel(), map[honeyplank.ServerID]honeyplank.MemberState{}}
}

// apply applies one input to both and returns what is wrong after it.
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
		if err := c.invariants(n, before[n], x); err != nil {
			return err
		}
	}
	return nil
}

// applyToLedger applies an input to the ledger, with the starts and the time that the model has after it.
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

// compare compares the ledger's view of a server with the model, and with what the decision module was notified of.
func (c *comparison) compare(n string) error {
	id := honeyplank.ServerID(n)
	v, _ := c.ledger.View(id)
	if v.State != c.model.state[n] {
		return fmt.Errorf("%s is %v, the model has %v: ledger %+v, model %+v, now %v, held until %v",
			n, v.State, c.model.state[n], v, c.model.reports[n], c.model.now, c.model.heldUntil[n])
	}
	for from, report := range c.model.reports[n] {
		same := v.ReportedState[from] == report.state && v.ReportedAt[from] == report.at
		if !same || v.Unconfirmed[from] != (report.unconfirmedSince > 0) {
			return fmt.Errorf("%s as %v reports it: ledger %+v, model %+v", n, Source(from), v, report)
		}
	}
	notified, known := c.list[id]
	if known != (v.State != NeverListed) && v.State == Up || known && (notified == honeyplank.Up) != (v.State == Up) {
		return fmt.Errorf("%s is %v, the decision module was notified of %v", n, v.State, notified)
	}
	return nil
}

// invariants are what the rule guarantees for a server with a state before, checked without applying the rule.
func (c *comparison) invariants(n string, before State, x input) error {
	v, _ := c.ledger.View(honeyplank.ServerID(n))
	reports := c.model.reports[n]
	for i, report := range reports {
		other := reports[1-i]
		takenOut := report.state == Draining || report.state == Removed
		if takenOut && v.State == Up && !(other.state == Up && other.started > report.at) {
			return fmt.Errorf("%s gets work though %v reports %v", n, Source(i), report.state)
		}
	}
	bothUp := reports[Etcd].confirmedUp() && reports[DNS].confirmedUp()
	if bothUp && v.State != Up && c.model.heldUntil[n] <= c.model.now {
		return fmt.Errorf("%s is %v though both sources list it as up", n, v.State)
	}
	if x.fails && v.State != before {
		return fmt.Errorf("a failing source changed %s from %v to %v", n, before, v.State)
	}
	emptied := x.complete && len(x.reports) == 0 && reports[x.from].unconfirmedSince > 0
	if emptied && before == Up && v.State != Up && reports[x.from.other()].confirmedUp() {
		return fmt.Errorf("%s was removed by a source that emptied at once", n)
	}
	return nil
}

// TestExhaustive applies every sequence of some inputs for two servers, both without any report before and after both
// sources have listed both as up.
func TestExhaustive(t *testing.T) {
	all := inputs()
	depth := 4
	if testing.Short() {
		depth = 3
	}
	count := 0
	for _, begin := range [][]input{nil, {all[5], all[14]}} {
		if len(begin) > 0 && (begin[0].name != "etcd: all" || begin[1].name != "dns: all") {
			t.Fatal("the inputs have moved")
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

// nextSequence counts a sequence up, each of its digits below base. It reports false after the last one.
func nextSequence(sequence []int, base int) bool {
	for k := len(sequence) - 1; k >= 0; k-- {
		if sequence[k]++; sequence[k] < base {
			return true
		}
		sequence[k] = 0
	}
	return false
}

// applyAll applies inputs to a new ledger and a new model.
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

// TestGenerated applies long sequences for four nodes, from fixed seeds.
func TestGenerated(t *testing.T) {
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

// generate draws an input.
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

// TestFlapping has a source take a node out and in for ten minutes: the decision module is notified of few returns.
func TestFlapping(t *testing.T) {
	c := newComparison()
	c.model.now = second
	ups := 0
	for range 300 {
		for _, x := range []input{
			{reports: map[string]State{"a": Up}},
			{tick: second},
			{reports: map[string]State{"a": Draining}},
			{tick: second},
		} {
			was := c.list["a"]
			if err := c.apply(x); err != nil {
				t.Fatal(err)
			}
			if is := c.list["a"]; was != honeyplank.Up && is == honeyplank.Up {
				ups++
			}
		}
	}
	if ups > 20 { // 300 without the rule
		t.Errorf("the module was notified of %d returns in ten minutes", ups)
	}
}

// TestSeveralReportsAtOnce has a source report one server several times at once, as a watch does that was held up:
// the last report decides.
func TestSeveralReportsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		before, reports []State
		want            State
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
			ledger := New(Settings{MaxRemovedShare: 1})
			now := second
			for _, state := range c.before {
				now += second
				ledger.Delta(now, Etcd, []Report{{Member: honeyplank.Member{ID: "a"}, State: state}})
			}
			var all []Report
			for i, state := range c.reports { // the start shows which of them the ledger took
				member := honeyplank.Member{ID: "a", Started: time.Duration(i + 1)}
				all = append(all, Report{Member: member, State: state})
			}
			ledger.Delta(now+second, Etcd, all)
			v, _ := ledger.View("a")
			if v.State != c.want || c.want != Removed && v.Member.Started != time.Duration(len(all)) {
				t.Errorf("%v after %v: %v, started %d", c.reports, c.before, v.State, v.Member.Started)
			}
		})
	}
}

// TestSurelyNewerStart has DNS list as up what etcd has taken out: only a start that surely came after that puts it
// back.
func TestSurelyNewerStart(t *testing.T) {
	for name, c := range map[string]struct {
		out            State
		started, after time.Duration
		want           State
	}{
		"named again":              {Draining, 5 * second, 5 * second, Draining},
		"first sight, after it":    {Draining, 30 * second, 0, Draining},
		"perhaps before it":        {Draining, 30 * second, 15 * second, Draining},
		"surely after it":          {Draining, 30 * second, 21 * second, Up},
		"gone, first sight":        {Removed, 30 * second, 0, Removed},
		"gone, surely after it":    {Removed, 30 * second, 21 * second, Up},
		"gone, in the same moment": {Removed, 30 * second, 20 * second, Removed},
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
				t.Errorf("%v, want %v", v.State, c.want)
			}
		})
	}
}
